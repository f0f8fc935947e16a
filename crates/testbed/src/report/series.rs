//! Time series with a value per second, and the faults as bands of time.
use crate::clock::{Ns, MS, SECOND};
use crate::facts::{Fact, FactKind, ProcessEvent, Reply};
use crate::judge::FactIndex;
use crate::plan::{Destination, Terms};
use crate::platform::destination::Refusal;
use crate::score::{RequestEnd, RequestResult};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Number of destinations whose limits are shown, those with most traffic first.
const SHOWN_DESTINATIONS: usize = 6;

/// A fault or a group of simultaneous faults, with its start and end.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultBand {
    pub title: String,
    pub from: Ns,
    pub to: Ns,
    pub target: FaultTarget,
}

/// What a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    Destination,
    Sender,
    Discovery,
    Link,
}

/// Percentiles of the delivery time, in milliseconds, of the messages requested in each second.
pub struct LatencySeries {
    pub p50: Vec<Option<f64>>,
    pub p99: Vec<Option<f64>>,
}

/// Counts of the messages requested in each second by their end, in the order of `END_LABELS`.
pub struct OutcomeSeries {
    pub seconds: Vec<[usize; END_LABELS.len()]>,
}

/// The ways in which a message can end, with their labels.
pub const END_LABELS: [(RequestEnd, &str); 6] = [
    (RequestEnd::InTime, "in time"),
    (RequestEnd::Late, "late"),
    (RequestEnd::HandedBack, "handed back"),
    (RequestEnd::GivenUp, "given up"),
    (RequestEnd::Unheard, "never answered"),
    (RequestEnd::Lost, "lost"),
];

/// One destination's calls in each second, and those of them refused over its rate limit.
pub struct LimitSeries {
    pub dest: usize,
    pub flagship: bool,
    /// Rate limit in calls per second.
    pub per_s: f64,
    pub calls: Vec<f64>,
    pub over: Vec<f64>,
}

/// Returns the number of seconds in which messages are requested.
pub fn seconds(terms: &Terms) -> usize {
    (terms.request_span.max(SECOND) as f64 / SECOND as f64).ceil() as usize
}

/// Returns the index of the second that contains a time, clamped to the series.
fn second(at: Ns, seconds: usize) -> usize {
    ((at / SECOND).max(0) as usize).min(seconds - 1)
}

/// Computes latency percentiles for each second.
pub fn latency(results: &[RequestResult], seconds: usize) -> LatencySeries {
    let empty = Histogram::<u64>::new_with_bounds(1, 3_600_000, 3).expect("valid histogram bounds");
    let mut histograms = vec![empty; seconds];
    for result in results {
        if let Some(took) = result.took {
            histograms[second(result.at, seconds)].saturating_record((took.max(0) / MS) as u64);
        }
    }
    let percentiles = |percent| {
        let value =
            |h: &Histogram<u64>| (!h.is_empty()).then(|| h.value_at_percentile(percent).max(1) as f64);
        histograms.iter().map(value).collect()
    };
    LatencySeries { p50: percentiles(50.0), p99: percentiles(99.0) }
}

/// Counts the ends of messages for each second.
pub fn outcomes(results: &[RequestResult], seconds: usize) -> OutcomeSeries {
    let mut counts = vec![[0; END_LABELS.len()]; seconds];
    for result in results {
        if let Some(index) = END_LABELS.iter().position(|(end, _)| *end == result.end) {
            counts[second(result.at, seconds)][index] += 1;
        }
    }
    OutcomeSeries { seconds: counts }
}

/// Counts the calls of the destinations with the largest planned shares for each second, and the calls
/// refused over the rate limit.
pub fn limits(index: &FactIndex, destinations: &[Destination], seconds: usize) -> Vec<LimitSeries> {
    let mut busiest: Vec<usize> = (0..destinations.len()).collect();
    busiest.sort_by(|a, b| destinations[*b].share.total_cmp(&destinations[*a].share));
    busiest.truncate(SHOWN_DESTINATIONS);
    let series = busiest.into_iter().map(|dest| {
        let (mut calls, mut over) = (vec![0.0; seconds], vec![0.0; seconds]);
        let destination_calls =
            index.calls.iter().filter(|c| index.terms.dest_of[c.endpoint as usize] as usize == dest);
        for call in destination_calls.filter(|c| c.last < seconds as Ns * SECOND) {
            let at = second(call.last, seconds);
            calls[at] += 1.0;
            if matches!(call.reply, Some((_, Reply::Refused { why: Refusal::Limit, .. }))) {
                over[at] += 1.0;
            }
        }
        let Destination { flagship, per_s, .. } = destinations[dest];
        LimitSeries { dest, flagship, per_s, calls, over }
    });
    series.collect()
}

/// Returns all faults of a play. Faults of one kind that begin within a second of each other are one band.
pub fn bands(facts: &[Fact], end: Ns) -> Vec<FaultBand> {
    let mut open: BTreeMap<(String, u32), Ns> = BTreeMap::new();
    let mut single: Vec<(String, u32, Ns, Ns, FaultTarget)> = Vec::new();
    for Fact { at, kind } in facts {
        let (name, number, begins, target) = match kind {
            FactKind::DestinationFault { dest, kind, begins } => {
                (name(kind), *dest, *begins, FaultTarget::Destination)
            }
            FactKind::LinkFault { sender, link, kind, begins } => {
                (format!("{} on link to {}", name(kind), name(link)), *sender, *begins, FaultTarget::Link)
            }
            FactKind::DiscoveryFault { kind, begins } => (name(kind), 0, *begins, FaultTarget::Discovery),
            FactKind::Process { sender, event } => match event {
                ProcessEvent::Killed | ProcessEvent::Terminated => {
                    ("restart".to_string(), *sender, true, FaultTarget::Sender)
                }
                ProcessEvent::Ready => ("restart".to_string(), *sender, false, FaultTarget::Sender),
                ProcessEvent::Paused => ("pause".to_string(), *sender, true, FaultTarget::Sender),
                ProcessEvent::Continued => ("pause".to_string(), *sender, false, FaultTarget::Sender),
                _ => continue,
            },
            _ => continue,
        };
        if begins {
            // Some faults, such as a reset of connections, have no end.
            let momentary =
                name.starts_with("break") || ["discovery-moves", "discovery-resets"].contains(&name.as_str());
            match momentary {
                true => single.push((name, number, *at, *at, target)),
                false => _ = open.entry((name, number)).or_insert(*at),
            }
        } else if let Some(from) = open.remove(&(name.clone(), number)) {
            single.push((name, number, from, *at, target));
        }
    }
    // Senders are terminated at the end of the play, which is not a fault.
    let unfinished = open.into_iter().filter(|((name, _), from)| name != "restart" || *from < end);
    single
        .extend(unfinished.map(|((name, number), from)| (name, number, from, end, FaultTarget::Destination)));
    merge(single)
}

/// Returns the serialised name of an enum variant.
fn name(value: &impl serde::Serialize) -> String {
    serde_json::to_value(value).ok().and_then(|v| v.as_str().map(String::from)).unwrap_or_default()
}

/// Merges faults of one name that begin within a second of each other.
fn merge(mut single: Vec<(String, u32, Ns, Ns, FaultTarget)>) -> Vec<FaultBand> {
    single.sort_by(|a, b| (&a.0, a.2).cmp(&(&b.0, b.2)));
    let mut bands: Vec<(FaultBand, Vec<u32>)> = Vec::new();
    for (title, number, from, to, target) in single {
        match bands.last_mut() {
            Some((last, numbers)) if last.title == title && from - last.from < SECOND => {
                last.to = last.to.max(to);
                numbers.push(number);
            }
            _ => bands.push((FaultBand { title, from, to, target }, vec![number])),
        }
    }
    let named = bands.into_iter().map(|(mut band, numbers)| {
        let noun = match band.target {
            FaultTarget::Destination => "destination",
            FaultTarget::Sender | FaultTarget::Link => "sender",
            FaultTarget::Discovery => return band,
        };
        let listed = numbers.iter().map(u32::to_string).collect::<Vec<_>>().join(", ");
        band.title = match numbers.len() {
            1..=4 => format!("{}: {noun} {listed}", band.title),
            n => format!("{}: {n} {noun}s", band.title),
        };
        band
    });
    let mut named: Vec<FaultBand> = named.collect();
    named.sort_by_key(|b| b.from);
    named
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::spec::EventKind;

    #[test]
    fn merges_simultaneous_faults_and_ignores_final_termination() {
        let process = |at, sender, event| Fact { at, kind: FactKind::Process { sender, event } };
        let shut = |at, begins| Fact {
            at,
            kind: FactKind::DestinationFault { dest: 4, kind: EventKind::Shut, begins },
        };
        let facts = [
            process(0, 0, ProcessEvent::Ready),
            shut(2 * SECOND, true),
            process(3 * SECOND, 0, ProcessEvent::Killed),
            process(3 * SECOND + MS, 2, ProcessEvent::Killed),
            process(4 * SECOND, 0, ProcessEvent::Ready),
            process(5 * SECOND, 2, ProcessEvent::Ready),
            shut(6 * SECOND, false),
            process(40 * SECOND, 1, ProcessEvent::Terminated),
        ];
        let bands: Vec<(String, Ns, Ns)> =
            bands(&facts, 30 * SECOND).into_iter().map(|b| (b.title, b.from, b.to)).collect();
        assert_eq!(
            bands,
            [
                ("shut: destination 4".to_string(), 2 * SECOND, 6 * SECOND),
                ("restart: sender 0, 2".to_string(), 3 * SECOND, 5 * SECOND),
            ]
        );
    }
}
