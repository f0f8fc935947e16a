//! Every endpoint that service discovery lists, in compact form.
//!
//! A [`Catalogue`] is an immutable snapshot: cloning it costs one reference count, and snapshots share the pages that
//! they have in common, so a change of one entry copies one page and two parts of an index. [`intake`] turns a list,
//! read as a stream of JSON, into the next snapshot.
mod departed;
mod index;
pub mod intake;
mod interner;
mod limits;
mod page;
mod snapshot;

pub use limits::Limits;
pub use snapshot::{Catalogue, Endpoint};

/// Number of an endpoint. A name keeps its number while it is listed, and for a while after it left the list; no other
/// name gets that number in the same process.
pub type EndpointId = u32;
/// Number of a destination.
pub type DestinationId = u64;

/// Names of endpoints longer than this many bytes are not taken from a list.
pub const MAX_NAME_BYTES: usize = 64;

/// Bytes that a reference-counted value takes besides itself.
const ARC_COUNTS: usize = 2 * size_of::<usize>();

/// What the list says of a listed endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It may be called.
    Ready,
    /// It finishes what it has and gets nothing new.
    Draining,
}
