//! Compares two sets of plays: paired by seed, with confidence intervals and an assessment of each figure.
use crate::play::Verdict;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::{BTreeMap, BTreeSet};

/// Quantile of the upper bound of a two-sided 95% interval.
const UPPER_QUANTILE: f64 = 0.975;
/// Minimum number of pairs from which the spread of their differences is estimated.
pub const MIN_PAIRS: usize = 3;

/// Why two sets can't be compared.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum CompareError {
    #[error("only {0} seeds were played on both sides and not void; {MIN_PAIRS} at least are needed")]
    Pairs(usize),
}

/// How a figure of B compares to that of A.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Assessment {
    Better,
    Worse,
    #[serde(rename = "inside-the-noise")]
    NotSignificant,
}

impl Assessment {
    /// Returns the text for tables.
    pub fn name(self) -> &'static str {
        match self {
            Assessment::Better => "better",
            Assessment::Worse => "worse",
            Assessment::NotSignificant => "inside the noise",
        }
    }
}

/// The comparison of one figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FigureComparison {
    pub figure: &'static str,
    /// Mean of A.
    pub a: f64,
    /// Mean of B.
    pub b: f64,
    /// Bounds of the 95% confidence interval of the mean difference, B minus A.
    pub low: f64,
    pub high: f64,
    #[serde(rename = "word")]
    pub assessment: Assessment,
}

/// The comparison of two sets of plays.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Number of seeds that both sides played and whose plays are not void.
    pub pairs: usize,
    /// Seeds left out because one side did not play them or its play is void.
    pub left_out: Vec<u64>,
    /// Number of plays in the pairs with a violated rule: of A, and of B.
    pub broken: [usize; 2],
    pub lines: Vec<FigureComparison>,
}

/// The name of a figure, its function, and whether more is better.
type Figure = (&'static str, fn(&Verdict) -> f64, bool);

/// Returns a count as a share of all requests.
fn share(verdict: &Verdict, count: usize) -> f64 {
    count as f64 / verdict.counts.asked.max(1) as f64
}

/// The compared figures.
const FIGURES: [Figure; 8] = [
    ("service G", |v| v.service.g, true),
    ("worst 10 s", |v| v.service.worst_window, true),
    ("worst class", |v| v.service.worst_class, true),
    ("in time", |v| share(v, v.counts.in_time), true),
    ("given up", |v| share(v, v.counts.given_up), false),
    ("handed back", |v| share(v, v.counts.handed_back), false),
    ("calls over a limit", |v| share(v, v.counts.over_limit), false),
    ("delivery p99, ms", |v| v.latency.p99_ms, false),
];

/// Compares plays of A and B by the seeds that both have.
pub fn compare(a: &[Verdict], b: &[Verdict]) -> Result<Comparison, CompareError> {
    let by_seed =
        |all: &[Verdict]| -> BTreeMap<u64, Verdict> { all.iter().map(|v| (v.seed, v.clone())).collect() };
    let (a, b) = (by_seed(a), by_seed(b));
    let sound = |v: Option<&Verdict>| v.is_some_and(|v| v.void.is_none());
    let seeds: BTreeSet<u64> = a.keys().chain(b.keys()).copied().collect();
    let (both, left_out): (Vec<u64>, Vec<u64>) =
        seeds.into_iter().partition(|seed| sound(a.get(seed)) && sound(b.get(seed)));
    if both.len() < MIN_PAIRS {
        return Err(CompareError::Pairs(both.len()));
    }
    let pairs: Vec<(&Verdict, &Verdict)> = both.iter().map(|seed| (&a[seed], &b[seed])).collect();
    let broken = |side: fn(&(&Verdict, &Verdict)) -> bool| pairs.iter().filter(|p| side(p)).count();
    Ok(Comparison {
        pairs: pairs.len(),
        left_out,
        broken: [broken(|p| !p.0.violations.is_empty()), broken(|p| !p.1.violations.is_empty())],
        lines: FIGURES.iter().map(|figure| compare_figure(figure, &pairs)).collect(),
    })
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}

/// Compares one figure over all pairs.
fn compare_figure(
    (figure, value, more_is_better): &Figure,
    pairs: &[(&Verdict, &Verdict)],
) -> FigureComparison {
    let differences: Vec<f64> = pairs.iter().map(|(a, b)| value(b) - value(a)).collect();
    let (low, high) = interval(&differences);
    let assessment = match (low > 0.0, high < 0.0) {
        (true, _) if *more_is_better => Assessment::Better,
        (true, _) => Assessment::Worse,
        (_, true) if *more_is_better => Assessment::Worse,
        (_, true) => Assessment::Better,
        _ => Assessment::NotSignificant,
    };
    let (a, b) = (mean(pairs.iter().map(|p| value(p.0))), mean(pairs.iter().map(|p| value(p.1))));
    FigureComparison { figure, a, b, low, high, assessment }
}

/// Returns the 95% confidence interval of the mean of paired differences, by Student's t distribution.
fn interval(differences: &[f64]) -> (f64, f64) {
    let count = differences.len() as f64;
    let center = mean(differences.iter().copied());
    let variance = differences.iter().map(|d| (d - center).powi(2)).sum::<f64>() / (count - 1.0);
    // There are at least two differences, so there is a degree of freedom.
    let t = StudentsT::new(0.0, 1.0, count - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(UPPER_QUANTILE));
    let half_width = t * (variance / count).sqrt();
    (center - half_width, center + half_width)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::score::{Counts, Latency, Service};

    fn verdict(seed: u64, g: f64) -> Verdict {
        Verdict {
            schema: 1,
            title: "test".into(),
            seed,
            senders: 1,
            counts: Counts { asked: 100, ..Counts::default() },
            service: Service { g, ..Service::default() },
            latency: Latency::default(),
            violations: Vec::new(),
            void: None,
            lateness_p99_ms: 0.0,
            max_senders: None,
        }
    }

    fn side(g: impl Fn(u64) -> f64) -> Vec<Verdict> {
        (1..=8).map(|seed| verdict(seed, g(seed))).collect()
    }

    #[test]
    fn assesses_difference_but_not_noise() {
        // The seeds differ far more than the sides.
        let by_seed = |seed: u64| 0.5 + seed as f64 * 0.05;
        let noise = |seed: u64| if seed.is_multiple_of(2) { 0.002 } else { -0.002 };
        let a = side(by_seed);
        let g = |b: &[Verdict]| compare(&a, b).unwrap().lines[0].clone();
        assert_eq!(g(&side(|s| by_seed(s) - 0.01 + noise(s))).assessment, Assessment::Worse);
        assert_eq!(g(&side(|s| by_seed(s) + 0.01 + noise(s))).assessment, Assessment::Better);
        assert_eq!(g(&side(|s| by_seed(s) + noise(s))).assessment, Assessment::NotSignificant);
        assert_eq!(g(&a).assessment, Assessment::NotSignificant);
        // Eight pairs with a standard deviation of 0.002138: the half width is 2.365 * 0.002138 / sqrt(8).
        let line = g(&side(|s| by_seed(s) + noise(s)));
        assert!((line.high - 0.001_788).abs() < 1e-5 && (line.low + line.high).abs() < 1e-9, "{line:?}");
    }

    #[test]
    fn leaves_out_unpaired_and_void_plays_and_refuses_too_few_pairs() {
        let a = side(|_| 0.5);
        let mut b = side(|_| 0.6);
        b[2].void = Some("late".into());
        b.remove(6);
        let compared = compare(&a, &b).unwrap();
        assert_eq!((compared.pairs, compared.left_out), (6, vec![3, 7]));
        assert_eq!(compare(&a[..2], &b), Err(CompareError::Pairs(2)));
    }
}
