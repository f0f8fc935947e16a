//! Locates the sender under test: a given path, or the binary of this build.
use std::path::{Path, PathBuf};
use std::process::Command;

/// File name of the sender's binary.
pub const NAME: &str = "cairnpulley-sender";
/// Package of the sender's binary.
const PACKAGE: &str = "sender";
/// File name of the library that makes calls of the system fail (`crates/fault-library`).
const FAULT_LIBRARY: &str = "libfault_library.so";

/// Why no sender can be located.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    #[error("no sender at {0}: build it with `cargo build --release`, or give the path of one")]
    Missing(PathBuf),
    #[error("no fault library at {0}: build it with `cargo build --workspace`")]
    MissingLibrary(PathBuf),
    #[error("cannot build the sender: cargo {0}")]
    Build(String),
    #[error("cannot determine the path of this program: {0}")]
    OwnPath(#[from] std::io::Error),
}

/// Returns the sender at `named`, or the one of this build if no path is given.
///
/// Without a path, returns the sender beside this program. If cargo runs this program, cargo has built only
/// this program's package, so the sender is built first.
pub fn find(named: Option<&Path>) -> Result<PathBuf, ProgramError> {
    if let Some(path) = named {
        return existing(path.to_path_buf());
    }
    let own = std::env::current_exe()?;
    if let Some(cargo) = std::env::var_os("CARGO") {
        build(Path::new(&cargo), &own)?;
    }
    beside(&own)
}

/// Returns the sender that was built together with the running test.
pub fn find_for_test() -> Result<PathBuf, ProgramError> {
    beside(&std::env::current_exe()?)
}

/// Returns the fault library of this build. Cargo puts it beside the binaries or beside the tests.
pub fn find_fault_library() -> Result<PathBuf, ProgramError> {
    let own = std::env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    let candidates = [folder.join(FAULT_LIBRARY), folder.join("deps").join(FAULT_LIBRARY)];
    let found = candidates.iter().find(|path| path.is_file());
    found.cloned().ok_or_else(|| ProgramError::MissingLibrary(candidates[0].clone()))
}

fn existing(path: PathBuf) -> Result<PathBuf, ProgramError> {
    match path.is_file() {
        true => std::path::absolute(&path).map_err(ProgramError::OwnPath),
        false => Err(ProgramError::Missing(path)),
    }
}

fn beside(own: &Path) -> Result<PathBuf, ProgramError> {
    let folder = own.parent().unwrap_or(Path::new("."));
    // Cargo puts tests and examples one folder below the binaries.
    let nested = folder.ends_with("deps") || folder.ends_with("examples");
    let folder = if nested { folder.parent().unwrap_or(folder) } else { folder };
    existing(folder.join(NAME))
}

fn build(cargo: &Path, own: &Path) -> Result<(), ProgramError> {
    let workspace = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    // A program that was copied to another machine has no sources to build from.
    if !workspace.join("Cargo.toml").is_file() {
        return Ok(());
    }
    let mut command = Command::new(cargo);
    command.current_dir(workspace).args(["build", "--locked", "--package", PACKAGE, "--bin", NAME]);
    if own.parent().is_some_and(|folder| folder.ends_with("release")) {
        command.arg("--release");
    }
    match command.status() {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(ProgramError::Build(status.to_string())),
        Err(error) => Err(ProgramError::Build(error.to_string())),
    }
}
