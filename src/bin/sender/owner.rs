//! Who owns the lasting folder: one process at a time, by a lock that ends with it.
use std::fs::{File, TryLockError};
use std::io;
use std::path::Path;

/// The right to the journal; it ends with the process at the latest.
pub struct Owner {
    _lock: File,
}

impl Owner {
    /// None while another process has it.
    pub fn claim(folder: &Path) -> io::Result<Option<Owner>> {
        let file = File::options().create(true).truncate(false).write(true).open(folder.join("owner"))?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Owner { _lock: file })),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }
}
