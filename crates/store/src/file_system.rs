//! The file operations that the log needs. The traits are small, so that tests can make every call fail.
use std::io;

/// A folder of plain files.
pub trait FileSystem {
    /// A file that is open for appending.
    type File: AppendFile;

    /// Lists the names of all files, in any order.
    fn file_names(&self) -> io::Result<Vec<String>>;
    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Reads the first `length` bytes of a file, or all of it if it is shorter.
    fn read_prefix(&self, name: &str, length: usize) -> io::Result<Vec<u8>>;
    /// Creates a file; an existing file of that name is emptied.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Truncates a file to `length` bytes and syncs it.
    fn truncate(&self, name: &str, length: u64) -> io::Result<()>;
    /// Renames a file; an existing file `to` is replaced.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Syncs the folder, so that files created, renamed and removed so far stay so after a loss of power.
    fn sync_directory(&self) -> io::Result<()>;
}

/// A file that is only written at its end.
pub trait AppendFile: Sized {
    /// Appends bytes to the file.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Syncs the file. After an error, nothing appended since the last successful sync counts as durable,
    /// even if a later sync succeeds.
    fn sync(&mut self) -> io::Result<()>;
    /// Duplicates the handle of the open file, so that another thread can sync it.
    fn duplicate_handle(&self) -> io::Result<Self>;
}
