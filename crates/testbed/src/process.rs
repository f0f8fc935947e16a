//! Senders as child processes: each has a process group of its own, is killed by the kernel if the testbed
//! dies, and has its log kept up to a size limit.
use crate::addresses;
use crate::endpoints::StubContext;
use crate::facts::{FactKind, ProcessEvent};
use crate::plan::Plan;
use crate::program::{self, ProgramError};
use crate::spec::{StateFolder, Sync};
use rustix::process::{kill_process_group, set_parent_process_death_signal, Pid, Signal};
use serde_json::{json, Value};
use std::ffi::OsString;
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

/// Interval between two readiness checks of a starting sender.
const READINESS_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a process has to end after SIGTERM or SIGKILL.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Size in bytes up to which a sender's log takes the output of its processes. Further output is read and
/// discarded, so that no process blocks.
const MAX_LOG_BYTES: u64 = 64 << 20;

/// Why a sender's process cannot be started or ended.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    #[error("cannot start {program}: {error}")]
    Spawn { program: PathBuf, error: io::Error },
    #[error("cannot write {path}: {error}")]
    File { path: PathBuf, error: io::Error },
    #[error("the previous process of sender {sender} has not ended in time")]
    NotEnded { sender: u32 },
    #[error("cannot reserve a loopback address for a sender: {0}")]
    Address(io::Error),
    #[error(transparent)]
    FaultLibrary(#[from] ProgramError),
}

/// Returns the environment of a process of which this share of reads and writes of sockets, in percent, is
/// cut short.
fn fault_environment(short_percent: u32, seed: u64) -> Result<Vec<(&'static str, OsString)>, ProgramError> {
    if short_percent == 0 {
        return Ok(Vec::new());
    }
    Ok(vec![
        ("LD_PRELOAD", program::find_fault_library()?.into()),
        ("FAULT_SHORT_PERCENT", short_percent.to_string().into()),
        ("FAULT_SEED", seed.to_string().into()),
    ])
}

/// A signal that a schedule sends to a running process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    Kill,
    Terminate,
    Pause,
    Continue,
    Reload,
}

/// State of a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Down,
    Starting,
    Ready,
}

/// One sender of the testbed, with its address and folder; it outlives its successive processes.
pub struct Sender {
    number: u32,
    program: PathBuf,
    folder: PathBuf,
    address: SocketAddr,
    /// Contents of `config.json` as the platform writes it; `discovery` changes when discovery moves.
    config: Value,
    /// Environment variables that make calls of the system fail.
    faults: Vec<(&'static str, OsString)>,
    ready_within: Duration,
    phase: Arc<watch::Sender<Phase>>,
    signals: Option<mpsc::UnboundedSender<ProcessSignal>>,
    /// Whether a process should run according to the schedule.
    should_run: bool,
    context: StubContext,
}

impl Sender {
    /// Creates the sender's folder in `work_folder` and draws up its configuration, without starting a
    /// process.
    pub fn new(
        plan: &Plan,
        number: u32,
        (program, work_folder): (&Path, &Path),
        discovery: SocketAddr,
        context: &StubContext,
    ) -> Result<Sender, ProcessError> {
        let address = addresses::reserve().map_err(ProcessError::Address)?;
        let drawn = &plan.senders[number as usize];
        let program_limits = &plan.spec.program;
        let folder = work_folder.join(&drawn.name);
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
            faults: fault_environment(program_limits.short_counts, plan.seed.0)?,
            ready_within: Duration::from_secs_f64(program_limits.ready_s),
            phase: Arc::new(watch::Sender::new(Phase::Down)),
            signals: None,
            should_run: false,
            context: context.clone(),
        })
    }

    /// Returns the sender's number in the plan.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Returns the address that its processes listen on for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Subscribes to the state of its process.
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    fn record(&self, event: ProcessEvent) {
        self.context.fact_log.record(FactKind::Process { sender: self.number, event });
    }

    fn write_config(&self) -> Result<PathBuf, ProcessError> {
        let path = self.folder.join("config.json");
        // A running sender may read the file at any time, so it is replaced atomically by a rename.
        let new = self.folder.join("config.json.new");
        let text = format!("{:#}\n", self.config);
        let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &path));
        written.map_err(|error| ProcessError::File { path: path.clone(), error })?;
        Ok(path)
    }

    /// Returns the folder of its journal and other state.
    pub fn state_folder(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Starts a process.
    ///
    /// `other` is the state folder to copy for `StateFolder::Another`, `known` the last endpoint list of this
    /// sender, and `seed` the seed of the process's random numbers, which is new for each process.
    ///
    /// Waits until a process that was told to end has ended, as the new one takes over its address and
    /// folder. Does nothing if the last process was not told to end, as when two restarts overlap.
    pub async fn start(
        &mut self,
        folder: StateFolder,
        other: &Path,
        known: Value,
        seed: u64,
    ) -> Result<(), ProcessError> {
        if self.should_run {
            return Ok(());
        }
        let ended = timeout(EXIT_TIMEOUT, self.phase().wait_for(|p| *p == Phase::Down)).await.is_ok();
        if !ended {
            return Err(ProcessError::NotEnded { sender: self.number });
        }
        self.should_run = true;
        self.config["known"] = known;
        self.config["seed"] = json!(format!("{seed:016x}"));
        let config = self.write_config()?;
        match folder {
            StateFolder::Keep => {}
            StateFolder::Empty => {
                let state = self.state_folder();
                clear_folder(&state).map_err(|error| ProcessError::File { path: state, error })?;
                self.record(ProcessEvent::Emptied);
            }
            StateFolder::Another => self.start_with_foreign_state(other, &config).await?,
        }
        self.spawn(&config, false)
    }

    /// Starts a process on a copy of another sender's state folder, which it has to refuse, and then restores
    /// its own folder, as operators would do.
    async fn start_with_foreign_state(&mut self, other: &Path, config: &Path) -> Result<(), ProcessError> {
        let (state, own) = (self.state_folder(), self.folder.join("state.own"));
        let failed = |error| ProcessError::File { path: state.clone(), error };
        std::fs::rename(&state, &own).map_err(failed)?;
        std::fs::create_dir(&state).and_then(|()| copy_files(other, &state)).map_err(failed)?;
        self.spawn(config, true)?;
        let refuses =
            timeout(self.ready_within, self.phase().wait_for(|p| *p != Phase::Starting)).await.is_ok();
        if refuses && *self.phase().borrow() == Phase::Down {
            self.record(ProcessEvent::RefusedFolder);
        } else {
            self.record(ProcessEvent::TookForeignFolder);
            self.send_signal(ProcessSignal::Kill);
            self.should_run = true;
            let _ = timeout(EXIT_TIMEOUT, self.phase().wait_for(|p| *p == Phase::Down)).await;
        }
        std::fs::remove_dir_all(&state).and_then(|()| std::fs::rename(&own, &state)).map_err(failed)
    }

    /// Spawns the process and the tasks that watch it; `expect_exit` if it is expected to exit by itself.
    fn spawn(&mut self, config: &Path, expect_exit: bool) -> Result<(), ProcessError> {
        let log = self.folder.join("log");
        let mut command = Command::new(&self.program);
        command
            .env("EDGE_NAME", self.config["name"].as_str().unwrap_or_default())
            .env("EDGE_LISTEN", self.address.to_string())
            .env("EDGE_DISCOVERY", self.config["discovery"].as_str().unwrap_or_default())
            .env("EDGE_STATE", self.state_folder())
            .env("EDGE_CONFIG", config)
            .envs(self.faults.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .process_group(0)
            .kill_on_drop(true);
        // SAFETY: between fork and exec only one system call is made, which allocates nothing and takes no
        // lock.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        let failed = |error| ProcessError::Spawn { program: self.program.clone(), error };
        let mut child = command.spawn().map_err(failed)?;
        for output in [child.stdout.take().map(boxed), child.stderr.take().map(boxed)].into_iter().flatten() {
            tokio::spawn(keep_log(output, log.clone()));
        }
        self.record(ProcessEvent::Started);
        self.phase.send_replace(Phase::Starting);
        let (signals, to_send) = mpsc::unbounded_channel();
        self.signals = Some(signals);
        tokio::spawn(supervise(
            child,
            to_send,
            self.phase.clone(),
            self.context.clone(),
            self.number,
            expect_exit,
        ));
        let deadline = Instant::now() + self.ready_within;
        tokio::spawn(await_readiness(
            self.address,
            deadline,
            self.phase.clone(),
            self.context.clone(),
            self.number,
        ));
        Ok(())
    }

    /// Sends a signal to the process, if there is one.
    pub fn send_signal(&mut self, signal: ProcessSignal) {
        self.should_run &= !matches!(signal, ProcessSignal::Kill | ProcessSignal::Terminate);
        if let Some(signals) = &self.signals {
            // The process may have ended meanwhile.
            let _ = signals.send(signal);
        }
    }

    /// Changes discovery's address as the platform does: replaces the configuration and sends SIGHUP.
    pub fn move_discovery(&mut self, to: SocketAddr) -> Result<(), ProcessError> {
        self.config["discovery"] = json!(to.to_string());
        self.write_config()?;
        // A starting process may have read the old file already, so the signal waits until it is ready.
        let (mut phase, ready_within) = (self.phase(), self.ready_within);
        let signals = self.signals.clone();
        tokio::spawn(async move {
            let ready = phase.wait_for(|p| *p == Phase::Ready);
            if let (Ok(Ok(_)), Some(signals)) = (timeout(ready_within, ready).await, signals) {
                let _ = signals.send(ProcessSignal::Reload);
            }
        });
        Ok(())
    }
}

/// Deletes everything in a folder.
fn clear_folder(folder: &Path) -> io::Result<()> {
    std::fs::remove_dir_all(folder)?;
    std::fs::create_dir_all(folder)
}

/// Replaces a folder's contents by copies of another folder's files and folders, without sockets.
fn copy_files(from: &Path, to: &Path) -> io::Result<()> {
    clear_folder(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let (kind, to) = (entry.file_type()?, to.join(entry.file_name()));
        if kind.is_dir() {
            std::fs::create_dir(&to)?;
            copy_files(&entry.path(), &to)?;
        } else if kind.is_file() {
            match std::fs::copy(entry.path(), to) {
                // The process that owns the source may delete files meanwhile.
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

/// Appends a process's output to its log until the log is full, and discards the rest.
async fn keep_log(mut from: Box<dyn AsyncRead + Send + Unpin>, path: PathBuf) {
    let file = File::options().create(true).append(true).open(&path).await;
    let Ok(mut file) = file else { return };
    let mut remaining = MAX_LOG_BYTES.saturating_sub(file.metadata().await.map_or(0, |m| m.len()));
    let mut buffer = vec![0; 16 << 10];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        let kept = remaining.min(read as u64) as usize;
        if kept > 0 && file.write_all(&buffer[..kept]).await.is_err() {
            remaining = 0;
        }
        remaining -= remaining.min(kept as u64);
    }
    let _ = file.flush().await;
}

/// Waits for the process to exit and sends it signals meanwhile.
///
/// One task does both, so that no signal goes to a process id that has been reused.
async fn supervise(
    mut child: Child,
    mut signals: mpsc::UnboundedReceiver<ProcessSignal>,
    phase: Arc<watch::Sender<Phase>>,
    context: StubContext,
    sender: u32,
    expect_exit: bool,
) {
    let record = |event| context.fact_log.record(FactKind::Process { sender, event });
    let mut exit_expected = expect_exit;
    let mut paused = false;
    loop {
        let requested = tokio::select! {
            biased;
            _ = child.wait() => break,
            Some(requested) = signals.recv() => requested,
        };
        if requested == ProcessSignal::Continue && !paused {
            continue;
        }
        let (signal, event) = match requested {
            ProcessSignal::Kill => (Signal::KILL, Some(ProcessEvent::Killed)),
            ProcessSignal::Terminate => (Signal::TERM, Some(ProcessEvent::Terminated)),
            ProcessSignal::Pause => (Signal::STOP, Some(ProcessEvent::Paused)),
            ProcessSignal::Continue => (Signal::CONT, Some(ProcessEvent::Continued)),
            ProcessSignal::Reload => (Signal::HUP, None),
        };
        exit_expected |= matches!(requested, ProcessSignal::Kill | ProcessSignal::Terminate);
        if let Some(event) = event {
            record(event);
        }
        paused = requested == ProcessSignal::Pause || paused && requested != ProcessSignal::Continue;
        if let Some(pid) = child.id().and_then(|id| Pid::from_raw(id as i32)) {
            // The process may be exiting at this moment.
            let _ = kill_process_group(pid, signal);
            if paused && requested == ProcessSignal::Terminate {
                // A stopped process handles SIGTERM only after SIGCONT, which the schedule may never send.
                let _ = kill_process_group(pid, Signal::CONT);
            }
        }
    }
    record(ProcessEvent::Exited { expected: exit_expected });
    phase.send_replace(Phase::Down);
}

/// Polls the sender's readiness, as the platform does, until it is ready or the deadline has passed.
async fn await_readiness(
    address: SocketAddr,
    deadline: Instant,
    phase: Arc<watch::Sender<Phase>>,
    context: StubContext,
    sender: u32,
) {
    loop {
        if *phase.borrow() != Phase::Starting {
            return;
        }
        if timeout(READINESS_TIMEOUT, crate::http::is_ready(address, context.clock)).await == Ok(true) {
            break;
        }
        if Instant::now() >= deadline {
            context.fact_log.record(FactKind::Process { sender, event: ProcessEvent::NotReady });
            return;
        }
        sleep(READINESS_INTERVAL).await;
    }
    let became_ready = phase.send_if_modified(|p| {
        let starting = *p == Phase::Starting;
        if starting {
            *p = Phase::Ready;
        }
        starting
    });
    if became_ready {
        context.fact_log.record(FactKind::Process { sender, event: ProcessEvent::Ready });
    }
}
