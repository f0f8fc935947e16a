//! The form before the log: one file of records, each framed by its length and a CRC-32, a head in JSON and the body.
//!
//! It is read where a sender of that time has left it, and written to go back to one.
use super::{Begun, Owed, Record, Taken};
use bytes::Bytes;
use std::rc::Rc;

const FRAME: usize = 8;
/// Longest record that it may hold: a body of 64 KiB and its headers.
const MAX_RECORD: usize = 256 << 10;

/// The record at the start of `bytes` and its length; None where it is torn or damaged.
fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
    let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?) as usize);
    let length = word(0)?;
    if !(4..=MAX_RECORD).contains(&length) {
        return None;
    }
    let payload = bytes.get(FRAME..FRAME + length)?;
    if crc32fast::hash(payload) as usize != word(4)? {
        return None;
    }
    let (head, body) = payload[4..].split_at_checked(word(FRAME)?)?;
    let mut record = serde_json::from_slice(head).ok()?;
    if let Record::Taken(taken) = &mut record {
        Rc::get_mut(taken)?.body = Bytes::copy_from_slice(body);
    }
    Some((record, FRAME + length))
}

/// What could be read of such a file.
#[derive(Debug, Default)]
pub struct Read {
    pub records: Vec<Record>,
    /// Ranges that are no records. The last one may be a tail that a crash has torn.
    pub damaged: Vec<std::ops::Range<usize>>,
}

/// Reads it all. After a damaged place reading goes on with the next bytes that are a record by their checksum.
pub fn read(bytes: &[u8]) -> Read {
    let mut found = Read::default();
    let mut at = 0;
    while at < bytes.len() {
        let next = (at..bytes.len()).find_map(|place| Some((place, decode(&bytes[place..])?)));
        let place = next.as_ref().map_or(bytes.len(), |(place, _)| *place);
        if place > at {
            found.damaged.push(at..place);
        }
        let Some((place, (record, length))) = next else { break };
        found.records.push(record);
        at = place + length;
    }
    found
}

fn encode(record: &Record, buffer: &mut Vec<u8>) {
    let head = serde_json::to_vec(record).expect("records are plain data");
    let body: &[u8] = if let Record::Taken(t) = record { &t.body } else { &[] };
    let start = buffer.len();
    buffer.extend_from_slice(&((4 + head.len() + body.len()) as u32).to_le_bytes());
    buffer.extend_from_slice(&[0; 4]);
    buffer.extend_from_slice(&(head.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&head);
    buffer.extend_from_slice(body);
    let sum = crc32fast::hash(&buffer[start + FRAME..]);
    buffer[start + 4..start + FRAME].copy_from_slice(&sum.to_le_bytes());
}

/// Such a file, from which a sender of that time goes on.
pub fn write<'a>(owed: impl Iterator<Item = &'a Owed>) -> Vec<u8> {
    let mut buffer = Vec::new();
    for Owed { taken, attempts, ending } in owed {
        let id = taken.id;
        encode(&Record::Taken(Rc::<Taken>::clone(taken)), &mut buffer);
        for attempt in attempts {
            encode(&Record::Begun(id, Begun { never_ran: false, ..attempt.clone() }), &mut buffer);
            if attempt.never_ran {
                encode(&Record::NeverRan(id, attempt.number), &mut buffer);
            }
        }
        if let Some(ending) = ending {
            encode(&Record::Decided(id, *ending), &mut buffer);
        }
    }
    buffer
}
