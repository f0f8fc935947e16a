//! The state as processes of the version before handed it over: every endpoint that lists ever named, by number.
use crate::process_state::{Keeps, Numbered, NumberedEndpoint, State, Unended};
use sender::api::{DestId, EndpointId, Ns};
use sender::policy::Sender;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;

#[derive(Deserialize)]
pub struct StateV1 {
    settings: String,
    module: Sender,
    clock: (Ns, u64),
    /// Name and machine type, as a number of the settings.
    endpoints: Vec<(String, usize)>,
    held: Unended,
    calls: Vec<(u64, u32, EndpointId)>,
    next_id: u64,
    client: ClientV1,
}

#[derive(Deserialize)]
struct ClientV1 {
    places: HashMap<EndpointId, PlaceV1>,
    keeps: Keeps,
}

#[derive(Deserialize)]
struct PlaceV1 {
    address: SocketAddr,
    route: (DestId, Option<EndpointId>),
    /// The list says that it is ready.
    listed: bool,
}

impl StateV1 {
    /// The same in today's form, with the settings' names of machine types. What was not ready counts as not listed,
    /// and zones and weights were not told: the whole list has to be asked for.
    pub fn upgrade(self, machine_types: &[String]) -> State {
        let StateV1 { settings, module, clock, endpoints, held, calls, next_id, client } = self;
        let places = &client.places;
        let ready = |number: EndpointId| places.get(&number).filter(|place| place.listed);
        let named = (0..).zip(&endpoints).filter_map(|(number, named)| Some((number, named, ready(number)?)));
        let listed = named.map(|(number, (name, kind), place)| NumberedEndpoint {
            number,
            name: name.clone(),
            address: place.address,
            zone: String::new(),
            machine_type: machine_types.get(*kind).cloned().unwrap_or_default(),
            destination: place.route.0,
            ready: true,
            weight: 0.0,
        });
        let listed = listed.collect();
        let numbered = Numbered {
            endpoints: listed,
            whole: false,
            next_id: endpoints.len() as EndpointId,
            generation: None,
        };
        State { settings, module, clock, numbered, held, calls, next_id, keeps: client.keeps }
    }
}

#[cfg(test)]
mod tests;
