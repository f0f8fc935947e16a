//! Links that can be hurt: a relay in user space between two processes. `shape` decides when and whether bytes pass;
//! `tcp` and `udp` are the sockets.
pub mod shape;
mod tcp;
mod udp;

pub use tcp::Tcp;
pub use udp::Udp;

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
    /// While either way is cut no connection comes up, as that takes both.
    pub fn connects(&self) -> bool {
        !self.to.cut && !self.back.cut
    }
}
