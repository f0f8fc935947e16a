//! Fault injection on links: a user-space relay between two processes.
//!
//! `shape` decides whether and when bytes arrive; `tcp` and `udp` hold the sockets.
pub mod shape;
mod tcp;
mod udp;

pub use tcp::TcpRelay;
pub use udp::UdpRelay;

use crate::clock::{Ns, MS};
use crate::spec::EventKind;
use shape::Shape;

/// The current condition of a link, which both relays receive over a watch channel.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// The direction from the peer that connects to the relay, towards the target.
    pub forward: Shape,
    /// The direction from the target back to the connecting peer.
    pub reverse: Shape,
    /// How many times all connections of the link have been reset; an increase resets those open now.
    pub resets: u32,
}

impl LinkCondition {
    /// Applies the begin or the end of a fault; the unit of `size` depends on the kind, as in the experiment.
    pub fn apply_fault(&mut self, kind: EventKind, size: f64, begins: bool) {
        for (shape, one_way_cut) in
            [(&mut self.forward, EventKind::CutTo), (&mut self.reverse, EventKind::CutBack)]
        {
            match kind {
                EventKind::Cut => shape.cut = begins,
                k if k == one_way_cut => shape.cut = begins,
                EventKind::Delay => {
                    shape.delay = if begins { (size * MS as f64) as Ns } else { 0 };
                    shape.jitter = shape.delay / 2;
                }
                EventKind::Loss => shape.loss = if begins { size } else { 0.0 },
                EventKind::Trickle => shape.bandwidth = begins.then_some(size),
                _ => {}
            }
        }
        if kind == EventKind::Break && begins {
            self.resets += 1;
        }
    }

    /// Returns true if a connection can be established, for which both directions are needed.
    pub fn accepts_connections(&self) -> bool {
        !self.forward.cut && !self.reverse.cut
    }
}
