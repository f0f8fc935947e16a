//! Records of accepted messages, shared by the sender and by the tools that read its state folder.
//!
//! [`payload`] encodes them for the log of `crates/store`; [`journal_file`] is the format of the older single
//! file.
pub mod folder;
pub mod journal_file;
pub mod payload;
pub mod pending;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum length of an endpoint's name in bytes. Entries with longer names are left out of a list, so that
/// the size of a record is bounded.
pub const MAX_ENDPOINT_NAME_BYTES: usize = catalogue::MAX_NAME_BYTES;

/// Returns the current Unix time in milliseconds.
pub fn unix_time_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as i64)
}

/// A message as it was accepted, with everything that a call needs after a restart.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct AcceptedMessage {
    /// The sender's own number for the message.
    #[serde(rename = "i")]
    pub id: u64,
    #[serde(rename = "c")]
    pub class: String,
    #[serde(rename = "u")]
    pub tenant: String,
    #[serde(rename = "d")]
    pub dest: u64,
    /// The client's id for the message.
    #[serde(rename = "m")]
    pub trace_id: String,
    #[serde(rename = "k")]
    pub idempotency_key: Option<String>,
    /// Deadline, as Unix time in milliseconds.
    #[serde(rename = "t")]
    pub deadline_ms: i64,
    #[serde(skip)]
    pub body: Bytes,
}

/// An attempt, recorded before its call is sent.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct StartedAttempt {
    /// Attempts of a message are numbered from 0.
    #[serde(rename = "n")]
    pub number: u32,
    /// Unix time in milliseconds.
    #[serde(rename = "t")]
    pub started_at_ms: i64,
    #[serde(rename = "e")]
    pub endpoint: String,
    /// The attempt is known to have had no effect.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub never_ran: bool,
}

/// How an undelivered message ended.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq)]
pub enum Undelivered {
    /// The message may have taken effect.
    #[serde(rename = "g")]
    GivenUp,
    /// The message had no effect. Carries the milliseconds after which its client may retry, if known.
    #[serde(rename = "h")]
    HandedBack(Option<u64>),
}

/// One change to what is known of a message. The number in each variant is the message's.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Record {
    #[serde(rename = "T")]
    Accepted(Rc<AcceptedMessage>),
    #[serde(rename = "B")]
    AttemptStarted(u64, StartedAttempt),
    /// The attempt with this number is known to have had no effect.
    #[serde(rename = "N")]
    AttemptNeverRan(u64, u32),
    /// The notice of how the message ended is on its way. Written before the notice is sent: the
    /// message's client may then hand it in again, so the next process must not make further attempts.
    #[serde(rename = "D")]
    NoticeStarted(u64, Undelivered),
    /// The message has ended: nothing more has to be done for it.
    #[serde(rename = "E")]
    Ended(u64),
}

impl Record {
    /// Returns the number of the message that the record is about.
    pub fn id(&self) -> u64 {
        match self {
            Record::Accepted(message) => message.id,
            Record::AttemptStarted(id, _)
            | Record::AttemptNeverRan(id, _)
            | Record::NoticeStarted(id, _)
            | Record::Ended(id) => *id,
        }
    }
}

/// A message that has not ended, with everything that is recorded of it.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingMessage {
    pub accepted: Rc<AcceptedMessage>,
    pub attempts: Vec<StartedAttempt>,
    /// Set once the notice of how the message ended is on its way.
    pub undelivered: Option<Undelivered>,
}
