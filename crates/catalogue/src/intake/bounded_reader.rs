//! A buffered reader that limits the number of bytes between two entries of a list.

use std::cell::Cell;
use std::io::{BufReader, Error, Read, Result};
use std::rc::Rc;

/// Maximum number of bytes from the end of one entry to the end of the next, so that no single entry fills
/// the memory.
pub(super) const MAX_ENTRY_BYTES: u64 = 1 << 20;
/// Capacity of the read buffer.
const BUFFER_BYTES: usize = 16 << 10;

/// Number of bytes read since the end of the last entry, shared by the reader and the parser.
#[derive(Clone, Default)]
pub(super) struct EntryProgress(Rc<Cell<u64>>);

impl EntryProgress {
    /// Resets the count at the end of an entry.
    pub(super) fn entry_read(&self) {
        self.0.set(0);
    }
}

/// A reader that fails if an entry is too long.
pub(super) struct BoundedReader<R> {
    reader: R,
    progress: EntryProgress,
    max_entry_bytes: u64,
}

impl<R: Read> BoundedReader<R> {
    /// Wraps a reader; an entry may have up to `max_entry_bytes`, plus what the buffer reads ahead.
    pub(super) fn new(reader: R, max_entry_bytes: u64) -> BoundedReader<R> {
        BoundedReader { reader, progress: EntryProgress::default(), max_entry_bytes }
    }

    /// The count that the parser resets after each entry.
    pub(super) fn progress(&self) -> EntryProgress {
        self.progress.clone()
    }

    /// Adds the read buffer.
    pub(super) fn buffered(self) -> BufReader<BoundedReader<R>> {
        BufReader::with_capacity(BUFFER_BYTES, self)
    }
}

impl<R: Read> Read for BoundedReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> Result<usize> {
        let count = self.reader.read(buffer)?;
        let bytes_since_entry = self.progress.0.get() + count as u64;
        self.progress.0.set(bytes_since_entry);
        if bytes_since_entry > self.max_entry_bytes.saturating_add(BUFFER_BYTES as u64) {
            return Err(Error::other(format!("an entry is longer than {} bytes", self.max_entry_bytes)));
        }
        Ok(count)
    }
}
