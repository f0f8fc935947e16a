//! Reads the folder of a log without changing it: the manifest, the segments and their records in order.
//! Classifies damage, to tell a tail torn by a crash from lost records.
use crate::file_system::FileSystem;
use crate::frame::{self, Record, FORMAT_VERSION, SEGMENT_HEADER_BYTES};
use crate::segment_scan::scan_segment;
use serde::{Deserialize, Serialize};
use std::io;
use std::ops::Range;

/// Name of the manifest, which gives the owner of the folder and the first segment that counts.
pub const MANIFEST: &str = "manifest";
/// Name of a manifest that is being written, before it replaces the old one.
pub const MANIFEST_NEW: &str = "manifest.new";
const SEGMENT_PREFIX: &str = "seg-";

/// Why a folder can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(
        "{file} is of format {found}, and this program reads format {FORMAT_VERSION}: use the program that wrote it"
    )]
    UnsupportedFormat { file: String, found: u64 },
    #[error("{file} belongs to {found:?}, and this is {own:?}: nothing was changed")]
    ForeignOwner { file: String, found: String, own: String },
    #[error("the owner's name {0:?} is longer than {max} bytes", max = frame::MAX_OWNER_BYTES)]
    OwnerTooLong(String),
    #[error("{file}, record {sequence}: {why}: use the program that wrote it")]
    InvalidRecord { file: String, sequence: u64, why: String },
}

/// A kind of damage and where it was found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "damage")]
pub enum Damage {
    /// The last segment ends with `bytes` bytes, from offset `at` on, that are no records, as a crash in the
    /// middle of a write leaves them.
    TornTail { segment: u64, at: u64, bytes: u64 },
    /// Bytes that are no records, with records or segments after them.
    Middle { segment: u64, range: Range<u64> },
    /// Sequence numbers are skipped.
    Missing { sequences: Range<u64> },
    /// The header of a segment can't be read.
    Header { segment: u64 },
    /// The manifest is missing or can't be read.
    Manifest,
}

impl Damage {
    /// Whether a crash explains the damage, so that no acknowledged record is lost.
    pub fn is_expected_after_crash(&self) -> bool {
        matches!(self, Damage::TornTail { .. })
    }

    /// The damaged byte range and its segment; `None` for a torn tail, and for damage that has no byte range.
    pub fn byte_range(&self) -> Option<(u64, Range<u64>)> {
        match self {
            Damage::Middle { segment, range } => Some((*segment, range.clone())),
            Damage::Header { segment } => Some((*segment, 0..SEGMENT_HEADER_BYTES as u64)),
            _ => None,
        }
    }
}

impl std::fmt::Display for Damage {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Damage::TornTail { segment, at, bytes } => {
                write!(f, "{}: its tail is torn: {bytes} bytes from {at} on", segment_name(*segment))
            }
            Damage::Middle { segment, range } => {
                write!(f, "{}: bytes {} to {} are no records", segment_name(*segment), range.start, range.end)
            }
            Damage::Missing { sequences } => {
                write!(f, "records {} to {} are missing", sequences.start, sequences.end - 1)
            }
            Damage::Header { segment } => write!(f, "{}: its header is damaged", segment_name(*segment)),
            Damage::Manifest => write!(f, "the manifest is missing or damaged"),
        }
    }
}

#[derive(Serialize, Deserialize)]
pub(crate) struct Manifest {
    pub format: u64,
    pub owner: String,
    /// The first segment that counts.
    #[serde(rename = "first")]
    pub first_segment: u64,
}

/// File name of a segment.
pub fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016x}")
}

fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(SEGMENT_PREFIX)?;
    (digits.len() == 16).then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// What the folder of a log contains.
#[derive(Debug, Default)]
pub struct FolderScan {
    /// The owner's name, if the manifest or a segment has it.
    pub owner: Option<String>,
    /// The first segment that counts, as given by the manifest.
    pub first_segment: Option<u64>,
    /// Segments that count, in order: number, and length in bytes up to a torn tail.
    pub segments: Vec<(u64, u64)>,
    /// Segments before the first one that counts.
    pub stale: Vec<u64>,
    /// Segment with a torn tail, and the length to keep in bytes; 0 if neither its header nor a record can be
    /// read.
    pub torn: Option<(u64, u64)>,
    /// Whether there is a new manifest that has not replaced the old one.
    pub manifest_new: bool,
    /// Number of records that count.
    pub records: usize,
    /// Sequence number of the next record.
    pub next_sequence: u64,
    /// Number of the next segment.
    pub next_segment: u64,
    /// All damage found.
    pub damage: Vec<Damage>,
}

impl FolderScan {
    /// Reads the whole folder and calls `read` with the segment number and each record that counts, in order.
    ///
    /// Refuses the folder if one of its files names another owner than `owner` or, without `owner`, if its
    /// files name different owners.
    pub fn read(
        files: &impl FileSystem,
        owner: Option<&str>,
        mut read: impl FnMut(u64, Record) -> Result<(), String>,
    ) -> Result<FolderScan, OpenError> {
        let names = files.file_names()?;
        let mut scan = FolderScan { next_sequence: 1, next_segment: 1, ..FolderScan::default() };
        scan.manifest_new = names.iter().any(|n| n == MANIFEST_NEW);
        let mut numbers: Vec<u64> = names.iter().filter_map(|n| segment_number(n)).collect();
        numbers.sort_unstable();
        scan.next_segment = numbers.last().map_or(1, |n| n + 1);
        if names.iter().any(|n| n == MANIFEST) {
            scan.read_manifest(files, owner)?;
        } else if !numbers.is_empty() {
            scan.damage.push(Damage::Manifest);
        }
        let first_segment = scan.first_segment.unwrap_or(0);
        let (stale, active): (Vec<u64>, Vec<u64>) = numbers.into_iter().partition(|n| *n < first_segment);
        scan.stale = stale;
        let mut first_sequences = Vec::new();
        for number in &active {
            first_sequences.push(scan.check_header(files, *number, owner)?);
        }
        for (index, number) in active.iter().enumerate() {
            let bound = first_sequences[index + 1..].iter().flatten().next().copied();
            scan.read_segment(files, *number, index + 1 == active.len(), bound, &mut read)?;
        }
        Ok(scan)
    }

    fn check_owner(&mut self, file: String, found: String, owner: Option<&str>) -> Result<(), OpenError> {
        let own = owner.or(self.owner.as_deref()).unwrap_or(&found);
        if found != own {
            return Err(OpenError::ForeignOwner { own: own.to_string(), file, found });
        }
        self.owner = Some(found);
        Ok(())
    }

    fn read_manifest(&mut self, files: &impl FileSystem, owner: Option<&str>) -> Result<(), OpenError> {
        let Ok(manifest) = serde_json::from_slice::<Manifest>(&files.read(MANIFEST)?) else {
            self.damage.push(Damage::Manifest);
            return Ok(());
        };
        if manifest.format != u64::from(FORMAT_VERSION) {
            return Err(OpenError::UnsupportedFormat { file: MANIFEST.into(), found: manifest.format });
        }
        self.check_owner(MANIFEST.into(), manifest.owner, owner)?;
        self.first_segment = Some(manifest.first_segment);
        Ok(())
    }

    /// Checks the owner and the format of a segment, and returns its first sequence number if the header can
    /// be read.
    fn check_header(
        &mut self,
        files: &impl FileSystem,
        number: u64,
        owner: Option<&str>,
    ) -> Result<Option<u64>, OpenError> {
        let file = segment_name(number);
        let bytes = files.read_prefix(&file, SEGMENT_HEADER_BYTES)?;
        let Some(header) = frame::decode_header(&bytes) else { return Ok(None) };
        if header.version != FORMAT_VERSION {
            return Err(OpenError::UnsupportedFormat { file, found: header.version.into() });
        }
        self.check_owner(file, header.owner, owner)?;
        Ok(Some(header.first_sequence))
    }

    /// Reads the records of a segment.
    ///
    /// `bound` is the first sequence number of the next segment that has a readable header: records of this
    /// segment with that number or a higher one were never acknowledged.
    fn read_segment(
        &mut self,
        files: &impl FileSystem,
        number: u64,
        is_last: bool,
        bound: Option<u64>,
        read: &mut impl FnMut(u64, Record) -> Result<(), String>,
    ) -> Result<(), OpenError> {
        let name = segment_name(number);
        let bytes = files.read(&name)?;
        let segment = scan_segment(&bytes, self.next_sequence - 1);
        let mut length = bytes.len() as u64;
        if segment.header.is_none() {
            // A last segment without a header and a record: its header is torn, and no record was written.
            if is_last && segment.records.is_empty() {
                self.damage.push(Damage::TornTail { segment: number, at: 0, bytes: length });
                self.torn = Some((number, 0));
                return Ok(());
            }
            self.damage.push(Damage::Header { segment: number });
        }
        for record in &segment.records {
            if bound.is_some_and(|bound| record.sequence >= bound) {
                break;
            }
            // The number was read already: after a failed write or sync, numbers are given again.
            if record.sequence < self.next_sequence {
                continue;
            }
            if record.sequence > self.next_sequence && self.records > 0 {
                self.damage.push(Damage::Missing { sequences: self.next_sequence..record.sequence });
            }
            self.records += 1;
            self.next_sequence = record.sequence + 1;
            read(number, *record).map_err(|why| OpenError::InvalidRecord {
                file: name.clone(),
                sequence: record.sequence,
                why,
            })?;
        }
        let ranges = segment.damaged.iter().map(|r| r.start as u64..r.end as u64);
        self.damage.extend(ranges.map(|range| Damage::Middle { segment: number, range }));
        if let Some(tail) = segment.tail.map(|t| t as u64) {
            if is_last {
                self.damage.push(Damage::TornTail { segment: number, at: tail, bytes: length - tail });
                self.torn = Some((number, tail));
                length = tail;
            } else {
                self.damage.push(Damage::Middle { segment: number, range: tail..length });
            }
        }
        self.segments.push((number, length));
        Ok(())
    }
}
