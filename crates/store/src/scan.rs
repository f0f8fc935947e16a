//! What a segment's bytes hold, and what of them is damaged.
use crate::frame::{self, Header, Record, FRAME, HEADER};
use std::ops::Range;

/// A segment as it was found.
#[derive(Debug)]
pub struct Scanned<'a> {
    /// None where it is torn or damaged.
    pub header: Option<Header>,
    pub records: Vec<Record<'a>>,
    /// Ranges that are no records, though records follow.
    pub damaged: Vec<Range<usize>>,
    /// Where the last record ends, if something that is none follows it.
    pub tail: Option<usize>,
}

/// Reads a segment whose records come after sequence number `last` (none is known where that is 0).
///
/// After a damaged place reading goes on with the next bytes that are a record by checksum and whose sequence number
/// can stand there: it rises, and by no more than there is room for records in between. So what is a record's payload
/// is hardly ever taken for a record.
pub fn scan(bytes: &[u8], last: u64) -> Scanned<'_> {
    let header = frame::decode_header(bytes);
    let mut found = Scanned { header, records: Vec::new(), damaged: Vec::new(), tail: None };
    if bytes.len() < HEADER {
        found.tail = (!bytes.is_empty()).then_some(0);
        return found;
    }
    let mut at = HEADER;
    // Without a header the first sequence number is the one after `last`, or anything.
    let first = found.header.as_ref().map_or(last + 1, |h| h.first);
    let mut next = first;
    let anything = found.header.is_none();
    while at < bytes.len() {
        if let Some(record) = frame::decode(&bytes[at..], next..=next) {
            at += record.length();
            next += 1;
            found.records.push(record);
            continue;
        }
        match resume(bytes, at, next, anything && found.records.is_empty()) {
            Some((place, record)) => {
                found.damaged.push(at..place);
                at = place + record.length();
                next = record.sequence + 1;
                found.records.push(record);
            }
            None => {
                found.tail = Some(at);
                break;
            }
        }
    }
    found
}

/// The first record after a damaged place.
fn resume(bytes: &[u8], from: usize, next: u64, anything: bool) -> Option<(usize, Record<'_>)> {
    (from + 1..bytes.len().saturating_sub(FRAME - 1)).find_map(|place| {
        let room = ((place - from) / FRAME) as u64;
        let sequences = if anything { next..=u64::MAX - 1 } else { next..=next.saturating_add(room) };
        frame::decode(&bytes[place..], sequences).map(|record| (place, record))
    })
}
