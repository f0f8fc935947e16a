//! An index from hashes to endpoint numbers, split into parts that snapshots share.

use crate::{EndpointId, ARC_COUNTS_BYTES};
use std::sync::Arc;

/// Number of leading bits of the hash that select the part. With more parts a change copies fewer entries,
/// but a clone copies a longer table of parts.
const PART_BITS: u32 = 10;
const PART_COUNT: usize = 1 << PART_BITS;

/// A full part grows by its length divided by this, and `with_capacity` reserves that much beyond the mean.
/// The steps are small so that `shrink` seldom has to reallocate a part, which would fragment the heap.
const GROWTH_DIVISOR: usize = 8;
/// A full part grows by at least this number of entries.
const MIN_GROWTH_ENTRIES: usize = 4;
/// `shrink` leaves a part a spare capacity of up to its length divided by this, plus `MIN_GROWTH_ENTRIES`.
const SPARE_DIVISOR: usize = 4;

/// A hash, and the number of an endpoint whose key has that hash.
type IndexEntry = (u32, EndpointId);

/// The index: parts with entries, each sorted by hash and number. A change copies at most the part of its
/// hash, if another snapshot shares that part. Cloning the index copies the table of parts.
#[derive(Clone)]
pub(crate) struct Index {
    /// `None` for an empty part; `with_capacity` makes empty parts that have an allocation.
    parts: Vec<Option<Arc<Vec<IndexEntry>>>>,
}

impl Default for Index {
    fn default() -> Index {
        Index { parts: vec![None; PART_COUNT] }
    }
}

fn part_of(hash: u32) -> usize {
    (hash >> (u32::BITS - PART_BITS)) as usize
}

impl Index {
    /// Creates an empty index whose parts have capacity for their mean share of `entries`, rounded down, and
    /// an eighth more, as parts differ in size. It has no capacity if that share is 0.
    pub(crate) fn with_capacity(entries: usize) -> Index {
        let mean = entries / PART_COUNT;
        let capacity = mean + mean / GROWTH_DIVISOR;
        if capacity == 0 {
            return Index::default();
        }
        Index { parts: (0..PART_COUNT).map(|_| Some(Arc::new(Vec::with_capacity(capacity)))).collect() }
    }

    /// The numbers under a hash, ascending. Numbers of other keys with the same hash are among them.
    pub(crate) fn find(&self, hash: u32) -> impl Iterator<Item = EndpointId> + '_ {
        let part = self.parts[part_of(hash)].as_deref().map_or(&[][..], Vec::as_slice);
        let first = part.partition_point(|entry| entry.0 < hash);
        part[first..].iter().take_while(move |entry| entry.0 == hash).map(|entry| entry.1)
    }

    /// Adds a number under a hash, unless it is there already.
    pub(crate) fn insert(&mut self, hash: u32, id: EndpointId) {
        let part = Arc::make_mut(self.parts[part_of(hash)].get_or_insert_default());
        if let Err(at) = part.binary_search(&(hash, id)) {
            if part.len() == part.capacity() {
                part.reserve_exact((part.len() / GROWTH_DIVISOR).max(MIN_GROWTH_ENTRIES));
            }
            part.insert(at, (hash, id));
        }
    }

    /// Removes a number of a hash, if it is there.
    pub(crate) fn remove(&mut self, hash: u32, id: EndpointId) {
        let entry = &mut self.parts[part_of(hash)];
        let Some(part) = entry.as_mut() else { return };
        let Ok(at) = part.binary_search(&(hash, id)) else { return };
        if part.len() == 1 {
            *entry = None;
        } else {
            Arc::make_mut(part).remove(at);
        }
    }

    /// Releases the spare capacity of oversized parts that no other snapshot shares.
    pub(crate) fn shrink(&mut self) {
        for entry in &mut self.parts {
            let Some(part) = entry.as_mut().and_then(Arc::get_mut) else { continue };
            if part.is_empty() {
                *entry = None;
            } else if part.capacity() > part.len() + part.len() / SPARE_DIVISOR + MIN_GROWTH_ENTRIES {
                part.shrink_to_fit();
            }
        }
    }

    /// Heap memory of the index, without spare capacity.
    pub(crate) fn heap_bytes(&self) -> usize {
        let allocated = self.parts.iter().flatten();
        let bytes = |part: &Arc<Vec<IndexEntry>>| {
            size_of_val(part.as_slice()) + size_of::<Vec<IndexEntry>>() + ARC_COUNTS_BYTES
        };
        let table_of_parts = self.parts.len() * size_of::<Option<Arc<Vec<IndexEntry>>>>();
        allocated.map(bytes).sum::<usize>() + table_of_parts
    }
}
