//! A folder on a real disk.
use crate::files::{Append, Files};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

#[derive(Clone, Debug)]
pub struct Disk {
    folder: PathBuf,
}

impl Disk {
    /// A folder that exists.
    pub fn new(folder: &Path) -> Disk {
        Disk { folder: folder.to_path_buf() }
    }
}

impl Files for Disk {
    type File = File;

    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                // A name that is no text is none of the log's.
                names.extend(entry.file_name().into_string());
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn head(&self, name: &str, length: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.folder.join(name))?.take(length as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&self, name: &str) -> io::Result<File> {
        File::create(self.folder.join(name))
    }

    fn cut(&self, name: &str, length: u64) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(self.folder.join(name))?;
        file.set_len(length)?;
        file.sync_data()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}

impl Append for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn another(&self) -> io::Result<File> {
        self.try_clone()
    }
}
