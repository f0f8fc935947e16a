//! What the sender has taken on, kept in `$EDGE_STATE` so that it outlasts the process.
//!
//! It is a log of `crates/store` in the folder `journal`. Room is claimed for all that a message may come to before it
//! is taken on, so that its end can always be written.
mod takeover;

use crate::config::Sync;
use crate::owner::Owner;
use sender::records::book::Book;
use sender::records::{payload, Owed, Record, Taken};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use store::disk::Disk;
use store::file_system::FileSystem;
use store::folder_scan::OpenError;
use store::frame::Operation;
use store::log::{Entry, Log, LogConfig, OpenReport};
use tokio::time::Instant;

/// Bytes of a message's body, and of its class, tenant, id and key together, at most.
const BODY: usize = 64 << 10;
const TEXTS: usize = 4 * 256;
/// Part of the disk that the journal may take; what it leaves is for the other files.
const PART: f64 = 0.94;
/// No message has it: its end is written to see whether writing succeeds again.
const NOBODY: u64 = u64::MAX;

/// What a journal has to know.
pub struct How<'a> {
    pub folder: &'a Path,
    /// The sender's name: another one's folder is refused.
    pub name: &'a str,
    pub disk_mb: f64,
    pub max_attempts: u32,
    pub sync: Sync,
}

impl How<'_> {
    fn attempts(&self) -> usize {
        self.max_attempts.min(1_000) as usize
    }

    fn config(&self) -> LogConfig {
        LogConfig {
            owner: self.name.to_string(),
            max_bytes: (self.disk_mb * 1e6 * PART) as u64,
            max_payload_bytes: payload::largest(BODY, TEXTS, self.attempts()),
            durable: self.sync != Sync::None,
        }
    }
}

pub struct Journal<F: FileSystem = Disk> {
    log: Log<F>,
    book: Book,
    /// Bytes that all that is owed may come to, and how many they may be.
    claimed: u64,
    bound: u64,
    max_attempts: usize,
    sync: Sync,
    synced_at: Instant,
    /// Whether anything was written since.
    unsynced: bool,
    /// What holds already and could not be written yet.
    backlog: Vec<Record>,
    /// It is this process's as long as it holds this; given up last.
    _owner: Owner,
}

impl Journal {
    pub fn open(owner: Owner, how: &How) -> Result<Journal, OpenError> {
        let folder = takeover::prepare(how.folder, &how.config())?;
        Journal::on(Disk::new(&folder), owner, how)
    }
}

impl<F: FileSystem> Journal<F>
where
    F::File: Send + 'static,
{
    pub fn on(files: F, owner: Owner, how: &How) -> Result<Journal<F>, OpenError> {
        let mut book = Book::default();
        let config = how.config();
        let limit = config.max_bytes;
        let (log, found) = Log::open(files, config, |record| book.read(&record))?;
        tell(&found);
        let max_attempts = how.attempts();
        let claimed = book.owed().values().map(|o| payload::claim(&o.taken, max_attempts)).sum();
        Ok(Journal {
            log,
            book,
            claimed,
            // What the longest record takes beyond a segment's end is none of it (`store`, its test of room).
            bound: (limit / 2).saturating_sub(payload::largest(BODY, TEXTS, max_attempts) as u64),
            max_attempts,
            sync: how.sync,
            synced_at: Instant::now(),
            unsynced: false,
            backlog: Vec::new(),
            _owner: owner,
        })
    }

    pub fn live(&self) -> &BTreeMap<u64, Owed> {
        self.book.owed()
    }

    /// Whether there is room for one more besides `waiting` bytes that were promised in this round; what it takes.
    pub fn has_room(&self, taken: &Taken, waiting: u64) -> Option<u64> {
        let claim = payload::claim(taken, self.max_attempts);
        (self.claimed + waiting + claim <= self.bound).then_some(claim)
    }

    /// Writes the records of a round at once. If that fails nothing of them holds.
    pub fn write(&mut self, records: &[Record]) -> io::Result<()> {
        self.flush()?;
        self.append(records)?;
        records.iter().for_each(|r| self.note(r));
        Ok(())
    }

    /// Records of what has happened and can't be taken back: they hold at once, and are written as soon as that succeeds.
    /// As many can wait as messages are owed an end: nothing new is taken on meanwhile.
    pub fn owe(&mut self, records: Vec<Record>) -> io::Result<()> {
        records.iter().for_each(|r| self.note(r));
        self.backlog.extend(records);
        self.flush()
    }

    /// Whether anything can be written (again).
    pub fn probe(&mut self) -> io::Result<()> {
        self.flush()?;
        self.log.append(&[Entry { key: NOBODY, operation: Operation::Delete, payload: &[] }], &self.book)?;
        self.unsynced = true;
        Ok(())
    }

    fn flush(&mut self) -> io::Result<()> {
        let backlog = std::mem::take(&mut self.backlog);
        self.append(&backlog).inspect_err(|_| self.backlog = backlog)
    }

    fn append(&mut self, records: &[Record]) -> io::Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let coded: Vec<(u64, Operation, Vec<u8>)> = records
            .iter()
            .map(|record| {
                let (does, payload) = payload::write(record);
                (record.id(), does, payload)
            })
            .collect();
        let entries: Vec<Entry> =
            coded.iter().map(|(key, does, payload)| Entry { key: *key, operation: *does, payload }).collect();
        self.log.append(&entries, &self.book)?;
        self.unsynced = true;
        Ok(())
    }

    /// Whether answers, calls and notices wait for a sync of what they follow from.
    pub fn in_groups(&self) -> bool {
        self.sync == Sync::Group
    }

    /// Whether only a sync shows that writing succeeds.
    pub fn syncs(&self) -> bool {
        self.sync != Sync::None
    }

    /// When what was written is to be synced by the clock.
    pub fn sync_due(&self) -> Option<Instant> {
        match self.sync {
            Sync::Interval(span) if self.unsynced => Some(self.synced_at + span),
            _ => None,
        }
    }

    /// Syncs on another thread: connections are read and answers come in meanwhile, and wait for one sync together.
    pub async fn sync(&mut self) -> io::Result<()> {
        self.synced_at = Instant::now();
        let Some(mut unsynced) = self.log.begin_sync(&self.book)? else { return Ok(()) };
        let (unsynced, result) = tokio::task::spawn_blocking(move || {
            let result = unsynced.sync();
            (unsynced, result)
        })
        .await
        .map_err(io::Error::other)?;
        self.log.finish_sync(&unsynced, result)?;
        self.unsynced = false;
        Ok(())
    }

    /// Leaves nothing to the next loss of power, where syncs matter at all.
    pub async fn close(&mut self) {
        if self.sync != Sync::None && self.unsynced {
            if let Err(error) = self.sync().await {
                tracing::error!(%error, "the journal's end can't be synced");
            }
        }
    }

    fn note(&mut self, record: &Record) {
        let before = self.book.owed().get(&record.id()).map(|o| payload::claim(&o.taken, self.max_attempts));
        match (record, before) {
            (Record::Taken(taken), _) => self.claimed += payload::claim(taken, self.max_attempts),
            (Record::Ended(_), Some(claim)) => self.claimed -= claim,
            _ => {}
        }
        self.book.note(record);
    }
}

/// Damage is told loudly but for the tail that a crash leaves.
fn tell(found: &OpenReport) {
    for damage in &found.damage {
        match damage.is_expected_after_crash() {
            true => tracing::warn!("journal: {damage}, as a crash leaves it; it was cut off"),
            false => tracing::error!("journal: DAMAGED: {damage}"),
        }
    }
    for file in &found.quarantine.files {
        tracing::error!(file, "journal: the damaged bytes were set aside");
    }
    if found.quarantine.skipped > 0 {
        tracing::error!(
            places = found.quarantine.skipped,
            "journal: damaged bytes have no room to be set aside"
        );
    }
}
