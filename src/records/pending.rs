//! The messages that have not ended, as a sequence of records yields them.
use super::{payload, PendingMessage, Record};
use std::collections::BTreeMap;
use store::frame;
use store::log::SnapshotSource;

/// All pending messages, by number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PendingMessages {
    messages: BTreeMap<u64, PendingMessage>,
}

impl PendingMessages {
    pub fn messages(&self) -> &BTreeMap<u64, PendingMessage> {
        &self.messages
    }

    /// Adds a message, replacing one of the same number.
    pub fn insert(&mut self, message: PendingMessage) {
        self.messages.insert(message.accepted.id, message);
    }

    /// Applies one record. Records of messages that are not pending have no effect.
    pub fn apply(&mut self, record: &Record) {
        if let Record::Accepted(accepted) = record {
            self.insert(PendingMessage {
                accepted: accepted.clone(),
                attempts: Vec::new(),
                undelivered: None,
            });
            return;
        }
        let Some(message) = self.messages.get_mut(&record.id()) else { return };
        match record {
            Record::AttemptStarted(_, attempt) => message.attempts.push(attempt.clone()),
            Record::AttemptNeverRan(_, number) => {
                message.attempts.iter_mut().filter(|a| a.number == *number).for_each(|a| a.never_ran = true);
            }
            Record::NoticeStarted(_, undelivered) => message.undelivered = Some(*undelivered),
            Record::Accepted(_) | Record::Ended(_) => _ = self.messages.remove(&record.id()),
        }
    }

    /// Applies one record as the log holds it.
    pub fn apply_logged(&mut self, record: &frame::Record) -> Result<(), String> {
        match record.operation {
            frame::Operation::Put => self.insert(payload::decode_message(record.key, record.payload)?),
            frame::Operation::Merge => self.apply(&payload::decode_addition(record.key, record.payload)?),
            frame::Operation::Delete => self.apply(&Record::Ended(record.key)),
        }
        Ok(())
    }
}

impl SnapshotSource for PendingMessages {
    fn snapshot(&self, key: u64) -> Option<Vec<u8>> {
        self.messages.get(&key).map(payload::encode_message)
    }
}
