//! The state that one process hands to the next in an upgrade, and what the old process keeps.
use crate::ended_messages::{EndedMessage, EndedMessages};
use crate::input::Input;
use crate::policy_clock::PolicyClock;
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
use tokio::time::Instant;

/// Messages that have not ended, by number, each with its deadline on the policy's clock and its count of
/// attempts.
pub type HeldMessages = BTreeMap<u64, (Ns, u32)>;
/// For each endpoint with a lowered bound on idle time: the bound, and how long ago it was set.
pub type IdleBounds = Vec<(EndpointId, Duration, Duration)>;

/// Everything that the next process needs besides the journal.
#[derive(Serialize, Deserialize)]
pub struct HandoverState {
    /// The settings as JSON. A process with other settings can't use the state.
    #[serde(rename = "settings")]
    pub settings_json: String,
    #[serde(rename = "module")]
    pub policy: Sender,
    /// A time of the policy's clock and the Unix time in nanoseconds that it corresponds to; the clock
    /// continues.
    pub clock: (Ns, u64),
    #[serde(rename = "numbered")]
    pub catalogue: NumberedCatalogue,
    pub held: HeldMessages,
    /// Attempts in flight: number of the message, number of the attempt, endpoint.
    #[serde(rename = "calls")]
    pub attempts_in_flight: Vec<(u64, u32, EndpointId)>,
    /// The number of the next message.
    pub next_id: u64,
    #[serde(rename = "keeps")]
    pub idle_bounds: IdleBounds,
    /// Messages that ended recently. An earlier process did not keep them.
    #[serde(default)]
    pub ended: Vec<EndedMessage>,
    /// Whether this process reads the reports of the next one. An earlier version does not.
    #[serde(default)]
    pub accepts_reports: bool,
}

/// The state with which a process continues the work of another one, or its own after a failed upgrade.
pub struct InheritedState {
    pub settings_json: String,
    pub policy: Sender,
    pub clock: PolicyClock,
    pub catalogue: NumberedCatalogue,
    pub held: HeldMessages,
    /// Attempts in flight of the other process.
    pub attempts_in_flight: Vec<(u64, u32, EndpointId)>,
    pub next_id: u64,
    pub idle_bounds: IdleBounds,
    pub ended: EndedMessages,
}

impl HandoverState {
    /// Converts the state of another process, which was requested and received at these instants. `unix_ns`
    /// is the Unix time of its arrival in nanoseconds.
    pub fn into_inherited(self, requested_at: Instant, received_at: Instant, unix_ns: u64) -> InheritedState {
        let (policy_time, sent_unix_ns) = self.clock;
        // The wall clock may have been stepped meanwhile, but the state was not sent before it was requested.
        let in_transit = Duration::from_nanos(unix_ns.saturating_sub(sent_unix_ns));
        let in_transit = in_transit.min(received_at.saturating_duration_since(requested_at));
        InheritedState {
            settings_json: self.settings_json,
            policy: self.policy,
            clock: PolicyClock::continued(received_at, policy_time + in_transit.as_nanos() as Ns),
            catalogue: self.catalogue,
            held: self.held,
            attempts_in_flight: self.attempts_in_flight,
            next_id: self.next_id,
            idle_bounds: self.idle_bounds,
            ended: EndedMessages::restore(self.ended),
        }
    }
}

/// Maximum number of endpoints of a list that is handed over whole. A longer one would stall both processes
/// and exceed the maximum length of a frame.
const MAX_WHOLE_LIST: usize = 10_000;

/// Endpoints of the list under the policy's numbers: all of them, or those that the policy knows.
#[derive(Serialize, Deserialize, Default)]
pub struct NumberedCatalogue {
    pub endpoints: Vec<NumberedEndpoint>,
    /// Whether these are all endpoints of the list.
    pub whole: bool,
    /// Greater than every number that was ever assigned.
    pub next_id: EndpointId,
    /// The generation of the list, if known.
    pub generation: Option<u64>,
}

/// An endpoint as the list describes it, under its number.
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

impl NumberedCatalogue {
    /// Takes the whole list if it is short enough, or else the endpoints in `known`.
    pub fn from_catalogue(
        catalogue: &Catalogue,
        known: impl Iterator<Item = EndpointId>,
    ) -> NumberedCatalogue {
        if catalogue.len() <= MAX_WHOLE_LIST {
            return NumberedCatalogue::with_all_of(catalogue, true);
        }
        NumberedCatalogue::with_endpoints(catalogue, known, false)
    }

    /// Takes all endpoints of a catalogue, which are the whole list or a part of it.
    pub fn with_all_of(catalogue: &Catalogue, whole: bool) -> NumberedCatalogue {
        NumberedCatalogue::with_endpoints(catalogue, catalogue.ids(), whole)
    }

    fn with_endpoints(
        catalogue: &Catalogue,
        numbers: impl Iterator<Item = EndpointId>,
        whole: bool,
    ) -> NumberedCatalogue {
        let listed = numbers.filter_map(|id| Some(NumberedEndpoint::new(id, &catalogue.get(id)?)));
        NumberedCatalogue {
            endpoints: listed.collect(),
            whole,
            next_id: catalogue.next_id(),
            generation: catalogue.generation(),
        }
    }

    /// Returns the endpoints as a catalogue under the same numbers.
    pub fn to_catalogue(&self) -> Catalogue {
        let entries = self.endpoints.iter().map(|listed| (listed.number, listed.endpoint()));
        let mut catalogue = Catalogue::from_numbered(entries, self.next_id);
        catalogue.apply_changes([], [], self.generation);
        catalogue
    }
}

/// What the process that has handed over still works on: its attempts in flight, and inputs that still reach
/// it.
pub struct RemainingWork {
    pub inbox: mpsc::Receiver<Input>,
    /// Inputs that came by the control address.
    pub control_inbox: mpsc::Receiver<Input>,
    /// By number of the message and of the attempt.
    pub attempts_in_flight: HashMap<(u64, u32), AttemptInFlight>,
}

/// One message's part in a call that is in flight.
#[derive(Clone)]
pub struct AttemptInFlight {
    pub endpoint: EndpointId,
    pub cancel: Rc<CancellationToken>,
}

/// Tells a call that the policy has cancelled it. Only one task may wait for it.
#[derive(Default)]
pub struct CancellationToken {
    cancelled: Cell<bool>,
    notify: Notify,
}

impl CancellationToken {
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.notify.notify_one();
    }

    /// Waits until the token is cancelled.
    pub async fn cancelled(&self) {
        while !self.cancelled.get() {
            self.notify.notified().await;
        }
    }
}

#[cfg(test)]
mod tests;
