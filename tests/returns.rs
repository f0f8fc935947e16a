//! Cold returns under the sum of all senders: a few to many of them, uneven, each alone, at one destination that was
//! away and comes back at a part of what it can do.
mod common;
use common::*;
use sender::api::*;
use sender::policy::Sender;
use std::collections::BTreeMap;

/// How calls fail while it is away.
#[derive(Clone, Copy, Debug)]
enum Away {
    /// No connection comes up.
    Down,
    /// Nothing is answered.
    Silent,
    /// Each call is answered with an error.
    Errors,
    /// Each call is refused without a wait.
    Shut,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    senders: usize,
    /// Calls a second that it usually gets: four fifths of its limit, which is five sixths of what it can do.
    usual: f64,
    /// Whether the list tells the limit.
    told: bool,
    away: Away,
    /// Share of the senders that start anew, with nothing learned, two seconds before the return.
    restarted: f64,
    seed: u64,
}

const AWAY: Ns = 8 * SECOND;
const BACK: Ns = 20 * SECOND;
const END: Ns = 34 * SECOND;

/// When calls reached it after it was back, and whether their sender had seen one fail there.
fn play(case: Case, cfg: &Settings) -> Vec<(Ns, bool)> {
    let n = case.senders;
    let mut random = case.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut draw = move || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        (random >> 11) as f64 / (1u64 << 53) as f64
    };
    let rate_hint = if case.told { case.usual * 1.25 } else { 0.0 };
    let listed = Event::List { whole: true, entries: vec![Entry { rate_hint, ..entry(1, 1, 0) }] };
    let begin = |seed: u64, now: Ns| {
        let mut stand = Harness { sender: Sender::new(cfg.clone(), seed), now, actions: Vec::new() };
        stand.handle(vec![listed.clone()]);
        stand
    };
    let mut senders: Vec<Harness> = (0..n as u64).map(|i| begin(case.seed * 1_000 + i, START_TIME)).collect();
    // Some have several times the mean.
    let weights: Vec<f64> = (0..n).map(|_| 0.2 - 1.4 * draw().max(1e-3).ln()).collect();
    let all: f64 = weights.iter().sum();
    let restarts: Vec<bool> = (0..n).map(|_| draw() < case.restarted).collect();
    let mut seen = vec![false; n];
    let mut lives = vec![0u64; n];
    let mut answers: BTreeMap<(Ns, u64), (usize, u64, AttemptEnd)> = BTreeMap::new();
    let mut attempts = BTreeMap::<MsgId, u32>::new();
    // Each sender's messages that have no end yet, for the restart.
    let mut held: Vec<BTreeMap<MsgId, (Message, Ns)>> = vec![BTreeMap::new(); n];
    let mut calls = Vec::new();
    let (mut next, mut now) = (0, START_TIME);
    while now < START_TIME + END {
        now += 20 * MS;
        let at = now - START_TIME;
        let mut given: Vec<Vec<Event>> = vec![vec![Event::Timer]; n];
        for i in 0..n {
            if restarts[i] && at == BACK - 2 * SECOND {
                senders[i] = begin(case.seed * 77_000 + i as u64, now);
                (seen[i], lives[i]) = (false, 1);
                for (&id, &(message, end)) in held[i].iter().filter(|(_, (_, end))| *end > now) {
                    let count = attempts.get(&id).copied().unwrap_or(0);
                    let past = PastAttempt { endpoint: Some(1), sent: now - SECOND, may_have_run: true };
                    let message = Message { time_left: end - now, ..message };
                    given[i].push(Event::Resumed { message, past: vec![past; count as usize] });
                }
            }
            if draw() < case.usual * weights[i] / all * 0.02 {
                let message = message(next, 1, 1);
                given[i].push(Event::Message(message));
                held[i].insert(next, (message, now + message.time_left));
                next += 1;
            }
        }
        while let Some(due) = answers.first_entry().filter(|e| e.key().0 <= now) {
            let (i, life, end) = due.remove();
            if life == lives[i] {
                // Only what is learned while it is away tells that it comes back cold.
                seen[i] |= end.outcome != Outcome::Served && at < BACK;
                given[i].push(Event::AttemptEnd(end));
            }
        }
        for (i, (stand, events)) in senders.iter_mut().zip(given).enumerate() {
            stand.now = now;
            let actions = stand.handle(events);
            for action in &actions {
                match *action {
                    Action::Refuse { id, .. } | Action::Fail { id } => _ = held[i].remove(&id),
                    Action::Send { id, endpoint, limit, .. } => {
                        let attempt = attempts.entry(id).or_default();
                        let away = (AWAY..BACK).contains(&at);
                        let (outcome, took) = match (away, case.away) {
                            (false, _) => (Outcome::Served, 120 * MS),
                            (_, Away::Down) => (Outcome::NoConnection, 10 * MS),
                            (_, Away::Errors) => (Outcome::ServerError, 40 * MS),
                            (_, Away::Shut) => (Outcome::TurnedAway, 20 * MS),
                            (_, Away::Silent) => {
                                let left = held[i].get(&id).map_or(0, |(_, end)| end - now).max(0);
                                (Outcome::NoAnswer, if limit > 0 { limit.min(left) } else { left })
                            }
                        };
                        if at >= BACK {
                            calls.push((at, seen[i]));
                            held[i].remove(&id);
                        }
                        let after = AttemptEnd { took, ..attempt_end(id, *attempt, endpoint, outcome) };
                        let key = (now + took, next * 16 + u64::from(*attempt));
                        let key = (key.0, key.1 * 1_000_000 + id);
                        answers.insert(key, (i, lives[i], after));
                        *attempt += 1;
                    }
                    _ => {}
                }
            }
        }
    }
    calls
}

/// The largest excess of calls in a window of the settings' length over N + 2 root N + 2, and the calls in it.
fn worst(case: Case, cfg: &Settings, calls: &[(Ns, bool)]) -> (f64, f64, f64) {
    let span = cfg.overload_duration;
    let (mut worst, mut first) = ((f64::MIN, 0.0, 0.0), 0);
    // Once it is warm it does not fall any more.
    let cold = |c: &&(Ns, bool)| c.1 && c.0 <= BACK + cfg.slow_start_window;
    let calls: Vec<Ns> = calls.iter().filter(cold).map(|c| c.0).collect();
    for (last, &at) in calls.iter().enumerate() {
        while calls[first] <= at - span {
            first += 1;
        }
        // What it can do in the mean of the window that ends with this call.
        let middle = (at - span / 2 - BACK).max(0) as f64 / cfg.slow_start_window as f64;
        let able = cfg.slow_start_capacity + (1.0 - cfg.slow_start_capacity) * middle.min(1.0);
        let n = cfg.overload_factor * able * case.usual * 1.5 * span as f64 / 1e9;
        let sent = (last + 1 - first) as f64;
        let over = sent - (n + 2.0 * n.sqrt() + 2.0);
        if over > worst.0 {
            worst = (over, sent, n);
        }
    }
    worst
}

/// Plays all cases of a kind; every one whose calls exceed the budget of some window.
fn over_budget(told: bool, restarted: f64) -> Vec<String> {
    let mut bad = Vec::new();
    for senders in [5, 20, 30, 300] {
        for usual in [2.5, 8.0, 40.0] {
            for away in [Away::Down, Away::Silent, Away::Errors, Away::Shut] {
                for seed in [1, 2] {
                    let case = Case { senders, usual, told, away, restarted, seed };
                    let more = Settings { max_open: 10_000, ..settings() };
                    let cfg = Settings { sender_count: senders, rate_hints: told, ..more };
                    let calls = play(case, &cfg);
                    assert!(!calls.is_empty(), "{case:?}: the return is not noticed");
                    let (over, sent, n) = worst(case, &cfg, &calls);
                    if over > 0.0 {
                        bad.push(format!("{case:?}: {sent} calls where N is {n:.1}, {over:.1} too many"));
                    }
                }
            }
        }
    }
    bad
}

#[test]
fn under_limits_that_are_told_a_fleet_keeps_the_budget_of_a_cold_return() {
    let bad = over_budget(true, 0.0);
    assert!(bad.is_empty(), "{} of 96 cases:\n{}", bad.len(), bad.join("\n"));
}

#[test]
fn a_fleet_restarted_in_the_outage_keeps_the_budget_of_a_cold_return() {
    let bad = over_budget(true, 0.7);
    assert!(bad.is_empty(), "{} of 96 cases:\n{}", bad.len(), bad.join("\n"));
}

#[test]
fn under_limits_that_nobody_tells_a_fleet_keeps_the_budget_of_a_cold_return() {
    let bad = over_budget(false, 0.0);
    assert!(bad.is_empty(), "{} of 96 cases:\n{}", bad.len(), bad.join("\n"));
}
