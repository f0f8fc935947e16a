//! One real sender over deployments of rising size, idle, with traffic and through a whole new list; then several
//! together, each with the whole list. JSON on standard output, progress on standard error.
//!
//!     cargo run --release -p testbed --example scale_sender -- [--small|--full] [--endpoints 1.6] [--sizes 30,1000]
//!         [--several 40] [SENDER]
//!
//! Without a program it is the sender of this build. `docs/CAPACITY.md` is filled from `--full`.
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::Duration;
use testbed::plan;
use testbed::program;
use testbed::scale::deployment::{Deployment, Size};
use testbed::scale::fit::Line;
use testbed::scale::list_service::{Counts, ListService};
use testbed::scale::load::{Endpoints, Load, Outcome};
use testbed::scale::real_sender::{holds, Holds, RealSender};
use testbed::scale::traffic::Skew;
use testbed::scale::usage;
use testbed::seed::Seed;
use tokio::time::{sleep, Instant};

const SEED: Seed = Seed(30);
const FULL: [u32; 6] = [30, 1_000, 10_000, 30_000, 100_000, 350_000];
const SMALL: [u32; 3] = [30, 300, 3_000];
/// Messages a second that a sender of the fleet takes: 380,000 over 3,600.
const RATE: f64 = 106.0;
/// Messages a second of the run that touches many destinations in little time.
const WIDE_RATE: f64 = 1_000.0;
/// Equal parts in which the backlog is built up, each of a load's length.
const BACKLOG_PARTS: usize = 2;
/// An endpoint's work for one message: little, so that `WIDE_RATE` too is below the sender's calls out at once.
const WORK: Duration = Duration::from_millis(20);
const READY_WITHIN: Duration = Duration::from_secs(30);
const SETTLES: Duration = Duration::from_secs(2);
/// Changes of the idle run, a thousand times as often as 3,400 a day.
const CHANGES: u32 = 100;
const CHANGE_EVERY: Duration = Duration::from_millis(25);
/// A whole list has been taken in by then, on whatever machine.
const REPLACED_WITHIN: Duration = Duration::from_secs(4);

struct Arguments {
    program: Option<PathBuf>,
    sizes: Vec<u32>,
    endpoints: f64,
    several: usize,
    lasts: Duration,
}

/// What a run at one size gave. Memory is resident, in bytes.
#[derive(Serialize)]
struct Row {
    destinations: u32,
    endpoints: u32,
    ready_ms: Option<f64>,
    /// Of the list that it had fetched by the time that it was looked at.
    fetched: Counts,
    idle_memory: u64,
    most_memory_until_idle: u64,
    idle_processor_share: f64,
    /// Processor time of the loop for a change, its watch included, without what it takes idle.
    change_processor_us: f64,
    change_bytes: f64,
    traffic: Vec<Traffic>,
    replacement: Replacement,
    /// At the largest size alone.
    backlog: Option<Vec<Backlog>>,
    most_memory: u64,
    state_bytes: u64,
    log_lines: usize,
}

#[derive(Serialize)]
struct Traffic {
    outcome: Outcome,
    memory: u64,
    processor_share: f64,
    connections_by_call: f64,
    holds: Holds,
}

/// All entries change at once, under traffic.
#[derive(Serialize)]
struct Replacement {
    holds: Holds,
    outcome: Outcome,
    fetched: Counts,
    memory: u64,
    most_memory: u64,
}

/// After so many messages for destinations that are down; what is held is given up when its time is up.
#[derive(Serialize)]
struct Backlog {
    held: usize,
    memory: u64,
    state_bytes: u64,
    processor_share: f64,
    holds: Holds,
}

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

#[derive(Serialize)]
struct Report {
    /// Its file's name.
    program: String,
    endpoints_per_destination: f64,
    rows: Vec<Row>,
    several: Option<Several>,
    fits: Fits,
}

/// Lines over the sizes at which the sender had a list.
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
    let small = |several| Arguments {
        program: None,
        sizes: SMALL.to_vec(),
        endpoints: 1.0,
        several,
        lasts: Duration::from_secs(2),
    };
    let mut read = small(2);
    let mut given = std::env::args().skip(1);
    while let Some(word) = given.next() {
        let mut value = || given.next().ok_or(format!("{word} has no value"));
        match word.as_str() {
            "--small" => {}
            "--full" => {
                (read.sizes, read.several, read.lasts) = (FULL.to_vec(), 40, Duration::from_secs(7));
            }
            "--sizes" => read.sizes = value()?.split(',').map(str::parse).collect::<Result<_, _>>()?,
            "--endpoints" => read.endpoints = value()?.parse()?,
            "--several" => read.several = value()?.parse()?,
            _ => read.program = Some(PathBuf::from(word)),
        }
    }
    Ok(read)
}

/// One sender at one size with all that it talks to.
struct Bench {
    deployment: Deployment,
    service: ListService,
    endpoints: Endpoints,
    sender: RealSender,
    lasts: Duration,
    random: ChaCha8Rng,
    /// Loads so far.
    loads: u64,
    _folder: tempfile::TempDir,
}

impl Bench {
    fn new(program: &Path, size: Size, lasts: Duration) -> Result<Bench, Box<dyn Error>> {
        let folder = tempfile::tempdir()?;
        let endpoints = Endpoints::start(WORK)?;
        let deployment = Deployment::new(SEED, size, endpoints.addresses());
        let service = ListService::start(deployment.clone())?;
        let sender = RealSender::start(program, folder.path(), service.address(0), 0)?;
        let random = SEED.stream("changes", 0);
        Ok(Bench { deployment, service, endpoints, sender, lasts, random, loads: 0, _folder: folder })
    }

    /// Runs something and tells the sender's share of a processor meanwhile.
    async fn processor<T>(&self, of: impl std::future::Future<Output = T>) -> std::io::Result<(T, f64)> {
        let (before, begun) = (self.sender.processor()?, Instant::now());
        let done = of.await;
        let used = self.sender.processor()?.saturating_sub(before);
        Ok((done, used.as_secs_f64() / begun.elapsed().as_secs_f64()))
    }

    fn load(&mut self, skew: Skew, per_second: f64) -> Load {
        self.loads += 1;
        let [class, ..] = &plan::classes()[..] else { unreachable!("there are classes") };
        Load {
            seed: SEED,
            number: self.loads,
            skew,
            down_only: false,
            per_second,
            lasts: self.lasts,
            class: class.clone(),
        }
    }

    async fn traffic(&mut self, skew: Skew, per_second: f64) -> Result<Traffic, Box<dyn Error>> {
        let load = self.load(skew, per_second);
        let at = self.sender.address();
        let play = load.play(at, &self.deployment, &self.endpoints);
        let both = async { tokio::join!(play, holds(at, sleep(self.lasts))) };
        let ((outcome, holds), processor_share) = self.processor(both).await?;
        let connections_by_call = outcome.connections as f64 / outcome.calls.max(1) as f64;
        let memory = self.sender.memory()?.now;
        Ok(Traffic { outcome, memory, processor_share, connections_by_call, holds })
    }

    /// The loop's share of a processor while nothing comes.
    async fn idle(&self) -> Result<f64, Box<dyn Error>> {
        let (before, begun) = (self.sender.loop_processor()?, Instant::now());
        sleep(SETTLES).await;
        let used = self.sender.loop_processor()? - before;
        Ok(used.as_secs_f64() / begun.elapsed().as_secs_f64())
    }

    /// Processor time, beyond that of an idle loop, and bytes of changes, one by one.
    async fn changes(&mut self, idle: f64) -> Result<(f64, f64), Box<dyn Error>> {
        let (before, counts, begun) = (self.sender.loop_processor()?, self.service.counts(), Instant::now());
        for _ in 0..CHANGES {
            self.service.change(&mut self.random);
            sleep(CHANGE_EVERY).await;
        }
        let used = (self.sender.loop_processor()? - before).as_secs_f64();
        let own = used - idle * begun.elapsed().as_secs_f64();
        Ok((
            own * 1e6 / f64::from(CHANGES),
            self.service.counts().since(&counts).bytes as f64 / f64::from(CHANGES),
        ))
    }

    async fn replacement(&mut self) -> Result<Replacement, Box<dyn Error>> {
        let (at, counts) = (self.sender.address(), self.service.counts());
        let load = Load { lasts: REPLACED_WITHIN, ..self.load(Skew::Uniform, RATE) };
        let replace = async {
            sleep(Duration::from_millis(500)).await;
            self.service.replace_all();
        };
        let play = load.play(at, &self.deployment, &self.endpoints);
        let (outcome, holds, ()) = tokio::join!(play, holds(at, sleep(REPLACED_WITHIN)), replace);
        let memory = self.sender.memory()?;
        let fetched = self.service.counts().since(&counts);
        Ok(Replacement { holds, outcome, fetched, memory: memory.now, most_memory: memory.most })
    }

    async fn backlog(&mut self) -> Result<Vec<Backlog>, Box<dyn Error>> {
        let memory = self.sender.memory()?.now;
        let state_bytes = self.sender.state_bytes()?;
        let empty = Backlog { held: 0, memory, state_bytes, processor_share: 0.0, holds: Holds::default() };
        let mut points = vec![empty];
        let mut held = 0;
        for _ in 0..BACKLOG_PARTS {
            let load = Load { down_only: true, ..self.load(Skew::Uniform, WIDE_RATE) };
            let at = self.sender.address();
            let play = load.play(at, &self.deployment, &self.endpoints);
            let both = async { tokio::join!(play, holds(at, sleep(self.lasts))) };
            let ((outcome, holds), processor_share) = self.processor(both).await?;
            held += outcome.taken_on;
            let (memory, state_bytes) = (self.sender.memory()?.now, self.sender.state_bytes()?);
            points.push(Backlog { held, memory, state_bytes, processor_share, holds });
        }
        Ok(points)
    }

    async fn row(mut self, with_backlog: bool) -> Result<Row, Box<dyn Error>> {
        let ready = self.sender.ready(READY_WITHIN).await;
        sleep(SETTLES).await;
        let (idle, fetched) = (self.sender.memory()?, self.service.counts());
        let idle_processor_share = self.idle().await?;
        let (change_processor_us, change_bytes) = self.changes(idle_processor_share).await?;
        let mut traffic = Vec::new();
        for (skew, rate) in [(Skew::Zipf, RATE), (Skew::Uniform, RATE), (Skew::Uniform, WIDE_RATE)] {
            traffic.push(self.traffic(skew, rate).await?);
        }
        let replacement = self.replacement().await?;
        let most_memory = self.sender.memory()?.most;
        let backlog = match with_backlog {
            true => Some(self.backlog().await?),
            false => None,
        };
        let row = Row {
            destinations: self.deployment.destinations(),
            endpoints: self.deployment.endpoints(),
            ready_ms: ready.map(|r| r.as_secs_f64() * 1e3),
            fetched,
            idle_memory: idle.now,
            most_memory_until_idle: idle.most,
            idle_processor_share,
            change_processor_us,
            change_bytes,
            traffic,
            replacement,
            backlog,
            most_memory,
            state_bytes: self.sender.state_bytes()?,
            log_lines: self.sender.log().lines().count(),
        };
        self.sender.end().await?;
        Ok(row)
    }
}

async fn several(program: &Path, senders: usize, size: Size) -> Result<Several, Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let endpoints = Endpoints::start(WORK)?;
    let service = ListService::start(Deployment::new(SEED, size, endpoints.addresses()))?;
    let mut all = Vec::new();
    for number in 0..senders as u32 {
        let own = folder.path().join(format!("n{number}"));
        std::fs::create_dir(&own)?;
        all.push(RealSender::start(program, &own, service.address(number % 4), number)?);
    }
    let mut last_ready_ms = Some(0.0);
    for sender in &mut all {
        let ready = sender.ready(READY_WITHIN).await.map(|r| r.as_secs_f64() * 1e3);
        last_ready_ms = last_ready_ms.zip(ready).map(|(a, b)| f64::max(a, b));
    }
    sleep(SETTLES).await;
    let memory: Vec<_> = all.iter().map(RealSender::memory).collect::<Result<_, _>>()?;
    let sum: u64 = memory.iter().map(|m| m.now).sum();
    for sender in all {
        sender.end().await?;
    }
    Ok(Several {
        senders,
        destinations: size.destinations,
        last_ready_ms,
        memory_sum: sum,
        memory_each: sum / senders as u64,
        most_memory_each: memory.iter().map(|m| m.most).max().unwrap_or(0),
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
        Line::through(&points)
    };
    let used = rows.iter().filter(with_list).flat_map(|row| {
        let uniform = row.traffic.iter().filter(|t| t.outcome.skew == Skew::Uniform.name());
        uniform.map(|t| (t.outcome.destinations_used as f64, t.memory.saturating_sub(row.idle_memory) as f64))
    });
    let backlog: Vec<&Backlog> = rows.iter().filter_map(|row| row.backlog.as_ref()).flatten().collect();
    let by_held = |of: fn(&Backlog) -> u64| {
        let points: Vec<_> = backlog.iter().map(|b| (b.held as f64, of(b) as f64)).collect();
        Line::through(&points)
    };
    Fits {
        memory_by_held_message: by_held(|b| b.memory),
        state_bytes_by_held_message: by_held(|b| b.state_bytes),
        idle_memory_by_destination: line(|row| row.idle_memory as f64),
        most_memory_by_destination: line(|row| row.most_memory as f64),
        ready_ms_by_destination: line(|row| row.ready_ms.unwrap_or(f64::NAN)),
        list_bytes_by_destination: line(|row| row.fetched.bytes as f64),
        traffic_memory_by_used_destination: Line::through(&used.collect::<Vec<_>>()),
    }
}

async fn run(arguments: Arguments) -> Result<Report, Box<dyn Error>> {
    let program = program::find(arguments.program.as_deref())?;
    let mut rows = Vec::new();
    let size = |destinations| Size { destinations, endpoints_per_destination: arguments.endpoints };
    let largest = arguments.sizes.iter().copied().max();
    for &destinations in &arguments.sizes {
        eprintln!("{destinations} destinations");
        let bench = Bench::new(&program, size(destinations), arguments.lasts)?;
        rows.push(bench.row(Some(destinations) == largest).await?);
    }
    let several = match largest.filter(|_| arguments.several > 0) {
        Some(largest) => {
            eprintln!("{} senders with {largest} destinations", arguments.several);
            let own = rows.iter().map(|r| r.most_memory).max().unwrap_or(0);
            let room = usage::machine_memory()? / 2;
            let senders = arguments.several.min((room / own.max(1)) as usize);
            Some(several(&program, senders, size(largest)).await?)
        }
        None => None,
    };
    let fits = fits(&rows);
    let program = program.file_name().unwrap_or_default().to_string_lossy().into_owned();
    Ok(Report { program, endpoints_per_destination: arguments.endpoints, rows, several, fits })
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let report = run(arguments()?).await?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}
