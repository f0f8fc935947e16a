//! The facts of a play, indexed by what they are about. The rules read the index.
use super::agent::{arrives_from, Agents};
use crate::clock::{Ns, MS, SECOND};
use crate::facts::{Fact, FactKind, HandInResult, MessageId, Notice, ProcessEvent, Reply};
use crate::plan::Terms;
use crate::platform::destination::{CallNumber, Refusal};
use crate::platform::list::Lifecycle;
use crate::spec::{EventKind, Link};
use std::collections::{BTreeMap, HashMap};

/// Data that a fault of a link has delayed may arrive until this long after the end of the fault.
pub const LINK_BACKLOG: Ns = 1_500 * MS;
/// After a restart no notice is overdue until this time after readiness (PROTOCOL, The rules on sockets).
const RESTART_GRACE: Ns = 1_500 * MS;
/// A change of the list counts as known to a sender after this time, even if discovery has not sent it, but
/// not before `KNOWN_AFTER_READY`.
const KNOWN_AFTER_CHANGE: Ns = 6 * SECOND;
/// Time from the readiness of a sender's process until changes that discovery has not sent count as known.
const KNOWN_AFTER_READY: Ns = 2 * SECOND;

/// A message as handed in once, under one id.
#[derive(Debug)]
pub struct Message {
    pub id: MessageId,
    pub request: u32,
    pub sender: u32,
    pub due: Ns,
    pub handed_in_at: Ns,
    pub result: Option<(Ns, HandInResult)>,
    pub notices: Vec<(Ns, Notice)>,
    /// Indices into `FactIndex::calls`.
    pub calls: Vec<usize>,
}

impl Message {
    /// Returns when its client learned that the message was accepted.
    pub fn accepted_at(&self) -> Option<Ns> {
        self.result.filter(|(_, h)| *h == HandInResult::Accepted).map(|(at, _)| at)
    }
}

/// A call that an endpoint received.
#[derive(Debug)]
pub struct Call {
    pub number: CallNumber,
    pub message: MessageId,
    pub sender: u32,
    pub endpoint: u32,
    /// When its first byte was received.
    pub first: Ns,
    /// When its last byte was received.
    pub last: Ns,
    /// Its body is that of the client.
    pub intact: bool,
    /// Times at which it took effect.
    pub effects: Vec<Ns>,
    pub reply: Option<(Ns, Reply)>,
}

/// A request of a client to have a message delivered.
#[derive(Debug)]
pub struct Request {
    pub at: Ns,
    pub sender: u32,
    pub dest: u32,
    pub class: usize,
    /// The ids under which it was handed in, in order.
    pub messages: Vec<MessageId>,
}

/// A peer that sent no valid request.
#[derive(Debug)]
pub struct Stranger<'a> {
    pub at: Ns,
    pub sender: u32,
    pub form: &'a str,
    pub within: Ns,
    pub answered: Option<Ns>,
    pub taken: bool,
}

/// The facts of a play, indexed.
pub struct FactIndex<'a> {
    pub terms: &'a Terms,
    /// Time of the last fact.
    pub end: Ns,
    pub requests: BTreeMap<u32, Request>,
    pub messages: BTreeMap<MessageId, Message>,
    pub calls: Vec<Call>,
    /// Time, sender and endpoint of calls without a message id.
    pub calls_without_id: Vec<(Ns, u32, u32)>,
    pub strangers: Vec<Stranger<'a>>,
    pub probes: usize,
    pub connections: usize,
    /// By sender: the events of its processes, in order.
    pub processes: Vec<Vec<(Ns, ProcessEvent)>>,
    /// By link and sender: beginnings and ends of faults. `Break` has no end, and so lasts until an end of
    /// another fault of the link is recorded, or to the end of the play.
    link_faults: HashMap<(Link, u32), Vec<(Ns, Ns)>>,
    /// By destination: beginnings and ends of the faults that can leave its endpoints cold (`Failing` does so
    /// only with a size above 0.5).
    pub outages: HashMap<u32, Vec<(Ns, Ns)>>,
    /// Time and endpoint of each failure of a cold endpoint under too many calls.
    pub overload_failures: Vec<(Ns, u32)>,
    /// Changes of the list, in order.
    changes: Vec<(Ns, u32, Lifecycle)>,
    /// What the agents of the senders have, and when they can be reached.
    agents: Agents,
    /// By sender and endpoint: the changes that discovery has sent.
    sent_changes: HashMap<(u32, u32), Vec<(Ns, Lifecycle)>>,
}

impl<'a> FactIndex<'a> {
    /// Indexes the facts of a play.
    pub fn new(terms: &'a Terms, facts: &'a [Fact]) -> FactIndex<'a> {
        let mut index = FactIndex {
            terms,
            end: facts.last().map_or(0, |f| f.at),
            requests: BTreeMap::new(),
            messages: BTreeMap::new(),
            calls: Vec::new(),
            calls_without_id: Vec::new(),
            strangers: Vec::new(),
            probes: 0,
            connections: 0,
            processes: vec![Vec::new(); terms.senders],
            link_faults: HashMap::new(),
            outages: HashMap::new(),
            overload_failures: Vec::new(),
            changes: Vec::new(),
            agents: Agents::default(),
            sent_changes: HashMap::new(),
        };
        let mut positions = HashMap::new();
        for fact in facts {
            index.add(fact.at, &fact.kind, &mut positions);
        }
        index
    }

    /// Adds one fact. `positions` holds the index of each call in `calls`.
    fn add(&mut self, at: Ns, kind: &'a FactKind, positions: &mut HashMap<CallNumber, usize>) {
        match *kind {
            FactKind::Requested { request, sender, dest, class, planned } => {
                let new = Request { at: planned, sender, dest, class, messages: Vec::new() };
                self.requests.insert(request, new);
            }
            FactKind::HandedIn { message: id, request, sender, due } => {
                if let Some(known) = self.requests.get_mut(&request) {
                    known.messages.push(id);
                }
                let (result, notices, calls) = (None, Vec::new(), Vec::new());
                // A client that sends the message again on a new connection hands it in only once.
                self.messages.entry(id).or_insert(Message {
                    id,
                    request,
                    sender,
                    due,
                    handed_in_at: at,
                    result,
                    notices,
                    calls,
                });
            }
            FactKind::HandInEnded { message, result } => {
                if let Some(m) = self.messages.get_mut(&message) {
                    m.result = Some((at, result));
                }
            }
            FactKind::CallReceived { call: number, message, sender, endpoint, first, intact } => {
                positions.insert(number, self.calls.len());
                if let Some(m) = self.messages.get_mut(&message) {
                    m.calls.push(self.calls.len());
                }
                let (effects, reply) = (Vec::new(), None);
                let call =
                    Call { number, message, sender, endpoint, first, last: at, intact, effects, reply };
                self.calls.push(call);
            }
            FactKind::Effect { call } => {
                if let Some(position) = positions.get(&call) {
                    self.calls[*position].effects.push(at);
                }
            }
            FactKind::Replied { call, reply } => {
                if let Some(position) = positions.get(&call) {
                    self.calls[*position].reply = Some((at, reply));
                }
            }
            // An abandoned call may have run, as any call without a reply.
            FactKind::CallAbandoned { .. } => {}
            FactKind::DiscoveryFault { kind, begins } => self.agents.add_fault(at, kind, begins),
            FactKind::ChangePublished { endpoint, lifecycle } => {
                self.agents.add_change(at, endpoint, lifecycle)
            }
            FactKind::CallWithoutId { sender, endpoint } => {
                self.calls_without_id.push((at, sender, endpoint))
            }
            FactKind::Probed { .. } => self.probes += 1,
            FactKind::Connected { .. } => self.connections += 1,
            FactKind::Notice { message, notice, .. } => {
                if let Some(m) = self.messages.get_mut(&message) {
                    m.notices.push((at, notice));
                }
            }
            FactKind::EndpointChanged { endpoint, lifecycle } => self.changes.push((at, endpoint, lifecycle)),
            FactKind::ChangeSent { sender, endpoint, lifecycle } => {
                self.sent_changes.entry((sender, endpoint)).or_default().push((at, lifecycle));
            }
            FactKind::Process { sender, event } => {
                if let Some(events) = self.processes.get_mut(sender as usize) {
                    events.push((at, event));
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
                let spans = self.link_faults.entry((link, sender)).or_default();
                match (begins, spans.last_mut()) {
                    (false, Some(last)) => last.1 = at,
                    _ => spans.push((at, Ns::MAX)),
                }
            }
            FactKind::OverloadFailure { endpoint } => self.overload_failures.push((at, endpoint)),
            FactKind::Stranger { sender, ref form, within, answered, taken } => {
                self.strangers.push(Stranger { at, sender, form, within, answered, taken });
            }
        }
    }

    /// Returns the class of a message.
    pub fn class_of(&self, message: &Message) -> Option<usize> {
        self.requests.get(&message.request).map(|r| r.class)
    }

    /// Returns when a message ended: delivered, ended by a notice, or refused as expired by an endpoint.
    pub fn ended_at(&self, message: &Message) -> Option<Ns> {
        let is_expired = |reply: Reply| matches!(reply, Reply::Refused { why: Refusal::Expired, .. });
        let expired = message.calls.iter().filter_map(|c| self.calls[*c].reply).filter(|r| is_expired(r.1));
        let notices = message.notices.iter().map(|(at, _)| *at);
        self.delivered_at(message).into_iter().chain(notices).chain(expired.map(|r| r.0)).min()
    }

    /// Returns when an endpoint first answered it with 200.
    pub fn delivered_at(&self, message: &Message) -> Option<Ns> {
        let replies = message.calls.iter().filter_map(|c| self.calls[*c].reply);
        replies.filter(|(_, r)| *r == Reply::Delivered).map(|(at, _)| at).min()
    }

    /// Returns true if notices of a sender may be late at a time: from the signal of a restart until
    /// `RESTART_GRACE` after readiness, from a pause until `RESTART_GRACE` after its end, and while the
    /// sender's link to discovery is disturbed (see `link_disturbed`).
    pub fn notices_excused(&self, sender: u32, at: Ns) -> bool {
        if self.link_disturbed(Link::Discovery, sender, at, at) {
            return true;
        }
        let mut interrupted = false;
        for (when, event) in &self.processes[sender as usize] {
            let excused_until = match event {
                ProcessEvent::Terminated | ProcessEvent::Killed | ProcessEvent::Paused => {
                    interrupted = *when <= at;
                    continue;
                }
                ProcessEvent::Ready | ProcessEvent::Continued => when + RESTART_GRACE,
                _ => continue,
            };
            if interrupted && at <= excused_until {
                return true;
            }
            interrupted = false;
        }
        interrupted
    }

    /// Returns true if a link had a fault within a span or shortly before it, so that data on it may have
    /// been delayed.
    pub fn link_disturbed(&self, link: Link, sender: u32, from: Ns, to: Ns) -> bool {
        let spans = self.link_faults.get(&(link, sender)).into_iter().flatten();
        spans.clone().any(|(begins, ends)| *begins <= to && from <= ends.saturating_add(LINK_BACKLOG))
    }

    /// Returns true if a sender's state folder was emptied at or after a time: the messages held then are
    /// lost with it.
    pub fn emptied_after(&self, sender: u32, at: Ns) -> bool {
        self.processes[sender as usize]
            .iter()
            .any(|(when, event)| *event == ProcessEvent::Emptied && *when >= at)
    }

    /// Returns true if a process of a sender was started or told to end within a span.
    pub fn restarted_within(&self, sender: u32, from: Ns, to: Ns) -> bool {
        let restarts = |event: &ProcessEvent| {
            matches!(event, ProcessEvent::Killed | ProcessEvent::Terminated | ProcessEvent::Started)
        };
        self.processes[sender as usize].iter().any(|(at, event)| restarts(event) && (from..=to).contains(at))
    }

    /// Returns when a sender learned that an endpoint is draining or gone, judged by the changes known to it
    /// at `at`. Returns `None` if it does not know.
    pub fn known_draining_since(&self, sender: u32, endpoint: u32, at: Ns) -> Option<Ns> {
        let ready = self.processes[sender as usize]
            .iter()
            .filter(|(when, l)| *l == ProcessEvent::Ready && *when <= at);
        let ready = ready.map(|(when, _)| *when).max().unwrap_or(0);
        let presumed = self
            .changes
            .iter()
            .filter(|c| c.1 == endpoint)
            .map(|c| ((c.0 + KNOWN_AFTER_CHANGE).max(ready + KNOWN_AFTER_READY), c.2));
        let no_faults = Vec::new();
        let link_faults = self.link_faults.get(&(Link::Discovery, sender)).unwrap_or(&no_faults);
        let sent = self.sent_changes.get(&(sender, endpoint)).into_iter().flatten();
        let sent = sent.map(|&(when, lifecycle)| (arrives_from(when, link_faults), lifecycle));
        let pushed = self.agents.known_changes(endpoint, at, link_faults, &self.processes[sender as usize]);
        let known = presumed.chain(sent).chain(pushed);
        let mut all: Vec<(Ns, Lifecycle)> = known.filter(|(when, _)| *when <= at).collect();
        all.sort_by_key(|(when, _)| *when);
        let after_ready = all.iter().rposition(|(_, l)| *l == Lifecycle::Ready).map_or(0, |i| i + 1);
        all.get(after_ready).map(|(when, _)| *when)
    }
}
