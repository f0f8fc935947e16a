//! Tests of the pauses between a fleet's calls to discovery.
use super::*;

/// Returns the longest time from the return of discovery to the start of the next call, given the pause
/// before that call: discovery may return just after the start of a call that takes all of
/// `IMMEDIATE_TIMEOUT` to fail.
fn longest_delay(pause: Duration) -> Duration {
    IMMEDIATE_TIMEOUT + pause
}

#[test]
fn next_call_comes_in_time_after_any_failures() {
    for senders in [1, 2, 5, 30, 300] {
        for seed in 0..200 {
            let mut backoff = Backoff::new(senders, seed);
            for call in 0..100 {
                let broken = (seed >> (call % 7)) & 1 == 0;
                let pause =
                    if broken { backoff.pause_after_unusable() } else { backoff.pause_after_failure() };
                let left = MAX_NEWS_DELAY.checked_sub(longest_delay(pause));
                assert!(left >= Some(Duration::from_secs(1)), "{senders} senders, call {call}: {pause:?}");
                assert!(pause >= MIN_PAUSE || call == 0, "{senders} senders, call {call}: {pause:?}");
            }
        }
    }
}

#[test]
fn fleet_that_failed_together_calls_again_spread_out() {
    for senders in [30, 100, 300] {
        let mut fleet: Vec<Backoff> = (0..senders).map(|seed| Backoff::new(senders as usize, seed)).collect();
        // All calls fail at the same time, as they are rejected at once while discovery is down.
        for round in 0..20 {
            let mut at: Vec<Duration> = fleet.iter_mut().map(Backoff::pause_after_failure).collect();
            at.sort();
            let most = (0..25)
                .map(|i| MAX_PAUSE * i / 25)
                .map(|from| at.iter().filter(|&&t| t >= from && t < from + MAX_PAUSE / 25).count())
                .max();
            // Each twenty-fifth of the time should get about a twenty-fifth of the calls.
            let expected = senders as f64 / 25.0;
            let bound = expected + 5.0 * expected.sqrt() + 2.0;
            assert!(most.is_some_and(|m| (m as f64) <= bound), "{senders} senders, round {round}: {most:?}");
        }
    }
}

#[test]
fn small_fleet_retries_sooner_at_first() {
    let mean = |senders: usize| {
        let first = (0..200).map(|seed| Backoff::new(senders, seed).pause_after_failure().as_secs_f64());
        first.sum::<f64>() / 200.0
    };
    assert!(mean(1) < mean(3) && mean(3) < mean(10), "{} {} {}", mean(1), mean(3), mean(10));
}

#[test]
fn broken_watch_restarts_in_time_and_spread_out() {
    let mut all = Vec::new();
    for seed in 0..300 {
        let mut backoff = Backoff::new(300, seed);
        let first = backoff.pause_after_unusable();
        // A change must be known 2 s after the wait and be applied 500 ms later.
        assert!(WATCH_GRACE + first <= Duration::from_millis(1_600), "{first:?}");
        all.push((first, backoff.pause_after_unusable()));
    }
    let at_once = all.iter().filter(|a| a.0 < Duration::from_millis(50)).count();
    assert!(at_once < 60, "{at_once} of 300 restart within 50 ms");
    let mean = all.iter().map(|a| a.1.as_secs_f64()).sum::<f64>() / 300.0;
    assert!(mean > MAX_PAUSE.as_secs_f64() / 3.0, "the mean of further pauses is {mean} s");
}

#[test]
fn answer_resets_backoff() {
    let mut backoff = Backoff::new(1, 3);
    let bound = |b: &mut Backoff| (0..200).map(|_| b.pause_after_failure()).max().unwrap();
    assert!(bound(&mut backoff) > FLEET_PAUSE);
    for _ in 0..100 {
        backoff.reset();
        assert!(backoff.pause_after_failure() <= FLEET_PAUSE);
    }
}

#[test]
fn watches_of_large_fleet_wait_longer_and_end_apart() {
    assert_eq!(Backoff::new(3, 1).watch_wait(), WATCH_WAIT);
    let mut fleet = Backoff::new(48, 1);
    let waits: Vec<Duration> = (0..10).map(|_| fleet.watch_wait()).collect();
    assert!(waits.iter().all(|w| (Duration::from_secs(12)..=Duration::from_secs(24)).contains(w)));
    assert!(waits.iter().any(|w| w.abs_diff(waits[0]) > Duration::from_secs(1)));
}

#[test]
fn refusal_pauses_grow_to_minutes_until_accepted_list() {
    let mut backoff = Backoff::new(1, 3);
    let pauses: Vec<Duration> = (0..50).map(|_| backoff.pause_after_refusal()).collect();
    assert!(pauses[0] >= FIRST_REFUSAL_PAUSE / 2 && pauses[0] <= FIRST_REFUSAL_PAUSE, "{:?}", pauses[0]);
    assert!(
        pauses[10..].iter().all(|p| (MAX_REFUSAL_PAUSE / 2..=MAX_REFUSAL_PAUSE).contains(p)),
        "{pauses:?}"
    );
    assert!(pauses[10..].iter().any(|p| *p != pauses[10]), "the pauses do not vary");
    backoff.reset();
    assert!(backoff.pause_after_refusal() <= FIRST_REFUSAL_PAUSE);
}
