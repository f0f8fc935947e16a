//! Converts the single journal file of earlier versions to the log.
//!
//! The log's folder takes the file's name. A sender of an earlier version that is started again can't read it
//! and says so, instead of starting with an empty journal and forgetting its messages.
use sender::records::journal_file;
use sender::records::pending::PendingMessages;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use store::disk::Disk;
use store::file_system::FileSystem;
use store::folder_scan::OpenError;
use store::frame::Operation;
use store::log::{Entry, Log, LogConfig};

/// Returns the log's folder, after converting a journal file if there is one. A conversion that is
/// interrupted at any point is completed by the next start.
pub fn prepare(folder: &Path, config: &LogConfig) -> Result<PathBuf, OpenError> {
    let journal = folder.join("journal");
    let (next, old) = (folder.join("journal.next"), folder.join("journal.old"));
    // Left by an interrupted rewrite of the journal file, which is itself still complete.
    remove_if_present(&folder.join("journal.new"))?;
    if old.exists() {
        // The new folder was complete before the old file was renamed.
        if !journal.exists() {
            fs::rename(&next, &journal)?;
        } else if !journal.is_dir() {
            let why =
                "journal.old was converted to a log, but a sender of an earlier version has started a new \
                       journal file since";
            return Err(io::Error::other(why).into());
        }
    } else if journal.is_file() {
        tracing::warn!(
            "the journal is taken over into a log: from here on senders of earlier versions can't read it \
             (the way back: cairnpulley state export --as journal-file)"
        );
        if next.exists() {
            fs::remove_dir_all(&next)?;
        }
        fs::create_dir(&next)?;
        convert(&fs::read(&journal)?, &next, config)?;
        fs::rename(&journal, &old)?;
        fs::rename(&next, &journal)?;
    } else if !journal.exists() {
        fs::create_dir(&journal)?;
    }
    if config.durable {
        Disk::new(folder).sync_directory()?;
    }
    remove_if_present(&old)?;
    Ok(journal)
}

fn remove_if_present(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}

/// Writes the pending messages of a journal file to a new log in `folder`.
fn convert(bytes: &[u8], folder: &Path, config: &LogConfig) -> Result<(), OpenError> {
    let content = journal_file::read(bytes);
    for range in &content.damaged {
        let (start, end) = (range.start, range.end);
        match end == bytes.len() {
            true => tracing::warn!("journal: bytes {start} to {end}, its tail, are torn"),
            false => tracing::error!("journal: DAMAGED: bytes {start} to {end} hold no valid record"),
        }
    }
    let mut pending = PendingMessages::default();
    content.records.iter().for_each(|r| pending.apply(r));
    let (mut log, _) = Log::open(Disk::new(folder), config.clone(), |_| Ok(()))?;
    for (&key, message) in pending.messages() {
        let payload = sender::records::payload::encode_message(message);
        log.append(&[Entry { key, operation: Operation::Put, payload: &payload }], &pending)?;
    }
    if config.durable {
        log.sync(&pending)?;
    }
    tracing::info!(messages = pending.messages().len(), "journal: converted to a log");
    Ok(())
}
