//! cairnpulley-sender: one real sender. Start, signals and wiring.
mod body_channel;
mod client;
mod config;
mod connection;
mod control;
mod core;
mod directory;
mod discovery;
mod first_catalogue;
mod handover;
mod input;
mod journal;
mod learned;
mod linger;
mod list_intake;
mod maint;
mod memory;
mod notices;
mod owner;
mod process_state;
mod process_state_v1;
mod server;

use sender::api::MS;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// After SIGTERM: how long new connections are still taken, when nothing new is begun any more, and when the
/// process ends whatever is still out. What is left then is in the journal.
const ACCEPT_ON: Duration = Duration::from_millis(500);
const CLIENTS_GONE: Duration = Duration::from_millis(1_200);
const BEGIN_ON: Duration = Duration::from_millis(2_600);
const END: Duration = Duration::from_millis(3_300);
/// Until then requests that were read may still get their answer; SIGKILL comes 3.7 s after SIGTERM.
const LAST_ANSWERS: Duration = Duration::from_millis(3_500);
/// Descriptors that neither clients nor calls use.
const OWN_SOCKETS: usize = 24;
/// Calls on the second address that wait for the core: no more can be open.
const ASKS: usize = control::PLACES;
/// Inputs that wait for the core. Clients are told 503 beyond it.
const INBOX: usize = 2_048;

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
    let (mut signals, mut config) = match ready {
        Ok(ready) => ready,
        Err(error) => {
            tracing::error!(%error, "cannot start");
            return ExitCode::FAILURE;
        }
    };
    // Where the next process in an upgrade dies, this one starts over with the listener that it has.
    let mut kept = None;
    loop {
        let run = run(config.clone(), &mut signals, kept.take());
        match LocalSet::new().block_on(&runtime, run) {
            Ok(End::Told) => return ExitCode::SUCCESS,
            Ok(End::StartOver { listener, discovery }) => {
                kept = Some(listener);
                config.discovery = discovery;
            }
            Err(error) => {
                tracing::error!(%error, "cannot start");
                return ExitCode::FAILURE;
            }
        }
    }
}

struct Signals {
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

    /// Waits to be told to end.
    async fn told(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

enum End {
    Told,
    /// With the listener, and with discovery where it is by now.
    StartOver {
        listener: std::net::TcpListener,
        discovery: SocketAddr,
    },
}

async fn run(
    config: config::Config,
    signals: &mut Signals,
    kept: Option<std::net::TcpListener>,
) -> Result<End, String> {
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let folder = config.state.clone();
    let (asks_in, asks) = mpsc::channel(ASKS);
    let control = control::Control::new(asks_in.clone());
    if let Some(at) = config.control {
        control.clone().listen(at).await?;
    }
    // Before a process that runs is asked to hand over: nobody serves from then on until this one does.
    let known = config::known(&config.catalogue);
    let claimed = tokio::select! {
        claimed = handover::claim(&folder, &config.around) => claimed,
        () = signals.told() => return Ok(End::Told),
    };
    let (owner, before) = claimed.map_err(|e| format!("the right to {}: {e}", folder.display()))?;
    let how = journal::How {
        folder: &config.state,
        name: &config.name,
        disk_mb: config.limits.disk_mb,
        max_attempts: config.settings.max_attempts,
        sync: config.sync,
    };
    let journal = journal::Journal::open(owner, &how)
        .map_err(|e| format!("journal in {}: {e}", config.state.display()))?;
    let maint = maint::Maint::open(&config.state, config.settings.slow_start_window / MS)
        .map_err(|e| format!("endpoints taken out in {}: {e}", config.state.display()))?;
    let (core_in, inbox) = mpsc::channel(INBOX);
    let (notices_in, notices) = mpsc::unbounded_channel();
    let settings = &config.settings;
    // Some are for the listener, the watch, notices and files. Of the rest half are the clients', a sixteenth
    // is for clients that are only told to come again, and the others are for calls and idle connections.
    let sockets =
        config.limits.sockets.saturating_sub(OWN_SOCKETS + if config.control.is_some() { ASKS } else { 0 });
    let calls = (settings.slots * 2 + 32).max(sockets / 4).min(sockets * 3 / 8);
    let directory = Rc::new(directory::Directory::new(&config.around, &settings.kinds));
    let (dial, idle) = (settings.connect_timeout, settings.idle_timeout);
    let client = Rc::new(client::EndpointClient::new(core_in.clone(), directory.clone(), dial, idle, calls));
    spawn_local(client.clone().maintain_pool());
    let backoff = discovery::Backoff::new(settings.sender_count, config.seed);
    let (move_to, discovery) = watch::channel(config.discovery);
    let noticing = spawn_local(notices::run(discovery.clone(), notices, core_in.clone()));
    let move_to = Rc::new(move_to);
    let reloaded = move_to.clone();
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            match config::discovery_again().await {
                Ok(at) => {
                    tracing::info!(discovery = %at, "reloaded");
                    reloaded.send_replace(at);
                }
                Err(error) => tracing::warn!(%error, "cannot reload; going on as before"),
            }
        }
    });
    let listen = config.listen;
    let around = config.around.clone();
    let effects = settings.classes.iter().map(|c| c.effect).collect();
    let limits = config.catalogue;
    let client = (directory.clone(), client);
    let mut core = core::Core::new(config, journal, maint, client, inbox, asks, notices_in);
    let (state, before) = before.unzip();
    let passed: HashSet<_> =
        state.iter().flat_map(|s| &s.calls).map(|&(id, attempt, _)| (id, attempt)).collect();
    let start = core.start(known, state.map(|s| *s));
    let intake = list_intake::ListIntake::new(start.watched, limits);
    let watch = discovery::follow(discovery, core_in.clone(), backoff, intake, start.generation);
    let following = spawn_local(watch);
    core.resume(start.unended, start.new_to_module).await;
    let out = core.calls().into_iter().filter(|(call, _)| passed.contains(call)).collect();
    let mut core = spawn_local(core.run());

    // Only now: a sender is used once it answers, and what the journal holds comes first.
    let listener = match (&before, kept) {
        (Some(before), _) => before.listener.try_clone(),
        (None, Some(kept)) => Ok(kept),
        (None, None) => TcpListener::bind(listen).await.and_then(TcpListener::into_std),
    };
    let listener = listener.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    let accepts =
        listener.try_clone().and_then(TcpListener::from_std).map_err(|e| format!("{listen}: {e}"))?;
    let (change, phase) = watch::channel(server::Phase::Serving);
    let (moved_in, moved) = mpsc::unbounded_channel();
    let places = (sockets / 2, sockets / 16);
    let server = Rc::new(server::Server::new(
        (core_in.clone(), directory.clone()),
        around,
        effects,
        places,
        phase,
        moved_in,
    ));
    let accepting = spawn_local(server.clone().accept(accepts));
    if let Some(before) = before {
        handover::follow(before, out, core_in.clone(), asks_in.clone(), server.clone());
    }
    // Without it messages are served all the same; a second process then waits for this one's end.
    let door = handover::listen(&folder)
        .inspect_err(|error| tracing::error!(%error, "cannot be asked to hand over"))
        .ok();
    control.serving.set(true);

    let next = loop {
        tokio::select! {
            () = signals.told() => break None,
            // It only ends by itself when it has failed; a new process takes up the journal.
            ended = &mut core => return Err(format!("the core ended: {:?}", ended.map(|_| ()))),
            next = handover::asked(door.as_ref()) => {
                let (reply, state) = oneshot::channel();
                let _ = asks_in.send(input::Input::HandOver(reply)).await;
                if let Ok(Some(state)) = state.await {
                    break Some((next, state));
                }
            }
        }
    };
    if let Some((next, state)) = next {
        let Ok(core::Stop::HandedOver(rest)) = core.await else { return Err("the core has failed".into()) };
        // The lists, the notices and what comes to the door are the next process's from now on.
        following.abort();
        noticing.abort();
        accepting.abort();
        let _ = change.send(server::Phase::HandingOver);
        let told = async {
            signals.told().await;
            control.serving.set(false);
        };
        let passed = handover::pass_on(next, (state, &listener), rest, server, moved, (told, END)).await;
        return Ok(match passed {
            handover::Passed::On => End::Told,
            handover::Passed::Back => End::StartOver { listener, discovery: *move_to.borrow() },
        });
    }
    let told = Instant::now();
    control.serving.set(false);
    sleep(ACCEPT_ON).await;
    let _ = change.send(server::Phase::Closing);
    let _ = accepting.await;
    server.accept_queued_and_close(listener);
    let gone = async {
        while server.open_connections.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let _ = timeout(CLIENTS_GONE - ACCEPT_ON, gone).await;
    let _ = core_in.send(input::Input::Wind(told + BEGIN_ON)).await;
    let _ = timeout_at(told + END, core_in.closed()).await;
    // What the core did not take any more is refused; that answer still has to be written.
    let answered = async {
        while server.has_unanswered_requests() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let _ = timeout_at(told + LAST_ANSWERS, answered).await;
    Ok(End::Told)
}
