//! Lists of endpoints, read as a stream: one entry is in memory at a time, and the catalogue in force stays as it is
//! until the whole list has been read.

mod builder;
mod entry;
mod json;
mod source;

use crate::{Catalogue, EndpointId, Limits};
use builder::Builder;
use json::{List, Member};
use serde::de::DeserializeSeed;
use source::{Source, MAX_ENTRY};
use std::io::Read;

/// A list that was read to its end.
#[derive(Clone)]
pub struct LoadedList {
    /// The catalogue with the list applied.
    pub catalogue: Catalogue,
    pub generation: u64,
    /// It was a whole list; else a list of changes.
    pub reset: bool,
    /// Of a list of changes: all endpoints that it named and that are, or were, listed.
    pub changed: Vec<EndpointId>,
    /// Entries that could be read.
    pub entries: usize,
    /// Entries that could not be read, and were left out.
    pub unreadable: usize,
}

/// Why a list was not taken in.
#[derive(Debug, thiserror::Error)]
pub enum IntakeError {
    #[error("the list has {entries} endpoints or more, {allowed} are allowed")]
    TooManyEntries { entries: usize, allowed: usize },
    #[error("the list takes {bytes} bytes of memory after {entries} endpoints, {allowed} bytes are allowed")]
    TooMuchMemory { bytes: usize, allowed: usize, entries: usize },
    #[error("the list can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// Reads a list in discovery's form.
pub fn read(reader: impl Read, current: &Catalogue, limits: &Limits) -> Result<LoadedList, IntakeError> {
    let mut builder = Builder::new(current, limits);
    let source = Source::new(reader, MAX_ENTRY);
    let progress = source.progress();
    let mut deserializer = serde_json::Deserializer::from_reader(source.buffered());
    let list = List { builder: &mut builder, progress };
    let read = list.deserialize(&mut deserializer).and_then(|()| deserializer.end());
    builder.finish(read)
}

/// Reads the list that stands under a name in a JSON object; None where the object has no such member.
pub fn read_member(
    reader: impl Read,
    member: &str,
    limits: &Limits,
) -> Result<Option<LoadedList>, IntakeError> {
    let none = Catalogue::default();
    let mut builder = Builder::new(&none, limits);
    // What stands beside the list has no bound: it is skipped, and not held.
    let source = Source::new(reader, u64::MAX);
    let progress = source.progress();
    let mut deserializer = serde_json::Deserializer::from_reader(source.buffered());
    let mut found = false;
    let object = Member { name: member, found: &mut found, builder: &mut builder, progress };
    let read = object.deserialize(&mut deserializer);
    builder.finish(read).map(|taken| found.then_some(taken))
}
