//! The schedule: what goes wrong, and when.
use super::{Happens, World, ENDS, READY};
use crate::ledger::{Life, What};
use crate::plan::Does;
use crate::platform::destination::CallNo;
use crate::platform::list::Lifecycle;
use crate::sim::senders::Process;
use crate::spec::{Kind, Link};
use sender::api::Outcome;

impl World<'_> {
    pub(super) fn step(&mut self, does: &Does) {
        match *does {
            Does::Begin { dest, kind, size, until } => {
                self.note(What::Trouble { dest, kind, begins: true });
                let outs = self.dests[dest as usize].begin(self.now, kind, size, until);
                self.carry_out(dest, outs);
                if kind == Kind::Down {
                    self.reset_all(dest);
                }
            }
            Does::End { dest, kind } => {
                self.note(What::Trouble { dest, kind, begins: false });
                self.dests[dest as usize].end(self.now, kind);
                // A machine that is back knows nothing of the connections that it had.
                if kind == Kind::Silent {
                    self.reset_all(dest);
                }
            }
            Does::Drain { endpoint } => {
                let (dest, place) = self.place(endpoint);
                self.dests[dest as usize].drain(self.now, place);
                self.change(endpoint, Lifecycle::Terminating);
            }
            Does::Gone { endpoint } => {
                self.present[endpoint as usize] = false;
                self.reset(endpoint);
                self.change(endpoint, Lifecycle::Gone);
            }
            Does::Add { endpoint } => {
                let (dest, place) = self.place(endpoint);
                self.dests[dest as usize].fresh(self.now, place);
                self.present[endpoint as usize] = true;
                self.change(endpoint, Lifecycle::Ready);
            }
            Does::Kill { sender } => self.end_process(sender, Life::Killed),
            Does::Terminate { sender } => {
                let one = &mut self.senders[sender as usize];
                if one.process != Process::Down {
                    one.process = Process::Ending;
                    let life = one.life;
                    self.note(What::Process { sender, life: Life::Terminated });
                    self.after(ENDS, Happens::Exit { sender, life });
                }
            }
            Does::Pause { sender } => self.hold(sender, Process::Up, Process::Paused, Life::Paused),
            Does::Continue { sender } => self.hold(sender, Process::Paused, Process::Up, Life::Continued),
            Does::Start { sender, folder } => self.start(sender, folder, READY),
            Does::Link { sender, link, kind, size, begins } => {
                self.note(What::Link { sender, link, kind, begins });
                if let Some(way) = self.links.get_mut(&(link, sender)) {
                    way.condition.strike(kind, size, begins);
                }
                if kind == Kind::Break && link == Link::Endpoints {
                    self.break_all(sender);
                }
                if link == Link::Discovery {
                    self.tell_lists();
                }
            }
            // A sender takes the move up as it comes; in simulated time nothing is lost on the way.
            Does::Discovery { kind: Kind::DiscoveryMoves, .. } => {
                self.note(What::Discovery { kind: Kind::DiscoveryMoves, begins: true });
            }
            Does::Discovery { kind: kind @ Kind::DiscoveryResets, .. } => {
                self.note(What::Discovery { kind, begins: true });
                self.list.forget();
                self.tell_lists();
            }
            // Watches that stand are no crowd: in simulated time whoever waits hears what there is to tell.
            Does::Discovery { kind: Kind::DiscoveryCrowded, begins, .. } => {
                self.note(What::Discovery { kind: Kind::DiscoveryCrowded, begins });
            }
            Does::Discovery { kind, begins, .. } => {
                self.note(What::Discovery { kind, begins });
                match begins {
                    true => self.discovery.push(kind),
                    false => self.discovery.retain(|k| *k != kind),
                }
                self.tell_lists();
            }
        }
    }

    pub(super) fn hold(&mut self, sender: u32, from: Process, to: Process, life: Life) {
        let one = &mut self.senders[sender as usize];
        if one.process != from {
            return;
        }
        one.process = to;
        self.note(What::Process { sender, life });
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
        let mut calls: Vec<CallNo> =
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
