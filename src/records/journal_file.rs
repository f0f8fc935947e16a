//! The journal format that preceded the log: a single file of records.
//!
//! Each record is framed by its length and a CRC-32, and consists of the length of its head, the head in
//! JSON, and the body if it is that of an accepted message.
//! Such files are read when a sender takes over from that version, and written to go back to it.
use super::{AcceptedMessage, PendingMessage, Record, StartedAttempt};
use bytes::Bytes;
use std::rc::Rc;

/// Bytes of a record's length and checksum.
const FRAME_HEADER_BYTES: usize = 8;
/// Maximum size of a record in bytes: enough for a body of 64 KiB and the record's head.
const MAX_RECORD_BYTES: usize = 256 << 10;

/// Decodes the record at the start of `bytes`; returns it with its length, or None where it is torn or
/// damaged.
fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
    let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?) as usize);
    let length = word(0)?;
    if !(4..=MAX_RECORD_BYTES).contains(&length) {
        return None;
    }
    let payload = bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length)?;
    if crc32fast::hash(payload) as usize != word(4)? {
        return None;
    }
    let (head, body) = payload[4..].split_at_checked(word(FRAME_HEADER_BYTES)?)?;
    let mut record = serde_json::from_slice(head).ok()?;
    if let Record::Accepted(message) = &mut record {
        Rc::get_mut(message)?.body = Bytes::copy_from_slice(body);
    }
    Some((record, FRAME_HEADER_BYTES + length))
}

/// The readable content of a journal file.
#[derive(Debug, Default)]
pub struct Content {
    pub records: Vec<Record>,
    /// Byte ranges that hold no valid record. The last one may be a tail that a crash has torn.
    pub damaged: Vec<std::ops::Range<usize>>,
}

/// Reads a whole file. After a damaged range it goes on at the next offset where a record has a valid
/// checksum.
pub fn read(bytes: &[u8]) -> Content {
    let mut found = Content::default();
    let mut at = 0;
    while at < bytes.len() {
        let next = (at..bytes.len()).find_map(|offset| Some((offset, decode(&bytes[offset..])?)));
        let offset = next.as_ref().map_or(bytes.len(), |(offset, _)| *offset);
        if offset > at {
            found.damaged.push(at..offset);
        }
        let Some((offset, (record, length))) = next else { break };
        found.records.push(record);
        at = offset + length;
    }
    found
}

fn encode(record: &Record, buffer: &mut Vec<u8>) {
    let head = serde_json::to_vec(record).expect("records are plain data");
    let body: &[u8] = if let Record::Accepted(message) = record { &message.body } else { &[] };
    let start = buffer.len();
    buffer.extend_from_slice(&((4 + head.len() + body.len()) as u32).to_le_bytes());
    buffer.extend_from_slice(&[0; 4]);
    buffer.extend_from_slice(&(head.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&head);
    buffer.extend_from_slice(body);
    let checksum = crc32fast::hash(&buffer[start + FRAME_HEADER_BYTES..]);
    buffer[start + 4..start + FRAME_HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
}

/// Returns a journal file of these messages, from which a sender of that version can start.
pub fn write<'a>(messages: impl Iterator<Item = &'a PendingMessage>) -> Vec<u8> {
    let mut buffer = Vec::new();
    for PendingMessage { accepted, attempts, undelivered } in messages {
        let id = accepted.id;
        encode(&Record::Accepted(Rc::<AcceptedMessage>::clone(accepted)), &mut buffer);
        for attempt in attempts {
            encode(
                &Record::AttemptStarted(id, StartedAttempt { never_ran: false, ..attempt.clone() }),
                &mut buffer,
            );
            if attempt.never_ran {
                encode(&Record::AttemptNeverRan(id, attempt.number), &mut buffer);
            }
        }
        if let Some(undelivered) = undelivered {
            encode(&Record::NoticeStarted(id, *undelivered), &mut buffer);
        }
    }
    buffer
}
