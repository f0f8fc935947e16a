//! The steps of the schedule in simulated time.
use super::{SimEvent, World, SHUTDOWN_SPAN, STARTUP_SPAN};
use crate::facts::{FactKind, ProcessEvent};
use crate::plan::StepAction;
use crate::platform::destination::CallNumber;
use crate::platform::list::Lifecycle;
use crate::sim::senders::Process;
use crate::spec::{EventKind, Link};
use sender::api::Outcome;

impl World<'_> {
    /// Carries out a step.
    pub(super) fn apply_step(&mut self, action: &StepAction) {
        match *action {
            StepAction::Begin { dest, kind, size, until } => {
                self.record(FactKind::DestinationFault { dest, kind, begins: true });
                let outputs = self.dests[dest as usize].begin_fault(self.now, kind, size, until);
                self.apply_outputs(dest, outputs);
                if kind == EventKind::Down {
                    self.close_idle_connections_to(dest);
                }
            }
            StepAction::End { dest, kind } => {
                self.record(FactKind::DestinationFault { dest, kind, begins: false });
                self.dests[dest as usize].end_fault(self.now, kind);
                // Idle connections do not survive a silence. Calls in flight are not ended here.
                if kind == EventKind::Silent {
                    self.close_idle_connections_to(dest);
                }
            }
            StepAction::Drain { endpoint } => {
                let (dest, index) = self.locate(endpoint);
                self.dests[dest as usize].drain(self.now, index);
                self.change_endpoint(endpoint, Lifecycle::Terminating);
            }
            StepAction::Remove { endpoint } => {
                self.present[endpoint as usize] = false;
                self.reset_connections(endpoint);
                self.change_endpoint(endpoint, Lifecycle::Gone);
            }
            StepAction::Add { endpoint } => {
                let (dest, index) = self.locate(endpoint);
                self.dests[dest as usize].start_cold(self.now, index);
                self.present[endpoint as usize] = true;
                self.change_endpoint(endpoint, Lifecycle::Ready);
            }
            StepAction::Kill { sender } => self.end_process(sender, ProcessEvent::Killed),
            StepAction::Terminate { sender } => {
                let sender_state = &mut self.senders[sender as usize];
                if sender_state.process != Process::Down {
                    sender_state.process = Process::Ending;
                    let incarnation = sender_state.incarnation;
                    self.record(FactKind::Process { sender, event: ProcessEvent::Terminated });
                    self.after(SHUTDOWN_SPAN, SimEvent::ProcessExits { sender, incarnation });
                }
            }
            StepAction::Pause { sender } => {
                self.switch_process(sender, Process::Up, Process::Paused, ProcessEvent::Paused)
            }
            StepAction::Continue { sender } => {
                self.switch_process(sender, Process::Paused, Process::Up, ProcessEvent::Continued)
            }
            StepAction::Start { sender, folder } => self.start_process(sender, folder, STARTUP_SPAN),
            StepAction::Link { sender, link, kind, size, begins } => {
                self.record(FactKind::LinkFault { sender, link, kind, begins });
                if let Some(link) = self.links.get_mut(&(link, sender)) {
                    link.condition.apply_fault(kind, size, begins);
                }
                // Only the connections to endpoints exist in simulated time: a break of another link ends
                // none.
                if kind == EventKind::Break && link == Link::Endpoints {
                    self.break_sender_connections(sender);
                }
                if link == Link::Discovery {
                    self.send_list_changes();
                }
            }
            // Only recorded: in simulated time a move interrupts nothing.
            StepAction::Discovery { kind: EventKind::DiscoveryMoves, .. } => {
                self.record(FactKind::DiscoveryFault { kind: EventKind::DiscoveryMoves, begins: true });
            }
            StepAction::Discovery { kind: kind @ EventKind::DiscoveryResets, .. } => {
                self.record(FactKind::DiscoveryFault { kind, begins: true });
                self.list.forget_history();
                self.send_list_changes();
            }
            // Only recorded: the fault limits requests for the list, and in simulated time the list and its
            // changes are sent without requests.
            StepAction::Discovery { kind: EventKind::DiscoveryCrowded, begins, .. } => {
                self.record(FactKind::DiscoveryFault { kind: EventKind::DiscoveryCrowded, begins });
            }
            StepAction::Discovery { kind, begins, .. } => {
                self.record(FactKind::DiscoveryFault { kind, begins });
                match begins {
                    true => self.discovery_faults.push(kind),
                    false => self.discovery_faults.retain(|k| *k != kind),
                }
                self.send_list_changes();
            }
        }
    }

    /// Changes a process from state `from` to state `to`; does nothing if it is not in `from`.
    pub(super) fn switch_process(&mut self, sender: u32, from: Process, to: Process, event: ProcessEvent) {
        let sender_state = &mut self.senders[sender as usize];
        if sender_state.process != from {
            return;
        }
        sender_state.process = to;
        self.record(FactKind::Process { sender, event });
        // A round that came due during the pause was dropped: clears its flag and schedules another one,
        // which decides on what the sender received during the pause.
        if to == Process::Up {
            self.senders[sender as usize].round_scheduled = false;
            self.schedule_round(sender);
        }
    }

    /// Closes the idle connections of all senders to the endpoints of a destination.
    pub(super) fn close_idle_connections_to(&mut self, dest: u32) {
        for endpoint in
            (0..self.plan.endpoints.len() as u32).filter(|e| self.plan.endpoints[*e as usize].dest == dest)
        {
            self.reset_connections(endpoint);
        }
    }

    /// Ends all connections of a sender to endpoints, and with them its calls in flight.
    pub(super) fn break_sender_connections(&mut self, sender: u32) {
        let mut calls: Vec<CallNumber> =
            self.calls.iter().filter(|(_, c)| c.sender == sender).map(|(n, _)| *n).collect();
        calls.sort_unstable();
        for call in calls {
            self.cancel_call(call, Outcome::ConnectionLost);
        }
        for endpoint in 0..self.plan.endpoints.len() as u32 {
            self.pools.close(sender, endpoint);
        }
    }
}
