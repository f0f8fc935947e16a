//! The sender process `cairnpulley-sender`: its modules, its start, and the signals that end it.
mod body;
mod body_channel;
mod client;
mod config;
mod connection;
mod control;
mod core;
mod directory;
mod discovery;
mod ended_messages;
mod first_catalogue;
mod handover;
mod input;
mod journal;
mod learned;
mod linger;
mod list_intake;
mod maintenance;
mod memory;
mod notices;
mod owner;
mod policy_clock;
mod process;
mod process_state;
mod process_state_v1;
mod reload;
mod server;
mod socket;

use std::io;
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::LocalSet;

fn main() -> ExitCode {
    memory::configure();
    let level = std::env::var("RUST_LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            tracing::error!(%error, "cannot start");
            return ExitCode::FAILURE;
        }
    };
    let ready = {
        let _context = runtime.enter();
        Signals::new().map_err(|e| format!("signals: {e}")).and_then(|s| Ok((s, config::read()?)))
    };
    let (mut signals, config) = match ready {
        Ok(ready) => ready,
        Err(error) => {
            tracing::error!(%error, "cannot start");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, process::run(config, &mut signals)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "cannot start");
            ExitCode::FAILURE
        }
    }
}

/// The signals that end the process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of the signals.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
