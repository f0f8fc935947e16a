//! The byte format of a segment: a header, followed by records.
//!
//! All numbers are little endian. The sizes below are in bytes.
//!
//! Segment header (96 bytes): magic 8, format version 2, length of the owner's name 2, segment number 8,
//! sequence number of the first record 8, owner's name 64, CRC-32C of all these bytes 4.
//!
//! Record: payload length 4, operation 1, sequence number 8, key 8, CRC-32C of these bytes and the payload 4,
//! payload.

/// First bytes of each segment.
pub const MAGIC: [u8; 8] = *b"cplstore";
/// Version of the format that this program writes and reads.
pub const FORMAT_VERSION: u16 = 1;
/// Length of a segment's header.
pub const SEGMENT_HEADER_BYTES: usize = 96;
/// Length of what precedes the payload in a record.
pub const RECORD_HEADER_BYTES: usize = 25;
/// Maximum length of an owner's name.
pub const MAX_OWNER_BYTES: usize = 64;
/// Maximum length of a payload: a message body of 64 KiB with its metadata and attempts fits.
pub const MAX_PAYLOAD_BYTES: usize = 256 << 10;

/// What a record does to the state of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Replaces the state of the key.
    Put,
    /// Adds to the state of a key that was put before.
    Merge,
    /// Deletes the key.
    Delete,
}

impl Operation {
    fn to_byte(self) -> u8 {
        match self {
            Operation::Put => 1,
            Operation::Merge => 2,
            Operation::Delete => 3,
        }
    }

    fn from_byte(byte: u8) -> Option<Operation> {
        match byte {
            1 => Some(Operation::Put),
            2 => Some(Operation::Merge),
            3 => Some(Operation::Delete),
            _ => None,
        }
    }
}

/// One record, with its payload borrowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// Number of the record in the log, counted across segments.
    pub sequence: u64,
    pub key: u64,
    pub operation: Operation,
    pub payload: &'a [u8],
}

impl Record<'_> {
    /// Length of the encoded record.
    pub fn encoded_len(&self) -> usize {
        RECORD_HEADER_BYTES + self.payload.len()
    }
}

/// The header of a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentHeader {
    /// Version of the segment's format.
    pub version: u16,
    /// Number of the segment.
    pub number: u64,
    /// Sequence number of the segment's first record.
    pub first_sequence: u64,
    /// Name of the folder's owner.
    pub owner: String,
}

fn array_at<const N: usize>(input: &[u8], offset: usize) -> Option<[u8; N]> {
    input.get(offset..offset + N)?.try_into().ok()
}

/// Encodes the header of a segment.
pub fn encode_header(owner: &str, number: u64, first_sequence: u64) -> [u8; SEGMENT_HEADER_BYTES] {
    let mut header = [0; SEGMENT_HEADER_BYTES];
    header[..8].copy_from_slice(&MAGIC);
    header[8..10].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    let name = &owner.as_bytes()[..owner.len().min(MAX_OWNER_BYTES)];
    header[10..12].copy_from_slice(&(name.len() as u16).to_le_bytes());
    header[12..20].copy_from_slice(&number.to_le_bytes());
    header[20..28].copy_from_slice(&first_sequence.to_le_bytes());
    header[28..28 + name.len()].copy_from_slice(name);
    let checksum = crc32c::crc32c(&header[..SEGMENT_HEADER_BYTES - 4]);
    header[SEGMENT_HEADER_BYTES - 4..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Decodes the header at the start of a segment; `None` if it is torn or damaged. The version is not checked.
pub fn decode_header(input: &[u8]) -> Option<SegmentHeader> {
    let header: [u8; SEGMENT_HEADER_BYTES] = array_at(input, 0)?;
    let checksum = u32::from_le_bytes(array_at(&header, SEGMENT_HEADER_BYTES - 4)?);
    if header[..8] != MAGIC || crc32c::crc32c(&header[..SEGMENT_HEADER_BYTES - 4]) != checksum {
        return None;
    }
    let length = usize::from(u16::from_le_bytes(array_at(&header, 10)?));
    Some(SegmentHeader {
        version: u16::from_le_bytes(array_at(&header, 8)?),
        number: u64::from_le_bytes(array_at(&header, 12)?),
        first_sequence: u64::from_le_bytes(array_at(&header, 20)?),
        owner: String::from_utf8(header.get(28..28 + length.min(MAX_OWNER_BYTES))?.to_vec()).ok()?,
    })
}

/// Appends an encoded record to a buffer.
pub fn encode_record(buffer: &mut Vec<u8>, record: &Record) {
    let start = buffer.len();
    buffer.extend_from_slice(&(record.payload.len() as u32).to_le_bytes());
    buffer.push(record.operation.to_byte());
    buffer.extend_from_slice(&record.sequence.to_le_bytes());
    buffer.extend_from_slice(&record.key.to_le_bytes());
    let checksum = crc32c::crc32c_append(crc32c::crc32c(&buffer[start..]), record.payload);
    buffer.extend_from_slice(&checksum.to_le_bytes());
    buffer.extend_from_slice(record.payload);
}

/// Decodes the record at the start of `input`; `None` unless it is complete, its checksum is right and its
/// sequence number is within `sequences`.
pub fn decode_record(input: &[u8], sequences: std::ops::RangeInclusive<u64>) -> Option<Record<'_>> {
    let length = u32::from_le_bytes(array_at(input, 0)?) as usize;
    let sequence = u64::from_le_bytes(array_at(input, 5)?);
    // The cheap tests come before the checksum: most offsets at which no record starts fail here.
    if length > MAX_PAYLOAD_BYTES || !sequences.contains(&sequence) {
        return None;
    }
    let operation = Operation::from_byte(*input.get(4)?)?;
    let payload = input.get(RECORD_HEADER_BYTES..RECORD_HEADER_BYTES + length)?;
    let checksum = crc32c::crc32c_append(crc32c::crc32c(&input[..RECORD_HEADER_BYTES - 4]), payload);
    if checksum != u32::from_le_bytes(array_at(input, RECORD_HEADER_BYTES - 4)?) {
        return None;
    }
    Some(Record { sequence, key: u64::from_le_bytes(array_at(input, 13)?), operation, payload })
}
