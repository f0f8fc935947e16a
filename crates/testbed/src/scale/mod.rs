//! Scale tests: one sender, and a fleet of them, at the sizes that `docs/CAPACITY.md` is worked out for.
//!
//! `deployment`, `change_log`, `traffic`, `module` and `fit` hold no sockets; `list_service`, `fleet`, `load`, `loop_probe`,
//! `real_sender` and `sender_bench` are the sockets and processes round them. The examples `scale_sender`, `scale_fleet`
//! and `scale_backlog` run them by hand in full size, `tests/scale.rs` in a small one.
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
