//! A real sender as a child process, started as the platform starts one, and looked at from outside.
use super::deployment::{zone_name, MACHINE_TYPES, ZONES};
use super::loop_probe::LoopProbe;
use super::usage::{self, Memory};
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

/// Senders of the whole fleet.
pub const FLEET: usize = 3_600;
/// What a sender of the fleet may use for control.
pub const MEMORY_MB: u64 = 64;
/// Calls out at once: about 2.3 times those that 106 messages a second of 160 ms keep busy, as plays have it.
const CALLS_OUT: usize = 40;
const DESCRIPTORS: u64 = 1_024;
const ASK_EVERY: Duration = Duration::from_millis(5);

/// What a sender is told of the fleet and of its own limits.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Senders of the fleet.
    pub fleet: usize,
    /// Bound on its descriptors.
    pub descriptors: u64,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape { fleet: FLEET, descriptors: DESCRIPTORS }
    }
}

/// The settings that every sender of the synthetic deployment gets: of a play's, with this deployment's zones and
/// machine types and nothing told of limits.
pub fn settings(fleet: usize) -> Value {
    let spec = Spec::parse(Path::new("scale"), "senders = 1").expect("a plan with all that is usual");
    let mut settings = Plan::draw(&spec, Seed(1)).settings(0);
    let zones: Vec<String> = (0..ZONES).map(zone_name).collect();
    let each = |value: Value| Value::Array(vec![value; MACHINE_TYPES.len()]);
    settings["NInstances"] = json!(fleet);
    settings["Localities"] = json!(zones);
    settings["Kinds"] = json!(MACHINE_TYPES);
    settings["FamilyInfo"]["KindBatch"] = each(json!(1));
    settings["FamilyInfo"]["SeparateRoutes"] = each(json!(false));
    settings["FamilyInfo"]["RouteFee"] = json!(vec![0.0; ZONES as usize]);
    settings["FamilyInfo"]["CallsOut"] = json!(CALLS_OUT);
    settings["Limits"]["MaxOpen"] = json!(50_000);
    settings["Weights"] = json!("silent");
    settings
}

pub struct RealSender {
    child: Child,
    at: SocketAddr,
    begun: Instant,
    folder: PathBuf,
}

impl RealSender {
    /// Starts one with an empty state folder in `folder`.
    pub fn start(
        program: &Path,
        folder: &Path,
        discovery: SocketAddr,
        number: u32,
        shape: &Shape,
    ) -> io::Result<RealSender> {
        let (state, config) = (folder.join("state"), folder.join("config.json"));
        std::fs::create_dir_all(&state)?;
        let at = addresses::reserve()?;
        let text = json!({
            "name": format!("n{number}"), "listen": at.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{number:016x}"),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": shape.descriptors, "disk_mb": 64},
            "known": {"generation": 0, "reset": true, "instances": []},
            "settings": settings(shape.fleet),
        });
        std::fs::write(&config, text.to_string())?;
        let mut command = Command::new(program);
        command
            .env("EDGE_STATE", &state)
            .env("EDGE_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(File::create(folder.join("stdout"))?)
            .stderr(File::create(folder.join("log"))?)
            .kill_on_drop(true);
        // SAFETY: between fork and exec only one system call is made, which allocates nothing and takes no lock.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        let begun = Instant::now();
        Ok(RealSender { child: command.spawn()?, at, begun, folder: folder.to_path_buf() })
    }

    pub fn address(&self) -> SocketAddr {
        self.at
    }

    fn process(&self) -> io::Result<u32> {
        self.child.id().ok_or_else(|| io::Error::other("the sender has ended"))
    }

    pub fn memory(&self) -> io::Result<Memory> {
        usage::memory(self.process()?)
    }

    pub fn processor(&self) -> io::Result<Duration> {
        usage::processor(self.process()?)
    }

    /// Processor time of the thread that its loop runs on.
    pub fn loop_processor(&self) -> io::Result<Duration> {
        Ok(usage::first_thread(self.process()?)?.ran)
    }

    pub fn probe(&self) -> io::Result<LoopProbe> {
        LoopProbe::start(self.at, self.process()?)
    }

    pub fn descriptors(&self) -> io::Result<usize> {
        usage::descriptors(self.process()?)
    }

    /// Bytes of its state folder.
    pub fn state_bytes(&self) -> io::Result<u64> {
        let (mut folders, mut bytes) = (vec![self.folder.join("state")], 0);
        while let Some(folder) = folders.pop() {
            for entry in std::fs::read_dir(folder)? {
                let entry = entry?;
                match entry.file_type()?.is_dir() {
                    true => folders.push(entry.path()),
                    // It may be gone by now.
                    false => bytes += entry.metadata().map_or(0, |m| m.len()),
                }
            }
        }
        Ok(bytes)
    }

    /// What it logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// The time from its start until it says that it is ready; none where it does not in time.
    pub async fn ready(&mut self, within: Duration) -> Option<Duration> {
        let until = self.begun + within;
        let clock = Clock::new(self.begun);
        while Instant::now() < until && self.process().is_ok() {
            if timeout(Duration::from_secs(1), http::is_ready(self.at, clock)).await == Ok(true) {
                return Some(self.begun.elapsed());
            }
            sleep(ASK_EVERY).await;
        }
        None
    }

    pub async fn end(mut self) -> io::Result<()> {
        self.child.kill().await
    }
}
