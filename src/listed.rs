//! A catalogue as the policy reads it: endpoints in the settings' numbers of kinds and zones.

use crate::api::{Condition, DestId, EndpointId, Entry};
use crate::on_demand::Directory;
use catalogue::{Catalogue, Lifecycle};

/// The words that the settings number, each at its number.
#[derive(Clone, Debug, Default)]
pub struct SettingsNames {
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

/// A snapshot with the settings' words.
#[derive(Clone, Copy)]
pub struct CatalogueDirectory<'a> {
    pub catalogue: &'a Catalogue,
    pub names: &'a SettingsNames,
}

/// What the settings don't know has no number of theirs.
fn number(words: &[String], word: &str) -> usize {
    words.iter().position(|known| known == word).unwrap_or(usize::MAX)
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
