//! Calls in flight, connections and link delays in simulated time.
use crate::clock::{Ns, MS};
use crate::facts::MessageId;
use crate::platform::destination::CallNumber;
use crate::relay::shape::{Flow, Shape};
use crate::relay::LinkCondition;
use sender::api::MsgId;
use std::collections::HashMap;

/// Delay of one direction on loopback, including both processes.
pub const ONE_WAY_DELAY: Ns = MS / 10;

/// A call, from its start to its end at the sender.
#[derive(Clone, Debug)]
pub struct Call {
    pub sender: u32,
    /// Which of the sender's processes sent it.
    pub incarnation: u32,
    pub id: MsgId,
    pub wire_id: MessageId,
    /// Number of attempts of the message before this one.
    pub attempt: u32,
    pub endpoint: u32,
    /// Index of the endpoint among its destination's.
    pub index: usize,
    pub sent: Ns,
    pub due: Ns,
    pub work: Ns,
    /// The call has a connection.
    pub connected: bool,
    /// The endpoint has received the call and not yet answered it.
    pub at_endpoint: bool,
    /// The endpoint had as many connections as it accepts when this one was opened.
    pub over_connection_limit: bool,
}

/// The connections between senders and endpoints.
#[derive(Default)]
pub struct ConnectionPools {
    /// By sender and endpoint: since when each idle connection has been idle.
    idle: HashMap<(u32, u32), Vec<Ns>>,
    /// By endpoint: number of connections, including those in use.
    counts: HashMap<u32, usize>,
}

impl ConnectionPools {
    /// Takes an idle connection that is still open. Returns false if there is none.
    pub fn reuse(&mut self, now: Ns, sender: u32, endpoint: u32, idle_close: Ns) -> bool {
        let Some(idle) = self.idle.get_mut(&(sender, endpoint)) else { return false };
        let before = idle.len();
        // A sender closes idle connections before the endpoint does, after half of its idle timeout.
        idle.retain(|since| now - since < idle_close / 2);
        *self.counts.entry(endpoint).or_default() -= before - idle.len();
        idle.pop().is_some()
    }

    /// Opens a connection and returns how many the endpoint had before.
    pub fn open(&mut self, endpoint: u32) -> usize {
        let count = self.counts.entry(endpoint).or_default();
        *count += 1;
        *count - 1
    }

    /// Returns a connection to the idle ones.
    pub fn keep(&mut self, now: Ns, sender: u32, endpoint: u32) {
        self.idle.entry((sender, endpoint)).or_default().push(now);
    }

    /// Ends a connection in use.
    pub fn end(&mut self, endpoint: u32) {
        let count = self.counts.entry(endpoint).or_default();
        *count -= 1;
    }

    /// Ends the idle connections of a sender to an endpoint.
    pub fn close(&mut self, sender: u32, endpoint: u32) {
        let idle = self.idle.remove(&(sender, endpoint)).map_or(0, |i| i.len());
        let count = self.counts.entry(endpoint).or_default();
        *count -= idle;
    }
}

/// Returns the delay of a message in one direction of a link, in addition to `ONE_WAY_DELAY`, or `None` if
/// that direction is cut.
pub fn link_delay(shape: &Shape, flow: &mut Flow, now: Ns) -> Option<Ns> {
    // Size of a request with its headers, which goes out in one segment.
    const MESSAGE_BYTES: usize = 1_000;
    (!shape.cut).then(|| flow.segment_arrival(now, MESSAGE_BYTES, shape) - now)
}

/// Returns true if a connection can be established over a link. `None` stands for a link without faults.
pub fn connects(condition: Option<&LinkCondition>) -> bool {
    condition.is_none_or(LinkCondition::accepts_connections)
}

/// Calls in flight.
pub type Calls = HashMap<CallNumber, Call>;
