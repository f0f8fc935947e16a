//! Limits on the size of a catalogue.

/// Fraction of a sender's memory that one snapshot may take. Two of them exist while a list is replaced.
const MAX_MEMORY_FRACTION: f64 = 0.375;

/// Limits on the size of a catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of listed endpoints.
    pub max_entries: usize,
    /// Maximum memory of one snapshot in bytes, as counted by [`crate::Catalogue::heap_bytes`].
    pub max_bytes: usize,
}

impl Limits {
    /// The limits for a process that may use `memory_bytes` of memory.
    pub fn for_memory(memory_bytes: usize) -> Limits {
        Limits { max_entries: usize::MAX, max_bytes: (memory_bytes as f64 * MAX_MEMORY_FRACTION) as usize }
    }

    /// No limits, as for lists that were accepted before.
    pub fn unlimited() -> Limits {
        Limits { max_entries: usize::MAX, max_bytes: usize::MAX }
    }
}
