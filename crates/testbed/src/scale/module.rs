//! Runs the decision module alone in simulated time, to measure its state per listed destination, used
//! destination and held message.
use super::fleet::settings_names;
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

/// Time that messages have left: long enough that none expires during a run.
const MESSAGE_LIFETIME: Ns = 3_600 * SECOND;
/// Duration of every call.
const CALL_DURATION: Ns = 5 * MS;
/// Destinations that the module is told of per round after a whole list, as in the sender.
const PENDING_PER_ROUND: usize = 128;

/// A decision module with endpoints on which all calls end alike.
pub struct ModuleHarness {
    policy: policy::Sender,
    /// The catalogue, of which the module is told what it needs; without one, the caller tells it whole
    /// lists.
    directory: Option<Catalogue>,
    on_demand: OnDemandList,
    names: SettingsNames,
    tick: Ns,
    now: Ns,
    next_id: MsgId,
    /// The outcome of every call.
    outcome: Outcome,
    /// Ends of attempts that the module has not been told of.
    attempt_ends: Vec<Event>,
    /// Calls so far of each message that has not ended.
    attempts: HashMap<MsgId, u32>,
    /// Messages that the module gave up or refused.
    pub given_up: u64,
    /// Messages that were delivered.
    pub delivered: u64,
}

impl ModuleHarness {
    /// Starts a module without a list, on whose endpoints every call ends with `outcome`.
    pub fn new(settings: &Settings, outcome: Outcome) -> ModuleHarness {
        ModuleHarness {
            policy: policy::Sender::new(settings.clone(), 30),
            directory: None,
            on_demand: OnDemandList::default(),
            names: settings_names(),
            tick: settings.tick,
            now: 1_000 * SECOND,
            next_id: 1,
            outcome,
            attempt_ends: Vec::new(),
            attempts: HashMap::new(),
            given_up: 0,
            delivered: 0,
        }
    }

    /// Tells the module a whole list, in which each destination has one endpoint of the same number.
    ///
    /// This is what a caller does that keeps no directory.
    pub fn tell_whole_list(&mut self, destinations: u64) {
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

    /// Applies a list, and tells the module as much of it as it needs.
    pub fn apply_list(&mut self, loaded: LoadedList) {
        let listed = CatalogueDirectory { catalogue: &loaded.catalogue, names: &self.names };
        let mut events = Vec::new();
        match loaded.reset {
            true => self.on_demand.directory_replaced(&self.policy, &listed, &mut events),
            false => self.on_demand.endpoints_changed(&self.policy, &listed, &loaded.changed, &mut events),
        }
        self.directory = Some(loaded.catalogue);
        self.handle(events);
    }

    /// Returns the catalogue, if a list was applied.
    pub fn catalogue(&self) -> Option<&Catalogue> {
        self.directory.as_ref()
    }

    /// Returns the number of destinations that the module holds state for.
    pub fn known_destinations(&self) -> usize {
        self.policy.known_destinations().count()
    }

    /// Returns the number of messages that are neither delivered nor given up.
    pub fn open_messages(&self) -> u64 {
        self.next_id - 1 - self.given_up - self.delivered
    }

    /// Hands messages to the module for each destination in turn, `batch` before each round.
    ///
    /// Stops after `time_limit` of real time, and returns whether all messages were handed in.
    pub fn offer(&mut self, messages: u64, batch: u64, destinations: u64, time_limit: Duration) -> bool {
        let begun = Instant::now();
        let end = self.next_id + messages;
        while self.next_id < end && begun.elapsed() < time_limit {
            let batch = batch.min(end - self.next_id);
            let mut events = Vec::new();
            (0..batch).for_each(|_| self.add_message(destinations, &mut events));
            self.handle(events);
        }
        self.next_id == end
    }

    fn add_message(&mut self, destinations: u64, events: &mut Vec<Event>) {
        let (id, dest) = (self.next_id, self.next_id % destinations);
        self.next_id += 1;
        if let Some(catalogue) = &self.directory {
            let listed = CatalogueDirectory { catalogue, names: &self.names };
            self.on_demand.before_message(&self.policy, &listed, dest, events);
        }
        let message =
            Message { id, class: 0, dest, time_left: MESSAGE_LIFETIME, cost: 0, key: None, tenant: 0 };
        events.push(Event::Message(message));
    }

    /// Runs one round with a timer event.
    pub fn round(&mut self) {
        self.handle(vec![Event::Timer]);
    }

    /// Runs a number of rounds, so that the module hears of all ended attempts.
    pub fn run_rounds(&mut self, rounds: usize) {
        (0..rounds).for_each(|_| self.round());
    }

    fn handle(&mut self, mut events: Vec<Event>) {
        self.now += self.tick;
        if let Some(catalogue) = &self.directory {
            let listed = CatalogueDirectory { catalogue, names: &self.names };
            self.on_demand.tell_pending(&self.policy, &listed, PENDING_PER_ROUND, &mut events);
        }
        events.append(&mut self.attempt_ends);
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
                let next_attempt = self.attempts.entry(id).or_default();
                let (attempt, done) = (*next_attempt, self.outcome == Outcome::Served);
                *next_attempt += 1;
                let end = AttemptEnd {
                    id,
                    attempt,
                    endpoint,
                    outcome: self.outcome,
                    took: CALL_DURATION,
                    done,
                    retry_after: 0,
                    report: None,
                };
                if done {
                    self.attempts.remove(&id);
                    self.delivered += 1;
                }
                self.attempt_ends.push(Event::AttemptEnd(end));
            }
            Action::Refuse { id, .. } | Action::Fail { id } => {
                self.attempts.remove(&id);
                self.given_up += 1;
            }
            _ => {}
        }
    }
}
