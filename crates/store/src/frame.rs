//! The bytes of a segment: its header, and its records, each framed by length, sequence and checksum.
//!
//! All numbers are little endian. Header (96 bytes): magic 8, version 2, length of the owner's name 2, number of the
//! segment 8, sequence number of its first record 8, owner's name 64, CRC-32C of all that 4. Frame: length of the
//! payload 4, what it does to its key 1, sequence number 8, key 8, CRC-32C of these and the payload 4, payload.

pub const MAGIC: [u8; 8] = *b"cplstore";
pub const VERSION: u16 = 1;
pub const HEADER: usize = 96;
pub const FRAME: usize = 25;
/// Bytes of an owner's name.
pub const OWNER: usize = 64;
/// Bytes of a payload: a message's body of 64 KiB, and what belongs to it.
pub const PAYLOAD: usize = 256 << 10;

/// What a record does to its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    /// All that is known of the key; whatever came before it counts no more.
    Begin,
    /// More about a key that has begun.
    Add,
    /// Nothing is owed for the key any more.
    End,
}

impl Does {
    fn byte(self) -> u8 {
        match self {
            Does::Begin => 1,
            Does::Add => 2,
            Does::End => 3,
        }
    }

    fn read(byte: u8) -> Option<Does> {
        match byte {
            1 => Some(Does::Begin),
            2 => Some(Does::Add),
            3 => Some(Does::End),
            _ => None,
        }
    }
}

/// A record as it lies in a segment's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    pub sequence: u64,
    pub key: u64,
    pub does: Does,
    pub payload: &'a [u8],
}

impl Record<'_> {
    pub fn length(&self) -> usize {
        FRAME + self.payload.len()
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    pub version: u16,
    pub number: u64,
    pub first: u64,
    pub owner: String,
}

fn bytes<const N: usize>(from: &[u8], at: usize) -> Option<[u8; N]> {
    from.get(at..at + N)?.try_into().ok()
}

pub fn encode_header(owner: &str, number: u64, first: u64) -> [u8; HEADER] {
    let mut all = [0; HEADER];
    all[..8].copy_from_slice(&MAGIC);
    all[8..10].copy_from_slice(&VERSION.to_le_bytes());
    let name = &owner.as_bytes()[..owner.len().min(OWNER)];
    all[10..12].copy_from_slice(&(name.len() as u16).to_le_bytes());
    all[12..20].copy_from_slice(&number.to_le_bytes());
    all[20..28].copy_from_slice(&first.to_le_bytes());
    all[28..28 + name.len()].copy_from_slice(name);
    let sum = crc32c::crc32c(&all[..HEADER - 4]);
    all[HEADER - 4..].copy_from_slice(&sum.to_le_bytes());
    all
}

/// The header at the start of a segment; none where it is torn or damaged. Its version may be another.
pub fn decode_header(from: &[u8]) -> Option<Header> {
    let all: [u8; HEADER] = bytes(from, 0)?;
    let sum = u32::from_le_bytes(bytes(&all, HEADER - 4)?);
    if all[..8] != MAGIC || crc32c::crc32c(&all[..HEADER - 4]) != sum {
        return None;
    }
    let length = usize::from(u16::from_le_bytes(bytes(&all, 10)?));
    Some(Header {
        version: u16::from_le_bytes(bytes(&all, 8)?),
        number: u64::from_le_bytes(bytes(&all, 12)?),
        first: u64::from_le_bytes(bytes(&all, 20)?),
        owner: String::from_utf8(all.get(28..28 + length.min(OWNER))?.to_vec()).ok()?,
    })
}

pub fn encode(to: &mut Vec<u8>, record: &Record) {
    let start = to.len();
    to.extend_from_slice(&(record.payload.len() as u32).to_le_bytes());
    to.push(record.does.byte());
    to.extend_from_slice(&record.sequence.to_le_bytes());
    to.extend_from_slice(&record.key.to_le_bytes());
    let sum = crc32c::crc32c_append(crc32c::crc32c(&to[start..]), record.payload);
    to.extend_from_slice(&sum.to_le_bytes());
    to.extend_from_slice(record.payload);
}

/// The record at the start of `from`, if it is whole and right and its sequence number within the given ones.
pub fn decode(from: &[u8], sequences: std::ops::RangeInclusive<u64>) -> Option<Record<'_>> {
    let length = u32::from_le_bytes(bytes(from, 0)?) as usize;
    let sequence = u64::from_le_bytes(bytes(from, 5)?);
    // Before the checksum, which costs more: most places that are no record's fail here.
    if length > PAYLOAD || !sequences.contains(&sequence) {
        return None;
    }
    let does = Does::read(*from.get(4)?)?;
    let payload = from.get(FRAME..FRAME + length)?;
    let sum = crc32c::crc32c_append(crc32c::crc32c(&from[..FRAME - 4]), payload);
    if sum != u32::from_le_bytes(bytes(from, FRAME - 4)?) {
        return None;
    }
    Some(Record { sequence, key: u64::from_le_bytes(bytes(from, 13)?), does, payload })
}
