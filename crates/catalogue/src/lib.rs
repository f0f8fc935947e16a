//! All endpoints that service discovery lists, in compact form.
//!
//! A [`Catalogue`] is an immutable snapshot. Cloning it costs one reference count, and snapshots share their
//! unchanged pages, so that a change of one entry copies one page and one part of each of two indexes.
//! [`intake`] reads a list as a stream of JSON and builds the next snapshot from it.
mod index;
pub mod intake;
mod interner;
mod limits;
mod page;
mod removed_names;
mod snapshot;

pub use limits::Limits;
pub use snapshot::{Catalogue, Endpoint};

/// Number of an endpoint in this process. A name keeps its number while it is listed and for a while after
/// its removal; the number is never given to another name.
pub type EndpointId = u32;
/// Number of a destination.
pub type DestinationId = u64;

/// Maximum length of an endpoint's name; entries of a list with longer names are left out.
pub const MAX_NAME_BYTES: usize = 64;

/// Size of the two reference counts that an `Arc` allocates next to its value.
const ARC_COUNTS_BYTES: usize = 2 * size_of::<usize>();

/// State of a listed endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The endpoint accepts messages.
    Ready,
    /// The endpoint finishes its calls and gets no new ones.
    Draining,
}
