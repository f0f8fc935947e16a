//! Figures over time, a second each, and the faults as bands.
use crate::clock::{Ns, MS, SECOND};
use crate::facts::{Fact, FactKind, ProcessEvent, Reply};
use crate::judge::FactIndex;
use crate::plan::{Destination, Terms};
use crate::platform::destination::Refusal;
use crate::score::{RequestEnd, RequestResult};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Destinations whose limits are shown: those with most traffic.
const SHOWN: usize = 6;

/// Something that went wrong, from when to when.
#[derive(Clone, Debug, PartialEq)]
pub struct Band {
    pub what: String,
    pub from: Ns,
    pub to: Ns,
    pub at_whom: Whom,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whom {
    Destination,
    Sender,
    Discovery,
    Link,
}

/// Of the messages asked for in each second: how long their delivery took, in milliseconds.
pub struct LatencyOf {
    pub p50: Vec<Option<f64>>,
    pub p99: Vec<Option<f64>>,
}

/// Of the messages asked for in each second, how many ended in each way, in the order of `ENDS`.
pub struct OutcomesOf {
    pub seconds: Vec<[usize; ENDS.len()]>,
}

pub const ENDS: [(RequestEnd, &str); 6] = [
    (RequestEnd::InTime, "in time"),
    (RequestEnd::Late, "late"),
    (RequestEnd::HandedBack, "handed back"),
    (RequestEnd::GivenUp, "given up"),
    (RequestEnd::Unheard, "never answered"),
    (RequestEnd::Lost, "lost"),
];

/// One destination's calls in each second.
pub struct LimitOf {
    pub dest: usize,
    pub flagship: bool,
    pub per_s: f64,
    pub calls: Vec<f64>,
    pub over: Vec<f64>,
}

/// Seconds in which messages are asked for.
pub fn seconds(terms: &Terms) -> usize {
    (terms.request_span.max(SECOND) as f64 / SECOND as f64).ceil() as usize
}

fn second(at: Ns, seconds: usize) -> usize {
    ((at / SECOND).max(0) as usize).min(seconds - 1)
}

pub fn latency(served: &[RequestResult], seconds: usize) -> LatencyOf {
    let empty = Histogram::<u64>::new_with_bounds(1, 3_600_000, 3).expect("the bounds are valid");
    let mut all = vec![empty; seconds];
    for one in served {
        if let Some(took) = one.took {
            all[second(one.at, seconds)].saturating_record((took.max(0) / MS) as u64);
        }
    }
    let at = |percent| {
        let of = |h: &Histogram<u64>| (!h.is_empty()).then(|| h.value_at_percentile(percent).max(1) as f64);
        all.iter().map(of).collect()
    };
    LatencyOf { p50: at(50.0), p99: at(99.0) }
}

pub fn outcomes(served: &[RequestResult], seconds: usize) -> OutcomesOf {
    let mut all = vec![[0; ENDS.len()]; seconds];
    for one in served {
        if let Some(place) = ENDS.iter().position(|(end, _)| *end == one.end) {
            all[second(one.at, seconds)][place] += 1;
        }
    }
    OutcomesOf { seconds: all }
}

pub fn limits(case: &FactIndex, destinations: &[Destination], seconds: usize) -> Vec<LimitOf> {
    let mut busiest: Vec<usize> = (0..destinations.len()).collect();
    busiest.sort_by(|a, b| destinations[*b].share.total_cmp(&destinations[*a].share));
    busiest.truncate(SHOWN);
    let shown = busiest.into_iter().map(|dest| {
        let (mut calls, mut over) = (vec![0.0; seconds], vec![0.0; seconds]);
        let own = case.calls.iter().filter(|c| case.terms.dest_of[c.endpoint as usize] as usize == dest);
        for call in own.filter(|c| c.last < seconds as Ns * SECOND) {
            let at = second(call.last, seconds);
            calls[at] += 1.0;
            if matches!(call.reply, Some((_, Reply::Refused { why: Refusal::Limit, .. }))) {
                over[at] += 1.0;
            }
        }
        let Destination { flagship, per_s, .. } = destinations[dest];
        LimitOf { dest, flagship, per_s, calls, over }
    });
    shown.collect()
}

/// All faults of a play. Those of one kind that strike several at once are one band.
pub fn bands(facts: &[Fact], end: Ns) -> Vec<Band> {
    let mut open: BTreeMap<(String, u32), Ns> = BTreeMap::new();
    let mut single: Vec<(String, u32, Ns, Ns, Whom)> = Vec::new();
    for Fact { at, kind } in facts {
        let (name, number, begins, whom) = match kind {
            FactKind::DestinationFault { dest, kind, begins } => {
                (name(kind), *dest, *begins, Whom::Destination)
            }
            FactKind::LinkFault { sender, link, kind, begins } => {
                (format!("{} on link to {}", name(kind), name(link)), *sender, *begins, Whom::Link)
            }
            FactKind::DiscoveryFault { kind, begins } => (name(kind), 0, *begins, Whom::Discovery),
            FactKind::Process { sender, event } => match event {
                ProcessEvent::Killed | ProcessEvent::Terminated => {
                    ("restart".to_string(), *sender, true, Whom::Sender)
                }
                ProcessEvent::Ready => ("restart".to_string(), *sender, false, Whom::Sender),
                ProcessEvent::Paused => ("pause".to_string(), *sender, true, Whom::Sender),
                ProcessEvent::Continued => ("pause".to_string(), *sender, false, Whom::Sender),
                _ => continue,
            },
            _ => continue,
        };
        if begins {
            // What only begins, as a break of connections, is a moment.
            let moment =
                name.starts_with("break") || ["discovery-moves", "discovery-resets"].contains(&name.as_str());
            match moment {
                true => single.push((name, number, *at, *at, whom)),
                false => _ = open.entry((name, number)).or_insert(*at),
            }
        } else if let Some(from) = open.remove(&(name.clone(), number)) {
            single.push((name, number, from, *at, whom));
        }
    }
    // Senders are ended with the play, and that is no fault.
    let left = open.into_iter().filter(|((name, _), from)| name != "restart" || *from < end);
    single.extend(left.map(|((name, number), from)| (name, number, from, end, Whom::Destination)));
    merge(single)
}

fn name(value: &impl serde::Serialize) -> String {
    serde_json::to_value(value).ok().and_then(|v| v.as_str().map(String::from)).unwrap_or_default()
}

/// Bands of one name that begin within a second of each other.
fn merge(mut single: Vec<(String, u32, Ns, Ns, Whom)>) -> Vec<Band> {
    single.sort_by(|a, b| (&a.0, a.2).cmp(&(&b.0, b.2)));
    let mut bands: Vec<(Band, Vec<u32>)> = Vec::new();
    for (what, number, from, to, at_whom) in single {
        match bands.last_mut() {
            Some((last, numbers)) if last.what == what && from - last.from < SECOND => {
                last.to = last.to.max(to);
                numbers.push(number);
            }
            _ => bands.push((Band { what, from, to, at_whom }, vec![number])),
        }
    }
    let named = bands.into_iter().map(|(mut band, numbers)| {
        let whom = match band.at_whom {
            Whom::Destination => "destination",
            Whom::Sender | Whom::Link => "sender",
            Whom::Discovery => return band,
        };
        let listed = numbers.iter().map(u32::to_string).collect::<Vec<_>>().join(", ");
        band.what = match numbers.len() {
            1..=4 => format!("{}: {whom} {listed}", band.what),
            n => format!("{}: {n} {whom}s", band.what),
        };
        band
    });
    let mut named: Vec<Band> = named.collect();
    named.sort_by_key(|b| b.from);
    named
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::spec::EventKind;

    #[test]
    fn faults_that_strike_together_are_one_band_and_the_plays_own_end_is_none() {
        let life = |at, sender, life| Fact { at, kind: FactKind::Process { sender, event: life } };
        let shut = |at, begins| Fact {
            at,
            kind: FactKind::DestinationFault { dest: 4, kind: EventKind::Shut, begins },
        };
        let facts = [
            life(0, 0, ProcessEvent::Ready),
            shut(2 * SECOND, true),
            life(3 * SECOND, 0, ProcessEvent::Killed),
            life(3 * SECOND + MS, 2, ProcessEvent::Killed),
            life(4 * SECOND, 0, ProcessEvent::Ready),
            life(5 * SECOND, 2, ProcessEvent::Ready),
            shut(6 * SECOND, false),
            life(40 * SECOND, 1, ProcessEvent::Terminated),
        ];
        let bands: Vec<(String, Ns, Ns)> =
            bands(&facts, 30 * SECOND).into_iter().map(|b| (b.what, b.from, b.to)).collect();
        assert_eq!(
            bands,
            [
                ("shut: destination 4".to_string(), 2 * SECOND, 6 * SECOND),
                ("restart: sender 0, 2".to_string(), 3 * SECOND, 5 * SECOND),
            ]
        );
    }
}
