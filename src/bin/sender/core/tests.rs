//! The core on a disk whose syncs a test holds back or fails.
use super::*;
use crate::config::{self, Sync};
use crate::journal::How;
use crate::owner::Owner;
use bytes::Bytes;
use serde_json::json;
use std::cell::Cell;
use std::fs::File;
use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex};
use store::files::Append;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

const BOUND: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, PartialEq)]
enum Gate {
    Open,
    Closed,
    Fails,
}

/// The state of the gate, and syncs that have come to it.
struct Held {
    gate: Gate,
    syncs: usize,
}

#[derive(Clone)]
struct Syncs(Arc<(Mutex<Held>, Condvar)>);

impl Syncs {
    fn new() -> Syncs {
        Syncs(Arc::new((Mutex::new(Held { gate: Gate::Open, syncs: 0 }), Condvar::new())))
    }

    fn set(&self, gate: Gate) {
        self.0 .0.lock().unwrap().gate = gate;
        self.0 .1.notify_all();
    }

    fn count(&self) -> usize {
        self.0 .0.lock().unwrap().syncs
    }

    fn pass(&self) -> io::Result<()> {
        let mut held = self.0 .0.lock().unwrap();
        held.syncs += 1;
        // Bounded, so that a test that fails ends.
        let (held, _) = self.0 .1.wait_timeout_while(held, BOUND, |h| h.gate == Gate::Closed).unwrap();
        match held.gate {
            Gate::Fails => Err(io::Error::other("the disk fails")),
            _ => Ok(()),
        }
    }
}

struct Gated(Disk, Syncs);
struct GatedFile(File, Syncs);

impl Files for Gated {
    type File = GatedFile;

    fn names(&self) -> io::Result<Vec<String>> {
        self.0.names()
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.0.read(name)
    }
    fn head(&self, name: &str, length: usize) -> io::Result<Vec<u8>> {
        self.0.head(name, length)
    }
    fn create(&self, name: &str) -> io::Result<GatedFile> {
        Ok(GatedFile(self.0.create(name)?, self.1.clone()))
    }
    fn cut(&self, name: &str, length: u64) -> io::Result<()> {
        self.0.cut(name, length)
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }
    fn sync_names(&self) -> io::Result<()> {
        Ok(())
    }
}

impl Append for GatedFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.append(bytes)
    }
    fn sync(&mut self) -> io::Result<()> {
        self.1.pass()
    }
    fn another(&self) -> io::Result<GatedFile> {
        Ok(GatedFile(self.0.another()?, self.1.clone()))
    }
}

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("sender-core-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("journal")).unwrap();
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn how(folder: &Path) -> How<'_> {
    How { folder, name: "n0", disk_mb: 3.0, max_attempts: 3, sync: Sync::Group }
}

fn journal(folder: &Path, syncs: &Syncs) -> Journal<Gated> {
    let owner = Owner::claim(folder).unwrap().expect("nobody else has it");
    let files = Gated(Disk::new(&folder.join("journal")), syncs.clone());
    Journal::on(files, owner, &how(folder)).unwrap()
}

fn config(folder: &Path) -> Config {
    let class = json!({"Name": "order", "PromiseNs": 3_000_000_000u64, "DeadlineNs": 16_000_000_000u64,
        "Effect": "unsafe", "DedupScope": "all", "WindowNs": 15_000_000_000u64, "Worth": 1, "LateWorth": 0.3});
    let settings = json!({"NInstances": 1, "TickNs": 5_000_000, "Kinds": ["plain"], "Localities": ["z"],
        "Realms": [{"Name": "acme", "QuotaPerS": 100.0}], "Weights": "silent",
        "FamilyInfo": {"CallsOut": 16, "KindBatch": [1], "SeparateRoutes": [false]},
        "Feedback": {"Source": "piggyback", "Fields": []},
        "Limits": {"MaxOpen": 100, "MaxAttempts": 3, "Cancel": true, "IdleCloseNs": 20_000_000_000u64,
            "DialTimeoutNs": 1_000_000_000, "MaxRetryAfterNs": 3_000_000_000u64},
        "Safety": {"StartCapacity": 0.26, "ColdNs": 9_500_000_000u64, "FallMultiple": 1.5,
            "OverloadForNs": 2_000_000_000},
        "Services": [class]});
    let (read, around) = sender::settings::read(&settings).unwrap();
    let nowhere = "127.0.0.1:1".parse().unwrap();
    Config {
        name: "n0".into(),
        sync: Sync::Group,
        learned: None,
        listen: nowhere,
        discovery: nowhere,
        control: None,
        state: folder.to_path_buf(),
        seed: 1,
        limits: config::Limits { sockets: 64, disk_mb: 3.0, memory_mb: None },
        catalogue: catalogue::Limits::of_memory(64 << 20),
        settings: read,
        told: settings.to_string(),
        around,
    }
}

/// An endpoint that counts calls and answers each with 200.
async fn endpoint(calls: Rc<Cell<usize>>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let calls = calls.clone();
            spawn_local(async move {
                let mut buffer = [0; 4 << 10];
                while let Ok(1..) = stream.read(&mut buffer).await {
                    calls.set(calls.get() + 1);
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
                }
            });
        }
    });
    at
}

fn offer(id: &str) -> (Input, oneshot::Receiver<Reply>) {
    offer_to(7, id)
}

fn offer_to(dest: u64, id: &str) -> (Input, oneshot::Receiver<Reply>) {
    let taken = Taken {
        id: 0,
        class: "order".into(),
        tenant: "acme".into(),
        dest,
        trace: id.into(),
        key: None,
        end: wall_ms() + 16_000,
        body: Bytes::from_static(b"body"),
    };
    let (reply, answer) = oneshot::channel();
    (Input::Offer { taken, end: Instant::now() + Duration::from_secs(16), reply }, answer)
}

async fn until(what: &str, so: impl Fn() -> bool) {
    let until = Instant::now() + BOUND;
    while !so() {
        assert!(Instant::now() < until, "waited in vain until {what}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn read_list(list: &serde_json::Value) -> Catalogue {
    let (bytes, limits) = (list.to_string(), catalogue::Limits::of_memory(64 << 20));
    catalogue::intake::read(bytes.as_bytes(), &Catalogue::default(), &limits).unwrap().catalogue
}

/// A list of one endpoint of destination 7.
fn one_listed(name: &str, at: std::net::SocketAddr, generation: u64) -> Catalogue {
    read_list(&json!({"generation": generation, "reset": true, "instances": [{"instanceId": name,
        "hostPort": at.to_string(), "zone": "z", "machineType": "plain", "cell": 7, "lifecycle": "Ready",
        "weight": 1.0, "startedAtMs": 0}]}))
}

/// A core that serves on such a disk: its inbox, its syncs, and the calls that its endpoint gets.
async fn started(folder: &Path) -> (mpsc::Sender<Input>, Syncs, Rc<Cell<usize>>) {
    let calls = Rc::new(Cell::new(0));
    let at = endpoint(calls.clone()).await;
    let (core_in, syncs, _) = started_with(folder, one_listed("e-1", at, 1), |_| None).await;
    (core_in, syncs, calls)
}

/// The same with a list and what another process may have handed over; also what its watch goes on from.
async fn started_with(
    folder: &Path,
    known: Catalogue,
    state: impl Fn(&Config) -> Option<State>,
) -> (mpsc::Sender<Input>, Syncs, Catalogue) {
    let syncs = Syncs::new();
    let config = config(folder);
    let state = state(&config);
    let (core_in, inbox) = mpsc::channel(64);
    let (_, asks) = mpsc::channel(1);
    let (notices, _) = mpsc::unbounded_channel();
    let directory = Rc::new(Directory::new(&config.around, &config.settings.kinds));
    let client = EndpointClient::new(core_in.clone(), directory.clone(), 1_000_000_000, 20_000_000_000, 32);
    let listed = (directory, Rc::new(client));
    let maint = Maint::open(folder, 1).unwrap();
    let mut core = Core::new(config, journal(folder, &syncs), maint, listed, inbox, asks, notices);
    let start = core.start(known, state);
    core.resume(start.unended, start.new_to_module).await;
    spawn_local(core.run());
    (core_in, syncs, start.watched)
}

/// What a process has handed over whose module knows nothing, of a list of a generation.
fn handed_over(config: &Config, generation: u64) -> State {
    State {
        settings: config.told.clone(),
        module: Sender::new(config.settings.clone(), 1),
        clock: (CLOCK_START, wall_ns()),
        numbered: Numbered { endpoints: Vec::new(), whole: false, next_id: 5, generation: Some(generation) },
        held: Unended::new(),
        calls: Vec::new(),
        next_id: 0,
        keeps: Vec::new(),
    }
}

fn changes(catalogue: Catalogue, changed: Vec<EndpointId>) -> Input {
    let (generation, entries) = (catalogue.generation().unwrap_or(0), changed.len());
    Input::Catalogue(intake::Taken { catalogue, generation, reset: false, changed, entries, unreadable: 0 })
}

fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn in_groups_no_answer_and_no_call_goes_before_the_sync_and_one_sync_serves_all_that_wait() {
    let folder = Folder::new("group");
    on_one_thread(async {
        let (core, syncs, calls) = started(&folder.0).await;
        // The segment is begun with syncs of its own.
        let (input, answer) = offer("m0");
        core.send(input).await.unwrap();
        assert!(matches!(answer.await, Ok(Reply::TakenOn)));
        until("it is delivered", || calls.get() == 1).await;
        let before = syncs.count();
        syncs.set(Gate::Closed);
        let (input, first) = offer("m1");
        core.send(input).await.unwrap();
        until("the first sync is asked for", || syncs.count() == before + 1).await;
        // These wait for the same disk.
        let mut others = Vec::new();
        for number in 2..=20 {
            let (input, answer) = offer(&format!("m{number}"));
            core.send(input).await.unwrap();
            others.push(answer);
        }
        // Whatever could go out without the sync has had its time.
        for _ in 0..200 {
            tokio::task::yield_now().await;
        }
        assert_eq!(calls.get(), 1);
        assert!(others.iter_mut().all(|answer| answer.try_recv().is_err()));
        assert_eq!(syncs.count(), before + 1);
        syncs.set(Gate::Open);
        assert!(matches!(first.await, Ok(Reply::TakenOn)));
        for answer in others {
            assert!(matches!(answer.await, Ok(Reply::TakenOn)));
        }
        // One for the first and one for all that came meanwhile; calls that begin later have theirs.
        let count = syncs.count() - before;
        assert!((2..8).contains(&count), "{count} syncs for 20 messages");
        until("all are delivered", || calls.get() == 21).await;
    });
}

#[test]
fn a_sync_that_fails_takes_nothing_on_calls_nobody_and_leaves_nothing_to_the_next_process() {
    let folder = Folder::new("fails");
    on_one_thread(async {
        let (core, syncs, calls) = started(&folder.0).await;
        syncs.set(Gate::Fails);
        let (input, answer) = offer("m1");
        core.send(input).await.unwrap();
        assert!(matches!(answer.await, Ok(Reply::Refused(Some(_)))));
        let healthy = || async {
            let (reply, health) = oneshot::channel();
            core.send(Input::Health(reply)).await.unwrap();
            health.await.unwrap()
        };
        assert!(!healthy().await);
        syncs.set(Gate::Open);
        let until = Instant::now() + BOUND;
        while !healthy().await {
            assert!(Instant::now() < until, "it stays unhealthy");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(calls.get(), 0);
        let (input, answer) = offer("m2");
        core.send(input).await.unwrap();
        assert!(matches!(answer.await, Ok(Reply::TakenOn)));
        drop(core);
    });
    // As a process that is killed now leaves it.
    let syncs = Syncs::new();
    let left = journal(&folder.0, &syncs);
    assert!(left.live().values().all(|owed| owed.taken.trace != "m1"));
}

#[test]
fn what_an_old_list_names_beyond_a_handover_is_called_once_the_first_answer_has_come() {
    let folder = Folder::new("partial");
    on_one_thread(async {
        let calls = Rc::new(Cell::new(0));
        let at = endpoint(calls.clone()).await;
        let known = one_listed("e-1", at, 1);
        let (core, _, watched) = started_with(&folder.0, known, |c| Some(handed_over(c, 2))).await;
        let (input, answer) = offer("m1");
        core.send(input).await.unwrap();
        assert!(matches!(answer.await, Ok(Reply::TakenOn)));
        for _ in 0..200 {
            tokio::task::yield_now().await;
        }
        assert_eq!(calls.get(), 0, "the process before may have been told that it is gone");
        // Nothing has changed since, so that the answer names nothing.
        core.send(changes(watched, Vec::new())).await.unwrap();
        until("it is delivered", || calls.get() == 1).await;
    });
}

#[test]
fn what_operators_took_out_before_a_list_named_it_gets_nothing_until_they_put_it_back() {
    let folder = Folder::new("unlisted");
    std::fs::write(folder.0.join("maint"), r#"{"out": ["e-1"]}"#).unwrap();
    on_one_thread(async {
        let calls = Rc::new(Cell::new(0));
        let at = endpoint(calls.clone()).await;
        let (core, ..) = started_with(&folder.0, Catalogue::default(), |_| None).await;
        let (input, answer) = offer("m1");
        core.send(input).await.unwrap();
        assert!(matches!(answer.await, Ok(Reply::TakenOn)));
        let listed = one_listed("e-1", at, 1);
        let id = listed.id("e-1").unwrap();
        core.send(changes(listed, vec![id])).await.unwrap();
        let change = |name: &str| {
            let (reply, change) = oneshot::channel();
            (Input::Maint { name: name.into(), out: false, reply }, change)
        };
        let (input, unknown) = change("e-2");
        core.send(input).await.unwrap();
        assert_eq!(unknown.await, Ok(Change::Unknown));
        for _ in 0..200 {
            tokio::task::yield_now().await;
        }
        assert_eq!(calls.get(), 0);
        let (input, done) = change("e-1");
        core.send(input).await.unwrap();
        assert_eq!(done.await, Ok(Change::Done));
        until("it is delivered", || calls.get() == 1).await;
    });
}

#[test]
fn what_the_module_was_not_told_of_a_whole_list_is_told_before_a_handover() {
    // More than are told at once.
    const DESTINATIONS: u64 = 300;
    let folder = Folder::new("behind");
    on_one_thread(async {
        let calls = Rc::new(Cell::new(0));
        let at = endpoint(calls.clone()).await;
        let listed = |name: &str, generation: u64| {
            let entry = |dest| {
                json!({"instanceId": format!("{name}-{dest}"), "hostPort": at.to_string(), "zone": "z",
                        "machineType": "plain", "cell": dest, "lifecycle": "Ready", "weight": 1.0,
                        "startedAtMs": 0})
            };
            let instances: Vec<_> = (0..DESTINATIONS).map(entry).collect();
            json!({"generation": generation, "reset": true, "instances": instances}).to_string()
        };
        let limits = catalogue::Limits::of_memory(64 << 20);
        let read = |list: String, current: &Catalogue| {
            catalogue::intake::read(list.as_bytes(), current, &limits).unwrap()
        };
        let first = read(listed("old", 1), &Catalogue::default()).catalogue;
        let (core_in, _, _) = started_with(&folder.0, first.clone(), |_| None).await;
        for dest in 0..DESTINATIONS {
            let (input, answer) = offer_to(dest, &format!("m-{dest}"));
            core_in.send(input).await.unwrap();
            assert!(matches!(answer.await, Ok(Reply::TakenOn)));
            until("it is delivered", || calls.get() as u64 == dest + 1).await;
        }
        // Both come in one round.
        let second = read(listed("new", 2), &first);
        let new = second.catalogue.clone();
        let (reply, state) = oneshot::channel();
        core_in.try_send(Input::Catalogue(second)).unwrap();
        core_in.try_send(Input::HandOver(reply)).unwrap();
        let state = state.await.unwrap().expect("it hands over");
        let told = new.ids().filter(|&endpoint| state.module.knows_endpoint(endpoint)).count();
        assert_eq!(told as u64, DESTINATIONS);
    });
}
