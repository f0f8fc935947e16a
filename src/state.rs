//! The state of the policy: plain records, stored by the names of their fields in snapshots and handed over
//! to the next process in an upgrade. Every decision and every constant is in [`crate::policy`].

use crate::api::*;
use crate::statistics::{DecayingStat, RateMeter, StatMap};
use crate::stored::StoredDest;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Earlier than any time of the clock.
pub const LONG_AGO: Ns = Ns::MIN / 2;

/// One message's part in a call.
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    pub endpoint: EndpointId,
    pub zone: usize,
    /// Key in `Sender::calls`; `u64::MAX` for an attempt of an earlier process.
    pub call: u64,
    #[serde(rename = "sent")]
    pub sent_at: Ns,
    #[serde(rename = "out")]
    pub in_flight: bool,
    pub may_have_run: bool,
}

/// A message that the sender has accepted and that has not ended, or has an attempt in flight.
#[derive(Serialize, Deserialize)]
pub struct OpenMessage {
    pub message: Message,
    #[serde(rename = "arrived")]
    pub accepted_at: Ns,
    /// When its client first handed it in.
    #[serde(rename = "born")]
    pub first_handed_in_at: Ns,
    #[serde(rename = "end")]
    pub deadline_at: Ns,
    pub attempts: Vec<Attempt>,
    /// The message needs no further attempt and is kept only for its attempts in flight.
    #[serde(rename = "over")]
    pub ended: bool,
}

impl OpenMessage {
    /// Returns whether an attempt is in flight.
    pub fn in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight)
    }
}

/// A call in flight. Its messages share one slot, and its first outcome counts for its route.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Call {
    pub dest: DestId,
    pub endpoint: EndpointId,
    pub route: RouteId,
    /// Calls to the destination that were in flight when this one was sent, with this one, up to the highest
    /// cap.
    #[serde(rename = "level")]
    pub concurrency: usize,
    #[serde(rename = "sent")]
    pub sent_at: Ns,
    /// Messages whose attempts have not ended.
    #[serde(rename = "left")]
    pub pending: usize,
    /// The outcome of one of its messages has been counted for its route.
    #[serde(rename = "judged")]
    pub outcome_counted: bool,
    /// The call has been counted as a failure because it was overdue.
    pub overdue: bool,
    /// A trial call of a half-open route.
    pub trial: bool,
    pub messages: Vec<MsgId>,
    pub cancelled: bool,
}

/// One endpoint, as the lists describe it and as the calls to it found it.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Endpoint {
    pub dest: DestId,
    pub kind: usize,
    pub zone: usize,
    /// Pseudo-random rank from the sender's seed: of otherwise equal endpoints the lowest rank is called
    /// first.
    #[serde(rename = "lot")]
    pub tie_break: u32,
    /// The last list has it as ready.
    pub listed: bool,
    /// It is listed, and operators have not taken it out.
    pub usable: bool,
    /// When operators put it back. It was restarted meanwhile, so it has a slow start of its own.
    #[serde(rename = "back_at")]
    pub put_back_at: Option<Ns>,
    /// Token bucket of that slow start.
    pub tokens: f64,
    #[serde(rename = "filled_at")]
    pub refilled_at: Ns,
    /// Calls in flight.
    pub in_flight: usize,
    /// When a call last started or ended.
    pub used_at: Ns,
    /// Time from the previous `served_at` to the last call that was served.
    #[serde(rename = "gap")]
    pub served_interval: Ns,
    /// Most connections needed at once since the idle ones were last closed: an estimate of the open ones.
    #[serde(rename = "warm")]
    pub open_connections: usize,
    /// When the endpoint last served a call, or responded that all its connections are in use.
    pub served_at: Ns,
    /// Until this time other endpoints are preferred.
    pub avoid_until: Ns,
}

/// What shares one rate limit and one outage: a destination, or one endpoint where routes are separate.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Route {
    /// Reported rate limit in calls per second over all senders (0: no limit); `None` until there is a
    /// report.
    #[serde(rename = "limit")]
    pub reported_limit: Option<f64>,
    /// Rate limit of the list in calls per second (0: none).
    #[serde(rename = "hint")]
    pub listed_limit: f64,
    /// Estimated limit in calls per second of a route for which neither a report nor a list gives one (0: no
    /// sign of a limit yet). It is the rate of this sender alone.
    #[serde(rename = "learned")]
    pub estimated_limit: f64,
    /// Rate of the calls sent.
    #[serde(rename = "sent")]
    pub sent_rate: RateMeter,
    /// Rate of the calls served outside outages.
    #[serde(rename = "usual")]
    pub usual_rate: RateMeter,
    /// Time of the last refusal of a call that was sent after the refusal before it.
    pub refused_at: Ns,
    /// This sender's share of the limit at `share_at` (see `Route::current_share`).
    pub share: f64,
    pub share_at: Ns,
    /// The share when the current run of refusals began.
    pub share_before: f64,
    /// Token bucket of the route.
    pub tokens: f64,
    #[serde(rename = "filled_at")]
    pub refilled_at: Ns,
    /// End of the wait that a response asked for.
    #[serde(rename = "wait_until")]
    pub retry_after_until: Ns,
    /// End of the sender's own backoff.
    #[serde(rename = "not_before")]
    pub backoff_until: Ns,
    /// Failures in a row.
    pub failures: u32,
    /// Refusals in a row, counting those of calls sent together once.
    pub refusals: u32,
    /// Calls in a row for which the endpoint had no free connection, counted in the same way.
    #[serde(rename = "crowded")]
    pub connection_refusals: u32,
    /// Exponentially weighted share of calls that failed.
    #[serde(rename = "failing")]
    pub failure_share: f64,
    /// The circuit breaker is half-open: only single trial calls are sent.
    #[serde(rename = "doubt")]
    pub half_open: bool,
    /// The route is in an outage or in the slow start after one.
    #[serde(rename = "cold")]
    pub slow_start: bool,
    /// An earlier process left work for the route, and no served call of the route is known.
    pub inherited: bool,
    /// Calls were served between the failures of the outage.
    #[serde(rename = "partial")]
    pub partial_outage: bool,
    /// No call has been served since the last sign of an outage.
    #[serde(rename = "away")]
    pub down: bool,
    /// Estimated end of the outage: the last failure until a call is served, then half-way between the last
    /// failure and the start of that call.
    #[serde(rename = "back_at")]
    pub recovered_at: Ns,
    /// When the next trial call may be sent.
    #[serde(rename = "next_trial")]
    pub next_trial_at: Ns,
    /// Decaying count of the calls served.
    #[serde(rename = "served")]
    pub served_count: DecayingStat,
    /// Calls in flight.
    pub in_flight: usize,
}

/// One destination: its cap, the messages that wait for it, and what was measured of it.
#[derive(Default, Serialize, Deserialize)]
#[serde(from = "StoredDest")]
pub struct Dest {
    /// Maximum number of calls in flight.
    pub cap: usize,
    /// Calls in flight.
    pub in_flight: usize,
    /// Messages that wait for a call, in ascending order.
    pub held: Vec<MsgId>,
    /// Endpoints of the destination, in ascending order.
    #[serde(rename = "places")]
    pub endpoints: Vec<EndpointId>,
    /// When the periodic work last found calls in flight or held messages.
    pub used_at: Ns,
    /// When the destination is considered next: its entry in `Sender::agenda` while messages are held.
    #[serde(rename = "look_at")]
    pub due_at: Ns,
    /// Latency in nanoseconds, by class and concurrency. An attempt that was not served counts with the
    /// latency target of its class if its outcome measures latency.
    #[serde(rename = "cells")]
    pub latencies: StatMap<(usize, usize)>,
    /// Arrivals of messages by class.
    pub arrivals: StatMap<usize>,
    /// Duration, in nanoseconds, of the attempts that were served, timed out or were cancelled.
    pub latency: DecayingStat,
    /// Decaying count of the messages served, from which the turn of held ones is estimated.
    #[serde(rename = "served")]
    pub served_count: DecayingStat,
    /// The destination's state held calls back when the cleanup last considered it.
    #[serde(skip)]
    pub restrains: bool,
}

/// The open messages of one ordering key.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyQueue {
    /// Oldest first; only the first may be sent.
    pub queue: VecDeque<MsgId>,
    /// Nothing new is sent until then, as an attempt may still be running.
    #[serde(rename = "rest_until")]
    pub quiet_until: Ns,
}

/// A destination and one of its endpoints, or `EndpointId::MAX` where its endpoints share one route.
pub type RouteId = (DestId, EndpointId);
/// A call that may be made: destination, endpoint, messages, and worth per nanosecond that it holds a slot.
pub type CallCandidate = (DestId, EndpointId, Vec<MsgId>, f64);
