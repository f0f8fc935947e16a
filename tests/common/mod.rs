//! A test harness for the policy: settings, one sender, and the actions of its last round.
#![allow(dead_code)]
use sender::api::*;
use sender::policy::Sender;

/// The time at which tests start.
pub const START_TIME: Ns = 1_000 * SECOND;

/// A class with an effect, and with times and worths that suit most tests.
pub fn class(effect: Effect) -> Class {
    Class {
        latency_target: 2 * SECOND,
        latency_target_per_cost: 0.0,
        deadline: 16 * SECOND,
        effect,
        dedup_scope: DedupScope::All,
        dedup_window: 4 * SECOND,
        worth: 1.0,
        late_worth: 0.3,
        in_order: false,
    }
}

/// Settings with a class for each effect (0: keyed, 1: safe, 2: unsafe) and three kinds of endpoint (0:
/// plain, 1: separate routes, 2: batches of 5).
pub fn settings() -> Settings {
    Settings {
        classes: vec![class(Effect::Keyed), class(Effect::Safe), class(Effect::Unsafe)],
        kinds: vec![
            EndpointKind { max_batch: 1, separate_routes: false },
            EndpointKind { max_batch: 1, separate_routes: true },
            EndpointKind { max_batch: 5, separate_routes: false },
        ],
        sender_count: 2,
        tick: 5 * MS,
        slots: 12,
        max_open: 100,
        max_attempts: 8,
        may_cancel: true,
        streams_per_connection: 1,
        idle_timeout: 10 * SECOND,
        connect_timeout: SECOND,
        slow_start_capacity: 0.2,
        slow_start_window: 10 * SECOND,
        overload_factor: 2.0,
        overload_duration: 3 * SECOND,
        key_quiet_period: SECOND,
        ..Settings::default()
    }
}

/// A ready entry of a list.
pub fn entry(endpoint: EndpointId, dest: DestId, kind: usize) -> Entry {
    Entry { endpoint, dest, kind, zone: 0, condition: Condition::Ready, rate_hint: 0.0 }
}

/// A message with 16 s to its deadline.
pub fn message(id: MsgId, dest: DestId, class: usize) -> Message {
    let time_left = 16 * SECOND;
    Message { id, class, dest, time_left, cost: 0, key: None, tenant: 0 }
}

/// The end of an attempt after 100 ms.
pub fn attempt_end(id: MsgId, attempt: u32, endpoint: EndpointId, outcome: Outcome) -> AttemptEnd {
    let took = 100 * MS;
    let done = outcome == Outcome::Served;
    AttemptEnd { id, attempt, endpoint, outcome, took, done, retry_after: 0, report: None }
}

/// A sender and its clock.
pub struct Harness {
    pub sender: Sender,
    pub now: Ns,
    pub actions: Vec<Action>,
}

impl Harness {
    /// Creates a sender that was told of a whole list.
    pub fn new(settings: Settings, entries: &[Entry]) -> Harness {
        let mut harness = Harness { sender: Sender::new(settings, 7), now: START_TIME, actions: Vec::new() };
        harness.handle(vec![Event::List { whole: true, entries: entries.to_vec() }]);
        harness
    }

    /// Has the sender handle events at the current time.
    pub fn handle(&mut self, events: Vec<Event>) -> Vec<Action> {
        self.actions.clear();
        self.sender.handle(self.now, &events, &mut self.actions);
        self.actions.clone()
    }

    /// Advances the clock in ticks of 5 ms with a timer event at each, and returns all actions with their
    /// times.
    pub fn advance(&mut self, span: Ns) -> Vec<(Ns, Action)> {
        let until = self.now + span;
        let mut all = Vec::new();
        while self.now < until {
            self.now += 5 * MS;
            let now = self.now;
            all.extend(self.handle(vec![Event::Timer]).into_iter().map(|a| (now, a)));
        }
        all
    }

    /// Has the sender handle a new message.
    pub fn submit(&mut self, message: Message) -> Vec<Action> {
        self.handle(vec![Event::Message(message)])
    }

    /// Has the sender handle the end of an attempt.
    pub fn end_attempt(&mut self, e: AttemptEnd) -> Vec<Action> {
        self.handle(vec![Event::AttemptEnd(e)])
    }
}

/// Returns the messages that are sent, each with its endpoint.
pub fn sends(actions: &[Action]) -> Vec<(MsgId, EndpointId)> {
    let send = |a: &Action| match a {
        Action::Send { id, endpoint, .. } => Some((*id, *endpoint)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Returns the actions that end a message undelivered.
pub fn final_actions(actions: &[Action]) -> Vec<Action> {
    actions.iter().copied().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })).collect()
}

/// Drops the times of actions.
pub fn without_times(timed: &[(Ns, Action)]) -> Vec<Action> {
    timed.iter().map(|&(_, a)| a).collect()
}
