//! The TOML file of an experiment: its types, defaults and validation.
//!
//! Unknown keys are refused. Errors of syntax and errors in events name the line and column.
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use toml::Spanned;

/// Why an experiment can't be read.
#[derive(Debug, thiserror::Error)]
pub enum SpecError {
    #[error("cannot read {path}: {error}")]
    Read { path: PathBuf, error: std::io::Error },
    #[error("{path}: {error}")]
    Syntax { path: PathBuf, error: Box<toml::de::Error> },
    #[error("{path}, line {line}, column {column}: {what}")]
    Value { path: PathBuf, line: usize, column: usize, what: String },
    #[error("{path}: {what}")]
    Invalid { path: PathBuf, what: String },
}

/// An experiment.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    pub title: String,
    /// How long clients hand in new messages, in seconds. A play then goes on until its schedule is over and
    /// each accepted message has ended or is 2 s past its deadline.
    pub seconds: f64,
    /// Number of senders: processes, or in simulated time instances of the decision module.
    pub senders: u32,
    /// Number of plays. Each uses the seed after that of the play before.
    pub repetitions: u32,
    pub traffic: Traffic,
    pub platform: Platform,
    pub clients: Clients,
    pub program: Program,
    /// Faults and other events of the play.
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

/// Traffic of the clients (brief, sections 2.1, 4.4 and 6.2).
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Messages a second over all senders, including those in clumps.
    pub rate: f64,
    /// `rate` as a share of the full load. Limits, slots and queues are sized for the full load.
    pub load: f64,
    /// Amplitude of the rate's sine wave with a period of 20 s, as a share of its mean.
    pub swing: f64,
    /// Share of messages that come in clumps, bursts to one destination.
    pub clumps: f64,
    /// Size of a clump, lowest and highest, in seconds of its destination's rate limit.
    pub clump_s: [f64; 2],
    /// Exponent of the Zipf distribution of destinations' shares.
    pub zipf: f64,
    /// Standard deviation of the logarithm of senders' shares.
    pub sender_spread: f64,
    /// Share of messages of class `booking`; the others are of class `rate-push`.
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

/// Destinations, endpoints and discovery (brief, section 6).
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Platform {
    pub destinations: u32,
    pub endpoints: u32,
    /// Number of destinations that accept bookings: those with the most traffic.
    pub flagships: u32,
    /// Number of zones. Endpoints are assigned to them in turn.
    pub zones: u32,
    /// Shortest and longest delay after which discovery publishes a change, in seconds.
    pub notice_s: [f64; 2],
    /// Share of the calls put into service that fail with 500, with or without a fault.
    pub error_rate: f64,
    /// Additional time of the first call on a new connection, in milliseconds.
    pub handshake_ms: f64,
    /// Share of its capacity that an endpoint has when it is new or returns from an outage.
    pub cold_from: f64,
    /// How long it takes the endpoint to return to full capacity, in seconds.
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

/// How clients retry (PROTOCOL, and brief, section 8).
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Share of refused messages that are handed in a second time.
    pub retry: f64,
    /// Share of those second hand-ins that wait for the time given by `Retry-After`, if the refusal has one.
    pub honour: f64,
    /// Shortest and longest wait of the other second hand-ins, in milliseconds.
    pub backoff_ms: [f64; 2],
    /// Shortest and longest wait before a message that got no answer is handed in again, to another sender if
    /// there is one, in milliseconds.
    pub again_ms: [f64; 2],
    /// Peers a second that send no valid request.
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

/// The sender program under test and its configuration.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Program {
    /// Path of the sender's binary; defaults to that of this build.
    pub path: Option<PathBuf>,
    pub memory_mb: u32,
    pub sockets: u32,
    pub disk_mb: f64,
    /// How long a process may take to be ready, in seconds. After that it counts as never ready, and clients
    /// begin nevertheless (DEPLOY, Limits).
    pub ready_s: f64,
    /// When what senders write to their journal has to be on disk (`store.sync` in their configuration).
    pub sync: Sync,
    /// Time between two syncs with `Sync::Interval`, in milliseconds.
    pub interval_ms: u64,
    /// Seconds between two snapshots of what senders have learned. Without it a killed sender starts with
    /// nothing learned.
    pub learned_s: Option<u64>,
    /// Share in percent of the senders' reads and writes of sockets that return fewer bytes than were there
    /// or would have fitted.
    pub short_counts: u32,
}

/// Values of `store.sync` in a sender's configuration.
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
            short_counts: 0,
        }
    }
}

/// What happens in an event, by the name that the experiment's file gives it. `size` is the event's size.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// Destinations: the processes end, connections are refused, and the endpoints are cold afterwards.
    Down,
    /// Destinations: neither answer nor reset connections; the endpoints are cold afterwards.
    Silent,
    /// Destinations: refuse all calls until the end of the event; the endpoints are cold afterwards.
    Shut,
    /// Destinations: the share `size` of calls fails at once with 500.
    Failing,
    /// Destinations: calls take `size` times as long.
    Slow,
    /// Destinations: the share `size` of answers is not sent, though the call took effect.
    LoseAnswers,
    /// Destinations: the share `size` of calls takes effect, and then the connection is reset without an
    /// answer.
    Reset,
    /// Destinations: the share `size` of answers is malformed.
    Spoil,
    /// Destinations: the rate limit is multiplied by `size`.
    Limit,
    /// Destinations: traffic is added until the added part is the share `size` of all traffic.
    HotDestination,
    /// Senders: traffic is added until the added part is the share `size` of all traffic.
    HotSender,
    /// Destinations: of those with two endpoints or more, the second one drains and is removed 4 s later. A
    /// new one replaces it after `for`, but not before the removal.
    Replace,
    /// Senders: SIGKILL, and a new start after `for`.
    Kill,
    /// Senders: SIGTERM, SIGKILL 3.7 s later if the process still runs, and a new start 3.7 s plus `for`
    /// after the SIGTERM.
    Terminate,
    /// Senders: SIGSTOP, and SIGCONT after `for`.
    Pause,
    /// A link: nothing passes in either direction.
    Cut,
    /// A link: nothing passes from the side that connects.
    CutTo,
    /// A link: nothing passes to the side that connects.
    CutBack,
    /// A link: `size` milliseconds of delay each way, and up to half of that as jitter.
    Delay,
    /// A link: the share `size` of segments is lost and sent again.
    Loss,
    /// A link: the bandwidth is `size` bytes a second each way.
    Trickle,
    /// A link: all connections are reset, once.
    Break,
    /// Discovery answers no request for the list.
    DiscoverySilent,
    /// Discovery answers requests for the list with 503.
    DiscoveryRefuses,
    /// Discovery answers `size` requests for the list a second, and all others with 503.
    DiscoveryCrowded,
    /// Discovery loses its history: every watch gets the whole list again.
    DiscoveryResets,
    /// Discovery moves to another address; senders get it in their configuration, with a SIGHUP.
    DiscoveryMoves,
}

impl EventKind {
    /// Returns true if the event affects senders or their links, rather than destinations or discovery.
    pub fn affects_senders(self) -> bool {
        matches!(self, EventKind::HotSender | EventKind::Kill | EventKind::Terminate | EventKind::Pause)
            || self.affects_links()
    }

    /// Returns true if the event affects links of senders.
    pub fn affects_links(self) -> bool {
        use EventKind::*;
        matches!(self, Cut | CutTo | CutBack | Delay | Loss | Trickle | Break)
    }

    /// Returns true if the event affects discovery.
    pub fn affects_discovery(self) -> bool {
        use EventKind::*;
        matches!(
            self,
            DiscoverySilent | DiscoveryRefuses | DiscoveryCrowded | DiscoveryResets | DiscoveryMoves
        )
    }

    /// Returns true if the event has no duration.
    pub fn is_instantaneous(self) -> bool {
        matches!(self, EventKind::DiscoveryMoves | EventKind::DiscoveryResets | EventKind::Break)
    }

    /// Returns the lowest and highest `size`, or `None` if the event has no size.
    fn size_bounds(self) -> Option<(f64, f64)> {
        match self {
            EventKind::Failing | EventKind::LoseAnswers | EventKind::Reset | EventKind::Spoil => {
                Some((0.0, 1.0))
            }
            EventKind::HotDestination | EventKind::HotSender => Some((0.0, 0.9)),
            EventKind::Loss => Some((0.0, 0.9)),
            EventKind::Delay => Some((0.0, 10_000.0)),
            EventKind::Trickle => Some((100.0, 1e9)),
            EventKind::DiscoveryCrowded => Some((0.01, 1e6)),
            EventKind::Slow => Some((1.0, 100.0)),
            EventKind::Limit => Some((0.01, 100.0)),
            _ => None,
        }
    }
}

/// A link of a sender.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Link {
    /// The sender's connections to all endpoints.
    Endpoints,
    /// The sender's connections to discovery, which takes the notices too.
    Discovery,
    /// The connections of the sender's clients.
    Clients,
}

/// What a restarted sender finds in its state folder.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum StateFolder {
    /// Its own state.
    #[default]
    Keep,
    /// Nothing: the machine was lost, and with it the messages that the sender held.
    Empty,
    /// A copy of the next sender's current state, by mistake. After the sender has refused it, it finds its
    /// own again.
    Another,
}

/// One event of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Event {
    #[serde(rename = "what")]
    pub kind: Spanned<EventKind>,
    /// When the event begins, in seconds after clients have begun.
    pub at: f64,
    /// How long the event lasts, in seconds.
    #[serde(rename = "for", default)]
    pub duration_s: f64,
    /// Affects at least this share of the destinations' traffic, or of the senders. Which ones is drawn from
    /// the seed.
    #[serde(default)]
    pub part: Option<f64>,
    /// Numbers of the destinations or senders that the event affects, in place of `part`.
    #[serde(default)]
    pub which: Vec<u32>,
    /// Strength of the event, if its kind has one; `EventKind` says what it means.
    #[serde(default)]
    pub size: Option<f64>,
    /// What a restarted sender finds in its state folder.
    #[serde(default)]
    pub folder: StateFolder,
    /// Which link is affected, if the event affects links.
    #[serde(default)]
    pub link: Option<Link>,
}

impl Spec {
    /// Reads and validates an experiment's file.
    pub fn read(path: &Path) -> Result<Spec, SpecError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SpecError::Read { path: path.to_path_buf(), error })?;
        Spec::parse(path, &text)
    }

    /// Parses and validates the text of an experiment's file; `path` is for errors only.
    pub fn parse(path: &Path, text: &str) -> Result<Spec, SpecError> {
        let spec: Spec = toml::from_str(text)
            .map_err(|error| SpecError::Syntax { path: path.to_path_buf(), error: Box::new(error) })?;
        spec.validate().map_err(|invalid_value| match invalid_value.offset {
            Some(offset) => {
                let before = &text[..offset.min(text.len())];
                let line = before.matches('\n').count() + 1;
                let column = before.len() - before.rfind('\n').map_or(0, |n| n + 1) + 1;
                SpecError::Value { path: path.to_path_buf(), line, column, what: invalid_value.message }
            }
            None => SpecError::Invalid { path: path.to_path_buf(), what: invalid_value.message },
        })?;
        Ok(spec)
    }

    /// Returns the experiment with one value changed, validated again. `assignment` has the form
    /// `traffic.rate=80`.
    pub fn set(&self, assignment: &str) -> Result<Spec, SpecError> {
        let invalid = |what: String| SpecError::Invalid { path: PathBuf::from(assignment), what };
        let (name, value) =
            assignment.split_once('=').ok_or_else(|| invalid("is not of the form key=value".into()))?;
        // A value that is not valid TOML is taken as a string without quotes.
        let value = toml::from_str::<toml::Table>(&format!("v = {value}"))
            .ok()
            .and_then(|mut t| t.remove("v"))
            .unwrap_or_else(|| toml::Value::String(value.to_string()));
        let mut table = toml::Table::try_from(self).map_err(|e| invalid(e.to_string()))?;
        let (parents, last) = match name.rsplit_once('.') {
            Some((parents, last)) => (parents.split('.').collect(), last),
            None => (Vec::new(), name),
        };
        let mut at = &mut table;
        for parent in parents {
            at = match at.get_mut(parent) {
                Some(toml::Value::Table(inner)) => inner,
                _ => return Err(invalid(format!("there is no table {parent}"))),
            };
        }
        at.insert(last.to_string(), value);
        Spec::parse(Path::new(assignment), &toml::to_string(&table).map_err(|e| invalid(e.to_string()))?)
    }

    fn validate(&self) -> Result<(), InvalidValue> {
        let t = &self.traffic;
        let p = &self.platform;
        let c = &self.clients;
        check_bounds("seconds", self.seconds, 1.0, 3_600.0)?;
        check_bounds("senders", self.senders.into(), 1.0, 100_000.0)?;
        check_bounds("repetitions", self.repetitions.into(), 1.0, 1_000.0)?;
        check_bounds("traffic.rate", t.rate, 0.1, 20_000.0)?;
        check_bounds("traffic.load", t.load, 0.05, 5.0)?;
        check_bounds("traffic.swing", t.swing, 0.0, 1.0)?;
        check_bounds("traffic.clumps", t.clumps, 0.0, 0.9)?;
        check_bounds("traffic.zipf", t.zipf, 0.0, 3.0)?;
        check_bounds("traffic.sender_spread", t.sender_spread, 0.0, 3.0)?;
        check_bounds("traffic.booking", t.booking, 0.0, 1.0)?;
        check_bounds("platform.destinations", p.destinations.into(), 1.0, 1_000.0)?;
        check_bounds(
            "platform.endpoints",
            p.endpoints.into(),
            p.destinations.into(),
            4.0 * f64::from(p.destinations),
        )?;
        check_bounds("platform.flagships", p.flagships.into(), 0.0, p.destinations.into())?;
        check_bounds("platform.zones", p.zones.into(), 1.0, 100.0)?;
        check_bounds("platform.error_rate", p.error_rate, 0.0, 1.0)?;
        check_bounds("platform.handshake_ms", p.handshake_ms, 0.0, 1_000.0)?;
        check_bounds("platform.cold_from", p.cold_from, 0.01, 1.0)?;
        check_bounds("platform.cold_s", p.cold_s, 0.0, 600.0)?;
        check_bounds("clients.retry", c.retry, 0.0, 1.0)?;
        check_bounds("clients.honour", c.honour, 0.0, 1.0)?;
        check_bounds("clients.strangers", c.strangers, 0.0, 1_000.0)?;
        check_bounds("program.ready_s", self.program.ready_s, 0.1, 600.0)?;
        check_bounds("program.short_counts", self.program.short_counts.into(), 0.0, 100.0)?;
        check_bounds("program.interval_ms", self.program.interval_ms as f64, 1.0, 60e3)?;
        check_bounds("program.disk_mb", self.program.disk_mb, 0.01, 1e6)?;
        check_interval("traffic.clump_s", t.clump_s, 0.1)?;
        check_interval("platform.notice_s", p.notice_s, 0.0)?;
        check_interval("clients.backoff_ms", c.backoff_ms, 0.0)?;
        check_interval("clients.again_ms", c.again_ms, 0.0)?;
        if t.booking > 0.0 && p.flagships == 0 {
            return Err(InvalidValue::new(
                "traffic.booking is above 0, but platform.flagships is 0: only flagships accept bookings",
            ));
        }
        self.event.iter().try_for_each(|event| self.validate_event(event))
    }

    fn validate_event(&self, event: &Event) -> Result<(), InvalidValue> {
        let kind = *event.kind.get_ref();
        let invalid_value =
            |message: String| Err(InvalidValue { offset: Some(event.kind.span().start), message });
        if !(0.0..=self.seconds).contains(&event.at) {
            return invalid_value(format!(
                "at is {}, and has to be between 0 and the experiment's {} s",
                event.at, self.seconds
            ));
        }
        if !(0.0..=3_600.0).contains(&event.duration_s) {
            return invalid_value(format!("for is {}, and has to be between 0 and 3600 s", event.duration_s));
        }
        match (kind.size_bounds(), event.size) {
            (Some((low, high)), Some(size)) if (low..=high).contains(&size) => {}
            (Some((low, high)), size) => {
                return invalid_value(format!("size has to be between {low} and {high}, and is {size:?}"));
            }
            (None, Some(_)) => return invalid_value("this event takes no size".into()),
            (None, None) => {}
        }
        let (all, name) = if kind.affects_senders() {
            (self.senders, "sender")
        } else if kind.affects_discovery() {
            (0, "discovery")
        } else {
            (self.platform.destinations, "destination")
        };
        match (event.part, event.which.is_empty()) {
            (None, true) if kind.affects_discovery() => {}
            _ if kind.affects_discovery() => {
                return invalid_value("an event of discovery takes neither part nor which".into());
            }
            (Some(_), false) => return invalid_value("an event takes either part or which, not both".into()),
            (None, true) => return invalid_value("an event needs part or which".into()),
            (Some(part), true) if !(part > 0.0 && part <= 1.0) => {
                return invalid_value(format!("part is {part}, and has to be above 0 and at most 1"));
            }
            _ => {}
        }
        if let Some(number) = event.which.iter().find(|n| **n >= all && !kind.affects_discovery()) {
            return invalid_value(format!(
                "which names {name} {number}, but there are {all}, numbered from 0"
            ));
        }
        match (kind.affects_links(), event.link) {
            (true, None) => {
                return invalid_value("an event on a link needs link: endpoints, discovery or clients".into())
            }
            (false, Some(_)) => return invalid_value("only an event on a link takes link".into()),
            _ => {}
        }
        if event.folder != StateFolder::Keep && !matches!(kind, EventKind::Kill | EventKind::Terminate) {
            return invalid_value("only kill and terminate take folder".into());
        }
        Ok(())
    }
}

/// A value outside its bounds, with its place in the file if that is known.
struct InvalidValue {
    /// Byte offset in the text.
    offset: Option<usize>,
    message: String,
}

impl InvalidValue {
    fn new(message: impl Into<String>) -> InvalidValue {
        InvalidValue { offset: None, message: message.into() }
    }
}

/// Checks that a value is between `low` and `high`.
fn check_bounds(name: &str, value: f64, low: f64, high: f64) -> Result<(), InvalidValue> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(InvalidValue::new(format!("{name} is {value}, and has to be between {low} and {high}")))
}

/// Checks that the bounds of an interval are finite, `least` or more, and not in falling order.
fn check_interval(name: &str, [low, high]: [f64; 2], least: f64) -> Result<(), InvalidValue> {
    if least <= low && low <= high && high.is_finite() {
        return Ok(());
    }
    Err(InvalidValue::new(format!("{name} is [{low}, {high}], and has to rise from {least} or more")))
}
