//! Measures how long a sender's event loop is blocked, by repeated requests, and attributes the time.
//!
//! The probe has a thread of its own, so that other work of this process does not distort the measurement.
//! The scheduler's counters distinguish a blocked loop from a busy machine: how long the loop ran, and how
//! long the loop or the probe was ready to run without a processor. On a virtual machine a woken thread may
//! also have to wait for its virtual processor, which counts as neither; the lateness of the probe's own
//! wake-ups shows that.
use super::usage::{self, ThreadTimes};
use crate::clock::Clock;
use crate::http::{Connection, Message, Start};
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::runtime;
use tokio::time::{timeout, Instant};

/// Pause between a response and the next request; a delay may be measured too short by up to this much.
const PROBE_INTERVAL: Duration = Duration::from_millis(1);
/// Timeout of a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST: &[u8] = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

/// One request and its response, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ProbeSample {
    pub took_ms: f64,
    /// Processor time of the loop from this request to the next one.
    pub loop_ran_ms: f64,
    /// Time in which the loop was ready to run but had no processor.
    pub loop_waited_ms: f64,
    /// The same for the probe.
    pub probe_waited_ms: f64,
}

/// How long a sender's loop took to respond, over all requests of a probe.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LoopDelays {
    pub asked: usize,
    pub unanswered: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub longest_ms: f64,
    /// The longest processor time of the loop from one request to the next.
    pub most_ran_ms: f64,
    /// The request that took longest, with where its time went.
    pub longest: ProbeSample,
    /// 99th percentile of the lateness of the probe's own wake-ups; `late_longest_ms` is the maximum.
    pub late_p99_ms: f64,
    pub late_longest_ms: f64,
}

impl LoopDelays {
    fn from_samples(samples: &[ProbeSample], unanswered: usize, wakeup_delays: &[f64]) -> LoopDelays {
        let took = sorted(samples.iter().map(|a| a.took_ms));
        let wakeup_delays = sorted(wakeup_delays.iter().copied());
        let longest = samples.iter().max_by(|a, b| a.took_ms.total_cmp(&b.took_ms));
        LoopDelays {
            asked: samples.len(),
            unanswered,
            p50_ms: quantile(&took, 0.5),
            p99_ms: quantile(&took, 0.99),
            longest_ms: quantile(&took, 1.0),
            most_ran_ms: samples.iter().map(|a| a.loop_ran_ms).fold(0.0, f64::max),
            longest: longest.copied().unwrap_or_default(),
            late_p99_ms: quantile(&wakeup_delays, 0.99),
            late_longest_ms: quantile(&wakeup_delays, 1.0),
        }
    }
}

fn sorted(numbers: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sorted: Vec<f64> = numbers.collect();
    sorted.sort_by(f64::total_cmp);
    sorted
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let index = (share * sorted.len().saturating_sub(1) as f64) as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

/// A running probe, which sends `GET /healthz` on one connection, one request after the other, until it is
/// stopped.
pub struct LoopProbe {
    finish: Arc<AtomicBool>,
    thread: JoinHandle<io::Result<LoopDelays>>,
}

impl LoopProbe {
    /// Starts to probe the sender at `address`, whose loop is the main thread of `process`.
    pub fn start(address: SocketAddr, process: u32) -> io::Result<LoopProbe> {
        let finish = Arc::new(AtomicBool::new(false));
        let finished = finish.clone();
        let probe = move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(probe_until(&finished, address, process))
        };
        let thread = thread::Builder::new().name("loop-probe".into()).spawn(probe)?;
        Ok(LoopProbe { finish, thread })
    }

    /// Stops the probe after its current request, which ends within its timeout, and returns the result.
    pub async fn finish(self) -> io::Result<LoopDelays> {
        self.finish.store(true, Ordering::Relaxed);
        let joined = tokio::task::spawn_blocking(|| self.thread.join()).await.map_err(io::Error::other)?;
        joined.map_err(|_| io::Error::other("the probe panicked"))?
    }
}

async fn probe_until(finished: &AtomicBool, address: SocketAddr, process: u32) -> io::Result<LoopDelays> {
    let clock = Clock::new(Instant::now());
    let (mut samples, mut unanswered, mut wakeup_delays) = (Vec::new(), 0, Vec::new());
    let mut connection = None;
    let mut before = (usage::main_thread_times(process)?, usage::current_thread_times()?);
    while !finished.load(Ordering::Relaxed) {
        let begun = Instant::now();
        let response =
            timeout(RESPONSE_TIMEOUT, request_health(&mut connection, address, clock)).await.ok().flatten();
        let paused = Instant::now();
        // Blocking is fine, as nothing else runs on this thread.
        thread::sleep(PROBE_INTERVAL);
        wakeup_delays.push(ms(paused.elapsed().saturating_sub(PROBE_INTERVAL)));
        let after = (usage::main_thread_times(process)?, usage::current_thread_times()?);
        if response.is_some() {
            let (of_loop, of_probe) = (after.0.since(&before.0), after.1.since(&before.1));
            samples.push(sample(paused - begun, of_loop, of_probe));
        } else {
            connection = None;
            unanswered += 1;
        }
        before = after;
    }
    Ok(LoopDelays::from_samples(&samples, unanswered, &wakeup_delays))
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

fn sample(took: Duration, of_loop: ThreadTimes, of_probe: ThreadTimes) -> ProbeSample {
    ProbeSample {
        took_ms: ms(took),
        loop_ran_ms: ms(of_loop.ran),
        loop_waited_ms: ms(of_loop.waited),
        probe_waited_ms: ms(of_probe.waited),
    }
}

async fn request_health(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    clock: Clock,
) -> Option<()> {
    if connection.is_none() {
        *connection = Some(Connection::new(TcpStream::connect(address).await.ok()?, clock));
    }
    let open = connection.as_mut()?;
    open.write(REQUEST).await.ok()?;
    matches!(open.read_response().await, Ok(Message { start: Start::Status(_), .. })).then_some(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn separates_longest_response_from_longest_run() {
        let sample = |took_ms, loop_ran_ms, loop_waited_ms| ProbeSample {
            took_ms,
            loop_ran_ms,
            loop_waited_ms,
            ..ProbeSample::default()
        };
        let all = [sample(9.0, 0.1, 8.5), sample(0.5, 0.2, 0.0), sample(3.0, 2.9, 0.0)];
        let delays = LoopDelays::from_samples(&all, 1, &[0.1, 4.0]);
        assert_eq!((delays.asked, delays.unanswered), (3, 1));
        assert_eq!((delays.longest_ms, delays.longest.loop_waited_ms), (9.0, 8.5));
        assert_eq!((delays.p50_ms, delays.most_ran_ms, delays.late_longest_ms), (3.0, 2.9, 4.0));
    }
}
