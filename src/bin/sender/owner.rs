//! Ownership of the state folder: one process at a time, by a file lock that ends with the process.
use std::fs::{File, TryLockError};
use std::io;
use std::path::Path;

/// The lock on a state folder, which gives the right to its journal. Dropping it releases the lock.
pub struct Owner {
    _lock: File,
}

impl Owner {
    /// Locks the folder; returns None while another process holds the lock.
    pub fn claim(folder: &Path) -> io::Result<Option<Owner>> {
        let file = File::options().create(true).truncate(false).write(true).open(folder.join("owner"))?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Owner { _lock: file })),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }
}
