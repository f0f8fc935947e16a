//! Reads a sender's state folder without changing it, and writes a new one from what could be read.
use super::pending::PendingMessages;
use super::{journal_file, payload, PendingMessage, Undelivered};
use serde::Serialize;
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use store::disk::Disk;
use store::folder_scan::{Damage, FolderScan, OpenError};
use store::frame::{Operation, MAX_PAYLOAD_BYTES};
use store::log::{Entry, Log, LogConfig};

/// How a folder stores its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JournalFormat {
    /// The folder has no journal yet.
    Empty,
    /// The single file of versions that preceded the log.
    JournalFile,
    Log,
}

/// A problem found in a folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    #[serde(rename = "what")]
    pub description: String,
    /// Whether a crash explains it, so that no acknowledged message is lost.
    pub expected: bool,
}

/// The content of a folder.
#[derive(Debug)]
pub struct FolderState {
    pub format: JournalFormat,
    /// The sender's name, if the folder records it.
    pub owner: Option<String>,
    pub segments: usize,
    /// Total bytes of the files that hold records.
    pub bytes: u64,
    pub records: usize,
    pub faults: Vec<Fault>,
    pub pending: PendingMessages,
}

#[derive(Debug, thiserror::Error)]
pub enum FolderError {
    #[error("{path}: {error}", path = path.display())]
    Open { path: PathBuf, error: OpenError },
    #[error("{path}: {error}", path = path.display())]
    Io { path: PathBuf, error: io::Error },
    #[error("{path}: the folder is not empty", path = path.display())]
    NotEmpty { path: PathBuf },
}

fn with_path<T>(path: &Path, result: io::Result<T>) -> Result<T, FolderError> {
    result.map_err(|error| FolderError::Io { path: path.to_path_buf(), error })
}

/// Returns whether a running process owns the folder.
pub fn is_owned(folder: &Path) -> Result<bool, FolderError> {
    let path = folder.join("owner");
    match File::open(&path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(false),
        Err(error) => Err(FolderError::Io { path, error }),
        Ok(file) => match file.try_lock() {
            Ok(()) => Ok(false),
            Err(TryLockError::WouldBlock) => Ok(true),
            Err(TryLockError::Error(error)) => Err(FolderError::Io { path, error }),
        },
    }
}

/// Reads a sender's state folder.
pub fn read(folder: &Path) -> Result<FolderState, FolderError> {
    with_path(folder, fs::read_dir(folder))?;
    let journal = folder.join("journal");
    let next = folder.join("journal.next");
    // A migration from the single file to the log was interrupted after it had moved the file away.
    let interrupted = folder.join("journal.old").exists() && !journal.exists();
    if journal.is_dir() || interrupted {
        return read_log(if interrupted { &next } else { &journal });
    }
    if journal.exists() {
        return read_journal_file(&journal);
    }
    let (bytes, records) = (0, 0);
    let (owner, faults, pending) = (None, Vec::new(), PendingMessages::default());
    Ok(FolderState { format: JournalFormat::Empty, owner, segments: 0, bytes, records, faults, pending })
}

fn read_log(path: &Path) -> Result<FolderState, FolderError> {
    let mut pending = PendingMessages::default();
    let scan = FolderScan::read(&Disk::new(path), None, |_, record| pending.apply_logged(&record))
        .map_err(|error| FolderError::Open { path: path.to_path_buf(), error })?;
    let fault = |d: &Damage| Fault { description: d.to_string(), expected: d.is_expected_after_crash() };
    Ok(FolderState {
        format: JournalFormat::Log,
        owner: scan.owner,
        segments: scan.segments.len(),
        bytes: scan.segments.iter().map(|(_, length)| length).sum(),
        records: scan.records,
        faults: scan.damage.iter().map(fault).collect(),
        pending,
    })
}

fn read_journal_file(path: &Path) -> Result<FolderState, FolderError> {
    let bytes = with_path(path, fs::read(path))?;
    let content = journal_file::read(&bytes);
    let mut pending = PendingMessages::default();
    content.records.iter().for_each(|r| pending.apply(r));
    let fault = |range: &std::ops::Range<usize>| Fault {
        description: format!("journal: bytes {} to {} hold no valid record", range.start, range.end),
        expected: range.end == bytes.len(),
    };
    Ok(FolderState {
        format: JournalFormat::JournalFile,
        owner: None,
        segments: 1,
        bytes: bytes.len() as u64,
        records: content.records.len(),
        faults: content.damaged.iter().map(fault).collect(),
        pending,
    })
}

/// Writes pending messages to a new folder, as a log, and copies the file of operators' changes to endpoints.
pub fn write(from: &Path, pending: &PendingMessages, owner: &str, to: &Path) -> Result<(), FolderError> {
    with_path(to, fs::create_dir_all(to))?;
    if with_path(to, fs::read_dir(to))?.next().is_some() {
        return Err(FolderError::NotEmpty { path: to.to_path_buf() });
    }
    let path = to.join("journal");
    with_path(&path, fs::create_dir(&path))?;
    let failed = |error| FolderError::Open { path: path.clone(), error };
    let bytes: u64 = pending.messages().values().map(|m| payload::encode_message(m).len() as u64).sum();
    // Twice the size of the messages and 8 MiB: a log accepts a new key only while it also has room to clean
    // a segment.
    let max_bytes = 2 * bytes + (8 << 20);
    let config = LogConfig {
        owner: owner.to_string(),
        max_bytes,
        max_payload_bytes: MAX_PAYLOAD_BYTES,
        durable: true,
    };
    let (mut log, _) = Log::open(Disk::new(&path), config, |_| Ok(())).map_err(failed)?;
    for (&key, message) in pending.messages() {
        let payload = payload::encode_message(message);
        let entry = Entry { key, operation: Operation::Put, payload: &payload };
        log.append(&[entry], pending).map_err(|e| failed(e.into()))?;
    }
    log.sync(pending).map_err(|e| failed(e.into()))?;
    let maint = from.join("maint");
    if maint.is_file() {
        with_path(&maint, fs::copy(&maint, to.join("maint")))?;
    }
    with_path(to, store::file_system::FileSystem::sync_directory(&Disk::new(to)))
}

/// An attempt, as shown to operators.
#[derive(Serialize)]
pub struct AttemptView<'a> {
    pub number: u32,
    pub at_ms: i64,
    pub endpoint: &'a str,
    pub may_have_run: bool,
}

/// A message, as shown to operators. Times are Unix times in milliseconds.
#[derive(Serialize)]
pub struct MessageView<'a> {
    pub number: u64,
    pub message: &'a str,
    pub class: &'a str,
    pub tenant: &'a str,
    pub dest: u64,
    pub key: Option<&'a str>,
    pub deadline_ms: i64,
    pub body_bytes: usize,
    pub attempts: Vec<AttemptView<'a>>,
    /// `given_up` or `handed_back` once the message's notice is on its way.
    pub decided: Option<&'static str>,
}

impl<'a> From<&'a PendingMessage> for MessageView<'a> {
    fn from(message: &'a PendingMessage) -> MessageView<'a> {
        let PendingMessage { accepted, attempts, undelivered } = message;
        let attempts = attempts.iter().map(|a| AttemptView {
            number: a.number,
            at_ms: a.started_at_ms,
            endpoint: &a.endpoint,
            may_have_run: !a.never_ran,
        });
        MessageView {
            number: accepted.id,
            message: &accepted.trace_id,
            class: &accepted.class,
            tenant: &accepted.tenant,
            dest: accepted.dest,
            key: accepted.idempotency_key.as_deref(),
            deadline_ms: accepted.deadline_ms,
            body_bytes: accepted.body.len(),
            attempts: attempts.collect(),
            decided: undelivered.map(|u| match u {
                Undelivered::GivenUp => "given_up",
                Undelivered::HandedBack(_) => "handed_back",
            }),
        }
    }
}
