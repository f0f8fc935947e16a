//! Lists on demand: the policy is told of a destination only once there is a message for it.
//!
//! The caller keeps what is listed in a [`Directory`] of its own, in whatever compact form suits it. This module turns
//! messages and changes of the directory into the [`Event::LookedUp`] and [`Event::List`] that the policy needs, so that
//! it holds state for the destinations that it works on, and never for all that are listed.

use crate::api::{Condition, DestId, EndpointId, Entry, Event};
use crate::policy::Sender;
use std::collections::{BTreeMap, BTreeSet};

impl Sender {
    /// Whether it holds state for a destination: changes of the list that concern it have to be told.
    pub fn knows_destination(&self, destination: DestId) -> bool {
        self.dests.contains_key(&destination)
    }

    /// Whether it holds state for an endpoint.
    pub fn knows_endpoint(&self, endpoint: EndpointId) -> bool {
        self.endpoints.contains_key(&endpoint)
    }

    /// The destinations that it holds state for, in ascending order.
    pub fn known_destinations(&self) -> impl Iterator<Item = DestId> + '_ {
        self.dests.keys().copied()
    }

    /// Whether it has messages for a destination: held, or in calls that are out.
    pub fn has_work(&self, destination: DestId) -> bool {
        self.active.contains(&destination)
    }

    /// The endpoints of a destination that it holds state for.
    fn known_endpoints_of(&self, destination: DestId) -> &[EndpointId] {
        self.dests.get(&destination).map_or(&[], |dest| &dest.places)
    }

    /// The endpoints that it holds state for, in ascending order.
    pub fn known_endpoints(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.endpoints.keys().copied()
    }

    /// An endpoint as it was last told, where that was ready; without a hint.
    fn ready_entry(&self, endpoint: EndpointId) -> Option<Entry> {
        let known = self.endpoints.get(&endpoint).filter(|e| e.listed)?;
        let (dest, kind, zone) = (known.dest, known.kind, known.zone);
        Some(Entry { endpoint, dest, kind, zone, condition: Condition::Ready, rate_hint: 0.0 })
    }
}

/// What is listed, by endpoint and by destination.
pub trait Directory {
    /// None: not listed, or not any more.
    fn entry(&self, endpoint: EndpointId) -> Option<Entry>;
    /// In ascending order.
    fn endpoints_of(&self, destination: DestId) -> Vec<EndpointId>;
}

/// Up to so many known destinations are told of a replaced directory in one event.
const TOLD_AT_ONCE: usize = 256;

/// Decides which entries of a directory the policy is told.
#[derive(Default)]
pub struct OnDemandList {
    /// Known destinations without work that are still to be told of a replaced directory.
    behind: BTreeSet<DestId>,
    /// Destinations of messages in events that the policy has not handled yet.
    awaited: BTreeSet<DestId>,
    /// Entries in events that the policy has not handled yet, as they were last told.
    told: BTreeMap<EndpointId, Entry>,
}

impl OnDemandList {
    /// To be called before an [`Event::Message`] or [`Event::Resumed`] goes into `events`.
    pub fn before_message(
        &mut self,
        policy: &Sender,
        directory: &impl Directory,
        destination: DestId,
        events: &mut Vec<Event>,
    ) {
        if self.behind.remove(&destination) {
            self.tell(policy, directory, &[destination], events);
        }
        if !self.awaited.insert(destination) || policy.knows_destination(destination) {
            return;
        }
        let entries = entries_of(directory, destination);
        if !entries.is_empty() {
            self.note(&entries);
            events.push(Event::LookedUp { entries });
        }
    }

    /// To be called after `endpoints` have changed in the directory, those that left it included.
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
            self.note(&entries);
            events.push(Event::List { whole: false, entries });
        }
    }

    /// To be called after the whole directory was replaced, also by the first one. Where the policy knows many
    /// destinations it is told of those with work; for the others there is [`OnDemandList::tell_pending`].
    pub fn directory_replaced(
        &mut self,
        policy: &Sender,
        directory: &impl Directory,
        events: &mut Vec<Event>,
    ) {
        self.behind.clear();
        let known: BTreeSet<DestId> =
            policy.known_destinations().chain(self.awaited.iter().copied()).collect();
        if known.len() <= TOLD_AT_ONCE {
            let entries = known.into_iter().flat_map(|destination| entries_of(directory, destination));
            let entries: Vec<Entry> = entries.collect();
            self.note(&entries);
            events.push(Event::List { whole: true, entries });
            return;
        }
        let in_use = |&id: &DestId| policy.has_work(id) || self.awaited.contains(&id);
        let (working, behind): (Vec<DestId>, Vec<DestId>) = known.into_iter().partition(in_use);
        self.behind = behind.into_iter().collect();
        // What the policy is told ahead of this, in events that it has not handled, may have left the directory.
        let told: Vec<EndpointId> = self.told.keys().copied().collect();
        self.endpoints_changed(policy, directory, &told, events);
        self.tell(policy, directory, &working, events);
    }

    /// Whether destinations are still to be told of.
    pub fn has_pending(&self) -> bool {
        !self.behind.is_empty()
    }

    /// Tells the policy of up to `most` further destinations of a replaced directory.
    pub fn tell_pending(
        &mut self,
        policy: &Sender,
        directory: &impl Directory,
        most: usize,
        events: &mut Vec<Event>,
    ) {
        let next = std::iter::from_fn(|| self.behind.pop_first()).take(most);
        let next: Vec<DestId> = next.collect();
        self.tell(policy, directory, &next, events);
    }

    /// Tells the policy what the directory says of destinations that it knows, and which of their endpoints are gone.
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

    /// To be called once the policy has handled the events.
    pub fn events_handled(&mut self) {
        self.awaited.clear();
        self.told.clear();
    }

    /// What the policy needs to be told of a changed endpoint, if anything.
    fn change(&self, policy: &Sender, directory: &impl Directory, endpoint: EndpointId) -> Option<Entry> {
        let known =
            |entry: &Entry| policy.knows_destination(entry.dest) || self.awaited.contains(&entry.dest);
        directory.entry(endpoint).filter(known).or_else(|| {
            // It left the list, or moved to a destination that needs no state: it is gone where it was.
            let told = self.told.get(&endpoint).copied().or_else(|| policy.ready_entry(endpoint))?;
            Some(Entry { condition: Condition::Gone, ..told })
        })
    }

    fn note(&mut self, entries: &[Entry]) {
        self.told.extend(entries.iter().map(|entry| (entry.endpoint, *entry)));
    }
}

fn entries_of(directory: &impl Directory, destination: DestId) -> Vec<Entry> {
    let endpoints = directory.endpoints_of(destination);
    endpoints.into_iter().filter_map(|endpoint| directory.entry(endpoint)).collect()
}
