//! The snapshot of what the policy has learned, stored beside the journal.
//!
//! A process that starts without a handover continues from the snapshot. The file is replaced by a rename; a
//! snapshot that does not fit the process is ignored, with a warning.
use crate::config::Config;
use sender::api::{EndpointId, Ns};
use sender::policy::Sender;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::Instant;

/// The version of the file's format.
const FORMAT: u32 = 2;
/// The previous version, which is still read. A file of any other version is ignored.
const PREVIOUS_FORMAT: u32 = 1;
/// Bytes of the checksum before the packed content.
const CHECKSUM_BYTES: usize = 4;
/// Maximum age of a snapshot that is used. An older one says little of the platform's present state: its
/// limits and shares are out of date.
const MAX_AGE: Duration = Duration::from_secs(600);
/// Share of the disk limit for a snapshot. While one is replaced there are two.
const DISK_SHARE: f64 = 0.02;

/// A snapshot to store.
#[derive(Serialize)]
pub struct Snapshot<'a> {
    #[serde(rename = "module")]
    pub policy: &'a Sender,
    /// A time of the policy's clock and the Unix time in nanoseconds that it corresponds to.
    pub clock: (Ns, u64),
    pub numbers: &'a EndpointNumbers,
}

/// The policy's numbers of the endpoints that it knows.
#[derive(Serialize, Deserialize, Default)]
pub struct EndpointNumbers {
    /// Number and name.
    pub endpoints: Vec<(EndpointId, String)>,
    /// Greater than every number that was ever assigned.
    pub next_id: EndpointId,
}

/// A snapshot as it was read.
#[derive(Deserialize)]
pub struct StoredSnapshot {
    #[serde(rename = "module")]
    pub policy: Sender,
    pub clock: (Ns, u64),
    pub numbers: EndpointNumbers,
}

/// A snapshot of the previous format, with the name and machine type of every endpoint that lists ever named.
/// The index in `endpoints` is the endpoint's number.
#[derive(Deserialize)]
struct SnapshotV1 {
    #[serde(rename = "module")]
    policy: Sender,
    clock: (Ns, u64),
    endpoints: Vec<(String, usize)>,
}

impl From<SnapshotV1> for StoredSnapshot {
    fn from(old: SnapshotV1) -> StoredSnapshot {
        let next_id = old.endpoints.len() as EndpointId;
        let endpoints = (0..).zip(old.endpoints).map(|(number, (name, _))| (number, name)).collect();
        StoredSnapshot {
            policy: old.policy,
            clock: old.clock,
            numbers: EndpointNumbers { endpoints, next_id },
        }
    }
}

/// The packed content of a file: format, the sender's name, checksum of the settings, and the snapshot.
type Packed<T> = (u32, String, u32, T);

fn unpack(bytes: &[u8]) -> Result<Packed<StoredSnapshot>, Unusable> {
    let format = rmp_serde::from_slice::<Packed<IgnoredAny>>(bytes).map_err(|_| Unusable::Damaged)?.0;
    let unpacked = match format {
        FORMAT => rmp_serde::from_slice(bytes),
        PREVIOUS_FORMAT => rmp_serde::from_slice::<Packed<SnapshotV1>>(bytes)
            .map(|(format, name, settings, snapshot)| (format, name, settings, snapshot.into())),
        _ => return Err(Unusable::Damaged),
    };
    unpacked.map_err(|_| Unusable::Damaged)
}

/// The snapshot file of a sender.
pub struct SnapshotFile {
    path: PathBuf,
    interval: Duration,
    max_bytes: usize,
    name: String,
    settings_json: String,
    written_at: Instant,
    /// Whether the last write failed. Of several failures in a row only the first is logged.
    failing: bool,
}

/// Why a stored snapshot is ignored.
#[derive(Debug, thiserror::Error)]
enum Unusable {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the snapshot is damaged, or of another version")]
    Damaged,
    #[error("the snapshot belongs to the sender {0:?}")]
    Foreign(String),
    #[error("the snapshot was taken under other settings")]
    Settings,
    #[error("the snapshot is too old: {0:?}")]
    Old(Duration),
    #[error("the snapshot is from the future: the clock was set back")]
    Future,
}

impl SnapshotFile {
    /// Returns None if the configuration asks for no snapshots.
    pub fn new(config: &Config) -> Option<SnapshotFile> {
        Some(SnapshotFile {
            path: config.state_folder.join("learned"),
            interval: config.snapshot_interval?,
            max_bytes: (config.limits.disk_mb * 1e6 * DISK_SHARE) as usize,
            name: config.name.clone(),
            settings_json: config.settings_json.clone(),
            written_at: Instant::now(),
            failing: false,
        })
    }

    /// Returns when the next snapshot is due.
    pub fn due(&self) -> Instant {
        self.written_at + self.interval
    }

    /// Replaces the stored snapshot. Of several failures in a row only the first is logged; the sender goes
    /// on without a new snapshot.
    pub fn write(&mut self, snapshot: &Snapshot) {
        self.written_at = Instant::now();
        let result = self.try_write(snapshot);
        let failed = result.is_err();
        if let Err(error) = result {
            if !self.failing {
                tracing::warn!(%error, "what was learned can't be kept");
            }
        }
        self.failing = failed;
    }

    fn try_write(&self, snapshot: &Snapshot) -> io::Result<()> {
        let content = (FORMAT, &self.name, crc32fast::hash(self.settings_json.as_bytes()), snapshot);
        let packed = rmp_serde::to_vec_named(&content).map_err(io::Error::other)?;
        if CHECKSUM_BYTES + packed.len() > self.max_bytes {
            let why = format!(
                "the snapshot has {} bytes; its share of the disk limit is {}",
                packed.len(),
                self.max_bytes
            );
            return Err(io::Error::new(io::ErrorKind::StorageFull, why));
        }
        let mut bytes = crc32fast::hash(&packed).to_le_bytes().to_vec();
        bytes.extend_from_slice(&packed);
        let new = self.path.with_extension("new");
        let written = fs::write(&new, &bytes).and_then(|()| fs::rename(&new, &self.path));
        written.inspect_err(|_| _ = fs::remove_file(&new))
    }

    /// Reads the stored snapshot, if there is one that fits this process. `unix_ns` is the current Unix time
    /// in nanoseconds.
    pub fn read(&self, unix_ns: u64) -> Option<StoredSnapshot> {
        match self.try_read(unix_ns) {
            Ok(snapshot) => snapshot,
            Err(why) => {
                tracing::warn!(%why, "what was learned before is left");
                None
            }
        }
    }

    fn try_read(&self, unix_ns: u64) -> Result<Option<StoredSnapshot>, Unusable> {
        let bytes = match fs::read(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            bytes => bytes?,
        };
        let (checksum, packed) = bytes.split_first_chunk::<CHECKSUM_BYTES>().ok_or(Unusable::Damaged)?;
        if crc32fast::hash(packed) != u32::from_le_bytes(*checksum) {
            return Err(Unusable::Damaged);
        }
        let (_, name, settings_checksum, snapshot) = unpack(packed)?;
        if name != self.name {
            return Err(Unusable::Foreign(name));
        }
        if settings_checksum != crc32fast::hash(self.settings_json.as_bytes()) {
            return Err(Unusable::Settings);
        }
        let age = unix_ns.checked_sub(snapshot.clock.1).ok_or(Unusable::Future)?;
        let age = Duration::from_nanos(age);
        if age > MAX_AGE {
            return Err(Unusable::Old(age));
        }
        tracing::info!(?age, bytes = bytes.len(), "going on with what was learned before");
        Ok(Some(snapshot))
    }
}

#[cfg(test)]
mod tests;
