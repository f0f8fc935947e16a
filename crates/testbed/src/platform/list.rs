//! The list of endpoints: its versions, and what a watch since a version is told.
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Changes that are kept; a watch since an older version gets the whole list.
const HISTORY: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    Ready,
    Terminating,
    Gone,
}

impl Lifecycle {
    pub fn name(self) -> &'static str {
        match self {
            Lifecycle::Ready => "Ready",
            Lifecycle::Terminating => "Terminating",
            Lifecycle::Gone => "Gone",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub endpoint: u32,
    pub lifecycle: Lifecycle,
}

#[derive(Debug, PartialEq, Eq)]
pub struct ListUpdate {
    pub generation: u64,
    /// The whole list (without what is gone) instead of changes.
    pub reset: bool,
    pub entries: Vec<Entry>,
}

pub struct EndpointList {
    generation: u64,
    /// All that were ever listed, in the order of their first listing.
    entries: Vec<Entry>,
    /// The last changes, each with its generation.
    history: VecDeque<(u64, u32)>,
}

impl EndpointList {
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

    /// Loses its history, so that every watch gets the whole list.
    pub fn forget(&mut self) {
        self.generation += 1;
        self.history.clear();
    }

    /// Those that the whole list no longer names.
    pub fn gone(&self) -> Vec<u32> {
        self.entries.iter().filter(|e| e.lifecycle == Lifecycle::Gone).map(|e| e.endpoint).collect()
    }

    /// What is new since a version; the whole list where none or one too old is named.
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
    fn a_watch_gets_each_change_once_and_the_whole_list_where_it_is_too_far_behind() {
        let mut list = EndpointList::new([0, 1]);
        assert!(list.since(None).reset);
        list.set(1, Lifecycle::Terminating);
        list.set(1, Lifecycle::Gone);
        list.set(2, Lifecycle::Ready);
        let told = list.since(Some(1));
        assert!(!told.reset);
        let gone = Entry { endpoint: 1, lifecycle: Lifecycle::Gone };
        let new = Entry { endpoint: 2, lifecycle: Lifecycle::Ready };
        assert_eq!(told.entries, [gone, new]);
        assert_eq!(list.since(Some(3)).entries, [new]);
        assert_eq!(list.since(Some(4)).entries, []);
        assert!(list.since(Some(9)).reset, "a version of another life of the list");
        assert!(!list.since(None).entries.contains(&gone), "the whole list names no endpoint that is gone");
        list.forget();
        assert!(list.since(Some(4)).reset && !list.since(Some(5)).reset);
        for _ in 0..=HISTORY {
            list.set(2, Lifecycle::Ready);
        }
        assert!(list.since(Some(1)).reset);
    }
}
