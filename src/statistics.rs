//! Exponentially decaying statistics: weighted mean with deviation, and rates of calls. The decay constants
//! are in [`crate::policy`].

use crate::api::{Ns, SECOND};
use crate::policy::{HALF_LIFE_NS, RATE_WINDOW_NS};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// Exponentially weighted count, mean and deviation of the values recorded.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct DecayingStat {
    /// Count of the values, each weighted by its age at `updated_at`.
    weight: f64,
    sum: f64,
    #[serde(rename = "squares")]
    sum_of_squares: f64,
    #[serde(rename = "at")]
    updated_at: Ns,
}

impl DecayingStat {
    /// Returns the weighted count of the values at a time.
    pub fn weight_at(&self, now: Ns) -> f64 {
        self.weight * (-((now - self.updated_at).max(0) as f64) / HALF_LIFE_NS).exp2()
    }
    /// Adds a value.
    pub fn record(&mut self, now: Ns, value: f64) {
        let keep = if self.weight > 0.0 { self.weight_at(now) / self.weight } else { 0.0 };
        let (sum, sum_of_squares) = (self.sum * keep + value, self.sum_of_squares * keep + value * value);
        *self = DecayingStat { weight: self.weight * keep + 1.0, sum, sum_of_squares, updated_at: now };
    }
    /// Returns the same values, recorded later by a duration.
    pub fn shifted(self, by: Ns) -> DecayingStat {
        DecayingStat { updated_at: self.updated_at.saturating_add(by), ..self }
    }
    /// Returns whether no value was recorded.
    pub fn is_empty(&self) -> bool {
        self.weight <= 0.0
    }
    /// Returns the weighted mean, or 0 if no value was recorded.
    pub fn mean(&self) -> f64 {
        self.sum / self.weight.max(1e-9)
    }
    /// Returns the mean plus a multiple of the standard deviation.
    pub fn mean_plus_deviations(&self, deviations: f64) -> f64 {
        let variance = (self.sum_of_squares / self.weight.max(1e-9) - self.mean() * self.mean()).max(0.0);
        self.mean() + deviations * variance.sqrt()
    }
}

/// Statistics by key. Only keys with recorded values take memory.
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct StatMap<K> {
    /// In ascending order of the keys.
    entries: Vec<(K, DecayingStat)>,
}

impl<K> Default for StatMap<K> {
    fn default() -> StatMap<K> {
        StatMap { entries: Vec::new() }
    }
}

impl<K: Ord + Copy> StatMap<K> {
    /// Adds a value under a key.
    pub fn record(&mut self, key: K, now: Ns, value: f64) {
        let index = self.entries.binary_search_by_key(&key, |entry| entry.0).unwrap_or_else(|index| {
            self.entries.insert(index, (key, DecayingStat::default()));
            index
        });
        self.entries[index].1.record(now, value);
    }
    /// Returns the entries whose keys lie in a range, in ascending order.
    pub fn range(&self, keys: RangeInclusive<K>) -> &[(K, DecayingStat)] {
        let from = self.entries.partition_point(|entry| entry.0 < *keys.start());
        let to = self.entries.partition_point(|entry| entry.0 <= *keys.end());
        &self.entries[from..to]
    }
    /// Returns the weighted count of the values under a key.
    pub fn weight_at(&self, key: K, now: Ns) -> f64 {
        self.range(key..=key).first().map_or(0.0, |entry| entry.1.weight_at(now))
    }
    /// Drops the entries whose weighted count is below a minimum, and frees their memory.
    pub fn drop_below(&mut self, min_weight: f64, now: Ns) {
        self.entries.retain(|entry| entry.1.weight_at(now) >= min_weight);
        self.entries.shrink_to_fit();
    }
}

impl<K: Ord + Copy> FromIterator<(K, DecayingStat)> for StatMap<K> {
    fn from_iter<I: IntoIterator<Item = (K, DecayingStat)>>(entries: I) -> StatMap<K> {
        let mut entries: Vec<(K, DecayingStat)> = entries.into_iter().collect();
        entries.sort_by_key(|entry| entry.0);
        StatMap { entries }
    }
}

/// Rate of calls: their exponentially weighted count over the equally weighted time of observation.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct RateMeter {
    #[serde(rename = "sum")]
    pub count: f64,
    /// In nanoseconds.
    #[serde(rename = "span")]
    pub observed_time: f64,
    #[serde(rename = "at")]
    pub updated_at: Ns,
}

impl RateMeter {
    /// Creates a meter whose observation begins at a time.
    pub fn starting_at(updated_at: Ns) -> RateMeter {
        RateMeter { updated_at, ..RateMeter::default() }
    }
    /// Returns the same observation, made later by a duration.
    pub fn shifted(self, by: Ns) -> RateMeter {
        RateMeter { updated_at: self.updated_at.saturating_add(by), ..self }
    }
    /// Counts a call.
    pub fn record(&mut self, now: Ns) {
        self.advance(now);
        self.count += 1.0;
    }
    /// Extends the observation up to `now` without counting a call.
    pub fn advance(&mut self, now: Ns) {
        let keep = (-((now - self.updated_at).max(0) as f64) / RATE_WINDOW_NS).exp();
        self.count *= keep;
        self.observed_time = self.observed_time * keep + RATE_WINDOW_NS * (1.0 - keep);
        self.updated_at = now;
    }
    /// Returns the calls per second; an observation of less than a second counts as one second.
    pub fn rate(&self) -> f64 {
        self.count * 1e9 / self.observed_time.max(SECOND as f64)
    }
}
