//! The catalogue as a directory for the policy: machine types and zones become the numbers of the settings.

use crate::api::{Condition, DestId, EndpointId, Entry};
use crate::on_demand::Directory;
use catalogue::{Catalogue, Lifecycle};

/// The names of kinds and zones; the index of each is its number in the settings.
#[derive(Clone, Debug, Default)]
pub struct SettingsNames {
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

/// A snapshot of the catalogue with the names of the settings.
#[derive(Clone, Copy)]
pub struct CatalogueDirectory<'a> {
    pub catalogue: &'a Catalogue,
    pub names: &'a SettingsNames,
}

/// Returns the number of a name, or `usize::MAX` if the settings do not have it.
fn number(names: &[String], name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or(usize::MAX)
}

impl Directory for CatalogueDirectory<'_> {
    fn entry(&self, endpoint: EndpointId) -> Option<Entry> {
        let listed = self.catalogue.get(endpoint)?;
        let condition = match listed.lifecycle {
            Lifecycle::Ready => Condition::Ready,
            Lifecycle::Draining => Condition::Draining,
        };
        Some(Entry {
            endpoint,
            dest: listed.destination,
            kind: number(&self.names.kinds, listed.machine_type),
            zone: number(&self.names.zones, listed.zone),
            condition,
            rate_hint: listed.weight,
        })
    }

    fn endpoints_of(&self, destination: DestId) -> Vec<EndpointId> {
        self.catalogue.endpoints_of(destination).collect()
    }
}
