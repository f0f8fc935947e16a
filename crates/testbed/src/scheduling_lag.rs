//! How late the testbed itself was: what it did at a planned time is measured against that time.
use crate::clock::{Ns, MS};
use hdrhistogram::Histogram;
use std::sync::Mutex;

/// Past this 99th percentile the play is void: the stand-ins, not the senders, were slow.
pub const MAX_P99: Ns = 20 * MS;
/// Figures past it are kept as it: one minute in microseconds.
const MOST_US: u64 = 60_000_000;

pub struct SchedulingLag {
    /// In microseconds.
    seen: Mutex<Histogram<u64>>,
}

impl Default for SchedulingLag {
    fn default() -> SchedulingLag {
        let seen = Histogram::new_with_bounds(1, MOST_US, 3).expect("the bounds are valid");
        SchedulingLag { seen: Mutex::new(seen) }
    }
}

impl SchedulingLag {
    /// Something planned for `planned` was done at `now`.
    pub fn note(&self, planned: Ns, now: Ns) {
        let late = ((now - planned).max(0) / 1_000) as u64;
        self.seen.lock().expect("no holder panics").saturating_record(late);
    }

    /// The given percentile (0 to 100), in nanoseconds.
    pub fn percentile(&self, percent: f64) -> Ns {
        self.seen.lock().expect("no holder panics").value_at_percentile(percent) as Ns * 1_000
    }
}
