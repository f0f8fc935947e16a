//! The interface of the policy: its settings, the events it receives and the actions it returns.
//!
//! Data only: every decision is in [`crate::policy`].

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in nanoseconds. The clock has an arbitrary origin and never goes back.
pub type Ns = i64;
/// One millisecond.
pub const MS: Ns = 1_000_000;
/// One second.
pub const SECOND: Ns = 1_000 * MS;

/// The caller's number for a message; it is not reused after the message has ended.
pub type MsgId = u64;
/// The caller's number for an endpoint; it stays the same while the sender runs.
pub type EndpointId = u32;
/// The number of a destination (one partner's system).
pub type DestId = u64;

/// Whether a message may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated at any time.
    Safe,
    /// It carries an idempotency key: it may be repeated within the deduplication window and scope.
    Keyed,
    /// It may never be repeated.
    Unsafe,
}

/// Which endpoints of a destination recognise a repeat of a keyed message and drop it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints of the destination together.
    All,
    /// The endpoints of one zone together.
    Zone,
    /// Each endpoint by itself.
    Endpoint,
}

/// A kind of message: its time limits, its worth, and whether it may be repeated.
#[derive(Clone, Debug)]
pub struct Class {
    /// Time from the first hand-in within which a delivered message earns its full worth.
    pub latency_target: Ns,
    /// The latency target grows by this multiple of [`Message::cost`].
    pub latency_target_per_cost: f64,
    /// Time from the first hand-in until the message is given up.
    pub deadline: Ns,
    pub effect: Effect,
    /// Where repeats of a keyed message are dropped.
    pub dedup_scope: DedupScope,
    /// How long repeats of a keyed message are dropped, from the first attempt that may have run.
    pub dedup_window: Ns,
    /// What a message is worth that is delivered within its latency target.
    pub worth: f64,
    /// Share of the worth that is left at the deadline; with exponential decay, the least share until then.
    pub late_worth: f64,
    /// Messages with the same key are delivered one at a time, in the order of their arrival.
    pub in_order: bool,
}

/// Properties of the endpoints of one kind (machine type).
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointKind {
    /// Maximum number of messages in one call.
    pub max_batch: usize,
    /// Each endpoint is a route of its own, with its own rate limit and outages.
    pub separate_routes: bool,
}

/// On whose behalf messages are sent.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Messages per second, over all senders, that earn their full worth.
    pub quota_per_s: f64,
}

/// The settings of the policy and its caller. The policy itself does not read `tenants`,
/// `over_quota_worth`, `may_probe`, `connect_timeout`, `overload_duration`, the prices and `route_fee`.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Indexed by [`Message::class`].
    pub classes: Vec<Class>,
    /// Indexed by [`Entry::kind`].
    pub kinds: Vec<EndpointKind>,
    /// Indexed by [`Message::tenant`].
    pub tenants: Vec<Tenant>,
    /// Share of the worth of a message beyond its tenant's quota.
    pub over_quota_worth: f64,
    /// After the latency target the worth halves with each further target's length; otherwise it falls
    /// linearly to the deadline.
    pub exponential_decay: bool,
    /// Number of senders in the fleet.
    pub sender_count: usize,
    /// The zone of this sender.
    pub zone: usize,
    /// Resolution of the caller's timers.
    pub tick: Ns,
    /// Maximum number of calls that this sender has in flight.
    pub slots: usize,
    /// Maximum number of open messages, sent or not.
    pub max_open: usize,
    /// Maximum number of attempts of a message.
    pub max_attempts: u32,
    /// Longest backoff that clients follow.
    pub max_retry_after: Ns,
    /// A message may have several attempts in flight at once.
    pub may_duplicate: bool,
    /// The sender may probe endpoints.
    pub may_probe: bool,
    /// The sender may cancel calls.
    pub may_cancel: bool,
    /// Maximum number of calls that share a connection.
    pub streams_per_connection: usize,
    /// Time without use after which a connection is closed.
    pub idle_timeout: Ns,
    /// Time limit for opening a connection.
    pub connect_timeout: Ns,
    /// The weight of an endpoint in a list is a rate limit in calls per second.
    pub rate_hints: bool,
    /// Those rates are only approximate.
    pub rough_rate_hints: bool,
    /// Share of its capacity that a destination has when it comes back from an outage.
    pub slow_start_capacity: f64,
    /// Time from the end of an outage until the destination has its full capacity again.
    pub slow_start_window: Ns,
    /// Multiple of its present capacity at which a destination in slow start fails again.
    pub overload_factor: f64,
    /// How long such an overload must last until the destination fails.
    pub overload_duration: Ns,
    /// How long nothing is sent for an ordering key after an attempt that may still run.
    pub key_quiet_period: Ns,
    /// Price of opening a connection.
    pub price_handshake: f64,
    /// Price of a call to another zone.
    pub price_cross_zone: f64,
    /// Price of a refused message.
    pub price_refused: f64,
    /// Price of wasted work.
    pub price_waste: f64,
    /// Price of each message that a separate route takes, by the zone of its endpoint.
    pub route_fee: Vec<f64>,
}

/// Whether an endpoint may be called, as its list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It takes calls.
    Ready,
    /// It is still listed and takes no new calls.
    Draining,
    /// It is not listed any more.
    Gone,
}

/// One endpoint of a list.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub endpoint: EndpointId,
    pub dest: DestId,
    pub kind: usize,
    pub zone: usize,
    pub condition: Condition,
    /// Rate limit in calls per second; used only with `Settings::rate_hints`.
    pub rate_hint: f64,
}

/// A message that a client has handed in.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Message {
    pub id: MsgId,
    pub class: usize,
    pub dest: DestId,
    /// Time until its deadline.
    #[serde(rename = "left")]
    pub time_left: Ns,
    /// Expected processing time of this message itself.
    pub cost: Ns,
    /// Idempotency and ordering key.
    pub key: Option<u64>,
    pub tenant: usize,
}

/// What a response reported of the destination's rate limit.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LimitReport {
    /// Share of the allowance that is unused.
    #[serde(rename = "left")]
    pub remaining: f64,
    /// Calls per second over all senders; 0 if there is no limit.
    pub limit: f64,
}

/// How an attempt ended. The names of the variants are stored and logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The endpoint has processed the message.
    Served,
    /// The endpoint reported an error; the message may have run.
    ServerError,
    /// The endpoint refused the message without running it.
    TurnedAway,
    /// No response came in time.
    NoAnswer,
    /// No connection could be opened.
    NoConnection,
    /// The endpoint responded that all its connections are in use. It is up, and its rate limit was not
    /// involved.
    Crowded,
    /// The connection was lost before the response.
    ConnectionLost,
    /// The sender cancelled the call.
    CalledOff,
    /// The message was not sent, or was not processed for a reason that says nothing about the endpoint's
    /// health.
    NotSent,
    /// The endpoint cannot accept this message: it did not run, and further calls would end in the same way.
    Malformed,
}

impl Outcome {
    /// Returns whether it proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::TurnedAway
                | Outcome::NoConnection
                | Outcome::Crowded
                | Outcome::NotSent
                | Outcome::Malformed
        )
    }

    /// Returns whether the duration of the attempt is a measure of the destination's latency.
    pub fn measures_latency(self) -> bool {
        !matches!(
            self,
            Outcome::NotSent
                | Outcome::CalledOff
                | Outcome::NoConnection
                | Outcome::Crowded
                | Outcome::Malformed
        )
    }

    /// Returns whether the attempt may still be running at the endpoint.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::NoAnswer | Outcome::ConnectionLost | Outcome::CalledOff)
    }
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AttemptEnd {
    pub id: MsgId,
    /// Number of the attempt among those of its message, from 0.
    pub attempt: u32,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    /// Duration of the attempt.
    pub took: Ns,
    /// The message has ended, with this attempt or before.
    pub done: bool,
    /// How long the response asked to send nothing to the route of the endpoint; 0 if it did not ask.
    #[serde(rename = "wait")]
    pub retry_after: Ns,
    pub report: Option<LimitReport>,
}

/// An attempt made by an earlier process. Its times are on the clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct PastAttempt {
    /// None if the endpoint is not listed any more.
    pub endpoint: Option<EndpointId>,
    pub sent: Ns,
    pub may_have_run: bool,
}

/// What the caller tells the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// A list of endpoints. With `whole`, endpoints that are missing from it are gone.
    List { whole: bool, entries: Vec<Entry> },
    /// The entries of a destination, before a message for it. After the first of these events the policy
    /// drops the state of destinations that it does not need: the caller looks them up again (see
    /// [`crate::on_demand`]).
    LookedUp { entries: Vec<Entry> },
    /// A new message.
    Message(Message),
    /// Operators have taken an endpoint out of use, whatever lists say of it, or have put it back at time
    /// `at`, at which its slow start begins.
    Maint { endpoint: EndpointId, out: bool, at: Ns },
    /// A message that an earlier process of this sender accepted. `past` are its attempts so far; all of them
    /// ended with that process at the latest.
    Resumed { message: Message, past: Vec<PastAttempt> },
    /// Another process of this sender has made further attempts of a message that is open here. They have
    /// ended with that process at the latest.
    AttemptsAdded { id: MsgId, attempts: Vec<PastAttempt> },
    /// An attempt has ended.
    AttemptEnd(AttemptEnd),
    /// The message is withdrawn: the sender no longer has to deliver it.
    Withdrawn { id: MsgId },
    /// The result of an [`Action::Probe`]. The policy ignores it.
    Probed { endpoint: EndpointId, outcome: Outcome, report: Option<LimitReport> },
    /// The time of an [`Action::Timer`] has come.
    Timer,
}

/// What the policy asks its caller to do. The `Debug` text is compared with recorded decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Starts an attempt. Messages that one call to [`crate::policy::Sender::handle`] sends to one endpoint
    /// share an HTTP call, up to `EndpointKind::max_batch`.
    Send {
        id: MsgId,
        endpoint: EndpointId,
        /// Time-out of the call; 0: until the message's deadline.
        limit: Ns,
        /// Latest time at which its first byte may be written, however long connecting takes.
        by: Ns,
    },
    /// Ends a message that did not run or may be repeated: its client may hand it in again after `backoff`.
    Refuse { id: MsgId, backoff: Ns },
    /// Ends a message that may have run, or that its endpoint cannot accept.
    Fail { id: MsgId },
    /// Cancels an attempt that is in flight.
    Cancel { id: MsgId, attempt: u32 },
    /// Checks whether an endpoint is up. The policy requests no probes.
    Probe { endpoint: EndpointId },
    /// Closes this sender's idle connections to an endpoint.
    Close { endpoint: EndpointId },
    /// Requests an [`Event::Timer`] at or after this time.
    Timer { at: Ns },
}
