//! The policy's clock, which continues over upgrades and restarts.
use sender::api::{Ns, SECOND};
use std::time::Duration;
use tokio::time::Instant;

/// Start of the clock if a process continues no earlier one. Above 0, so that attempts of earlier processes
/// have times before it.
pub const CLOCK_START: Ns = 1_000_000 * SECOND;

/// Converts between instants and the policy's time. It runs on the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct PolicyClock {
    started_at: Instant,
    /// The policy's time at `started_at`.
    start: Ns,
}

impl PolicyClock {
    /// Creates the clock of a process that continues no earlier one.
    pub fn new() -> PolicyClock {
        PolicyClock::continued(Instant::now(), CLOCK_START)
    }

    /// Creates a clock from an instant and the policy's time at it.
    pub fn continued(started_at: Instant, start: Ns) -> PolicyClock {
        PolicyClock { started_at, start }
    }

    /// Returns the present time.
    pub fn now(&self) -> Ns {
        self.time(Instant::now())
    }

    /// Converts an instant to the policy's time.
    pub fn time(&self, at: Instant) -> Ns {
        self.start + at.saturating_duration_since(self.started_at).as_nanos() as Ns
    }

    /// Converts the policy's time to an instant.
    pub fn instant(&self, at: Ns) -> Instant {
        self.started_at + Duration::from_nanos((at - self.start).max(0) as u64)
    }
}
