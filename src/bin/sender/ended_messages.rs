//! The messages that ended recently, by trace id.
//!
//! A client whose connection ends without a reply can't tell whether its request was read, so it sends the
//! request again under the same trace id. By then the message may have been delivered already. Taken for a
//! new message, it would be delivered twice.
use crate::input::Reply;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an ended message is kept after its deadline: a request that is sent again may state the same time
/// to its deadline as the first one, counted from its own sending.
const REPEAT_GRACE: Duration = Duration::from_secs(1);
/// Maximum number of messages kept, the last that ended. With the longest ids they take about 2 MB.
///
/// A request is sent again within a second or so, whatever time to its deadline it states. So a client that
/// states a long time for many messages must not push out those of others.
pub const MAX_ENDED: usize = 4_096;

/// A message that has ended, as it passes from one process to the next.
#[derive(Serialize, Deserialize)]
pub struct EndedMessage {
    trace_id: String,
    reply: Reply,
    /// Time until it is dropped.
    kept_for: Duration,
}

/// What is known of one message.
struct Entry {
    reply: Reply,
    expiry: Instant,
    /// Its place in the order in which messages ended.
    number: u64,
}

/// The messages that ended recently, each with the reply to a client that hands it in again.
#[derive(Default)]
pub struct EndedMessages {
    by_trace: HashMap<Rc<str>, Entry>,
    /// The same messages in the order in which they expire.
    expiries: BTreeSet<(Instant, Rc<str>)>,
    /// The same messages in the order in which they ended.
    order: BTreeMap<u64, Rc<str>>,
    next_number: u64,
}

impl EndedMessages {
    /// Records that a message has ended. It is kept until shortly after its deadline.
    pub fn record(&mut self, trace_id: &str, reply: Reply, deadline: Instant) {
        let now = Instant::now();
        self.insert(trace_id, reply, deadline.max(now) + REPEAT_GRACE);
        self.drop_expired(now);
    }

    /// Returns the reply to a request with this trace id, if its message has ended already.
    pub fn reply_to(&self, trace_id: &str, now: Instant) -> Option<Reply> {
        self.by_trace.get(trace_id).filter(|entry| entry.expiry > now).map(|entry| entry.reply)
    }

    /// Converts the messages to the form in which the next process gets them, the first that ended first.
    pub fn into_handover(self) -> Vec<EndedMessage> {
        let now = Instant::now();
        let to_ended = |trace_id: Rc<str>| {
            let entry = self.by_trace.get(&trace_id)?;
            let kept_for = entry.expiry.saturating_duration_since(now);
            Some(EndedMessage { trace_id: trace_id.to_string(), reply: entry.reply, kept_for })
        };
        self.order.into_values().filter_map(to_ended).collect()
    }

    /// Returns one message in that form.
    pub fn to_handover(&self, trace_id: &str) -> Option<EndedMessage> {
        let entry = self.by_trace.get(trace_id)?;
        let kept_for = entry.expiry.saturating_duration_since(Instant::now());
        Some(EndedMessage { trace_id: trace_id.to_string(), reply: entry.reply, kept_for })
    }

    /// Restores the messages that the previous process has handed over.
    pub fn restore(handed_over: Vec<EndedMessage>) -> EndedMessages {
        let mut ended = EndedMessages::default();
        ended.add(handed_over);
        ended
    }

    /// Adds messages that another process of this sender has ended.
    pub fn add(&mut self, messages: Vec<EndedMessage>) {
        let now = Instant::now();
        for EndedMessage { trace_id, reply, kept_for } in messages {
            self.insert(&trace_id, reply, now + kept_for);
        }
        self.drop_expired(now);
    }

    fn insert(&mut self, trace_id: &str, reply: Reply, expiry: Instant) {
        let trace_id: Rc<str> = trace_id.into();
        self.remove(&trace_id);
        let number = self.next_number;
        self.next_number += 1;
        self.expiries.insert((expiry, trace_id.clone()));
        self.order.insert(number, trace_id.clone());
        self.by_trace.insert(trace_id, Entry { reply, expiry, number });
    }

    fn remove(&mut self, trace_id: &Rc<str>) {
        if let Some(entry) = self.by_trace.remove(trace_id) {
            self.expiries.remove(&(entry.expiry, trace_id.clone()));
            self.order.remove(&entry.number);
        }
    }

    /// Drops the messages whose time is over, and the first that ended if there are too many.
    fn drop_expired(&mut self, now: Instant) {
        while let Some((_, trace_id)) = self.expiries.first().filter(|(expiry, _)| *expiry <= now).cloned() {
            self.remove(&trace_id);
        }
        while self.order.len() > MAX_ENDED {
            let Some(trace_id) = self.order.values().next().cloned() else { return };
            self.remove(&trace_id);
        }
    }
}

#[cfg(test)]
mod tests;
