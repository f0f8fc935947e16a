//! What the module has learned, kept beside the journal as a snapshot, so that a process that was killed is followed by
//! one that need not learn it anew. It is written to the side and renamed; one that does not suit is left, and told.
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

/// The form of the file, and the one before, which is still read; another one is left.
const FORM: u32 = 2;
const FORM_BEFORE: u32 = 1;
/// Checksum and nothing else before what was packed.
const HEAD: usize = 4;
/// A snapshot that is older says little of the platform as it is: limits and their shares were told long ago.
const MAX_AGE: Duration = Duration::from_secs(600);
/// Part of the disk that it may take; for a moment there are two of them.
const PART: f64 = 0.02;

/// What is kept.
#[derive(Serialize)]
pub struct Snapshot<'a> {
    pub module: &'a Sender,
    /// The module's time at a Unix time in nanoseconds.
    pub clock: (Ns, u64),
    pub numbers: &'a Numbers,
}

/// The module's numbers of the endpoints that it knows, by name.
#[derive(Serialize, Deserialize, Default)]
pub struct Numbers {
    pub endpoints: Vec<(EndpointId, String)>,
    /// Above all numbers that were ever given.
    pub next_id: EndpointId,
}

/// What was kept.
#[derive(Deserialize)]
pub struct Kept {
    pub module: Sender,
    pub clock: (Ns, u64),
    pub numbers: Numbers,
}

/// What was kept in the form before: every endpoint that lists ever named, by number, with its machine type.
#[derive(Deserialize)]
struct KeptBefore {
    module: Sender,
    clock: (Ns, u64),
    endpoints: Vec<(String, usize)>,
}

impl From<KeptBefore> for Kept {
    fn from(before: KeptBefore) -> Kept {
        let next_id = before.endpoints.len() as EndpointId;
        let endpoints = (0..).zip(before.endpoints).map(|(number, (name, _))| (number, name)).collect();
        Kept { module: before.module, clock: before.clock, numbers: Numbers { endpoints, next_id } }
    }
}

/// A file's content: form, the sender's name, checksum of the settings, and what was kept.
type Whole<T> = (u32, String, u32, T);

fn unpack(packed: &[u8]) -> Result<Whole<Kept>, Left> {
    let form = rmp_serde::from_slice::<Whole<IgnoredAny>>(packed).map_err(|_| Left::Damaged)?.0;
    let whole = match form {
        FORM => rmp_serde::from_slice(packed),
        FORM_BEFORE => rmp_serde::from_slice::<Whole<KeptBefore>>(packed)
            .map(|(form, name, settings, kept)| (form, name, settings, kept.into())),
        _ => return Err(Left::Damaged),
    };
    whole.map_err(|_| Left::Damaged)
}

pub struct Learned {
    path: PathBuf,
    every: Duration,
    /// Bytes that it may have.
    most: usize,
    name: String,
    settings: String,
    written_at: Instant,
    told: bool,
}

/// Why a snapshot is left.
#[derive(Debug, thiserror::Error)]
enum Left {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("it is damaged, or of another version")]
    Damaged,
    #[error("it is {0:?}'s")]
    Foreign(String),
    #[error("it is of other settings")]
    Settings,
    #[error("it is {0:?} old")]
    Old(Duration),
    #[error("it is from the future: the clock was set back")]
    Future,
}

impl Learned {
    /// None where nothing is to be kept.
    pub fn new(config: &Config) -> Option<Learned> {
        Some(Learned {
            path: config.state.join("learned"),
            every: config.learned?,
            most: (config.limits.disk_mb * 1e6 * PART) as usize,
            name: config.name.clone(),
            settings: config.told.clone(),
            written_at: Instant::now(),
            told: false,
        })
    }

    pub fn due(&self) -> Instant {
        self.written_at + self.every
    }

    /// Replaces the snapshot. What fails is told once; service goes on without.
    pub fn write(&mut self, snapshot: &Snapshot) {
        self.written_at = Instant::now();
        let result = self.try_write(snapshot);
        let failed = result.is_err();
        if let Err(error) = result {
            if !self.told {
                tracing::warn!(%error, "what was learned can't be kept");
            }
        }
        self.told = failed;
    }

    fn try_write(&self, snapshot: &Snapshot) -> io::Result<()> {
        let whole = (FORM, &self.name, crc32fast::hash(self.settings.as_bytes()), snapshot);
        let packed = rmp_serde::to_vec_named(&whole).map_err(io::Error::other)?;
        if HEAD + packed.len() > self.most {
            let why = format!("it has {} bytes, and {} is its part of the disk", packed.len(), self.most);
            return Err(io::Error::new(io::ErrorKind::StorageFull, why));
        }
        let mut bytes = crc32fast::hash(&packed).to_le_bytes().to_vec();
        bytes.extend_from_slice(&packed);
        let new = self.path.with_extension("new");
        let written = fs::write(&new, &bytes).and_then(|()| fs::rename(&new, &self.path));
        written.inspect_err(|_| _ = fs::remove_file(&new))
    }

    /// The last snapshot, where it suits this process at a Unix time in nanoseconds.
    pub fn read(&self, wall: u64) -> Option<Kept> {
        match self.try_read(wall) {
            Ok(kept) => kept,
            Err(why) => {
                tracing::warn!(%why, "what was learned before is left");
                None
            }
        }
    }

    fn try_read(&self, wall: u64) -> Result<Option<Kept>, Left> {
        let bytes = match fs::read(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            bytes => bytes?,
        };
        let (sum, packed) = bytes.split_first_chunk::<HEAD>().ok_or(Left::Damaged)?;
        if crc32fast::hash(packed) != u32::from_le_bytes(*sum) {
            return Err(Left::Damaged);
        }
        let (_, name, settings, kept) = unpack(packed)?;
        if name != self.name {
            return Err(Left::Foreign(name));
        }
        if settings != crc32fast::hash(self.settings.as_bytes()) {
            return Err(Left::Settings);
        }
        let age = wall.checked_sub(kept.clock.1).ok_or(Left::Future)?;
        let age = Duration::from_nanos(age);
        if age > MAX_AGE {
            return Err(Left::Old(age));
        }
        tracing::info!(?age, bytes = bytes.len(), "going on with what was learned before");
        Ok(Some(kept))
    }
}

#[cfg(test)]
mod tests;
