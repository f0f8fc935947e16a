//! Which endpoints operators have taken out, kept in `$EDGE_STATE` from before they are told yes.
use sender::records::unix_time_ms;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

#[derive(Serialize, Deserialize, Clone, Default)]
struct Names {
    #[serde(default)]
    out: BTreeSet<String>,
    /// When the last ones were put back, in Unix time in milliseconds: they are cold from then on.
    #[serde(default)]
    back: BTreeMap<String, i64>,
}

pub struct Maint {
    path: PathBuf,
    names: Names,
    /// For how long one that was put back is remembered.
    cold_ms: i64,
}

impl Maint {
    pub fn open(folder: &Path, cold_ms: i64) -> io::Result<Maint> {
        let path = folder.join("maint");
        let names = match fs::read(&path) {
            Ok(bytes) => serde_json::from_slice(&bytes).unwrap_or_else(|error| {
                tracing::error!(%error, "the list of endpoints taken out can't be read; taken as empty");
                Names::default()
            }),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Names::default(),
            Err(e) => return Err(e),
        };
        Ok(Maint { path, names, cold_ms })
    }

    pub fn is_out(&self, name: &str) -> bool {
        self.names.out.contains(name)
    }

    /// Whether operators have told anything of it that still counts.
    pub fn knows(&self, name: &str) -> bool {
        self.is_out(name) || self.names.back.contains_key(name)
    }

    /// Names that are out, and those put back of late with the time of it.
    pub fn all(&self) -> impl Iterator<Item = (&String, Option<i64>)> {
        let back = self.names.back.iter().map(|(name, &at)| (name, Some(at)));
        self.names.out.iter().map(|name| (name, None)).chain(back)
    }

    /// Keeps the change; if that fails nothing has changed. False where there was nothing to change.
    pub fn set(&mut self, name: &str, out: bool) -> io::Result<bool> {
        if out == self.is_out(name) {
            return Ok(false);
        }
        let (mut names, now) = (self.names.clone(), unix_time_ms());
        names.back.retain(|_, &mut at| now - at < self.cold_ms);
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
