//! The play in simulated time: clients, senders, endpoints and the schedule, event by event.
use super::network::{self, Call, Calls, Pools, WAY};
use super::queue::Queue;
use super::senders::{self, Held, Process, Sender, Tried};
use super::SimError;
use crate::clock::{seconds, Ns, MS, SECOND};
use crate::habits::{Client, End};
use crate::ledger::{Fact, Heard, Life, MessageId, Notice, Reply, What};
use crate::plan::{Does, Plan};
use crate::platform::destination::{self, Answer, CallNo, Destination, Out, Refusal};
use crate::platform::list::{Entry, Lifecycle, List, Told};
use crate::relay::shape::Lane;
use crate::relay::Condition;
use crate::spec::{Folder, Kind, Link};
use leadfold::api::{self, Action, Event, MsgId, Outcome};
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
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
        heard: Heard,
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
        call: CallNo,
        fresh: bool,
    },
    Arrives {
        call: CallNo,
    },
    Finish {
        dest: u32,
        place: usize,
        call: CallNo,
    },
    /// What the sender learns of a call; `keeps` its connection.
    Ends {
        call: CallNo,
        outcome: Outcome,
        wait: Ns,
        done: bool,
        keeps: bool,
    },
    /// The sender waits no longer.
    Limit {
        call: CallNo,
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
    client: Client,
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
    next_call: CallNo,
    pools: Pools,
    list: List,
    /// The list's version that each sender was told last.
    told: Vec<u64>,
    /// Troubles of discovery under way.
    discovery: Vec<Kind>,
    links: BTreeMap<(Link, u32), Way>,
    late: ChaCha8Rng,
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
            for sender in (0..senders.len() as u32).filter(|s| plan.hurts(link, *s)) {
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
            list: List::new(listed),
            discovery: Vec::new(),
            links,
            late: plan.seed.stream("notices", 0),
            seeds: plan.seed.stream("processes", 0),
            away: 0,
            plan,
        })
    }

    /// Plays to the end; the facts are in the order of their times.
    pub fn run(mut self) -> Vec<Fact> {
        for sender in 0..self.senders.len() as u32 {
            self.start(sender, Folder::Keep, 0);
        }
        for (number, arrival) in self.plan.arrivals.iter().enumerate() {
            self.queue.push(arrival.at, Happens::Ask(number as u32));
        }
        for (number, step) in self.plan.schedule.iter().enumerate() {
            self.queue.push(step.at, Happens::Step(number));
        }
        let asked = self.plan.terms.asking;
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

    fn note(&mut self, what: What) {
        self.facts.push(Fact { at: self.now, what });
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
                self.step(&plan.schedule[number].does);
            }
            Happens::Publish { endpoint, lifecycle } => {
                self.list.set(endpoint, lifecycle);
                self.tell_lists();
            }
            Happens::Ready { sender, life } => self.ready(sender, life),
            Happens::Exit { sender, life } => {
                let one = &self.senders[sender as usize];
                if one.life == life && one.process == Process::Ending {
                    self.end_process(sender, Life::Exited { asked: true });
                }
            }
            Happens::Look => {}
        }
    }

    // Clients.

    fn ask(&mut self, request: u32) {
        let arrival = &self.plan.arrivals[request as usize];
        let (sender, dest, class) = (arrival.sender, arrival.dest, arrival.class);
        self.note(What::Asked { request, sender, dest, class, planned: arrival.at });
        let due = arrival.at + self.plan.terms.classes[class].deadline;
        let random = self.plan.seed.stream("client", request.into());
        self.asking.insert(request, Asking { client: Client::new(sender, due), random });
        self.hand_in(request);
    }

    fn due(&self, request: u32) -> Ns {
        let arrival = &self.plan.arrivals[request as usize];
        arrival.at + self.plan.terms.classes[arrival.class].deadline
    }

    fn hand_in(&mut self, request: u32) {
        let (due, handed) = (self.due(request), self.now);
        let Some(asking) = self.asking.get_mut(&request) else { return };
        let (sender, wire) = (asking.client.sender, asking.random.next_u64());
        self.note(What::HandedIn { message: wire, request, sender, due });
        let to = match self.links.get_mut(&(Link::Clients, sender)) {
            Some(way) if !way.condition.connects() => None,
            Some(way) => network::passes(&way.condition.to, &mut way.to, self.now),
            None => Some(0),
        };
        match to {
            Some(to) => self.after(to + WAY, Happens::Offer { request, wire, sender, handed }),
            None => {
                let heard = Heard::NoConnection;
                self.after(PATIENCE, Happens::Hears { request, wire, heard, told: None });
            }
        }
    }

    fn offer(&mut self, request: u32, wire: MessageId, sender: u32, handed: Ns) {
        let back = match self.links.get_mut(&(Link::Clients, sender)) {
            Some(way) => network::passes(&way.condition.back, &mut way.back, self.now),
            None => Some(0),
        };
        let process = self.senders[sender as usize].process;
        let left = PATIENCE - (self.now - handed);
        let hears = |heard, told| Happens::Hears { request, wire, heard, told };
        if matches!(process, Process::Down | Process::Ending) {
            return self.after(WAY, hears(Heard::NoConnection, None));
        }
        // The client has left before it could hear anything, and the sender sees that.
        if process == Process::Paused || back.is_none_or(|back| back + WAY > left) {
            return self.after(left.max(0), hears(Heard::Silence, None));
        }
        let arrival = &self.plan.arrivals[request as usize];
        let held = Held {
            wire,
            class: arrival.class,
            dest: arrival.dest,
            due: self.due(request),
            attempts: Vec::new(),
            offered: true,
        };
        match self.senders[sender as usize].offer(self.now, held) {
            Ok(id) => {
                self.requests.insert((sender, id), request);
                self.rouse(sender);
            }
            Err(backoff) => self.after(WAY, hears(Heard::Refused, Some(backoff))),
        }
    }

    fn hears(&mut self, request: u32, message: MessageId, heard: Heard, told: Option<Ns>) {
        self.note(What::Heard { message, heard });
        let end = match heard {
            Heard::Taken => return,
            Heard::Failed => End::Over,
            Heard::Refused => End::Refused(told),
            Heard::Silence | Heard::Closed | Heard::NoConnection => End::Unanswered,
        };
        self.comes_again(request, end);
    }

    fn comes_again(&mut self, request: u32, end: End) {
        let (now, senders) = (self.now, self.senders.len() as u32);
        let Some(Asking { client, random }) = self.asking.get_mut(&request) else { return };
        match client.next(end, now, senders, &self.plan.spec.clients, random) {
            Some(wait) => {
                self.away += 1;
                self.after(wait, Happens::Again(request));
            }
            None => _ = self.asking.remove(&request),
        }
    }

    fn notice(&mut self, request: u32, wire: MessageId, sender: u32, notice: Notice, retry_in: Option<Ns>) {
        let passes = self.links.get(&(Link::Discovery, sender)).is_none_or(|way| way.condition.connects());
        if !passes {
            return self.after(NOTICE_AGAIN, Happens::Notice { request, wire, sender, notice, retry_in });
        }
        self.note(What::Notice { message: wire, sender, notice });
        if notice == Notice::HandedBack {
            self.comes_again(request, End::Refused(retry_in));
        }
    }

    // Senders.

    /// Has a sender decide, at this time, on all that has come to it.
    fn rouse(&mut self, sender: u32) {
        let one = &mut self.senders[sender as usize];
        if one.round || one.process == Process::Down {
            return;
        }
        one.round = true;
        let life = one.life;
        self.after(0, Happens::Round { sender, life });
    }

    fn tell(&mut self, sender: u32, event: Event) {
        let one = &mut self.senders[sender as usize];
        if one.process != Process::Down {
            one.tell(event);
            self.rouse(sender);
        }
    }

    fn round(&mut self, sender: u32) {
        let actions = self.senders[sender as usize].decide(self.now);
        for action in actions {
            match action {
                Action::Send { id, endpoint, limit, by } => {
                    self.send(sender, id, endpoint, limit, senders::played(by));
                }
                Action::Refuse { id, backoff } => {
                    let told = (backoff > 0).then_some(backoff);
                    self.let_go(sender, id, Heard::Refused, Notice::HandedBack, told);
                }
                Action::Fail { id } => self.let_go(sender, id, Heard::Failed, Notice::GivenUp, None),
                Action::Cancel { id, attempt } => {
                    let is = |c: &Call| c.sender == sender && c.id == id && c.attempt == attempt;
                    // By number, as the table's order is no seed's.
                    let call = self.calls.iter().filter(|(_, c)| is(c)).map(|(n, _)| *n).min();
                    if let Some(call) = call {
                        self.leave(call, Outcome::CalledOff);
                    }
                }
                Action::Probe { endpoint } => self.probe(sender, endpoint),
                Action::Close { endpoint } => self.pools.close(sender, endpoint),
                Action::Timer { at } => {
                    let at = senders::played(at).max(self.now);
                    let one = &mut self.senders[sender as usize];
                    if one.timer.is_none_or(|timer| at < timer) {
                        one.timer = Some(at);
                        let life = one.life;
                        self.queue.push(at, Happens::Wake { sender, life });
                    }
                }
            }
        }
        // What is left of the offered is taken on.
        let one = &mut self.senders[sender as usize];
        let taken: Vec<(MsgId, MessageId)> = one
            .held
            .iter_mut()
            .filter(|(_, h)| h.offered)
            .map(|(id, h)| {
                h.offered = false;
                (*id, h.wire)
            })
            .collect();
        for (id, wire) in taken {
            let Some(&request) = self.requests.get(&(sender, id)) else { continue };
            self.after(WAY, Happens::Hears { request, wire, heard: Heard::Taken, told: None });
        }
    }

    /// The sender ends a message: to the client that waits for its answer, or by a notice.
    fn let_go(&mut self, sender: u32, id: MsgId, heard: Heard, notice: Notice, told: Option<Ns>) {
        let Some(held) = self.senders[sender as usize].held.remove(&id) else { return };
        let Some(request) = self.requests.remove(&(sender, id)) else { return };
        let wire = held.wire;
        match held.offered {
            true => self.after(WAY, Happens::Hears { request, wire, heard, told }),
            false => self.after(WAY, Happens::Notice { request, wire, sender, notice, retry_in: told }),
        }
    }

    fn start(&mut self, sender: u32, folder: Folder, ready: Ns) {
        let one = &mut self.senders[sender as usize];
        if one.process != Process::Down {
            return;
        }
        if folder != Folder::Keep {
            one.empty();
            self.note(What::Process { sender, life: Life::Emptied });
        }
        let life = self.senders[sender as usize].life;
        self.note(What::Process { sender, life: Life::Started });
        self.after(ready, Happens::Ready { sender, life });
    }

    fn ready(&mut self, sender: u32, life: u32) {
        let seed = self.seeds.next_u64();
        let told = self.list.since(None);
        let list = self.listed(&told);
        let one = &mut self.senders[sender as usize];
        if one.life != life || one.process != Process::Down {
            return;
        }
        one.start(self.now, seed, list);
        self.told[sender as usize] = told.generation;
        self.note(What::Process { sender, life: Life::Ready });
        self.rouse(sender);
    }

    /// A process ends, by whatever cause: its calls and its clients' connections with it.
    fn end_process(&mut self, sender: u32, life: Life) {
        if self.senders[sender as usize].process == Process::Down {
            return;
        }
        self.note(What::Process { sender, life });
        let mut calls: Vec<CallNo> =
            self.calls.iter().filter(|(_, c)| c.sender == sender).map(|(n, _)| *n).collect();
        calls.sort_unstable();
        for call in calls {
            self.break_off(call);
        }
        for endpoint in 0..self.plan.endpoints.len() as u32 {
            self.pools.close(sender, endpoint);
        }
        let one = &mut self.senders[sender as usize];
        one.kill();
        let unanswered: Vec<(MsgId, MessageId)> =
            one.held.iter().filter(|(_, h)| h.offered).map(|(id, h)| (*id, h.wire)).collect();
        for (id, wire) in unanswered {
            self.senders[sender as usize].held.remove(&id);
            if let Some(request) = self.requests.remove(&(sender, id)) {
                self.after(WAY, Happens::Hears { request, wire, heard: Heard::Closed, told: None });
            }
        }
    }

    // Calls.

    fn is_down(&self, endpoint: u32) -> bool {
        let (dest, place) = self.place(endpoint);
        !self.present[endpoint as usize] || self.dests[dest as usize].is_down(place)
    }

    /// An endpoint's destination, and its place there.
    fn place(&self, endpoint: u32) -> (u32, usize) {
        self.places[endpoint as usize]
    }

    fn send(&mut self, sender: u32, id: MsgId, endpoint: u32, limit: Ns, by: Ns) {
        let (now, (dest, place)) = (self.now, self.place(endpoint));
        let one = &mut self.senders[sender as usize];
        let (idle_close, dial) = (one.idle_close(), one.dial_timeout());
        let life = one.life;
        let Some(held) = one.held.get_mut(&id) else { return };
        let attempt = held.attempts.len() as u32;
        held.attempts.push(Tried { endpoint, sent: now, may_have_run: true });
        let (due, wire) = (held.due, held.wire);
        let Some(request) = self.requests.get(&(sender, id)) else { return };
        let work = self.plan.arrivals[*request as usize].work;
        let number = self.next_call;
        self.next_call += 1;
        let kept = self.pools.reuse(now, sender, endpoint, idle_close);
        let connects = network::connects(self.links.get(&(Link::Endpoints, sender)).map(|w| &w.condition));
        let silent = self.dests[dest as usize].is_silent();
        let (connected, there, crowded) = (kept, false, false);
        let mut call = Call {
            sender,
            life,
            id,
            wire,
            attempt,
            endpoint,
            place,
            sent: now,
            due,
            work,
            connected,
            there,
            crowded,
        };
        let fails =
            |call| Happens::Ends { call, outcome: Outcome::NoConnection, wait: 0, done: false, keeps: false };
        if !kept && self.is_down(endpoint) {
            self.calls.insert(number, call);
            return self.after(2 * WAY, fails(number));
        }
        if !kept && (silent || !connects) {
            self.calls.insert(number, call);
            return self.after(dial.min(by - now).max(0), fails(number));
        }
        let mut delay = WAY;
        if !kept {
            let held = self.pools.open(endpoint);
            call.connected = true;
            call.crowded =
                self.plan.endpoints[endpoint as usize].connections.is_some_and(|most| held >= most);
            self.note(What::Connected { sender, endpoint });
            delay += 2 * WAY;
        }
        let passes = match self.links.get_mut(&(Link::Endpoints, sender)) {
            Some(way) => network::passes(&way.condition.to, &mut way.to, now),
            None => Some(0),
        };
        self.calls.insert(number, call);
        if let Some(held_up) = passes {
            self.after(delay + held_up, Happens::Comes { call: number, fresh: !kept });
        }
        let limit = if limit > 0 { (now + limit).min(due) } else { due };
        self.queue.push(limit.max(now), Happens::Limit { call: number });
    }

    fn comes(&mut self, number: CallNo, fresh: bool) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.there = true;
        let (sender, endpoint, message, first) = (call.sender, call.endpoint, call.wire, self.now);
        self.note(What::Called { call: number, message, sender, endpoint, first, intact: true });
        let handshake = if fresh { (self.plan.spec.platform.handshake_ms * MS as f64) as Ns } else { 0 };
        self.after(handshake, Happens::Arrives { call: number });
    }

    fn arrives(&mut self, number: CallNo) {
        let Some(call) = self.calls.get(&number) else { return };
        let (dest, place) = self.place(call.endpoint);
        let refusal = if call.attempt as usize >= self.plan.terms.max_attempts {
            Some(Refusal::Attempts)
        } else if self.now > call.due + 50 * MS {
            Some(Refusal::Over)
        } else {
            call.crowded.then_some(Refusal::Connections)
        };
        let work = call.work;
        let outs = match refusal {
            Some(why) => vec![Out::Answer { call: number, answer: Answer::Refused(why, None) }],
            None => self.dests[dest as usize].arrive(self.now, destination::Call { number, place, work }),
        };
        self.carry_out(dest, outs);
    }

    fn carry_out(&mut self, dest: u32, outs: Vec<Out>) {
        for out in outs {
            match out {
                Out::Begin { call, until } => {
                    let Some(place) = self.calls.get(&call).map(|c| c.place) else { continue };
                    self.queue.push(until, Happens::Finish { dest, place, call });
                }
                Out::Effect { call } => self.note(What::Effect { call }),
                Out::Answer { call, answer } => self.answer(call, answer),
                Out::Fell { place } => {
                    let endpoint = self.endpoint(dest, place);
                    self.note(What::Fell { endpoint });
                    self.reset(endpoint);
                }
            }
        }
    }

    fn endpoint(&self, dest: u32, place: usize) -> u32 {
        self.places.iter().position(|p| *p == (dest, place)).unwrap_or_default() as u32
    }

    /// An endpoint's process has ended: so have its connections.
    fn reset(&mut self, endpoint: u32) {
        for sender in 0..self.senders.len() as u32 {
            self.pools.close(sender, endpoint);
        }
    }

    fn answer(&mut self, number: CallNo, answer: Answer) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.there = false;
        let sender = call.sender;
        let (reply, outcome, wait) = match answer {
            Answer::Served | Answer::Spoilt => (Reply::Delivered, Outcome::Served, None),
            Answer::Error => (Reply::Error, Outcome::ServerError, None),
            Answer::Refused(why, wait) => {
                let outcome = match why {
                    Refusal::Slots | Refusal::Attempts | Refusal::Over | Refusal::Stray => Outcome::NotSent,
                    _ => Outcome::TurnedAway,
                };
                (Reply::Refused { why, wait }, outcome, wait)
            }
            Answer::Reset => (Reply::Broken, Outcome::ConnectionLost, None),
            Answer::Nothing => return,
        };
        self.note(What::Replied { call: number, reply });
        let over = matches!(reply, Reply::Refused { why: Refusal::Over, .. });
        let crowd = matches!(reply, Reply::Refused { why: Refusal::Connections, .. });
        let keeps = !crowd && !matches!(answer, Answer::Reset | Answer::Spoilt);
        let passes = match self.links.get_mut(&(Link::Endpoints, sender)) {
            Some(way) => network::passes(&way.condition.back, &mut way.back, self.now),
            None => Some(0),
        };
        // Over a cut it never comes, and the sender stops waiting some time.
        if let Some(held_up) = passes {
            let (wait, done) = (wait.unwrap_or(0), outcome == Outcome::Served || over);
            self.after(WAY + held_up, Happens::Ends { call: number, outcome, wait, done, keeps });
        }
    }

    /// The sender learns how a call ended.
    fn ends(&mut self, number: CallNo, outcome: Outcome, wait: Ns, done: bool, keeps: bool) {
        let Some(call) = self.calls.remove(&number) else { return };
        match (call.connected, keeps) {
            (true, true) => self.pools.keep(self.now, call.sender, call.endpoint),
            (true, false) => self.pools.end(call.endpoint),
            // It never came up.
            (false, _) => {}
        }
        self.book(&call, outcome, wait, done);
    }

    fn book(&mut self, call: &Call, outcome: Outcome, wait: Ns, done: bool) {
        let one = &mut self.senders[call.sender as usize];
        if one.life != call.life || one.process == Process::Down {
            return;
        }
        if let Some(tried) =
            one.held.get_mut(&call.id).and_then(|h| h.attempts.get_mut(call.attempt as usize))
        {
            tried.may_have_run = !outcome.never_ran();
        }
        if done && one.held.remove(&call.id).is_some() {
            if let Some(request) = self.requests.remove(&(call.sender, call.id)) {
                self.asking.remove(&request);
            }
        }
        let end = api::AttemptEnd {
            id: call.id,
            attempt: call.attempt,
            endpoint: call.endpoint,
            outcome,
            took: self.now - call.sent,
            done,
            wait,
            report: None,
        };
        self.tell(call.sender, Event::AttemptEnd(end));
    }

    /// The sender ends a call's connection.
    fn leave(&mut self, number: CallNo, outcome: Outcome) {
        if let Some(call) = self.break_off(number) {
            self.book(&call, outcome, 0, false);
        }
    }

    fn break_off(&mut self, number: CallNo) -> Option<Call> {
        let call = self.calls.remove(&number)?;
        if call.connected {
            self.pools.end(call.endpoint);
        }
        if call.there {
            self.note(What::Left { call: number });
            let (dest, place) = self.place(call.endpoint);
            let outs = self.dests[dest as usize].gone(self.now, place, number);
            self.carry_out(dest, outs);
        }
        Some(call)
    }

    fn probe(&mut self, sender: u32, endpoint: u32) {
        let (dest, _) = self.place(endpoint);
        let life = self.senders[sender as usize].life;
        let connects = network::connects(self.links.get(&(Link::Endpoints, sender)).map(|w| &w.condition));
        let (after, outcome) = if self.is_down(endpoint) {
            (2 * WAY, Outcome::NoConnection)
        } else if self.dests[dest as usize].is_silent() || !connects {
            (self.senders[sender as usize].dial_timeout(), Outcome::NoConnection)
        } else {
            self.note(What::Probed { sender, endpoint });
            let serves = self.dests[dest as usize].probe(self.now);
            (4 * WAY, if serves { Outcome::Served } else { Outcome::TurnedAway })
        };
        self.after(after, Happens::Probed { sender, life, endpoint, outcome });
    }

    // The schedule.

    fn step(&mut self, does: &Does) {
        match *does {
            Does::Begin { dest, kind, size, until } => {
                self.note(What::Trouble { dest, kind, begins: true });
                let outs = self.dests[dest as usize].begin(self.now, kind, size, until);
                self.carry_out(dest, outs);
                if kind == Kind::Down {
                    self.reset_all(dest);
                }
            }
            Does::End { dest, kind } => {
                self.note(What::Trouble { dest, kind, begins: false });
                self.dests[dest as usize].end(self.now, kind);
                // A machine that is back knows nothing of the connections that it had.
                if kind == Kind::Silent {
                    self.reset_all(dest);
                }
            }
            Does::Drain { endpoint } => {
                let (dest, place) = self.place(endpoint);
                self.dests[dest as usize].drain(self.now, place);
                self.change(endpoint, Lifecycle::Terminating);
            }
            Does::Gone { endpoint } => {
                self.present[endpoint as usize] = false;
                self.reset(endpoint);
                self.change(endpoint, Lifecycle::Gone);
            }
            Does::Add { endpoint } => {
                let (dest, place) = self.place(endpoint);
                self.dests[dest as usize].fresh(self.now, place);
                self.present[endpoint as usize] = true;
                self.change(endpoint, Lifecycle::Ready);
            }
            Does::Kill { sender } => self.end_process(sender, Life::Killed),
            Does::Terminate { sender } => {
                let one = &mut self.senders[sender as usize];
                if one.process != Process::Down {
                    one.process = Process::Ending;
                    let life = one.life;
                    self.note(What::Process { sender, life: Life::Terminated });
                    self.after(ENDS, Happens::Exit { sender, life });
                }
            }
            Does::Pause { sender } => self.hold(sender, Process::Up, Process::Paused, Life::Paused),
            Does::Continue { sender } => self.hold(sender, Process::Paused, Process::Up, Life::Continued),
            Does::Start { sender, folder } => self.start(sender, folder, READY),
            Does::Link { sender, link, kind, size, begins } => {
                self.note(What::Link { sender, link, kind, begins });
                if let Some(way) = self.links.get_mut(&(link, sender)) {
                    way.condition.strike(kind, size, begins);
                }
                if kind == Kind::Break && link == Link::Endpoints {
                    self.break_all(sender);
                }
                if link == Link::Discovery {
                    self.tell_lists();
                }
            }
            // A sender takes the move up as it comes; in simulated time nothing is lost on the way.
            Does::Discovery { kind: Kind::DiscoveryMoves, .. } => {
                self.note(What::Discovery { kind: Kind::DiscoveryMoves, begins: true });
            }
            Does::Discovery { kind: kind @ Kind::DiscoveryResets, .. } => {
                self.note(What::Discovery { kind, begins: true });
                self.list.forget();
                self.tell_lists();
            }
            // Watches that stand are no crowd: in simulated time whoever waits hears what there is to tell.
            Does::Discovery { kind: Kind::DiscoveryCrowded, begins, .. } => {
                self.note(What::Discovery { kind: Kind::DiscoveryCrowded, begins });
            }
            Does::Discovery { kind, begins, .. } => {
                self.note(What::Discovery { kind, begins });
                match begins {
                    true => self.discovery.push(kind),
                    false => self.discovery.retain(|k| *k != kind),
                }
                self.tell_lists();
            }
        }
    }

    fn hold(&mut self, sender: u32, from: Process, to: Process, life: Life) {
        let one = &mut self.senders[sender as usize];
        if one.process != from {
            return;
        }
        one.process = to;
        self.note(What::Process { sender, life });
        // What came meanwhile is decided on now.
        if to == Process::Up {
            self.senders[sender as usize].round = false;
            self.rouse(sender);
        }
    }

    fn reset_all(&mut self, dest: u32) {
        for endpoint in
            (0..self.plan.endpoints.len() as u32).filter(|e| self.plan.endpoints[*e as usize].dest == dest)
        {
            self.reset(endpoint);
        }
    }

    /// All connections of a sender to endpoints break.
    fn break_all(&mut self, sender: u32) {
        let mut calls: Vec<CallNo> =
            self.calls.iter().filter(|(_, c)| c.sender == sender).map(|(n, _)| *n).collect();
        calls.sort_unstable();
        for call in calls {
            self.leave(call, Outcome::ConnectionLost);
        }
        for endpoint in 0..self.plan.endpoints.len() as u32 {
            self.pools.close(sender, endpoint);
        }
    }

    // The list.

    fn change(&mut self, endpoint: u32, lifecycle: Lifecycle) {
        self.note(What::Changed { endpoint, lifecycle });
        let [low, high] = self.plan.spec.platform.notice_s;
        let late = low + (high - low) * self.late.random::<f64>();
        self.after(seconds(late), Happens::Publish { endpoint, lifecycle });
    }

    /// Tells each sender that can hear it what is new to it.
    fn tell_lists(&mut self) {
        if !self.discovery.is_empty() {
            return;
        }
        let generation = self.list.generation();
        for sender in 0..self.senders.len() as u32 {
            let behind = self.told[sender as usize] < generation;
            let hears = self.links.get(&(Link::Discovery, sender)).is_none_or(|way| way.condition.connects());
            let up = self.senders[sender as usize].process != Process::Down;
            if !(behind && hears && up) {
                continue;
            }
            let told = self.list.since(Some(self.told[sender as usize]));
            self.told[sender as usize] = generation;
            for Entry { endpoint, lifecycle } in &told.entries {
                self.note(What::Told { sender, endpoint: *endpoint, lifecycle: *lifecycle });
            }
            let list = self.listed(&told);
            self.tell(sender, list);
        }
    }

    /// The list as the module is told of it.
    fn listed(&self, told: &Told) -> Event {
        let entry = |e: &Entry| {
            let drawn = &self.plan.endpoints[e.endpoint as usize];
            let dest = &self.plan.destinations[drawn.dest as usize];
            let condition = match e.lifecycle {
                Lifecycle::Ready => api::Condition::Ready,
                Lifecycle::Terminating => api::Condition::Draining,
                Lifecycle::Gone => api::Condition::Gone,
            };
            api::Entry {
                endpoint: e.endpoint,
                dest: drawn.dest.into(),
                kind: usize::from(!dest.flagship),
                zone: drawn.zone as usize,
                condition,
                hint: dest.per_s,
            }
        };
        Event::List { whole: told.reset, entries: told.entries.iter().map(entry).collect() }
    }
}
