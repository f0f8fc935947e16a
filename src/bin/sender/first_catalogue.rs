//! The catalogue that a process starts with: the known list of its configuration, the catalogue that was
//! handed over, or both. Endpoints keep the numbers that they have in the policy's state.
use crate::process_state::NumberedCatalogue;
use catalogue::{Catalogue, Endpoint};
use sender::api::EndpointId;

/// The catalogue that a process starts with.
pub struct FirstCatalogue {
    /// The catalogue for the core.
    pub in_force: Catalogue,
    /// The catalogue for the watch on discovery. It may have more endpoints than `in_force`: those that
    /// only the known list names are not in force before the first answer of discovery, unless that list has
    /// the generation that was handed over.
    pub watched: Catalogue,
    /// The generation since which the watch asks for changes; None if it asks for the whole list.
    pub generation: Option<u64>,
    /// Whether the policy has not been told of this catalogue yet.
    pub new_to_module: bool,
}

impl FirstCatalogue {
    /// Returns whether the watch knows more endpoints than are in force.
    pub fn is_partial(&self) -> bool {
        self.in_force.len() != self.watched.len()
    }

    /// Creates the catalogue of a process that starts without the numbers of an earlier one.
    pub fn from_known_list(known: Catalogue) -> FirstCatalogue {
        let generation = known.generation();
        FirstCatalogue { in_force: known.clone(), watched: known, generation, new_to_module: true }
    }

    /// Creates the catalogue of a process that continues with the numbers of one that has ended. The list
    /// of the ended process is out of date and not used.
    pub fn after_restart(
        numbers: &[(EndpointId, String)],
        next_id: EndpointId,
        known: Catalogue,
    ) -> FirstCatalogue {
        let names = numbers.iter().map(|(number, name)| (*number, name.as_str()));
        FirstCatalogue::from_known_list(renumbered(names, next_id, known))
    }

    /// Creates the catalogue of a process that has taken over from a running one.
    pub fn after_handover(numbered: &NumberedCatalogue, known: Catalogue) -> FirstCatalogue {
        if numbered.generation.is_some() && known.generation() > numbered.generation {
            let names = numbered.endpoints.iter().map(|e| (e.number, e.name.as_str()));
            return FirstCatalogue::from_known_list(renumbered(names, numbered.next_id, known));
        }
        let entries =
            numbered.endpoints.iter().map(|e| (e.number, completed(e.endpoint(), numbered, &known)));
        let handed = Catalogue::from_numbered(entries, numbered.next_id);
        if numbered.whole && numbered.generation.is_some() {
            let (generation, new_to_module) = (numbered.generation, false);
            return FirstCatalogue { in_force: handed.clone(), watched: handed, generation, new_to_module };
        }
        let mut all = handed.clone();
        all.add_missing(&known);
        let as_old = known.generation().is_some() && known.generation() == numbered.generation;
        FirstCatalogue {
            in_force: if as_old { all.clone() } else { handed },
            // Without the generation of the list that was handed over, changes can't be applied to it.
            generation: numbered.generation.and(known.generation()),
            watched: all,
            new_to_module: false,
        }
    }
}

/// Renumbers the endpoints of a list: those named in `numbers` get the number given there, all others get
/// numbers from `next_id` on.
fn renumbered<'a>(
    numbers: impl Iterator<Item = (EndpointId, &'a str)>,
    next_id: EndpointId,
    known: Catalogue,
) -> Catalogue {
    if next_id == 0 {
        // No numbers have been given out before.
        return known;
    }
    let listed = |name| known.id(name).and_then(|id| known.get(id));
    let entries = numbers.filter_map(|(number, name)| Some((number, listed(name)?)));
    let mut catalogue = Catalogue::from_numbered(entries, next_id);
    catalogue.add_missing(&known);
    catalogue
}

/// Returns an endpoint that was handed over, with zone and weight from the known list if they are missing:
/// versions that hand over no generation hand over neither of them.
fn completed<'a>(endpoint: Endpoint<'a>, numbered: &NumberedCatalogue, known: &'a Catalogue) -> Endpoint<'a> {
    let listed = known.id(endpoint.name).and_then(|id| known.get(id));
    match listed.filter(|_| numbered.generation.is_none()) {
        Some(Endpoint { zone, weight, .. }) => Endpoint { zone, weight, ..endpoint },
        None => endpoint,
    }
}

#[cfg(test)]
mod tests;
