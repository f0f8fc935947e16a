//! The messages that ended recently, by trace id.
//!
//! A client whose connection ends without a reply can't tell whether its request was read, so it sends the
//! request again under the same trace id. By then the message may have been delivered already. Taken for a
//! new message, it would be delivered twice.
use crate::input::Reply;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an ended message is kept after its deadline: a request that is sent again may state the same time
/// to its deadline as the first one, counted from its own sending.
const REPEAT_GRACE: Duration = Duration::from_secs(1);
/// Maximum number of messages kept. With the longest ids they take about 2 MB.
const MAX_ENDED: usize = 4_096;

/// A message that has ended, as it passes from one process to the next.
#[derive(Serialize, Deserialize)]
pub struct EndedMessage {
    trace_id: String,
    reply: Reply,
    /// Time until it is dropped.
    kept_for: Duration,
}

/// The messages that ended recently, each with the reply to a client that hands it in again.
#[derive(Default)]
pub struct EndedMessages {
    by_trace: HashMap<Rc<str>, (Reply, Instant)>,
    /// The same messages in the order in which they are dropped.
    expiries: BTreeSet<(Instant, Rc<str>)>,
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
        self.by_trace.get(trace_id).filter(|(_, expiry)| *expiry > now).map(|(reply, _)| *reply)
    }

    /// Converts the messages to the form in which the next process gets them.
    pub fn into_handover(self) -> Vec<EndedMessage> {
        let now = Instant::now();
        let to_ended = |(trace_id, (reply, expiry)): (Rc<str>, (Reply, Instant))| EndedMessage {
            trace_id: trace_id.to_string(),
            reply,
            kept_for: expiry.saturating_duration_since(now),
        };
        self.by_trace.into_iter().map(to_ended).collect()
    }

    /// Restores the messages that the previous process has handed over.
    pub fn restore(handed_over: Vec<EndedMessage>) -> EndedMessages {
        let now = Instant::now();
        let mut ended = EndedMessages::default();
        for EndedMessage { trace_id, reply, kept_for } in handed_over {
            ended.insert(&trace_id, reply, now + kept_for);
        }
        ended
    }

    fn insert(&mut self, trace_id: &str, reply: Reply, expiry: Instant) {
        let trace_id: Rc<str> = trace_id.into();
        if let Some((_, earlier)) = self.by_trace.insert(trace_id.clone(), (reply, expiry)) {
            self.expiries.remove(&(earlier, trace_id.clone()));
        }
        self.expiries.insert((expiry, trace_id));
    }

    /// Drops the messages whose time is over, and those that expire first if there are too many.
    fn drop_expired(&mut self, now: Instant) {
        while self.expiries.len() > MAX_ENDED || self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, trace_id)) = self.expiries.pop_first() else { return };
            self.by_trace.remove(&trace_id);
        }
    }
}

#[cfg(test)]
mod tests;
