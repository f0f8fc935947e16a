//! Measures how late the testbed does what is due at a planned time.
use crate::clock::{Ns, MS};
use hdrhistogram::Histogram;
use std::sync::Mutex;

/// Above this 99th percentile a play is void, as the testbed was slow and not the senders.
pub const MAX_P99: Ns = 20 * MS;
/// Longest recorded lag, in microseconds: one minute. Longer ones count as this.
const MAX_US: u64 = 60_000_000;

/// A histogram of lags.
pub struct SchedulingLag {
    /// In microseconds.
    histogram: Mutex<Histogram<u64>>,
}

impl Default for SchedulingLag {
    fn default() -> SchedulingLag {
        let histogram = Histogram::new_with_bounds(1, MAX_US, 3).expect("the bounds are valid");
        SchedulingLag { histogram: Mutex::new(histogram) }
    }
}

impl SchedulingLag {
    /// Records that something planned for `planned` was done at `now`.
    pub fn record(&self, planned: Ns, now: Ns) {
        let lag_us = ((now - planned).max(0) / 1_000) as u64;
        self.histogram.lock().expect("no holder panics").saturating_record(lag_us);
    }

    /// Returns a percentile (0 to 100).
    pub fn percentile(&self, percent: f64) -> Ns {
        self.histogram.lock().expect("no holder panics").value_at_percentile(percent) as Ns * 1_000
    }
}
