//! Crash consistency: a workload runs over a simulated disk; for each call of it and a seeded choice of what survived
//! a loss of power there, the log is opened again and what it holds is held against what was acknowledged.
use std::cell::RefCell;
use std::collections::BTreeMap;
use store::file_system::FileSystem;
use store::folder_scan::OpenError;
use store::frame::Operation;
use store::log::{Entry, Log, LogConfig, OpenReport, SnapshotSource};
use store::sim::{Failure, SimDisk, SyncKind};

/// What is known of a key: the numbers of all that was noted about it, in order.
type Notes = Vec<u32>;

fn config() -> LogConfig {
    LogConfig { owner: "n3".into(), max_bytes: 14 << 10, max_payload_bytes: 600, durable: true }
}

fn payload(notes: &[u32]) -> Vec<u8> {
    let mut bytes: Vec<u8> = notes.iter().flat_map(|n| n.to_le_bytes()).collect();
    // As messages have bodies: most of a record is what it carries.
    bytes.resize(bytes.len().max(1) + 40 * notes.len() % 400, 0xAB);
    let mut all = (notes.len() as u32).to_le_bytes().to_vec();
    all.append(&mut bytes);
    all
}

fn notes(payload: &[u8]) -> Notes {
    let word = |at: usize| u32::from_le_bytes(payload[at..at + 4].try_into().unwrap());
    (0..word(0) as usize).map(|i| word(4 + 4 * i)).collect()
}

/// What a reader of the log makes of it.
#[derive(Clone, Debug, Default, PartialEq)]
struct Kept(BTreeMap<u64, Notes>);

impl Kept {
    fn take(&mut self, operation: Operation, key: u64, payload: &[u8]) {
        match operation {
            Operation::Put => _ = self.0.insert(key, notes(payload)),
            Operation::Merge => {
                if let Some(known) = self.0.get_mut(&key) {
                    known.extend(notes(payload));
                }
            }
            Operation::Delete => _ = self.0.remove(&key),
        }
    }
}

impl SnapshotSource for Kept {
    fn snapshot(&self, key: u64) -> Option<Vec<u8>> {
        self.0.get(&key).map(|notes| payload(notes))
    }
}

fn open<F: FileSystem>(files: F) -> Result<(Log<F>, Kept, OpenReport), OpenError> {
    let kept = RefCell::new(Kept::default());
    let (log, found) = Log::open(files, config(), |r| {
        kept.borrow_mut().take(r.operation, r.key, r.payload);
        Ok(())
    })?;
    Ok((log, kept.into_inner(), found))
}

/// Everything that was ever tried with a key.
#[derive(Clone, Debug, Default)]
struct History {
    notes: Notes,
    /// Those that are acknowledged; none before its beginning is.
    acknowledged: Option<Notes>,
    ended: bool,
    end_acknowledged: bool,
}

/// A user of the log, and what it was told.
struct User {
    log: Log<SimDisk>,
    kept: Kept,
    all: BTreeMap<u64, History>,
    random: fastrand::Rng,
    next: u32,
}

impl User {
    fn new(disk: &SimDisk, seed: u64) -> Option<User> {
        let (log, kept, _) = open(disk.clone()).ok()?;
        Some(User { log, kept, all: BTreeMap::new(), random: fastrand::Rng::with_seed(seed), next: 1 })
    }

    /// One step: a few records, and now and then a sync that acknowledges all before it.
    fn step(&mut self) {
        let mut records: Vec<(Operation, u64, Vec<u8>)> = Vec::new();
        let mut then = self.kept.clone();
        for _ in 0..self.random.usize(1..=3) {
            let live: Vec<u64> = then.0.keys().copied().collect();
            let (operation, key) = match self.random.u8(..10) {
                _ if live.is_empty() => (Operation::Put, u64::from(self.next)),
                0..=3 if live.len() < 12 => (Operation::Put, u64::from(self.next)),
                4..=6 => (Operation::Merge, live[self.random.usize(..live.len())]),
                _ => (Operation::Delete, live[self.random.usize(..live.len())]),
            };
            let note = if operation == Operation::Delete { Vec::new() } else { vec![self.next] };
            self.next += 1;
            let bytes = payload(&note);
            then.take(operation, key, &bytes);
            let history = self.all.entry(key).or_default();
            history.notes.extend(note);
            history.ended |= operation == Operation::Delete;
            records.push((operation, key, bytes));
        }
        let entries: Vec<Entry> = records
            .iter()
            .map(|(operation, key, payload)| Entry { key: *key, operation: *operation, payload })
            .collect();
        // Where it fails, what was tried may be there or not; the user goes on as if it were not.
        if self.log.append(&entries, &self.kept).is_err() {
            return;
        }
        self.kept = then;
        if self.random.u8(..3) == 0 && self.log.sync(&self.kept).is_ok() {
            for (key, history) in &mut self.all {
                let kept = self.kept.0.get(key);
                // Of a step that failed nothing is acknowledged.
                history.end_acknowledged |= history.ended && kept.is_none() && history.acknowledged.is_some();
                if let Some(kept) = kept {
                    history.acknowledged = Some(kept.clone());
                }
            }
        }
    }

    /// Holds what was found against what was acknowledged and what was tried.
    fn check(&self, found: &Kept) -> Result<(), String> {
        for (key, history) in &self.all {
            let Some(found) = found.0.get(key) else {
                if history.acknowledged.is_some() && !history.ended {
                    return Err(format!("key {key} is lost: {history:?}"));
                }
                continue;
            };
            if history.end_acknowledged {
                return Err(format!("key {key} has ended and is back: {history:?}"));
            }
            let mut rest = found.iter();
            if !history.acknowledged.iter().flatten().all(|note| rest.any(|n| n == note)) {
                return Err(format!("key {key} lacks what was acknowledged: {found:?}, {history:?}"));
            }
            let mut tried = history.notes.iter();
            if !found.iter().all(|note| tried.any(|n| n == note)) {
                return Err(format!("key {key} has what was never noted: {found:?}, {history:?}"));
            }
        }
        match found.0.keys().find(|key| !self.all.contains_key(key)) {
            Some(key) => Err(format!("key {key} was never begun")),
            None => Ok(()),
        }
    }
}

const STEPS: usize = 90;

/// Runs the workload until the power goes at a call, or to its end; none where even the first opening fails.
fn run(disk: &SimDisk, seed: u64, stop: Option<usize>) -> Option<User> {
    if let Some(stop) = stop {
        disk.lose_power_at(stop);
    }
    let mut user = User::new(disk, seed)?;
    for _ in 0..STEPS {
        user.step();
    }
    Some(user)
}

/// Opens what survived, twice, the second time after the first was cut short at a random call.
fn reopen(user: &User, left: &SimDisk, random: &mut fastrand::Rng) -> Result<(), String> {
    let again = left.after_power_loss(random);
    again.lose_power_at(random.usize(1..12));
    let _ = open(again.clone());
    let (_, kept, found) = open(left.clone()).map_err(|e| e.to_string())?;
    user.check(&kept)?;
    let (_, same, _) = open(left.clone()).map_err(|e| e.to_string())?;
    if same != kept {
        return Err(format!("a second opening gives something else: {same:?}, {kept:?}; {found:?}"));
    }
    let after = again.after_power_loss(random);
    let (_, kept, _) = open(after).map_err(|e| e.to_string())?;
    user.check(&kept).map_err(|e| format!("after an opening that was cut short: {e}"))
}

/// Crash states that a seed of the workload gives, `each` for each call; or the first that is wrong.
fn states(seed: u64, each: u64, omitted: Option<SyncKind>) -> Result<usize, String> {
    let disk = || {
        let disk = SimDisk::default();
        omitted.into_iter().for_each(|syncs| disk.ignore_syncs(syncs));
        disk
    };
    let whole = disk();
    run(&whole, seed, None).ok_or("nothing fails, and yet it does not open")?;
    let mut count = 0;
    for stop in 1..=whole.calls() {
        let disk = disk();
        let Some(user) = run(&disk, seed, Some(stop)) else { continue };
        for choice in 0..each {
            let mut random = fastrand::Rng::with_seed(seed << 32 | (stop as u64) << 8 | choice);
            let left = if choice == 0 { disk.after_crash() } else { disk.after_power_loss(&mut random) };
            reopen(&user, &left, &mut random)
                .map_err(|e| format!("seed {seed}, power lost at call {stop}, choice {choice}: {e}"))?;
            count += 2;
        }
    }
    Ok(count)
}

/// `STORE_SEEDS` plays more of them: about 7,000 states each.
fn seeds() -> u64 {
    std::env::var("STORE_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(16)
}

#[test]
fn nothing_acknowledged_is_lost_and_nothing_ended_comes_back_wherever_the_power_is_lost() {
    let count: Result<Vec<usize>, String> = (1..=seeds()).map(|seed| states(seed, 20, None)).collect();
    let count: usize = count.unwrap_or_else(|e| panic!("{e}")).iter().sum();
    eprintln!("{count} crash states");
    assert!(count >= 100_000, "{count}");
}

#[test]
fn a_sync_that_is_omitted_is_found() {
    for omitted in [SyncKind::Data, SyncKind::Directory] {
        let wrong = (1..=4).find_map(|seed| states(seed, 20, Some(omitted)).err());
        eprintln!("{omitted:?}: {wrong:?}");
        assert!(wrong.is_some(), "{omitted:?}");
    }
}

/// EIO and ENOSPC at every call: the user goes on, and what it was told is true all the same, at its end and after a
/// loss of power then. A sync that fails keeps nothing, though the next one of that file succeeds.
#[test]
fn a_call_that_fails_costs_nothing_that_was_acknowledged() {
    for seed in 1..=3 {
        let whole = SimDisk::default();
        run(&whole, seed, None).expect("nothing fails");
        for call in 1..=whole.calls() {
            for failure in [Failure::Io, Failure::StorageFull] {
                let disk = SimDisk::default();
                disk.fail_call(call, failure);
                // Where the first opening fails nothing was taken on.
                let Some(user) = run(&disk, seed, None) else { continue };
                for choice in 0..4 {
                    let mut random = fastrand::Rng::with_seed(seed << 32 | (call as u64) << 8 | choice);
                    let left =
                        if choice == 0 { disk.after_crash() } else { disk.after_power_loss(&mut random) };
                    reopen(&user, &left, &mut random).unwrap_or_else(|e| {
                        panic!("seed {seed}, {failure:?} at call {call}, choice {choice}: {e}")
                    });
                }
            }
        }
    }
}
