//! Stub discovery service for lists of any size and thousands of watches, with one address per region.
//!
//! A region can be cut off: its connections stay open, but its list requests get no responses.
use super::change_log::{ChangeLog, ListResponse};
use super::deployment::{Change, Deployment, REGIONS};
use crate::addresses;
use crate::clock::Clock;
use crate::http::{self, Connection, Start};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

/// Longest wait of a watch (PROTOCOL, Discovery).
const MAX_WATCH: Duration = Duration::from_secs(60);
/// Approximate size of a list request without its path: the method, the version and the host header.
const REQUEST_BYTES_BESIDES_PATH: usize = 44;
/// Bound on connections that wait to be accepted; high, as a whole fleet connects at once.
const ACCEPT_BACKLOG: u32 = 4_096;

/// Responses and bytes of the service so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    pub whole_lists: u64,
    pub change_answers: u64,
    /// Responses to watches that ended without a change.
    pub empty_answers: u64,
    /// Bytes of the bodies and heads of list responses.
    pub bytes: u64,
    /// Approximate bytes of the heads of list requests.
    pub request_bytes: u64,
    /// Notices received, one for each ended message.
    pub notices: u64,
}

#[derive(Default)]
struct Counters {
    whole_lists: AtomicU64,
    change_answers: AtomicU64,
    empty_answers: AtomicU64,
    bytes: AtomicU64,
    request_bytes: AtomicU64,
    notices: AtomicU64,
}

struct Shared {
    log: Mutex<ChangeLog>,
    /// The current version.
    version: watch::Sender<u64>,
    /// By region: whether it is cut off.
    cut: Vec<watch::Sender<bool>>,
    counters: Counters,
    clock: Clock,
}

/// A handle to the service, which ends with the runtime that it was started on.
#[derive(Clone)]
pub struct ListService {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
}

impl ListService {
    /// Starts the service on the current runtime.
    pub fn start(deployment: Deployment) -> io::Result<ListService> {
        let mut log = ChangeLog::new(deployment);
        // Serialises the whole list before any request waits for it.
        log.since(None);
        let shared = Arc::new(Shared {
            version: watch::Sender::new(log.generation()),
            log: Mutex::new(log),
            cut: (0..REGIONS).map(|_| watch::Sender::new(false)).collect(),
            counters: Counters::default(),
            clock: Clock::new(Instant::now()),
        });
        let mut addresses = Vec::new();
        for region in 0..REGIONS {
            let listener = listen(addresses::reserve()?)?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(shared.clone().accept(region, listener));
        }
        Ok(ListService { shared, addresses })
    }

    /// Returns the address for a region's senders.
    pub fn address(&self, region: u32) -> SocketAddr {
        self.addresses[region as usize]
    }

    /// Applies a change, publishes it, and returns its version.
    pub fn apply(&self, change: Change) -> u64 {
        self.publish(|log| log.apply(change))
    }

    /// Draws a change, applies and publishes it, and returns its version.
    pub fn apply_drawn_change(&self, random: &mut impl rand::Rng) -> u64 {
        self.publish(|log| {
            let change = log.deployment().draw_change(random);
            log.apply(change)
        })
    }

    /// Changes all ready endpoints at once, so that every watch gets the whole list, and returns its version.
    pub fn replace_all(&self) -> u64 {
        self.publish(|log| {
            let generation = log.change_all();
            // Serialised before it is published, so that no response waits for it.
            log.since(None);
            generation
        })
    }

    fn publish(&self, change: impl FnOnce(&mut ChangeLog) -> u64) -> u64 {
        let mut log = self.shared.log();
        let generation = change(&mut log);
        self.shared.version.send_replace(generation);
        generation
    }

    /// Returns the published version of the list.
    pub fn generation(&self) -> u64 {
        *self.shared.version.borrow()
    }

    /// Cuts a region off or restores it. Meanwhile its connections stay open, but list requests get no
    /// responses.
    pub fn set_cut(&self, region: u32, is_cut: bool) {
        self.shared.cut[region as usize].send_replace(is_cut);
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let counters = &self.shared.counters;
        Counts {
            whole_lists: read(&counters.whole_lists),
            change_answers: read(&counters.change_answers),
            empty_answers: read(&counters.empty_answers),
            bytes: read(&counters.bytes),
            request_bytes: read(&counters.request_bytes),
            notices: read(&counters.notices),
        }
    }
}

impl Counts {
    /// Returns the counts since an earlier reading.
    pub fn since(&self, earlier: &Counts) -> Counts {
        Counts {
            whole_lists: self.whole_lists - earlier.whole_lists,
            change_answers: self.change_answers - earlier.change_answers,
            empty_answers: self.empty_answers - earlier.empty_answers,
            bytes: self.bytes - earlier.bytes,
            request_bytes: self.request_bytes - earlier.request_bytes,
            notices: self.notices - earlier.notices,
        }
    }
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(ACCEPT_BACKLOG)
}

impl Shared {
    fn log(&self) -> MutexGuard<'_, ChangeLog> {
        self.log.lock().expect("no holder panics")
    }

    async fn accept(self: Arc<Self>, region: u32, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let connection = Connection::new(stream, self.clock);
            tokio::spawn(self.clone().serve(region, connection));
        }
    }

    async fn serve(self: Arc<Self>, region: u32, mut connection: Connection) {
        while let Ok(request) = connection.read_request().await {
            let Start::Request { method, path } = &request.start else { return };
            let written = match (method.as_str(), path.split_once('?').unwrap_or((path, ""))) {
                ("GET", ("/v1/servers", query)) => {
                    self.respond_with_list(region, &mut connection, path.len(), query).await
                }
                ("POST", ("/reports", _)) => {
                    let lines = request.body.split(|b| *b == b'\n').filter(|l| !l.is_empty()).count();
                    self.counters.notices.fetch_add(lines as u64, Ordering::Relaxed);
                    connection.write(&http::response(204, "", b"")).await
                }
                _ => connection.write(&http::response(404, "", b"")).await,
            };
            if written.is_err() || request.closes() {
                return;
            }
        }
    }

    async fn respond_with_list(
        &self,
        region: u32,
        connection: &mut Connection,
        path_bytes: usize,
        query: &str,
    ) -> io::Result<()> {
        let parameter = |key: &str| {
            let pair = query.split('&').find_map(|p| p.split_once('=').filter(|(k, _)| *k == key));
            pair.and_then(|(_, v)| v.parse::<u64>().ok())
        };
        let index = parameter("index");
        self.counters
            .request_bytes
            .fetch_add((path_bytes + REQUEST_BYTES_BESIDES_PATH) as u64, Ordering::Relaxed);
        let mut cut = self.cut[region as usize].subscribe();
        if let Some(index) = index {
            let deadline =
                Instant::now() + Duration::from_millis(parameter("wait").unwrap_or(0)).min(MAX_WATCH);
            let mut version = self.version.subscribe();
            let waited = async {
                let _ = timeout_at(deadline, version.wait_for(|v| *v > index)).await;
            };
            tokio::select! {
                () = waited => {}
                () = connection.closed() => return Err(io::ErrorKind::ConnectionReset.into()),
            }
        }
        tokio::select! {
            _ = cut.wait_for(|is_cut| !is_cut) => {}
            () = connection.closed() => return Err(io::ErrorKind::ConnectionReset.into()),
        }
        let (response, has_news) = {
            let mut log = self.log();
            let has_news = index != Some(log.generation());
            (log.since(index), has_news)
        };
        self.write(connection, &response, has_news).await
    }

    async fn write(
        &self,
        connection: &mut Connection,
        response: &ListResponse,
        has_news: bool,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.len()
        );
        let counter = match (response.reset, has_news) {
            (true, _) => &self.counters.whole_lists,
            (false, true) => &self.counters.change_answers,
            (false, false) => &self.counters.empty_answers,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        self.counters.bytes.fetch_add((head.len() + response.len()) as u64, Ordering::Relaxed);
        if let [body] = response.parts.as_slice() {
            return connection.write(&[head.as_bytes(), body].concat()).await;
        }
        connection.write(head.as_bytes()).await?;
        for part in &response.parts {
            connection.write(part).await?;
        }
        Ok(())
    }
}
