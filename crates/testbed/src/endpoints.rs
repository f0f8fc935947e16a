//! Endpoints on sockets: a listener for each sender and endpoint, so that the address tells who calls. What
//! becomes of a call is decided by `platform::destination`; here it is carried out.
use crate::addresses::{self, Door};
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

/// A message's time may be up so long before a call with it is told so.
const OVER: Ns = 50 * MS;
/// An address that can't be had again at once is tried for so long before the play is void.
const REBIND: Duration = Duration::from_millis(50);
const REBINDS: usize = 40;

/// What a listener and its connections do.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    Up,
    /// Connections are refused, and those that stood are reset.
    Down,
    /// Nothing is read or answered; connections are reset when it is over.
    Silent,
}

/// What all stand-ins share.
#[derive(Clone)]
pub struct StubContext {
    pub clock: Clock,
    pub fact_log: Arc<FactLog>,
    pub lag: Arc<SchedulingLag>,
    pub messages: Arc<MessageRegistry>,
    /// Why the play says nothing of the senders, where something of the testbed's own went wrong.
    pub void: mpsc::UnboundedSender<String>,
}

struct Inner {
    core: Destination,
    /// Where the calls that are out wait for what becomes of them.
    waiting: HashMap<CallNumber, mpsc::UnboundedSender<Output>>,
}

struct Dest {
    number: u32,
    inner: Mutex<Inner>,
    endpoints: Vec<u32>,
    /// Whether an endpoint's process is there at all: not before it is listed, nor once it is gone.
    present: Vec<AtomicBool>,
    phases: Vec<watch::Sender<Phase>>,
}

struct Room {
    /// Connections that an endpoint has, and the most that it takes.
    connections: AtomicUsize,
    most: usize,
}

pub struct Endpoints {
    dests: Vec<Arc<Dest>>,
    /// By endpoint, then by sender.
    addresses: Vec<Vec<SocketAddr>>,
    dest_of: Vec<u32>,
    ground: StubContext,
}

/// What a connection's task needs.
#[derive(Clone)]
struct Place {
    dest: Arc<Dest>,
    /// Among the destination's endpoints.
    place: usize,
    endpoint: u32,
    sender: u32,
    room: Arc<Room>,
    /// Calls that the sender has out, at all endpoints, and its slots.
    out: Arc<AtomicUsize>,
    slots: usize,
    max_attempts: usize,
    handshake: Duration,
    calls: Arc<AtomicU64>,
    ground: StubContext,
}

impl Endpoints {
    /// Listens at an address of its own for each endpoint and sender. Those not listed yet refuse
    /// connections.
    pub fn start(plan: &Plan, links: &Links, ground: &StubContext) -> io::Result<Endpoints> {
        let calls = Arc::new(AtomicU64::new(1));
        let out: Vec<Arc<AtomicUsize>> = plan.senders.iter().map(|_| Arc::default()).collect();
        let mut dests = Vec::new();
        let mut addresses = vec![Vec::new(); plan.endpoints.len()];
        for (number, drawn) in plan.destinations.iter().enumerate() {
            let own = |(_, e): &(usize, &crate::plan::Endpoint)| e.dest == number as u32;
            let (numbers, endpoints): (Vec<u32>, Vec<_>) =
                plan.endpoints.iter().enumerate().filter(own).map(|(i, e)| (i as u32, e.clone())).unzip();
            let random = plan.seed.stream("destination", number as u64);
            let core = Destination::new(drawn, &endpoints, &plan.spec.platform, random);
            let phase = |e: &crate::plan::Endpoint| if e.listed { Phase::Up } else { Phase::Down };
            let dest = Arc::new(Dest {
                number: number as u32,
                inner: Mutex::new(Inner { core, waiting: HashMap::new() }),
                endpoints: numbers.clone(),
                present: endpoints.iter().map(|e| AtomicBool::new(e.listed)).collect(),
                phases: endpoints.iter().map(|e| watch::Sender::new(phase(e))).collect(),
            });
            for (place, (endpoint, drawn)) in numbers.iter().zip(&endpoints).enumerate() {
                let most = drawn.connections.unwrap_or(usize::MAX);
                let room = Arc::new(Room { connections: AtomicUsize::new(0), most });
                for (sender, one) in plan.senders.iter().enumerate() {
                    let at = addresses::free()?;
                    addresses[*endpoint as usize].push(links.front(Link::Endpoints, sender as u32, at)?);
                    let place = Place {
                        dest: dest.clone(),
                        place,
                        endpoint: *endpoint,
                        sender: sender as u32,
                        room: room.clone(),
                        out: out[sender].clone(),
                        slots: one.slots,
                        max_attempts: plan.terms.max_attempts,
                        handshake: Duration::from_secs_f64(plan.spec.platform.handshake_ms / 1_000.0),
                        calls: calls.clone(),
                        ground: ground.clone(),
                    };
                    let first = drawn.listed.then(|| Door::open(at)).transpose()?;
                    tokio::spawn(place.listen(at, first));
                }
            }
            dests.push(dest);
        }
        Ok(Endpoints { dests, addresses, dest_of: plan.terms.dest_of.clone(), ground: ground.clone() })
    }

    /// Where a sender finds an endpoint.
    pub fn address(&self, endpoint: u32, sender: u32) -> SocketAddr {
        self.addresses[endpoint as usize][sender as usize]
    }

    pub fn begin(&self, dest: u32, kind: EventKind, size: f64, until: Ns) {
        let dest = &self.dests[dest as usize];
        dest.note(&self.ground, kind, true);
        dest.with(&self.ground, |core, now| core.begin_fault(now, kind, size, until));
        dest.show();
    }

    pub fn end(&self, dest: u32, kind: EventKind) {
        let dest = &self.dests[dest as usize];
        dest.note(&self.ground, kind, false);
        dest.with(&self.ground, |core, now| {
            core.end_fault(now, kind);
            Vec::new()
        });
        dest.show();
    }

    /// An endpoint drains, is gone, or is there for the first time.
    pub fn set(&self, endpoint: u32, lifecycle: Lifecycle) {
        let dest = &self.dests[self.dest_of[endpoint as usize] as usize];
        let Some(place) = dest.endpoints.iter().position(|e| *e == endpoint) else { return };
        match lifecycle {
            Lifecycle::Ready => {
                dest.with(&self.ground, |core, now| {
                    core.start_cold(now, place);
                    Vec::new()
                });
            }
            Lifecycle::Terminating => dest.with(&self.ground, |core, now| {
                core.drain(now, place);
                Vec::new()
            }),
            Lifecycle::Gone => {}
        }
        dest.present[place].store(lifecycle != Lifecycle::Gone, Ordering::SeqCst);
        dest.show();
    }
}

impl Dest {
    fn note(&self, ground: &StubContext, kind: EventKind, begins: bool) {
        ground.fact_log.record(FactKind::DestinationFault { dest: self.number, kind, begins });
    }

    /// Lets the core act, and passes on what comes out.
    fn with(&self, ground: &StubContext, act: impl FnOnce(&mut Destination, Ns) -> Vec<Output>) {
        let mut inner = self.inner.lock().expect("no holder panics");
        let outs = act(&mut inner.core, ground.clock.now());
        let mut fell = false;
        for out in outs {
            let call = match out {
                Output::Effect { call } => {
                    ground.fact_log.record(FactKind::Effect { call });
                    continue;
                }
                Output::OverloadFailure { index } => {
                    ground.fact_log.record(FactKind::OverloadFailure { endpoint: self.endpoints[index] });
                    fell = true;
                    continue;
                }
                Output::Begin { call, .. } | Output::Answer { call, .. } => call,
            };
            // Its connection may have ended by now.
            let _ = inner.waiting.get(&call).map(|to| to.send(out));
        }
        drop(inner);
        if fell {
            self.show();
        }
    }

    /// Brings listeners and connections in line with the core.
    fn show(&self) {
        let inner = self.inner.lock().expect("no holder panics");
        for (place, phase) in self.phases.iter().enumerate() {
            let down = !self.present[place].load(Ordering::SeqCst) || inner.core.is_down(place);
            let next = match (down, inner.core.is_silent()) {
                (true, _) => Phase::Down,
                (false, true) => Phase::Silent,
                (false, false) => Phase::Up,
            };
            phase.send_if_modified(|p| std::mem::replace(p, next) != next);
        }
    }
}

impl Place {
    async fn listen(self, at: SocketAddr, mut first: Option<Door>) {
        let mut phase = self.dest.phases[self.place].subscribe();
        loop {
            let now = *phase.borrow_and_update();
            if now == Phase::Down {
                if phase.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let mut door = match first.take() {
                Some(door) => door,
                None => match self.bind(at).await {
                    Some(door) => door,
                    None => return,
                },
            };
            loop {
                let now = *phase.borrow_and_update();
                if now == Phase::Down {
                    break;
                }
                // Connections to a machine that says nothing never come up.
                door.set_silent(now == Phase::Silent);
                tokio::select! {
                    changed = phase.changed() => if changed.is_err() { return },
                    stream = door.accept(), if now == Phase::Up => {
                        tokio::spawn(self.clone().serve(stream));
                    }
                }
            }
        }
    }

    async fn bind(&self, at: SocketAddr) -> Option<Door> {
        let mut failed = None;
        for _ in 0..REBINDS {
            match Door::open(at) {
                Ok(door) => return Some(door),
                Err(error) => failed = Some(error),
            }
            sleep(REBIND).await;
        }
        let why = failed.map_or_else(String::new, |e| e.to_string());
        let _ =
            self.ground.void.send(format!("endpoint {} can't listen at {at} again: {why}", self.endpoint));
        None
    }

    async fn serve(self, stream: TcpStream) {
        let (held, _held) = Count::up(&self.room.connections);
        self.ground.fact_log.record(FactKind::Connected { sender: self.sender, endpoint: self.endpoint });
        let mut phase = self.dest.phases[self.place].subscribe();
        let mut link = Connection::new(stream, self.ground.clock);
        let crowded = held >= self.room.most;
        let broken = tokio::select! {
            biased;
            () = over(&mut phase) => true,
            broken = self.exchange(&mut link, crowded) => broken,
        };
        if broken {
            link.reset();
        }
    }

    /// Reads and answers calls until the connection ends. True where it is to end with a reset.
    async fn exchange(&self, link: &mut Connection, crowded: bool) -> bool {
        let mut fresh = true;
        loop {
            let request = match link.read_request().await {
                Ok(request) => request,
                Err(HttpError::Malformed(_)) => {
                    let _ = link.write(&http::response(400, "Connection: close\r\n", b"")).await;
                    return false;
                }
                Err(_) => return false,
            };
            let closes = request.closes();
            let goes_on = match &request.start {
                Start::Request { method, path } if method == "POST" && path == "/v1/messages" => {
                    self.call(link, &request, crowded, std::mem::take(&mut fresh)).await
                }
                Start::Request { method, path }
                    if method == "GET" && (path == "/healthz" || path == "/load") =>
                {
                    let (sender, endpoint) = (self.sender, self.endpoint);
                    self.ground.fact_log.record(FactKind::Probed { sender, endpoint });
                    let mut serves = false;
                    self.dest.with(&self.ground, |core, now| {
                        serves = core.probe(now);
                        Vec::new()
                    });
                    let status = if serves { 200 } else { 503 };
                    link.write(&http::response(status, "", b"")).await.is_ok().then_some(false)
                }
                _ => link.write(&http::response(404, "", b"")).await.is_ok().then_some(false),
            };
            match goes_on {
                Some(false) if !closes => {}
                Some(reset) => return reset,
                None => return false,
            }
        }
    }

    /// One call. Whether the connection is to be reset, or none where it has ended or is to end.
    async fn call(
        &self,
        link: &mut Connection,
        request: &Message,
        crowded: bool,
        fresh: bool,
    ) -> Option<bool> {
        let ground = &self.ground;
        let Some(id) = request.header("x-trace-id").and_then(messages::parse_id) else {
            ground.fact_log.record(FactKind::CallWithoutId { sender: self.sender, endpoint: self.endpoint });
            return link.write(&http::response(400, "", b"")).await.is_ok().then_some(false);
        };
        let known = ground.messages.note_call(id, &request.body);
        let number = self.calls.fetch_add(1, Ordering::Relaxed);
        ground.fact_log.record(FactKind::CallReceived {
            call: number,
            message: id,
            sender: self.sender,
            endpoint: self.endpoint,
            first: request.first,
            intact: known.is_some_and(|k| k.intact),
        });
        if fresh && !crowded {
            sleep(self.handshake).await;
        }
        let (out, held) = Count::up(&self.out);
        let refusal = match known {
            None => Some(Refusal::UnknownMessage),
            Some(k) if k.dest != self.dest.number => Some(Refusal::UnknownMessage),
            Some(k) if k.attempts > self.max_attempts => Some(Refusal::Attempts),
            Some(k) if ground.clock.now() > k.due + OVER => Some(Refusal::Expired),
            _ if crowded => Some(Refusal::Connections),
            _ if out >= self.slots => Some(Refusal::Slots),
            _ => None,
        };
        let answer = match (refusal, known) {
            (None, Some(known)) => self.serve_call(link, number, known.work).await,
            (refusal, _) => Some(Answer::Refused(refusal.unwrap_or(Refusal::UnknownMessage), None)),
        };
        drop(held);
        let Some(answer) = answer else {
            ground.fact_log.record(FactKind::CallAbandoned { call: number });
            return None;
        };
        self.answer(link, number, id, answer).await
    }

    /// Waits for what becomes of a call; none where its connection ended first.
    async fn serve_call(&self, link: &mut Connection, number: CallNumber, work: Ns) -> Option<Answer> {
        let (to, mut outs) = mpsc::unbounded_channel();
        self.dest.inner.lock().expect("no holder panics").waiting.insert(number, to);
        // Also where the task is dropped at a phase's end: the core has then ended the call by itself.
        let _waiting = Waiting { dest: &self.dest, number };
        let place = self.place;
        self.dest.with(&self.ground, |core, now| core.arrive(now, Call { number, index: place, work }));
        let mut until = None;
        loop {
            tokio::select! {
                biased;
                out = outs.recv() => match out? {
                    Output::Begin { until: at, .. } => until = Some(at),
                    Output::Answer { answer, .. } => return Some(answer),
                    Output::Effect { .. } | Output::OverloadFailure { .. } => {}
                },
                () = self.ground.clock.sleep_until(until.unwrap_or(Ns::MAX / 2)), if until.is_some() => {
                    self.ground.lag.note(until.take().unwrap_or_default(), self.ground.clock.now());
                    self.dest.with(&self.ground, |core, now| core.finish(now, place, number));
                }
                () = link.closed() => {
                    self.dest.with(&self.ground, |core, now| core.abandon(now, place, number));
                    return None;
                }
            }
        }
    }

    async fn answer(&self, link: &mut Connection, call: CallNumber, id: u64, answer: Answer) -> Option<bool> {
        let fact_log = &self.ground.fact_log;
        let seconds = |w: Ns| format!("Retry-After: {:.3}\r\n", w as f64 / 1e9);
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
                        Some(wait) => (429, seconds(wait)),
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
                link.closed().await;
                fact_log.record(FactKind::CallAbandoned { call });
                return None;
            }
        };
        // Before it is written: what the sender does on it must not seem to come before it.
        fact_log.record(FactKind::Replied { call, reply });
        if link.write(&bytes).await.is_err() {
            fact_log.record(FactKind::Replied { call, reply: Reply::Broken });
            return None;
        }
        if reply == Reply::Delivered || matches!(reply, Reply::Refused { why: Refusal::Expired, .. }) {
            self.ground.messages.note_ended(id);
        }
        let ends = matches!(answer, Answer::Malformed | Answer::Refused(Refusal::Connections, _));
        (!ends).then_some(false)
    }
}

/// One more of something, until it is dropped: also where its task is.
struct Count<'a>(&'a AtomicUsize);

impl Count<'_> {
    /// How many there were before.
    fn up(count: &AtomicUsize) -> (usize, Count<'_>) {
        (count.fetch_add(1, Ordering::SeqCst), Count(count))
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Takes a call's place among those that wait away, however its wait ends.
struct Waiting<'a> {
    dest: &'a Dest,
    number: CallNumber,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Ok(mut inner) = self.dest.inner.lock() {
            inner.waiting.remove(&self.number);
        }
    }
}

/// Ends once a connection of this phase has to be reset. While the endpoint is silent nothing else happens on
/// it.
async fn over(phase: &mut watch::Receiver<Phase>) {
    // A connection that was taken just as the endpoint fell silent is as silent as the others.
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
