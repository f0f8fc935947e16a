//! The catalogue: pages of records, with indexes by name and by destination.

use crate::index::Index;
use crate::interner::Interner;
use crate::page::{Page, Record, RecordState, PAGE_RECORDS};
use crate::removed_names::{self, RemovedNames};
use crate::{DestinationId, EndpointId, Lifecycle, MAX_NAME_BYTES};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

/// A listed endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint<'a> {
    /// The name given by discovery, which is the same at every sender.
    pub name: &'a str,
    pub address: SocketAddr,
    pub zone: &'a str,
    pub machine_type: &'a str,
    pub destination: DestinationId,
    pub lifecycle: Lifecycle,
    pub weight: f64,
}

/// A snapshot of all listed endpoints.
#[derive(Clone, Default)]
pub struct Catalogue {
    inner: Arc<Inner>,
}

/// The content of a snapshot. A copy shares the pages and the parts of the indexes.
#[derive(Clone, Default)]
struct Inner {
    generation: Option<u64>,
    /// Pages by their number; `None` if no endpoint of the page is listed.
    pages: Vec<Option<Arc<Page>>>,
    by_name: Index,
    by_destination: Index,
    zones: Arc<Interner>,
    machine_types: Arc<Interner>,
    removed_names: Arc<RemovedNames>,
    next_id: EndpointId,
    listed_count: usize,
    ready_count: usize,
}

/// The number of an endpoint's page, and the position in it.
fn page_and_position(id: EndpointId) -> (usize, usize) {
    (id as usize / PAGE_RECORDS, id as usize % PAGE_RECORDS)
}

fn hash_of(key: impl Hash) -> u32 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    (hasher.finish() >> 32) as u32
}

fn intern(interner: &mut Arc<Interner>, string: &str) -> Option<u16> {
    interner.find(string).or_else(|| Arc::make_mut(interner).add(string))
}

impl Catalogue {
    /// The generation of the last list that was read; `None` before the first.
    pub fn generation(&self) -> Option<u64> {
        self.inner.generation
    }

    /// Whether this is the only reference to the snapshot, so that dropping it frees what no other snapshot
    /// shares.
    pub fn is_last_holder(&self) -> bool {
        Arc::strong_count(&self.inner) == 1
    }

    /// Number of listed endpoints.
    pub fn len(&self) -> usize {
        self.inner.listed_count
    }

    /// Whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.inner.listed_count == 0
    }

    /// Number of listed endpoints that are ready.
    pub fn ready_count(&self) -> usize {
        self.inner.ready_count
    }

    /// The number that will be assigned to the next new name.
    pub fn next_id(&self) -> EndpointId {
        self.inner.next_id
    }

    /// The number of a listed name.
    pub fn id(&self, name: &str) -> Option<EndpointId> {
        self.inner.by_name.find(hash_of(name)).find(|&id| self.get(id).is_some_and(|e| e.name == name))
    }

    /// The listed endpoint of a number.
    pub fn get(&self, id: EndpointId) -> Option<Endpoint<'_>> {
        let (page, position) = page_and_position(id);
        let page = self.inner.pages.get(page)?.as_deref()?;
        let record = page.record(position)?;
        Some(Endpoint {
            name: page.name(record),
            address: page.address(position, record),
            zone: self.inner.zones.get(record.zone),
            machine_type: self.inner.machine_types.get(record.machine_type),
            destination: record.destination,
            lifecycle: record.state.lifecycle()?,
            weight: record.weight,
        })
    }

    /// The listed endpoints of a destination, by ascending number.
    pub fn endpoints_of(&self, destination: DestinationId) -> impl Iterator<Item = EndpointId> + '_ {
        let same_hash = self.inner.by_destination.find(hash_of(destination));
        same_hash.filter(move |&id| self.inner.record(id).is_some_and(|r| r.destination == destination))
    }

    /// All listed endpoints, by ascending number.
    pub fn ids(&self) -> impl Iterator<Item = EndpointId> + '_ {
        let pages = self.inner.pages.iter().enumerate();
        let listed = pages.filter_map(|(number, page)| Some((number, page.as_deref()?)));
        listed.flat_map(|(number, page)| {
            page.occupied().map(move |position| (number * PAGE_RECORDS + position) as EndpointId)
        })
    }

    /// Heap memory of this snapshot in bytes, including what it shares with others. Spare capacity and the
    /// names that were removed lately are not counted. After a whole list was read, the indexes have spare
    /// capacity of up to a quarter of their size and a few entries in each part.
    pub fn heap_bytes(&self) -> usize {
        let inner = &self.inner;
        let pages: usize = inner.pages.iter().flatten().map(|page| page.heap_bytes()).sum();
        let table_of_pages = inner.pages.len() * size_of::<Option<Arc<Page>>>();
        let indexes = inner.by_name.heap_bytes() + inner.by_destination.heap_bytes();
        pages + table_of_pages + indexes + inner.zones.heap_bytes() + inner.machine_types.heap_bytes()
    }

    /// Creates a catalogue with the numbers of another process, as in an upgrade. The next new name gets
    /// `next_id`, or the number after the highest one of the entries if that is higher.
    pub fn from_numbered<'a>(
        entries: impl IntoIterator<Item = (EndpointId, Endpoint<'a>)>,
        next_id: EndpointId,
    ) -> Catalogue {
        let mut catalogue = Catalogue::default();
        for (id, endpoint) in entries {
            catalogue.put(id, &endpoint);
        }
        let inner = Arc::make_mut(&mut catalogue.inner);
        inner.next_id = inner.next_id.max(next_id);
        catalogue
    }

    /// Adds the endpoints of another catalogue whose names are not listed here, under new numbers, and adopts
    /// the generation of `other`.
    pub fn add_missing(&mut self, other: &Catalogue) {
        for endpoint in other.ids().filter_map(|id| other.get(id)) {
            if self.id(endpoint.name).is_none() {
                let id = self.next_id();
                self.put(id, &endpoint);
            }
        }
        self.set_generation(other.generation());
        self.shrink();
    }

    /// Applies changes of another process's list: lists some endpoints, under the numbers that their names
    /// have here or under new ones, removes others by name, and adopts the generation.
    pub fn apply_changes<'a>(
        &mut self,
        listed: impl IntoIterator<Item = Endpoint<'a>>,
        removed: impl IntoIterator<Item = &'a str>,
        generation: Option<u64>,
    ) {
        for endpoint in listed {
            let known = self.id(endpoint.name).or_else(|| self.removed_id(endpoint.name));
            self.put(known.unwrap_or(self.next_id()), &endpoint);
        }
        for name in removed {
            if let Some(id) = self.id(name) {
                self.remove_and_remember(id, name);
            }
        }
        self.set_generation(generation);
    }

    /// Replaces all endpoints by those of another process's list. Names that are listed here keep their
    /// numbers.
    pub fn replace_all<'a>(
        &mut self,
        listed: impl IntoIterator<Item = Endpoint<'a>>,
        generation: Option<u64>,
    ) {
        let before = self.clone();
        *self = before.empty_successor();
        for endpoint in listed {
            let known = before.id(endpoint.name).or_else(|| before.removed_id(endpoint.name));
            self.put(known.unwrap_or(self.next_id()), &endpoint);
        }
        self.remember_removed(&before);
        self.set_generation(generation);
        self.shrink();
    }

    /// Reserves capacity for `endpoints` endpoints in the indexes of an empty catalogue.
    pub(crate) fn reserve(&mut self, endpoints: usize) {
        let inner = Arc::make_mut(&mut self.inner);
        (inner.by_name, inner.by_destination) =
            (Index::with_capacity(endpoints), Index::with_capacity(endpoints));
    }

    pub(crate) fn set_generation(&mut self, generation: Option<u64>) {
        Arc::make_mut(&mut self.inner).generation = generation;
    }

    /// An empty catalogue that continues the numbers of this one.
    pub(crate) fn empty_successor(&self) -> Catalogue {
        let (removed_names, next_id) = (self.inner.removed_names.clone(), self.inner.next_id);
        let inner = Inner { removed_names, next_id, ..Inner::default() };
        Catalogue { inner: Arc::new(inner) }
    }

    /// The number of a name that was removed from the list lately.
    pub(crate) fn removed_id(&self, name: &str) -> Option<EndpointId> {
        self.inner.removed_names.find(name)
    }

    /// Lists an endpoint under a number; returns false if its name is too long or a string can't be interned.
    pub(crate) fn put(&mut self, id: EndpointId, endpoint: &Endpoint) -> bool {
        let inner = Arc::make_mut(&mut self.inner);
        if endpoint.name.len() > MAX_NAME_BYTES {
            return false;
        }
        let Some(zone) = intern(&mut inner.zones, endpoint.zone) else { return false };
        let Some(machine_type) = intern(&mut inner.machine_types, endpoint.machine_type) else {
            return false;
        };
        let record = Record {
            destination: endpoint.destination,
            weight: endpoint.weight,
            zone,
            machine_type,
            state: endpoint.lifecycle.into(),
            ..Record::default()
        };
        inner.put(id, endpoint.name, endpoint.address, record);
        true
    }

    /// Removes an endpoint from the list.
    pub(crate) fn remove(&mut self, id: EndpointId) {
        Arc::make_mut(&mut self.inner).remove(id);
    }

    /// Removes an endpoint from the list and remembers its number.
    pub(crate) fn remove_and_remember(&mut self, id: EndpointId, name: &str) {
        let inner = Arc::make_mut(&mut self.inner);
        inner.remove(id);
        Arc::make_mut(&mut inner.removed_names).add(name, id);
    }

    /// Remembers the numbers of endpoints that are listed in `before` and no longer here; the highest ones if
    /// there are more than [`removed_names::CAPACITY`].
    pub(crate) fn remember_removed(&mut self, before: &Catalogue) {
        let removed: Vec<EndpointId> = before.ids().filter(|&id| self.inner.record(id).is_none()).collect();
        if removed.is_empty() {
            return;
        }
        let removed_names = Arc::make_mut(&mut Arc::make_mut(&mut self.inner).removed_names);
        let skipped = removed.len().saturating_sub(removed_names::CAPACITY);
        for &id in &removed[skipped..] {
            if let Some(endpoint) = before.get(id) {
                removed_names.add(endpoint.name, id);
            }
        }
    }

    /// Releases spare capacity that building the catalogue has left over.
    pub(crate) fn shrink(&mut self) {
        let inner = Arc::make_mut(&mut self.inner);
        inner.pages.shrink_to_fit();
        for page in inner.pages.iter_mut().flatten() {
            if let Some(page) = Arc::get_mut(page) {
                page.shrink();
            }
        }
        inner.by_name.shrink();
        inner.by_destination.shrink();
    }
}

impl Inner {
    fn record(&self, id: EndpointId) -> Option<&Record> {
        let (page, position) = page_and_position(id);
        self.pages.get(page)?.as_deref()?.record(position)
    }

    fn put(&mut self, id: EndpointId, name: &str, address: SocketAddr, record: Record) {
        let old = self.record(id).copied();
        if let Some(old) = old.filter(|old| old.destination != record.destination) {
            self.by_destination.remove(hash_of(old.destination), id);
        }
        let (number, position) = page_and_position(id);
        if self.pages.len() <= number {
            self.pages.resize(number + 1, None);
        }
        Arc::make_mut(self.pages[number].get_or_insert_default()).put(position, name, address, record);
        self.by_name.insert(hash_of(name), id);
        self.by_destination.insert(hash_of(record.destination), id);
        self.next_id = self.next_id.max(id + 1);
        self.listed_count += usize::from(old.is_none());
        self.ready_count -= usize::from(old.is_some_and(|old| old.state == RecordState::Ready));
        self.ready_count += usize::from(record.state == RecordState::Ready);
    }

    fn remove(&mut self, id: EndpointId) {
        let (number, position) = page_and_position(id);
        let Some(page) = self.pages.get_mut(number).and_then(Option::as_mut) else { return };
        let Some(record) = page.record(position).copied() else { return };
        let name_hash = hash_of(page.name(&record));
        Arc::make_mut(page).clear(position);
        if page.is_empty() {
            self.pages[number] = None;
        }
        self.by_name.remove(name_hash, id);
        self.by_destination.remove(hash_of(record.destination), id);
        self.listed_count -= 1;
        self.ready_count -= usize::from(record.state == RecordState::Ready);
    }
}
