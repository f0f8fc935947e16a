//! Records which keys are live, in which segment each one begins, and how much disk space the segments take.
//! A key begins in the segment of its last put.
use crate::frame::{Operation, Record};
use std::collections::{BTreeMap, BTreeSet};

/// Each file is counted in whole blocks of this size (DEPLOY, Limits).
pub const BLOCK_BYTES: u64 = 512;

/// Disk space of a file in bytes: its length, rounded up to whole blocks.
pub fn allocated_bytes(length: u64) -> u64 {
    length.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}

/// A key that was put and not deleted since.
pub struct LiveKey {
    /// Segment of the record that put it.
    pub segment: u64,
    /// Length of that record and of all later ones of the key, in bytes.
    pub bytes: u64,
    /// Sequence number of its last record.
    pub last_sequence: u64,
}

/// What one segment contains.
#[derive(Default)]
pub struct SegmentEntry {
    /// Length of the file, in bytes.
    pub length: u64,
    /// Number of records, whether they still count or not.
    pub records: u64,
    /// Live keys that begin in the segment.
    pub live_keys: BTreeSet<u64>,
    /// Length of the records of those keys since their last put, in any segment, in bytes.
    pub live_bytes: u64,
}

/// Index of all segments and live keys.
#[derive(Default)]
pub struct SegmentIndex {
    pub segments: BTreeMap<u64, SegmentEntry>,
    pub live: BTreeMap<u64, LiveKey>,
}

impl SegmentIndex {
    /// Applies a record that is in a segment.
    pub fn apply(&mut self, segment: u64, record: &Record) {
        let (key, bytes, last_sequence) = (record.key, record.encoded_len() as u64, record.sequence);
        self.segments.entry(segment).or_default().records += 1;
        match record.operation {
            Operation::Put => {
                self.remove_key(key);
                self.live.insert(key, LiveKey { segment, bytes, last_sequence });
                let segment = self.segments.entry(segment).or_default();
                segment.live_keys.insert(key);
                segment.live_bytes += bytes;
            }
            Operation::Merge => {
                if let Some(live) = self.live.get_mut(&key) {
                    live.bytes += bytes;
                    live.last_sequence = last_sequence;
                    if let Some(segment) = self.segments.get_mut(&live.segment) {
                        segment.live_bytes += bytes;
                    }
                }
            }
            Operation::Delete => self.remove_key(key),
        }
    }

    /// Removes a key from the live keys.
    pub fn remove_key(&mut self, key: u64) {
        if let Some(live) = self.live.remove(&key) {
            if let Some(segment) = self.segments.get_mut(&live.segment) {
                segment.live_keys.remove(&key);
                segment.live_bytes -= live.bytes;
            }
        }
    }

    /// Sets the length of a segment's file.
    pub fn set_length(&mut self, segment: u64, length: u64) {
        self.segments.entry(segment).or_default().length = length;
    }

    /// Adds to the length of a segment's file.
    pub fn grow(&mut self, segment: u64, bytes: u64) {
        self.segments.entry(segment).or_default().length += bytes;
    }

    /// Length of a segment's file; 0 if there is no such segment.
    pub fn length(&self, segment: u64) -> u64 {
        self.segments.get(&segment).map_or(0, |s| s.length)
    }

    /// Disk space of all segments in bytes, each counted in whole blocks.
    pub fn allocated_bytes(&self) -> u64 {
        self.segments.values().map(|s| allocated_bytes(s.length)).sum()
    }

    /// The segment with the lowest number.
    pub fn oldest(&self) -> Option<(u64, &SegmentEntry)> {
        self.segments.iter().next().map(|(n, s)| (*n, s))
    }

    /// The oldest segments, up to the first that is `current` or in which a live key begins; that one is not
    /// included.
    pub fn removable(&self, current: Option<u64>) -> Vec<u64> {
        let removable =
            self.segments.iter().take_while(|(n, s)| s.live_keys.is_empty() && Some(**n) != current);
        removable.map(|(n, _)| *n).collect()
    }
}
