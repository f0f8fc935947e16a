//! From the single file that senders before this one kept, to the log.
//!
//! The log takes the file's name, as a folder: a sender of that time that is started again can't read it and says so,
//! where it would otherwise begin with nothing and forget what it owes.
use sender::records::book::Book;
use sender::records::journal_file;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use store::disk::Disk;
use store::file_system::FileSystem;
use store::folder_scan::OpenError;
use store::frame::Operation;
use store::log::{Entry, Log, LogConfig};

/// The folder of the log, once it holds what an old file held. Cut short at any point it is done by the next start.
pub fn prepare(folder: &Path, config: &LogConfig) -> Result<PathBuf, OpenError> {
    let journal = folder.join("journal");
    let (next, old) = (folder.join("journal.next"), folder.join("journal.old"));
    // A rewrite of the old file that was cut short: that file still holds everything.
    remove(&folder.join("journal.new"))?;
    if old.exists() {
        // The new folder was whole before the old file went out of its way.
        if !journal.exists() {
            fs::rename(&next, &journal)?;
        } else if !journal.is_dir() {
            let why = "journal.old was taken over, and a journal was begun since by a sender of before";
            return Err(io::Error::other(why).into());
        }
    } else if journal.is_file() {
        tracing::warn!(
            "the journal is taken over into a log: from here on senders of before can't read it \
             (the way back: cairnpulley state export --as journal-file)"
        );
        if next.exists() {
            fs::remove_dir_all(&next)?;
        }
        fs::create_dir(&next)?;
        fill(&fs::read(&journal)?, &next, config)?;
        fs::rename(&journal, &old)?;
        fs::rename(&next, &journal)?;
    } else if !journal.exists() {
        fs::create_dir(&journal)?;
    }
    if config.durable {
        Disk::new(folder).sync_directory()?;
    }
    remove(&old)?;
    Ok(journal)
}

fn remove(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}

fn fill(bytes: &[u8], folder: &Path, config: &LogConfig) -> Result<(), OpenError> {
    let read = journal_file::read(bytes);
    for range in &read.damaged {
        let (start, end) = (range.start, range.end);
        match end == bytes.len() {
            true => tracing::warn!("journal: bytes {start} to {end}, its tail, are torn"),
            false => tracing::error!("journal: DAMAGED: bytes {start} to {end} are no records"),
        }
    }
    let mut book = Book::default();
    read.records.iter().for_each(|r| book.note(r));
    let (mut log, _) = Log::open(Disk::new(folder), config.clone(), |_| Ok(()))?;
    for (&key, owed) in book.owed() {
        let payload = sender::records::payload::image(owed);
        log.append(&[Entry { key, operation: Operation::Put, payload: &payload }], &book)?;
    }
    if config.durable {
        log.sync(&book)?;
    }
    tracing::info!(messages = book.owed().len(), "journal: taken over");
    Ok(())
}
