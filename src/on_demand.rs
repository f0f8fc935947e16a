//! Lists on demand: the policy is told of a destination only when there is a message for it.
//!
//! The caller keeps the listed endpoints in a [`Directory`] of its own, in any compact form. This module
//! turns messages and changes of the directory into the [`Event::LookedUp`] and [`Event::List`] that the
//! policy needs. So the policy holds state for the destinations in use, and not for all that are listed.

use crate::api::{Condition, DestId, EndpointId, Entry, Event};
use crate::policy::Sender;
use std::collections::{BTreeMap, BTreeSet};

impl Sender {
    /// Returns whether the policy holds state for a destination. It must be told of list changes that
    /// concern such a destination.
    pub fn knows_destination(&self, destination: DestId) -> bool {
        self.dests.contains_key(&destination)
    }

    /// Returns whether the policy holds state for an endpoint.
    pub fn knows_endpoint(&self, endpoint: EndpointId) -> bool {
        self.endpoints.contains_key(&endpoint)
    }

    /// Returns the destinations that the policy holds state for, in ascending order.
    pub fn known_destinations(&self) -> impl Iterator<Item = DestId> + '_ {
        self.dests.keys().copied()
    }

    /// Returns whether the policy has messages for a destination, held or in calls in flight, or had some
    /// since its last periodic work.
    pub fn has_work(&self, destination: DestId) -> bool {
        self.active.contains(&destination)
    }

    /// Returns the endpoints of a destination that the policy knows, in ascending order.
    fn known_endpoints_of(&self, destination: DestId) -> &[EndpointId] {
        self.dests.get(&destination).map_or(&[], |dest| &dest.endpoints)
    }

    /// Returns the endpoints that the policy holds state for, in ascending order.
    pub fn known_endpoints(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.endpoints.keys().copied()
    }

    /// Returns the last entry of an endpoint if it was ready. Its rate hint is not kept and is 0 here.
    fn ready_entry(&self, endpoint: EndpointId) -> Option<Entry> {
        let known = self.endpoints.get(&endpoint).filter(|e| e.listed)?;
        let (dest, kind, zone) = (known.dest, known.kind, known.zone);
        Some(Entry { endpoint, dest, kind, zone, condition: Condition::Ready, rate_hint: 0.0 })
    }
}

/// The listed endpoints, by number and by destination.
pub trait Directory {
    /// Returns the entry of an endpoint, or `None` if it is not listed.
    fn entry(&self, endpoint: EndpointId) -> Option<Entry>;
    /// Returns the endpoints of a destination in ascending order.
    fn endpoints_of(&self, destination: DestId) -> Vec<EndpointId>;
}

/// Maximum number of known destinations for which the policy is told of a replaced directory in one event.
const MAX_TOLD_AT_ONCE: usize = 256;

/// Decides which entries of a directory the policy is told.
#[derive(Default)]
pub struct OnDemandList {
    /// Known destinations without work for which the policy is still to be told of a replaced directory.
    pending: BTreeSet<DestId>,
    /// Destinations of messages in events that the policy has not handled yet.
    unhandled_destinations: BTreeSet<DestId>,
    /// Entries in events that the policy has not handled yet, as last told.
    unhandled_entries: BTreeMap<EndpointId, Entry>,
}

impl OnDemandList {
    /// Adds what the policy must know before an [`Event::Message`] or [`Event::Resumed`] for `destination`.
    /// Call it before that event is added to `events`.
    pub fn before_message(
        &mut self,
        policy: &Sender,
        directory: &impl Directory,
        destination: DestId,
        events: &mut Vec<Event>,
    ) {
        if self.pending.remove(&destination) {
            self.tell(policy, directory, &[destination], events);
        }
        if !self.unhandled_destinations.insert(destination) || policy.knows_destination(destination) {
            return;
        }
        let entries = entries_of(directory, destination);
        if !entries.is_empty() {
            self.remember_told(&entries);
            events.push(Event::LookedUp { entries });
        }
    }

    /// Adds what the policy must know after `endpoints` have changed in the directory or have left it.
    pub fn endpoints_changed(
        &mut self,
        policy: &Sender,
        directory: &impl Directory,
        endpoints: &[EndpointId],
        events: &mut Vec<Event>,
    ) {
        let change = |&endpoint: &EndpointId| self.change(policy, directory, endpoint);
        let entries: Vec<Entry> = endpoints.iter().filter_map(change).collect();
        if !entries.is_empty() {
            self.remember_told(&entries);
            events.push(Event::List { whole: false, entries });
        }
    }

    /// Adds what the policy must know after the whole directory was replaced, also for the first time. If
    /// the policy knows many destinations, this covers only those with work or with messages in unhandled
    /// events; [`OnDemandList::tell_pending`] tells of the others.
    pub fn directory_replaced(
        &mut self,
        policy: &Sender,
        directory: &impl Directory,
        events: &mut Vec<Event>,
    ) {
        self.pending.clear();
        let known: BTreeSet<DestId> =
            policy.known_destinations().chain(self.unhandled_destinations.iter().copied()).collect();
        if known.len() <= MAX_TOLD_AT_ONCE {
            let entries = known.into_iter().flat_map(|destination| entries_of(directory, destination));
            let entries: Vec<Entry> = entries.collect();
            self.remember_told(&entries);
            events.push(Event::List { whole: true, entries });
            return;
        }
        let in_use = |&id: &DestId| policy.has_work(id) || self.unhandled_destinations.contains(&id);
        let (working, pending): (Vec<DestId>, Vec<DestId>) = known.into_iter().partition(in_use);
        self.pending = pending.into_iter().collect();
        // Entries that the policy is told in earlier, unhandled events may have left the directory.
        let told: Vec<EndpointId> = self.unhandled_entries.keys().copied().collect();
        self.endpoints_changed(policy, directory, &told, events);
        self.tell(policy, directory, &working, events);
    }

    /// Returns whether the policy is still to be told of some destinations.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Tells the policy of up to `max_destinations` further destinations of a replaced directory.
    pub fn tell_pending(
        &mut self,
        policy: &Sender,
        directory: &impl Directory,
        max_destinations: usize,
        events: &mut Vec<Event>,
    ) {
        let next = std::iter::from_fn(|| self.pending.pop_first()).take(max_destinations);
        let next: Vec<DestId> = next.collect();
        self.tell(policy, directory, &next, events);
    }

    /// Tells the policy of the entries of destinations that it knows, and which of their endpoints are gone.
    fn tell(
        &mut self,
        policy: &Sender,
        directory: &impl Directory,
        destinations: &[DestId],
        events: &mut Vec<Event>,
    ) {
        let mut endpoints = Vec::new();
        for &destination in destinations {
            endpoints.extend(policy.known_endpoints_of(destination));
            endpoints.extend(directory.endpoints_of(destination));
        }
        endpoints.sort_unstable();
        endpoints.dedup();
        self.endpoints_changed(policy, directory, &endpoints, events);
    }

    /// Notes that the policy has handled all events so far.
    pub fn events_handled(&mut self) {
        self.unhandled_destinations.clear();
        self.unhandled_entries.clear();
    }

    /// Returns the entry that the policy must be told for a changed endpoint, if any.
    fn change(&self, policy: &Sender, directory: &impl Directory, endpoint: EndpointId) -> Option<Entry> {
        let needed = |entry: &Entry| {
            policy.knows_destination(entry.dest) || self.unhandled_destinations.contains(&entry.dest)
        };
        directory.entry(endpoint).filter(needed).or_else(|| {
            // The endpoint left the list, or moved to a destination without state: it is gone from its old
            // destination.
            let last_told =
                self.unhandled_entries.get(&endpoint).copied().or_else(|| policy.ready_entry(endpoint))?;
            Some(Entry { condition: Condition::Gone, ..last_told })
        })
    }

    /// Notes entries that go into an event.
    fn remember_told(&mut self, entries: &[Entry]) {
        self.unhandled_entries.extend(entries.iter().map(|entry| (entry.endpoint, *entry)));
    }
}

/// Returns the entries of a destination.
fn entries_of(directory: &impl Directory, destination: DestId) -> Vec<Entry> {
    let endpoints = directory.endpoints_of(destination);
    endpoints.into_iter().filter_map(|endpoint| directory.entry(endpoint)).collect()
}
