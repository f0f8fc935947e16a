//! Tests of when calls are due.
use super::*;

const GRACE: Duration = Duration::from_millis(500);

fn pushed(drain_grace: Duration, seed: u64, now: Instant) -> CallSchedule {
    let delivery = ListDelivery::Pushed { drain_grace: drain_grace.as_nanos() as i64 };
    CallSchedule::new(delivery, Backoff::new(3, seed), now)
}

fn requested(senders: usize, seed: u64, now: Instant) -> CallSchedule {
    CallSchedule::new(ListDelivery::Requested, Backoff::new(senders, seed), now)
}

/// What became of a call.
#[derive(Clone, Copy, Debug)]
enum Fate {
    List,
    Silence,
    Fails(CallFailure, Duration),
}

/// Plays calls until `rounds` have begun; returns when they began.
fn play(schedule: &mut CallSchedule, mut now: Instant, fates: &[Fate], rounds: usize) -> Vec<Instant> {
    let mut began = Vec::new();
    for round in 0..rounds {
        now = now.max(schedule.next_call(None));
        began.push(now);
        let wait = schedule.begin_call(now);
        match fates[round % fates.len()] {
            Fate::List => {
                now += wait;
                schedule.note_list(now);
            }
            Fate::Silence => {}
            Fate::Fails(failure, after) => {
                // A younger call begins if this one takes longer.
                if now + after < schedule.next_call(None) {
                    now += after;
                    schedule.note_failure(failure, now);
                }
            }
        }
    }
    began
}

fn longest_gap(began: &[Instant]) -> Duration {
    began.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap()
}

const FATES: [Fate; 6] = [
    Fate::List,
    Fate::Silence,
    Fate::Fails(CallFailure::NotAccepted, Duration::from_millis(1)),
    Fate::Fails(CallFailure::NotAccepted, Duration::from_millis(2_000)),
    Fate::Fails(CallFailure::Unusable, Duration::from_millis(1)),
    Fate::Fails(CallFailure::Unusable, Duration::from_millis(240)),
];

/// Guards against calls to a drained endpoint after its grace: whatever becomes of each call, the next one
/// begins early enough to bring the change, put it in force, and outlast a stall of the sender.
#[test]
fn pushed_lists_are_asked_for_within_grace_whatever_became_of_earlier_calls() {
    for grace in [GRACE, Duration::from_secs(1)] {
        for seed in 0..50 {
            let (now, mut random) = (Instant::now(), fastrand::Rng::with_seed(seed));
            let fates: Vec<Fate> = (0..97).map(|_| FATES[random.usize(0..FATES.len())]).collect();
            let began = play(&mut pushed(grace, seed, now), now, &fates, 500);
            assert!(longest_gap(&began) + MAX_STALL + APPLY_TIME <= grace, "seed {seed}");
        }
    }
}

#[test]
fn pushed_lists_are_watched_by_few_calls() {
    let now = Instant::now();
    for fate in FATES {
        let began = play(&mut pushed(GRACE, 1, now), now, &[fate], 101);
        // 100 calls at no more than six a second.
        assert!(began[100] - began[0] >= Duration::from_secs(100) / 6, "{fate:?}");
    }
}

#[test]
fn grace_that_is_too_short_or_very_long_gives_usable_interval() {
    let now = Instant::now();
    let interval = |grace| {
        let began = play(&mut pushed(grace, 1, now), now, &[Fate::Silence], 50);
        longest_gap(&began)
    };
    assert!(interval(Duration::ZERO) >= MIN_INTERVAL.mul_f64(MIN_INTERVAL_SHARE));
    assert!(interval(Duration::from_secs(60)) <= MAX_INTERVAL);
}

/// The next call after any that was not answered begins soon enough that its answer, which may take 2 s,
/// brings the change 6 s after discovery had it.
#[test]
fn requested_lists_are_asked_for_again_while_a_call_is_silent() {
    for senders in [1, 30, 300] {
        for seed in 0..50 {
            let now = Instant::now();
            let began = play(&mut requested(senders, seed, now), now, &[Fate::Silence], 100);
            assert!(longest_gap(&began) <= Duration::from_secs(3), "{senders} senders, seed {seed}");
        }
    }
}

/// A watch that is silent is followed by a call within 2 s after its wait.
#[test]
fn silent_watch_is_followed_by_call_in_time() {
    for seed in 0..50 {
        let now = Instant::now();
        let mut schedule = requested(300, seed, now);
        schedule.begin_call(now);
        schedule.note_list(now);
        let wait = schedule.begin_call(now);
        assert!(schedule.next_call(None) - (now + wait) <= Duration::from_millis(1_600));
        assert_eq!(schedule.begin_call(schedule.next_call(None)), Duration::ZERO);
    }
}

#[test]
fn refused_list_is_not_asked_for_again_at_once() {
    let now = Instant::now();
    for mut schedule in [pushed(GRACE, 1, now), requested(3, 1, now)] {
        schedule.begin_call(now);
        schedule.note_failure(CallFailure::OverLimits, now);
        assert!(schedule.next_call(None) - now >= Duration::from_secs(7));
        schedule.restart(now);
        assert_eq!(schedule.next_call(None), now);
    }
}

/// Guards against a call that never begins: on a busy machine every timer may be late.
#[test]
fn late_call_is_put_off_once() {
    const DELAY: Duration = Duration::from_millis(40);
    let now = Instant::now();
    let mut schedule = pushed(GRACE, 1, now);
    schedule.begin_call(now);
    for _ in 0..3 {
        let on_time = schedule.next_call(None) + MAX_TIMER_DELAY;
        assert!(!schedule.put_off_if_late(on_time));
        assert!(schedule.put_off_if_late(schedule.next_call(None) + DELAY));
        let late_again = schedule.next_call(None) + DELAY;
        assert!(!schedule.put_off_if_late(late_again));
        schedule.begin_call(late_again);
    }
}

/// A long list that last made progress at this time.
fn long_list(last_progress: Instant, retries: u32) -> Option<LongList> {
    Some(LongList { last_progress, retries })
}

/// Guards against a long list that falls silent in its middle and hides a drain.
#[test]
fn silent_long_list_puts_off_pushed_call_within_grace() {
    let now = Instant::now();
    let mut schedule = pushed(GRACE, 1, now);
    schedule.begin_call(now);
    schedule.note_list(now);
    schedule.begin_call(now);
    let planned = schedule.next_call(None);
    assert_eq!(schedule.next_call(long_list(now, 0)), planned);
    let progress = now + Duration::from_millis(100);
    let next_call = schedule.next_call(long_list(progress, 0));
    assert!(next_call > planned, "a list that keeps coming puts off the call");
    assert!(next_call + MAX_STALL + APPLY_TIME <= progress + GRACE);
}

/// Guards against a slow agent that never brings a long list, as it works for ever more calls beside it.
#[test]
fn further_retries_beside_silent_long_list_are_put_off_longer() {
    let now = Instant::now();
    let schedule = pushed(GRACE, 1, now);
    for retries in 1..4 {
        assert_eq!(schedule.next_call(long_list(now, retries)), now + MAX_LIST_SILENCE);
    }
}

#[test]
fn long_list_may_be_silent_for_longer_where_lists_are_requested() {
    let now = Instant::now();
    let schedule = requested(3, 1, now);
    assert_eq!(schedule.next_call(long_list(now, 0)), now + MAX_LIST_SILENCE);
}
