//! The one clock that judges: nanoseconds since the play's beginning, monotonic.
use std::time::Duration;
use tokio::time::Instant;

/// Nanoseconds since the play began, or a span of them.
pub type Ns = i64;
pub const MS: Ns = 1_000_000;
pub const SECOND: Ns = 1_000 * MS;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that reads zero at `origin`.
    pub fn new(origin: Instant) -> Clock {
        Clock { origin }
    }

    pub fn now(&self) -> Ns {
        let now = Instant::now();
        match now.checked_duration_since(self.origin) {
            Some(since) => from_duration(since),
            None => -from_duration(self.origin - now),
        }
    }

    /// The instant at which this clock reads `at`.
    pub fn instant(&self, at: Ns) -> Instant {
        if at >= 0 {
            self.origin + to_duration(at)
        } else {
            self.origin.checked_sub(to_duration(-at)).unwrap_or(self.origin)
        }
    }

    pub async fn sleep_until(&self, at: Ns) {
        tokio::time::sleep_until(self.instant(at)).await;
    }
}

pub fn from_duration(span: Duration) -> Ns {
    Ns::try_from(span.as_nanos()).unwrap_or(Ns::MAX)
}

/// A span as the standard library has it; a negative one is none.
pub fn to_duration(ns: Ns) -> Duration {
    Duration::from_nanos(ns.max(0) as u64)
}

pub fn from_seconds(s: f64) -> Ns {
    (s * SECOND as f64) as Ns
}
