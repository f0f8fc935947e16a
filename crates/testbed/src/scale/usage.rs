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

/// Processor time of a process's first thread so far, to the nanosecond.
pub fn first_thread(process: u32) -> io::Result<Duration> {
    Ok(Duration::from_nanos(scheduled(&std::fs::read_to_string(format!("/proc/{process}/schedstat"))?)))
}

fn scheduled(schedstat: &str) -> u64 {
    schedstat.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Processor time so far of this process's threads whose name begins so; threads that have ended are not counted.
pub fn threads(name: &str) -> io::Result<Duration> {
    let mut sum = 0;
    for task in std::fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        // It may end while it is looked at.
        let Ok(own) = std::fs::read_to_string(path.join("comm")) else { continue };
        if own.starts_with(name) {
            sum += scheduled(&std::fs::read_to_string(path.join("schedstat")).unwrap_or_default());
        }
    }
    Ok(Duration::from_nanos(sum))
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
        assert!(
            processor(std::process::id()).is_ok()
                && first_thread(std::process::id()).unwrap() > Duration::ZERO
        );
        assert!(machine_memory().unwrap() > own.now);
    }
}
