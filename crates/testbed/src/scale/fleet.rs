//! A fleet of reduced senders in one process: each has a real watch on a socket, the real catalogue with its
//! intake and a real decision module, but neither clients nor endpoints.
//!
//! The senders share catalogue snapshots, as thousands of catalogues would not fit in memory: all start with
//! one snapshot, and a sender that has built its next snapshot replaces it by the first one built of the
//! same version. So the processor time of each sender is measured, but its memory is not.
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

/// Time that a watch may take beyond its wait, as in the real sender.
const WATCH_GRACE: Duration = Duration::from_secs(1);
/// Upper bound of the random delay after a failed watch.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(2_500);
/// Timeout of a request that does not wait for changes.
const IMMEDIATE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Number of latest snapshots kept for sharing.
const MAX_SHARED_SNAPSHOTS: usize = 64;
/// Interval at which the progress of the fleet is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns the names of this deployment's machine types and zones, in the order in which its settings number
/// them.
pub fn settings_names() -> SettingsNames {
    SettingsNames {
        kinds: MACHINE_TYPES.map(str::to_string).to_vec(),
        zones: (0..ZONES).map(zone_name).collect(),
    }
}

/// Returns the decision module's settings for a sender of this deployment.
pub fn module_settings() -> Settings {
    settings::read(&real_sender::settings(real_sender::FLEET_SENDERS)).expect("drawn settings are valid").0
}

/// Which version of the list each sender has applied, and how long that took.
pub struct Progress {
    /// The applied version, by sender.
    versions: Vec<AtomicU64>,
    /// When each version was published.
    published: Mutex<BTreeMap<u64, Instant>>,
    times: Mutex<Times>,
}

struct Times {
    /// Microseconds from publishing a change to applying it, over all changes and senders.
    each: Histogram<u64>,
    /// By version: the time until the last sender so far applied it, and how many senders have it.
    last: BTreeMap<u64, (Duration, usize)>,
}

/// Times from publishing a change to applying it.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct PropagationTimes {
    pub changes: usize,
    /// Changes that all senders have applied.
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

    /// Notes the time of publication; to be called just before a version is published.
    pub fn note_published(&self, version: u64) {
        self.published.lock().expect("no holder panics").insert(version, Instant::now());
    }

    /// Notes that a sender has applied a version, and all versions before it.
    fn note_applied(&self, sender: usize, version: u64) {
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

    /// Returns how many senders have applied a version or a later one.
    pub fn senders_with(&self, version: u64) -> usize {
        self.versions.iter().filter(|v| v.load(Ordering::Relaxed) >= version).count()
    }

    /// Waits until all senders have applied a version; returns false after the timeout.
    pub async fn wait_for_all(&self, version: u64, timeout: Duration) -> bool {
        self.wait_for(self.versions.len(), version, timeout).await
    }

    /// Waits until `senders` senders have applied a version; returns false after the timeout.
    pub async fn wait_for(&self, senders: usize, version: u64, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while self.senders_with(version) < senders {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Returns the times recorded since the previous call, and resets them.
    pub fn take_times(&self) -> PropagationTimes {
        let mut times = self.times.lock().expect("no holder panics");
        let each = std::mem::replace(&mut times.each, histogram());
        let last = std::mem::take(&mut times.last);
        let mut last_sender = histogram();
        last.values().for_each(|(took, _)| last_sender.saturating_record(took.as_micros() as u64));
        let ms = |times: &Histogram<u64>, share: f64| times.value_at_quantile(share) as f64 / 1e3;
        PropagationTimes {
            changes: last.len(),
            everywhere: last.values().filter(|(_, count)| *count >= self.versions.len()).count(),
            each_p50_ms: ms(&each, 0.5),
            each_p99_ms: ms(&each, 0.99),
            last_sender_p50_ms: ms(&last_sender, 0.5),
            last_sender_p99_ms: ms(&last_sender, 0.99),
            last_sender_max_ms: ms(&last_sender, 1.0),
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid histogram bounds")
}

/// The parameters of a fleet.
#[derive(Clone)]
pub struct FleetSpec {
    pub seed: Seed,
    pub senders: usize,
    /// The longest wait of a watch; each wait is drawn between half of it and all of it.
    pub watch: Duration,
    /// The list service's address for each region.
    pub discovery: Vec<SocketAddr>,
    /// The catalogue that all senders start with.
    pub catalogue: Catalogue,
}

/// The first snapshot that was built of each version.
type SharedSnapshots = Arc<Mutex<BTreeMap<u64, Catalogue>>>;

/// A running fleet.
pub struct Fleet {
    pub progress: Arc<Progress>,
    tasks: JoinSet<()>,
}

impl Fleet {
    /// Starts the watches of all senders on the current runtime.
    pub fn start(spec: &FleetSpec) -> Fleet {
        let version = spec.catalogue.generation().unwrap_or_default();
        let progress = Arc::new(Progress::new(spec.senders, version));
        let (settings, names) = (module_settings(), Arc::new(settings_names()));
        let snapshots = SharedSnapshots::default();
        let mut tasks = JoinSet::new();
        for number in 0..spec.senders {
            let sender = ListOnlySender {
                number,
                discovery: spec.discovery[number % REGIONS as usize],
                watch: spec.watch,
                random: spec.seed.stream("hollow", number as u64),
                policy: policy::Sender::new(settings.clone(), number as u64),
                list: OnDemandList::default(),
                names: names.clone(),
                catalogue: spec.catalogue.clone(),
                snapshots: snapshots.clone(),
                progress: progress.clone(),
                clock: Clock::new(Instant::now()),
            };
            tasks.spawn(sender.run());
        }
        Fleet { progress, tasks }
    }

    /// Ends all senders.
    pub async fn end(mut self) {
        self.tasks.shutdown().await;
    }
}

/// A sender that has a watch, a catalogue and a decision module, and nothing else.
struct ListOnlySender {
    number: usize,
    discovery: SocketAddr,
    watch: Duration,
    random: ChaCha8Rng,
    policy: policy::Sender,
    list: OnDemandList,
    names: Arc<SettingsNames>,
    catalogue: Catalogue,
    snapshots: SharedSnapshots,
    progress: Arc<Progress>,
    clock: Clock,
}

impl ListOnlySender {
    async fn run(mut self) {
        let (mut connection, mut failed) = (None, false);
        loop {
            // After a failure the sender asks for missed changes without waiting for new ones.
            let wait = match failed {
                true => Duration::ZERO,
                false => self.watch.mul_f64(self.random.random_range(0.5..1.0)),
            };
            let allowed_time = if wait.is_zero() { IMMEDIATE_TIMEOUT } else { wait + WATCH_GRACE };
            let body = timeout(allowed_time, self.request_list(&mut connection, wait)).await.ok().flatten();
            failed = !body.is_some_and(|body| self.load(&body));
            if failed {
                connection = None;
                sleep(MAX_RETRY_DELAY.mul_f64(self.random.random())).await;
            }
        }
    }

    async fn request_list(&self, connection: &mut Option<Connection>, wait: Duration) -> Option<Vec<u8>> {
        if connection.is_none() {
            *connection = Some(Connection::new(TcpStream::connect(self.discovery).await.ok()?, self.clock));
        }
        let open = connection.as_mut()?;
        let index = self.catalogue.generation().unwrap_or_default();
        let request = format!(
            "GET /v1/servers?index={index}&wait={} HTTP/1.1\r\nhost: {}\r\n\r\n",
            wait.as_millis(),
            self.discovery
        );
        open.write(request.as_bytes()).await.ok()?;
        let response = open.read_response().await.ok()?;
        (response.start == Start::Status(200)).then_some(response.body)
    }

    /// Reads a response's list and applies it; returns whether it was valid.
    fn load(&mut self, body: &[u8]) -> bool {
        let limits = Limits::for_memory((real_sender::MEMORY_MB << 20) as usize);
        let Ok(loaded) = intake::read(body, &self.catalogue, &limits) else { return false };
        let (generation, changed) = (loaded.generation, loaded.reset || !loaded.changed.is_empty());
        if changed {
            self.apply(loaded);
        }
        self.progress.note_applied(self.number, generation);
        true
    }

    fn apply(&mut self, loaded: LoadedList) {
        self.catalogue = loaded.catalogue;
        let listed = CatalogueDirectory { catalogue: &self.catalogue, names: &self.names };
        let mut events: Vec<Event> = Vec::new();
        match loaded.reset {
            // Without messages the module knows no destination, so there is nothing pending to tell it.
            true => self.list.directory_replaced(&self.policy, &listed, &mut events),
            false => self.list.endpoints_changed(&self.policy, &listed, &loaded.changed, &mut events),
        }
        let mut actions = Vec::new();
        self.policy.handle(self.clock.now(), &events, &mut actions);
        self.list.events_handled();
        self.share_snapshot(loaded.generation);
    }

    /// Replaces its snapshot by a shared one of the same version, or shares its own if there is none.
    fn share_snapshot(&mut self, generation: u64) {
        let mut snapshots = self.snapshots.lock().expect("no holder panics");
        self.catalogue = snapshots.entry(generation).or_insert_with(|| self.catalogue.clone()).clone();
        if snapshots.len() > MAX_SHARED_SNAPSHOTS {
            snapshots.pop_first();
        }
    }
}
