//! State by endpoint: made as lists, operators and messages name them, dropped where nothing depends on it.

use super::caps::top;
use super::{Sender, FADED, FEW, KEEP, ROUGH};
use crate::api::*;
use crate::state::*;
use crate::statistics::Use;
use std::collections::BTreeSet;

impl Sender {
    /// Drops what the list no longer names and nothing depends on: calls out, a told wait, an outage seen.
    pub(super) fn forget(&mut self) {
        let (now, cold) = (self.now, self.cfg.cold);
        self.endpoints
            .retain(|_, e| e.listed || e.in_flight > 0 || e.back_at.is_some_and(|at| now - at <= cold));
        let endpoints = &self.endpoints;
        let named: BTreeSet<RouteId> = endpoints.keys().map(|&e| self.route_of(e)).collect();
        self.routes.retain(|id, r| {
            let seen = r.back_at.max(r.next_trial).max(r.wait_until);
            named.contains(id) || r.in_flight > 0 || now < seen.saturating_add(KEEP.max(self.cfg.cold))
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
        self.forgot_at = now;
    }

    /// Follows the list. Draining and gone endpoints are unusable before anything of the batch is sent.
    pub(super) fn list(&mut self, whole: bool, entries: &[Entry]) {
        let since = *self.first_list_at.get_or_insert(self.now);
        if whole {
            self.endpoints.values_mut().for_each(|e| (e.listed, e.usable) = (false, false));
        }
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
            if !dest.places.contains(&entry.endpoint) {
                dest.places.push(entry.endpoint);
                dest.places.sort_unstable();
            }
            self.due(entry.dest, LONG_AGO);
        }
    }

    /// Whether it holds state for a destination: changes of the list that concern it have to be told.
    pub fn knows(&self, destination: DestId) -> bool {
        self.dests.contains_key(&destination)
    }

    pub fn knows_endpoint(&self, endpoint: EndpointId) -> bool {
        self.endpoints.contains_key(&endpoint)
    }

    pub fn known_destinations(&self) -> impl Iterator<Item = DestId> + '_ {
        self.dests.keys().copied()
    }

    pub fn known_endpoints(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.endpoints.keys().copied()
    }

    /// An endpoint as the list has named it, where that was ready, without its hint.
    pub(crate) fn ready_entry(&self, endpoint: EndpointId) -> Option<Entry> {
        let known = self.endpoints.get(&endpoint).filter(|e| e.listed)?;
        let (dest, kind, zone) = (known.dest, known.kind, known.zone);
        Some(Entry { endpoint, dest, kind, zone, condition: Condition::Ready, hint: 0.0 })
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
        let cap = top(&self.cfg);
        self.dests.entry(id).or_insert_with(|| Dest { cap, ..Dest::default() })
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
