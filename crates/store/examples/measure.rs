//! Measures the log on a real disk, and compares it with a bare loop of writes of the same bytes in the same
//! run.
//!
//!     cargo run --release -p store --example measure -- [FOLDER]
//!
//! FOLDER has to be on the disk to measure; if absent, a temporary folder is used.
use std::collections::BTreeMap;
use std::error::Error;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};
use store::disk::Disk;
use store::frame::Operation;
use store::log::{Entry, Log, LogConfig, SnapshotSource};

/// Payload of a message, in bytes.
const BODY_BYTES: usize = 500;
/// Size limit of the log, in bytes.
const LIMIT_BYTES: u64 = 2_800_000;
/// Rounds of each measurement.
const ROUNDS: usize = 400;

/// The state of all keys.
#[derive(Default)]
struct KeyStates(BTreeMap<u64, Vec<u8>>);

impl SnapshotSource for KeyStates {
    fn snapshot(&self, key: u64) -> Option<Vec<u8>> {
        self.0.get(&key).cloned()
    }
}

/// Percentile of durations, in milliseconds.
fn percentile_ms(times: &mut [Duration], fraction: f64) -> f64 {
    times.sort();
    times[((times.len() - 1) as f64 * fraction) as usize].as_secs_f64() * 1e3
}

fn open(folder: &Path, durable: bool) -> Result<Log<Disk>, Box<dyn Error>> {
    std::fs::create_dir(folder)?;
    let config = LogConfig { owner: "n0".into(), max_bytes: LIMIT_BYTES, max_payload_bytes: 70_000, durable };
    Ok(Log::open(Disk::new(folder), config, |_| Ok(()))?.0)
}

/// Runs rounds that each put `waiting` messages with one attempt, and delete those of four rounds before.
/// Returns the duration of each round and the bytes written per message.
fn log_rounds(folder: &Path, waiting: usize, durable: bool) -> Result<(Vec<Duration>, f64), Box<dyn Error>> {
    let mut log = open(folder, durable)?;
    let (mut states, mut next, mut times) = (KeyStates::default(), 0u64, Vec::new());
    for _ in 0..ROUNDS {
        let payload = vec![7; BODY_BYTES];
        let keys: Vec<u64> = (next..next + waiting as u64).collect();
        next += waiting as u64;
        let mut entries: Vec<Entry> = Vec::new();
        for &key in &keys {
            entries.push(Entry { key, operation: Operation::Put, payload: &payload });
            entries.push(Entry { key, operation: Operation::Merge, payload: &[1; 40] });
        }
        let ended: Vec<u64> =
            states.0.keys().copied().take(states.0.len().saturating_sub(4 * waiting)).collect();
        entries.extend(ended.iter().map(|&key| Entry { key, operation: Operation::Delete, payload: &[] }));
        let start = Instant::now();
        log.append(&entries, &states)?;
        if durable {
            log.sync(&states)?;
        }
        times.push(start.elapsed());
        ended.iter().for_each(|key| _ = states.0.remove(key));
        keys.iter().for_each(|key| _ = states.0.insert(*key, payload.clone()));
    }
    let stats = log.stats();
    Ok((times, stats.written_bytes as f64 / next as f64))
}

/// Writes the same bytes to one file, with a sync in each round if `sync` is set.
fn bare_rounds(path: &Path, bytes: usize, sync: bool) -> Result<Vec<Duration>, Box<dyn Error>> {
    let (mut file, mut times) = (File::create(path)?, Vec::new());
    for _ in 0..ROUNDS {
        let start = Instant::now();
        file.write_all(&vec![7; bytes])?;
        if sync {
            file.sync_data()?;
        }
        times.push(start.elapsed());
    }
    Ok(times)
}

/// Appends under a backlog that takes half of the limit. Returns the median and the longest duration of an
/// append in milliseconds, and the fraction of bytes that cleaning moved.
fn measure_stalls(folder: &Path) -> Result<(f64, f64, f64), Box<dyn Error>> {
    let mut log = open(folder, false)?;
    let (mut states, mut times) = (KeyStates::default(), Vec::new());
    for key in 0..60_000u64 {
        let payload = vec![7; BODY_BYTES];
        let start = Instant::now();
        log.append(&[Entry { key, operation: Operation::Put, payload: &payload }], &states)?;
        times.push(start.elapsed());
        states.0.insert(key, payload);
        if key >= 2_300 {
            // One key in ten stays for a long time.
            let ended = if key % 10 == 0 { key.saturating_sub(20_000) } else { key - 100 };
            log.append(&[Entry { key: ended, operation: Operation::Delete, payload: &[] }], &states)?;
            states.0.remove(&ended);
        }
    }
    let stats = log.stats();
    let moved = stats.moved_bytes as f64 / stats.written_bytes as f64;
    Ok((percentile_ms(&mut times, 0.5), percentile_ms(&mut times, 1.0), moved))
}

fn main() -> Result<(), Box<dyn Error>> {
    let folder = match std::env::args().nth(1) {
        Some(folder) => tempfile::tempdir_in(folder)?,
        None => tempfile::tempdir()?,
    };
    println!("waiting  sync   log p50 ms  p99 ms  bare p50 ms  p99 ms  throughput of bare  bytes a message");
    for (index, waiting) in [1, 8, 64].into_iter().enumerate() {
        for sync in [true, false] {
            let log_folder = folder.path().join(format!("log-{index}-{sync}"));
            let (mut log, bytes_per_message) = log_rounds(&log_folder, waiting, sync)?;
            let mut bare = bare_rounds(
                &folder.path().join("bare"),
                (bytes_per_message * waiting as f64) as usize,
                sync,
            )?;
            let sum = |times: &[Duration]| times.iter().sum::<Duration>().as_secs_f64();
            println!(
                "{waiting:7}  {sync:5}  {:10.3}  {:6.3}  {:11.3}  {:6.3}  {:18.2}  {bytes_per_message:15.0}",
                percentile_ms(&mut log, 0.5),
                percentile_ms(&mut log, 0.99),
                percentile_ms(&mut bare, 0.5),
                percentile_ms(&mut bare, 0.99),
                sum(&bare) / sum(&log),
            );
        }
    }
    let (median, longest, moved) = measure_stalls(&folder.path().join("stalls"))?;
    println!(
        "appends under a backlog: median {median:.4} ms, longest {longest:.3} ms; moved {:.0}% of bytes",
        moved * 100.0
    );
    Ok(())
}
