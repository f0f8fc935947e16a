//! What is listed, for the policy, for calls and for operators: the snapshot in force, in the settings' numbers.
use catalogue::{Catalogue, Lifecycle};
use sender::api::{DestId, EndpointId, EndpointKind, Entry};
use sender::listed::{CatalogueDirectory, SettingsNames};
use sender::on_demand;
use sender::settings::ProgramSettings;
use std::cell::{Cell, Ref, RefCell};
use std::net::SocketAddr;

/// What shares one told wait: a destination, or one endpoint of it where routes are separate.
pub type Route = (DestId, Option<EndpointId>);

/// Where an endpoint is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub address: SocketAddr,
    pub route: Route,
}

/// The one holder of the snapshot in force on the loop.
pub struct Directory {
    catalogue: RefCell<Catalogue>,
    has_list: Cell<bool>,
    words: SettingsNames,
    /// Properties by kind.
    properties: Vec<EndpointKind>,
}

impl Directory {
    pub fn new(around: &ProgramSettings, kinds: &[EndpointKind]) -> Directory {
        Directory {
            catalogue: RefCell::default(),
            has_list: Cell::default(),
            words: SettingsNames { kinds: around.kinds.clone(), zones: around.zones.clone() },
            properties: kinds.to_vec(),
        }
    }

    pub fn catalogue(&self) -> Ref<'_, Catalogue> {
        self.catalogue.borrow()
    }

    /// Whether there is a list to go by: one that discovery has told, however short, or one that names anything.
    pub fn has_list(&self) -> bool {
        self.has_list.get()
    }

    /// Puts a snapshot in force; the one before is what comes back.
    pub fn replace(&self, catalogue: Catalogue) -> Catalogue {
        self.has_list.set(catalogue.generation().is_some() || !catalogue.is_empty());
        self.catalogue.replace(catalogue)
    }

    /// Gives the snapshot up, where another process decides by its own.
    pub fn clear(&self) -> Catalogue {
        self.catalogue.take()
    }

    /// Where an endpoint is, as long as it is listed as ready.
    pub fn ready_place(&self, endpoint: EndpointId) -> Option<Place> {
        let catalogue = self.catalogue.borrow();
        let listed = catalogue.get(endpoint).filter(|e| e.lifecycle == Lifecycle::Ready)?;
        let separate =
            self.kind(listed.machine_type).is_some_and(|kind| self.properties[kind].separate_routes);
        let route = (listed.destination, separate.then_some(endpoint));
        Some(Place { address: listed.address, route })
    }

    /// How many messages one call to an endpoint may hold.
    pub fn batch(&self, endpoint: EndpointId) -> usize {
        let catalogue = self.catalogue.borrow();
        let kind = catalogue.get(endpoint).and_then(|e| self.kind(e.machine_type));
        kind.map_or(1, |kind| self.properties[kind].max_batch.max(1))
    }

    /// The number of a machine type that the settings know.
    fn kind(&self, machine_type: &str) -> Option<usize> {
        self.words.kinds.iter().position(|k| k == machine_type).filter(|&kind| kind < self.properties.len())
    }
}

impl on_demand::Directory for Directory {
    fn entry(&self, endpoint: EndpointId) -> Option<Entry> {
        CatalogueDirectory { catalogue: &self.catalogue(), names: &self.words }.entry(endpoint)
    }

    fn endpoints_of(&self, destination: DestId) -> Vec<EndpointId> {
        CatalogueDirectory { catalogue: &self.catalogue(), names: &self.words }.endpoints_of(destination)
    }
}
