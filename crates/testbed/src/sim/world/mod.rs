//! The play in simulated time: clients, senders, endpoints and the schedule, event by event.
mod calls;
mod clients;
mod lists;
mod processes;
mod schedule;

use super::network::{Calls, Pools};
use super::queue::Queue;
use super::senders::{Process, Sender};
use super::SimError;
use crate::client_retry::RetryState;
use crate::clock::{Ns, MS, SECOND};
use crate::facts::{Fact, FactKind, HandInResult, MessageId, Notice, ProcessEvent};
use crate::plan::Plan;
use crate::platform::destination::{CallNumber, Destination};
use crate::platform::list::{EndpointList, Lifecycle};
use crate::relay::shape::Lane;
use crate::relay::Condition;
use crate::spec::{EventKind, Link, StateFolder};
use rand_chacha::ChaCha8Rng;
use sender::api::{Event, MsgId, Outcome};
use std::collections::{BTreeMap, HashMap};

/// A client's patience, and what it takes a process to be ready and, after SIGTERM, to end (as seen of the sender).
const PATIENCE: Ns = 400 * MS;
const READY: Ns = 150 * MS;
const ENDS: Ns = 3_300 * MS;
/// A notice that did not get through is sent again after so long.
const NOTICE_AGAIN: Ns = 500 * MS;
/// How long after the last message's time the play goes on, and how often it looks whether it may end sooner.
const GRACE: Ns = 2 * SECOND;
const LOOK: Ns = 100 * MS;

enum Happens {
    /// A client wants its message delivered, or comes again with it.
    Ask(u32),
    Again(u32),
    Offer {
        request: u32,
        wire: MessageId,
        sender: u32,
        handed: Ns,
    },
    /// A client hears how its hand-in ended.
    Hears {
        request: u32,
        wire: MessageId,
        heard: HandInResult,
        told: Option<Ns>,
    },
    Round {
        sender: u32,
        life: u32,
    },
    Wake {
        sender: u32,
        life: u32,
    },
    Comes {
        call: CallNumber,
        fresh: bool,
    },
    Arrives {
        call: CallNumber,
    },
    Finish {
        dest: u32,
        place: usize,
        call: CallNumber,
    },
    /// What the sender learns of a call; `keeps` its connection.
    Ends {
        call: CallNumber,
        outcome: Outcome,
        wait: Ns,
        done: bool,
        keeps: bool,
    },
    /// The sender waits no longer.
    Limit {
        call: CallNumber,
    },
    Probed {
        sender: u32,
        life: u32,
        endpoint: u32,
        outcome: Outcome,
    },
    Notice {
        request: u32,
        wire: MessageId,
        sender: u32,
        notice: Notice,
        retry_in: Option<Ns>,
    },
    Step(usize),
    Publish {
        endpoint: u32,
        lifecycle: Lifecycle,
    },
    Ready {
        sender: u32,
        life: u32,
    },
    Exit {
        sender: u32,
        life: u32,
    },
    Look,
}

/// A client with its message.
struct Asking {
    client: RetryState,
    random: ChaCha8Rng,
}

struct Way {
    condition: Condition,
    to: Lane,
    back: Lane,
}

pub struct World<'a> {
    plan: &'a Plan,
    now: Ns,
    queue: Queue<Happens>,
    facts: Vec<Fact>,
    senders: Vec<Sender>,
    /// Whom a sender's message belongs to.
    requests: HashMap<(u32, MsgId), u32>,
    asking: HashMap<u32, Asking>,
    dests: Vec<Destination>,
    present: Vec<bool>,
    /// Each endpoint's destination, and its place there.
    places: Vec<(u32, usize)>,
    calls: Calls,
    next_call: CallNumber,
    pools: Pools,
    list: EndpointList,
    /// The list's version that each sender was told last.
    told: Vec<u64>,
    /// Troubles of discovery under way.
    discovery: Vec<EventKind>,
    links: BTreeMap<(Link, u32), Way>,
    late: ChaCha8Rng,
    /// When the last change is told that there was.
    published: Ns,
    seeds: ChaCha8Rng,
    /// Clients that are to come again.
    away: usize,
}

impl<'a> World<'a> {
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
                let lane = |way| Lane::new(plan.seed.stream(way, (link as u64) << 32 | u64::from(sender)));
                let way = Way { condition: Condition::default(), to: lane("sim to"), back: lane("sim back") };
                links.insert((link, sender), way);
            }
        }
        let place = |(number, e): (usize, &crate::plan::Endpoint)| {
            (e.dest, plan.endpoints[..number].iter().filter(|before| before.dest == e.dest).count())
        };
        let listed = plan.endpoints.iter().enumerate().filter(|(_, e)| e.listed).map(|(i, _)| i as u32);
        Ok(World {
            now: 0,
            queue: Queue::default(),
            facts: Vec::new(),
            told: vec![0; senders.len()],
            senders,
            requests: HashMap::new(),
            asking: HashMap::new(),
            dests: plan.destinations.iter().enumerate().map(dest).collect(),
            present: plan.endpoints.iter().map(|e| e.listed).collect(),
            places: plan.endpoints.iter().enumerate().map(place).collect(),
            calls: Calls::new(),
            next_call: 1,
            pools: Pools::default(),
            list: EndpointList::new(listed),
            discovery: Vec::new(),
            links,
            late: plan.seed.stream("notices", 0),
            published: 0,
            seeds: plan.seed.stream("processes", 0),
            away: 0,
            plan,
        })
    }

    /// Plays to the end; the facts are in the order of their times.
    pub fn run(mut self) -> Vec<Fact> {
        for sender in 0..self.senders.len() as u32 {
            self.start(sender, StateFolder::Keep, 0);
        }
        for (number, arrival) in self.plan.arrivals.iter().enumerate() {
            self.queue.push(arrival.at, Happens::Ask(number as u32));
        }
        for (number, step) in self.plan.schedule.iter().enumerate() {
            self.queue.push(step.at, Happens::Step(number));
        }
        let asked = self.plan.terms.request_span;
        let last = self.plan.terms.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let scheduled = self.plan.schedule.last().map_or(0, |s| s.at);
        let over = asked.max(scheduled) + last + GRACE;
        self.queue.push(asked.max(scheduled) + LOOK, Happens::Look);
        while let Some((at, happens)) = self.queue.pop() {
            if at > over {
                break;
            }
            self.now = at;
            if let Happens::Look = happens {
                if self.away == 0 && self.senders.iter().all(|s| s.held.is_empty()) {
                    break;
                }
                self.queue.push(at + LOOK, Happens::Look);
                continue;
            }
            self.happen(happens);
        }
        self.facts.sort_by_key(|f| f.at);
        self.facts
    }

    fn record(&mut self, kind: FactKind) {
        self.facts.push(Fact { at: self.now, kind });
    }

    fn after(&mut self, span: Ns, happens: Happens) {
        self.queue.push(self.now + span, happens);
    }

    fn happen(&mut self, happens: Happens) {
        match happens {
            Happens::Ask(request) => self.ask(request),
            Happens::Again(request) => {
                self.away -= 1;
                self.hand_in(request);
            }
            Happens::Offer { request, wire, sender, handed } => self.offer(request, wire, sender, handed),
            Happens::Hears { request, wire, heard, told } => self.hears(request, wire, heard, told),
            Happens::Round { sender, life } => {
                let one = &self.senders[sender as usize];
                if one.life == life && one.round && matches!(one.process, Process::Up | Process::Ending) {
                    self.round(sender);
                }
            }
            Happens::Wake { sender, life } => {
                let one = &self.senders[sender as usize];
                if one.life == life && one.timer.is_some_and(|at| at <= self.now) {
                    self.rouse(sender);
                }
            }
            Happens::Comes { call, fresh } => self.comes(call, fresh),
            Happens::Arrives { call } => self.arrives(call),
            Happens::Finish { dest, place, call } => {
                let outs = self.dests[dest as usize].finish(self.now, place, call);
                self.carry_out(dest, outs);
            }
            Happens::Ends { call, outcome, wait, done, keeps } => self.ends(call, outcome, wait, done, keeps),
            Happens::Limit { call } => self.leave(call, Outcome::NoAnswer),
            Happens::Probed { sender, life, endpoint, outcome } => {
                if self.senders[sender as usize].life == life {
                    let probed = Event::Probed { endpoint, outcome, report: None };
                    self.tell(sender, probed);
                }
            }
            Happens::Notice { request, wire, sender, notice, retry_in } => {
                self.notice(request, wire, sender, notice, retry_in)
            }
            Happens::Step(number) => {
                let plan = self.plan;
                self.step(&plan.schedule[number].action);
            }
            Happens::Publish { endpoint, lifecycle } => {
                self.list.set(endpoint, lifecycle);
                self.tell_lists();
            }
            Happens::Ready { sender, life } => self.ready(sender, life),
            Happens::Exit { sender, life } => {
                let one = &self.senders[sender as usize];
                if one.life == life && one.process == Process::Ending {
                    self.end_process(sender, ProcessEvent::Exited { expected: true });
                }
            }
            Happens::Look => {}
        }
    }
}
