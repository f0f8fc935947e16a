//! The rate limit of a destination, over all senders: a token bucket, or a count per fixed window.
use crate::clock::{from_seconds, Ns, SECOND};
use serde::{Deserialize, Serialize};

/// How a limit counts calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitKind {
    /// A token bucket that holds the calls of half a second, at least one.
    Rate,
    /// A number of calls in each window of one second.
    Window,
}

/// Length of a window of `LimitKind::Window` (brief, section 6.4).
const WINDOW: Ns = SECOND;

/// A rate limit with its current state.
#[derive(Clone, Debug)]
pub struct Limit {
    kind: LimitKind,
    per_s: f64,
    /// Multiplies the rate; other than 1 during a fault.
    factor: f64,
    /// Refused calls count against the limit too.
    counts_refused: bool,
    /// Rate: tokens in the bucket. Window: calls in the current window.
    level: f64,
    /// Rate: when `level` was computed. Window: when the current window began.
    since: Ns,
}

impl Limit {
    /// Creates a limit of `per_s` calls a second. A token bucket begins full.
    pub fn new(kind: LimitKind, per_s: f64, counts_refused: bool) -> Limit {
        let level = if kind == LimitKind::Rate { burst(per_s) } else { 0.0 };
        Limit { kind, per_s, factor: 1.0, counts_refused, level, since: 0 }
    }

    /// Multiplies the original rate by `factor` from `now` on.
    pub fn scale(&mut self, now: Ns, factor: f64) {
        self.refill(now);
        self.factor = factor;
    }

    fn rate(&self) -> f64 {
        self.per_s * self.factor
    }

    /// Adds the tokens due since the last update, or begins a new window.
    fn refill(&mut self, now: Ns) {
        match self.kind {
            LimitKind::Rate => {
                let elapsed_s = (now - self.since).max(0) as f64 / SECOND as f64;
                self.level = (self.level + elapsed_s * self.rate()).min(burst(self.rate()));
                self.since = now;
            }
            LimitKind::Window if now - self.since >= WINDOW => {
                self.since = now - (now - self.since) % WINDOW;
                self.level = 0.0;
            }
            LimitKind::Window => {}
        }
    }

    /// Takes one call, or returns the time until a call would be accepted if no other came before.
    pub fn take(&mut self, now: Ns) -> Result<(), Ns> {
        self.refill(now);
        match self.kind {
            LimitKind::Rate if self.level >= 1.0 => self.level -= 1.0,
            LimitKind::Rate => {
                if self.counts_refused {
                    self.level = (self.level - 1.0).max(-burst(self.rate()));
                }
                return Err(from_seconds((1.0 - self.level) / self.rate()));
            }
            LimitKind::Window => {
                let room = self.level + 1.0 <= self.rate().max(1.0);
                if room || self.counts_refused {
                    self.level += 1.0;
                }
                if !room {
                    return Err(self.since + WINDOW - now);
                }
            }
        }
        Ok(())
    }
}

/// Returns the size of a token bucket: the calls of half a second, at least one.
fn burst(rate: f64) -> f64 {
    (rate / 2.0).max(1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Counts the accepted calls of an even load.
    fn accepted(limit: &mut Limit, calls_a_second: i64, span: Ns) -> usize {
        (0..calls_a_second * span / SECOND)
            .filter(|i| limit.take(i * SECOND / calls_a_second).is_ok())
            .count()
    }

    #[test]
    fn accepts_its_rate_and_returns_time_until_room() {
        for kind in [LimitKind::Rate, LimitKind::Window] {
            let mut limit = Limit::new(kind, 10.0, false);
            let served = accepted(&mut limit, 50, 10 * SECOND);
            assert!((100..=105).contains(&served), "{kind:?}: {served} in 10 s at 10 a second");
            let now = 10 * SECOND;
            let wait = std::iter::repeat_with(|| limit.take(now))
                .find_map(Result::err)
                .expect("the limit is used up");
            assert!(limit.take(now + wait - 1_000).is_err(), "{kind:?}: room before the wait is over");
            assert!(limit.take(now + wait + 1_000).is_ok(), "{kind:?}: no room after {wait} ns");
        }
    }

    #[test]
    fn refused_calls_count_if_limit_says_so() {
        let mut plain = Limit::new(LimitKind::Rate, 10.0, false);
        let mut counting = Limit::new(LimitKind::Rate, 10.0, true);
        assert!(accepted(&mut plain, 20, 10 * SECOND) >= 100);
        assert!(
            accepted(&mut counting, 20, 10 * SECOND) < 20,
            "at twice the rate next to nothing is accepted"
        );
    }

    #[test]
    fn scaled_limit_accepts_less_until_restored() {
        let mut limit = Limit::new(LimitKind::Window, 10.0, false);
        limit.scale(0, 0.5);
        assert_eq!(accepted(&mut limit, 50, 2 * SECOND), 10);
        limit.scale(2 * SECOND, 1.0);
        let later = (0..50).filter(|i| limit.take(2 * SECOND + i * 20 * 1_000_000).is_ok()).count();
        assert_eq!(later, 10);
    }
}
