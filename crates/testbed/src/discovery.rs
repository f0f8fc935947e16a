//! Discovery on sockets: the list, watches on it, the notices; and what goes wrong with them.
use crate::addresses;
use crate::clock::{from_seconds, to_duration, Ns, MS};
use crate::endpoints::{Endpoints, StubContext};
use crate::facts::{FactKind, Notice};
use crate::http::{self, Connection, Start};
use crate::links::Links;
use crate::messages;
use crate::plan::{zone_name, Plan};
use crate::platform::limit::{Limit, LimitKind};
use crate::platform::list::{EndpointList, Lifecycle, ListUpdate};
use crate::spec::{EventKind, Link};
use rand::RngExt;
use serde::Deserialize;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout_at, Instant};

/// The longest watch (PROTOCOL, Discovery).
const LONGEST: Duration = Duration::from_secs(60);
/// After a move the old address closes its open connections so late (TERMS, Reloading the configuration).
const CLOSES: Duration = Duration::from_millis(1_500);

/// What lists are answered with. Notices are always taken.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mood {
    Answers,
    Silent,
    Refuses,
    /// Answers as many calls as its limit lets through.
    Crowded,
}

/// A change of an endpoint, and when it is told.
type Change = (Instant, u32, Lifecycle);

struct Shared {
    list: Mutex<EndpointList>,
    /// The list's version as far as it is told.
    news: watch::Sender<u64>,
    mood: watch::Sender<Mood>,
    /// Raised once the addresses that are in use up to then are to close.
    moves: watch::Sender<u32>,
    endpoints: Arc<Endpoints>,
    links: Arc<Links>,
    plan: Arc<Plan>,
    ground: StubContext,
    late: Mutex<rand_chacha::ChaCha8Rng>,
    /// What it answers while it is crowded.
    limit: Mutex<Limit>,
}

pub struct Discovery {
    shared: Arc<Shared>,
    changes: mpsc::UnboundedSender<Change>,
    /// By sender.
    addresses: Mutex<Vec<SocketAddr>>,
}

impl Discovery {
    pub fn start(
        plan: &Arc<Plan>,
        endpoints: &Arc<Endpoints>,
        links: &Arc<Links>,
        ground: &StubContext,
    ) -> io::Result<Discovery> {
        let listed = plan.endpoints.iter().enumerate().filter(|(_, e)| e.listed).map(|(i, _)| i as u32);
        let list = EndpointList::new(listed);
        let shared = Arc::new(Shared {
            news: watch::Sender::new(list.generation()),
            list: Mutex::new(list),
            mood: watch::Sender::new(Mood::Answers),
            moves: watch::Sender::new(0),
            endpoints: endpoints.clone(),
            links: links.clone(),
            plan: plan.clone(),
            ground: ground.clone(),
            late: Mutex::new(plan.seed.stream("notices", 0)),
            limit: Mutex::new(Limit::new(LimitKind::Rate, 1.0, false)),
        });
        let addresses = Mutex::new(open(&shared)?);
        let (changes, to_tell) = mpsc::unbounded_channel();
        tokio::spawn(shared.clone().publish(to_tell));
        Ok(Discovery { shared, changes, addresses })
    }

    pub fn address(&self, sender: u32) -> SocketAddr {
        self.addresses.lock().expect("no holder panics")[sender as usize]
    }

    /// The list as a sender's configuration states it.
    pub fn known(&self, sender: u32) -> Value {
        self.shared.form(sender, &self.shared.list.lock().expect("no holder panics").since(None))
    }

    /// An endpoint changes; discovery tells so late as the experiment has it, and nothing before what came
    /// earlier.
    pub fn change(&self, endpoint: u32, lifecycle: Lifecycle) {
        self.shared.ground.fact_log.record(FactKind::EndpointChanged { endpoint, lifecycle });
        let [low, high] = self.shared.plan.spec.platform.notice_s;
        let share: f64 = self.shared.late.lock().expect("no holder panics").random();
        let at = Instant::now() + to_duration(from_seconds(low + (high - low) * share));
        // It ends with the play.
        let _ = self.changes.send((at, endpoint, lifecycle));
    }

    pub fn trouble(&self, kind: EventKind, size: f64, begins: bool) {
        if kind == EventKind::DiscoveryResets {
            let mut list = self.shared.list.lock().expect("no holder panics");
            list.forget_history();
            self.shared.news.send_replace(list.generation());
            return;
        }
        if kind == EventKind::DiscoveryCrowded {
            *self.shared.limit.lock().expect("no holder panics") = Limit::new(LimitKind::Rate, size, false);
        }
        let mood = match (kind, begins) {
            (EventKind::DiscoverySilent, true) => Mood::Silent,
            (EventKind::DiscoveryRefuses, true) => Mood::Refuses,
            (EventKind::DiscoveryCrowded, true) => Mood::Crowded,
            _ => Mood::Answers,
        };
        self.shared.mood.send_replace(mood);
    }

    /// Opens new addresses. The old ones take no new connections, and close theirs a little later.
    pub fn moves(&self) -> io::Result<()> {
        self.shared.moves.send_modify(|n| *n += 1);
        *self.addresses.lock().expect("no holder panics") = open(&self.shared)?;
        Ok(())
    }
}

fn open(shared: &Arc<Shared>) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for sender in 0..shared.plan.senders.len() as u32 {
        let at = addresses::free()?;
        tokio::spawn(shared.clone().accept(sender, addresses::listen(at)?));
        addresses.push(shared.links.front(Link::Discovery, sender, at)?);
    }
    Ok(addresses)
}

#[derive(Deserialize)]
struct NoticeLine {
    message: String,
    outcome: Notice,
    retry_in_ms: Option<f64>,
}

impl Shared {
    /// Tells changes one after the other, each when its time has come.
    async fn publish(self: Arc<Self>, mut changes: mpsc::UnboundedReceiver<Change>) {
        while let Some((at, endpoint, lifecycle)) = changes.recv().await {
            sleep_until(at).await;
            let mut list = self.list.lock().expect("no holder panics");
            list.set(endpoint, lifecycle);
            self.news.send_replace(list.generation());
        }
    }

    async fn accept(self: Arc<Self>, sender: u32, listener: TcpListener) {
        let mut moves = self.moves.subscribe();
        loop {
            tokio::select! {
                _ = moves.changed() => return,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let (shared, mut moves) = (self.clone(), self.moves.subscribe());
                    tokio::spawn(async move {
                        let link = Connection::new(stream, shared.ground.clock);
                        let moved = async {
                            let _ = moves.changed().await;
                            tokio::time::sleep(CLOSES).await;
                        };
                        tokio::select! {
                            () = shared.serve(sender, link) => {}
                            () = moved => {}
                        }
                    });
                }
            }
        }
    }

    async fn serve(&self, sender: u32, mut link: Connection) {
        while let Ok(request) = link.read_request().await {
            let answer = match &request.start {
                Start::Request { method, path } if method == "POST" && path == "/reports" => {
                    self.notices(sender, &request.body)
                }
                Start::Request { method, path } if method == "GET" => {
                    match path.split_once('?').unwrap_or((path, "")) {
                        ("/v1/servers", query) => self.list(sender, &mut link, query).await,
                        _ => Some(http::response(404, "", b"")),
                    }
                }
                _ => Some(http::response(404, "", b"")),
            };
            let Some(answer) = answer else { return };
            if link.write(&answer).await.is_err() || request.closes() {
                return;
            }
        }
    }

    fn notices(&self, sender: u32, body: &[u8]) -> Option<Vec<u8>> {
        let lines = body.split(|b| *b == b'\n').filter(|l| !l.is_empty());
        let read: Result<Vec<NoticeLine>, _> = lines.map(serde_json::from_slice).collect();
        let Ok(read) = read else { return Some(http::response(400, "", b"")) };
        for line in read {
            let Some(message) = messages::parse_id(&line.message) else { continue };
            let notice = line.outcome;
            self.ground.fact_log.record(FactKind::Notice { message, sender, notice });
            match notice {
                Notice::GivenUp => self.ground.messages.note_ended(message),
                Notice::HandedBack => {
                    let retry_in = line.retry_in_ms.map(|ms| (ms * MS as f64) as Ns);
                    self.ground.messages.note_handed_back(message, retry_in);
                }
            }
        }
        Some(http::response(204, "", b""))
    }

    /// The answer to a list or a watch; none where the sender leaves first.
    async fn list(&self, sender: u32, link: &mut Connection, query: &str) -> Option<Vec<u8>> {
        let of = |key: &str| {
            let pair = query.split('&').find_map(|p| p.split_once('=').filter(|(k, _)| *k == key));
            pair.and_then(|(_, v)| v.parse::<u64>().ok())
        };
        let (index, wait) = (of("index"), Duration::from_millis(of("wait").unwrap_or(0)).min(LONGEST));
        let mut mood = self.mood.subscribe();
        let mut news = self.news.subscribe();
        let until = Instant::now() + wait;
        let told = tokio::select! {
            told = async {
                // While discovery is down its agent is silent, whatever there is to tell.
                let _ = mood.wait_for(|m| *m != Mood::Silent).await;
                let turned_away = match *mood.borrow() {
                    Mood::Answers | Mood::Silent => false,
                    Mood::Refuses => true,
                    Mood::Crowded => self.is_crowded(),
                };
                if turned_away {
                    return None;
                }
                if let Some(index) = index {
                    let _ = timeout_at(until, news.wait_for(|n| *n > index)).await;
                    let _ = mood.wait_for(|m| *m != Mood::Silent).await;
                }
                Some(self.list.lock().expect("no holder panics").since(index))
            } => told,
            () = link.closed() => return None,
        };
        let Some(told) = told else { return Some(http::response(503, "", b"")) };
        self.note(sender, &told);
        Some(http::response(
            200,
            "Content-Type: application/json\r\n",
            self.form(sender, &told).to_string().as_bytes(),
        ))
    }

    fn is_crowded(&self) -> bool {
        self.limit.lock().expect("no holder panics").take(self.ground.clock.now()).is_err()
    }

    /// What the sender knows from now on. A whole list tells of endpoints that are gone by leaving them out.
    fn note(&self, sender: u32, told: &ListUpdate) {
        for entry in &told.entries {
            let (endpoint, lifecycle) = (entry.endpoint, entry.lifecycle);
            if !told.reset || lifecycle != Lifecycle::Ready {
                self.ground.fact_log.record(FactKind::ChangeSent { sender, endpoint, lifecycle });
            }
        }
        if told.reset && told.generation > 1 {
            let all = self.list.lock().expect("no holder panics").gone();
            for endpoint in all {
                let lifecycle = Lifecycle::Gone;
                self.ground.fact_log.record(FactKind::ChangeSent { sender, endpoint, lifecycle });
            }
        }
    }

    fn form(&self, sender: u32, told: &ListUpdate) -> Value {
        let instances: Vec<Value> = told
            .entries
            .iter()
            .map(|entry| {
                let drawn = &self.plan.endpoints[entry.endpoint as usize];
                let dest = &self.plan.destinations[drawn.dest as usize];
                let kind = if dest.flagship { "flagship" } else { "independent" };
                json!({"instanceId": drawn.name, "zone": zone_name(drawn.zone), "machineType": kind,
                    "hostPort": self.endpoints.address(entry.endpoint, sender).to_string(),
                    "cell": drawn.dest, "lifecycle": entry.lifecycle.name(), "weight": dest.per_s,
                    "startedAtMs": 0})
            })
            .collect();
        json!({"generation": told.generation, "reset": told.reset, "instances": instances})
    }
}
