//! The testbed: plays experiments against real senders on loopback, or against the decision module in
//! simulated time.
//!
//! A play has a stub platform, clients, faults and a judge; `docs/design/testbed.md` says what is checked.
//! `spec` reads an experiment, and `plan` draws all of a play from it and a seed. `platform`,
//! `judge` and `score` are pure logic that takes time and randomness as arguments. `endpoints`, `discovery`,
//! `clients`, `faulty_clients` and `process` are the sockets and processes around it, and `play` runs them;
//! `sim` plays in simulated time. `scale` and `capacity` measure large deployments.
pub mod addresses;
pub mod capacity;
pub mod client_retry;
pub mod clients;
pub mod clock;
pub mod compare;
pub mod discovery;
pub mod endpoints;
pub mod facts;
pub mod faulty_clients;
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
