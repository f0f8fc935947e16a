//! Rate limits that neither reports nor lists give: one or many independent senders, and one destination that
//! refuses calls above its limit.
mod common;
use common::*;
use sender::api::*;
use sender::policy::Sender;
use std::collections::{BTreeMap, VecDeque};

/// How a destination limits its calls.
#[derive(Clone, Copy)]
enum LimitKind {
    /// At most `limit` calls per second, counted over any `span`; refused calls count if `refused` is set.
    Window { span: Ns, refused: bool },
    /// A token bucket with a rate of `limit` and a burst of one second.
    TokenBucket,
    /// All calls are refused from the first to the second time, and served otherwise.
    Outage(Ns, Ns),
    /// All calls are served.
    Unlimited,
}

/// A destination with its limit and the state of the limit.
struct Destination {
    limit_kind: LimitKind,
    limit: f64,
    recent: VecDeque<Ns>,
    tokens: f64,
    refilled_at: Ns,
}

impl Destination {
    /// Returns whether it serves a call at this time.
    fn accepts(&mut self, now: Ns) -> bool {
        match self.limit_kind {
            LimitKind::Unlimited => true,
            LimitKind::Outage(from, to) => !(from..to).contains(&(now - START_TIME)),
            LimitKind::TokenBucket => {
                self.tokens =
                    (self.tokens + (now - self.refilled_at) as f64 / 1e9 * self.limit).min(self.limit);
                self.refilled_at = now;
                let accepted = self.tokens >= 1.0;
                self.tokens -= f64::from(accepted);
                accepted
            }
            LimitKind::Window { span, refused } => {
                self.recent.retain(|&t| t > now - span);
                let accepted = (self.recent.len() as f64) < self.limit * span as f64 / 1e9;
                if accepted || refused {
                    self.recent.push_back(now);
                }
                accepted
            }
        }
    }
}

/// The calls of all senders that `play` counts.
struct CallCounts {
    served: usize,
    refused: usize,
    /// Times of the calls by senders that had been refused before.
    after_refusal: Vec<Ns>,
}

/// Plays `span` of time. Messages arrive at `wanted` per second in total; each goes to a random sender, the
/// first one gets as many as ten others. CallCounts the calls after `from`.
fn play(
    sender_count: usize,
    wanted: impl Fn(Ns) -> f64,
    limit: f64,
    limit_kind: LimitKind,
    span: Ns,
    from: Ns,
) -> CallCounts {
    let mut senders: Vec<Harness> = (0..sender_count as u64)
        .map(|seed| {
            let cfg = Settings { sender_count, max_open: 10_000, ..settings() };
            let mut harness =
                Harness { sender: Sender::new(cfg, seed), now: START_TIME, actions: Vec::new() };
            harness.handle(vec![Event::List { whole: true, entries: vec![entry(1, 1, 0)] }]);
            harness
        })
        .collect();
    let mut destination =
        Destination { limit_kind, limit, recent: VecDeque::new(), tokens: limit, refilled_at: START_TIME };
    let (mut calls, mut next, mut due_messages, mut random) =
        (CallCounts { served: 0, refused: 0, after_refusal: Vec::new() }, 0, 0.0, 1u64);
    let mut was_refused = vec![false; sender_count];
    let mut answers: BTreeMap<(Ns, usize), Vec<Event>> = BTreeMap::new();
    let mut attempts = BTreeMap::<MsgId, u32>::new();
    let mut now = START_TIME;
    while now < START_TIME + span {
        now += 20 * MS;
        due_messages += wanted(now - START_TIME) * 0.02;
        let mut events_by_sender: Vec<Vec<Event>> = vec![vec![Event::Timer]; sender_count];
        while due_messages >= 1.0 {
            due_messages -= 1.0;
            random = random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
            let sender = ((random >> 33) as usize % (sender_count + 10)).saturating_sub(10);
            events_by_sender[sender].push(Event::Message(message(next, 1, 1)));
            next += 1;
        }
        while let Some(due) = answers.first_entry().filter(|e| e.key().0 <= now) {
            events_by_sender[due.key().1].extend(due.remove());
        }
        for (index, (harness, events)) in senders.iter_mut().zip(events_by_sender).enumerate() {
            harness.now = now;
            for (id, endpoint) in sends(&harness.handle(events)) {
                let attempt = attempts.entry(id).or_default();
                let accepted = destination.accepts(now);
                if was_refused[index] {
                    calls.after_refusal.push(now - START_TIME);
                }
                was_refused[index] |= !accepted;
                let outcome = if accepted { Outcome::Served } else { Outcome::TurnedAway };
                if now - START_TIME >= from {
                    calls.served += usize::from(accepted);
                    calls.refused += usize::from(!accepted);
                }
                let end_of_call =
                    AttemptEnd { took: 80 * MS, ..attempt_end(id, *attempt, endpoint, outcome) };
                answers.entry((now + 80 * MS, index)).or_default().push(Event::AttemptEnd(end_of_call));
                *attempt += 1;
            }
        }
    }
    calls
}

#[test]
fn unreported_limit_is_used_and_not_used_up_by_refusals() {
    // Minimum share of the limit in use and maximum share of refused calls, for 1, 3 and 40 senders. Where
    // refused calls count for the limit, more calls than it allows leave none served.
    let kinds = [
        ("a rate", LimitKind::TokenBucket, [(0.9, 0.2), (0.9, 0.2), (0.9, 0.4)]),
        (
            "a count",
            LimitKind::Window { span: SECOND, refused: false },
            [(0.7, 0.2), (0.7, 0.2), (0.7, 0.45)],
        ),
        (
            "refused too",
            LimitKind::Window { span: 2 * SECOND, refused: true },
            [(0.7, 0.2), (0.6, 0.2), (0.35, 0.65)],
        ),
    ];
    for (name, limit_kind, bounds) in kinds {
        for (senders, (min_used, max_refused)) in [1, 3, 40].into_iter().zip(bounds) {
            let limit = 8.0;
            // One and a half times the limit.
            let calls = play(senders, |_| 1.5 * limit, limit, limit_kind, 60 * SECOND, 20 * SECOND);
            let used = calls.served as f64 / (limit * 40.0);
            let refused = calls.refused as f64 / (calls.served + calls.refused) as f64;
            assert!(used > min_used, "{senders} senders, {name}: {used:.2} of the limit in use");
            assert!(refused < max_refused, "{senders} senders, {name}: {refused:.2} of the calls refused");
        }
    }
}

#[test]
fn calls_are_not_paced_without_a_limit() {
    let calls = play(3, |_| 40.0, 0.0, LimitKind::Unlimited, 20 * SECOND, 2 * SECOND);
    assert!(calls.served as f64 > 0.97 * 40.0 * 18.0, "{} served", calls.served);
}

#[test]
fn exhausted_connections_are_no_outage() {
    let is_half_open = |outcome| {
        let mut harness = Harness::new(settings(), &[entry(1, 1, 0)]);
        harness.handle((0..9).map(|i| Event::Message(message(i, 1, 1))).collect());
        harness.now += 50 * MS;
        for id in 0..9 {
            harness.end_attempt(AttemptEnd { took: 50 * MS, done: true, ..attempt_end(id, 0, 1, outcome) });
        }
        harness.handle((20..24).map(|i| Event::Message(message(i, 1, 1))).collect());
        sends(&without_times(&harness.advance(2 * SECOND))).len() < 2
    };
    assert!(is_half_open(Outcome::NoConnection), "only spaced trial calls");
    assert!(!is_half_open(Outcome::Crowded), "the destination is up");
}

#[test]
fn keeps_connections_only_for_frequently_served_calls() {
    let large_fleet = Settings { sender_count: 300, ..settings() };
    let mut harness = Harness::new(large_fleet, &[entry(1, 1, 0)]);
    harness.handle((0..2).map(|i| Event::Message(message(i, 1, 1))).collect());
    let (mut attempt, mut closed) = (0, false);
    for n in 0..4 {
        harness.now += 50 * MS;
        let outcome = if n == 3 { Outcome::Served } else { Outcome::Crowded };
        closed =
            harness.end_attempt(attempt_end(0, attempt, 1, outcome)).contains(&Action::Close { endpoint: 1 });
        attempt += 1;
        while n < 3 && !sends(&harness.handle(vec![Event::Timer])).contains(&(0, 1)) {
            harness.now += 5 * MS;
        }
    }
    assert!(closed, "the connection is free for other senders");
}

#[test]
fn large_fleet_after_few_refusals_keeps_slow_start_budget() {
    let (outage_at, recovered_at) = (5 * SECOND, 14 * SECOND);
    let usual = 45.0;
    // Clients retry, and restarted senders resume their messages.
    let wanted = |t| if t < 10 * SECOND { usual } else { 6.0 * usual };
    let calls = play(300, wanted, 0.0, LimitKind::Outage(outage_at, recovered_at), 24 * SECOND, recovered_at);
    // Its capacity is its usual rate, with a fifth of it at first and all of it after 10 s.
    let capacity = usual;
    for from in (0..8).map(|i| recovered_at + i * SECOND) {
        let sent = calls.after_refusal.iter().filter(|&&t| t >= from && t < from + 2 * SECOND).count() as f64;
        let capacity_share = 0.2 + 0.8 * ((from + SECOND - recovered_at) as f64 / 10e9);
        let budget = 2.0 * capacity_share * capacity * 2.0;
        let max_sent = budget + 3.0 * budget.sqrt() + 3.0;
        assert!(sent <= max_sent, "{sent} calls in the 2 s from {} s, at most {max_sent:.0}", from / SECOND);
    }
    assert!(
        calls.served as f64 > 0.5 * usual * 10.0,
        "the recovered capacity is used: {} served",
        calls.served
    );
}
