//! An index from hashes to endpoint numbers, split into parts that snapshots share.

use crate::{EndpointId, ARC_COUNTS_BYTES};
use std::sync::Arc;

/// Number of leading bits of the hash that select the part.
const PART_BITS: u32 = 10;
const PART_COUNT: usize = 1 << PART_BITS;

/// A full part grows by this fraction (1/8) of its slots. As parts stay in the allocations in which they are
/// built, small steps leave few gaps between allocations over which the next list would be scattered.
const GROWTH_DIVISOR: usize = 8;
/// A full part grows by this number of slots at least.
const MIN_GROWTH_SLOTS: usize = 4;
/// A part keeps spare capacity of up to this fraction (1/4) of its slots.
const SPARE_DIVISOR: usize = 4;

/// A hash and the number of an endpoint whose key has it.
type Slot = (u32, EndpointId);

/// The index: parts of slots, each sorted by hash and number. A change copies only the part that it is in.
#[derive(Clone)]
pub(crate) struct Index {
    parts: Vec<Option<Arc<Vec<Slot>>>>,
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
    /// An empty index with capacity for `slots` slots, and some more in each part as parts differ in size.
    pub(crate) fn with_capacity(slots: usize) -> Index {
        let mean = slots / PART_COUNT;
        let capacity = mean + mean / GROWTH_DIVISOR;
        if capacity == 0 {
            return Index::default();
        }
        Index { parts: (0..PART_COUNT).map(|_| Some(Arc::new(Vec::with_capacity(capacity)))).collect() }
    }

    /// The numbers under a hash, ascending. Numbers of other keys with the same hash are among them.
    pub(crate) fn find(&self, hash: u32) -> impl Iterator<Item = EndpointId> + '_ {
        let part = self.parts[part_of(hash)].as_deref().map_or(&[][..], Vec::as_slice);
        let first = part.partition_point(|slot| slot.0 < hash);
        part[first..].iter().take_while(move |slot| slot.0 == hash).map(|slot| slot.1)
    }

    /// Adds a number under a hash, unless it is there already.
    pub(crate) fn insert(&mut self, hash: u32, id: EndpointId) {
        let part = Arc::make_mut(self.parts[part_of(hash)].get_or_insert_default());
        if let Err(at) = part.binary_search(&(hash, id)) {
            if part.len() == part.capacity() {
                part.reserve_exact((part.len() / GROWTH_DIVISOR).max(MIN_GROWTH_SLOTS));
            }
            part.insert(at, (hash, id));
        }
    }

    /// Removes a number from under a hash.
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
            } else if part.capacity() > part.len() + part.len() / SPARE_DIVISOR + MIN_GROWTH_SLOTS {
                part.shrink_to_fit();
            }
        }
    }

    /// Heap memory of the index, without spare capacity.
    pub(crate) fn heap_bytes(&self) -> usize {
        let allocated = self.parts.iter().flatten();
        let bytes =
            |part: &Arc<Vec<Slot>>| size_of_val(part.as_slice()) + size_of::<Vec<Slot>>() + ARC_COUNTS_BYTES;
        let directory = self.parts.len() * size_of::<Option<Arc<Vec<Slot>>>>();
        allocated.map(bytes).sum::<usize>() + directory
    }
}
