//! The format of records in the log.
//!
//! The payload of a whole message is a byte for the format version, the length of its head, the head in
//! MessagePack with field names, and the body. The payload of an addition is the version byte and a value in
//! MessagePack.
use super::{AcceptedMessage, PendingMessage, Record, StartedAttempt, Undelivered, MAX_ENDPOINT_NAME_BYTES};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use store::frame::{Operation, RECORD_HEADER_BYTES};

/// The version of the format.
const FORMAT: u8 = 1;
/// Bytes before the head of a message: the format, and the head's length.
const PREFIX_BYTES: usize = 5;
/// Upper bound in bytes of a message's first record without its texts and body.
const MAX_MESSAGE_OVERHEAD_BYTES: usize = 160;
/// Upper bound in bytes of the two records of an attempt: that it started, and that it never ran.
const MAX_ATTEMPT_BYTES: usize =
    RECORD_HEADER_BYTES + 30 + MAX_ENDPOINT_NAME_BYTES + RECORD_HEADER_BYTES + 16;
/// Upper bound in bytes of the records of a message's end.
const MAX_END_BYTES: usize = 160;

/// The head of the payload that holds a whole message.
#[derive(Serialize, Deserialize)]
struct MessageHead {
    #[serde(rename = "m")]
    accepted: Rc<AcceptedMessage>,
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    attempts: Vec<StartedAttempt>,
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    undelivered: Option<Undelivered>,
}

/// The payload of a record that adds to a message.
#[derive(Serialize, Deserialize)]
enum Addition {
    #[serde(rename = "B")]
    AttemptStarted(StartedAttempt),
    #[serde(rename = "N")]
    AttemptNeverRan(u32),
    #[serde(rename = "D")]
    NoticeStarted(Undelivered),
}

fn pack(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("records are plain data")
}

fn text_bytes(message: &AcceptedMessage) -> usize {
    let key = message.idempotency_key.as_ref().map_or(0, String::len);
    message.class.len() + message.tenant.len() + message.trace_id.len() + key
}

/// Returns an upper bound in bytes of all records of a message together.
pub fn max_log_bytes(message: &AcceptedMessage, max_attempts: usize) -> u64 {
    (MAX_MESSAGE_OVERHEAD_BYTES
        + text_bytes(message)
        + message.body.len()
        + MAX_ATTEMPT_BYTES * max_attempts
        + MAX_END_BYTES) as u64
}

/// Returns the length of the longest payload, with a body of `body` bytes and `texts` bytes of names and ids.
pub fn max_payload_bytes(body: usize, texts: usize, max_attempts: usize) -> usize {
    MAX_MESSAGE_OVERHEAD_BYTES + texts + body + MAX_ATTEMPT_BYTES * max_attempts
}

/// Encodes everything that is known of a message as one payload.
pub fn encode_message(message: &PendingMessage) -> Vec<u8> {
    let PendingMessage { accepted, attempts, undelivered } = message;
    let head = pack(&MessageHead {
        accepted: accepted.clone(),
        attempts: attempts.clone(),
        undelivered: *undelivered,
    });
    let mut all = Vec::with_capacity(PREFIX_BYTES + head.len() + accepted.body.len());
    all.push(FORMAT);
    all.extend_from_slice(&(head.len() as u32).to_le_bytes());
    all.extend_from_slice(&head);
    all.extend_from_slice(&accepted.body);
    all
}

/// Checks the format byte and returns what follows it.
fn strip_format(payload: &[u8]) -> Result<&[u8], String> {
    match payload.split_first() {
        Some((&FORMAT, rest)) => Ok(rest),
        Some((format, _)) => Err(format!("format {format} of the payload is unknown; {FORMAT} is expected")),
        None => Err("the payload is empty".into()),
    }
}

/// Decodes the payload of a whole message that is stored under `key`.
pub fn decode_message(key: u64, payload: &[u8]) -> Result<PendingMessage, String> {
    let rest = strip_format(payload)?;
    let (length, rest) = rest.split_first_chunk::<4>().ok_or("the payload ends within its head's length")?;
    let length = u32::from_le_bytes(*length) as usize;
    let (head, body) = rest.split_at_checked(length).ok_or("the payload ends within its head")?;
    let MessageHead { accepted, attempts, undelivered } =
        rmp_serde::from_slice(head).map_err(|e| e.to_string())?;
    if accepted.id != key {
        return Err(format!("message {} is stored under {key}", accepted.id));
    }
    let accepted = AcceptedMessage { body: Bytes::copy_from_slice(body), ..Rc::unwrap_or_clone(accepted) };
    Ok(PendingMessage { accepted: Rc::new(accepted), attempts, undelivered })
}

/// Decodes the payload of a record that adds to the message with the number `key`.
pub fn decode_addition(key: u64, payload: &[u8]) -> Result<Record, String> {
    let addition = rmp_serde::from_slice(strip_format(payload)?).map_err(|e| e.to_string())?;
    Ok(match addition {
        Addition::AttemptStarted(attempt) => Record::AttemptStarted(key, attempt),
        Addition::AttemptNeverRan(number) => Record::AttemptNeverRan(key, number),
        Addition::NoticeStarted(undelivered) => Record::NoticeStarted(key, undelivered),
    })
}

/// Encodes a record: what it does to its message in the log, and its payload.
pub fn encode_record(record: &Record) -> (Operation, Vec<u8>) {
    let addition = match record {
        Record::Accepted(accepted) => {
            let message =
                PendingMessage { accepted: accepted.clone(), attempts: Vec::new(), undelivered: None };
            return (Operation::Put, encode_message(&message));
        }
        Record::Ended(_) => return (Operation::Delete, Vec::new()),
        Record::AttemptStarted(_, attempt) => Addition::AttemptStarted(attempt.clone()),
        Record::AttemptNeverRan(_, number) => Addition::AttemptNeverRan(*number),
        Record::NoticeStarted(_, undelivered) => Addition::NoticeStarted(*undelivered),
    };
    let mut all = vec![FORMAT];
    all.extend_from_slice(&pack(&addition));
    (Operation::Merge, all)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A message with the longest value in every field stays within the bounds by which space is reserved.
    #[test]
    fn records_of_longest_message_stay_within_bounds() {
        let text = |length: usize| "\u{1}".repeat(length);
        let accepted = AcceptedMessage {
            id: u64::MAX,
            class: text(256),
            tenant: text(256),
            dest: u64::MAX,
            trace_id: text(256),
            idempotency_key: Some(text(256)),
            deadline_ms: i64::MIN,
            body: Bytes::from(vec![0xFF; 64 << 10]),
        };
        for attempts in [0, 1, 3, 1_000] {
            let mut message = PendingMessage {
                accepted: Rc::new(accepted.clone()),
                attempts: Vec::new(),
                undelivered: None,
            };
            let mut records = vec![Record::Accepted(message.accepted.clone())];
            for number in u32::MAX - attempts..u32::MAX {
                let attempt = StartedAttempt {
                    number,
                    started_at_ms: i64::MIN,
                    endpoint: text(MAX_ENDPOINT_NAME_BYTES),
                    never_ran: true,
                };
                message.attempts.push(attempt.clone());
                records
                    .push(Record::AttemptStarted(u64::MAX, StartedAttempt { never_ran: false, ..attempt }));
                records.push(Record::AttemptNeverRan(u64::MAX, number));
            }
            message.undelivered = Some(Undelivered::HandedBack(Some(u64::MAX)));
            records.push(Record::NoticeStarted(u64::MAX, Undelivered::HandedBack(Some(u64::MAX))));
            records.push(Record::Ended(u64::MAX));
            let written: usize = records.iter().map(|r| RECORD_HEADER_BYTES + encode_record(r).1.len()).sum();
            assert!(
                written as u64 <= max_log_bytes(&accepted, attempts as usize),
                "{attempts} attempts: {written}"
            );
            let encoded = encode_message(&message);
            assert!(
                encoded.len() <= max_payload_bytes(64 << 10, 4 * 256, attempts as usize),
                "{}",
                encoded.len()
            );
            assert_eq!(decode_message(u64::MAX, &encoded).unwrap(), message);
        }
    }
}
