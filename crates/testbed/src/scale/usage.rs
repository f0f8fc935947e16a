//! Resource usage of processes and threads, read from `/proc`.
use std::io;
use std::time::Duration;

/// Unit in which `/proc` counts processor time, in ticks per second.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Resident memory in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResidentMemory {
    pub current: u64,
    pub peak: u64,
}

fn missing(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("/proc has no readable {what}"))
}

/// Reads a field in kB, and returns it in bytes.
fn field(status: &str, name: &str) -> io::Result<u64> {
    let line = status.lines().find_map(|l| l.strip_prefix(name)).ok_or_else(|| missing(name))?;
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").trim().parse().map_err(|_| missing(name))?;
    Ok(kilobytes * 1_024)
}

/// Returns the resident memory of a process.
pub fn memory(process: u32) -> io::Result<ResidentMemory> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    Ok(ResidentMemory { current: field(&status, "VmRSS:")?, peak: field(&status, "VmHWM:")? })
}

/// Returns the processor time of a process so far, including threads that have ended.
pub fn processor_time(process: u32) -> io::Result<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The command name may contain any characters; only numbers follow its closing bracket.
    let (_, rest) = stat.rsplit_once(')').ok_or_else(|| missing("end of the command name"))?;
    let ticks = |at: usize| rest.split_whitespace().nth(at).and_then(|f| f.parse::<f64>().ok());
    let (user, system) = (ticks(11), ticks(12));
    let total = user.zip(system).map(|(u, s)| u + s).ok_or_else(|| missing("processor time"))?;
    Ok(Duration::from_secs_f64(total / CLOCK_TICKS_PER_SECOND))
}

/// Scheduling times of a thread so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ThreadTimes {
    /// Time on a processor.
    pub ran: Duration,
    /// Time in which it was ready to run but had no processor.
    pub waited: Duration,
}

impl ThreadTimes {
    /// Returns the times since an earlier reading.
    pub fn since(&self, earlier: &ThreadTimes) -> ThreadTimes {
        ThreadTimes {
            ran: self.ran.saturating_sub(earlier.ran),
            waited: self.waited.saturating_sub(earlier.waited),
        }
    }
}

/// Returns the times of a process's main thread.
pub fn main_thread_times(process: u32) -> io::Result<ThreadTimes> {
    parse_schedstat(&std::fs::read_to_string(format!("/proc/{process}/schedstat"))?)
}

/// Returns the times of the calling thread.
pub fn current_thread_times() -> io::Result<ThreadTimes> {
    parse_schedstat(&std::fs::read_to_string("/proc/thread-self/schedstat")?)
}

fn parse_schedstat(schedstat: &str) -> io::Result<ThreadTimes> {
    let mut spans = schedstat.split_whitespace().map_while(|n| n.parse().ok().map(Duration::from_nanos));
    let (ran, waited) = spans.next().zip(spans.next()).ok_or_else(|| missing("schedstat of a thread"))?;
    Ok(ThreadTimes { ran, waited })
}

/// Returns the number of descriptors that a process has open.
pub fn descriptors(process: u32) -> io::Result<usize> {
    Ok(std::fs::read_dir(format!("/proc/{process}/fd"))?.count())
}

/// Returns the processor time so far of this process's running threads whose name starts with `name`.
pub fn processor_time_of_threads(name: &str) -> io::Result<Duration> {
    let mut sum = Duration::ZERO;
    for task in std::fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        // The thread may end between these reads.
        let Ok(thread_name) = std::fs::read_to_string(path.join("comm")) else { continue };
        if thread_name.starts_with(name) {
            let schedstat = std::fs::read_to_string(path.join("schedstat"));
            sum += schedstat.and_then(|text| parse_schedstat(&text)).unwrap_or_default().ran;
        }
    }
    Ok(sum)
}

/// Returns the total memory of the machine in bytes.
pub fn machine_memory() -> io::Result<u64> {
    field(&std::fs::read_to_string("/proc/meminfo")?, "MemTotal:")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reads_usage_of_this_process() {
        let own = memory(std::process::id()).unwrap();
        assert!(own.current > 0 && own.peak >= own.current);
        assert!(processor_time(std::process::id()).is_ok());
        assert!(main_thread_times(std::process::id()).unwrap().ran > Duration::ZERO);
        assert!(current_thread_times().unwrap().ran > Duration::ZERO);
        assert!(descriptors(std::process::id()).unwrap() > 2);
        assert!(machine_memory().unwrap() > own.current);
    }
}
