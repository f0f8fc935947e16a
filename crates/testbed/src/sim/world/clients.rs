//! Clients: who wants a message delivered, and who comes again with it.
use super::{Asking, Happens, World, NOTICE_AGAIN, PATIENCE};
use crate::client_retry::{HandInEnd, RetryState};
use crate::clock::Ns;
use crate::facts::{FactKind, HandInResult, MessageId, Notice};
use crate::sim::network::{self, WAY};
use crate::sim::senders::{Held, Process};
use crate::spec::Link;
use rand::Rng;

impl World<'_> {
    pub(super) fn ask(&mut self, request: u32) {
        let arrival = &self.plan.arrivals[request as usize];
        let (sender, dest, class) = (arrival.sender, arrival.dest, arrival.class);
        self.record(FactKind::Requested { request, sender, dest, class, planned: arrival.at });
        let due = arrival.at + self.plan.terms.classes[class].deadline;
        let random = self.plan.seed.stream("client", request.into());
        self.asking.insert(request, Asking { client: RetryState::new(sender, due), random });
        self.hand_in(request);
    }

    pub(super) fn due(&self, request: u32) -> Ns {
        let arrival = &self.plan.arrivals[request as usize];
        arrival.at + self.plan.terms.classes[arrival.class].deadline
    }

    pub(super) fn hand_in(&mut self, request: u32) {
        let (due, handed) = (self.due(request), self.now);
        let Some(asking) = self.asking.get_mut(&request) else { return };
        let (sender, wire) = (asking.client.sender, asking.random.next_u64());
        self.record(FactKind::HandedIn { message: wire, request, sender, due });
        let to = match self.links.get_mut(&(Link::Clients, sender)) {
            Some(way) if !way.condition.connects() => None,
            Some(way) => network::passes(&way.condition.to, &mut way.to, self.now),
            None => Some(0),
        };
        match to {
            Some(to) => self.after(to + WAY, Happens::Offer { request, wire, sender, handed }),
            None => {
                let heard = HandInResult::NoConnection;
                self.after(PATIENCE, Happens::Hears { request, wire, heard, told: None });
            }
        }
    }

    pub(super) fn offer(&mut self, request: u32, wire: MessageId, sender: u32, handed: Ns) {
        let back = match self.links.get_mut(&(Link::Clients, sender)) {
            Some(way) => network::passes(&way.condition.back, &mut way.back, self.now),
            None => Some(0),
        };
        let process = self.senders[sender as usize].process;
        let left = PATIENCE - (self.now - handed);
        let hears = |heard, told| Happens::Hears { request, wire, heard, told };
        if matches!(process, Process::Down | Process::Ending) {
            return self.after(WAY, hears(HandInResult::NoConnection, None));
        }
        // The client has left before it could hear anything, and the sender sees that.
        if process == Process::Paused || back.is_none_or(|back| back + WAY > left) {
            return self.after(left.max(0), hears(HandInResult::TimedOut, None));
        }
        let arrival = &self.plan.arrivals[request as usize];
        let held = Held {
            wire,
            class: arrival.class,
            dest: arrival.dest,
            due: self.due(request),
            attempts: Vec::new(),
            offered: true,
        };
        match self.senders[sender as usize].offer(self.now, held) {
            Ok(id) => {
                self.requests.insert((sender, id), request);
                self.rouse(sender);
            }
            Err(backoff) => self.after(WAY, hears(HandInResult::Refused, Some(backoff))),
        }
    }

    pub(super) fn hears(&mut self, request: u32, message: MessageId, heard: HandInResult, told: Option<Ns>) {
        self.record(FactKind::HandInEnded { message, result: heard });
        let end = match heard {
            HandInResult::Accepted => return,
            HandInResult::Failed => HandInEnd::Final,
            HandInResult::Refused => HandInEnd::Refused(told),
            HandInResult::TimedOut | HandInResult::Closed | HandInResult::NoConnection => {
                HandInEnd::Unanswered
            }
        };
        self.comes_again(request, end);
    }

    pub(super) fn comes_again(&mut self, request: u32, end: HandInEnd) {
        let (now, senders) = (self.now, self.senders.len() as u32);
        let Some(Asking { client, random }) = self.asking.get_mut(&request) else { return };
        match client.next(end, now, senders, &self.plan.spec.clients, random) {
            Some(wait) => {
                self.away += 1;
                self.after(wait, Happens::Again(request));
            }
            None => _ = self.asking.remove(&request),
        }
    }

    pub(super) fn notice(
        &mut self,
        request: u32,
        wire: MessageId,
        sender: u32,
        notice: Notice,
        retry_in: Option<Ns>,
    ) {
        let passes = self.links.get(&(Link::Discovery, sender)).is_none_or(|way| way.condition.connects());
        if !passes {
            return self.after(NOTICE_AGAIN, Happens::Notice { request, wire, sender, notice, retry_in });
        }
        self.record(FactKind::Notice { message: wire, sender, notice });
        if notice == Notice::HandedBack {
            self.comes_again(request, HandInEnd::Refused(retry_in));
        }
    }
}
