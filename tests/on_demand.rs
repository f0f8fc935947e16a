//! State on demand: the module holds state for the destinations with work and for those whose state still
//! matters, whatever is listed, and what comes back from being forgotten breaks no rule.
mod common;
mod heap;
use common::*;
use sender::api::*;
use sender::on_demand::{Directory, OnDemandList};
use sender::policy::Sender;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{SystemTime, UNIX_EPOCH};

/// Idle destinations that the policy keeps at most, and for how long it keeps them.
const MOST_IDLE: usize = 2_048;
const IDLE_FOR: Ns = 60 * SECOND;
/// The periodic part runs so often, and forgets so often.
const PERIOD: Ns = 100 * MS;
const FORGETS: Ns = 10 * SECOND;
/// Destinations without work that are told of in one batch after a whole list.
const CATCH_UP: usize = 128;
/// Destinations that are looked at for being unused in one batch.
const FORGET_AT_ONCE: usize = 512;
/// Destinations that `Driver::crowd` uses start here.
const CROWD: DestId = 1_000_000;

/// The seed of a test's draws: ON_DEMAND_SEED, or a new one; it is printed.
fn seed() -> u64 {
    let new = || SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
    let seed = std::env::var("ON_DEMAND_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(new);
    println!("ON_DEMAND_SEED={seed}");
    seed
}

/// Xorshift.
struct Draws(u64);

impl Draws {
    fn new(seed: u64) -> Draws {
        Draws(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }
}

/// Destination `d` below `listed`, and those of the crowd, have one endpoint of the same number, except where
/// `changed` says otherwise (None: not listed).
#[derive(Clone, Default)]
struct Listed {
    listed: DestId,
    changed: BTreeMap<EndpointId, Option<Entry>>,
}

impl Listed {
    fn set(&mut self, entry: Entry) {
        self.changed.insert(entry.endpoint, Some(entry));
    }
    fn remove(&mut self, endpoint: EndpointId) {
        self.changed.insert(endpoint, None);
    }
}

impl Directory for Listed {
    fn entry(&self, endpoint: EndpointId) -> Option<Entry> {
        let by_number = u64::from(endpoint) < self.listed || u64::from(endpoint) >= CROWD;
        let unchanged = by_number.then(|| entry(endpoint, endpoint.into(), 0));
        self.changed.get(&endpoint).copied().unwrap_or(unchanged)
    }
    fn endpoints_of(&self, destination: DestId) -> Vec<EndpointId> {
        let changed = self.changed.values().flatten().filter(|e| e.dest == destination).map(|e| e.endpoint);
        let same = Some(destination as EndpointId).filter(|e| !self.changed.contains_key(e));
        let same = same.filter(|&e| self.entry(e).is_some());
        changed.chain(same).collect::<BTreeSet<_>>().into_iter().collect()
    }
}

/// A module whose caller looks up destinations in a directory.
struct Driver {
    stand: Harness,
    listed: Listed,
    on_demand: OnDemandList,
    events: Vec<Event>,
    next: MsgId,
    crowd: DestId,
}

impl Driver {
    fn new(cfg: Settings, listed: Listed) -> Driver {
        Driver::with_seed(cfg, listed, 7)
    }

    fn with_seed(cfg: Settings, listed: Listed, seed: u64) -> Driver {
        let stand = Harness { sender: Sender::new(cfg, seed), now: START_TIME, actions: Vec::new() };
        let on_demand = OnDemandList::default();
        let mut driver = Driver { stand, listed, on_demand, events: Vec::new(), next: 1 << 32, crowd: CROWD };
        driver.replaced();
        driver.round();
        driver
    }

    fn message(&mut self, message: Message) {
        let policy = &self.stand.sender;
        self.on_demand.before_message(policy, &self.listed, message.dest, &mut self.events);
        self.events.push(Event::Message(message));
    }

    fn changed(&mut self, endpoints: &[EndpointId]) {
        self.on_demand.endpoints_changed(&self.stand.sender, &self.listed, endpoints, &mut self.events);
    }

    fn replaced(&mut self) {
        self.on_demand.directory_replaced(&self.stand.sender, &self.listed, &mut self.events);
    }

    /// Events as the module is given them in one batch.
    fn batch(&mut self) -> Vec<Event> {
        let mut events = std::mem::take(&mut self.events);
        self.on_demand.tell_pending(&self.stand.sender, &self.listed, CATCH_UP, &mut events);
        events
    }

    fn round(&mut self) -> Vec<Action> {
        let events = self.batch();
        self.give(events)
    }

    fn give(&mut self, events: Vec<Event>) -> Vec<Action> {
        let actions = self.stand.handle(events);
        self.on_demand.events_handled();
        actions
    }

    fn take(&mut self, message: Message) -> Vec<(MsgId, EndpointId)> {
        self.message(message);
        sends(&self.round())
    }

    fn end(&mut self, end: AttemptEnd) -> Vec<Action> {
        self.events.push(Event::AttemptEnd(end));
        self.round()
    }

    /// Takes a message, which has to go at once, and ends its attempt so; its client takes it back then.
    fn call(&mut self, message: Message, outcome: Outcome) {
        let (id, endpoint) = self.take(message)[0];
        self.stand.now += 10 * MS;
        self.end(AttemptEnd { took: 10 * MS, done: true, ..attempt_end(id, 0, endpoint, outcome) });
    }

    /// Lets time pass in periods.
    fn pass(&mut self, span: Ns) -> Vec<Action> {
        let until = self.stand.now + span;
        let mut all = Vec::new();
        while self.stand.now < until {
            self.stand.now += PERIOD;
            self.events.push(Event::Timer);
            all.extend(self.round());
        }
        all
    }

    /// Works on so many destinations that were never used, eight at a time; gives back all other calls that went.
    fn crowd(&mut self, count: u64) -> Vec<(MsgId, EndpointId)> {
        let mut others = Vec::new();
        for _ in 0..count.div_ceil(8) {
            let first = self.next;
            for _ in 0..8 {
                self.message(message(self.next, self.crowd, 1));
                (self.next, self.crowd) = (self.next + 1, self.crowd + 1);
            }
            let mut out = sends(&self.round());
            while !out.is_empty() {
                self.stand.now += MS;
                let (mine, theirs) = out.into_iter().partition(|&(id, _)| id >= first);
                others.extend::<Vec<_>>(theirs);
                let ends = mine.into_iter().map(|(id, endpoint): (MsgId, _)| AttemptEnd {
                    took: MS,
                    ..attempt_end(id, 0, endpoint, Outcome::Served)
                });
                self.events.extend(ends.map(Event::AttemptEnd));
                out = sends(&self.round());
            }
        }
        others
    }

    /// Has all forgotten that may be: time for the age, and a crowd for the count.
    fn press(&mut self) {
        self.pass(IDLE_FOR + 2 * FORGETS);
        let others = self.crowd(2 * MOST_IDLE as u64 + 500);
        assert!(others.is_empty(), "nothing else goes meanwhile: {others:?}");
        self.pass(FORGETS);
    }

    fn knows(&self, destination: DestId) -> bool {
        self.stand.sender.knows_destination(destination)
    }

    fn known(&self) -> usize {
        self.stand.sender.known_destinations().count()
    }
}

fn listed(count: DestId) -> Listed {
    Listed { listed: count, ..Listed::default() }
}

/// Messages and cold returns that outlast being idle.
fn long() -> Settings {
    let classes = settings().classes.into_iter();
    let classes =
        classes.map(|c| Class { deadline: 900 * SECOND, dedup_window: 800 * SECOND, ..c }).collect();
    Settings { classes, slow_start_window: 300 * SECOND, ..settings() }
}

fn long_message(id: MsgId, dest: DestId, class: usize) -> Message {
    Message { time_left: 900 * SECOND, ..message(id, dest, class) }
}

#[test]
fn state_and_memory_follow_the_destinations_with_work_and_not_those_listed() {
    let seed = seed();
    let mut held = Vec::new();
    for count in [1_000, 10_000, 100_000, 350_000] {
        let directory = listed(count);
        let before = heap::bytes();
        let mut driver = Driver::new(settings(), directory);
        let mut draws = Draws::new(seed);
        for id in 0..300 {
            let used = draws.below(200);
            driver.call(message(id, used, 0), Outcome::Served);
        }
        driver.replaced();
        driver.round();
        let used = driver.known();
        assert!(used > 100 && used <= 200, "{used} of {count}");
        assert_eq!(driver.stand.sender.known_endpoints().count(), used);
        held.push(heap::bytes() - before);
    }
    println!("{held:?} bytes");
    assert!(held.iter().all(|bytes| bytes == &held[0]), "{held:?} bytes: nothing by what is listed");
    assert!(held[0] < 300 * 1_024, "{held:?} bytes");
}

#[test]
fn a_destination_that_is_not_used_is_forgotten_by_age_and_begins_anew() {
    let mut driver = Driver::new(settings(), listed(10));
    driver.call(message(1, 3, 0), Outcome::Served);
    driver.pass(IDLE_FOR - SECOND);
    assert!(driver.knows(3) && driver.stand.sender.knows_endpoint(3));
    let looked_up = |driver: &mut Driver, dest| {
        driver.message(message(dest, dest, 0));
        driver.events.iter().any(|e| matches!(e, Event::LookedUp { .. }))
    };
    assert!(!looked_up(&mut driver, 3), "it is known");
    assert!(looked_up(&mut driver, 4), "it is not");
    driver.round();
    for id in [3, 4] {
        driver.end(attempt_end(id, 0, id as EndpointId, Outcome::Served));
    }
    driver.pass(IDLE_FOR - SECOND);
    assert!(driver.knows(3));
    driver.pass(2 * FORGETS);
    assert!(!driver.knows(3) && !driver.stand.sender.knows_endpoint(3));
    assert_eq!(driver.take(message(2, 3, 0)), [(2, 3)]);
    assert!(driver.knows(3));
}

#[test]
fn past_a_bound_the_longest_unused_are_forgotten_first_whatever_their_age() {
    let mut driver = Driver::new(settings(), listed(10));
    let (mut most, mut bytes) = (0, [0; 2]);
    for round in 0..60 {
        driver.crowd(200);
        driver.pass(PERIOD);
        most = most.max(driver.known());
        bytes[round / 30] = bytes[round / 30].max(heap::bytes());
    }
    assert!(bytes[1] <= bytes[0] + bytes[0] / 10, "{bytes:?} bytes: nothing is left of what is forgotten");
    // As many again may come before it is looked at, and those of a period.
    assert!(most <= 2 * MOST_IDLE + 200, "{most} of {}", driver.crowd - CROWD);
    assert!(driver.known() >= MOST_IDLE, "{} are kept, all younger than the age", driver.known());
    let kept = driver.crowd - driver.known() as DestId..driver.crowd;
    assert!(driver.stand.sender.known_destinations().eq(kept), "the last ones used");
    driver.pass(IDLE_FOR + 2 * FORGETS);
    assert_eq!(driver.known(), 0);
}

#[test]
fn a_caller_that_never_looks_up_has_nothing_forgotten_that_is_listed() {
    let entries: Vec<Entry> = (0..5_000).map(|e| entry(e, e.into(), 0)).collect();
    let mut s = Harness::new(settings(), &entries);
    s.submit(message(1, 3, 0));
    s.now += 100 * MS;
    s.end_attempt(attempt_end(1, 0, 3, Outcome::Served));
    for _ in 0..1_000 {
        s.now += PERIOD;
        s.handle(vec![Event::Timer]);
    }
    assert_eq!(s.sender.known_destinations().count(), 5_000);
}

#[test]
fn a_destination_with_a_call_out_is_kept() {
    let mut driver = Driver::new(long(), listed(10));
    let sent = driver.take(long_message(1, 3, 2));
    assert_eq!(sent, [(1, 3)]);
    driver.press();
    assert!(driver.knows(3));
    driver.end(AttemptEnd { took: 100 * SECOND, ..attempt_end(1, 0, 3, Outcome::Served) });
    driver.press();
    assert!(!driver.knows(3), "nothing is out any more");
}

#[test]
fn destinations_with_work_held_are_all_kept_however_many() {
    const USED: u64 = 3 * MOST_IDLE as u64 / 2;
    let mut driver = Driver::new(Settings { max_open: 10_000, ..long() }, listed(USED));
    (0..USED).for_each(|dest| driver.message(long_message(dest, dest, 1)));
    let mut sent = sends(&driver.round());
    assert_eq!(sent.len(), 12, "the others are held");
    let actions = driver.pass(2 * FORGETS);
    assert!(sends(&actions).is_empty());
    assert_eq!(driver.known() as u64, USED);
    assert_eq!(driver.stand.sender.known_endpoints().count() as u64, USED);
    let mut served = 0;
    while !sent.is_empty() {
        driver.stand.now += 10 * MS;
        served += sent.len() as u64;
        let ends = sent.into_iter().map(|(id, endpoint)| attempt_end(id, 0, endpoint, Outcome::Served));
        driver.events.extend(ends.map(Event::AttemptEnd));
        sent = sends(&driver.round());
    }
    assert_eq!(served, USED);
}

#[test]
fn an_endpoint_that_has_moved_with_a_call_out_is_kept() {
    let mut driver = Driver::new(long(), listed(10));
    driver.take(long_message(1, 3, 2));
    driver.call(long_message(2, 4, 2), Outcome::Served);
    driver.listed.set(entry(3, 4, 0));
    driver.changed(&[3]);
    driver.press();
    assert!(driver.knows(4), "endpoint 3 is its own, with a call for 3 out");
    assert!((3..5).all(|e| driver.stand.sender.knows_endpoint(e)), "it is kept whole");
    driver.end(AttemptEnd { took: 100 * SECOND, ..attempt_end(1, 0, 3, Outcome::Served) });
    driver.press();
    assert!(!driver.knows(4) && !driver.stand.sender.knows_endpoint(3));
}

#[test]
fn a_destination_with_work_held_is_kept_and_a_repeat_goes_inside_its_window_alone() {
    let mut driver = Driver::new(long(), listed(10));
    let born = driver.stand.now;
    driver.take(long_message(1, 3, 0));
    driver.stand.now += SECOND;
    driver.listed.remove(3);
    driver.changed(&[3]);
    driver.end(AttemptEnd { took: SECOND, ..attempt_end(1, 0, 3, Outcome::NoAnswer) });
    driver.press();
    assert!(driver.knows(3), "the message waits for an endpoint");
    assert!(!driver.stand.sender.knows_endpoint(3));
    driver.listed.set(entry(3, 3, 0));
    driver.changed(&[3]);
    let actions = driver.round();
    let by =
        |a: &Action| matches!(a, Action::Send { id: 1, endpoint: 3, by, .. } if *by == born + 800 * SECOND);
    assert!(actions.iter().any(by), "{actions:?}");
}

#[test]
fn a_told_wait_is_kept_to_its_end() {
    let mut driver = Driver::new(settings(), listed(10));
    driver.take(message(1, 3, 0));
    let wait = 300 * SECOND;
    let over = driver.stand.now + wait;
    driver.end(AttemptEnd { retry_after: wait, done: true, ..attempt_end(1, 0, 3, Outcome::TurnedAway) });
    driver.press();
    assert!(driver.knows(3));
    assert!(driver.take(message(2, 3, 0)).is_empty(), "the wait is still on");
    driver.events.push(Event::Withdrawn { id: 2 });
    driver.pass(over - driver.stand.now + FORGETS);
    driver.press();
    assert!(!driver.knows(3), "it is over");
}

#[test]
fn a_pause_after_refusals_is_kept_to_its_end() {
    let mut driver = Driver::new(settings(), listed(10));
    let mut now = driver.stand.now;
    // Each pause is twice as long as the one before.
    for id in 0..5 {
        while driver.take(message(id, 3, 0)).is_empty() {
            driver.events.push(Event::Withdrawn { id });
            driver.round();
            driver.stand.now += 500 * MS;
        }
        driver.stand.now += 10 * MS;
        now = driver.stand.now;
        let report = Some(LimitReport { remaining: 0.0, limit: 1_000.0 });
        driver.end(AttemptEnd {
            took: 10 * MS,
            done: true,
            report,
            ..attempt_end(id, 0, 3, Outcome::TurnedAway)
        });
    }
    // The crowd is there and gone before the pause ends: eight times 100 ms at least.
    driver.stand.now += 150 * MS;
    driver.round();
    driver.crowd(2 * MOST_IDLE as u64 + 500);
    driver.stand.now = driver.stand.now.max(now + 150 * MS);
    assert!(driver.stand.now < now + 790 * MS, "{} ms", (driver.stand.now - now) / MS);
    assert!(driver.knows(3));
    assert!(driver.take(message(9, 3, 0)).is_empty());
}

#[test]
fn a_destination_in_doubt_is_kept_and_gets_single_trials() {
    let mut driver = Driver::new(settings(), listed(10));
    driver.message(message(1, 3, 0));
    driver.message(message(2, 3, 0));
    driver.message(message(3, 3, 0));
    assert_eq!(sends(&driver.round()).len(), 3);
    driver.stand.now += 10 * MS;
    for id in 1..4 {
        driver.end(AttemptEnd { done: true, ..attempt_end(id, 0, 3, Outcome::NoConnection) });
    }
    driver.press();
    driver.pass(900 * SECOND);
    assert!(driver.knows(3));
    (4..9).for_each(|id| driver.message(message(id, 3, 0)));
    assert_eq!(sends(&driver.round()).len(), 1, "a trial");
}

#[test]
fn a_destination_that_is_still_cold_is_kept_for_as_long() {
    let cfg = Settings { rate_hints: true, ..long() };
    let mut directory = listed(10);
    directory.set(Entry { rate_hint: 10.0, ..entry(3, 3, 0) });
    let mut driver = Driver::new(cfg, directory);
    // Its share of the limit has grown by then.
    driver.pass(10 * SECOND);
    (1..4).for_each(|id| driver.message(message(id, 3, 0)));
    assert_eq!(sends(&driver.round()).len(), 3);
    driver.stand.now += 10 * MS;
    for id in 1..4 {
        driver.end(AttemptEnd { done: true, ..attempt_end(id, 0, 3, Outcome::NoConnection) });
    }
    driver.stand.now += 10 * SECOND;
    driver.call(message(4, 3, 0), Outcome::Served);
    let back = driver.stand.now;
    driver.press();
    assert!(driver.knows(3));
    // A fifth of 10 a second while cold, and a bit more, times the budget, between two senders.
    (5..15).for_each(|id| driver.message(message(id, 3, 0)));
    assert_eq!(sends(&driver.round()).len(), 1, "no burst");
    (5..15).for_each(|id| driver.events.push(Event::Withdrawn { id }));
    driver.end(AttemptEnd { done: true, ..attempt_end(5, 0, 3, Outcome::Served) });
    driver.pass(back + 301 * SECOND - driver.stand.now);
    driver.press();
    assert!(!driver.knows(3), "it is warm");
}

#[test]
fn an_endpoint_taken_out_by_operators_is_kept_and_while_it_is_cold_after_that() {
    let mut driver = Driver::new(long(), listed(10));
    driver.call(message(1, 3, 0), Outcome::Served);
    let maint = |out, at| Event::Maint { endpoint: 3, out, at };
    driver.events.push(maint(true, driver.stand.now));
    driver.press();
    assert!(driver.knows(3));
    assert!(driver.take(message(2, 3, 0)).is_empty(), "it is out");
    driver.events.push(Event::Withdrawn { id: 2 });
    let back = driver.stand.now;
    driver.events.push(maint(false, back));
    driver.press();
    assert!(driver.knows(3) && driver.stand.now < back + 300 * SECOND);
    (3..9).for_each(|id| driver.message(message(id, 3, 0)));
    assert_eq!(sends(&driver.round()).len(), 1, "it is cold");
    (3..9).for_each(|id| driver.events.push(Event::Withdrawn { id }));
    driver.end(AttemptEnd { done: true, ..attempt_end(3, 0, 3, Outcome::Served) });
    driver.pass(back + 301 * SECOND - driver.stand.now);
    driver.press();
    assert!(!driver.knows(3));
}

#[test]
fn a_destination_with_an_endpoint_just_put_back_is_kept_whole() {
    let mut directory = listed(10);
    directory.set(entry(50, 3, 0));
    let mut driver = Driver::new(long(), directory);
    driver.call(message(1, 3, 0), Outcome::Served);
    for out in [true, false] {
        driver.events.push(Event::Maint { endpoint: 3, out, at: driver.stand.now });
    }
    driver.press();
    assert!([3, 50].iter().all(|&e| driver.stand.sender.knows_endpoint(e)));
}

#[test]
fn an_endpoint_put_back_whose_destination_is_not_known_is_cold_when_it_is_looked_up() {
    let cold_calls = |put_back: bool| {
        let mut driver = Driver::new(long(), listed(10));
        let now = driver.stand.now;
        driver.events.push(Event::Maint { endpoint: 3, out: true, at: now });
        driver.press();
        assert!(!driver.knows(3), "there was never work for it");
        assert!(driver.take(message(1, 3, 0)).is_empty(), "it is out all the same");
        driver.events.push(Event::Withdrawn { id: 1 });
        if put_back {
            driver.events.push(Event::Maint { endpoint: 3, out: false, at: driver.stand.now });
        }
        driver.press();
        (2..9).for_each(|id| driver.message(message(id, 3, 0)));
        sends(&driver.round()).len()
    };
    assert_eq!((cold_calls(false), cold_calls(true)), (0, 1));
}

#[test]
fn a_key_rests_though_its_destination_is_forgotten() {
    let classes = vec![Class { in_order: true, ..class(Effect::Keyed) }, class(Effect::Safe)];
    let cfg = Settings { classes, key_quiet_period: 300 * SECOND, ..settings() };
    let mut driver = Driver::new(cfg, listed(10));
    let keyed = |id| Message { key: Some(5), ..message(id, 3, 0) };
    driver.take(keyed(1));
    let rests_until = driver.stand.now + 300 * SECOND;
    driver.end(AttemptEnd { done: true, ..attempt_end(1, 0, 3, Outcome::NoAnswer) });
    driver.press();
    assert!(!driver.knows(3));
    assert!(driver.stand.now < rests_until);
    assert!(driver.take(keyed(2)).is_empty(), "the attempt before may still run");
    assert_eq!(driver.take(message(3, 3, 1)), [(3, 3)], "without the key it goes");
    driver.events.push(Event::Withdrawn { id: 2 });
    driver.pass(rests_until - driver.stand.now);
    assert_eq!(driver.take(keyed(4)), [(4, 3)]);
}

#[test]
fn thousands_that_are_down_for_long_and_touched_now_and_then_are_kept_in_bounded_memory() {
    const LISTED: u64 = 350_000;
    const DOWN: u64 = 3_850;
    let mut draws = Draws::new(seed());
    let mut driver = Driver::new(settings(), listed(LISTED));
    let mut answers: Vec<AttemptEnd> = Vec::new();
    let mut attempts = BTreeMap::<MsgId, u32>::new();
    let mut bytes = Vec::new();
    let mut failures = BTreeMap::<DestId, u32>::new();
    for round in 0..9_000u64 {
        driver.stand.now += PERIOD;
        driver.events.extend(answers.drain(..).map(Event::AttemptEnd));
        // Each that is down is touched for the first time in the first third, and all over again after that.
        let sick = if round < 3_000 { round * DOWN / 3_000..(round + 1) * DOWN / 3_000 } else { 0..0 };
        let so_far = ((round + 1) * DOWN / 3_000).clamp(1, DOWN);
        let mut touched: Vec<DestId> = sick.collect();
        touched.extend((0..5).map(|_| DOWN + draws.below(LISTED - DOWN)));
        touched.extend((0..2).map(|_| draws.below(so_far)));
        for dest in touched {
            driver.message(Message { time_left: 2 * SECOND, ..message(driver.next, dest, 1) });
            driver.next += 1;
        }
        for action in driver.round() {
            match action {
                Action::Send { id, endpoint, .. } => {
                    let attempt = attempts.entry(id).or_default();
                    let down = u64::from(endpoint) < DOWN;
                    let outcome = if down { Outcome::NoConnection } else { Outcome::Served };
                    answers
                        .push(AttemptEnd { took: 10 * MS, ..attempt_end(id, *attempt, endpoint, outcome) });
                    *attempt += 1;
                    if down {
                        *failures.entry(endpoint.into()).or_default() += 1;
                    } else {
                        attempts.remove(&id);
                    }
                }
                Action::Refuse { id, .. } | Action::Fail { id } => _ = attempts.remove(&id),
                _ => {}
            }
        }
        if round >= 3_000 && round % 100 == 99 {
            bytes.push(heap::bytes());
        }
    }
    // Three calls in a row have to fail before the answer of the last round.
    let doubtful: Vec<DestId> = failures.iter().filter(|(_, &n)| n > 3).map(|(&dest, _)| dest).collect();
    assert!(doubtful.len() as u64 > DOWN * 9 / 10, "{} of {DOWN} are in doubt", doubtful.len());
    assert!(doubtful.iter().all(|&dest| driver.knows(dest)), "all that are in doubt are kept");
    assert!(driver.known() <= DOWN as usize + 2 * MOST_IDLE + 100, "{} are known", driver.known());
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    let most = |bytes: &[isize]| bytes.iter().copied().max().unwrap_or(0);
    println!("{} known, {} bytes at most, then {}", driver.known(), most(first), most(rest));
    assert!(most(rest) <= most(first) + most(first) / 20, "{} bytes, then {}", most(first), most(rest));
}

#[test]
fn calls_to_a_destination_stay_under_its_cap_when_it_comes_back_from_being_forgotten() {
    let cfg = Settings { may_cancel: false, ..long() };
    let mut driver = Driver::new(cfg, listed(10));
    for life in 0..3u64 {
        let mut out = BTreeSet::new();
        for n in 0..40 {
            let sent = driver.take(long_message(life * 100 + n, 3, 1));
            out.extend(sent);
            assert!(out.len() <= 9, "three quarters of 12: {}", out.len());
        }
        // It hangs, and then all is taken back.
        for _ in 0..100 {
            driver.stand.now += PERIOD;
            driver.events.push(Event::Timer);
            out.extend(sends(&driver.round()));
            assert!(out.len() <= 9, "three quarters of 12: {}", out.len());
        }
        (0..40).for_each(|n| driver.events.push(Event::Withdrawn { id: life * 100 + n }));
        driver.round();
        driver.crowd(2 * MOST_IDLE as u64 + 500);
        assert!(driver.knows(3), "its calls are out");
        for (id, endpoint) in out {
            driver.end(AttemptEnd {
                took: 20 * SECOND,
                done: true,
                ..attempt_end(id, 0, endpoint, Outcome::Served)
            });
        }
        driver.pass(400 * SECOND);
        assert!(!driver.knows(3));
    }
}

/// A fleet with one destination in use that is away from 8 to 20 s and comes back cold; each sender has no work for it before its return and is crowded then. Gives the worst excess over the budget of the calls in a window of the settings' length.
fn cold_return(senders: usize, usual: f64, outcome: Outcome, seed: u64) -> (f64, usize) {
    const BACK: Ns = 20 * SECOND;
    let cfg = Settings { sender_count: senders, rate_hints: true, max_open: 10_000, ..settings() };
    let mut directory = listed(0);
    directory.set(Entry { rate_hint: usual * 1.25, ..entry(1, 1, 0) });
    let begin = |i| Driver::with_seed(cfg.clone(), directory.clone(), seed * 1_000 + i as u64);
    let mut fleet: Vec<Driver> = (0..senders).map(begin).collect();
    let mut draws = Draws::new(seed);
    let mut answers: Vec<(Ns, usize, AttemptEnd)> = Vec::new();
    let mut attempts = BTreeMap::<MsgId, u32>::new();
    let (mut next, mut calls) = (0, Vec::new());
    let mut now = START_TIME;
    while now < START_TIME + BACK + cfg.slow_start_window {
        now += 20 * MS;
        let at = now - START_TIME;
        let away = (8 * SECOND..BACK).contains(&at);
        for (i, driver) in fleet.iter_mut().enumerate() {
            driver.stand.now = driver.stand.now.max(now);
            driver.events.push(Event::Timer);
            let due = |a: &(Ns, usize, AttemptEnd)| a.0 <= now && a.1 == i;
            driver.events.extend(answers.iter().filter(|a| due(a)).map(|a| Event::AttemptEnd(a.2)));
            answers.retain(|a| !due(a));
            if (draws.below(1_000_000) as f64) < usual / senders as f64 * 0.02 * 1e6 {
                driver.message(message(next, 1, 1));
                next += 1;
            }
            // Clients take all back before the end; what they have gathered comes once it is over.
            if at == BACK - 400 * MS {
                driver.events.extend((0..next).map(|id| Event::Withdrawn { id }));
            }
            if at == BACK {
                for _ in 0..(5.0 * usual / senders as f64).ceil() as u64 {
                    driver.message(message(next, 1, 1));
                    next += 1;
                }
            }
            let mut sent = sends(&driver.round());
            if at == BACK - 200 * MS {
                sent.extend(driver.crowd(2 * MOST_IDLE as u64 + 500));
            }
            for (id, endpoint) in sent {
                let attempt = attempts.entry(id).or_default();
                let took = if away { 10 * MS } else { 120 * MS };
                let outcome = if away { outcome } else { Outcome::Served };
                answers.push((
                    now + took,
                    i,
                    AttemptEnd { took, ..attempt_end(id, *attempt, endpoint, outcome) },
                ));
                *attempt += 1;
                calls.extend((at >= BACK).then_some(at));
            }
        }
    }
    let excess = |last: usize| {
        let at: Ns = calls[last];
        let middle = (at - cfg.overload_duration / 2 - BACK).max(0) as f64 / cfg.slow_start_window as f64;
        let able = cfg.slow_start_capacity + (1.0 - cfg.slow_start_capacity) * middle;
        let budget = cfg.overload_factor * able * usual * 1.5 * cfg.overload_duration as f64 / 1e9;
        let sent = calls[..=last].iter().filter(|&&c| c > at - cfg.overload_duration).count();
        sent as f64 - (budget + 2.0 * budget.sqrt() + 2.0)
    };
    let worst = (0..calls.len()).map(excess).max_by(f64::total_cmp).unwrap_or(f64::MIN);
    (worst, calls.len())
}

#[test]
fn a_cold_return_keeps_its_budget_though_all_that_may_be_is_forgotten_while_it_is_away() {
    for senders in [5, 20] {
        for usual in [8.0, 40.0] {
            for outcome in [Outcome::NoConnection, Outcome::ServerError] {
                let (over, calls) = cold_return(senders, usual, outcome, 1);
                let case = format!("{senders} senders, {usual} a second, {outcome:?}: {calls} calls");
                assert!(calls > 0, "{case}: the return is noticed");
                assert!(over <= 0.0, "{case}, {over:.1} too many in a window");
            }
        }
    }
}

#[test]
fn messages_held_for_a_destination_that_leaves_the_list_go_once_it_is_listed_again() {
    let mut driver = Driver::new(long(), listed(10));
    driver.call(long_message(1, 3, 0), Outcome::Served);
    driver.listed.remove(3);
    driver.changed(&[3]);
    assert!(driver.take(long_message(2, 3, 0)).is_empty(), "it is not listed");
    // Never listed so far.
    assert!(driver.take(long_message(3, 77, 0)).is_empty());
    driver.press();
    driver.replaced();
    assert!(sends(&driver.round()).is_empty());
    // Under a new endpoint, by a change; and by a whole list.
    driver.listed.set(entry(500, 3, 0));
    driver.changed(&[500]);
    assert_eq!(sends(&driver.round()), [(2, 500)]);
    driver.listed.set(entry(501, 77, 0));
    driver.replaced();
    assert_eq!(sends(&driver.round()), [(3, 501)]);
}

#[test]
fn a_whole_list_that_differs_in_all_entries_is_followed_under_traffic() {
    const USED: u64 = 500;
    let mut draws = Draws::new(seed());
    let mut driver = Driver::new(Settings { slots: 200, max_open: 10_000, ..settings() }, listed(100_000));
    let (mut ids, mut ended, mut sent) = (0, BTreeSet::new(), BTreeSet::new());
    let mut answers: Vec<(Ns, AttemptEnd)> = Vec::new();
    for round in 0..2_000u64 {
        driver.stand.now += 10 * MS;
        let now = driver.stand.now;
        let due = answers.iter().filter(|(at, _)| *at <= now).map(|(_, end)| Event::AttemptEnd(*end));
        driver.events.extend(due);
        answers.retain(|(at, _)| *at > now);
        driver.message(message(ids, draws.below(USED), 1));
        ids += 1;
        if round == 1_000 {
            // In the middle of a batch: each destination has another endpoint, and its old one is another's.
            let moved = |d: u64| entry(200_000 + d as EndpointId, d, 0);
            (0..100_000).for_each(|d| driver.listed.set(moved(d)));
            (0..100_000).for_each(|e| driver.listed.set(entry(e as EndpointId, 300_000 + e, 0)));
            driver.replaced();
            driver.message(message(ids, draws.below(USED), 1));
            ids += 1;
        }
        for action in driver.round() {
            match action {
                Action::Send { id, endpoint, .. } => {
                    assert!(sent.insert(id), "{id} goes once");
                    assert_eq!(endpoint >= 200_000, round >= 1_000, "{endpoint} in round {round}");
                    let took = (20 + draws.below(200) as Ns) * MS;
                    answers.push((
                        now + took,
                        AttemptEnd { took, ..attempt_end(id, 0, endpoint, Outcome::Served) },
                    ));
                }
                Action::Refuse { id, .. } | Action::Fail { id } => _ = ended.insert(id),
                _ => {}
            }
        }
    }
    assert!(ended.is_empty(), "none is given up: {ended:?}");
    assert_eq!(sent.len() as u64, ids, "all went");
    assert!(driver.stand.sender.known_endpoints().all(|e| e >= 200_000), "the old ones are forgotten");
    assert!(driver.known() <= USED as usize);
}

/// A module that knows `known` destinations without work, after a whole list that gives each another endpoint,
/// `MOVED` above its old one.
fn behind_by_a_whole_list(known: u64) -> Driver {
    let mut driver = Driver::new(Settings { slots: 200, ..settings() }, listed(100_000));
    (0..known).for_each(|dest| driver.call(message(dest, dest, 0), Outcome::Served));
    assert_eq!(driver.known() as u64, known);
    for dest in 0..known {
        driver.listed.remove(dest as EndpointId);
        driver.listed.set(entry(dest as EndpointId + MOVED, dest, 0));
    }
    driver.replaced();
    driver
}

/// Above the endpoints of the list before.
const MOVED: EndpointId = 200_000;

#[test]
fn a_whole_list_is_told_in_batches_of_bounded_size_and_no_state_is_lost() {
    const KNOWN: u64 = 1_500;
    let mut driver = behind_by_a_whole_list(KNOWN);
    // A call is out as the list comes.
    let busy = MsgId::MAX;
    driver.message(message(busy, 7, 0));
    let sent = driver.round();
    assert_eq!(sends(&sent), [(busy, 7 + MOVED)]);
    driver.replaced();
    let mut told = BTreeSet::new();
    let mut batches = 0;
    while driver.on_demand.has_pending() {
        let events = driver.batch();
        let entries = events.iter().flat_map(|event| match event {
            Event::List { entries, .. } => entries.clone(),
            _ => Vec::new(),
        });
        let entries: Vec<Entry> = entries.collect();
        let destinations: BTreeSet<DestId> = entries.iter().map(|entry| entry.dest).collect();
        assert!(destinations.len() <= CATCH_UP + 1, "{} in one batch", destinations.len());
        told.extend(destinations);
        driver.give(events);
        batches += 1;
    }
    assert!(batches >= (KNOWN as usize - 1) / CATCH_UP, "{batches} batches");
    assert_eq!(told.len() as u64, KNOWN);
    assert_eq!(driver.known() as u64, KNOWN, "none is forgotten for it");
    let end = AttemptEnd { took: MS, ..attempt_end(busy, 0, 7 + MOVED, Outcome::Served) };
    driver.end(end);
    // Endpoints that the list has no more are forgotten with time, and never called.
    driver.pass(2 * FORGETS);
    assert!(driver.stand.sender.known_endpoints().all(|endpoint| endpoint >= MOVED));
}

#[test]
fn what_is_unused_is_forgotten_over_several_batches_and_what_is_used_meanwhile_is_kept() {
    const KNOWN: u64 = 2_000;
    let mut driver = Driver::new(Settings { slots: 200, ..settings() }, listed(100_000));
    (0..KNOWN).for_each(|dest| driver.call(message(dest, dest, 0), Outcome::Served));
    // The oldest are unused for long enough by then, the youngest are not.
    driver.pass(IDLE_FOR - 15 * SECOND);
    let mut sizes = vec![driver.known()];
    let used: Vec<DestId> = vec![1, 600, 1_100];
    for (id, &dest) in (3 * KNOWN..).zip(&used) {
        driver.call(message(id, dest, 0), Outcome::Served);
    }
    while sizes.last() != Some(&used.len()) {
        driver.stand.now += 10 * MS;
        driver.events.push(Event::Timer);
        driver.round();
        if sizes.last() != Some(&driver.known()) {
            sizes.push(driver.known());
        }
        assert!(sizes.len() < 100, "{sizes:?}");
    }
    let most = sizes.windows(2).map(|pair| pair[0] - pair[1]).max();
    assert!(most <= Some(FORGET_AT_ONCE), "{sizes:?}");
    assert!(sizes.len() > KNOWN as usize / FORGET_AT_ONCE, "{sizes:?}");
    assert!(driver.stand.sender.known_destinations().eq(used));
}

#[test]
fn a_message_for_a_destination_that_is_behind_goes_by_the_new_list() {
    for dest in [0, 700, 1_499] {
        let mut driver = behind_by_a_whole_list(1_500);
        assert!(driver.on_demand.has_pending());
        assert_eq!(driver.take(message(9_000, dest, 0)), [(9_000, dest as EndpointId + MOVED)]);
    }
}

#[test]
fn a_change_and_a_second_whole_list_come_while_the_module_is_behind() {
    let mut driver = behind_by_a_whole_list(1_500);
    driver.round();
    // A change of one that is behind, and of one that is not.
    for dest in [3, 1_400] {
        driver.listed.remove(dest + MOVED);
        driver.listed.set(entry(dest + 2 * MOVED, dest.into(), 0));
        driver.changed(&[dest + MOVED, dest + 2 * MOVED]);
        driver.round();
    }
    // A second whole list, on which one destination is gone and another has the endpoint of a third.
    driver.listed.remove(5 + MOVED);
    driver.listed.set(entry(6 + MOVED, 1_300, 0));
    driver.replaced();
    assert_eq!(driver.take(message(9_000, 3, 0)), [(9_000, 3 + 2 * MOVED)]);
    assert_eq!(driver.take(message(9_001, 1_400, 0)), [(9_001, 1_400 + 2 * MOVED)]);
    assert!(driver.take(message(9_002, 5, 0)).is_empty(), "it is not listed");
    assert!(driver.take(message(9_003, 6, 0)).is_empty(), "its endpoint is another's");
    while driver.on_demand.has_pending() {
        driver.round();
    }
    let (first, second) = (1_300 + MOVED, 6 + MOVED);
    let sent = [9_004, 9_005].map(|id| driver.take(message(id, 1_300, 0))[0].1);
    assert_eq!(BTreeSet::from(sent), BTreeSet::from([first, second]));
}

#[test]
fn messages_ahead_of_a_whole_list_in_one_batch_go_by_that_list() {
    let mut driver = Driver::new(Settings { slots: 200, ..settings() }, listed(100_000));
    (0..1_500).for_each(|dest| driver.call(message(dest, dest, 0), Outcome::Served));
    // For one that is known without work, and for one that was never used.
    let used = [700, 5_000];
    used.iter().for_each(|&dest| driver.message(message(10_000 + dest, dest, 0)));
    for dest in (0..1_500).chain([5_000]) {
        driver.listed.remove(dest as EndpointId);
        driver.listed.set(entry(dest as EndpointId + MOVED, dest, 0));
    }
    driver.replaced();
    let sent: BTreeSet<(MsgId, EndpointId)> = sends(&driver.round()).into_iter().collect();
    assert_eq!(sent, BTreeSet::from(used.map(|dest| (10_000 + dest, dest as EndpointId + MOVED))));
    for dest in used {
        driver.end(attempt_end(10_000 + dest, 0, dest as EndpointId + MOVED, Outcome::Served));
    }
    driver.pass(2 * FORGETS);
    assert!(driver.stand.sender.known_endpoints().all(|endpoint| endpoint >= MOVED));
}

#[test]
fn a_told_wait_is_not_forgotten_while_the_module_is_behind() {
    let mut driver = Driver::new(Settings { slots: 200, ..settings() }, listed(100_000));
    (0..1_000).for_each(|dest| driver.call(message(dest, dest, 0), Outcome::Served));
    let sent = driver.take(message(2_000, 900, 0));
    assert_eq!(sent, [(2_000, 900)]);
    let told = AttemptEnd { retry_after: 30 * SECOND, ..attempt_end(2_000, 0, 900, Outcome::TurnedAway) };
    driver.end(told);
    // It is given up, and nothing is left to do there.
    driver.pass(6 * SECOND);
    (0..1_000).for_each(|dest| driver.listed.set(entry(dest + MOVED, dest.into(), 0)));
    (0..1_000).for_each(|dest| driver.listed.remove(dest));
    driver.replaced();
    assert!(driver.take(message(2_001, 900, 0)).is_empty(), "the wait is not over");
    driver.pass(SECOND);
    assert!(!driver.on_demand.has_pending());
    assert!(driver.take(message(2_002, 900, 0)).is_empty(), "the wait is not over");
}

#[test]
fn an_endpoint_that_changes_its_destination_is_followed_without_state_for_one_that_has_no_work() {
    let mut driver = Driver::new(settings(), listed(10));
    driver.call(message(1, 3, 0), Outcome::Served);
    driver.listed.set(entry(3, 4, 0));
    driver.changed(&[3]);
    driver.round();
    assert!(!driver.knows(4), "no work for it");
    assert!(driver.take(message(2, 3, 0)).is_empty(), "its endpoint is another's");
    // Of both endpoints that 4 has now, one is as good as the other.
    let sent: BTreeSet<EndpointId> =
        (3..5).flat_map(|id| driver.take(message(id, 4, 0))).map(|(_, endpoint)| endpoint).collect();
    assert_eq!(sent, BTreeSet::from([3, 4]));
    // And back: what waits goes at once.
    driver.listed.set(entry(3, 3, 0));
    driver.changed(&[3]);
    assert_eq!(sends(&driver.round()), [(2, 3)]);
    driver.pass(2 * FORGETS);
    assert_eq!(driver.take(message(9, 4, 0))[0].1, 4);
}

#[test]
fn changes_in_the_batch_of_a_first_message_hold_for_it() {
    // Gone after it was looked up.
    let mut driver = Driver::new(settings(), listed(10));
    driver.message(message(1, 3, 0));
    driver.listed.remove(3);
    driver.changed(&[3]);
    assert!(sends(&driver.round()).is_empty());
    // Listed after it was looked up in vain.
    driver.message(message(2, 77, 0));
    driver.listed.set(entry(500, 77, 0));
    driver.changed(&[500]);
    assert_eq!(sends(&driver.round()), [(2, 500)]);
    // Moved to another and from there away.
    driver.message(message(3, 4, 0));
    driver.message(message(4, 5, 0));
    driver.listed.set(entry(4, 5, 0));
    driver.changed(&[4]);
    driver.listed.remove(4);
    driver.changed(&[4]);
    assert_eq!(sends(&driver.round()), [(4, 5)]);
    // A whole list without it.
    driver.message(message(5, 6, 0));
    driver.listed.remove(6);
    driver.replaced();
    assert!(sends(&driver.round()).is_empty());
    // A whole list with another endpoint for it, and a message after that.
    driver.message(message(6, 7, 0));
    driver.listed.remove(7);
    driver.listed.set(entry(600, 7, 0));
    driver.replaced();
    driver.message(message(7, 7, 0));
    assert_eq!(sends(&driver.round()), [(6, 600), (7, 600)]);
}

#[test]
fn decisions_are_those_of_a_module_that_is_told_all_lists() {
    const DESTINATIONS: u64 = 40;
    let mut draws = Draws::new(seed());
    // A limit that is never met, and a message at a time for each destination: else a route that is listed later
    // than the others has less of its limit at first.
    let cfg = Settings { rate_hints: true, ..settings() };
    let mut driver = Driver::new(cfg.clone(), listed(0));
    let mut told = Harness::new(cfg, &[]);
    let mut answers: Vec<(Ns, AttemptEnd)> = Vec::new();
    let mut attempts = BTreeMap::<MsgId, u32>::new();
    let (mut ids, mut calls) = (0, 0);
    let mut busy = BTreeMap::<MsgId, DestId>::new();
    for _ in 0..4_500 {
        driver.stand.now += 10 * MS;
        let now = driver.stand.now;
        told.now = now;
        let mut events = vec![Event::Timer];
        driver.events.push(Event::Timer);
        // Up to three endpoints a destination; some drain, leave, and are listed again.
        let changes: Vec<EndpointId> =
            (0..draws.below(3)).map(|_| draws.below(3 * DESTINATIONS) as EndpointId).collect();
        for &endpoint in &changes {
            let condition = [Condition::Ready, Condition::Ready, Condition::Draining, Condition::Gone];
            let condition = condition[draws.below(4) as usize];
            let (dest, kind) = (u64::from(endpoint) / 3, (endpoint % 2) as usize);
            let entry = Entry { condition, rate_hint: 1_000.0, ..entry(endpoint, dest, kind) };
            let ready = driver.listed.entry(endpoint).is_some_and(|e| e.condition == Condition::Ready);
            if condition == Condition::Gone && !ready {
                // It has the other module look at the destination, and tells it nothing.
                continue;
            }
            match condition {
                Condition::Gone => driver.listed.remove(endpoint),
                _ => driver.listed.set(entry),
            }
            events.push(Event::List { whole: false, entries: vec![entry] });
            driver.changed(&[endpoint]);
        }
        if draws.below(300) == 0 {
            let entries = driver.listed.changed.values().flatten().copied().collect();
            events.push(Event::List { whole: true, entries });
            driver.replaced();
        }
        let due: Vec<Event> =
            answers.iter().filter(|(at, _)| *at <= now).map(|(_, end)| Event::AttemptEnd(*end)).collect();
        answers.retain(|(at, _)| *at > now);
        for event in &due {
            if let Event::AttemptEnd(AttemptEnd { id, done: true, .. }) = event {
                busy.remove(id);
            }
        }
        events.extend(due.iter().cloned());
        driver.events.extend(due);
        let (dest, class) = (draws.below(DESTINATIONS), draws.below(3) as usize);
        if draws.below(4) == 0 && !busy.values().any(|&d| d == dest) {
            let message = message(ids, dest, class);
            busy.insert(ids, dest);
            ids += 1;
            events.push(Event::Message(message));
            driver.message(message);
        }
        let decided = |actions: Vec<Action>| -> Vec<Action> {
            // When it wants to look again may differ by a rounding error.
            actions.into_iter().filter(|a| !matches!(a, Action::Timer { .. })).collect()
        };
        let actions = decided(told.handle(events));
        assert_eq!(decided(driver.round()), actions, "at {} ms", (now - START_TIME) / MS);
        for action in final_actions(&actions) {
            if let Action::Refuse { id, .. } | Action::Fail { id } = action {
                busy.remove(&id);
            }
        }
        for (id, endpoint) in sends(&actions) {
            let outcomes = [
                Outcome::Served,
                Outcome::Served,
                Outcome::Served,
                Outcome::NoConnection,
                Outcome::ServerError,
            ];
            let outcome = outcomes[draws.below(5) as usize];
            let took = (20 + draws.below(400) as Ns) * MS;
            let attempt = attempts.entry(id).or_default();
            answers.push((now + took, AttemptEnd { took, ..attempt_end(id, *attempt, endpoint, outcome) }));
            *attempt += 1;
            calls += 1;
        }
    }
    assert!(calls > 500, "{calls}");
}
