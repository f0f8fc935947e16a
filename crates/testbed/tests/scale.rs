//! Scale measurements at small sizes, as slopes, ratios and counts that do not depend on the machine's load.
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
/// Senders of a fleet.
const SENDERS: usize = 52;
/// Longer than any step takes on any machine; a step that reaches it fails.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Target for the catalogue's memory per listed destination with one endpoint.
const MAX_BYTES_PER_DESTINATION: f64 = 64.0;
/// Limit on the bytes that a change may cost a sender: two entries and the heads, with room for longer names.
const MAX_BYTES_PER_CHANGE: u64 = 1_024;

fn deployment(destinations: u32) -> Deployment {
    Deployment::new(SEED, Size::single(destinations), Addresses::Synthetic)
}

fn list(destinations: u32) -> Vec<u8> {
    ChangeLog::new(deployment(destinations)).since(None).parts.concat()
}

fn module_with_list(destinations: u32) -> ModuleHarness {
    let mut module = ModuleHarness::new(&module_settings(), Outcome::Served);
    let loaded = intake::read(list(destinations).as_slice(), &Catalogue::default(), &LIMITS).unwrap();
    module.apply_list(loaded);
    module.run_rounds(2);
    module
}

/// Fits a line to a value that is measured at several sizes.
fn fit_line(sizes: &[u32], measure: impl Fn(u32) -> usize) -> Line {
    let points: Vec<(f64, f64)> = sizes.iter().map(|&size| (f64::from(size), measure(size) as f64)).collect();
    println!("{points:?}");
    Line::fit(&points).expect("at least two sizes")
}

#[test]
fn catalogue_takes_at_most_64_bytes_per_destination_and_grows_linearly() {
    println!("seed {}", SEED.0);
    let sizes = [20_000, 40_000, 80_000, 160_000];
    let line = fit_line(&sizes, |destinations| {
        let list = list(destinations);
        let before = MEMORY.in_use();
        let loaded = intake::read(list.as_slice(), &Catalogue::default(), &LIMITS).unwrap();
        assert_eq!((loaded.entries, loaded.unreadable), (destinations as usize, 0));
        MEMORY.in_use() - before
    });
    assert!(line.slope <= MAX_BYTES_PER_DESTINATION, "{line:?}");
    assert!(line.residual < 0.02 * line.predict(f64::from(sizes[3])), "{line:?}");
}

#[test]
fn loading_a_list_peaks_at_two_catalogues() {
    println!("seed {}", SEED.0);
    let list = list(100_000);
    let before = MEMORY.in_use();
    let first = intake::read(list.as_slice(), &Catalogue::default(), &LIMITS).unwrap().catalogue;
    let catalogue_bytes = MEMORY.in_use() - before;
    MEMORY.take_peak();
    let second = intake::read(list.as_slice(), &first, &LIMITS).unwrap().catalogue;
    let peak = MEMORY.take_peak() - before;
    assert_eq!(second.len(), 100_000);
    assert!(
        peak as f64 <= 2.3 * catalogue_bytes as f64,
        "peak of {peak} bytes, {catalogue_bytes} for one catalogue"
    );
}

#[test]
fn module_holds_no_state_for_listed_destinations() {
    println!("seed {}", SEED.0);
    let line = fit_line(&[30, 300, 3_000, 30_000], |destinations| {
        let list = list(destinations);
        let mut module = ModuleHarness::new(&module_settings(), Outcome::Served);
        let loaded = intake::read(list.as_slice(), &Catalogue::default(), &LIMITS).unwrap();
        let before = MEMORY.in_use();
        module.apply_list(loaded);
        module.run_rounds(2);
        assert_eq!(module.known_destinations(), 0);
        MEMORY.in_use().saturating_sub(before)
    });
    assert_eq!(line.slope, 0.0, "{line:?}");
}

#[test]
fn module_memory_depends_on_used_not_listed_destinations() {
    println!("seed {}", SEED.0);
    let module_bytes = |listed: u32| {
        let mut module = module_with_list(listed);
        let before = MEMORY.in_use();
        assert!(module.offer(200, 20, 200, TIMEOUT));
        module.run_rounds(20);
        assert_eq!((module.delivered, module.known_destinations()), (200, 200));
        (MEMORY.in_use() - before) as f64
    };
    let (few, many) = (module_bytes(200), module_bytes(20_000));
    assert!((many / few - 1.0).abs() < 0.05, "{few} bytes with 200 listed, {many} with 20,000");
}

#[test]
fn module_memory_of_used_destinations_levels_off() {
    println!("seed {}", SEED.0);
    let module_bytes = |used: u32| {
        let mut module = module_with_list(used);
        let before = MEMORY.in_use();
        assert!(module.offer(used.into(), 20, used.into(), TIMEOUT));
        module.run_rounds(20);
        assert_eq!(module.delivered, u64::from(used));
        (MEMORY.in_use() - before) as f64
    };
    let (few, many) = (module_bytes(6_000), module_bytes(18_000));
    assert!(many / few < 1.5, "{few} bytes after 6,000 used destinations, {many} after 18,000");
}

#[test]
fn change_of_a_large_list_copies_a_small_part() {
    println!("seed {}", SEED.0);
    let mut log = ChangeLog::new(deployment(100_000));
    let first =
        intake::read(log.since(None).parts.concat().as_slice(), &Catalogue::default(), &LIMITS).unwrap();
    let catalogue_bytes = first.catalogue.heap_bytes();
    let before = log.generation();
    log.apply(Change::Replace(77_777));
    let change = log.since(Some(before)).parts.concat();
    MEMORY.take_peak();
    let start = MEMORY.in_use();
    let second = intake::read(change.as_slice(), &first.catalogue, &LIMITS).unwrap();
    assert_eq!(second.changed.len(), 2);
    let peak = MEMORY.take_peak() - start;
    assert!(peak < catalogue_bytes / 20, "{peak} bytes for one change, the catalogue has {catalogue_bytes}");
}

#[test]
fn memory_per_held_message_is_independent_of_backlog_size() {
    println!("seed {}", SEED.0);
    let line = fit_line(&[1_000, 2_000, 4_000, 8_000], |messages| {
        let mut settings = module_settings();
        settings.max_open = 2 * messages as usize;
        let mut module = ModuleHarness::new(&settings, Outcome::NoConnection);
        module.tell_whole_list(100);
        module.run_rounds(2);
        let before = MEMORY.in_use();
        assert!(module.offer(messages.into(), 500, 100, TIMEOUT));
        assert_eq!(module.open_messages(), u64::from(messages));
        MEMORY.in_use() - before
    });
    // Containers grow by doubling, so the points lie on both sides of the line.
    assert!((100.0..400.0).contains(&line.slope), "{line:?}");
}

/// A fleet and the list service that it watches.
struct WatchedFleet {
    service: ListService,
    fleet: Fleet,
}

impl WatchedFleet {
    async fn start(destinations: u32) -> WatchedFleet {
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
        let watched = WatchedFleet { service, fleet: Fleet::start(&spec) };
        // A first change ensures that all senders watch from here on.
        watched.apply(Change::Weight(0, 0.5));
        assert!(watched.fleet.progress.wait_for_all(watched.service.generation(), TIMEOUT).await);
        watched
    }

    fn apply(&self, change: Change) -> u64 {
        self.fleet.progress.note_published(self.service.generation() + 1);
        self.service.apply(change)
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fleet_applies_each_change_everywhere_at_bounded_bytes() {
    println!("seed {}", SEED.0);
    let watched = WatchedFleet::start(2_000).await;
    let before = watched.service.counts();
    watched.fleet.progress.take_times();
    for number in 1..=20 {
        let version = watched.apply(Change::Replace(number));
        assert!(watched.fleet.progress.wait_for_all(version, TIMEOUT).await, "version {version}");
    }
    let (counts, times) = (watched.service.counts().since(&before), watched.fleet.progress.take_times());
    assert_eq!((times.changes, times.everywhere, counts.whole_lists), (20, 20, 0));
    // Watches that expired meanwhile are not a cost of the changes.
    let empty_bytes = counts.empty_answers * 256;
    let bytes_per_change = (counts.bytes - empty_bytes.min(counts.bytes)) / 20 / SENDERS as u64;
    assert!(
        bytes_per_change <= MAX_BYTES_PER_CHANGE,
        "{bytes_per_change} bytes per change and sender: {counts:?}"
    );
    watched.fleet.end().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn region_fetches_only_changes_after_a_cut() {
    println!("seed {}", SEED.0);
    let watched = WatchedFleet::start(2_000).await;
    let list_bytes = list(2_000).len() as u64;
    watched.service.set_cut(1, true);
    let mut last = 0;
    for number in 100..130 {
        last = watched.apply(Change::Drain(number));
    }
    let others = SENDERS - SENDERS / REGIONS as usize;
    assert!(watched.fleet.progress.wait_for(others, last, TIMEOUT).await);
    assert_eq!(
        watched.fleet.progress.senders_with(last),
        others,
        "the cut region must have no change, all others the last one"
    );
    let before = watched.service.counts();
    watched.service.set_cut(1, false);
    assert!(watched.fleet.progress.wait_for_all(last, TIMEOUT).await);
    let since_heal = watched.service.counts().since(&before);
    assert_eq!(since_heal.whole_lists, 0, "{since_heal:?}");
    let bytes_per_sender = since_heal.bytes / (SENDERS as u64 / u64::from(REGIONS));
    assert!(bytes_per_sender < list_bytes / 10, "{bytes_per_sender} bytes each, the list has {list_bytes}");
    watched.fleet.end().await;
}
