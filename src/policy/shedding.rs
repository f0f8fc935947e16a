//! Load shedding: which messages are refused when the room for messages is nearly used up.

use super::{Sender, MIN_ADMISSION_WAIT};
use crate::api::*;

/// Share of `Settings::max_open` above which messages are refused.
const SHED_THRESHOLD: f64 = 0.9;

impl Sender {
    /// Above the shedding threshold, refuses new messages whose destination has no listed endpoint, the last
    /// first. Clients choose the names of destinations, so messages that can't be sent must not take all room
    /// from those that can. Messages that were taken on earlier, also by another process, stay.
    pub(super) fn refuse_new_undeliverable(&mut self, events: &[Event], out: &mut Vec<Action>) {
        let new = events.iter().rev().filter_map(|event| match event {
            Event::Message(message) => Some(message),
            _ => None,
        });
        for message in new {
            if self.excess() == 0 {
                return;
            }
            let is_held = self.messages.get(&message.id).is_some_and(|open| !open.ended);
            if is_held && !self.has_listed_endpoint(message.dest) {
                self.refuse_or_fail(message.id, out);
            }
        }
    }

    /// Above the shedding threshold, refuses messages that were held for longer than the admission wait, in
    /// ascending order of their worth.
    pub(super) fn shed_load(&mut self, out: &mut Vec<Action>) {
        let excess = self.excess();
        if excess == 0 {
            return;
        }
        let mut order: Vec<(f64, MsgId)> = Vec::new();
        for dest in self.active.iter().map(|id| &self.dests[id]) {
            let admission_wait = MIN_ADMISSION_WAIT.max((dest.latency.mean() / 10.0) as Ns);
            // Worth counts at the time at which the message can expect to be sent, so a message far back in a
            // slow queue has little left: the work of a failing destination must not take the room of the
            // others.
            let interval = dest.service_interval(self.now);
            for (index, &id) in dest.held.iter().enumerate() {
                let open_message = &self.messages[&id];
                if self.now - open_message.accepted_at > admission_wait && self.allows(open_message, None) {
                    let expected_at = self.now + ((index + 1) as f64 * interval) as Ns;
                    order.push((self.worth(open_message, expected_at), id));
                }
            }
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id) in order.into_iter().take(excess) {
            self.refuse_or_fail(id, out);
        }
    }

    /// Returns how many messages there are above the shedding threshold.
    fn excess(&self) -> usize {
        let threshold = (self.settings.max_open as f64 * SHED_THRESHOLD) as usize;
        self.open_count.saturating_sub(threshold)
    }

    fn has_listed_endpoint(&self, dest: DestId) -> bool {
        let is_listed = |id| self.endpoints.get(id).is_some_and(|endpoint| endpoint.listed);
        self.dests.get(&dest).is_some_and(|dest| dest.endpoints.iter().any(is_listed))
    }
}
