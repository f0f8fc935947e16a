//! The endpoints that operators have taken out or put back, stored in `$EDGE_STATE` before an operator's call
//! is answered.
use sender::records::unix_time_ms;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The content of the file, by endpoint name.
#[derive(Serialize, Deserialize, Clone, Default)]
struct Names {
    #[serde(default)]
    out: BTreeSet<String>,
    /// When each endpoint was put back, as Unix time in milliseconds. Its slow start counts from then.
    #[serde(default)]
    back: BTreeMap<String, i64>,
}

/// The endpoints that operators have taken out or put back.
pub struct Maintenance {
    path: PathBuf,
    names: Names,
    /// Length of the slow start of an endpoint that was put back. Once it is over, the next stored
    /// change drops the endpoint from `back`.
    slow_start_ms: i64,
}

impl Maintenance {
    /// Reads the file in the state folder. A file that can't be parsed counts as empty.
    pub fn open(folder: &Path, slow_start_ms: i64) -> io::Result<Maintenance> {
        let path = folder.join("maint");
        let names = match fs::read(&path) {
            Ok(bytes) => serde_json::from_slice(&bytes).unwrap_or_else(|error| {
                tracing::error!(%error, "cannot parse the list of endpoints taken out; treating it as empty");
                Names::default()
            }),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Names::default(),
            Err(e) => return Err(e),
        };
        Ok(Maintenance { path, names, slow_start_ms })
    }

    pub fn is_out(&self, name: &str) -> bool {
        self.names.out.contains(name)
    }

    /// Returns whether an endpoint is out, or was put back and is still in `back`.
    pub fn knows(&self, name: &str) -> bool {
        self.is_out(name) || self.names.back.contains_key(name)
    }

    /// Returns the endpoints that are out, with None, and those put back recently, with the Unix time in
    /// milliseconds.
    pub fn all(&self) -> impl Iterator<Item = (&String, Option<i64>)> {
        let back = self.names.back.iter().map(|(name, &at)| (name, Some(at)));
        self.names.out.iter().map(|name| (name, None)).chain(back)
    }

    /// Stores and then applies a change; one that can't be stored has no effect. Returns false
    /// if there was nothing to change.
    pub fn set(&mut self, name: &str, out: bool) -> io::Result<bool> {
        if out == self.is_out(name) {
            return Ok(false);
        }
        let (mut names, now) = (self.names.clone(), unix_time_ms());
        names.back.retain(|_, &mut at| now - at < self.slow_start_ms);
        if out {
            names.out.insert(name.to_string());
            names.back.remove(name);
        } else {
            names.out.remove(name);
            names.back.insert(name.to_string(), now);
        }
        let new = self.path.with_extension("new");
        let written =
            fs::write(&new, serde_json::to_vec(&names)?).and_then(|()| fs::rename(&new, &self.path));
        if let Err(e) = written {
            let _ = fs::remove_file(&new);
            return Err(e);
        }
        self.names = names;
        Ok(true)
    }
}
