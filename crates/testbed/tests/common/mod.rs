//! Runs whole plays for tests.
use std::path::{Path, PathBuf};
use std::sync::Arc;
use testbed::plan::Plan;
use testbed::play::{play, Played, Progress};
use testbed::program;
use testbed::seed::Seed;
use testbed::spec::Spec;
use tokio::sync::watch;

/// Plays the experiment of a text with a program in place of the sender.
pub fn play_with(program: &Path, text: &str, seed: u64) -> Played {
    let spec = Spec::parse(Path::new("test.toml"), text).expect("the experiment is valid");
    let plan = Arc::new(Plan::draw(&spec, Seed(seed)));
    let work = tempfile::tempdir().expect("a temporary folder can be created");
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("the runtime starts");
    let progress = watch::Sender::new(Progress::Starting { ready: 0 });
    eprintln!("seed {seed}");
    runtime.block_on(play(&plan, program, work.path(), &progress)).expect("the play runs")
}

/// Returns the sender of this build.
pub fn sender_program() -> PathBuf {
    program::find_for_test().expect("the whole workspace is built: cargo test --workspace")
}
