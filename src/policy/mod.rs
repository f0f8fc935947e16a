//! The policy: makes every decision of a sender, without any input or output. Its interface (settings,
//! events, actions) is [`crate::api`].
//!
//! The main rule follows the QoSmax paper. Each destination has a cap on its calls in flight. Every
//! `CONTROL_PERIOD` the cap is chosen again as the concurrency that maximises concurrency x share of the
//! arrivals whose class meets its latency target by its mean latency + deviation. A message is sent while
//! its destination is below the cap and is held otherwise; messages that were held too long are refused
//! once the room for messages is nearly used up (`shedding`).
//!
//! Around this rule there are token buckets for rate limits, a circuit breaker and a slow start per route for
//! outages, and guards that keep the effect, order and deadline of each message.

mod caps;
mod handover;
mod listed;
mod shedding;

use crate::api::*;
pub use crate::state::RouteId;
use crate::state::*;
use caps::{choose_cap, max_cap, overdue_after};
pub use handover::LearnedRoute;
use handover::RouteChanges;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::mem::take;

/// Interval of the periodic work: caps are chosen, held messages considered and overdue calls found (the
/// control rate of the paper).
const CONTROL_PERIOD: Ns = 100 * MS;
/// The admission wait of the paper: this or 10% of the expected latency, whichever is longer.
const MIN_ADMISSION_WAIT: Ns = 100 * MS;
/// Half-life of the statistics of latency, arrivals and served calls or messages, in nanoseconds.
pub(crate) const HALF_LIFE_NS: f64 = 3e9;
/// Weighted count below which a statistic counts as not measured.
const MIN_WEIGHT: f64 = 0.15;
/// Weighted count below which a statistic is dropped: the next value would outweigh it by far.
const NEGLIGIBLE_WEIGHT: f64 = 1e-6;
/// Once a destination's latency is measured, the duration of a further call counts up to this multiple of
/// the mean latency plus `OVERDUE_DEVIATIONS` deviations, or up to `MIN_OVERDUE` if that is longer.
const LATENCY_BOUND_FACTOR: f64 = 1.5;
/// Lower bound of a destination's service rate, in messages per second, from which the turn of a held
/// message is estimated.
const MIN_SERVICE_RATE: f64 = 0.1;
/// Bounds of the time in which a queue is expected to be served.
const MIN_QUEUE_TIME: Ns = SECOND;
const MAX_QUEUE_TIME: Ns = 30 * SECOND;
/// Time that a message must have left for another attempt if its call is cancelled early.
const MIN_RESEND_TIME: Ns = SECOND;
/// Shortest time between trial calls of a half-open route.
const MIN_TRIAL_INTERVAL: Ns = 500 * MS;
/// Longest time between trial calls of a half-open route, for each sender of the fleet; at least 3 are
/// counted.
const MAX_TRIAL_INTERVAL_PER_SENDER: Ns = SECOND;
/// Subtracted from the urgency of an unsafe message on a half-open route, so that it is sent last.
const UNSAFE_TRIAL_PENALTY: f64 = 1e6;
/// Share of the slots that trial calls to all half-open routes may hold together.
const HALF_OPEN_SLOT_SHARE: f64 = 0.25;
/// Failures in a row that make a route half-open.
const HALF_OPEN_FAILURES: u32 = 3;
/// Weighted share of failed calls that makes a route half-open.
const HALF_OPEN_FAILURE_SHARE: f64 = 0.6;
/// Factor by which each served or failed call lowers the weighted share of failed calls.
const FAILURE_SHARE_DECAY: f64 = 0.7;
/// Amount that a failed call then adds to the weighted share of failed calls.
const FAILURE_WEIGHT: f64 = 0.3;
/// Number of refusals or failures in a row that begin a slow start. Refusals do so if no limit is known;
/// failures if no limit is known and the fleet is large, or if an earlier process left work. The number is
/// low because each of many senders sees only a few calls of an outage.
const SLOW_START_FAILURES: u32 = 2;
/// Refusals in a row that count as an outage even where a rate limit might explain them.
const OUTAGE_REFUSALS: u32 = 4;
/// Unused share of the allowance above which a refusal is a sign of an outage.
const OUTAGE_ALLOWANCE: f64 = 0.4;
/// A refusal that asks for a wait of at least this length is a sign of an outage, as a rate limit asks for
/// less.
const OUTAGE_RETRY_AFTER: Ns = 1_500 * MS;
/// Share that the senders use of the rate that would overload a destination in slow start.
const OVERLOAD_BUDGET_SHARE: f64 = 0.7;
/// Share of an approximate listed limit that is used.
const ROUGH_LIMIT_SHARE: f64 = 0.6;
/// A call is overdue after its destination's mean latency plus this many deviations. It times out after twice
/// that time if its messages may be sent again.
const OVERDUE_DEVIATIONS: f64 = 3.0;
/// Lower bound of the time after which a call is overdue. Its upper bound is the longest latency target of
/// the classes, if that is longer than this.
const MIN_OVERDUE: Ns = 400 * MS;

/// Minimum time for which the state of a route that is not listed any more is kept, from the latest of its
/// estimated recovery, its next trial call and the end of the wait that a response asked for. It is dropped
/// earlier if its destination is unused.
const KEEP_DELISTED: Ns = 60 * SECOND;

/// Destinations without use for this time are dropped if the caller looks them up and their state holds no
/// calls back. They start anew when used again: by then their latency statistics have decayed, and their
/// share of a limit has mostly recovered.
const DESTINATION_IDLE_TIMEOUT: Ns = 60 * SECOND;
/// Maximum number of idle destinations: of those beyond it, the ones unused for the longest are dropped
/// earlier.
const MAX_IDLE_DESTINATIONS: usize = 2_048;
/// Interval of the cleanup of unused state.
const CLEANUP_INTERVAL: Ns = 10 * SECOND;
/// Maximum number of destinations that the cleanup considers in one batch of events.
const CLEANUP_BATCH: usize = 512;

/// How long other endpoints are preferred to one after a failed or overdue call to it.
const AVOID_ENDPOINT: Ns = SECOND;
/// How long the connections to a kind of endpoint count as scarce after a call to one of them got none.
const CONNECTION_SCARCITY: Ns = 60 * SECOND;

/// Factor by which each served call without a report raises the share of the limit. Near the limit about one
/// call in twenty is then refused, as a refusal lowers the share by a fifth.
const SHARE_GROWTH: f64 = 1.01;
/// Factor by which a refusal lowers the share.
const REFUSAL_SHARE_FACTOR: f64 = 0.8;
/// Lower bound of the share after a refusal, as a part of an equal share among all senders.
const REFUSAL_SHARE_FLOOR: f64 = 0.5;
/// Upper bound of the time that a refusal adds to the validity of the share, in nanoseconds.
const MAX_SHARE_PAUSE_NS: f64 = 30e9;
/// Above this unused share of the allowance a report raises the share of the sender.
const AMPLE_ALLOWANCE: f64 = 0.5;
/// Below this unused share of the allowance a report lowers the share of the sender.
const SCANT_ALLOWANCE: f64 = 0.2;
/// Factor by which such a report lowers the share.
const SCANT_SHARE_FACTOR: f64 = 0.95;
/// Lower bound of the share after such a report, as a part of an equal share among all senders.
const SCANT_SHARE_FLOOR: f64 = 0.7;
/// Weight of a new report in the exponentially weighted mean of the reported limits.
const REPORT_WEIGHT: f64 = 0.3;

/// Burst of a route's token bucket: the calls of this many seconds at its rate.
const BURST_TIME_S: f64 = 0.4;
/// Maximum burst of a route's token bucket, in calls; the minimum is one call.
const MAX_BURST: f64 = 4.0;

/// At most this many senders are assumed to have work for a destination at the same time: a share starts as
/// an equal part among them. With an equal part among all, the work of one sender of a large fleet would be
/// paced to its deadline although the limit is mostly unused. A fleet of more senders than this counts as
/// large.
const MAX_ACTIVE_SENDERS: usize = 4;

/// A report of unused allowance raises the share by the number of senders to this power, so that the number
/// of responses from an equal share to the whole limit does not depend on the number of senders.
const SHARE_GROWTH_EXPONENT: f64 = 0.045;

/// Time constant of the rates of calls to a route, in nanoseconds.
pub(crate) const RATE_WINDOW_NS: f64 = 5e9;

/// The share of an estimated limit doubles over the time of at least this many calls at its rate.
const DOUBLING_CALLS: f64 = 4.0;
/// An allowed rate of more than this multiple of the rate in use is no limit: the limit is estimated anew.
const UNUSED_LIMIT_FACTOR: f64 = 4.0;
/// Multiple of its usual rate that a destination is assumed to serve after an outage.
const RECOVERY_HEADROOM: f64 = 1.75;
/// Multiple of its usual rate that a destination is assumed to serve after an outage during which calls
/// were served.
const PARTIAL_RECOVERY_HEADROOM: f64 = 4.0;

/// Lower bound of the calls per second that all senders make together, to notice the recovery of a
/// destination.
const MIN_FLEET_RATE: f64 = 0.15;

impl Route {
    /// Returns the limit from reports or the list, in calls per second over all senders; 0 if there is none.
    fn known_limit(&self) -> f64 {
        self.reported_limit.unwrap_or(self.listed_limit)
    }
    /// Returns the limit that `share` is a share of: the known one, else the estimated one.
    fn effective_limit(&self) -> f64 {
        Some(self.known_limit()).filter(|&limit| limit > 0.0).unwrap_or(self.estimated_limit)
    }
    /// Returns the share that may be used. The last one holds for `validity` and then doubles with each
    /// further `validity`, as the calls of other senders are not seen. The share of an estimated limit
    /// doubles over the time of `DOUBLING_CALLS` calls if that is longer, and is not bounded.
    fn current_share(&self, now: Ns, validity: Ns) -> f64 {
        // Only refusals show an estimated limit, so nothing is known of it until the next call.
        let mut doubling_time = validity as f64;
        if self.known_limit() <= 0.0 && self.estimated_limit > 0.0 {
            doubling_time = doubling_time.max(DOUBLING_CALLS * 1e9 / (self.estimated_limit * self.share));
        }
        let doublings = (now - self.share_at - validity).max(0) as f64 / doubling_time;
        (self.share * doublings.exp2()).min(self.max_share())
    }
    /// Returns the upper bound of the share.
    fn max_share(&self) -> f64 {
        if self.known_limit() > 0.0 {
            1.0
        } else {
            f64::INFINITY
        }
    }
    /// Returns the calls per second that this sender may send; infinite if there is no sign of a limit.
    fn rate(&self, now: Ns, validity: Ns) -> f64 {
        let rate = self.effective_limit() * self.current_share(now, validity);
        if rate > 0.0 {
            rate
        } else {
            f64::INFINITY
        }
    }
    /// Sets the estimated limit to `used`, the rate in use, if no limit is known and the allowed rate is
    /// more than `UNUSED_LIMIT_FACTOR` times `used` (without an estimate the allowed rate is infinite).
    /// Returns whether the estimate was set.
    fn estimate_limit(&mut self, now: Ns, validity: Ns, used: f64) -> bool {
        let new = self.known_limit() <= 0.0 && self.rate(now, validity) > UNUSED_LIMIT_FACTOR * used;
        if new {
            (self.estimated_limit, self.share, self.share_before, self.share_at) = (used, 1.0, 1.0, now);
        }
        new
    }
    /// Lowers the share after a call sent at `sent_at` was refused. `again`: another call was refused since
    /// the last one that was served; `senders`: their number in the fleet. Returns whether the refusal is
    /// new information; it is not if the call was already in flight at the last refusal.
    fn reduce_share(&mut self, now: Ns, sent_at: Ns, again: bool, senders: f64, validity: Ns) -> bool {
        let fresh = sent_at >= self.refused_at;
        let new_estimate =
            self.estimate_limit(now, validity, self.sent_rate.rate().max(self.usual_rate.rate()));
        let mut share = self.current_share(now, validity);
        if self.known_limit() > 0.0 {
            // Starts from the share in use, if that is more than an equal share: an equal share would leave
            // unused what the other senders do not send. If all senders of a fleet started from an allowed
            // share that they do not use, refused calls would use up the limit long before their shares
            // came down to it.
            share = share
                .min((steady_rate(self.served_count.weight_at(now)) / self.known_limit()).max(1.0 / senders));
            self.share = (share * REFUSAL_SHARE_FACTOR).max(REFUSAL_SHARE_FLOOR / senders);
        } else {
            let factor = if new_estimate || !fresh { 1.0 } else { REFUSAL_SHARE_FACTOR };
            self.share = (share * factor).max(MIN_FLEET_RATE / senders / self.estimated_limit);
        }
        if !again {
            self.share_before = share;
        }
        if fresh {
            self.refused_at = now;
        }
        // The share does not grow during the pause before the next call. Otherwise all senders would return
        // to their old shares in that pause and use up the limit by refused calls.
        self.share_at = now + (1e9 / (self.effective_limit() * self.share)).min(MAX_SHARE_PAUSE_NS) as Ns;
        fresh
    }
    /// Notes a failure or refusal that is a sign of an outage: slow start begins anew.
    fn enter_slow_start(&mut self, now: Ns) {
        self.partial_outage = self.slow_start && (self.partial_outage || !self.down);
        (self.slow_start, self.down, self.recovered_at) = (true, true, now);
    }
    /// Sets an exponential backoff after `refusals` refusals in a row. `jitter` is between 0.5 and 1.5.
    fn back_off(&mut self, now: Ns, refusals: u32, jitter: f64) {
        // The bucket needs the time of one to two calls to fill: senders that were refused together would
        // otherwise call together again.
        self.tokens = self.tokens.min(0.5 - jitter);
        let backoff = (CONTROL_PERIOD << refusals.saturating_sub(1).min(4)) as f64 * jitter;
        self.backoff_until = self.backoff_until.max(now + backoff as Ns);
    }
}

impl Dest {
    /// Returns the mean time between two served messages, in nanoseconds.
    fn service_interval(&self, now: Ns) -> f64 {
        1e9 / steady_rate(self.served_count.weight_at(now)).max(MIN_SERVICE_RATE)
    }
}

/// Decides for one sender when and to which endpoint each message is sent, and which messages are refused.
///
/// In an upgrade its state, without the settings and the progress of a cleanup, is handed over to the next
/// process, so that every rule continues to hold.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Sender {
    #[serde(skip)]
    settings: Settings,
    seed: u64,
    /// State of the linear congruential generator of `next_random`.
    #[serde(rename = "random")]
    random_state: u64,
    now: Ns,
    messages: BTreeMap<MsgId, OpenMessage>,
    /// Messages that have not ended.
    #[serde(rename = "open")]
    open_count: usize,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Endpoints that operators have taken out, whether a list names them or not.
    #[serde(rename = "maint")]
    out_of_service: BTreeSet<EndpointId>,
    routes: BTreeMap<RouteId, Route>,
    pub(crate) dests: BTreeMap<DestId, Dest>,
    /// Calls in flight, by number.
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    #[serde(rename = "keys")]
    key_queues: BTreeMap<u64, KeyQueue>,
    /// Destinations with calls in flight or held messages: the periodic work is done for these only.
    pub(crate) active: BTreeSet<DestId>,
    /// Destinations with held messages, by the time at which a call may become possible. An event for a
    /// destination makes it due at once.
    agenda: BTreeSet<(Ns, DestId)>,
    /// Trial calls in flight to half-open routes.
    #[serde(rename = "trials")]
    trials_in_flight: usize,
    /// Endpoints whose calls ended in this batch of events.
    #[serde(rename = "ended")]
    ended_call_endpoints: Vec<EndpointId>,
    /// When an endpoint of each kind last had no free connection.
    #[serde(rename = "scarce_at")]
    connections_scarce_at: BTreeMap<usize, Ns>,
    /// Time of the first list. A destination that is looked up later starts as if it had been listed then.
    first_list_at: Option<Ns>,
    /// The caller looks up the destinations of messages, so the state of unused ones can be dropped.
    #[serde(rename = "looks_up")]
    on_demand: bool,
    /// Number of destinations that the last cleanup left.
    #[serde(rename = "remembered")]
    dests_after_cleanup: usize,
    /// The destination at which the cleanup in progress continues.
    #[serde(skip)]
    cleanup_cursor: Option<DestId>,
    /// The cleanup in progress drops idle destinations that were last used no later than this one.
    #[serde(skip)]
    last_unused: Option<(Ns, DestId)>,
    /// Earliest time at which a held message may have to end.
    #[serde(rename = "next_end")]
    next_expiry: Ns,
    /// Start of the last cleanup.
    #[serde(rename = "forgot_at")]
    cleanup_at: Ns,
    /// Time of the last periodic work.
    #[serde(rename = "decided_at")]
    periodic_at: Ns,
    /// Time of the timer that was requested last and has not fired.
    timer_at: Option<Ns>,
    /// The routes that have changed, while another process is told of them.
    #[serde(skip)]
    route_changes: Option<RouteChanges>,
}

impl Sender {
    /// Creates a sender without state. The seed selects its random numbers and its order among equal
    /// endpoints.
    pub fn new(settings: Settings, seed: u64) -> Sender {
        Sender {
            settings,
            seed,
            random_state: seed,
            next_expiry: Ns::MAX,
            periodic_at: LONG_AGO,
            ..Sender::default()
        }
    }

    /// Applies a batch of events, then adds the resulting actions to `out`.
    pub fn handle(&mut self, now: Ns, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for event in events {
            match event {
                Event::List { whole, entries } => self.apply_list(*whole, entries),
                Event::LookedUp { entries } => self.apply_lookup(entries),
                Event::Message(message) => self.accept(*message),
                Event::Maint { endpoint, out, at } => self.set_maintenance(*endpoint, *out, *at),
                Event::Resumed { message, past } => self.resume(*message, past, out),
                Event::AttemptsAdded { id, attempts } => {
                    self.add_attempts(*id, attempts);
                    self.next_expiry = self.next_expiry.min(self.now);
                }
                Event::AttemptEnd(end) => self.attempt_ended(end, out),
                Event::Withdrawn { id } => self.close_message(*id),
                Event::Probed { .. } => {}
                // The caller may round the time down: a timer that is due within the tick has fired.
                Event::Timer => {
                    self.timer_at = self.timer_at.filter(|&at| at > self.now + self.settings.tick)
                }
            }
        }
        let periodic = self.now - self.periodic_at >= CONTROL_PERIOD;
        if periodic {
            self.periodic_at = self.now;
            self.run_periodic();
        }
        if let Some(next) = self.cleanup_cursor.take() {
            self.continue_cleanup(next);
        }
        if periodic || self.next_expiry <= self.now {
            self.expire_held(out);
        }
        self.dispatch(periodic, out);
        self.refuse_new_undeliverable(events, out);
        if periodic || self.open_count >= self.settings.max_open {
            self.shed_load(out);
        }
        self.close_idle_connections(out);
        if !self.messages.is_empty() {
            let due = self.agenda.first().filter(|_| self.calls.len() < self.settings.slots);
            let wake =
                due.map_or(Ns::MAX, |d| d.0).min(self.next_expiry).min(self.periodic_at + CONTROL_PERIOD);
            let wake = wake.max(self.now + self.settings.tick.max(1));
            if self.timer_at.is_none_or(|at| at > wake) {
                self.timer_at = Some(wake);
                out.push(Action::Timer { at: wake });
            }
        }
    }

    /// Returns a pseudo-random number in the range from 0 to 1, without 1.
    fn next_random(&mut self) -> f64 {
        self.random_state =
            self.random_state.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Closes the idle connections to endpoints whose calls have just ended, if these connections are
    /// seldom used and connections are scarce: the fleet is large, or a call to an endpoint of the same
    /// kind recently got none. Other senders may need them: all senders together keep about as many as
    /// three would. This costs handshakes.
    fn close_idle_connections(&mut self, out: &mut Vec<Action>) {
        let mut ended = std::mem::take(&mut self.ended_call_endpoints);
        ended.sort_unstable();
        ended.dedup();
        let min_interval = 3 * self.settings.idle_timeout / self.settings.sender_count.max(3) as Ns;
        for id in ended {
            let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
            // One connection from each sender of a large fleet may be more than an endpoint accepts; it then
            // refuses calls.
            let scarce = self.settings.sender_count > MAX_ACTIVE_SENDERS
                || self
                    .connections_scarce_at
                    .get(&endpoint.kind)
                    .is_some_and(|&at| self.now - at < CONNECTION_SCARCITY);
            if scarce && endpoint.served_interval >= min_interval {
                endpoint.open_connections = endpoint.in_flight.div_ceil(self.settings.streams_per_connection);
                out.push(Action::Close { endpoint: id });
            }
        }
    }

    /// Does the periodic work: finds overdue calls, chooses caps and makes all held work due.
    fn run_periodic(&mut self) {
        self.mark_overdue();
        let now = self.now;
        let dests = &mut self.dests;
        self.active.retain(|id| {
            let Some(dest) = dests.get_mut(id) else { return false };
            choose_cap(&self.settings, dest, now);
            dest.used_at = now;
            dest.in_flight > 0 || !dest.held.is_empty()
        });
        for id in self.active.clone() {
            self.set_due(id, LONG_AGO);
        }
        let many = self.dests.len() > self.dests_after_cleanup + MAX_IDLE_DESTINATIONS;
        if self.cleanup_cursor.is_none() && (many || now - self.cleanup_at >= CLEANUP_INTERVAL) {
            self.start_cleanup();
        }
    }

    /// Sets when a destination is considered next. It is not on the agenda while nothing is held for it.
    fn set_due(&mut self, id: DestId, at: Ns) {
        let Some(dest) = self.dests.get_mut(&id) else { return };
        self.agenda.remove(&(dest.due_at, id));
        dest.due_at = at;
        if !dest.held.is_empty() && at < Ns::MAX {
            self.agenda.insert((at, id));
        }
    }

    /// Holds a message until it can be sent.
    fn hold(&mut self, id: MsgId) {
        let open_message = &self.messages[&id];
        let (dest_id, expiry) = (open_message.message.dest, self.latest_send(open_message));
        self.next_expiry = self.next_expiry.min(expiry);
        let now = self.now;
        let idle = self.active.insert(dest_id);
        let dest = self.dests.get_mut(&dest_id).expect("a held message's destination is known");
        if idle {
            choose_cap(&self.settings, dest, now);
        }
        let index = dest.held.partition_point(|&h| h < id);
        dest.held.insert(index, id);
        self.set_due(dest_id, LONG_AGO);
    }

    /// Opens a new message. One that is open already, or whose class is unknown, is ignored.
    fn accept(&mut self, message: Message) {
        if self.messages.contains_key(&message.id) || message.class >= self.settings.classes.len() {
            return;
        }
        let now = self.now;
        let class = &self.settings.classes[message.class];
        let time_left = message.time_left.clamp(0, class.deadline);
        let (first_handed_in_at, deadline_at) = (now - (class.deadline - time_left), now + time_left);
        let open_message = OpenMessage {
            message,
            accepted_at: now,
            first_handed_in_at,
            deadline_at,
            attempts: Vec::new(),
            ended: false,
        };
        if let (true, Some(key)) = (class.in_order, message.key) {
            self.key_queues.entry(key).or_default().queue.push_back(message.id);
        }
        self.messages.insert(message.id, open_message);
        self.open_count += 1;
        self.dest_or_new(message.dest).arrivals.record(message.class, now, 1.0);
        self.hold(message.id);
    }

    /// Opens a message that an earlier process left. Its attempts by earlier processes, `past`, count
    /// towards the maximum and say whether they may have run.
    fn resume(&mut self, message: Message, past: &[PastAttempt], out: &mut Vec<Action>) {
        self.accept(message);
        let routes = self.routes.range_mut((message.dest, 0)..=(message.dest, EndpointId::MAX));
        routes.for_each(|(_, route)| route.inherited = route.served_count.is_empty());
        if self.messages.contains_key(&message.id) {
            self.add_attempts(message.id, past);
            self.expire_if_due(message.id, out);
        }
    }

    /// Adds attempts of other processes to an open message.
    fn add_attempts(&mut self, id: MsgId, past: &[PastAttempt]) {
        let Some(open_message) = self.messages.get_mut(&id) else { return };
        let zone_of = |endpoint: Option<EndpointId>| {
            endpoint
                .and_then(|endpoint| self.endpoints.get(&endpoint))
                .map_or(usize::MAX, |endpoint| endpoint.zone)
        };
        open_message.attempts.extend(past.iter().map(|attempt| Attempt {
            endpoint: attempt.endpoint.unwrap_or(EndpointId::MAX),
            zone: zone_of(attempt.endpoint),
            call: u64::MAX,
            sent_at: attempt.sent,
            in_flight: false,
            may_have_run: attempt.may_have_run,
        }));
        let message = open_message.message;
        let class = &self.settings.classes[message.class];
        if let (true, Some(key), true) =
            (class.in_order, message.key, past.iter().any(|attempt| attempt.may_have_run))
        {
            self.key_queues.entry(key).or_default().quiet_until = self.now + self.settings.key_quiet_period;
        }
    }

    /// Applies the end of an attempt to its message, call, destination, route and endpoint.
    fn attempt_ended(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(open_message) = self.messages.get_mut(&end.id) else { return };
        let Some(attempt) = open_message.attempts.get_mut(end.attempt as usize).filter(|a| a.in_flight)
        else {
            return;
        };
        attempt.in_flight = false;
        attempt.may_have_run = !end.outcome.never_ran();
        let (call_id, message, ended) = (attempt.call, open_message.message, open_message.ended || end.done);
        let class = &self.settings.classes[message.class];
        if let (true, true, Some(key)) = (class.in_order, end.outcome.may_still_run(), message.key) {
            if let Some(key_queue) = self.key_queues.get_mut(&key) {
                key_queue.quiet_until = now + self.settings.key_quiet_period;
            }
        }
        if let Some(call) = self.calls.get_mut(&call_id) {
            let first_outcome = !std::mem::replace(&mut call.outcome_counted, true);
            call.pending -= 1;
            let (concurrency, sent_at, call_ended, overdue) =
                (call.concurrency, call.sent_at, call.pending == 0, call.overdue);
            let dest = self.dests.get_mut(&call.dest).expect("a call's destination is known");
            // Fast errors must not count as fast responses: every other outcome that measures latency
            // counts with the full latency target, so that a class misses it at this concurrency once about
            // half of its calls fail.
            let took = if end.outcome == Outcome::Served { end.took.max(0) } else { class.latency_target };
            if end.outcome.measures_latency() {
                dest.latencies.record((message.class, concurrency), now, took as f64);
            }
            if end.outcome == Outcome::Served {
                dest.served_count.record(now, 1.0);
            }
            match end.outcome {
                // The value is bounded, so that one response of a heavy tail does not stretch all
                // time-outs; a slow period is still learned within a few responses. After a time-out or a
                // cancellation the latency is known to be at least this.
                Outcome::Served | Outcome::NoAnswer | Outcome::CalledOff => {
                    let measured = dest.latency.weight_at(now) >= MIN_WEIGHT;
                    let bound = (LATENCY_BOUND_FACTOR
                        * dest.latency.mean_plus_deviations(OVERDUE_DEVIATIONS))
                    .max(MIN_OVERDUE as f64);
                    let took = (now - sent_at).max(end.took) as f64;
                    dest.latency.record(now, if measured { took.min(bound) } else { took });
                }
                _ => {}
            }
            let (dest_id, route_id) = (call.dest, call.route);
            if call_ended {
                self.trials_in_flight -= call.trial as usize;
                self.calls.remove(&call_id);
                dest.in_flight -= 1;
            }
            self.set_due(dest_id, LONG_AGO);
            if let Some(route) = self.routes.get_mut(&route_id) {
                route.in_flight -= call_ended as usize;
                // The messages of one call may end in several batches, and the wait starts anew with each.
                if end.retry_after > 0 {
                    route.retry_after_until =
                        route.retry_after_until.max(now.saturating_add(end.retry_after));
                }
            }
            if let Some(endpoint) = self.endpoints.get_mut(&end.endpoint).filter(|_| call_ended) {
                endpoint.in_flight -= 1;
                endpoint.used_at = now;
                self.ended_call_endpoints.push(end.endpoint);
            }
            if first_outcome {
                self.count_outcome(end, route_id, overdue);
            }
            self.note_route_change(route_id, end.outcome != Outcome::Served || end.retry_after > 0);
        }
        if ended {
            self.close_message(end.id);
        } else if end.outcome == Outcome::Malformed {
            out.push(Action::Fail { id: end.id });
            self.close_message(end.id);
        } else if self.messages.get(&end.id).is_some_and(|message| !message.in_flight()) {
            self.hold(end.id);
            self.expire_if_due(end.id, out);
        }
    }

    /// Ends a message. It is kept while attempts are in flight, so that the next message of its key waits for
    /// them.
    fn close_message(&mut self, id: MsgId) {
        let Some(open_message) = self.messages.get_mut(&id) else { return };
        let message = open_message.message;
        if !std::mem::replace(&mut open_message.ended, true) {
            self.open_count -= 1;
            self.dest_or_new(message.dest).held.retain(|&held| held != id);
        }
        if self.messages[&id].in_flight() {
            return;
        }
        self.messages.remove(&id);
        if let (true, Some(key)) = (self.settings.classes[message.class].in_order, message.key) {
            if let Some(key_queue) = self.key_queues.get_mut(&key) {
                key_queue.queue.retain(|&queued| queued != id);
                if key_queue.queue.is_empty() && key_queue.quiet_until <= self.now {
                    self.key_queues.remove(&key);
                }
            }
        }
    }

    /// Applies the outcome of a call to its route: the report of the limit, and the signs of an outage.
    fn count_outcome(&mut self, end: &AttemptEnd, route_id: RouteId, overdue: bool) {
        let now = self.now;
        let jitter = 0.5 + self.next_random();
        let senders = self.settings.sender_count.max(1) as f64;
        let validity = report_validity(&self.settings);
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&end.endpoint) else { return };
        let mut remaining = None;
        if let Some(report) = end.report {
            if report.limit.is_finite() && report.limit >= 0.0 {
                route.reported_limit = Some(match route.reported_limit {
                    Some(old) if old > 0.0 && report.limit > 0.0 => {
                        old + REPORT_WEIGHT * (report.limit - old)
                    }
                    _ => report.limit,
                });
                remaining = (report.limit > 0.0).then_some(report.remaining);
            }
        }
        // Calls during an outage don't count: the usual rate before it shows what the destination can serve
        // after it.
        let healthy = !route.slow_start && route.failures + route.refusals == 0;
        if healthy {
            route.usual_rate.advance(now);
        }
        route.usual_rate.updated_at = now;
        let failed = match end.outcome {
            Outcome::Served => {
                endpoint.served_interval = now.saturating_sub(endpoint.served_at);
                endpoint.served_at = now;
                endpoint.avoid_until = now;
                route.served_count.record(now, 1.0);
                if healthy {
                    route.usual_rate.record(now);
                }
                (route.failures, route.refusals, route.connection_refusals) = (0, 0, 0);
                route.failure_share *= FAILURE_SHARE_DECAY;
                (route.half_open, route.inherited) = (false, false);
                // The route recovered between the last call that failed and the start of this one; half-way
                // is right on average over the senders of a fleet. This call is the first one of the slow
                // start.
                let sent_at = now - end.took.max(0);
                if sent_at > route.recovered_at && take(&mut route.down) {
                    route.recovered_at += (sent_at - route.recovered_at) / 2;
                    (route.tokens, route.refilled_at) = (0.0, now);
                }
                // The share follows the unused allowance: the calls of other senders are not seen in any
                // other way.
                let (share, max_share) = (route.current_share(now, validity), route.max_share());
                // A response without a report shows only that there was room for one more call.
                (route.share, route.share_at) = match remaining {
                    Some(share_left) if share_left > AMPLE_ALLOWANCE => {
                        ((share * senders.powf(SHARE_GROWTH_EXPONENT)).min(max_share), now - validity)
                    }
                    Some(share_left) if share_left < SCANT_ALLOWANCE => {
                        ((share * SCANT_SHARE_FACTOR).max(SCANT_SHARE_FLOOR / senders), now)
                    }
                    Some(_) => (share, now),
                    // `share_at` is not moved to now, so the share continues to grow with time. With few
                    // responses to each sender, a fleet would otherwise never regain the limit after a burst
                    // or an outage.
                    None => ((share * SHARE_GROWTH).min(max_share), route.share_at.max(now - validity)),
                };
                false
            }
            Outcome::TurnedAway => {
                let again = route.refusals > 0;
                let new_refusal = route.reduce_share(now, now - end.took, again, senders, validity);
                route.refusals += u32::from(new_refusal);
                // In an outage, refusals say nothing about the limit.
                let outage = end.retry_after >= OUTAGE_RETRY_AFTER || route.refusals >= OUTAGE_REFUSALS;
                if outage {
                    route.share = route.share_before;
                }
                route.back_off(now, route.refusals, jitter);
                if route.known_limit() <= 0.0 && route.refusals >= SLOW_START_FAILURES {
                    route.enter_slow_start(now);
                }
                // With a report, a refusal is a sign of an outage only if much of the allowance is unused.
                // Without one it is after a long requested wait or several refusals in a row.
                remaining.map_or(outage, |share_left| share_left > OUTAGE_ALLOWANCE)
            }
            // Calls that are refused for lack of a connection use connections too: all senders together must
            // call less.
            Outcome::Crowded => {
                self.connections_scarce_at.insert(endpoint.kind, now);
                (endpoint.avoid_until, endpoint.served_at) = (now + AVOID_ENDPOINT, now);
                let again = route.connection_refusals > 0;
                route.connection_refusals +=
                    u32::from(route.reduce_share(now, now - end.took, again, senders, validity));
                route.back_off(now, route.connection_refusals, jitter);
                route.failures = 0;
                false
            }
            Outcome::NoConnection => {
                self.connections_scarce_at.insert(endpoint.kind, now);
                // If the endpoint has served another call meanwhile, its connections are all in use and it
                // is not down.
                endpoint.avoid_until = now + AVOID_ENDPOINT;
                endpoint.served_at < now.saturating_sub(end.took.max(self.settings.tick))
            }
            Outcome::ServerError | Outcome::NoAnswer | Outcome::ConnectionLost => {
                endpoint.avoid_until = now + AVOID_ENDPOINT;
                true
            }
            Outcome::CalledOff | Outcome::Malformed => false,
            Outcome::NotSent => {
                route.backoff_until = route.backoff_until.max(now + 4 * self.settings.tick);
                false
            }
        };
        if failed {
            self.record_failure(route_id, !(overdue && end.outcome == Outcome::NoAnswer), true);
        }
    }

    /// Counts one failure of a route. Enough failures make the route half-open: only single spaced trial
    /// calls are sent. If this failure is `confirmed` by an outcome, enough failures also begin a slow
    /// start; an overdue call confirms nothing, as it may only be slow. `counts`: the failure has not been
    /// counted before.
    ///
    /// This covers outages of any kind, and slows down a route where errors are common without an outage.
    fn record_failure(&mut self, id: RouteId, counts: bool, confirmed: bool) {
        let senders = self.settings.sender_count.max(1) as f64;
        let Some(route) = self.routes.get_mut(&id) else { return };
        if counts {
            route.failures += 1;
            route.failure_share = route.failure_share * FAILURE_SHARE_DECAY + FAILURE_WEIGHT;
        }
        let failing = route.failures >= HALF_OPEN_FAILURES || route.failure_share > HALF_OPEN_FAILURE_SHARE;
        route.half_open |= failing;
        // A single failure during recovery is no outage: if each began the slow start anew, a route that
        // loses one call in twenty would never leave it. Work that an earlier process left has waited, and
        // may have been refused or lost by this route already, so two failures suffice.
        let one_of_many = route.known_limit() <= 0.0 && self.settings.sender_count > MAX_ACTIVE_SENDERS;
        let suspect = (one_of_many || route.inherited) && route.failures >= SLOW_START_FAILURES;
        if confirmed && (failing || suspect) {
            if !route.slow_start {
                let validity = report_validity(&self.settings);
                // After an outage every sender has waiting work, so each takes an equal share.
                if self.settings.sender_count > MAX_ACTIVE_SENDERS {
                    (route.share, route.share_at) =
                        (route.current_share(self.now, validity).min(1.0 / senders), self.now);
                }
                route.estimate_limit(
                    self.now,
                    validity,
                    route.usual_rate.rate().max(MIN_FLEET_RATE / senders),
                );
            }
            route.enter_slow_start(self.now);
        }
    }

    /// Finds overdue calls: those in flight for longer than `overdue_after`. Such a call counts as a
    /// failure before its time-out, as a call of unsafe messages times out only at their deadline. It
    /// counts once, and only if its endpoint has served nothing since the call was sent, or nothing for the
    /// same time. The endpoint matters, not the route: if one of two endpoints hangs, the other continues
    /// to serve. The endpoint is avoided in either case.
    fn mark_overdue(&mut self) {
        let mut overdue_routes = Vec::new();
        for call in self.calls.values_mut() {
            let overdue_after = overdue_after(&self.settings, &self.dests[&call.dest], self.now);
            let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { continue };
            if self.now - call.sent_at > overdue_after {
                endpoint.avoid_until = endpoint.avoid_until.max(self.now + AVOID_ENDPOINT);
                let silent =
                    endpoint.served_at < call.sent_at || self.now - endpoint.served_at > overdue_after;
                if silent && !call.overdue {
                    call.overdue = true;
                    overdue_routes.push(call.route);
                }
            }
        }
        for route in overdue_routes {
            self.record_failure(route, true, false);
            self.note_route_change(route, true);
        }
    }

    /// Returns the calls per second that this sender may send to a route in slow start: its part of the calls
    /// that do not overload the route. It grows from the estimated end of the outage.
    fn slow_start_rate(&self, route: &Route) -> f64 {
        // Without a known limit, the route can at least serve what it has just been seen to serve.
        let proven =
            if route.known_limit() > 0.0 { 0.0 } else { steady_rate(route.served_count.weight_at(self.now)) };
        self.slow_start_rate_since(route, route.recovered_at)
            .max(OVERLOAD_BUDGET_SHARE * self.settings.overload_factor * proven)
    }

    /// Returns the calls per second that a slow start which began at `since` allows, whatever was served
    /// meanwhile.
    fn slow_start_rate_since(&self, route: &Route, since: Ns) -> f64 {
        let settings = &self.settings;
        let senders = settings.sender_count.max(1) as f64;
        let limit = route.known_limit();
        let headroom = if route.partial_outage { PARTIAL_RECOVERY_HEADROOM } else { RECOVERY_HEADROOM };
        let full_rate = if limit > 0.0 {
            limit / senders
        } else {
            (headroom * route.usual_rate.rate()).max(1.0 / senders)
        };
        let progress = ((self.now - since) as f64 / settings.slow_start_window.max(1) as f64).clamp(0.0, 1.0);
        let capacity = settings.slow_start_capacity + (1.0 - settings.slow_start_capacity) * progress;
        (OVERLOAD_BUDGET_SHARE * settings.overload_factor * capacity * full_rate)
            .max(MIN_FLEET_RATE / senders)
    }

    /// Returns when an endpoint may next be called: now, unless operators have put it back and its slow
    /// start is in progress. During that slow start it gets its part of the destination's rate, so that the
    /// rate of the other endpoints does not change.
    fn endpoint_ready_at(&mut self, id: EndpointId) -> Ns {
        let now = self.now;
        let endpoint = &self.endpoints[&id];
        let Some(put_back_at) = endpoint.put_back_at else { return now };
        let route = self.route_of(id);
        let shared = route.1 == EndpointId::MAX;
        let usable = |e: &&EndpointId| self.endpoints.get(e).is_some_and(|e| e.usable);
        let usable_endpoints = if shared {
            self.dests[&endpoint.dest].endpoints.iter().filter(usable).count().max(1)
        } else {
            1
        };
        let rate = self.slow_start_rate_since(&self.routes[&route], put_back_at) / usable_endpoints as f64;
        let slow_start_window = self.settings.slow_start_window;
        let endpoint = self.endpoints.get_mut(&id).expect("looked up above");
        if now - put_back_at > slow_start_window {
            endpoint.put_back_at = None;
            return now;
        }
        refill(&mut endpoint.tokens, &mut endpoint.refilled_at, rate, 1.0, now)
    }

    /// Returns when the route may next be called; now or earlier means at once.
    fn route_ready_at(&mut self, id: RouteId) -> Ns {
        let now = self.now;
        let Some(route) = self.routes.get(&id) else { return Ns::MAX };
        let blocked_until = route.retry_after_until.max(route.backoff_until);
        if blocked_until > now {
            return blocked_until;
        }
        let (slow_start_rate, validity) = (self.slow_start_rate(route), report_validity(&self.settings));
        let route = self.routes.get_mut(&id).expect("looked up above");
        if route.slow_start && !route.half_open && now - route.recovered_at > self.settings.slow_start_window
        {
            route.slow_start = false;
        }
        if route.half_open {
            return if route.in_flight > 0 { Ns::MAX } else { route.next_trial_at };
        }
        let mut rate = route.rate(now, validity);
        let mut burst = (BURST_TIME_S * rate).clamp(1.0, MAX_BURST);
        if route.slow_start {
            (rate, burst) = (rate.min(slow_start_rate), 1.0);
        }
        if rate.is_infinite() {
            return now;
        }
        refill(&mut route.tokens, &mut route.refilled_at, rate, burst, now)
    }

    /// Returns whether a message may be sent `to` an endpoint, or refused (`None`): if an attempt may have
    /// run, its effect must allow a repeat there. A message is also not sent if it has ended, has no
    /// attempts left, or is in flight and must not be duplicated. Every send and every refusal passes this
    /// check.
    fn allows(&self, open_message: &OpenMessage, to: Option<EndpointId>) -> bool {
        let class = &self.settings.classes[open_message.message.class];
        if to.is_some() {
            let attempts_used_up = open_message.attempts.len() >= self.settings.max_attempts as usize;
            if open_message.ended
                || attempts_used_up
                || (open_message.in_flight() && !self.settings.may_duplicate)
            {
                return false;
            }
        }
        let mut may_have_run = open_message
            .attempts
            .iter()
            .filter(|attempt| attempt.in_flight || attempt.may_have_run)
            .peekable();
        if may_have_run.peek().is_none() {
            return true;
        }
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed => match to {
                None => class.dedup_scope == DedupScope::All,
                Some(to) => may_have_run.all(|attempt| {
                    let same_scope = match class.dedup_scope {
                        DedupScope::All => true,
                        DedupScope::Zone => {
                            self.endpoints.get(&to).is_some_and(|endpoint| endpoint.zone == attempt.zone)
                        }
                        DedupScope::Endpoint => attempt.endpoint == to,
                    };
                    same_scope
                        && self.now + self.settings.tick < attempt.sent_at.saturating_add(class.dedup_window)
                }),
            },
        }
    }

    /// Returns whether the order of its key allows a message to be sent. If its class is `in_order` and it
    /// has a key, it must be the oldest message of that key, and either the quiet period after an attempt
    /// that may still run is over, or the message has been attempted already.
    fn is_next_of_key(&self, open_message: &OpenMessage) -> bool {
        let (true, Some(key)) =
            (self.settings.classes[open_message.message.class].in_order, open_message.message.key)
        else {
            return true;
        };
        self.key_queues.get(&key).is_some_and(|key_queue| {
            key_queue.queue.front() == Some(&open_message.message.id)
                && (key_queue.quiet_until <= self.now || !open_message.attempts.is_empty())
        })
    }

    /// Returns the worth that a message would have if it were delivered at time `at`.
    fn worth(&self, open_message: &OpenMessage, at: Ns) -> f64 {
        let class = &self.settings.classes[open_message.message.class];
        let target = (class.latency_target as f64
            + class.latency_target_per_cost * open_message.message.cost as f64)
            .min(class.deadline as f64);
        let age = (at - open_message.first_handed_in_at) as f64;
        let share = if at > open_message.deadline_at {
            0.0
        } else if age <= target {
            1.0
        } else if self.settings.exponential_decay {
            (-((age - target) / target)).exp2().max(class.late_worth)
        } else {
            1.0 - (1.0 - class.late_worth) * (age - target) / (class.deadline as f64 - target).max(1.0)
        };
        class.worth * share
    }

    /// Sends the messages that may be sent now, in the order of their worth per time in a slot. While all
    /// slots are taken this is left to the periodic work.
    fn dispatch(&mut self, periodic: bool, out: &mut Vec<Action>) {
        if self.calls.len() >= self.settings.slots && !periodic {
            return;
        }
        let due = self.agenda.range(..=(self.now, DestId::MAX));
        let mut to_consider: Vec<DestId> = due.map(|&(_, id)| id).collect();
        let mut sendable: Vec<CallCandidate> = Vec::new();
        loop {
            for id in to_consider.drain(..) {
                match self.next_candidate(id) {
                    Ok(candidate) => sendable.push(candidate),
                    Err(at) => self.set_due(id, at),
                }
            }
            let best = (0..sendable.len()).max_by(|&a, &b| sendable[a].3.total_cmp(&sendable[b].3));
            let Some(best) = best.filter(|_| self.calls.len() < self.settings.slots) else { break };
            let (dest, endpoint, ids, _) = sendable.swap_remove(best);
            self.send(dest, endpoint, &ids, out);
            to_consider.push(dest);
        }
        if self.settings.may_cancel && !sendable.is_empty() && !self.calls.values().any(|call| call.cancelled)
        {
            self.cancel_overdue_call(out);
        }
    }

    /// Cancels one overdue call to free a slot, when all slots are taken and work waits: the first one
    /// whose messages may all be sent again, or that has been in flight for three times `overdue_after`. An
    /// unsafe message then fails, as its slot serves many others.
    ///
    /// This guards against destinations that hang or lose calls and so hold every slot. It would harm where
    /// everything is slow or a message is heavy by itself, so each message is cancelled at most once while it
    /// may be sent again.
    fn cancel_overdue_call(&mut self, out: &mut Vec<Action>) {
        // Messages of the call that have ended do not matter; one that hangs holds the slot for all.
        let may_repeat = |id: &MsgId| {
            self.messages.get(id).is_none_or(|open_message| {
                let possible_runs =
                    open_message.attempts.iter().filter(|attempt| attempt.may_have_run).count();
                !open_message.in_flight()
                    || possible_runs == 1 && self.now + MIN_RESEND_TIME < self.resend_until(open_message)
            })
        };
        let may_cancel = |call: &Call| {
            let (age, overdue_time) =
                (self.now - call.sent_at, overdue_after(&self.settings, &self.dests[&call.dest], self.now));
            age > overdue_time && call.messages.iter().all(may_repeat) || age > 3 * overdue_time
        };
        let Some(call_number) =
            self.calls.iter().find(|(_, call)| may_cancel(call)).map(|(&number, _)| number)
        else {
            return;
        };
        let Some(call) = self.calls.get_mut(&call_number) else { return };
        call.cancelled = true;
        for &id in &call.messages {
            let mut attempts =
                self.messages.get(&id).into_iter().flat_map(|open_message| open_message.attempts.iter());
            if let Some(attempt) =
                attempts.position(|attempt| attempt.call == call_number && attempt.in_flight)
            {
                out.push(Action::Cancel { id, attempt: attempt as u32 });
            }
        }
    }

    /// Returns until when a message may be sent again after its first attempt that may have run.
    fn resend_until(&self, open_message: &OpenMessage) -> Ns {
        let class = &self.settings.classes[open_message.message.class];
        let first_sent_at = open_message
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_run)
            .map_or(self.now, |attempt| attempt.sent_at);
        match class.effect {
            Effect::Safe => open_message.deadline_at,
            Effect::Keyed => open_message.deadline_at.min(first_sent_at.saturating_add(class.dedup_window)),
            Effect::Unsafe => Ns::MIN,
        }
    }

    /// Returns the next call to a destination, or the time at which one may become possible.
    fn next_candidate(&mut self, id: DestId) -> Result<CallCandidate, Ns> {
        let now = self.now;
        let dest = &self.dests[&id];
        if dest.held.is_empty() || dest.in_flight >= dest.cap {
            return Err(Ns::MAX);
        }
        let mut best: Option<(bool, bool, bool, usize, u32, EndpointId)> = None;
        let mut wake_at = Ns::MAX;
        for endpoint in dest.endpoints.clone() {
            if !self.endpoints.get(&endpoint).is_some_and(|state| state.dest == id && state.usable) {
                continue;
            }
            let route_id = self.route_of(endpoint);
            let ready_at = self.route_ready_at(route_id).max(self.endpoint_ready_at(endpoint));
            if ready_at > now {
                wake_at = wake_at.min(ready_at);
                continue;
            }
            if self.routes[&route_id].half_open
                && self.trials_in_flight
                    >= ((self.settings.slots as f64 * HALF_OPEN_SLOT_SHARE) as usize).max(1)
            {
                continue;
            }
            let state = &self.endpoints[&endpoint];
            let open_connections = if now - state.used_at < self.settings.idle_timeout {
                state.open_connections
            } else {
                state.in_flight
            };
            let needs_connection = state.in_flight >= open_connections * self.settings.streams_per_connection;
            let other_zone = state.zone != self.settings.zone;
            let rank = (
                state.avoid_until > now,
                other_zone,
                needs_connection,
                state.in_flight,
                state.tie_break,
                endpoint,
            );
            best = Some(best.map_or(rank, |b| b.min(rank)));
        }
        let Some((.., endpoint)) = best else { return Err(wake_at) };
        let dest = &self.dests[&id];
        let route = &self.routes[&self.route_of(endpoint)];
        // Urgency is the worth lost if the message went last in the queue instead of now: in a short queue
        // little except for the oldest, in a long one all. So fresh work is sent first, and late work takes
        // the capacity that is left over.
        let max_batch =
            self.settings.kinds.get(self.endpoints[&endpoint].kind).map_or(1, |kind| kind.max_batch.max(1));
        let queue_time = (dest.held.len() as f64 * dest.service_interval(now)) as Ns;
        let queue_time = queue_time.clamp(MIN_QUEUE_TIME, MAX_QUEUE_TIME);
        let latency = dest.latency.mean() as Ns;
        let mut order: Vec<(f64, MsgId)> = Vec::new();
        for &message_id in &dest.held {
            let open_message = &self.messages[&message_id];
            if !self.allows(open_message, Some(endpoint)) || !self.is_next_of_key(open_message) {
                continue;
            }
            let mut urgency = self.worth(open_message, now + latency)
                - self.worth(open_message, now + latency + queue_time);
            // The message of a trial call may be lost, and an unsafe one cannot be sent again: it goes last.
            if route.half_open && self.settings.classes[open_message.message.class].effect == Effect::Unsafe {
                urgency -= UNSAFE_TRIAL_PENALTY;
            }
            order.push((urgency, message_id));
        }
        if order.is_empty() {
            return Err(wake_at);
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        order.truncate(max_batch);
        let worth: f64 =
            order.iter().map(|&(_, message_id)| self.worth(&self.messages[&message_id], now + latency)).sum();
        // Slots may be scarce, so calls compare by the worth per time that they hold a slot.
        let slot_time = latency.max(CONTROL_PERIOD) as f64;
        Ok((id, endpoint, order.into_iter().map(|(_, message_id)| message_id).collect(), worth / slot_time))
    }

    /// Starts a call with the given messages.
    fn send(&mut self, id: DestId, endpoint: EndpointId, ids: &[MsgId], out: &mut Vec<Action>) {
        let now = self.now;
        let route_id = self.route_of(endpoint);
        let slow_start_rate = self.slow_start_rate(&self.routes[&route_id]);
        // Random, with the interval of the slow start rate as its mean.
        let trial_interval = (2e9 * self.next_random() / slow_start_rate) as Ns;
        let route = self.routes.get_mut(&route_id).expect("a candidate's route is known");
        route.in_flight += 1;
        route.sent_rate.record(now);
        route.tokens -= 1.0;
        route.next_trial_at = now
            + trial_interval.clamp(
                MIN_TRIAL_INTERVAL,
                MAX_TRIAL_INTERVAL_PER_SENDER * self.settings.sender_count.max(3) as Ns,
            );
        let trial = route.half_open;
        self.trials_in_flight += trial as usize;
        let state = self.endpoints.get_mut(&endpoint).expect("a candidate's endpoint is known");
        let zone = state.zone;
        if now.saturating_sub(state.used_at) >= self.settings.idle_timeout {
            state.open_connections = state.in_flight;
        }
        if state.put_back_at.is_some() {
            state.tokens -= 1.0;
        }
        state.in_flight += 1;
        state.used_at = now;
        state.open_connections =
            state.open_connections.max(state.in_flight.div_ceil(self.settings.streams_per_connection));
        let max_cap = max_cap(&self.settings);
        let dest = self.dests.get_mut(&id).expect("a candidate's destination is known");
        dest.in_flight += 1;
        let concurrency = dest.in_flight.min(max_cap);
        let timeout = 2 * overdue_after(&self.settings, dest, now);
        dest.held.retain(|held| !ids.contains(held));
        let (call, pending) = (self.next_call, ids.len());
        self.next_call += 1;
        self.note_route_change(route_id, trial);
        let (route, messages) = (route_id, ids.to_vec());
        let new_call = Call {
            dest: id,
            endpoint,
            route,
            concurrency,
            sent_at: now,
            pending,
            trial,
            messages,
            ..Call::default()
        };
        self.calls.insert(call, new_call);
        for &message_id in ids {
            // A repeat that is written after the deduplication window, because connecting took long, would
            // run again.
            let open_message = &self.messages[&message_id];
            let repeat = open_message.attempts.iter().any(|a| a.may_have_run);
            let by = if repeat { self.resend_until(open_message) } else { open_message.deadline_at };
            let open_message = self.messages.get_mut(&message_id).expect("held messages are known");
            open_message.attempts.push(Attempt {
                endpoint,
                zone,
                call,
                sent_at: now,
                in_flight: true,
                may_have_run: true,
            });
            // A time-out gains something only if the message may be sent again after it.
            let next_attempt_at = now + timeout + 2 * self.settings.tick;
            let useful = next_attempt_at < self.resend_until(&self.messages[&message_id]);
            let limit = if useful { timeout } else { 0 };
            out.push(Action::Send { id: message_id, endpoint, limit, by });
        }
    }

    /// Returns the latest time at which a message can still be sent with a chance to be delivered in time.
    fn latest_send(&self, open_message: &OpenMessage) -> Ns {
        let latency = self.dests[&open_message.message.dest].latency.mean() as Ns;
        let target = self.settings.classes[open_message.message.class].latency_target;
        open_message.deadline_at - (latency / 2).min(target / 4).max(2 * self.settings.tick)
    }

    /// Ends all held messages that have no time left or cannot be sent any more.
    fn expire_held(&mut self, out: &mut Vec<Action>) {
        let held =
            self.active.iter().flat_map(|dest| self.dests[dest].held.iter().copied()).collect::<Vec<_>>();
        self.next_expiry = held.into_iter().map(|id| self.expire_if_due(id, out)).min().unwrap_or(Ns::MAX);
    }

    /// Ends a held message that is past its latest send time, or that may not be sent again to the endpoint
    /// of its first attempt. Returns its latest send time.
    fn expire_if_due(&mut self, id: MsgId, out: &mut Vec<Action>) -> Ns {
        let open_message = &self.messages[&id];
        let not_sendable = open_message
            .attempts
            .first()
            .is_some_and(|first| !self.allows(open_message, Some(first.endpoint)));
        let latest_send = self.latest_send(open_message);
        if not_sendable || latest_send <= self.now {
            self.refuse_or_fail(id, out);
        }
        latest_send
    }

    /// Ends a message: it is refused if it may be handed in again, and failed otherwise.
    fn refuse_or_fail(&mut self, id: MsgId, out: &mut Vec<Action>) {
        let open_message = &self.messages[&id];
        out.push(if self.allows(open_message, None) {
            Action::Refuse { id, backoff: self.backoff(open_message.message.dest) }
        } else {
            Action::Fail { id }
        });
        self.close_message(id);
    }

    /// Returns the backoff for a refused message: the mean time until its destination serves the next
    /// message, and so has room, at most `max_retry_after` but at least `MIN_ADMISSION_WAIT`.
    pub fn backoff(&self, dest: DestId) -> Ns {
        let interval = self.dests.get(&dest).map_or(0.0, |d| d.service_interval(self.now));
        (interval as Ns).min(self.settings.max_retry_after).max(MIN_ADMISSION_WAIT)
    }
}

/// Refills a token bucket and returns when it has a token (`now` if it has one already). `rate` is in
/// tokens per second.
fn refill(tokens: &mut f64, filled_at: &mut Ns, rate: f64, burst: f64, now: Ns) -> Ns {
    let elapsed_s = (now - *filled_at).max(0) as f64 / 1e9;
    (*tokens, *filled_at) = ((*tokens + elapsed_s * rate).min(burst), now);
    if *tokens >= 1.0 {
        now
    } else {
        now + ((1.0 - *tokens) / rate * 1e9) as Ns + 1
    }
}

/// Returns the steady rate, per second, at which a decaying count keeps this weight.
fn steady_rate(weight: f64) -> f64 {
    weight * std::f64::consts::LN_2 / (HALF_LIFE_NS / 1e9)
}

/// Returns how long a reported share of a limit holds: the shortest latency target. A share that stays low
/// for longer makes messages late; if it recovers sooner, refused calls use up the limit.
fn report_validity(settings: &Settings) -> Ns {
    settings.classes.iter().map(|class| class.latency_target).min().unwrap_or(SECOND).max(1)
}
