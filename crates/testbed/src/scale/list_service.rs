//! Discovery on sockets for lists of any size and some thousand watches: one address for each region, whose
//! connections can be cut.
use super::change_log::{Answer, ChangeLog};
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

/// The longest watch (PROTOCOL, Discovery).
const LONGEST: Duration = Duration::from_secs(60);
/// Connections that wait to be accepted: a fleet connects at once.
const BACKLOG: u32 = 4_096;

/// What has been answered so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    pub whole_lists: u64,
    pub change_answers: u64,
    /// Watches that ended with nothing new.
    pub empty_answers: u64,
    /// Bodies and heads of answers.
    pub bytes: u64,
    /// Heads of requests.
    pub request_bytes: u64,
    /// Messages that ended with a notice.
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
    news: watch::Sender<u64>,
    /// By region: its network reaches nobody.
    cut: Vec<watch::Sender<bool>>,
    counters: Counters,
    clock: Clock,
}

/// The service; it ends with the runtime that it was started on. Copies are of the same service.
#[derive(Clone)]
pub struct ListService {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
}

impl ListService {
    pub fn start(deployment: Deployment) -> io::Result<ListService> {
        let mut log = ChangeLog::new(deployment);
        // Written once, before anybody waits for it.
        log.since(None);
        let shared = Arc::new(Shared {
            news: watch::Sender::new(log.generation()),
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

    pub fn address(&self, region: u32) -> SocketAddr {
        self.addresses[region as usize]
    }

    /// Makes a change, tells it, and returns its version.
    pub fn apply(&self, change: Change) -> u64 {
        self.publish(|log| log.apply(change))
    }

    /// Makes and tells a drawn change.
    pub fn change(&self, random: &mut impl rand::Rng) -> u64 {
        self.publish(|log| {
            let change = log.deployment().draw(random);
            log.apply(change)
        })
    }

    /// All endpoints change at once, and everybody is told the whole list.
    pub fn replace_all(&self) -> u64 {
        self.publish(|log| {
            let generation = log.change_all();
            // Written before it is told, so that nobody's answer waits for it.
            log.since(None);
            generation
        })
    }

    fn publish(&self, change: impl FnOnce(&mut ChangeLog) -> u64) -> u64 {
        let mut log = self.shared.log();
        let generation = change(&mut log);
        self.shared.news.send_replace(generation);
        generation
    }

    pub fn generation(&self) -> u64 {
        *self.shared.news.borrow()
    }

    /// Cuts a region off, or heals it: its connections stay open and silent meanwhile.
    pub fn cut(&self, region: u32, is_cut: bool) {
        self.shared.cut[region as usize].send_replace(is_cut);
    }

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
    socket.listen(BACKLOG)
}

impl Shared {
    fn log(&self) -> MutexGuard<'_, ChangeLog> {
        self.log.lock().expect("no holder panics")
    }

    async fn accept(self: Arc<Self>, region: u32, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let link = Connection::new(stream, self.clock);
            tokio::spawn(self.clone().serve(region, link));
        }
    }

    async fn serve(self: Arc<Self>, region: u32, mut link: Connection) {
        while let Ok(request) = link.read_request().await {
            let Start::Request { method, path } = &request.start else { return };
            let written = match (method.as_str(), path.split_once('?').unwrap_or((path, ""))) {
                ("GET", ("/v1/servers", query)) => self.list(region, &mut link, path.len(), query).await,
                ("POST", ("/reports", _)) => {
                    let lines = request.body.split(|b| *b == b'\n').filter(|l| !l.is_empty()).count();
                    self.counters.notices.fetch_add(lines as u64, Ordering::Relaxed);
                    link.write(&http::response(204, "", b"")).await
                }
                _ => link.write(&http::response(404, "", b"")).await,
            };
            if written.is_err() || request.closes() {
                return;
            }
        }
    }

    async fn list(&self, region: u32, link: &mut Connection, path: usize, query: &str) -> io::Result<()> {
        let of = |key: &str| {
            let pair = query.split('&').find_map(|p| p.split_once('=').filter(|(k, _)| *k == key));
            pair.and_then(|(_, v)| v.parse::<u64>().ok())
        };
        let index = of("index");
        // Its own words and the host's name.
        self.counters.request_bytes.fetch_add((path + 44) as u64, Ordering::Relaxed);
        let mut cut = self.cut[region as usize].subscribe();
        if let Some(index) = index {
            let until = Instant::now() + Duration::from_millis(of("wait").unwrap_or(0)).min(LONGEST);
            let mut news = self.news.subscribe();
            let waited = async {
                let _ = timeout_at(until, news.wait_for(|n| *n > index)).await;
            };
            tokio::select! {
                () = waited => {}
                () = link.closed() => return Err(io::ErrorKind::ConnectionReset.into()),
            }
        }
        tokio::select! {
            _ = cut.wait_for(|is_cut| !is_cut) => {}
            () = link.closed() => return Err(io::ErrorKind::ConnectionReset.into()),
        }
        let (answer, news) = {
            let mut log = self.log();
            let news = index != Some(log.generation());
            (log.since(index), news)
        };
        self.write(link, &answer, news).await
    }

    async fn write(&self, link: &mut Connection, answer: &Answer, news: bool) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            answer.len()
        );
        let kind = match (answer.reset, news) {
            (true, _) => &self.counters.whole_lists,
            (false, true) => &self.counters.change_answers,
            (false, false) => &self.counters.empty_answers,
        };
        kind.fetch_add(1, Ordering::Relaxed);
        self.counters.bytes.fetch_add((head.len() + answer.len()) as u64, Ordering::Relaxed);
        if let [body] = answer.parts.as_slice() {
            return link.write(&[head.as_bytes(), body].concat()).await;
        }
        link.write(head.as_bytes()).await?;
        for part in &answer.parts {
            link.write(part).await?;
        }
        Ok(())
    }
}
