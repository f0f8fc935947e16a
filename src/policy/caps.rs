//! The cap on calls in flight to a destination: the concurrency that scores best by the measured latencies.

use super::{MIN_OVERDUE, MIN_WEIGHT, OVERDUE_DEVIATIONS};
use crate::api::{Ns, Settings, SECOND};
use crate::state::Dest;

/// Returns the highest cap: three quarters of the slots, at least 1.
pub(super) fn max_cap(settings: &Settings) -> usize {
    (settings.slots * 3 / 4).max(1)
}

/// Returns how long a call may be in flight before it is overdue: the mean latency plus
/// `OVERDUE_DEVIATIONS` deviations, but at least `MIN_OVERDUE` and at most the longest latency target,
/// which also applies while the latency is not measured.
pub(super) fn overdue_after(settings: &Settings, dest: &Dest, now: Ns) -> Ns {
    let max_target =
        settings.classes.iter().map(|class| class.latency_target).max().unwrap_or(SECOND).max(MIN_OVERDUE);
    if dest.latency.weight_at(now) < MIN_WEIGHT {
        return max_target;
    }
    (dest.latency.mean_plus_deviations(OVERDUE_DEVIATIONS) as Ns).clamp(MIN_OVERDUE, max_target)
}

/// Chooses the cap of a destination: the concurrency with the highest product of concurrency and share of
/// the arrivals whose class meets its latency target at that concurrency. The present cap stays unless
/// another one scores higher.
pub(super) fn choose_cap(settings: &Settings, dest: &mut Dest, now: Ns) {
    let max_cap = max_cap(settings);
    let class_weights: Vec<f64> =
        (0..settings.classes.len()).map(|class| dest.arrivals.weight_at(class, now)).collect();
    let mut scores = vec![0.0; max_cap + 1];
    for (class, class_settings) in settings.classes.iter().enumerate() {
        let latencies = dest.latencies.range((class, 1)..=(class, max_cap)).iter();
        let measured: Vec<_> =
            latencies.filter(|(_, latency)| latency.weight_at(now) >= MIN_WEIGHT).collect();
        for (concurrency, score) in scores.iter_mut().enumerate().skip(1) {
            // A concurrency without a measurement uses that of the nearest measured one. A class without
            // any measurement counts as meeting its target up to the present cap.
            let meets_target = match measured
                .iter()
                .min_by_key(|((_, measured_at), _)| (measured_at.abs_diff(concurrency), *measured_at))
            {
                Some((_, nearest)) => {
                    nearest.mean_plus_deviations(1.0) < class_settings.latency_target as f64
                }
                None => concurrency <= dest.cap,
            };
            if meets_target {
                *score += concurrency as f64 * class_weights[class];
            }
        }
    }
    let best = (1..=max_cap).max_by(|&a, &b| scores[a].total_cmp(&scores[b])).unwrap_or(1);
    if scores[best] <= 0.0 && class_weights.iter().sum::<f64>() > MIN_WEIGHT {
        // Every class misses its target at every concurrency, as the destination hangs. The paper would keep
        // the cap; here the slots go to other destinations.
        dest.cap = 1;
    } else if scores[best] > scores[dest.cap] * (1.0 + 1e-9) {
        dest.cap = best;
    }
}
