//! Crash consistency: a workload runs on a simulated disk. For a loss of power at each of its calls, with
//! seeded choices of what survives, the log is opened again and its records are compared with what was
//! acknowledged.
use std::cell::RefCell;
use std::collections::BTreeMap;
use store::file_system::FileSystem;
use store::folder_scan::OpenError;
use store::frame::Operation;
use store::log::{Entry, Log, LogConfig, OpenReport, SnapshotSource};
use store::sim::{Failure, SimDisk, SyncKind};

/// The state of a key: the numbers of all notes about it, in order.
type Notes = Vec<u32>;

fn config() -> LogConfig {
    LogConfig { owner: "n3".into(), max_bytes: 14 << 10, max_payload_bytes: 600, durable: true }
}

fn payload(notes: &[u32]) -> Vec<u8> {
    let mut bytes: Vec<u8> = notes.iter().flat_map(|n| n.to_le_bytes()).collect();
    // Filler in place of a message body, which is most of a record.
    bytes.resize(bytes.len().max(1) + 40 * notes.len() % 400, 0xAB);
    let mut all = (notes.len() as u32).to_le_bytes().to_vec();
    all.append(&mut bytes);
    all
}

fn notes(payload: &[u8]) -> Notes {
    let word = |at: usize| u32::from_le_bytes(payload[at..at + 4].try_into().unwrap());
    (0..word(0) as usize).map(|i| word(4 + 4 * i)).collect()
}

/// The state of all keys, as a user of the log has it.
#[derive(Clone, Debug, Default, PartialEq)]
struct KeyStates(BTreeMap<u64, Notes>);

impl KeyStates {
    fn apply(&mut self, operation: Operation, key: u64, payload: &[u8]) {
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

impl SnapshotSource for KeyStates {
    fn snapshot(&self, key: u64) -> Option<Vec<u8>> {
        self.0.get(&key).map(|notes| payload(notes))
    }
}

fn open<F: FileSystem>(files: F) -> Result<(Log<F>, KeyStates, OpenReport), OpenError> {
    let key_states = RefCell::new(KeyStates::default());
    let (log, found) = Log::open(files, config(), |r| {
        key_states.borrow_mut().apply(r.operation, r.key, r.payload);
        Ok(())
    })?;
    Ok((log, key_states.into_inner(), found))
}

/// Everything that was ever written or tried for a key.
#[derive(Clone, Debug, Default)]
struct History {
    notes: Notes,
    /// The notes of the last acknowledged state; `None` before the first acknowledgement.
    acknowledged: Option<Notes>,
    deleted: bool,
    delete_acknowledged: bool,
}

/// A user of the log, with what was acknowledged to it.
struct User {
    log: Log<SimDisk>,
    key_states: KeyStates,
    histories: BTreeMap<u64, History>,
    random: fastrand::Rng,
    next_note: u32,
}

impl User {
    fn new(disk: &SimDisk, seed: u64) -> Option<User> {
        let (log, key_states, _) = open(disk.clone()).ok()?;
        Some(User {
            log,
            key_states,
            histories: BTreeMap::new(),
            random: fastrand::Rng::with_seed(seed),
            next_note: 1,
        })
    }

    /// Appends a few records, and syncs now and then, which acknowledges everything before.
    fn step(&mut self) {
        let mut records: Vec<(Operation, u64, Vec<u8>)> = Vec::new();
        let mut next_states = self.key_states.clone();
        for _ in 0..self.random.usize(1..=3) {
            let live: Vec<u64> = next_states.0.keys().copied().collect();
            let (operation, key) = match self.random.u8(..10) {
                _ if live.is_empty() => (Operation::Put, u64::from(self.next_note)),
                0..=3 if live.len() < 12 => (Operation::Put, u64::from(self.next_note)),
                4..=6 => (Operation::Merge, live[self.random.usize(..live.len())]),
                _ => (Operation::Delete, live[self.random.usize(..live.len())]),
            };
            let note = if operation == Operation::Delete { Vec::new() } else { vec![self.next_note] };
            self.next_note += 1;
            let bytes = payload(&note);
            next_states.apply(operation, key, &bytes);
            let history = self.histories.entry(key).or_default();
            history.notes.extend(note);
            history.deleted |= operation == Operation::Delete;
            records.push((operation, key, bytes));
        }
        let entries: Vec<Entry> = records
            .iter()
            .map(|(operation, key, payload)| Entry { key: *key, operation: *operation, payload })
            .collect();
        // After an error the records may be there or not; the user continues as if they were not.
        if self.log.append(&entries, &self.key_states).is_err() {
            return;
        }
        self.key_states = next_states;
        if self.random.u8(..3) == 0 && self.log.sync(&self.key_states).is_ok() {
            for (key, history) in &mut self.histories {
                let current = self.key_states.0.get(key);
                // Nothing of a failed step is acknowledged.
                history.delete_acknowledged |=
                    history.deleted && current.is_none() && history.acknowledged.is_some();
                if let Some(current) = current {
                    history.acknowledged = Some(current.clone());
                }
            }
        }
    }

    /// Compares the states found in the log with what was acknowledged and what was tried.
    fn check(&self, found: &KeyStates) -> Result<(), String> {
        for (key, history) in &self.histories {
            let Some(found) = found.0.get(key) else {
                if history.acknowledged.is_some() && !history.deleted {
                    return Err(format!("key {key} is lost: {history:?}"));
                }
                continue;
            };
            if history.delete_acknowledged {
                return Err(format!("key {key} was deleted and is back: {history:?}"));
            }
            let mut rest = found.iter();
            if !history.acknowledged.iter().flatten().all(|note| rest.any(|n| n == note)) {
                return Err(format!("key {key} lacks acknowledged notes: {found:?}, {history:?}"));
            }
            let mut tried = history.notes.iter();
            if !found.iter().all(|note| tried.any(|n| n == note)) {
                return Err(format!("key {key} has notes that were never written: {found:?}, {history:?}"));
            }
        }
        match found.0.keys().find(|key| !self.histories.contains_key(key)) {
            Some(key) => Err(format!("key {key} was never put")),
            None => Ok(()),
        }
    }
}

/// Steps of one run of the workload.
const STEPS: usize = 90;

/// Runs the workload to its end, or until the power is lost at a call; `None` if opening the log fails.
fn run(disk: &SimDisk, seed: u64, power_lost_at: Option<usize>) -> Option<User> {
    if let Some(call) = power_lost_at {
        disk.lose_power_at(call);
    }
    let mut user = User::new(disk, seed)?;
    for _ in 0..STEPS {
        user.step();
    }
    Some(user)
}

/// Opens what survived twice, and once more after an opening that lost power at a random call.
fn check_reopened(user: &User, survived: &SimDisk, random: &mut fastrand::Rng) -> Result<(), String> {
    let interrupted = survived.after_power_loss(random);
    interrupted.lose_power_at(random.usize(1..12));
    let _ = open(interrupted.clone());
    let (_, key_states, found) = open(survived.clone()).map_err(|e| e.to_string())?;
    user.check(&key_states)?;
    let (_, same, _) = open(survived.clone()).map_err(|e| e.to_string())?;
    if same != key_states {
        return Err(format!("a second opening differs: {same:?}, {key_states:?}; {found:?}"));
    }
    let after = interrupted.after_power_loss(random);
    let (_, key_states, _) = open(after).map_err(|e| e.to_string())?;
    user.check(&key_states).map_err(|e| format!("after an interrupted opening: {e}"))
}

/// Checks `each` crash states for each call of the workload of a seed. Returns their number, or the first
/// that is wrong.
fn check_crash_states(seed: u64, each: u64, ignored: Option<SyncKind>) -> Result<usize, String> {
    let disk = || {
        let disk = SimDisk::default();
        ignored.into_iter().for_each(|kind| disk.ignore_syncs(kind));
        disk
    };
    let whole = disk();
    run(&whole, seed, None).ok_or("the log does not open, although nothing fails")?;
    let mut count = 0;
    for call in 1..=whole.calls() {
        let disk = disk();
        let Some(user) = run(&disk, seed, Some(call)) else { continue };
        for choice in 0..each {
            let mut random = fastrand::Rng::with_seed(seed << 32 | (call as u64) << 8 | choice);
            let survived = if choice == 0 { disk.after_crash() } else { disk.after_power_loss(&mut random) };
            check_reopened(&user, &survived, &mut random)
                .map_err(|e| format!("seed {seed}, power lost at call {call}, choice {choice}: {e}"))?;
            count += 2;
        }
    }
    Ok(count)
}

/// Number of seeds, each of about 7,000 crash states. `STORE_SEEDS` sets another number.
fn seed_count() -> u64 {
    std::env::var("STORE_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(16)
}

#[test]
fn power_loss_at_any_call_keeps_acknowledged_records_and_deletions() {
    let count: Result<Vec<usize>, String> =
        (1..=seed_count()).map(|seed| check_crash_states(seed, 20, None)).collect();
    let count: usize = count.unwrap_or_else(|e| panic!("{e}")).iter().sum();
    eprintln!("{count} crash states");
    assert!(count >= 100_000, "{count}");
}

#[test]
fn the_check_detects_ignored_syncs() {
    for ignored in [SyncKind::Data, SyncKind::Directory] {
        let wrong = (1..=4).find_map(|seed| check_crash_states(seed, 20, Some(ignored)).err());
        eprintln!("{ignored:?}: {wrong:?}");
        assert!(wrong.is_some(), "{ignored:?}");
    }
}

/// EIO and ENOSPC at every call: the user continues, and everything acknowledged holds at the end of the run
/// and after a loss of power then. A failed sync keeps nothing, even if the next sync of the same file
/// succeeds.
#[test]
fn a_failed_call_loses_nothing_acknowledged() {
    for seed in 1..=3 {
        let whole = SimDisk::default();
        run(&whole, seed, None).expect("nothing fails");
        for call in 1..=whole.calls() {
            for failure in [Failure::Io, Failure::StorageFull] {
                let disk = SimDisk::default();
                disk.fail_call(call, failure);
                // If opening fails, nothing was acknowledged.
                let Some(user) = run(&disk, seed, None) else { continue };
                for choice in 0..4 {
                    let mut random = fastrand::Rng::with_seed(seed << 32 | (call as u64) << 8 | choice);
                    let survived =
                        if choice == 0 { disk.after_crash() } else { disk.after_power_loss(&mut random) };
                    check_reopened(&user, &survived, &mut random).unwrap_or_else(|e| {
                        panic!("seed {seed}, {failure:?} at call {call}, choice {choice}: {e}")
                    });
                }
            }
        }
    }
}
