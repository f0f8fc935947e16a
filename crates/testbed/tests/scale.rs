//! The scale tests in a small size: slopes, ratios and counts, which repeat on a busy machine too.
use catalogue::{intake, Catalogue, Limits};
use sender::api::Outcome;
use std::time::Duration;
use testbed::scale::allocation::CountingAllocator;
use testbed::scale::change_log::ChangeLog;
use testbed::scale::deployment::{Addresses, Change, Deployment, Size, REGIONS};
use testbed::scale::fit::Line;
use testbed::scale::fleet::{module_settings, Fleet, FleetSpec};
use testbed::scale::list_service::ListService;
use testbed::scale::module::ModuleHarness;
use testbed::seed::Seed;

#[global_allocator]
static MEMORY: CountingAllocator = CountingAllocator;

const SEED: Seed = Seed(30);
const LIMITS: Limits = Limits { max_entries: usize::MAX, max_bytes: usize::MAX };
const SENDERS: usize = 52;
/// Longer than anything here takes on whatever machine; nothing is asserted of it but that it is not reached.
const BOUND: Duration = Duration::from_secs(60);
/// The aim for a listed destination with one endpoint.
const BYTES_BY_DESTINATION: f64 = 64.0;
/// What a change may cost a sender: two entries and the heads, with room for longer names.
const BYTES_BY_CHANGE: u64 = 1_024;

fn deployment(destinations: u32) -> Deployment {
    Deployment::new(SEED, Size::single(destinations), Addresses::Synthetic)
}

fn list(destinations: u32) -> Vec<u8> {
    ChangeLog::new(deployment(destinations)).since(None).parts.concat()
}

fn module_with_list(destinations: u32) -> ModuleHarness {
    let mut module = ModuleHarness::new(&module_settings(), Outcome::Served);
    let taken = intake::read(list(destinations).as_slice(), &Catalogue::default(), &LIMITS).unwrap();
    module.apply_list(taken);
    module.run_rounds(2);
    module
}

fn line(sizes: &[u32], of: impl Fn(u32) -> usize) -> Line {
    let points: Vec<(f64, f64)> = sizes.iter().map(|&size| (f64::from(size), of(size) as f64)).collect();
    println!("{points:?}");
    Line::fit(&points).expect("there are several sizes")
}

#[test]
fn a_listed_destination_takes_64_bytes_at_most_and_memory_grows_in_a_straight_line() {
    println!("seed {}", SEED.0);
    let sizes = [20_000, 40_000, 80_000, 160_000];
    let line = line(&sizes, |destinations| {
        let list = list(destinations);
        let before = MEMORY.in_use();
        let taken = intake::read(list.as_slice(), &Catalogue::default(), &LIMITS).unwrap();
        assert_eq!((taken.entries, taken.unreadable), (destinations as usize, 0));
        MEMORY.in_use() - before
    });
    assert!(line.slope <= BYTES_BY_DESTINATION, "{line:?}");
    assert!(line.residual < 0.02 * line.predict(f64::from(sizes[3])), "{line:?}");
}

#[test]
fn taking_a_list_in_needs_no_more_at_a_time_than_two_catalogues() {
    println!("seed {}", SEED.0);
    let list = list(100_000);
    let before = MEMORY.in_use();
    let first = intake::read(list.as_slice(), &Catalogue::default(), &LIMITS).unwrap().catalogue;
    let one = MEMORY.in_use() - before;
    MEMORY.take_peak();
    let second = intake::read(list.as_slice(), &first, &LIMITS).unwrap().catalogue;
    let most = MEMORY.take_peak() - before;
    assert_eq!(second.len(), 100_000);
    assert!(most as f64 <= 2.3 * one as f64, "{most} bytes at a time, {one} for one");
}

#[test]
fn the_module_has_no_state_for_listed_destinations() {
    println!("seed {}", SEED.0);
    let line = line(&[30, 300, 3_000, 30_000], |destinations| {
        let list = list(destinations);
        let mut module = ModuleHarness::new(&module_settings(), Outcome::Served);
        let taken = intake::read(list.as_slice(), &Catalogue::default(), &LIMITS).unwrap();
        let before = MEMORY.in_use();
        module.apply_list(taken);
        module.run_rounds(2);
        assert_eq!(module.known_destinations(), 0);
        MEMORY.in_use().saturating_sub(before)
    });
    assert_eq!(line.slope, 0.0, "{line:?}");
}

#[test]
fn memory_follows_the_destinations_that_are_used_not_those_that_are_listed() {
    println!("seed {}", SEED.0);
    let state = |listed: u32| {
        let mut module = module_with_list(listed);
        let before = MEMORY.in_use();
        assert!(module.offer(200, 20, 200, BOUND));
        module.run_rounds(20);
        assert_eq!((module.delivered, module.known_destinations()), (200, 200));
        (MEMORY.in_use() - before) as f64
    };
    let (few, many) = (state(200), state(20_000));
    assert!((many / few - 1.0).abs() < 0.05, "{few} bytes among 200, {many} among 20,000");
}

#[test]
fn memory_of_used_destinations_levels_off() {
    println!("seed {}", SEED.0);
    let state = |used: u32| {
        let mut module = module_with_list(used);
        let before = MEMORY.in_use();
        assert!(module.offer(used.into(), 20, used.into(), BOUND));
        module.run_rounds(20);
        assert_eq!(module.delivered, u64::from(used));
        (MEMORY.in_use() - before) as f64
    };
    let (few, many) = (state(6_000), state(18_000));
    assert!(many / few < 1.5, "{few} bytes after 6,000 used destinations, {many} after 18,000");
}

#[test]
fn a_change_to_a_large_list_copies_a_small_part_of_it() {
    println!("seed {}", SEED.0);
    let mut log = ChangeLog::new(deployment(100_000));
    let first =
        intake::read(log.since(None).parts.concat().as_slice(), &Catalogue::default(), &LIMITS).unwrap();
    let whole = first.catalogue.heap_bytes();
    let before = log.generation();
    log.apply(Change::Replace(77_777));
    let change = log.since(Some(before)).parts.concat();
    MEMORY.take_peak();
    let start = MEMORY.in_use();
    let second = intake::read(change.as_slice(), &first.catalogue, &LIMITS).unwrap();
    assert_eq!(second.changed.len(), 2);
    let most = MEMORY.take_peak() - start;
    assert!(most < whole / 20, "{most} bytes for one change of {whole}");
}

#[test]
fn a_held_message_takes_the_same_memory_in_a_small_and_in_a_large_backlog() {
    println!("seed {}", SEED.0);
    let line = line(&[1_000, 2_000, 4_000, 8_000], |messages| {
        let mut settings = module_settings();
        settings.max_open = 2 * messages as usize;
        let mut module = ModuleHarness::new(&settings, Outcome::NoConnection);
        module.tell_whole_list(100);
        module.run_rounds(2);
        let before = MEMORY.in_use();
        assert!(module.offer(messages.into(), 500, 100, BOUND));
        assert_eq!(module.open_messages(), u64::from(messages));
        MEMORY.in_use() - before
    });
    // Containers double, so the points lie on both sides of the line.
    assert!((100.0..400.0).contains(&line.slope), "{line:?}");
}

/// A fleet and the service that it watches.
struct Bench {
    service: ListService,
    fleet: Fleet,
}

impl Bench {
    async fn start(destinations: u32) -> Bench {
        let service = ListService::start(deployment(destinations)).unwrap();
        let first = intake::read(list(destinations).as_slice(), &Catalogue::default(), &LIMITS).unwrap();
        assert_eq!(first.generation, service.generation());
        let spec = FleetSpec {
            seed: SEED,
            senders: SENDERS,
            watch: Duration::from_secs(1),
            discovery: (0..REGIONS).map(|region| service.address(region)).collect(),
            catalogue: first.catalogue,
        };
        let bench = Bench { service, fleet: Fleet::start(&spec) };
        // All watch from here on.
        bench.change(Change::Weight(0, 0.5));
        assert!(bench.fleet.progress.wait_for_all(bench.service.generation(), BOUND).await);
        bench
    }

    fn change(&self, change: Change) -> u64 {
        self.fleet.progress.note_published(self.service.generation() + 1);
        self.service.apply(change)
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_has_each_change_everywhere_and_pays_for_its_own_size() {
    println!("seed {}", SEED.0);
    let bench = Bench::start(2_000).await;
    let before = bench.service.counts();
    bench.fleet.progress.take_times();
    for number in 1..=20 {
        let version = bench.change(Change::Replace(number));
        assert!(bench.fleet.progress.wait_for_all(version, BOUND).await, "version {version}");
    }
    let (counts, seen) = (bench.service.counts().since(&before), bench.fleet.progress.take_times());
    assert_eq!((seen.changes, seen.everywhere, counts.whole_lists), (20, 20, 0));
    // Watches that ran out meanwhile are no cost of a change.
    let empty = counts.empty_answers * 256;
    let each = (counts.bytes - empty.min(counts.bytes)) / 20 / SENDERS as u64;
    assert!(each <= BYTES_BY_CHANGE, "{each} bytes by change and sender: {counts:?}");
    bench.fleet.end().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_region_that_was_cut_off_fetches_the_changes_alone() {
    println!("seed {}", SEED.0);
    let bench = Bench::start(2_000).await;
    let whole = list(2_000).len() as u64;
    bench.service.set_cut(1, true);
    let mut last = 0;
    for number in 100..130 {
        last = bench.change(Change::Drain(number));
    }
    let rest = SENDERS - SENDERS / REGIONS as usize;
    assert!(bench.fleet.progress.wait_for(rest, last, BOUND).await);
    assert_eq!(
        bench.fleet.progress.senders_with(last),
        rest,
        "who is cut off has nothing new, all others have"
    );
    let before = bench.service.counts();
    bench.service.set_cut(1, false);
    assert!(bench.fleet.progress.wait_for_all(last, BOUND).await);
    let healed = bench.service.counts().since(&before);
    assert_eq!(healed.whole_lists, 0, "{healed:?}");
    let each = healed.bytes / (SENDERS as u64 / u64::from(REGIONS));
    assert!(each < whole / 10, "{each} bytes each, the list has {whole}");
    bench.fleet.end().await;
}
