//! State of endpoints, routes and destinations: created when lists, operators and messages name them, dropped
//! when nothing depends on it.

use super::caps::max_cap;
use super::{
    Sender, CLEANUP_BATCH, DESTINATION_IDLE_TIMEOUT, KEEP_DELISTED, MAX_ACTIVE_SENDERS,
    MAX_IDLE_DESTINATIONS, NEGLIGIBLE_WEIGHT, ROUGH_LIMIT_SHARE,
};
use crate::api::*;
use crate::state::*;
use crate::statistics::RateMeter;

impl Sender {
    /// Starts to drop the state of endpoints that are not listed any more and of unused destinations, where
    /// nothing depends on it. If the caller looks destinations up, unused are those idle for
    /// `DESTINATION_IDLE_TIMEOUT`, and of more than `MAX_IDLE_DESTINATIONS` those idle for the longest. A
    /// destination whose state holds calls back does not count as idle.
    pub(super) fn start_cleanup(&mut self) {
        let idle = self.dests.iter().filter(|(id, dest)| !self.active.contains(id) && !dest.restrains);
        let mut idle: Vec<(Ns, DestId)> = idle.map(|(&id, dest)| (dest.used_at, id)).collect();
        idle.sort_unstable();
        let timed_out = idle.partition_point(|&(used_at, _)| self.now - used_at >= DESTINATION_IDLE_TIMEOUT);
        let unused_count =
            if self.on_demand { timed_out.max(idle.len().saturating_sub(MAX_IDLE_DESTINATIONS)) } else { 0 };
        self.last_unused = unused_count.checked_sub(1).map(|last| idle[last]);
        (self.cleanup_at, self.cleanup_cursor) = (self.now, Some(0));
    }

    /// Continues the cleanup with the next destinations from `next` on, and finishes it after the last.
    pub(super) fn continue_cleanup(&mut self, next: DestId) {
        let ids: Vec<DestId> = self.dests.range(next..).map(|d| *d.0).take(CLEANUP_BATCH).collect();
        ids.iter().for_each(|&id| self.clean_up(id));
        self.cleanup_cursor = ids.get(CLEANUP_BATCH - 1).and_then(|last| last.checked_add(1));
        let None = self.cleanup_cursor else { return };
        let (now, slow_start_window, dests) = (self.now, self.settings.slow_start_window, &self.dests);
        let endpoints_of = |id: DestId| dests.get(&id).map_or(&[][..], |dest| &dest.endpoints);
        self.endpoints.retain(|id, endpoint| {
            endpoints_of(endpoint.dest).binary_search(id).is_ok()
                || endpoint.is_needed(now, slow_start_window)
        });
        self.routes.retain(|&(dest, id), route| {
            let last_event_at = route.recovered_at.max(route.next_trial_at).max(route.retry_after_until);
            let is_named = endpoints_of(dest).binary_search(&id).is_ok()
                || (id == EndpointId::MAX && !endpoints_of(dest).is_empty());
            is_named
                || route.in_flight > 0
                || now < last_event_at.saturating_add(KEEP_DELISTED.max(slow_start_window))
        });
        self.key_queues.retain(|_, key_queue| !key_queue.queue.is_empty() || key_queue.quiet_until > now);
        self.dests_after_cleanup = self.dests.len();
    }

    /// Drops what is not needed of one destination, and the destination itself if it has no endpoint left
    /// and no work.
    fn clean_up(&mut self, id: DestId) {
        let (now, slow_start_window, active) =
            (self.now, self.settings.slow_start_window, self.active.contains(&id));
        let restrains = self.restrains(id, &self.dests[&id]);
        let dest = self.dests.get_mut(&id).expect("looked up above");
        let unused = !active && !restrains && Some((dest.used_at, id)) <= self.last_unused;
        dest.restrains = restrains;
        let endpoints = &self.endpoints;
        dest.endpoints.retain(|e| {
            let known = endpoints.get(e).filter(|known| known.dest == id);
            known.is_some_and(|known| (known.listed && !unused) || known.is_needed(now, slow_start_window))
        });
        dest.latencies.drop_below(NEGLIGIBLE_WEIGHT, now);
        dest.arrivals.drop_below(NEGLIGIBLE_WEIGHT, now);
        if unused {
            let routes =
                self.routes.extract_if((id, 0)..=(id, EndpointId::MAX), |_, route| route.in_flight == 0);
            routes.for_each(drop);
        }
        if dest.endpoints.is_empty() && !active {
            // The destination may still be on the agenda, as its held messages may have ended since it
            // became due.
            self.agenda.remove(&(dest.due_at, id));
            self.dests.remove(&id);
        }
    }

    /// Returns whether the state of a destination still holds calls to it back. The quiet period of an
    /// ordering key is kept with the key, and a deduplication window with its message.
    fn restrains(&self, id: DestId, dest: &Dest) -> bool {
        let (now, slow_start_window) = (self.now, self.settings.slow_start_window);
        let must_wait = |route: &Route| route.retry_after_until.max(route.backoff_until) > now;
        let route_restrains = |route: &Route| {
            route.half_open
                || must_wait(route)
                || (route.slow_start && now - route.recovered_at <= slow_start_window)
        };
        let needed = |endpoint: &EndpointId| {
            self.endpoints.get(endpoint).is_some_and(|endpoint| endpoint.is_needed(now, slow_start_window))
        };
        let mut routes = self.routes.range((id, 0)..=(id, EndpointId::MAX));
        routes.any(|(_, route)| route_restrains(route))
            || dest
                .endpoints
                .iter()
                .any(|endpoint| self.out_of_service.contains(endpoint) || needed(endpoint))
    }

    /// Applies entries that the caller has looked up for a message.
    pub(super) fn apply_lookup(&mut self, entries: &[Entry]) {
        self.on_demand = true;
        self.apply_entries(entries, self.first_list_at.unwrap_or(self.now));
    }

    /// Applies a list. Draining and gone endpoints are unusable before anything is sent in the same batch.
    pub(super) fn apply_list(&mut self, whole: bool, entries: &[Entry]) {
        self.first_list_at.get_or_insert(self.now);
        if whole {
            self.endpoints
                .values_mut()
                .for_each(|endpoint| (endpoint.listed, endpoint.usable) = (false, false));
        }
        self.apply_entries(entries, self.now);
    }

    /// Applies entries that were listed at `since`.
    fn apply_entries(&mut self, entries: &[Entry], since: Ns) {
        for entry in entries {
            let (dest, kind, zone) = (entry.dest, entry.kind, entry.zone);
            let trust = if self.settings.rough_rate_hints { ROUGH_LIMIT_SHARE } else { 1.0 };
            let has_limit = self.settings.rate_hints && entry.rate_hint.is_finite();
            let listed_limit = if has_limit { entry.rate_hint.max(0.0) * trust } else { 0.0 };
            let tie_break = tie_break(self.seed, entry.endpoint);
            let known = self
                .endpoints
                .entry(entry.endpoint)
                .or_insert_with(|| Endpoint { tie_break, ..new_endpoint() });
            (known.dest, known.kind, known.zone) = (dest, kind, zone);
            known.listed = entry.condition == Condition::Ready;
            known.usable = known.listed && !self.out_of_service.contains(&entry.endpoint);
            let route = self.route_or_new(self.route_of(entry.endpoint), since);
            // The entry of an endpoint that is gone says nothing about the limit of the others.
            if entry.condition != Condition::Gone {
                route.listed_limit = listed_limit;
            }
            let dest = self.dest_or_new(entry.dest);
            if let Err(index) = dest.endpoints.binary_search(&entry.endpoint) {
                dest.endpoints.insert(index, entry.endpoint);
            }
            self.set_due(entry.dest, LONG_AGO);
        }
    }

    /// Takes an endpoint out of use, or puts it back. An endpoint that is put back after it was out has
    /// been restarted, so it begins a slow start.
    pub(super) fn set_maintenance(&mut self, endpoint: EndpointId, out: bool, at: Ns) {
        let changed =
            if out { self.out_of_service.insert(endpoint) } else { self.out_of_service.remove(&endpoint) };
        let known = self.endpoints.entry(endpoint).or_insert_with(new_endpoint);
        known.usable = known.listed && !out;
        if changed && !out {
            (known.put_back_at, known.tokens, known.refilled_at) = (Some(at.min(self.now)), 1.0, self.now);
        }
        let dest = known.dest;
        self.set_due(dest, LONG_AGO);
    }

    /// Returns the state of a destination, which is created if there is none.
    pub(super) fn dest_or_new(&mut self, id: DestId) -> &mut Dest {
        let (cap, used_at) = (max_cap(&self.settings), self.now);
        self.dests.entry(id).or_insert_with(|| Dest { cap, used_at, ..Dest::default() })
    }

    /// Returns the state of a route, which is created as listed at `since` if there is none.
    pub(super) fn route_or_new(&mut self, id: RouteId, since: Ns) -> &mut Route {
        let senders = self.settings.sender_count.clamp(1, MAX_ACTIVE_SENDERS);
        self.routes.entry(id).or_insert_with(|| Route {
            share: 1.0 / senders as f64,
            share_at: since,
            tokens: 1.0,
            refilled_at: since,
            sent_rate: RateMeter::starting_at(since),
            usual_rate: RateMeter::starting_at(since),
            ..Route::default()
        })
    }

    /// Returns the route of an endpoint.
    pub(super) fn route_of(&self, endpoint: EndpointId) -> RouteId {
        let state = &self.endpoints[&endpoint];
        let separate = self.settings.kinds.get(state.kind).is_some_and(|kind| kind.separate_routes);
        (state.dest, if separate { endpoint } else { EndpointId::MAX })
    }
}

impl Endpoint {
    /// Returns whether a call to the endpoint is in flight, or the slow start after it was put back is in
    /// progress.
    fn is_needed(&self, now: Ns, slow_start_window: Ns) -> bool {
        self.in_flight > 0 || self.put_back_at.is_some_and(|at| now - at <= slow_start_window)
    }
}

/// Returns the state of an endpoint that was never used.
fn new_endpoint() -> Endpoint {
    Endpoint { used_at: LONG_AGO, served_at: LONG_AGO, served_interval: Ns::MAX, ..Endpoint::default() }
}

/// Returns the rank of an endpoint among otherwise equal ones for the sender with this seed. It does not
/// depend on when the endpoint's state is created. Without it, the senders of a fleet that rarely have more
/// than one call in flight would send nearly all of them to the endpoint that the list names first.
fn tie_break(seed: u64, endpoint: EndpointId) -> u32 {
    // The finalizer of SplitMix64.
    let mut z = seed.wrapping_add((u64::from(endpoint) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 32) as u32
}
