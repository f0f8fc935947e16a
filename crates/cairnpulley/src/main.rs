//! `cairnpulley`, the command line: parses arguments and prints results. The library crates do the work.
mod logging;
mod output;
mod state;
mod testbed;

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "Runs and tests fleets of senders")]
struct Cli {
    /// Format of the log on standard error.
    #[arg(long, value_enum, default_value_t, global = true)]
    log_format: logging::Format,
    /// Filter of the log, such as `info` or `testbed=debug`.
    #[arg(long, default_value = "warn", global = true)]
    log: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays an experiment with three real senders, an outage and a SIGKILL, and judges the outcome.
    ///
    /// Exits with 0 if all rules were kept, 1 if one was broken, 3 if the play is void and says nothing about
    /// the senders.
    Demo(DemoArgs),
    /// Plays experiments, compares them and reports on them.
    #[command(subcommand, alias = "range")]
    Testbed(TestbedCommand),
    /// Shows, verifies, exports or repairs the state folder of a sender.
    ///
    /// Exits with 0 if the folder is sound, 1 if something in it is damaged, 2 if it can't be read or
    /// written.
    #[command(subcommand)]
    State(state::Command),
}

#[derive(Args)]
struct DemoArgs {
    /// How many seconds clients hand in messages.
    #[arg(long, default_value_t = 30.0)]
    seconds: f64,
    #[command(flatten)]
    play: PlayArgs,
}

#[derive(Args)]
struct PlayArgs {
    /// Seed of all random draws; if absent, a new one is chosen and printed.
    #[arg(long)]
    seed: Option<u64>,
    /// Prints the verdict as JSON on standard output.
    #[arg(long)]
    json: bool,
    /// Program of the senders; if absent, that of this build.
    #[arg(long, value_name = "PATH")]
    sender: Option<PathBuf>,
    /// Writes facts, plan, verdicts and the senders' folders to this folder, which must not exist yet.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
}

#[derive(Subcommand)]
enum TestbedCommand {
    /// Plays an experiment with real senders on loopback.
    ///
    /// The exit codes are those of `demo`.
    Run {
        file: PathBuf,
        #[command(flatten)]
        play: PlayArgs,
        /// Overrides a value of the file, such as `traffic.rate=80`; may be given several times.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// Plays an experiment in simulated time, with only the decision module of the senders.
    ///
    /// The same seed gives the same figures each time. The exit codes are those of `demo`.
    Sim {
        file: PathBuf,
        /// Seed of all random draws; if absent, a new one is chosen and printed.
        #[arg(long)]
        seed: Option<u64>,
        /// Prints the verdict as JSON on standard output.
        #[arg(long)]
        json: bool,
        /// Writes facts, plan and verdicts to this folder, which must not exist yet.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// Overrides a value of the file, such as `senders=1000`; may be given several times.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// Compares two folders of plays, paired by seed: whether B is better than A, worse, or inside the noise.
    ///
    /// Exits with 1 if B's service is worse, or if more plays of B than of A break rules.
    Compare {
        a: PathBuf,
        b: PathBuf,
        /// Prints the comparison as JSON on standard output.
        #[arg(long)]
        json: bool,
    },
    /// Writes an HTML page about the plays in a folder: verdicts, faults, and latency, outcomes and limits
    /// over time.
    Report {
        dir: PathBuf,
        /// File of the page; if absent, `report.html` in the folder.
        #[arg(long, value_name = "FILE")]
        to: Option<PathBuf>,
    },
    /// Checks an experiment and prints its schedule without playing it.
    Check {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(error) = logging::init(cli.log_format, &cli.log) {
        eprintln!("cairnpulley: --log {}: {error}", cli.log);
        return output::Exit::Error.into();
    }
    let result = match cli.command {
        Command::Demo(demo) => testbed::demo(demo.seconds, &demo.play),
        Command::Testbed(TestbedCommand::Run { file, play, set }) => testbed::run(&file, &set, &play),
        Command::Testbed(TestbedCommand::Sim { file, seed, json, out, set }) => {
            testbed::sim(&file, &set, &PlayArgs { seed, json, out, sender: None })
        }
        Command::Testbed(TestbedCommand::Compare { a, b, json }) => testbed::compare(&a, &b, json),
        Command::Testbed(TestbedCommand::Report { dir, to }) => testbed::report(&dir, to.as_deref()),
        Command::Testbed(TestbedCommand::Check { file, seed }) => testbed::check(&file, seed),
        Command::State(command) => match state::run(&command) {
            Ok(exit) => return exit.into(),
            Err(error) => {
                eprintln!("cairnpulley: {error}");
                return output::Exit::Error.into();
            }
        },
    };
    match result {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("cairnpulley: {error}");
            output::Exit::Error.into()
        }
    }
}
