//! Terminal output: progress while a play runs, and tables of results.
use comfy_table::{presets::UTF8_FULL_CONDENSED, CellAlignment, Table};
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::process::ExitCode;
use std::time::Duration;
use testbed::clock::SECOND;
use testbed::compare::{Comparison, FigureComparison};
use testbed::judge::Rule;
use testbed::play::{Progress, Verdict};
use tokio::sync::watch;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The rules were kept, or the state folder is sound.
    Success,
    /// A rule was broken, B of a comparison is worse or breaks rules in more plays, or the state folder is
    /// damaged.
    Failure,
    /// The arguments are wrong, or something could not be read, written or started.
    Error,
    /// The play is void: it says nothing about the senders.
    Void,
    /// The user interrupted the play.
    Interrupted,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::Error => 2,
            Exit::Void => 3,
            Exit::Interrupted => 130,
        })
    }
}

impl Exit {
    /// The exit code for a verdict.
    pub fn for_verdict(verdict: &Verdict) -> Exit {
        // In a void play, broken rules say nothing about the senders either.
        match (&verdict.void, verdict.violations.is_empty()) {
            (Some(_), _) => Exit::Void,
            (None, true) => Exit::Success,
            (None, false) => Exit::Failure,
        }
    }
}

/// Seconds between lines of progress if standard error is not a terminal.
const PROGRESS_INTERVAL_S: i64 = 5;

/// Shows the progress of a play on standard error until the play is over.
pub async fn show_progress(mut progress: watch::Receiver<Progress>, senders: usize, seconds: f64) {
    let terminal = std::io::stderr().is_terminal();
    let bar = if terminal { ProgressBar::new(seconds.ceil() as u64) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} s  {msg}") {
        bar.set_style(style);
    }
    let mut last_line = String::new();
    loop {
        let now = *progress.borrow_and_update();
        let (line, at) = match now {
            Progress::Starting { ready } => (format!("starting: {ready} of {senders} senders ready"), 0),
            Progress::Playing { at } => ("playing".to_string(), at / SECOND),
            Progress::Ending { open } => (format!("{open} messages have not ended yet"), seconds as i64),
            Progress::Finished => break,
        };
        if terminal {
            bar.set_position(at.max(0) as u64);
            bar.set_message(line);
        } else {
            let line = match now {
                Progress::Playing { .. } => {
                    format!("playing: {} of {seconds} s", at - at % PROGRESS_INTERVAL_S)
                }
                Progress::Ending { .. } => "waiting until all accepted messages have ended".to_string(),
                _ => line,
            };
            if line != last_line {
                eprintln!("{line}");
                last_line = line;
            }
        }
        if progress.changed().await.is_err() {
            break;
        }
        // Updates the display ten times a second at most.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    bar.finish_and_clear();
}

/// A table with names in the first column and right-aligned figures in the others.
fn table<const N: usize>(rows: Vec<[String; N]>) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_FULL_CONDENSED).add_rows(rows);
    for number in 1..N {
        if let Some(column) = table.column_mut(number) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table
}

/// Prints the comparison of two folders of plays.
pub fn print_comparison(comparison: &Comparison) {
    let number = |x: f64| if x.abs() >= 100.0 { format!("{x:.0}") } else { format!("{x:.3}") };
    let row = |l: &FigureComparison| {
        let spread = format!("{} to {}", number(l.low), number(l.high));
        [l.figure.to_string(), number(l.a), number(l.b), spread, l.assessment.name().to_string()]
    };
    let header = ["", "A", "B", "B - A, 95%", "B is"].map(String::from);
    println!("{} pairs of plays by seed", comparison.pairs);
    println!("{}", table(std::iter::once(header).chain(comparison.lines.iter().map(row)).collect()));
    let [a, b] = comparison.broken;
    println!("plays with broken rules: A {a}, B {b}");
    if !comparison.left_out.is_empty() {
        println!("left out, as void or not played on both sides: seeds {:?}", comparison.left_out);
    }
}

/// Prints the verdict of a play.
pub fn print_verdict(verdict: &Verdict) {
    let counts = &verdict.counts;
    let share = |n: usize| format!("{n} ({:.1}%)", 100.0 * n as f64 / counts.asked.max(1) as f64);
    let rules_kept = Rule::ALL.len() - broken_rules(verdict).len();
    let lost = match counts.lost_with_folder {
        0 => counts.lost.to_string(),
        n => format!("{} ({n} with a folder)", counts.lost),
    };
    let rows = vec![
        ["asked for".into(), counts.asked.to_string()],
        ["delivered in time".into(), share(counts.in_time)],
        ["late".into(), share(counts.late)],
        ["handed back".into(), share(counts.handed_back)],
        ["given up".into(), share(counts.given_up)],
        ["never answered".into(), share(counts.unheard)],
        ["lost".into(), lost],
        ["repeated".into(), counts.repeated.to_string()],
        ["rules kept".into(), format!("{rules_kept} of {}", Rule::ALL.len())],
        ["service G".into(), format!("{:.3}", verdict.service.g)],
        [
            "delivery p50, p99".into(),
            format!("{:.0}, {:.0} ms", verdict.latency.p50_ms, verdict.latency.p99_ms),
        ],
        ["calls, over a limit".into(), format!("{}, {}", counts.calls, counts.over_limit)],
        ["testbed late, p99".into(), format!("{:.1} ms", verdict.lateness_p99_ms)],
    ];
    let holds = |n: usize| ["machine holds about".to_string(), format!("{n} such senders")];
    let rows: Vec<_> = rows.into_iter().chain(verdict.max_senders.map(holds)).collect();
    println!("{}, seed {}, {} senders", verdict.title, verdict.seed, verdict.senders);
    println!("{}", table(rows));
    for (rule, count, first) in broken_rules(verdict) {
        println!("BROKEN {} ({count}): {first}", rule.name());
    }
    if let Some(why) = &verdict.void {
        println!("VOID: {why}");
    }
}

/// The broken rules, each with the number of breaks and a description of the first.
fn broken_rules(verdict: &Verdict) -> Vec<(Rule, usize, &str)> {
    let summary = |rule: Rule| {
        let mut breaks = verdict.violations.iter().filter(move |b| b.rule == rule);
        breaks.next().map(|first| (rule, 1 + breaks.count(), first.description.as_str()))
    };
    Rule::ALL.into_iter().filter_map(summary).collect()
}
