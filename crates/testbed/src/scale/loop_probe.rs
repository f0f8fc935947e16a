//! How long a sender's loop was held, as seen by asking it again and again, and where that time went.
//!
//! The probe has a thread of its own, so that what else this process does is no part of what it measures. A held loop is
//! told from a busy machine by the scheduler's counts: for how long the loop ran, and for how long it, or the probe
//! itself, was ready to run and had no processor. On a virtual machine a thread that was woken may also find that its
//! processor is not there yet, which counts as neither; how late the probe itself wakes from its pauses tells of that.
use super::usage::{self, Scheduled};
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

/// Between an answer and the next question: a hold is seen up to this much too short.
const PAUSE: Duration = Duration::from_millis(1);
/// A question without an answer is given up then.
const PATIENCE: Duration = Duration::from_secs(5);
const QUESTION: &[u8] = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

/// One question and its answer, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Answered {
    pub took_ms: f64,
    /// Processor time of the loop from the question to the next one.
    pub loop_ran_ms: f64,
    /// The loop was ready to run and had no processor.
    pub loop_waited_ms: f64,
    /// The same of the probe.
    pub probe_waited_ms: f64,
}

/// How long a sender's loop was held.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Holds {
    pub asked: usize,
    pub unanswered: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub longest_ms: f64,
    /// The most that the loop ran from a question to the next one.
    pub most_ran_ms: f64,
    /// The question that took longest, with where its time went.
    pub longest: Answered,
    /// How much longer than meant the probe's own pauses were.
    pub late_p99_ms: f64,
    pub late_longest_ms: f64,
}

impl Holds {
    fn of(answered: &[Answered], unanswered: usize, late: &[f64]) -> Holds {
        let took = sorted(answered.iter().map(|a| a.took_ms));
        let late = sorted(late.iter().copied());
        let longest = answered.iter().max_by(|a, b| a.took_ms.total_cmp(&b.took_ms));
        Holds {
            asked: answered.len(),
            unanswered,
            p50_ms: quantile(&took, 0.5),
            p99_ms: quantile(&took, 0.99),
            longest_ms: quantile(&took, 1.0),
            most_ran_ms: answered.iter().map(|a| a.loop_ran_ms).fold(0.0, f64::max),
            longest: longest.copied().unwrap_or_default(),
            late_p99_ms: quantile(&late, 0.99),
            late_longest_ms: quantile(&late, 1.0),
        }
    }
}

fn sorted(numbers: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sorted: Vec<f64> = numbers.collect();
    sorted.sort_by(f64::total_cmp);
    sorted
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let place = (share * sorted.len().saturating_sub(1) as f64) as usize;
    sorted.get(place).copied().unwrap_or(f64::NAN)
}

/// Asks `GET /healthz` on one connection, one question after the other, until it is told to finish.
pub struct LoopProbe {
    finish: Arc<AtomicBool>,
    thread: JoinHandle<io::Result<Holds>>,
}

impl LoopProbe {
    /// Of a sender at `at`, whose loop is the first thread of `process`.
    pub fn start(at: SocketAddr, process: u32) -> io::Result<LoopProbe> {
        let finish = Arc::new(AtomicBool::new(false));
        let finished = finish.clone();
        let ask = move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(ask_until(&finished, at, process))
        };
        let thread = thread::Builder::new().name("loop-probe".into()).spawn(ask)?;
        Ok(LoopProbe { finish, thread })
    }

    /// Waits for the question under way, which ends within its patience.
    pub async fn finish(self) -> io::Result<Holds> {
        self.finish.store(true, Ordering::Relaxed);
        let joined = tokio::task::spawn_blocking(|| self.thread.join()).await.map_err(io::Error::other)?;
        joined.map_err(|_| io::Error::other("the probe panicked"))?
    }
}

async fn ask_until(finished: &AtomicBool, at: SocketAddr, process: u32) -> io::Result<Holds> {
    let clock = Clock::new(Instant::now());
    let (mut answered, mut unanswered, mut late) = (Vec::new(), 0, Vec::new());
    let mut link = None;
    let mut before = (usage::first_thread(process)?, usage::this_thread()?);
    while !finished.load(Ordering::Relaxed) {
        let begun = Instant::now();
        let heard = timeout(PATIENCE, ask(&mut link, at, clock)).await.ok().flatten();
        let paused = Instant::now();
        // Nothing else runs on this thread.
        thread::sleep(PAUSE);
        late.push(ms(paused.elapsed().saturating_sub(PAUSE)));
        let after = (usage::first_thread(process)?, usage::this_thread()?);
        if heard.is_some() {
            let (of_loop, of_probe) = (after.0.since(&before.0), after.1.since(&before.1));
            answered.push(account(paused - begun, of_loop, of_probe));
        } else {
            link = None;
            unanswered += 1;
        }
        before = after;
    }
    Ok(Holds::of(&answered, unanswered, &late))
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

fn account(took: Duration, of_loop: Scheduled, of_probe: Scheduled) -> Answered {
    Answered {
        took_ms: ms(took),
        loop_ran_ms: ms(of_loop.ran),
        loop_waited_ms: ms(of_loop.waited),
        probe_waited_ms: ms(of_probe.waited),
    }
}

async fn ask(link: &mut Option<Connection>, at: SocketAddr, clock: Clock) -> Option<()> {
    if link.is_none() {
        *link = Some(Connection::new(TcpStream::connect(at).await.ok()?, clock));
    }
    let open = link.as_mut()?;
    open.write(QUESTION).await.ok()?;
    matches!(open.read_response().await, Ok(Message { start: Start::Status(_), .. })).then_some(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_longest_answer_and_the_most_work_are_told_apart() {
        let answered = |took_ms, loop_ran_ms, loop_waited_ms| Answered {
            took_ms,
            loop_ran_ms,
            loop_waited_ms,
            ..Answered::default()
        };
        let all = [answered(9.0, 0.1, 8.5), answered(0.5, 0.2, 0.0), answered(3.0, 2.9, 0.0)];
        let holds = Holds::of(&all, 1, &[0.1, 4.0]);
        assert_eq!((holds.asked, holds.unanswered), (3, 1));
        assert_eq!((holds.longest_ms, holds.longest.loop_waited_ms), (9.0, 8.5));
        assert_eq!((holds.p50_ms, holds.most_ran_ms, holds.late_longest_ms), (3.0, 2.9, 4.0));
    }
}
