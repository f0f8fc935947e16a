//! What one sender's lists have named so far.
use sender::api::{Condition, DestId, EndpointId, Entry};
use sender::on_demand::Directory;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub struct Listed {
    entries: BTreeMap<EndpointId, Entry>,
    by_destination: BTreeMap<DestId, BTreeSet<EndpointId>>,
}

impl Listed {
    pub fn clear(&mut self) {
        *self = Listed::default();
    }

    /// Takes in one entry of a list; what is gone is listed no more.
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

impl Directory for Listed {
    fn entry(&self, endpoint: EndpointId) -> Option<Entry> {
        self.entries.get(&endpoint).copied()
    }

    fn endpoints_of(&self, destination: DestId) -> Vec<EndpointId> {
        self.by_destination.get(&destination).into_iter().flatten().copied().collect()
    }
}
