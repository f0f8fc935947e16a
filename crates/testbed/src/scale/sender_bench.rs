//! One real sender at one size with all that it talks to: what a run gives, idle, with traffic and through whole lists.
use super::deployment::{Deployment, Size};
use super::list_service::{Counts, ListService};
use super::load::{Down, Endpoints, Load, Outcome};
use super::loop_probe::Holds;
use super::real_sender::{RealSender, Shape};
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

/// Messages a second that a sender of the fleet takes: 380,000 over 3,600.
const RATE: f64 = 106.0;
/// Messages a second of the run that touches many destinations in little time.
const WIDE_RATE: f64 = 1_000.0;
/// Equal parts in which the backlog is built up, each of a load's length.
const BACKLOG_PARTS: usize = 2;
/// An endpoint's work for one message: little, so that `WIDE_RATE` too is below the sender's calls out at once.
pub const WORK: Duration = Duration::from_millis(20);
/// How long a sender may take until it is ready.
pub const READY_WITHIN: Duration = Duration::from_secs(30);
/// How long a sender is left alone before it is looked at.
pub const SETTLES: Duration = Duration::from_secs(2);
/// Changes of the idle run, a thousand times as often as 3,400 a day.
const CHANGES: u32 = 100;
const CHANGE_EVERY: Duration = Duration::from_millis(25);
/// A whole list has been taken in by then, on whatever machine.
const REPLACED_WITHIN: Duration = Duration::from_secs(4);

/// What a run at one size gave. Memory is resident, in bytes.
#[derive(Serialize)]
pub struct Row {
    pub destinations: u32,
    pub endpoints: u32,
    pub ready_ms: Option<f64>,
    /// Of the list that it had fetched by the time that it was looked at.
    pub fetched: Counts,
    pub idle_memory: u64,
    pub most_memory_until_idle: u64,
    pub idle_processor_share: f64,
    /// Processor time of the loop for a change, its watch included, without what it takes idle.
    pub change_processor_us: f64,
    pub change_bytes: f64,
    pub traffic: Vec<Traffic>,
    /// Whole lists one after the other, at the largest size several.
    pub replacements: Vec<Replacement>,
    /// At the largest size alone.
    pub backlog: Option<Vec<Backlog>>,
    pub most_memory: u64,
    pub state_bytes: u64,
    pub log_lines: usize,
}

/// Messages for a while.
#[derive(Serialize)]
pub struct Traffic {
    pub outcome: Outcome,
    pub memory: u64,
    pub processor_share: f64,
    pub connections_by_call: f64,
    pub most_descriptors: usize,
    pub holds: Holds,
}

/// All entries change at once, under traffic.
#[derive(Serialize)]
pub struct Replacement {
    pub holds: Holds,
    pub outcome: Outcome,
    pub fetched: Counts,
    pub memory: u64,
    pub most_memory: u64,
}

/// After so many messages for destinations that are down; what is held is given up when its time is up.
#[derive(Serialize)]
pub struct Backlog {
    pub held: usize,
    pub memory: u64,
    pub state_bytes: u64,
    pub processor_share: f64,
    pub holds: Holds,
}

/// How a sender is run.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub seed: Seed,
    pub size: Size,
    pub shape: Shape,
    /// What destinations that are down do.
    pub down: Down,
    /// How long each traffic lasts.
    pub lasts: Duration,
}

/// What is measured at one size beyond what is measured at each.
#[derive(Clone, Copy, Debug)]
pub struct Extent {
    pub replacements: usize,
    pub with_backlog: bool,
}

/// One sender at one size with all that it talks to.
pub struct Bench {
    seed: Seed,
    deployment: Deployment,
    service: ListService,
    endpoints: Endpoints,
    sender: RealSender,
    lasts: Duration,
    random: ChaCha8Rng,
    /// Loads so far.
    loads: u64,
}

impl Bench {
    /// Starts a program with its state in `folder`.
    pub fn start(program: &Path, folder: &Path, setting: &Setting) -> Result<Bench, Box<dyn Error>> {
        let seed = setting.seed;
        let endpoints = Endpoints::start(WORK, setting.down)?;
        let deployment = Deployment::new(seed, setting.size, endpoints.addresses());
        let service = ListService::start(deployment.clone())?;
        let sender = RealSender::start(program, folder, service.address(0), 0, &setting.shape)?;
        let random = seed.stream("changes", 0);
        let lasts = setting.lasts;
        Ok(Bench { seed, deployment, service, endpoints, sender, lasts, random, loads: 0 })
    }

    /// Runs something and tells the sender's share of a processor meanwhile.
    async fn processor<T>(&self, of: impl Future<Output = T>) -> io::Result<(T, f64)> {
        let (before, begun) = (self.sender.processor()?, Instant::now());
        let done = of.await;
        let used = self.sender.processor()?.saturating_sub(before);
        Ok((done, used.as_secs_f64() / begun.elapsed().as_secs_f64()))
    }

    fn load(&mut self, skew: Skew, per_second: f64) -> Load {
        self.loads += 1;
        let [class, ..] = &plan::classes()[..] else { unreachable!("there are classes") };
        Load {
            seed: self.seed,
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
        let probe = self.sender.probe()?;
        let play = load.play(self.sender.address(), &self.deployment, &self.endpoints);
        let both = async { tokio::join!(play, self.most_descriptors()) };
        let ((outcome, most_descriptors), processor_share) = self.processor(both).await?;
        let holds = probe.finish().await?;
        let connections_by_call = outcome.connections as f64 / outcome.calls.max(1) as f64;
        let memory = self.sender.memory()?.now;
        let most_descriptors = most_descriptors?;
        Ok(Traffic { outcome, memory, processor_share, connections_by_call, most_descriptors, holds })
    }

    /// The most that were open at a time while a load lasts, as seen ten times a second.
    async fn most_descriptors(&self) -> io::Result<usize> {
        let (begun, mut most) = (Instant::now(), 0);
        while begun.elapsed() < self.lasts {
            most = most.max(self.sender.descriptors()?);
            sleep(Duration::from_millis(100)).await;
        }
        Ok(most)
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
        let counts = self.service.counts();
        let load = Load { lasts: REPLACED_WITHIN, ..self.load(Skew::Uniform, RATE) };
        let service = self.service.clone();
        // Writing the list is work of its own, which must hold up nothing that measures.
        let replace = async {
            sleep(Duration::from_millis(500)).await;
            spawn_blocking(move || service.replace_all()).await
        };
        let probe = self.sender.probe()?;
        let play = load.play(self.sender.address(), &self.deployment, &self.endpoints);
        let (outcome, replaced) = tokio::join!(play, replace);
        replaced?;
        let holds = probe.finish().await?;
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
            let probe = self.sender.probe()?;
            let play = load.play(self.sender.address(), &self.deployment, &self.endpoints);
            let (outcome, processor_share) = self.processor(play).await?;
            let holds = probe.finish().await?;
            held += outcome.taken_on;
            let (memory, state_bytes) = (self.sender.memory()?.now, self.sender.state_bytes()?);
            points.push(Backlog { held, memory, state_bytes, processor_share, holds });
        }
        Ok(points)
    }

    /// Measures all there is at this size, and ends the sender.
    pub async fn row(mut self, extent: Extent) -> Result<Row, Box<dyn Error>> {
        let ready = self.sender.ready(READY_WITHIN).await;
        sleep(SETTLES).await;
        let (idle, fetched) = (self.sender.memory()?, self.service.counts());
        let idle_processor_share = self.idle().await?;
        let (change_processor_us, change_bytes) = self.changes(idle_processor_share).await?;
        let mut traffic = Vec::new();
        for (skew, rate) in [(Skew::Zipf, RATE), (Skew::Uniform, RATE), (Skew::Uniform, WIDE_RATE)] {
            traffic.push(self.traffic(skew, rate).await?);
        }
        let mut replacements = Vec::new();
        for _ in 0..extent.replacements {
            replacements.push(self.replacement().await?);
        }
        let most_memory = self.sender.memory()?.most;
        let backlog = match extent.with_backlog {
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
            replacements,
            backlog,
            most_memory,
            state_bytes: self.sender.state_bytes()?,
            log_lines: self.sender.log().lines().count(),
        };
        self.sender.end().await?;
        Ok(row)
    }
}
