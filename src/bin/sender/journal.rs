//! The journal of accepted messages, kept in `$EDGE_STATE` so that they survive the process.
//!
//! It is a log of `crates/store` in the folder `journal`. Before a message is accepted, space is reserved for
//! all records that it may need, so that its end can always be written.
mod migration;

use crate::config::Sync;
use crate::ended_messages::MAX_ENDED;
use crate::owner::Owner;
use sender::records::pending::PendingMessages;
use sender::records::{payload, AcceptedMessage, PendingMessage, Record, Undelivered};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::path::Path;
use store::disk::Disk;
use store::file_system::FileSystem;
use store::folder_scan::OpenError;
use store::frame::Operation;
use store::log::{Entry, Log, LogConfig, OpenReport};
use tokio::time::Instant;

/// Maximum size of a message's body in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum size in bytes of a message's class, tenant, trace id and idempotency key together.
const MAX_TEXT_BYTES: usize = 4 * 256;
/// Share of the disk limit for the journal. The rest is for the other files in the state folder.
const DISK_SHARE: f64 = 0.94;
/// A number that no message has. Its end is written to test whether writing works again.
const UNUSED_KEY: u64 = u64::MAX;

/// The settings of a journal.
pub struct JournalOptions<'a> {
    pub folder: &'a Path,
    /// The sender's name. The folder of another sender is refused.
    pub name: &'a str,
    /// The disk limit of the sender, in MB of 10^6 bytes.
    pub disk_mb: f64,
    pub max_attempts: u32,
    pub sync: Sync,
}

impl JournalOptions<'_> {
    /// Returns the number of attempts per message for which space is reserved.
    fn attempts(&self) -> usize {
        self.max_attempts.min(1_000) as usize
    }

    fn config(&self) -> LogConfig {
        LogConfig {
            owner: self.name.to_string(),
            max_bytes: (self.disk_mb * 1e6 * DISK_SHARE) as u64,
            max_payload_bytes: payload::max_payload_bytes(MAX_BODY_BYTES, MAX_TEXT_BYTES, self.attempts()),
            durable: self.sync != Sync::None,
        }
    }
}

/// A message that the log shows as ended.
pub struct EndedInLog {
    pub trace_id: String,
    /// Deadline, as Unix time in milliseconds.
    pub deadline_ms: i64,
    /// How it ended. One that was delivered is not told from one whose only attempt may have run.
    pub outcome: Undelivered,
}

impl EndedInLog {
    /// Returns what the log shows of a message that ends. None if it never ran and no notice was sent: then
    /// its client may hand it in again.
    fn of(message: &PendingMessage) -> Option<EndedInLog> {
        let may_have_run = message.attempts.iter().any(|attempt| !attempt.never_ran);
        let outcome = message.undelivered.or(may_have_run.then_some(Undelivered::GivenUp))?;
        let AcceptedMessage { trace_id, deadline_ms, .. } = &*message.accepted;
        Some(EndedInLog { trace_id: trace_id.clone(), deadline_ms: *deadline_ms, outcome })
    }
}

/// The log of accepted messages, with its content in memory.
pub struct Journal<F: FileSystem = Disk> {
    log: Log<F>,
    pending: PendingMessages,
    /// Upper bound in bytes of all records of the pending messages.
    reserved: u64,
    /// Maximum of `reserved`, in bytes.
    capacity: u64,
    max_attempts: usize,
    sync: Sync,
    /// When the last sync began, or the journal was opened.
    synced_at: Instant,
    /// Whether anything was written since the last successful sync.
    unsynced: bool,
    /// Records that already apply and could not be written yet.
    backlog: Vec<Record>,
    /// The last messages that the log showed as ended when it was opened.
    ended: VecDeque<EndedInLog>,
    /// The lock on the state folder, released last.
    _owner: Owner,
}

impl Journal {
    /// Opens the journal in the state folder, converting one of the older format.
    pub fn open(owner: Owner, options: &JournalOptions) -> Result<Journal, OpenError> {
        let folder = migration::prepare(options.folder, &options.config())?;
        Journal::open_files(Disk::new(&folder), owner, options)
    }
}

impl<F: FileSystem> Journal<F>
where
    F::File: Send + 'static,
{
    /// Opens the journal on the given files, which are those of the folder `journal`.
    pub fn open_files(files: F, owner: Owner, options: &JournalOptions) -> Result<Journal<F>, OpenError> {
        let mut pending = PendingMessages::default();
        let config = options.config();
        let limit = config.max_bytes;
        let mut ended = VecDeque::new();
        let (log, found) = Log::open(files, config, |record| {
            if record.operation == Operation::Delete {
                ended.extend(pending.messages().get(&record.key).and_then(EndedInLog::of));
                ended.drain(..ended.len().saturating_sub(MAX_ENDED));
            }
            pending.apply_logged(&record)
        })?;
        log_damage(&found);
        let max_attempts = options.attempts();
        let reserved =
            pending.messages().values().map(|m| payload::max_log_bytes(&m.accepted, max_attempts)).sum();
        Ok(Journal {
            log,
            pending,
            reserved,
            // The log always has room while less than half of its limit is live, not counting the longest
            // record, which may exceed a segment's end (property test of the store in `tests/folders.rs`).
            capacity: (limit / 2).saturating_sub(payload::max_payload_bytes(
                MAX_BODY_BYTES,
                MAX_TEXT_BYTES,
                max_attempts,
            ) as u64),
            max_attempts,
            sync: options.sync,
            synced_at: Instant::now(),
            unsynced: false,
            backlog: Vec::new(),
            ended,
            _owner: owner,
        })
    }

    /// Returns the messages that have not ended, by number.
    pub fn pending(&self) -> &BTreeMap<u64, PendingMessage> {
        self.pending.messages()
    }

    /// Takes the messages that the log showed as ended when it was opened, as far as it still has their
    /// records.
    pub fn take_ended(&mut self) -> VecDeque<EndedInLog> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the bytes to reserve for a message, or None if they don't fit besides `round_reserved` bytes,
    /// which are for messages that the current round has not written yet.
    pub fn space_for(&self, message: &AcceptedMessage, round_reserved: u64) -> Option<u64> {
        let needed = payload::max_log_bytes(message, self.max_attempts);
        (self.reserved + round_reserved + needed <= self.capacity).then_some(needed)
    }

    /// Writes the records of a round in one go. If that fails, none of them applies.
    pub fn write(&mut self, records: &[Record]) -> io::Result<()> {
        self.flush()?;
        self.append(records)?;
        records.iter().for_each(|r| self.apply(r));
        Ok(())
    }

    /// Applies records of what has already happened, and writes them as soon as writing succeeds.
    ///
    /// The backlog is bounded by the number of pending messages, as no message is accepted while writing
    /// fails.
    pub fn write_eventually(&mut self, records: Vec<Record>) -> io::Result<()> {
        records.iter().for_each(|r| self.apply(r));
        self.backlog.extend(records);
        self.flush()
    }

    /// Tests whether writing succeeds, by writing the backlog and a record without effect.
    pub fn probe_write(&mut self) -> io::Result<()> {
        self.flush()?;
        self.log.append(
            &[Entry { key: UNUSED_KEY, operation: Operation::Delete, payload: &[] }],
            &self.pending,
        )?;
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
        let encoded: Vec<(u64, Operation, Vec<u8>)> = records
            .iter()
            .map(|record| {
                let (operation, payload) = payload::encode_record(record);
                (record.id(), operation, payload)
            })
            .collect();
        let entries: Vec<Entry> = encoded
            .iter()
            .map(|(key, operation, payload)| Entry { key: *key, operation: *operation, payload })
            .collect();
        self.log.append(&entries, &self.pending)?;
        self.unsynced = true;
        Ok(())
    }

    /// Returns whether replies, calls and notices wait until the records that they depend on are synced.
    pub fn syncs_before_effects(&self) -> bool {
        self.sync == Sync::Group
    }

    /// Returns whether records are ever synced, so that only a sync proves that writing succeeds.
    pub fn is_durable(&self) -> bool {
        self.sync != Sync::None
    }

    /// Returns when the next periodic sync is due, if there is anything to sync.
    pub fn next_sync(&self) -> Option<Instant> {
        match self.sync {
            Sync::Interval(interval) if self.unsynced => Some(self.synced_at + interval),
            _ => None,
        }
    }

    /// Syncs on another thread. The inputs that arrive in the meantime share the next sync.
    pub async fn sync(&mut self) -> io::Result<()> {
        self.synced_at = Instant::now();
        let Some(mut unsynced) = self.log.begin_sync(&self.pending)? else { return Ok(()) };
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

    /// Syncs what is unsynced before the process ends, unless syncing is turned off.
    pub async fn close(&mut self) {
        if self.sync != Sync::None && self.unsynced {
            if let Err(error) = self.sync().await {
                tracing::error!(%error, "cannot sync the journal at shutdown");
            }
        }
    }

    /// Applies a record to the pending messages and to the space reserved for them.
    fn apply(&mut self, record: &Record) {
        let before = self
            .pending
            .messages()
            .get(&record.id())
            .map(|m| payload::max_log_bytes(&m.accepted, self.max_attempts));
        match (record, before) {
            (Record::Accepted(message), _) => {
                self.reserved += payload::max_log_bytes(message, self.max_attempts)
            }
            (Record::Ended(_), Some(needed)) => self.reserved -= needed,
            _ => {}
        }
        self.pending.apply(record);
    }
}

/// Logs damage found at the start: as an error, unless it is the torn tail that a crash leaves.
fn log_damage(found: &OpenReport) {
    for damage in &found.damage {
        match damage.is_expected_after_crash() {
            true => tracing::warn!("journal: {damage}, as a crash leaves it; it was cut off"),
            false => tracing::error!("journal: DAMAGED: {damage}"),
        }
    }
    for file in &found.quarantine.files {
        tracing::error!(file, "journal: damaged bytes were set aside in a file");
    }
    if found.quarantine.skipped > 0 {
        tracing::error!(places = found.quarantine.skipped, "journal: no room to set damaged bytes aside");
    }
}
