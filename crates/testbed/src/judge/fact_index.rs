//! The facts of a play, sorted by what they are about. Nothing is judged here.
use crate::clock::{Ns, MS, SECOND};
use crate::facts::{Fact, FactKind, HandInResult, MessageId, Notice, ProcessEvent, Reply};
use crate::plan::Terms;
use crate::platform::destination::{CallNumber, Refusal};
use crate::platform::list::Lifecycle;
use crate::spec::{EventKind, Link};
use std::collections::{BTreeMap, HashMap};

/// How long after a link has healed something may still come that was held up on it.
const HELD_UP: Ns = 1_500 * MS;
/// After a restart no notice is overdue until so long after readiness (PROTOCOL, The rules on sockets).
const RESTART: Ns = 1_500 * MS;
/// What discovery has to tell counts as told after so long, and to a new process so long after its readiness.
const TOLD: Ns = 6 * SECOND;
const TOLD_NEW: Ns = 2 * SECOND;

#[derive(Debug)]
pub struct Message {
    pub id: MessageId,
    pub request: u32,
    pub sender: u32,
    pub due: Ns,
    pub handed: Ns,
    pub heard: Option<(Ns, HandInResult)>,
    pub notices: Vec<(Ns, Notice)>,
    /// Places in `Case::calls`.
    pub calls: Vec<usize>,
}

impl Message {
    pub fn taken(&self) -> Option<Ns> {
        self.heard.filter(|(_, h)| *h == HandInResult::Accepted).map(|(at, _)| at)
    }
}

#[derive(Debug)]
pub struct Call {
    pub number: CallNumber,
    pub message: MessageId,
    pub sender: u32,
    pub endpoint: u32,
    pub first: Ns,
    pub last: Ns,
    pub intact: bool,
    pub effects: Vec<Ns>,
    pub reply: Option<(Ns, Reply)>,
}

#[derive(Debug)]
pub struct Request {
    pub at: Ns,
    pub sender: u32,
    pub dest: u32,
    pub class: usize,
    pub messages: Vec<MessageId>,
}

#[derive(Debug)]
pub struct Stranger<'a> {
    pub at: Ns,
    pub sender: u32,
    pub form: &'a str,
    pub within: Ns,
    pub answered: Option<Ns>,
    pub taken: bool,
}

pub struct FactIndex<'a> {
    pub terms: &'a Terms,
    /// When the last fact was noted.
    pub end: Ns,
    pub requests: BTreeMap<u32, Request>,
    pub messages: BTreeMap<MessageId, Message>,
    pub calls: Vec<Call>,
    pub nameless: Vec<(Ns, u32, u32)>,
    pub strangers: Vec<Stranger<'a>>,
    pub probes: usize,
    pub connections: usize,
    /// By sender, in order.
    pub lives: Vec<Vec<(Ns, ProcessEvent)>>,
    /// By link and sender: when something was wrong with it.
    links: HashMap<(Link, u32), Vec<(Ns, Ns)>>,
    /// By destination: troubles that make its return cold, with their ends.
    pub outages: HashMap<u32, Vec<(Ns, Ns)>>,
    pub falls: Vec<(Ns, u32)>,
    changes: Vec<(Ns, u32, Lifecycle)>,
    told: HashMap<(u32, u32), Vec<(Ns, Lifecycle)>>,
}

impl<'a> FactIndex<'a> {
    pub fn new(terms: &'a Terms, facts: &'a [Fact]) -> FactIndex<'a> {
        let mut case = FactIndex {
            terms,
            end: facts.last().map_or(0, |f| f.at),
            requests: BTreeMap::new(),
            messages: BTreeMap::new(),
            calls: Vec::new(),
            nameless: Vec::new(),
            strangers: Vec::new(),
            probes: 0,
            connections: 0,
            lives: vec![Vec::new(); terms.senders],
            links: HashMap::new(),
            outages: HashMap::new(),
            falls: Vec::new(),
            changes: Vec::new(),
            told: HashMap::new(),
        };
        let mut places = HashMap::new();
        for fact in facts {
            case.add(fact.at, &fact.kind, &mut places);
        }
        case
    }

    fn add(&mut self, at: Ns, what: &'a FactKind, places: &mut HashMap<CallNumber, usize>) {
        match *what {
            FactKind::Requested { request, sender, dest, class, planned } => {
                let new = Request { at: planned, sender, dest, class, messages: Vec::new() };
                self.requests.insert(request, new);
            }
            FactKind::HandedIn { message: id, request, sender, due } => {
                if let Some(asked) = self.requests.get_mut(&request) {
                    asked.messages.push(id);
                }
                let (heard, notices, calls) = (None, Vec::new(), Vec::new());
                // A client that sends a message once more on a new connection hands it in once.
                self.messages.entry(id).or_insert(Message {
                    id,
                    request,
                    sender,
                    due,
                    handed: at,
                    heard,
                    notices,
                    calls,
                });
            }
            FactKind::HandInEnded { message, result } => {
                if let Some(m) = self.messages.get_mut(&message) {
                    m.heard = Some((at, result));
                }
            }
            FactKind::CallReceived { call: number, message, sender, endpoint, first, intact } => {
                places.insert(number, self.calls.len());
                if let Some(m) = self.messages.get_mut(&message) {
                    m.calls.push(self.calls.len());
                }
                let (effects, reply) = (Vec::new(), None);
                let call =
                    Call { number, message, sender, endpoint, first, last: at, intact, effects, reply };
                self.calls.push(call);
            }
            FactKind::Effect { call } => {
                if let Some(place) = places.get(&call) {
                    self.calls[*place].effects.push(at);
                }
            }
            FactKind::Replied { call, reply } => {
                if let Some(place) = places.get(&call) {
                    self.calls[*place].reply = Some((at, reply));
                }
            }
            // A call that the sender left may have run, as one without a reply.
            // The senders are told what discovery tells, whatever its troubles.
            FactKind::CallAbandoned { .. } | FactKind::DiscoveryFault { .. } => {}
            FactKind::CallWithoutId { sender, endpoint } => self.nameless.push((at, sender, endpoint)),
            FactKind::Probed { .. } => self.probes += 1,
            FactKind::Connected { .. } => self.connections += 1,
            FactKind::Notice { message, notice, .. } => {
                if let Some(m) = self.messages.get_mut(&message) {
                    m.notices.push((at, notice));
                }
            }
            FactKind::EndpointChanged { endpoint, lifecycle } => self.changes.push((at, endpoint, lifecycle)),
            FactKind::ChangeSent { sender, endpoint, lifecycle } => {
                self.told.entry((sender, endpoint)).or_default().push((at, lifecycle));
            }
            FactKind::Process { sender, event } => {
                if let Some(lives) = self.lives.get_mut(sender as usize) {
                    lives.push((at, event));
                }
            }
            FactKind::DestinationFault { dest, kind, begins } => {
                if matches!(kind, EventKind::Down | EventKind::Silent | EventKind::Shut | EventKind::Failing)
                {
                    let outages = self.outages.entry(dest).or_default();
                    match (begins, outages.last_mut()) {
                        (false, Some(last)) => last.1 = at,
                        _ => outages.push((at, Ns::MAX)),
                    }
                }
            }
            FactKind::LinkFault { sender, link, begins, .. } => {
                let spans = self.links.entry((link, sender)).or_default();
                match (begins, spans.last_mut()) {
                    (false, Some(last)) => last.1 = at,
                    _ => spans.push((at, Ns::MAX)),
                }
            }
            FactKind::OverloadFailure { endpoint } => self.falls.push((at, endpoint)),
            FactKind::Stranger { sender, ref form, within, answered, taken } => {
                self.strangers.push(Stranger { at, sender, form, within, answered, taken });
            }
        }
    }

    pub fn class_of(&self, message: &Message) -> Option<usize> {
        self.requests.get(&message.request).map(|r| r.class)
    }

    /// When a message was over: delivered, ended by a notice, or called over by an endpoint.
    pub fn ended(&self, message: &Message) -> Option<Ns> {
        let over = |reply: Reply| matches!(reply, Reply::Refused { why: Refusal::Expired, .. });
        let called_over = message.calls.iter().filter_map(|c| self.calls[*c].reply).filter(|r| over(r.1));
        let notices = message.notices.iter().map(|(at, _)| *at);
        self.delivered(message).into_iter().chain(notices).chain(called_over.map(|r| r.0)).min()
    }

    /// When a first line with 200 was written for it.
    pub fn delivered(&self, message: &Message) -> Option<Ns> {
        let replies = message.calls.iter().filter_map(|c| self.calls[*c].reply);
        replies.filter(|(_, r)| *r == Reply::Delivered).map(|(at, _)| at).min()
    }

    /// Whether notices of a sender may be late at a time: from a restart's signal until 1.5 s after readiness. A
    /// sender that is held by the schedule, or cut off from where notices go, can't send any either.
    pub fn excused(&self, sender: u32, at: Ns) -> bool {
        if self.hurt(Link::Discovery, sender, at, at) {
            return true;
        }
        let mut down = false;
        for (when, life) in &self.lives[sender as usize] {
            let excuse_until = match life {
                ProcessEvent::Terminated | ProcessEvent::Killed | ProcessEvent::Paused => {
                    down = *when <= at;
                    continue;
                }
                ProcessEvent::Ready | ProcessEvent::Continued => when + RESTART,
                _ => continue,
            };
            if down && at <= excuse_until {
                return true;
            }
            down = false;
        }
        down
    }

    /// Something was wrong with a link within a span, or shortly before it: what was held up on it comes late.
    pub fn hurt(&self, link: Link, sender: u32, from: Ns, to: Ns) -> bool {
        let spans = self.links.get(&(link, sender)).into_iter().flatten();
        spans.clone().any(|(begins, ends)| *begins <= to && from <= ends.saturating_add(HELD_UP))
    }

    /// A sender's folder was emptied after a time: what it owed then is lost with its machine.
    pub fn emptied_after(&self, sender: u32, at: Ns) -> bool {
        self.lives[sender as usize].iter().any(|(when, life)| *life == ProcessEvent::Emptied && *when >= at)
    }

    /// A sender was started anew, or ended, in a span.
    pub fn restarted(&self, sender: u32, from: Ns, to: Ns) -> bool {
        let ends = |life: &ProcessEvent| {
            matches!(life, ProcessEvent::Killed | ProcessEvent::Terminated | ProcessEvent::Started)
        };
        self.lives[sender as usize].iter().any(|(at, life)| ends(life) && (from..=to).contains(at))
    }

    /// Since when a sender has been told, at a time, that an endpoint wants nothing new.
    pub fn told_off(&self, sender: u32, endpoint: u32, at: Ns) -> Option<Ns> {
        let ready =
            self.lives[sender as usize].iter().filter(|(when, l)| *l == ProcessEvent::Ready && *when <= at);
        let ready = ready.map(|(when, _)| *when).max().unwrap_or(0);
        let counted = self
            .changes
            .iter()
            .filter(|c| c.1 == endpoint)
            .map(|c| ((c.0 + TOLD).max(ready + TOLD_NEW), c.2));
        let told = self.told.get(&(sender, endpoint)).into_iter().flatten().copied();
        let mut all: Vec<(Ns, Lifecycle)> = counted.chain(told).filter(|(when, _)| *when <= at).collect();
        all.sort_by_key(|(when, _)| *when);
        let since_ready = all.iter().rposition(|(_, l)| *l == Lifecycle::Ready).map_or(0, |i| i + 1);
        all.get(since_ready).map(|(when, _)| *when)
    }
}
