//! What passes from one process to the next in an upgrade, and what stays with the process that has handed over.
use crate::input::Input;
use catalogue::{Catalogue, Endpoint, Lifecycle};
use sender::api::{EndpointId, Ns};
use sender::policy::Sender;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};

/// Messages not ended, by number, with the end of their time and their attempts so far.
pub type Unended = BTreeMap<u64, (Ns, u32)>;
/// Bounds on how long connections may stand idle, by endpoint, with the age of each.
pub type Keeps = Vec<(EndpointId, Duration, Duration)>;

/// All that the next process needs besides the journal.
#[derive(Serialize, Deserialize)]
pub struct State {
    /// With other settings it can't be used.
    pub settings: String,
    pub module: Sender,
    /// The module's time at a Unix time in nanoseconds: its clock goes on.
    pub clock: (Ns, u64),
    pub numbered: Numbered,
    pub held: Unended,
    /// Calls out.
    pub calls: Vec<(u64, u32, EndpointId)>,
    pub next_id: u64,
    pub keeps: Keeps,
}

/// A list of more endpoints does not pass on whole: it would hold both processes up, and not fit a frame.
const MAX_WHOLE: usize = 10_000;

/// Endpoints that the list names, under the module's numbers: all of them, or those that the module knows.
#[derive(Serialize, Deserialize, Default)]
pub struct Numbered {
    pub endpoints: Vec<NumberedEndpoint>,
    /// They are all that the list names.
    pub whole: bool,
    /// Above all numbers that were ever given.
    pub next_id: EndpointId,
    /// The generation of the list that they are from.
    pub generation: Option<u64>,
}

#[derive(Serialize, Deserialize)]
pub struct NumberedEndpoint {
    pub number: EndpointId,
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub machine_type: String,
    pub destination: u64,
    pub ready: bool,
    pub weight: f64,
}

impl NumberedEndpoint {
    pub fn new(number: EndpointId, endpoint: &Endpoint) -> NumberedEndpoint {
        NumberedEndpoint {
            number,
            name: endpoint.name.to_string(),
            address: endpoint.address,
            zone: endpoint.zone.to_string(),
            machine_type: endpoint.machine_type.to_string(),
            destination: endpoint.destination,
            ready: endpoint.lifecycle == Lifecycle::Ready,
            weight: endpoint.weight,
        }
    }

    pub fn endpoint(&self) -> Endpoint<'_> {
        Endpoint {
            name: &self.name,
            address: self.address,
            zone: &self.zone,
            machine_type: &self.machine_type,
            destination: self.destination,
            lifecycle: if self.ready { Lifecycle::Ready } else { Lifecycle::Draining },
            weight: self.weight,
        }
    }
}

impl Numbered {
    /// A list of moderate length, or else what a module knows of it.
    pub fn of(catalogue: &Catalogue, known: impl Iterator<Item = EndpointId>) -> Numbered {
        let whole = catalogue.len() <= MAX_WHOLE;
        let numbers: Vec<EndpointId> = if whole { catalogue.ids().collect() } else { known.collect() };
        let listed =
            numbers.into_iter().filter_map(|id| Some(NumberedEndpoint::new(id, &catalogue.get(id)?)));
        Numbered {
            endpoints: listed.collect(),
            whole,
            next_id: catalogue.next_id(),
            generation: catalogue.generation(),
        }
    }
}

/// What is left to the process that has handed over: calls out, and who may still come.
pub struct Rest {
    pub inbox: mpsc::Receiver<Input>,
    pub asks: mpsc::Receiver<Input>,
    pub calls: HashMap<(u64, u32), Out>,
}

/// One message's part in a call that is out.
#[derive(Clone)]
pub struct Out {
    pub endpoint: EndpointId,
    pub cancel: Rc<Cancel>,
}

/// Set once the module calls an attempt off.
#[derive(Default)]
pub struct Cancel {
    set: Cell<bool>,
    notify: Notify,
}

impl Cancel {
    pub fn set(&self) {
        self.set.set(true);
        self.notify.notify_one();
    }
    pub async fn wait(&self) {
        while !self.set.get() {
            self.notify.notified().await;
        }
    }
}
