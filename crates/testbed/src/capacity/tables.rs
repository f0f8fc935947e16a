//! The tables of the page by name.
use super::measured::{Measured, MeasuredError};
use super::sender_tables;
use super::table::{short, Table};
use crate::scale::traffic::{expected_destinations, Skew};
use std::path::Path;

/// Messages per second of a sender of the fleet at the planned size.
const MESSAGES_PER_SECOND: f64 = 106.0;
/// Destinations at the planned size.
const DESTINATIONS: u32 = 350_000;
/// Held messages at the planned size.
const HELD_MESSAGES: f64 = 13.9e6;

/// Returns the table of a name, or `None` if there is none.
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

/// The measurement that a line was fitted to.
#[derive(Clone, Copy)]
enum Source {
    Sender,
    SenderBefore,
    Module,
    ModuleBefore,
}

impl Source {
    /// Returns the name of its command on the page.
    fn name(self) -> &'static str {
        match self {
            Source::Sender => "sender",
            Source::SenderBefore => "sender, before",
            Source::Module => "module",
            Source::ModuleBefore => "module, before",
        }
    }

    /// Returns its fitted lines.
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

/// A row of the table of slopes: title, unit, measurement, name of the fitted line, and planned size.
type SlopeRow = (&'static str, &'static str, Source, &'static str, f64);

/// Planned size of rows by destination.
const ALL_DESTINATIONS: f64 = DESTINATIONS as f64;
/// Planned size of rows that need no extrapolation: the module holds state for no more destinations than were
/// measured.
const MEASURED_RANGE: f64 = 0.0;

const SLOPES: [SlopeRow; 15] = [
    ("list, bytes by destination", "B", Source::Sender, "list_bytes_by_destination", ALL_DESTINATIONS),
    (
        "catalogue, heap by destination",
        "B",
        Source::Module,
        "catalogue_bytes_by_listed_destination",
        ALL_DESTINATIONS,
    ),
    (
        "sender idle, resident by destination",
        "B",
        Source::Sender,
        "idle_memory_by_destination",
        ALL_DESTINATIONS,
    ),
    ("sender idle, before", "B", Source::SenderBefore, "idle_memory_by_destination", ALL_DESTINATIONS),
    ("sender, most, by destination", "B", Source::Sender, "most_memory_by_destination", ALL_DESTINATIONS),
    ("ready, by destination", "ms", Source::Sender, "ready_ms_by_destination", ALL_DESTINATIONS),
    (
        "intake of a whole list, by destination",
        "ms",
        Source::Module,
        "intake_ms_by_listed_destination",
        ALL_DESTINATIONS,
    ),
    (
        "module, by listed destination",
        "B",
        Source::Module,
        "module_bytes_by_listed_destination",
        ALL_DESTINATIONS,
    ),
    (
        "module, by listed destination, before",
        "B",
        Source::ModuleBefore,
        "module_bytes_by_told_destination",
        ALL_DESTINATIONS,
    ),
    (
        "module, by known destination",
        "B",
        Source::Module,
        "module_bytes_by_known_destination",
        MEASURED_RANGE,
    ),
    ("module, by held message", "B", Source::Module, "module_bytes_by_held_message", HELD_MESSAGES),
    (
        "longest round, by held message",
        "us",
        Source::Module,
        "longest_round_us_by_held_message",
        HELD_MESSAGES,
    ),
    ("longest round, before", "us", Source::ModuleBefore, "longest_round_us_by_held_message", HELD_MESSAGES),
    ("real sender, resident by held message", "B", Source::Sender, "memory_by_held_message", HELD_MESSAGES),
    ("state folder, by held message", "B", Source::Sender, "state_bytes_by_held_message", HELD_MESSAGES),
];

/// Fitted slopes, with how far the planned size lies beyond the measured ones.
fn slopes(folder: &Path) -> Result<Table, MeasuredError> {
    let mut table =
        Table::new(&["what", "slope", "standard error", "at none", "residual", "sizes", "reach", "command"]);
    for (title, unit, source, fit, planned_size) in SLOPES {
        let line = source.fits(folder)?.at(&format!("/{fit}"))?;
        let reach_factor = planned_size / line.number("/measured_to")?;
        let reach =
            if reach_factor <= 1.0 { "none".into() } else { format!("{} times", short(reach_factor)) };
        table.row(vec![
            title.into(),
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

/// Propagation of changes through a fleet.
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

/// Expected number of destinations that a sender gets messages for in a span of time.
fn active() -> Table {
    let mut table = Table::new(&["span", "messages", "destinations, zipf", "destinations, uniform"]);
    for seconds in [10.0, 60.0, 600.0, 3_600.0, 86_400.0] {
        let messages = MESSAGES_PER_SECOND * seconds;
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
