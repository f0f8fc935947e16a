//! What the log needs of a folder. Small, so that tests can break every call of it.
use std::io;

/// A folder of plain files.
pub trait Files {
    type File: Append;

    /// Names of all files, in any order.
    fn names(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// The first bytes of a file, so many or all that there are.
    fn head(&self, name: &str, length: usize) -> io::Result<Vec<u8>>;
    /// Creates a file; one of that name is emptied.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Cuts a file to so many bytes, durably.
    fn cut(&self, name: &str, length: u64) -> io::Result<()>;
    /// Takes the place of a file `to`, if there is one.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes names durable: those created, renamed and removed so far.
    fn sync_names(&self) -> io::Result<()>;
}

/// A file that is only written at its end.
pub trait Append: Sized {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes what was appended durable. Once it has failed nothing may be trusted that was appended since the last
    /// time that it did not.
    fn sync(&mut self) -> io::Result<()>;
    /// The same open file once more, so that another thread can sync it.
    fn another(&self) -> io::Result<Self>;
}
