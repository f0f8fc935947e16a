//! The list of endpoints with its generations, and the changes since a generation.
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of changes kept. A watch since an older generation gets the whole list.
const HISTORY: usize = 1_024;

/// Lifecycle of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    Ready,
    Terminating,
    Gone,
}

impl Lifecycle {
    /// Returns the name used on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Lifecycle::Ready => "Ready",
            Lifecycle::Terminating => "Terminating",
            Lifecycle::Gone => "Gone",
        }
    }
}

/// An endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub endpoint: u32,
    pub lifecycle: Lifecycle,
}

/// The answer to a request for the list.
#[derive(Debug, PartialEq, Eq)]
pub struct ListUpdate {
    pub generation: u64,
    /// `entries` is the whole list, without endpoints that are gone, instead of the changes.
    pub reset: bool,
    pub entries: Vec<Entry>,
}

/// The list of endpoints with its recent changes.
pub struct EndpointList {
    generation: u64,
    /// All endpoints ever listed, in the order of their first listing.
    entries: Vec<Entry>,
    /// The last changes: generation and endpoint.
    history: VecDeque<(u64, u32)>,
}

impl EndpointList {
    /// Creates the list at generation 1 with endpoints that are ready.
    pub fn new(listed: impl IntoIterator<Item = u32>) -> EndpointList {
        let ready = |endpoint| Entry { endpoint, lifecycle: Lifecycle::Ready };
        EndpointList {
            generation: 1,
            entries: listed.into_iter().map(ready).collect(),
            history: VecDeque::new(),
        }
    }

    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Sets the lifecycle of an endpoint, which makes a new generation.
    pub fn set(&mut self, endpoint: u32, lifecycle: Lifecycle) {
        match self.entries.iter_mut().find(|e| e.endpoint == endpoint) {
            Some(entry) => entry.lifecycle = lifecycle,
            None => self.entries.push(Entry { endpoint, lifecycle }),
        }
        self.generation += 1;
        self.history.push_back((self.generation, endpoint));
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    /// Drops the history, so that every watch gets the whole list.
    pub fn forget_history(&mut self) {
        self.generation += 1;
        self.history.clear();
    }

    /// Returns the endpoints that the whole list no longer contains.
    pub fn gone(&self) -> Vec<u32> {
        self.entries.iter().filter(|e| e.lifecycle == Lifecycle::Gone).map(|e| e.endpoint).collect()
    }

    /// Returns the changes since a generation, or the whole list if `index` is absent, too old or unknown.
    pub fn since(&self, index: Option<u64>) -> ListUpdate {
        let oldest = self.history.front().map_or(self.generation, |(g, _)| g - 1);
        match index {
            Some(index) if (oldest..=self.generation).contains(&index) => {
                let changed = |e: &&Entry| self.history.iter().any(|(g, n)| *g > index && *n == e.endpoint);
                let entries = self.entries.iter().filter(changed).copied().collect();
                ListUpdate { generation: self.generation, reset: false, entries }
            }
            _ => {
                let entries =
                    self.entries.iter().filter(|e| e.lifecycle != Lifecycle::Gone).copied().collect();
                ListUpdate { generation: self.generation, reset: true, entries }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn watch_gets_each_change_once_or_whole_list_if_too_old() {
        let mut list = EndpointList::new([0, 1]);
        assert!(list.since(None).reset);
        list.set(1, Lifecycle::Terminating);
        list.set(1, Lifecycle::Gone);
        list.set(2, Lifecycle::Ready);
        let update = list.since(Some(1));
        assert!(!update.reset);
        let gone = Entry { endpoint: 1, lifecycle: Lifecycle::Gone };
        let new = Entry { endpoint: 2, lifecycle: Lifecycle::Ready };
        assert_eq!(update.entries, [gone, new]);
        assert_eq!(list.since(Some(3)).entries, [new]);
        assert_eq!(list.since(Some(4)).entries, []);
        assert!(list.since(Some(9)).reset, "a generation that this list has not reached");
        assert!(
            !list.since(None).entries.contains(&gone),
            "the whole list contains no endpoint that is gone"
        );
        list.forget_history();
        assert!(list.since(Some(4)).reset && !list.since(Some(5)).reset);
        for _ in 0..=HISTORY {
            list.set(2, Lifecycle::Ready);
        }
        assert!(list.since(Some(1)).reset);
    }
}
