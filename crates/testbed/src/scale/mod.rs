//! Scale measurements of one sender and of a fleet, at the sizes that `docs/CAPACITY.md` covers.
//!
//! `deployment`, `change_log`, `traffic`, `module` and `fit` use no sockets; `list_service`, `fleet`, `load`,
//! `loop_probe`, `real_sender` and `sender_bench` add sockets and processes. The examples `scale_sender`,
//! `scale_fleet` and `scale_backlog` run the full sizes by hand, and `tests/scale.rs` runs small ones.
pub mod allocation;
pub mod change_log;
pub mod deployment;
pub mod fit;
pub mod fleet;
pub mod list_service;
pub mod load;
pub mod loop_probe;
pub mod module;
pub mod real_sender;
pub mod sender_bench;
pub mod traffic;
pub mod usage;
