//! How long a sender's loop was held, as seen by asking it again and again, and where that time went.
//!
//! The probe has a thread of its own, so that what else this process does is no part of what it measures. A held loop is
//! told from a busy machine by the scheduler's counts: the time for which the loop, or the probe itself, was ready to
//! run and had no processor.
use super::usage::{self, Scheduled};
use crate::clock::Clock;
use crate::http::{Link, Message, Start};
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
    /// Processor time of the loop meanwhile.
    pub loop_ran_ms: f64,
    /// The loop was ready to run and had no processor.
    pub loop_waited_ms: f64,
    /// The same of the probe.
    pub probe_waited_ms: f64,
}

impl Answered {
    /// What is left without the waits for a processor: work and locks of the sender, and the system calls.
    pub fn own_ms(&self) -> f64 {
        (self.took_ms - self.loop_waited_ms - self.probe_waited_ms).max(0.0)
    }
}

/// How long a sender's loop was held.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Holds {
    pub asked: usize,
    pub unanswered: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub longest_ms: f64,
    /// The longest without waits for a processor.
    pub longest_own_ms: f64,
    /// The question that took longest, with where its time went.
    pub longest: Answered,
    /// The same of the one that took longest without waits for a processor.
    pub longest_own: Answered,
}

impl Holds {
    fn of(mut answered: Vec<Answered>, unanswered: usize) -> Holds {
        answered.sort_by(|a, b| a.took_ms.total_cmp(&b.took_ms));
        let longest = answered.last().copied().unwrap_or_default();
        let longest_own = answered.iter().max_by(|a, b| a.own_ms().total_cmp(&b.own_ms()));
        let longest_own = longest_own.copied().unwrap_or_default();
        let share = |s: f64| {
            let place = (s * answered.len().saturating_sub(1) as f64) as usize;
            answered.get(place).map_or(f64::NAN, |a| a.took_ms)
        };
        Holds {
            asked: answered.len(),
            unanswered,
            p50_ms: share(0.5),
            p99_ms: share(0.99),
            longest_ms: longest.took_ms,
            longest_own_ms: longest_own.own_ms(),
            longest,
            longest_own,
        }
    }
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
    let (mut answered, mut unanswered, mut link) = (Vec::new(), 0, None);
    while !finished.load(Ordering::Relaxed) {
        let before = (usage::first_thread(process)?, usage::this_thread()?);
        let begun = Instant::now();
        match timeout(PATIENCE, ask(&mut link, at, clock)).await.ok().flatten() {
            Some(()) => {
                let took = begun.elapsed();
                let after = (usage::first_thread(process)?, usage::this_thread()?);
                answered.push(account(took, after.0.since(&before.0), after.1.since(&before.1)));
            }
            None => {
                link = None;
                unanswered += 1;
            }
        }
        // Nothing else runs on this thread.
        thread::sleep(PAUSE);
    }
    Ok(Holds::of(answered, unanswered))
}

fn account(took: Duration, of_loop: Scheduled, of_probe: Scheduled) -> Answered {
    let ms = |span: Duration| span.as_secs_f64() * 1e3;
    Answered {
        took_ms: ms(took),
        loop_ran_ms: ms(of_loop.ran),
        loop_waited_ms: ms(of_loop.waited),
        probe_waited_ms: ms(of_probe.waited),
    }
}

async fn ask(link: &mut Option<Link>, at: SocketAddr, clock: Clock) -> Option<()> {
    if link.is_none() {
        *link = Some(Link::new(TcpStream::connect(at).await.ok()?, clock));
    }
    let open = link.as_mut()?;
    open.write(QUESTION).await.ok()?;
    matches!(open.read_answer().await, Ok(Message { start: Start::Status(_), .. })).then_some(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_longest_is_told_with_and_without_waits_for_a_processor() {
        let answered = |took_ms, loop_waited_ms| Answered { took_ms, loop_waited_ms, ..Answered::default() };
        let holds = Holds::of(vec![answered(9.0, 8.5), answered(0.5, 0.0), answered(3.0, 0.0)], 1);
        assert_eq!((holds.asked, holds.unanswered), (3, 1));
        assert_eq!((holds.longest_ms, holds.longest.loop_waited_ms), (9.0, 8.5));
        assert_eq!((holds.longest_own_ms, holds.longest_own.took_ms), (3.0, 3.0));
    }
}
