//! What is measured: aged counts with mean and deviation, and rates of use. How fast they age is the policy's.

use crate::api::{Ns, SECOND};
use crate::policy::{HALF_LIFE, USE_SPAN};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

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

/// Statistics by key, only of those keys that were booked.
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct StatMap<K> {
    /// In ascending order of their keys.
    entries: Vec<(K, Stat)>,
}

impl<K> Default for StatMap<K> {
    fn default() -> StatMap<K> {
        StatMap { entries: Vec::new() }
    }
}

impl<K: Ord + Copy> StatMap<K> {
    pub fn book(&mut self, key: K, now: Ns, x: f64) {
        let place = self.entries.binary_search_by_key(&key, |entry| entry.0).unwrap_or_else(|place| {
            self.entries.insert(place, (key, Stat::default()));
            place
        });
        self.entries[place].1.book(now, x);
    }
    /// Those whose keys lie in a range, in ascending order.
    pub fn range(&self, keys: RangeInclusive<K>) -> &[(K, Stat)] {
        let from = self.entries.partition_point(|entry| entry.0 < *keys.start());
        let to = self.entries.partition_point(|entry| entry.0 <= *keys.end());
        &self.entries[from..to]
    }
    /// The aged count under a key.
    pub fn aged(&self, key: K, now: Ns) -> f64 {
        self.range(key..=key).first().map_or(0.0, |entry| entry.1.aged(now))
    }
    /// Drops those whose aged count is under a bound, and gives their memory back.
    pub fn drop_under(&mut self, least: f64, now: Ns) {
        self.entries.retain(|entry| entry.1.aged(now) >= least);
        self.entries.shrink_to_fit();
    }
}

impl<K: Ord + Copy> FromIterator<(K, Stat)> for StatMap<K> {
    fn from_iter<I: IntoIterator<Item = (K, Stat)>>(entries: I) -> StatMap<K> {
        let mut entries: Vec<(K, Stat)> = entries.into_iter().collect();
        entries.sort_by_key(|entry| entry.0);
        StatMap { entries }
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
