//! Clients and endpoints of one sender: messages to many destinations over few sockets, and what became of them.
use super::deployment::{Addresses, Deployment};
use super::traffic::{Skew, Traffic};
use crate::addresses;
use crate::clock::{from_duration, from_seconds, Clock, Ns, MS};
use crate::http::{self, Connection, Start};
use crate::messages;
use crate::plan::Class;
use crate::seed::Seed;
use rand::RngExt;
use rand_distr::{Distribution, Exp};
use serde::Serialize;
use std::collections::HashSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// Sockets that all endpoints share.
const SOCKETS: usize = 8;
/// A client waits so long for its answer (PROTOCOL, Clients to senders).
const PATIENCE: Duration = Duration::from_millis(400);
/// An endpoint closes a connection that stood idle so long, a little after the settings say so.
const IDLE: Duration = Duration::from_secs(11);
/// Clients keep a connection no longer than this.
const KEPT: Duration = Duration::from_secs(5);
const BODY: usize = 212;
/// Nobody listens there: connections are refused.
const REFUSES: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2)), 1);
/// How long is waited for what is on its way once the last message is handed in.
const TAIL: Duration = Duration::from_secs(3);
/// After an error of accepting, as where descriptors are short.
const PAUSE: Duration = Duration::from_millis(10);

/// What destinations that are down do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// They refuse connections.
    Refuses,
    /// They take connections and never answer.
    Silent,
}

#[derive(Default)]
struct Seen {
    connections: AtomicU64,
    calls: AtomicU64,
    /// Messages that were answered with 200.
    delivered: Mutex<HashSet<u64>>,
}

/// The endpoints of all destinations.
pub struct Endpoints {
    addresses: Addresses,
    seen: Arc<Seen>,
}

impl Endpoints {
    /// Each call to one that is up is answered with 200 after `work`.
    pub fn start(work: Duration, down: Down) -> io::Result<Endpoints> {
        let seen = Arc::new(Seen::default());
        let mut live = Vec::new();
        for _ in 0..SOCKETS {
            let at = addresses::reserve()?;
            tokio::spawn(accept(addresses::listen(at)?, work, seen.clone()));
            live.push(at);
        }
        let down = match down {
            Down::Refuses => REFUSES,
            Down::Silent => {
                let at = addresses::reserve()?;
                tokio::spawn(stay_silent(addresses::listen(at)?));
                at
            }
        };
        Ok(Endpoints { addresses: Addresses::Shared { live, down }, seen })
    }

    pub fn addresses(&self) -> Addresses {
        self.addresses.clone()
    }
}

/// Keeps connections until the other side ends them, and answers nothing.
async fn stay_silent(listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let mut link = Connection::new(stream, Clock::new(Instant::now()));
                tokio::spawn(async move { while link.read_request().await.is_ok() {} });
            }
            Err(_) => sleep(PAUSE).await,
        }
    }
}

async fn accept(listener: TcpListener, work: Duration, seen: Arc<Seen>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                seen.connections.fetch_add(1, Ordering::Relaxed);
                let link = Connection::new(stream, Clock::new(Instant::now()));
                tokio::spawn(serve(link, work, seen.clone()));
            }
            Err(_) => sleep(PAUSE).await,
        }
    }
}

async fn serve(mut link: Connection, work: Duration, seen: Arc<Seen>) {
    while let Ok(Ok(request)) = timeout(IDLE, link.read_request()).await {
        if request.start != (Start::Request { method: "POST".into(), path: "/v1/messages".into() }) {
            // Probes.
            if link.write(&http::response(200, "", b"")).await.is_err() {
                return;
            }
            continue;
        }
        seen.calls.fetch_add(1, Ordering::Relaxed);
        sleep(work).await;
        if link.write(&http::response(200, "", b"")).await.is_err() {
            return;
        }
        if let Some(id) = request.header("x-trace-id").and_then(messages::parse_id) {
            seen.delivered.lock().expect("no holder panics").insert(id);
        }
    }
}

/// What clients do.
#[derive(Clone, Debug)]
pub struct Load {
    pub seed: Seed,
    /// Each load on one sender has its own, as messages have numbers of their own.
    pub number: u64,
    pub skew: Skew,
    /// For destinations that are down alone.
    pub down_only: bool,
    pub per_second: f64,
    pub lasts: Duration,
    pub class: Class,
}

/// What became of the messages.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Outcome {
    pub skew: &'static str,
    pub per_second: f64,
    pub handed_in: usize,
    pub taken_on: usize,
    pub refused: usize,
    /// No answer within the client's patience, no connection, or an error.
    pub unanswered: usize,
    /// Taken on, for destinations that are up.
    pub taken_on_for_live: usize,
    pub delivered: usize,
    pub calls: u64,
    pub connections: u64,
    pub destinations_used: usize,
    pub answer_ms_p50: f64,
    pub answer_ms_p99: f64,
    pub answer_ms_max: f64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Heard {
    Taken,
    Refused,
    Nothing,
}

struct Handed {
    id: u64,
    heard: Heard,
    live: bool,
    took: Ns,
}

struct Clients {
    at: SocketAddr,
    class: Class,
    clock: Clock,
    idle: Mutex<Vec<(Connection, Instant)>>,
}

impl Load {
    /// Hands messages in at a sender, and waits until those that it took on for live destinations are delivered, or a
    /// little time is over.
    pub async fn play(&self, at: SocketAddr, deployment: &Deployment, endpoints: &Endpoints) -> Outcome {
        let clock = Clock::new(Instant::now());
        let clients = Arc::new(Clients { at, class: self.class.clone(), clock, idle: Mutex::default() });
        let seen = &endpoints.seen;
        let (calls, connections) =
            (seen.calls.load(Ordering::Relaxed), seen.connections.load(Ordering::Relaxed));
        let mut random = self.seed.stream("load", self.number);
        let traffic = Traffic::new(self.skew, deployment.destinations());
        let gaps = Exp::new(self.per_second).expect("a positive rate");
        let (mut used, mut tasks, mut due) = (HashSet::new(), JoinSet::new(), 0);
        while due < from_duration(self.lasts) {
            due += from_seconds(gaps.sample(&mut random));
            clock.sleep_until(due).await;
            let mut destination = traffic.draw(&mut random);
            while self.down_only && !deployment.is_down(destination) {
                destination = traffic.draw(&mut random);
            }
            let id = random.random();
            used.insert(destination);
            tasks.spawn(clients.clone().hand_in(id, destination, !deployment.is_down(destination)));
        }
        let handed = tasks.join_all().await;
        let until = Instant::now() + TAIL;
        while missing(seen, &handed) > 0 && Instant::now() < until {
            sleep(Duration::from_millis(20)).await;
        }
        let mut outcome = self.outcome(&handed);
        outcome.delivered = outcome.taken_on_for_live - missing(seen, &handed);
        outcome.calls = seen.calls.load(Ordering::Relaxed) - calls;
        outcome.connections = seen.connections.load(Ordering::Relaxed) - connections;
        outcome.destinations_used = used.len();
        outcome
    }

    fn outcome(&self, handed: &[Handed]) -> Outcome {
        let count = |heard| handed.iter().filter(|h| h.heard == heard).count();
        let mut took: Vec<Ns> = handed.iter().filter(|h| h.heard != Heard::Nothing).map(|h| h.took).collect();
        took.sort_unstable();
        let at = |share: f64| {
            let place = (share * took.len().saturating_sub(1) as f64) as usize;
            took.get(place).map_or(f64::NAN, |t| *t as f64 / MS as f64)
        };
        Outcome {
            skew: self.skew.name(),
            per_second: self.per_second,
            handed_in: handed.len(),
            taken_on: count(Heard::Taken),
            refused: count(Heard::Refused),
            unanswered: count(Heard::Nothing),
            taken_on_for_live: handed.iter().filter(|h| h.heard == Heard::Taken && h.live).count(),
            answer_ms_p50: at(0.5),
            answer_ms_p99: at(0.99),
            answer_ms_max: at(1.0),
            ..Outcome::default()
        }
    }
}

/// Messages for live destinations that were taken on and not delivered so far.
fn missing(seen: &Seen, handed: &[Handed]) -> usize {
    let delivered = seen.delivered.lock().expect("no holder panics");
    handed.iter().filter(|h| h.heard == Heard::Taken && h.live && !delivered.contains(&h.id)).count()
}

impl Clients {
    async fn hand_in(self: Arc<Self>, id: u64, destination: u32, live: bool) -> Handed {
        let begun = self.clock.now();
        let heard = timeout(PATIENCE, self.ask(id, destination)).await.unwrap_or(Heard::Nothing);
        Handed { id, heard, live, took: self.clock.now() - begun }
    }

    async fn ask(&self, id: u64, destination: u32) -> Heard {
        let name = &self.class.name;
        let mut request = format!(
            "POST /{name} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {}\r\nX-Qos: {name}\r\n\
             X-Expires-In-Ms: {}\r\nContent-Length: {BODY}\r\nX-Consignee: dest={destination}\r\n\r\n",
            messages::format_id(id),
            self.class.deadline / MS,
        )
        .into_bytes();
        request.resize(request.len() + BODY, b'x');
        // Once more on a new connection, as the sender may have closed a kept one.
        while let Some(mut link) = self.kept() {
            if let Some(heard) = exchange(&mut link, &request).await {
                self.keep(link);
                return heard;
            }
        }
        let Ok(stream) = TcpStream::connect(self.at).await else { return Heard::Nothing };
        let mut link = Connection::new(stream, self.clock);
        let heard = exchange(&mut link, &request).await;
        self.keep(link);
        heard.unwrap_or(Heard::Nothing)
    }

    fn kept(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no holder panics");
        idle.retain(|(_, since)| since.elapsed() < KEPT);
        idle.pop().map(|(link, _)| link)
    }

    fn keep(&self, link: Connection) {
        self.idle.lock().expect("no holder panics").push((link, Instant::now()));
    }
}

async fn exchange(link: &mut Connection, request: &[u8]) -> Option<Heard> {
    link.write(request).await.ok()?;
    match link.read_response().await.ok()?.start {
        Start::Status(200 | 202) => Some(Heard::Taken),
        Start::Status(429 | 503) => Some(Heard::Refused),
        _ => Some(Heard::Nothing),
    }
}
