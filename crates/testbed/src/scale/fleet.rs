//! A fleet of hollow senders in one process: each has a real watch on a real socket, the real catalogue and its intake,
//! and a real decision module, but no clients and no endpoints to call.
//!
//! The process has the memory of one sender's catalogue, not of thousands: they begin with one snapshot, and a sender
//! that has worked out its next snapshot takes over the one of the same version that was kept first. So the work of
//! each is measured, and memory by sender is not.
use super::deployment::{zone_name, MACHINE_TYPES, REGIONS, ZONES};
use super::real_sender;
use crate::clock::Clock;
use crate::http::{Connection, Start};
use crate::seed::Seed;
use catalogue::intake::{self, LoadedList};
use catalogue::{Catalogue, Limits};
use hdrhistogram::Histogram;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sender::api::{Event, Settings};
use sender::listed::{CatalogueDirectory, SettingsNames};
use sender::on_demand::OnDemandList;
use sender::policy;
use sender::settings;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// How much longer than it waits a watch may take, as with the real sender.
const GRACE: Duration = Duration::from_secs(1);
/// The longest pause after a watch that failed.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_500);
/// How long a call that need not wait may take.
const AT_ONCE: Duration = Duration::from_millis(2_500);
/// Snapshots that are kept for others to take over.
const KEPT: usize = 64;
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// The words of this deployment, as its settings number them.
pub fn words() -> SettingsNames {
    SettingsNames {
        kinds: MACHINE_TYPES.map(str::to_string).to_vec(),
        zones: (0..ZONES).map(zone_name).collect(),
    }
}

/// The settings of a sender of this deployment.
pub fn module_settings() -> Settings {
    settings::read(&real_sender::settings(real_sender::FLEET)).expect("the settings of a play are read").0
}

/// Which versions are in force where, and since when.
pub struct Progress {
    /// By sender.
    versions: Vec<AtomicU64>,
    published: Mutex<BTreeMap<u64, Instant>>,
    times: Mutex<Times>,
}

struct Times {
    /// Microseconds from a change to its being in force, over all changes and senders.
    each: Histogram<u64>,
    /// By version: when it was in force at the last sender that has it, and how many have it.
    last: BTreeMap<u64, (Duration, usize)>,
}

/// Times from a change to its being in force.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct InForce {
    pub changes: usize,
    /// Changes that all senders have.
    pub everywhere: usize,
    pub each_p50_ms: f64,
    pub each_p99_ms: f64,
    pub last_sender_p50_ms: f64,
    pub last_sender_p99_ms: f64,
    pub last_sender_max_ms: f64,
}

impl Progress {
    fn new(senders: usize, version: u64) -> Progress {
        let times = Times { each: histogram(), last: BTreeMap::new() };
        Progress {
            versions: (0..senders).map(|_| AtomicU64::new(version)).collect(),
            published: Mutex::default(),
            times: Mutex::new(times),
        }
    }

    /// To be called just before a version is published.
    pub fn publish(&self, version: u64) {
        self.published.lock().expect("no holder panics").insert(version, Instant::now());
    }

    fn in_force(&self, sender: usize, version: u64) {
        let (now, before) = (Instant::now(), self.versions[sender].swap(version, Ordering::Relaxed));
        if version <= before {
            return;
        }
        let published = self.published.lock().expect("no holder panics");
        let new: Vec<_> = published.range(before + 1..=version).map(|(v, at)| (*v, now - *at)).collect();
        drop(published);
        let mut times = self.times.lock().expect("no holder panics");
        for (version, took) in new {
            times.each.saturating_record(took.as_micros() as u64);
            let last = times.last.entry(version).or_default();
            *last = (last.0.max(took), last.1 + 1);
        }
    }

    /// How many senders have a version or a later one.
    pub fn have(&self, version: u64) -> usize {
        self.versions.iter().filter(|v| v.load(Ordering::Relaxed) >= version).count()
    }

    /// Waits until all senders have a version.
    pub async fn all_have(&self, version: u64, within: Duration) -> bool {
        self.at_least(self.versions.len(), version, within).await
    }

    /// Waits until so many senders have a version.
    pub async fn at_least(&self, senders: usize, version: u64, within: Duration) -> bool {
        let until = Instant::now() + within;
        while self.have(version) < senders {
            if Instant::now() >= until {
                return false;
            }
            sleep(LOOK_EVERY).await;
        }
        true
    }

    /// What was seen since the last call.
    pub fn take(&self) -> InForce {
        let mut times = self.times.lock().expect("no holder panics");
        let each = std::mem::replace(&mut times.each, histogram());
        let last = std::mem::take(&mut times.last);
        let mut by_last = histogram();
        last.values().for_each(|(took, _)| by_last.saturating_record(took.as_micros() as u64));
        let ms = |of: &Histogram<u64>, share: f64| of.value_at_quantile(share) as f64 / 1e3;
        InForce {
            changes: last.len(),
            everywhere: last.values().filter(|(_, count)| *count >= self.versions.len()).count(),
            each_p50_ms: ms(&each, 0.5),
            each_p99_ms: ms(&each, 0.99),
            last_sender_p50_ms: ms(&by_last, 0.5),
            last_sender_p99_ms: ms(&by_last, 0.99),
            last_sender_max_ms: ms(&by_last, 1.0),
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("these bounds are allowed")
}

/// What a fleet is like.
#[derive(Clone)]
pub struct Spec {
    pub seed: Seed,
    pub senders: usize,
    /// A watch waits for between half of this and all of it.
    pub watch: Duration,
    /// Where each region's senders find the list.
    pub discovery: Vec<SocketAddr>,
    /// What all begin with.
    pub catalogue: Catalogue,
}

/// Snapshots that were worked out first, by version.
type Shared = Arc<Mutex<BTreeMap<u64, Catalogue>>>;

pub struct Fleet {
    pub progress: Arc<Progress>,
    tasks: JoinSet<()>,
}

impl Fleet {
    /// Starts all senders' watches on the runtime that this is called on.
    pub fn start(spec: &Spec) -> Fleet {
        let version = spec.catalogue.generation().unwrap_or_default();
        let progress = Arc::new(Progress::new(spec.senders, version));
        let (settings, words) = (module_settings(), Arc::new(words()));
        let shared = Shared::default();
        let mut tasks = JoinSet::new();
        for number in 0..spec.senders {
            let hollow = Hollow {
                number,
                discovery: spec.discovery[number % REGIONS as usize],
                watch: spec.watch,
                random: spec.seed.stream("hollow", number as u64),
                policy: policy::Sender::new(settings.clone(), number as u64),
                list: OnDemandList::default(),
                words: words.clone(),
                catalogue: spec.catalogue.clone(),
                shared: shared.clone(),
                progress: progress.clone(),
                clock: Clock::new(Instant::now()),
            };
            tasks.spawn(hollow.run());
        }
        Fleet { progress, tasks }
    }

    pub async fn end(mut self) {
        self.tasks.shutdown().await;
    }
}

struct Hollow {
    number: usize,
    discovery: SocketAddr,
    watch: Duration,
    random: ChaCha8Rng,
    policy: policy::Sender,
    list: OnDemandList,
    words: Arc<SettingsNames>,
    catalogue: Catalogue,
    shared: Shared,
    progress: Arc<Progress>,
    clock: Clock,
}

impl Hollow {
    async fn run(mut self) {
        let (mut link, mut failed) = (None, false);
        loop {
            // After a failure what was missed is asked for, not waited for.
            let wait = match failed {
                true => Duration::ZERO,
                false => self.watch.mul_f64(self.random.random_range(0.5..1.0)),
            };
            let allowed = if wait.is_zero() { AT_ONCE } else { wait + GRACE };
            let body = timeout(allowed, self.get(&mut link, wait)).await.ok().flatten();
            failed = !body.is_some_and(|body| self.take(&body));
            if failed {
                link = None;
                sleep(LONGEST_PAUSE.mul_f64(self.random.random())).await;
            }
        }
    }

    async fn get(&self, link: &mut Option<Connection>, wait: Duration) -> Option<Vec<u8>> {
        if link.is_none() {
            *link = Some(Connection::new(TcpStream::connect(self.discovery).await.ok()?, self.clock));
        }
        let open = link.as_mut()?;
        let index = self.catalogue.generation().unwrap_or_default();
        let request = format!(
            "GET /v1/servers?index={index}&wait={} HTTP/1.1\r\nhost: {}\r\n\r\n",
            wait.as_millis(),
            self.discovery
        );
        open.write(request.as_bytes()).await.ok()?;
        let answer = open.read_response().await.ok()?;
        (answer.start == Start::Status(200)).then_some(answer.body)
    }

    /// Puts a list in force.
    fn take(&mut self, body: &[u8]) -> bool {
        let limits = Limits::for_memory((real_sender::MEMORY_MB << 20) as usize);
        let Ok(taken) = intake::read(body, &self.catalogue, &limits) else { return false };
        let (generation, changed) = (taken.generation, taken.reset || !taken.changed.is_empty());
        if changed {
            self.apply(taken);
        }
        self.progress.in_force(self.number, generation);
        true
    }

    fn apply(&mut self, taken: LoadedList) {
        self.catalogue = taken.catalogue;
        let listed = CatalogueDirectory { catalogue: &self.catalogue, names: &self.words };
        let mut events: Vec<Event> = Vec::new();
        match taken.reset {
            // Without messages it knows no destination that it could be behind with.
            true => self.list.directory_replaced(&self.policy, &listed, &mut events),
            false => self.list.endpoints_changed(&self.policy, &listed, &taken.changed, &mut events),
        }
        let mut actions = Vec::new();
        self.policy.handle(self.clock.now(), &events, &mut actions);
        self.list.events_handled();
        self.share(taken.generation);
    }

    /// Its own snapshot is given up for one of the same version that is kept already, or kept for others.
    fn share(&mut self, generation: u64) {
        let mut shared = self.shared.lock().expect("no holder panics");
        self.catalogue = shared.entry(generation).or_insert_with(|| self.catalogue.clone()).clone();
        if shared.len() > KEPT {
            shared.pop_first();
        }
    }
}
