//! The decision module alone, in time that passes as it is told to: what it holds by listed destination, by used
//! destination and by held message.
use super::fleet::words;
use catalogue::intake::LoadedList;
use catalogue::Catalogue;
use sender::api::{
    Action, AttemptEnd, Condition, Entry, Event, Message, MsgId, Ns, Outcome, Settings, MS, SECOND,
};
use sender::listed::{CatalogueDirectory, SettingsNames};
use sender::on_demand::OnDemandList;
use sender::policy;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long messages may wait: long enough that none ends during a run.
const LEFT: Ns = 3_600 * SECOND;
const TOOK: Ns = 5 * MS;

/// A module with endpoints that all behave alike.
/// Destinations that it is told of in a round after a whole list, as in the sender.
const CATCH_UP: usize = 128;

pub struct Module {
    policy: policy::Sender,
    /// What is listed, and told to the module as it needs it; without, it is told lists by the caller.
    directory: Option<Catalogue>,
    on_demand: OnDemandList,
    words: SettingsNames,
    tick: Ns,
    now: Ns,
    next: MsgId,
    /// How calls end.
    outcome: Outcome,
    ends: Vec<Event>,
    /// Calls so far of messages that have not ended.
    attempts: HashMap<MsgId, u32>,
    /// Messages that it gave up or refused.
    pub given_up: u64,
    /// Messages that were delivered.
    pub delivered: u64,
}

impl Module {
    pub fn new(settings: &Settings, outcome: Outcome) -> Module {
        Module {
            policy: policy::Sender::new(settings.clone(), 30),
            directory: None,
            on_demand: OnDemandList::default(),
            words: words(),
            tick: settings.tick,
            now: 1_000 * SECOND,
            next: 1,
            outcome,
            ends: Vec::new(),
            attempts: HashMap::new(),
            given_up: 0,
            delivered: 0,
        }
    }

    /// Tells it a whole list, with one endpoint of each destination's own number: what it costs a caller that keeps no
    /// directory.
    pub fn list(&mut self, destinations: u64) {
        let entry = |dest| Entry {
            endpoint: dest as u32,
            dest,
            kind: 0,
            zone: 0,
            condition: Condition::Ready,
            rate_hint: 1.0,
        };
        let entries = (0..destinations).map(entry).collect();
        self.handle(vec![Event::List { whole: true, entries }]);
    }

    /// Puts a list in force, and tells the module as much of it as it needs.
    pub fn take(&mut self, taken: LoadedList) {
        let listed = CatalogueDirectory { catalogue: &taken.catalogue, names: &self.words };
        let mut events = Vec::new();
        match taken.reset {
            true => self.on_demand.directory_replaced(&self.policy, &listed, &mut events),
            false => self.on_demand.endpoints_changed(&self.policy, &listed, &taken.changed, &mut events),
        }
        self.directory = Some(taken.catalogue);
        self.handle(events);
    }

    pub fn catalogue(&self) -> Option<&Catalogue> {
        self.directory.as_ref()
    }

    /// Destinations that it holds state for.
    pub fn known(&self) -> usize {
        self.policy.known_destinations().count()
    }

    /// Messages that are neither delivered nor given up.
    pub fn open(&self) -> u64 {
        self.next - 1 - self.given_up - self.delivered
    }

    /// Gives it messages, in turn for each destination, so many before each round; stops at the time bound and tells
    /// whether all have come.
    pub fn offer(&mut self, messages: u64, batch: u64, destinations: u64, bound: Duration) -> bool {
        let begun = Instant::now();
        let end = self.next + messages;
        while self.next < end && begun.elapsed() < bound {
            let batch = batch.min(end - self.next);
            let mut events = Vec::new();
            (0..batch).for_each(|_| self.message(destinations, &mut events));
            self.handle(events);
        }
        self.next == end
    }

    fn message(&mut self, destinations: u64, events: &mut Vec<Event>) {
        let (id, dest) = (self.next, self.next % destinations);
        self.next += 1;
        if let Some(catalogue) = &self.directory {
            let listed = CatalogueDirectory { catalogue, names: &self.words };
            self.on_demand.before_message(&self.policy, &listed, dest, events);
        }
        let message = Message { id, class: 0, dest, time_left: LEFT, cost: 0, key: None, tenant: 0 };
        events.push(Event::Message(message));
    }

    /// One round of the timer.
    pub fn round(&mut self) {
        self.handle(vec![Event::Timer]);
    }

    /// Rounds for as long as it has ends to hear of, and some more.
    pub fn settle(&mut self, rounds: usize) {
        (0..rounds).for_each(|_| self.round());
    }

    fn handle(&mut self, mut events: Vec<Event>) {
        self.now += self.tick;
        if let Some(catalogue) = &self.directory {
            let listed = CatalogueDirectory { catalogue, names: &self.words };
            self.on_demand.tell_pending(&self.policy, &listed, CATCH_UP, &mut events);
        }
        events.append(&mut self.ends);
        let mut actions = Vec::new();
        self.policy.handle(self.now, &events, &mut actions);
        self.on_demand.events_handled();
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, endpoint, .. } => {
                let next = self.attempts.entry(id).or_default();
                let (attempt, done) = (*next, self.outcome == Outcome::Served);
                *next += 1;
                let end = AttemptEnd {
                    id,
                    attempt,
                    endpoint,
                    outcome: self.outcome,
                    took: TOOK,
                    done,
                    retry_after: 0,
                    report: None,
                };
                if done {
                    self.attempts.remove(&id);
                    self.delivered += 1;
                }
                self.ends.push(Event::AttemptEnd(end));
            }
            Action::Refuse { id, .. } | Action::Fail { id } => {
                self.attempts.remove(&id);
                self.given_up += 1;
            }
            _ => {}
        }
    }
}
