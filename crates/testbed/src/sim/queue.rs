//! Events by time; those of one time in the order in which they were entered.
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

pub struct Queue<T> {
    entries: BinaryHeap<Entry<T>>,
    entered: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Queue<T> {
        Queue { entries: BinaryHeap::new(), entered: 0 }
    }
}

impl<T> Queue<T> {
    pub fn push(&mut self, at: Ns, event: T) {
        self.entered += 1;
        self.entries.push(Entry { key: Reverse((at, self.entered)), event });
    }

    pub fn pop(&mut self) -> Option<(Ns, T)> {
        let Entry { key: Reverse((at, _)), event } = self.entries.pop()?;
        Some((at, event))
    }
}
