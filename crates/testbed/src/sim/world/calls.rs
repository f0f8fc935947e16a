//! Calls and probes in simulated time, from the sender's action to the event that tells it the end.
use super::{SimEvent, World};
use crate::clock::{Ns, MS};
use crate::facts::{FactKind, Reply};
use crate::platform::destination::{self, Answer, CallNumber, Output, Refusal};
use crate::sim::network::{self, Call, ONE_WAY_DELAY};
use crate::sim::senders::{Process, SentAttempt};
use crate::spec::Link;
use sender::api::{self, Event, MsgId, Outcome};

/// How long after its deadline a message is still accepted by endpoints.
const EXPIRY_GRACE: Ns = 50 * MS;

impl World<'_> {
    /// Returns true if an endpoint refuses connections.
    pub(super) fn is_down(&self, endpoint: u32) -> bool {
        let (dest, index) = self.locate(endpoint);
        !self.present[endpoint as usize] || self.dests[dest as usize].is_down(index)
    }

    /// Returns an endpoint's destination and its index there.
    pub(super) fn locate(&self, endpoint: u32) -> (u32, usize) {
        self.locations[endpoint as usize]
    }

    /// Starts a call. `limit` is its time limit (0 if only the deadline limits it), `by` the time by which it
    /// has to have a connection.
    pub(super) fn send_call(&mut self, sender: u32, id: MsgId, endpoint: u32, limit: Ns, by: Ns) {
        let (now, (dest, index)) = (self.now, self.locate(endpoint));
        let sender_state = &mut self.senders[sender as usize];
        let (idle_close, dial) = (sender_state.idle_close(), sender_state.dial_timeout());
        let incarnation = sender_state.incarnation;
        let Some(held) = sender_state.held.get_mut(&id) else { return };
        let attempt = held.attempts.len() as u32;
        held.attempts.push(SentAttempt { endpoint, sent: now, may_have_run: true });
        let (due, wire_id) = (held.due, held.wire_id);
        let Some(request) = self.requests.get(&(sender, id)) else { return };
        let work = self.plan.arrivals[*request as usize].work;
        let number = self.next_call;
        self.next_call += 1;
        let reused = self.pools.reuse(now, sender, endpoint, idle_close);
        let connects = network::connects(self.links.get(&(Link::Endpoints, sender)).map(|w| &w.condition));
        let silent = self.dests[dest as usize].is_silent();
        let (connected, at_endpoint, over_connection_limit) = (reused, false, false);
        let mut call = Call {
            sender,
            incarnation,
            id,
            wire_id,
            attempt,
            endpoint,
            index,
            sent: now,
            due,
            work,
            connected,
            at_endpoint,
            over_connection_limit,
        };
        let fails = |call| SimEvent::CallEnds {
            call,
            outcome: Outcome::NoConnection,
            wait: 0,
            done: false,
            connection_kept: false,
        };
        if !reused && self.is_down(endpoint) {
            self.calls.insert(number, call);
            return self.after(2 * ONE_WAY_DELAY, fails(number));
        }
        if !reused && (silent || !connects) {
            self.calls.insert(number, call);
            return self.after(dial.min(by - now).max(0), fails(number));
        }
        let mut delay = ONE_WAY_DELAY;
        if !reused {
            let held = self.pools.open(endpoint);
            call.connected = true;
            call.over_connection_limit =
                self.plan.endpoints[endpoint as usize].connections.is_some_and(|most| held >= most);
            self.record(FactKind::Connected { sender, endpoint });
            delay += 2 * ONE_WAY_DELAY;
        }
        let link_delay = match self.links.get_mut(&(Link::Endpoints, sender)) {
            Some(link) => network::link_delay(&link.condition.forward, &mut link.forward, now),
            None => Some(0),
        };
        self.calls.insert(number, call);
        if let Some(link_delay) = link_delay {
            self.after(delay + link_delay, SimEvent::CallReceived { call: number, new_connection: !reused });
        }
        let limit = if limit > 0 { (now + limit).min(due) } else { due };
        self.queue.push(limit.max(now), SimEvent::CallTimesOut { call: number });
    }

    /// Takes a call that has reached its endpoint.
    pub(super) fn receive_call(&mut self, number: CallNumber, new_connection: bool) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.at_endpoint = true;
        let (sender, endpoint, message, first) = (call.sender, call.endpoint, call.wire_id, self.now);
        self.record(FactKind::CallReceived { call: number, message, sender, endpoint, first, intact: true });
        let handshake =
            if new_connection { (self.plan.spec.platform.handshake_ms * MS as f64) as Ns } else { 0 };
        self.after(handshake, SimEvent::CallHandlingBegins { call: number });
    }

    /// Refuses a call, or passes it to its destination.
    pub(super) fn process_call(&mut self, number: CallNumber) {
        let Some(call) = self.calls.get(&number) else { return };
        let (dest, index) = self.locate(call.endpoint);
        let refusal = if call.attempt as usize >= self.plan.terms.max_attempts {
            Some(Refusal::Attempts)
        } else if self.now > call.due + EXPIRY_GRACE {
            Some(Refusal::Expired)
        } else {
            call.over_connection_limit.then_some(Refusal::Connections)
        };
        let work = call.work;
        let outputs = match refusal {
            Some(why) => vec![Output::Answer { call: number, answer: Answer::Refused(why, None) }],
            None => self.dests[dest as usize].arrive(self.now, destination::Call { number, index, work }),
        };
        self.apply_outputs(dest, outputs);
    }

    /// Carries out the outputs of a destination.
    pub(super) fn apply_outputs(&mut self, dest: u32, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Begin { call, until } => {
                    let Some(index) = self.calls.get(&call).map(|c| c.index) else { continue };
                    self.queue.push(until, SimEvent::ServiceEnds { dest, index, call });
                }
                Output::Effect { call } => self.record(FactKind::Effect { call }),
                Output::Answer { call, answer } => self.answer_call(call, answer),
                Output::OverloadFailure { index } => {
                    let endpoint = self.endpoint_at(dest, index);
                    self.record(FactKind::OverloadFailure { endpoint });
                    self.reset_connections(endpoint);
                }
            }
        }
    }

    /// Returns the number of an endpoint by destination and index.
    pub(super) fn endpoint_at(&self, dest: u32, index: usize) -> u32 {
        self.locations.iter().position(|p| *p == (dest, index)).unwrap_or_default() as u32
    }

    /// Ends the idle connections of all senders to an endpoint.
    pub(super) fn reset_connections(&mut self, endpoint: u32) {
        for sender in 0..self.senders.len() as u32 {
            self.pools.close(sender, endpoint);
        }
    }

    /// Sends the answer of a call back to its sender.
    pub(super) fn answer_call(&mut self, number: CallNumber, answer: Answer) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.at_endpoint = false;
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
        let expired = matches!(reply, Reply::Refused { why: Refusal::Expired, .. });
        let over_connection_limit = matches!(reply, Reply::Refused { why: Refusal::Connections, .. });
        let connection_kept = !over_connection_limit && !matches!(answer, Answer::Reset | Answer::Malformed);
        let link_delay = match self.links.get_mut(&(Link::Endpoints, sender)) {
            Some(link) => network::link_delay(&link.condition.reverse, &mut link.reverse, self.now),
            None => Some(0),
        };
        // Over a cut link the answer never arrives, and the call ends by its time limit.
        if let Some(link_delay) = link_delay {
            let (wait, done) = (wait.unwrap_or(0), outcome == Outcome::Served || expired);
            self.after(
                ONE_WAY_DELAY + link_delay,
                SimEvent::CallEnds { call: number, outcome, wait, done, connection_kept },
            );
        }
    }

    /// Ends a call at its sender, and keeps or ends its connection.
    pub(super) fn end_call(
        &mut self,
        number: CallNumber,
        outcome: Outcome,
        wait: Ns,
        done: bool,
        connection_kept: bool,
    ) {
        let Some(call) = self.calls.remove(&number) else { return };
        match (call.connected, connection_kept) {
            (true, true) => self.pools.keep(self.now, call.sender, call.endpoint),
            (true, false) => self.pools.end(call.endpoint),
            // The connection was never established.
            (false, _) => {}
        }
        self.report_attempt_end(&call, outcome, wait, done);
    }

    /// Tells the sender's module how an attempt ended, unless its process has ended since.
    pub(super) fn report_attempt_end(&mut self, call: &Call, outcome: Outcome, wait: Ns, done: bool) {
        let sender_state = &mut self.senders[call.sender as usize];
        if sender_state.incarnation != call.incarnation || sender_state.process == Process::Down {
            return;
        }
        if let Some(tried) =
            sender_state.held.get_mut(&call.id).and_then(|h| h.attempts.get_mut(call.attempt as usize))
        {
            tried.may_have_run = !outcome.never_ran();
        }
        if done && sender_state.held.remove(&call.id).is_some() {
            if let Some(request) = self.requests.remove(&(call.sender, call.id)) {
                self.pending.remove(&request);
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
        self.push_event(call.sender, Event::AttemptEnd(end));
    }

    /// Ends a call by its sender, which closes the connection.
    pub(super) fn cancel_call(&mut self, number: CallNumber, outcome: Outcome) {
        if let Some(call) = self.drop_call(number) {
            self.report_attempt_end(&call, outcome, 0, false);
        }
    }

    /// Removes a call and ends its connection; returns it if it was in flight.
    pub(super) fn drop_call(&mut self, number: CallNumber) -> Option<Call> {
        let call = self.calls.remove(&number)?;
        if call.connected {
            self.pools.end(call.endpoint);
        }
        if call.at_endpoint {
            self.record(FactKind::CallAbandoned { call: number });
            let (dest, index) = self.locate(call.endpoint);
            let outputs = self.dests[dest as usize].abandon(self.now, index, number);
            self.apply_outputs(dest, outputs);
        }
        Some(call)
    }

    /// Starts a probe.
    pub(super) fn probe(&mut self, sender: u32, endpoint: u32) {
        let (dest, _) = self.locate(endpoint);
        let incarnation = self.senders[sender as usize].incarnation;
        let connects = network::connects(self.links.get(&(Link::Endpoints, sender)).map(|w| &w.condition));
        let (after, outcome) = if self.is_down(endpoint) {
            (2 * ONE_WAY_DELAY, Outcome::NoConnection)
        } else if self.dests[dest as usize].is_silent() || !connects {
            (self.senders[sender as usize].dial_timeout(), Outcome::NoConnection)
        } else {
            self.record(FactKind::Probed { sender, endpoint });
            let serves = self.dests[dest as usize].probe(self.now);
            (4 * ONE_WAY_DELAY, if serves { Outcome::Served } else { Outcome::TurnedAway })
        };
        self.after(after, SimEvent::ProbeEnds { sender, incarnation, endpoint, outcome });
    }
}
