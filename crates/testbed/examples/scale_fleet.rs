//! Measures a fleet of list-only senders on one list service: changes one by one and in bursts, a region that
//! is cut off and restored, and a zone that restarts at once. JSON on standard output, progress on standard
//! error.
//!
//!     cargo run --release -p testbed --example scale_fleet -- [--small|--full] [--senders 3600] [--destinations N]
//!         [--changes N] [--compression 40]
//!
//! The senders share one process and one set of snapshots (see `scale::fleet`). The service has threads of
//! its own, so that its processor time is measured separately. Time is compressed: changes and watches come
//! `--compression` times as often.
use catalogue::{intake, Catalogue, Limits};
use rand_chacha::ChaCha8Rng;
use rustix::process::{getrlimit, Resource};
use serde::Serialize;
use std::error::Error;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use testbed::scale::deployment::{Addresses, Deployment, Size, REGIONS, ZONES};
use testbed::scale::fleet::{Fleet, FleetSpec, PropagationTimes};
use testbed::scale::list_service::{Counts, ListService};
use testbed::scale::usage;
use testbed::seed::Seed;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

const SEED: Seed = Seed(30);
/// Interval between two changes at 3,400 per day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(25_412);
/// Longest wait of a watch in a fleet of 100 senders or more.
const MAX_WATCH: Duration = Duration::from_secs(50);
/// Changes in an hour.
const CHANGES_PER_HOUR: u32 = 142;
/// Time over which an hour's changes are spread while a region is cut off.
const CUT_DURATION: Duration = Duration::from_secs(5);
const BURSTS: u32 = 5;
/// Changes in a burst.
const CHANGES_PER_BURST: u32 = 50;
const BETWEEN_BURSTS: Duration = Duration::from_secs(3);
/// Time limit for changes to reach all senders.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);
/// Threads of each runtime.
const THREADS: usize = 4;
/// Names of the runtimes' threads, of which the kernel keeps 15 characters.
const SENDER_THREADS: &str = "hollow-senders";
const SERVICE_THREADS: &str = "list-service";
/// Descriptors besides those of both ends of the connections.
const OTHER_DESCRIPTORS: u64 = 1_000;
/// Whole lists that are loaded into a catalogue when a zone restarts; those of all its senders are only
/// fetched.
const LOADED_LISTS: usize = 16;
/// Number of those that are loaded concurrently.
const CONCURRENT_LOADS: usize = 4;

#[derive(Clone, Copy)]
struct Arguments {
    senders: usize,
    destinations: u32,
    changes: u32,
    compression: u32,
}

/// A part of the run: its cost for the fleet, and how soon changes were applied.
#[derive(Serialize)]
struct Stretch {
    seconds: f64,
    counts: Counts,
    in_force: PropagationTimes,
    all_have_the_last: bool,
    /// Processor time of the senders' threads; `service_processor_s` is that of the service's.
    senders_processor_s: f64,
    service_processor_s: f64,
}

/// The cost of single changes per sender, relative to the uncompressed time.
#[derive(Serialize)]
struct PerSender {
    bytes_per_second: f64,
    processor_share: f64,
    answers_per_change: f64,
    bytes_per_change: f64,
    processor_us_per_answer: f64,
}

/// Measurements of a region that was cut off.
#[derive(Serialize)]
struct Cut {
    senders: usize,
    stretch: Stretch,
    /// Time from the end of the cut until all senders had the last version.
    heal_ms: f64,
    /// Responses and bytes since the end of the cut.
    heal_counts: Counts,
}

/// Measurements of a zone whose senders all restarted at once.
#[derive(Serialize)]
struct ZoneRestart {
    senders: usize,
    list_bytes: u64,
    bytes: u64,
    /// Time until the last sender had the whole list, with everything on this machine.
    fetched_ms: f64,
    service_processor_s: f64,
    read: usize,
    read_at_once: usize,
    read_ms_mean: f64,
    read_ms_most: f64,
}

#[derive(Serialize)]
struct Report {
    senders: usize,
    senders_asked_for: usize,
    descriptors: u64,
    destinations: u32,
    compression: u32,
    shared: &'static str,
    single: Stretch,
    single_by_sender: PerSender,
    bursts: Stretch,
    region_cut: Cut,
    zone_restart: ZoneRestart,
    process_memory: u64,
    process_memory_most: u64,
}

fn arguments() -> Result<Arguments, Box<dyn Error>> {
    let mut read = Arguments { senders: 52, destinations: 1_000, changes: 20, compression: 100 };
    let mut given = std::env::args().skip(1);
    while let Some(word) = given.next() {
        let mut value = || given.next().ok_or(format!("{word} has no value"));
        match word.as_str() {
            "--small" => {}
            "--full" => {
                read = Arguments { senders: 3_600, destinations: 350_000, changes: 100, compression: 40 }
            }
            "--senders" => read.senders = value()?.parse()?,
            "--destinations" => read.destinations = value()?.parse()?,
            "--compression" => read.compression = value()?.parse()?,
            "--changes" => read.changes = value()?.parse()?,
            other => return Err(format!("unknown argument {other}").into()),
        }
    }
    Ok(read)
}

fn descriptors() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

struct Bench {
    arguments: Arguments,
    service: ListService,
    fleet: Fleet,
    random: ChaCha8Rng,
}

impl Bench {
    fn version(&self) -> u64 {
        self.service.generation()
    }

    /// Publishes one change.
    fn change(&mut self) {
        self.fleet.progress.note_published(self.version() + 1);
        self.service.apply_drawn_change(&mut self.random);
    }

    /// Takes the readings at the start of a part of the run.
    fn begin(&self) -> Result<StartReadings, Box<dyn Error>> {
        self.fleet.progress.take_times();
        Ok(StartReadings {
            at: Instant::now(),
            counts: self.service.counts(),
            senders: usage::processor_time_of_threads(SENDER_THREADS)?,
            service: usage::processor_time_of_threads(SERVICE_THREADS)?,
        })
    }

    /// Waits until all senders have the last version, and returns the measurements since the start.
    async fn end(&self, begun: StartReadings) -> Result<Stretch, Box<dyn Error>> {
        let all_have_the_last = self.fleet.progress.wait_for_all(self.version(), PROPAGATION_TIMEOUT).await;
        let spent = |now: Duration, before: Duration| now.saturating_sub(before).as_secs_f64();
        Ok(Stretch {
            seconds: begun.at.elapsed().as_secs_f64(),
            counts: self.service.counts().since(&begun.counts),
            in_force: self.fleet.progress.take_times(),
            all_have_the_last,
            senders_processor_s: spent(usage::processor_time_of_threads(SENDER_THREADS)?, begun.senders),
            service_processor_s: spent(usage::processor_time_of_threads(SERVICE_THREADS)?, begun.service),
        })
    }

    async fn single(&mut self) -> Result<Stretch, Box<dyn Error>> {
        let begun = self.begin()?;
        let mut every = tokio::time::interval(CHANGE_INTERVAL / self.arguments.compression);
        for _ in 0..self.arguments.changes {
            every.tick().await;
            self.change();
        }
        self.end(begun).await
    }

    async fn bursts(&mut self) -> Result<Stretch, Box<dyn Error>> {
        let begun = self.begin()?;
        for _ in 0..BURSTS {
            (0..CHANGES_PER_BURST).for_each(|_| self.change());
            sleep(BETWEEN_BURSTS).await;
        }
        self.end(begun).await
    }

    /// Publishes an hour's changes while a region is cut off, and then ends the cut.
    async fn region_cut(&mut self) -> Result<Cut, Box<dyn Error>> {
        let begun = self.begin()?;
        self.service.set_cut(0, true);
        for _ in 0..CHANGES_PER_HOUR {
            self.change();
            sleep(CUT_DURATION / CHANGES_PER_HOUR).await;
        }
        let senders = self.arguments.senders.div_ceil(REGIONS as usize);
        let others = self.arguments.senders - senders;
        if !self.fleet.progress.wait_for(others, self.version(), PROPAGATION_TIMEOUT).await {
            return Err("not all senders outside the cut region have the last version".into());
        }
        let (counts, healed) = (self.service.counts(), Instant::now());
        self.service.set_cut(0, false);
        let stretch = self.end(begun).await?;
        let heal_ms = healed.elapsed().as_secs_f64() * 1e3;
        Ok(Cut { senders, stretch, heal_ms, heal_counts: self.service.counts().since(&counts) })
    }

    /// Fetches the whole list as often at once as senders of one zone would that restart together.
    async fn zone_restart(&self) -> Result<ZoneRestart, Box<dyn Error>> {
        let senders = self.arguments.senders.div_ceil(ZONES as usize);
        let (before, begun) = (self.service.counts(), Instant::now());
        let service_before = usage::processor_time_of_threads(SERVICE_THREADS)?;
        let mut fetches = JoinSet::new();
        for number in 0..senders as u32 {
            let at = self.service.address(number % REGIONS);
            fetches.spawn_blocking(move || fetch(at).map_err(|e| e.to_string()));
        }
        while let Some(fetched) = fetches.join_next().await {
            fetched??;
        }
        let fetched_ms = begun.elapsed().as_secs_f64() * 1e3;
        let service_processor_s =
            (usage::processor_time_of_threads(SERVICE_THREADS)? - service_before).as_secs_f64();
        let bytes = self.service.counts().since(&before).bytes;
        let mut read = Vec::new();
        for _ in 0..LOADED_LISTS / CONCURRENT_LOADS {
            let mut reads = JoinSet::new();
            for number in 0..CONCURRENT_LOADS as u32 {
                let at = self.service.address(number % REGIONS);
                reads.spawn_blocking(move || load_list(at).map_err(|e| e.to_string()));
            }
            while let Some(loaded) = reads.join_next().await {
                read.push(loaded??.1.as_secs_f64() * 1e3);
            }
        }
        Ok(ZoneRestart {
            senders,
            list_bytes: bytes / senders as u64,
            bytes,
            fetched_ms,
            service_processor_s,
            read: read.len(),
            read_at_once: CONCURRENT_LOADS,
            read_ms_mean: read.iter().sum::<f64>() / read.len() as f64,
            read_ms_most: read.iter().copied().fold(0.0, f64::max),
        })
    }
}

/// Readings at the start of a part of the run.
struct StartReadings {
    at: Instant,
    counts: Counts,
    senders: Duration,
    service: Duration,
}

/// Requests the whole list, and returns a reader at the start of the body, and the body's length.
fn request_list(at: SocketAddr) -> Result<(BufReader<TcpStream>, u64), Box<dyn Error>> {
    let mut stream = TcpStream::connect(at)?;
    stream.write_all(b"GET /v1/servers HTTP/1.1\r\nHost: x\r\n\r\n")?;
    let mut reader = BufReader::with_capacity(64 << 10, stream);
    let mut length = None;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = Some(value.trim().parse()?);
        }
        if line.trim().is_empty() {
            return Ok((reader, length.ok_or("the response has no content length")?));
        }
    }
}

/// Fetches the whole list, discards it, and returns its length.
fn fetch(at: SocketAddr) -> Result<u64, Box<dyn Error>> {
    let (reader, length) = request_list(at)?;
    Ok(std::io::copy(&mut reader.take(length), &mut std::io::sink())?)
}

/// Fetches the whole list, loads it into a catalogue, and returns it with the time that this took.
fn load_list(at: SocketAddr) -> Result<(Catalogue, Duration), Box<dyn Error>> {
    let begun = std::time::Instant::now();
    let (reader, length) = request_list(at)?;
    let loaded = intake::read(reader.take(length), &Catalogue::default(), &Limits::for_memory(64 << 20))?;
    Ok((loaded.catalogue, begun.elapsed()))
}

fn runtime(name: &str) -> std::io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(THREADS).thread_name(name).enable_all().build()
}

async fn run(arguments: Arguments, senders: &Runtime, service: &Runtime) -> Result<Report, Box<dyn Error>> {
    let descriptors = descriptors();
    let max_senders = (descriptors.saturating_sub(OTHER_DESCRIPTORS) / 2) as usize;
    let asked = arguments.senders;
    let arguments = Arguments { senders: asked.min(max_senders), ..arguments };
    let list = {
        let _guard = service.enter();
        let size = Size::single(arguments.destinations);
        ListService::start(Deployment::new(SEED, size, Addresses::Synthetic))?
    };
    let at = list.address(0);
    let read = tokio::task::spawn_blocking(move || load_list(at).map_err(|e| e.to_string()));
    let (catalogue, _) = read.await??;
    let spec = FleetSpec {
        seed: SEED,
        senders: arguments.senders,
        watch: MAX_WATCH / arguments.compression,
        discovery: (0..REGIONS).map(|region| list.address(region)).collect(),
        catalogue,
    };
    let fleet = {
        let _guard = senders.enter();
        Fleet::start(&spec)
    };
    let mut bench = Bench { arguments, service: list, fleet, random: SEED.stream("changes", 0) };
    eprintln!("{} senders connect", arguments.senders);
    bench.change();
    if !bench.fleet.progress.wait_for_all(bench.version(), PROPAGATION_TIMEOUT).await {
        return Err("not all senders have connected and applied a change".into());
    }
    eprintln!("{} changes", arguments.changes);
    let single = bench.single().await?;
    let stands_for = single.seconds * f64::from(arguments.compression) * arguments.senders as f64;
    let answers = single.counts.change_answers + single.counts.empty_answers;
    let single_by_sender = PerSender {
        bytes_per_second: (single.counts.bytes + single.counts.request_bytes) as f64 / stands_for,
        processor_share: single.senders_processor_s / stands_for,
        answers_per_change: answers as f64 / f64::from(arguments.changes) / arguments.senders as f64,
        bytes_per_change: (single.counts.bytes + single.counts.request_bytes) as f64
            / f64::from(arguments.changes)
            / arguments.senders as f64,
        processor_us_per_answer: single.senders_processor_s * 1e6 / answers as f64,
    };
    eprintln!("bursts");
    let bursts = bench.bursts().await?;
    eprintln!("a region is cut off");
    let region_cut = bench.region_cut().await?;
    eprintln!("a zone restarts");
    let zone_restart = bench.zone_restart().await?;
    let memory = usage::memory(std::process::id())?;
    bench.fleet.end().await;
    Ok(Report {
        senders: arguments.senders,
        senders_asked_for: asked,
        descriptors,
        destinations: arguments.destinations,
        compression: arguments.compression,
        shared: "one process, and one snapshot of each version; memory by sender is not measured",
        single,
        single_by_sender,
        bursts,
        region_cut,
        zone_restart,
        process_memory: memory.current,
        process_memory_most: memory.peak,
    })
}

fn main() -> Result<(), Box<dyn Error>> {
    let (senders, service, own) = (runtime(SENDER_THREADS)?, runtime(SERVICE_THREADS)?, runtime("bench")?);
    let report = own.block_on(run(arguments()?, &senders, &service))?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}
