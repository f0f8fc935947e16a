//! What the log costs on a real disk, as ratios to a bare loop of writes in the same run.
//!
//!     cargo run --release -p store --example measure -- [FOLDER]
//!
//! FOLDER (a temporary one if absent) has to be on the disk that is asked about.
use std::collections::BTreeMap;
use std::error::Error;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};
use store::disk::Disk;
use store::frame::Operation;
use store::log::{Entry, Log, LogConfig, SnapshotSource};

const BODY: usize = 500;
const LIMIT: u64 = 2_800_000;
const ROUNDS: usize = 400;

#[derive(Default)]
struct Kept(BTreeMap<u64, Vec<u8>>);

impl SnapshotSource for Kept {
    fn snapshot(&self, key: u64) -> Option<Vec<u8>> {
        self.0.get(&key).cloned()
    }
}

fn percentile(times: &mut [Duration], part: f64) -> f64 {
    times.sort();
    times[((times.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e3
}

fn open(folder: &Path, durable: bool) -> Result<Log<Disk>, Box<dyn Error>> {
    std::fs::create_dir(folder)?;
    let config = LogConfig { owner: "n0".into(), max_bytes: LIMIT, max_payload_bytes: 70_000, durable };
    Ok(Log::open(Disk::new(folder), config, |_| Ok(()))?.0)
}

/// One message's life in rounds of `waiting` messages: taken on with its attempt, and ended some rounds later.
fn log_rounds(folder: &Path, waiting: usize, durable: bool) -> Result<(Vec<Duration>, f64), Box<dyn Error>> {
    let mut log = open(folder, durable)?;
    let (mut kept, mut next, mut times) = (Kept::default(), 0u64, Vec::new());
    for _ in 0..ROUNDS {
        let payload = vec![7; BODY];
        let keys: Vec<u64> = (next..next + waiting as u64).collect();
        next += waiting as u64;
        let mut entries: Vec<Entry> = Vec::new();
        for &key in &keys {
            entries.push(Entry { key, operation: Operation::Put, payload: &payload });
            entries.push(Entry { key, operation: Operation::Merge, payload: &[1; 40] });
        }
        let over: Vec<u64> = kept.0.keys().copied().take(kept.0.len().saturating_sub(4 * waiting)).collect();
        entries.extend(over.iter().map(|&key| Entry { key, operation: Operation::Delete, payload: &[] }));
        let start = Instant::now();
        log.append(&entries, &kept)?;
        if durable {
            log.sync(&kept)?;
        }
        times.push(start.elapsed());
        over.iter().for_each(|key| _ = kept.0.remove(key));
        keys.iter().for_each(|key| _ = kept.0.insert(*key, payload.clone()));
    }
    let stats = log.stats();
    Ok((times, stats.written_bytes as f64 / next as f64))
}

/// The same bytes to one file, each round with a sync.
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

/// Half of the limit lives and does not end, and the rest comes and goes: the longest append.
fn stalls(folder: &Path) -> Result<(f64, f64, f64), Box<dyn Error>> {
    let mut log = open(folder, false)?;
    let (mut kept, mut times) = (Kept::default(), Vec::new());
    for key in 0..60_000u64 {
        let payload = vec![7; BODY];
        let start = Instant::now();
        log.append(&[Entry { key, operation: Operation::Put, payload: &payload }], &kept)?;
        times.push(start.elapsed());
        kept.0.insert(key, payload);
        if key >= 2_300 {
            // Every tenth of them stays for long.
            let over = if key % 10 == 0 { key.saturating_sub(20_000) } else { key - 100 };
            log.append(&[Entry { key: over, operation: Operation::Delete, payload: &[] }], &kept)?;
            kept.0.remove(&over);
        }
    }
    let stats = log.stats();
    let moved = stats.moved_bytes as f64 / stats.written_bytes as f64;
    Ok((percentile(&mut times, 0.5), percentile(&mut times, 1.0), moved))
}

fn main() -> Result<(), Box<dyn Error>> {
    let work = match std::env::args().nth(1) {
        Some(folder) => tempfile::tempdir_in(folder)?,
        None => tempfile::tempdir()?,
    };
    println!("waiting  sync   log p50 ms  p99 ms  bare p50 ms  p99 ms  throughput of bare  bytes a message");
    for (place, waiting) in [1, 8, 64].into_iter().enumerate() {
        for sync in [true, false] {
            let folder = work.path().join(format!("log-{place}-{sync}"));
            let (mut log, each) = log_rounds(&folder, waiting, sync)?;
            let mut bare = bare_rounds(&work.path().join("bare"), (each * waiting as f64) as usize, sync)?;
            let sum = |times: &[Duration]| times.iter().sum::<Duration>().as_secs_f64();
            println!(
                "{waiting:7}  {sync:5}  {:10.3}  {:6.3}  {:11.3}  {:6.3}  {:18.2}  {each:15.0}",
                percentile(&mut log, 0.5),
                percentile(&mut log, 0.99),
                percentile(&mut bare, 0.5),
                percentile(&mut bare, 0.99),
                sum(&bare) / sum(&log),
            );
        }
    }
    let (median, longest, moved) = stalls(&work.path().join("stalls"))?;
    println!(
        "appends under a backlog: median {median:.4} ms, longest {longest:.3} ms; moved {:.0}% of bytes",
        moved * 100.0
    );
    Ok(())
}
