//! Links that can be hurt: a relay in user space between two processes. `shape` decides when and whether bytes pass;
//! `tcp` and `udp` are the sockets.
pub mod shape;
mod tcp;
mod udp;

pub use tcp::Tcp;
pub use udp::Udp;

use crate::clock::{Ns, MS};
use crate::spec::EventKind;
use shape::Shape;

/// A link as it is now. Both drivers follow a watch of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Condition {
    /// From whoever connects to the relay, and back to it.
    pub to: Shape,
    pub back: Shape,
    /// Raised once all connections of the link are to be reset.
    pub breaks: u32,
}

impl Condition {
    /// Something begins or ends; `size` as in the experiment.
    pub fn strike(&mut self, kind: EventKind, size: f64, begins: bool) {
        for (way, cuts) in [(&mut self.to, EventKind::CutTo), (&mut self.back, EventKind::CutBack)] {
            match kind {
                EventKind::Cut => way.cut = begins,
                k if k == cuts => way.cut = begins,
                EventKind::Delay => {
                    way.delay = if begins { (size * MS as f64) as Ns } else { 0 };
                    way.jitter = way.delay / 2;
                }
                EventKind::Loss => way.loss = if begins { size } else { 0.0 },
                EventKind::Trickle => way.bandwidth = begins.then_some(size),
                _ => {}
            }
        }
        if kind == EventKind::Break && begins {
            self.breaks += 1;
        }
    }

    /// While either way is cut no connection comes up, as that takes both.
    pub fn connects(&self) -> bool {
        !self.to.cut && !self.back.cut
    }
}
