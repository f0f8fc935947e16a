//! How many connections clients may have.
use super::request_body::BLOCK_BYTES;
use super::MAX_HEAD_BYTES;

/// Memory of a connection's task, of what hyper and the answer keep beside their buffers, and of the allocator.
const TASK_BYTES: usize = 4 << 10;
/// Memory that a connection holds at most beside the further blocks of a body: hyper has a buffer of one size to
/// read and one to write.
const CONNECTION_BYTES: usize = 2 * MAX_HEAD_BYTES + BLOCK_BYTES + TASK_BYTES;
/// Connections that clients may have however little memory there is.
const MIN_CONNECTIONS: usize = 16;
/// The parts of the descriptors for connections that are served, and for those that are only answered 503.
const SERVED_SHARE: usize = 2;
const REJECTED_SHARE: usize = 16;

/// The limits of clients' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of connections that are served.
    pub served: usize,
    /// Maximum number of connections above `served` that are answered 503; further ones wait to be accepted.
    pub rejected: usize,
}

impl ConnectionLimits {
    /// Returns the limits for a number of descriptors that clients share with calls to endpoints, and the bytes
    /// of memory that clients' connections may hold.
    pub fn new(descriptors: usize, memory_bytes: usize) -> ConnectionLimits {
        let (served, rejected) = (descriptors / SERVED_SHARE, descriptors / REJECTED_SHARE);
        let in_memory = (memory_bytes / CONNECTION_BYTES).max(MIN_CONNECTIONS);
        if served + rejected <= in_memory {
            return ConnectionLimits { served, rejected };
        }
        let rejected = in_memory * SERVED_SHARE / (SERVED_SHARE + REJECTED_SHARE);
        ConnectionLimits { served: in_memory - rejected, rejected }
    }
}

#[cfg(test)]
mod tests;
