//! `cairnpulley demo` and `cairnpulley testbed`.
use crate::output::{self, Exit};
use crate::Play;
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

const DEMO: &str = include_str!("../../../experiments/demo.toml");

#[derive(Debug, thiserror::Error)]
pub enum RangeError {
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
    #[error("no folder for the senders: {0}")]
    Work(io::Error),
    #[error("the runtime can't start: {0}")]
    Runtime(io::Error),
    #[error("the verdict can't be printed: {0}")]
    Json(#[from] serde_json::Error),
    #[error("--seconds {0} is not between 1 and 3600")]
    Seconds(f64),
}

pub fn demo(seconds: f64, options: &Play) -> Result<Exit, RangeError> {
    if !(1.0..=3_600.0).contains(&seconds) {
        return Err(RangeError::Seconds(seconds));
    }
    let mut spec = Spec::parse(Path::new("demo.toml"), DEMO)?;
    // Events keep their places in a shorter or longer play, and outages their part of it; a process is always
    // started again as soon.
    let by = seconds / spec.seconds;
    spec.seconds = seconds;
    for event in &mut spec.event {
        event.at *= by;
        if !event.kind.get_ref().affects_senders() {
            event.duration_s *= by;
        }
    }
    play_all(&spec, options)
}

pub fn run(file: &Path, set: &[String], options: &Play) -> Result<Exit, RangeError> {
    play_all(&read(file, set)?, options)
}

pub fn sim(file: &Path, set: &[String], options: &Play) -> Result<Exit, RangeError> {
    let spec = read(file, set)?;
    all_seeds(&spec, options, |plan, _| {
        let Simulated { verdict, facts } = sim::simulate(plan)?;
        Ok(Some(Played { verdict, facts }))
    })
}

fn read(file: &Path, set: &[String]) -> Result<Spec, RangeError> {
    let mut spec = Spec::read(file)?;
    for assignment in set {
        spec = spec.set(assignment)?;
    }
    Ok(spec)
}

pub fn compare(a: &Path, b: &Path, json: bool) -> Result<Exit, RangeError> {
    let of = |path: &Path| record::ExperimentFolder::open(path).verdicts();
    let compared = compare::compare(&of(a)?, &of(b)?)?;
    match json {
        true => println!("{}", serde_json::to_string_pretty(&compared)?),
        false => output::print_comparison(&compared),
    }
    let [broken_a, broken_b] = compared.broken;
    let worse = compared.lines.first().is_some_and(|line| line.assessment == Assessment::Worse);
    Ok(if worse || broken_b > broken_a { Exit::Broken } else { Exit::Kept })
}

pub fn report(dir: &Path, to: Option<&Path>) -> Result<Exit, RangeError> {
    let page = report::page(&record::ExperimentFolder::open(dir))
        .map_err(|error| RangeError::Report { dir: dir.to_path_buf(), error })?;
    let to = to.map_or_else(|| dir.join("report.html"), Path::to_path_buf);
    std::fs::write(&to, page).map_err(|error| RangeError::Write { path: to.clone(), error })?;
    println!("{}", to.display());
    Ok(Exit::Kept)
}

pub fn check(file: &Path, seed: u64) -> Result<Exit, RangeError> {
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
    Ok(Exit::Kept)
}

fn play_all(spec: &Spec, options: &Play) -> Result<Exit, RangeError> {
    let program = program::find(options.sender.as_deref().or(spec.program.path.as_deref()))?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(RangeError::Runtime)?;
    all_seeds(spec, options, |plan, out| {
        let scratch = tempfile::tempdir().map_err(RangeError::Work)?;
        let work = match out {
            Some(out) => out.senders_folder(plan.seed.0)?,
            None => scratch.path().to_path_buf(),
        };
        runtime.block_on(one(plan, program.clone(), work))
    })
}

/// Plays each repetition by `play`, which gives none where the user has broken it off.
fn all_seeds(
    spec: &Spec,
    options: &Play,
    play: impl Fn(&Arc<Plan>, Option<&record::ExperimentFolder>) -> Result<Option<Played>, RangeError>,
) -> Result<Exit, RangeError> {
    let first = options.seed.unwrap_or_else(new_seed);
    let out = options.out.as_deref().map(record::ExperimentFolder::create).transpose()?;
    let mut worst = Exit::Kept;
    let mut verdicts = Vec::new();
    for seed in (first..).take(spec.repetitions as usize) {
        eprintln!("seed {seed}");
        let plan = Arc::new(Plan::draw(spec, Seed(seed)));
        let Some(played) = play(&plan, out.as_ref())? else { return Ok(Exit::Interrupted) };
        if !options.json {
            output::print(&played.verdict);
        }
        // After the verdict, which a full disk must not cost.
        if let Some(out) = &out {
            out.save(&plan, &played)?;
        }
        worst = match (worst, Exit::of(&played.verdict)) {
            (Exit::Broken, _) | (_, Exit::Broken) => Exit::Broken,
            (Exit::Void, _) | (_, Exit::Void) => Exit::Void,
            _ => Exit::Kept,
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

/// Plays once; none if the user has broken it off. The senders end with the play's future either way.
async fn one(plan: &Arc<Plan>, program: PathBuf, work: PathBuf) -> Result<Option<Played>, RangeError> {
    let progress = watch::Sender::new(Progress::Starting { ready: 0 });
    let shown = output::show(progress.subscribe(), plan.senders.len(), plan.spec.seconds);
    let played = async {
        let played = play::play(plan, &program, &work, &progress).await;
        progress.send_replace(Progress::Finished);
        played
    };
    tokio::select! {
        (played, ()) = async { tokio::join!(played, shown) } => Ok(Some(played?)),
        _ = tokio::signal::ctrl_c() => Ok(None),
    }
}

/// From the clock: any number that differs from play to play.
fn new_seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |d| d.as_micros() as u64 % 1_000_000_007)
}
