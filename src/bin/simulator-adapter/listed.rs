//! The endpoints that are listed for one sender.
use sender::api::{Condition, DestId, EndpointId, Entry};
use sender::on_demand::Directory;
use std::collections::{BTreeMap, BTreeSet};

/// The listed endpoints, by number and by destination.
#[derive(Default)]
pub struct ListedEndpoints {
    entries: BTreeMap<EndpointId, Entry>,
    by_destination: BTreeMap<DestId, BTreeSet<EndpointId>>,
}

impl ListedEndpoints {
    /// Removes all endpoints.
    pub fn clear(&mut self) {
        *self = ListedEndpoints::default();
    }

    /// Applies one entry of a list. Removes the endpoint if its condition is `Gone`.
    pub fn set(&mut self, entry: Entry) {
        self.remove(entry.endpoint);
        if entry.condition != Condition::Gone {
            self.entries.insert(entry.endpoint, entry);
            self.by_destination.entry(entry.dest).or_default().insert(entry.endpoint);
        }
    }

    fn remove(&mut self, endpoint: EndpointId) {
        let Some(old) = self.entries.remove(&endpoint) else { return };
        if let Some(endpoints) = self.by_destination.get_mut(&old.dest) {
            endpoints.remove(&endpoint);
            if endpoints.is_empty() {
                self.by_destination.remove(&old.dest);
            }
        }
    }
}

impl Directory for ListedEndpoints {
    fn entry(&self, endpoint: EndpointId) -> Option<Entry> {
        self.entries.get(&endpoint).copied()
    }

    fn endpoints_of(&self, destination: DestId) -> Vec<EndpointId> {
        self.by_destination.get(&destination).into_iter().flatten().copied().collect()
    }
}
