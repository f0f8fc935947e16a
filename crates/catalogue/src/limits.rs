//! Bounds on a catalogue.

/// Part of a sender's memory that one snapshot may take. While a list is replaced there are two of them.
const PART_OF_MEMORY: f64 = 0.375;

/// What a catalogue may come to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Endpoints listed.
    pub max_entries: usize,
    /// Bytes of one snapshot ([`crate::Catalogue::heap_bytes`]).
    pub max_bytes: usize,
}

impl Limits {
    /// The bounds for a process that may use so many bytes of memory.
    pub fn for_memory(memory_bytes: usize) -> Limits {
        Limits { max_entries: usize::MAX, max_bytes: (memory_bytes as f64 * PART_OF_MEMORY) as usize }
    }

    /// No bounds, as for lists that were taken in before.
    pub fn unlimited() -> Limits {
        Limits { max_entries: usize::MAX, max_bytes: usize::MAX }
    }
}
