//! The sender process `cairnpulley-sender`: startup, signals and wiring.
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
mod process_state;
mod process_state_v1;
mod reload;
mod server;
mod socket;

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

/// Graceful shutdown: this and the next four are times since SIGTERM or SIGINT. Until this time new
/// connections are accepted.
const ACCEPT_UNTIL: Duration = Duration::from_millis(500);
/// Time until which the process waits for clients' connections to close.
const CLIENTS_UNTIL: Duration = Duration::from_millis(1_200);
/// Time until which new calls are made.
const BEGIN_UNTIL: Duration = Duration::from_millis(2_600);
/// Time until which calls in flight may end. Messages that are held after it remain in the journal.
const END_BY: Duration = Duration::from_millis(3_300);
/// Time until which requests that were read may still be answered. SIGKILL comes 3.7 s after SIGTERM.
const ANSWERS_UNTIL: Duration = Duration::from_millis(3_500);
/// Descriptors that are used neither for clients nor for calls to endpoints, among them those of the calls to
/// discovery.
const OWN_DESCRIPTORS: usize = 24;
/// Capacity of the core's inbox for the control address: an input for each connection.
const CONTROL_INBOX: usize = control::MAX_CONNECTIONS;
/// Capacity of the core's inbox. Clients are answered 503 while it is full.
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
    // If the new process dies during an upgrade, this one starts over with the listener that it still has.
    let mut kept_listener = None;
    loop {
        let run = run(config.clone(), &mut signals, kept_listener.take());
        match LocalSet::new().block_on(&runtime, run) {
            Ok(End::Terminated) => return ExitCode::SUCCESS,
            Ok(End::StartOver { listener, discovery }) => {
                kept_listener = Some(listener);
                config.discovery = discovery;
            }
            Err(error) => {
                tracing::error!(%error, "cannot start");
                return ExitCode::FAILURE;
            }
        }
    }
}

/// The signals that end the process.
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

    /// Waits for one of the signals.
    async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Why a run has ended.
enum End {
    Terminated,
    /// The new process in an upgrade has died. Carries the clients' listener and the current address of
    /// discovery.
    StartOver {
        listener: std::net::TcpListener,
        discovery: SocketAddr,
    },
}

/// Runs a sender until it is terminated or has to start over. `kept` is the listener to start over with.
async fn run(
    config: config::Config,
    signals: &mut Signals,
    kept: Option<std::net::TcpListener>,
) -> Result<End, String> {
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let folder = config.state_folder.clone();
    let (control_in, control_inbox) = mpsc::channel(CONTROL_INBOX);
    let list_status = Rc::new(discovery::status::ListStatus::new(config.discovery));
    let control = control::Control::new(control_in.clone(), list_status.clone());
    if let Some(at) = config.control {
        control.clone().listen(at).await?;
    }
    // Read before a running process is asked to hand over, as no process serves clients from then on until
    // this one is ready.
    let known = config::read_known_list(&config.catalogue_limits);
    let claimed = tokio::select! {
        claimed = handover::claim(&folder, &config.program_settings) => claimed,
        () = signals.received() => return Ok(End::Terminated),
    };
    let (owner, handover) =
        claimed.map_err(|e| format!("cannot lock the state folder {}: {e}", folder.display()))?;
    let options = journal::JournalOptions {
        folder: &config.state_folder,
        name: &config.name,
        disk_mb: config.limits.disk_mb,
        max_attempts: config.settings.max_attempts,
        sync: config.sync,
    };
    let journal = journal::Journal::open(owner, &options)
        .map_err(|e| format!("journal in {}: {e}", config.state_folder.display()))?;
    let maintenance =
        maintenance::Maintenance::open(&config.state_folder, config.settings.slow_start_window / MS)
            .map_err(|e| format!("list of endpoints taken out in {}: {e}", config.state_folder.display()))?;
    let (core_in, inbox) = mpsc::channel(INBOX);
    let (notices_in, notices) = mpsc::unbounded_channel();
    let settings = &config.settings;
    // Some descriptors are for the listener, the watch, notices and files. Of the rest clients get their part
    // (`ConnectionLimits`), and the others are for calls and idle connections to endpoints.
    let sockets = config
        .limits
        .sockets
        .saturating_sub(OWN_DESCRIPTORS + if config.control.is_some() { CONTROL_INBOX } else { 0 });
    let max_endpoint_connections = (settings.slots * 2 + 32).max(sockets / 4).min(sockets * 3 / 8);
    let directory = Rc::new(directory::Directory::new(&config.program_settings, &settings.kinds));
    let (dial, idle) = (settings.connect_timeout, settings.idle_timeout);
    let client = Rc::new(client::EndpointClient::new(
        core_in.clone(),
        directory.clone(),
        dial,
        idle,
        max_endpoint_connections,
    ));
    spawn_local(client.clone().maintain_pool());
    let schedule = discovery::CallSchedule::new(
        config.program_settings.list_delivery,
        discovery::Backoff::new(settings.sender_count, config.seed),
        Instant::now(),
    );
    let (set_discovery, discovery) = watch::channel(config.discovery);
    let notice_task = spawn_local(notices::run(discovery.clone(), notices, core_in.clone()));
    let set_discovery = Rc::new(set_discovery);
    spawn_local(reload::run(hangup, set_discovery.clone()));
    let listen = config.listen;
    let program_settings = config.program_settings.clone();
    let effects = settings.classes.iter().map(|c| c.effect).collect();
    let limits = config.catalogue_limits;
    let connection_limits = server::ConnectionLimits::new(sockets, config.limits.connections_bytes());
    let body_budget = server::BodyBudget::new(config.limits.request_bodies_bytes());
    let client = (directory.clone(), client);
    let mut core = core::Core::new(config, journal, maintenance, client, inbox, control_inbox, notices_in);
    let (state, predecessor) = handover.unzip();
    let handed_over: HashSet<_> =
        state.iter().flat_map(|s| &s.attempts_in_flight).map(|&(id, attempt, _)| (id, attempt)).collect();
    let start = core.start(known, state.map(|s| *s));
    let intake = list_intake::ListIntake::new(start.watched, limits);
    let follower =
        discovery::Follower::new(core_in.clone(), schedule, intake, list_status.clone(), start.generation);
    let watch_task = spawn_local(follower.run(discovery));
    core.resume(start.handed_over, start.new_to_policy).await;
    let in_flight = core.handed_over_attempts(&handed_over);
    let mut core = spawn_local(core.run());

    // The sender listens only now: clients use it as soon as it answers, and the messages in the journal come
    // first.
    let listener = match (&predecessor, kept) {
        (Some(predecessor), _) => predecessor.listener.try_clone(),
        (None, Some(kept)) => Ok(kept),
        (None, None) => TcpListener::bind(listen).await.and_then(TcpListener::into_std),
    };
    let listener = listener.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    if let Err(error) = socket::bound_client_buffers(&listener) {
        tracing::warn!(%error, "cannot bound the system's buffers for clients");
    }
    let accepting_listener =
        listener.try_clone().and_then(TcpListener::from_std).map_err(|e| format!("{listen}: {e}"))?;
    let (set_phase, phase) = watch::channel(server::Phase::Serving);
    let (moved_in, moved) = mpsc::unbounded_channel();
    let server = Rc::new(server::Server::new(
        (core_in.clone(), directory.clone()),
        program_settings,
        effects,
        connection_limits,
        body_budget,
        phase,
        moved_in,
    ));
    spawn_local(server.clone().run_turns());
    let accept_task = spawn_local(server.clone().accept(accepting_listener));
    if let Some(predecessor) = predecessor {
        handover::follow_predecessor(
            predecessor,
            in_flight,
            core_in.clone(),
            control_in.clone(),
            server.clone(),
        );
    }
    // Without this socket the sender still serves messages, but a new process has to wait until it ends.
    let handover_socket = handover::listen(&folder)
        .inspect_err(|error| tracing::error!(%error, "cannot listen for handover requests"))
        .ok();
    control.serving.set(true);

    let next = loop {
        tokio::select! {
            () = signals.received() => break None,
            // The core ends by itself only if it has failed. A new process can resume from the journal.
            ended = &mut core => return Err(format!("the core ended: {:?}", ended.map(|_| ()))),
            next = handover::next_request(handover_socket.as_ref()) => {
                let (reply, state) = oneshot::channel();
                let _ = control_in.send(input::Input::HandOver(reply)).await;
                if let Ok(Some(state)) = state.await {
                    break Some((next, state));
                }
            }
        }
    };
    if let Some((next, state)) = next {
        let Ok(core::Stop::HandedOver(rest)) = core.await else { return Err("the core has failed".into()) };
        // From now on the new process follows discovery, sends notices and accepts connections.
        watch_task.abort();
        list_status.stop_following();
        notice_task.abort();
        accept_task.abort();
        let _ = set_phase.send(server::Phase::HandingOver);
        let terminated = async {
            signals.received().await;
            control.serving.set(false);
        };
        let ended =
            handover::serve_successor(next, (state, &listener), rest, server, moved, (terminated, END_BY))
                .await;
        return Ok(match ended {
            handover::HandoverEnd::Completed => End::Terminated,
            handover::HandoverEnd::SuccessorLost => {
                End::StartOver { listener, discovery: *set_discovery.borrow() }
            }
        });
    }
    let terminated_at = Instant::now();
    control.serving.set(false);
    sleep(ACCEPT_UNTIL).await;
    let _ = set_phase.send(server::Phase::Closing);
    let _ = accept_task.await;
    server.accept_queued_and_close(listener);
    let clients_gone = async {
        while server.open_connections.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let _ = timeout(CLIENTS_UNTIL - ACCEPT_UNTIL, clients_gone).await;
    let _ = core_in.send(input::Input::ShutDown(terminated_at + BEGIN_UNTIL)).await;
    let _ = timeout_at(terminated_at + END_BY, core_in.closed()).await;
    // Requests that the core has not taken are refused, and the refusals still have to be written.
    let answered = async {
        while server.has_unanswered_requests() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let _ = timeout_at(terminated_at + ANSWERS_UNTIL, answered).await;
    Ok(End::Terminated)
}
