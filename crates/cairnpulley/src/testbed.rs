//! `cairnpulley demo` and `cairnpulley testbed`: plays experiments, compares plays and reports on them.
use crate::output::{self, Exit};
use crate::PlayArgs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use testbed::clock::SECOND;
use testbed::compare::{self, Assessment};
use testbed::plan::Plan;
use testbed::play::{self, PlayError, Played, Progress};
use testbed::program::{self, ProgramError};
use testbed::record;
use testbed::report;
use testbed::seed::Seed;
use testbed::sim::{self, Simulated};
use testbed::spec::{Spec, SpecError};
use tokio::sync::watch;

/// Experiment of `cairnpulley demo`.
const DEMO_EXPERIMENT: &str = include_str!("../../../experiments/demo.toml");

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    #[error(transparent)]
    Spec(#[from] SpecError),
    #[error(transparent)]
    Program(#[from] ProgramError),
    #[error(transparent)]
    Play(#[from] PlayError),
    #[error(transparent)]
    Sim(#[from] sim::SimError),
    #[error(transparent)]
    Compare(#[from] compare::CompareError),
    #[error("{dir}: {error}")]
    Report { dir: PathBuf, error: report::ReportError },
    #[error("cannot write {path}: {error}")]
    Write { path: PathBuf, error: io::Error },
    #[error(transparent)]
    Record(#[from] record::RecordError),
    #[error("cannot create a temporary folder for the senders: {0}")]
    ScratchFolder(io::Error),
    #[error("cannot start the async runtime: {0}")]
    Runtime(io::Error),
    #[error("cannot print JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("--seconds {0} is not between 1 and 3600")]
    Seconds(f64),
}

/// Plays the demo experiment, scaled to a length in seconds.
pub fn demo(seconds: f64, options: &PlayArgs) -> Result<Exit, TestbedError> {
    if !(1.0..=3_600.0).contains(&seconds) {
        return Err(TestbedError::Seconds(seconds));
    }
    let mut spec = Spec::parse(Path::new("demo.toml"), DEMO_EXPERIMENT)?;
    // Scales when events begin and how long outages last. Events of senders keep their duration, so that a
    // process is always restarted after the same time.
    let scale = seconds / spec.seconds;
    spec.seconds = seconds;
    for event in &mut spec.event {
        event.at *= scale;
        if !event.kind.get_ref().affects_senders() {
            event.duration_s *= scale;
        }
    }
    play_all(&spec, options)
}

/// Plays an experiment with real senders.
pub fn run(file: &Path, overrides: &[String], options: &PlayArgs) -> Result<Exit, TestbedError> {
    play_all(&read_spec(file, overrides)?, options)
}

/// Plays an experiment in simulated time.
pub fn sim(file: &Path, overrides: &[String], options: &PlayArgs) -> Result<Exit, TestbedError> {
    let spec = read_spec(file, overrides)?;
    play_all_seeds(&spec, options, |plan, _| {
        let Simulated { verdict, facts } = sim::simulate(plan)?;
        Ok(Some(Played { verdict, facts }))
    })
}

/// Reads an experiment and applies overrides such as `traffic.rate=80`.
fn read_spec(file: &Path, overrides: &[String]) -> Result<Spec, TestbedError> {
    let mut spec = Spec::read(file)?;
    for assignment in overrides {
        spec = spec.set(assignment)?;
    }
    Ok(spec)
}

/// Compares two folders of plays.
pub fn compare(a: &Path, b: &Path, json: bool) -> Result<Exit, TestbedError> {
    let verdicts = |path: &Path| record::ExperimentFolder::open(path).verdicts();
    let comparison = compare::compare(&verdicts(a)?, &verdicts(b)?)?;
    match json {
        true => println!("{}", serde_json::to_string_pretty(&comparison)?),
        false => output::print_comparison(&comparison),
    }
    let [broken_a, broken_b] = comparison.broken;
    let worse = comparison.lines.first().is_some_and(|line| line.assessment == Assessment::Worse);
    Ok(if worse || broken_b > broken_a { Exit::Failure } else { Exit::Success })
}

/// Writes the page about a folder of plays.
pub fn report(dir: &Path, to: Option<&Path>) -> Result<Exit, TestbedError> {
    let page = report::page(&record::ExperimentFolder::open(dir))
        .map_err(|error| TestbedError::Report { dir: dir.to_path_buf(), error })?;
    let to = to.map_or_else(|| dir.join("report.html"), Path::to_path_buf);
    std::fs::write(&to, page).map_err(|error| TestbedError::Write { path: to.clone(), error })?;
    println!("{}", to.display());
    Ok(Exit::Success)
}

/// Prints the schedule that is drawn from an experiment with a seed.
pub fn check(file: &Path, seed: u64) -> Result<Exit, TestbedError> {
    let spec = Spec::read(file)?;
    let plan = Plan::draw(&spec, Seed(seed));
    println!(
        "{}: {} s, {} senders, {} endpoints of {} destinations, {} messages with seed {seed}",
        spec.title,
        spec.seconds,
        plan.senders.len(),
        plan.endpoints.len(),
        plan.destinations.len(),
        plan.arrivals.len()
    );
    for step in &plan.schedule {
        println!("{:8.3} s  {}", step.at as f64 / SECOND as f64, serde_json::to_string(&step.action)?);
    }
    Ok(Exit::Success)
}

/// Plays all repetitions of an experiment with real senders.
fn play_all(spec: &Spec, options: &PlayArgs) -> Result<Exit, TestbedError> {
    let program = program::find(options.sender.as_deref().or(spec.program.path.as_deref()))?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(TestbedError::Runtime)?;
    play_all_seeds(spec, options, |plan, out| {
        let scratch = tempfile::tempdir().map_err(TestbedError::ScratchFolder)?;
        let work_folder = match out {
            Some(out) => out.senders_folder(plan.seed.0)?,
            None => scratch.path().to_path_buf(),
        };
        runtime.block_on(play_once(plan, program.clone(), work_folder))
    })
}

/// Plays each repetition by `play`, which returns `None` if the user interrupted it.
fn play_all_seeds(
    spec: &Spec,
    options: &PlayArgs,
    play: impl Fn(&Arc<Plan>, Option<&record::ExperimentFolder>) -> Result<Option<Played>, TestbedError>,
) -> Result<Exit, TestbedError> {
    let first_seed = options.seed.unwrap_or_else(new_seed);
    let out = options.out.as_deref().map(record::ExperimentFolder::create).transpose()?;
    let mut worst = Exit::Success;
    let mut verdicts = Vec::new();
    for seed in (first_seed..).take(spec.repetitions as usize) {
        eprintln!("seed {seed}");
        let plan = Arc::new(Plan::draw(spec, Seed(seed)));
        let Some(played) = play(&plan, out.as_ref())? else { return Ok(Exit::Interrupted) };
        if !options.json {
            output::print_verdict(&played.verdict);
        }
        // A verdict as text is printed before the play is saved, so that a full disk does not lose it.
        if let Some(out) = &out {
            out.save(&plan, &played)?;
        }
        worst = match (worst, Exit::for_verdict(&played.verdict)) {
            (Exit::Failure, _) | (_, Exit::Failure) => Exit::Failure,
            (Exit::Void, _) | (_, Exit::Void) => Exit::Void,
            _ => Exit::Success,
        };
        verdicts.push(played.verdict);
    }
    if options.json {
        match verdicts.as_slice() {
            [one] => println!("{}", serde_json::to_string_pretty(one)?),
            all => println!("{}", serde_json::to_string_pretty(all)?),
        }
    }
    Ok(worst)
}

/// Plays once; returns `None` if the user interrupted the play. Either way the senders end with the future of
/// the play.
async fn play_once(
    plan: &Arc<Plan>,
    program: PathBuf,
    work_folder: PathBuf,
) -> Result<Option<Played>, TestbedError> {
    let progress = watch::Sender::new(Progress::Starting { ready: 0 });
    let display = output::show_progress(progress.subscribe(), plan.senders.len(), plan.spec.seconds);
    let played = async {
        let played = play::play(plan, &program, &work_folder, &progress).await;
        progress.send_replace(Progress::Finished);
        played
    };
    tokio::select! {
        (played, ()) = async { tokio::join!(played, display) } => Ok(Some(played?)),
        _ = tokio::signal::ctrl_c() => Ok(None),
    }
}

/// A seed from the clock, so that it differs from play to play.
fn new_seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |d| d.as_micros() as u64 % 1_000_000_007)
}
