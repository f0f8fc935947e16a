//! The environment and config.json, read at the start; discovery's address in the file again on SIGHUP.
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

/// Memory of a sender whose configuration names none.
const DEFAULT_MEMORY_MB: f64 = 64.0;
const MB: f64 = (1 << 20) as f64;
/// The member of the file that holds the list as this sender last had it.
const KNOWN: &str = "known";
/// A file of at most so many bytes is read again at once, a longer one on another thread.
const SHORT_FILE: u64 = 64 << 10;

#[derive(Deserialize, Clone)]
pub struct Limits {
    pub sockets: usize,
    pub disk_mb: f64,
    pub memory_mb: Option<f64>,
}

/// `catalogue` in the file: bounds on the list of endpoints.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct CatalogueBounds {
    max_entries: Option<u64>,
    max_mb: Option<f64>,
}

impl CatalogueBounds {
    /// The bounds where `memory_mb` is what the whole sender may use.
    fn limits(&self, memory_mb: f64) -> Result<catalogue::Limits, String> {
        let mut limits = catalogue::Limits::for_memory((memory_mb * MB) as usize);
        match self.max_entries {
            Some(0) => return Err("catalogue.max_entries: has to be at least 1".into()),
            Some(entries) => limits.max_entries = usize::try_from(entries).unwrap_or(usize::MAX),
            None => {}
        }
        match self.max_mb {
            Some(mb) if !(mb > 0.0 && mb <= memory_mb) => {
                return Err(format!(
                    "catalogue.max_mb: has to be above 0 and at most limits.memory_mb, {memory_mb}"
                ));
            }
            Some(mb) => limits.max_bytes = (mb * MB) as usize,
            None => {}
        }
        Ok(limits)
    }
}

/// When what is written down has to be on disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sync {
    /// Never: it outlasts the process all the same (DEPLOY, Limits).
    #[default]
    None,
    /// Before what follows from it: answers, calls and notices wait for one sync together.
    Group,
    /// Each such span; what came since may go with a loss of power.
    Interval(Duration),
}

/// `store` in the file.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct Store {
    sync: Option<String>,
    interval_ms: Option<u64>,
    /// Seconds between two snapshots of what the module has learned; absent: none is kept.
    learned_s: Option<u64>,
}

impl Store {
    fn learned(&self) -> Result<Option<Duration>, String> {
        match self.learned_s {
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
                Err("store.interval_ms: goes with sync = interval only".into())
            }
            (Some(other), _) => Err(format!("store.sync: {other:?} is none of none, group, interval")),
        }
    }
}

/// The file but for the list `known`, which is read over here.
#[derive(Deserialize)]
struct Contents {
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

#[derive(Clone)]
pub struct Config {
    /// The sender's name, at most as long as the journal takes it.
    pub name: String,
    pub sync: Sync,
    /// How often what was learned is kept, if it is.
    pub learned: Option<Duration>,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The second address, where there is one.
    pub control: Option<SocketAddr>,
    pub state: PathBuf,
    pub seed: u64,
    pub limits: Limits,
    /// Bounds on the list of endpoints.
    pub catalogue: catalogue::Limits,
    pub settings: Settings,
    /// The settings as they stand in the file.
    pub told: String,
    pub around: ProgramSettings,
}

fn var(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

fn path() -> Result<String, String> {
    var("EDGE_CONFIG").ok_or("EDGE_CONFIG is not set".into())
}

/// Bytes of the file; none where it can't be told.
fn length() -> u64 {
    path().ok().and_then(|path| std::fs::metadata(path).ok()).map_or(0, |file| file.len())
}

fn file() -> Result<(String, Contents), String> {
    let path = path()?;
    let opened = File::open(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
    let contents = serde_json::from_reader(BufReader::new(opened)).map_err(|e| format!("{path}: {e}"))?;
    Ok((path, contents))
}

/// The list of endpoints as this sender last had it, read as a stream. One that can't be used counts as none.
pub fn known(limits: &catalogue::Limits) -> Catalogue {
    let read = || path().and_then(|path| read_known(path.as_ref(), limits));
    let read = if length() <= SHORT_FILE { read() } else { memory::on_list_thread(read) };
    read.unwrap_or_else(|error| {
        tracing::error!(%error, "the list in the configuration can't be used; going on without it");
        Catalogue::default()
    })
}

fn read_known(path: &Path, limits: &catalogue::Limits) -> Result<Catalogue, String> {
    let opened = File::open(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let taken = intake::read_member(opened, KNOWN, limits);
    let taken = taken.map_err(|e| format!("{}: {KNOWN}: {e}", path.display()))?;
    let Some(taken) = taken else { return Ok(Catalogue::default()) };
    if taken.unreadable > 0 {
        tracing::warn!(entries = taken.unreadable, "entries of the list in the configuration can't be read");
    }
    // A list that names nothing is none: its generation says nothing of the list to come.
    let named = !taken.catalogue.is_empty();
    Ok(if named { taken.catalogue } else { Catalogue::default() })
}

fn address(name: &str, text: Option<String>) -> Result<SocketAddr, String> {
    let text = text.ok_or(format!("{name} is not set"))?;
    text.parse().map_err(|e| format!("{name} is no address: {text}: {e}"))
}

/// Where discovery is now. The file goes before the environment, as the platform can only replace the file.
pub fn discovery() -> Result<SocketAddr, String> {
    address("EDGE_DISCOVERY", file()?.1.discovery.or_else(|| var("EDGE_DISCOVERY")))
}

/// The same, without a hold of the caller for as long as a long file takes.
pub async fn discovery_again() -> Result<SocketAddr, String> {
    if length() <= SHORT_FILE {
        return discovery();
    }
    let read = tokio::task::spawn_blocking(discovery).await;
    read.unwrap_or_else(|e| Err(e.to_string()))
}

pub fn read() -> Result<Config, String> {
    let (path, file) = file()?;
    let (settings, around) = settings::read(&file.settings).map_err(|e| format!("{path}: settings: {e}"))?;
    let control = var("EDGE_CONTROL").or(file.control);
    let sync = file.store.sync().map_err(|e| format!("{path}: {e}"))?;
    let learned = file.store.learned().map_err(|e| format!("{path}: {e}"))?;
    let memory_mb = file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
    let catalogue = file.catalogue.limits(memory_mb).map_err(|e| format!("{path}: {e}"))?;
    Ok(Config {
        name: short(var("EDGE_NAME").or(file.name).unwrap_or_default()),
        sync,
        learned,
        listen: address("EDGE_LISTEN", var("EDGE_LISTEN").or(file.listen))?,
        discovery: address("EDGE_DISCOVERY", file.discovery.or_else(|| var("EDGE_DISCOVERY")))?,
        control: control.map(|at| address("EDGE_CONTROL", Some(at))).transpose()?,
        state: var("EDGE_STATE").ok_or("EDGE_STATE is not set")?.into(),
        seed: file.seed.as_ref().map_or(0, seed),
        limits: file.limits,
        catalogue,
        settings,
        told: file.settings.to_string(),
        around,
    })
}

/// A name that is longer than an owner's may be is told by its beginning and a checksum.
fn short(name: String) -> String {
    const MOST: usize = store::frame::MAX_OWNER_BYTES;
    if name.len() <= MOST {
        return name;
    }
    let beginning: String =
        name.char_indices().take_while(|(at, c)| at + c.len_utf8() <= MOST - 9).map(|(_, c)| c).collect();
    format!("{beginning}~{:08x}", crc32fast::hash(name.as_bytes()))
}

/// The seed is a text in hex; any other form still gives a number of its own.
fn seed(value: &Value) -> u64 {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| crc32fast::hash(text.as_bytes()).into())
}

#[cfg(test)]
mod tests;
