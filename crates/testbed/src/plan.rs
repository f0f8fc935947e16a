//! The plan of a play: destinations, endpoints, senders, their settings, arrivals and the schedule.
//!
//! All of it is drawn before the play begins, from an experiment and a seed alone: the same pair gives the
//! same plan.
use crate::clock::{from_seconds, Ns, MS, SECOND};
use crate::platform::limit::LimitKind;
use crate::seed::Seed;
use crate::spec::{Event, EventKind, Link, Spec, StateFolder};
use rand::{Rng, RngExt};
use rand_distr::{Distribution, Exp, LogNormal};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// Number of the class `rate-push` (brief, section 5).
pub const RATE_PUSH: usize = 0;
/// Number of the class `booking` (brief, section 5).
pub const BOOKING: usize = 1;
/// How long a replaced endpoint drains before it is removed.
const DRAIN_SPAN: Ns = 4 * SECOND;
/// Time from SIGTERM to SIGKILL, the shortest that is allowed (PROTOCOL, Figures).
const KILL_DELAY: Ns = 3_700 * MS;

/// A class of message.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Class {
    pub name: String,
    /// A message delivered within this time earns its full worth.
    pub aim: Ns,
    pub deadline: Ns,
    pub worth: f64,
    /// Share of the worth that a message delivered at its deadline earns. Between `aim` and the deadline it
    /// falls linearly.
    pub late_worth: f64,
    /// A message of this class may take effect more than once.
    pub may_repeat: bool,
    /// Mean service time at an endpoint with a work factor of 1.
    pub work: Ns,
}

/// Parameters of the judge: the figures of the specification, and the destination of each endpoint.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Terms {
    pub senders: usize,
    pub classes: Vec<Class>,
    /// The destination of each endpoint, by number, including endpoints added during the play.
    pub dest_of: Vec<u32>,
    pub max_attempts: usize,
    /// How long clients hand in messages, from the beginning of the play.
    #[serde(rename = "asking")]
    pub request_span: Ns,
    /// Time over which the calls to a cold endpoint are counted to decide whether it fails under them.
    #[serde(rename = "fall")]
    pub overload_window: Ns,
}

/// A destination of the plan.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Destination {
    /// Takes messages of class `booking` too.
    pub flagship: bool,
    /// Share of all messages.
    pub share: f64,
    #[serde(rename = "form")]
    pub limit_kind: LimitKind,
    /// Rate limit in calls a second, over all senders.
    pub per_s: f64,
    /// Refused calls count against the rate limit too.
    pub counts_refused: bool,
    /// Share of refusals that have a `Retry-After`.
    #[serde(rename = "tells")]
    pub retry_after_share: f64,
    /// Shortest `Retry-After` of a refusal by the rate limit.
    #[serde(rename = "wait")]
    pub min_retry_after: Ns,
    /// Multiplies the service time of calls.
    #[serde(rename = "pace")]
    pub work_factor: f64,
    /// Numbers of its endpoints that are listed from the beginning.
    pub endpoints: Vec<u32>,
}

/// An endpoint of the plan.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Endpoint {
    pub name: String,
    pub dest: u32,
    pub zone: u32,
    /// Number of calls that it serves at a time.
    pub slots: usize,
    /// Number of calls that may wait for a slot.
    pub queue: usize,
    /// Highest number of connections, including idle ones; `None` if there is no bound.
    pub connections: Option<usize>,
    /// Listed from the beginning. Otherwise it replaces another endpoint during the play.
    pub listed: bool,
}

/// A sender of the plan.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Sender {
    pub name: String,
    /// Share of all messages.
    pub share: f64,
    /// Number of calls that it may have in flight.
    pub slots: usize,
    /// Number of messages that it may hold.
    pub max_open: usize,
}

/// A message that a client wants delivered.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Arrival {
    /// When its client first hands it in.
    pub at: Ns,
    pub sender: u32,
    pub dest: u32,
    pub class: usize,
    /// Service time at an endpoint with a work factor of 1.
    pub work: Ns,
    /// Length of the body in bytes.
    pub size: usize,
}

/// A scheduled action. A fault with a duration has two steps: its beginning and its end.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Step {
    pub at: Ns,
    #[serde(rename = "does")]
    pub action: StepAction,
}

/// What the testbed does in a step.
#[derive(Clone, Debug, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum StepAction {
    /// Begin a fault of a destination; `size` is that of the event.
    Begin { dest: u32, kind: EventKind, size: f64, until: Ns },
    /// End a fault of a destination.
    End { dest: u32, kind: EventKind },
    /// Let an endpoint drain.
    Drain { endpoint: u32 },
    /// Remove an endpoint.
    #[serde(rename = "gone")]
    Remove { endpoint: u32 },
    /// Add an endpoint to the list.
    Add { endpoint: u32 },
    /// Send SIGKILL to a sender.
    Kill { sender: u32 },
    /// Send SIGTERM to a sender.
    Terminate { sender: u32 },
    /// Send SIGSTOP to a sender.
    Pause { sender: u32 },
    /// Send SIGCONT to a sender.
    Continue { sender: u32 },
    /// Start a process of a sender.
    Start { sender: u32, folder: StateFolder },
    /// Begin or end a fault of a link.
    Link { sender: u32, link: Link, kind: EventKind, size: f64, begins: bool },
    /// Begin or end a fault of discovery.
    Discovery { kind: EventKind, size: f64, begins: bool },
}

/// The plan of a play.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub seed: Seed,
    pub spec: Spec,
    pub terms: Terms,
    pub destinations: Vec<Destination>,
    pub endpoints: Vec<Endpoint>,
    pub senders: Vec<Sender>,
    pub arrivals: Vec<Arrival>,
    pub schedule: Vec<Step>,
}

/// Returns the classes by number (brief, sections 2.1, 5.1 and 5.2). `work` is the middle of the range that
/// the brief gives.
pub fn classes() -> Vec<Class> {
    vec![
        Class {
            name: "rate-push".into(),
            aim: 2 * SECOND,
            deadline: 20 * SECOND,
            worth: 1.0,
            late_worth: 0.4,
            may_repeat: true,
            work: 160 * MS,
        },
        Class {
            name: "booking".into(),
            aim: 3 * SECOND,
            deadline: 16 * SECOND,
            worth: 3.0,
            late_worth: 0.5,
            may_repeat: false,
            work: 245 * MS,
        },
    ]
}

/// Draws from a uniform distribution.
fn uniform(random: &mut impl Rng, [low, high]: [f64; 2]) -> f64 {
    low + (high - low) * random.random::<f64>()
}

/// Draws an index with the given weights.
fn pick_weighted(random: &mut impl Rng, weights: &[f64]) -> usize {
    let mut rest = random.random::<f64>() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        rest -= weight;
        if rest < 0.0 {
            return i;
        }
    }
    weights.len().saturating_sub(1)
}

impl Plan {
    /// Draws the plan of an experiment from a seed.
    pub fn draw(spec: &Spec, seed: Seed) -> Plan {
        let classes = classes();
        let mut destinations = destinations(spec, seed);
        let mut endpoints = endpoints(spec, seed, &mut destinations, &classes);
        let senders = senders(spec, seed, &classes);
        let events = draw_events(spec, seed, &destinations, &senders);
        let schedule = schedule(&events, &destinations, &mut endpoints);
        let arrivals = arrivals(spec, seed, &destinations, &senders, &events, &classes);
        let terms = Terms {
            senders: senders.len(),
            dest_of: endpoints.iter().map(|e| e.dest).collect(),
            classes,
            max_attempts: 8,
            request_span: from_seconds(spec.seconds),
            overload_window: 3 * SECOND,
        };
        Plan { seed, spec: spec.clone(), terms, destinations, endpoints, senders, arrivals, schedule }
    }

    /// Returns true if the schedule has a step for a link of a sender.
    pub fn has_link_events(&self, link: Link, sender: u32) -> bool {
        let is_for_link = |s: &Step| {
            matches!(
                s.action,
                StepAction::Link { sender: n, link: l, .. } if n == sender && l == link
            )
        };
        self.schedule.iter().any(is_for_link)
    }

    /// Returns the object under `settings` in a sender's configuration (WIRE).
    pub fn settings(&self, sender: usize) -> Value {
        let services: Vec<Value> = self.terms.classes.iter().map(service).collect();
        let zones: Vec<String> = (0..self.spec.platform.zones).map(zone_name).collect();
        let drawn = &self.senders[sender];
        json!({
            "Clients": {"MarksRetry": true}, "Discovery": "automatic", "Family": "deliver",
            "FamilyInfo": {"CallsOut": drawn.slots, "Decay": "line", "KindBatch": [1, 1], "RefusalCost": 0.03,
                "RouteFee": [0.0], "SeparateRoutes": [false, false]},
            "Feedback": {"Fields": [], "Source": "silent"}, "Kinds": ["flagship", "independent"],
            "Limits": {"Cancel": true, "DialTimeoutNs": SECOND, "IdleCloseNs": 10 * SECOND,
                "MaxAttempts": self.terms.max_attempts, "MaxOpen": drawn.max_open,
                "MaxRetryAfterNs": 2 * SECOND, "MayDuplicate": true, "Peers": false, "Probes": true,
                "RetryAfter": true, "StreamsPerConn": 1},
            "Localities": zones, "NInstances": self.senders.len(), "Position": sender,
            "Prices": {"CrossZone": 0.0, "Handshake": 0.02, "LateFail": 0.015, "Probe": 0.01, "Waste": 0.086},
            "Realms": [],
            "Safety": {"AnswerSlackNs": 20 * MS, "ColdNs": from_seconds(self.spec.platform.cold_s),
                "FallMultiple": crate::platform::destination::OVERLOAD_MULTIPLE,
                "OverloadForNs": self.terms.overload_window,
                "StartCapacity": self.spec.platform.cold_from, "StopSendingWithinNs": 500 * MS},
            "Services": services, "Stages": ["channels"], "TickNs": 5 * MS, "Tier": 0, "Weights": "nominal",
            "WorthBy": "request", "Zone": 0,
        })
    }
}

/// Returns the name of a zone in settings and in the list.
pub fn zone_name(zone: u32) -> String {
    format!("sapporo-{}", zone + 1)
}

/// Returns the entry of a class under `Services` in the settings.
fn service(class: &Class) -> Value {
    let effect = if class.may_repeat { "safe" } else { "unsafe" };
    json!({"Name": class.name, "PromiseNs": class.aim, "DeadlineNs": class.deadline, "Effect": effect,
        "DedupScope": "all", "WindowNs": 5 * SECOND, "Worth": class.worth, "LateWorth": class.late_worth,
        "Streamed": false})
}

/// Draws the destinations. Shares follow a Zipf distribution, and flagships have the largest (brief, section
/// 6.3). Rate limits are sized for the calls at full load (sections 6.3 and 6.4).
fn destinations(spec: &Spec, seed: Seed) -> Vec<Destination> {
    let mut random = seed.stream("destinations", 0);
    let (traffic, platform) = (&spec.traffic, &spec.platform);
    let zipf = |i: u32| f64::from(i + 1).powf(-traffic.zipf);
    let all: f64 = (0..platform.destinations).map(zipf).sum();
    let flagships: f64 = (0..platform.flagships).map(zipf).sum();
    let full = traffic.rate / traffic.load;
    (0..platform.destinations)
        .map(|i| {
            let flagship = i < platform.flagships;
            let bookings = if flagship { traffic.booking * zipf(i) / flagships } else { 0.0 };
            let share = bookings + (1.0 - traffic.booking) * zipf(i) / all;
            let (headroom, min_limit, retry_after_share, min_retry_after, work_deviation) = match flagship {
                true => ([0.91, 1.8], [2.5, 4.6], [0.52, 0.89], [0.41, 0.94], 0.48),
                false => ([1.2, 1.8], [1.5, 3.9], [0.04, 0.55], [0.2, 0.97], 0.62),
            };
            let work_factor = LogNormal::<f64>::new(0.0, work_deviation).expect("a finite deviation");
            Destination {
                flagship,
                share,
                limit_kind: if flagship { LimitKind::Rate } else { LimitKind::Window },
                per_s: (full * share * uniform(&mut random, headroom)).max(uniform(&mut random, min_limit)),
                counts_refused: !flagship,
                retry_after_share: uniform(&mut random, retry_after_share),
                min_retry_after: from_seconds(uniform(&mut random, min_retry_after)),
                work_factor: work_factor.sample(&mut random).clamp(0.3, 4.0),
                endpoints: Vec::new(),
            }
        })
        .collect()
}

/// Draws the endpoints: one for each destination, and the others by traffic, at most four for one destination
/// (brief, section 6.1). Slots are sized for a capacity somewhat above the rate limit.
fn endpoints(spec: &Spec, seed: Seed, dests: &mut [Destination], classes: &[Class]) -> Vec<Endpoint> {
    let mut random = seed.stream("endpoints", 0);
    let mut counts = vec![1usize; dests.len()];
    for _ in dests.len()..spec.platform.endpoints as usize {
        let room =
            |(d, count): (&Destination, &usize)| if *count < 4 { d.share / *count as f64 } else { 0.0 };
        let weights: Vec<f64> = dests.iter().zip(&counts).map(room).collect();
        counts[pick_weighted(&mut random, &weights)] += 1;
    }
    let mut all = Vec::new();
    for (number, (dest, count)) in dests.iter_mut().zip(counts).enumerate() {
        let class = if dest.flagship { BOOKING } else { RATE_PUSH };
        let work = classes[class].work as f64 / SECOND as f64 * dest.work_factor;
        let spare = uniform(&mut random, if dest.flagship { [1.2, 1.6] } else { [1.3, 1.6] });
        let each = dest.per_s * spare / count as f64;
        let slots = (each * work).ceil().max(1.0);
        let depth = uniform(&mut random, [0.4, 0.99]);
        let connections = (slots * uniform(&mut random, [2.1, 3.9])).max(uniform(&mut random, [8.3, 16.0]));
        for _ in 0..count {
            dest.endpoints.push(all.len() as u32);
            all.push(Endpoint {
                name: format!("s-{:08x}", random.next_u32()),
                dest: number as u32,
                zone: all.len() as u32 % spec.platform.zones,
                slots: slots as usize,
                queue: (each * depth).ceil().max(2.0) as usize,
                connections: (!dest.flagship).then_some(connections as usize),
                listed: true,
            });
        }
    }
    all
}

/// Draws the senders. Shares follow a lognormal distribution. A sender has 2 to 2.4 times the slots that its
/// share of the full load keeps busy, and may hold the messages of 6.4 to 12 s (brief, section 7.3).
fn senders(spec: &Spec, seed: Seed, classes: &[Class]) -> Vec<Sender> {
    let mut random = seed.stream("senders", 0);
    let spread = LogNormal::new(0.0, spec.traffic.sender_spread).expect("a finite deviation");
    let weights: Vec<f64> = (0..spec.senders).map(|_| spread.sample(&mut random)).collect();
    let all: f64 = weights.iter().sum();
    let booking = spec.traffic.booking;
    let work = classes[RATE_PUSH].work as f64 * (1.0 - booking) + classes[BOOKING].work as f64 * booking;
    let full = spec.traffic.rate / spec.traffic.load;
    weights
        .iter()
        .enumerate()
        .map(|(i, weight)| {
            let share = weight / all;
            let busy = full * share * work / SECOND as f64;
            Sender {
                name: format!("n{i}"),
                share,
                slots: (busy * uniform(&mut random, [2.0, 2.4])).ceil().max(2.0) as usize,
                max_open: (full * share * uniform(&mut random, [6.4, 12.0])).ceil().max(16.0) as usize,
            }
        })
        .collect()
}

/// An event with the numbers of the destinations or senders that it affects.
struct DrawnEvent<'a> {
    event: &'a Event,
    kind: EventKind,
    at: Ns,
    until: Ns,
    numbers: Vec<u32>,
}

/// Draws which destinations or senders each event affects.
fn draw_events<'a>(
    spec: &'a Spec,
    seed: Seed,
    dests: &[Destination],
    senders: &[Sender],
) -> Vec<DrawnEvent<'a>> {
    let draw_event = |(i, event): (usize, &'a Event)| {
        let kind = *event.kind.get_ref();
        let weights: Vec<f64> = match kind {
            _ if kind.affects_discovery() => Vec::new(),
            // `part` is a share of the number of senders, whatever their traffic.
            _ if kind.affects_senders() => vec![1.0 / senders.len() as f64; senders.len()],
            _ => dests.iter().map(|d| d.share).collect(),
        };
        let at = from_seconds(event.at);
        let numbers = match event.part {
            Some(part) => draw_targets(&mut seed.stream("struck", i as u64), weights, part),
            None => event.which.clone(),
        };
        DrawnEvent { event, kind, at, until: at + from_seconds(event.duration_s), numbers }
    };
    spec.event.iter().enumerate().map(draw_event).collect()
}

/// Draws numbers by weight until their weights add up to at least the share `part` of all weights.
fn draw_targets(random: &mut impl Rng, mut weights: Vec<f64>, part: f64) -> Vec<u32> {
    let whole: f64 = weights.iter().sum();
    let (mut sum, mut numbers) = (0.0, Vec::new());
    // Slightly less, as sums of shares have rounding errors.
    while sum < (part - 1e-9) * whole && numbers.len() < weights.len() {
        let next = pick_weighted(random, &weights);
        sum += std::mem::take(&mut weights[next]);
        numbers.push(next as u32);
    }
    numbers.sort_unstable();
    numbers.dedup();
    numbers
}

/// Returns the steps of all events in the order of their times, and adds the endpoints that replace others.
fn schedule(events: &[DrawnEvent], dests: &[Destination], endpoints: &mut Vec<Endpoint>) -> Vec<Step> {
    let mut steps = Vec::new();
    for drawn in events {
        let mut step = |at: Ns, action: StepAction| steps.push(Step { at, action });
        if drawn.kind.affects_discovery() {
            let size = drawn.event.size.unwrap_or(1.0);
            step(drawn.at, StepAction::Discovery { kind: drawn.kind, size, begins: true });
            if !drawn.kind.is_instantaneous() {
                step(drawn.until, StepAction::Discovery { kind: drawn.kind, size, begins: false });
            }
            continue;
        }
        for &number in &drawn.numbers {
            match drawn.kind {
                kind if kind.affects_links() => {
                    let Some(link) = drawn.event.link else { continue };
                    let size = drawn.event.size.unwrap_or(1.0);
                    let action = |begins| StepAction::Link { sender: number, link, kind, size, begins };
                    step(drawn.at, action(true));
                    if !kind.is_instantaneous() {
                        step(drawn.until, action(false));
                    }
                }
                EventKind::Kill => {
                    step(drawn.at, StepAction::Kill { sender: number });
                    step(drawn.until, StepAction::Start { sender: number, folder: drawn.event.folder });
                }
                EventKind::Terminate => {
                    step(drawn.at, StepAction::Terminate { sender: number });
                    step(drawn.at + KILL_DELAY, StepAction::Kill { sender: number });
                    let at = drawn.until + KILL_DELAY;
                    step(at, StepAction::Start { sender: number, folder: drawn.event.folder });
                }
                EventKind::Pause => {
                    step(drawn.at, StepAction::Pause { sender: number });
                    step(drawn.until, StepAction::Continue { sender: number });
                }
                EventKind::Replace => {
                    let Some(&old) = dests[number as usize].endpoints.get(1) else { continue };
                    let new = endpoints.len() as u32;
                    let template = endpoints[old as usize].clone();
                    let name = format!("{}-b", template.name);
                    endpoints.push(Endpoint { name, listed: false, ..template });
                    step(drawn.at, StepAction::Drain { endpoint: old });
                    step(drawn.at + DRAIN_SPAN, StepAction::Remove { endpoint: old });
                    step(drawn.until.max(drawn.at + DRAIN_SPAN), StepAction::Add { endpoint: new });
                }
                // These only change the arrivals.
                EventKind::HotDestination | EventKind::HotSender => {}
                kind => {
                    let size = drawn.event.size.unwrap_or(1.0);
                    step(drawn.at, StepAction::Begin { dest: number, kind, size, until: drawn.until });
                    step(drawn.until, StepAction::End { dest: number, kind });
                }
            }
        }
    }
    steps.sort_by_key(|s| s.at);
    steps
}

/// Returns the traffic at a time as a multiple of its mean: a sine wave with a period of 20 s.
fn rate_factor(spec: &Spec, at: Ns) -> f64 {
    1.0 + spec.traffic.swing * (at as f64 / (20 * SECOND) as f64 * std::f64::consts::TAU).sin()
}

/// Draws the arrivals: a Poisson process with a changing rate, and clumps.
fn arrivals(
    spec: &Spec,
    seed: Seed,
    dests: &[Destination],
    senders: &[Sender],
    events: &[DrawnEvent],
    classes: &[Class],
) -> Vec<Arrival> {
    let end = from_seconds(spec.seconds);
    let traffic = &spec.traffic;
    let mut random = seed.stream("arrivals", 0);
    let mut sampler = MessageSampler::new(seed, spec, dests, senders, events, classes);
    let mut all = Vec::new();
    // Draws a Poisson process of the highest rate and thins it to the current rate.
    let max_rate =
        traffic.rate * (1.0 - traffic.clumps) * (1.0 + traffic.swing) * (1.0 + sampler.max_extra_traffic());
    let gap = Exp::new(max_rate / SECOND as f64).expect("a positive rate");
    let mut at = 0.0;
    loop {
        at += gap.sample(&mut random);
        let now = at as Ns;
        if now >= end {
            break;
        }
        let rate = traffic.rate
            * (1.0 - traffic.clumps)
            * rate_factor(spec, now)
            * (1.0 + sampler.extra_traffic(now));
        if random.random::<f64>() * max_rate < rate {
            all.push(sampler.message(now, None));
        }
    }
    let clumped = (traffic.rate * traffic.clumps * spec.seconds) as usize;
    let mut random = seed.stream("clumps", 0);
    let mut sent = 0;
    while sent < clumped {
        let shares: Vec<f64> = dests.iter().map(|d| d.share).collect();
        let dest = pick_weighted(&mut random, &shares);
        let size = (dests[dest].per_s * uniform(&mut random, traffic.clump_s)).ceil() as usize;
        let from = (random.random::<f64>() * end as f64) as Ns;
        for _ in 0..size.min(clumped - sent) {
            // A clump arrives within half a second.
            let at = from + (random.random::<f64>() * 0.5 * SECOND as f64) as Ns;
            all.push(sampler.message(at.min(end - 1), Some(dest)));
        }
        sent += size;
    }
    all.sort_by_key(|a| a.at);
    all
}

/// Draws sender, destination, class, work and size of single messages.
struct MessageSampler<'a> {
    random: rand_chacha::ChaCha8Rng,
    dests: &'a [Destination],
    events: &'a [DrawnEvent<'a>],
    classes: &'a [Class],
    booking: f64,
    dest_weights: Vec<f64>,
    flagship_weights: Vec<f64>,
    sender_weights: Vec<f64>,
    /// Distributions of a message's work as a multiple of its class's mean: `rate-push` exponential,
    /// `booking` lognormal (brief, sections 5.1 and 5.2).
    spread: (Exp<f64>, LogNormal<f64>),
}

impl<'a> MessageSampler<'a> {
    fn new(
        seed: Seed,
        spec: &Spec,
        dests: &'a [Destination],
        senders: &[Sender],
        events: &'a [DrawnEvent<'a>],
        classes: &'a [Class],
    ) -> MessageSampler<'a> {
        let zipf = |i: usize| (i as f64 + 1.0).powf(-spec.traffic.zipf);
        let flagship = |(i, d): (usize, &Destination)| if d.flagship { zipf(i) } else { 0.0 };
        let exp = Exp::new(1.0).expect("a positive rate");
        // A mean of 1 and a coefficient of variation of 0.9.
        let variance = (1.0 + 0.9f64 * 0.9).ln();
        let lognormal = LogNormal::new(-variance / 2.0, variance.sqrt()).expect("a finite deviation");
        MessageSampler {
            random: seed.stream("messages", 0),
            dests,
            events,
            classes,
            booking: spec.traffic.booking,
            dest_weights: (0..dests.len()).map(zipf).collect(),
            flagship_weights: dests.iter().enumerate().map(flagship).collect(),
            sender_weights: senders.iter().map(|s| s.share).collect(),
            spread: (exp, lognormal),
        }
    }

    /// Returns the events that add traffic at a time.
    fn active_hot_events(&self, at: Ns) -> impl Iterator<Item = &DrawnEvent<'a>> + use<'_, 'a> {
        let hot = |s: &&DrawnEvent| matches!(s.kind, EventKind::HotDestination | EventKind::HotSender);
        self.events.iter().filter(hot).filter(move |s| (s.at..s.until).contains(&at))
    }

    /// Returns the added traffic at a time, as a multiple of the usual traffic.
    fn extra_traffic(&self, at: Ns) -> f64 {
        self.active_hot_events(at).filter_map(|s| s.event.size).map(|size| size / (1.0 - size)).sum()
    }

    /// Returns a bound on `extra_traffic`: its value if all events were active at once.
    fn max_extra_traffic(&self) -> f64 {
        let size = |s: &DrawnEvent| s.event.size.map_or(0.0, |size| size / (1.0 - size));
        self.events
            .iter()
            .filter(|s| matches!(s.kind, EventKind::HotDestination | EventKind::HotSender))
            .map(size)
            .sum()
    }

    /// Draws a message that arrives at a time, for `dest` if that is given.
    fn message(&mut self, at: Ns, dest: Option<usize>) -> Arrival {
        let hot = self.extra_traffic(at);
        let mut sender = None;
        let mut hot_dest = None;
        if self.random.random::<f64>() * (1.0 + hot) < hot {
            let hot_events: Vec<(EventKind, f64, Vec<u32>)> = self
                .active_hot_events(at)
                .map(|s| (s.kind, s.event.size.unwrap_or(0.0), s.numbers.clone()))
                .collect();
            let weights: Vec<f64> = hot_events.iter().map(|o| o.1 / (1.0 - o.1)).collect();
            let (kind, _, numbers) = &hot_events[pick_weighted(&mut self.random, &weights)];
            let number = numbers[self.random.random_range(0..numbers.len())] as usize;
            match kind {
                EventKind::HotSender => sender = Some(number),
                _ => hot_dest = Some(number),
            }
        }
        let sender = sender.unwrap_or_else(|| pick_weighted(&mut self.random, &self.sender_weights));
        let bookable = |d: usize| self.dests[d].flagship;
        let class = match dest.or(hot_dest) {
            Some(d) if !bookable(d) => RATE_PUSH,
            _ if self.random.random::<f64>() < self.booking => BOOKING,
            _ => RATE_PUSH,
        };
        let dest = dest.or(hot_dest).unwrap_or_else(|| {
            let weights = if class == BOOKING { &self.flagship_weights } else { &self.dest_weights };
            pick_weighted(&mut self.random, weights)
        });
        let spread = match class {
            BOOKING => self.spread.1.sample(&mut self.random),
            _ => self.spread.0.sample(&mut self.random),
        };
        let work = self.classes[class].work as f64 * spread;
        Arrival {
            at,
            sender: sender as u32,
            dest: dest as u32,
            class,
            work: (work as Ns).max(MS),
            size: self.random.random_range(100..1_000),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec(text: &str) -> Spec {
        Spec::parse(std::path::Path::new("test.toml"), text).unwrap()
    }

    #[test]
    fn same_seed_draws_same_plan() {
        let spec = Spec::default();
        assert_eq!(Plan::draw(&spec, Seed(5)), Plan::draw(&spec, Seed(5)));
        assert_ne!(Plan::draw(&spec, Seed(5)).arrivals, Plan::draw(&spec, Seed(6)).arrivals);
    }

    #[test]
    fn arrivals_have_configured_rate_shares_and_classes() {
        let spec = spec("seconds = 400\n[traffic]\nrate = 50.0");
        let plan = Plan::draw(&spec, Seed(1));
        let count = plan.arrivals.len() as f64;
        assert!((count / 20_000.0 - 1.0).abs() < 0.05, "{count} of 20000");
        let bookings = plan.arrivals.iter().filter(|a| a.class == BOOKING);
        assert!(bookings.clone().all(|a| plan.destinations[a.dest as usize].flagship));
        // Clumps for a destination that is no flagship contain no bookings, so their share is below
        // `traffic.booking`.
        assert!((0.33..0.41).contains(&(bookings.count() as f64 / count)));
        let to_first = plan.arrivals.iter().filter(|a| a.dest == 0).count() as f64 / count;
        let share = plan.destinations[0].share;
        assert!((to_first - share).abs() < 0.05, "{to_first} of the messages for a share of {share}");
        assert!(plan.arrivals.windows(2).all(|w| w[0].at <= w[1].at));
    }

    #[test]
    fn hot_destination_gets_added_share_during_event() {
        let hot = "seconds = 200\n[[event]]\nwhat = 'hot-destination'\nat = 100\nfor = 100\nwhich = [7]\nsize = 0.4";
        let plan = Plan::draw(&spec(hot), Seed(3));
        let share = |from: Ns, to: Ns| {
            let in_span = plan.arrivals.iter().filter(|a| (from..to).contains(&a.at));
            in_span.clone().filter(|a| a.dest == 7).count() as f64 / in_span.count() as f64
        };
        let (before, after) = (share(0, 100 * SECOND), share(100 * SECOND, 200 * SECOND));
        assert!(before < 0.1 && (after - before - 0.4).abs() < 0.08, "{before}, then {after}");
    }

    #[test]
    fn events_affect_configured_part_and_end() {
        let text = "[[event]]\nwhat = 'shut'\nat = 5\nfor = 7\npart = 0.2\n[[event]]\nwhat = 'kill'\nat = 9\nfor = 1\npart = 0.5";
        let plan = Plan::draw(&spec(text), Seed(11));
        let begun = |s: &&Step| matches!(s.action, StepAction::Begin { .. });
        let shares = plan.schedule.iter().filter(begun).map(|s| match s.action {
            StepAction::Begin { dest, .. } => plan.destinations[dest as usize].share,
            _ => 0.0,
        });
        assert!(shares.sum::<f64>() >= 0.2);
        let kills = plan.schedule.iter().filter(|s| matches!(s.action, StepAction::Kill { .. })).count();
        let starts = plan.schedule.iter().filter(|s| matches!(s.action, StepAction::Start { .. })).count();
        assert_eq!((kills, starts), (2, 2), "half of three senders is two");
    }
}
