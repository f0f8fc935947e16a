//! When the senders of a fleet call discovery.
use super::*;

/// From a call that failed to the time by which the next one is answered, where discovery is back in between: the
/// call that failed may have been given up only now, and the next one is answered at once.
fn told_after(pause: Duration) -> Duration {
    AT_ONCE + pause
}

#[test]
fn however_many_calls_failed_and_how_the_next_one_hears_the_news_before_they_count_as_told() {
    for senders in [1, 2, 5, 30, 300] {
        for seed in 0..200 {
            let mut backoff = Backoff::new(senders, seed);
            for call in 0..100 {
                let broken = (seed >> (call % 7)) & 1 == 0;
                let pause = if broken { backoff.begin_anew() } else { backoff.back_off() };
                let left = TOLD.checked_sub(told_after(pause));
                assert!(left >= Some(Duration::from_secs(1)), "{senders} senders, call {call}: {pause:?}");
                assert!(pause >= LEAST || call == 0, "{senders} senders, call {call}: {pause:?}");
            }
        }
    }
}

#[test]
fn a_fleet_that_fails_together_comes_back_without_a_crowd() {
    for senders in [30, 100, 300] {
        let mut fleet: Vec<Backoff> = (0..senders).map(|seed| Backoff::new(senders as usize, seed)).collect();
        // All fail at the same moments, as where a call is turned away at once by one that is down.
        for round in 0..20 {
            let mut at: Vec<Duration> = fleet.iter_mut().map(Backoff::back_off).collect();
            at.sort();
            let most = (0..25)
                .map(|i| MOST * i / 25)
                .map(|from| at.iter().filter(|&&t| t >= from && t < from + MOST / 25).count())
                .max();
            // A twenty-fifth of the time gets a twenty-fifth of them, give or take chance.
            let part = senders as f64 / 25.0;
            let bound = part + 5.0 * part.sqrt() + 2.0;
            assert!(most.is_some_and(|m| (m as f64) <= bound), "{senders} senders, {round}: {most:?}");
        }
    }
}

#[test]
fn a_small_fleet_asks_again_sooner_at_first() {
    let mean = |senders: usize| {
        let first = (0..200).map(|seed| Backoff::new(senders, seed).back_off().as_secs_f64());
        first.sum::<f64>() / 200.0
    };
    assert!(mean(1) < mean(3) && mean(3) < mean(10), "{} {} {}", mean(1), mean(3), mean(10));
}

#[test]
fn a_broken_watch_is_begun_anew_before_its_news_count_as_told_and_not_by_all_together() {
    let mut all = Vec::new();
    for seed in 0..300 {
        let mut backoff = Backoff::new(300, seed);
        let first = backoff.begin_anew();
        // Told 2 s after the wait, heeded 500 ms later.
        assert!(GRACE + first <= Duration::from_millis(1_600), "{first:?}");
        all.push((first, backoff.begin_anew()));
    }
    let at_once = all.iter().filter(|a| a.0 < Duration::from_millis(50)).count();
    assert!(at_once < 60, "{at_once} of 300 together");
    let mean = all.iter().map(|a| a.1.as_secs_f64()).sum::<f64>() / 300.0;
    assert!(mean > MOST.as_secs_f64() / 3.0, "they go on every {mean} s");
}

#[test]
fn an_answer_ends_the_back_off() {
    let mut backoff = Backoff::new(1, 3);
    let bound = |b: &mut Backoff| (0..200).map(|_| b.back_off()).max().unwrap();
    assert!(bound(&mut backoff) > FLEET_PAUSE);
    for _ in 0..100 {
        backoff.answered();
        assert!(backoff.back_off() <= FLEET_PAUSE);
    }
}

#[test]
fn watches_of_a_fleet_wait_longer_and_end_apart() {
    assert_eq!(Backoff::new(3, 1).wait(), WAIT);
    let mut fleet = Backoff::new(48, 1);
    let waits: Vec<Duration> = (0..10).map(|_| fleet.wait()).collect();
    assert!(waits.iter().all(|w| (Duration::from_secs(12)..=Duration::from_secs(24)).contains(w)));
    assert!(waits.iter().any(|w| w.abs_diff(waits[0]) > Duration::from_secs(1)));
}

#[test]
fn after_lists_over_their_bounds_the_pauses_grow_to_minutes_and_end_with_a_list_that_fits() {
    let mut backoff = Backoff::new(1, 3);
    let pauses: Vec<Duration> = (0..50).map(|_| backoff.after_refusal()).collect();
    assert!(pauses[0] >= REFUSED_FIRST / 2 && pauses[0] <= REFUSED_FIRST, "{:?}", pauses[0]);
    assert!(pauses[10..].iter().all(|p| (REFUSED_MOST / 2..=REFUSED_MOST).contains(p)), "{pauses:?}");
    assert!(pauses[10..].iter().any(|p| *p != pauses[10]), "spread");
    backoff.answered();
    assert!(backoff.after_refusal() <= REFUSED_FIRST);
}
