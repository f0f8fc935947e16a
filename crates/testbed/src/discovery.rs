//! Discovery on sockets: answers requests for the list and watches, takes notices, and simulates its faults.
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
const MAX_WATCH: Duration = Duration::from_secs(60);
/// How long after a move the connections to the old address stay open (TERMS, Reloading the configuration).
const CLOSE_DELAY: Duration = Duration::from_millis(1_500);

/// How requests for the list are answered. Notices are accepted in all modes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mode {
    Answers,
    Silent,
    Refuses,
    /// Answers as many requests as the limit allows, and refuses the others.
    Crowded,
}

/// When to publish a change, its endpoint and the new lifecycle.
type Change = (Instant, u32, Lifecycle);

/// State shared by the tasks of discovery.
struct Shared {
    list: Mutex<EndpointList>,
    /// Generation of the list that is published.
    published: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
    /// Number of moves. Each makes the addresses used before it close.
    move_count: watch::Sender<u32>,
    endpoints: Arc<Endpoints>,
    links: Arc<Links>,
    plan: Arc<Plan>,
    context: StubContext,
    /// Random stream for the delays after which changes are published.
    delays: Mutex<rand_chacha::ChaCha8Rng>,
    /// Limit of requests for the list in `Mode::Crowded`.
    limit: Mutex<Limit>,
}

/// The discovery service of a play.
pub struct Discovery {
    shared: Arc<Shared>,
    changes: mpsc::UnboundedSender<Change>,
    /// By sender.
    addresses: Mutex<Vec<SocketAddr>>,
}

impl Discovery {
    /// Listens at an address of its own for each sender.
    pub fn start(
        plan: &Arc<Plan>,
        endpoints: &Arc<Endpoints>,
        links: &Arc<Links>,
        context: &StubContext,
    ) -> io::Result<Discovery> {
        let listed = plan.endpoints.iter().enumerate().filter(|(_, e)| e.listed).map(|(i, _)| i as u32);
        let list = EndpointList::new(listed);
        let shared = Arc::new(Shared {
            published: watch::Sender::new(list.generation()),
            list: Mutex::new(list),
            mode: watch::Sender::new(Mode::Answers),
            move_count: watch::Sender::new(0),
            endpoints: endpoints.clone(),
            links: links.clone(),
            plan: plan.clone(),
            context: context.clone(),
            delays: Mutex::new(plan.seed.stream("notices", 0)),
            limit: Mutex::new(Limit::new(LimitKind::Rate, 1.0, false)),
        });
        let addresses = Mutex::new(open(&shared)?);
        let (changes, changes_to_publish) = mpsc::unbounded_channel();
        tokio::spawn(shared.clone().publish(changes_to_publish));
        Ok(Discovery { shared, changes, addresses })
    }

    /// Returns the address at which a sender reaches discovery.
    pub fn address(&self, sender: u32) -> SocketAddr {
        self.addresses.lock().expect("no holder panics")[sender as usize]
    }

    /// Returns the current list in the form of a sender's configuration.
    pub fn known(&self, sender: u32) -> Value {
        self.shared.to_json(sender, &self.shared.list.lock().expect("no holder panics").since(None))
    }

    /// Records the change of an endpoint and publishes it after the delay of the experiment, in the order of
    /// changes.
    pub fn change_endpoint(&self, endpoint: u32, lifecycle: Lifecycle) {
        self.shared.context.fact_log.record(FactKind::EndpointChanged { endpoint, lifecycle });
        let [low, high] = self.shared.plan.spec.platform.notice_s;
        let share: f64 = self.shared.delays.lock().expect("no holder panics").random();
        let at = Instant::now() + to_duration(from_seconds(low + (high - low) * share));
        // The receiver is gone only at the end of the play.
        let _ = self.changes.send((at, endpoint, lifecycle));
    }

    /// Begins or ends a fault. Only one mode is active at a time: a fault that begins replaces the mode of an
    /// earlier one, and the end of any fault restores `Mode::Answers`.
    pub fn set_fault(&self, kind: EventKind, size: f64, begins: bool) {
        if kind == EventKind::DiscoveryResets {
            let mut list = self.shared.list.lock().expect("no holder panics");
            list.forget_history();
            self.shared.published.send_replace(list.generation());
            return;
        }
        if kind == EventKind::DiscoveryCrowded {
            *self.shared.limit.lock().expect("no holder panics") = Limit::new(LimitKind::Rate, size, false);
        }
        let mode = match (kind, begins) {
            (EventKind::DiscoverySilent, true) => Mode::Silent,
            (EventKind::DiscoveryRefuses, true) => Mode::Refuses,
            (EventKind::DiscoveryCrowded, true) => Mode::Crowded,
            _ => Mode::Answers,
        };
        self.shared.mode.send_replace(mode);
    }

    /// Opens new addresses. The old ones accept no new connections, and close the open ones after
    /// `CLOSE_DELAY`.
    pub fn move_address(&self) -> io::Result<()> {
        self.shared.move_count.send_modify(|n| *n += 1);
        *self.addresses.lock().expect("no holder panics") = open(&self.shared)?;
        Ok(())
    }
}

/// Listens at a new address for each sender.
fn open(shared: &Arc<Shared>) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for sender in 0..shared.plan.senders.len() as u32 {
        let at = addresses::reserve()?;
        tokio::spawn(shared.clone().accept(sender, addresses::listen(at)?));
        addresses.push(shared.links.connect_address(Link::Discovery, sender, at)?);
    }
    Ok(addresses)
}

/// A line of the body of a request with notices.
#[derive(Deserialize)]
struct NoticeLine {
    message: String,
    outcome: Notice,
    retry_in_ms: Option<f64>,
}

impl Shared {
    /// Publishes changes one after the other, each at its time.
    async fn publish(self: Arc<Self>, mut changes: mpsc::UnboundedReceiver<Change>) {
        while let Some((at, endpoint, lifecycle)) = changes.recv().await {
            sleep_until(at).await;
            let mut list = self.list.lock().expect("no holder panics");
            list.set(endpoint, lifecycle);
            self.context.fact_log.record(FactKind::ChangePublished { endpoint, lifecycle });
            self.published.send_replace(list.generation());
        }
    }

    /// Accepts connections until the next move.
    async fn accept(self: Arc<Self>, sender: u32, listener: TcpListener) {
        let mut moves = self.move_count.subscribe();
        loop {
            tokio::select! {
                _ = moves.changed() => return,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let (shared, mut moves) = (self.clone(), self.move_count.subscribe());
                    tokio::spawn(async move {
                        let connection = Connection::new(stream, shared.context.clock);
                        let moved = async {
                            let _ = moves.changed().await;
                            tokio::time::sleep(CLOSE_DELAY).await;
                        };
                        tokio::select! {
                            () = shared.serve(sender, connection) => {}
                            () = moved => {}
                        }
                    });
                }
            }
        }
    }

    /// Answers the requests on a connection until it ends.
    async fn serve(&self, sender: u32, mut connection: Connection) {
        while let Ok(request) = connection.read_request().await {
            let answer = match &request.start {
                Start::Request { method, path } if method == "POST" && path == "/reports" => {
                    self.take_notices(sender, &request.body)
                }
                Start::Request { method, path } if method == "GET" => {
                    match path.split_once('?').unwrap_or((path, "")) {
                        ("/v1/servers", query) => self.answer_list(sender, &mut connection, query).await,
                        _ => Some(http::response(404, "", b"")),
                    }
                }
                _ => Some(http::response(404, "", b"")),
            };
            let Some(answer) = answer else { return };
            if connection.write(&answer).await.is_err() || request.closes() {
                return;
            }
        }
    }

    /// Takes a body with notices and returns the answer.
    fn take_notices(&self, sender: u32, body: &[u8]) -> Option<Vec<u8>> {
        let lines = body.split(|b| *b == b'\n').filter(|l| !l.is_empty());
        let read: Result<Vec<NoticeLine>, _> = lines.map(serde_json::from_slice).collect();
        let Ok(read) = read else { return Some(http::response(400, "", b"")) };
        for line in read {
            let Some(message) = messages::parse_id(&line.message) else { continue };
            let notice = line.outcome;
            self.context.fact_log.record(FactKind::Notice { message, sender, notice });
            match notice {
                Notice::GivenUp => self.context.messages.note_ended(message),
                Notice::HandedBack => {
                    let retry_in = line.retry_in_ms.map(|ms| (ms * MS as f64) as Ns);
                    self.context.messages.note_handed_back(message, retry_in);
                }
            }
        }
        Some(http::response(204, "", b""))
    }

    /// Returns the answer to a request for the list or a watch, or `None` if the sender closes the connection
    /// before the answer.
    async fn answer_list(&self, sender: u32, connection: &mut Connection, query: &str) -> Option<Vec<u8>> {
        let parameter = |key: &str| {
            let pair = query.split('&').find_map(|p| p.split_once('=').filter(|(k, _)| *k == key));
            pair.and_then(|(_, v)| v.parse::<u64>().ok())
        };
        let (index, wait) =
            (parameter("index"), Duration::from_millis(parameter("wait").unwrap_or(0)).min(MAX_WATCH));
        let mut mode = self.mode.subscribe();
        let mut published = self.published.subscribe();
        let until = Instant::now() + wait;
        let update = tokio::select! {
            update = async {
                // While discovery is silent the request gets no answer.
                let _ = mode.wait_for(|m| *m != Mode::Silent).await;
                let refuses = match *mode.borrow() {
                    Mode::Answers | Mode::Silent => false,
                    Mode::Refuses => true,
                    Mode::Crowded => self.is_crowded(),
                };
                if refuses {
                    return None;
                }
                if let Some(index) = index {
                    let _ = timeout_at(until, published.wait_for(|n| *n > index)).await;
                    let _ = mode.wait_for(|m| *m != Mode::Silent).await;
                }
                Some(self.list.lock().expect("no holder panics").since(index))
            } => update,
            () = connection.closed() => return None,
        };
        let Some(update) = update else { return Some(http::response(503, "", b"")) };
        self.record_update(sender, &update);
        Some(http::response(
            200,
            "Content-Type: application/json\r\n",
            self.to_json(sender, &update).to_string().as_bytes(),
        ))
    }

    /// Takes one request from the limit. Returns true if it is used up.
    fn is_crowded(&self) -> bool {
        self.limit.lock().expect("no holder panics").take(self.context.clock.now()).is_err()
    }

    /// Records the changes that an answer sends to its sender. Of a whole list these are the entries that are
    /// not ready, and the endpoints that are gone, which the list omits.
    fn record_update(&self, sender: u32, update: &ListUpdate) {
        for entry in &update.entries {
            let (endpoint, lifecycle) = (entry.endpoint, entry.lifecycle);
            if !update.reset || lifecycle != Lifecycle::Ready {
                self.context.fact_log.record(FactKind::ChangeSent { sender, endpoint, lifecycle });
            }
        }
        if update.reset && update.generation > 1 {
            let all = self.list.lock().expect("no holder panics").gone();
            for endpoint in all {
                let lifecycle = Lifecycle::Gone;
                self.context.fact_log.record(FactKind::ChangeSent { sender, endpoint, lifecycle });
            }
        }
    }

    /// Returns the body of an answer.
    fn to_json(&self, sender: u32, update: &ListUpdate) -> Value {
        let instances: Vec<Value> = update
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
        json!({"generation": update.generation, "reset": update.reset, "instances": instances})
    }
}
