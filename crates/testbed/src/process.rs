//! Senders as child processes: each in a process group of its own, killed by the kernel where the testbed dies, its
//! log kept up to a bound.
use crate::addresses;
use crate::endpoints::StubContext;
use crate::facts::{FactKind, ProcessEvent};
use crate::plan::Plan;
use crate::spec::{StateFolder, Sync};
use rustix::process::{kill_process_group, set_parent_process_death_signal, Pid, Signal};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use tokio::fs::File;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Instant};

/// How often a sender is asked whether it is ready, and how long each time.
const ASK_EVERY: Duration = Duration::from_millis(20);
const ANSWERS_WITHIN: Duration = Duration::from_secs(1);
/// A process that got SIGKILL has ended by then, unless something is wrong with the machine.
const ENDS_WITHIN: Duration = Duration::from_secs(10);
/// Bytes of a process's output that are kept; what is past it is read and dropped, so that the process goes on.
const LOG_BOUND: u64 = 64 << 20;

#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    #[error("cannot start {program}: {error}")]
    Spawn { program: PathBuf, error: io::Error },
    #[error("cannot write {path}: {error}")]
    File { path: PathBuf, error: io::Error },
    #[error("sender {sender} has not ended after SIGKILL")]
    Lingers { sender: u32 },
    #[error("no address for a sender: {0}")]
    Address(io::Error),
}

/// What a schedule does to a running process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blow {
    Kill,
    Terminate,
    Pause,
    Continue,
    Reload,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Down,
    Starting,
    Ready,
}

/// One sender: its place in the testbed, which outlasts its processes.
pub struct Sender {
    number: u32,
    program: PathBuf,
    folder: PathBuf,
    address: SocketAddr,
    /// As the platform writes it; discovery's address changes when it moves.
    config: Value,
    ready_within: Duration,
    phase: Arc<watch::Sender<Phase>>,
    blows: Option<mpsc::UnboundedSender<Blow>>,
    /// By the schedule there is a process.
    wanted: bool,
    ground: StubContext,
}

impl Sender {
    /// Lays the sender's folder out in `work`; nothing runs yet.
    pub fn new(
        plan: &Plan,
        number: u32,
        (program, work): (&Path, &Path),
        discovery: SocketAddr,
        ground: &StubContext,
    ) -> Result<Sender, ProcessError> {
        let address = addresses::free().map_err(ProcessError::Address)?;
        let drawn = &plan.senders[number as usize];
        let program_limits = &plan.spec.program;
        let folder = work.join(&drawn.name);
        let state = folder.join("state");
        std::fs::create_dir_all(&state).map_err(|error| ProcessError::File { path: state, error })?;
        let mut config = json!({
            "name": drawn.name, "listen": address.to_string(), "discovery": discovery.to_string(), "seed": "",
            "limits": {"cores": 1.0, "memory_mb": program_limits.memory_mb, "sockets": program_limits.sockets,
                "disk_mb": program_limits.disk_mb},
            "known": {"generation": 0, "reset": true, "instances": []},
            "settings": plan.settings(number as usize),
        });
        let mut store = json!({});
        match program_limits.sync {
            Sync::None => {}
            Sync::Group => store["sync"] = json!("group"),
            Sync::Interval => {
                store["sync"] = json!("interval");
                store["interval_ms"] = json!(program_limits.interval_ms);
            }
        }
        if let Some(seconds) = program_limits.learned_s {
            store["learned_s"] = json!(seconds);
        }
        config["store"] = store;
        Ok(Sender {
            number,
            program: program.to_path_buf(),
            folder,
            address,
            config,
            ready_within: Duration::from_secs_f64(program_limits.ready_s),
            phase: Arc::new(watch::Sender::new(Phase::Down)),
            blows: None,
            wanted: false,
            ground: ground.clone(),
        })
    }

    pub fn number(&self) -> u32 {
        self.number
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    fn note(&self, life: ProcessEvent) {
        self.ground.fact_log.record(FactKind::Process { sender: self.number, event: life });
    }

    fn write_config(&self) -> Result<PathBuf, ProcessError> {
        let path = self.folder.join("config.json");
        // To the side and renamed, as a running sender may read it at any time.
        let new = self.folder.join("config.json.new");
        let text = format!("{:#}\n", self.config);
        let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &path));
        written.map_err(|error| ProcessError::File { path: path.clone(), error })?;
        Ok(path)
    }

    pub fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Starts a process. `other` is the folder that it finds where that is another's, `known` is the list as this sender last had it, `seed` its random numbers' (new each time).
    ///
    /// One that was told to end is waited for, as its successor gets its address and its folder; where one runs that
    /// was not, as where two restarts cross each other, that one is left alone.
    pub async fn start(
        &mut self,
        folder: StateFolder,
        other: &Path,
        known: Value,
        seed: u64,
    ) -> Result<(), ProcessError> {
        if self.wanted {
            return Ok(());
        }
        let ended = timeout(ENDS_WITHIN, self.phase().wait_for(|p| *p == Phase::Down)).await.is_ok();
        if !ended {
            return Err(ProcessError::Lingers { sender: self.number });
        }
        self.wanted = true;
        self.config["known"] = known;
        self.config["seed"] = json!(format!("{seed:016x}"));
        let config = self.write_config()?;
        match folder {
            StateFolder::Keep => {}
            StateFolder::Empty => {
                let state = self.state();
                empty(&state).map_err(|error| ProcessError::File { path: state, error })?;
                self.note(ProcessEvent::Emptied);
            }
            StateFolder::Another => self.mistake(other, &config).await?,
        }
        self.spawn(&config, false)
    }

    /// A process finds a copy of another's folder in place of its own, and has to refuse it. Then it is given its own
    /// again, as operators would do.
    async fn mistake(&mut self, other: &Path, config: &Path) -> Result<(), ProcessError> {
        let (state, own) = (self.state(), self.folder.join("state.own"));
        let failed = |error| ProcessError::File { path: state.clone(), error };
        std::fs::rename(&state, &own).map_err(failed)?;
        std::fs::create_dir(&state).and_then(|()| copy_files(other, &state)).map_err(failed)?;
        self.spawn(config, true)?;
        let refuses =
            timeout(self.ready_within, self.phase().wait_for(|p| *p != Phase::Starting)).await.is_ok();
        if refuses && *self.phase().borrow() == Phase::Down {
            self.note(ProcessEvent::RefusedFolder);
        } else {
            self.note(ProcessEvent::TookForeignFolder);
            self.strike(Blow::Kill);
            self.wanted = true;
            let _ = timeout(ENDS_WITHIN, self.phase().wait_for(|p| *p == Phase::Down)).await;
        }
        std::fs::remove_dir_all(&state).and_then(|()| std::fs::rename(&own, &state)).map_err(failed)
    }

    /// Starts a process; `ends` where it is expected to end by itself.
    fn spawn(&mut self, config: &Path, ends: bool) -> Result<(), ProcessError> {
        let log = self.folder.join("log");
        let mut command = Command::new(&self.program);
        command
            .env("EDGE_NAME", self.config["name"].as_str().unwrap_or_default())
            .env("EDGE_LISTEN", self.address.to_string())
            .env("EDGE_DISCOVERY", self.config["discovery"].as_str().unwrap_or_default())
            .env("EDGE_STATE", self.state())
            .env("EDGE_CONFIG", config)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .process_group(0)
            .kill_on_drop(true);
        // SAFETY: between fork and exec only one system call is made, which allocates nothing and takes no lock.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        let failed = |error| ProcessError::Spawn { program: self.program.clone(), error };
        let mut child = command.spawn().map_err(failed)?;
        for output in [child.stdout.take().map(boxed), child.stderr.take().map(boxed)].into_iter().flatten() {
            tokio::spawn(keep_log(output, log.clone()));
        }
        self.note(ProcessEvent::Started);
        self.phase.send_replace(Phase::Starting);
        let (blows, to_do) = mpsc::unbounded_channel();
        self.blows = Some(blows);
        tokio::spawn(watch_over(child, to_do, self.phase.clone(), self.ground.clone(), self.number, ends));
        let until = Instant::now() + self.ready_within;
        tokio::spawn(until_ready(self.address, until, self.phase.clone(), self.ground.clone(), self.number));
        Ok(())
    }

    /// Does something to the process, if there is one.
    pub fn strike(&mut self, blow: Blow) {
        self.wanted &= !matches!(blow, Blow::Kill | Blow::Terminate);
        if let Some(blows) = &self.blows {
            // Its process may have ended.
            let _ = blows.send(blow);
        }
    }

    /// Discovery has another address: the platform replaces the configuration and sends SIGHUP.
    pub fn move_discovery(&mut self, to: SocketAddr) -> Result<(), ProcessError> {
        self.config["discovery"] = json!(to.to_string());
        self.write_config()?;
        // A process that is not ready yet reads the new file or keeps the old address; it is told once it is ready.
        let (mut phase, within) = (self.phase(), self.ready_within);
        let blows = self.blows.clone();
        tokio::spawn(async move {
            let ready = phase.wait_for(|p| *p == Phase::Ready);
            if let (Ok(Ok(_)), Some(blows)) = (timeout(within, ready).await, blows) {
                let _ = blows.send(Blow::Reload);
            }
        });
        Ok(())
    }
}

fn empty(folder: &Path) -> io::Result<()> {
    std::fs::remove_dir_all(folder)?;
    std::fs::create_dir_all(folder)
}

/// Makes a folder hold copies of another one's files. Sockets of the other's process are none of them.
fn copy_files(from: &Path, to: &Path) -> io::Result<()> {
    empty(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let (kind, to) = (entry.file_type()?, to.join(entry.file_name()));
        if kind.is_dir() {
            std::fs::create_dir(&to)?;
            copy_files(&entry.path(), &to)?;
        } else if kind.is_file() {
            match std::fs::copy(entry.path(), to) {
                // The other one's process goes on meanwhile.
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => {}
            }
        }
    }
    Ok(())
}

fn boxed(output: impl AsyncRead + Send + Unpin + 'static) -> Box<dyn AsyncRead + Send + Unpin> {
    Box::new(output)
}

/// Keeps the first of what a process writes, and goes on reading the rest.
async fn keep_log(mut from: Box<dyn AsyncRead + Send + Unpin>, path: PathBuf) {
    let file = File::options().create(true).append(true).open(&path).await;
    let Ok(mut file) = file else { return };
    let mut room = LOG_BOUND.saturating_sub(file.metadata().await.map_or(0, |m| m.len()));
    let mut buffer = vec![0; 16 << 10];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        let kept = room.min(read as u64) as usize;
        if kept > 0 && file.write_all(&buffer[..kept]).await.is_err() {
            room = 0;
        }
        room -= room.min(kept as u64);
    }
    let _ = file.flush().await;
}

/// Owns the process, so that no signal goes to a number that another process has by now.
async fn watch_over(
    mut child: Child,
    mut blows: mpsc::UnboundedReceiver<Blow>,
    phase: Arc<watch::Sender<Phase>>,
    ground: StubContext,
    sender: u32,
    ends: bool,
) {
    let note = |life| ground.fact_log.record(FactKind::Process { sender, event: life });
    let mut asked = ends;
    let mut paused = false;
    loop {
        let blow = tokio::select! {
            biased;
            _ = child.wait() => break,
            Some(blow) = blows.recv() => blow,
        };
        if blow == Blow::Continue && !paused {
            continue;
        }
        let (signal, life) = match blow {
            Blow::Kill => (Signal::KILL, Some(ProcessEvent::Killed)),
            Blow::Terminate => (Signal::TERM, Some(ProcessEvent::Terminated)),
            Blow::Pause => (Signal::STOP, Some(ProcessEvent::Paused)),
            Blow::Continue => (Signal::CONT, Some(ProcessEvent::Continued)),
            Blow::Reload => (Signal::HUP, None),
        };
        asked |= matches!(blow, Blow::Kill | Blow::Terminate);
        if let Some(life) = life {
            note(life);
        }
        paused = blow == Blow::Pause || paused && blow != Blow::Continue;
        if let Some(pid) = child.id().and_then(|id| Pid::from_raw(id as i32)) {
            // It may be ending at this moment.
            let _ = kill_process_group(pid, signal);
            if paused && blow == Blow::Terminate {
                // A stopped process gets it once it goes on, which the schedule may not have it do.
                let _ = kill_process_group(pid, Signal::CONT);
            }
        }
    }
    note(ProcessEvent::Exited { expected: asked });
    phase.send_replace(Phase::Down);
}

/// Asks until the sender says that it is ready, as the platform does.
async fn until_ready(
    at: SocketAddr,
    until: Instant,
    phase: Arc<watch::Sender<Phase>>,
    ground: StubContext,
    sender: u32,
) {
    loop {
        if *phase.borrow() != Phase::Starting {
            return;
        }
        if timeout(ANSWERS_WITHIN, crate::http::is_ready(at, ground.clock)).await == Ok(true) {
            break;
        }
        if Instant::now() >= until {
            ground.fact_log.record(FactKind::Process { sender, event: ProcessEvent::NotReady });
            return;
        }
        sleep(ASK_EVERY).await;
    }
    let became = phase.send_if_modified(|p| {
        let starting = *p == Phase::Starting;
        if starting {
            *p = Phase::Ready;
        }
        starting
    });
    if became {
        ground.fact_log.record(FactKind::Process { sender, event: ProcessEvent::Ready });
    }
}
