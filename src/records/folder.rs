//! A sender's lasting folder, read without a change to it, and written anew from what could be read.
use super::book::Book;
use super::{journal_file, payload, Owed};
use serde::Serialize;
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use store::disk::Disk;
use store::folder_scan::{Damage, FolderScan, OpenError};
use store::frame::{Operation, MAX_PAYLOAD_BYTES};
use store::log::{Entry, Log, LogConfig};

/// In what form a folder keeps what is owed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// Nothing was ever written to it.
    Empty,
    /// The single file of versions before the log.
    JournalFile,
    Log,
}

/// What is wrong in a folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    pub what: String,
    /// Whether a crash explains it, so that nothing acknowledged is gone.
    pub expected: bool,
}

/// A folder as it was found.
#[derive(Debug)]
pub struct State {
    pub form: Form,
    /// The sender's name, as far as the folder says it.
    pub owner: Option<String>,
    pub segments: usize,
    /// Bytes of all files that hold records.
    pub bytes: u64,
    pub records: usize,
    pub faults: Vec<Fault>,
    pub book: Book,
}

#[derive(Debug, thiserror::Error)]
pub enum FolderError {
    #[error("{path}: {error}", path = path.display())]
    Open { path: PathBuf, error: OpenError },
    #[error("{path}: {error}", path = path.display())]
    Io { path: PathBuf, error: io::Error },
    #[error("{path}: it is not empty", path = path.display())]
    NotEmpty { path: PathBuf },
}

fn at<T>(path: &Path, result: io::Result<T>) -> Result<T, FolderError> {
    result.map_err(|error| FolderError::Io { path: path.to_path_buf(), error })
}

/// Whether a process owns the folder at this moment.
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

/// Reads a sender's lasting folder.
pub fn read(folder: &Path) -> Result<State, FolderError> {
    at(folder, fs::read_dir(folder))?;
    let journal = folder.join("journal");
    let next = folder.join("journal.next");
    // Where the change from one form to the other was cut short after the file had gone out of its way.
    let moved = folder.join("journal.old").exists() && !journal.exists();
    if journal.is_dir() || moved {
        return read_log(if moved { &next } else { &journal });
    }
    if journal.exists() {
        return read_file(&journal);
    }
    let (bytes, records) = (0, 0);
    let (owner, faults, book) = (None, Vec::new(), Book::default());
    Ok(State { form: Form::Empty, owner, segments: 0, bytes, records, faults, book })
}

fn read_log(path: &Path) -> Result<State, FolderError> {
    let mut book = Book::default();
    let survey = FolderScan::read(&Disk::new(path), None, |_, record| book.read(&record))
        .map_err(|error| FolderError::Open { path: path.to_path_buf(), error })?;
    let fault = |d: &Damage| Fault { what: d.to_string(), expected: d.is_expected_after_crash() };
    Ok(State {
        form: Form::Log,
        owner: survey.owner,
        segments: survey.segments.len(),
        bytes: survey.segments.iter().map(|(_, length)| length).sum(),
        records: survey.records,
        faults: survey.damage.iter().map(fault).collect(),
        book,
    })
}

fn read_file(path: &Path) -> Result<State, FolderError> {
    let bytes = at(path, fs::read(path))?;
    let read = journal_file::read(&bytes);
    let mut book = Book::default();
    read.records.iter().for_each(|r| book.note(r));
    let fault = |range: &std::ops::Range<usize>| Fault {
        what: format!("journal: bytes {} to {} are no records", range.start, range.end),
        expected: range.end == bytes.len(),
    };
    Ok(State {
        form: Form::JournalFile,
        owner: None,
        segments: 1,
        bytes: bytes.len() as u64,
        records: read.records.len(),
        faults: read.damaged.iter().map(fault).collect(),
        book,
    })
}

/// Writes what is owed to a new folder, in the form of the log, with what operators told beside it.
pub fn write(from: &Path, book: &Book, owner: &str, to: &Path) -> Result<(), FolderError> {
    at(to, fs::create_dir_all(to))?;
    if at(to, fs::read_dir(to))?.next().is_some() {
        return Err(FolderError::NotEmpty { path: to.to_path_buf() });
    }
    let path = to.join("journal");
    at(&path, fs::create_dir(&path))?;
    let failed = |error| FolderError::Open { path: path.clone(), error };
    let bytes: u64 = book.owed().values().map(|o| payload::image(o).len() as u64).sum();
    // Twice, as a log has room for what begins only while cleaning has room as well.
    let max_bytes = 2 * bytes + (8 << 20);
    let config = LogConfig {
        owner: owner.to_string(),
        max_bytes,
        max_payload_bytes: MAX_PAYLOAD_BYTES,
        durable: true,
    };
    let (mut log, _) = Log::open(Disk::new(&path), config, |_| Ok(())).map_err(failed)?;
    for (&key, owed) in book.owed() {
        let payload = payload::image(owed);
        let entry = Entry { key, operation: Operation::Put, payload: &payload };
        log.append(&[entry], book).map_err(|e| failed(e.into()))?;
    }
    log.sync(book).map_err(|e| failed(e.into()))?;
    let maint = from.join("maint");
    if maint.is_file() {
        at(&maint, fs::copy(&maint, to.join("maint")))?;
    }
    at(to, store::file_system::FileSystem::sync_directory(&Disk::new(to)))
}

/// An attempt, as it is shown.
#[derive(Serialize)]
pub struct ShownAttempt<'a> {
    pub number: u32,
    pub at_ms: i64,
    pub endpoint: &'a str,
    pub may_have_run: bool,
}

/// A message, as it is shown. Times are Unix times in milliseconds.
#[derive(Serialize)]
pub struct Shown<'a> {
    pub number: u64,
    pub message: &'a str,
    pub class: &'a str,
    pub tenant: &'a str,
    pub dest: u64,
    pub key: Option<&'a str>,
    pub deadline_ms: i64,
    pub body_bytes: usize,
    pub attempts: Vec<ShownAttempt<'a>>,
    /// `given_up` or `handed_back` where its notice is under way.
    pub decided: Option<&'static str>,
}

impl<'a> From<&'a Owed> for Shown<'a> {
    fn from(owed: &'a Owed) -> Shown<'a> {
        let Owed { taken, attempts, ending } = owed;
        let attempts = attempts.iter().map(|a| ShownAttempt {
            number: a.number,
            at_ms: a.at,
            endpoint: &a.endpoint,
            may_have_run: !a.never_ran,
        });
        Shown {
            number: taken.id,
            message: &taken.trace,
            class: &taken.class,
            tenant: &taken.tenant,
            dest: taken.dest,
            key: taken.key.as_deref(),
            deadline_ms: taken.end,
            body_bytes: taken.body.len(),
            attempts: attempts.collect(),
            decided: ending.map(|e| match e {
                super::Ending::GivenUp => "given_up",
                super::Ending::HandedBack(_) => "handed_back",
            }),
        }
    }
}
