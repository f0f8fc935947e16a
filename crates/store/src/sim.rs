//! An in-memory folder that simulates loss of power and failing calls, for tests.
//!
//! Appended bytes are only in the page cache until their file is synced; changes of names are only there
//! until the folder is synced. Each unsynced change of a name survives a loss of power or is lost; those that
//! survive are applied in their order. Of a file's unsynced data, a prefix of any length survives, and any of
//! its pages may be zero. A sync that fails loses the unsynced pages but marks them clean, so that a later
//! sync succeeds without keeping them.
use crate::file_system::{AppendFile, FileSystem};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// Unit in which unsynced data is lost, in bytes.
const PAGE_BYTES: usize = 4_096;

#[derive(Clone, Debug, Default)]
struct Inode {
    data: Vec<u8>,
    /// Number of bytes from the start that are synced.
    durable: usize,
    /// Offset from which on pages are zero after a loss of power, because a sync of them has failed. Later
    /// syncs don't help.
    lost_from: Option<usize>,
}

/// A change of the folder's names.
#[derive(Clone, Debug)]
enum NameChange {
    Create(String, usize),
    Rename(String, String),
    Remove(String),
}

#[derive(Clone, Debug, Default)]
struct FolderState {
    inodes: Vec<Inode>,
    /// Index of each file's inode, by name.
    names: BTreeMap<String, usize>,
    /// The names as of the last sync of the folder.
    durable_names: BTreeMap<String, usize>,
    /// Changes of names since the last sync of the folder.
    unsynced_changes: Vec<NameChange>,
    /// Number of calls so far.
    calls: usize,
    /// Number of the one call that fails, and how.
    failing_call: Option<(usize, Failure)>,
    /// Number of the call from which on every call fails, as if the power was lost.
    power_lost_at: Option<usize>,
    /// Bytes appended so far.
    written_bytes: u64,
    /// Kind of calls that always fail.
    failing_kind: Option<CallKind>,
    /// Kind of syncs that succeed without doing anything.
    ignored_syncs: Option<SyncKind>,
}

/// A kind of sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncKind {
    /// Syncs of files.
    Data,
    /// Syncs of the folder.
    Directory,
}

/// A kind of call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Appends fail, as on a full disk; files can still be created.
    Appends,
    /// Syncs of files fail.
    Syncs,
}

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// EIO; half of an append is written.
    Io,
    /// ENOSPC; half of an append is written, or nothing if all appends fail.
    StorageFull,
}

/// A simulated folder. Clones share its state.
#[derive(Clone, Debug, Default)]
pub struct SimDisk {
    state: Rc<RefCell<FolderState>>,
}

/// An open file of a [`SimDisk`].
pub struct SimFile {
    state: Rc<RefCell<FolderState>>,
    inode: usize,
}

impl FolderState {
    /// Counts a call, and fails if the call is to fail.
    fn count_call(&mut self) -> Result<(), Failure> {
        self.calls += 1;
        if self.power_lost_at.is_some_and(|at| self.calls >= at) {
            return Err(Failure::Io);
        }
        match self.failing_call {
            Some((at, failure)) if at == self.calls => Err(failure),
            _ => Ok(()),
        }
    }

    fn inode_of(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn change_names(&mut self, change: NameChange) {
        apply_change(&mut self.names, &change);
        self.unsynced_changes.push(change);
    }
}

fn apply_change(names: &mut BTreeMap<String, usize>, change: &NameChange) {
    match change {
        NameChange::Create(name, inode) => _ = names.insert(name.clone(), *inode),
        NameChange::Rename(from, to) => {
            if let Some(inode) = names.remove(from) {
                names.insert(to.clone(), inode);
            }
        }
        NameChange::Remove(name) => _ = names.remove(name),
    }
}

fn io_error(failure: Failure) -> io::Error {
    match failure {
        Failure::Io => io::Error::other("simulated I/O error"),
        Failure::StorageFull => io::Error::new(io::ErrorKind::StorageFull, "simulated full disk"),
    }
}

impl SimDisk {
    /// Number of calls so far, of all handles. Duplicating a handle is not counted.
    pub fn calls(&self) -> usize {
        self.state.borrow().calls
    }

    /// Bytes appended so far, by all handles.
    pub fn written_bytes(&self) -> u64 {
        self.state.borrow().written_bytes
    }

    /// Makes one call fail, by its number counted from 1.
    pub fn fail_call(&self, call: usize, failure: Failure) {
        self.state.borrow_mut().failing_call = Some((call, failure));
    }

    /// Makes all calls from a number on fail, as if the power was lost. An append at that call writes half of
    /// its bytes.
    pub fn lose_power_at(&self, call: usize) {
        self.state.borrow_mut().power_lost_at = Some(call);
    }

    /// Makes all calls of a kind fail until [`SimDisk::clear_faults`].
    pub fn fail_all(&self, kind: CallKind) {
        self.state.borrow_mut().failing_kind = Some(kind);
    }

    /// Ends [`SimDisk::fail_all`] and [`SimDisk::lose_power_at`].
    pub fn clear_faults(&self) {
        let mut state = self.state.borrow_mut();
        (state.failing_kind, state.power_lost_at) = (None, None);
    }

    /// Ignores all syncs of a kind from now on, to simulate a log that forgets them.
    pub fn ignore_syncs(&self, kind: SyncKind) {
        self.state.borrow_mut().ignored_syncs = Some(kind);
    }

    /// A copy of the folder as it is in the page cache: what a process finds after the one before it has
    /// crashed. Faults of a kind of calls and ignored syncs go on in the copy.
    pub fn after_crash(&self) -> SimDisk {
        let state = self.state.borrow();
        let copy = FolderState { calls: 0, failing_call: None, power_lost_at: None, ..state.clone() };
        SimDisk { state: Rc::new(RefCell::new(copy)) }
    }

    /// A copy of the folder as it may be found after a loss of power at this moment.
    pub fn after_power_loss(&self, random: &mut fastrand::Rng) -> SimDisk {
        let state = self.state.borrow();
        let mut names = state.durable_names.clone();
        for change in &state.unsynced_changes {
            if random.bool() {
                apply_change(&mut names, change);
            }
        }
        let mut inodes: Vec<Inode> = Vec::new();
        let names: BTreeMap<String, usize> = names
            .into_iter()
            .map(|(name, inode)| {
                let data = surviving_data(&state.inodes[inode], random);
                inodes.push(Inode { durable: data.len(), data, lost_from: None });
                (name, inodes.len() - 1)
            })
            .collect();
        let copy = FolderState { inodes, durable_names: names.clone(), names, ..FolderState::default() };
        SimDisk { state: Rc::new(RefCell::new(copy)) }
    }

    /// Changes the stored bytes of a file, as a faulty disk does.
    pub fn corrupt(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.state.borrow_mut();
        if let Some(inode) = state.names.get(name).copied() {
            let inode = &mut state.inodes[inode];
            change(&mut inode.data);
            inode.durable = inode.data.len();
        }
    }
}

fn surviving_data(inode: &Inode, random: &mut fastrand::Rng) -> Vec<u8> {
    let durable = inode.durable.min(inode.data.len());
    // Of the unsynced data, none or all survives in a quarter of the cases each, else a prefix of any length.
    let length = match random.u8(..4) {
        0 => durable,
        1 => inode.data.len(),
        _ => random.usize(durable..=inode.data.len()),
    };
    let mut data = inode.data[..length].to_vec();
    let mut page = durable;
    while page < length {
        let end = ((page / PAGE_BYTES + 1) * PAGE_BYTES).min(length);
        let lost = inode.lost_from.is_some_and(|from| page >= from);
        if lost || random.u8(..4) == 0 {
            data[page..end].fill(0);
        }
        page = end;
    }
    data
}

impl FileSystem for SimDisk {
    type File = SimFile;

    fn file_names(&self) -> io::Result<Vec<String>> {
        let mut state = self.state.borrow_mut();
        state.count_call().map_err(io_error)?;
        Ok(state.names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut state = self.state.borrow_mut();
        state.count_call().map_err(io_error)?;
        let inode = state.inode_of(name)?;
        Ok(state.inodes[inode].data.clone())
    }

    fn read_prefix(&self, name: &str, length: usize) -> io::Result<Vec<u8>> {
        let mut bytes = self.read(name)?;
        bytes.truncate(length);
        Ok(bytes)
    }

    fn create(&self, name: &str) -> io::Result<SimFile> {
        let mut state = self.state.borrow_mut();
        state.count_call().map_err(io_error)?;
        let inode = state.inodes.len();
        state.inodes.push(Inode::default());
        state.change_names(NameChange::Create(name.to_string(), inode));
        Ok(SimFile { state: self.state.clone(), inode })
    }

    fn truncate(&self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        state.count_call().map_err(io_error)?;
        let inode = state.inode_of(name)?;
        let inode = &mut state.inodes[inode];
        inode.data.truncate(length as usize);
        if inode.lost_from.is_none() {
            inode.durable = inode.data.len();
        }
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        state.count_call().map_err(io_error)?;
        state.inode_of(from)?;
        state.change_names(NameChange::Rename(from.to_string(), to.to_string()));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        state.count_call().map_err(io_error)?;
        state.inode_of(name)?;
        state.change_names(NameChange::Remove(name.to_string()));
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        state.count_call().map_err(io_error)?;
        if state.ignored_syncs == Some(SyncKind::Directory) {
            return Ok(());
        }
        state.durable_names = state.names.clone();
        state.unsynced_changes.clear();
        Ok(())
    }
}

impl AppendFile for SimFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        if state.failing_kind == Some(CallKind::Appends) {
            state.calls += 1;
            return Err(io_error(Failure::StorageFull));
        }
        let result = state.count_call();
        let length = if result.is_ok() { bytes.len() } else { bytes.len() / 2 };
        // Nothing is written after the loss of power.
        if state.power_lost_at.is_none_or(|at| state.calls <= at) {
            state.written_bytes += length as u64;
            state.inodes[self.inode].data.extend_from_slice(&bytes[..length]);
        }
        result.map_err(io_error)
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        let result = state.count_call().and_then(|()| {
            if state.failing_kind == Some(CallKind::Syncs) {
                Err(Failure::Io)
            } else {
                Ok(())
            }
        });
        if state.ignored_syncs == Some(SyncKind::Data) {
            return result.map_err(io_error);
        }
        let inode = &mut state.inodes[self.inode];
        match result {
            Ok(()) if inode.lost_from.is_none() => inode.durable = inode.data.len(),
            Ok(()) => {}
            Err(_) => inode.lost_from = Some(inode.durable),
        }
        result.map_err(io_error)
    }

    fn duplicate_handle(&self) -> io::Result<SimFile> {
        Ok(SimFile { state: self.state.clone(), inode: self.inode })
    }
}
