//! The log: segments, their cleaning, and what is read of them at the start.
use crate::files::{Append, Files};
use crate::frame::{self, Does, Record, FRAME, HEADER, OWNER, PAYLOAD, VERSION};
use crate::scan::scan;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::ops::Range;

const MANIFEST: &str = "manifest";
const MANIFEST_NEW: &str = "manifest.new";
const SEGMENT: &str = "seg-";
/// Each file counts in whole blocks (DEPLOY, Limits).
const BLOCK: u64 = 512;
/// A segment's part of the limit.
const PARTS: u64 = 16;
/// Room for the manifest, twice while it is written anew.
const MANIFESTS: u64 = 2 * BLOCK;

#[derive(Clone, Debug)]
pub struct Config {
    /// Whose folder it is; another owner's is refused. 64 bytes at most.
    pub owner: String,
    /// Bytes that all files may take, each in whole blocks.
    pub limit: u64,
    /// Bytes of the longest payload that is appended; 256 KiB at most.
    pub largest: usize,
    /// Whether names and what cleaning moves are synced, so that a loss of power costs nothing that was synced.
    pub durable: bool,
}

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
    #[error("the owner's name {0:?} is longer than {OWNER} bytes")]
    Owner(String),
}

/// What is wrong with a place in the files.
#[derive(Clone, Debug, PartialEq, Eq)]
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
}

/// What was found at the start.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Found {
    pub records: usize,
    pub damage: Vec<Damage>,
}

/// All that is known of a key, as one payload; none where nothing is owed for it.
pub trait Images {
    fn image(&self, key: u64) -> Option<Vec<u8>>;
}

/// One record to append.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    pub key: u64,
    pub does: Does,
    pub payload: &'a [u8],
}

#[derive(Serialize, Deserialize)]
struct Manifest {
    format: u64,
    owner: String,
    /// The first segment that counts.
    first: u64,
}

/// A key for which something is owed.
struct Live {
    /// Where it begins.
    segment: u64,
    /// Of all its records since.
    bytes: u64,
    /// Of its last record.
    sequence: u64,
}

#[derive(Default)]
struct Segment {
    length: u64,
    /// Keys that begin in it.
    keys: BTreeSet<u64>,
}

impl Segment {
    fn room(&self) -> u64 {
        self.length.div_ceil(BLOCK) * BLOCK
    }
}

pub struct Log<F: Files> {
    files: F,
    config: Config,
    segment_size: u64,
    segments: BTreeMap<u64, Segment>,
    live: BTreeMap<u64, Live>,
    /// The segment that is written to, by number.
    current: Option<(u64, F::File)>,
    /// Numbers of the next segment and the next record.
    next_segment: u64,
    next: u64,
    /// The first record that is not known to be synced.
    unsynced: u64,
    /// Ends among those.
    ended: Vec<(u64, u64)>,
    /// A write or a sync has failed: what is not synced has to be written anew elsewhere.
    doubt: bool,
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT}{number:016x}")
}

fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(SEGMENT)?;
    (digits.len() == 16).then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

impl<F: Files> Log<F> {
    /// Reads what is there, in order, and cuts off what a crash has left torn. Files that are refused are not changed.
    pub fn open(
        files: F,
        config: Config,
        mut read: impl FnMut(Record),
    ) -> Result<(Log<F>, Found), OpenError> {
        if config.owner.len() > OWNER {
            return Err(OpenError::Owner(config.owner));
        }
        let names = files.names()?;
        let mut found = Found::default();
        let manifest = read_manifest(&files, &names, &config, &mut found)?;
        let mut numbers: Vec<u64> = names.iter().filter_map(|n| segment_number(n)).collect();
        numbers.sort_unstable();
        let next_segment = numbers.last().map_or(1, |n| n + 1);
        let (stale, counted): (Vec<u64>, Vec<u64>) =
            numbers.into_iter().partition(|n| manifest.as_ref().is_some_and(|m| *n < m.first));
        let segment_size =
            (config.limit / PARTS / BLOCK * BLOCK).max((HEADER + FRAME + config.largest.min(PAYLOAD)) as u64);
        let mut log = Log {
            files,
            config,
            segment_size,
            segments: BTreeMap::new(),
            live: BTreeMap::new(),
            current: None,
            next_segment,
            next: 1,
            unsynced: 1,
            ended: Vec::new(),
            doubt: false,
        };
        // All are looked at before anything is changed.
        let mut firsts = Vec::new();
        for number in &counted {
            firsts.push(log.look_at(*number)?);
        }
        for (place, number) in counted.iter().enumerate() {
            let bound = firsts[place + 1..].iter().flatten().next().copied();
            log.read_segment(*number, place + 1 == counted.len(), bound, &mut found, &mut read)?;
        }
        log.unsynced = log.next;
        for number in stale {
            log.files.remove(&segment_name(number))?;
        }
        if names.iter().any(|n| n == MANIFEST_NEW) {
            log.files.remove(MANIFEST_NEW)?;
        }
        if manifest.is_none() {
            let first = log.segments.keys().next().copied().unwrap_or(log.next_segment);
            log.write_manifest(first)?;
        }
        Ok((log, found))
    }

    /// Checks that a segment is this owner's and of this format; its first sequence number, if it can be read.
    fn look_at(&self, number: u64) -> Result<Option<u64>, OpenError> {
        let file = segment_name(number);
        let bytes = self.files.head(&file, HEADER)?;
        let Some(header) = frame::decode_header(&bytes) else { return Ok(None) };
        if header.version != VERSION {
            return Err(OpenError::Version { file, found: header.version.into() });
        }
        if header.owner != self.config.owner {
            return Err(OpenError::Foreign { file, found: header.owner, own: self.config.owner.clone() });
        }
        Ok(Some(header.first))
    }

    /// `bound` is the first sequence number of the segments after it: what goes beyond was never acknowledged.
    fn read_segment(
        &mut self,
        number: u64,
        is_last: bool,
        bound: Option<u64>,
        found: &mut Found,
        read: &mut impl FnMut(Record),
    ) -> Result<(), OpenError> {
        let name = segment_name(number);
        let bytes = self.files.read(&name)?;
        let scanned = scan(&bytes, self.next - 1);
        let mut length = bytes.len() as u64;
        if scanned.header.is_none() {
            // Torn before it held anything: nothing was written to it.
            let empty = is_last && scanned.records.is_empty();
            if empty {
                found.damage.push(Damage::TornTail { segment: number, at: 0, bytes: length });
                self.files.remove(&name)?;
                return Ok(());
            }
            found.damage.push(Damage::Header { segment: number });
        }
        self.segments.insert(number, Segment::default());
        for record in &scanned.records {
            if bound.is_some_and(|bound| record.sequence >= bound) {
                break;
            }
            if record.sequence > self.next && found.records > 0 {
                found.damage.push(Damage::Missing { sequences: self.next..record.sequence });
            }
            // Written once more after a doubt: the later one holds.
            if record.sequence < self.next {
                continue;
            }
            found.records += 1;
            read(*record);
            self.enter(number, record);
        }
        let ranges = scanned.damaged.iter().map(|r| r.start as u64..r.end as u64);
        found.damage.extend(ranges.map(|range| Damage::Middle { segment: number, range }));
        if let Some(tail) = scanned.tail.map(|t| t as u64) {
            if is_last {
                found.damage.push(Damage::TornTail { segment: number, at: tail, bytes: length - tail });
                self.files.cut(&name, tail)?;
                length = tail;
            } else {
                found.damage.push(Damage::Middle { segment: number, range: tail..length });
            }
        }
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.length = length;
        }
        Ok(())
    }

    /// Keeps the account of a record that stands in a segment.
    fn enter(&mut self, number: u64, record: &Record) {
        let (key, bytes, sequence) = (record.key, record.length() as u64, record.sequence);
        self.next = sequence + 1;
        match record.does {
            Does::Begin => {
                self.leave(key);
                self.live.insert(key, Live { segment: number, bytes, sequence });
                if let Some(segment) = self.segments.get_mut(&number) {
                    segment.keys.insert(key);
                }
            }
            Does::Add => {
                if let Some(live) = self.live.get_mut(&key) {
                    live.bytes += bytes;
                    live.sequence = sequence;
                }
            }
            Does::End => {
                self.leave(key);
                self.ended.push((sequence, key));
            }
        }
    }

    fn leave(&mut self, key: u64) {
        if let Some(live) = self.live.remove(&key) {
            if let Some(segment) = self.segments.get_mut(&live.segment) {
                segment.keys.remove(&key);
            }
        }
    }

    /// Bytes that the files take, in whole blocks.
    pub fn used(&self) -> u64 {
        MANIFESTS + self.segments.values().map(Segment::room).sum::<u64>()
    }

    /// Bytes of all that lives, as it was written.
    pub fn living(&self) -> u64 {
        self.live.values().map(|l| l.bytes).sum()
    }

    /// Writes records, whole or not at all as far as their fate is known; durable after the next [`Log::sync`].
    ///
    /// `images` are those before these records. An error leaves all as it was, but for what a crash would leave.
    pub fn append(&mut self, entries: &[Entry], images: &impl Images) -> io::Result<()> {
        let largest = self.config.largest.min(PAYLOAD);
        if entries.iter().any(|e| e.payload.len() > largest) {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "a record is longer than a payload may be",
            ));
        }
        if self.doubt {
            self.settle(images)?;
        }
        let need: u64 = entries.iter().map(|e| (FRAME + e.payload.len()) as u64).sum();
        self.make_room(need, images)?;
        self.put(entries)
    }

    /// Makes all that was appended durable. After an error nothing of it counts as durable before it has succeeded.
    pub fn sync(&mut self, images: &impl Images) -> io::Result<()> {
        if self.doubt {
            self.settle(images)?;
        }
        self.sync_current()
    }

    fn sync_current(&mut self) -> io::Result<()> {
        if let Some((_, file)) = &mut self.current {
            if let Err(error) = file.sync() {
                // The pages may be dropped and yet count as clean: no later sync of this file says anything.
                self.doubt = true;
                return Err(error);
            }
        }
        self.unsynced = self.next;
        self.ended.clear();
        Ok(())
    }

    /// Writes what is not known to be synced anew, to a segment of its own.
    fn settle(&mut self, images: &impl Images) -> io::Result<()> {
        self.current = None;
        let keys: Vec<u64> =
            self.live.iter().filter(|(_, l)| l.sequence >= self.unsynced).map(|(k, _)| *k).collect();
        let ends: Vec<u64> =
            self.ended.iter().filter(|(s, _)| *s >= self.unsynced).map(|(_, k)| *k).collect();
        let again: Vec<(u64, Vec<u8>)> =
            keys.into_iter().filter_map(|k| Some((k, images.image(k)?))).collect();
        let begins = again.iter().map(|(key, image)| Entry { key: *key, does: Does::Begin, payload: image });
        let ends = ends.into_iter().map(|key| Entry { key, does: Does::End, payload: &[] });
        // Ends first: a key that ended and began anew lives.
        let entries: Vec<Entry> = ends.chain(begins).collect();
        self.put(&entries)?;
        if let Some((_, file)) = &mut self.current {
            file.sync()?;
        }
        self.doubt = false;
        Ok(())
    }

    /// Lets go of segments until `need` more bytes fit, with room left to clean the next one.
    fn make_room(&mut self, need: u64, images: &impl Images) -> io::Result<()> {
        loop {
            self.release()?;
            let oldest = self.segments.iter().next();
            let Some((number, keys)) = oldest.map(|(n, s)| (*n, s.keys.iter().copied().collect::<Vec<_>>()))
            else {
                break;
            };
            let out: u64 = keys.iter().filter_map(|k| self.live.get(k)).map(|l| l.bytes).sum();
            // Headers and blocks begun by what is written.
            let around = (need / self.segment_size + 2) * (HEADER as u64 + BLOCK);
            let reserve = out.max(self.segment_size) + self.segment_size;
            if self.used() + need + around + reserve <= self.config.limit {
                return Ok(());
            }
            let is_current = self.current.as_ref().is_some_and(|(n, _)| *n == number);
            if is_current || self.used() + out + around > self.config.limit {
                break;
            }
            self.clean(&keys, images)?;
        }
        match self.used() + need + HEADER as u64 + 2 * BLOCK <= self.config.limit {
            true => Ok(()),
            false => Err(io::Error::new(io::ErrorKind::StorageFull, "the log has no room")),
        }
    }

    /// Writes the images of keys that begin in the oldest segment anew, after which nothing in it counts.
    fn clean(&mut self, keys: &[u64], images: &impl Images) -> io::Result<()> {
        let again: Vec<(u64, Vec<u8>)> = keys.iter().filter_map(|k| Some((*k, images.image(*k)?))).collect();
        // A key that its user no longer knows is owed nothing.
        let known: BTreeSet<u64> = again.iter().map(|(key, _)| *key).collect();
        keys.iter().filter(|key| !known.contains(key)).for_each(|key| self.leave(*key));
        let entries: Vec<Entry> =
            again.iter().map(|(key, image)| Entry { key: *key, does: Does::Begin, payload: image }).collect();
        self.put(&entries)
    }

    /// Removes the oldest segments in which no key begins.
    fn release(&mut self) -> io::Result<()> {
        let current = self.current.as_ref().map(|(n, _)| *n);
        let free = self.segments.iter().take_while(|(n, s)| s.keys.is_empty() && Some(**n) != current);
        let free: Vec<u64> = free.map(|(n, _)| *n).collect();
        let Some(last) = free.last() else { return Ok(()) };
        if self.config.durable {
            // Ends and images that let them go have to outlast them.
            self.sync_current()?;
        }
        self.write_manifest(last + 1)?;
        for number in free {
            self.files.remove(&segment_name(number))?;
            self.segments.remove(&number);
        }
        Ok(())
    }

    fn write_manifest(&mut self, first: u64) -> io::Result<()> {
        let manifest = Manifest { format: VERSION.into(), owner: self.config.owner.clone(), first };
        let mut file = self.files.create(MANIFEST_NEW)?;
        file.append(&serde_json::to_vec(&manifest)?)?;
        if self.config.durable {
            file.sync()?;
        }
        self.files.rename(MANIFEST_NEW, MANIFEST)?;
        self.sync_names()
    }

    fn sync_names(&self) -> io::Result<()> {
        match self.config.durable {
            true => self.files.sync_names(),
            false => Ok(()),
        }
    }

    /// Writes records to the current segment, and to new ones as each is full.
    fn put(&mut self, entries: &[Entry]) -> io::Result<()> {
        let mut rest = entries;
        while !rest.is_empty() {
            let length = self.current.as_ref().and_then(|(n, _)| self.segments.get(n)).map(|s| s.length);
            let room = length.map_or(0, |l| self.segment_size.saturating_sub(l));
            let mut buffer = Vec::new();
            let mut records = Vec::new();
            for entry in rest {
                let record = Record {
                    sequence: self.next + records.len() as u64,
                    key: entry.key,
                    does: entry.does,
                    payload: entry.payload,
                };
                if (buffer.len() + record.length()) as u64 > room {
                    break;
                }
                frame::encode(&mut buffer, &record);
                records.push(record);
            }
            if records.is_empty() {
                self.roll()?;
                continue;
            }
            self.write(&buffer)?;
            if let Some(number) = self.current.as_ref().map(|(n, _)| *n) {
                records.iter().for_each(|r| self.enter(number, r));
            }
            rest = &rest[records.len()..];
        }
        Ok(())
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some((number, file)) = &mut self.current else { return Err(io::ErrorKind::NotFound.into()) };
        let number = *number;
        if let Err(error) = file.append(bytes) {
            // What came of it is unknown. The segment is left, and its records are told from those of the next by
            // their sequence numbers.
            self.doubt = true;
            let length = self.segments.get(&number).map_or(0, |s| s.length);
            // Should this fail too, the tail counts for nothing all the same, and takes its room until it is cleaned.
            if self.files.cut(&segment_name(number), length).is_err() {
                if let Some(segment) = self.segments.get_mut(&number) {
                    segment.length += bytes.len() as u64;
                }
            }
            self.current = None;
            return Err(error);
        }
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.length += bytes.len() as u64;
        }
        Ok(())
    }

    /// Begins a new segment.
    fn roll(&mut self) -> io::Result<()> {
        if self.config.durable && self.current.is_some() {
            // So that only the last segment can be torn.
            self.sync_current()?;
        }
        let number = self.next_segment;
        self.next_segment += 1;
        // Whatever comes of the new one, nothing more goes to the one before: the new one's header may be read, and
        // it says where its records begin.
        self.current = None;
        let mut file = self.files.create(&segment_name(number))?;
        // From here on it takes room, whatever comes of it.
        self.segments.insert(number, Segment { length: HEADER as u64, keys: BTreeSet::new() });
        file.append(&frame::encode_header(&self.config.owner, number, self.next))?;
        if self.config.durable {
            file.sync()?;
        }
        self.sync_names()?;
        self.current = Some((number, file));
        Ok(())
    }
}

/// The manifest, if it is there and can be read.
fn read_manifest(
    files: &impl Files,
    names: &[String],
    config: &Config,
    found: &mut Found,
) -> Result<Option<Manifest>, OpenError> {
    if !names.iter().any(|n| n == MANIFEST) {
        if names.iter().any(|n| segment_number(n).is_some()) {
            found.damage.push(Damage::Manifest);
        }
        return Ok(None);
    }
    let Ok(manifest) = serde_json::from_slice::<Manifest>(&files.read(MANIFEST)?) else {
        found.damage.push(Damage::Manifest);
        return Ok(None);
    };
    let file = MANIFEST.to_string();
    if manifest.format != u64::from(VERSION) {
        return Err(OpenError::Version { file, found: manifest.format });
    }
    if manifest.owner != config.owner {
        return Err(OpenError::Foreign { file, found: manifest.owner, own: config.owner.clone() });
    }
    Ok(Some(manifest))
}
