//! The log: appends records to segments, syncs them, and cleans old segments to stay within a limit.
use crate::file_system::{AppendFile, FileSystem};
use crate::folder_scan::{segment_name, Damage, FolderScan, Manifest, OpenError, MANIFEST, MANIFEST_NEW};
use crate::frame::{
    self, Operation, Record, FORMAT_VERSION, MAX_OWNER_BYTES, MAX_PAYLOAD_BYTES, RECORD_HEADER_BYTES,
    SEGMENT_HEADER_BYTES,
};
use crate::quarantine::{quarantine_damage, Quarantine};
use crate::segment_index::{SegmentIndex, BLOCK_BYTES};
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// A segment is filled up to the limit divided by this, in whole blocks, but at least up to 4 blocks.
const SEGMENTS_PER_LIMIT: u64 = 16;
/// Quarantine files take up to the limit divided by this.
const QUARANTINES_PER_LIMIT: u64 = 32;
/// Space reserved for the manifest: one block for each of the two files that exist while it is replaced.
const MANIFEST_BYTES: u64 = 2 * BLOCK_BYTES;

/// Settings of a log.
#[derive(Clone, Debug)]
pub struct LogConfig {
    /// Name of the folder's owner, of 64 bytes at most. The folder of another owner is refused.
    pub owner: String,
    /// Limit on the disk space of all files together, in bytes; each file is counted in whole blocks.
    pub max_bytes: u64,
    /// Longest payload that may be appended, 256 KiB at most.
    pub max_payload_bytes: usize,
    /// Whether the log itself syncs the folder, the manifest, headers and moved records, so that a loss of
    /// power loses nothing that was synced.
    pub durable: bool,
}

/// What was found when the log was opened.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct OpenReport {
    /// Number of records that count; each was passed to `read`.
    pub records: usize,
    /// Damage that was found.
    pub damage: Vec<Damage>,
    /// Damaged bytes that were copied to files of their own.
    pub quarantine: Quarantine,
}

/// Provides the current state of keys, which the log writes again to another segment when it cleans a
/// segment or after a failure.
pub trait SnapshotSource {
    /// The whole state of a key as the payload of one [`Operation::Put`]; `None` if the key is not live.
    fn snapshot(&self, key: u64) -> Option<Vec<u8>>;
}

/// One record to append.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    pub key: u64,
    pub operation: Operation,
    /// The bytes to store, in a form that only the user of the log knows.
    pub payload: &'a [u8],
}

/// Appended records that are not durable yet. They can be synced on any thread.
pub struct PendingSync<F> {
    file: F,
    /// First sequence number that is not covered by the sync.
    end_sequence: u64,
}

impl<F: AppendFile> PendingSync<F> {
    /// Syncs the records. The result has to be passed to [`Log::finish_sync`].
    pub fn sync(&mut self) -> io::Result<()> {
        self.file.sync()
    }
}

/// Counts of what a log has done since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogStats {
    /// Bytes of records written to segments.
    pub written_bytes: u64,
    /// Part of the written bytes that cleaning moved from old segments.
    pub moved_bytes: u64,
    /// Segments removed.
    pub removed_segments: u64,
    /// Syncs of records, including failed ones; syncs of a segment's header are not counted.
    pub syncs: u64,
}

/// A log in a folder.
pub struct Log<F: FileSystem> {
    files: F,
    config: LogConfig,
    /// Length up to which a segment is filled, in bytes.
    segment_size: u64,
    index: SegmentIndex,
    /// Number and file of the segment that is appended to.
    current: Option<(u64, F::File)>,
    /// Number of the next segment.
    next_segment: u64,
    /// Sequence number of the next record.
    next_sequence: u64,
    /// Sequence number of the first record that is not known to be synced.
    first_unsynced: u64,
    /// Keys deleted by unsynced records, with the sequence number of the deletion; empty unless `durable`.
    unsynced_deletes: BTreeMap<u64, u64>,
    /// Whether a write or a sync has failed, so that unsynced records have to be written again to a new
    /// segment.
    needs_rewrite: bool,
    /// Disk space of the quarantine files.
    quarantine_bytes: u64,
    stats: LogStats,
}

fn storage_full() -> io::Error {
    io::Error::new(io::ErrorKind::StorageFull, "the log has no room")
}

impl<F: FileSystem> Log<F> {
    /// Opens a folder: calls `read` with each record in order, cuts off a torn tail, and quarantines damaged
    /// bytes.
    ///
    /// No file is changed if the folder is refused or `read` rejects a record.
    pub fn open(
        files: F,
        config: LogConfig,
        mut read: impl FnMut(Record) -> Result<(), String>,
    ) -> Result<(Log<F>, OpenReport), OpenError> {
        if config.owner.len() > MAX_OWNER_BYTES {
            return Err(OpenError::OwnerTooLong(config.owner));
        }
        let mut index = SegmentIndex::default();
        let scan = FolderScan::read(&files, Some(&config.owner), |segment, record| {
            index.apply(segment, &record);
            read(record)
        })?;
        // Files are only changed after all records were accepted.
        scan.segments.iter().for_each(|(number, length)| index.set_length(*number, *length));
        let quarantine = quarantine_damage(&files, &scan.damage, config.max_bytes / QUARANTINES_PER_LIMIT)?;
        match scan.torn {
            Some((number, 0)) => files.remove(&segment_name(number))?,
            Some((number, at)) => files.truncate(&segment_name(number), at)?,
            None => {}
        }
        for number in &scan.stale {
            files.remove(&segment_name(*number))?;
        }
        if scan.manifest_new {
            files.remove(MANIFEST_NEW)?;
        }
        let segment_size =
            (config.max_bytes / SEGMENTS_PER_LIMIT / BLOCK_BYTES * BLOCK_BYTES).max(4 * BLOCK_BYTES);
        let mut log = Log {
            files,
            config,
            segment_size,
            index,
            current: None,
            next_segment: scan.next_segment,
            next_sequence: scan.next_sequence,
            first_unsynced: scan.next_sequence,
            unsynced_deletes: BTreeMap::new(),
            needs_rewrite: false,
            quarantine_bytes: quarantine.bytes,
            stats: LogStats::default(),
        };
        if scan.first_segment.is_none() {
            let first_segment = scan.segments.first().map_or(log.next_segment, |(number, _)| *number);
            log.write_manifest(first_segment)?;
        }
        Ok((log, OpenReport { records: scan.records, damage: scan.damage, quarantine }))
    }

    /// Disk space of all files in bytes, each counted in whole blocks, with the space reserved for the
    /// manifest.
    pub fn used_bytes(&self) -> u64 {
        MANIFEST_BYTES + self.quarantine_bytes + self.index.allocated_bytes()
    }

    /// Length of the records of all live keys in bytes, from the last put of each key on.
    pub fn live_bytes(&self) -> u64 {
        self.index.live.values().map(|l| l.bytes).sum()
    }

    /// What the log has done since it was opened.
    pub fn stats(&self) -> LogStats {
        self.stats
    }

    /// Appends records. If the log is `durable`, they survive a loss of power after the next successful
    /// [`Log::sync`].
    ///
    /// `snapshots` provides the state of keys before these records. After an error the records count as not
    /// written; after a crash some of them may be found all the same.
    pub fn append(&mut self, entries: &[Entry], snapshots: &impl SnapshotSource) -> io::Result<()> {
        let max_payload_bytes = self.config.max_payload_bytes.min(MAX_PAYLOAD_BYTES);
        if entries.iter().any(|e| e.payload.len() > max_payload_bytes) {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "the payload of a record is longer than allowed",
            ));
        }
        if self.needs_rewrite {
            self.rewrite_unsynced(snapshots)?;
        }
        let bytes_needed: u64 = entries.iter().map(|e| (RECORD_HEADER_BYTES + e.payload.len()) as u64).sum();
        let has_puts = entries.iter().any(|e| e.operation == Operation::Put);
        self.make_room(bytes_needed, has_puts, snapshots)?;
        let first_new = self.next_segment;
        self.write_entries(entries).inspect_err(|_| {
            self.needs_rewrite = true;
            self.remove_segments_from(first_new, |records| records == 0);
        })
    }

    /// Ends the current segment, and removes the segments with the number `first` or a higher one for whose
    /// number of records `is_useless` is true, so that a disk on which writes keep failing does not fill up.
    /// A segment that can't be removed still counts towards the limit.
    fn remove_segments_from(&mut self, first: u64, is_useless: impl Fn(u64) -> bool) {
        self.current = None;
        let segments = self.index.segments.range(first..).filter(|(_, s)| is_useless(s.records));
        for number in segments.map(|(n, _)| *n).collect::<Vec<_>>() {
            if self.files.remove(&segment_name(number)).is_ok() {
                self.index.segments.remove(&number);
            }
        }
    }

    /// Syncs all appended records. After an error they don't count as durable until a later call succeeds.
    pub fn sync(&mut self, snapshots: &impl SnapshotSource) -> io::Result<()> {
        match self.begin_sync(snapshots)? {
            Some(mut pending) => {
                let result = pending.sync();
                self.finish_sync(&pending, result)
            }
            None => Ok(()),
        }
    }

    /// Begins a sync that can run on another thread; `None` if everything is synced. Nothing may be appended
    /// until the result of the sync was passed to [`Log::finish_sync`].
    pub fn begin_sync(
        &mut self,
        snapshots: &impl SnapshotSource,
    ) -> io::Result<Option<PendingSync<F::File>>> {
        if self.needs_rewrite {
            self.rewrite_unsynced(snapshots)?;
        }
        match &self.current {
            Some((_, file)) if self.first_unsynced < self.next_sequence => {
                Ok(Some(PendingSync { file: file.duplicate_handle()?, end_sequence: self.next_sequence }))
            }
            _ => Ok(None),
        }
    }

    /// Takes the result of a sync.
    pub fn finish_sync(&mut self, pending: &PendingSync<F::File>, result: io::Result<()>) -> io::Result<()> {
        self.stats.syncs += 1;
        match result {
            Ok(()) => {
                self.first_unsynced = self.first_unsynced.max(pending.end_sequence);
                self.unsynced_deletes.retain(|_, sequence| *sequence >= pending.end_sequence);
                Ok(())
            }
            Err(error) => {
                // The kernel may have dropped the dirty pages and marked them clean, so a later sync of this
                // file that succeeds proves nothing.
                self.needs_rewrite = true;
                Err(error)
            }
        }
    }

    /// Syncs the current segment on this thread.
    fn sync_current(&mut self) -> io::Result<()> {
        if let Some((_, file)) = &mut self.current {
            self.stats.syncs += 1;
            if let Err(error) = file.sync() {
                self.needs_rewrite = true;
                return Err(error);
            }
        }
        self.first_unsynced = self.next_sequence;
        self.unsynced_deletes.clear();
        Ok(())
    }

    /// Writes again, from a new segment on, the state of keys with records that are not known to be synced,
    /// and the deletions that are not.
    ///
    /// If the log is not `durable`, the records from before the failed call are still in the files, and only
    /// the keys that the failed call put are deleted.
    fn rewrite_unsynced(&mut self, snapshots: &impl SnapshotSource) -> io::Result<()> {
        self.current = None;
        let mut puts: Vec<(u64, Vec<u8>)> = Vec::new();
        let mut deletes: Vec<u64> = self.unsynced_deletes.keys().copied().collect();
        for (key, live) in &self.index.live {
            match snapshots.snapshot(*key) {
                Some(snapshot) if self.config.durable && live.last_sequence >= self.first_unsynced => {
                    puts.push((*key, snapshot))
                }
                Some(_) => {}
                // The caller does not know the key, as the call that put it has failed.
                None => deletes.push(*key),
            }
        }
        let puts = puts.iter().map(|(key, snapshot)| Entry {
            key: *key,
            operation: Operation::Put,
            payload: snapshot,
        });
        let deletes =
            deletes.into_iter().map(|key| Entry { key, operation: Operation::Delete, payload: &[] });
        // Deletes come first, so that a key that was deleted and put again stays live.
        let entries: Vec<Entry> = deletes.chain(puts).collect();
        let bytes_needed: u64 = entries.iter().map(|e| (RECORD_HEADER_BYTES + e.payload.len()) as u64).sum();
        // No segment can be removed before these entries are written, so they have to fit as things are.
        self.check_room(bytes_needed)?;
        let (segment, sequence) = (self.next_segment, self.next_sequence);
        let result = self.write_entries(&entries).and_then(|()| match &mut self.current {
            Some((_, file)) if self.config.durable => {
                self.stats.syncs += 1;
                file.sync()
            }
            _ => Ok(()),
        });
        match result {
            Ok(()) => self.needs_rewrite = false,
            // The next try writes everything again under the same sequence numbers. Should a removed file
            // reappear after a loss of power, the first sequence number of the later segment shows from where
            // on the records of that file don't count.
            Err(_) => {
                self.remove_segments_from(segment, |_| true);
                self.next_sequence = sequence;
            }
        }
        result
    }

    /// Allowance for segment headers and partly filled blocks when `bytes_needed` bytes are written.
    fn overhead(&self, bytes_needed: u64) -> u64 {
        (bytes_needed / self.segment_size + 2) * (SEGMENT_HEADER_BYTES as u64 + BLOCK_BYTES)
    }

    /// Fails if `bytes_needed` more bytes don't fit within the limit.
    fn check_room(&self, bytes_needed: u64) -> io::Result<()> {
        let segments = bytes_needed / self.segment_size + 1;
        match self.used_bytes()
            + bytes_needed
            + segments * SEGMENT_HEADER_BYTES as u64
            + (segments + 1) * BLOCK_BYTES
            <= self.config.max_bytes
        {
            true => Ok(()),
            false => Err(storage_full()),
        }
    }

    /// Cleans and removes segments until `bytes_needed` more bytes fit and room to clean the next segment is
    /// left.
    ///
    /// If that fails, records without a put may use the room for cleaning too, so that keys can still be
    /// deleted. So may all records while the log has no segment.
    fn make_room(
        &mut self,
        bytes_needed: u64,
        has_puts: bool,
        snapshots: &impl SnapshotSource,
    ) -> io::Result<()> {
        // Each segment is cleaned once at most: if too much is live to make room, another round makes none
        // either.
        let end = self.next_segment;
        loop {
            self.remove_dead_segments()?;
            let Some((number, oldest)) = self.index.oldest() else { break };
            let live_bytes = oldest.live_bytes;
            let overhead = self.overhead(bytes_needed);
            let reserve = live_bytes.max(self.segment_size) + self.segment_size;
            if self.used_bytes() + bytes_needed + overhead + reserve <= self.config.max_bytes {
                return Ok(());
            }
            let is_current = self.current.as_ref().is_some_and(|(n, _)| *n == number);
            if is_current
                || number >= end
                || self.used_bytes() + live_bytes + overhead > self.config.max_bytes
            {
                break;
            }
            let keys: Vec<u64> = oldest.live_keys.iter().copied().collect();
            self.move_keys(&keys, snapshots)?;
        }
        match has_puts {
            true if !self.index.segments.is_empty() => Err(storage_full()),
            _ => self.check_room(bytes_needed),
        }
    }

    /// Writes again the snapshots of `keys`, which are the live keys that begin in the oldest segment.
    /// Afterwards no live key begins there.
    fn move_keys(&mut self, keys: &[u64], snapshots: &impl SnapshotSource) -> io::Result<()> {
        let puts: Vec<(u64, Vec<u8>)> =
            keys.iter().filter_map(|k| Some((*k, snapshots.snapshot(*k)?))).collect();
        // A key that the caller no longer knows counts as deleted.
        let known: BTreeSet<u64> = puts.iter().map(|(key, _)| *key).collect();
        keys.iter().filter(|key| !known.contains(key)).for_each(|key| self.index.remove_key(*key));
        let entries: Vec<Entry> = puts
            .iter()
            .map(|(key, snapshot)| Entry { key: *key, operation: Operation::Put, payload: snapshot })
            .collect();
        let before = self.stats.written_bytes;
        self.write_entries(&entries)?;
        self.stats.moved_bytes += self.stats.written_bytes - before;
        Ok(())
    }

    /// Removes the oldest segments, as far as no live key begins in them.
    fn remove_dead_segments(&mut self) -> io::Result<()> {
        let dead = self.index.removable(self.current.as_ref().map(|(n, _)| *n));
        let Some(last) = dead.last() else { return Ok(()) };
        if self.config.durable {
            // The deletions and moved records that made these segments removable have to be durable first.
            self.sync_current()?;
        }
        self.write_manifest(last + 1)?;
        for number in dead {
            self.files.remove(&segment_name(number))?;
            self.index.segments.remove(&number);
            self.stats.removed_segments += 1;
        }
        Ok(())
    }

    /// Replaces the manifest. Segments before `first_segment` no longer count.
    fn write_manifest(&mut self, first_segment: u64) -> io::Result<()> {
        let manifest =
            Manifest { format: FORMAT_VERSION.into(), owner: self.config.owner.clone(), first_segment };
        let mut file = self.files.create(MANIFEST_NEW)?;
        file.append(&serde_json::to_vec(&manifest)?)?;
        if self.config.durable {
            file.sync()?;
        }
        self.files.rename(MANIFEST_NEW, MANIFEST)?;
        self.sync_directory()
    }

    /// Syncs the folder if the log is `durable`.
    fn sync_directory(&self) -> io::Result<()> {
        match self.config.durable {
            true => self.files.sync_directory(),
            false => Ok(()),
        }
    }

    /// Writes records to the current segment, and begins a new one whenever it is full.
    fn write_entries(&mut self, entries: &[Entry]) -> io::Result<()> {
        let mut rest = entries;
        while !rest.is_empty() {
            let length = self.current.as_ref().map(|(n, _)| self.index.length(*n));
            let mut room = length.map_or(0, |l| self.segment_size.saturating_sub(l));
            if length == Some(SEGMENT_HEADER_BYTES as u64) {
                // A record that is longer than a segment gets a segment of its own.
                room = room.max((RECORD_HEADER_BYTES + rest[0].payload.len()) as u64);
            }
            let mut buffer = Vec::new();
            let mut records = Vec::new();
            for entry in rest {
                let record = Record {
                    sequence: self.next_sequence + records.len() as u64,
                    key: entry.key,
                    operation: entry.operation,
                    payload: entry.payload,
                };
                if (buffer.len() + record.encoded_len()) as u64 > room {
                    break;
                }
                frame::encode_record(&mut buffer, &record);
                records.push(record);
            }
            if records.is_empty() {
                self.begin_segment()?;
                continue;
            }
            self.write(&buffer)?;
            if let Some(number) = self.current.as_ref().map(|(n, _)| *n) {
                records.iter().for_each(|r| self.note_written(number, r));
            }
            rest = &rest[records.len()..];
        }
        Ok(())
    }

    /// Updates the state of the log for a record that was written.
    fn note_written(&mut self, segment: u64, record: &Record) {
        self.next_sequence = record.sequence + 1;
        self.index.apply(segment, record);
        if self.config.durable && record.operation == Operation::Delete {
            self.unsynced_deletes.insert(record.key, record.sequence);
        }
    }

    /// Appends encoded records to the current segment.
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some((number, file)) = &mut self.current else { return Err(io::ErrorKind::NotFound.into()) };
        let number = *number;
        if let Err(error) = file.append(bytes) {
            // How much was written is unknown. The segment gets no more records; the first sequence number of
            // the next segment shows which records of this one count.
            self.needs_rewrite = true;
            let length = self.index.length(number);
            // If the truncation fails too, the tail is ignored, but takes space until the segment is removed.
            if self.files.truncate(&segment_name(number), length).is_err() {
                self.index.grow(number, bytes.len() as u64);
            }
            self.current = None;
            return Err(error);
        }
        self.index.grow(number, bytes.len() as u64);
        self.stats.written_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Begins a new segment.
    fn begin_segment(&mut self) -> io::Result<()> {
        if self.config.durable && self.current.is_some() {
            // Only the last segment may have a torn tail.
            self.sync_current()?;
        }
        let number = self.next_segment;
        self.next_segment += 1;
        // Even if a step below fails, nothing more is appended to the old segment: the header of the new one
        // may be found later, and later records of the old segment would not count then.
        self.current = None;
        let mut file = self.files.create(&segment_name(number))?;
        // From here on the file takes space, even if the next steps fail.
        self.index.set_length(number, SEGMENT_HEADER_BYTES as u64);
        file.append(&frame::encode_header(&self.config.owner, number, self.next_sequence))?;
        if self.config.durable {
            file.sync()?;
        }
        self.sync_directory()?;
        self.current = Some((number, file));
        Ok(())
    }
}
