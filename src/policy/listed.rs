//! State by endpoint: made as lists, operators and messages name them, dropped where nothing depends on it.

use super::caps::top;
use super::{Sender, FADED, FEW, FORGET_AT_ONCE, IDLE_FOR, KEEP, MOST_IDLE, ROUGH};
use crate::api::*;
use crate::state::*;
use crate::statistics::Use;

impl Sender {
    /// Begins to drop what the list no longer names and what is not used, where nothing depends on it: what
    /// is idle for long, and the longest idle past a bound that does not count what holds calls back.
    pub(super) fn begin_to_forget(&mut self) {
        let idle = self.dests.iter().filter(|(id, dest)| !self.active.contains(id) && !dest.restrains);
        let mut idle: Vec<(Ns, DestId)> = idle.map(|(&id, dest)| (dest.used_at, id)).collect();
        idle.sort_unstable();
        let old = idle.partition_point(|&(used_at, _)| self.now - used_at >= IDLE_FOR);
        let unused = if self.looks_up { old.max(idle.len().saturating_sub(MOST_IDLE)) } else { 0 };
        self.unused_to = unused.checked_sub(1).map(|last| idle[last]);
        (self.forgot_at, self.forgetting) = (self.now, Some(0));
    }

    /// Goes on with that for some destinations.
    pub(super) fn forget_from(&mut self, next: DestId) {
        let ids: Vec<DestId> = self.dests.range(next..).map(|d| *d.0).take(FORGET_AT_ONCE).collect();
        ids.iter().for_each(|&id| self.forget(id));
        self.forgetting = ids.get(FORGET_AT_ONCE - 1).and_then(|last| last.checked_add(1));
        let None = self.forgetting else { return };
        let (now, cold, dests) = (self.now, self.cfg.slow_start_window, &self.dests);
        let places = |id: DestId| dests.get(&id).map_or(&[][..], |dest| &dest.places);
        self.endpoints.retain(|id, e| places(e.dest).binary_search(id).is_ok() || e.is_needed(now, cold));
        self.routes.retain(|&(dest, id), r| {
            let seen = r.back_at.max(r.next_trial).max(r.wait_until);
            let named = places(dest).binary_search(&id).is_ok()
                || (id == EndpointId::MAX && !places(dest).is_empty());
            named || r.in_flight > 0 || now < seen.saturating_add(KEEP.max(cold))
        });
        self.keys.retain(|_, turn| !turn.queue.is_empty() || turn.rest_until > now);
        self.remembered = self.dests.len();
    }

    fn forget(&mut self, id: DestId) {
        let (now, cold, active) = (self.now, self.cfg.slow_start_window, self.active.contains(&id));
        let restrains = self.restrains(id, &self.dests[&id]);
        let dest = self.dests.get_mut(&id).expect("looked up above");
        let unused = !active && !restrains && Some((dest.used_at, id)) <= self.unused_to;
        dest.restrains = restrains;
        let endpoints = &self.endpoints;
        dest.places.retain(|e| {
            let known = endpoints.get(e).filter(|known| known.dest == id);
            known.is_some_and(|known| (known.listed && !unused) || known.is_needed(now, cold))
        });
        dest.cells.drop_under(FADED, now);
        dest.arrivals.drop_under(FADED, now);
        if unused {
            let routes = self.routes.extract_if((id, 0)..=(id, EndpointId::MAX), |_, r| r.in_flight == 0);
            routes.for_each(drop);
        }
        if dest.places.is_empty() && !active {
            // What was held may have ended since it became due: nothing is left to look at there.
            self.agenda.remove(&(dest.look_at, id));
            self.dests.remove(&id);
        }
    }

    /// Whether what is known of a destination still holds calls to it back. An ordering key's rest is kept by
    /// the key, and a repeat window with its message.
    fn restrains(&self, id: DestId, dest: &Dest) -> bool {
        let (now, cold) = (self.now, self.cfg.slow_start_window);
        let waits = |r: &Route| r.wait_until.max(r.not_before) > now;
        let route = |r: &Route| r.doubt || waits(r) || (r.cold && now - r.back_at <= cold);
        let needed = |e: &EndpointId| self.endpoints.get(e).is_some_and(|e| e.is_needed(now, cold));
        let mut routes = self.routes.range((id, 0)..=(id, EndpointId::MAX));
        routes.any(|(_, r)| route(r)) || dest.places.iter().any(|e| self.maint.contains(e) || needed(e))
    }

    /// Entries that the caller has found for a message.
    pub(super) fn look_up(&mut self, entries: &[Entry]) {
        self.looks_up = true;
        self.take_in(entries, self.first_list_at.unwrap_or(self.now));
    }

    /// Follows the list. Draining and gone endpoints are unusable before anything of the batch is sent.
    pub(super) fn list(&mut self, whole: bool, entries: &[Entry]) {
        self.first_list_at.get_or_insert(self.now);
        if whole {
            self.endpoints.values_mut().for_each(|e| (e.listed, e.usable) = (false, false));
        }
        self.take_in(entries, self.now);
    }

    /// Takes in what was listed at a time.
    fn take_in(&mut self, entries: &[Entry], since: Ns) {
        for entry in entries {
            let (dest, kind, zone) = (entry.dest, entry.kind, entry.zone);
            let lot = lot(self.seed, entry.endpoint);
            let known = self.endpoints.entry(entry.endpoint).or_insert_with(|| Endpoint { lot, ..unused() });
            (known.dest, known.kind, known.zone) = (dest, kind, zone);
            known.listed = entry.condition == Condition::Ready;
            known.usable = known.listed && !self.maint.contains(&entry.endpoint);
            let id = self.route_of(entry.endpoint);
            let route = self.routes.entry(id).or_insert_with(|| Route {
                share: 1.0 / self.cfg.sender_count.clamp(1, FEW) as f64,
                share_at: since,
                tokens: 1.0,
                filled_at: since,
                sent: Use::since(since),
                usual: Use::since(since),
                ..Route::default()
            });
            // What is gone tells nothing of its neighbours' limit.
            if entry.condition != Condition::Gone {
                let trust = if self.cfg.rough_rate_hints { ROUGH } else { 1.0 };
                let told = self.cfg.rate_hints && entry.rate_hint.is_finite();
                route.hint = if told { entry.rate_hint.max(0.0) * trust } else { 0.0 };
            }
            let dest = self.dest(entry.dest);
            if let Err(at) = dest.places.binary_search(&entry.endpoint) {
                dest.places.insert(at, entry.endpoint);
            }
            self.due(entry.dest, LONG_AGO);
        }
    }

    /// Takes an endpoint out or puts it back. Only one that was out has been restarted.
    pub(super) fn maint(&mut self, endpoint: EndpointId, out: bool, at: Ns) {
        let changed = if out { self.maint.insert(endpoint) } else { self.maint.remove(&endpoint) };
        let known = self.endpoints.entry(endpoint).or_insert_with(unused);
        known.usable = known.listed && !out;
        if changed && !out {
            (known.back_at, known.tokens, known.filled_at) = (Some(at.min(self.now)), 1.0, self.now);
        }
        let dest = known.dest;
        self.due(dest, LONG_AGO);
    }

    pub(super) fn dest(&mut self, id: DestId) -> &mut Dest {
        let (cap, used_at) = (top(&self.cfg), self.now);
        self.dests.entry(id).or_insert_with(|| Dest { cap, used_at, ..Dest::default() })
    }

    pub(super) fn route_of(&self, endpoint: EndpointId) -> RouteId {
        let e = &self.endpoints[&endpoint];
        let separate = self.cfg.kinds.get(e.kind).is_some_and(|k| k.separate_routes);
        (e.dest, if separate { endpoint } else { EndpointId::MAX })
    }
}

impl Endpoint {
    /// Whether a call is out there, or it comes back.
    fn is_needed(&self, now: Ns, cold: Ns) -> bool {
        self.in_flight > 0 || self.back_at.is_some_and(|at| now - at <= cold)
    }
}

/// An endpoint before anything is known of it.
fn unused() -> Endpoint {
    Endpoint { used_at: LONG_AGO, served_at: LONG_AGO, gap: Ns::MAX, ..Endpoint::default() }
}

/// A sender's order among equal endpoints, the same whenever an endpoint's state is made. A fleet whose
/// senders have a call out now and then would else send nearly all to the endpoint that its list names first.
fn lot(seed: u64, endpoint: EndpointId) -> u32 {
    // The finalizer of SplitMix64.
    let mut z = seed.wrapping_add((u64::from(endpoint) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 32) as u32
}
