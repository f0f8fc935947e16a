//! Soak: whole plays with the sender program as processes, under faults of discovery, of processes, links and
//! endpoints that are drawn from a seed, judged by all rules.
//!
//! `SEED=n` sets the first seed, `SEEDS=n` how many are played, `PARALLEL=n` how many at the same time.
//! `OUT=dir` keeps the plays.
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use testbed::plan::Plan;
use testbed::play::{play, Played, Progress};
use testbed::program;
use testbed::record::ExperimentFolder;
use testbed::seed::Seed;
use testbed::spec::Spec;
use tokio::sync::watch;

const DEFAULT_SEED: u64 = 1;
/// A minute or two.
const DEFAULT_SEEDS: u64 = 4;
const DEFAULT_PARALLEL: u64 = 2;
/// How often a play is repeated that is void, as the machine was too busy.
const MAX_REPEATS: usize = 2;
/// How long clients hand in messages, in seconds.
const SECONDS: f64 = 14.0;
/// Events begin no later than this, in seconds, so that their effects are seen.
const LAST_EVENT: f64 = 11.0;
const DESTINATIONS: u32 = 6;
/// Destinations with two endpoints or more, of which one can be replaced.
const REPLACEABLE: u32 = 6;

/// Writes an experiment whose events are drawn.
struct ExperimentBuilder<R> {
    text: String,
    random: R,
    senders: u32,
}

impl<R: Rng> ExperimentBuilder<R> {
    /// Draws the fleet, its limits and its clients.
    fn new(mut random: R) -> ExperimentBuilder<R> {
        let senders = random.random_range(2..=4);
        // Peers that send nothing fill the descriptors of a small sender.
        let crowded = random.random_bool(0.3);
        let (sockets, strangers) = if crowded { (64, 40.0) } else { (256, random.random_range(0.0..6.0)) };
        let sync = if random.random_bool(0.3) { "group" } else { "none" };
        let short_counts = if random.random_bool(0.3) { random.random_range(1..=30) } else { 0 };
        let text = format!(
            "seconds = {SECONDS}\nsenders = {senders}\n\
             [traffic]\nrate = 40.0\nload = 0.6\n\
             [platform]\ndestinations = {DESTINATIONS}\nendpoints = {}\nnotice_s = [0.05, 0.8]\n\
             [clients]\nstrangers = {strangers:.1}\n\
             [program]\nsockets = {sockets}\nsync = '{sync}'\nshort_counts = {short_counts}\n",
            2 * DESTINATIONS + 4,
        );
        ExperimentBuilder { text, random, senders }
    }

    fn event(&mut self, what: &str, at: f64, rest: &str) {
        writeln!(self.text, "[[event]]\nwhat = '{what}'\nat = {at:.2}\n{rest}").expect("a string grows");
    }

    fn time(&mut self) -> f64 {
        self.random.random_range(1.0..LAST_EVENT)
    }

    fn sender(&mut self) -> u32 {
        self.random.random_range(0..self.senders)
    }

    /// Endpoints drain, are removed, and new ones are added.
    fn replacements(&mut self) {
        for destination in 0..REPLACEABLE {
            let at = self.time();
            self.event("replace", at, &format!("for = 4.0\nwhich = [{destination}]"));
        }
    }

    /// Discovery falls silent, refuses or is crowded, one after the other.
    fn discovery_faults(&mut self) {
        let mut at = self.random.random_range(0.5..2.5);
        while at < LAST_EVENT {
            let kinds = ["discovery-silent", "discovery-silent", "discovery-refuses", "discovery-crowded"];
            let kind = *kinds.choose(&mut self.random).expect("there are kinds");
            let lasts = self.random.random_range(0.2..4.0);
            let size = if kind == "discovery-crowded" { "\nsize = 2.0" } else { "" };
            self.event(kind, at, &format!("for = {lasts:.2}{size}"));
            at += lasts + self.random.random_range(0.3..3.0);
        }
        let reset_at = self.time();
        self.event("discovery-resets", reset_at, "");
    }

    /// Discovery moves, with a SIGHUP to each sender, several times in quick succession.
    fn moves(&mut self) {
        let mut at = self.time();
        for _ in 0..self.random.random_range(0..=3) {
            self.event("discovery-moves", at, "");
            at += self.random.random_range(0.1..1.0);
        }
    }

    /// Processes are killed, told to end, or held up for as long as production does.
    fn process_faults(&mut self) {
        for kind in ["kill", "terminate", "pause", "pause"] {
            let (at, sender) = (self.time(), self.sender());
            let lasts = if kind == "pause" { 0.15 } else { 0.6 };
            self.event(kind, at, &format!("for = {lasts}\nwhich = [{sender}]"));
        }
    }

    /// Links and endpoints fail.
    fn peer_faults(&mut self) {
        let kinds = ["cut", "cut-to", "cut-back", "break", "delay"];
        let kind = *kinds.choose(&mut self.random).expect("there are kinds");
        let (at, sender) = (self.time(), self.sender());
        let lasts = match kind {
            "break" => String::new(),
            "delay" => "for = 2.0\nsize = 80.0\n".into(),
            _ => format!("for = {:.2}\n", self.random.random_range(0.3..2.0)),
        };
        self.event(kind, at, &format!("{lasts}link = 'discovery'\nwhich = [{sender}]"));
        for kind in ["silent", "reset", "lose-answers"] {
            let (at, destination) = (self.time(), self.random.random_range(0..DESTINATIONS));
            let size = if kind == "silent" { "" } else { "\nsize = 0.2" };
            self.event(kind, at, &format!("for = 3.0\nwhich = [{destination}]{size}"));
        }
    }
}

/// Returns the experiment of a seed.
fn experiment(seed: u64) -> String {
    let mut builder = ExperimentBuilder::new(Seed(seed).stream("soak", 0));
    builder.replacements();
    builder.discovery_faults();
    builder.moves();
    builder.process_faults();
    builder.peer_faults();
    builder.text
}

fn play_once(program: &Path, folder: &ExperimentFolder, text: &str, seed: u64) -> Played {
    let spec = Spec::parse("soak.toml".as_ref(), text).expect("the experiment is valid");
    let plan = Arc::new(Plan::draw(&spec, Seed(seed)));
    let senders = folder.senders_folder(seed).expect("a folder can be created");
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    let runtime = runtime.worker_threads(2).enable_all().build().expect("the runtime starts");
    let progress = watch::Sender::new(Progress::Starting { ready: 0 });
    let played = runtime.block_on(play(&plan, program, &senders, &progress)).expect("the play runs");
    folder.save(&plan, &played).expect("the play can be written");
    played
}

/// Plays a seed, again if the play is void.
fn play_seed(program: &Path, folder: &ExperimentFolder, seed: u64) -> Played {
    let text = experiment(seed);
    let mut played = play_once(program, folder, &text, seed);
    for _ in 0..MAX_REPEATS {
        if played.verdict.void.is_some() {
            played = play_once(program, folder, &text, seed);
        }
    }
    played
}

/// Reads a number from an environment variable.
fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |value| value.parse().expect("a number"))
}

#[test]
fn senders_keep_the_rules_under_drawn_faults() {
    let program = program::find_for_test().expect("the whole workspace is built: cargo test --workspace");
    let first = env_number("SEED", DEFAULT_SEED);
    let seeds = first..first + env_number("SEEDS", DEFAULT_SEEDS);
    println!("seeds {seeds:?}");
    let temporary = tempfile::tempdir().expect("a temporary folder can be created");
    let out = std::env::var("OUT").map_or(temporary.path().join("plays"), PathBuf::from);
    let folder = ExperimentFolder::create(&out).expect("a folder can be created");
    let next = AtomicU64::new(seeds.start);
    let (broken, valid) = (Mutex::new(Vec::new()), AtomicU64::new(0));
    std::thread::scope(|threads| {
        for _ in 0..env_number("PARALLEL", DEFAULT_PARALLEL) {
            threads.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if !seeds.contains(&seed) {
                    return;
                }
                let verdict = play_seed(&program, &folder, seed).verdict;
                println!(
                    "seed {seed}: void {:?}, {:?}, broken {:#?}",
                    verdict.void, verdict.counts, verdict.violations
                );
                if verdict.void.is_none() {
                    valid.fetch_add(1, Ordering::SeqCst);
                    if !verdict.violations.is_empty() {
                        broken.lock().unwrap().push((seed, verdict.violations));
                    }
                }
            });
        }
    });
    let broken = broken.into_inner().unwrap();
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(valid.into_inner() > 0, "all plays are void: the machine was too busy");
}
