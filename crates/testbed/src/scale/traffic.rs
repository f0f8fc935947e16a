//! Which destination a message is for.
use rand::{Rng, RngExt};
use rand_distr::{Distribution, Zipf};

/// Exponent of the skewed traffic.
pub const EXPONENT: f64 = 1.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Skew {
    Uniform,
    /// By rank, with `EXPONENT`.
    Zipf,
}

impl Skew {
    pub fn name(self) -> &'static str {
        match self {
            Skew::Uniform => "uniform",
            Skew::Zipf => "zipf",
        }
    }
}

/// How many destinations so many messages are for, in the mean.
pub fn expected_destinations(skew: Skew, destinations: u32, messages: f64) -> f64 {
    let rank = |i: u32| match skew {
        Skew::Uniform => 1.0,
        Skew::Zipf => f64::from(i).powf(-EXPONENT),
    };
    let all: f64 = (1..=destinations).map(rank).sum();
    (1..=destinations).map(|i| 1.0 - (-messages * rank(i) / all).exp()).sum()
}

pub struct Traffic {
    destinations: u32,
    zipf: Option<Zipf<f64>>,
}

impl Traffic {
    pub fn new(skew: Skew, destinations: u32) -> Traffic {
        let zipf = || Zipf::new(f64::from(destinations), EXPONENT).expect("there is a destination");
        Traffic { destinations, zipf: (skew == Skew::Zipf).then(zipf) }
    }

    pub fn draw(&self, random: &mut impl Rng) -> u32 {
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
    fn as_many_destinations_are_drawn_as_are_expected() {
        for skew in [Skew::Uniform, Skew::Zipf] {
            let (traffic, mut random) = (Traffic::new(skew, 5_000), Seed(4).stream("traffic", 0));
            let drawn: HashSet<u32> = (0..4_000).map(|_| traffic.draw(&mut random)).collect();
            let expected = expected_destinations(skew, 5_000, 4_000.0);
            assert!((drawn.len() as f64 / expected - 1.0).abs() < 0.05, "{} of {expected}", drawn.len());
        }
    }
}
