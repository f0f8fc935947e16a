//! Capacity of the machine: how busy it was, and how many senders it could run at an experiment's traffic.
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::io;

/// Share of the processors that a run may use and still be on time; bursts go far above the mean.
const USABLE_PROCESSOR_SHARE: f64 = 0.6;
/// Mean number of descriptors that the testbed needs for a link besides its listener's. Not every link is
/// connected at a time, while a relayed connection has three.
const CONNECTION_DESCRIPTORS_PER_LINK: u64 = 1;
/// Descriptors for files, pipes and timers.
const OTHER_DESCRIPTORS: u64 = 256;

/// Processor time of the whole machine since boot, in kernel ticks.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorTicks {
    busy: u64,
    total: u64,
}

impl ProcessorTicks {
    /// Reads the first line of `/proc/stat`.
    pub fn now() -> io::Result<ProcessorTicks> {
        let text = std::fs::read_to_string("/proc/stat")?;
        parse(&text).ok_or_else(|| {
            io::Error::new(io::ErrorKind::InvalidData, "/proc/stat does not start with a line for all cpus")
        })
    }

    /// Returns the share of processor time in use since an earlier reading.
    pub fn busy_since(&self, earlier: &ProcessorTicks) -> f64 {
        let total = self.total.saturating_sub(earlier.total);
        self.busy.saturating_sub(earlier.busy) as f64 / total.max(1) as f64
    }
}

fn parse(text: &str) -> Option<ProcessorTicks> {
    let fields = text.lines().next()?.strip_prefix("cpu ")?;
    let ticks: Vec<u64> = fields.split_whitespace().map_while(|f| f.parse().ok()).collect();
    // user, nice, system, idle, iowait, irq, softirq, steal; guest time is included in user time.
    let total: u64 = ticks.iter().take(8).sum();
    let idle = ticks.get(3)? + ticks.get(4)?;
    Some(ProcessorTicks { busy: total - idle, total })
}

/// Returns how many senders the processors can run, given the busy share that `played` senders caused.
pub fn sender_capacity(played: usize, busy: f64) -> usize {
    (played as f64 * USABLE_PROCESSOR_SHARE / busy.max(1e-3)) as usize
}

/// Returns how many senders the file descriptors suffice for, with `endpoints` endpoints each.
///
/// Raises the soft limit of this process to the hard limit.
pub fn sender_capacity_by_descriptors(endpoints: usize) -> usize {
    let mut limits = getrlimit(Resource::Nofile);
    let raised = Rlimit { current: limits.maximum, ..limits };
    // If raising it fails, the current limit counts.
    if setrlimit(Resource::Nofile, raised).is_ok() {
        limits = raised;
    }
    let limit = limits.current.unwrap_or(u64::MAX);
    // Each sender has a link to each endpoint, one to discovery, and one from its clients.
    let per_sender = (endpoints as u64 + 2) * (1 + CONNECTION_DESCRIPTORS_PER_LINK);
    usize::try_from(limit.saturating_sub(OTHER_DESCRIPTORS) / per_sender).unwrap_or(usize::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn busy_share_is_computed_from_two_readings() {
        let first = parse("cpu  100 0 50 800 50 0 0 0 30 0\ncpu0 1 1").unwrap();
        let second = parse("cpu  160 0 80 900 60 0 0 0 90 0").unwrap();
        assert!((second.busy_since(&first) - 0.45).abs() < 1e-9);
        assert!(parse("intr 5").is_none());
        assert!(ProcessorTicks::now().is_ok());
        assert_eq!(sender_capacity(40, 0.1), 240);
    }
}
