//! Measures one real sender at one size, with stubs of all its peers: idle, under traffic and while it loads
//! whole lists.
use super::deployment::{Deployment, Size};
use super::list_service::{Counts, ListService};
use super::load::{DownBehaviour, Endpoints, Load, Outcome};
use super::loop_probe::LoopDelays;
use super::real_sender::{RealSender, SenderParameters};
use super::traffic::Skew;
use crate::plan;
use crate::seed::Seed;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::error::Error;
use std::future::Future;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, Instant};

/// Messages per second of a sender of the fleet: 380,000 per second over 3,600 senders.
const MESSAGES_PER_SECOND: f64 = 106.0;
/// Messages per second of the run that uses many destinations in a short time.
const WIDE_MESSAGES_PER_SECOND: f64 = 1_000.0;
/// Number of loads that build up the backlog.
const BACKLOG_PARTS: usize = 2;
/// Time that an endpoint takes for one message: short, so that the sender's slots suffice for
/// `WIDE_MESSAGES_PER_SECOND` too.
pub const ENDPOINT_WORK: Duration = Duration::from_millis(20);
/// Time that a sender may take until it is ready.
pub const READINESS_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a sender is left idle before it is measured.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Number of changes in the idle run.
const CHANGES: u32 = 100;
/// Interval between changes, about a thousandth of that at 3,400 changes per day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(25);
/// Duration of the load during which a whole list is replaced: longer than loading the list takes on any
/// machine.
const REPLACEMENT_TIME: Duration = Duration::from_secs(4);
/// Time from the start of the load to the replacement of the list.
const REPLACEMENT_START: Duration = Duration::from_millis(500);
/// Interval at which open descriptors are counted.
const DESCRIPTOR_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// The measurements of a run at one size. Memory is resident memory in bytes.
#[derive(Serialize)]
pub struct Row {
    pub destinations: u32,
    pub endpoints: u32,
    pub ready_ms: Option<f64>,
    /// What the list service had sent by the first measurement.
    pub fetched: Counts,
    pub idle_memory: u64,
    pub most_memory_until_idle: u64,
    /// Share of one processor that the event loop uses while idle.
    pub idle_processor_share: f64,
    /// Processor time of the event loop per change, including the watch, minus that of an idle loop.
    pub change_processor_us: f64,
    pub change_bytes: f64,
    pub traffic: Vec<TrafficReport>,
    /// Replacements of the whole list, one after the other; several only at the largest size.
    pub replacements: Vec<Replacement>,
    /// Only at the largest size.
    pub backlog: Option<Vec<Backlog>>,
    /// Peak before the backlog is built up.
    pub most_memory: u64,
    /// Size of the state folder after all loads.
    pub state_bytes: u64,
    pub log_lines: usize,
}

/// The measurements of one load.
#[derive(Serialize)]
pub struct TrafficReport {
    pub outcome: Outcome,
    pub memory: u64,
    pub processor_share: f64,
    pub connections_by_call: f64,
    pub most_descriptors: usize,
    pub holds: LoopDelays,
}

/// The measurements of a change of all entries at once, under traffic.
#[derive(Serialize)]
pub struct Replacement {
    pub holds: LoopDelays,
    pub outcome: Outcome,
    pub fetched: Counts,
    pub memory: u64,
    pub most_memory: u64,
}

/// The measurements of one load of the backlog: memory and state after `held` messages for destinations that
/// are down were taken on, processor share and loop delays during the load.
#[derive(Serialize)]
pub struct Backlog {
    pub held: usize,
    pub memory: u64,
    pub state_bytes: u64,
    pub processor_share: f64,
    pub holds: LoopDelays,
}

/// How a sender is run and loaded.
#[derive(Clone, Copy, Debug)]
pub struct BenchConfig {
    pub seed: Seed,
    pub size: Size,
    pub parameters: SenderParameters,
    /// How the endpoints of destinations that are down behave.
    pub down: DownBehaviour,
    /// Duration of each load.
    pub load_duration: Duration,
}

/// What is measured at one size in addition to what is measured at every size.
#[derive(Clone, Copy, Debug)]
pub struct BenchScope {
    pub replacements: usize,
    pub with_backlog: bool,
}

/// A sender with stubs of all its peers.
pub struct Bench {
    seed: Seed,
    deployment: Deployment,
    service: ListService,
    endpoints: Endpoints,
    sender: RealSender,
    load_duration: Duration,
    random: ChaCha8Rng,
    /// Number of loads so far.
    loads: u64,
}

impl Bench {
    /// Starts the stubs, and the sender at `program` with its files in `folder`.
    pub fn start(program: &Path, folder: &Path, config: &BenchConfig) -> Result<Bench, Box<dyn Error>> {
        let seed = config.seed;
        let endpoints = Endpoints::start(ENDPOINT_WORK, config.down)?;
        let deployment = Deployment::new(seed, config.size, endpoints.addresses());
        let service = ListService::start(deployment.clone())?;
        let sender = RealSender::start(program, folder, service.address(0), 0, &config.parameters)?;
        let random = seed.stream("changes", 0);
        let load_duration = config.load_duration;
        Ok(Bench { seed, deployment, service, endpoints, sender, load_duration, random, loads: 0 })
    }

    /// Awaits a future, and returns the share of one processor that the sender used meanwhile.
    async fn with_processor_share<T>(&self, work: impl Future<Output = T>) -> io::Result<(T, f64)> {
        let (before, begun) = (self.sender.processor_time()?, Instant::now());
        let output = work.await;
        let used = self.sender.processor_time()?.saturating_sub(before);
        Ok((output, used.as_secs_f64() / begun.elapsed().as_secs_f64()))
    }

    fn load(&mut self, skew: Skew, per_second: f64) -> Load {
        self.loads += 1;
        let [class, ..] = &plan::classes()[..] else { unreachable!("the plan has classes") };
        Load {
            seed: self.seed,
            number: self.loads,
            skew,
            down_only: false,
            per_second,
            duration: self.load_duration,
            class: class.clone(),
        }
    }

    async fn traffic(&mut self, skew: Skew, per_second: f64) -> Result<TrafficReport, Box<dyn Error>> {
        let load = self.load(skew, per_second);
        let probe = self.sender.start_probe()?;
        let running_load = load.run(self.sender.address(), &self.deployment, &self.endpoints);
        let both = async { tokio::join!(running_load, self.most_descriptors()) };
        let ((outcome, most_descriptors), processor_share) = self.with_processor_share(both).await?;
        let holds = probe.finish().await?;
        let connections_by_call = outcome.connections as f64 / outcome.calls.max(1) as f64;
        let memory = self.sender.memory()?.current;
        let most_descriptors = most_descriptors?;
        Ok(TrafficReport { outcome, memory, processor_share, connections_by_call, most_descriptors, holds })
    }

    /// Samples the open descriptors during a load, and returns the maximum.
    async fn most_descriptors(&self) -> io::Result<usize> {
        let (begun, mut most) = (Instant::now(), 0);
        while begun.elapsed() < self.load_duration {
            most = most.max(self.sender.descriptors()?);
            sleep(DESCRIPTOR_SAMPLE_INTERVAL).await;
        }
        Ok(most)
    }

    /// Returns the share of one processor that the event loop uses while idle.
    async fn idle_loop_share(&self) -> Result<f64, Box<dyn Error>> {
        let (before, begun) = (self.sender.loop_processor_time()?, Instant::now());
        sleep(SETTLE_TIME).await;
        let used = self.sender.loop_processor_time()? - before;
        Ok(used.as_secs_f64() / begun.elapsed().as_secs_f64())
    }

    /// Returns microseconds of processor time and bytes per change, without the processor time of an idle
    /// loop.
    async fn change_cost(&mut self, idle_loop_share: f64) -> Result<(f64, f64), Box<dyn Error>> {
        let (before, counts, begun) =
            (self.sender.loop_processor_time()?, self.service.counts(), Instant::now());
        for _ in 0..CHANGES {
            self.service.apply_drawn_change(&mut self.random);
            sleep(CHANGE_INTERVAL).await;
        }
        let used = (self.sender.loop_processor_time()? - before).as_secs_f64();
        let beyond_idle = used - idle_loop_share * begun.elapsed().as_secs_f64();
        Ok((
            beyond_idle * 1e6 / f64::from(CHANGES),
            self.service.counts().since(&counts).bytes as f64 / f64::from(CHANGES),
        ))
    }

    /// Replaces the whole list under traffic.
    async fn replacement(&mut self) -> Result<Replacement, Box<dyn Error>> {
        let counts = self.service.counts();
        let load = Load { duration: REPLACEMENT_TIME, ..self.load(Skew::Uniform, MESSAGES_PER_SECOND) };
        let service = self.service.clone();
        // Serialising the list takes long and must not block the tasks that measure.
        let replace = async {
            sleep(REPLACEMENT_START).await;
            spawn_blocking(move || service.replace_all()).await
        };
        let probe = self.sender.start_probe()?;
        let running_load = load.run(self.sender.address(), &self.deployment, &self.endpoints);
        let (outcome, replaced) = tokio::join!(running_load, replace);
        replaced?;
        let holds = probe.finish().await?;
        let memory = self.sender.memory()?;
        let fetched = self.service.counts().since(&counts);
        Ok(Replacement { holds, outcome, fetched, memory: memory.current, most_memory: memory.peak })
    }

    /// Builds up a backlog of messages for destinations that are down. Measures memory and state before the
    /// first load, and memory, state, processor share and loop delays at each load.
    async fn backlog(&mut self) -> Result<Vec<Backlog>, Box<dyn Error>> {
        let memory = self.sender.memory()?.current;
        let state_bytes = self.sender.state_bytes()?;
        let empty =
            Backlog { held: 0, memory, state_bytes, processor_share: 0.0, holds: LoopDelays::default() };
        let mut points = vec![empty];
        let mut held = 0;
        for _ in 0..BACKLOG_PARTS {
            let load = Load { down_only: true, ..self.load(Skew::Uniform, WIDE_MESSAGES_PER_SECOND) };
            let probe = self.sender.start_probe()?;
            let running_load = load.run(self.sender.address(), &self.deployment, &self.endpoints);
            let (outcome, processor_share) = self.with_processor_share(running_load).await?;
            let holds = probe.finish().await?;
            held += outcome.taken_on;
            let (memory, state_bytes) = (self.sender.memory()?.current, self.sender.state_bytes()?);
            points.push(Backlog { held, memory, state_bytes, processor_share, holds });
        }
        Ok(points)
    }

    /// Runs all measurements at this size, and kills the sender.
    pub async fn measure(mut self, scope: BenchScope) -> Result<Row, Box<dyn Error>> {
        let ready = self.sender.wait_until_ready(READINESS_TIMEOUT).await;
        sleep(SETTLE_TIME).await;
        let (idle, fetched) = (self.sender.memory()?, self.service.counts());
        let idle_processor_share = self.idle_loop_share().await?;
        let (change_processor_us, change_bytes) = self.change_cost(idle_processor_share).await?;
        let mut traffic = Vec::new();
        for (skew, rate) in [
            (Skew::Zipf, MESSAGES_PER_SECOND),
            (Skew::Uniform, MESSAGES_PER_SECOND),
            (Skew::Uniform, WIDE_MESSAGES_PER_SECOND),
        ] {
            traffic.push(self.traffic(skew, rate).await?);
        }
        let mut replacements = Vec::new();
        for _ in 0..scope.replacements {
            replacements.push(self.replacement().await?);
        }
        let most_memory = self.sender.memory()?.peak;
        let backlog = match scope.with_backlog {
            true => Some(self.backlog().await?),
            false => None,
        };
        let row = Row {
            destinations: self.deployment.destinations(),
            endpoints: self.deployment.endpoints(),
            ready_ms: ready.map(|r| r.as_secs_f64() * 1e3),
            fetched,
            idle_memory: idle.current,
            most_memory_until_idle: idle.peak,
            idle_processor_share,
            change_processor_us,
            change_bytes,
            traffic,
            replacements,
            backlog,
            most_memory,
            state_bytes: self.sender.state_bytes()?,
            log_lines: self.sender.log().lines().count(),
        };
        self.sender.kill().await?;
        Ok(row)
    }
}
