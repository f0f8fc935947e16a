//! Load generator for one sender: clients that hand in messages for many destinations, and stub endpoints on
//! a few sockets, with the outcome of all messages.
use super::deployment::{Addresses, Deployment};
use super::traffic::{DestinationSampler, Skew};
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

/// Listening sockets that all endpoints that are up share.
const ENDPOINT_SOCKETS: usize = 8;
/// Time that a client waits for the response (PROTOCOL, Clients to senders).
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which an endpoint closes an idle connection, a little more than the settings state.
const ENDPOINT_IDLE_TIMEOUT: Duration = Duration::from_secs(11);
/// Time for which clients keep an idle connection.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of a message's body.
const BODY_BYTES: usize = 212;
/// An address without a listener, where connections are refused.
const REFUSING_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2)), 1);
/// Time to wait for outstanding deliveries after the last message was handed in.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept, for instance when descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How the endpoints of destinations that are down behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownBehaviour {
    /// They refuse connections.
    Refuses,
    /// They accept connections and never respond.
    Silent,
}

/// What the endpoints have received.
#[derive(Default)]
struct EndpointCounters {
    connections: AtomicU64,
    calls: AtomicU64,
    /// Ids of the messages answered with 200.
    delivered: Mutex<HashSet<u64>>,
}

/// The stub endpoints of all destinations.
pub struct Endpoints {
    addresses: Addresses,
    counters: Arc<EndpointCounters>,
}

impl Endpoints {
    /// Starts endpoints that answer each call with 200 after `work`, or behave as `down` if their destination
    /// is down.
    pub fn start(work: Duration, down: DownBehaviour) -> io::Result<Endpoints> {
        let counters = Arc::new(EndpointCounters::default());
        let mut live = Vec::new();
        for _ in 0..ENDPOINT_SOCKETS {
            let at = addresses::reserve()?;
            tokio::spawn(accept(addresses::listen(at)?, work, counters.clone()));
            live.push(at);
        }
        let down = match down {
            DownBehaviour::Refuses => REFUSING_ADDRESS,
            DownBehaviour::Silent => {
                let at = addresses::reserve()?;
                tokio::spawn(accept_silently(addresses::listen(at)?));
                at
            }
        };
        Ok(Endpoints { addresses: Addresses::Shared { live, down }, counters })
    }

    /// Returns the addresses for the deployment's list.
    pub fn addresses(&self) -> Addresses {
        self.addresses.clone()
    }
}

/// Accepts connections, never responds, and keeps them until the peer closes them.
async fn accept_silently(listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let mut connection = Connection::new(stream, Clock::new(Instant::now()));
                tokio::spawn(async move { while connection.read_request().await.is_ok() {} });
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn accept(listener: TcpListener, work: Duration, counters: Arc<EndpointCounters>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                counters.connections.fetch_add(1, Ordering::Relaxed);
                let connection = Connection::new(stream, Clock::new(Instant::now()));
                tokio::spawn(serve(connection, work, counters.clone()));
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve(mut connection: Connection, work: Duration, counters: Arc<EndpointCounters>) {
    while let Ok(Ok(request)) = timeout(ENDPOINT_IDLE_TIMEOUT, connection.read_request()).await {
        if request.start != (Start::Request { method: "POST".into(), path: "/v1/messages".into() }) {
            // Any other request is a probe.
            if connection.write(&http::response(200, "", b"")).await.is_err() {
                return;
            }
            continue;
        }
        counters.calls.fetch_add(1, Ordering::Relaxed);
        sleep(work).await;
        if connection.write(&http::response(200, "", b"")).await.is_err() {
            return;
        }
        if let Some(id) = request.header("x-trace-id").and_then(messages::parse_id) {
            counters.delivered.lock().expect("no holder panics").insert(id);
        }
    }
}

/// A load on one sender.
#[derive(Clone, Debug)]
pub struct Load {
    pub seed: Seed,
    /// Number of the load among those on one sender, so that each draws different message ids.
    pub number: u64,
    pub skew: Skew,
    /// Whether all messages are for destinations that are down.
    pub down_only: bool,
    /// Messages per second, as the mean of a Poisson process.
    pub per_second: f64,
    pub duration: Duration,
    pub class: Class,
}

/// The outcome of a load's messages.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Outcome {
    pub skew: &'static str,
    pub per_second: f64,
    pub handed_in: usize,
    pub taken_on: usize,
    pub refused: usize,
    /// Hand-ins without a response in time, without a connection, or with an error.
    pub unanswered: usize,
    /// Messages taken on that are for destinations that are up.
    pub taken_on_for_live: usize,
    pub delivered: usize,
    /// Calls that the endpoints received during the load.
    pub calls: u64,
    /// Connections that the endpoints accepted during the load.
    pub connections: u64,
    pub destinations_used: usize,
    /// Response times of the hand-ins that were accepted or refused.
    pub answer_ms_p50: f64,
    pub answer_ms_p99: f64,
    pub answer_ms_max: f64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum HandInResult {
    Accepted,
    Refused,
    Unanswered,
}

/// A message that was handed in.
struct HandIn {
    id: u64,
    result: HandInResult,
    /// Whether its destination is up.
    live: bool,
    took: Ns,
}

/// The clients of one sender, with their idle connections.
struct Clients {
    sender: SocketAddr,
    class: Class,
    clock: Clock,
    idle: Mutex<Vec<(Connection, Instant)>>,
}

impl Load {
    /// Hands messages in at a sender, and waits until those taken on for destinations that are up are
    /// delivered, at most for `DRAIN_TIMEOUT`.
    pub async fn run(&self, sender: SocketAddr, deployment: &Deployment, endpoints: &Endpoints) -> Outcome {
        let clock = Clock::new(Instant::now());
        let clients = Arc::new(Clients { sender, class: self.class.clone(), clock, idle: Mutex::default() });
        let counters = &endpoints.counters;
        let (calls, connections) =
            (counters.calls.load(Ordering::Relaxed), counters.connections.load(Ordering::Relaxed));
        let mut random = self.seed.stream("load", self.number);
        let destinations = DestinationSampler::new(self.skew, deployment.destinations());
        let gaps = Exp::new(self.per_second).expect("a positive rate");
        let (mut used, mut tasks, mut due) = (HashSet::new(), JoinSet::new(), 0);
        while due < from_duration(self.duration) {
            due += from_seconds(gaps.sample(&mut random));
            clock.sleep_until(due).await;
            let mut destination = destinations.sample(&mut random);
            while self.down_only && !deployment.is_down(destination) {
                destination = destinations.sample(&mut random);
            }
            let id = random.random();
            used.insert(destination);
            tasks.spawn(clients.clone().hand_in(id, destination, !deployment.is_down(destination)));
        }
        let handed_in = tasks.join_all().await;
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while undelivered(counters, &handed_in) > 0 && Instant::now() < deadline {
            sleep(Duration::from_millis(20)).await;
        }
        let mut outcome = self.outcome(&handed_in);
        outcome.delivered = outcome.taken_on_for_live - undelivered(counters, &handed_in);
        outcome.calls = counters.calls.load(Ordering::Relaxed) - calls;
        outcome.connections = counters.connections.load(Ordering::Relaxed) - connections;
        outcome.destinations_used = used.len();
        outcome
    }

    fn outcome(&self, handed_in: &[HandIn]) -> Outcome {
        let count = |result| handed_in.iter().filter(|h| h.result == result).count();
        let mut times: Vec<Ns> =
            handed_in.iter().filter(|h| h.result != HandInResult::Unanswered).map(|h| h.took).collect();
        times.sort_unstable();
        let quantile_ms = |share: f64| {
            let index = (share * times.len().saturating_sub(1) as f64) as usize;
            times.get(index).map_or(f64::NAN, |t| *t as f64 / MS as f64)
        };
        Outcome {
            skew: self.skew.name(),
            per_second: self.per_second,
            handed_in: handed_in.len(),
            taken_on: count(HandInResult::Accepted),
            refused: count(HandInResult::Refused),
            unanswered: count(HandInResult::Unanswered),
            taken_on_for_live: handed_in
                .iter()
                .filter(|h| h.result == HandInResult::Accepted && h.live)
                .count(),
            answer_ms_p50: quantile_ms(0.5),
            answer_ms_p99: quantile_ms(0.99),
            answer_ms_max: quantile_ms(1.0),
            ..Outcome::default()
        }
    }
}

/// Returns the number of messages for live destinations that were taken on but not delivered so far.
fn undelivered(counters: &EndpointCounters, handed_in: &[HandIn]) -> usize {
    let delivered = counters.delivered.lock().expect("no holder panics");
    handed_in
        .iter()
        .filter(|h| h.result == HandInResult::Accepted && h.live && !delivered.contains(&h.id))
        .count()
}

impl Clients {
    /// Hands one message in, and returns the result with the time that it took.
    async fn hand_in(self: Arc<Self>, id: u64, destination: u32, live: bool) -> HandIn {
        let begun = self.clock.now();
        let result = timeout(RESPONSE_TIMEOUT, self.send_request(id, destination))
            .await
            .unwrap_or(HandInResult::Unanswered);
        HandIn { id, result, live, took: self.clock.now() - begun }
    }

    async fn send_request(&self, id: u64, destination: u32) -> HandInResult {
        let name = &self.class.name;
        let mut request = format!(
            "POST /{name} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {}\r\nX-Qos: {name}\r\n\
             X-Expires-In-Ms: {}\r\nContent-Length: {BODY_BYTES}\r\nX-Consignee: dest={destination}\r\n\r\n",
            messages::format_id(id),
            self.class.deadline / MS,
        )
        .into_bytes();
        request.resize(request.len() + BODY_BYTES, b'x');
        // The sender may have closed an idle connection, so after a failure the next is tried.
        while let Some(mut connection) = self.take_idle() {
            if let Some(result) = exchange(&mut connection, &request).await {
                self.put_back(connection);
                return result;
            }
        }
        let Ok(stream) = TcpStream::connect(self.sender).await else { return HandInResult::Unanswered };
        let mut connection = Connection::new(stream, self.clock);
        let result = exchange(&mut connection, &request).await;
        self.put_back(connection);
        result.unwrap_or(HandInResult::Unanswered)
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no holder panics");
        idle.retain(|(_, since)| since.elapsed() < CLIENT_IDLE_TIMEOUT);
        idle.pop().map(|(connection, _)| connection)
    }

    fn put_back(&self, connection: Connection) {
        self.idle.lock().expect("no holder panics").push((connection, Instant::now()));
    }
}

/// Sends a request and reads the response; `None` if the connection fails.
async fn exchange(connection: &mut Connection, request: &[u8]) -> Option<HandInResult> {
    connection.write(request).await.ok()?;
    match connection.read_response().await.ok()?.start {
        Start::Status(200 | 202) => Some(HandInResult::Accepted),
        Start::Status(429 | 503) => Some(HandInResult::Refused),
        _ => Some(HandInResult::Unanswered),
    }
}
