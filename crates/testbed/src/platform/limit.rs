//! What a destination takes from all senders together: a plain rate, or a count in each span.
use crate::clock::{from_seconds, Ns, SECOND};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitKind {
    /// So many calls a second, with half a second's worth of them at once.
    Rate,
    /// So many calls in each span of one second.
    Window,
}

/// Length of a span of `Form::Window` (the brief, 6.4).
const SPAN: Ns = SECOND;

#[derive(Clone, Debug)]
pub struct Limit {
    form: LimitKind,
    per_s: f64,
    /// Multiplies the rate while a trouble lowers it.
    by: f64,
    /// Refused calls use it up too.
    counts_refused: bool,
    /// Rate: calls that may come at once. Window: calls in the span so far.
    level: f64,
    /// Rate: when `level` was right. Window: when the span began.
    since: Ns,
}

impl Limit {
    pub fn new(form: LimitKind, per_s: f64, counts_refused: bool) -> Limit {
        let level = if form == LimitKind::Rate { burst(per_s) } else { 0.0 };
        Limit { form, per_s, by: 1.0, counts_refused, level, since: 0 }
    }

    /// Lowers or raises the rate from `now` on; 1 is as it was drawn.
    pub fn scale(&mut self, now: Ns, by: f64) {
        self.fill(now);
        self.by = by;
    }

    fn rate(&self) -> f64 {
        self.per_s * self.by
    }

    fn fill(&mut self, now: Ns) {
        match self.form {
            LimitKind::Rate => {
                let since = (now - self.since).max(0) as f64 / SECOND as f64;
                self.level = (self.level + since * self.rate()).min(burst(self.rate()));
                self.since = now;
            }
            LimitKind::Window if now - self.since >= SPAN => {
                self.since = now - (now - self.since) % SPAN;
                self.level = 0.0;
            }
            LimitKind::Window => {}
        }
    }

    /// Takes one call, or says after how long there is room again if nobody else takes it.
    pub fn take(&mut self, now: Ns) -> Result<(), Ns> {
        self.fill(now);
        match self.form {
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
                    return Err(self.since + SPAN - now);
                }
            }
        }
        Ok(())
    }
}

/// Calls that a plain rate lets through at once: half a second's, and one at least.
fn burst(rate: f64) -> f64 {
    (rate / 2.0).max(1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn taken(limit: &mut Limit, calls_a_second: i64, span: Ns) -> usize {
        (0..calls_a_second * span / SECOND)
            .filter(|i| limit.take(i * SECOND / calls_a_second).is_ok())
            .count()
    }

    #[test]
    fn each_form_lets_its_rate_through_and_names_a_wait_after_which_there_is_room() {
        for form in [LimitKind::Rate, LimitKind::Window] {
            let mut limit = Limit::new(form, 10.0, false);
            let served = taken(&mut limit, 50, 10 * SECOND);
            assert!((100..=105).contains(&served), "{form:?}: {served} in 10 s at 10 a second");
            let now = 10 * SECOND;
            let wait = std::iter::repeat_with(|| limit.take(now)).find_map(Result::err).expect("it is full");
            assert!(limit.take(now + wait - 1_000).is_err(), "{form:?}: room before the wait is over");
            assert!(limit.take(now + wait + 1_000).is_ok(), "{form:?}: no room after {wait} ns");
        }
    }

    #[test]
    fn refused_calls_use_up_a_limit_that_counts_them() {
        let mut plain = Limit::new(LimitKind::Rate, 10.0, false);
        let mut counting = Limit::new(LimitKind::Rate, 10.0, true);
        assert!(taken(&mut plain, 20, 10 * SECOND) >= 100);
        assert!(taken(&mut counting, 20, 10 * SECOND) < 20, "twice the rate leaves next to nothing");
    }

    #[test]
    fn a_lowered_limit_takes_less_and_comes_back() {
        let mut limit = Limit::new(LimitKind::Window, 10.0, false);
        limit.scale(0, 0.5);
        assert_eq!(taken(&mut limit, 50, 2 * SECOND), 10);
        limit.scale(2 * SECOND, 1.0);
        let later = (0..50).filter(|i| limit.take(2 * SECOND + i * 20 * 1_000_000).is_ok()).count();
        assert_eq!(later, 10);
    }
}
