//! Reads the records of one segment and finds the byte ranges that are damaged.
use crate::frame::{self, Record, SegmentHeader, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES};
use std::ops::Range;

/// What the bytes of a segment contain.
#[derive(Debug)]
pub struct SegmentScan<'a> {
    /// `None` if the header is torn or damaged.
    pub header: Option<SegmentHeader>,
    pub records: Vec<Record<'a>>,
    /// Byte ranges that are no records, with records after them.
    pub damaged: Vec<Range<usize>>,
    /// Offset from which on the bytes are no records, up to the end; `None` if there are no such bytes.
    pub tail: Option<usize>,
}

/// Reads the records of a segment. `last` is the last sequence number before the segment, 0 if none is known;
/// it is used only if the header can't be read.
///
/// After a damaged range, reading resumes at the next bytes that are a record by checksum and whose sequence
/// number is possible there: it is the next one, or higher by at most the number of records that fit into the
/// range. It has no upper limit if neither the header nor a record before the range could be read. This makes
/// it very unlikely that part of a payload is taken for a record.
pub fn scan_segment(bytes: &[u8], last: u64) -> SegmentScan<'_> {
    let header = frame::decode_header(bytes);
    let mut scan = SegmentScan { header, records: Vec::new(), damaged: Vec::new(), tail: None };
    if bytes.len() < SEGMENT_HEADER_BYTES {
        scan.tail = (!bytes.is_empty()).then_some(0);
        return scan;
    }
    let mut offset = SEGMENT_HEADER_BYTES;
    // Without a header, the first record continues after `last` or, after damage, has any higher sequence
    // number.
    let first = scan.header.as_ref().map_or(last + 1, |h| h.first_sequence);
    let mut next = first;
    let header_missing = scan.header.is_none();
    while offset < bytes.len() {
        if let Some(record) = frame::decode_record(&bytes[offset..], next..=next) {
            offset += record.encoded_len();
            next += 1;
            scan.records.push(record);
            continue;
        }
        match find_next_record(bytes, offset, next, header_missing && scan.records.is_empty()) {
            Some((start, record)) => {
                scan.damaged.push(offset..start);
                offset = start + record.encoded_len();
                next = record.sequence + 1;
                scan.records.push(record);
            }
            None => {
                scan.tail = Some(offset);
                break;
            }
        }
    }
    scan
}

/// Finds the first record after a damaged range that begins at `from`. With `any_sequence`, its sequence
/// number is not bounded above.
fn find_next_record(bytes: &[u8], from: usize, next: u64, any_sequence: bool) -> Option<(usize, Record<'_>)> {
    (from + 1..bytes.len().saturating_sub(RECORD_HEADER_BYTES - 1)).find_map(|start| {
        let records_that_fit = ((start - from) / RECORD_HEADER_BYTES) as u64;
        let sequences =
            if any_sequence { next..=u64::MAX - 1 } else { next..=next.saturating_add(records_that_fit) };
        frame::decode_record(&bytes[start..], sequences).map(|record| (start, record))
    })
}
