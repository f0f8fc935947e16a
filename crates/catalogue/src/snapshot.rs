//! The catalogue itself: pages of records, and what finds them by name and by destination.

use crate::departed::{self, Departed};
use crate::index::Index;
use crate::interner::Interner;
use crate::page::{Page, Record, State, PAGE};
use crate::{DestinationId, EndpointId, Lifecycle, MAX_NAME_BYTES};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

/// One endpoint as the list has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint<'a> {
    /// The name by which discovery knows it, the same at every sender.
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
    parts: Arc<Parts>,
}

/// What a snapshot consists of; a copy of it shares pages and parts of the indexes.
#[derive(Clone, Default)]
struct Parts {
    generation: Option<u64>,
    /// By number; None where no endpoint of the page is listed.
    pages: Vec<Option<Arc<Page>>>,
    by_name: Index,
    by_destination: Index,
    zones: Arc<Interner>,
    machine_types: Arc<Interner>,
    departed: Arc<Departed>,
    next_id: EndpointId,
    listed: usize,
    ready: usize,
}

fn place_of(id: EndpointId) -> (usize, usize) {
    (id as usize / PAGE, id as usize % PAGE)
}

fn hash_of(key: impl Hash) -> u32 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    (hasher.finish() >> 32) as u32
}

fn intern(words: &mut Arc<Interner>, word: &str) -> Option<u16> {
    words.find(word).or_else(|| Arc::make_mut(words).add(word))
}

impl Catalogue {
    /// The generation of the last list taken in; None before the first.
    pub fn generation(&self) -> Option<u64> {
        self.parts.generation
    }

    /// Whether nobody else holds this snapshot, so that dropping it frees what no other one shares.
    pub fn is_last_holder(&self) -> bool {
        Arc::strong_count(&self.parts) == 1
    }

    /// How many endpoints are listed.
    pub fn len(&self) -> usize {
        self.parts.listed
    }

    pub fn is_empty(&self) -> bool {
        self.parts.listed == 0
    }

    /// How many of them are ready.
    pub fn ready_count(&self) -> usize {
        self.parts.ready
    }

    /// The number that the next new name gets.
    pub fn next_id(&self) -> EndpointId {
        self.parts.next_id
    }

    /// The number of a listed name.
    pub fn id(&self, name: &str) -> Option<EndpointId> {
        self.parts.by_name.find(hash_of(name)).find(|&id| self.get(id).is_some_and(|e| e.name == name))
    }

    /// A listed endpoint.
    pub fn get(&self, id: EndpointId) -> Option<Endpoint<'_>> {
        let (page, place) = place_of(id);
        let page = self.parts.pages.get(page)?.as_deref()?;
        let record = page.record(place)?;
        Some(Endpoint {
            name: page.name(record),
            address: page.address(place, record),
            zone: self.parts.zones.word(record.zone),
            machine_type: self.parts.machine_types.word(record.machine_type),
            destination: record.destination,
            lifecycle: record.state.lifecycle()?,
            weight: record.weight,
        })
    }

    /// The endpoints of a destination, by ascending number.
    pub fn endpoints_of(&self, destination: DestinationId) -> impl Iterator<Item = EndpointId> + '_ {
        let same_hash = self.parts.by_destination.find(hash_of(destination));
        same_hash.filter(move |&id| self.parts.record(id).is_some_and(|r| r.destination == destination))
    }

    /// All listed endpoints, by ascending number.
    pub fn ids(&self) -> impl Iterator<Item = EndpointId> + '_ {
        let pages = self.parts.pages.iter().enumerate();
        let listed = pages.filter_map(|(number, page)| Some((number, page.as_deref()?)));
        listed.flat_map(|(number, page)| page.live().map(move |place| (number * PAGE + place) as EndpointId))
    }

    /// Bytes that this snapshot holds, those that it shares with others included. Room left over by growing does not
    /// count: what is kept of it once a list is read is up to a quarter of the indexes.
    pub fn heap_bytes(&self) -> usize {
        let parts = &self.parts;
        let pages: usize = parts.pages.iter().flatten().map(|page| page.heap_bytes()).sum();
        let directory = parts.pages.len() * size_of::<Option<Arc<Page>>>();
        let indexes = parts.by_name.heap_bytes() + parts.by_destination.heap_bytes();
        pages + directory + indexes + parts.zones.heap_bytes() + parts.machine_types.heap_bytes()
    }

    /// A catalogue of endpoints that another process has numbered, as in an upgrade. `next_id` is above all of them.
    pub fn from_numbered<'a>(
        entries: impl IntoIterator<Item = (EndpointId, Endpoint<'a>)>,
        next_id: EndpointId,
    ) -> Catalogue {
        let mut catalogue = Catalogue::default();
        for (id, endpoint) in entries {
            catalogue.put(id, &endpoint);
        }
        let parts = Arc::make_mut(&mut catalogue.parts);
        parts.next_id = parts.next_id.max(next_id);
        catalogue
    }

    /// Adds the names of another catalogue that are not listed here, under numbers of this one, and takes over its
    /// generation.
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

    /// Makes room in the indexes of an empty catalogue for so many endpoints.
    pub(crate) fn make_room(&mut self, endpoints: usize) {
        let parts = Arc::make_mut(&mut self.parts);
        (parts.by_name, parts.by_destination) = (Index::with_room(endpoints), Index::with_room(endpoints));
    }

    pub(crate) fn set_generation(&mut self, generation: Option<u64>) {
        Arc::make_mut(&mut self.parts).generation = generation;
    }

    /// An empty catalogue that goes on with the numbers of this one.
    pub(crate) fn successor(&self) -> Catalogue {
        let (departed, next_id) = (self.parts.departed.clone(), self.parts.next_id);
        let parts = Parts { departed, next_id, ..Parts::default() };
        Catalogue { parts: Arc::new(parts) }
    }

    /// The number that a name had when it was listed, where it left a short while ago.
    pub(crate) fn departed(&self, name: &str) -> Option<EndpointId> {
        self.parts.departed.find(name)
    }

    /// Lists an endpoint under a number; false where a word of it can't be taken.
    pub(crate) fn put(&mut self, id: EndpointId, endpoint: &Endpoint) -> bool {
        let parts = Arc::make_mut(&mut self.parts);
        if endpoint.name.len() > MAX_NAME_BYTES {
            return false;
        }
        let Some(zone) = intern(&mut parts.zones, endpoint.zone) else { return false };
        let Some(machine_type) = intern(&mut parts.machine_types, endpoint.machine_type) else {
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
        parts.put(id, endpoint.name, endpoint.address, record);
        true
    }

    /// Takes an endpoint off the list.
    pub(crate) fn remove(&mut self, id: EndpointId) {
        Arc::make_mut(&mut self.parts).remove(id);
    }

    /// Takes an endpoint off the list, and remembers its number.
    pub(crate) fn depart(&mut self, id: EndpointId, name: &str) {
        let parts = Arc::make_mut(&mut self.parts);
        parts.remove(id);
        Arc::make_mut(&mut parts.departed).add(name, id);
    }

    /// Remembers the numbers of endpoints that were listed before and are not any more.
    pub(crate) fn remember_departed(&mut self, before: &Catalogue) {
        let gone: Vec<EndpointId> = before.ids().filter(|&id| self.parts.record(id).is_none()).collect();
        if gone.is_empty() {
            return;
        }
        let departed = Arc::make_mut(&mut Arc::make_mut(&mut self.parts).departed);
        let forgotten = gone.len().saturating_sub(departed::CAPACITY);
        for &id in &gone[forgotten..] {
            if let Some(endpoint) = before.get(id) {
                departed.add(endpoint.name, id);
            }
        }
    }

    /// Gives back the room that building has left over.
    pub(crate) fn shrink(&mut self) {
        let parts = Arc::make_mut(&mut self.parts);
        parts.pages.shrink_to_fit();
        for page in parts.pages.iter_mut().flatten() {
            if let Some(page) = Arc::get_mut(page) {
                page.shrink();
            }
        }
        parts.by_name.shrink();
        parts.by_destination.shrink();
    }
}

impl Parts {
    fn record(&self, id: EndpointId) -> Option<&Record> {
        let (page, place) = place_of(id);
        self.pages.get(page)?.as_deref()?.record(place)
    }

    fn put(&mut self, id: EndpointId, name: &str, address: SocketAddr, record: Record) {
        let old = self.record(id).copied();
        if let Some(old) = old.filter(|old| old.destination != record.destination) {
            self.by_destination.remove(hash_of(old.destination), id);
        }
        let (number, place) = place_of(id);
        if self.pages.len() <= number {
            self.pages.resize(number + 1, None);
        }
        Arc::make_mut(self.pages[number].get_or_insert_default()).put(place, name, address, record);
        self.by_name.insert(hash_of(name), id);
        self.by_destination.insert(hash_of(record.destination), id);
        self.next_id = self.next_id.max(id + 1);
        self.listed += usize::from(old.is_none());
        self.ready -= usize::from(old.is_some_and(|old| old.state == State::Ready));
        self.ready += usize::from(record.state == State::Ready);
    }

    fn remove(&mut self, id: EndpointId) {
        let (number, place) = place_of(id);
        let Some(page) = self.pages.get_mut(number).and_then(Option::as_mut) else { return };
        let Some(record) = page.record(place).copied() else { return };
        let name_hash = hash_of(page.name(&record));
        Arc::make_mut(page).clear(place);
        if page.is_empty() {
            self.pages[number] = None;
        }
        self.by_name.remove(name_hash, id);
        self.by_destination.remove(hash_of(record.destination), id);
        self.listed -= 1;
        self.ready -= usize::from(record.state == State::Ready);
    }
}
