//! Calls: from a send to what the sender learns of its end.
use super::{Happens, World};
use crate::clock::{Ns, MS};
use crate::facts::{FactKind, Reply};
use crate::platform::destination::{self, Answer, CallNumber, Output, Refusal};
use crate::sim::network::{self, Call, WAY};
use crate::sim::senders::{Process, Tried};
use crate::spec::Link;
use sender::api::{self, Event, MsgId, Outcome};

impl World<'_> {
    pub(super) fn is_down(&self, endpoint: u32) -> bool {
        let (dest, place) = self.place(endpoint);
        !self.present[endpoint as usize] || self.dests[dest as usize].is_down(place)
    }

    /// An endpoint's destination, and its place there.
    pub(super) fn place(&self, endpoint: u32) -> (u32, usize) {
        self.places[endpoint as usize]
    }

    pub(super) fn send(&mut self, sender: u32, id: MsgId, endpoint: u32, limit: Ns, by: Ns) {
        let (now, (dest, place)) = (self.now, self.place(endpoint));
        let one = &mut self.senders[sender as usize];
        let (idle_close, dial) = (one.idle_close(), one.dial_timeout());
        let life = one.life;
        let Some(held) = one.held.get_mut(&id) else { return };
        let attempt = held.attempts.len() as u32;
        held.attempts.push(Tried { endpoint, sent: now, may_have_run: true });
        let (due, wire) = (held.due, held.wire);
        let Some(request) = self.requests.get(&(sender, id)) else { return };
        let work = self.plan.arrivals[*request as usize].work;
        let number = self.next_call;
        self.next_call += 1;
        let kept = self.pools.reuse(now, sender, endpoint, idle_close);
        let connects = network::connects(self.links.get(&(Link::Endpoints, sender)).map(|w| &w.condition));
        let silent = self.dests[dest as usize].is_silent();
        let (connected, there, crowded) = (kept, false, false);
        let mut call = Call {
            sender,
            life,
            id,
            wire,
            attempt,
            endpoint,
            place,
            sent: now,
            due,
            work,
            connected,
            there,
            crowded,
        };
        let fails =
            |call| Happens::Ends { call, outcome: Outcome::NoConnection, wait: 0, done: false, keeps: false };
        if !kept && self.is_down(endpoint) {
            self.calls.insert(number, call);
            return self.after(2 * WAY, fails(number));
        }
        if !kept && (silent || !connects) {
            self.calls.insert(number, call);
            return self.after(dial.min(by - now).max(0), fails(number));
        }
        let mut delay = WAY;
        if !kept {
            let held = self.pools.open(endpoint);
            call.connected = true;
            call.crowded =
                self.plan.endpoints[endpoint as usize].connections.is_some_and(|most| held >= most);
            self.record(FactKind::Connected { sender, endpoint });
            delay += 2 * WAY;
        }
        let passes = match self.links.get_mut(&(Link::Endpoints, sender)) {
            Some(way) => network::passes(&way.condition.to, &mut way.to, now),
            None => Some(0),
        };
        self.calls.insert(number, call);
        if let Some(held_up) = passes {
            self.after(delay + held_up, Happens::Comes { call: number, fresh: !kept });
        }
        let limit = if limit > 0 { (now + limit).min(due) } else { due };
        self.queue.push(limit.max(now), Happens::Limit { call: number });
    }

    pub(super) fn comes(&mut self, number: CallNumber, fresh: bool) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.there = true;
        let (sender, endpoint, message, first) = (call.sender, call.endpoint, call.wire, self.now);
        self.record(FactKind::CallReceived { call: number, message, sender, endpoint, first, intact: true });
        let handshake = if fresh { (self.plan.spec.platform.handshake_ms * MS as f64) as Ns } else { 0 };
        self.after(handshake, Happens::Arrives { call: number });
    }

    pub(super) fn arrives(&mut self, number: CallNumber) {
        let Some(call) = self.calls.get(&number) else { return };
        let (dest, place) = self.place(call.endpoint);
        let refusal = if call.attempt as usize >= self.plan.terms.max_attempts {
            Some(Refusal::Attempts)
        } else if self.now > call.due + 50 * MS {
            Some(Refusal::Expired)
        } else {
            call.crowded.then_some(Refusal::Connections)
        };
        let work = call.work;
        let outs = match refusal {
            Some(why) => vec![Output::Answer { call: number, answer: Answer::Refused(why, None) }],
            None => self.dests[dest as usize].arrive(self.now, destination::Call { number, place, work }),
        };
        self.carry_out(dest, outs);
    }

    pub(super) fn carry_out(&mut self, dest: u32, outs: Vec<Output>) {
        for out in outs {
            match out {
                Output::Begin { call, until } => {
                    let Some(place) = self.calls.get(&call).map(|c| c.place) else { continue };
                    self.queue.push(until, Happens::Finish { dest, place, call });
                }
                Output::Effect { call } => self.record(FactKind::Effect { call }),
                Output::Answer { call, answer } => self.answer(call, answer),
                Output::OverloadFailure { place } => {
                    let endpoint = self.endpoint(dest, place);
                    self.record(FactKind::OverloadFailure { endpoint });
                    self.reset(endpoint);
                }
            }
        }
    }

    pub(super) fn endpoint(&self, dest: u32, place: usize) -> u32 {
        self.places.iter().position(|p| *p == (dest, place)).unwrap_or_default() as u32
    }

    /// An endpoint's process has ended: so have its connections.
    pub(super) fn reset(&mut self, endpoint: u32) {
        for sender in 0..self.senders.len() as u32 {
            self.pools.close(sender, endpoint);
        }
    }

    pub(super) fn answer(&mut self, number: CallNumber, answer: Answer) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.there = false;
        let sender = call.sender;
        let (reply, outcome, wait) = match answer {
            Answer::Served | Answer::Malformed => (Reply::Delivered, Outcome::Served, None),
            Answer::Error => (Reply::Error, Outcome::ServerError, None),
            Answer::Refused(why, wait) => {
                let outcome = match why {
                    Refusal::Slots | Refusal::Attempts | Refusal::Expired | Refusal::UnknownMessage => {
                        Outcome::NotSent
                    }
                    _ => Outcome::TurnedAway,
                };
                (Reply::Refused { why, wait }, outcome, wait)
            }
            Answer::Reset => (Reply::Broken, Outcome::ConnectionLost, None),
            Answer::NoAnswer => return,
        };
        self.record(FactKind::Replied { call: number, reply });
        let over = matches!(reply, Reply::Refused { why: Refusal::Expired, .. });
        let crowd = matches!(reply, Reply::Refused { why: Refusal::Connections, .. });
        let keeps = !crowd && !matches!(answer, Answer::Reset | Answer::Malformed);
        let passes = match self.links.get_mut(&(Link::Endpoints, sender)) {
            Some(way) => network::passes(&way.condition.back, &mut way.back, self.now),
            None => Some(0),
        };
        // Over a cut it never comes, and the sender stops waiting some time.
        if let Some(held_up) = passes {
            let (wait, done) = (wait.unwrap_or(0), outcome == Outcome::Served || over);
            self.after(WAY + held_up, Happens::Ends { call: number, outcome, wait, done, keeps });
        }
    }

    /// The sender learns how a call ended.
    pub(super) fn ends(&mut self, number: CallNumber, outcome: Outcome, wait: Ns, done: bool, keeps: bool) {
        let Some(call) = self.calls.remove(&number) else { return };
        match (call.connected, keeps) {
            (true, true) => self.pools.keep(self.now, call.sender, call.endpoint),
            (true, false) => self.pools.end(call.endpoint),
            // It never came up.
            (false, _) => {}
        }
        self.book(&call, outcome, wait, done);
    }

    pub(super) fn book(&mut self, call: &Call, outcome: Outcome, wait: Ns, done: bool) {
        let one = &mut self.senders[call.sender as usize];
        if one.life != call.life || one.process == Process::Down {
            return;
        }
        if let Some(tried) =
            one.held.get_mut(&call.id).and_then(|h| h.attempts.get_mut(call.attempt as usize))
        {
            tried.may_have_run = !outcome.never_ran();
        }
        if done && one.held.remove(&call.id).is_some() {
            if let Some(request) = self.requests.remove(&(call.sender, call.id)) {
                self.asking.remove(&request);
            }
        }
        let end = api::AttemptEnd {
            id: call.id,
            attempt: call.attempt,
            endpoint: call.endpoint,
            outcome,
            took: self.now - call.sent,
            done,
            retry_after: wait,
            report: None,
        };
        self.tell(call.sender, Event::AttemptEnd(end));
    }

    /// The sender ends a call's connection.
    pub(super) fn leave(&mut self, number: CallNumber, outcome: Outcome) {
        if let Some(call) = self.break_off(number) {
            self.book(&call, outcome, 0, false);
        }
    }

    pub(super) fn break_off(&mut self, number: CallNumber) -> Option<Call> {
        let call = self.calls.remove(&number)?;
        if call.connected {
            self.pools.end(call.endpoint);
        }
        if call.there {
            self.record(FactKind::CallAbandoned { call: number });
            let (dest, place) = self.place(call.endpoint);
            let outs = self.dests[dest as usize].gone(self.now, place, number);
            self.carry_out(dest, outs);
        }
        Some(call)
    }

    pub(super) fn probe(&mut self, sender: u32, endpoint: u32) {
        let (dest, _) = self.place(endpoint);
        let life = self.senders[sender as usize].life;
        let connects = network::connects(self.links.get(&(Link::Endpoints, sender)).map(|w| &w.condition));
        let (after, outcome) = if self.is_down(endpoint) {
            (2 * WAY, Outcome::NoConnection)
        } else if self.dests[dest as usize].is_silent() || !connects {
            (self.senders[sender as usize].dial_timeout(), Outcome::NoConnection)
        } else {
            self.record(FactKind::Probed { sender, endpoint });
            let serves = self.dests[dest as usize].probe(self.now);
            (4 * WAY, if serves { Outcome::Served } else { Outcome::TurnedAway })
        };
        self.after(after, Happens::Probed { sender, life, endpoint, outcome });
    }
}
