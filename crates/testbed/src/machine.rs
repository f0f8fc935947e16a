//! What the machine gives: how busy it was, and how many senders of a play's traffic it could hold.
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::io;

/// Share of the processors that a play may keep busy and still be on time: bursts go far above the mean.
const ROOM: f64 = 0.6;
/// Descriptors that the testbed needs for each link besides its listener: a connection, which not all have at a time,
/// while those under relay have three.
const PER_LINK: u64 = 1;
/// Descriptors for files, pipes and timers.
const OWN: u64 = 256;

/// Processor time of the whole machine since it was started, in ticks.
#[derive(Clone, Copy, Debug)]
pub struct Ticks {
    busy: u64,
    all: u64,
}

impl Ticks {
    /// From the first line of `/proc/stat`.
    pub fn now() -> io::Result<Ticks> {
        let text = std::fs::read_to_string("/proc/stat")?;
        parse(&text)
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "/proc/stat has no line for all cpus"))
    }

    /// The share of the processors that was in use since an earlier look.
    pub fn busy_since(&self, earlier: &Ticks) -> f64 {
        let all = self.all.saturating_sub(earlier.all);
        self.busy.saturating_sub(earlier.busy) as f64 / all.max(1) as f64
    }
}

fn parse(text: &str) -> Option<Ticks> {
    let fields = text.lines().next()?.strip_prefix("cpu ")?;
    let ticks: Vec<u64> = fields.split_whitespace().map_while(|f| f.parse().ok()).collect();
    // user, nice, system, idle, iowait, irq, softirq, steal; guests are counted among the users.
    let all: u64 = ticks.iter().take(8).sum();
    let idle = ticks.get(3)? + ticks.get(4)?;
    Some(Ticks { busy: all - idle, all })
}

/// How many senders the processors can hold, where so many kept them this busy.
pub fn senders(played: usize, busy: f64) -> usize {
    (played as f64 * ROOM / busy.max(1e-3)) as usize
}

/// How many senders the descriptors suffice for, with so many endpoints. Raises this process's bound on them as far as
/// it may be.
pub fn senders_by_descriptors(endpoints: usize) -> usize {
    let mut bound = getrlimit(Resource::Nofile);
    let most = Rlimit { current: bound.maximum, ..bound };
    // Without it the bound stays as it is, and is counted with.
    if setrlimit(Resource::Nofile, most).is_ok() {
        bound = most;
    }
    let limit = bound.current.unwrap_or(u64::MAX);
    // Each sender has a link to each endpoint and to discovery, and one from its clients.
    let each = (endpoints as u64 + 2) * (1 + PER_LINK);
    usize::try_from(limit.saturating_sub(OWN) / each).unwrap_or(usize::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_share_in_use_is_read_off_two_looks() {
        let first = parse("cpu  100 0 50 800 50 0 0 0 30 0\ncpu0 1 1").unwrap();
        let then = parse("cpu  160 0 80 900 60 0 0 0 90 0").unwrap();
        assert!((then.busy_since(&first) - 0.45).abs() < 1e-9);
        assert!(parse("intr 5").is_none());
        assert!(Ticks::now().is_ok());
        assert_eq!(senders(40, 0.1), 240);
    }
}
