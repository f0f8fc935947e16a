//! One destination: its rate limit, and its endpoints with slots, queues, faults and cold starts.
//!
//! Calls are passed to [`Destination::arrive`], which returns what happens as [`Output`]s. The caller keeps
//! the time: it calls `finish` at the time given by `Output::Begin`, or `abandon` if the call's connection
//! ends before.
use super::limit::Limit;
use crate::clock::{from_seconds, Ns, MS, SECOND};
use crate::plan;
use crate::spec::{EventKind, Platform};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// A cold endpoint fails when it is sent more calls than this multiple of its current capacity (brief,
/// section 1.2).
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// Length of the sliding window in which the calls to a cold endpoint are counted.
const OVERLOAD_WINDOW: Ns = 3 * SECOND;
/// Calls allowed in a window in addition to `OVERLOAD_MULTIPLE`, as chance alone may bring a few more.
const OVERLOAD_SLACK_CALLS: f64 = 3.0;
/// Service time of a call that fails by `Platform::error_rate`, and the shortest service time of any call.
const QUICK_ANSWER: Ns = 3 * MS;
/// How long a draining endpoint still serves new calls. After that it refuses them.
const DRAIN_GRACE: Ns = 8 * SECOND;
/// Probability that a call takes effect although its sender closed the connection while it was in service.
const ABANDONED_EFFECT_SHARE: f64 = 0.5;

/// Number that the testbed gives a call.
pub type CallNumber = u64;

/// A call that has been received completely.
#[derive(Clone, Debug)]
pub struct Call {
    pub number: CallNumber,
    /// Index of the endpoint among the destination's.
    pub index: usize,
    /// Service time at an endpoint with a work factor of 1.
    pub work: Ns,
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The rate limit is used up.
    Limit,
    /// All slots of the endpoint are in use, and its queue is full.
    Queue,
    /// The destination refuses all calls for a time.
    Shut,
    /// The endpoint has been draining for longer than its grace period.
    Draining,
    /// The endpoint has as many connections as it accepts.
    Connections,
    /// The sender has as many calls in flight as it has slots.
    Slots,
    /// The message has had the highest number of attempts.
    Attempts,
    /// The message's deadline has passed.
    #[serde(rename = "over")]
    Expired,
    /// No client handed in the message, or not for this destination.
    #[serde(rename = "stray")]
    UnknownMessage,
}

/// How the destination answers a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Served,
    Error,
    /// A refusal, with the value of `Retry-After` if the destination gives one.
    Refused(Refusal, Option<Ns>),
    /// The connection is reset.
    Reset,
    /// 200, but the rest of the answer can't be parsed.
    Malformed,
    /// No answer, and the connection stays open.
    NoAnswer,
}

/// What happens to a call or an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// The call is in service from now until the given time.
    Begin { call: CallNumber, until: Ns },
    /// The call takes effect now.
    Effect { call: CallNumber },
    /// The call is answered now.
    Answer { call: CallNumber, answer: Answer },
    /// A cold endpoint was sent too many calls and is down for the rest of the play.
    OverloadFailure { index: usize },
}

/// A call in service; `fails` if it will be answered with an error.
struct ActiveCall {
    fails: bool,
}

/// The warm-up of an endpoint after a cold start.
struct Warmup {
    since: Ns,
    /// Times of the calls received within the last `OVERLOAD_WINDOW`.
    recent_calls: VecDeque<Ns>,
}

/// One endpoint of the destination.
struct EndpointState {
    slots: usize,
    queue_capacity: usize,
    serving: HashMap<CallNumber, ActiveCall>,
    waiting: VecDeque<Call>,
    warmup: Option<Warmup>,
    drains_since: Option<Ns>,
    failed: bool,
}

/// A destination with its endpoints.
pub struct Destination {
    limit: Limit,
    retry_after_share: f64,
    min_retry_after: Ns,
    work_factor: f64,
    error_rate: f64,
    cold_from: f64,
    warmup_span: Ns,
    /// Calls a second that a warm endpoint can serve.
    capacity_per_s: f64,
    endpoints: Vec<EndpointState>,
    /// Sizes of the current faults.
    faults: HashMap<EventKind, f64>,
    /// When a shut destination accepts calls again.
    reopens_at: Ns,
    random: ChaCha8Rng,
}

impl Destination {
    /// Creates the destination of a plan, with its endpoints in the order of their indices.
    pub fn new(
        drawn: &plan::Destination,
        endpoints: &[plan::Endpoint],
        platform: &Platform,
        random: ChaCha8Rng,
    ) -> Destination {
        let state = |e: &plan::Endpoint| EndpointState {
            slots: e.slots,
            queue_capacity: e.queue,
            serving: HashMap::new(),
            waiting: VecDeque::new(),
            warmup: None,
            drains_since: None,
            failed: false,
        };
        let work = if drawn.flagship { 245.0 } else { 160.0 } / 1_000.0 * drawn.work_factor;
        let slots = endpoints.first().map_or(1, |e| e.slots);
        Destination {
            limit: Limit::new(drawn.limit_kind, drawn.per_s, drawn.counts_refused),
            retry_after_share: drawn.retry_after_share,
            min_retry_after: drawn.min_retry_after,
            work_factor: drawn.work_factor,
            error_rate: platform.error_rate,
            cold_from: platform.cold_from,
            warmup_span: from_seconds(platform.cold_s),
            capacity_per_s: slots as f64 / work,
            endpoints: endpoints.iter().map(state).collect(),
            faults: HashMap::new(),
            reopens_at: 0,
            random,
        }
    }

    /// Begins a fault and returns the answers of the calls that it ends.
    pub fn begin_fault(&mut self, now: Ns, kind: EventKind, size: f64, until: Ns) -> Vec<Output> {
        self.faults.insert(kind, size);
        let mut outputs = Vec::new();
        match kind {
            EventKind::Limit => self.limit.scale(now, size),
            EventKind::Shut => self.reopens_at = until,
            EventKind::Down | EventKind::Silent => {
                let answer = if kind == EventKind::Down { Answer::Reset } else { Answer::NoAnswer };
                for endpoint in &mut self.endpoints {
                    let calls = endpoint.serving.drain().map(|(number, _)| number);
                    let calls = calls.chain(endpoint.waiting.drain(..).map(|c| c.number));
                    outputs.extend(calls.map(|call| Output::Answer { call, answer }));
                }
                // The iteration order of the map is not deterministic.
                outputs.sort_by_key(|output| match output {
                    Output::Answer { call, .. } => *call,
                    _ => 0,
                });
            }
            _ => {}
        }
        outputs
    }

    /// Ends a fault. After an outage all endpoints are cold (brief, section 6.6).
    pub fn end_fault(&mut self, now: Ns, kind: EventKind) {
        let size = self.faults.remove(&kind);
        let outage = match kind {
            EventKind::Down | EventKind::Silent | EventKind::Shut => true,
            EventKind::Failing => size.is_some_and(|share| share > 0.5),
            _ => false,
        };
        if kind == EventKind::Limit {
            self.limit.scale(now, 1.0);
        }
        if outage {
            for endpoint in &mut self.endpoints {
                endpoint.warmup = Some(Warmup { since: now, recent_calls: VecDeque::new() });
            }
        }
    }

    /// Lets an endpoint drain.
    pub fn drain(&mut self, now: Ns, index: usize) {
        self.endpoints[index].drains_since = Some(now);
    }

    /// Starts an endpoint for the first time; it is cold.
    pub fn start_cold(&mut self, now: Ns, index: usize) {
        self.endpoints[index].warmup = Some(Warmup { since: now, recent_calls: VecDeque::new() });
    }

    /// Returns true if the endpoint refuses connections.
    pub fn is_down(&self, index: usize) -> bool {
        self.faults.contains_key(&EventKind::Down) || self.endpoints[index].failed
    }

    /// Returns true if the destination neither answers nor accepts connections.
    pub fn is_silent(&self) -> bool {
        self.faults.contains_key(&EventKind::Silent)
    }

    /// Returns true with the given probability. A share of 0 draws no random number.
    fn draw(&mut self, share: f64) -> bool {
        share > 0.0 && self.random.random::<f64>() < share
    }

    /// Returns the size of a fault, or 0 if there is none.
    fn fault_size(&self, kind: EventKind) -> f64 {
        self.faults.get(&kind).copied().unwrap_or(0.0)
    }

    /// Returns the share of its full capacity that an endpoint has at a time.
    fn capacity_share(&self, now: Ns, index: usize) -> f64 {
        let Some(warmup) = &self.endpoints[index].warmup else { return 1.0 };
        let ramp = (now - warmup.since) as f64 / self.warmup_span.max(1) as f64;
        (self.cold_from + (1.0 - self.cold_from) * ramp).min(1.0)
    }

    /// Counts a call to a cold endpoint, whether it is refused later or not, and ends a warm-up that is
    /// complete. Returns true if the call makes the endpoint fail.
    fn fails_by_overload(&mut self, now: Ns, index: usize) -> bool {
        let capacity_share = self.capacity_share(now, index);
        let bound =
            OVERLOAD_MULTIPLE * capacity_share * self.capacity_per_s * (OVERLOAD_WINDOW / SECOND) as f64
                + OVERLOAD_SLACK_CALLS;
        let Some(warmup) = &mut self.endpoints[index].warmup else { return false };
        if capacity_share >= 1.0 {
            self.endpoints[index].warmup = None;
            return false;
        }
        warmup.recent_calls.push_back(now);
        while warmup.recent_calls.front().is_some_and(|at| *at <= now - OVERLOAD_WINDOW) {
            warmup.recent_calls.pop_front();
        }
        warmup.recent_calls.len() as f64 > bound
    }

    /// Takes a probe, which counts as a call against the limit. Returns true if the limit has room and the
    /// destination is not shut.
    pub fn probe(&mut self, now: Ns) -> bool {
        self.limit.take(now).is_ok() && !self.faults.contains_key(&EventKind::Shut)
    }

    /// Takes a call that has been received completely.
    pub fn arrive(&mut self, now: Ns, call: Call) -> Vec<Output> {
        let number = call.number;
        let index = call.index;
        let answered = |answer| vec![Output::Answer { call: number, answer }];
        if self.is_silent() {
            return answered(Answer::NoAnswer);
        }
        if self.is_down(index) {
            return answered(Answer::Reset);
        }
        if self.fails_by_overload(now, index) {
            let overloaded = &mut self.endpoints[index];
            overloaded.failed = true;
            let mut calls: Vec<_> = overloaded.serving.drain().map(|(n, _)| n).collect();
            calls.extend(overloaded.waiting.drain(..).map(|c| c.number));
            calls.push(number);
            calls.sort_unstable();
            let ends = calls.into_iter().map(|call| Output::Answer { call, answer: Answer::Reset });
            return std::iter::once(Output::OverloadFailure { index }).chain(ends).collect();
        }
        if self.faults.contains_key(&EventKind::Shut) {
            let wait = self.draw(self.retry_after_share).then_some(self.reopens_at - now);
            return answered(Answer::Refused(Refusal::Shut, wait.filter(|w| *w > 0)));
        }
        if self.endpoints[index].drains_since.is_some_and(|since| now - since > DRAIN_GRACE) {
            return answered(Answer::Refused(Refusal::Draining, None));
        }
        if let Err(room) = self.limit.take(now) {
            // After the wait there is room, unless other calls have taken it.
            let wait = self.draw(self.retry_after_share).then_some(room.max(self.min_retry_after));
            return answered(Answer::Refused(Refusal::Limit, wait));
        }
        let failing = self.fault_size(EventKind::Failing);
        if self.draw(failing) {
            return answered(Answer::Error);
        }
        if self.endpoints[index].serving.len() < self.endpoints[index].slots {
            return vec![self.serve(now, &call)];
        }
        let endpoint = &mut self.endpoints[index];
        if endpoint.waiting.len() >= endpoint.queue_capacity {
            return answered(Answer::Refused(Refusal::Queue, None));
        }
        endpoint.waiting.push_back(call);
        Vec::new()
    }

    /// Puts a call into service and draws its service time.
    fn serve(&mut self, now: Ns, call: &Call) -> Output {
        let fails = self.draw(self.error_rate);
        let slow = self.fault_size(EventKind::Slow).max(1.0);
        let noise = self.random.random_range(0.8..1.25);
        let work = call.work as f64 * self.work_factor * slow * noise / self.capacity_share(now, call.index);
        self.endpoints[call.index].serving.insert(call.number, ActiveCall { fails });
        Output::Begin {
            call: call.number,
            until: now + if fails { QUICK_ANSWER } else { (work as Ns).max(QUICK_ANSWER) },
        }
    }

    /// Ends the service of a call, at the time given by `Output::Begin`.
    pub fn finish(&mut self, now: Ns, index: usize, call: CallNumber) -> Vec<Output> {
        let Some(served) = self.endpoints[index].serving.remove(&call) else { return Vec::new() };
        let mut outputs = Vec::new();
        if served.fails {
            outputs.push(Output::Answer { call, answer: Answer::Error });
        } else {
            outputs.push(Output::Effect { call });
            let (lost, reset, malformed) = (
                self.fault_size(EventKind::LoseAnswers),
                self.fault_size(EventKind::Reset),
                self.fault_size(EventKind::Spoil),
            );
            let answer = if self.draw(lost) {
                Answer::NoAnswer
            } else if self.draw(reset) {
                Answer::Reset
            } else if self.draw(malformed) {
                Answer::Malformed
            } else {
                Answer::Served
            };
            outputs.push(Output::Answer { call, answer });
        }
        outputs.extend(self.start_waiting(now, index));
        outputs
    }

    /// Takes the end of a call's connection before its answer. Its slot is free, but it may still take
    /// effect.
    pub fn abandon(&mut self, now: Ns, index: usize, call: CallNumber) -> Vec<Output> {
        let endpoint = &mut self.endpoints[index];
        endpoint.waiting.retain(|c| c.number != call);
        let mut outputs = Vec::new();
        if endpoint.serving.remove(&call).is_some_and(|s| !s.fails) && self.draw(ABANDONED_EFFECT_SHARE) {
            outputs.push(Output::Effect { call });
        }
        outputs.extend(self.start_waiting(now, index));
        outputs
    }

    /// Puts queued calls into service while there are free slots.
    fn start_waiting(&mut self, now: Ns, index: usize) -> Vec<Output> {
        let mut outputs = Vec::new();
        while self.endpoints[index].serving.len() < self.endpoints[index].slots {
            let Some(call) = self.endpoints[index].waiting.pop_front() else { break };
            outputs.push(self.serve(now, &call));
        }
        outputs
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::platform::limit::LimitKind;
    use crate::seed::Seed;

    /// A rate limit, in calls a second, that no test reaches.
    const NO_LIMIT_PER_S: f64 = 1e6;

    fn destination(per_s: f64, slots: usize) -> Destination {
        let drawn = plan::Destination {
            flagship: false,
            share: 1.0,
            limit_kind: LimitKind::Window,
            per_s,
            counts_refused: false,
            retry_after_share: 1.0,
            min_retry_after: 0,
            work_factor: 1.0,
            endpoints: vec![0],
        };
        let endpoint = plan::Endpoint {
            name: "s-0".into(),
            dest: 0,
            zone: 0,
            slots,
            queue: 2,
            connections: None,
            listed: true,
        };
        let platform = Platform { error_rate: 0.0, ..Platform::default() };
        Destination::new(&drawn, &[endpoint], &platform, Seed(1).stream("test", 0))
    }

    fn call(number: CallNumber) -> Call {
        Call { number, index: 0, work: 100 * MS }
    }

    fn begun(outputs: &[Output]) -> Option<(CallNumber, Ns)> {
        outputs.iter().find_map(|o| match o {
            Output::Begin { call, until } => Some((*call, *until)),
            _ => None,
        })
    }

    #[test]
    fn queues_calls_beyond_slots_and_refuses_beyond_queue() {
        let mut d = destination(NO_LIMIT_PER_S, 1);
        let (first, until) = begun(&d.arrive(0, call(1))).expect("there is a slot");
        assert_eq!(d.arrive(0, call(2)), []);
        assert_eq!(d.arrive(0, call(3)), []);
        let full = Output::Answer { call: 4, answer: Answer::Refused(Refusal::Queue, None) };
        assert_eq!(d.arrive(0, call(4)), [full]);
        let outputs = d.finish(until, 0, first);
        assert_eq!(
            outputs[..2],
            [Output::Effect { call: 1 }, Output::Answer { call: 1, answer: Answer::Served }]
        );
        assert_eq!(begun(&outputs).map(|b| b.0), Some(2));
        // The connection of call 2 ends: call 3 takes its slot, and call 2 is never finished.
        assert_eq!(begun(&d.abandon(until, 0, 2)).map(|b| b.0), Some(3));
        assert_eq!(d.finish(until, 0, 2), []);
    }

    #[test]
    fn shut_destination_gives_retry_after_and_returns_cold() {
        let mut d = destination(NO_LIMIT_PER_S, 4);
        let warm = begun(&d.arrive(0, call(1))).unwrap().1;
        d.begin_fault(SECOND, EventKind::Shut, 1.0, 5 * SECOND);
        let wait = Output::Answer { call: 2, answer: Answer::Refused(Refusal::Shut, Some(3 * SECOND)) };
        assert_eq!(d.arrive(2 * SECOND, call(2)), [wait]);
        d.end_fault(5 * SECOND, EventKind::Shut);
        let cold = begun(&d.arrive(5 * SECOND, call(3))).unwrap().1 - 5 * SECOND;
        assert!(cold as f64 > 3.0 * warm as f64, "{cold} ns cold, {warm} ns warm");
        let later = 20 * SECOND;
        assert!(begun(&d.arrive(later, call(4))).unwrap().1 - later < 2 * warm);
    }

    #[test]
    fn cold_endpoint_fails_only_above_overload_multiple() {
        // Four slots of 160 ms serve 25 calls a second, or 4 a second at first. The bound in 3 s is 30 calls
        // at first and 81 after 3 s of warm-up, plus `OVERLOAD_SLACK_CALLS`.
        for (every, falls) in [(100 * MS, false), (15 * MS, true)] {
            let mut d = destination(NO_LIMIT_PER_S, 4);
            d.begin_fault(0, EventKind::Down, 1.0, SECOND);
            d.end_fault(SECOND, EventKind::Down);
            let mut fell = false;
            for i in 0..(9 * SECOND / every) {
                let now = SECOND + i * every;
                let outputs = d.arrive(now, call(i as CallNumber));
                fell |= outputs.contains(&Output::OverloadFailure { index: 0 });
                d.abandon(now, 0, i as CallNumber);
            }
            assert_eq!(fell, falls, "a call every {} ms", every / MS);
            assert_eq!(d.is_down(0), falls, "it stays down");
        }
    }

    #[test]
    fn faults_change_answers_until_they_end() {
        for (kind, answer) in [
            (EventKind::LoseAnswers, Answer::NoAnswer),
            (EventKind::Reset, Answer::Reset),
            (EventKind::Spoil, Answer::Malformed),
        ] {
            let mut d = destination(NO_LIMIT_PER_S, 1);
            d.begin_fault(0, kind, 1.0, SECOND);
            let until = begun(&d.arrive(0, call(1))).unwrap().1;
            assert_eq!(
                d.finish(until, 0, 1),
                [Output::Effect { call: 1 }, Output::Answer { call: 1, answer }]
            );
            d.end_fault(SECOND, kind);
            let until = begun(&d.arrive(SECOND, call(2))).unwrap().1;
            assert_eq!(d.finish(until, 0, 2)[1], Output::Answer { call: 2, answer: Answer::Served });
        }
        let mut d = destination(NO_LIMIT_PER_S, 1);
        d.begin_fault(0, EventKind::Failing, 1.0, SECOND);
        assert_eq!(d.arrive(0, call(1)), [Output::Answer { call: 1, answer: Answer::Error }]);
        let until = {
            d.end_fault(0, EventKind::Failing);
            begun(&d.arrive(0, call(2))).unwrap().1
        };
        assert!(until > 0);
        // A call in service when the process ends is reset and takes no effect.
        assert_eq!(
            d.begin_fault(1, EventKind::Down, 1.0, SECOND),
            [Output::Answer { call: 2, answer: Answer::Reset }]
        );
        assert_eq!(d.finish(until, 0, 2), []);
    }
}
