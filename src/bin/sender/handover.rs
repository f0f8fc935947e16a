//! Upgrades: a new process of the same sender takes over from the running one.
//!
//! The process that holds the lock on `owner` in the state folder owns the journal and makes the decisions. A
//! process that finds the lock taken connects to the socket `handover` in the same folder and asks the owner
//! to hand over the policy's state, the clients' listener, and each client connection once it is between two
//! requests.
//!
//! From then on the old process decides nothing. It finishes its calls in flight, reports how they ended, and
//! forwards the messages and operators' calls that still reach it. The new one reports to it what it learns.
//! If the new process is lost, the old one takes the lock and the journal back and goes on, bound by all that
//! either process was told or did. If the old one dies, its calls count as lost connections in the new one.
mod frame;
mod predecessor;
mod report;
mod rollback;
mod successor;
mod transport;

pub use predecessor::{claim, follow_predecessor, FrameTargets, Predecessor};
pub use report::{NamedRoute, Report, ReportWriter};
pub use rollback::{LostSuccessor, Rollback};
pub use successor::{listen, next_request, serve_successor, HandoverEnd, OldProcess, Successor};

use std::time::Duration;

/// How long the old process may take to hand over, and a new one to send its request.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the old process is asked again, before accepting is tried again after an error, and between
/// an old process's checks whether it may end.
pub const RETRY_PAUSE: Duration = Duration::from_millis(20);
