//! Interprets an endpoint's answer: the outcome of each message of the call, and the endpoint's load report.
use super::CallMember;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, RETRY_AFTER};
use sender::api::{AttemptEnd, EndpointId, LimitReport, Ns, Outcome};
use serde_json::Value;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The answer to a call.
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    /// The whole body, if the call had several messages and the status is 200.
    pub batch_body: Option<Bytes>,
    /// The body that is still to be read, in all other cases.
    pub unread_body: Option<Incoming>,
}

/// Returns the end of a call member's attempt, from the time at which the call started.
pub fn member_end(m: &CallMember, endpoint: EndpointId, outcome: Outcome, started: Instant) -> AttemptEnd {
    attempt_end(m.message.id, m.attempt, endpoint, outcome, started)
}

/// Returns the end of an attempt that started at the given time, without retry-after and load report.
pub fn attempt_end(
    id: u64,
    attempt: u32,
    endpoint: EndpointId,
    outcome: Outcome,
    started: Instant,
) -> AttemptEnd {
    let done = outcome == Outcome::Served;
    let took = started.elapsed().as_nanos() as Ns;
    AttemptEnd { id, attempt, endpoint, outcome, took, done, retry_after: 0, report: None }
}

/// Maps a status to an outcome and whether the message is done, by the table of the protocol. After a status
/// that is not in the table the message may have taken effect.
pub fn outcome_of_status(status: u16, headers: &HeaderMap) -> (Outcome, bool) {
    match status {
        200 => (Outcome::Served, true),
        429 => (Outcome::TurnedAway, false),
        503 if headers.get("x-line-busy").is_some_and(|v| v.as_bytes() == b"1") => (Outcome::NotSent, false),
        503 => (Outcome::TurnedAway, false),
        410 => (Outcome::NotSent, true),
        504 => (Outcome::NotSent, false),
        400 | 413 => (Outcome::Malformed, false),
        _ => (Outcome::ServerError, false),
    }
}

/// Returns how the attempt of each message of a call ended, by the call's answer.
pub fn attempt_ends(
    members: &[CallMember],
    answer: &Answer,
    endpoint: EndpointId,
    started: Instant,
) -> Vec<AttemptEnd> {
    let wait = retry_after(&answer.headers).map_or(0, |w| w.as_nanos() as Ns);
    let report = load_report(&answer.headers);
    let entries: Option<Vec<Value>> =
        answer.batch_body.as_ref().map(|b| serde_json::from_slice(b).unwrap_or_default());
    let text = |v: &Value, key: &str| v.get(key).and_then(Value::as_str).map(str::to_string);
    let states: Option<HashMap<String, String>> =
        entries.map(|l| l.iter().filter_map(|v| Some((text(v, "id")?, text(v, "state")?))).collect());
    let outcome_of = |m: &CallMember| {
        let Some(states) = &states else {
            return match outcome_of_status(answer.status, &answer.headers) {
                // The answer does not tell which message of a batch is malformed, so none is given up.
                (Outcome::Malformed, done) if members.len() > 1 => (Outcome::NotSent, done),
                other => other,
            };
        };
        match states.get(&m.message.trace_id).map(String::as_str) {
            Some("done") => (Outcome::Served, true),
            Some("busy") => (Outcome::TurnedAway, false),
            Some("void") => (Outcome::NotSent, true),
            Some("used_up") => (Outcome::NotSent, false),
            // With `failed`, any other state or none, the message may have taken effect.
            _ => (Outcome::ServerError, false),
        }
    };
    let to_end = |m: &CallMember| {
        let (outcome, done) = outcome_of(m);
        AttemptEnd { done, retry_after: wait, report, ..member_end(m, endpoint, outcome, started) }
    };
    members.iter().map(to_end).collect()
}

/// Parses `Retry-After` in seconds, with or without decimals; None if it is missing, malformed or not between
/// 0 and a day.
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds > 0.0 && seconds < 86_400.0).then(|| Duration::from_secs_f64(seconds))
}

/// Parses a load report of the form `Endpoint-Load-Metrics: TEXT x0=0.4, x1=25`.
pub fn load_report(headers: &HeaderMap) -> Option<LimitReport> {
    let text = headers.get("endpoint-load-metrics")?.to_str().ok()?;
    let value = |name: &str| {
        let mut pairs = text.split([',', ' ']).filter_map(|p| p.split_once('='));
        pairs.find(|(key, _)| *key == name).and_then(|(_, v)| v.trim().parse::<f64>().ok())
    };
    match (value("x0"), value("x1")) {
        (None, None) => None,
        (left, limit) => Some(LimitReport { remaining: left.unwrap_or(0.0), limit: limit.unwrap_or(0.0) }),
    }
}
