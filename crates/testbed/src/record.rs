//! A play on disk: `seed-N/` with the plan, the facts (a JSON object a line), the verdict, and the senders'
//! folders.
use crate::facts::Fact;
use crate::plan::{Destination, Plan, Terms};
use crate::play::{Played, Verdict};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    #[error("{path}: {error}")]
    File { path: PathBuf, error: io::Error },
    #[error("{path}, line {line}: {error}")]
    Form { path: PathBuf, line: usize, error: serde_json::Error },
}

fn at(path: &Path) -> impl Fn(io::Error) -> RecordError + '_ {
    move |error| RecordError::File { path: path.to_path_buf(), error }
}

/// The part of `plan.json` that is read again.
#[derive(Debug, Deserialize)]
pub struct SavedPlan {
    pub terms: Terms,
    pub destinations: Vec<Destination>,
}

/// The folder of an experiment.
pub struct ExperimentFolder(PathBuf);

impl ExperimentFolder {
    /// Creates it. One that exists is another experiment's, and left alone.
    pub fn create(path: &Path) -> Result<ExperimentFolder, RecordError> {
        std::fs::create_dir(path).map_err(at(path))?;
        Ok(ExperimentFolder(std::path::absolute(path).map_err(at(path))?))
    }

    pub fn open(path: &Path) -> ExperimentFolder {
        ExperimentFolder(path.to_path_buf())
    }

    fn seed(&self, seed: u64) -> PathBuf {
        self.0.join(format!("seed-{seed}"))
    }

    /// Where the senders of a play live.
    pub fn senders_folder(&self, seed: u64) -> Result<PathBuf, RecordError> {
        let path = self.seed(seed).join("senders");
        std::fs::create_dir_all(&path).map_err(at(&path))?;
        Ok(path)
    }

    pub fn save(&self, plan: &Plan, played: &Played) -> Result<(), RecordError> {
        let folder = self.seed(plan.seed.0);
        std::fs::create_dir_all(&folder).map_err(at(&folder))?;
        let drawn = json!({"seed": plan.seed.0, "spec": plan.spec, "terms": plan.terms,
            "destinations": plan.destinations, "endpoints": plan.endpoints, "senders": plan.senders,
            "schedule": plan.schedule});
        write(&folder.join("plan.json"), &[drawn])?;
        write(&folder.join("facts.jsonl"), &played.facts)?;
        write(&folder.join("verdict.json"), std::slice::from_ref(&played.verdict))
    }

    /// The verdicts of all plays, by seed.
    pub fn verdicts(&self) -> Result<Vec<Verdict>, RecordError> {
        let mut all: Vec<Verdict> = Vec::new();
        for entry in std::fs::read_dir(&self.0).map_err(at(&self.0))? {
            let path = entry.map_err(at(&self.0))?.path().join("verdict.json");
            if path.is_file() {
                all.extend(read(&path)?);
            }
        }
        all.sort_by_key(|v| v.seed);
        Ok(all)
    }

    /// What the report needs of a play's plan.
    pub fn plan(&self, seed: u64) -> Result<SavedPlan, RecordError> {
        let path = self.seed(seed).join("plan.json");
        let file = File::open(&path).map_err(at(&path))?;
        serde_json::from_reader(BufReader::new(file)).map_err(|error| {
            let line = error.line();
            RecordError::Form { path, line, error }
        })
    }

    pub fn facts(&self, seed: u64) -> Result<Vec<Fact>, RecordError> {
        read(&self.seed(seed).join("facts.jsonl"))
    }
}

fn write<T: Serialize>(path: &Path, lines: &[T]) -> Result<(), RecordError> {
    let mut file = BufWriter::new(File::create(path).map_err(at(path))?);
    for line in lines {
        let written = serde_json::to_writer(&mut file, line).map_err(io::Error::from);
        written.and_then(|()| file.write_all(b"\n")).map_err(at(path))?;
    }
    file.flush().map_err(at(path))
}

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<Vec<T>, RecordError> {
    let file = BufReader::new(File::open(path).map_err(at(path))?);
    let one = |(number, text): (usize, io::Result<String>)| {
        let text = text.map_err(at(path))?;
        serde_json::from_str(&text).map_err(|error| RecordError::Form {
            path: path.to_path_buf(),
            line: number + 1,
            error,
        })
    };
    file.lines().enumerate().map(one).collect()
}
