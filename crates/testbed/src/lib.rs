//! Proving ground: the platform's stand-ins on loopback round real senders, with faults, load and a judge.
//!
//! `docs/design/proving-ground.md` says what is promised. The cores (`platform`, `judge`, `score`, `plan`)
//! take time and randomness as arguments; `endpoints`, `discovery`, `clients`, `strangers` and `process` are
//! the sockets and processes that feed them; `play` puts them together.
pub mod addresses;
pub mod capacity;
pub mod client_retry;
pub mod clients;
pub mod clock;
pub mod compare;
pub mod discovery;
pub mod endpoints;
pub mod facts;
pub mod http;
pub mod judge;
pub mod links;
pub mod machine;
pub mod messages;
pub mod plan;
pub mod platform;
pub mod play;
pub mod process;
pub mod program;
pub mod record;
pub mod relay;
pub mod report;
pub mod scale;
pub mod scheduling_lag;
pub mod score;
pub mod seed;
pub mod sim;
pub mod spec;
pub mod strangers;
