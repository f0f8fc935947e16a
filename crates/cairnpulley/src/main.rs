//! cairnpulley: the command line of the senders' fleet. Arguments and printing; the work is done in the crates below.
mod logging;
mod output;
mod state;
mod testbed;

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "Runs and proves fleets of senders")]
struct Cli {
    /// Form of the log, which goes to standard error.
    #[arg(long, value_enum, default_value_t, global = true)]
    log_format: logging::Format,
    /// What is logged, as `info` or `testbed=debug`.
    #[arg(long, default_value = "warn", global = true)]
    log: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays the platform round three real senders, with an outage and a SIGKILL, and judges what came of it.
    ///
    /// Exits with 0 if all promises were kept, 1 if one was broken, 3 if the play says nothing of the senders.
    Demo(Demo),
    /// The testbed: experiments with real senders.
    #[command(subcommand, alias = "range")]
    Testbed(Testbed),
    /// A sender's lasting folder: what it holds, whether it is sound, and ways out of it.
    ///
    /// Exits with 0 if it is sound, 1 if something in it is damaged, 2 if it can't be read or written.
    #[command(subcommand)]
    State(state::Command),
}

#[derive(Args)]
struct Demo {
    /// How long clients hand messages in.
    #[arg(long, default_value_t = 30.0)]
    seconds: f64,
    #[command(flatten)]
    play: Play,
}

#[derive(Args)]
struct Play {
    /// The seed that everything is drawn from; a new one is drawn and printed if absent.
    #[arg(long)]
    seed: Option<u64>,
    /// Prints the verdict as JSON on standard output.
    #[arg(long)]
    json: bool,
    /// The sender's program; that of this build if absent.
    #[arg(long, value_name = "PATH")]
    sender: Option<PathBuf>,
    /// Keeps facts, plan, verdicts and the senders' folders in this folder, which must not exist yet.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Testbed {
    /// Plays an experiment with real senders on loopback.
    ///
    /// Exits as `demo` does.
    Run {
        file: PathBuf,
        #[command(flatten)]
        play: Play,
        /// Sets a value of the file, as `traffic.rate=80`; may be given several times.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// Plays an experiment in simulated time, with the senders' decision module alone.
    ///
    /// One seed gives the same figures each time. Exits as `demo` does.
    Sim {
        file: PathBuf,
        /// The seed that everything is drawn from; a new one is drawn and printed if absent.
        #[arg(long)]
        seed: Option<u64>,
        /// Prints the verdict as JSON on standard output.
        #[arg(long)]
        json: bool,
        /// Keeps facts, plan and verdicts in this folder, which must not exist yet.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// Sets a value of the file, as `senders=1000`; may be given several times.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// Compares two folders of plays, paired by seed: is B better than A, worse, or inside the noise?
    ///
    /// Exits with 1 if B's service is worse, or if it breaks rules where A does not.
    Compare {
        a: PathBuf,
        b: PathBuf,
        /// Prints the comparison as JSON on standard output.
        #[arg(long)]
        json: bool,
    },
    /// Writes a page about the plays in a folder: verdicts, latency, outcomes and limits over time, faults.
    Report {
        dir: PathBuf,
        /// Where the page goes; `report.html` in that folder if absent.
        #[arg(long, value_name = "FILE")]
        to: Option<PathBuf>,
    },
    /// Reads an experiment, and prints what would be played.
    Check {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(error) = logging::start(cli.log_format, &cli.log) {
        eprintln!("cairnpulley: --log {}: {error}", cli.log);
        return output::Exit::Usage.into();
    }
    let done = match cli.command {
        Command::Demo(demo) => testbed::demo(demo.seconds, &demo.play),
        Command::Testbed(Testbed::Run { file, play, set }) => testbed::run(&file, &set, &play),
        Command::Testbed(Testbed::Sim { file, seed, json, out, set }) => {
            testbed::sim(&file, &set, &Play { seed, json, out, sender: None })
        }
        Command::Testbed(Testbed::Compare { a, b, json }) => testbed::compare(&a, &b, json),
        Command::Testbed(Testbed::Report { dir, to }) => testbed::report(&dir, to.as_deref()),
        Command::Testbed(Testbed::Check { file, seed }) => testbed::check(&file, seed),
        Command::State(command) => match state::run(&command) {
            Ok(exit) => return exit.into(),
            Err(error) => {
                eprintln!("cairnpulley: {error}");
                return output::Exit::Usage.into();
            }
        },
    };
    match done {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("cairnpulley: {error}");
            output::Exit::Usage.into()
        }
    }
}
