//! The sender's configuration: the environment and `config.json`.
//!
//! Both are read at the start. On SIGHUP the address of discovery is read again.
use crate::memory;
use catalogue::intake;
use catalogue::Catalogue;
use sender::api::Settings;
use sender::settings::{self, ProgramSettings};
use serde::Deserialize;
use serde_json::Value;
use std::fs::File;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The memory limit if the configuration sets none, in MiB.
const DEFAULT_MEMORY_MB: f64 = 64.0;
/// A megabyte of memory is a MiB here.
const BYTES_PER_MB: f64 = (1 << 20) as f64;
/// The part of the memory limit that bodies of requests may hold, as a divisor.
const REQUEST_BODIES_SHARE: usize = 8;
/// The part of the memory limit that clients' connections may hold beside the bodies.
const CONNECTIONS_SHARE: f64 = 5.0 / 16.0;
/// A few bodies of the maximum size.
const MIN_REQUEST_BODIES_BYTES: usize = 4 * crate::client::MAX_BODY;
/// Member of the file with the last known list of endpoints.
const KNOWN_LIST: &str = "known";
/// Files of at most this many bytes are read on the event loop, longer ones on another thread.
const SHORT_FILE_BYTES: u64 = 64 << 10;

/// `limits` in the file: what the process may use.
#[derive(Deserialize, Clone)]
pub struct Limits {
    /// Number of file descriptors that the process may have open.
    pub sockets: usize,
    /// Disk space for the journal and the snapshots, in MB (10^6 bytes).
    pub disk_mb: f64,
    /// Memory limit, in MiB.
    pub memory_mb: Option<f64>,
}

impl Limits {
    /// Returns the memory limit, or the default one, in MiB.
    fn memory_mb(&self) -> f64 {
        self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB)
    }

    /// Returns the memory limit, or the default one, in bytes.
    fn memory_bytes(&self) -> f64 {
        self.memory_mb() * BYTES_PER_MB
    }

    /// Returns the memory that the bodies of clients' requests may hold until they are answered, in bytes.
    pub fn request_bodies_bytes(&self) -> usize {
        (self.memory_bytes() as usize / REQUEST_BODIES_SHARE).max(MIN_REQUEST_BODIES_BYTES)
    }

    /// Returns the memory that clients' connections may hold beside the bodies, in bytes.
    pub fn connections_bytes(&self) -> usize {
        (self.memory_bytes() * CONNECTIONS_SHARE) as usize
    }
}

/// `catalogue` in the file: limits of the list of endpoints.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct CatalogueBounds {
    max_entries: Option<u64>,
    /// Maximum memory of one snapshot of the list, in MiB.
    max_mb: Option<f64>,
}

impl CatalogueBounds {
    /// Returns the limits of the list at a sender whose memory limit is `memory_mb`.
    fn limits(&self, memory_mb: f64) -> Result<catalogue::Limits, String> {
        let mut limits = catalogue::Limits::for_memory((memory_mb * BYTES_PER_MB) as usize);
        match self.max_entries {
            Some(0) => return Err("catalogue.max_entries: has to be at least 1".into()),
            Some(entries) => limits.max_entries = usize::try_from(entries).unwrap_or(usize::MAX),
            None => {}
        }
        match self.max_mb {
            Some(mb) if !(mb > 0.0 && mb <= memory_mb) => {
                return Err(format!(
                    "catalogue.max_mb: has to be above 0 and at most the memory limit of {memory_mb} MiB \
                     (limits.memory_mb)"
                ));
            }
            Some(mb) => limits.max_bytes = (mb * BYTES_PER_MB) as usize,
            None => {}
        }
        Ok(limits)
    }
}

/// When records of the journal are synced to disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sync {
    /// Never. Records survive the end of the process, but not a power failure (DEPLOY, Limits).
    #[default]
    None,
    /// Before any reply, call or notice that depends on them. The records of one round share a sync (group
    /// commit).
    Group,
    /// At this interval. A power failure loses the records since the last sync.
    Interval(Duration),
}

/// `store` in the file: how the journal and the snapshots of the policy's state are stored.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct Store {
    sync: Option<String>,
    interval_ms: Option<u64>,
    /// Seconds between two snapshots of what the policy has learned. No snapshots are stored if this is
    /// absent.
    #[serde(rename = "learned_s")]
    snapshot_interval_s: Option<u64>,
}

impl Store {
    fn snapshot_interval(&self) -> Result<Option<Duration>, String> {
        match self.snapshot_interval_s {
            Some(seconds) if !(1..=3_600).contains(&seconds) => {
                Err("store.learned_s: has to be from 1 to 3600".into())
            }
            seconds => Ok(seconds.map(Duration::from_secs)),
        }
    }

    fn sync(&self) -> Result<Sync, String> {
        match (self.sync.as_deref(), self.interval_ms) {
            (None | Some("none"), None) => Ok(Sync::None),
            (Some("group"), None) => Ok(Sync::Group),
            (Some("interval"), Some(ms)) if (1..=60_000).contains(&ms) => {
                Ok(Sync::Interval(Duration::from_millis(ms)))
            }
            (Some("interval"), _) => {
                Err("store.interval_ms: has to be from 1 to 60000 with sync = interval".into())
            }
            (Some("none" | "group") | None, Some(_)) => {
                Err("store.interval_ms: is allowed only with sync = interval".into())
            }
            (Some(other), _) => Err(format!("store.sync: {other:?} is not one of none, group, interval")),
        }
    }
}

/// The content of `config.json` without the list `known`, which is skipped here.
#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    #[serde(default)]
    store: Store,
    listen: Option<String>,
    discovery: Option<String>,
    control: Option<String>,
    seed: Option<Value>,
    limits: Limits,
    #[serde(default)]
    catalogue: CatalogueBounds,
    settings: Value,
}

/// The configuration of a sender.
#[derive(Clone)]
pub struct Config {
    /// The sender's name, shortened to the length that the journal allows.
    pub name: String,
    pub sync: Sync,
    /// The time between two snapshots of what the policy has learned. None: no snapshots.
    pub snapshot_interval: Option<Duration>,
    /// The address for clients.
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The address for operators' requests, if there is one.
    pub control: Option<SocketAddr>,
    pub state_folder: PathBuf,
    pub seed: u64,
    pub limits: Limits,
    /// Limits of the list of endpoints.
    pub catalogue_limits: catalogue::Limits,
    /// Settings of the policy.
    pub settings: Settings,
    /// The settings as JSON, to compare with those under which a state was stored or handed over.
    pub settings_json: String,
    /// What the program needs of the settings besides those of the policy.
    pub program_settings: ProgramSettings,
}

/// Returns an environment variable, unless it is empty.
fn env_var(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

fn config_path() -> Result<String, String> {
    env_var("EDGE_CONFIG").ok_or("EDGE_CONFIG is not set".into())
}

/// Returns the length of the file in bytes, or 0 if it can't be determined.
fn config_file_bytes() -> u64 {
    config_path().ok().and_then(|path| std::fs::metadata(path).ok()).map_or(0, |file| file.len())
}

fn read_file() -> Result<(String, ConfigFile), String> {
    let path = config_path()?;
    let opened = File::open(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
    let contents = serde_json::from_reader(BufReader::new(opened)).map_err(|e| format!("{path}: {e}"))?;
    Ok((path, contents))
}

/// Reads the last known list of endpoints from the file, as a stream. If the list can't be used, returns an
/// empty catalogue.
pub fn read_known_list(limits: &catalogue::Limits) -> Catalogue {
    let read = || config_path().and_then(|path| read_known_list_from(path.as_ref(), limits));
    let read = if config_file_bytes() <= SHORT_FILE_BYTES { read() } else { memory::on_list_thread(read) };
    read.unwrap_or_else(|error| {
        tracing::error!(%error, "cannot use the list of endpoints in the configuration; starting without it");
        Catalogue::default()
    })
}

fn read_known_list_from(path: &Path, limits: &catalogue::Limits) -> Result<Catalogue, String> {
    let opened = File::open(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let loaded = intake::read_member(opened, KNOWN_LIST, limits);
    let loaded = loaded.map_err(|e| format!("{}: {KNOWN_LIST}: {e}", path.display()))?;
    let Some(loaded) = loaded else { return Ok(Catalogue::default()) };
    if loaded.unreadable > 0 {
        tracing::warn!(
            entries = loaded.unreadable,
            "ignored unreadable entries of the list in the configuration"
        );
    }
    // An empty list counts as none, so that its generation is not used to ask discovery for changes.
    let has_endpoints = !loaded.catalogue.is_empty();
    Ok(if has_endpoints { loaded.catalogue } else { Catalogue::default() })
}

fn address(name: &str, text: Option<String>) -> Result<SocketAddr, String> {
    let text = text.ok_or(format!("{name} is not set"))?;
    text.parse().map_err(|e| format!("{name} is not an address: {text}: {e}"))
}

/// Returns the current address of discovery. The file takes precedence over the environment, as the file is
/// all that the platform can replace while the sender runs.
pub fn read_discovery() -> Result<SocketAddr, String> {
    address("EDGE_DISCOVERY", read_file()?.1.discovery.or_else(|| env_var("EDGE_DISCOVERY")))
}

/// Reads the address of discovery again, without blocking the event loop while a long file is parsed.
pub async fn reload_discovery() -> Result<SocketAddr, String> {
    if config_file_bytes() <= SHORT_FILE_BYTES {
        return read_discovery();
    }
    let read = tokio::task::spawn_blocking(read_discovery).await;
    read.unwrap_or_else(|e| Err(e.to_string()))
}

/// Reads the configuration. Errors name the variable or the member that is wrong, except that those of an
/// address name its variable even if the value is from the file.
pub fn read() -> Result<Config, String> {
    let (path, file) = read_file()?;
    let (settings, program_settings) =
        settings::read(&file.settings).map_err(|e| format!("{path}: settings: {e}"))?;
    let control = env_var("EDGE_CONTROL").or(file.control);
    let sync = file.store.sync().map_err(|e| format!("{path}: {e}"))?;
    let snapshot_interval = file.store.snapshot_interval().map_err(|e| format!("{path}: {e}"))?;
    let catalogue_limits =
        file.catalogue.limits(file.limits.memory_mb()).map_err(|e| format!("{path}: {e}"))?;
    Ok(Config {
        name: shorten_name(env_var("EDGE_NAME").or(file.name).unwrap_or_default()),
        sync,
        snapshot_interval,
        listen: address("EDGE_LISTEN", env_var("EDGE_LISTEN").or(file.listen))?,
        discovery: address("EDGE_DISCOVERY", file.discovery.or_else(|| env_var("EDGE_DISCOVERY")))?,
        control: control.map(|at| address("EDGE_CONTROL", Some(at))).transpose()?,
        state_folder: env_var("EDGE_STATE").ok_or("EDGE_STATE is not set")?.into(),
        seed: file.seed.as_ref().map_or(0, parse_seed),
        limits: file.limits,
        catalogue_limits,
        settings,
        settings_json: file.settings.to_string(),
        program_settings,
    })
}

/// Returns the name, or, if it is longer than a journal allows for its owner, the beginning of the name, `~`
/// and the name's CRC-32.
fn shorten_name(name: String) -> String {
    const MAX_BYTES: usize = store::frame::MAX_OWNER_BYTES;
    /// `~` and eight digits.
    const CHECKSUM_SUFFIX_BYTES: usize = 9;
    if name.len() <= MAX_BYTES {
        return name;
    }
    let beginning: String = name
        .char_indices()
        .take_while(|(at, c)| at + c.len_utf8() <= MAX_BYTES - CHECKSUM_SUFFIX_BYTES)
        .map(|(_, c)| c)
        .collect();
    format!("{beginning}~{:08x}", crc32fast::hash(name.as_bytes()))
}

/// Parses a seed of hexadecimal digits, given as a string or as a number, whose digits are read as
/// hexadecimal too. The text of any other value is hashed.
fn parse_seed(value: &Value) -> u64 {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| crc32fast::hash(text.as_bytes()).into())
}

#[cfg(test)]
mod tests;
