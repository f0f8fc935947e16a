//! Calls and connections in simulated time: what stands between a sender and an endpoint.
use crate::clock::{Ns, MS};
use crate::facts::MessageId;
use crate::platform::destination::CallNumber;
use crate::relay::shape::{Lane, Shape};
use crate::relay::Condition;
use sender::api::MsgId;
use std::collections::HashMap;

/// One way on loopback, through both processes.
pub const WAY: Ns = MS / 10;

/// A call that is out, from its send to its end at the sender.
#[derive(Clone, Debug)]
pub struct Call {
    pub sender: u32,
    /// The process that sent it.
    pub life: u32,
    pub id: MsgId,
    pub wire: MessageId,
    pub attempt: u32,
    pub endpoint: u32,
    pub place: usize,
    pub sent: Ns,
    pub due: Ns,
    pub work: Ns,
    /// It has a connection.
    pub connected: bool,
    /// It has come to the endpoint, and the endpoint still has to do with it.
    pub there: bool,
    /// The endpoint's connections were all taken.
    pub crowded: bool,
}

/// Idle connections of each sender to each endpoint, with the time since when each has stood.
#[derive(Default)]
pub struct Pools {
    idle: HashMap<(u32, u32), Vec<Ns>>,
    /// Connections at each endpoint, in use ones included.
    held: HashMap<u32, usize>,
}

impl Pools {
    /// Takes a connection that still stands, if there is one.
    pub fn reuse(&mut self, now: Ns, sender: u32, endpoint: u32, idle_close: Ns) -> bool {
        let Some(idle) = self.idle.get_mut(&(sender, endpoint)) else { return false };
        let before = idle.len();
        // A sender closes them before the endpoint does.
        idle.retain(|since| now - since < idle_close / 2);
        *self.held.entry(endpoint).or_default() -= before - idle.len();
        idle.pop().is_some()
    }

    /// A new connection; how many the endpoint had before.
    pub fn open(&mut self, endpoint: u32) -> usize {
        let held = self.held.entry(endpoint).or_default();
        *held += 1;
        *held - 1
    }

    pub fn keep(&mut self, now: Ns, sender: u32, endpoint: u32) {
        self.idle.entry((sender, endpoint)).or_default().push(now);
    }

    /// A connection in use has ended.
    pub fn end(&mut self, endpoint: u32) {
        let held = self.held.entry(endpoint).or_default();
        *held -= 1;
    }

    /// Ends the idle ones of a sender to an endpoint.
    pub fn close(&mut self, sender: u32, endpoint: u32) {
        let idle = self.idle.remove(&(sender, endpoint)).map_or(0, |i| i.len());
        let held = self.held.entry(endpoint).or_default();
        *held -= idle;
    }
}

/// How long a message takes one way over a link, beyond `WAY`; none where it does not pass.
pub fn passes(shape: &Shape, lane: &mut Lane, now: Ns) -> Option<Ns> {
    // A request with its headers, in one segment.
    const BYTES: usize = 1_000;
    (!shape.cut).then(|| lane.segment(now, BYTES, shape) - now)
}

/// What one call needs to know of the links of its sender.
pub fn connects(condition: Option<&Condition>) -> bool {
    condition.is_none_or(Condition::connects)
}

pub type Calls = HashMap<CallNumber, Call>;
