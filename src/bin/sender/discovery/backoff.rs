//! Pauses between calls to discovery where each call costs it work: exponential backoff with full jitter, as
//! all senders of a fleet fail together.
use std::time::Duration;

/// How long a watch waits for changes in a small fleet.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// How long a call that asks for an immediate answer may take before it counts as unanswered: discovery may
/// take 2 s to reject a call.
pub const IMMEDIATE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How much longer than its wait a watch may take before it counts as silent. While discovery is down its
/// agent does not answer, and a watch that began in that time may never be answered.
pub const WATCH_GRACE: Duration = Duration::from_secs(1);
/// The longest pause after a watch that was silent or brought an unreadable answer. Each sender draws its own
/// pause. A change that the watch missed must be known 2 s after the end of its wait, of which `WATCH_GRACE`
/// has passed by then.
const MAX_WATCH_RESTART_PAUSE: Duration = Duration::from_millis(500);
/// The mean time between two watches, and between two calls after failures as far as `MAX_PAUSE` allows,
/// counted over all senders of a fleet.
const FLEET_PAUSE: Duration = Duration::from_millis(500);
/// Maximum time from when discovery has a change and can be reached again until a sender knows the change,
/// whatever failed before.
const MAX_NEWS_DELAY: Duration = Duration::from_secs(6);
/// The longest pause after a failed call, however many have failed in a row. In the worst case discovery
/// returns just after the start of a call that takes all of `IMMEDIATE_TIMEOUT` to fail. The remaining second
/// is for the next call and for applying its changes.
const MAX_PAUSE: Duration =
    MAX_NEWS_DELAY.saturating_sub(IMMEDIATE_TIMEOUT).saturating_sub(Duration::from_secs(1));
/// The shortest pause after a failed call, except after the first in a row if its answer did not come or
/// can't be used.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Upper bounds of the first and of the longest pause after a list that exceeds its limits; the bound doubles
/// with each such list in a row, and a pause is drawn between half its bound and the bound. The next list is
/// most likely too large as well, and fetching it may cost as much as the changes of a day.
const FIRST_REFUSAL_PAUSE: Duration = Duration::from_secs(15);
const MAX_REFUSAL_PAUSE: Duration = Duration::from_secs(300);

/// Draws the pauses of one sender, and how long its watches wait.
pub struct Backoff {
    /// The mean time between two calls of one sender that gives a fleet of up to 100 senders one call per
    /// `FLEET_PAUSE`.
    interval: Duration,
    /// Calls that failed in a row.
    failures: u32,
    /// Lists in a row that exceeded their limits.
    refusals: u32,
    random: fastrand::Rng,
}

impl Backoff {
    /// Creates the backoff of one sender in a fleet of `senders`.
    pub fn new(senders: usize, seed: u64) -> Backoff {
        let interval = FLEET_PAUSE * senders.clamp(1, 100) as u32;
        Backoff { interval, failures: 0, refusals: 0, random: fastrand::Rng::with_seed(seed) }
    }

    /// Returns how long the next watch waits. In a large fleet it is drawn, as senders that started together
    /// would stay in step otherwise.
    pub fn watch_wait(&mut self) -> Duration {
        if self.interval <= WATCH_WAIT {
            return WATCH_WAIT;
        }
        self.interval.mul_f64(0.5 + self.random.f64() / 2.0)
    }

    /// Returns the pause after a call that was not answered in time, before a younger one begins beside it.
    pub fn pause_after_silence(&mut self) -> Duration {
        MAX_WATCH_RESTART_PAUSE.mul_f64(self.random.f64())
    }

    /// Returns the pause after an answer that can't be used. It is short for the first failure.
    pub fn pause_after_unusable(&mut self) -> Duration {
        if self.failures > 0 {
            return self.pause_after_failure();
        }
        self.failures = 1;
        MAX_WATCH_RESTART_PAUSE.mul_f64(self.random.f64())
    }

    /// Returns the pause after another failed call, drawn up to a bound that doubles each time.
    pub fn pause_after_failure(&mut self) -> Duration {
        let bound = (self.interval * (1 << self.failures.min(8))).min(MAX_PAUSE);
        self.failures += 1;
        bound.mul_f64(self.random.f64()).max(MIN_PAUSE)
    }

    /// Returns the pause after a list that exceeds its limits. It grows to minutes.
    pub fn pause_after_refusal(&mut self) -> Duration {
        let bound = (FIRST_REFUSAL_PAUSE * (1 << self.refusals.min(8))).min(MAX_REFUSAL_PAUSE);
        self.refusals += 1;
        bound.mul_f64(0.5 + self.random.f64() / 2.0)
    }

    /// Returns a random number from 0 to 1, other than the one that other senders draw.
    pub fn random_share(&mut self) -> f64 {
        self.random.f64()
    }

    /// Resets the backoff, after a list that was accepted and at a new address.
    pub fn reset(&mut self) {
        (self.failures, self.refusals) = (0, 0);
    }
}

#[cfg(test)]
mod tests;
