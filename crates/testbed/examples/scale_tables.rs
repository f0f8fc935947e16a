//! Prints the results of scale measurements as Markdown tables; `page` updates the tables of
//! `docs/CAPACITY.md` from the files in `docs/capacity`.
//!
//!     cargo run --release -p testbed --example scale_tables -- sender FILE... | module FILE... | fleet FILE... | page
//!
//! Runs are named after their files; the first file is usually the one from before a change.
use serde_json::Value;
use std::error::Error;
use std::path::{Path, PathBuf};
use testbed::capacity::page;
use testbed::capacity::table::{percent, short};

/// Destinations at the planned size.
const DESTINATIONS: u32 = 350_000;
const MB: f64 = 1e6;

/// A run, with the name that the tables give it.
struct Source {
    name: String,
    value: Value,
}

/// Reads the runs of a file: one, or one for each measured program.
fn read(path: &Path) -> Result<Vec<Source>, Box<dyn Error>> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let value: Value = serde_json::from_slice(&std::fs::read(path)?)?;
    let Some(programs) = value["programs"].as_array() else { return Ok(vec![Source { name, value }]) };
    let program_name = |program: &Value| program["name"].as_str().unwrap_or_default().to_string();
    let sources = programs
        .iter()
        .map(|program| Source { name: format!("{name} {}", program_name(program)), value: program.clone() });
    Ok(sources.collect())
}

/// Returns the number at a JSON pointer, or NaN if there is none.
fn number(value: &Value, path: &str) -> f64 {
    value.pointer(path).and_then(Value::as_f64).unwrap_or(f64::NAN)
}

/// Prints the head of a table.
fn print_header(names: &[&str]) {
    println!("\n| {} |", names.join(" | "));
    println!("|{}", " --- |".repeat(names.len()));
}

/// Prints a row of a table.
fn print_row(cells: &[String]) {
    println!("| {} |", cells.join(" | "));
}

/// Returns the rows of a list in a run.
fn rows<'a>(source: &'a Source, list: &str) -> &'a [Value] {
    source.value.get(list).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// Prints the tables of `scale_sender`.
fn sender(sources: &[Source]) {
    print_header(&[
        "run",
        "destinations",
        "ready",
        "lists fetched",
        "bytes",
        "idle, MB",
        "most, MB",
        "idle loop",
        "a change",
    ]);
    for (source, record) in sources.iter().flat_map(|s| rows(s, "rows").iter().map(move |r| (s, r))) {
        print_row(&[
            source.name.clone(),
            short(number(record, "/destinations")),
            format!("{} ms", short(number(record, "/ready_ms"))),
            short(number(record, "/fetched/whole_lists")),
            short(number(record, "/fetched/bytes")),
            short(number(record, "/idle_memory") / MB),
            short(number(record, "/most_memory") / MB),
            format!("{:.2}%", 100.0 * number(record, "/idle_processor_share")),
            format!("{} us", short(number(record, "/change_processor_us"))),
        ]);
    }
    print_header(&[
        "run",
        "destinations",
        "traffic",
        "a second",
        "taken on",
        "delivered",
        "connections by call",
        "descriptors",
        "used",
        "MB",
        "processor",
        "healthz p99, ms",
        "longest, ms",
    ]);
    for (source, record) in sources.iter().flat_map(|s| rows(s, "rows").iter().map(move |r| (s, r))) {
        for traffic in record["traffic"].as_array().into_iter().flatten() {
            let outcome = &traffic["outcome"];
            print_row(&[
                source.name.clone(),
                short(number(record, "/destinations")),
                outcome["skew"].as_str().unwrap_or_default().into(),
                short(number(outcome, "/per_second")),
                percent(number(outcome, "/taken_on"), number(outcome, "/handed_in")),
                percent(number(outcome, "/delivered"), number(outcome, "/taken_on_for_live")),
                short(number(traffic, "/connections_by_call")),
                short(number(traffic, "/most_descriptors")),
                short(number(outcome, "/destinations_used")),
                short(number(traffic, "/memory") / MB),
                format!("{:.1}%", 100.0 * number(traffic, "/processor_share")),
                short(number(traffic, "/holds/p99_ms")),
                short(number(traffic, "/holds/longest_ms")),
            ]);
        }
    }
    print_header(&[
        "run",
        "destinations",
        "all entries new: lists fetched",
        "bytes",
        "healthz p99, ms",
        "longest, ms",
        "of it the loop ran",
        "waited for a processor",
        "the probe waited",
        "most that the loop ran, ms",
        "the probe's latest waking, ms",
        "message's longest answer, ms",
        "taken on",
        "delivered",
        "most, MB",
    ]);
    for (source, record) in sources.iter().flat_map(|s| rows(s, "rows").iter().map(move |r| (s, r))) {
        for replacement in record["replacements"].as_array().into_iter().flatten() {
            print_row(&[
                source.name.clone(),
                short(number(record, "/destinations")),
                short(number(replacement, "/fetched/whole_lists")),
                short(number(replacement, "/fetched/bytes")),
                short(number(replacement, "/holds/p99_ms")),
                short(number(replacement, "/holds/longest_ms")),
                short(number(replacement, "/holds/longest/loop_ran_ms")),
                short(number(replacement, "/holds/longest/loop_waited_ms")),
                short(number(replacement, "/holds/longest/probe_waited_ms")),
                short(number(replacement, "/holds/most_ran_ms")),
                short(number(replacement, "/holds/late_longest_ms")),
                short(number(replacement, "/outcome/answer_ms_max")),
                percent(number(replacement, "/outcome/taken_on"), number(replacement, "/outcome/handed_in")),
                percent(
                    number(replacement, "/outcome/delivered"),
                    number(replacement, "/outcome/taken_on_for_live"),
                ),
                short(number(replacement, "/most_memory") / MB),
            ]);
        }
    }
    print_header(&[
        "run",
        "messages held",
        "memory, MB",
        "state folder, MB",
        "processor",
        "healthz p99, ms",
        "longest, ms",
    ]);
    for (source, record) in sources.iter().flat_map(|s| rows(s, "rows").iter().map(move |r| (s, r))) {
        for point in record["backlog"].as_array().into_iter().flatten() {
            print_row(&[
                source.name.clone(),
                short(number(point, "/held")),
                short(number(point, "/memory") / MB),
                short(number(point, "/state_bytes") / MB),
                format!("{:.1}%", 100.0 * number(point, "/processor_share")),
                short(number(point, "/holds/p99_ms")),
                short(number(point, "/holds/longest_ms")),
            ]);
        }
    }
    for source in sources {
        let several = &source.value["several"];
        if !several.is_null() {
            println!(
                "\n{}: {} senders, {} destinations: last ready {} ms, {} MB each, most {} MB, {} bytes fetched",
                source.name,
                short(number(several, "/senders")),
                short(number(several, "/destinations")),
                short(number(several, "/last_ready_ms")),
                short(number(several, "/memory_each") / MB),
                short(number(several, "/most_memory_each") / MB),
                short(number(several, "/bytes")),
            );
        }
    }
    fits(sources);
}

/// Prints the fitted lines.
fn fits(sources: &[Source]) {
    print_header(&[
        "run",
        "what",
        "slope",
        "error of slope",
        "at none",
        "residual",
        "points",
        "measured to",
        "at 350,000",
    ]);
    for source in sources {
        for (name, line) in source.value["fits"].as_object().into_iter().flatten() {
            let (slope, intercept) = (number(line, "/slope"), number(line, "/intercept"));
            let by_destination = name.ends_with("destination");
            print_row(&[
                source.name.clone(),
                name.replace('_', " "),
                short(slope),
                short(number(line, "/slope_error")),
                short(intercept),
                short(number(line, "/residual")),
                short(number(line, "/points")),
                short(number(line, "/measured_to")),
                if by_destination { short(intercept + slope * f64::from(DESTINATIONS)) } else { "-".into() },
            ]);
        }
    }
}

/// Prints the tables of `scale_backlog`, whose columns are named after the fields in the file.
fn module(sources: &[Source]) {
    for list in ["listed", "told", "used", "held"] {
        println!("\n{list}");
        let mut has_header = false;
        for (source, record) in sources.iter().flat_map(|s| rows(s, list).iter().map(move |r| (s, r))) {
            let Some(fields) = record.as_object() else { continue };
            // The size is the first column.
            let is_size = |name: &str| name == "destinations" || name == "asked_for";
            let (first, rest): (Vec<_>, Vec<_>) = fields.iter().partition(|(name, _)| is_size(name));
            let fields: Vec<(&String, &Value)> = first.into_iter().chain(rest).collect();
            if !std::mem::replace(&mut has_header, true) {
                let names: Vec<String> = fields.iter().map(|(name, _)| name.replace('_', " ")).collect();
                let names: Vec<&str> =
                    std::iter::once("run").chain(names.iter().map(String::as_str)).collect();
                print_header(&names);
            }
            let cells = fields.iter().map(|(_, v)| v.as_f64().map_or(v.to_string(), short));
            print_row(&std::iter::once(source.name.clone()).chain(cells).collect::<Vec<_>>());
        }
    }
    fits(sources);
}

/// Prints the tables of `scale_fleet`.
fn fleet(sources: &[Source]) {
    print_header(&[
        "run",
        "stretch",
        "changes",
        "everywhere",
        "each p50, ms",
        "p99",
        "last sender p50, ms",
        "p99",
        "most",
        "answers",
        "of them empty",
        "whole lists",
        "bytes",
    ]);
    for source in sources {
        let stretches = [
            ("single", "/single"),
            ("bursts", "/bursts"),
            ("a region cut and healed", "/region_cut/stretch"),
        ];
        for (name, path) in stretches {
            let of = |field: &str| short(number(&source.value, &format!("{path}{field}")));
            let count = |field: &str| number(&source.value, &format!("{path}/counts{field}"));
            print_row(&[
                source.name.clone(),
                name.into(),
                of("/in_force/changes"),
                of("/in_force/everywhere"),
                of("/in_force/each_p50_ms"),
                of("/in_force/each_p99_ms"),
                of("/in_force/last_sender_p50_ms"),
                of("/in_force/last_sender_p99_ms"),
                of("/in_force/last_sender_max_ms"),
                short(count("/change_answers") + count("/empty_answers")),
                short(count("/empty_answers")),
                short(count("/whole_lists")),
                short(count("/bytes")),
            ]);
        }
    }
    for source in sources {
        println!("\n{}: by sender {}", source.name, source.value["single_by_sender"]);
        println!("zone: {}", source.value["zone_restart"]);
        let cut = &source.value["region_cut"];
        println!("cut: {} senders, heal {} ms, {}", cut["senders"], cut["heal_ms"], cut["heal_counts"]);
        let memory = number(&source.value, "/process_memory_most") / MB;
        println!("process: {} MB at most", short(memory));
    }
}

/// Updates the tables of the page from the files beside it.
fn page() -> Result<(), Box<dyn Error>> {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let path = docs.join("CAPACITY.md");
    let filled = page::fill(&std::fs::read_to_string(&path)?, &docs.join("capacity"))?;
    std::fs::write(&path, filled)?;
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut given = std::env::args().skip(1);
    let what = given.next().ok_or("missing argument: sender, module, fleet or page")?;
    let sources = given.map(|file| read(&PathBuf::from(file))).collect::<Result<Vec<_>, _>>()?;
    let sources: Vec<Source> = sources.into_iter().flatten().collect();
    match what.as_str() {
        "sender" => sender(&sources),
        "module" => module(&sources),
        "fleet" => fleet(&sources),
        "page" => page()?,
        other => return Err(format!("unknown argument {other}").into()),
    }
    Ok(())
}
