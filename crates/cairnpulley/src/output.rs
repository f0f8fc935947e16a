//! What a person sees: progress while a play runs, and its outcome as a table.
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

/// How the program ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    Kept,
    Broken,
    Usage,
    Void,
    Interrupted,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Kept => 0,
            Exit::Broken => 1,
            Exit::Usage => 2,
            Exit::Void => 3,
            Exit::Interrupted => 130,
        })
    }
}

impl Exit {
    pub fn of(verdict: &Verdict) -> Exit {
        // A void play says nothing of the senders, broken rules included.
        match (&verdict.void, verdict.violations.is_empty()) {
            (Some(_), _) => Exit::Void,
            (None, true) => Exit::Kept,
            (None, false) => Exit::Broken,
        }
    }
}

/// Seconds between lines of progress where there is no terminal.
const EACH: i64 = 5;

/// Shows on standard error how far a play is, until it is over.
pub async fn show(mut progress: watch::Receiver<Progress>, senders: usize, seconds: f64) {
    let terminal = std::io::stderr().is_terminal();
    let bar = if terminal { ProgressBar::new(seconds.ceil() as u64) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} s  {msg}") {
        bar.set_style(style);
    }
    let mut said = String::new();
    loop {
        let now = *progress.borrow_and_update();
        let (line, at) = match now {
            Progress::Starting { ready } => (format!("starting: {ready} of {senders} senders ready"), 0),
            Progress::Playing { at } => ("playing".to_string(), at / SECOND),
            Progress::Ending { open } => (format!("{open} messages have no end yet"), seconds as i64),
            Progress::Finished => break,
        };
        if terminal {
            bar.set_position(at.max(0) as u64);
            bar.set_message(line);
        } else {
            let line = match now {
                Progress::Playing { .. } => format!("playing: {} of {seconds} s", at - at % EACH),
                Progress::Ending { .. } => "waiting until all that was taken on has ended".to_string(),
                _ => line,
            };
            if line != said {
                eprintln!("{line}");
                said = line;
            }
        }
        if progress.changed().await.is_err() {
            break;
        }
        // Often enough for the eye.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    bar.finish_and_clear();
}

/// A table whose first column is names and the others figures.
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

pub fn print_comparison(compared: &Comparison) {
    let number = |x: f64| if x.abs() >= 100.0 { format!("{x:.0}") } else { format!("{x:.3}") };
    let row = |l: &FigureComparison| {
        let spread = format!("{} to {}", number(l.low), number(l.high));
        [l.figure.to_string(), number(l.a), number(l.b), spread, l.assessment.name().to_string()]
    };
    let head = ["", "A", "B", "B - A, 95%", "B is"].map(String::from);
    println!("{} pairs of plays by seed", compared.pairs);
    println!("{}", table(std::iter::once(head).chain(compared.lines.iter().map(row)).collect()));
    let [a, b] = compared.broken;
    println!("plays with broken rules: A {a}, B {b}");
    if !compared.left_out.is_empty() {
        println!("left out, as void or not played on both sides: seeds {:?}", compared.left_out);
    }
}

pub fn print(verdict: &Verdict) {
    let c = &verdict.counts;
    let share = |n: usize| format!("{n} ({:.1}%)", 100.0 * n as f64 / c.asked.max(1) as f64);
    let kept = Rule::ALL.len() - broken(verdict).len();
    let lost = match c.lost_with_folder {
        0 => c.lost.to_string(),
        n => format!("{} ({n} with a folder)", c.lost),
    };
    let rows = vec![
        ["asked for".into(), c.asked.to_string()],
        ["delivered in time".into(), share(c.in_time)],
        ["late".into(), share(c.late)],
        ["handed back".into(), share(c.handed_back)],
        ["given up".into(), share(c.given_up)],
        ["never answered".into(), share(c.unheard)],
        ["lost".into(), lost],
        ["repeated".into(), c.repeated.to_string()],
        ["rules kept".into(), format!("{kept} of {}", Rule::ALL.len())],
        ["service G".into(), format!("{:.3}", verdict.service.g)],
        [
            "delivery p50, p99".into(),
            format!("{:.0}, {:.0} ms", verdict.latency.p50_ms, verdict.latency.p99_ms),
        ],
        ["calls, over a limit".into(), format!("{}, {}", c.calls, c.over_limit)],
        ["testbed late, p99".into(), format!("{:.1} ms", verdict.lateness_p99_ms)],
    ];
    let holds = |n: usize| ["machine holds about".to_string(), format!("{n} such senders")];
    let rows: Vec<_> = rows.into_iter().chain(verdict.max_senders.map(holds)).collect();
    println!("{}, seed {}, {} senders", verdict.title, verdict.seed, verdict.senders);
    println!("{}", table(rows));
    for (rule, count, first) in broken(verdict) {
        println!("BROKEN {} ({count}): {first}", rule.name());
    }
    if let Some(why) = &verdict.void {
        println!("VOID: {why}");
    }
}

/// Each broken rule, how often, and its first break.
fn broken(verdict: &Verdict) -> Vec<(Rule, usize, &str)> {
    let of = |rule: Rule| {
        let mut breaks = verdict.violations.iter().filter(move |b| b.rule == rule);
        breaks.next().map(|first| (rule, 1 + breaks.count(), first.description.as_str()))
    };
    Rule::ALL.into_iter().filter_map(of).collect()
}
