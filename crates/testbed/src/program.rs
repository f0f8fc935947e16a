//! Where the sender under test is: a path, or the binary of this build.
use std::path::{Path, PathBuf};
use std::process::Command;

pub const NAME: &str = "cairnpulley-sender";
/// The package that the sender's binary belongs to.
const PACKAGE: &str = "sender";

#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    #[error("there is no sender at {0}: build it with `cargo build --release`, or name one")]
    Missing(PathBuf),
    #[error("the sender could not be built: cargo {0}")]
    Build(String),
    #[error("this program's own path is unknown: {0}")]
    Own(#[from] std::io::Error),
}

/// The sender at `named`, or that of this build.
///
/// Run by cargo, this program was just built, and the sender, being another package, was not: cargo builds it then.
/// Otherwise it is the one beside this program.
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

/// The sender that was built together with a test.
pub fn of_test() -> Result<PathBuf, ProgramError> {
    beside(&std::env::current_exe()?)
}

fn existing(path: PathBuf) -> Result<PathBuf, ProgramError> {
    match path.is_file() {
        true => std::path::absolute(&path).map_err(ProgramError::Own),
        false => Err(ProgramError::Missing(path)),
    }
}

fn beside(own: &Path) -> Result<PathBuf, ProgramError> {
    let folder = own.parent().unwrap_or(Path::new("."));
    // Tests and examples lie one folder below the programs.
    let nested = folder.ends_with("deps") || folder.ends_with("examples");
    let folder = if nested { folder.parent().unwrap_or(folder) } else { folder };
    existing(folder.join(NAME))
}

fn build(cargo: &Path, own: &Path) -> Result<(), ProgramError> {
    let workspace = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    // A program that was moved to another machine has no sources to build from.
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
