//! Collects the entries of one list within limits and builds the next snapshot from them.

use super::entry::{Entry, Fields};
use super::{IntakeError, LoadedList};
use crate::{Catalogue, Endpoint, EndpointId, Limits};
use std::collections::BTreeSet;

/// Memory is checked once per this number of entries.
const MEMORY_CHECK_ENTRIES: usize = 1_024;

/// Makes the parser stop; the builder keeps the reason.
#[derive(Debug, thiserror::Error)]
#[error("the list exceeds its limits")]
pub(super) struct LimitExceeded;

/// Builds the next catalogue from the entries of a list.
pub(super) struct Builder<'a> {
    pub(super) generation: u64,
    pub(super) reset: bool,
    current: &'a Catalogue,
    limits: &'a Limits,
    /// The endpoints that the list contains, under their known or new numbers.
    listed: Catalogue,
    /// The endpoints that the list reports as gone and does not list again afterwards.
    gone: BTreeSet<EndpointId>,
    entries: usize,
    unreadable: usize,
    rejection: Option<IntakeError>,
}

impl<'a> Builder<'a> {
    pub(super) fn new(current: &'a Catalogue, limits: &'a Limits) -> Builder<'a> {
        Builder {
            generation: 0,
            reset: false,
            current,
            limits,
            listed: current.empty_successor(),
            gone: BTreeSet::new(),
            entries: 0,
            unreadable: 0,
            rejection: None,
        }
    }

    /// Adds one entry. An entry that can't be read is counted and left out.
    pub(super) fn add_entry(&mut self, text: &str) -> Result<(), LimitExceeded> {
        if self.reset && self.entries + self.unreadable == 0 {
            // Whole lists are mostly about as long as the one before.
            self.listed.reserve(self.current.len());
        }
        let fields = Fields::parse(text);
        let readable = match fields.as_ref().and_then(Fields::entry) {
            Some(Entry::Listed(endpoint)) => self.add_listed(&endpoint),
            Some(Entry::Gone(name)) => self.remove_name(name),
            None => false,
        };
        if !readable {
            self.unreadable += 1;
            return Ok(());
        }
        self.entries += 1;
        self.check_limits()
    }

    fn add_listed(&mut self, endpoint: &Endpoint) -> bool {
        let id = self.id_for(endpoint.name);
        self.gone.remove(&id);
        self.listed.put(id, endpoint)
    }

    fn remove_name(&mut self, name: &str) -> bool {
        if let Some(id) = self.listed.id(name).or_else(|| self.current.id(name)) {
            self.listed.remove(id);
            self.gone.insert(id);
        }
        true
    }

    /// The number of a name: that of the listed endpoint, its earlier one if it was removed lately, or a new
    /// one.
    fn id_for(&self, name: &str) -> EndpointId {
        let known = self.current.id(name).or_else(|| self.listed.id(name));
        known.or_else(|| self.current.removed_id(name)).unwrap_or(self.listed.next_id())
    }

    fn check_limits(&mut self) -> Result<(), LimitExceeded> {
        let entries = self.listed.len();
        self.check_entries(entries)?;
        if self.entries.is_multiple_of(MEMORY_CHECK_ENTRIES) {
            self.check_memory(self.listed.heap_bytes(), entries)?;
        }
        Ok(())
    }

    fn check_memory(&mut self, bytes: usize, entries: usize) -> Result<(), LimitExceeded> {
        let allowed = self.limits.max_bytes;
        if bytes <= allowed {
            return Ok(());
        }
        self.rejection = Some(IntakeError::TooMuchMemory { bytes, allowed, entries });
        Err(LimitExceeded)
    }

    fn check_entries(&mut self, entries: usize) -> Result<(), LimitExceeded> {
        let allowed = self.limits.max_entries;
        if entries <= allowed {
            return Ok(());
        }
        self.rejection = Some(IntakeError::TooManyEntries { entries, allowed });
        Err(LimitExceeded)
    }

    /// Builds the next catalogue, if the list was read to its end.
    pub(super) fn finish(mut self, read: serde_json::Result<()>) -> Result<LoadedList, IntakeError> {
        if let Some(rejection) = self.rejection.take() {
            return Err(rejection);
        }
        read?;
        let changed = if self.reset { Vec::new() } else { self.changed_ids() };
        let mut catalogue = if self.reset { self.replaced_catalogue() } else { self.merged_catalogue() };
        catalogue.set_generation(Some(self.generation));
        let entries = catalogue.len();
        let _ = self.check_entries(entries).and_then(|()| self.check_memory(catalogue.heap_bytes(), entries));
        if let Some(rejection) = self.rejection.take() {
            return Err(rejection);
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

    /// The endpoints that a list of changes lists, or removes from the current catalogue.
    fn changed_ids(&self) -> Vec<EndpointId> {
        let gone = self.gone.iter().copied().filter(|&id| self.current.get(id).is_some());
        self.listed.ids().chain(gone).collect()
    }

    /// The catalogue of a whole list: endpoints that it does not contain are removed.
    fn replaced_catalogue(&mut self) -> Catalogue {
        let mut catalogue = std::mem::take(&mut self.listed);
        catalogue.remember_removed(self.current);
        catalogue.shrink();
        catalogue
    }

    /// The current catalogue with the changes of the list.
    fn merged_catalogue(&self) -> Catalogue {
        let mut catalogue = self.current.clone();
        for (id, endpoint) in self.listed.ids().filter_map(|id| Some((id, self.listed.get(id)?))) {
            catalogue.put(id, &endpoint);
        }
        for &id in &self.gone {
            if let Some(endpoint) = self.current.get(id) {
                catalogue.remove_and_remember(id, endpoint.name);
            }
        }
        catalogue
    }
}
