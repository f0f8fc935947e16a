//! Scores a play: counts, delivery latency and the service G (brief, sections 2.1, 2.2, 3 and 6.7).
use crate::clock::{Ns, MS, SECOND};
use crate::facts::{HandInResult, Notice, Reply};
use crate::judge::{Call, FactIndex, Message};
use crate::platform::destination::Refusal;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Weights of the parts of G (brief, section 2.2).
const OVERALL_WEIGHT: f64 = 0.45;
const WORST_WINDOW_WEIGHT: f64 = 0.25;
const WORST_CLASS_WEIGHT: f64 = 0.3;
/// Length of the windows for `Service::worst_window`. One begins at each full second.
const WINDOW: Ns = 10 * SECOND;
/// Prices (brief, sections 3 and 6.7). Each is multiplied by its count per request.
const WASTED_CALL_PRICE: f64 = 0.086;
const CONNECTION_PRICE: f64 = 0.02;
const LATE_FAILURE_PRICE: f64 = 0.015;
const PROBE_PRICE: f64 = 0.01;
const OVER_LIMIT_PRICE: f64 = 0.03;

/// Counts of requests by their end, and of calls.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests: messages that clients wanted delivered, each counted once however often it was handed in.
    pub asked: usize,
    /// Delivered within the class's aim.
    pub in_time: usize,
    /// Delivered after the aim, but before the deadline.
    pub late: usize,
    /// Not delivered: the last hand-in was refused by the sender, or accepted and then handed back or refused
    /// as expired by an endpoint.
    pub handed_back: usize,
    /// Given up by the sender, delivered after the deadline, or not delivered and the last hand-in failed
    /// (`HandInResult::Failed`).
    pub given_up: usize,
    /// The last hand-in got no answer, so no sender is responsible for the message.
    pub unheard: usize,
    /// Accepted, but never ended.
    pub lost: usize,
    /// Accepted messages that never ended and whose sender's state folder was emptied after they were
    /// accepted. This violates no rule.
    pub lost_with_folder: usize,
    /// Messages that must not be repeated and took effect more than once under one id.
    pub repeated: usize,
    pub calls: usize,
    /// Calls refused by a rate limit.
    pub over_limit: usize,
    pub connections: usize,
    pub probes: usize,
}

/// The service G and its parts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub g: f64,
    /// Worth earned, as a share of the worth of all requests.
    pub whole: f64,
    /// Lowest such share of the requests of a window.
    pub worst_window: f64,
    /// Lowest such share of the requests of a class.
    pub worst_class: f64,
    /// Sum of all prices per request, which is subtracted from G.
    pub prices: f64,
    /// By class number: worth earned, as a share of the worth of the class's requests.
    pub classes: Vec<f64>,
}

/// Percentiles of the time from a request to its delivery, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
}

/// How a request ended. `Counts` says what each means.
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

/// The end of a request and the worth it earned.
#[derive(Clone, Copy, Debug)]
pub struct RequestResult {
    pub at: Ns,
    pub class: usize,
    pub end: RequestEnd,
    /// Time from the request to its delivery.
    pub took: Option<Ns>,
    pub worth: f64,
}

/// Returns the result of each request, in the order of the requests' numbers.
pub fn request_results(index: &FactIndex) -> Vec<RequestResult> {
    index
        .requests
        .values()
        .map(|request| {
            let messages = request.messages.iter().filter_map(|id| index.messages.get(id));
            // Deliveries count only under an id of which the client learned that it was accepted.
            let accepted: Vec<_> = messages.clone().filter(|m| m.accepted_at().is_some()).collect();
            let delivered = accepted.iter().filter_map(|m| index.delivered_at(m)).min();
            let class = &index.terms.classes[request.class];
            let took = delivered.map(|at| at - request.at);
            let end = match took {
                Some(took) if took <= class.aim => RequestEnd::InTime,
                Some(took) if took <= class.deadline => RequestEnd::Late,
                Some(_) => RequestEnd::GivenUp,
                None => {
                    let last = messages.clone().next_back();
                    let given_up = |m: &&Message| m.notices.iter().any(|(_, n)| *n == Notice::GivenUp);
                    match last.and_then(|m| m.result) {
                        _ if accepted.iter().any(|m| index.ended_at(m).is_none()) => RequestEnd::Lost,
                        _ if accepted.iter().any(given_up) => RequestEnd::GivenUp,
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

/// Counts requests by their end, and calls, connections and probes.
pub fn counts(index: &FactIndex, results: &[RequestResult]) -> Counts {
    let ended = |end: RequestEnd| results.iter().filter(|s| s.end == end).count();
    let is_over_limit = |reply: Reply| matches!(reply, Reply::Refused { why: Refusal::Limit, .. });
    let repeated = index.messages.values().filter(|m| {
        let no_repeat = index.class_of(m).is_some_and(|c| !index.terms.classes[c].may_repeat);
        no_repeat && m.calls.iter().map(|c| index.calls[*c].effects.len()).sum::<usize>() > 1
    });
    let with_folder = index.messages.values().filter(|m| {
        m.accepted_at().is_some_and(|at| index.ended_at(m).is_none() && index.emptied_after(m.sender, at))
    });
    Counts {
        lost_with_folder: with_folder.count(),
        asked: results.len(),
        in_time: ended(RequestEnd::InTime),
        late: ended(RequestEnd::Late),
        handed_back: ended(RequestEnd::HandedBack),
        given_up: ended(RequestEnd::GivenUp),
        unheard: ended(RequestEnd::Unheard),
        lost: ended(RequestEnd::Lost),
        repeated: repeated.count(),
        calls: index.calls.len(),
        over_limit: index.calls.iter().filter(|c| c.reply.is_some_and(|(_, r)| is_over_limit(r))).count(),
        connections: index.connections,
        probes: index.probes,
    }
}

/// Computes G.
pub fn service(index: &FactIndex, results: &[RequestResult]) -> Service {
    let full_worth = |s: &RequestResult| index.terms.classes[s.class].worth;
    let share = |of: &mut dyn Iterator<Item = &RequestResult>| {
        let (got, asked) = of.fold((0.0, 0.0), |(g, a), s| (g + s.worth, a + full_worth(s)));
        (got, asked)
    };
    let ratio = |(got, asked): (f64, f64)| if asked > 0.0 { got / asked } else { 1.0 };
    let whole = ratio(share(&mut results.iter()));
    let classes: Vec<f64> = (0..index.terms.classes.len())
        .map(|class| ratio(share(&mut results.iter().filter(|s| s.class == class))))
        .collect();
    let starts = (0..=(index.terms.request_span - WINDOW).max(0) / SECOND).map(|s| s * SECOND);
    let window =
        |from: Ns| ratio(share(&mut results.iter().filter(|s| (from..from + WINDOW).contains(&s.at))));
    let worst_window = starts.map(window).fold(1.0, f64::min);
    let worst_class = classes.iter().copied().fold(1.0, f64::min);
    let prices = prices(index, results);
    let g = OVERALL_WEIGHT * whole + WORST_WINDOW_WEIGHT * worst_window + WORST_CLASS_WEIGHT * worst_class
        - prices;
    Service { g, whole, worst_window, worst_class, prices, classes }
}

/// Returns the sum of all prices per request.
fn prices(index: &FactIndex, results: &[RequestResult]) -> f64 {
    if results.is_empty() {
        return 0.0;
    }
    let requests = results.len() as f64;
    let is_over_limit = |c: &&Call| matches!(c.reply, Some((_, Reply::Refused { why: Refusal::Limit, .. })));
    let had_effect = |c: &&Call| !c.effects.is_empty();
    let delivered = |c: &&Call| matches!(c.reply, Some((_, Reply::Delivered)));
    let wasted = index.calls.iter().filter(had_effect).filter(|c| !delivered(c)).count();
    let failed =
        |s: &&RequestResult| s.worth == 0.0 && matches!(s.end, RequestEnd::GivenUp | RequestEnd::Lost);
    WASTED_CALL_PRICE * wasted as f64 / requests
        + CONNECTION_PRICE * index.connections as f64 / requests
        + PROBE_PRICE * index.probes as f64 / requests
        + OVER_LIMIT_PRICE * index.calls.iter().filter(is_over_limit).count() as f64 / requests
        + LATE_FAILURE_PRICE * results.iter().filter(failed).count() as f64 / requests
}

/// Computes the latency percentiles of delivered requests.
pub fn latency(results: &[RequestResult]) -> Latency {
    let max_us = 3_600 * 1_000_000;
    let mut histogram = Histogram::<u64>::new_with_bounds(1, max_us, 3).expect("the bounds are valid");
    for took in results.iter().filter_map(|s| s.took) {
        histogram.saturating_record((took.max(0) / 1_000) as u64);
    }
    let ms = |us: u64| us as f64 * 1_000.0 / MS as f64;
    let at = |percent| ms(histogram.value_at_percentile(percent));
    Latency { p50_ms: at(50.0), p90_ms: at(90.0), p99_ms: at(99.0), max_ms: ms(histogram.max()) }
}
