//! Runs the policy alone in simulated time, to measure its memory and time per listed destination, per used
//! destination and per held message.
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
/// Duration that is reported for every call. A call itself ends in the next round, one tick later.
const CALL_DURATION: Ns = 5 * MS;
/// Maximum number of destinations without work that the policy is told of per round after a whole list:
/// `MAX_DESTINATIONS_TOLD` of the sender program.
const PENDING_PER_ROUND: usize = 128;
/// Seed of the policy's random numbers.
const POLICY_SEED: u64 = 30;
/// Where the policy's clock starts.
const CLOCK_START: Ns = 1_000 * SECOND;

/// A policy with endpoints whose calls all end with the same outcome.
pub struct ModuleHarness {
    policy: policy::Sender,
    /// The listed endpoints, from which the policy is told of those that it needs. `None` if the caller sends
    /// whole lists with `tell_whole_list`.
    catalogue: Option<Catalogue>,
    on_demand: OnDemandList,
    names: SettingsNames,
    tick: Ns,
    now: Ns,
    next_id: MsgId,
    /// The outcome of every call.
    outcome: Outcome,
    /// Ends of attempts, of which the next round tells the policy.
    attempt_ends: Vec<Event>,
    /// Number of attempts so far of each message that has not ended.
    attempts: HashMap<MsgId, u32>,
    /// Messages that the policy gave up or refused.
    pub given_up: u64,
    /// Messages that were delivered.
    pub delivered: u64,
}

impl ModuleHarness {
    /// Creates a policy that has no list yet. Every call will end with `outcome`.
    pub fn new(settings: &Settings, outcome: Outcome) -> ModuleHarness {
        ModuleHarness {
            policy: policy::Sender::new(settings.clone(), POLICY_SEED),
            catalogue: None,
            on_demand: OnDemandList::default(),
            names: settings_names(),
            tick: settings.tick,
            now: CLOCK_START,
            next_id: 1,
            outcome,
            attempt_ends: Vec::new(),
            attempts: HashMap::new(),
            given_up: 0,
            delivered: 0,
        }
    }

    /// Sends the policy a whole list, in which each destination has one endpoint of the same number.
    ///
    /// Callers without a catalogue do this.
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
        self.run_round_with(vec![Event::List { whole: true, entries }]);
    }

    /// Applies a list to the catalogue, and tells the policy of the entries that it needs.
    pub fn apply_list(&mut self, loaded: LoadedList) {
        let listed = CatalogueDirectory { catalogue: &loaded.catalogue, names: &self.names };
        let mut events = Vec::new();
        match loaded.reset {
            true => self.on_demand.directory_replaced(&self.policy, &listed, &mut events),
            false => self.on_demand.endpoints_changed(&self.policy, &listed, &loaded.changed, &mut events),
        }
        self.catalogue = Some(loaded.catalogue);
        self.run_round_with(events);
    }

    /// Returns the catalogue, if a list was applied.
    pub fn catalogue(&self) -> Option<&Catalogue> {
        self.catalogue.as_ref()
    }

    /// Returns the number of destinations that the policy holds state for.
    pub fn known_destinations(&self) -> usize {
        self.policy.known_destinations().count()
    }

    /// Returns the number of messages that are neither delivered nor given up.
    pub fn open_messages(&self) -> u64 {
        self.next_id - 1 - self.given_up - self.delivered
    }

    /// Hands `messages` messages to the policy, for the destinations in turn, `batch` messages per round.
    ///
    /// Stops after `time_limit` of real time, and returns whether all messages were handed in.
    pub fn offer(&mut self, messages: u64, batch: u64, destinations: u64, time_limit: Duration) -> bool {
        let begun = Instant::now();
        let end = self.next_id + messages;
        while self.next_id < end && begun.elapsed() < time_limit {
            let batch = batch.min(end - self.next_id);
            let mut events = Vec::new();
            (0..batch).for_each(|_| self.add_message(destinations, &mut events));
            self.run_round_with(events);
        }
        self.next_id == end
    }

    fn add_message(&mut self, destinations: u64, events: &mut Vec<Event>) {
        let (id, dest) = (self.next_id, self.next_id % destinations);
        self.next_id += 1;
        if let Some(catalogue) = &self.catalogue {
            let listed = CatalogueDirectory { catalogue, names: &self.names };
            self.on_demand.before_message(&self.policy, &listed, dest, events);
        }
        let message =
            Message { id, class: 0, dest, time_left: MESSAGE_LIFETIME, cost: 0, key: None, tenant: 0 };
        events.push(Event::Message(message));
    }

    /// Runs one round with a timer event.
    pub fn round(&mut self) {
        self.run_round_with(vec![Event::Timer]);
    }

    /// Runs a number of rounds, each of which tells the policy of the attempts that ended in the one before.
    pub fn run_rounds(&mut self, rounds: usize) {
        (0..rounds).for_each(|_| self.round());
    }

    /// Runs one round on `events` and the ends of attempts: advances the clock by one tick, has the policy
    /// handle them, and carries out its actions.
    fn run_round_with(&mut self, mut events: Vec<Event>) {
        self.now += self.tick;
        if let Some(catalogue) = &self.catalogue {
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
            // Each round is one tick after the last, and calls end by themselves: timers, probes and
            // cancellations have no effect.
            _ => {}
        }
    }
}
