//! Endpoints on sockets. Each pair of sender and endpoint has its own listener, so that the address tells
//! which sender calls. `platform::destination` decides how calls are answered; this module reads the calls
//! and writes the answers.
use crate::addresses::{self, BlackholeListener};
use crate::clock::{Clock, Ns, MS};
use crate::facts::{FactKind, FactLog, Reply};
use crate::http::{self, Connection, HttpError, Message, Start};
use crate::links::Links;
use crate::messages::{self, MessageRegistry};
use crate::plan::Plan;
use crate::platform::destination::{Answer, Call, CallNumber, Destination, Output, Refusal};
use crate::platform::list::Lifecycle;
use crate::scheduling_lag::SchedulingLag;
use crate::spec::{EventKind, Link};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// How long after its deadline a message is still accepted.
const EXPIRY_GRACE: Ns = 50 * MS;
/// Interval between attempts to listen again at an address that is in use.
const REBIND_INTERVAL: Duration = Duration::from_millis(50);
/// Number of such attempts before the play is void.
const REBIND_ATTEMPTS: usize = 40;

/// State of a listener and its connections.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    Up,
    /// New connections are refused, and open ones are reset.
    Down,
    /// New connections are not accepted, and calls passed to the destination get no answer. Connections are
    /// reset at the end of this phase.
    Silent,
}

/// What all stub servers and clients share.
#[derive(Clone)]
pub struct StubContext {
    pub clock: Clock,
    pub fact_log: Arc<FactLog>,
    pub lag: Arc<SchedulingLag>,
    pub messages: Arc<MessageRegistry>,
    /// Takes the reason if the play becomes void by a failure of the testbed itself.
    pub void: mpsc::UnboundedSender<String>,
}

/// State of a destination.
struct State {
    core: Destination,
    /// By call in flight: where its task receives the outputs of `core`.
    waiting: HashMap<CallNumber, mpsc::UnboundedSender<Output>>,
}

/// A destination and the phases of its endpoints.
struct DestinationStub {
    number: u32,
    state: Mutex<State>,
    endpoints: Vec<u32>,
    /// By endpoint: whether its process exists, that is, it is listed and not yet gone.
    present: Vec<AtomicBool>,
    phases: Vec<watch::Sender<Phase>>,
}

/// The connections of an endpoint and their limit.
struct ConnectionLimit {
    connections: AtomicUsize,
    max: usize,
}

/// All endpoints of a play.
pub struct Endpoints {
    dests: Vec<Arc<DestinationStub>>,
    /// By endpoint, then by sender.
    addresses: Vec<Vec<SocketAddr>>,
    dest_of: Vec<u32>,
    context: StubContext,
}

/// An endpoint as one sender sees it; shared by the tasks of its listener and connections.
#[derive(Clone)]
struct EndpointStub {
    dest: Arc<DestinationStub>,
    /// Index among the destination's endpoints.
    index: usize,
    endpoint: u32,
    sender: u32,
    connection_limit: Arc<ConnectionLimit>,
    /// Calls that the sender has in flight, over all endpoints.
    calls_in_flight: Arc<AtomicUsize>,
    /// Highest number of calls that the sender may have in flight.
    slots: usize,
    max_attempts: usize,
    handshake: Duration,
    /// Number of the next call, over all endpoints.
    next_call: Arc<AtomicU64>,
    context: StubContext,
}

impl Endpoints {
    /// Listens at a separate address for each endpoint and sender. Endpoints that are not listed yet refuse
    /// connections.
    pub fn start(plan: &Plan, links: &Links, context: &StubContext) -> io::Result<Endpoints> {
        let next_call = Arc::new(AtomicU64::new(1));
        let calls_in_flight: Vec<Arc<AtomicUsize>> = plan.senders.iter().map(|_| Arc::default()).collect();
        let mut dests = Vec::new();
        let mut addresses = vec![Vec::new(); plan.endpoints.len()];
        for (number, drawn) in plan.destinations.iter().enumerate() {
            let own = |(_, e): &(usize, &crate::plan::Endpoint)| e.dest == number as u32;
            let (numbers, endpoints): (Vec<u32>, Vec<_>) =
                plan.endpoints.iter().enumerate().filter(own).map(|(i, e)| (i as u32, e.clone())).unzip();
            let random = plan.seed.stream("destination", number as u64);
            let core = Destination::new(drawn, &endpoints, &plan.spec.platform, random);
            let phase = |e: &crate::plan::Endpoint| if e.listed { Phase::Up } else { Phase::Down };
            let dest = Arc::new(DestinationStub {
                number: number as u32,
                state: Mutex::new(State { core, waiting: HashMap::new() }),
                endpoints: numbers.clone(),
                present: endpoints.iter().map(|e| AtomicBool::new(e.listed)).collect(),
                phases: endpoints.iter().map(|e| watch::Sender::new(phase(e))).collect(),
            });
            for (index, (endpoint, drawn)) in numbers.iter().zip(&endpoints).enumerate() {
                let max = drawn.connections.unwrap_or(usize::MAX);
                let connection_limit = Arc::new(ConnectionLimit { connections: AtomicUsize::new(0), max });
                for (sender, drawn_sender) in plan.senders.iter().enumerate() {
                    let at = addresses::reserve()?;
                    addresses[*endpoint as usize].push(links.connect_address(
                        Link::Endpoints,
                        sender as u32,
                        at,
                    )?);
                    let stub = EndpointStub {
                        dest: dest.clone(),
                        index,
                        endpoint: *endpoint,
                        sender: sender as u32,
                        connection_limit: connection_limit.clone(),
                        calls_in_flight: calls_in_flight[sender].clone(),
                        slots: drawn_sender.slots,
                        max_attempts: plan.terms.max_attempts,
                        handshake: Duration::from_secs_f64(plan.spec.platform.handshake_ms / 1_000.0),
                        next_call: next_call.clone(),
                        context: context.clone(),
                    };
                    let first_listener = drawn.listed.then(|| BlackholeListener::open(at)).transpose()?;
                    tokio::spawn(stub.listen(at, first_listener));
                }
            }
            dests.push(dest);
        }
        Ok(Endpoints { dests, addresses, dest_of: plan.terms.dest_of.clone(), context: context.clone() })
    }

    /// Returns the address at which a sender reaches an endpoint.
    pub fn address(&self, endpoint: u32, sender: u32) -> SocketAddr {
        self.addresses[endpoint as usize][sender as usize]
    }

    /// Begins a fault of a destination.
    pub fn begin_fault(&self, dest: u32, kind: EventKind, size: f64, until: Ns) {
        let dest = &self.dests[dest as usize];
        dest.record_fault(&self.context, kind, true);
        dest.apply(&self.context, |core, now| core.begin_fault(now, kind, size, until));
        dest.update_phases();
    }

    /// Ends a fault of a destination.
    pub fn end_fault(&self, dest: u32, kind: EventKind) {
        let dest = &self.dests[dest as usize];
        dest.record_fault(&self.context, kind, false);
        dest.apply(&self.context, |core, now| {
            core.end_fault(now, kind);
            Vec::new()
        });
        dest.update_phases();
    }

    /// Lets an endpoint drain, removes it, or starts it for the first time.
    pub fn set_lifecycle(&self, endpoint: u32, lifecycle: Lifecycle) {
        let dest = &self.dests[self.dest_of[endpoint as usize] as usize];
        let Some(index) = dest.endpoints.iter().position(|e| *e == endpoint) else { return };
        match lifecycle {
            Lifecycle::Ready => {
                dest.apply(&self.context, |core, now| {
                    core.start_cold(now, index);
                    Vec::new()
                });
            }
            Lifecycle::Terminating => dest.apply(&self.context, |core, now| {
                core.drain(now, index);
                Vec::new()
            }),
            Lifecycle::Gone => {}
        }
        dest.present[index].store(lifecycle != Lifecycle::Gone, Ordering::SeqCst);
        dest.update_phases();
    }
}

impl DestinationStub {
    fn record_fault(&self, context: &StubContext, kind: EventKind, begins: bool) {
        context.fact_log.record(FactKind::DestinationFault { dest: self.number, kind, begins });
    }

    /// Applies an event to the destination and passes its outputs to the tasks of the calls.
    fn apply(&self, context: &StubContext, act: impl FnOnce(&mut Destination, Ns) -> Vec<Output>) {
        let mut state = self.state.lock().expect("no holder panics");
        let outputs = act(&mut state.core, context.clock.now());
        let mut overloaded = false;
        for output in outputs {
            let call = match output {
                Output::Effect { call } => {
                    context.fact_log.record(FactKind::Effect { call });
                    continue;
                }
                Output::OverloadFailure { index } => {
                    context.fact_log.record(FactKind::OverloadFailure { endpoint: self.endpoints[index] });
                    overloaded = true;
                    continue;
                }
                Output::Begin { call, .. } | Output::Answer { call, .. } => call,
            };
            // The call's connection may have ended already.
            let _ = state.waiting.get(&call).map(|to| to.send(output));
        }
        drop(state);
        if overloaded {
            self.update_phases();
        }
    }

    /// Updates the phases of all endpoints from the state of the destination.
    fn update_phases(&self) {
        let state = self.state.lock().expect("no holder panics");
        for (index, phase) in self.phases.iter().enumerate() {
            let down = !self.present[index].load(Ordering::SeqCst) || state.core.is_down(index);
            let next = match (down, state.core.is_silent()) {
                (true, _) => Phase::Down,
                (false, true) => Phase::Silent,
                (false, false) => Phase::Up,
            };
            phase.send_if_modified(|p| std::mem::replace(p, next) != next);
        }
    }
}

impl EndpointStub {
    /// Accepts connections until the play ends; listens only while the endpoint is not down.
    async fn listen(self, at: SocketAddr, mut first_listener: Option<BlackholeListener>) {
        let mut phase = self.dest.phases[self.index].subscribe();
        loop {
            let now = *phase.borrow_and_update();
            if now == Phase::Down {
                if phase.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let mut listener = match first_listener.take() {
                Some(listener) => listener,
                None => match self.bind(at).await {
                    Some(listener) => listener,
                    None => return,
                },
            };
            loop {
                let now = *phase.borrow_and_update();
                if now == Phase::Down {
                    break;
                }
                // A silent machine does not complete the handshake of new connections.
                listener.set_blackholed(now == Phase::Silent);
                tokio::select! {
                    changed = phase.changed() => if changed.is_err() { return },
                    stream = listener.accept(), if now == Phase::Up => {
                        tokio::spawn(self.clone().serve(stream));
                    }
                }
            }
        }
    }

    /// Listens at an address, with retries. After the last one it declares the play void.
    async fn bind(&self, at: SocketAddr) -> Option<BlackholeListener> {
        let mut failed = None;
        for _ in 0..REBIND_ATTEMPTS {
            match BlackholeListener::open(at) {
                Ok(listener) => return Some(listener),
                Err(error) => failed = Some(error),
            }
            sleep(REBIND_INTERVAL).await;
        }
        let why = failed.map_or_else(String::new, |e| e.to_string());
        let _ =
            self.context.void.send(format!("endpoint {} can't listen at {at} again: {why}", self.endpoint));
        None
    }

    /// Serves a connection until it ends.
    async fn serve(self, stream: TcpStream) {
        let (before, _in_use) = InUse::increment(&self.connection_limit.connections);
        self.context.fact_log.record(FactKind::Connected { sender: self.sender, endpoint: self.endpoint });
        let mut phase = self.dest.phases[self.index].subscribe();
        let mut connection = Connection::new(stream, self.context.clock);
        let over_connection_limit = before >= self.connection_limit.max;
        let broken = tokio::select! {
            biased;
            () = reset_due(&mut phase) => true,
            broken = self.serve_calls(&mut connection, over_connection_limit) => broken,
        };
        if broken {
            connection.reset();
        }
    }

    /// Reads and answers calls until the connection ends. Returns true if it has to be reset.
    async fn serve_calls(&self, connection: &mut Connection, over_connection_limit: bool) -> bool {
        let mut new_connection = true;
        loop {
            let request = match connection.read_request().await {
                Ok(request) => request,
                Err(HttpError::Malformed(_)) => {
                    let _ = connection.write(&http::response(400, "Connection: close\r\n", b"")).await;
                    return false;
                }
                Err(_) => return false,
            };
            let closes = request.closes();
            let reset = match &request.start {
                Start::Request { method, path } if method == "POST" && path == "/v1/messages" => {
                    self.handle_call(
                        connection,
                        &request,
                        over_connection_limit,
                        std::mem::take(&mut new_connection),
                    )
                    .await
                }
                Start::Request { method, path }
                    if method == "GET" && (path == "/healthz" || path == "/load") =>
                {
                    let (sender, endpoint) = (self.sender, self.endpoint);
                    self.context.fact_log.record(FactKind::Probed { sender, endpoint });
                    let mut serves = false;
                    self.dest.apply(&self.context, |core, now| {
                        serves = core.probe(now);
                        Vec::new()
                    });
                    let status = if serves { 200 } else { 503 };
                    connection.write(&http::response(status, "", b"")).await.is_ok().then_some(false)
                }
                _ => connection.write(&http::response(404, "", b"")).await.is_ok().then_some(false),
            };
            match reset {
                Some(false) if !closes => {}
                Some(reset) => return reset,
                None => return false,
            }
        }
    }

    /// Handles a call. Returns whether to reset the connection, or `None` if it has ended or has to be
    /// closed.
    async fn handle_call(
        &self,
        connection: &mut Connection,
        request: &Message,
        over_connection_limit: bool,
        new_connection: bool,
    ) -> Option<bool> {
        let context = &self.context;
        let Some(id) = request.header("x-trace-id").and_then(messages::parse_id) else {
            context.fact_log.record(FactKind::CallWithoutId { sender: self.sender, endpoint: self.endpoint });
            return connection.write(&http::response(400, "", b"")).await.is_ok().then_some(false);
        };
        let known = context.messages.note_call(id, &request.body);
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        context.fact_log.record(FactKind::CallReceived {
            call: number,
            message: id,
            sender: self.sender,
            endpoint: self.endpoint,
            first: request.first,
            intact: known.is_some_and(|k| k.intact),
        });
        if new_connection && !over_connection_limit {
            sleep(self.handshake).await;
        }
        let (in_flight, in_use) = InUse::increment(&self.calls_in_flight);
        let refusal = match known {
            None => Some(Refusal::UnknownMessage),
            Some(k) if k.dest != self.dest.number => Some(Refusal::UnknownMessage),
            Some(k) if k.attempts > self.max_attempts => Some(Refusal::Attempts),
            Some(k) if context.clock.now() > k.due + EXPIRY_GRACE => Some(Refusal::Expired),
            _ if over_connection_limit => Some(Refusal::Connections),
            _ if in_flight >= self.slots => Some(Refusal::Slots),
            _ => None,
        };
        let answer = match (refusal, known) {
            (None, Some(known)) => self.await_answer(connection, number, known.work).await,
            (refusal, _) => Some(Answer::Refused(refusal.unwrap_or(Refusal::UnknownMessage), None)),
        };
        drop(in_use);
        let Some(answer) = answer else {
            context.fact_log.record(FactKind::CallAbandoned { call: number });
            return None;
        };
        self.write_answer(connection, number, id, answer).await
    }

    /// Passes a call to the destination and waits for its answer. Returns `None` if the connection ended
    /// before.
    async fn await_answer(
        &self,
        connection: &mut Connection,
        number: CallNumber,
        work: Ns,
    ) -> Option<Answer> {
        let (to, mut outputs) = mpsc::unbounded_channel();
        self.dest.state.lock().expect("no holder panics").waiting.insert(number, to);
        // Also removes the call if this task is dropped when the phase changes; the destination has then
        // ended the call.
        let _waiting = WaitingCall { dest: &self.dest, number };
        let index = self.index;
        self.dest.apply(&self.context, |core, now| core.arrive(now, Call { number, index, work }));
        let mut until = None;
        loop {
            tokio::select! {
                biased;
                output = outputs.recv() => match output? {
                    Output::Begin { until: at, .. } => until = Some(at),
                    Output::Answer { answer, .. } => return Some(answer),
                    Output::Effect { .. } | Output::OverloadFailure { .. } => {}
                },
                () = self.context.clock.sleep_until(until.unwrap_or(Ns::MAX / 2)), if until.is_some() => {
                    self.context.lag.record(until.take().unwrap_or_default(), self.context.clock.now());
                    self.dest.apply(&self.context, |core, now| core.finish(now, index, number));
                }
                () = connection.closed() => {
                    self.dest.apply(&self.context, |core, now| core.abandon(now, index, number));
                    return None;
                }
            }
        }
    }

    /// Writes the answer of a call. Returns the same as `handle_call`.
    async fn write_answer(
        &self,
        connection: &mut Connection,
        call: CallNumber,
        id: u64,
        answer: Answer,
    ) -> Option<bool> {
        let fact_log = &self.context.fact_log;
        let retry_after = |w: Ns| format!("Retry-After: {:.3}\r\n", w as f64 / 1e9);
        let (bytes, reply) = match answer {
            Answer::Served => (http::response(200, "", b""), Reply::Delivered),
            Answer::Malformed => {
                (b"HTTP/1.1 200 OK\r\nContent-Length: ten\r\n\r\n".to_vec(), Reply::Delivered)
            }
            Answer::Error => (http::response(500, "", b""), Reply::Error),
            Answer::Refused(why, wait) => {
                let (status, headers) = match why {
                    Refusal::UnknownMessage => (400, String::new()),
                    Refusal::Attempts => (504, String::new()),
                    Refusal::Expired => (410, String::new()),
                    Refusal::Slots => (503, "X-Line-Busy: 1\r\n".to_string()),
                    Refusal::Connections => (503, "Connection: close\r\n".to_string()),
                    _ => match wait {
                        Some(wait) => (429, retry_after(wait)),
                        None => (503, String::new()),
                    },
                };
                (http::response(status, &headers, b""), Reply::Refused { why, wait })
            }
            Answer::Reset => {
                fact_log.record(FactKind::Replied { call, reply: Reply::Broken });
                return Some(true);
            }
            Answer::NoAnswer => {
                connection.closed().await;
                fact_log.record(FactKind::CallAbandoned { call });
                return None;
            }
        };
        // Recorded before the write, so that what the sender does next can't be recorded earlier.
        fact_log.record(FactKind::Replied { call, reply });
        if connection.write(&bytes).await.is_err() {
            fact_log.record(FactKind::Replied { call, reply: Reply::Broken });
            return None;
        }
        if reply == Reply::Delivered || matches!(reply, Reply::Refused { why: Refusal::Expired, .. }) {
            self.context.messages.note_ended(id);
        }
        let closes = matches!(answer, Answer::Malformed | Answer::Refused(Refusal::Connections, _));
        (!closes).then_some(false)
    }
}

/// Increments a counter, and decrements it when dropped, which the end of the task does too.
struct InUse<'a>(&'a AtomicUsize);

impl InUse<'_> {
    /// Increments the counter and returns its value before.
    fn increment(count: &AtomicUsize) -> (usize, InUse<'_>) {
        (count.fetch_add(1, Ordering::SeqCst), InUse(count))
    }
}

impl Drop for InUse<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Removes a call from `State::waiting` when it is dropped.
struct WaitingCall<'a> {
    dest: &'a DestinationStub,
    number: CallNumber,
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        if let Ok(mut state) = self.dest.state.lock() {
            state.waiting.remove(&self.number);
        }
    }
}

/// Waits until a connection has to be reset: when the endpoint goes down, or after it was silent.
async fn reset_due(phase: &mut watch::Receiver<Phase>) {
    // A connection may have been accepted just before the endpoint became silent.
    let mut now = *phase.borrow_and_update();
    loop {
        match now {
            Phase::Down => return,
            Phase::Silent => {
                while *phase.borrow_and_update() == Phase::Silent {
                    if phase.changed().await.is_err() {
                        std::future::pending::<()>().await;
                    }
                }
                return;
            }
            Phase::Up => {
                if phase.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        }
        now = *phase.borrow_and_update();
    }
}
