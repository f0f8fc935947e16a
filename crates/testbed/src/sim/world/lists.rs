//! Discovery in simulated time: changes of the list, and their delivery to the senders.
use super::{SimEvent, World};
use crate::clock::from_seconds;
use crate::facts::FactKind;
use crate::platform::list::{Entry, Lifecycle, ListUpdate};
use crate::sim::senders::Process;
use crate::spec::Link;
use rand::RngExt;
use sender::api::{self, Event};

impl World<'_> {
    /// Records the change of an endpoint and schedules its publication.
    pub(super) fn change_endpoint(&mut self, endpoint: u32, lifecycle: Lifecycle) {
        self.record(FactKind::EndpointChanged { endpoint, lifecycle });
        let [low, high] = self.plan.spec.platform.notice_s;
        let late = low + (high - low) * self.publish_delays.random::<f64>();
        // Changes are published in their order.
        self.last_publish_at = self.last_publish_at.max(self.now + from_seconds(late));
        self.queue.push(self.last_publish_at, SimEvent::PublishChange { endpoint, lifecycle });
    }

    /// Sends each reachable sender the changes that it does not have yet.
    pub(super) fn send_list_changes(&mut self) {
        if !self.discovery_faults.is_empty() {
            return;
        }
        let generation = self.list.generation();
        for sender in 0..self.senders.len() as u32 {
            let behind = self.sent_generations[sender as usize] < generation;
            let reachable = self
                .links
                .get(&(Link::Discovery, sender))
                .is_none_or(|link| link.condition.accepts_connections());
            let up = self.senders[sender as usize].process != Process::Down;
            if !(behind && reachable && up) {
                continue;
            }
            let update = self.list.since(Some(self.sent_generations[sender as usize]));
            self.sent_generations[sender as usize] = generation;
            for Entry { endpoint, lifecycle } in &update.entries {
                self.record(FactKind::ChangeSent { sender, endpoint: *endpoint, lifecycle: *lifecycle });
            }
            let list = self.list_event(&update);
            self.push_event(sender, list);
        }
    }

    /// Returns the event that tells a sender's module of the list or its changes.
    pub(super) fn list_event(&self, update: &ListUpdate) -> Event {
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
        Event::List { whole: update.reset, entries: update.entries.iter().map(entry).collect() }
    }
}
