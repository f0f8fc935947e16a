//! One destination: its limit, and its endpoints with slots, queues, troubles and cold returns.
//!
//! Calls come as [`Destination::arrive`]; what it answers and when comes out as [`Out`]. The caller keeps the time:
//! it gives `finish` for a call at the time that `Out::Begin` named, and `gone` where the call's connection ends
//! first.
use super::limit::Limit;
use crate::clock::{from_seconds, Ns, MS, SECOND};
use crate::plan;
use crate::spec::{EventKind, Platform};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// A cold endpoint falls over when it is sent more than so many times what it can do (the brief, 1.2).
pub const FALL_MULTIPLE: f64 = 2.5;
/// For so long. Any window of that length counts, so a short heavy burst can spend it all.
const FALL_WINDOW: Ns = 3 * SECOND;
/// Calls by which chance alone may pass that bound.
const FALL_SLACK: f64 = 3.0;
/// How long an answer that needs no service takes.
const QUICK: Ns = 3 * MS;
/// An endpoint that drains refuses new calls from then on; until then it does them a favour.
const DRAIN_GRACE: Ns = 8 * SECOND;

/// The testbed's number for a call.
pub type CallNumber = u64;

#[derive(Clone, Debug)]
pub struct Call {
    pub number: CallNumber,
    /// Place of the endpoint among the destination's.
    pub place: usize,
    /// At an endpoint of usual pace.
    pub work: Ns,
}

/// Why a call was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    Limit,
    Queue,
    Shut,
    Draining,
    Connections,
    /// All slots of the sender were taken.
    Slots,
    /// The message has had all its attempts.
    Attempts,
    /// The message's time is up: nothing more is owed.
    #[serde(rename = "over")]
    Expired,
    /// No such message, or not here.
    #[serde(rename = "stray")]
    UnknownMessage,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Served,
    Error,
    /// With the wait that is told, if any.
    Refused(Refusal, Option<Ns>),
    /// The connection breaks.
    Reset,
    /// 200, with the rest of the answer unreadable.
    Malformed,
    /// Nothing comes, and the connection stays.
    NoAnswer,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// The call is served from now on until that time.
    Begin {
        call: CallNumber,
        until: Ns,
    },
    /// It takes effect now.
    Effect {
        call: CallNumber,
    },
    Answer {
        call: CallNumber,
        answer: Answer,
    },
    /// A cold endpoint was sent too much and is down for good.
    OverloadFailure {
        place: usize,
    },
}

/// A call in service.
struct Served {
    fails: bool,
}

/// A cold return under way.
struct Cold {
    since: Ns,
    /// What came in the last `FALL_WINDOW`.
    sent: VecDeque<Ns>,
}

struct Place {
    slots: usize,
    room: usize,
    serving: HashMap<CallNumber, Served>,
    waiting: VecDeque<Call>,
    cold: Option<Cold>,
    drains_since: Option<Ns>,
    fallen: bool,
}

pub struct Destination {
    limit: Limit,
    tells: f64,
    wait: Ns,
    pace: f64,
    error_rate: f64,
    cold_from: f64,
    cold_for: Ns,
    /// Calls a second that an endpoint can do when it is warm.
    capacity: f64,
    places: Vec<Place>,
    /// Sizes of the troubles under way, and when a shut destination opens.
    troubles: HashMap<EventKind, f64>,
    opens: Ns,
    random: ChaCha8Rng,
}

impl Destination {
    pub fn new(
        drawn: &plan::Destination,
        endpoints: &[plan::Endpoint],
        platform: &Platform,
        random: ChaCha8Rng,
    ) -> Destination {
        let place = |e: &plan::Endpoint| Place {
            slots: e.slots,
            room: e.queue,
            serving: HashMap::new(),
            waiting: VecDeque::new(),
            cold: None,
            drains_since: None,
            fallen: false,
        };
        let work = if drawn.flagship { 245.0 } else { 160.0 } / 1_000.0 * drawn.pace;
        let slots = endpoints.first().map_or(1, |e| e.slots);
        Destination {
            limit: Limit::new(drawn.form, drawn.per_s, drawn.counts_refused),
            tells: drawn.tells,
            wait: drawn.wait,
            pace: drawn.pace,
            error_rate: platform.error_rate,
            cold_from: platform.cold_from,
            cold_for: from_seconds(platform.cold_s),
            capacity: slots as f64 / work,
            places: endpoints.iter().map(place).collect(),
            troubles: HashMap::new(),
            opens: 0,
            random,
        }
    }

    /// A trouble begins. Returns what becomes of the calls that it ends.
    pub fn begin(&mut self, now: Ns, kind: EventKind, size: f64, until: Ns) -> Vec<Output> {
        self.troubles.insert(kind, size);
        let mut outs = Vec::new();
        match kind {
            EventKind::Limit => self.limit.scale(now, size),
            EventKind::Shut => self.opens = until,
            EventKind::Down | EventKind::Silent => {
                let answer = if kind == EventKind::Down { Answer::Reset } else { Answer::NoAnswer };
                for place in &mut self.places {
                    let calls = place.serving.drain().map(|(number, _)| number);
                    let calls = calls.chain(place.waiting.drain(..).map(|c| c.number));
                    outs.extend(calls.map(|call| Output::Answer { call, answer }));
                }
                // The table's order is no seed's.
                outs.sort_by_key(|out| match out {
                    Output::Answer { call, .. } => *call,
                    _ => 0,
                });
            }
            _ => {}
        }
        outs
    }

    /// A trouble ends. After an outage all endpoints are cold (the brief, 6.6).
    pub fn end(&mut self, now: Ns, kind: EventKind) {
        let size = self.troubles.remove(&kind);
        let outage = match kind {
            EventKind::Down | EventKind::Silent | EventKind::Shut => true,
            EventKind::Failing => size.is_some_and(|share| share > 0.5),
            _ => false,
        };
        if kind == EventKind::Limit {
            self.limit.scale(now, 1.0);
        }
        if outage {
            for place in &mut self.places {
                place.cold = Some(Cold { since: now, sent: VecDeque::new() });
            }
        }
    }

    pub fn drain(&mut self, now: Ns, place: usize) {
        self.places[place].drains_since = Some(now);
    }

    /// The process at a place is up for the first time, and cold.
    pub fn fresh(&mut self, now: Ns, place: usize) {
        self.places[place].cold = Some(Cold { since: now, sent: VecDeque::new() });
    }

    /// Refuses connections at that place.
    pub fn is_down(&self, place: usize) -> bool {
        self.troubles.contains_key(&EventKind::Down) || self.places[place].fallen
    }

    pub fn is_silent(&self) -> bool {
        self.troubles.contains_key(&EventKind::Silent)
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.random.random::<f64>() < share
    }

    fn size(&self, kind: EventKind) -> f64 {
        self.troubles.get(&kind).copied().unwrap_or(0.0)
    }

    /// Share of its full capacity that an endpoint has at a time.
    fn warmth(&self, now: Ns, place: usize) -> f64 {
        let Some(cold) = &self.places[place].cold else { return 1.0 };
        let ramp = (now - cold.since) as f64 / self.cold_for.max(1) as f64;
        (self.cold_from + (1.0 - self.cold_from) * ramp).min(1.0)
    }

    /// Counts what comes to a cold endpoint, refused calls too. True when it falls over.
    fn falls(&mut self, now: Ns, place: usize) -> bool {
        let warmth = self.warmth(now, place);
        let bound = FALL_MULTIPLE * warmth * self.capacity * (FALL_WINDOW / SECOND) as f64 + FALL_SLACK;
        let Some(cold) = &mut self.places[place].cold else { return false };
        if warmth >= 1.0 {
            self.places[place].cold = None;
            return false;
        }
        cold.sent.push_back(now);
        while cold.sent.front().is_some_and(|at| *at <= now - FALL_WINDOW) {
            cold.sent.pop_front();
        }
        cold.sent.len() as f64 > bound
    }

    /// A probe has come, which counts as a call. Whether the endpoint would serve.
    pub fn probe(&mut self, now: Ns) -> bool {
        self.limit.take(now).is_ok() && !self.troubles.contains_key(&EventKind::Shut)
    }

    /// A call has come whole.
    pub fn arrive(&mut self, now: Ns, call: Call) -> Vec<Output> {
        let number = call.number;
        let place = call.place;
        let told = |answer| vec![Output::Answer { call: number, answer }];
        if self.is_silent() {
            return told(Answer::NoAnswer);
        }
        if self.is_down(place) {
            return told(Answer::Reset);
        }
        if self.falls(now, place) {
            let fallen = &mut self.places[place];
            fallen.fallen = true;
            let mut calls: Vec<_> = fallen.serving.drain().map(|(n, _)| n).collect();
            calls.extend(fallen.waiting.drain(..).map(|c| c.number));
            calls.push(number);
            calls.sort_unstable();
            let ends = calls.into_iter().map(|call| Output::Answer { call, answer: Answer::Reset });
            return std::iter::once(Output::OverloadFailure { place }).chain(ends).collect();
        }
        if self.troubles.contains_key(&EventKind::Shut) {
            let wait = self.chance(self.tells).then_some(self.opens - now);
            return told(Answer::Refused(Refusal::Shut, wait.filter(|w| *w > 0)));
        }
        if self.places[place].drains_since.is_some_and(|since| now - since > DRAIN_GRACE) {
            return told(Answer::Refused(Refusal::Draining, None));
        }
        if let Err(room) = self.limit.take(now) {
            // The wait is honest: at its end there is room, unless others have taken it.
            let wait = self.chance(self.tells).then_some(room.max(self.wait));
            return told(Answer::Refused(Refusal::Limit, wait));
        }
        let failing = self.size(EventKind::Failing);
        if self.chance(failing) {
            return told(Answer::Error);
        }
        if self.places[place].serving.len() < self.places[place].slots {
            return vec![self.serve(now, &call)];
        }
        let at = &mut self.places[place];
        if at.waiting.len() >= at.room {
            return told(Answer::Refused(Refusal::Queue, None));
        }
        at.waiting.push_back(call);
        Vec::new()
    }

    fn serve(&mut self, now: Ns, call: &Call) -> Output {
        let fails = self.chance(self.error_rate);
        let slow = self.size(EventKind::Slow).max(1.0);
        let noise = self.random.random_range(0.8..1.25);
        let work = call.work as f64 * self.pace * slow * noise / self.warmth(now, call.place);
        self.places[call.place].serving.insert(call.number, Served { fails });
        Output::Begin { call: call.number, until: now + if fails { QUICK } else { (work as Ns).max(QUICK) } }
    }

    /// A call has been served for as long as it took.
    pub fn finish(&mut self, now: Ns, place: usize, call: CallNumber) -> Vec<Output> {
        let Some(served) = self.places[place].serving.remove(&call) else { return Vec::new() };
        let mut outs = Vec::new();
        if served.fails {
            outs.push(Output::Answer { call, answer: Answer::Error });
        } else {
            outs.push(Output::Effect { call });
            let (lost, reset, spoilt) =
                (self.size(EventKind::LoseAnswers), self.size(EventKind::Reset), self.size(EventKind::Spoil));
            let answer = if self.chance(lost) {
                Answer::NoAnswer
            } else if self.chance(reset) {
                Answer::Reset
            } else if self.chance(spoilt) {
                Answer::Malformed
            } else {
                Answer::Served
            };
            outs.push(Output::Answer { call, answer });
        }
        outs.extend(self.next(now, place));
        outs
    }

    /// A call's connection has ended before its answer: its slot is free, and its work may run on.
    pub fn gone(&mut self, now: Ns, place: usize, call: CallNumber) -> Vec<Output> {
        let at = &mut self.places[place];
        at.waiting.retain(|c| c.number != call);
        let mut outs = Vec::new();
        if at.serving.remove(&call).is_some_and(|s| !s.fails) && self.chance(0.5) {
            outs.push(Output::Effect { call });
        }
        outs.extend(self.next(now, place));
        outs
    }

    fn next(&mut self, now: Ns, place: usize) -> Vec<Output> {
        let mut outs = Vec::new();
        while self.places[place].serving.len() < self.places[place].slots {
            let Some(call) = self.places[place].waiting.pop_front() else { break };
            outs.push(self.serve(now, &call));
        }
        outs
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::platform::limit::LimitKind;
    use crate::seed::Seed;

    const ROOMY: f64 = 1e6;

    fn destination(per_s: f64, slots: usize) -> Destination {
        let drawn = plan::Destination {
            flagship: false,
            share: 1.0,
            form: LimitKind::Window,
            per_s,
            counts_refused: false,
            tells: 1.0,
            wait: 0,
            pace: 1.0,
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
        Call { number, place: 0, work: 100 * MS }
    }

    fn begun(outs: &[Output]) -> Option<(CallNumber, Ns)> {
        outs.iter().find_map(|o| match o {
            Output::Begin { call, until } => Some((*call, *until)),
            _ => None,
        })
    }

    #[test]
    fn calls_beyond_the_slots_wait_beyond_the_queue_are_refused_and_a_free_slot_takes_the_next() {
        let mut d = destination(ROOMY, 1);
        let (first, until) = begun(&d.arrive(0, call(1))).expect("there is a slot");
        assert_eq!(d.arrive(0, call(2)), []);
        assert_eq!(d.arrive(0, call(3)), []);
        let full = Output::Answer { call: 4, answer: Answer::Refused(Refusal::Queue, None) };
        assert_eq!(d.arrive(0, call(4)), [full]);
        let outs = d.finish(until, 0, first);
        assert_eq!(
            outs[..2],
            [Output::Effect { call: 1 }, Output::Answer { call: 1, answer: Answer::Served }]
        );
        assert_eq!(begun(&outs).map(|b| b.0), Some(2));
        // The second's connection ends: the third takes its slot, and the second is never finished.
        assert_eq!(begun(&d.gone(until, 0, 2)).map(|b| b.0), Some(3));
        assert_eq!(d.finish(until, 0, 2), []);
    }

    #[test]
    fn a_shut_destination_tells_when_it_opens_and_returns_cold() {
        let mut d = destination(ROOMY, 4);
        let warm = begun(&d.arrive(0, call(1))).unwrap().1;
        d.begin(SECOND, EventKind::Shut, 1.0, 5 * SECOND);
        let wait = Output::Answer { call: 2, answer: Answer::Refused(Refusal::Shut, Some(3 * SECOND)) };
        assert_eq!(d.arrive(2 * SECOND, call(2)), [wait]);
        d.end(5 * SECOND, EventKind::Shut);
        let cold = begun(&d.arrive(5 * SECOND, call(3))).unwrap().1 - 5 * SECOND;
        assert!(cold as f64 > 3.0 * warm as f64, "{cold} ns cold, {warm} ns warm");
        let later = 20 * SECOND;
        assert!(begun(&d.arrive(later, call(4))).unwrap().1 - later < 2 * warm);
    }

    #[test]
    fn a_cold_endpoint_falls_over_when_sent_more_than_its_multiple_and_not_below_it() {
        // Four slots of 160 ms are 25 calls a second, 4 of them at first: 30 in 3 s are its bound then, and 81 once
        // it has been back for 3 s.
        for (every, falls) in [(100 * MS, false), (15 * MS, true)] {
            let mut d = destination(ROOMY, 4);
            d.begin(0, EventKind::Down, 1.0, SECOND);
            d.end(SECOND, EventKind::Down);
            let mut fell = false;
            for i in 0..(9 * SECOND / every) {
                let now = SECOND + i * every;
                let outs = d.arrive(now, call(i as CallNumber));
                fell |= outs.contains(&Output::OverloadFailure { place: 0 });
                d.gone(now, 0, i as CallNumber);
            }
            assert_eq!(fell, falls, "a call each {} ms", every / MS);
            assert_eq!(d.is_down(0), falls, "it stays down");
        }
    }

    #[test]
    fn troubles_show_in_answers_and_end() {
        for (kind, answer) in [
            (EventKind::LoseAnswers, Answer::NoAnswer),
            (EventKind::Reset, Answer::Reset),
            (EventKind::Spoil, Answer::Malformed),
        ] {
            let mut d = destination(ROOMY, 1);
            d.begin(0, kind, 1.0, SECOND);
            let until = begun(&d.arrive(0, call(1))).unwrap().1;
            assert_eq!(
                d.finish(until, 0, 1),
                [Output::Effect { call: 1 }, Output::Answer { call: 1, answer }]
            );
            d.end(SECOND, kind);
            let until = begun(&d.arrive(SECOND, call(2))).unwrap().1;
            assert_eq!(d.finish(until, 0, 2)[1], Output::Answer { call: 2, answer: Answer::Served });
        }
        let mut d = destination(ROOMY, 1);
        d.begin(0, EventKind::Failing, 1.0, SECOND);
        assert_eq!(d.arrive(0, call(1)), [Output::Answer { call: 1, answer: Answer::Error }]);
        let until = {
            d.end(0, EventKind::Failing);
            begun(&d.arrive(0, call(2))).unwrap().1
        };
        assert!(until > 0);
        // What is in service when the process dies is reset, and nothing of it takes effect.
        assert_eq!(
            d.begin(1, EventKind::Down, 1.0, SECOND),
            [Output::Answer { call: 2, answer: Answer::Reset }]
        );
        assert_eq!(d.finish(until, 0, 2), []);
    }
}
