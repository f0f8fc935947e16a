//! Version 1 of the handed-over state: it names all endpoints that lists have ever named, by number.
use crate::process_state::{HandoverState, HeldMessages, IdleBounds, NumberedCatalogue, NumberedEndpoint};
use sender::api::{DestId, EndpointId, Ns};
use sender::policy::Sender;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The state as a process of version 1 sends it.
#[derive(Deserialize)]
pub struct StateV1 {
    #[serde(rename = "settings")]
    settings_json: String,
    #[serde(rename = "module")]
    policy: Sender,
    clock: (Ns, u64),
    /// By number: the name, and the machine type as an index into the settings' list.
    endpoints: Vec<(String, usize)>,
    held: HeldMessages,
    #[serde(rename = "calls")]
    attempts_in_flight: Vec<(u64, u32, EndpointId)>,
    next_id: u64,
    client: ClientV1,
}

/// The state of calls to endpoints.
#[derive(Deserialize)]
struct ClientV1 {
    #[serde(rename = "places")]
    endpoints: HashMap<EndpointId, EndpointV1>,
    #[serde(rename = "keeps")]
    idle_bounds: IdleBounds,
}

#[derive(Deserialize)]
struct EndpointV1 {
    address: SocketAddr,
    route: (DestId, Option<EndpointId>),
    /// Whether the list named the endpoint as ready.
    #[serde(rename = "listed")]
    ready: bool,
}

impl StateV1 {
    /// Converts the state to the current version. `machine_types` are the settings' names.
    ///
    /// Endpoints that were not ready count as not listed. Version 1 has no zones and weights, so the
    /// generation is left out, which makes the sender ask for the whole list.
    pub fn upgrade(self, machine_types: &[String]) -> HandoverState {
        let StateV1 { settings_json, policy, clock, endpoints, held, attempts_in_flight, next_id, client } =
            self;
        let known = &client.endpoints;
        let ready = |number: EndpointId| known.get(&number).filter(|endpoint| endpoint.ready);
        let named = (0..).zip(&endpoints).filter_map(|(number, named)| Some((number, named, ready(number)?)));
        let listed = named.map(|(number, (name, kind), endpoint)| NumberedEndpoint {
            number,
            name: name.clone(),
            address: endpoint.address,
            zone: String::new(),
            machine_type: machine_types.get(*kind).cloned().unwrap_or_default(),
            destination: endpoint.route.0,
            ready: true,
            weight: 0.0,
        });
        let listed = listed.collect();
        let catalogue = NumberedCatalogue {
            endpoints: listed,
            whole: false,
            next_id: endpoints.len() as EndpointId,
            generation: None,
        };
        HandoverState {
            settings_json,
            policy,
            clock,
            catalogue,
            held,
            attempts_in_flight,
            next_id,
            idle_bounds: client.idle_bounds,
            ended: Vec::new(),
            accepts_reports: false,
        }
    }
}

#[cfg(test)]
mod tests;
