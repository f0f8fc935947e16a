//! A fleet of hollow senders on one list service: changes one by one and in bursts, a region cut off and
//! healed, a zone restarted at once. JSON on standard output, progress on standard error.
//!
//!     cargo run --release -p testbed --example scale_fleet -- [--small|--full] [--senders 3600] [--destinations N]
//!         [--changes N] [--compression 40]
//!
//! The senders share one process and one set of snapshots (see `scale::fleet`); the service has threads of
//! its own, so that processor time is told apart. Time is compressed: changes and watches come
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
/// Between two changes, at 3,400 a day.
const CHANGE_EVERY: Duration = Duration::from_millis(25_412);
/// The longest wait of a watch in a fleet of a hundred senders or more.
const WATCH: Duration = Duration::from_secs(50);
/// Changes of an hour.
const CHANGES_OF_AN_HOUR: u32 = 142;
/// How long the hour's changes take here.
const CUT: Duration = Duration::from_secs(5);
const BURSTS: u32 = 5;
const BURST: u32 = 50;
const BETWEEN_BURSTS: Duration = Duration::from_secs(3);
const WITHIN: Duration = Duration::from_secs(30);
const THREADS: usize = 4;
/// Threads' names; the kernel keeps fifteen letters.
const SENDERS: &str = "hollow-senders";
const SERVICE: &str = "list-service";
/// Descriptors besides those of the connections' two ends.
const OWN_DESCRIPTORS: u64 = 1_000;
/// Whole lists that are read by the catalogue's intake where a zone restarts; the other senders' are only
/// fetched.
const READ: usize = 16;
/// Of these so many at once.
const READ_AT_ONCE: usize = 4;

#[derive(Clone, Copy)]
struct Arguments {
    senders: usize,
    destinations: u32,
    changes: u32,
    compression: u32,
}

/// A stretch of the run: what it cost the fleet, and how soon changes were in force.
#[derive(Serialize)]
struct Stretch {
    seconds: f64,
    counts: Counts,
    in_force: PropagationTimes,
    all_have_the_last: bool,
    /// Processor time of the senders' threads and of the service's.
    senders_processor_s: f64,
    service_processor_s: f64,
}

/// A stretch of single changes, worked out for a sender and for the time that it stands for.
#[derive(Serialize)]
struct PerSender {
    bytes_per_second: f64,
    processor_share: f64,
    answers_per_change: f64,
    bytes_per_change: f64,
    processor_us_per_answer: f64,
}

#[derive(Serialize)]
struct Cut {
    senders: usize,
    stretch: Stretch,
    /// From the heal until all have the last version.
    heal_ms: f64,
    /// Bytes from the heal on.
    heal_counts: Counts,
}

#[derive(Serialize)]
struct ZoneRestart {
    senders: usize,
    list_bytes: u64,
    bytes: u64,
    /// Until the last of them had all bytes, with all else on this machine.
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
            other => return Err(format!("{other} is no argument").into()),
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

    /// Makes and tells one change.
    fn change(&mut self) {
        self.fleet.progress.note_published(self.version() + 1);
        self.service.apply_drawn_change(&mut self.random);
    }

    /// Begins to count; the end tells what came since.
    fn begin(&self) -> Result<Begun, Box<dyn Error>> {
        self.fleet.progress.take_times();
        Ok(Begun {
            at: Instant::now(),
            counts: self.service.counts(),
            senders: usage::processor_time_of_threads(SENDERS)?,
            service: usage::processor_time_of_threads(SERVICE)?,
        })
    }

    async fn end(&self, begun: Begun) -> Result<Stretch, Box<dyn Error>> {
        let all_have_the_last = self.fleet.progress.wait_for_all(self.version(), WITHIN).await;
        let spent = |of: Duration, before: Duration| of.saturating_sub(before).as_secs_f64();
        Ok(Stretch {
            seconds: begun.at.elapsed().as_secs_f64(),
            counts: self.service.counts().since(&begun.counts),
            in_force: self.fleet.progress.take_times(),
            all_have_the_last,
            senders_processor_s: spent(usage::processor_time_of_threads(SENDERS)?, begun.senders),
            service_processor_s: spent(usage::processor_time_of_threads(SERVICE)?, begun.service),
        })
    }

    async fn single(&mut self) -> Result<Stretch, Box<dyn Error>> {
        let begun = self.begin()?;
        let mut every = tokio::time::interval(CHANGE_EVERY / self.arguments.compression);
        for _ in 0..self.arguments.changes {
            every.tick().await;
            self.change();
        }
        self.end(begun).await
    }

    async fn bursts(&mut self) -> Result<Stretch, Box<dyn Error>> {
        let begun = self.begin()?;
        for _ in 0..BURSTS {
            (0..BURST).for_each(|_| self.change());
            sleep(BETWEEN_BURSTS).await;
        }
        self.end(begun).await
    }

    /// A region hears nothing while an hour's changes are made.
    async fn region_cut(&mut self) -> Result<Cut, Box<dyn Error>> {
        let begun = self.begin()?;
        self.service.set_cut(0, true);
        for _ in 0..CHANGES_OF_AN_HOUR {
            self.change();
            sleep(CUT / CHANGES_OF_AN_HOUR).await;
        }
        let senders = self.arguments.senders.div_ceil(REGIONS as usize);
        let others = self.arguments.senders - senders;
        if !self.fleet.progress.wait_for(others, self.version(), WITHIN).await {
            return Err("not all have heard who are not cut off".into());
        }
        let (counts, healed) = (self.service.counts(), Instant::now());
        self.service.set_cut(0, false);
        let stretch = self.end(begun).await?;
        let heal_ms = healed.elapsed().as_secs_f64() * 1e3;
        Ok(Cut { senders, stretch, heal_ms, heal_counts: self.service.counts().since(&counts) })
    }

    /// Senders of one zone start anew, and each fetches the whole list.
    async fn zone_restart(&self) -> Result<ZoneRestart, Box<dyn Error>> {
        let senders = self.arguments.senders.div_ceil(ZONES as usize);
        let (before, begun) = (self.service.counts(), Instant::now());
        let service_before = usage::processor_time_of_threads(SERVICE)?;
        let mut fetches = JoinSet::new();
        for number in 0..senders as u32 {
            let at = self.service.address(number % REGIONS);
            fetches.spawn_blocking(move || fetch(at).map_err(|e| e.to_string()));
        }
        while let Some(fetched) = fetches.join_next().await {
            fetched??;
        }
        let fetched_ms = begun.elapsed().as_secs_f64() * 1e3;
        let service_processor_s = (usage::processor_time_of_threads(SERVICE)? - service_before).as_secs_f64();
        let bytes = self.service.counts().since(&before).bytes;
        let mut read = Vec::new();
        for _ in 0..READ / READ_AT_ONCE {
            let mut reads = JoinSet::new();
            for number in 0..READ_AT_ONCE as u32 {
                let at = self.service.address(number % REGIONS);
                reads.spawn_blocking(move || read_list(at).map_err(|e| e.to_string()));
            }
            while let Some(taken) = reads.join_next().await {
                read.push(taken??.1.as_secs_f64() * 1e3);
            }
        }
        Ok(ZoneRestart {
            senders,
            list_bytes: bytes / senders as u64,
            bytes,
            fetched_ms,
            service_processor_s,
            read: read.len(),
            read_at_once: READ_AT_ONCE,
            read_ms_mean: read.iter().sum::<f64>() / read.len() as f64,
            read_ms_most: read.iter().copied().fold(0.0, f64::max),
        })
    }
}

struct Begun {
    at: Instant,
    counts: Counts,
    senders: Duration,
    service: Duration,
}

/// Asks for the whole list, and stands at its first byte.
fn ask(at: SocketAddr) -> Result<(BufReader<TcpStream>, u64), Box<dyn Error>> {
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
            return Ok((reader, length.ok_or("the list has no length")?));
        }
    }
}

fn fetch(at: SocketAddr) -> Result<u64, Box<dyn Error>> {
    let (reader, length) = ask(at)?;
    Ok(std::io::copy(&mut reader.take(length), &mut std::io::sink())?)
}

fn read_list(at: SocketAddr) -> Result<(Catalogue, Duration), Box<dyn Error>> {
    let begun = std::time::Instant::now();
    let (reader, length) = ask(at)?;
    let taken = intake::read(reader.take(length), &Catalogue::default(), &Limits::of_memory(64 << 20))?;
    Ok((taken.catalogue, begun.elapsed()))
}

fn runtime(name: &str) -> std::io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(THREADS).thread_name(name).enable_all().build()
}

async fn run(arguments: Arguments, senders: &Runtime, service: &Runtime) -> Result<Report, Box<dyn Error>> {
    let descriptors = descriptors();
    let held = (descriptors.saturating_sub(OWN_DESCRIPTORS) / 2) as usize;
    let asked = arguments.senders;
    let arguments = Arguments { senders: asked.min(held), ..arguments };
    let list = {
        let _guard = service.enter();
        let size = Size::single(arguments.destinations);
        ListService::start(Deployment::new(SEED, size, Addresses::Synthetic))?
    };
    let at = list.address(0);
    let read = tokio::task::spawn_blocking(move || read_list(at).map_err(|e| e.to_string()));
    let (catalogue, _) = read.await??;
    let spec = FleetSpec {
        seed: SEED,
        senders: arguments.senders,
        watch: WATCH / arguments.compression,
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
    if !bench.fleet.progress.wait_for_all(bench.version(), WITHIN).await {
        return Err("the fleet does not come up".into());
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
    let (senders, service, own) = (runtime(SENDERS)?, runtime(SERVICE)?, runtime("bench")?);
    let report = own.block_on(run(arguments()?, &senders, &service))?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}
