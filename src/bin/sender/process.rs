//! The life of a sender process: it starts or takes over, serves, hands over to the next process or shuts
//! down, and goes on where the next process is lost.
use crate::client::EndpointClient;
use crate::config::{self, Config};
use crate::control::{self, Control};
use crate::core::{Core, Inherited, Stop};
use crate::directory::Directory;
use crate::discovery::status::ListStatus;
use crate::discovery::{Backoff, CallSchedule, Follower};
use crate::handover::{self, FrameTargets, HandoverEnd, OldProcess, Predecessor, Rollback, Successor};
use crate::input::{HandedOver, Input};
use crate::journal::{Journal, JournalOptions};
use crate::list_intake::ListIntake;
use crate::maintenance::Maintenance;
use crate::notices::{self, Notice};
use crate::owner::Owner;
use crate::process_state::RemainingWork;
use crate::server::{BodyBudget, ClientConnection, ConnectionLimits, Phase, Server};
use crate::{reload, socket, Signals};
use catalogue::Catalogue;
use sender::api::MS;
use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UnixListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

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
/// The pause before the state folder is opened again after an error.
const REOPEN_PAUSE: Duration = Duration::from_millis(250);
/// Descriptors that are used neither for clients nor for calls to endpoints, among them those of the calls to
/// discovery.
const OWN_DESCRIPTORS: usize = 24;
/// Capacity of the core's inbox for the control address: an input for each connection.
const CONTROL_INBOX: usize = control::MAX_CONNECTIONS;
/// Capacity of the core's inbox. Clients are answered 503 while it is full.
const INBOX: usize = 2_048;

/// Runs a sender until it is terminated.
pub async fn run(config: Config, signals: &mut Signals) -> Result<(), String> {
    let (mut process, inboxes) = Process::new(config).await?;
    // Read before a running process is asked to hand over, as no process serves clients from then on until
    // this one is ready.
    let known = config::read_known_list(&process.config.catalogue_limits);
    let folder = process.config.state_folder.clone();
    let claimed = tokio::select! {
        claimed = handover::claim(&folder, &process.config.program_settings) => claimed,
        () = signals.received() => return Ok(()),
    };
    let (owner, handover) =
        claimed.map_err(|e| format!("cannot lock the state folder {}: {e}", folder.display()))?;
    let (state, predecessor) = handover.unzip();
    let files = process.open_files(owner)?;
    let core = process.create_core(files, inboxes);
    let inherited = state.map(Inherited::from_predecessor);
    let mut term = process.begin_term(core, known, inherited, predecessor, Vec::new()).await?;
    loop {
        let Some((successor, handed_over)) = process.await_successor(&mut term, signals).await? else {
            return process.shut_down(term, Instant::now()).await;
        };
        let mut rollback = match process.hand_over(term, successor, handed_over, signals).await? {
            HandoverEnd::Completed => return Ok(()),
            HandoverEnd::SuccessorLost(rollback) => rollback,
        };
        let mut terminated_at = rollback.terminated_at;
        let files = process.reopen(rollback.owner.take(), signals, &mut terminated_at).await;
        let Some(files) = files else { return Ok(()) };
        term = process.roll_back(files, *rollback).await?;
        if let Some(terminated_at) = terminated_at {
            return process.shut_down(term, terminated_at).await;
        }
    }
}

/// The receiving ends of the core's inboxes.
struct Inboxes {
    core: mpsc::Receiver<Input>,
    control: mpsc::Receiver<Input>,
}

/// The parts of a process that stay when it hands over, so that it can go on if the next process is lost.
struct Process {
    config: Config,
    core: mpsc::Sender<Input>,
    control_inbox: mpsc::Sender<Input>,
    control: Rc<Control>,
    list_status: Rc<ListStatus>,
    discovery: Rc<watch::Sender<SocketAddr>>,
    directory: Rc<Directory>,
    client: Rc<EndpointClient>,
    server: Rc<Server>,
    phase: watch::Sender<Phase>,
    /// Client connections for the next process.
    moved: mpsc::UnboundedReceiver<ClientConnection>,
    /// None until the process has taken over.
    listener: Option<TcpListener>,
}

/// What runs only while the process owns the state folder.
struct Term {
    core: JoinHandle<Stop>,
    tasks: TermTasks,
    /// None if it can't be bound: the sender still serves messages, but a new process has to wait until it
    /// ends.
    handover_socket: Option<UnixListener>,
}

/// The tasks that follow discovery, send notices and accept connections.
struct TermTasks {
    follower: JoinHandle<()>,
    notices: JoinHandle<()>,
    accept: JoinHandle<()>,
}

/// The open files of the state folder.
struct StateFiles {
    journal: Journal,
    maintenance: Maintenance,
}

/// A core that has not started, and the notices that it will send.
struct OpenedCore {
    core: Core,
    notices: mpsc::UnboundedReceiver<Notice>,
}

impl Process {
    /// Creates the parts that need no state folder, and serves the control address.
    async fn new(config: Config) -> Result<(Process, Inboxes), String> {
        let hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
        let (control_inbox, control_receiver) = mpsc::channel(CONTROL_INBOX);
        let list_status = Rc::new(ListStatus::new(config.discovery));
        let control = Control::new(control_inbox.clone(), list_status.clone());
        if let Some(at) = config.control {
            control.clone().listen(at).await?;
        }
        let (core, core_receiver) = mpsc::channel(INBOX);
        let settings = &config.settings;
        let directory = Rc::new(Directory::new(&config.program_settings, &settings.kinds));
        // Some descriptors are for the listener, the watch, notices and files. Of the rest clients get their
        // part (`ConnectionLimits`), and the others are for calls and idle connections to endpoints.
        let reserved = OWN_DESCRIPTORS + if config.control.is_some() { CONTROL_INBOX } else { 0 };
        let sockets = config.limits.sockets.saturating_sub(reserved);
        let max_endpoint_connections = (settings.slots * 2 + 32).max(sockets / 4).min(sockets * 3 / 8);
        let client = Rc::new(EndpointClient::new(
            core.clone(),
            directory.clone(),
            settings.connect_timeout,
            settings.idle_timeout,
            max_endpoint_connections,
        ));
        spawn_local(client.clone().maintain_pool());
        let (discovery, _) = watch::channel(config.discovery);
        let discovery = Rc::new(discovery);
        spawn_local(reload::run(hangup, discovery.clone()));
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let (moved_sender, moved) = mpsc::unbounded_channel();
        let server = Rc::new(Server::new(
            (core.clone(), directory.clone()),
            config.program_settings.clone(),
            settings.classes.iter().map(|class| class.effect).collect(),
            ConnectionLimits::new(sockets, config.limits.connections_bytes()),
            BodyBudget::new(config.limits.request_bodies_bytes()),
            phase_receiver,
            moved_sender,
        ));
        spawn_local(server.clone().run_turns());
        let process = Process {
            config,
            core,
            control_inbox,
            control,
            list_status,
            discovery,
            directory,
            client,
            server,
            phase,
            moved,
            listener: None,
        };
        Ok((process, Inboxes { core: core_receiver, control: control_receiver }))
    }

    /// Opens the journal and the other files of the state folder.
    fn open_files(&self, owner: Owner) -> Result<StateFiles, String> {
        let Config { state_folder, settings, .. } = &self.config;
        let options = JournalOptions {
            folder: state_folder,
            name: &self.config.name,
            disk_mb: self.config.limits.disk_mb,
            max_attempts: settings.max_attempts,
            sync: self.config.sync,
        };
        let journal = Journal::open(owner, &options)
            .map_err(|e| format!("journal in {}: {e}", state_folder.display()))?;
        let maintenance = Maintenance::open(state_folder, settings.slow_start_window / MS)
            .map_err(|e| format!("list of endpoints taken out in {}: {e}", state_folder.display()))?;
        Ok(StateFiles { journal, maintenance })
    }

    /// Creates a core on the state folder.
    fn create_core(&self, files: StateFiles, inboxes: Inboxes) -> OpenedCore {
        let (notices, notices_receiver) = mpsc::unbounded_channel();
        let listed = (self.directory.clone(), self.client.clone());
        let Inboxes { core: inbox, control } = inboxes;
        let StateFiles { journal, maintenance } = files;
        let core = Core::new(self.config.clone(), journal, maintenance, listed, inbox, control, notices);
        OpenedCore { core, notices: notices_receiver }
    }

    /// Starts the core and the tasks around it. `inputs` are the first ones that the core takes.
    async fn begin_term(
        &mut self,
        opened: OpenedCore,
        known: Catalogue,
        inherited: Option<Inherited>,
        predecessor: Option<Predecessor>,
        inputs: Vec<Input>,
    ) -> Result<Term, String> {
        let OpenedCore { mut core, notices } = opened;
        let state = inherited.as_ref().map(|inherited| &inherited.state);
        let same_settings = state.is_some_and(|state| state.settings_json == self.config.settings_json);
        let handed_over: HashSet<(u64, u32)> =
            state.iter().flat_map(|s| &s.attempts_in_flight).map(|&(id, attempt, _)| (id, attempt)).collect();
        let start = core.start(known, inherited);
        if let Some(reports) = predecessor.as_ref().and_then(|predecessor| predecessor.reports.clone()) {
            core.report_to(reports, same_settings);
        }
        let notices = spawn_local(notices::run(self.discovery.subscribe(), notices, self.core.clone()));
        let follower = self.follow_discovery(start.watched, start.generation);
        core.resume(start.resumption, inputs).await;
        let attempts_in_flight = core.handed_over_attempts(&handed_over);
        let core = spawn_local(core.run());
        let listener = self.accepting_listener(predecessor.as_ref()).await?;
        let _ = self.phase.send(Phase::Serving);
        let accept = spawn_local(self.server.clone().accept(listener));
        if let Some(predecessor) = predecessor {
            let targets = FrameTargets {
                core: self.core.clone(),
                control: self.control_inbox.clone(),
                server: self.server.clone(),
                discovery: self.discovery.clone(),
            };
            handover::follow_predecessor(predecessor, attempts_in_flight, targets);
        }
        let handover_socket = handover::listen(&self.config.state_folder)
            .inspect_err(|error| tracing::error!(%error, "cannot listen for handover requests"))
            .ok();
        self.control.serving.set(true);
        Ok(Term { core, tasks: TermTasks { follower, notices, accept }, handover_socket })
    }

    /// Follows discovery from a list on. `generation` is the one since which changes are asked for.
    fn follow_discovery(&self, watched: Catalogue, generation: Option<u64>) -> JoinHandle<()> {
        let settings = &self.config.settings;
        let schedule = CallSchedule::new(
            self.config.program_settings.list_delivery,
            Backoff::new(settings.sender_count, self.config.seed),
            Instant::now(),
        );
        let addresses = self.discovery.subscribe();
        self.list_status.follow(*addresses.borrow());
        let intake = ListIntake::new(watched, self.config.catalogue_limits);
        let follower =
            Follower::new(self.core.clone(), schedule, intake, self.list_status.clone(), generation);
        spawn_local(follower.run(addresses))
    }

    /// Returns the clients' listener: that of the process before, the one that this process has, or a new
    /// one.
    ///
    /// The sender listens only once its core has started: clients use it as soon as it answers, and the
    /// messages in the journal come first.
    async fn accepting_listener(
        &mut self,
        predecessor: Option<&Predecessor>,
    ) -> Result<tokio::net::TcpListener, String> {
        let listen = self.config.listen;
        let cannot_listen = |error| format!("cannot listen on {listen}: {error}");
        let listener = match (predecessor, self.listener.take()) {
            (Some(predecessor), _) => predecessor.listener.try_clone(),
            (None, Some(kept)) => Ok(kept),
            (None, None) => {
                tokio::net::TcpListener::bind(listen).await.and_then(tokio::net::TcpListener::into_std)
            }
        };
        let listener = listener.map_err(cannot_listen)?;
        if let Err(error) = socket::bound_client_buffers(&listener) {
            tracing::warn!(%error, "cannot bound the system's buffers for clients");
        }
        let accepting = listener.try_clone().and_then(tokio::net::TcpListener::from_std);
        self.listener = Some(listener);
        accepting.map_err(cannot_listen)
    }

    /// Serves until a new process asks for a handover. Returns None once this process is told to end.
    async fn await_successor(
        &mut self,
        term: &mut Term,
        signals: &mut Signals,
    ) -> Result<Option<(Successor, HandedOver)>, String> {
        loop {
            tokio::select! {
                () = signals.received() => return Ok(None),
                // The core ends by itself only if it has failed. A new process can resume from the journal.
                ended = &mut term.core => return Err(format!("the core ended: {:?}", ended.map(|_| ()))),
                // A connection that was to be handed over when the next process was lost.
                Some(client) = self.moved.recv() => self.server.take_back(client),
                next = handover::next_request(term.handover_socket.as_ref()) => {
                    let (reply, state) = oneshot::channel();
                    let _ = self.control_inbox.send(Input::HandOver(reply)).await;
                    if let Ok(Some(state)) = state.await {
                        return Ok(Some((next, state)));
                    }
                }
            }
        }
    }

    /// Hands over to the next process, and serves it until this process may end or the next one is lost.
    async fn hand_over(
        &mut self,
        term: Term,
        successor: Successor,
        handed_over: HandedOver,
        signals: &mut Signals,
    ) -> Result<HandoverEnd, String> {
        let Ok(Stop::HandedOver(work)) = term.core.await else { return Err("the core has failed".into()) };
        // From now on the new process follows discovery, sends notices and accepts connections.
        term.tasks.stop();
        self.list_status.stop_following();
        let _ = self.phase.send(Phase::HandingOver);
        let control = self.control.clone();
        let terminated = async {
            signals.received().await;
            control.serving.set(false);
        };
        let old = OldProcess {
            folder: &self.config.state_folder,
            listener: self.listener.as_ref().ok_or("there is no listener")?,
            server: self.server.clone(),
            moved: &mut self.moved,
            discovery: self.discovery.subscribe(),
            grace: END_BY,
        };
        Ok(handover::serve_successor(successor, handed_over, work, old, terminated).await)
    }

    /// Waits for the lock on the state folder, which ends with the process that has it, unless this process
    /// has it already (`owner`), and opens the folder's files. As these may fail for a while, it tries until
    /// it succeeds. `terminated_at` is when this process was told to end. Returns None if it has to end
    /// before.
    async fn reopen(
        &self,
        mut owner: Option<Owner>,
        signals: &mut Signals,
        terminated_at: &mut Option<Instant>,
    ) -> Option<StateFiles> {
        let folder = &self.config.state_folder;
        let mut failing = false;
        loop {
            let claimed = owner.take().map_or_else(|| Owner::claim(folder), |owner| Ok(Some(owner)));
            let opened = match claimed {
                Ok(Some(owner)) => self.open_files(owner).map(Some),
                Ok(None) => Ok(None),
                Err(error) => Err(format!("cannot lock the state folder {}: {error}", folder.display())),
            };
            let pause = match opened {
                Ok(Some(files)) => return Some(files),
                Ok(None) => handover::RETRY_PAUSE,
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        tracing::error!(%error, "cannot go on after the next process was lost; trying again");
                    }
                    REOPEN_PAUSE
                }
            };
            if terminated_at.is_some_and(|at| at.elapsed() >= END_BY) {
                return None;
            }
            tokio::select! {
                () = signals.received(), if terminated_at.is_none() => {
                    *terminated_at = Some(Instant::now());
                    self.control.serving.set(false);
                }
                () = sleep(pause) => {}
            }
        }
    }

    /// Goes on after the next process was lost, from the state that was handed over and what that process has
    /// reported since.
    async fn roll_back(&mut self, files: StateFiles, rollback: Rollback) -> Result<Term, String> {
        let Rollback { state, work, unanswered, connections, lost, .. } = rollback;
        let RemainingWork { inbox, control_inbox, attempts_in_flight } = work;
        if let Some(address) = state.discovery() {
            self.discovery.send_if_modified(|current| std::mem::replace(current, address) != address);
        }
        self.client.resume_calls();
        let core = self.create_core(files, Inboxes { core: inbox, control: control_inbox });
        let known = config::read_known_list(&self.config.catalogue_limits);
        let (state, attempts_ended) = state.into_inherited();
        let inherited = Inherited { state, own_attempts: attempts_in_flight, lost_successor: Some(lost) };
        let mut inputs = vec![attempts_ended];
        inputs.extend(unanswered);
        let term = self.begin_term(core, known, Some(inherited), None, inputs).await?;
        connections.into_iter().for_each(|client| self.server.take_back(client));
        tracing::info!("the next process was lost; this one goes on");
        Ok(term)
    }

    /// Ends gracefully. The times count from `terminated_at`.
    async fn shut_down(&mut self, term: Term, terminated_at: Instant) -> Result<(), String> {
        self.control.serving.set(false);
        sleep_until(terminated_at + ACCEPT_UNTIL).await;
        let _ = self.phase.send(Phase::Closing);
        let _ = term.tasks.accept.await;
        if let Some(listener) = self.listener.take() {
            self.server.accept_queued_and_close(listener);
        }
        let clients_gone = async {
            while self.server.open_connections.get() > 0 {
                sleep(Duration::from_millis(10)).await;
            }
        };
        let _ = timeout_at(terminated_at + CLIENTS_UNTIL, clients_gone).await;
        let _ = self.core.send(Input::ShutDown(terminated_at + BEGIN_UNTIL)).await;
        let _ = timeout_at(terminated_at + END_BY, self.core.closed()).await;
        // Requests that the core has not taken are refused, and the refusals still have to be written.
        let answered = async {
            while self.server.has_unanswered_requests() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let _ = timeout_at(terminated_at + ANSWERS_UNTIL, answered).await;
        Ok(())
    }
}

impl TermTasks {
    fn stop(&self) {
        self.follower.abort();
        self.notices.abort();
        self.accept.abort();
    }
}
