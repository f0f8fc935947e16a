//! The file operations of the log on a real disk.
use crate::file_system::{AppendFile, FileSystem};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A folder on a real disk.
#[derive(Clone, Debug)]
pub struct Disk {
    folder: PathBuf,
}

impl Disk {
    /// Uses a folder, which has to exist.
    pub fn new(folder: &Path) -> Disk {
        Disk { folder: folder.to_path_buf() }
    }
}

impl FileSystem for Disk {
    type File = File;

    fn file_names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                // The log's own files have UTF-8 names; others are skipped.
                names.extend(entry.file_name().into_string());
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn read_prefix(&self, name: &str, length: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.folder.join(name))?.take(length as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&self, name: &str) -> io::Result<File> {
        File::create(self.folder.join(name))
    }

    fn truncate(&self, name: &str, length: u64) -> io::Result<()> {
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

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}

impl AppendFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn duplicate_handle(&self) -> io::Result<File> {
        self.try_clone()
    }
}
