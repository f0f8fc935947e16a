//! The schedule: what goes wrong, and when.
use super::{Happens, World, ENDS, READY};
use crate::facts::{FactKind, ProcessEvent};
use crate::plan::StepAction;
use crate::platform::destination::CallNumber;
use crate::platform::list::Lifecycle;
use crate::sim::senders::Process;
use crate::spec::{EventKind, Link};
use sender::api::Outcome;

impl World<'_> {
    pub(super) fn step(&mut self, does: &StepAction) {
        match *does {
            StepAction::Begin { dest, kind, size, until } => {
                self.record(FactKind::DestinationFault { dest, kind, begins: true });
                let outs = self.dests[dest as usize].begin(self.now, kind, size, until);
                self.carry_out(dest, outs);
                if kind == EventKind::Down {
                    self.reset_all(dest);
                }
            }
            StepAction::End { dest, kind } => {
                self.record(FactKind::DestinationFault { dest, kind, begins: false });
                self.dests[dest as usize].end(self.now, kind);
                // A machine that is back knows nothing of the connections that it had.
                if kind == EventKind::Silent {
                    self.reset_all(dest);
                }
            }
            StepAction::Drain { endpoint } => {
                let (dest, place) = self.place(endpoint);
                self.dests[dest as usize].drain(self.now, place);
                self.change(endpoint, Lifecycle::Terminating);
            }
            StepAction::Remove { endpoint } => {
                self.present[endpoint as usize] = false;
                self.reset(endpoint);
                self.change(endpoint, Lifecycle::Gone);
            }
            StepAction::Add { endpoint } => {
                let (dest, place) = self.place(endpoint);
                self.dests[dest as usize].fresh(self.now, place);
                self.present[endpoint as usize] = true;
                self.change(endpoint, Lifecycle::Ready);
            }
            StepAction::Kill { sender } => self.end_process(sender, ProcessEvent::Killed),
            StepAction::Terminate { sender } => {
                let one = &mut self.senders[sender as usize];
                if one.process != Process::Down {
                    one.process = Process::Ending;
                    let life = one.life;
                    self.record(FactKind::Process { sender, event: ProcessEvent::Terminated });
                    self.after(ENDS, Happens::Exit { sender, life });
                }
            }
            StepAction::Pause { sender } => {
                self.hold(sender, Process::Up, Process::Paused, ProcessEvent::Paused)
            }
            StepAction::Continue { sender } => {
                self.hold(sender, Process::Paused, Process::Up, ProcessEvent::Continued)
            }
            StepAction::Start { sender, folder } => self.start(sender, folder, READY),
            StepAction::Link { sender, link, kind, size, begins } => {
                self.record(FactKind::LinkFault { sender, link, kind, begins });
                if let Some(way) = self.links.get_mut(&(link, sender)) {
                    way.condition.strike(kind, size, begins);
                }
                if kind == EventKind::Break && link == Link::Endpoints {
                    self.break_all(sender);
                }
                if link == Link::Discovery {
                    self.tell_lists();
                }
            }
            // A sender takes the move up as it comes; in simulated time nothing is lost on the way.
            StepAction::Discovery { kind: EventKind::DiscoveryMoves, .. } => {
                self.record(FactKind::DiscoveryFault { kind: EventKind::DiscoveryMoves, begins: true });
            }
            StepAction::Discovery { kind: kind @ EventKind::DiscoveryResets, .. } => {
                self.record(FactKind::DiscoveryFault { kind, begins: true });
                self.list.forget();
                self.tell_lists();
            }
            // Watches that stand are no crowd: in simulated time whoever waits hears what there is to tell.
            StepAction::Discovery { kind: EventKind::DiscoveryCrowded, begins, .. } => {
                self.record(FactKind::DiscoveryFault { kind: EventKind::DiscoveryCrowded, begins });
            }
            StepAction::Discovery { kind, begins, .. } => {
                self.record(FactKind::DiscoveryFault { kind, begins });
                match begins {
                    true => self.discovery.push(kind),
                    false => self.discovery.retain(|k| *k != kind),
                }
                self.tell_lists();
            }
        }
    }

    pub(super) fn hold(&mut self, sender: u32, from: Process, to: Process, life: ProcessEvent) {
        let one = &mut self.senders[sender as usize];
        if one.process != from {
            return;
        }
        one.process = to;
        self.record(FactKind::Process { sender, event: life });
        // What came meanwhile is decided on now.
        if to == Process::Up {
            self.senders[sender as usize].round = false;
            self.rouse(sender);
        }
    }

    pub(super) fn reset_all(&mut self, dest: u32) {
        for endpoint in
            (0..self.plan.endpoints.len() as u32).filter(|e| self.plan.endpoints[*e as usize].dest == dest)
        {
            self.reset(endpoint);
        }
    }

    /// All connections of a sender to endpoints break.
    pub(super) fn break_all(&mut self, sender: u32) {
        let mut calls: Vec<CallNumber> =
            self.calls.iter().filter(|(_, c)| c.sender == sender).map(|(n, _)| *n).collect();
        calls.sort_unstable();
        for call in calls {
            self.leave(call, Outcome::ConnectionLost);
        }
        for endpoint in 0..self.plan.endpoints.len() as u32 {
            self.pools.close(sender, endpoint);
        }
    }
}
