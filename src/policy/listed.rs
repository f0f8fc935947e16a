//! State by endpoint: made as lists, operators and messages name them, dropped where nothing depends on it.

use super::caps::top;
use super::{Sender, FADED, FEW, IDLE_FOR, KEEP, MOST_IDLE, ROUGH};
use crate::api::*;
use crate::state::*;
use crate::statistics::Use;
use std::collections::BTreeSet;

impl Sender {
    /// Drops what the list no longer names and what is not used, where nothing depends on it.
    pub(super) fn forget(&mut self) {
        let (now, cold) = (self.now, self.cfg.cold);
        let unused = self.unused();
        self.endpoints.retain(|_, e| {
            let returns = e.back_at.is_some_and(|at| now - at <= cold);
            (e.listed && !unused.contains(&e.dest)) || e.in_flight > 0 || returns
        });
        let endpoints = &self.endpoints;
        let named: BTreeSet<RouteId> = endpoints.keys().map(|&e| self.route_of(e)).collect();
        self.routes.retain(|id, r| {
            let seen = r.back_at.max(r.next_trial).max(r.wait_until);
            let recent = now < seen.saturating_add(KEEP.max(cold)) && !unused.contains(&id.0);
            named.contains(id) || r.in_flight > 0 || recent
        });
        let active = &self.active;
        self.dests.retain(|id, dest| {
            dest.cells.drop_under(FADED, now);
            dest.arrivals.drop_under(FADED, now);
            dest.places.retain(|e| endpoints.get(e).is_some_and(|e| e.dest == *id));
            !dest.places.is_empty() || active.contains(id)
        });
        // What was held may have ended since its destination became due: nothing is left to look at there.
        let dests = &self.dests;
        self.agenda.retain(|(_, id)| dests.contains_key(id));
        self.keys.retain(|_, turn| !turn.queue.is_empty() || turn.rest_until > now);
        (self.forgot_at, self.remembered) = (now, self.dests.len());
    }

    /// Destinations that were not used for long, and the longest unused ones past a bound.
    fn unused(&self) -> BTreeSet<DestId> {
        let idle = |(id, dest): &(&DestId, &Dest)| !self.active.contains(id) && !self.restrains(**id, dest);
        let idle = self.dests.iter().filter(|_| self.looks_up).filter(idle);
        let mut idle: Vec<(Ns, DestId)> = idle.map(|(&id, dest)| (dest.used_at, id)).collect();
        idle.sort_unstable();
        let old = idle.partition_point(|&(used_at, _)| self.now - used_at >= IDLE_FOR);
        idle.truncate(old.max(idle.len().saturating_sub(MOST_IDLE)));
        idle.into_iter().map(|(_, id)| id).collect()
    }

    /// Whether what is known of a destination still holds calls to it back. An ordering key's rest is kept by
    /// the key, and a repeat window with its message.
    fn restrains(&self, id: DestId, dest: &Dest) -> bool {
        let (now, cold) = (self.now, self.cfg.cold);
        let cold = |since: Ns| now - since <= cold;
        let waits = |r: &Route| r.wait_until.max(r.not_before) > now;
        let route = |r: &Route| r.doubt || waits(r) || (r.cold && cold(r.back_at));
        let place = |e: &EndpointId| {
            let returns = |p: &Endpoint| p.in_flight > 0 || p.back_at.is_some_and(cold);
            self.maint.contains(e) || self.endpoints.get(e).is_some_and(returns)
        };
        let mut routes = self.routes.range((id, 0)..=(id, EndpointId::MAX));
        routes.any(|(_, r)| route(r)) || dest.places.iter().any(place)
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
                share: 1.0 / self.cfg.n_instances.clamp(1, FEW) as f64,
                share_at: since,
                tokens: 1.0,
                filled_at: since,
                sent: Use::since(since),
                usual: Use::since(since),
                ..Route::default()
            });
            // What is gone tells nothing of its neighbours' limit.
            if entry.condition != Condition::Gone {
                let trust = if self.cfg.rough_hints { ROUGH } else { 1.0 };
                let told = self.cfg.hints && entry.hint.is_finite();
                route.hint = if told { entry.hint.max(0.0) * trust } else { 0.0 };
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
