//! An experiment as its file states it: TOML, unknown keys refused, errors with line and column.
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use toml::Spanned;

#[derive(Debug, thiserror::Error)]
pub enum SpecError {
    #[error("cannot read {path}: {error}")]
    Read { path: PathBuf, error: std::io::Error },
    #[error("{path}: {error}")]
    Form { path: PathBuf, error: Box<toml::de::Error> },
    #[error("{path}, line {line}, column {column}: {what}")]
    Value { path: PathBuf, line: usize, column: usize, what: String },
    #[error("{path}: {what}")]
    Whole { path: PathBuf, what: String },
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    pub title: String,
    /// How long clients hand messages in, in seconds. A play goes on until all that was taken on has ended.
    pub seconds: f64,
    /// Senders: each a process, or in simulated time a module.
    pub senders: u32,
    /// Plays, each with the next seed.
    pub repetitions: u32,
    pub traffic: Traffic,
    pub platform: Platform,
    pub clients: Clients,
    pub program: Program,
    /// What goes wrong, and when.
    pub event: Vec<Event>,
}

impl Default for Spec {
    fn default() -> Spec {
        Spec {
            title: "unnamed".into(),
            seconds: 30.0,
            senders: 3,
            repetitions: 1,
            traffic: Traffic::default(),
            platform: Platform::default(),
            clients: Clients::default(),
            program: Program::default(),
            event: Vec::new(),
        }
    }
}

/// Load, as in the brief, 2.1, 4.4 and 6.2.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Messages a second over all senders, clumps among them.
    pub rate: f64,
    /// That rate as a share of the full load, by which limits, slots and queues are sized.
    pub load: f64,
    /// Rise and fall of the rate round its mean, as a share of it, over 20 s.
    pub swing: f64,
    /// Share of messages that come in clumps for one destination.
    pub clumps: f64,
    /// A clump's size, in seconds of its destination's limit.
    pub clump_s: [f64; 2],
    /// Exponent of the destinations' shares (Zipf).
    pub zipf: f64,
    /// Spread of the senders' shares: the deviation of their logarithm.
    pub sender_spread: f64,
    /// Share of class `booking`; the rest is `rate-push`.
    pub booking: f64,
}

impl Default for Traffic {
    fn default() -> Traffic {
        Traffic {
            rate: 56.0,
            load: 0.7,
            swing: 0.2,
            clumps: 0.12,
            clump_s: [1.3, 3.3],
            zipf: 0.8,
            sender_spread: 0.3,
            booking: 0.39,
        }
    }
}

/// Destinations and endpoints, as in the brief, 6.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Platform {
    pub destinations: u32,
    pub endpoints: u32,
    /// Destinations that take bookings; the largest are among them.
    pub flagships: u32,
    /// Zones over which endpoints are dealt out.
    pub zones: u32,
    /// How late discovery tells a change, in seconds.
    pub notice_s: [f64; 2],
    /// Share of calls that fail with 500 at any time.
    pub error_rate: f64,
    /// What a new connection costs its first call, in milliseconds.
    pub handshake_ms: f64,
    /// Share of an endpoint's capacity at its return, and seconds until it has all of it.
    pub cold_from: f64,
    pub cold_s: f64,
}

impl Default for Platform {
    fn default() -> Platform {
        Platform {
            destinations: 12,
            endpoints: 20,
            flagships: 3,
            zones: 1,
            notice_s: [1.0, 3.3],
            error_rate: 0.005,
            handshake_ms: 5.0,
            cold_from: 0.16,
            cold_s: 9.3,
        }
    }
}

/// Habits of clients, as in PROTOCOL and the brief, 8.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Share of refused messages that are handed in once more.
    pub retry: f64,
    /// Share of those that heed the time they are told.
    pub honour: f64,
    /// Their wait where they are told none or don't heed it, in milliseconds.
    pub backoff_ms: [f64; 2],
    /// When a message comes again to another sender that was not answered, in milliseconds.
    pub again_ms: [f64; 2],
    /// Peers a second that send no proper request.
    pub strangers: f64,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retry: 0.7,
            honour: 0.75,
            backoff_ms: [530.0, 1400.0],
            again_ms: [420.0, 1900.0],
            strangers: 0.0,
        }
    }
}

/// The program under test and what its configuration says of its limits.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Program {
    /// Path of the sender's binary; that of this build if absent.
    pub path: Option<PathBuf>,
    pub memory_mb: u32,
    pub sockets: u32,
    pub disk_mb: f64,
    /// A process that is not ready after so many seconds never is (DEPLOY, Limits: clients come then all the same).
    pub ready_s: f64,
    /// When what senders write down has to be on disk (`store.sync` in their configuration).
    pub sync: Sync,
    /// The span of `interval`, in milliseconds.
    pub interval_ms: u64,
    /// Seconds between two snapshots of what senders have learned; absent: a killed sender learns anew.
    pub learned_s: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Sync {
    #[default]
    None,
    Group,
    Interval,
}

impl Default for Program {
    fn default() -> Program {
        Program {
            path: None,
            memory_mb: 192,
            sockets: 1024,
            disk_mb: 3.0,
            ready_s: 30.0,
            sync: Sync::None,
            interval_ms: 20,
            learned_s: None,
        }
    }
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Destinations: the process dies, refuses connections, and comes back cold.
    Down,
    /// Destinations: no answer and no reset, and cold afterwards.
    Silent,
    /// Destinations: refuse all calls until they open, and cold afterwards.
    Shut,
    /// Destinations: the share `size` of calls fails quickly with 500.
    Failing,
    /// Destinations: take `size` times as long.
    Slow,
    /// Destinations: the share `size` of answers is lost after the effect.
    LoseAnswers,
    /// Destinations: the share `size` of connections is reset under their call.
    Reset,
    /// Destinations: the share `size` of answers can't be read.
    Spoil,
    /// Destinations: the limit is multiplied by `size`.
    Limit,
    /// Destinations: draw the further share `size` of all traffic.
    HotDestination,
    /// Senders: draw the further share `size` of all traffic.
    HotSender,
    /// One endpoint of each destination that has two drains, goes, and a new one takes its place.
    Replace,
    /// Senders: SIGKILL, and a start anew after `for`.
    Kill,
    /// Senders: SIGTERM, SIGKILL 3.7 s later if need be, and a start anew after `for` from then.
    Terminate,
    /// Senders: SIGSTOP, and SIGCONT after `for`.
    Pause,
    /// A link of senders: nothing passes, either way, from the sender's peer on it back, or there.
    Cut,
    CutTo,
    CutBack,
    /// A link: `size` milliseconds more each way, and up to half of that again.
    Delay,
    /// A link: the share `size` of segments has to be sent again.
    Loss,
    /// A link: `size` bytes a second each way.
    Trickle,
    /// A link: all connections are reset, once.
    Break,
    /// Discovery answers nobody.
    DiscoverySilent,
    /// Discovery answers lists with 503.
    DiscoveryRefuses,
    /// Discovery answers `size` list calls a second, and any more with 503.
    DiscoveryCrowded,
    /// Discovery has lost its history: every watch gets the whole list anew.
    DiscoveryResets,
    /// Discovery moves to another address and tells so by configuration and SIGHUP.
    DiscoveryMoves,
}

impl Kind {
    /// Whether it strikes senders (else destinations, or discovery).
    pub fn of_senders(self) -> bool {
        matches!(self, Kind::HotSender | Kind::Kill | Kind::Terminate | Kind::Pause) || self.of_links()
    }

    /// Whether it strikes a link of those senders.
    pub fn of_links(self) -> bool {
        use Kind::*;
        matches!(self, Cut | CutTo | CutBack | Delay | Loss | Trickle | Break)
    }

    pub fn of_discovery(self) -> bool {
        use Kind::*;
        matches!(
            self,
            DiscoverySilent | DiscoveryRefuses | DiscoveryCrowded | DiscoveryResets | DiscoveryMoves
        )
    }

    /// Whether it is a moment, with no end of its own.
    pub fn is_moment(self) -> bool {
        matches!(self, Kind::DiscoveryMoves | Kind::DiscoveryResets | Kind::Break)
    }

    /// The bounds of `size`, where it has one.
    fn size(self) -> Option<(f64, f64)> {
        match self {
            Kind::Failing | Kind::LoseAnswers | Kind::Reset | Kind::Spoil => Some((0.0, 1.0)),
            Kind::HotDestination | Kind::HotSender => Some((0.0, 0.9)),
            Kind::Loss => Some((0.0, 0.9)),
            Kind::Delay => Some((0.0, 10_000.0)),
            Kind::Trickle => Some((100.0, 1e9)),
            Kind::DiscoveryCrowded => Some((0.01, 1e6)),
            Kind::Slow => Some((1.0, 100.0)),
            Kind::Limit => Some((0.01, 100.0)),
            _ => None,
        }
    }
}

/// Which of a sender's links.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Link {
    /// To all endpoints.
    Endpoints,
    /// To discovery, and with it the way of notices.
    Discovery,
    /// From its clients.
    Clients,
}

/// What the lasting folder is at a sender's next start.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Folder {
    #[default]
    Keep,
    /// The machine was lost, and with it what the sender owed.
    Empty,
    /// By mistake it is a copy of the next sender's, as that stands then; once that was refused it is its own again.
    Another,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Event {
    pub what: Spanned<Kind>,
    /// Seconds after clients have begun.
    pub at: f64,
    /// How long, in seconds.
    #[serde(rename = "for", default)]
    pub lasts: f64,
    /// The share of destinations' traffic, or of senders, that it strikes at least; drawn by the seed.
    #[serde(default)]
    pub part: Option<f64>,
    /// Those that it strikes by number, in place of `part`.
    #[serde(default)]
    pub which: Vec<u32>,
    /// How hard, where it can be more or less.
    #[serde(default)]
    pub size: Option<f64>,
    #[serde(default)]
    pub folder: Folder,
    /// Which link, where one is struck.
    #[serde(default)]
    pub link: Option<Link>,
}

impl Spec {
    pub fn read(path: &Path) -> Result<Spec, SpecError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SpecError::Read { path: path.to_path_buf(), error })?;
        Spec::parse(path, &text)
    }

    /// Reads the file's text; `path` is for errors only.
    pub fn parse(path: &Path, text: &str) -> Result<Spec, SpecError> {
        let spec: Spec = toml::from_str(text)
            .map_err(|error| SpecError::Form { path: path.to_path_buf(), error: Box::new(error) })?;
        spec.check().map_err(|fault| match fault.at {
            Some(at) => {
                let before = &text[..at.min(text.len())];
                let line = before.matches('\n').count() + 1;
                let column = before.len() - before.rfind('\n').map_or(0, |n| n + 1) + 1;
                SpecError::Value { path: path.to_path_buf(), line, column, what: fault.what }
            }
            None => SpecError::Whole { path: path.to_path_buf(), what: fault.what },
        })?;
        Ok(spec)
    }

    /// Sets one value by its dotted name, as `traffic.rate=80`, and checks the whole again.
    pub fn set(&self, assignment: &str) -> Result<Spec, SpecError> {
        let whole = |what: String| SpecError::Whole { path: PathBuf::from(assignment), what };
        let (name, value) =
            assignment.split_once('=').ok_or_else(|| whole("is not of the form key=value".into()))?;
        // What is no TOML value by itself is a text without its quotes.
        let value = toml::from_str::<toml::Table>(&format!("v = {value}"))
            .ok()
            .and_then(|mut t| t.remove("v"))
            .unwrap_or_else(|| toml::Value::String(value.to_string()));
        let mut table = toml::Table::try_from(self).map_err(|e| whole(e.to_string()))?;
        let (parents, last) = match name.rsplit_once('.') {
            Some((parents, last)) => (parents.split('.').collect(), last),
            None => (Vec::new(), name),
        };
        let mut at = &mut table;
        for parent in parents {
            at = match at.get_mut(parent) {
                Some(toml::Value::Table(inner)) => inner,
                _ => return Err(whole(format!("there is no table {parent}"))),
            };
        }
        at.insert(last.to_string(), value);
        Spec::parse(Path::new(assignment), &toml::to_string(&table).map_err(|e| whole(e.to_string()))?)
    }

    fn check(&self) -> Result<(), Fault> {
        let t = &self.traffic;
        let p = &self.platform;
        let c = &self.clients;
        within("seconds", self.seconds, 1.0, 3_600.0)?;
        within("senders", self.senders.into(), 1.0, 100_000.0)?;
        within("repetitions", self.repetitions.into(), 1.0, 1_000.0)?;
        within("traffic.rate", t.rate, 0.1, 20_000.0)?;
        within("traffic.load", t.load, 0.05, 5.0)?;
        within("traffic.swing", t.swing, 0.0, 1.0)?;
        within("traffic.clumps", t.clumps, 0.0, 0.9)?;
        within("traffic.zipf", t.zipf, 0.0, 3.0)?;
        within("traffic.sender_spread", t.sender_spread, 0.0, 3.0)?;
        within("traffic.booking", t.booking, 0.0, 1.0)?;
        within("platform.destinations", p.destinations.into(), 1.0, 1_000.0)?;
        within(
            "platform.endpoints",
            p.endpoints.into(),
            p.destinations.into(),
            4.0 * f64::from(p.destinations),
        )?;
        within("platform.flagships", p.flagships.into(), 0.0, p.destinations.into())?;
        within("platform.zones", p.zones.into(), 1.0, 100.0)?;
        within("platform.error_rate", p.error_rate, 0.0, 1.0)?;
        within("platform.handshake_ms", p.handshake_ms, 0.0, 1_000.0)?;
        within("platform.cold_from", p.cold_from, 0.01, 1.0)?;
        within("platform.cold_s", p.cold_s, 0.0, 600.0)?;
        within("clients.retry", c.retry, 0.0, 1.0)?;
        within("clients.honour", c.honour, 0.0, 1.0)?;
        within("clients.strangers", c.strangers, 0.0, 1_000.0)?;
        within("program.ready_s", self.program.ready_s, 0.1, 600.0)?;
        within("program.interval_ms", self.program.interval_ms as f64, 1.0, 60e3)?;
        within("program.disk_mb", self.program.disk_mb, 0.01, 1e6)?;
        range("traffic.clump_s", t.clump_s, 0.1)?;
        range("platform.notice_s", p.notice_s, 0.0)?;
        range("clients.backoff_ms", c.backoff_ms, 0.0)?;
        range("clients.again_ms", c.again_ms, 0.0)?;
        if t.booking > 0.0 && p.flagships == 0 {
            return Err(Fault::new("bookings go to flagships only, and platform.flagships is 0"));
        }
        self.event.iter().try_for_each(|event| self.check_event(event))
    }

    fn check_event(&self, event: &Event) -> Result<(), Fault> {
        let kind = *event.what.get_ref();
        let fault = |what: String| Err(Fault { at: Some(event.what.span().start), what });
        if !(0.0..=self.seconds).contains(&event.at) {
            return fault(format!("at is {}, outside the experiment's {} s", event.at, self.seconds));
        }
        if !(0.0..=3_600.0).contains(&event.lasts) {
            return fault(format!("for is {}, which is no span of up to an hour", event.lasts));
        }
        match (kind.size(), event.size) {
            (Some((low, high)), Some(size)) if (low..=high).contains(&size) => {}
            (Some((low, high)), size) => {
                return fault(format!("size has to be between {low} and {high}, and is {size:?}"));
            }
            (None, Some(_)) => return fault("this event has no size".into()),
            (None, None) => {}
        }
        let (all, name) = if kind.of_senders() {
            (self.senders, "sender")
        } else if kind.of_discovery() {
            (0, "discovery")
        } else {
            (self.platform.destinations, "destination")
        };
        match (event.part, event.which.is_empty()) {
            (None, true) if kind.of_discovery() => {}
            _ if kind.of_discovery() => {
                return fault("it strikes discovery, which has no part and no numbers".into());
            }
            (Some(_), false) => return fault("it has both part and which".into()),
            (None, true) => return fault("it needs part or which".into()),
            (Some(part), true) if !(part > 0.0 && part <= 1.0) => {
                return fault(format!("part is {part}, which is no share"));
            }
            _ => {}
        }
        if let Some(number) = event.which.iter().find(|n| **n >= all && !kind.of_discovery()) {
            return fault(format!("there is no {name} {number}: they count from 0, and there are {all}"));
        }
        match (kind.of_links(), event.link) {
            (true, None) => return fault("it needs link: endpoints, discovery or clients".into()),
            (false, Some(_)) => return fault("it strikes no link".into()),
            _ => {}
        }
        if event.folder != Folder::Keep && !matches!(kind, Kind::Kill | Kind::Terminate) {
            return fault("only a restart has a folder".into());
        }
        Ok(())
    }
}

struct Fault {
    at: Option<usize>,
    what: String,
}

impl Fault {
    fn new(what: impl Into<String>) -> Fault {
        Fault { at: None, what: what.into() }
    }
}

fn within(name: &str, value: f64, low: f64, high: f64) -> Result<(), Fault> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(Fault::new(format!("{name} is {value}, and has to be between {low} and {high}")))
}

fn range(name: &str, [low, high]: [f64; 2], least: f64) -> Result<(), Fault> {
    if least <= low && low <= high && high.is_finite() {
        return Ok(());
    }
    Err(Fault::new(format!("{name} is [{low}, {high}], and has to rise from {least} or more")))
}
