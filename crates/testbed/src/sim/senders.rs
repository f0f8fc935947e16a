//! A sender's process in simulated time: the module, what it holds, and the journal that outlasts it.
use super::SimError;
use crate::clock::{Ns, MS, SECOND};
use crate::facts::MessageId;
use crate::plan::Plan;
use sender::api::{Action, Event, Message, MsgId, PastAttempt, Settings};
use sender::policy;
use sender::settings;
use std::collections::BTreeMap;

/// Where the module's clock stands when clients begin, as attempts of earlier processes lie before it.
const EPOCH: Ns = 1_000 * SECOND;

/// A message that the sender owes its end.
#[derive(Clone, Debug)]
pub struct Held {
    pub wire: MessageId,
    pub class: usize,
    pub dest: u32,
    pub due: Ns,
    /// Of all processes so far.
    pub attempts: Vec<Tried>,
    /// Its client waits for the answer.
    pub offered: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct Tried {
    pub endpoint: u32,
    pub sent: Ns,
    pub may_have_run: bool,
}

/// Whether there is a process, and what it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    Down,
    Up,
    /// It was told to end: it takes nothing new on.
    Ending,
    Paused,
}

pub struct Sender {
    settings: Settings,
    module: policy::Sender,
    pub process: Process,
    /// Raised with each start, so that what an earlier process asked for reaches no later one.
    pub life: u32,
    pub held: BTreeMap<MsgId, Held>,
    inbox: Vec<Event>,
    /// A round is due for what is in the inbox.
    pub round: bool,
    pub timer: Option<Ns>,
    next: MsgId,
}

impl Sender {
    pub fn new(plan: &Plan, number: usize) -> Result<Sender, SimError> {
        let (settings, _) = settings::read(&plan.settings(number)).map_err(SimError::Settings)?;
        Ok(Sender {
            module: policy::Sender::new(settings.clone(), 0),
            settings,
            process: Process::Down,
            life: 0,
            held: BTreeMap::new(),
            inbox: Vec::new(),
            round: false,
            timer: None,
            next: 1,
        })
    }

    /// A new process with the list as it knows it; what the journal holds is taken up.
    pub fn start(&mut self, now: Ns, seed: u64, list: Event) {
        self.module = policy::Sender::new(self.settings.clone(), seed);
        self.process = Process::Up;
        self.life += 1;
        self.timer = None;
        self.inbox = vec![list];
        // What was offered and not answered was never taken on.
        self.held.retain(|_, h| !h.offered);
        for (&id, held) in &self.held {
            let past = |t: &Tried| PastAttempt {
                endpoint: Some(t.endpoint),
                sent: EPOCH + t.sent,
                may_have_run: t.may_have_run,
            };
            let past = held.attempts.iter().map(past).collect();
            self.inbox.push(Event::Resumed { message: message(id, held, now), past });
        }
    }

    pub fn kill(&mut self) {
        self.process = Process::Down;
        self.inbox.clear();
        self.round = false;
    }

    /// Its disk is gone, and with it what it owed.
    pub fn empty(&mut self) {
        self.held.clear();
    }

    /// Takes a client's message, if there is room; its answer comes with the round.
    pub fn offer(&mut self, now: Ns, held: Held) -> Result<MsgId, Ns> {
        if self.held.len() >= self.settings.max_open {
            return Err(self.module.backoff(held.dest.into()));
        }
        let id = self.next;
        self.next += 1;
        self.inbox.push(Event::Message(message(id, &held, now)));
        self.held.insert(id, held);
        Ok(id)
    }

    pub fn tell(&mut self, event: Event) {
        self.inbox.push(event);
    }

    /// Has the module decide on all that has come.
    pub fn decide(&mut self, now: Ns) -> Vec<Action> {
        let mut events = std::mem::take(&mut self.inbox);
        self.round = false;
        if self.timer.is_some_and(|at| at <= now) {
            self.timer = None;
            events.push(Event::Timer);
        }
        let mut actions = Vec::new();
        self.module.handle(EPOCH + now, &events, &mut actions);
        actions
    }

    pub fn idle_close(&self) -> Ns {
        self.settings.idle_timeout
    }

    pub fn dial_timeout(&self) -> Ns {
        self.settings.connect_timeout
    }
}

/// A time of the module's on the play's clock.
pub fn played(at: Ns) -> Ns {
    at - EPOCH
}

fn message(id: MsgId, held: &Held, now: Ns) -> Message {
    // Clients state whole milliseconds.
    let left = (held.due - now) / MS * MS;
    Message { id, class: held.class, dest: held.dest.into(), time_left: left, cost: 0, key: None, tenant: 0 }
}
