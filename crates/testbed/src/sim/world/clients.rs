//! Clients in simulated time: hand-ins, their answers, retries and notices.
use super::{PendingRequest, SimEvent, World, CLIENT_TIMEOUT, NOTICE_RETRY_DELAY};
use crate::client_retry::{HandInEnd, RetryState};
use crate::clock::Ns;
use crate::facts::{FactKind, HandInResult, MessageId, Notice};
use crate::sim::network::{self, ONE_WAY_DELAY};
use crate::sim::senders::{HeldMessage, Process};
use crate::spec::Link;
use rand::Rng;

impl World<'_> {
    /// Starts the client of a request.
    pub(super) fn first_hand_in(&mut self, request: u32) {
        let arrival = &self.plan.arrivals[request as usize];
        let (sender, dest, class) = (arrival.sender, arrival.dest, arrival.class);
        self.record(FactKind::Requested { request, sender, dest, class, planned: arrival.at });
        let due = arrival.at + self.plan.terms.classes[class].deadline;
        let random = self.plan.seed.stream("client", request.into());
        self.pending.insert(request, PendingRequest { client: RetryState::new(sender, due), random });
        self.hand_in(request);
    }

    /// Returns the deadline of a request.
    pub(super) fn due(&self, request: u32) -> Ns {
        let arrival = &self.plan.arrivals[request as usize];
        arrival.at + self.plan.terms.classes[arrival.class].deadline
    }

    /// Hands in the message of a request under a new id.
    pub(super) fn hand_in(&mut self, request: u32) {
        let (due, handed_in_at) = (self.due(request), self.now);
        let Some(pending) = self.pending.get_mut(&request) else { return };
        let (sender, wire_id) = (pending.client.sender, pending.random.next_u64());
        self.record(FactKind::HandedIn { message: wire_id, request, sender, due });
        let to = match self.links.get_mut(&(Link::Clients, sender)) {
            Some(link) if !link.condition.accepts_connections() => None,
            Some(link) => network::link_delay(&link.condition.forward, &mut link.forward, self.now),
            None => Some(0),
        };
        match to {
            Some(to) => self.after(
                to + ONE_WAY_DELAY,
                SimEvent::HandInReceived { request, wire_id, sender, handed_in_at },
            ),
            None => {
                let result = HandInResult::NoConnection;
                self.after(
                    CLIENT_TIMEOUT,
                    SimEvent::HandInEnds { request, wire_id, result, retry_after: None },
                );
            }
        }
    }

    /// Offers a message to its sender's module, or answers the client if there is no process to take it.
    pub(super) fn receive_hand_in(
        &mut self,
        request: u32,
        wire_id: MessageId,
        sender: u32,
        handed_in_at: Ns,
    ) {
        let back = match self.links.get_mut(&(Link::Clients, sender)) {
            Some(link) => network::link_delay(&link.condition.reverse, &mut link.reverse, self.now),
            None => Some(0),
        };
        let process = self.senders[sender as usize].process;
        let left = CLIENT_TIMEOUT - (self.now - handed_in_at);
        let hand_in_ends =
            |result, retry_after| SimEvent::HandInEnds { request, wire_id, result, retry_after };
        if matches!(process, Process::Down | Process::Ending) {
            return self.after(ONE_WAY_DELAY, hand_in_ends(HandInResult::NoConnection, None));
        }
        // The client closes its connection before an answer can reach it, and the sender drops the message.
        if process == Process::Paused || back.is_none_or(|back| back + ONE_WAY_DELAY > left) {
            return self.after(left.max(0), hand_in_ends(HandInResult::TimedOut, None));
        }
        let arrival = &self.plan.arrivals[request as usize];
        let held = HeldMessage {
            wire_id,
            class: arrival.class,
            dest: arrival.dest,
            due: self.due(request),
            attempts: Vec::new(),
            client_waiting: true,
        };
        match self.senders[sender as usize].offer(self.now, held) {
            Ok(id) => {
                self.requests.insert((sender, id), request);
                self.schedule_round(sender);
            }
            Err(backoff) => self.after(ONE_WAY_DELAY, hand_in_ends(HandInResult::Refused, Some(backoff))),
        }
    }

    /// Takes the answer to a hand-in, or its failure.
    pub(super) fn end_hand_in(
        &mut self,
        request: u32,
        message: MessageId,
        result: HandInResult,
        retry_after: Option<Ns>,
    ) {
        self.record(FactKind::HandInEnded { message, result });
        let end = match result {
            HandInResult::Accepted => return,
            HandInResult::Failed => HandInEnd::Final,
            HandInResult::Refused => HandInEnd::Refused(retry_after),
            HandInResult::TimedOut | HandInResult::Closed | HandInResult::NoConnection => {
                HandInEnd::Unanswered
            }
        };
        self.schedule_retry(request, end);
    }

    /// Schedules the next hand-in of a message, if its client makes another.
    pub(super) fn schedule_retry(&mut self, request: u32, end: HandInEnd) {
        let (now, senders) = (self.now, self.senders.len() as u32);
        let Some(PendingRequest { client, random }) = self.pending.get_mut(&request) else { return };
        match client.next_wait(end, now, senders, &self.plan.spec.clients, random) {
            Some(wait) => {
                self.waiting_retries += 1;
                self.after(wait, SimEvent::NextHandIn(request));
            }
            None => _ = self.pending.remove(&request),
        }
    }

    /// Takes a notice, or schedules it again if the link to discovery is cut.
    pub(super) fn receive_notice(
        &mut self,
        request: u32,
        wire_id: MessageId,
        sender: u32,
        notice: Notice,
        retry_in: Option<Ns>,
    ) {
        let connects = self
            .links
            .get(&(Link::Discovery, sender))
            .is_none_or(|link| link.condition.accepts_connections());
        if !connects {
            return self.after(
                NOTICE_RETRY_DELAY,
                SimEvent::NoticeReceived { request, wire_id, sender, notice, retry_in },
            );
        }
        self.record(FactKind::Notice { message: wire_id, sender, notice });
        if notice == Notice::HandedBack {
            self.schedule_retry(request, HandInEnd::Refused(retry_in));
        }
    }
}
