//! A sender in simulated time: its process with the decision module, and its messages, which survive the
//! process as in a journal.
use super::SimError;
use crate::clock::{Ns, MS, SECOND};
use crate::facts::MessageId;
use crate::plan::Plan;
use sender::api::{Action, Event, Message, MsgId, PastAttempt, Settings};
use sender::policy;
use sender::settings;
use std::collections::BTreeMap;

/// Time of the module's clock at the beginning of the play. It is above zero as attempts of earlier processes
/// lie before.
const EPOCH: Ns = 1_000 * SECOND;

/// A message that a sender holds.
#[derive(Clone, Debug)]
pub struct HeldMessage {
    pub wire_id: MessageId,
    pub class: usize,
    pub dest: u32,
    pub due: Ns,
    /// The attempts by all of the sender's processes so far.
    pub attempts: Vec<SentAttempt>,
    /// The client waits for the answer, so the message is not accepted yet.
    pub client_waiting: bool,
}

/// An attempt that was sent.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    pub endpoint: u32,
    pub sent: Ns,
    pub may_have_run: bool,
}

/// State of a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    Down,
    Up,
    /// It has received SIGTERM and accepts no new messages.
    Ending,
    Paused,
}

/// A sender with its current process, if there is one.
pub struct Sender {
    settings: Settings,
    module: policy::Sender,
    pub process: Process,
    /// Number of processes so far. Events for an earlier process are dropped by it.
    pub incarnation: u32,
    pub held: BTreeMap<MsgId, HeldMessage>,
    inbox: Vec<Event>,
    /// A round is scheduled for the current inbox.
    pub round_scheduled: bool,
    /// When the module asked to be called.
    pub timer: Option<Ns>,
    next_id: MsgId,
}

impl Sender {
    /// Creates a sender without a process.
    pub fn new(plan: &Plan, number: usize) -> Result<Sender, SimError> {
        let (settings, _) = settings::read(&plan.settings(number)).map_err(SimError::Settings)?;
        Ok(Sender {
            module: policy::Sender::new(settings.clone(), 0),
            settings,
            process: Process::Down,
            incarnation: 0,
            held: BTreeMap::new(),
            inbox: Vec::new(),
            round_scheduled: false,
            timer: None,
            next_id: 1,
        })
    }

    /// Starts a process with the current list; it resumes the messages in the journal.
    pub fn start(&mut self, now: Ns, seed: u64, list: Event) {
        self.module = policy::Sender::new(self.settings.clone(), seed);
        self.process = Process::Up;
        self.incarnation += 1;
        self.timer = None;
        self.inbox = vec![list];
        // Messages whose client was not answered were never accepted.
        self.held.retain(|_, h| !h.client_waiting);
        for (&id, held) in &self.held {
            let past_attempt = |t: &SentAttempt| PastAttempt {
                endpoint: Some(t.endpoint),
                sent: EPOCH + t.sent,
                may_have_run: t.may_have_run,
            };
            let past = held.attempts.iter().map(past_attempt).collect();
            self.inbox.push(Event::Resumed { message: message(id, held, now), past });
        }
    }

    /// Ends the process.
    pub fn kill(&mut self) {
        self.process = Process::Down;
        self.inbox.clear();
        self.round_scheduled = false;
    }

    /// Loses the journal, and with it all messages.
    pub fn clear_state(&mut self) {
        self.held.clear();
    }

    /// Takes a client's message, which the next round decides on. If there is no room for it, returns the
    /// backoff to answer with.
    pub fn offer(&mut self, now: Ns, held: HeldMessage) -> Result<MsgId, Ns> {
        if self.held.len() >= self.settings.max_open {
            return Err(self.module.backoff(held.dest.into()));
        }
        let id = self.next_id;
        self.next_id += 1;
        self.inbox.push(Event::Message(message(id, &held, now)));
        self.held.insert(id, held);
        Ok(id)
    }

    /// Adds an event to the inbox.
    pub fn push_event(&mut self, event: Event) {
        self.inbox.push(event);
    }

    /// Has the module decide on the inbox, and returns its actions.
    pub fn decide(&mut self, now: Ns) -> Vec<Action> {
        let mut events = std::mem::take(&mut self.inbox);
        self.round_scheduled = false;
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

/// Converts a time of the module's clock to the play's.
pub fn to_play_time(at: Ns) -> Ns {
    at - EPOCH
}

fn message(id: MsgId, held: &HeldMessage, now: Ns) -> Message {
    // Clients give the remaining time in whole milliseconds.
    let left = (held.due - now) / MS * MS;
    Message { id, class: held.class, dest: held.dest.into(), time_left: left, cost: 0, key: None, tenant: 0 }
}
