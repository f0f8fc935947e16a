//! Measures one real sender at rising sizes of the deployment, idle, under traffic and through whole lists,
//! and then several senders together, each with the whole list. JSON on standard output, progress on standard
//! error.
//!
//!     cargo run --release -p testbed --example scale_sender -- [--small|--full] [--sizes 30,1000] [--endpoints 1.6]
//!         [--several 40] [--replacements 8] [--silent] [--fleet 1] [--descriptors 128] [--before SENDER] [SENDER]
//!
//! Without a program the sender of this build is measured; `--before` measures another one beside it at each
//! size. `docs/CAPACITY.md` is made from a run with `--full`.
use serde::Serialize;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::Duration;
use testbed::program;
use testbed::scale::deployment::{Deployment, Size};
use testbed::scale::fit::Line;
use testbed::scale::list_service::ListService;
use testbed::scale::load::{DownBehaviour, Endpoints};
use testbed::scale::real_sender::{RealSender, SenderParameters};
use testbed::scale::sender_bench::{
    Backlog, Bench, BenchConfig, BenchScope, Row, ENDPOINT_WORK, READINESS_TIMEOUT, SETTLE_TIME,
};
use testbed::scale::traffic::Skew;
use testbed::scale::usage;
use testbed::seed::Seed;
use tokio::time::sleep;

const SEED: Seed = Seed(30);
/// Destinations at each size of a full run.
const FULL: [u32; 6] = [30, 1_000, 10_000, 30_000, 100_000, 350_000];
/// Destinations at each size of a small run.
const SMALL: [u32; 3] = [30, 300, 3_000];

struct Arguments {
    program: Option<PathBuf>,
    before: Option<PathBuf>,
    sizes: Vec<u32>,
    endpoints: f64,
    several: usize,
    /// Replacements of the whole list at the largest size.
    replacements: usize,
    down: DownBehaviour,
    parameters: SenderParameters,
    load_duration: Duration,
}

/// Measurements of several senders that run together.
#[derive(Serialize)]
struct Several {
    senders: usize,
    destinations: u32,
    last_ready_ms: Option<f64>,
    memory_sum: u64,
    memory_each: u64,
    most_memory_each: u64,
    bytes: u64,
}

/// The measurements of one program.
#[derive(Serialize)]
struct ProgramReport {
    /// `before` or `after`.
    name: &'static str,
    /// The name of its file.
    program: String,
    rows: Vec<Row>,
    several: Option<Several>,
    fits: Fits,
}

#[derive(Serialize)]
struct Report {
    seed: u64,
    endpoints_per_destination: f64,
    /// Number of senders in the fleet, as the settings state it.
    fleet: usize,
    /// Limit on a sender's descriptors.
    descriptors: u64,
    /// Load average of the machine over a minute, at the start and at the end of the run.
    load_average: [f64; 2],
    programs: Vec<ProgramReport>,
}

/// Lines fitted over the sizes at which the sender had a list.
#[derive(Serialize)]
struct Fits {
    idle_memory_by_destination: Option<Line>,
    most_memory_by_destination: Option<Line>,
    ready_ms_by_destination: Option<Line>,
    list_bytes_by_destination: Option<Line>,
    traffic_memory_by_used_destination: Option<Line>,
    memory_by_held_message: Option<Line>,
    state_bytes_by_held_message: Option<Line>,
}

fn arguments() -> Result<Arguments, Box<dyn Error>> {
    let mut read = Arguments {
        program: None,
        before: None,
        sizes: SMALL.to_vec(),
        endpoints: 1.0,
        several: 2,
        replacements: 1,
        down: DownBehaviour::Refuses,
        parameters: SenderParameters::default(),
        load_duration: Duration::from_secs(2),
    };
    let mut given = std::env::args().skip(1);
    while let Some(word) = given.next() {
        let mut value = || given.next().ok_or(format!("{word} has no value"));
        match word.as_str() {
            "--small" => {}
            "--full" => {
                read.sizes = FULL.to_vec();
                (read.several, read.replacements) = (40, 8);
                read.load_duration = Duration::from_secs(7);
            }
            "--sizes" => read.sizes = value()?.split(',').map(str::parse).collect::<Result<_, _>>()?,
            "--endpoints" => read.endpoints = value()?.parse()?,
            "--several" => read.several = value()?.parse()?,
            "--replacements" => read.replacements = value()?.parse()?,
            "--silent" => read.down = DownBehaviour::Silent,
            "--fleet" => read.parameters.fleet = value()?.parse()?,
            "--descriptors" => read.parameters.descriptors = value()?.parse()?,
            "--before" => read.before = Some(PathBuf::from(value()?)),
            option if option.starts_with("--") => return Err(format!("unknown option {option}").into()),
            _ => read.program = Some(PathBuf::from(word)),
        }
    }
    Ok(read)
}

/// Measures several senders that run together, each with the whole list.
async fn several(
    program: &Path,
    senders: usize,
    size: Size,
    parameters: &SenderParameters,
) -> Result<Several, Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let endpoints = Endpoints::start(ENDPOINT_WORK, DownBehaviour::Refuses)?;
    let service = ListService::start(Deployment::new(SEED, size, endpoints.addresses()))?;
    let mut all = Vec::new();
    for number in 0..senders as u32 {
        let own = folder.path().join(format!("n{number}"));
        std::fs::create_dir(&own)?;
        all.push(RealSender::start(program, &own, service.address(number % 4), number, parameters)?);
    }
    let mut last_ready_ms = Some(0.0);
    for sender in &mut all {
        let ready = sender.wait_until_ready(READINESS_TIMEOUT).await.map(|r| r.as_secs_f64() * 1e3);
        last_ready_ms = last_ready_ms.zip(ready).map(|(a, b)| f64::max(a, b));
    }
    sleep(SETTLE_TIME).await;
    let memory: Vec<_> = all.iter().map(RealSender::memory).collect::<Result<_, _>>()?;
    let sum: u64 = memory.iter().map(|m| m.current).sum();
    for sender in all {
        sender.kill().await?;
    }
    Ok(Several {
        senders,
        destinations: size.destinations,
        last_ready_ms,
        memory_sum: sum,
        memory_each: sum / senders as u64,
        most_memory_each: memory.iter().map(|m| m.peak).max().unwrap_or(0),
        bytes: service.counts().bytes,
    })
}

fn fits(rows: &[Row]) -> Fits {
    // One whole list, and calls: else it had none.
    let with_list =
        |row: &&Row| row.fetched.whole_lists == 1 && row.traffic.iter().all(|t| t.outcome.calls > 0);
    let line = |of: fn(&Row) -> f64| {
        let points: Vec<_> =
            rows.iter().filter(with_list).map(|row| (f64::from(row.destinations), of(row))).collect();
        Line::fit(&points)
    };
    let used = rows.iter().filter(with_list).flat_map(|row| {
        let uniform = row.traffic.iter().filter(|t| t.outcome.skew == Skew::Uniform.name());
        uniform.map(|t| (t.outcome.destinations_used as f64, t.memory.saturating_sub(row.idle_memory) as f64))
    });
    let backlog: Vec<&Backlog> = rows.iter().filter_map(|row| row.backlog.as_ref()).flatten().collect();
    let by_held = |of: fn(&Backlog) -> u64| {
        let points: Vec<_> = backlog.iter().map(|b| (b.held as f64, of(b) as f64)).collect();
        Line::fit(&points)
    };
    Fits {
        memory_by_held_message: by_held(|b| b.memory),
        state_bytes_by_held_message: by_held(|b| b.state_bytes),
        idle_memory_by_destination: line(|row| row.idle_memory as f64),
        most_memory_by_destination: line(|row| row.most_memory as f64),
        ready_ms_by_destination: line(|row| row.ready_ms.unwrap_or(f64::NAN)),
        list_bytes_by_destination: line(|row| row.fetched.bytes as f64),
        traffic_memory_by_used_destination: Line::fit(&used.collect::<Vec<_>>()),
    }
}

/// The machine's load over the last minute.
fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(f64::NAN)
}

fn report(name: &'static str, program: &Path, rows: Vec<Row>, several: Option<Several>) -> ProgramReport {
    let fits = fits(&rows);
    let program = program.file_name().unwrap_or_default().to_string_lossy().into_owned();
    ProgramReport { name, program, rows, several, fits }
}

async fn run(arguments: Arguments) -> Result<Report, Box<dyn Error>> {
    let begun_at = load_average();
    let program = program::find(arguments.program.as_deref())?;
    let size = |destinations| Size { destinations, endpoints_per_destination: arguments.endpoints };
    let largest = arguments.sizes.iter().copied().max();
    let (mut rows_before, mut rows) = (Vec::new(), Vec::new());
    for &destinations in &arguments.sizes {
        let is_largest = Some(destinations) == largest;
        let replacements = if is_largest { arguments.replacements } else { 1 };
        let scope = BenchScope { replacements, with_backlog: is_largest };
        let Arguments { parameters, down, load_duration, .. } = arguments;
        let config = BenchConfig { seed: SEED, size: size(destinations), parameters, down, load_duration };
        let before = arguments.before.as_deref().map(|program| (program, &mut rows_before));
        for (program, rows) in before.into_iter().chain([(program.as_path(), &mut rows)]) {
            eprintln!("{destinations} destinations, {}", program.display());
            let folder = tempfile::tempdir()?;
            rows.push(Bench::start(program, folder.path(), &config)?.measure(scope).await?);
        }
    }
    let several = match largest.filter(|_| arguments.several > 0) {
        Some(largest) => {
            eprintln!("{} senders with {largest} destinations", arguments.several);
            let own = rows.iter().map(|r| r.most_memory).max().unwrap_or(0);
            let room = usage::machine_memory()? / 2;
            let senders = arguments.several.min((room / own.max(1)) as usize);
            Some(several(&program, senders, size(largest), &arguments.parameters).await?)
        }
        None => None,
    };
    let before = arguments.before.as_deref().map(|program| report("before", program, rows_before, None));
    let after = report("after", &program, rows, several);
    Ok(Report {
        seed: SEED.0,
        endpoints_per_destination: arguments.endpoints,
        fleet: arguments.parameters.fleet,
        descriptors: arguments.parameters.descriptors,
        load_average: [begun_at, load_average()],
        programs: before.into_iter().chain([after]).collect(),
    })
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let report = run(arguments()?).await?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}
