//! The page's tables by name.
use super::measured::{Measured, MeasuredError};
use super::sender_tables;
use super::table::{short, Table};
use crate::scale::traffic::{expected_destinations, Skew};
use std::path::Path;

/// Messages a second that a sender of the fleet takes, destinations, and held messages, at the size planned for.
const RATE: f64 = 106.0;
const DESTINATIONS: u32 = 350_000;
const HELD: f64 = 13.9e6;

/// A table of the page; none of that name.
pub(super) fn table(name: &str, folder: &Path) -> Result<Option<Table>, MeasuredError> {
    Ok(Some(match name {
        "start" => sender_tables::start(folder)?,
        "traffic" => sender_tables::traffic(folder)?,
        "whole lists" => sender_tables::whole_lists(folder)?,
        "slopes" => slopes(folder)?,
        "fleet" => fleet(folder)?,
        "active" => active(),
        _ => return Ok(None),
    }))
}

/// Where a line was fitted.
#[derive(Clone, Copy)]
enum Source {
    Sender,
    SenderBefore,
    Module,
    ModuleBefore,
}

impl Source {
    /// As the page names its command.
    fn name(self) -> &'static str {
        match self {
            Source::Sender => "sender",
            Source::SenderBefore => "sender, before",
            Source::Module => "module",
            Source::ModuleBefore => "module, before",
        }
    }

    fn fits(self, folder: &Path) -> Result<Measured, MeasuredError> {
        let (file, path) = match self {
            Source::Sender => ("sender", "/programs/1/fits"),
            Source::SenderBefore => ("sender", "/programs/0/fits"),
            Source::Module => ("module-after", "/fits"),
            Source::ModuleBefore => ("module-before", "/fits"),
        };
        Measured::read(folder, file)?.at(path)
    }
}

/// A line of the page: what, its unit, where it was fitted and under which name, and the size planned for.
type Slope = (&'static str, &'static str, Source, &'static str, f64);

const ALL: f64 = DESTINATIONS as f64;
/// The module holds state for no more destinations than were measured.
const BOUNDED: f64 = 0.0;

const SLOPES: [Slope; 15] = [
    ("list, bytes by destination", "B", Source::Sender, "list_bytes_by_destination", ALL),
    ("catalogue, heap by destination", "B", Source::Module, "catalogue_bytes_by_listed_destination", ALL),
    ("sender idle, resident by destination", "B", Source::Sender, "idle_memory_by_destination", ALL),
    ("sender idle, before", "B", Source::SenderBefore, "idle_memory_by_destination", ALL),
    ("sender, most, by destination", "B", Source::Sender, "most_memory_by_destination", ALL),
    ("ready, by destination", "ms", Source::Sender, "ready_ms_by_destination", ALL),
    ("intake of a whole list, by destination", "ms", Source::Module, "intake_ms_by_listed_destination", ALL),
    ("module, by listed destination", "B", Source::Module, "module_bytes_by_listed_destination", ALL),
    (
        "module, by listed destination, before",
        "B",
        Source::ModuleBefore,
        "module_bytes_by_told_destination",
        ALL,
    ),
    ("module, by known destination", "B", Source::Module, "module_bytes_by_known_destination", BOUNDED),
    ("module, by held message", "B", Source::Module, "module_bytes_by_held_message", HELD),
    ("longest round, by held message", "us", Source::Module, "longest_round_us_by_held_message", HELD),
    ("longest round, before", "us", Source::ModuleBefore, "longest_round_us_by_held_message", HELD),
    ("real sender, resident by held message", "B", Source::Sender, "memory_by_held_message", HELD),
    ("state folder, by held message", "B", Source::Sender, "state_bytes_by_held_message", HELD),
];

fn slopes(folder: &Path) -> Result<Table, MeasuredError> {
    let mut table =
        Table::new(&["what", "slope", "standard error", "at none", "residual", "sizes", "reach", "command"]);
    for (what, unit, source, fit, target) in SLOPES {
        let line = source.fits(folder)?.at(&format!("/{fit}"))?;
        let beyond = target / line.number("/measured_to")?;
        let reach = if beyond <= 1.0 { "none".into() } else { format!("{} times", short(beyond)) };
        table.row(vec![
            what.into(),
            format!("{} {unit}", short(line.number("/slope")?)),
            short(line.number("/slope_error")?),
            short(line.number("/intercept")?.round()),
            short(line.number("/residual")?.round()),
            short(line.number("/points")?),
            reach,
            source.name().into(),
        ]);
    }
    Ok(table)
}

fn fleet(folder: &Path) -> Result<Table, MeasuredError> {
    let mut table = Table::new(&[
        "stretch",
        "changes",
        "in force everywhere",
        "each sender p50 / p99",
        "last sender p50 / p99 / most",
        "answers, of them empty",
        "whole lists",
    ]);
    let run = Measured::read(folder, "fleet")?;
    let stretches = [
        ("one by one", "/single"),
        ("5 bursts of 50 at once", "/bursts"),
        ("a region cut off for 142 changes, and healed", "/region_cut/stretch"),
    ];
    for (name, path) in stretches {
        let stretch = run.at(path)?;
        let in_force = |field: &str| stretch.number(&format!("/in_force/{field}")).map(f64::round).map(short);
        let count = |field: &str| stretch.number(&format!("/counts/{field}"));
        let empty = count("empty_answers")?;
        table.row(vec![
            name.into(),
            in_force("changes")?,
            in_force("everywhere")?,
            format!("{} / {} ms", in_force("each_p50_ms")?, in_force("each_p99_ms")?),
            format!(
                "{} / {} / {} ms",
                in_force("last_sender_p50_ms")?,
                in_force("last_sender_p99_ms")?,
                in_force("last_sender_max_ms")?
            ),
            format!("{}, {}", short(count("change_answers")? + empty), short(empty)),
            short(count("whole_lists")?),
        ]);
    }
    Ok(table)
}

/// How many destinations a sender has had messages for in a span of time.
fn active() -> Table {
    let mut table = Table::new(&["span", "messages", "destinations, zipf", "destinations, uniform"]);
    for seconds in [10.0, 60.0, 600.0, 3_600.0, 86_400.0] {
        let messages = RATE * seconds;
        let expected = |skew| short(expected_destinations(skew, DESTINATIONS, messages).round());
        table.row(vec![
            format!("{} s", short(seconds)),
            short(messages),
            expected(Skew::Zipf),
            expected(Skew::Uniform),
        ]);
    }
    table
}
