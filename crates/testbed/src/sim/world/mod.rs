//! A play in simulated time: an event loop over clients, senders, endpoints, discovery and the schedule.
mod calls;
mod clients;
mod lists;
mod processes;
mod schedule;

use super::network::{Calls, ConnectionPools};
use super::queue::EventQueue;
use super::senders::{Process, Sender};
use super::SimError;
use crate::client_retry::RetryState;
use crate::clock::{Ns, MS, SECOND};
use crate::facts::{Fact, FactKind, HandInResult, MessageId, Notice, ProcessEvent};
use crate::plan::Plan;
use crate::platform::destination::{CallNumber, Destination};
use crate::platform::list::{EndpointList, Lifecycle};
use crate::relay::shape::Flow;
use crate::relay::LinkCondition;
use crate::spec::{EventKind, Link, StateFolder};
use rand_chacha::ChaCha8Rng;
use sender::api::{Event, MsgId, Outcome};
use std::collections::{BTreeMap, HashMap};

/// How long a client waits for the answer to a hand-in (PROTOCOL).
const CLIENT_TIMEOUT: Ns = 400 * MS;
/// How long a process that is started during the play takes to be ready. Those started at its beginning are
/// ready at once.
const STARTUP_SPAN: Ns = 150 * MS;
/// Time from SIGTERM to the exit of a process: the limit `END_BY` of the sender program.
const SHUTDOWN_SPAN: Ns = 3_300 * MS;
/// A notice that could not be sent is sent again after this time.
const NOTICE_RETRY_DELAY: Ns = 500 * MS;
/// The play ends at the latest this long after the longest deadline, which is counted from the end of the
/// requests or the last step of the schedule, if that is later.
const END_GRACE: Ns = 2 * SECOND;
/// Interval between checks whether the play can end early, as no message is held and no retry is scheduled.
const END_CHECK_INTERVAL: Ns = 100 * MS;

/// An event of the simulation.
///
/// `request` is the number of an arrival in the plan; each of its hand-ins has a `wire_id` of its own.
/// `incarnation` is the number of the sender's processes that had become ready when the event was scheduled.
/// The event is dropped if another has become ready since, or if the process is no longer in the state that
/// the event needs.
enum SimEvent {
    /// A client hands in the message of a request for the first time.
    FirstHandIn(u32),
    /// A client hands in the message of a request again.
    NextHandIn(u32),
    /// A hand-in reaches its sender.
    HandInReceived { request: u32, wire_id: MessageId, sender: u32, handed_in_at: Ns },
    /// A client learns how its hand-in ended. `retry_after` is the wait that the answer asked for, if any.
    HandInEnds { request: u32, wire_id: MessageId, result: HandInResult, retry_after: Option<Ns> },
    /// A sender's module decides on its inbox.
    RunRound { sender: u32, incarnation: u32 },
    /// The timer of a sender's module may be due.
    TimerDue { sender: u32, incarnation: u32 },
    /// A call reaches its endpoint.
    CallReceived { call: CallNumber, new_connection: bool },
    /// The endpoint begins to handle a call: at once, or after the handshake if its connection is new.
    CallHandlingBegins { call: CallNumber },
    /// The service of a call ends.
    ServiceEnds { dest: u32, index: usize, call: CallNumber },
    /// A sender learns how a call ended. `wait` is the retry-after of the answer (0 if none), `done` means
    /// that the message has ended, and `connection_kept` that the connection stays open.
    CallEnds { call: CallNumber, outcome: Outcome, wait: Ns, done: bool, connection_kept: bool },
    /// A call reaches the time limit that its sender gave it, or its message's deadline.
    CallTimesOut { call: CallNumber },
    /// A sender learns how a probe ended.
    ProbeEnds { sender: u32, incarnation: u32, endpoint: u32, outcome: Outcome },
    /// A notice reaches discovery. `retry_in` is the wait that it asks of the client, if any.
    NoticeReceived { request: u32, wire_id: MessageId, sender: u32, notice: Notice, retry_in: Option<Ns> },
    /// A step of the schedule, by number.
    ScheduledStep(usize),
    /// Discovery publishes the change of an endpoint.
    PublishChange { endpoint: u32, lifecycle: Lifecycle },
    /// A started process is ready.
    ProcessReady { sender: u32, incarnation: u32 },
    /// A process ends after SIGTERM.
    ProcessExits { sender: u32, incarnation: u32 },
    /// Checks whether the play can end.
    CheckEnd,
}

/// A client whose request has not ended: its retries and its random stream.
struct PendingRequest {
    client: RetryState,
    random: ChaCha8Rng,
}

/// The state of a link for which the schedule has faults: its condition and the flow of each direction.
struct LinkState {
    condition: LinkCondition,
    forward: Flow,
    reverse: Flow,
}

/// The state of a play in simulated time.
pub struct World<'a> {
    plan: &'a Plan,
    now: Ns,
    queue: EventQueue<SimEvent>,
    facts: Vec<Fact>,
    senders: Vec<Sender>,
    /// The request of each message that a sender holds.
    requests: HashMap<(u32, MsgId), u32>,
    pending: HashMap<u32, PendingRequest>,
    dests: Vec<Destination>,
    /// By endpoint: whether its process exists.
    present: Vec<bool>,
    /// By endpoint: its destination, and its index there.
    locations: Vec<(u32, usize)>,
    calls: Calls,
    next_call: CallNumber,
    pools: ConnectionPools,
    list: EndpointList,
    /// By sender: the generation of the last list sent to it.
    sent_generations: Vec<u64>,
    /// Current faults of discovery.
    discovery_faults: Vec<EventKind>,
    links: BTreeMap<(Link, u32), LinkState>,
    /// Random stream for the delays after which changes are published. Its name, `notices`, has to stay: it
    /// determines the delays that a seed gives.
    publish_delays: ChaCha8Rng,
    /// When the latest change scheduled so far is published; later ones are not published before it.
    last_publish_at: Ns,
    /// Random stream for the seeds of senders' processes.
    process_seeds: ChaCha8Rng,
    /// Number of scheduled `NextHandIn` events.
    waiting_retries: usize,
}

impl<'a> World<'a> {
    /// Creates the state at the beginning of a play.
    pub fn new(plan: &'a Plan) -> Result<World<'a>, SimError> {
        let senders = (0..plan.senders.len()).map(|n| Sender::new(plan, n)).collect::<Result<Vec<_>, _>>()?;
        let dest = |(number, drawn): (usize, &crate::plan::Destination)| {
            let own = plan.endpoints.iter().filter(|e| e.dest == number as u32).cloned().collect::<Vec<_>>();
            let random = plan.seed.stream("destination", number as u64);
            Destination::new(drawn, &own, &plan.spec.platform, random)
        };
        let mut links = BTreeMap::new();
        for link in [Link::Endpoints, Link::Discovery, Link::Clients] {
            for sender in (0..senders.len() as u32).filter(|s| plan.has_link_events(link, *s)) {
                // One stream for each link, sender and direction.
                let flow = |name| Flow::new(plan.seed.stream(name, (link as u64) << 32 | u64::from(sender)));
                let state = LinkState {
                    condition: LinkCondition::default(),
                    forward: flow("sim to"),
                    reverse: flow("sim back"),
                };
                links.insert((link, sender), state);
            }
        }
        let location = |(number, e): (usize, &crate::plan::Endpoint)| {
            (e.dest, plan.endpoints[..number].iter().filter(|before| before.dest == e.dest).count())
        };
        let listed = plan.endpoints.iter().enumerate().filter(|(_, e)| e.listed).map(|(i, _)| i as u32);
        Ok(World {
            now: 0,
            queue: EventQueue::default(),
            facts: Vec::new(),
            sent_generations: vec![0; senders.len()],
            senders,
            requests: HashMap::new(),
            pending: HashMap::new(),
            dests: plan.destinations.iter().enumerate().map(dest).collect(),
            present: plan.endpoints.iter().map(|e| e.listed).collect(),
            locations: plan.endpoints.iter().enumerate().map(location).collect(),
            calls: Calls::new(),
            next_call: 1,
            pools: ConnectionPools::default(),
            list: EndpointList::new(listed),
            discovery_faults: Vec::new(),
            links,
            publish_delays: plan.seed.stream("notices", 0),
            last_publish_at: 0,
            process_seeds: plan.seed.stream("processes", 0),
            waiting_retries: 0,
            plan,
        })
    }

    /// Runs the play to its end and returns the facts in the order of their times.
    pub fn run(mut self) -> Vec<Fact> {
        for sender in 0..self.senders.len() as u32 {
            self.start_process(sender, StateFolder::Keep, 0);
        }
        for (number, arrival) in self.plan.arrivals.iter().enumerate() {
            self.queue.push(arrival.at, SimEvent::FirstHandIn(number as u32));
        }
        for (number, step) in self.plan.schedule.iter().enumerate() {
            self.queue.push(step.at, SimEvent::ScheduledStep(number));
        }
        let request_span = self.plan.terms.request_span;
        let longest_deadline = self.plan.terms.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let last_step_at = self.plan.schedule.last().map_or(0, |s| s.at);
        let latest_end = request_span.max(last_step_at) + longest_deadline + END_GRACE;
        self.queue.push(request_span.max(last_step_at) + END_CHECK_INTERVAL, SimEvent::CheckEnd);
        while let Some((at, event)) = self.queue.pop() {
            if at > latest_end {
                break;
            }
            self.now = at;
            if let SimEvent::CheckEnd = event {
                if self.waiting_retries == 0 && self.senders.iter().all(|s| s.held.is_empty()) {
                    break;
                }
                self.queue.push(at + END_CHECK_INTERVAL, SimEvent::CheckEnd);
                continue;
            }
            self.handle(event);
        }
        self.facts.sort_by_key(|f| f.at);
        self.facts
    }

    fn record(&mut self, kind: FactKind) {
        self.facts.push(Fact { at: self.now, kind });
    }

    /// Schedules an event after a span of time.
    fn after(&mut self, span: Ns, event: SimEvent) {
        self.queue.push(self.now + span, event);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::FirstHandIn(request) => self.first_hand_in(request),
            SimEvent::NextHandIn(request) => {
                self.waiting_retries -= 1;
                self.hand_in(request);
            }
            SimEvent::HandInReceived { request, wire_id, sender, handed_in_at } => {
                self.receive_hand_in(request, wire_id, sender, handed_in_at)
            }
            SimEvent::HandInEnds { request, wire_id, result, retry_after } => {
                self.end_hand_in(request, wire_id, result, retry_after)
            }
            SimEvent::RunRound { sender, incarnation } => {
                let sender_state = &self.senders[sender as usize];
                if sender_state.incarnation == incarnation
                    && sender_state.round_scheduled
                    && matches!(sender_state.process, Process::Up | Process::Ending)
                {
                    self.run_round(sender);
                }
            }
            SimEvent::TimerDue { sender, incarnation } => {
                let sender_state = &self.senders[sender as usize];
                if sender_state.incarnation == incarnation
                    && sender_state.timer.is_some_and(|at| at <= self.now)
                {
                    self.schedule_round(sender);
                }
            }
            SimEvent::CallReceived { call, new_connection } => self.receive_call(call, new_connection),
            SimEvent::CallHandlingBegins { call } => self.process_call(call),
            SimEvent::ServiceEnds { dest, index, call } => {
                let outputs = self.dests[dest as usize].finish(self.now, index, call);
                self.apply_outputs(dest, outputs);
            }
            SimEvent::CallEnds { call, outcome, wait, done, connection_kept } => {
                self.end_call(call, outcome, wait, done, connection_kept)
            }
            SimEvent::CallTimesOut { call } => self.cancel_call(call, Outcome::NoAnswer),
            SimEvent::ProbeEnds { sender, incarnation, endpoint, outcome } => {
                if self.senders[sender as usize].incarnation == incarnation {
                    let probed = Event::Probed { endpoint, outcome, report: None };
                    self.push_event(sender, probed);
                }
            }
            SimEvent::NoticeReceived { request, wire_id, sender, notice, retry_in } => {
                self.receive_notice(request, wire_id, sender, notice, retry_in)
            }
            SimEvent::ScheduledStep(number) => {
                let plan = self.plan;
                self.apply_step(&plan.schedule[number].action);
            }
            SimEvent::PublishChange { endpoint, lifecycle } => {
                self.list.set(endpoint, lifecycle);
                self.send_list_changes();
            }
            SimEvent::ProcessReady { sender, incarnation } => self.process_ready(sender, incarnation),
            SimEvent::ProcessExits { sender, incarnation } => {
                let sender_state = &self.senders[sender as usize];
                if sender_state.incarnation == incarnation && sender_state.process == Process::Ending {
                    self.end_process(sender, ProcessEvent::Exited { expected: true });
                }
            }
            SimEvent::CheckEnd => {}
        }
    }
}
