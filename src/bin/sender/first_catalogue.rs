//! The catalogue that a process starts with: the list of its configuration, under the numbers of the module that it goes
//! on with.
use crate::process_state::NumberedCatalogue;
use catalogue::{Catalogue, Endpoint};
use sender::api::EndpointId;

/// What a process starts with.
pub struct FirstCatalogue {
    /// For the core.
    pub in_force: Catalogue,
    /// For the watch, which may have more to begin with: lists that are older than what the process before had are
    /// not in force until the first answer has brought them up to date.
    pub watched: Catalogue,
    /// What the watch asks for changes since; None: the whole list.
    pub generation: Option<u64>,
    /// Whether the module has to be told of it.
    pub new_to_module: bool,
}

impl FirstCatalogue {
    /// Whether lists are in force that the watch has not brought up to date.
    pub fn is_partial(&self) -> bool {
        self.in_force.len() != self.watched.len()
    }

    /// Of a process that starts without another one's numbers.
    pub fn known(known: Catalogue) -> FirstCatalogue {
        let generation = known.generation();
        FirstCatalogue { in_force: known.clone(), watched: known, generation, new_to_module: true }
    }

    /// Of a process that goes on with the numbers of one that is gone. What that one saw listed says nothing now.
    pub fn restarted(
        numbers: &[(EndpointId, String)],
        next_id: EndpointId,
        known: Catalogue,
    ) -> FirstCatalogue {
        let names = numbers.iter().map(|(number, name)| (*number, name.as_str()));
        FirstCatalogue::known(renumbered(names, next_id, known))
    }

    /// Of a process that another one has handed over to.
    pub fn handed_over(numbered: &NumberedCatalogue, known: Catalogue) -> FirstCatalogue {
        if numbered.generation.is_some() && known.generation() > numbered.generation {
            let names = numbered.endpoints.iter().map(|e| (e.number, e.name.as_str()));
            return FirstCatalogue::known(renumbered(names, numbered.next_id, known));
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
            // Without a generation of its own it can't be told what changed since.
            generation: numbered.generation.and(known.generation()),
            watched: all,
            new_to_module: false,
        }
    }
}

/// A list under given numbers, as far as it has their names; others get numbers from `next_id` on.
fn renumbered<'a>(
    numbers: impl Iterator<Item = (EndpointId, &'a str)>,
    next_id: EndpointId,
    known: Catalogue,
) -> Catalogue {
    if next_id == 0 {
        // None were ever given.
        return known;
    }
    let listed = |name| known.id(name).and_then(|id| known.get(id));
    let entries = numbers.filter_map(|(number, name)| Some((number, listed(name)?)));
    let mut catalogue = Catalogue::from_numbered(entries, next_id);
    catalogue.add_missing(&known);
    catalogue
}

/// An endpoint as it was handed over. Versions that handed over no generation did not know zone and weight either.
fn completed<'a>(endpoint: Endpoint<'a>, numbered: &NumberedCatalogue, known: &'a Catalogue) -> Endpoint<'a> {
    let listed = known.id(endpoint.name).and_then(|id| known.get(id));
    match listed.filter(|_| numbered.generation.is_none()) {
        Some(Endpoint { zone, weight, .. }) => Endpoint { zone, weight, ..endpoint },
        None => endpoint,
    }
}

#[cfg(test)]
mod tests;
