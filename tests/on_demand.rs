//! State on demand: the policy holds state for the destinations with work and for those whose state still
//! matters, whatever is listed. A destination that was dropped and is used again keeps to every rule.
mod common;
mod heap;
use common::*;
use sender::api::*;
use sender::on_demand::{Directory, OnDemandList};
use sender::policy::Sender;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of idle destinations that the policy keeps, and how long it keeps them.
const MAX_IDLE_DESTINATIONS: usize = 2_048;
const IDLE_TIMEOUT: Ns = 60 * SECOND;
/// Intervals of the policy's periodic work and of its cleanup.
const CONTROL_PERIOD: Ns = 100 * MS;
const CLEANUP_INTERVAL: Ns = 10 * SECOND;
/// Number of destinations without work for which the policy is told of a whole list in one batch.
const PENDING_BATCH: usize = 128;
/// Number of destinations that the cleanup considers in one batch.
const CLEANUP_BATCH: usize = 512;
/// Number of the first destination that `Driver::use_new_destinations` uses.
const FIRST_NEW_DESTINATION: DestId = 1_000_000;

/// Returns and prints the seed of a test's random numbers: ON_DEMAND_SEED, or a new one.
fn seed() -> u64 {
    let new = || SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
    let seed = std::env::var("ON_DEMAND_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(new);
    println!("ON_DEMAND_SEED={seed}");
    seed
}

/// A xorshift generator.
struct Random(u64);

impl Random {
    fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    /// Returns a number below a bound.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }
}

/// A directory in which each destination below `listed`, and each from `FIRST_NEW_DESTINATION` on, has one
/// endpoint of the same number, except for the entries in `changed` (`None`: not listed).
#[derive(Clone, Default)]
struct TestDirectory {
    listed: DestId,
    changed: BTreeMap<EndpointId, Option<Entry>>,
}

impl TestDirectory {
    fn set(&mut self, entry: Entry) {
        self.changed.insert(entry.endpoint, Some(entry));
    }
    fn remove(&mut self, endpoint: EndpointId) {
        self.changed.insert(endpoint, None);
    }
}

impl Directory for TestDirectory {
    fn entry(&self, endpoint: EndpointId) -> Option<Entry> {
        let by_number = u64::from(endpoint) < self.listed || u64::from(endpoint) >= FIRST_NEW_DESTINATION;
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

/// A policy whose caller looks up destinations in a directory.
struct Driver {
    harness: Harness,
    directory: TestDirectory,
    on_demand: OnDemandList,
    events: Vec<Event>,
    next_message: MsgId,
    next_destination: DestId,
}

impl Driver {
    fn new(cfg: Settings, directory: TestDirectory) -> Driver {
        Driver::with_seed(cfg, directory, 7)
    }

    fn with_seed(cfg: Settings, directory: TestDirectory, seed: u64) -> Driver {
        let harness = Harness { sender: Sender::new(cfg, seed), now: START_TIME, actions: Vec::new() };
        let on_demand = OnDemandList::default();
        let mut driver = Driver {
            harness,
            directory,
            on_demand,
            events: Vec::new(),
            next_message: 1 << 32,
            next_destination: FIRST_NEW_DESTINATION,
        };
        driver.replaced();
        driver.round();
        driver
    }

    /// Adds the events for a message.
    fn message(&mut self, message: Message) {
        let policy = &self.harness.sender;
        self.on_demand.before_message(policy, &self.directory, message.dest, &mut self.events);
        self.events.push(Event::Message(message));
    }

    /// Adds the events for changed endpoints.
    fn changed(&mut self, endpoints: &[EndpointId]) {
        self.on_demand.endpoints_changed(&self.harness.sender, &self.directory, endpoints, &mut self.events);
    }

    /// Adds the events for a replaced directory.
    fn replaced(&mut self) {
        self.on_demand.directory_replaced(&self.harness.sender, &self.directory, &mut self.events);
    }

    /// Returns the events of the next batch.
    fn batch(&mut self) -> Vec<Event> {
        let mut events = std::mem::take(&mut self.events);
        self.on_demand.tell_pending(&self.harness.sender, &self.directory, PENDING_BATCH, &mut events);
        events
    }

    /// Gives the policy the next batch.
    fn round(&mut self) -> Vec<Action> {
        let events = self.batch();
        self.handle(events)
    }

    /// Gives the policy a batch of events.
    fn handle(&mut self, events: Vec<Event>) -> Vec<Action> {
        let actions = self.harness.handle(events);
        self.on_demand.events_handled();
        actions
    }

    /// Hands in a message and returns the sends of its batch.
    fn submit(&mut self, message: Message) -> Vec<(MsgId, EndpointId)> {
        self.message(message);
        sends(&self.round())
    }

    /// Ends an attempt.
    fn end_attempt(&mut self, end: AttemptEnd) -> Vec<Action> {
        self.events.push(Event::AttemptEnd(end));
        self.round()
    }

    /// Hands in a message that has to be sent at once, and ends its attempt and the message.
    fn call(&mut self, message: Message, outcome: Outcome) {
        let (id, endpoint) = self.submit(message)[0];
        self.harness.now += 10 * MS;
        self.end_attempt(AttemptEnd { took: 10 * MS, done: true, ..attempt_end(id, 0, endpoint, outcome) });
    }

    /// Lets time pass in steps of `CONTROL_PERIOD`.
    fn advance(&mut self, span: Ns) -> Vec<Action> {
        let until = self.harness.now + span;
        let mut actions = Vec::new();
        while self.harness.now < until {
            self.harness.now += CONTROL_PERIOD;
            self.events.push(Event::Timer);
            actions.extend(self.round());
        }
        actions
    }

    /// Sends a message to each of `count` new destinations, eight at a time. Returns all other sends.
    fn use_new_destinations(&mut self, count: u64) -> Vec<(MsgId, EndpointId)> {
        let mut others = Vec::new();
        for _ in 0..count.div_ceil(8) {
            let first = self.next_message;
            for _ in 0..8 {
                self.message(message(self.next_message, self.next_destination, 1));
                (self.next_message, self.next_destination) =
                    (self.next_message + 1, self.next_destination + 1);
            }
            let mut sent = sends(&self.round());
            while !sent.is_empty() {
                self.harness.now += MS;
                let (own, other) = sent.into_iter().partition(|&(id, _)| id >= first);
                others.extend::<Vec<_>>(other);
                let ends = own.into_iter().map(|(id, endpoint): (MsgId, _)| AttemptEnd {
                    took: MS,
                    ..attempt_end(id, 0, endpoint, Outcome::Served)
                });
                self.events.extend(ends.map(Event::AttemptEnd));
                sent = sends(&self.round());
            }
        }
        others
    }

    /// Makes the policy drop all that it may drop: by idle time, and by the number of idle destinations.
    fn drop_unused(&mut self) {
        self.advance(IDLE_TIMEOUT + 2 * CLEANUP_INTERVAL);
        let others = self.use_new_destinations(2 * MAX_IDLE_DESTINATIONS as u64 + 500);
        assert!(others.is_empty(), "nothing else is sent meanwhile: {others:?}");
        self.advance(CLEANUP_INTERVAL);
    }

    /// Returns whether the policy holds state for a destination.
    fn knows(&self, destination: DestId) -> bool {
        self.harness.sender.knows_destination(destination)
    }

    /// Returns the number of destinations with state.
    fn known(&self) -> usize {
        self.harness.sender.known_destinations().count()
    }
}

/// Returns a directory of `count` destinations.
fn directory_of(count: DestId) -> TestDirectory {
    TestDirectory { listed: count, ..TestDirectory::default() }
}

/// Settings with deadlines, deduplication windows and slow starts that are longer than the idle time-out.
fn long_lived() -> Settings {
    let classes = settings().classes.into_iter();
    let classes =
        classes.map(|c| Class { deadline: 900 * SECOND, dedup_window: 800 * SECOND, ..c }).collect();
    Settings { classes, slow_start_window: 300 * SECOND, ..settings() }
}

fn long_lived_message(id: MsgId, dest: DestId, class: usize) -> Message {
    Message { time_left: 900 * SECOND, ..message(id, dest, class) }
}

#[test]
fn memory_depends_on_used_destinations_not_on_listed_ones() {
    let seed = seed();
    let mut sizes = Vec::new();
    for count in [1_000, 10_000, 100_000, 350_000] {
        let directory = directory_of(count);
        let before = heap::bytes();
        let mut driver = Driver::new(settings(), directory);
        let mut random = Random::new(seed);
        for id in 0..300 {
            let used = random.below(200);
            driver.call(message(id, used, 0), Outcome::Served);
        }
        driver.replaced();
        driver.round();
        let used = driver.known();
        assert!(used > 100 && used <= 200, "{used} of {count}");
        assert_eq!(driver.harness.sender.known_endpoints().count(), used);
        sizes.push(heap::bytes() - before);
    }
    println!("{sizes:?} bytes");
    assert!(
        sizes.iter().all(|bytes| bytes == &sizes[0]),
        "{sizes:?} bytes: they do not depend on the listed destinations"
    );
    assert!(sizes[0] < 300 * 1_024, "{sizes:?} bytes");
}

#[test]
fn drops_idle_destination_after_timeout() {
    let mut driver = Driver::new(settings(), directory_of(10));
    driver.call(message(1, 3, 0), Outcome::Served);
    driver.advance(IDLE_TIMEOUT - SECOND);
    assert!(driver.knows(3) && driver.harness.sender.knows_endpoint(3));
    let looked_up = |driver: &mut Driver, dest| {
        driver.message(message(dest, dest, 0));
        driver.events.iter().any(|e| matches!(e, Event::LookedUp { .. }))
    };
    assert!(!looked_up(&mut driver, 3), "its state is kept");
    assert!(looked_up(&mut driver, 4), "there is no state of it");
    driver.round();
    for id in [3, 4] {
        driver.end_attempt(attempt_end(id, 0, id as EndpointId, Outcome::Served));
    }
    driver.advance(IDLE_TIMEOUT - SECOND);
    assert!(driver.knows(3));
    driver.advance(2 * CLEANUP_INTERVAL);
    assert!(!driver.knows(3) && !driver.harness.sender.knows_endpoint(3));
    assert_eq!(driver.submit(message(2, 3, 0)), [(2, 3)]);
    assert!(driver.knows(3));
}

#[test]
fn drops_longest_idle_destinations_beyond_maximum() {
    let mut driver = Driver::new(settings(), directory_of(10));
    let (mut max_known, mut bytes) = (0, [0; 2]);
    for round in 0..60 {
        driver.use_new_destinations(200);
        driver.advance(CONTROL_PERIOD);
        max_known = max_known.max(driver.known());
        bytes[round / 30] = bytes[round / 30].max(heap::bytes());
    }
    assert!(bytes[1] <= bytes[0] + bytes[0] / 10, "{bytes:?} bytes: dropped destinations take no memory");
    // Up to twice the maximum before the cleanup starts, and those of one period.
    assert!(
        max_known <= 2 * MAX_IDLE_DESTINATIONS + 200,
        "{max_known} of {}",
        driver.next_destination - FIRST_NEW_DESTINATION
    );
    assert!(
        driver.known() >= MAX_IDLE_DESTINATIONS,
        "{} are kept, none of them past the idle time-out",
        driver.known()
    );
    let kept = driver.next_destination - driver.known() as DestId..driver.next_destination;
    assert!(driver.harness.sender.known_destinations().eq(kept), "those used last are kept");
    driver.advance(IDLE_TIMEOUT + 2 * CLEANUP_INTERVAL);
    assert_eq!(driver.known(), 0);
}

#[test]
fn keeps_listed_destinations_without_lookups() {
    let entries: Vec<Entry> = (0..5_000).map(|e| entry(e, e.into(), 0)).collect();
    let mut harness = Harness::new(settings(), &entries);
    harness.submit(message(1, 3, 0));
    harness.now += 100 * MS;
    harness.end_attempt(attempt_end(1, 0, 3, Outcome::Served));
    for _ in 0..1_000 {
        harness.now += CONTROL_PERIOD;
        harness.handle(vec![Event::Timer]);
    }
    assert_eq!(harness.sender.known_destinations().count(), 5_000);
}

#[test]
fn keeps_destination_with_call_in_flight() {
    let mut driver = Driver::new(long_lived(), directory_of(10));
    let sent = driver.submit(long_lived_message(1, 3, 2));
    assert_eq!(sent, [(1, 3)]);
    driver.drop_unused();
    assert!(driver.knows(3));
    driver.end_attempt(AttemptEnd { took: 100 * SECOND, ..attempt_end(1, 0, 3, Outcome::Served) });
    driver.drop_unused();
    assert!(!driver.knows(3), "no call is in flight any more");
}

#[test]
fn keeps_all_destinations_with_held_messages() {
    const USED: u64 = 3 * MAX_IDLE_DESTINATIONS as u64 / 2;
    let mut driver = Driver::new(Settings { max_open: 10_000, ..long_lived() }, directory_of(USED));
    (0..USED).for_each(|dest| driver.message(long_lived_message(dest, dest, 1)));
    let mut sent = sends(&driver.round());
    assert_eq!(sent.len(), 12, "the others are held");
    let actions = driver.advance(2 * CLEANUP_INTERVAL);
    assert!(sends(&actions).is_empty());
    assert_eq!(driver.known() as u64, USED);
    assert_eq!(driver.harness.sender.known_endpoints().count() as u64, USED);
    let mut served = 0;
    while !sent.is_empty() {
        driver.harness.now += 10 * MS;
        served += sent.len() as u64;
        let ends = sent.into_iter().map(|(id, endpoint)| attempt_end(id, 0, endpoint, Outcome::Served));
        driver.events.extend(ends.map(Event::AttemptEnd));
        sent = sends(&driver.round());
    }
    assert_eq!(served, USED);
}

#[test]
fn keeps_moved_endpoint_with_call_in_flight() {
    let mut driver = Driver::new(long_lived(), directory_of(10));
    driver.submit(long_lived_message(1, 3, 2));
    driver.call(long_lived_message(2, 4, 2), Outcome::Served);
    driver.directory.set(entry(3, 4, 0));
    driver.changed(&[3]);
    driver.drop_unused();
    assert!(driver.knows(4), "it has endpoint 3, with a call for destination 3 in flight");
    assert!((3..5).all(|e| driver.harness.sender.knows_endpoint(e)), "all its endpoints are kept");
    driver.end_attempt(AttemptEnd { took: 100 * SECOND, ..attempt_end(1, 0, 3, Outcome::Served) });
    driver.drop_unused();
    assert!(!driver.knows(4) && !driver.harness.sender.knows_endpoint(3));
}

#[test]
fn keeps_destination_with_held_message_and_its_dedup_window() {
    let mut driver = Driver::new(long_lived(), directory_of(10));
    let start = driver.harness.now;
    driver.submit(long_lived_message(1, 3, 0));
    driver.harness.now += SECOND;
    driver.directory.remove(3);
    driver.changed(&[3]);
    driver.end_attempt(AttemptEnd { took: SECOND, ..attempt_end(1, 0, 3, Outcome::NoAnswer) });
    driver.drop_unused();
    assert!(driver.knows(3), "the message waits for an endpoint");
    assert!(!driver.harness.sender.knows_endpoint(3));
    driver.directory.set(entry(3, 3, 0));
    driver.changed(&[3]);
    let actions = driver.round();
    let sent_in_window =
        |a: &Action| matches!(a, Action::Send { id: 1, endpoint: 3, by, .. } if *by == start + 800 * SECOND);
    assert!(actions.iter().any(sent_in_window), "{actions:?}");
}

#[test]
fn keeps_destination_until_end_of_retry_after() {
    let mut driver = Driver::new(settings(), directory_of(10));
    driver.submit(message(1, 3, 0));
    let retry_after = 300 * SECOND;
    let until = driver.harness.now + retry_after;
    driver.end_attempt(AttemptEnd { retry_after, done: true, ..attempt_end(1, 0, 3, Outcome::TurnedAway) });
    driver.drop_unused();
    assert!(driver.knows(3));
    assert!(driver.submit(message(2, 3, 0)).is_empty(), "the requested wait still holds");
    driver.events.push(Event::Withdrawn { id: 2 });
    driver.advance(until - driver.harness.now + CLEANUP_INTERVAL);
    driver.drop_unused();
    assert!(!driver.knows(3), "the requested wait is over");
}

#[test]
fn keeps_destination_until_end_of_backoff() {
    let mut driver = Driver::new(settings(), directory_of(10));
    let mut refused_at = driver.harness.now;
    // Each backoff is twice as long as the one before.
    for id in 0..5 {
        while driver.submit(message(id, 3, 0)).is_empty() {
            driver.events.push(Event::Withdrawn { id });
            driver.round();
            driver.harness.now += 500 * MS;
        }
        driver.harness.now += 10 * MS;
        refused_at = driver.harness.now;
        let report = Some(LimitReport { remaining: 0.0, limit: 1_000.0 });
        driver.end_attempt(AttemptEnd {
            took: 10 * MS,
            done: true,
            report,
            ..attempt_end(id, 0, 3, Outcome::TurnedAway)
        });
    }
    // The other destinations are used before the backoff ends, which is at least eight times 100 ms.
    driver.harness.now += 150 * MS;
    driver.round();
    driver.use_new_destinations(2 * MAX_IDLE_DESTINATIONS as u64 + 500);
    driver.harness.now = driver.harness.now.max(refused_at + 150 * MS);
    assert!(driver.harness.now < refused_at + 790 * MS, "{} ms", (driver.harness.now - refused_at) / MS);
    assert!(driver.knows(3));
    assert!(driver.submit(message(9, 3, 0)).is_empty());
}

#[test]
fn keeps_half_open_destination() {
    let mut driver = Driver::new(settings(), directory_of(10));
    driver.message(message(1, 3, 0));
    driver.message(message(2, 3, 0));
    driver.message(message(3, 3, 0));
    assert_eq!(sends(&driver.round()).len(), 3);
    driver.harness.now += 10 * MS;
    for id in 1..4 {
        driver.end_attempt(AttemptEnd { done: true, ..attempt_end(id, 0, 3, Outcome::NoConnection) });
    }
    driver.drop_unused();
    driver.advance(900 * SECOND);
    assert!(driver.knows(3));
    (4..9).for_each(|id| driver.message(message(id, 3, 0)));
    assert_eq!(sends(&driver.round()).len(), 1, "a trial call");
}

#[test]
fn keeps_destination_until_end_of_slow_start() {
    let cfg = Settings { rate_hints: true, ..long_lived() };
    let mut directory = directory_of(10);
    directory.set(Entry { rate_hint: 10.0, ..entry(3, 3, 0) });
    let mut driver = Driver::new(cfg, directory);
    // By this time its share of the limit has grown.
    driver.advance(10 * SECOND);
    (1..4).for_each(|id| driver.message(message(id, 3, 0)));
    assert_eq!(sends(&driver.round()).len(), 3);
    driver.harness.now += 10 * MS;
    for id in 1..4 {
        driver.end_attempt(AttemptEnd { done: true, ..attempt_end(id, 0, 3, Outcome::NoConnection) });
    }
    driver.harness.now += 10 * SECOND;
    driver.call(message(4, 3, 0), Outcome::Served);
    let recovered_at = driver.harness.now;
    driver.drop_unused();
    assert!(driver.knows(3));
    // The slow start allows little more than a fifth of 10 calls per second, times the overload factor, for
    // two senders.
    (5..15).for_each(|id| driver.message(message(id, 3, 0)));
    assert_eq!(sends(&driver.round()).len(), 1, "there is no burst");
    (5..15).for_each(|id| driver.events.push(Event::Withdrawn { id }));
    driver.end_attempt(AttemptEnd { done: true, ..attempt_end(5, 0, 3, Outcome::Served) });
    driver.advance(recovered_at + 301 * SECOND - driver.harness.now);
    driver.drop_unused();
    assert!(!driver.knows(3), "the slow start is over");
}

#[test]
fn keeps_endpoint_out_of_service_and_its_slow_start() {
    let mut driver = Driver::new(long_lived(), directory_of(10));
    driver.call(message(1, 3, 0), Outcome::Served);
    let maint = |out, at| Event::Maint { endpoint: 3, out, at };
    driver.events.push(maint(true, driver.harness.now));
    driver.drop_unused();
    assert!(driver.knows(3));
    assert!(driver.submit(message(2, 3, 0)).is_empty(), "it is out of service");
    driver.events.push(Event::Withdrawn { id: 2 });
    let put_back_at = driver.harness.now;
    driver.events.push(maint(false, put_back_at));
    driver.drop_unused();
    assert!(driver.knows(3) && driver.harness.now < put_back_at + 300 * SECOND);
    (3..9).for_each(|id| driver.message(message(id, 3, 0)));
    assert_eq!(sends(&driver.round()).len(), 1, "it is in slow start");
    (3..9).for_each(|id| driver.events.push(Event::Withdrawn { id }));
    driver.end_attempt(AttemptEnd { done: true, ..attempt_end(3, 0, 3, Outcome::Served) });
    driver.advance(put_back_at + 301 * SECOND - driver.harness.now);
    driver.drop_unused();
    assert!(!driver.knows(3));
}

#[test]
fn keeps_all_endpoints_after_one_is_put_back() {
    let mut directory = directory_of(10);
    directory.set(entry(50, 3, 0));
    let mut driver = Driver::new(long_lived(), directory);
    driver.call(message(1, 3, 0), Outcome::Served);
    for out in [true, false] {
        driver.events.push(Event::Maint { endpoint: 3, out, at: driver.harness.now });
    }
    driver.drop_unused();
    assert!([3, 50].iter().all(|&e| driver.harness.sender.knows_endpoint(e)));
}

#[test]
fn endpoint_put_back_before_lookup_has_slow_start() {
    let calls_after_lookup = |put_back: bool| {
        let mut driver = Driver::new(long_lived(), directory_of(10));
        let now = driver.harness.now;
        driver.events.push(Event::Maint { endpoint: 3, out: true, at: now });
        driver.drop_unused();
        assert!(!driver.knows(3), "there was never work for it");
        assert!(driver.submit(message(1, 3, 0)).is_empty(), "it is out of service all the same");
        driver.events.push(Event::Withdrawn { id: 1 });
        if put_back {
            driver.events.push(Event::Maint { endpoint: 3, out: false, at: driver.harness.now });
        }
        driver.drop_unused();
        (2..9).for_each(|id| driver.message(message(id, 3, 0)));
        sends(&driver.round()).len()
    };
    assert_eq!((calls_after_lookup(false), calls_after_lookup(true)), (0, 1));
}

#[test]
fn key_quiet_period_outlives_destination_state() {
    let classes = vec![Class { in_order: true, ..class(Effect::Keyed) }, class(Effect::Safe)];
    let cfg = Settings { classes, key_quiet_period: 300 * SECOND, ..settings() };
    let mut driver = Driver::new(cfg, directory_of(10));
    let keyed = |id| Message { key: Some(5), ..message(id, 3, 0) };
    driver.submit(keyed(1));
    let quiet_until = driver.harness.now + 300 * SECOND;
    driver.end_attempt(AttemptEnd { done: true, ..attempt_end(1, 0, 3, Outcome::NoAnswer) });
    driver.drop_unused();
    assert!(!driver.knows(3));
    assert!(driver.harness.now < quiet_until);
    assert!(driver.submit(keyed(2)).is_empty(), "the attempt before may still run");
    assert_eq!(driver.submit(message(3, 3, 1)), [(3, 3)], "a message without the key is sent");
    driver.events.push(Event::Withdrawn { id: 2 });
    driver.advance(quiet_until - driver.harness.now);
    assert_eq!(driver.submit(keyed(4)), [(4, 3)]);
}

#[test]
fn memory_of_many_half_open_destinations_is_bounded() {
    const LISTED: u64 = 350_000;
    const DOWN: u64 = 3_850;
    let mut random = Random::new(seed());
    let mut driver = Driver::new(settings(), directory_of(LISTED));
    let mut ends: Vec<AttemptEnd> = Vec::new();
    let mut attempts = BTreeMap::<MsgId, u32>::new();
    let mut bytes = Vec::new();
    let mut failures = BTreeMap::<DestId, u32>::new();
    for round in 0..9_000u64 {
        driver.harness.now += CONTROL_PERIOD;
        driver.events.extend(ends.drain(..).map(Event::AttemptEnd));
        // In the first third of the rounds, each destination that is down gets its first message; later ones
        // get messages at random.
        let first_used = if round < 3_000 { round * DOWN / 3_000..(round + 1) * DOWN / 3_000 } else { 0..0 };
        let down_so_far = ((round + 1) * DOWN / 3_000).clamp(1, DOWN);
        let mut destinations: Vec<DestId> = first_used.collect();
        destinations.extend((0..5).map(|_| DOWN + random.below(LISTED - DOWN)));
        destinations.extend((0..2).map(|_| random.below(down_so_far)));
        for dest in destinations {
            driver.message(Message { time_left: 2 * SECOND, ..message(driver.next_message, dest, 1) });
            driver.next_message += 1;
        }
        for action in driver.round() {
            match action {
                Action::Send { id, endpoint, .. } => {
                    let attempt = attempts.entry(id).or_default();
                    let down = u64::from(endpoint) < DOWN;
                    let outcome = if down { Outcome::NoConnection } else { Outcome::Served };
                    ends.push(AttemptEnd { took: 10 * MS, ..attempt_end(id, *attempt, endpoint, outcome) });
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
    // A route is half-open after three failures in a row; the end of the call of the last round is not
    // counted yet.
    let half_open: Vec<DestId> = failures.iter().filter(|(_, &n)| n > 3).map(|(&dest, _)| dest).collect();
    assert!(half_open.len() as u64 > DOWN * 9 / 10, "{} of {DOWN} are half-open", half_open.len());
    assert!(half_open.iter().all(|&dest| driver.knows(dest)), "all that are half-open are kept");
    assert!(
        driver.known() <= DOWN as usize + 2 * MAX_IDLE_DESTINATIONS + 100,
        "{} are known",
        driver.known()
    );
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    let max_bytes = |bytes: &[isize]| bytes.iter().copied().max().unwrap_or(0);
    println!("{} known, {} bytes at most, then {}", driver.known(), max_bytes(first), max_bytes(rest));
    assert!(
        max_bytes(rest) <= max_bytes(first) + max_bytes(first) / 20,
        "{} bytes, then {}",
        max_bytes(first),
        max_bytes(rest)
    );
}

#[test]
fn cap_holds_after_destination_was_dropped() {
    let cfg = Settings { may_cancel: false, ..long_lived() };
    let mut driver = Driver::new(cfg, directory_of(10));
    for repetition in 0..3u64 {
        let mut in_flight = BTreeSet::new();
        for n in 0..40 {
            let sent = driver.submit(long_lived_message(repetition * 100 + n, 3, 1));
            in_flight.extend(sent);
            assert!(in_flight.len() <= 9, "three quarters of 12 slots: {}", in_flight.len());
        }
        // The destination hangs, then all messages are withdrawn.
        for _ in 0..100 {
            driver.harness.now += CONTROL_PERIOD;
            driver.events.push(Event::Timer);
            in_flight.extend(sends(&driver.round()));
            assert!(in_flight.len() <= 9, "three quarters of 12 slots: {}", in_flight.len());
        }
        (0..40).for_each(|n| driver.events.push(Event::Withdrawn { id: repetition * 100 + n }));
        driver.round();
        driver.use_new_destinations(2 * MAX_IDLE_DESTINATIONS as u64 + 500);
        assert!(driver.knows(3), "its calls are in flight");
        for (id, endpoint) in in_flight {
            driver.end_attempt(AttemptEnd {
                took: 20 * SECOND,
                done: true,
                ..attempt_end(id, 0, endpoint, Outcome::Served)
            });
        }
        driver.advance(400 * SECOND);
        assert!(!driver.knows(3));
    }
}

/// Plays a fleet with one destination that has an outage from 8 to 20 s and a slow start after it. No sender
/// has work for it just before its recovery, and each drops what it may then. Returns the largest excess over
/// the budget of the calls in a window of the settings' length, and the number of calls.
fn play_recovery(senders: usize, usual_rate: f64, outcome: Outcome, seed: u64) -> (f64, usize) {
    const RECOVERY: Ns = 20 * SECOND;
    let cfg = Settings { sender_count: senders, rate_hints: true, max_open: 10_000, ..settings() };
    let mut directory = directory_of(0);
    directory.set(Entry { rate_hint: usual_rate * 1.25, ..entry(1, 1, 0) });
    let start = |index| Driver::with_seed(cfg.clone(), directory.clone(), seed * 1_000 + index as u64);
    let mut fleet: Vec<Driver> = (0..senders).map(start).collect();
    let mut random = Random::new(seed);
    let mut ends: Vec<(Ns, usize, AttemptEnd)> = Vec::new();
    let mut attempts = BTreeMap::<MsgId, u32>::new();
    let (mut next_id, mut calls) = (0, Vec::new());
    let mut now = START_TIME;
    while now < START_TIME + RECOVERY + cfg.slow_start_window {
        now += 20 * MS;
        let elapsed = now - START_TIME;
        let in_outage = (8 * SECOND..RECOVERY).contains(&elapsed);
        for (index, driver) in fleet.iter_mut().enumerate() {
            driver.harness.now = driver.harness.now.max(now);
            driver.events.push(Event::Timer);
            let due = |a: &(Ns, usize, AttemptEnd)| a.0 <= now && a.1 == index;
            driver.events.extend(ends.iter().filter(|a| due(a)).map(|a| Event::AttemptEnd(a.2)));
            ends.retain(|a| !due(a));
            if (random.below(1_000_000) as f64) < usual_rate / senders as f64 * 0.02 * 1e6 {
                driver.message(message(next_id, 1, 1));
                next_id += 1;
            }
            // Clients withdraw all messages before the recovery, and hand in what they have gathered after
            // it.
            if elapsed == RECOVERY - 400 * MS {
                driver.events.extend((0..next_id).map(|id| Event::Withdrawn { id }));
            }
            if elapsed == RECOVERY {
                for _ in 0..(5.0 * usual_rate / senders as f64).ceil() as u64 {
                    driver.message(message(next_id, 1, 1));
                    next_id += 1;
                }
            }
            let mut sent = sends(&driver.round());
            if elapsed == RECOVERY - 200 * MS {
                sent.extend(driver.use_new_destinations(2 * MAX_IDLE_DESTINATIONS as u64 + 500));
            }
            for (id, endpoint) in sent {
                let attempt = attempts.entry(id).or_default();
                let took = if in_outage { 10 * MS } else { 120 * MS };
                let outcome = if in_outage { outcome } else { Outcome::Served };
                ends.push((
                    now + took,
                    index,
                    AttemptEnd { took, ..attempt_end(id, *attempt, endpoint, outcome) },
                ));
                *attempt += 1;
                calls.extend((elapsed >= RECOVERY).then_some(elapsed));
            }
        }
    }
    let excess = |last: usize| {
        let elapsed: Ns = calls[last];
        let middle =
            (elapsed - cfg.overload_duration / 2 - RECOVERY).max(0) as f64 / cfg.slow_start_window as f64;
        let capacity_share = cfg.slow_start_capacity + (1.0 - cfg.slow_start_capacity) * middle;
        let budget =
            cfg.overload_factor * capacity_share * usual_rate * 1.5 * cfg.overload_duration as f64 / 1e9;
        let sent = calls[..=last].iter().filter(|&&c| c > elapsed - cfg.overload_duration).count();
        sent as f64 - (budget + 2.0 * budget.sqrt() + 2.0)
    };
    let worst = (0..calls.len()).map(excess).max_by(f64::total_cmp).unwrap_or(f64::MIN);
    (worst, calls.len())
}

#[test]
fn slow_start_budget_holds_after_cleanup_during_outage() {
    for senders in [5, 20] {
        for usual_rate in [8.0, 40.0] {
            for outcome in [Outcome::NoConnection, Outcome::ServerError] {
                let (excess, calls) = play_recovery(senders, usual_rate, outcome, 1);
                let case =
                    format!("{senders} senders, {usual_rate} calls per second, {outcome:?}: {calls} calls");
                assert!(calls > 0, "{case}: the recovery is noticed");
                assert!(excess <= 0.0, "{case}, {excess:.1} too many in a window");
            }
        }
    }
}

#[test]
fn held_messages_are_sent_when_destination_is_listed_again() {
    let mut driver = Driver::new(long_lived(), directory_of(10));
    driver.call(long_lived_message(1, 3, 0), Outcome::Served);
    driver.directory.remove(3);
    driver.changed(&[3]);
    assert!(driver.submit(long_lived_message(2, 3, 0)).is_empty(), "it is not listed");
    // A destination that was never listed.
    assert!(driver.submit(long_lived_message(3, 77, 0)).is_empty());
    driver.drop_unused();
    driver.replaced();
    assert!(sends(&driver.round()).is_empty());
    // Listed with a new endpoint: by a change, and by a whole list.
    driver.directory.set(entry(500, 3, 0));
    driver.changed(&[500]);
    assert_eq!(sends(&driver.round()), [(2, 500)]);
    driver.directory.set(entry(501, 77, 0));
    driver.replaced();
    assert_eq!(sends(&driver.round()), [(3, 501)]);
}

#[test]
fn follows_entirely_different_list_under_traffic() {
    const USED: u64 = 500;
    let mut random = Random::new(seed());
    let mut driver =
        Driver::new(Settings { slots: 200, max_open: 10_000, ..settings() }, directory_of(100_000));
    let (mut next_id, mut ended, mut sent) = (0, BTreeSet::new(), BTreeSet::new());
    let mut ends: Vec<(Ns, AttemptEnd)> = Vec::new();
    for round in 0..2_000u64 {
        driver.harness.now += 10 * MS;
        let now = driver.harness.now;
        let due = ends.iter().filter(|(at, _)| *at <= now).map(|(_, end)| Event::AttemptEnd(*end));
        driver.events.extend(due);
        ends.retain(|(at, _)| *at > now);
        driver.message(message(next_id, random.below(USED), 1));
        next_id += 1;
        if round == 1_000 {
            // In the middle of a batch each destination gets another endpoint, and its old endpoint gets
            // another destination.
            let moved = |d: u64| entry(200_000 + d as EndpointId, d, 0);
            (0..100_000).for_each(|d| driver.directory.set(moved(d)));
            (0..100_000).for_each(|e| driver.directory.set(entry(e as EndpointId, 300_000 + e, 0)));
            driver.replaced();
            driver.message(message(next_id, random.below(USED), 1));
            next_id += 1;
        }
        for action in driver.round() {
            match action {
                Action::Send { id, endpoint, .. } => {
                    assert!(sent.insert(id), "{id} is sent once");
                    assert_eq!(endpoint >= 200_000, round >= 1_000, "{endpoint} in round {round}");
                    let took = (20 + random.below(200) as Ns) * MS;
                    ends.push((
                        now + took,
                        AttemptEnd { took, ..attempt_end(id, 0, endpoint, Outcome::Served) },
                    ));
                }
                Action::Refuse { id, .. } | Action::Fail { id } => _ = ended.insert(id),
                _ => {}
            }
        }
    }
    assert!(ended.is_empty(), "no message is refused or failed: {ended:?}");
    assert_eq!(sent.len() as u64, next_id, "all messages are sent");
    assert!(driver.harness.sender.known_endpoints().all(|e| e >= 200_000), "the old endpoints are dropped");
    assert!(driver.known() <= USED as usize);
}

/// Returns a driver whose policy knows `known` destinations without work, just after a whole list that gives
/// each another endpoint, `MOVED` above its old one.
fn with_pending_destinations(known: u64) -> Driver {
    let mut driver = Driver::new(Settings { slots: 200, ..settings() }, directory_of(100_000));
    (0..known).for_each(|dest| driver.call(message(dest, dest, 0), Outcome::Served));
    assert_eq!(driver.known() as u64, known);
    for dest in 0..known {
        driver.directory.remove(dest as EndpointId);
        driver.directory.set(entry(dest as EndpointId + MOVED, dest, 0));
    }
    driver.replaced();
    driver
}

/// Difference between the endpoint numbers of the new list and the old one.
const MOVED: EndpointId = 200_000;

#[test]
fn whole_list_is_told_in_bounded_batches() {
    const KNOWN: u64 = 1_500;
    let mut driver = with_pending_destinations(KNOWN);
    // A call is in flight when the list arrives.
    let busy = MsgId::MAX;
    driver.message(message(busy, 7, 0));
    let sent = driver.round();
    assert_eq!(sends(&sent), [(busy, 7 + MOVED)]);
    driver.replaced();
    let mut told_destinations = BTreeSet::new();
    let mut batches = 0;
    while driver.on_demand.has_pending() {
        let events = driver.batch();
        let entries = events.iter().flat_map(|event| match event {
            Event::List { entries, .. } => entries.clone(),
            _ => Vec::new(),
        });
        let entries: Vec<Entry> = entries.collect();
        let destinations: BTreeSet<DestId> = entries.iter().map(|entry| entry.dest).collect();
        assert!(destinations.len() <= PENDING_BATCH + 1, "{} in one batch", destinations.len());
        told_destinations.extend(destinations);
        driver.handle(events);
        batches += 1;
    }
    assert!(batches >= (KNOWN as usize - 1) / PENDING_BATCH, "{batches} batches");
    assert_eq!(told_destinations.len() as u64, KNOWN);
    assert_eq!(driver.known() as u64, KNOWN, "no destination is dropped");
    let end = AttemptEnd { took: MS, ..attempt_end(busy, 0, 7 + MOVED, Outcome::Served) };
    driver.end_attempt(end);
    // Endpoints that are not listed any more are dropped in time, and never called.
    driver.advance(2 * CLEANUP_INTERVAL);
    assert!(driver.harness.sender.known_endpoints().all(|endpoint| endpoint >= MOVED));
}

#[test]
fn cleanup_in_batches_keeps_destinations_used_meanwhile() {
    const KNOWN: u64 = 2_000;
    let mut driver = Driver::new(Settings { slots: 200, ..settings() }, directory_of(100_000));
    (0..KNOWN).for_each(|dest| driver.call(message(dest, dest, 0), Outcome::Served));
    // At this time the oldest have passed the idle time-out, the youngest have not.
    driver.advance(IDLE_TIMEOUT - 15 * SECOND);
    let mut sizes = vec![driver.known()];
    let used: Vec<DestId> = vec![1, 600, 1_100];
    for (id, &dest) in (3 * KNOWN..).zip(&used) {
        driver.call(message(id, dest, 0), Outcome::Served);
    }
    while sizes.last() != Some(&used.len()) {
        driver.harness.now += 10 * MS;
        driver.events.push(Event::Timer);
        driver.round();
        if sizes.last() != Some(&driver.known()) {
            sizes.push(driver.known());
        }
        assert!(sizes.len() < 100, "{sizes:?}");
    }
    let max_dropped = sizes.windows(2).map(|pair| pair[0] - pair[1]).max();
    assert!(max_dropped <= Some(CLEANUP_BATCH), "{sizes:?}");
    assert!(sizes.len() > KNOWN as usize / CLEANUP_BATCH, "{sizes:?}");
    assert!(driver.harness.sender.known_destinations().eq(used));
}

#[test]
fn message_for_pending_destination_follows_new_list() {
    for dest in [0, 700, 1_499] {
        let mut driver = with_pending_destinations(1_500);
        assert!(driver.on_demand.has_pending());
        assert_eq!(driver.submit(message(9_000, dest, 0)), [(9_000, dest as EndpointId + MOVED)]);
    }
}

#[test]
fn follows_changes_and_second_list_while_destinations_are_pending() {
    let mut driver = with_pending_destinations(1_500);
    driver.round();
    // A change of a destination that is still pending, and of one that is not.
    for dest in [3, 1_400] {
        driver.directory.remove(dest + MOVED);
        driver.directory.set(entry(dest + 2 * MOVED, dest.into(), 0));
        driver.changed(&[dest + MOVED, dest + 2 * MOVED]);
        driver.round();
    }
    // A second whole list, in which one destination is gone and another has the endpoint of a third.
    driver.directory.remove(5 + MOVED);
    driver.directory.set(entry(6 + MOVED, 1_300, 0));
    driver.replaced();
    assert_eq!(driver.submit(message(9_000, 3, 0)), [(9_000, 3 + 2 * MOVED)]);
    assert_eq!(driver.submit(message(9_001, 1_400, 0)), [(9_001, 1_400 + 2 * MOVED)]);
    assert!(driver.submit(message(9_002, 5, 0)).is_empty(), "it is not listed");
    assert!(driver.submit(message(9_003, 6, 0)).is_empty(), "its endpoint belongs to another destination");
    while driver.on_demand.has_pending() {
        driver.round();
    }
    let (first, second) = (1_300 + MOVED, 6 + MOVED);
    let sent = [9_004, 9_005].map(|id| driver.submit(message(id, 1_300, 0))[0].1);
    assert_eq!(BTreeSet::from(sent), BTreeSet::from([first, second]));
}

#[test]
fn messages_before_whole_list_in_same_batch_follow_it() {
    let mut driver = Driver::new(Settings { slots: 200, ..settings() }, directory_of(100_000));
    (0..1_500).for_each(|dest| driver.call(message(dest, dest, 0), Outcome::Served));
    // For a destination that is known and has no work, and for one that was never used.
    let used = [700, 5_000];
    used.iter().for_each(|&dest| driver.message(message(10_000 + dest, dest, 0)));
    for dest in (0..1_500).chain([5_000]) {
        driver.directory.remove(dest as EndpointId);
        driver.directory.set(entry(dest as EndpointId + MOVED, dest, 0));
    }
    driver.replaced();
    let sent: BTreeSet<(MsgId, EndpointId)> = sends(&driver.round()).into_iter().collect();
    assert_eq!(sent, BTreeSet::from(used.map(|dest| (10_000 + dest, dest as EndpointId + MOVED))));
    for dest in used {
        driver.end_attempt(attempt_end(10_000 + dest, 0, dest as EndpointId + MOVED, Outcome::Served));
    }
    driver.advance(2 * CLEANUP_INTERVAL);
    assert!(driver.harness.sender.known_endpoints().all(|endpoint| endpoint >= MOVED));
}

#[test]
fn keeps_retry_after_while_destinations_are_pending() {
    let mut driver = Driver::new(Settings { slots: 200, ..settings() }, directory_of(100_000));
    (0..1_000).for_each(|dest| driver.call(message(dest, dest, 0), Outcome::Served));
    let sent = driver.submit(message(2_000, 900, 0));
    assert_eq!(sent, [(2_000, 900)]);
    let refusal = AttemptEnd { retry_after: 30 * SECOND, ..attempt_end(2_000, 0, 900, Outcome::TurnedAway) };
    driver.end_attempt(refusal);
    // The message is refused, and there is no other work for the destination.
    driver.advance(6 * SECOND);
    (0..1_000).for_each(|dest| driver.directory.set(entry(dest + MOVED, dest.into(), 0)));
    (0..1_000).for_each(|dest| driver.directory.remove(dest));
    driver.replaced();
    assert!(driver.submit(message(2_001, 900, 0)).is_empty(), "the requested wait is not over");
    driver.advance(SECOND);
    assert!(!driver.on_demand.has_pending());
    assert!(driver.submit(message(2_002, 900, 0)).is_empty(), "the requested wait is not over");
}

#[test]
fn follows_endpoint_that_moves_to_unused_destination() {
    let mut driver = Driver::new(settings(), directory_of(10));
    driver.call(message(1, 3, 0), Outcome::Served);
    driver.directory.set(entry(3, 4, 0));
    driver.changed(&[3]);
    driver.round();
    assert!(!driver.knows(4), "there is no work for it");
    assert!(driver.submit(message(2, 3, 0)).is_empty(), "its endpoint belongs to another destination");
    // Both endpoints that destination 4 has now are equally good.
    let sent: BTreeSet<EndpointId> =
        (3..5).flat_map(|id| driver.submit(message(id, 4, 0))).map(|(_, endpoint)| endpoint).collect();
    assert_eq!(sent, BTreeSet::from([3, 4]));
    // The endpoint moves back: the held message is sent at once.
    driver.directory.set(entry(3, 3, 0));
    driver.changed(&[3]);
    assert_eq!(sends(&driver.round()), [(2, 3)]);
    driver.advance(2 * CLEANUP_INTERVAL);
    assert_eq!(driver.submit(message(9, 4, 0))[0].1, 4);
}

#[test]
fn changes_in_same_batch_apply_to_first_message() {
    // The destination leaves the list after it was looked up.
    let mut driver = Driver::new(settings(), directory_of(10));
    driver.message(message(1, 3, 0));
    driver.directory.remove(3);
    driver.changed(&[3]);
    assert!(sends(&driver.round()).is_empty());
    // It is listed after it was looked up without result.
    driver.message(message(2, 77, 0));
    driver.directory.set(entry(500, 77, 0));
    driver.changed(&[500]);
    assert_eq!(sends(&driver.round()), [(2, 500)]);
    // Its endpoint moves to another destination, and then leaves the list.
    driver.message(message(3, 4, 0));
    driver.message(message(4, 5, 0));
    driver.directory.set(entry(4, 5, 0));
    driver.changed(&[4]);
    driver.directory.remove(4);
    driver.changed(&[4]);
    assert_eq!(sends(&driver.round()), [(4, 5)]);
    // A whole list without the destination.
    driver.message(message(5, 6, 0));
    driver.directory.remove(6);
    driver.replaced();
    assert!(sends(&driver.round()).is_empty());
    // A whole list with another endpoint for the destination, and a message after it.
    driver.message(message(6, 7, 0));
    driver.directory.remove(7);
    driver.directory.set(entry(600, 7, 0));
    driver.replaced();
    driver.message(message(7, 7, 0));
    assert_eq!(sends(&driver.round()), [(6, 600), (7, 600)]);
}

#[test]
fn decisions_equal_those_with_full_lists() {
    const DESTINATIONS: u64 = 40;
    let mut random = Random::new(seed());
    // The limit is never reached, and each destination has one message at a time: otherwise a route that is
    // listed later than others would have a smaller share of its limit at first.
    let cfg = Settings { rate_hints: true, ..settings() };
    let mut driver = Driver::new(cfg.clone(), directory_of(0));
    let mut full_list = Harness::new(cfg, &[]);
    let mut ends: Vec<(Ns, AttemptEnd)> = Vec::new();
    let mut attempts = BTreeMap::<MsgId, u32>::new();
    let (mut next_id, mut calls) = (0, 0);
    let mut open_messages = BTreeMap::<MsgId, DestId>::new();
    for _ in 0..4_500 {
        driver.harness.now += 10 * MS;
        let now = driver.harness.now;
        full_list.now = now;
        let mut events = vec![Event::Timer];
        driver.events.push(Event::Timer);
        // Up to three endpoints per destination; some drain, leave, and are listed again.
        let changes: Vec<EndpointId> =
            (0..random.below(3)).map(|_| random.below(3 * DESTINATIONS) as EndpointId).collect();
        for &endpoint in &changes {
            let condition = [Condition::Ready, Condition::Ready, Condition::Draining, Condition::Gone];
            let condition = condition[random.below(4) as usize];
            let (dest, kind) = (u64::from(endpoint) / 3, (endpoint % 2) as usize);
            let entry = Entry { condition, rate_hint: 1_000.0, ..entry(endpoint, dest, kind) };
            let ready = driver.directory.entry(endpoint).is_some_and(|e| e.condition == Condition::Ready);
            if condition == Condition::Gone && !ready {
                // This would only make the policy with the full list consider the destination, and tell it
                // nothing new.
                continue;
            }
            match condition {
                Condition::Gone => driver.directory.remove(endpoint),
                _ => driver.directory.set(entry),
            }
            events.push(Event::List { whole: false, entries: vec![entry] });
            driver.changed(&[endpoint]);
        }
        if random.below(300) == 0 {
            let entries = driver.directory.changed.values().flatten().copied().collect();
            events.push(Event::List { whole: true, entries });
            driver.replaced();
        }
        let due: Vec<Event> =
            ends.iter().filter(|(at, _)| *at <= now).map(|(_, end)| Event::AttemptEnd(*end)).collect();
        ends.retain(|(at, _)| *at > now);
        for event in &due {
            if let Event::AttemptEnd(AttemptEnd { id, done: true, .. }) = event {
                open_messages.remove(id);
            }
        }
        events.extend(due.iter().cloned());
        driver.events.extend(due);
        let (dest, class) = (random.below(DESTINATIONS), random.below(3) as usize);
        if random.below(4) == 0 && !open_messages.values().any(|&d| d == dest) {
            let message = message(next_id, dest, class);
            open_messages.insert(next_id, dest);
            next_id += 1;
            events.push(Event::Message(message));
            driver.message(message);
        }
        let decided = |actions: Vec<Action>| -> Vec<Action> {
            // The times of timers may differ by a rounding error.
            actions.into_iter().filter(|a| !matches!(a, Action::Timer { .. })).collect()
        };
        let actions = decided(full_list.handle(events));
        assert_eq!(decided(driver.round()), actions, "at {} ms", (now - START_TIME) / MS);
        for action in final_actions(&actions) {
            if let Action::Refuse { id, .. } | Action::Fail { id } = action {
                open_messages.remove(&id);
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
            let outcome = outcomes[random.below(5) as usize];
            let took = (20 + random.below(400) as Ns) * MS;
            let attempt = attempts.entry(id).or_default();
            ends.push((now + took, AttemptEnd { took, ..attempt_end(id, *attempt, endpoint, outcome) }));
            *attempt += 1;
            calls += 1;
        }
    }
    assert!(calls > 500, "{calls}");
}
