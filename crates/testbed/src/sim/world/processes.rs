//! Senders' processes: rounds of decisions, what they let go, starts and ends.
use super::{Happens, World};
use crate::clock::Ns;
use crate::facts::{FactKind, HandInResult, MessageId, Notice, ProcessEvent};
use crate::platform::destination::CallNumber;
use crate::sim::network::{Call, WAY};
use crate::sim::senders::{self, Process};
use crate::spec::StateFolder;
use rand::Rng;
use sender::api::{Action, Event, MsgId, Outcome};

impl World<'_> {
    /// Has a sender decide, at this time, on all that has come to it.
    pub(super) fn rouse(&mut self, sender: u32) {
        let one = &mut self.senders[sender as usize];
        if one.round || one.process == Process::Down {
            return;
        }
        one.round = true;
        let life = one.life;
        self.after(0, Happens::Round { sender, life });
    }

    pub(super) fn tell(&mut self, sender: u32, event: Event) {
        let one = &mut self.senders[sender as usize];
        if one.process != Process::Down {
            one.tell(event);
            self.rouse(sender);
        }
    }

    pub(super) fn round(&mut self, sender: u32) {
        let actions = self.senders[sender as usize].decide(self.now);
        for action in actions {
            match action {
                Action::Send { id, endpoint, limit, by } => {
                    self.send(sender, id, endpoint, limit, senders::played(by));
                }
                Action::Refuse { id, backoff } => {
                    let told = (backoff > 0).then_some(backoff);
                    self.let_go(sender, id, HandInResult::Refused, Notice::HandedBack, told);
                }
                Action::Fail { id } => self.let_go(sender, id, HandInResult::Failed, Notice::GivenUp, None),
                Action::Cancel { id, attempt } => {
                    let is = |c: &Call| c.sender == sender && c.id == id && c.attempt == attempt;
                    // By number, as the table's order is no seed's.
                    let call = self.calls.iter().filter(|(_, c)| is(c)).map(|(n, _)| *n).min();
                    if let Some(call) = call {
                        self.leave(call, Outcome::CalledOff);
                    }
                }
                Action::Probe { endpoint } => self.probe(sender, endpoint),
                Action::Close { endpoint } => self.pools.close(sender, endpoint),
                Action::Timer { at } => {
                    let at = senders::played(at).max(self.now);
                    let one = &mut self.senders[sender as usize];
                    if one.timer.is_none_or(|timer| at < timer) {
                        one.timer = Some(at);
                        let life = one.life;
                        self.queue.push(at, Happens::Wake { sender, life });
                    }
                }
            }
        }
        // What is left of the offered is taken on.
        let one = &mut self.senders[sender as usize];
        let taken: Vec<(MsgId, MessageId)> = one
            .held
            .iter_mut()
            .filter(|(_, h)| h.offered)
            .map(|(id, h)| {
                h.offered = false;
                (*id, h.wire)
            })
            .collect();
        for (id, wire) in taken {
            let Some(&request) = self.requests.get(&(sender, id)) else { continue };
            self.after(WAY, Happens::Hears { request, wire, heard: HandInResult::Accepted, told: None });
        }
    }

    /// The sender ends a message: to the client that waits for its answer, or by a notice.
    pub(super) fn let_go(
        &mut self,
        sender: u32,
        id: MsgId,
        heard: HandInResult,
        notice: Notice,
        told: Option<Ns>,
    ) {
        let Some(held) = self.senders[sender as usize].held.remove(&id) else { return };
        let Some(request) = self.requests.remove(&(sender, id)) else { return };
        let wire = held.wire;
        match held.offered {
            true => self.after(WAY, Happens::Hears { request, wire, heard, told }),
            false => self.after(WAY, Happens::Notice { request, wire, sender, notice, retry_in: told }),
        }
    }

    pub(super) fn start(&mut self, sender: u32, folder: StateFolder, ready: Ns) {
        let one = &mut self.senders[sender as usize];
        if one.process != Process::Down {
            return;
        }
        // One that found another's has refused it, and is started with its own.
        if folder == StateFolder::Empty {
            one.empty();
            self.record(FactKind::Process { sender, event: ProcessEvent::Emptied });
        }
        let life = self.senders[sender as usize].life;
        self.record(FactKind::Process { sender, event: ProcessEvent::Started });
        self.after(ready, Happens::Ready { sender, life });
    }

    pub(super) fn ready(&mut self, sender: u32, life: u32) {
        let seed = self.seeds.next_u64();
        let told = self.list.since(None);
        let list = self.listed(&told);
        let one = &mut self.senders[sender as usize];
        if one.life != life || one.process != Process::Down {
            return;
        }
        one.start(self.now, seed, list);
        self.told[sender as usize] = told.generation;
        self.record(FactKind::Process { sender, event: ProcessEvent::Ready });
        self.rouse(sender);
    }

    /// A process ends, by whatever cause: its calls and its clients' connections with it.
    pub(super) fn end_process(&mut self, sender: u32, life: ProcessEvent) {
        if self.senders[sender as usize].process == Process::Down {
            return;
        }
        self.record(FactKind::Process { sender, event: life });
        let mut calls: Vec<CallNumber> =
            self.calls.iter().filter(|(_, c)| c.sender == sender).map(|(n, _)| *n).collect();
        calls.sort_unstable();
        for call in calls {
            self.break_off(call);
        }
        for endpoint in 0..self.plan.endpoints.len() as u32 {
            self.pools.close(sender, endpoint);
        }
        let one = &mut self.senders[sender as usize];
        one.kill();
        let unanswered: Vec<(MsgId, MessageId)> =
            one.held.iter().filter(|(_, h)| h.offered).map(|(id, h)| (*id, h.wire)).collect();
        for (id, wire) in unanswered {
            self.senders[sender as usize].held.remove(&id);
            if let Some(request) = self.requests.remove(&(sender, id)) {
                self.after(WAY, Happens::Hears { request, wire, heard: HandInResult::Closed, told: None });
            }
        }
    }
}
