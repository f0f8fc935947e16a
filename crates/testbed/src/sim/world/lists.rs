//! The list of endpoints: its changes, and whom they are told.
use super::{Happens, World};
use crate::clock::from_seconds;
use crate::facts::FactKind;
use crate::platform::list::{Entry, Lifecycle, ListUpdate};
use crate::sim::senders::Process;
use crate::spec::Link;
use rand::RngExt;
use sender::api::{self, Event};

impl World<'_> {
    pub(super) fn change(&mut self, endpoint: u32, lifecycle: Lifecycle) {
        self.record(FactKind::EndpointChanged { endpoint, lifecycle });
        let [low, high] = self.plan.spec.platform.notice_s;
        let late = low + (high - low) * self.late.random::<f64>();
        // Nothing is told before what came earlier.
        self.published = self.published.max(self.now + from_seconds(late));
        self.queue.push(self.published, Happens::Publish { endpoint, lifecycle });
    }

    /// Tells each sender that can hear it what is new to it.
    pub(super) fn tell_lists(&mut self) {
        if !self.discovery.is_empty() {
            return;
        }
        let generation = self.list.generation();
        for sender in 0..self.senders.len() as u32 {
            let behind = self.told[sender as usize] < generation;
            let hears = self.links.get(&(Link::Discovery, sender)).is_none_or(|way| way.condition.connects());
            let up = self.senders[sender as usize].process != Process::Down;
            if !(behind && hears && up) {
                continue;
            }
            let told = self.list.since(Some(self.told[sender as usize]));
            self.told[sender as usize] = generation;
            for Entry { endpoint, lifecycle } in &told.entries {
                self.record(FactKind::ChangeSent { sender, endpoint: *endpoint, lifecycle: *lifecycle });
            }
            let list = self.listed(&told);
            self.tell(sender, list);
        }
    }

    /// The list as the module is told of it.
    pub(super) fn listed(&self, told: &ListUpdate) -> Event {
        let entry = |e: &Entry| {
            let drawn = &self.plan.endpoints[e.endpoint as usize];
            let dest = &self.plan.destinations[drawn.dest as usize];
            let condition = match e.lifecycle {
                Lifecycle::Ready => api::Condition::Ready,
                Lifecycle::Terminating => api::Condition::Draining,
                Lifecycle::Gone => api::Condition::Gone,
            };
            api::Entry {
                endpoint: e.endpoint,
                dest: drawn.dest.into(),
                kind: usize::from(!dest.flagship),
                zone: drawn.zone as usize,
                condition,
                rate_hint: dest.per_s,
            }
        };
        Event::List { whole: told.reset, entries: told.entries.iter().map(entry).collect() }
    }
}
