//! Senders' processes in simulated time: rounds of decisions, ends of messages, starts and ends of processes.
use super::{SimEvent, World};
use crate::clock::Ns;
use crate::facts::{FactKind, HandInResult, MessageId, Notice, ProcessEvent};
use crate::platform::destination::CallNumber;
use crate::sim::network::{Call, ONE_WAY_DELAY};
use crate::sim::senders::{self, Process};
use crate::spec::StateFolder;
use rand::Rng;
use sender::api::{Action, Event, MsgId, Outcome};

impl World<'_> {
    /// Schedules a round of a sender at the current time, unless one is scheduled already.
    pub(super) fn schedule_round(&mut self, sender: u32) {
        let sender_state = &mut self.senders[sender as usize];
        if sender_state.round_scheduled || sender_state.process == Process::Down {
            return;
        }
        sender_state.round_scheduled = true;
        let incarnation = sender_state.incarnation;
        self.after(0, SimEvent::RunRound { sender, incarnation });
    }

    /// Adds an event to a sender's inbox and schedules a round.
    pub(super) fn push_event(&mut self, sender: u32, event: Event) {
        let sender_state = &mut self.senders[sender as usize];
        if sender_state.process != Process::Down {
            sender_state.push_event(event);
            self.schedule_round(sender);
        }
    }

    /// Has a sender's module decide on its inbox, and carries out its actions.
    pub(super) fn run_round(&mut self, sender: u32) {
        let actions = self.senders[sender as usize].decide(self.now);
        for action in actions {
            match action {
                Action::Send { id, endpoint, limit, by } => {
                    self.send_call(sender, id, endpoint, limit, senders::to_play_time(by));
                }
                Action::Refuse { id, backoff } => {
                    let retry_after = (backoff > 0).then_some(backoff);
                    self.release_message(sender, id, HandInResult::Refused, Notice::HandedBack, retry_after);
                }
                Action::Fail { id } => {
                    self.release_message(sender, id, HandInResult::Failed, Notice::GivenUp, None)
                }
                Action::Cancel { id, attempt } => {
                    let is_cancelled = |c: &Call| c.sender == sender && c.id == id && c.attempt == attempt;
                    // The lowest number, as the iteration order of the map is not deterministic.
                    let call = self.calls.iter().filter(|(_, c)| is_cancelled(c)).map(|(n, _)| *n).min();
                    if let Some(call) = call {
                        self.cancel_call(call, Outcome::CalledOff);
                    }
                }
                Action::Probe { endpoint } => self.probe(sender, endpoint),
                Action::Close { endpoint } => self.pools.close(sender, endpoint),
                Action::Timer { at } => {
                    let at = senders::to_play_time(at).max(self.now);
                    let sender_state = &mut self.senders[sender as usize];
                    if sender_state.timer.is_none_or(|timer| at < timer) {
                        sender_state.timer = Some(at);
                        let incarnation = sender_state.incarnation;
                        self.queue.push(at, SimEvent::TimerDue { sender, incarnation });
                    }
                }
            }
        }
        // Offered messages that the module has not ended are accepted.
        let sender_state = &mut self.senders[sender as usize];
        let accepted: Vec<(MsgId, MessageId)> = sender_state
            .held
            .iter_mut()
            .filter(|(_, h)| h.client_waiting)
            .map(|(id, h)| {
                h.client_waiting = false;
                (*id, h.wire_id)
            })
            .collect();
        for (id, wire_id) in accepted {
            let Some(&request) = self.requests.get(&(sender, id)) else { continue };
            self.after(
                ONE_WAY_DELAY,
                SimEvent::HandInEnds { request, wire_id, result: HandInResult::Accepted, retry_after: None },
            );
        }
    }

    /// Ends a message at its sender: by the answer if its client still waits for that, otherwise by a notice.
    pub(super) fn release_message(
        &mut self,
        sender: u32,
        id: MsgId,
        result: HandInResult,
        notice: Notice,
        retry_after: Option<Ns>,
    ) {
        let Some(held) = self.senders[sender as usize].held.remove(&id) else { return };
        let Some(request) = self.requests.remove(&(sender, id)) else { return };
        let wire_id = held.wire_id;
        match held.client_waiting {
            true => self.after(ONE_WAY_DELAY, SimEvent::HandInEnds { request, wire_id, result, retry_after }),
            false => self.after(
                ONE_WAY_DELAY,
                SimEvent::NoticeReceived { request, wire_id, sender, notice, retry_in: retry_after },
            ),
        }
    }

    /// Starts a process of a sender, which is ready after `ready`.
    pub(super) fn start_process(&mut self, sender: u32, folder: StateFolder, ready: Ns) {
        let sender_state = &mut self.senders[sender as usize];
        if sender_state.process != Process::Down {
            return;
        }
        // A process refuses another sender's state folder and is started again with its own, which takes no
        // time here.
        if folder == StateFolder::Empty {
            sender_state.clear_state();
            self.record(FactKind::Process { sender, event: ProcessEvent::Emptied });
        }
        let incarnation = self.senders[sender as usize].incarnation;
        self.record(FactKind::Process { sender, event: ProcessEvent::Started });
        self.after(ready, SimEvent::ProcessReady { sender, incarnation });
    }

    /// Makes a started process ready, with the current list and what the journal holds.
    pub(super) fn process_ready(&mut self, sender: u32, incarnation: u32) {
        let seed = self.process_seeds.next_u64();
        let update = self.list.since(None);
        let list = self.list_event(&update);
        let sender_state = &mut self.senders[sender as usize];
        if sender_state.incarnation != incarnation || sender_state.process != Process::Down {
            return;
        }
        sender_state.start(self.now, seed, list);
        self.sent_generations[sender as usize] = update.generation;
        self.record(FactKind::Process { sender, event: ProcessEvent::Ready });
        self.schedule_round(sender);
    }

    /// Ends a process, and with it its calls and its clients' connections.
    pub(super) fn end_process(&mut self, sender: u32, event: ProcessEvent) {
        if self.senders[sender as usize].process == Process::Down {
            return;
        }
        self.record(FactKind::Process { sender, event });
        let mut calls: Vec<CallNumber> =
            self.calls.iter().filter(|(_, c)| c.sender == sender).map(|(n, _)| *n).collect();
        calls.sort_unstable();
        for call in calls {
            self.drop_call(call);
        }
        for endpoint in 0..self.plan.endpoints.len() as u32 {
            self.pools.close(sender, endpoint);
        }
        let sender_state = &mut self.senders[sender as usize];
        sender_state.kill();
        let unanswered: Vec<(MsgId, MessageId)> = sender_state
            .held
            .iter()
            .filter(|(_, h)| h.client_waiting)
            .map(|(id, h)| (*id, h.wire_id))
            .collect();
        for (id, wire_id) in unanswered {
            self.senders[sender as usize].held.remove(&id);
            if let Some(request) = self.requests.remove(&(sender, id)) {
                self.after(
                    ONE_WAY_DELAY,
                    SimEvent::HandInEnds {
                        request,
                        wire_id,
                        result: HandInResult::Closed,
                        retry_after: None,
                    },
                );
            }
        }
    }
}
