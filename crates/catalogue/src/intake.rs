//! Reads lists of endpoints as a stream.
//!
//! The text of only one entry is in memory at a time. The current catalogue is not changed: a list that is
//! read to its end within the limits gives the next catalogue.

mod bounded_reader;
mod builder;
mod entry;
mod json;

use crate::{Catalogue, EndpointId, Limits};
use bounded_reader::{BoundedReader, MAX_ENTRY_BYTES};
use builder::Builder;
use json::{ListSeed, MemberSeed};
use serde::de::DeserializeSeed;
use std::io::Read;

/// The result of a list that was read to its end.
#[derive(Clone)]
pub struct LoadedList {
    /// The next catalogue, with the list applied.
    pub catalogue: Catalogue,
    /// Generation of the list.
    pub generation: u64,
    /// Whether it was a whole list; otherwise it was a list of changes.
    pub reset: bool,
    /// For a list of changes, the endpoints that it named and that are or were listed; empty for a whole
    /// list.
    pub changed: Vec<EndpointId>,
    /// Number of entries that could be read.
    pub entries: usize,
    /// Number of entries that could not be read and were left out.
    pub unreadable: usize,
}

/// Why a list was rejected.
#[derive(Debug, thiserror::Error)]
pub enum IntakeError {
    #[error("the list has {entries} endpoints or more, {allowed} are allowed")]
    TooManyEntries { entries: usize, allowed: usize },
    #[error("the list takes {bytes} bytes of memory after {entries} endpoints, {allowed} bytes are allowed")]
    TooMuchMemory { bytes: usize, allowed: usize, entries: usize },
    #[error("the list can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// Reads a list in the format of discovery and applies it to the current catalogue.
pub fn read(reader: impl Read, current: &Catalogue, limits: &Limits) -> Result<LoadedList, IntakeError> {
    let mut builder = Builder::new(current, limits);
    let bounded_reader = BoundedReader::new(reader, MAX_ENTRY_BYTES);
    let progress = bounded_reader.progress();
    let mut deserializer = serde_json::Deserializer::from_reader(bounded_reader.buffered());
    let list = ListSeed { builder: &mut builder, progress };
    let read = list.deserialize(&mut deserializer).and_then(|()| deserializer.end());
    builder.finish(read)
}

/// Reads the list that is a member of a JSON object and applies it to an empty catalogue; `None` if the
/// object has no such member.
pub fn read_member(
    reader: impl Read,
    member: &str,
    limits: &Limits,
) -> Result<Option<LoadedList>, IntakeError> {
    let empty = Catalogue::default();
    let mut builder = Builder::new(&empty, limits);
    // Other members may be of any length: they are skipped, not held in memory.
    let bounded_reader = BoundedReader::new(reader, u64::MAX);
    let progress = bounded_reader.progress();
    let mut deserializer = serde_json::Deserializer::from_reader(bounded_reader.buffered());
    let mut found = false;
    let object = MemberSeed { name: member, found: &mut found, builder: &mut builder, progress };
    let read = object.deserialize(&mut deserializer);
    builder.finish(read).map(|loaded| found.then_some(loaded))
}
