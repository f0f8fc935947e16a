//! The bytes of a list, with a bound on how many may come between two entries.

use std::cell::Cell;
use std::io::{BufReader, Error, Read, Result};
use std::rc::Rc;

/// Bytes from one entry's end to the next one's at most, so that no single entry fills the memory.
pub(super) const MAX_ENTRY: u64 = 1 << 20;
const BUFFER: usize = 16 << 10;

/// Bytes that came since the last entry was read.
#[derive(Clone, Default)]
pub(super) struct Progress(Rc<Cell<u64>>);

impl Progress {
    pub(super) fn entry_read(&self) {
        self.0.set(0);
    }
}

pub(super) struct Source<R> {
    reader: R,
    progress: Progress,
    max_entry: u64,
}

impl<R: Read> Source<R> {
    pub(super) fn new(reader: R, max_entry: u64) -> Source<R> {
        Source { reader, progress: Progress::default(), max_entry }
    }

    pub(super) fn progress(&self) -> Progress {
        self.progress.clone()
    }

    pub(super) fn buffered(self) -> BufReader<Source<R>> {
        BufReader::with_capacity(BUFFER, self)
    }
}

impl<R: Read> Read for Source<R> {
    fn read(&mut self, buffer: &mut [u8]) -> Result<usize> {
        let count = self.reader.read(buffer)?;
        let since = self.progress.0.get() + count as u64;
        self.progress.0.set(since);
        if since > self.max_entry.saturating_add(BUFFER as u64) {
            return Err(Error::other(format!("an entry is longer than {} bytes", self.max_entry)));
        }
        Ok(count)
    }
}
