//! What is measured: aged counts with mean and deviation, and rates of use.

use super::{HALF_LIFE, USE_SPAN};
use crate::api::{Ns, SECOND};
use crate::state::Use;
use serde::{Deserialize, Serialize};

/// Aged count, mean and deviation.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Stat {
    weight: f64,
    sum: f64,
    squares: f64,
    at: Ns,
}

impl Stat {
    pub(super) fn aged(&self, now: Ns) -> f64 {
        self.weight * (-((now - self.at).max(0) as f64) / HALF_LIFE).exp2()
    }
    pub(super) fn book(&mut self, now: Ns, x: f64) {
        let keep = if self.weight > 0.0 { self.aged(now) / self.weight } else { 0.0 };
        let (sum, squares) = (self.sum * keep + x, self.squares * keep + x * x);
        *self = Stat { weight: self.weight * keep + 1.0, sum, squares, at: now };
    }
    pub(super) fn is_new(&self) -> bool {
        self.weight <= 0.0
    }
    pub(super) fn mean(&self) -> f64 {
        self.sum / self.weight.max(1e-9)
    }
    pub(super) fn bound(&self, deviations: f64) -> f64 {
        let variance = (self.squares / self.weight.max(1e-9) - self.mean() * self.mean()).max(0.0);
        self.mean() + deviations * variance.sqrt()
    }
}

impl Use {
    pub(super) fn since(at: Ns) -> Use {
        Use { at, ..Use::default() }
    }
    pub(super) fn book(&mut self, now: Ns) {
        self.age(now);
        self.sum += 1.0;
    }
    pub(super) fn age(&mut self, now: Ns) {
        let keep = (-((now - self.at).max(0) as f64) / USE_SPAN).exp();
        self.sum *= keep;
        self.span = self.span * keep + USE_SPAN * (1.0 - keep);
        self.at = now;
    }
    /// Calls a second; what was seen for less than a second counts as seen for one.
    pub(super) fn rate(&self) -> f64 {
        self.sum * 1e9 / self.span.max(SECOND as f64)
    }
}
