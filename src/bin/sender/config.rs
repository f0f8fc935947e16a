//! The environment and config.json, read at the start; discovery's address in the file again on SIGHUP.
use crate::list::List;
use sender::api::Settings;
use sender::settings::{self, Around};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Deserialize, Clone)]
pub struct Limits {
    pub sockets: usize,
    pub disk_mb: f64,
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

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    #[serde(default)]
    store: Store,
    listen: Option<String>,
    discovery: Option<String>,
    control: Option<String>,
    seed: Option<Value>,
    limits: Limits,
    #[serde(default)]
    known: List,
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
    pub known: List,
    pub settings: Settings,
    /// The settings as they stand in the file.
    pub told: String,
    pub around: Around,
}

fn var(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

fn file() -> Result<(String, File), String> {
    let path = var("EDGE_CONFIG").ok_or("EDGE_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
    let file = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    Ok((path, file))
}

fn address(name: &str, text: Option<String>) -> Result<SocketAddr, String> {
    let text = text.ok_or(format!("{name} is not set"))?;
    text.parse().map_err(|e| format!("{name} is no address: {text}: {e}"))
}

/// Where discovery is now. The file goes before the environment, as the platform can only replace the file.
pub fn discovery() -> Result<SocketAddr, String> {
    address("EDGE_DISCOVERY", file()?.1.discovery.or_else(|| var("EDGE_DISCOVERY")))
}

pub fn read() -> Result<Config, String> {
    let (path, file) = file()?;
    let (settings, around) = settings::read(&file.settings).map_err(|e| format!("{path}: settings: {e}"))?;
    let control = var("EDGE_CONTROL").or(file.control);
    let sync = file.store.sync().map_err(|e| format!("{path}: {e}"))?;
    let learned = file.store.learned().map_err(|e| format!("{path}: {e}"))?;
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
        known: file.known,
        settings,
        told: file.settings.to_string(),
        around,
    })
}

/// A name that is longer than an owner's may be is told by its beginning and a checksum.
fn short(name: String) -> String {
    const MOST: usize = store::frame::OWNER;
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
