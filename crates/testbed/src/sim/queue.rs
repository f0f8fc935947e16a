//! The event queue of the simulation.
use crate::clock::Ns;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

struct Entry<T> {
    key: Reverse<(Ns, u64)>,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Entry<T>) -> bool {
        self.key == other.key
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Entry<T>) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Entry<T>) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

/// A queue of events by time. Events of the same time are returned in the order in which they were added.
pub struct EventQueue<T> {
    entries: BinaryHeap<Entry<T>>,
    pushed: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> EventQueue<T> {
        EventQueue { entries: BinaryHeap::new(), pushed: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event at a time.
    pub fn push(&mut self, at: Ns, event: T) {
        self.pushed += 1;
        self.entries.push(Entry { key: Reverse((at, self.pushed)), event });
    }

    /// Removes and returns the earliest event.
    pub fn pop(&mut self) -> Option<(Ns, T)> {
        let Entry { key: Reverse((at, _)), event } = self.entries.pop()?;
        Some((at, event))
    }
}
