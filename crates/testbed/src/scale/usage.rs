//! What a process uses, as the kernel counts it.
use std::io;
use std::time::Duration;

/// Ticks a second that `/proc` counts processor time in.
const TICKS: f64 = 100.0;

/// Resident memory in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    pub now: u64,
    pub most: u64,
}

fn missing(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("/proc does not tell {what}"))
}

fn field(status: &str, name: &str) -> io::Result<u64> {
    let line = status.lines().find_map(|l| l.strip_prefix(name)).ok_or_else(|| missing(name))?;
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").trim().parse().map_err(|_| missing(name))?;
    Ok(kilobytes * 1_024)
}

pub fn memory(process: u32) -> io::Result<Memory> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    Ok(Memory { now: field(&status, "VmRSS:")?, most: field(&status, "VmHWM:")? })
}

/// Processor time of a process so far, its ended threads included.
pub fn processor(process: u32) -> io::Result<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The name may hold anything; what follows its bracket are numbers.
    let (_, rest) = stat.rsplit_once(')').ok_or_else(|| missing("the name's end"))?;
    let ticks = |at: usize| rest.split_whitespace().nth(at).and_then(|f| f.parse::<f64>().ok());
    let (user, system) = (ticks(11), ticks(12));
    let all = user.zip(system).map(|(u, s)| u + s).ok_or_else(|| missing("processor time"))?;
    Ok(Duration::from_secs_f64(all / TICKS))
}

/// A thread's time so far, as the scheduler counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scheduled {
    /// On a processor.
    pub ran: Duration,
    /// Ready to run, without a processor.
    pub waited: Duration,
}

impl Scheduled {
    pub fn since(&self, earlier: &Scheduled) -> Scheduled {
        Scheduled {
            ran: self.ran.saturating_sub(earlier.ran),
            waited: self.waited.saturating_sub(earlier.waited),
        }
    }
}

/// Of a process's first thread.
pub fn first_thread(process: u32) -> io::Result<Scheduled> {
    scheduled(&std::fs::read_to_string(format!("/proc/{process}/schedstat"))?)
}

/// Of the thread that asks.
pub fn this_thread() -> io::Result<Scheduled> {
    scheduled(&std::fs::read_to_string("/proc/thread-self/schedstat")?)
}

fn scheduled(schedstat: &str) -> io::Result<Scheduled> {
    let mut spans = schedstat.split_whitespace().map_while(|n| n.parse().ok().map(Duration::from_nanos));
    let (ran, waited) = spans.next().zip(spans.next()).ok_or_else(|| missing("a thread's time"))?;
    Ok(Scheduled { ran, waited })
}

/// Descriptors that a process has open.
pub fn descriptors(process: u32) -> io::Result<usize> {
    Ok(std::fs::read_dir(format!("/proc/{process}/fd"))?.count())
}

/// Processor time so far of this process's threads whose name begins so; threads that have ended are not counted.
pub fn threads(name: &str) -> io::Result<Duration> {
    let mut sum = Duration::ZERO;
    for task in std::fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        // It may end while it is looked at.
        let Ok(own) = std::fs::read_to_string(path.join("comm")) else { continue };
        if own.starts_with(name) {
            let own = std::fs::read_to_string(path.join("schedstat"));
            sum += own.and_then(|own| scheduled(&own)).unwrap_or_default().ran;
        }
    }
    Ok(sum)
}

/// Memory of the whole machine in bytes.
pub fn machine_memory() -> io::Result<u64> {
    field(&std::fs::read_to_string("/proc/meminfo")?, "MemTotal:")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn this_process_is_seen() {
        let own = memory(std::process::id()).unwrap();
        assert!(own.now > 0 && own.most >= own.now);
        assert!(processor(std::process::id()).is_ok());
        assert!(first_thread(std::process::id()).unwrap().ran > Duration::ZERO);
        assert!(this_thread().unwrap().ran > Duration::ZERO);
        assert!(descriptors(std::process::id()).unwrap() > 2);
        assert!(machine_memory().unwrap() > own.now);
    }
}
