//! What a folder holds, read without a change to it: segments, records in order, and damage told apart.
use crate::files::Files;
use crate::frame::{self, Record, HEADER, VERSION};
use crate::scan::scan;
use serde::{Deserialize, Serialize};
use std::io;
use std::ops::Range;

pub const MANIFEST: &str = "manifest";
pub const MANIFEST_NEW: &str = "manifest.new";
const SEGMENT: &str = "seg-";

#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(
        "{file} is of format {found}, and this program reads format {VERSION}: use the program that wrote it"
    )]
    Version { file: String, found: u64 },
    #[error("{file} belongs to {found:?}, and this is {own:?}: nothing was changed")]
    Foreign { file: String, found: String, own: String },
    #[error("the owner's name {0:?} is longer than {max} bytes", max = frame::OWNER)]
    Owner(String),
    #[error("{file}, record {sequence}: {why}: use the program that wrote it")]
    Record { file: String, sequence: u64, why: String },
}

/// What is wrong with a place in the files.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "damage")]
pub enum Damage {
    /// The last thing written is cut short, as a crash leaves it.
    TornTail {
        segment: u64,
        at: u64,
        bytes: u64,
    },
    /// Bytes in the middle that are no records.
    Middle {
        segment: u64,
        range: Range<u64>,
    },
    /// Records that should be there are not.
    Missing {
        sequences: Range<u64>,
    },
    Header {
        segment: u64,
    },
    Manifest,
}

impl Damage {
    /// Whether a crash explains it, so that nothing acknowledged is gone.
    pub fn is_expected(&self) -> bool {
        matches!(self, Damage::TornTail { .. })
    }

    /// The bytes of a segment that were no records, in the middle of what counts.
    pub fn place(&self) -> Option<(u64, Range<u64>)> {
        match self {
            Damage::Middle { segment, range } => Some((*segment, range.clone())),
            Damage::Header { segment } => Some((*segment, 0..HEADER as u64)),
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
    pub first: u64,
}

pub fn segment_name(number: u64) -> String {
    format!("{SEGMENT}{number:016x}")
}

fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(SEGMENT)?;
    (digits.len() == 16).then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// What was found in a folder.
#[derive(Debug, Default)]
pub struct Survey {
    /// Whose it is, as far as a file says so.
    pub owner: Option<String>,
    /// The first segment that counts, as the manifest has it.
    pub first: Option<u64>,
    /// Segments that count, in order, with their bytes.
    pub segments: Vec<(u64, u64)>,
    /// Segments that no longer count.
    pub stale: Vec<u64>,
    /// The segment whose tail is torn, and how much of it stands; nothing: it holds nothing at all.
    pub torn: Option<(u64, u64)>,
    /// Whether a manifest was about to be replaced.
    pub manifest_new: bool,
    /// Records that count.
    pub records: usize,
    /// Sequence number of the next record, and number of the next segment.
    pub next: u64,
    pub next_segment: u64,
    pub damage: Vec<Damage>,
}

impl Survey {
    /// Reads all. Where `owner` is given a folder of another one is refused.
    pub fn read(
        files: &impl Files,
        owner: Option<&str>,
        mut read: impl FnMut(u64, Record) -> Result<(), String>,
    ) -> Result<Survey, OpenError> {
        let names = files.names()?;
        let mut survey = Survey { next: 1, next_segment: 1, ..Survey::default() };
        survey.manifest_new = names.iter().any(|n| n == MANIFEST_NEW);
        let mut numbers: Vec<u64> = names.iter().filter_map(|n| segment_number(n)).collect();
        numbers.sort_unstable();
        survey.next_segment = numbers.last().map_or(1, |n| n + 1);
        if names.iter().any(|n| n == MANIFEST) {
            survey.read_manifest(files, owner)?;
        } else if !numbers.is_empty() {
            survey.damage.push(Damage::Manifest);
        }
        let first = survey.first.unwrap_or(0);
        let (stale, counted): (Vec<u64>, Vec<u64>) = numbers.into_iter().partition(|n| *n < first);
        survey.stale = stale;
        let mut firsts = Vec::new();
        for number in &counted {
            firsts.push(survey.look_at(files, *number, owner)?);
        }
        for (place, number) in counted.iter().enumerate() {
            let bound = firsts[place + 1..].iter().flatten().next().copied();
            survey.read_segment(files, *number, place + 1 == counted.len(), bound, &mut read)?;
        }
        Ok(survey)
    }

    fn is_owner(&mut self, file: String, found: String, owner: Option<&str>) -> Result<(), OpenError> {
        let own = owner.or(self.owner.as_deref()).unwrap_or(&found);
        if found != own {
            return Err(OpenError::Foreign { own: own.to_string(), file, found });
        }
        self.owner = Some(found);
        Ok(())
    }

    fn read_manifest(&mut self, files: &impl Files, owner: Option<&str>) -> Result<(), OpenError> {
        let Ok(manifest) = serde_json::from_slice::<Manifest>(&files.read(MANIFEST)?) else {
            self.damage.push(Damage::Manifest);
            return Ok(());
        };
        if manifest.format != u64::from(VERSION) {
            return Err(OpenError::Version { file: MANIFEST.into(), found: manifest.format });
        }
        self.is_owner(MANIFEST.into(), manifest.owner, owner)?;
        self.first = Some(manifest.first);
        Ok(())
    }

    /// Checks that a segment is the owner's and of this format; its first sequence number, if it can be read.
    fn look_at(
        &mut self,
        files: &impl Files,
        number: u64,
        owner: Option<&str>,
    ) -> Result<Option<u64>, OpenError> {
        let file = segment_name(number);
        let bytes = files.head(&file, HEADER)?;
        let Some(header) = frame::decode_header(&bytes) else { return Ok(None) };
        if header.version != VERSION {
            return Err(OpenError::Version { file, found: header.version.into() });
        }
        self.is_owner(file, header.owner, owner)?;
        Ok(Some(header.first))
    }

    /// `bound` is the first sequence number of the segments after it: what goes beyond was never acknowledged.
    fn read_segment(
        &mut self,
        files: &impl Files,
        number: u64,
        is_last: bool,
        bound: Option<u64>,
        read: &mut impl FnMut(u64, Record) -> Result<(), String>,
    ) -> Result<(), OpenError> {
        let name = segment_name(number);
        let bytes = files.read(&name)?;
        let scanned = scan(&bytes, self.next - 1);
        let mut length = bytes.len() as u64;
        if scanned.header.is_none() {
            // Torn before it held anything: nothing was written to it.
            if is_last && scanned.records.is_empty() {
                self.damage.push(Damage::TornTail { segment: number, at: 0, bytes: length });
                self.torn = Some((number, 0));
                return Ok(());
            }
            self.damage.push(Damage::Header { segment: number });
        }
        for record in &scanned.records {
            if bound.is_some_and(|bound| record.sequence >= bound) {
                break;
            }
            // Written once more after a doubt: the later one holds.
            if record.sequence < self.next {
                continue;
            }
            if record.sequence > self.next && self.records > 0 {
                self.damage.push(Damage::Missing { sequences: self.next..record.sequence });
            }
            self.records += 1;
            self.next = record.sequence + 1;
            read(number, *record).map_err(|why| OpenError::Record {
                file: name.clone(),
                sequence: record.sequence,
                why,
            })?;
        }
        let ranges = scanned.damaged.iter().map(|r| r.start as u64..r.end as u64);
        self.damage.extend(ranges.map(|range| Damage::Middle { segment: number, range }));
        if let Some(tail) = scanned.tail.map(|t| t as u64) {
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
