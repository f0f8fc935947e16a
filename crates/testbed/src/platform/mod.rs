//! The logic of the stub platform, without sockets, clocks and threads: it takes events and returns outputs.
pub mod destination;
pub mod limit;
pub mod list;
