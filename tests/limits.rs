//! Limits that nobody tells: a few to many senders, each alone, at one destination that refuses what is too much.
mod common;
use common::*;
use sender::api::*;
use sender::policy::Sender;
use std::collections::{BTreeMap, VecDeque};

/// How a destination counts.
#[derive(Clone, Copy)]
enum Counts {
    /// So many calls in any span; refused ones count where so stated.
    Span { span: Ns, refused: bool },
    /// One call each so often, and a second's worth at once.
    Rate,
    /// All are served but in this time, when all are refused.
    Shut(Ns, Ns),
    /// All are served.
    Nothing,
}

struct Destination {
    counts: Counts,
    limit: f64,
    recent: VecDeque<Ns>,
    room: f64,
    at: Ns,
}

impl Destination {
    fn takes(&mut self, now: Ns) -> bool {
        match self.counts {
            Counts::Nothing => true,
            Counts::Shut(from, to) => !(from..to).contains(&(now - START_TIME)),
            Counts::Rate => {
                self.room = (self.room + (now - self.at) as f64 / 1e9 * self.limit).min(self.limit);
                self.at = now;
                let taken = self.room >= 1.0;
                self.room -= f64::from(taken);
                taken
            }
            Counts::Span { span, refused } => {
                self.recent.retain(|&t| t > now - span);
                let taken = (self.recent.len() as f64) < self.limit * span as f64 / 1e9;
                if taken || refused {
                    self.recent.push_back(now);
                }
                taken
            }
        }
    }
}

struct Day {
    served: usize,
    refused: usize,
    /// When senders called that had been refused before.
    again: Vec<Ns>,
}

/// Every sender has a message in turn, `wanted` a second in all, and as many for the first as for ten others. Counts
/// what comes after `from`.
fn play(n: usize, wanted: impl Fn(Ns) -> f64, limit: f64, counts: Counts, span: Ns, from: Ns) -> Day {
    let mut senders: Vec<Harness> = (0..n as u64)
        .map(|seed| {
            let cfg = Settings { sender_count: n, max_open: 10_000, ..settings() };
            let mut stand = Harness { sender: Sender::new(cfg, seed), now: START_TIME, actions: Vec::new() };
            stand.handle(vec![Event::List { whole: true, entries: vec![entry(1, 1, 0)] }]);
            stand
        })
        .collect();
    let mut there = Destination { counts, limit, recent: VecDeque::new(), room: limit, at: START_TIME };
    let (mut day, mut next, mut owed, mut random) =
        (Day { served: 0, refused: 0, again: Vec::new() }, 0, 0.0, 1u64);
    let mut told = vec![false; n];
    let mut answers: BTreeMap<(Ns, usize), Vec<Event>> = BTreeMap::new();
    let mut attempts = BTreeMap::<MsgId, u32>::new();
    let mut now = START_TIME;
    while now < START_TIME + span {
        now += 20 * MS;
        owed += wanted(now - START_TIME) * 0.02;
        let mut given: Vec<Vec<Event>> = vec![vec![Event::Timer]; n];
        while owed >= 1.0 {
            owed -= 1.0;
            random = random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
            let to = ((random >> 33) as usize % (n + 10)).saturating_sub(10);
            given[to].push(Event::Message(message(next, 1, 1)));
            next += 1;
        }
        while let Some(due) = answers.first_entry().filter(|e| e.key().0 <= now) {
            given[due.key().1].extend(due.remove());
        }
        for (i, (stand, events)) in senders.iter_mut().zip(given).enumerate() {
            stand.now = now;
            for (id, endpoint) in sends(&stand.handle(events)) {
                let attempt = attempts.entry(id).or_default();
                let taken = there.takes(now);
                if told[i] {
                    day.again.push(now - START_TIME);
                }
                told[i] |= !taken;
                let outcome = if taken { Outcome::Served } else { Outcome::TurnedAway };
                if now - START_TIME >= from {
                    day.served += usize::from(taken);
                    day.refused += usize::from(!taken);
                }
                let after = AttemptEnd { took: 80 * MS, ..attempt_end(id, *attempt, endpoint, outcome) };
                answers.entry((now + 80 * MS, i)).or_default().push(Event::AttemptEnd(after));
                *attempt += 1;
            }
        }
    }
    day
}

#[test]
fn a_limit_that_nobody_tells_is_used_and_not_used_up_by_refused_calls() {
    // What of the limit is used at least, and what part of the calls is refused at most, by 1, 3 and 40 senders. By a
    // count that refused calls are in, more calls than it takes leave none served.
    let forms = [
        ("a rate", Counts::Rate, [(0.9, 0.2), (0.9, 0.2), (0.9, 0.4)]),
        ("a count", Counts::Span { span: SECOND, refused: false }, [(0.7, 0.2), (0.7, 0.2), (0.7, 0.45)]),
        (
            "refused too",
            Counts::Span { span: 2 * SECOND, refused: true },
            [(0.7, 0.2), (0.6, 0.2), (0.35, 0.65)],
        ),
    ];
    for (name, counts, bounds) in forms {
        for (n, (least_used, most_refused)) in [1, 3, 40].into_iter().zip(bounds) {
            let limit = 8.0;
            // Half as much again as it takes.
            let day = play(n, |_| 1.5 * limit, limit, counts, 60 * SECOND, 20 * SECOND);
            let used = day.served as f64 / (limit * 40.0);
            let refused = day.refused as f64 / (day.served + day.refused) as f64;
            assert!(used > least_used, "{n} senders, {name}: {used:.2} of the limit in use");
            assert!(refused < most_refused, "{n} senders, {name}: {refused:.2} of the calls refused");
        }
    }
}

#[test]
fn no_limit_seen_is_no_pace() {
    let day = play(3, |_| 40.0, 0.0, Counts::Nothing, 20 * SECOND, 2 * SECOND);
    assert!(day.served as f64 > 0.97 * 40.0 * 18.0, "{} served", day.served);
}

#[test]
fn calls_that_find_all_connections_taken_are_no_sign_of_an_outage() {
    let doubted = |outcome| {
        let mut s = Harness::new(settings(), &[entry(1, 1, 0)]);
        s.handle((0..9).map(|i| Event::Message(message(i, 1, 1))).collect());
        s.now += 50 * MS;
        for id in 0..9 {
            s.end_attempt(AttemptEnd { took: 50 * MS, done: true, ..attempt_end(id, 0, 1, outcome) });
        }
        s.handle((20..24).map(|i| Event::Message(message(i, 1, 1))).collect());
        sends(&without_times(&s.advance(2 * SECOND))).len() < 2
    };
    assert!(doubted(Outcome::NoConnection), "single spaced trials");
    assert!(!doubted(Outcome::Crowded), "it is up");
}

#[test]
fn a_connection_is_kept_for_calls_that_are_served_often_not_for_such_as_are_tried_often() {
    let many = Settings { sender_count: 300, ..settings() };
    let mut s = Harness::new(many, &[entry(1, 1, 0)]);
    s.handle((0..2).map(|i| Event::Message(message(i, 1, 1))).collect());
    let (mut attempt, mut closed) = (0, false);
    for n in 0..4 {
        s.now += 50 * MS;
        let outcome = if n == 3 { Outcome::Served } else { Outcome::Crowded };
        closed = s.end_attempt(attempt_end(0, attempt, 1, outcome)).contains(&Action::Close { endpoint: 1 });
        attempt += 1;
        while n < 3 && !sends(&s.handle(vec![Event::Timer])).contains(&(0, 1)) {
            s.now += 5 * MS;
        }
    }
    assert!(closed, "its place is free for the others");
}

#[test]
fn hundreds_of_senders_that_saw_a_call_or_two_refused_keep_the_budget_of_the_return_together() {
    let (shut, back) = (5 * SECOND, 14 * SECOND);
    let usual = 45.0;
    // Clients come again, and restarted senders with what they owe.
    let wanted = |t| if t < 10 * SECOND { usual } else { 6.0 * usual };
    let day = play(300, wanted, 0.0, Counts::Shut(shut, back), 24 * SECOND, back);
    // It can do no more than it usually does, and a fifth of that at first; all within 10 s.
    let capacity = usual;
    for from in (0..8).map(|i| back + i * SECOND) {
        let sent = day.again.iter().filter(|&&t| t >= from && t < from + 2 * SECOND).count() as f64;
        let able = 0.2 + 0.8 * ((from + SECOND - back) as f64 / 10e9);
        let budget = 2.0 * able * capacity * 2.0;
        let most = budget + 3.0 * budget.sqrt() + 3.0;
        assert!(sent <= most, "{sent} calls in the 2 s from {} s, at most {most:.0}", from / SECOND);
    }
    assert!(day.served as f64 > 0.5 * usual * 10.0, "the return is used: {} served", day.served);
}
