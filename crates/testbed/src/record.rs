//! The record of an experiment on disk: for each play a folder `seed-N` with the plan, the facts (one JSON
//! object per line), the verdict, and the senders' folders.
use crate::facts::Fact;
use crate::plan::{Destination, Plan, Terms};
use crate::play::{Played, Verdict};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

/// Why a record can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    #[error("{path}: {error}")]
    File { path: PathBuf, error: io::Error },
    #[error("{path}, line {line}: {error}")]
    Syntax { path: PathBuf, line: usize, error: serde_json::Error },
}

/// Returns a conversion from an I/O error on a file.
fn file_error(path: &Path) -> impl Fn(io::Error) -> RecordError + '_ {
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
    /// Creates the folder. Fails if it exists, as it may hold another experiment.
    pub fn create(path: &Path) -> Result<ExperimentFolder, RecordError> {
        std::fs::create_dir(path).map_err(file_error(path))?;
        Ok(ExperimentFolder(std::path::absolute(path).map_err(file_error(path))?))
    }

    /// Refers to the folder at `path` without checking that it exists.
    pub fn open(path: &Path) -> ExperimentFolder {
        ExperimentFolder(path.to_path_buf())
    }

    fn seed_folder(&self, seed: u64) -> PathBuf {
        self.0.join(format!("seed-{seed}"))
    }

    /// Creates and returns the folder for the senders of a play.
    pub fn senders_folder(&self, seed: u64) -> Result<PathBuf, RecordError> {
        let path = self.seed_folder(seed).join("senders");
        std::fs::create_dir_all(&path).map_err(file_error(&path))?;
        Ok(path)
    }

    /// Writes the plan, the facts and the verdict of a play.
    pub fn save(&self, plan: &Plan, played: &Played) -> Result<(), RecordError> {
        let folder = self.seed_folder(plan.seed.0);
        std::fs::create_dir_all(&folder).map_err(file_error(&folder))?;
        let plan_json = json!({"seed": plan.seed.0, "spec": plan.spec, "terms": plan.terms,
            "destinations": plan.destinations, "endpoints": plan.endpoints, "senders": plan.senders,
            "schedule": plan.schedule});
        write_lines(&folder.join("plan.json"), &[plan_json])?;
        write_lines(&folder.join("facts.jsonl"), &played.facts)?;
        write_lines(&folder.join("verdict.json"), std::slice::from_ref(&played.verdict))
    }

    /// Reads the verdicts of all plays, in the order of their seeds.
    pub fn verdicts(&self) -> Result<Vec<Verdict>, RecordError> {
        let mut all: Vec<Verdict> = Vec::new();
        for entry in std::fs::read_dir(&self.0).map_err(file_error(&self.0))? {
            let path = entry.map_err(file_error(&self.0))?.path().join("verdict.json");
            if path.is_file() {
                all.extend(read_lines(&path)?);
            }
        }
        all.sort_by_key(|v| v.seed);
        Ok(all)
    }

    /// Reads the part of a play's plan that the report needs.
    pub fn plan(&self, seed: u64) -> Result<SavedPlan, RecordError> {
        let path = self.seed_folder(seed).join("plan.json");
        let file = File::open(&path).map_err(file_error(&path))?;
        serde_json::from_reader(BufReader::new(file)).map_err(|error| {
            let line = error.line();
            RecordError::Syntax { path, line, error }
        })
    }

    /// Reads the facts of a play.
    pub fn facts(&self, seed: u64) -> Result<Vec<Fact>, RecordError> {
        read_lines(&self.seed_folder(seed).join("facts.jsonl"))
    }
}

/// Writes each value as a line of JSON.
fn write_lines<T: Serialize>(path: &Path, lines: &[T]) -> Result<(), RecordError> {
    let mut file = BufWriter::new(File::create(path).map_err(file_error(path))?);
    for line in lines {
        let written = serde_json::to_writer(&mut file, line).map_err(io::Error::from);
        written.and_then(|()| file.write_all(b"\n")).map_err(file_error(path))?;
    }
    file.flush().map_err(file_error(path))
}

/// Reads one JSON value from each line.
fn read_lines<T: serde::de::DeserializeOwned>(path: &Path) -> Result<Vec<T>, RecordError> {
    let file = BufReader::new(File::open(path).map_err(file_error(path))?);
    let parse_line = |(number, text): (usize, io::Result<String>)| {
        let text = text.map_err(file_error(path))?;
        serde_json::from_str(&text).map_err(|error| RecordError::Syntax {
            path: path.to_path_buf(),
            line: number + 1,
            error,
        })
    };
    file.lines().enumerate().map(parse_line).collect()
}
