//! The catalogue in force, as the policy, calls and operators see it.
use catalogue::{Catalogue, Lifecycle};
use sender::api::{DestId, EndpointId, EndpointKind, Entry};
use sender::listed::{CatalogueDirectory, SettingsNames};
use sender::on_demand;
use sender::settings::ProgramSettings;
use std::cell::{Cell, Ref, RefCell};
use std::net::SocketAddr;

/// What shares one rate limit and one `Retry-After`: a destination, or one of its endpoints if their machine
/// type has separate routes.
pub type Route = (DestId, Option<EndpointId>);

/// The address and the route of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub address: SocketAddr,
    pub route: Route,
}

/// Holds the catalogue in force on the event loop.
pub struct Directory {
    catalogue: RefCell<Catalogue>,
    has_list: Cell<bool>,
    names: SettingsNames,
    /// The properties of each machine type, by its number in the settings.
    properties: Vec<EndpointKind>,
}

impl Directory {
    /// Creates a directory without a list, for the machine types and zones that the settings name.
    pub fn new(settings: &ProgramSettings, kinds: &[EndpointKind]) -> Directory {
        Directory {
            catalogue: RefCell::default(),
            has_list: Cell::default(),
            names: SettingsNames { kinds: settings.kinds.clone(), zones: settings.zones.clone() },
            properties: kinds.to_vec(),
        }
    }

    /// Borrows the catalogue in force.
    pub fn catalogue(&self) -> Ref<'_, Catalogue> {
        self.catalogue.borrow()
    }

    /// Returns whether there is a list: one with a generation, even an empty one, or any other that is not
    /// empty.
    pub fn has_list(&self) -> bool {
        self.has_list.get()
    }

    /// Puts a catalogue in force and returns the previous one.
    pub fn replace(&self, catalogue: Catalogue) -> Catalogue {
        self.has_list.set(catalogue.generation().is_some() || !catalogue.is_empty());
        self.catalogue.replace(catalogue)
    }

    /// Removes the catalogue after another process has taken over, and returns it.
    pub fn clear(&self) -> Catalogue {
        self.catalogue.take()
    }

    /// Returns the address and route of an endpoint if it is listed as ready.
    pub fn ready_place(&self, endpoint: EndpointId) -> Option<Place> {
        let catalogue = self.catalogue.borrow();
        let listed = catalogue.get(endpoint).filter(|e| e.lifecycle == Lifecycle::Ready)?;
        let separate = self.has_separate_routes(listed.machine_type);
        let route = (listed.destination, separate.then_some(endpoint));
        Some(Place { address: listed.address, route })
    }

    /// Returns how many messages one call to an endpoint may carry.
    pub fn max_batch(&self, endpoint: EndpointId) -> usize {
        let catalogue = self.catalogue.borrow();
        let kind = catalogue.get(endpoint).and_then(|e| self.kind(e.machine_type));
        kind.map_or(1, |kind| self.properties[kind].max_batch.max(1))
    }

    /// Returns whether an endpoint is listed and is a route of its own.
    pub fn has_own_route(&self, endpoint: EndpointId) -> bool {
        let catalogue = self.catalogue.borrow();
        catalogue.get(endpoint).is_some_and(|listed| self.has_separate_routes(listed.machine_type))
    }

    fn has_separate_routes(&self, machine_type: &str) -> bool {
        self.kind(machine_type).is_some_and(|kind| self.properties[kind].separate_routes)
    }

    /// Returns the number of a machine type if the settings name it.
    fn kind(&self, machine_type: &str) -> Option<usize> {
        self.names.kinds.iter().position(|k| k == machine_type).filter(|&kind| kind < self.properties.len())
    }
}

impl on_demand::Directory for Directory {
    fn entry(&self, endpoint: EndpointId) -> Option<Entry> {
        CatalogueDirectory { catalogue: &self.catalogue(), names: &self.names }.entry(endpoint)
    }

    fn endpoints_of(&self, destination: DestId) -> Vec<EndpointId> {
        CatalogueDirectory { catalogue: &self.catalogue(), names: &self.names }.endpoints_of(destination)
    }
}
