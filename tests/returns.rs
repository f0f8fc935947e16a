//! Slow start under the calls of all senders together: small to large fleets of independent senders with
//! uneven load, and one destination that recovers from an outage with a part of its capacity.
mod common;
use common::*;
use sender::api::*;
use sender::policy::Sender;
use std::collections::BTreeMap;

/// How calls fail during the outage.
#[derive(Clone, Copy, Debug)]
enum OutageKind {
    /// No connection can be opened.
    NoConnections,
    /// Calls get no response.
    Silent,
    /// Each call gets an error response.
    Errors,
    /// Each call is refused without a requested wait.
    Refusals,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    senders: usize,
    /// Calls per second that the destination usually gets: four fifths of its limit, which is five sixths of
    /// its capacity.
    usual_rate: f64,
    /// Whether the list gives the limit.
    has_listed_limit: bool,
    outage: OutageKind,
    /// Share of the senders that restart without learned state two seconds before the recovery.
    restarted: f64,
    seed: u64,
}

/// Start of the outage, from the start of the play.
const OUTAGE_START: Ns = 8 * SECOND;
/// End of the outage.
const RECOVERY: Ns = 20 * SECOND;
/// End of the play.
const END: Ns = 34 * SECOND;

/// Plays a case. Returns the times of the calls after the recovery, and whether their senders had seen a call
/// fail during the outage.
fn play(case: Case, cfg: &Settings) -> Vec<(Ns, bool)> {
    let sender_count = case.senders;
    let mut random = case.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut draw = move || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        (random >> 11) as f64 / (1u64 << 53) as f64
    };
    let rate_hint = if case.has_listed_limit { case.usual_rate * 1.25 } else { 0.0 };
    let listed = Event::List { whole: true, entries: vec![Entry { rate_hint, ..entry(1, 1, 0) }] };
    let start_sender = |seed: u64, now: Ns| {
        let mut harness = Harness { sender: Sender::new(cfg.clone(), seed), now, actions: Vec::new() };
        harness.handle(vec![listed.clone()]);
        harness
    };
    let mut senders: Vec<Harness> =
        (0..sender_count as u64).map(|index| start_sender(case.seed * 1_000 + index, START_TIME)).collect();
    // Some senders have several times the mean load.
    let weights: Vec<f64> = (0..sender_count).map(|_| 0.2 - 1.4 * draw().max(1e-3).ln()).collect();
    let total_weight: f64 = weights.iter().sum();
    let restarts: Vec<bool> = (0..sender_count).map(|_| draw() < case.restarted).collect();
    let mut saw_failure = vec![false; sender_count];
    let mut lives = vec![0u64; sender_count];
    let mut answers: BTreeMap<(Ns, u64), (usize, u64, AttemptEnd)> = BTreeMap::new();
    let mut attempts = BTreeMap::<MsgId, u32>::new();
    // Open messages of each sender, for the restart.
    let mut held: Vec<BTreeMap<MsgId, (Message, Ns)>> = vec![BTreeMap::new(); sender_count];
    let mut calls = Vec::new();
    let (mut next_id, mut now) = (0, START_TIME);
    while now < START_TIME + END {
        now += 20 * MS;
        let elapsed = now - START_TIME;
        let mut events_by_sender: Vec<Vec<Event>> = vec![vec![Event::Timer]; sender_count];
        for index in 0..sender_count {
            if restarts[index] && elapsed == RECOVERY - 2 * SECOND {
                senders[index] = start_sender(case.seed * 77_000 + index as u64, now);
                (saw_failure[index], lives[index]) = (false, 1);
                for (&id, &(message, end)) in held[index].iter().filter(|(_, (_, end))| *end > now) {
                    let count = attempts.get(&id).copied().unwrap_or(0);
                    let past = PastAttempt { endpoint: Some(1), sent: now - SECOND, may_have_run: true };
                    let message = Message { time_left: end - now, ..message };
                    events_by_sender[index]
                        .push(Event::Resumed { message, past: vec![past; count as usize] });
                }
            }
            if draw() < case.usual_rate * weights[index] / total_weight * 0.02 {
                let message = message(next_id, 1, 1);
                events_by_sender[index].push(Event::Message(message));
                held[index].insert(next_id, (message, now + message.time_left));
                next_id += 1;
            }
        }
        while let Some(due) = answers.first_entry().filter(|e| e.key().0 <= now) {
            let (index, sender_life, end) = due.remove();
            if sender_life == lives[index] {
                // Only a failure during the outage tells the sender of the slow start to come.
                saw_failure[index] |= end.outcome != Outcome::Served && elapsed < RECOVERY;
                events_by_sender[index].push(Event::AttemptEnd(end));
            }
        }
        for (index, (harness, events)) in senders.iter_mut().zip(events_by_sender).enumerate() {
            harness.now = now;
            let actions = harness.handle(events);
            for action in &actions {
                match *action {
                    Action::Refuse { id, .. } | Action::Fail { id } => _ = held[index].remove(&id),
                    Action::Send { id, endpoint, limit, .. } => {
                        let attempt = attempts.entry(id).or_default();
                        let outage = (OUTAGE_START..RECOVERY).contains(&elapsed);
                        let (outcome, took) = match (outage, case.outage) {
                            (false, _) => (Outcome::Served, 120 * MS),
                            (_, OutageKind::NoConnections) => (Outcome::NoConnection, 10 * MS),
                            (_, OutageKind::Errors) => (Outcome::ServerError, 40 * MS),
                            (_, OutageKind::Refusals) => (Outcome::TurnedAway, 20 * MS),
                            (_, OutageKind::Silent) => {
                                let time_left = held[index].get(&id).map_or(0, |(_, end)| end - now).max(0);
                                (Outcome::NoAnswer, if limit > 0 { limit.min(time_left) } else { time_left })
                            }
                        };
                        if elapsed >= RECOVERY {
                            calls.push((elapsed, saw_failure[index]));
                            held[index].remove(&id);
                        }
                        let end_of_attempt =
                            AttemptEnd { took, ..attempt_end(id, *attempt, endpoint, outcome) };
                        let key = (now + took, next_id * 16 + u64::from(*attempt));
                        let key = (key.0, key.1 * 1_000_000 + id);
                        answers.insert(key, (index, lives[index], end_of_attempt));
                        *attempt += 1;
                    }
                    _ => {}
                }
            }
        }
    }
    calls
}

/// Returns the window with the largest excess of calls over N + 2 sqrt(N) + 2, where N is the budget of the
/// window: the excess, the calls and N.
fn worst(case: Case, cfg: &Settings, calls: &[(Ns, bool)]) -> (f64, f64, f64) {
    let window = cfg.overload_duration;
    let (mut worst, mut first) = ((f64::MIN, 0.0, 0.0), 0);
    // After the slow start the destination cannot be overloaded.
    let in_slow_start = |call: &&(Ns, bool)| call.1 && call.0 <= RECOVERY + cfg.slow_start_window;
    let calls: Vec<Ns> = calls.iter().filter(in_slow_start).map(|call| call.0).collect();
    for (last, &at) in calls.iter().enumerate() {
        while calls[first] <= at - window {
            first += 1;
        }
        // Mean capacity over the window that ends with this call.
        let middle = (at - window / 2 - RECOVERY).max(0) as f64 / cfg.slow_start_window as f64;
        let capacity_share = cfg.slow_start_capacity + (1.0 - cfg.slow_start_capacity) * middle.min(1.0);
        let budget = cfg.overload_factor * capacity_share * case.usual_rate * 1.5 * window as f64 / 1e9;
        let sent = (last + 1 - first) as f64;
        let excess = sent - (budget + 2.0 * budget.sqrt() + 2.0);
        if excess > worst.0 {
            worst = (excess, sent, budget);
        }
    }
    worst
}

/// Plays all cases of a kind and returns those that exceed the budget in some window.
fn over_budget(has_listed_limit: bool, restarted: f64) -> Vec<String> {
    let mut failures = Vec::new();
    for senders in [5, 20, 30, 300] {
        for usual_rate in [2.5, 8.0, 40.0] {
            for outage in
                [OutageKind::NoConnections, OutageKind::Silent, OutageKind::Errors, OutageKind::Refusals]
            {
                for seed in [1, 2] {
                    let case = Case { senders, usual_rate, has_listed_limit, outage, restarted, seed };
                    let base = Settings { max_open: 10_000, ..settings() };
                    let cfg = Settings { sender_count: senders, rate_hints: has_listed_limit, ..base };
                    let calls = play(case, &cfg);
                    assert!(!calls.is_empty(), "{case:?}: no call after the recovery");
                    let (excess, sent, budget) = worst(case, &cfg, &calls);
                    if excess > 0.0 {
                        failures.push(format!(
                            "{case:?}: {sent} calls with a budget of {budget:.1}, {excess:.1} too many"
                        ));
                    }
                }
            }
        }
    }
    failures
}

#[test]
fn fleet_with_listed_limit_keeps_slow_start_budget() {
    let failures = over_budget(true, 0.0);
    assert!(failures.is_empty(), "{} of 96 cases:\n{}", failures.len(), failures.join("\n"));
}

#[test]
fn fleet_restarted_in_outage_keeps_slow_start_budget() {
    let failures = over_budget(true, 0.7);
    assert!(failures.is_empty(), "{} of 96 cases:\n{}", failures.len(), failures.join("\n"));
}

#[test]
fn fleet_with_unknown_limit_keeps_slow_start_budget() {
    let failures = over_budget(false, 0.0);
    assert!(failures.is_empty(), "{} of 96 cases:\n{}", failures.len(), failures.join("\n"));
}
