//! Access to the JSON files with the results of scale measurements.
use serde_json::Value;
use std::path::{Path, PathBuf};

/// Why a value cannot be read from a results file.
#[derive(Debug, thiserror::Error)]
pub enum MeasuredError {
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    #[error("{0}: {1}")]
    Json(PathBuf, serde_json::Error),
    #[error("{file} has no {path}")]
    Missing { file: String, path: String },
}

/// A JSON value with the name of its file, for error messages.
#[derive(Clone, Debug)]
pub struct Measured {
    file: String,
    value: Value,
}

impl Measured {
    /// Reads the file `NAME.json` in a folder.
    pub fn read(folder: &Path, name: &str) -> Result<Measured, MeasuredError> {
        let path = folder.join(format!("{name}.json"));
        let bytes = std::fs::read(&path).map_err(|e| MeasuredError::File(path.clone(), e))?;
        let value = serde_json::from_slice(&bytes).map_err(|e| MeasuredError::Json(path, e))?;
        Ok(Measured { file: name.into(), value })
    }

    /// Returns the value at a JSON pointer (RFC 6901).
    pub fn at(&self, path: &str) -> Result<Measured, MeasuredError> {
        let value = self.value.pointer(path).cloned().ok_or_else(|| self.missing(path))?;
        Ok(Measured { file: self.file.clone(), value })
    }

    /// Returns the elements of the array at a JSON pointer.
    pub fn list(&self, path: &str) -> Result<Vec<Measured>, MeasuredError> {
        let list = self.value.pointer(path).and_then(Value::as_array).ok_or_else(|| self.missing(path))?;
        Ok(list.iter().map(|value| Measured { file: self.file.clone(), value: value.clone() }).collect())
    }

    /// Returns the number at a JSON pointer.
    pub fn number(&self, path: &str) -> Result<f64, MeasuredError> {
        self.value.pointer(path).and_then(Value::as_f64).ok_or_else(|| self.missing(path))
    }

    /// Returns the number at a JSON pointer, or `None` if it is null, which stands for an event that did not
    /// happen.
    pub fn number_if_any(&self, path: &str) -> Result<Option<f64>, MeasuredError> {
        match self.value.pointer(path) {
            Some(Value::Null) => Ok(None),
            _ => self.number(path).map(Some),
        }
    }

    /// Returns the string at a JSON pointer.
    pub fn text(&self, path: &str) -> Result<&str, MeasuredError> {
        self.value.pointer(path).and_then(Value::as_str).ok_or_else(|| self.missing(path))
    }

    fn missing(&self, path: &str) -> MeasuredError {
        MeasuredError::Missing { file: self.file.clone(), path: path.into() }
    }
}
