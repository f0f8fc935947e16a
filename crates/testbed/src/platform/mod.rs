//! The platform's cores: no sockets, clocks or threads. Events in, actions out.
pub mod destination;
pub mod limit;
pub mod list;
