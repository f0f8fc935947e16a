//! What is measured: aged counts with mean and deviation, and rates of use. How fast they age is the policy's.

use crate::api::{Ns, SECOND};
use crate::policy::{HALF_LIFE, USE_SPAN};
use serde::{Deserialize, Serialize};

/// Aged count, mean and deviation.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct Stat {
    weight: f64,
    sum: f64,
    squares: f64,
    at: Ns,
}

impl Stat {
    pub fn aged(&self, now: Ns) -> f64 {
        self.weight * (-((now - self.at).max(0) as f64) / HALF_LIFE).exp2()
    }
    pub fn book(&mut self, now: Ns, x: f64) {
        let keep = if self.weight > 0.0 { self.aged(now) / self.weight } else { 0.0 };
        let (sum, squares) = (self.sum * keep + x, self.squares * keep + x * x);
        *self = Stat { weight: self.weight * keep + 1.0, sum, squares, at: now };
    }
    pub fn is_new(&self) -> bool {
        self.weight <= 0.0
    }
    pub fn mean(&self) -> f64 {
        self.sum / self.weight.max(1e-9)
    }
    pub fn bound(&self, deviations: f64) -> f64 {
        let variance = (self.squares / self.weight.max(1e-9) - self.mean() * self.mean()).max(0.0);
        self.mean() + deviations * variance.sqrt()
    }
}

/// Aged count of calls, and the aged time in which they were seen.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct Use {
    pub sum: f64,
    pub span: f64,
    pub at: Ns,
}

impl Use {
    pub fn since(at: Ns) -> Use {
        Use { at, ..Use::default() }
    }
    pub fn book(&mut self, now: Ns) {
        self.age(now);
        self.sum += 1.0;
    }
    pub fn age(&mut self, now: Ns) {
        let keep = (-((now - self.at).max(0) as f64) / USE_SPAN).exp();
        self.sum *= keep;
        self.span = self.span * keep + USE_SPAN * (1.0 - keep);
        self.at = now;
    }
    /// Calls a second; what was seen for less than a second counts as seen for one.
    pub fn rate(&self) -> f64 {
        self.sum * 1e9 / self.span.max(SECOND as f64)
    }
}
