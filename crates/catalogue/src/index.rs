//! An index from a hash to endpoint numbers, in parts that snapshots share.

use crate::{EndpointId, ARC_COUNTS};
use std::sync::Arc;

/// Bits of the hash that choose the part.
const PART_BITS: u32 = 10;
const PARTS: usize = 1 << PART_BITS;

/// A part that is full grows by this share of its slots, and by so many at least: what a list is built in is what it
/// stays in, so that little room is left between allocations for the next list to be scattered over.
const GROWTH: usize = 8;
const LEAST_GROWTH: usize = 4;
/// A part keeps spare room of up to this share of its slots.
const MOST_SPARE: usize = 4;

/// A hash with the number of an endpoint that has it.
type Slot = (u32, EndpointId);

/// Slots sorted by hash and number. A change copies the one part that it is in.
#[derive(Clone)]
pub(crate) struct Index {
    parts: Vec<Option<Arc<Vec<Slot>>>>,
}

impl Default for Index {
    fn default() -> Index {
        Index { parts: vec![None; PARTS] }
    }
}

fn part_of(hash: u32) -> usize {
    (hash >> (u32::BITS - PART_BITS)) as usize
}

impl Index {
    /// One with room for so many slots, and for the parts to differ.
    pub(crate) fn with_room(slots: usize) -> Index {
        let mean = slots / PARTS;
        let room = mean + mean / GROWTH;
        if room == 0 {
            return Index::default();
        }
        Index { parts: (0..PARTS).map(|_| Some(Arc::new(Vec::with_capacity(room)))).collect() }
    }

    /// Numbers under a hash, ascending. Other keys may have the same hash.
    pub(crate) fn find(&self, hash: u32) -> impl Iterator<Item = EndpointId> + '_ {
        let part = self.parts[part_of(hash)].as_deref().map_or(&[][..], Vec::as_slice);
        let first = part.partition_point(|slot| slot.0 < hash);
        part[first..].iter().take_while(move |slot| slot.0 == hash).map(|slot| slot.1)
    }

    pub(crate) fn insert(&mut self, hash: u32, id: EndpointId) {
        let part = Arc::make_mut(self.parts[part_of(hash)].get_or_insert_default());
        if let Err(at) = part.binary_search(&(hash, id)) {
            if part.len() == part.capacity() {
                part.reserve_exact((part.len() / GROWTH).max(LEAST_GROWTH));
            }
            part.insert(at, (hash, id));
        }
    }

    pub(crate) fn remove(&mut self, hash: u32, id: EndpointId) {
        let place = &mut self.parts[part_of(hash)];
        let Some(part) = place.as_mut() else { return };
        let Ok(at) = part.binary_search(&(hash, id)) else { return };
        if part.len() == 1 {
            *place = None;
        } else {
            Arc::make_mut(part).remove(at);
        }
    }

    /// Gives back the room of parts that are much larger than what they hold, where no other snapshot has them.
    pub(crate) fn shrink(&mut self) {
        for place in &mut self.parts {
            let Some(part) = place.as_mut().and_then(Arc::get_mut) else { continue };
            if part.is_empty() {
                *place = None;
            } else if part.capacity() > part.len() + part.len() / MOST_SPARE + LEAST_GROWTH {
                part.shrink_to_fit();
            }
        }
    }

    pub(crate) fn heap_bytes(&self) -> usize {
        let used = self.parts.iter().flatten();
        let bytes =
            |part: &Arc<Vec<Slot>>| size_of_val(part.as_slice()) + size_of::<Vec<Slot>>() + ARC_COUNTS;
        let directory = self.parts.len() * size_of::<Option<Arc<Vec<Slot>>>>();
        used.map(bytes).sum::<usize>() + directory
    }
}
