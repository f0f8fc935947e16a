//! State that passes from one process of a sender to another: as a whole in an upgrade or from a snapshot,
//! and route by route while two processes of an upgrade run.

use super::{Sender, OUTAGE_RETRY_AFTER};
use crate::api::*;
use crate::state::*;
use std::collections::BTreeSet;
use std::mem::take;

/// The routes that have changed since another process was last told of them.
#[derive(Default)]
pub(super) struct RouteChanges {
    /// Routes with a sign of trouble: a wait, a refusal, a failure or a trial call.
    restrictive: BTreeSet<RouteId>,
    other: BTreeSet<RouteId>,
}

/// What one process has learned of a route, on the clock of its policy.
#[derive(Clone, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct LearnedRoute(Route);

impl Sender {
    /// Continues with the state that another process has handed over. The settings must be the same, and the
    /// clock must not restart. No timer is pending afterwards. Which endpoints operators have taken out of
    /// use is not kept, as the caller has it on disk.
    pub fn after_handover(self, settings: Settings) -> Sender {
        // Earlier versions did not store the seed.
        let seed = if self.seed == 0 { self.random_state } else { self.seed };
        let mut new = Sender { settings, seed, timer_at: None, ..self };
        for id in take(&mut new.out_of_service) {
            if let Some(endpoint) = new.endpoints.get_mut(&id) {
                endpoint.usable = endpoint.listed;
            }
        }
        new
    }

    /// Calls `store` with this sender without its messages, calls and ordering keys: what a snapshot of the
    /// learned state contains.
    pub fn without_work<T>(&mut self, store: impl FnOnce(&Sender) -> T) -> T {
        let work = (take(&mut self.messages), take(&mut self.calls), take(&mut self.key_queues));
        let stored = store(self);
        (self.messages, self.calls, self.key_queues) = work;
        stored
    }

    /// Continues with the learned state of a process that was killed. Its calls, held messages and
    /// connections are gone, and a wait that a response asked for ends with the restart. Which endpoints
    /// operators have taken out of use is not kept. A slow start in progress continues.
    pub fn after_restart(self, settings: Settings, seed: u64) -> Sender {
        let mut new = Sender {
            settings,
            seed,
            random_state: seed,
            timer_at: None,
            next_expiry: Ns::MAX,
            open_count: 0,
            trials_in_flight: 0,
            ..self
        };
        new.endpoints.values_mut().for_each(|e| (e.in_flight, e.open_connections) = (0, 0));
        for route in new.routes.values_mut() {
            (route.in_flight, route.retry_after_until) = (0, LONG_AGO);
        }
        for dest in new.dests.values_mut() {
            dest.in_flight = 0;
            dest.held.clear();
        }
        (new.active, new.agenda, new.out_of_service) = Default::default();
        new.ended_call_endpoints.clear();
        new
    }

    /// Begins or stops to note which routes change.
    pub fn track_route_changes(&mut self, track: bool) {
        self.route_changes = track.then(RouteChanges::default);
    }

    /// Notes that a route has changed. `restrictive`: because of a sign of trouble.
    pub(super) fn note_route_change(&mut self, id: RouteId, restrictive: bool) {
        let Some(changes) = &mut self.route_changes else { return };
        if restrictive {
            changes.restrictive.insert(id);
        } else {
            changes.other.insert(id);
        }
    }

    /// Takes the routes that have changed: all of them, or only those with a sign of trouble.
    pub fn take_changed_routes(&mut self, all: bool) -> Vec<(RouteId, LearnedRoute)> {
        let Some(changes) = &mut self.route_changes else { return Vec::new() };
        let mut ids = take(&mut changes.restrictive);
        if all {
            ids.append(&mut changes.other);
        } else {
            ids.iter().for_each(|id| _ = changes.other.remove(id));
        }
        let learned = |id: RouteId| Some((id, LearnedRoute(self.routes.get(&id)?.clone())));
        ids.into_iter().filter_map(learned).collect()
    }

    /// Continues with what another process of this sender has learned of a route since it took over from this
    /// one. `clock_offset` is added to its times. Calls in flight are those of this process, and the list is
    /// up to the caller.
    pub fn adopt_route(&mut self, id: RouteId, learned: LearnedRoute, clock_offset: Ns) {
        let learned = learned.0.shifted(clock_offset);
        let route = self.route_or_new(id, learned.refilled_at);
        *route = Route {
            listed_limit: route.listed_limit,
            in_flight: route.in_flight,
            retry_after_until: route.retry_after_until.max(learned.retry_after_until),
            backoff_until: route.backoff_until.max(learned.backoff_until),
            ..learned
        };
    }

    /// Sends nothing to a route until a time: another process of this sender was, or may have been, told to
    /// wait.
    pub fn hold_route(&mut self, id: RouteId, until: Ns) {
        let route = self.route_or_new(id, until);
        route.retry_after_until = route.retry_after_until.max(until);
    }

    /// Holds a route back after a call whose end another process of this sender has not reported: it may have
    /// been told to wait, most likely by a rate limit. `was_refused`: it is known that the call was turned
    /// away, and not whether it was told to wait.
    pub fn hold_unreported(&mut self, id: RouteId, was_refused: bool, now: Ns) {
        let longest_deadline = self.settings.classes.iter().map(|class| class.deadline).max();
        let wait = longest_deadline.filter(|_| was_refused).unwrap_or(OUTAGE_RETRY_AFTER);
        self.hold_route(id, now.saturating_add(wait));
    }

    /// Returns the routes that may not be called yet as responses asked to wait, each with the end of the
    /// wait.
    pub fn waiting_routes(&self, now: Ns) -> impl Iterator<Item = (RouteId, Ns)> + '_ {
        let waits = self.routes.iter().map(|(&id, route)| (id, route.retry_after_until));
        waits.filter(move |&(_, until)| until > now)
    }
}

impl LearnedRoute {
    /// Returns the end of the wait that a response asked for, on the clock of the process that learned it.
    pub fn retry_after_until(&self) -> Ns {
        self.0.retry_after_until
    }
}

impl Route {
    /// Returns the same state with all times moved by a duration. Names every field, so that a new one can't
    /// be forgotten.
    fn shifted(self, by: Ns) -> Route {
        let Route {
            reported_limit,
            listed_limit,
            estimated_limit,
            sent_rate,
            usual_rate,
            refused_at,
            share,
            share_at,
            share_before,
            tokens,
            refilled_at,
            retry_after_until,
            backoff_until,
            failures,
            refusals,
            connection_refusals,
            failure_share,
            half_open,
            slow_start,
            inherited,
            partial_outage,
            down,
            recovered_at,
            next_trial_at,
            served_count,
            in_flight,
        } = self;
        Route {
            sent_rate: sent_rate.shifted(by),
            usual_rate: usual_rate.shifted(by),
            refused_at: refused_at.saturating_add(by),
            share_at: share_at.saturating_add(by),
            refilled_at: refilled_at.saturating_add(by),
            retry_after_until: retry_after_until.saturating_add(by),
            backoff_until: backoff_until.saturating_add(by),
            recovered_at: recovered_at.saturating_add(by),
            next_trial_at: next_trial_at.saturating_add(by),
            served_count: served_count.shifted(by),
            reported_limit,
            listed_limit,
            estimated_limit,
            share,
            share_before,
            tokens,
            failures,
            refusals,
            connection_refusals,
            failure_share,
            half_open,
            slow_start,
            inherited,
            partial_outage,
            down,
            in_flight,
        }
    }
}
