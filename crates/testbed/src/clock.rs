//! The clock of a play: monotonic nanoseconds since its origin. All facts have their times from it.
use std::time::Duration;
use tokio::time::Instant;

/// A time in nanoseconds on the clock of a play, or a span of time in nanoseconds.
pub type Ns = i64;
/// One millisecond.
pub const MS: Ns = 1_000_000;
/// One second.
pub const SECOND: Ns = 1_000 * MS;

/// A monotonic clock with an origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that reads zero at `origin`.
    pub fn new(origin: Instant) -> Clock {
        Clock { origin }
    }

    /// Returns the current time; negative before the origin.
    pub fn now(&self) -> Ns {
        let now = Instant::now();
        match now.checked_duration_since(self.origin) {
            Some(since) => from_duration(since),
            None => -from_duration(self.origin - now),
        }
    }

    /// Returns the instant at which this clock reads `at`.
    pub fn instant(&self, at: Ns) -> Instant {
        if at >= 0 {
            self.origin + to_duration(at)
        } else {
            self.origin.checked_sub(to_duration(-at)).unwrap_or(self.origin)
        }
    }

    /// Sleeps until this clock reads `at`.
    pub async fn sleep_until(&self, at: Ns) {
        tokio::time::sleep_until(self.instant(at)).await;
    }
}

/// Converts a duration to nanoseconds.
pub fn from_duration(span: Duration) -> Ns {
    Ns::try_from(span.as_nanos()).unwrap_or(Ns::MAX)
}

/// Converts a span in nanoseconds to a duration; a negative one becomes zero.
pub fn to_duration(ns: Ns) -> Duration {
    Duration::from_nanos(ns.max(0) as u64)
}

/// Converts seconds to nanoseconds.
pub fn from_seconds(seconds: f64) -> Ns {
    (seconds * SECOND as f64) as Ns
}
