//! Measures the decision module and the catalogue without sockets: memory and time by listed destination, by
//! destination that the module is told of, by used destination and by held message. JSON on standard output,
//! progress on standard error.
//!
//!     cargo run --release -p testbed --example scale_backlog -- [--small|--full]
//!
//! Held messages are for 1,000 destinations that accept no connection, so that the backlog stays as it is.
use catalogue::{intake, Catalogue, Limits};
use sender::api::{Outcome, Settings};
use serde::Serialize;
use std::error::Error;
use std::time::{Duration, Instant};
use testbed::scale::allocation::CountingAllocator;
use testbed::scale::change_log::ChangeLog;
use testbed::scale::deployment::{Addresses, Deployment, Size};
use testbed::scale::fit::Line;
use testbed::scale::fleet::module_settings;
use testbed::scale::module::ModuleHarness;
use testbed::seed::Seed;

#[global_allocator]
static MEMORY: CountingAllocator = CountingAllocator;

const SEED: Seed = Seed(30);
/// Destinations of held messages.
const DESTINATIONS: u64 = 1_000;
/// Time limit for handing in the messages of one size, and for each other series of steps.
const TIME_LIMIT: Duration = Duration::from_secs(30);
/// Messages between two rounds while a backlog is built up.
const BACKLOG_BATCH: u64 = 1_000;
/// Messages between two rounds of calls that succeed: few enough that each call finds a slot.
const SERVED_BATCH: u64 = 20;
/// Rounds that are timed.
const ROUNDS: u32 = 200;
/// Changes that are timed.
const CHANGES: u32 = 200;
/// No limits on the catalogue, so that none affects a run.
const LIMITS: Limits = Limits { max_entries: usize::MAX, max_bytes: usize::MAX };

/// Costs by listed destination, which the module is told of on demand.
#[derive(Serialize)]
struct Listed {
    destinations: u64,
    list_bytes: usize,
    catalogue_bytes: usize,
    /// Destinations that the module holds state for.
    known: usize,
    module_bytes: usize,
    intake_ms: f64,
    /// Peak of the memory in use while the list was loaded.
    intake_most_bytes: usize,
    change_us: f64,
    change_us_most: f64,
    round_us: f64,
}

/// Costs when the module is told of all destinations at once.
#[derive(Serialize)]
struct Told {
    destinations: u64,
    module_bytes: usize,
    whole_list_ms: f64,
    round_us: f64,
}

/// Costs by used destination: each got one message, which was delivered.
#[derive(Serialize)]
struct Used {
    destinations: u64,
    known: usize,
    module_bytes: usize,
    round_us: f64,
    round_us_most: f64,
    /// Messages that had not ended after the timed rounds.
    open: u64,
}

/// Costs by held message.
#[derive(Serialize)]
struct Held {
    asked_for: u64,
    /// Messages held after the timed rounds.
    held: u64,
    all_taken_on: bool,
    seconds_to_take_on: f64,
    module_bytes: usize,
    rounds: u32,
    round_us_mean: f64,
    round_us_most: f64,
    message_us_most: f64,
}

/// Lines fitted to the costs.
#[derive(Serialize)]
struct Fits {
    list_bytes_by_listed_destination: Option<Line>,
    catalogue_bytes_by_listed_destination: Option<Line>,
    module_bytes_by_listed_destination: Option<Line>,
    intake_ms_by_listed_destination: Option<Line>,
    module_bytes_by_told_destination: Option<Line>,
    list_ms_by_told_destination: Option<Line>,
    module_bytes_by_known_destination: Option<Line>,
    module_bytes_by_held_message: Option<Line>,
    longest_round_us_by_held_message: Option<Line>,
}

#[derive(Serialize)]
struct Report {
    listed: Vec<Listed>,
    told: Vec<Told>,
    used: Vec<Used>,
    held: Vec<Held>,
    fits: Fits,
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// Times a step repeatedly. Returns the number of steps within the time limit, and their mean and longest
/// time in microseconds.
fn time(steps: u32, mut step: impl FnMut()) -> (u32, f64, f64) {
    let begun = Instant::now();
    let (mut done, mut most) = (0, Duration::ZERO);
    while done < steps && begun.elapsed() < TIME_LIMIT {
        let at = Instant::now();
        step();
        most = most.max(at.elapsed());
        done += 1;
    }
    let micros = |duration: Duration| duration.as_secs_f64() * 1e6;
    (done, micros(begun.elapsed()) / f64::from(done), micros(most))
}

fn change_log(destinations: u64) -> ChangeLog {
    ChangeLog::new(Deployment::new(SEED, Size::single(destinations as u32), Addresses::Synthetic))
}

/// Returns a module that has loaded a list.
fn with_list(destinations: u64, settings: &Settings) -> Result<ModuleHarness, Box<dyn Error>> {
    let list = change_log(destinations).since(None).parts.concat();
    let mut module = ModuleHarness::new(settings, Outcome::Served);
    module.apply_list(intake::read(list.as_slice(), &Catalogue::default(), &LIMITS)?);
    Ok(module)
}

fn listed(destinations: u64) -> Result<Listed, Box<dyn Error>> {
    let mut log = change_log(destinations);
    let list = log.since(None).parts.concat();
    let begun = MEMORY.in_use();
    let mut module = ModuleHarness::new(&module_settings(), Outcome::Served);
    let before = MEMORY.in_use();
    MEMORY.take_peak();
    let at = Instant::now();
    let loaded = intake::read(list.as_slice(), &Catalogue::default(), &LIMITS)?;
    let intake_ms = milliseconds(at.elapsed());
    let intake_most_bytes = MEMORY.take_peak().saturating_sub(before);
    let catalogue_bytes = MEMORY.in_use() - before;
    module.apply_list(loaded);
    module.run_rounds(2);
    let module_bytes = MEMORY.in_use() - begun - catalogue_bytes;
    let (_, round_us, _) = time(ROUNDS, || module.round());
    let (change_us, change_us_most) = changes(&mut log, &mut module);
    Ok(Listed {
        destinations,
        list_bytes: list.len(),
        catalogue_bytes,
        known: module.known_destinations(),
        module_bytes,
        intake_ms,
        intake_most_bytes,
        change_us,
        change_us_most,
        round_us,
    })
}

/// Times the processing of changes from their bytes on; returns the mean and the longest time in
/// microseconds.
fn changes(log: &mut ChangeLog, module: &mut ModuleHarness) -> (f64, f64) {
    let mut random = SEED.stream("changes", 0);
    let bodies: Vec<Vec<u8>> = (0..CHANGES)
        .map(|_| {
            let before = log.generation();
            let change = log.deployment().draw_change(&mut random);
            log.apply(change);
            log.since(Some(before)).parts.concat()
        })
        .collect();
    let mut bodies = bodies.iter();
    let (_, mean, most) = time(CHANGES, || {
        let body = bodies.next().expect("one body for each step");
        let current = module.catalogue().expect("the module has a list");
        let loaded = intake::read(body.as_slice(), current, &LIMITS).expect("a valid list of changes");
        module.apply_list(loaded);
    });
    (mean, most)
}

fn told(destinations: u64) -> Told {
    let before = MEMORY.in_use();
    let mut module = ModuleHarness::new(&module_settings(), Outcome::Served);
    let at = Instant::now();
    module.tell_whole_list(destinations);
    let whole_list_ms = milliseconds(at.elapsed());
    module.run_rounds(2);
    let module_bytes = MEMORY.in_use() - before;
    let (_, round_us, _) = time(ROUNDS, || module.round());
    Told { destinations, module_bytes, whole_list_ms, round_us }
}

fn used(destinations: u64) -> Result<Used, Box<dyn Error>> {
    let mut module = with_list(destinations, &module_settings())?;
    let before = MEMORY.in_use();
    module.offer(destinations, SERVED_BATCH, destinations, TIME_LIMIT);
    module.run_rounds(10);
    let module_bytes = MEMORY.in_use().saturating_sub(before);
    let (_, round_us, round_us_most) = time(ROUNDS, || module.round());
    Ok(Used {
        destinations,
        known: module.known_destinations(),
        module_bytes,
        round_us,
        round_us_most,
        open: module.open_messages(),
    })
}

/// Measures the cost of held messages.
///
/// The module is told of all destinations before, so that only the memory of the messages is counted.
fn held(messages: u64) -> Held {
    let mut settings = module_settings();
    settings.max_open = 2 * messages as usize;
    let mut module = ModuleHarness::new(&settings, Outcome::NoConnection);
    module.tell_whole_list(DESTINATIONS);
    module.run_rounds(2);
    let (before, at) = (MEMORY.in_use(), Instant::now());
    let all_taken_on = module.offer(messages, BACKLOG_BATCH, DESTINATIONS, TIME_LIMIT);
    let seconds_to_take_on = at.elapsed().as_secs_f64();
    let module_bytes = MEMORY.in_use().saturating_sub(before);
    let (rounds, round_us_mean, round_us_most) = time(ROUNDS, || module.round());
    let held = module.open_messages();
    let (_, _, message_us_most) = time(20, || {
        module.offer(1, 1, DESTINATIONS, TIME_LIMIT);
    });
    Held {
        asked_for: messages,
        held,
        all_taken_on,
        seconds_to_take_on,
        module_bytes,
        rounds,
        round_us_mean,
        round_us_most,
        message_us_most,
    }
}

/// Fits a line to a size and a value of each row.
fn fit_line<T>(rows: &[T], point: impl Fn(&T) -> (u64, f64)) -> Option<Line> {
    let points: Vec<_> = rows.iter().map(|row| (point(row).0 as f64, point(row).1)).collect();
    Line::fit(&points)
}

fn fits(listed: &[Listed], told: &[Told], used: &[Used], held: &[Held]) -> Fits {
    Fits {
        list_bytes_by_listed_destination: fit_line(listed, |l| (l.destinations, l.list_bytes as f64)),
        catalogue_bytes_by_listed_destination: fit_line(listed, |l| {
            (l.destinations, l.catalogue_bytes as f64)
        }),
        module_bytes_by_listed_destination: fit_line(listed, |l| (l.destinations, l.module_bytes as f64)),
        intake_ms_by_listed_destination: fit_line(listed, |l| (l.destinations, l.intake_ms)),
        module_bytes_by_told_destination: fit_line(told, |t| (t.destinations, t.module_bytes as f64)),
        list_ms_by_told_destination: fit_line(told, |t| (t.destinations, t.whole_list_ms)),
        module_bytes_by_known_destination: fit_line(used, |u| (u.known as u64, u.module_bytes as f64)),
        module_bytes_by_held_message: fit_line(held, |h| (h.held, h.module_bytes as f64)),
        longest_round_us_by_held_message: fit_line(held, |h| (h.held, h.round_us_most)),
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let (sizes, messages): (&[u64], &[u64]) = match std::env::args().nth(1).as_deref() {
        Some("--full") => (&[30, 1_000, 10_000, 100_000, 350_000], &[100, 1_000, 10_000, 100_000, 1_000_000]),
        Some("--small") | None => (&[30, 300, 3_000], &[100, 1_000, 10_000]),
        Some(other) => return Err(format!("unknown argument {other}").into()),
    };
    eprintln!("listed");
    let listed: Vec<_> = sizes.iter().copied().map(listed).collect::<Result<_, _>>()?;
    eprintln!("told");
    let told: Vec<_> = sizes.iter().copied().map(told).collect();
    eprintln!("used");
    let used: Vec<_> = sizes.iter().copied().filter(|n| *n <= 100_000).map(used).collect::<Result<_, _>>()?;
    eprintln!("held");
    let held: Vec<_> = messages.iter().copied().map(held).collect();
    let fits = fits(&listed, &told, &used, &held);
    println!("{}", serde_json::to_string_pretty(&Report { listed, told, used, held, fits })?);
    Ok(())
}
