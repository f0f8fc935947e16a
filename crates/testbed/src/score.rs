//! How well a play was served: counts, latency, and G as the brief states it (2.1, 2.2, 3, 6.7).
use crate::clock::{Ns, MS, SECOND};
use crate::facts::{HandInResult, Notice, Reply};
use crate::judge::{Call, FactIndex, Message};
use crate::platform::destination::Refusal;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Weights of service (the brief, 2.2).
const WHOLE: f64 = 0.45;
const WORST_WINDOW: f64 = 0.25;
const WORST_CLASS: f64 = 0.3;
const WINDOW: Ns = 10 * SECOND;
/// Prices (the brief, 3 and 6.7), each times its share or count for each first try.
const WASTE: f64 = 0.086;
const HANDSHAKE: f64 = 0.02;
const LATE_FAIL: f64 = 0.015;
const PROBE: f64 = 0.01;
const REFUSED: f64 = 0.03;

/// What became of the messages that clients wanted delivered, each counted once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    pub asked: usize,
    /// Delivered within the wanted time, or after it but before the deadline.
    pub in_time: usize,
    pub late: usize,
    /// Refused by the sender or handed back, and not delivered later.
    pub handed_back: usize,
    pub given_up: usize,
    /// The client was never answered, so that nobody owes it anything.
    pub unheard: usize,
    /// Taken on, and without an end.
    pub lost: usize,
    /// Those among the lost that went with their sender's folder: nobody is to blame for them.
    pub lost_with_folder: usize,
    /// Messages not to be repeated that took effect more than once under one id.
    pub repeated: usize,
    /// Calls, and those of them that a limit refused.
    pub calls: usize,
    pub over_limit: usize,
    pub connections: usize,
    pub probes: usize,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub g: f64,
    /// Shares of the worth asked for.
    pub whole: f64,
    pub worst_window: f64,
    pub worst_class: f64,
    pub prices: f64,
    /// By class, in the order of their numbers.
    pub classes: Vec<f64>,
}

/// From the time at which the client wanted to hand the message in, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
}

/// A request's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEnd {
    InTime,
    Late,
    HandedBack,
    GivenUp,
    Unheard,
    Lost,
}

/// One request as the report shows it.
#[derive(Clone, Copy, Debug)]
pub struct RequestResult {
    pub at: Ns,
    pub class: usize,
    pub end: RequestEnd,
    /// From when it was asked for to its delivery.
    pub took: Option<Ns>,
    pub worth: f64,
}

/// What became of each request, in the order in which they were asked for.
pub fn request_results(case: &FactIndex) -> Vec<RequestResult> {
    case.requests
        .values()
        .map(|request| {
            let messages = request.messages.iter().filter_map(|id| case.messages.get(id));
            // What a sender does under an id whose client did not hear that it is taken on counts for nothing.
            let taken: Vec<_> = messages.clone().filter(|m| m.taken().is_some()).collect();
            let delivered = taken.iter().filter_map(|m| case.delivered(m)).min();
            let class = &case.terms.classes[request.class];
            let took = delivered.map(|at| at - request.at);
            let end = match took {
                Some(took) if took <= class.aim => RequestEnd::InTime,
                Some(took) if took <= class.deadline => RequestEnd::Late,
                Some(_) => RequestEnd::GivenUp,
                None => {
                    let last = messages.clone().next_back();
                    let given_up = |m: &&Message| m.notices.iter().any(|(_, n)| *n == Notice::GivenUp);
                    match last.and_then(|m| m.heard) {
                        _ if taken.iter().any(|m| case.ended(m).is_none()) => RequestEnd::Lost,
                        _ if taken.iter().any(given_up) => RequestEnd::GivenUp,
                        Some((_, HandInResult::Refused)) => RequestEnd::HandedBack,
                        Some((_, HandInResult::Accepted)) => RequestEnd::HandedBack,
                        Some((_, HandInResult::Failed)) => RequestEnd::GivenUp,
                        _ => RequestEnd::Unheard,
                    }
                }
            };
            let worth = match (end, took) {
                (RequestEnd::InTime, _) => class.worth,
                (RequestEnd::Late, Some(took)) => {
                    let late = (took - class.aim) as f64 / (class.deadline - class.aim).max(1) as f64;
                    class.worth * (1.0 - late * (1.0 - class.late_worth))
                }
                _ => 0.0,
            };
            RequestResult { at: request.at, class: request.class, end, took, worth }
        })
        .collect()
}

pub fn counts(case: &FactIndex, served: &[RequestResult]) -> Counts {
    let ended = |end: RequestEnd| served.iter().filter(|s| s.end == end).count();
    let over = |reply: Reply| matches!(reply, Reply::Refused { why: Refusal::Limit, .. });
    let repeated = case.messages.values().filter(|m| {
        let once = case.class_of(m).is_some_and(|c| !case.terms.classes[c].may_repeat);
        once && m.calls.iter().map(|c| case.calls[*c].effects.len()).sum::<usize>() > 1
    });
    let with_folder = case.messages.values().filter(|m| {
        m.taken().is_some_and(|taken| case.ended(m).is_none() && case.emptied_after(m.sender, taken))
    });
    Counts {
        lost_with_folder: with_folder.count(),
        asked: served.len(),
        in_time: ended(RequestEnd::InTime),
        late: ended(RequestEnd::Late),
        handed_back: ended(RequestEnd::HandedBack),
        given_up: ended(RequestEnd::GivenUp),
        unheard: ended(RequestEnd::Unheard),
        lost: ended(RequestEnd::Lost),
        repeated: repeated.count(),
        calls: case.calls.len(),
        over_limit: case.calls.iter().filter(|c| c.reply.is_some_and(|(_, r)| over(r))).count(),
        connections: case.connections,
        probes: case.probes,
    }
}

pub fn service(case: &FactIndex, served: &[RequestResult]) -> Service {
    let worth_of = |s: &RequestResult| case.terms.classes[s.class].worth;
    let share = |of: &mut dyn Iterator<Item = &RequestResult>| {
        let (got, asked) = of.fold((0.0, 0.0), |(g, a), s| (g + s.worth, a + worth_of(s)));
        (got, asked)
    };
    let ratio = |(got, asked): (f64, f64)| if asked > 0.0 { got / asked } else { 1.0 };
    let whole = ratio(share(&mut served.iter()));
    let classes: Vec<f64> = (0..case.terms.classes.len())
        .map(|class| ratio(share(&mut served.iter().filter(|s| s.class == class))))
        .collect();
    let starts = (0..=(case.terms.request_span - WINDOW).max(0) / SECOND).map(|s| s * SECOND);
    let window =
        |from: Ns| ratio(share(&mut served.iter().filter(|s| (from..from + WINDOW).contains(&s.at))));
    let worst_window = starts.map(window).fold(1.0, f64::min);
    let worst_class = classes.iter().copied().fold(1.0, f64::min);
    let prices = prices(case, served);
    let g = WHOLE * whole + WORST_WINDOW * worst_window + WORST_CLASS * worst_class - prices;
    Service { g, whole, worst_window, worst_class, prices, classes }
}

fn prices(case: &FactIndex, served: &[RequestResult]) -> f64 {
    if served.is_empty() {
        return 0.0;
    }
    let tries = served.len() as f64;
    let over = |c: &&Call| matches!(c.reply, Some((_, Reply::Refused { why: Refusal::Limit, .. })));
    let ran = |c: &&Call| !c.effects.is_empty();
    let delivered = |c: &&Call| matches!(c.reply, Some((_, Reply::Delivered)));
    let wasted = case.calls.iter().filter(ran).filter(|c| !delivered(c)).count();
    let late = |s: &&RequestResult| s.worth == 0.0 && matches!(s.end, RequestEnd::GivenUp | RequestEnd::Lost);
    WASTE * wasted as f64 / tries
        + HANDSHAKE * case.connections as f64 / tries
        + PROBE * case.probes as f64 / tries
        + REFUSED * case.calls.iter().filter(over).count() as f64 / tries
        + LATE_FAIL * served.iter().filter(late).count() as f64 / tries
}

pub fn latency(served: &[RequestResult]) -> Latency {
    let most = 3_600 * 1_000_000;
    let mut seen = Histogram::<u64>::new_with_bounds(1, most, 3).expect("the bounds are valid");
    for took in served.iter().filter_map(|s| s.took) {
        seen.saturating_record((took.max(0) / 1_000) as u64);
    }
    let ms = |us: u64| us as f64 * 1_000.0 / MS as f64;
    let at = |percent| ms(seen.value_at_percentile(percent));
    Latency { p50_ms: at(50.0), p90_ms: at(90.0), p99_ms: at(99.0), max_ms: ms(seen.max()) }
}
