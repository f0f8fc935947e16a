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
    pub fn knows(&self, destination: DestId) -> bool {
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

    /// The endpoints that it holds state for, in ascending order.
    pub fn known_endpoints(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.endpoints.keys().copied()
    }

    /// An endpoint as it was last told, where that was ready; without a hint.
    fn ready_entry(&self, endpoint: EndpointId) -> Option<Entry> {
        let known = self.endpoints.get(&endpoint).filter(|e| e.listed)?;
        let (dest, kind, zone) = (known.dest, known.kind, known.zone);
        Some(Entry { endpoint, dest, kind, zone, condition: Condition::Ready, hint: 0.0 })
    }
}

/// What is listed, by endpoint and by destination.
pub trait Directory {
    /// None: not listed, or not any more.
    fn entry(&self, endpoint: EndpointId) -> Option<Entry>;
    /// In ascending order.
    fn endpoints_of(&self, destination: DestId) -> Vec<EndpointId>;
}

/// Decides which entries of a directory the policy is told.
#[derive(Default)]
pub struct OnDemandList {
    /// Destinations looked up for events that the policy has not handled yet.
    looked_up: BTreeSet<DestId>,
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
        if policy.knows(destination) || !self.looked_up.insert(destination) {
            return;
        }
        let entries = entries_of(directory, destination);
        if !entries.is_empty() {
            self.note(&entries);
            events.push(Event::LookedUp { entries });
        }
    }

    /// To be called after `endpoints` have changed in the directory, those that left it included.
    pub fn changed(
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

    /// To be called after the whole directory was replaced, also by the first one.
    pub fn replaced(&mut self, policy: &Sender, directory: &impl Directory, events: &mut Vec<Event>) {
        let destinations: BTreeSet<DestId> =
            policy.known_destinations().chain(self.looked_up.iter().copied()).collect();
        let entries = destinations.into_iter().flat_map(|destination| entries_of(directory, destination));
        let entries: Vec<Entry> = entries.collect();
        self.note(&entries);
        events.push(Event::List { whole: true, entries });
    }

    /// To be called once the policy has handled the events.
    pub fn handled(&mut self) {
        self.looked_up.clear();
        self.told.clear();
    }

    /// What the policy needs to be told of a changed endpoint, if anything.
    fn change(&self, policy: &Sender, directory: &impl Directory, endpoint: EndpointId) -> Option<Entry> {
        let known = |entry: &Entry| policy.knows(entry.dest) || self.looked_up.contains(&entry.dest);
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
