//! The distribution of messages over destinations.
use rand::{Rng, RngExt};
use rand_distr::{Distribution, Zipf};

/// Exponent of the Zipf distribution.
pub const ZIPF_EXPONENT: f64 = 1.0;

/// How unevenly messages are spread over destinations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Skew {
    Uniform,
    /// Zipf distribution by rank, with `ZIPF_EXPONENT`.
    Zipf,
}

impl Skew {
    /// Returns the name used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Skew::Uniform => "uniform",
            Skew::Zipf => "zipf",
        }
    }
}

/// Returns the expected number of different destinations among `messages` messages.
pub fn expected_destinations(skew: Skew, destinations: u32, messages: f64) -> f64 {
    let weight = |rank: u32| match skew {
        Skew::Uniform => 1.0,
        Skew::Zipf => f64::from(rank).powf(-ZIPF_EXPONENT),
    };
    let total: f64 = (1..=destinations).map(weight).sum();
    (1..=destinations).map(|rank| 1.0 - (-messages * weight(rank) / total).exp()).sum()
}

/// Draws the destinations of messages.
pub struct DestinationSampler {
    destinations: u32,
    zipf: Option<Zipf<f64>>,
}

impl DestinationSampler {
    /// Prepares the distribution over so many destinations.
    pub fn new(skew: Skew, destinations: u32) -> DestinationSampler {
        let zipf = || Zipf::new(f64::from(destinations), ZIPF_EXPONENT).expect("at least one destination");
        DestinationSampler { destinations, zipf: (skew == Skew::Zipf).then(zipf) }
    }

    /// Draws the destination of one message.
    pub fn sample(&self, random: &mut impl Rng) -> u32 {
        match &self.zipf {
            Some(zipf) => (zipf.sample(random) as u32 - 1).min(self.destinations - 1),
            None => random.random_range(0..self.destinations),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::seed::Seed;
    use std::collections::HashSet;

    #[test]
    fn drawn_destinations_match_the_expected_number() {
        for skew in [Skew::Uniform, Skew::Zipf] {
            let (traffic, mut random) = (DestinationSampler::new(skew, 5_000), Seed(4).stream("traffic", 0));
            let drawn: HashSet<u32> = (0..4_000).map(|_| traffic.sample(&mut random)).collect();
            let expected = expected_destinations(skew, 5_000, 4_000.0);
            assert!((drawn.len() as f64 / expected - 1.0).abs() < 0.05, "{} of {expected}", drawn.len());
        }
    }
}
