//! Gathers the entries of one list, within bounds, and makes the next snapshot of them.

use super::entry::{Entry, Fields};
use super::{IntakeError, LoadedList};
use crate::{Catalogue, Endpoint, EndpointId, Limits};
use std::collections::BTreeSet;

/// Memory is looked at each so many entries.
const CHECK_EVERY: usize = 1_024;

/// Tells the parser to stop; the reason is kept in the builder.
#[derive(Debug, thiserror::Error)]
#[error("the list is over its bounds")]
pub(super) struct OverBounds;

pub(super) struct Builder<'a> {
    pub(super) generation: u64,
    pub(super) reset: bool,
    current: &'a Catalogue,
    limits: &'a Limits,
    /// What the list names, under the numbers that it has or gets.
    named: Catalogue,
    /// What it says is gone, and has not named again since.
    gone: BTreeSet<EndpointId>,
    entries: usize,
    unreadable: usize,
    refused: Option<IntakeError>,
}

impl<'a> Builder<'a> {
    pub(super) fn new(current: &'a Catalogue, limits: &'a Limits) -> Builder<'a> {
        Builder {
            generation: 0,
            reset: false,
            current,
            limits,
            named: current.successor(),
            gone: BTreeSet::new(),
            entries: 0,
            unreadable: 0,
            refused: None,
        }
    }

    /// Takes one entry. What can't be read costs itself alone.
    pub(super) fn entry(&mut self, text: &str) -> Result<(), OverBounds> {
        if self.reset && self.entries + self.unreadable == 0 {
            // Whole lists are mostly as long as the one before.
            self.named.make_room(self.current.len());
        }
        let fields = Fields::parse(text);
        let taken = match fields.as_ref().and_then(Fields::entry) {
            Some(Entry::Listed(endpoint)) => self.list(&endpoint),
            Some(Entry::Gone(name)) => self.drop_name(name),
            None => false,
        };
        if !taken {
            self.unreadable += 1;
            return Ok(());
        }
        self.entries += 1;
        self.check_bounds()
    }

    fn list(&mut self, endpoint: &Endpoint) -> bool {
        let id = self.number(endpoint.name);
        self.gone.remove(&id);
        self.named.put(id, endpoint)
    }

    fn drop_name(&mut self, name: &str) -> bool {
        if let Some(id) = self.named.id(name).or_else(|| self.current.id(name)) {
            self.named.remove(id);
            self.gone.insert(id);
        }
        true
    }

    /// The number that a name has, had a short while ago, or gets now.
    fn number(&self, name: &str) -> EndpointId {
        let known = self.current.id(name).or_else(|| self.named.id(name));
        known.or_else(|| self.current.departed(name)).unwrap_or(self.named.next_id())
    }

    fn check_bounds(&mut self) -> Result<(), OverBounds> {
        let entries = self.named.len();
        self.check_entries(entries)?;
        if self.entries.is_multiple_of(CHECK_EVERY) {
            self.check_memory(self.named.heap_bytes(), entries)?;
        }
        Ok(())
    }

    fn check_memory(&mut self, bytes: usize, entries: usize) -> Result<(), OverBounds> {
        let allowed = self.limits.max_bytes;
        if bytes <= allowed {
            return Ok(());
        }
        self.refused = Some(IntakeError::TooMuchMemory { bytes, allowed, entries });
        Err(OverBounds)
    }

    fn check_entries(&mut self, entries: usize) -> Result<(), OverBounds> {
        let allowed = self.limits.max_entries;
        if entries <= allowed {
            return Ok(());
        }
        self.refused = Some(IntakeError::TooManyEntries { entries, allowed });
        Err(OverBounds)
    }

    /// The next snapshot, where the list was read to its end.
    pub(super) fn finish(mut self, read: serde_json::Result<()>) -> Result<LoadedList, IntakeError> {
        if let Some(refused) = self.refused.take() {
            return Err(refused);
        }
        read?;
        let changed = if self.reset { Vec::new() } else { self.changed() };
        let mut catalogue = if self.reset { self.replaced() } else { self.merged() };
        catalogue.set_generation(Some(self.generation));
        let entries = catalogue.len();
        let _ = self.check_entries(entries).and_then(|()| self.check_memory(catalogue.heap_bytes(), entries));
        if let Some(refused) = self.refused.take() {
            return Err(refused);
        }
        Ok(LoadedList {
            catalogue,
            generation: self.generation,
            reset: self.reset,
            changed,
            entries: self.entries,
            unreadable: self.unreadable,
        })
    }

    fn changed(&self) -> Vec<EndpointId> {
        let gone = self.gone.iter().copied().filter(|&id| self.current.get(id).is_some());
        self.named.ids().chain(gone).collect()
    }

    /// The list alone: what it does not name is gone.
    fn replaced(&mut self) -> Catalogue {
        let mut catalogue = std::mem::take(&mut self.named);
        catalogue.remember_departed(self.current);
        catalogue.shrink();
        catalogue
    }

    /// The catalogue in force with the list's changes.
    fn merged(&self) -> Catalogue {
        let mut catalogue = self.current.clone();
        for (id, endpoint) in self.named.ids().filter_map(|id| Some((id, self.named.get(id)?))) {
            catalogue.put(id, &endpoint);
        }
        for &id in &self.gone {
            if let Some(endpoint) = self.current.get(id) {
                catalogue.depart(id, endpoint.name);
            }
        }
        catalogue
    }
}
