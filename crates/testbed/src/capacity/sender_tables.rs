//! Tables that compare a real sender before and after a change.
use super::measured::{Measured, MeasuredError};
use super::table::{megabytes, percent, short, Table};
use std::path::Path;

/// Returns the rows of both programs of a run, paired by size.
fn row_pairs(folder: &Path) -> Result<Vec<(Measured, Measured)>, MeasuredError> {
    let run = Measured::read(folder, "sender")?;
    let (before, after) = (run.list("/programs/0/rows")?, run.list("/programs/1/rows")?);
    Ok(before.into_iter().zip(after).collect())
}

/// Time until readiness, fetched lists and memory.
pub(super) fn start(folder: &Path) -> Result<Table, MeasuredError> {
    let mut table = Table::new(&[
        "destinations",
        "ready, before",
        "after",
        "lists fetched by then, before",
        "after",
        "idle, before",
        "after",
        "most, before",
        "after",
    ]);
    for (before, after) in row_pairs(folder)? {
        let ready = |row: &Measured| -> Result<String, MeasuredError> {
            let time = row.number_if_any("/ready_ms")?;
            let time = time.map_or("never".into(), |ms| format!("{} ms", short(ms.round())));
            let has_list = row.number("/traffic/0/outcome/calls")? > 0.0;
            Ok(if has_list { time } else { format!("{time}, without a list") })
        };
        let fetched = |row: &Measured| -> Result<String, MeasuredError> {
            let (lists, bytes) = (row.number("/fetched/whole_lists")?, row.number("/fetched/bytes")?);
            Ok(format!("{} ({} MB)", short(lists), megabytes(bytes)))
        };
        table.row(vec![
            short(after.number("/destinations")?),
            ready(&before)?,
            ready(&after)?,
            fetched(&before)?,
            fetched(&after)?,
            megabytes(before.number("/idle_memory")?),
            megabytes(after.number("/idle_memory")?),
            megabytes(before.number("/most_memory")?),
            megabytes(after.number("/most_memory")?),
        ]);
    }
    Ok(table)
}

/// Outcome and cost of traffic at the rate of a sender of the fleet, and at a higher one.
pub(super) fn traffic(folder: &Path) -> Result<Table, MeasuredError> {
    let mut table = Table::new(&[
        "destinations",
        "traffic",
        "taken on",
        "delivered, before",
        "after",
        "connections by call, after",
        "descriptors",
        "MB, after",
        "processor, before",
        "after",
        "healthz p99, ms, after",
        "the loop ran at most, ms",
    ]);
    for (before, after) in row_pairs(folder)? {
        let destinations = short(after.number("/destinations")?);
        for (before, after) in before.list("/traffic")?.iter().zip(after.list("/traffic")?) {
            let delivered = |load: &Measured| -> Result<String, MeasuredError> {
                let (taken, done) =
                    (load.number("/outcome/taken_on_for_live")?, load.number("/outcome/delivered")?);
                Ok(percent(done, taken))
            };
            let processor = |load: &Measured| -> Result<String, MeasuredError> {
                Ok(percent(load.number("/processor_share")?, 1.0))
            };
            let (skew, rate) = (after.text("/outcome/skew")?, after.number("/outcome/per_second")?);
            let taken_on = percent(after.number("/outcome/taken_on")?, after.number("/outcome/handed_in")?);
            table.row(vec![
                destinations.clone(),
                format!("{skew}, {} a second", short(rate)),
                taken_on,
                delivered(before)?,
                delivered(&after)?,
                short(after.number("/connections_by_call")?),
                short(after.number("/most_descriptors")?),
                megabytes(after.number("/memory")?),
                processor(before)?,
                processor(&after)?,
                short(after.number("/holds/p99_ms")?),
                short(after.number("/holds/most_ran_ms")?),
            ]);
        }
    }
    Ok(table)
}

/// Replacements of the whole list, one after the other, at the largest size.
pub(super) fn whole_lists(folder: &Path) -> Result<Table, MeasuredError> {
    let mut table = Table::new(&[
        "run",
        "list",
        "the loop ran at most, ms",
        "longest `GET /healthz`, ms",
        "in it the loop ran",
        "waited for a processor",
        "the probe's latest waking, ms",
        "longest answer to a message, ms",
        "MB after it",
        "most MB so far",
    ]);
    let (full, alone) = (Measured::read(folder, "sender")?, Measured::read(folder, "sender-whole-lists")?);
    for (run, rows) in [("full", full.list("/programs/1/rows")?), ("alone", alone.list("/programs/0/rows")?)]
    {
        let Some(largest) = rows.last() else { continue };
        for (index, replacement) in largest.list("/replacements")?.into_iter().enumerate() {
            table.row(vec![
                run.into(),
                (index + 1).to_string(),
                short(replacement.number("/holds/most_ran_ms")?),
                short(replacement.number("/holds/longest_ms")?),
                short(replacement.number("/holds/longest/loop_ran_ms")?),
                short(replacement.number("/holds/longest/loop_waited_ms")?),
                short(replacement.number("/holds/late_longest_ms")?),
                short(replacement.number("/outcome/answer_ms_max")?),
                megabytes(replacement.number("/memory")?),
                megabytes(replacement.number("/most_memory")?),
            ]);
        }
    }
    Ok(table)
}
