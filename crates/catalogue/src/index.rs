//! An index from a hash to endpoint numbers, in parts that snapshots share.

use crate::{EndpointId, ARC_COUNTS};
use std::sync::Arc;

/// Bits of the hash that choose the part.
const PART_BITS: u32 = 10;
const PARTS: usize = 1 << PART_BITS;

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
    /// Numbers under a hash, ascending. Other keys may have the same hash.
    pub(crate) fn find(&self, hash: u32) -> impl Iterator<Item = EndpointId> + '_ {
        let part = self.parts[part_of(hash)].as_deref().map_or(&[][..], Vec::as_slice);
        let first = part.partition_point(|slot| slot.0 < hash);
        part[first..].iter().take_while(move |slot| slot.0 == hash).map(|slot| slot.1)
    }

    pub(crate) fn insert(&mut self, hash: u32, id: EndpointId) {
        let part = Arc::make_mut(self.parts[part_of(hash)].get_or_insert_default());
        if let Err(at) = part.binary_search(&(hash, id)) {
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

    /// Gives back the room that growing has left over, where no other snapshot has the part.
    pub(crate) fn shrink(&mut self) {
        for part in self.parts.iter_mut().flatten() {
            if let Some(part) = Arc::get_mut(part) {
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
