//! A real sender as a child process, started as the platform starts one and measured from outside.
use super::deployment::{zone_name, MACHINE_TYPES, ZONES};
use super::loop_probe::LoopProbe;
use super::usage::{self, ResidentMemory};
use crate::addresses;
use crate::clock::Clock;
use crate::http;
use crate::plan::Plan;
use crate::seed::Seed;
use crate::spec::Spec;
use rustix::process::{set_parent_process_death_signal, Signal};
use serde_json::{json, Value};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};

/// Number of senders in the whole fleet.
pub const FLEET_SENDERS: usize = 3_600;
/// Memory limit of a sender of the fleet, in MB.
pub const MEMORY_MB: u64 = 64;
/// Slots: about 2.3 times the calls in flight at 106 messages per second of 160 ms each, as in experiments.
const CALLS_OUT: usize = 40;
/// Limit on a sender's descriptors, unless another is given.
const DEFAULT_DESCRIPTORS: u64 = 1_024;
/// Interval between two readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_millis(5);

/// Timeout of one readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);

/// What a sender's configuration states about the fleet and its own limits.
#[derive(Clone, Copy, Debug)]
pub struct SenderParameters {
    /// Number of senders in the fleet.
    pub fleet: usize,
    /// Limit on its descriptors.
    pub descriptors: u64,
}

impl Default for SenderParameters {
    fn default() -> SenderParameters {
        SenderParameters { fleet: FLEET_SENDERS, descriptors: DEFAULT_DESCRIPTORS }
    }
}

/// Returns the settings of every sender of the synthetic deployment.
///
/// They are those of an experiment, with this deployment's zones and machine types and without stated rate
/// limits.
pub fn settings(fleet: usize) -> Value {
    let spec = Spec::parse(Path::new("scale"), "senders = 1").expect("an experiment with default values");
    let mut settings = Plan::draw(&spec, Seed(1)).settings(0);
    let zones: Vec<String> = (0..ZONES).map(zone_name).collect();
    let per_machine_type = |value: Value| Value::Array(vec![value; MACHINE_TYPES.len()]);
    settings["NInstances"] = json!(fleet);
    settings["Localities"] = json!(zones);
    settings["Kinds"] = json!(MACHINE_TYPES);
    settings["FamilyInfo"]["KindBatch"] = per_machine_type(json!(1));
    settings["FamilyInfo"]["SeparateRoutes"] = per_machine_type(json!(false));
    settings["FamilyInfo"]["RouteFee"] = json!(vec![0.0; ZONES as usize]);
    settings["FamilyInfo"]["CallsOut"] = json!(CALLS_OUT);
    settings["Limits"]["MaxOpen"] = json!(50_000);
    settings["Weights"] = json!("silent");
    settings
}

/// A running sender, which is killed when this is dropped.
pub struct RealSender {
    child: Child,
    address: SocketAddr,
    begun: Instant,
    folder: PathBuf,
}

impl RealSender {
    /// Starts a sender with an empty state folder in `folder`.
    pub fn start(
        program: &Path,
        folder: &Path,
        discovery: SocketAddr,
        number: u32,
        parameters: &SenderParameters,
    ) -> io::Result<RealSender> {
        let (state, config) = (folder.join("state"), folder.join("config.json"));
        std::fs::create_dir_all(&state)?;
        let address = addresses::reserve()?;
        let config_json = json!({
            "name": format!("n{number}"), "listen": address.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{number:016x}"),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": parameters.descriptors, "disk_mb": 64},
            "known": {"generation": 0, "reset": true, "instances": []},
            "settings": settings(parameters.fleet),
        });
        std::fs::write(&config, config_json.to_string())?;
        let mut command = Command::new(program);
        command
            .env("EDGE_STATE", &state)
            .env("EDGE_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(File::create(folder.join("stdout"))?)
            .stderr(File::create(folder.join("log"))?)
            .kill_on_drop(true);
        // SAFETY: between fork and exec only one system call is made, which allocates nothing and takes no
        // lock.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        let begun = Instant::now();
        Ok(RealSender { child: command.spawn()?, address, begun, folder: folder.to_path_buf() })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn process_id(&self) -> io::Result<u32> {
        self.child.id().ok_or_else(|| io::Error::other("the sender has ended"))
    }

    /// Returns its resident memory.
    pub fn memory(&self) -> io::Result<ResidentMemory> {
        usage::memory(self.process_id()?)
    }

    /// Returns its processor time so far.
    pub fn processor_time(&self) -> io::Result<Duration> {
        usage::processor_time(self.process_id()?)
    }

    /// Returns the processor time so far of the thread that runs its event loop.
    pub fn loop_processor_time(&self) -> io::Result<Duration> {
        Ok(usage::main_thread_times(self.process_id()?)?.ran)
    }

    /// Starts to measure how long its event loop is blocked.
    pub fn start_probe(&self) -> io::Result<LoopProbe> {
        LoopProbe::start(self.address, self.process_id()?)
    }

    /// Returns the number of its open descriptors.
    pub fn descriptors(&self) -> io::Result<usize> {
        usage::descriptors(self.process_id()?)
    }

    /// Returns the size of its state folder in bytes.
    pub fn state_bytes(&self) -> io::Result<u64> {
        let (mut folders, mut bytes) = (vec![self.folder.join("state")], 0);
        while let Some(folder) = folders.pop() {
            for entry in std::fs::read_dir(folder)? {
                let entry = entry?;
                match entry.file_type()?.is_dir() {
                    true => folders.push(entry.path()),
                    // The file may have been deleted meanwhile.
                    false => bytes += entry.metadata().map_or(0, |m| m.len()),
                }
            }
        }
        Ok(bytes)
    }

    /// Returns its log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Waits until it reports readiness, and returns the time since its start; `None` after the timeout or if
    /// it ends.
    pub async fn wait_until_ready(&mut self, ready_within: Duration) -> Option<Duration> {
        let deadline = self.begun + ready_within;
        let clock = Clock::new(self.begun);
        while Instant::now() < deadline && self.process_id().is_ok() {
            if timeout(READINESS_TIMEOUT, http::is_ready(self.address, clock)).await == Ok(true) {
                return Some(self.begun.elapsed());
            }
            sleep(READINESS_INTERVAL).await;
        }
        None
    }

    /// Kills the process and waits for its end.
    pub async fn kill(mut self) -> io::Result<()> {
        self.child.kill().await
    }
}
