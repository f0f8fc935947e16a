//! Clients on sockets: messages are handed in when the plan says so, whatever the senders do (open loop), with the
//! patience and the habits of the protocol.
use crate::client_retry::{HandInEnd, RetryState, TryKind};
use crate::clock::{from_seconds, to_duration, Ns, MS};
use crate::endpoints::StubContext;
use crate::facts::{FactKind, HandInResult, MessageId};
use crate::http::{Connection, HttpError, Message, Start};
use crate::messages::{self, NewMessage};
use crate::plan::{Arrival, Plan};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout_at, Instant};

/// A client waits so long for the sender's answer (PROTOCOL).
const PATIENCE: Duration = Duration::from_millis(400);
/// Connections that stand idle longer are not used again.
const IDLE: Duration = Duration::from_secs(30);
/// A sender's door as its clients see it.
struct Door {
    address: SocketAddr,
    idle: Mutex<Vec<(Connection, Instant)>>,
}

struct Shared {
    plan: Arc<Plan>,
    doors: Vec<Door>,
    ground: StubContext,
    /// The play's zero on the ground's clock.
    from: Ns,
}

/// Hands in all messages of the plan, from `from` on the ground's clock; ends once the clients are through with them.
pub async fn run(plan: &Arc<Plan>, doors: &[SocketAddr], ground: &StubContext, from: Ns) {
    let door = |address: &SocketAddr| Door { address: *address, idle: Mutex::default() };
    let doors = doors.iter().map(door).collect();
    let shared = Arc::new(Shared { plan: plan.clone(), doors, ground: ground.clone(), from });
    let mut clients = JoinSet::new();
    for (number, arrival) in plan.arrivals.iter().enumerate() {
        ground.clock.sleep_until(from + arrival.at).await;
        ground.lag.record(from + arrival.at, ground.clock.now());
        clients.spawn(shared.clone().client(number as u32, arrival.clone()));
        while clients.try_join_next().is_some() {}
    }
    while clients.join_next().await.is_some() {}
}

impl Shared {
    /// One message, from its first hand-in to its end as far as its client cares.
    async fn client(self: Arc<Self>, request: u32, arrival: Arrival) {
        let mut random = self.plan.seed.stream("client", request.into());
        let (dest, class) = (arrival.dest, arrival.class);
        // The time of the plan counts, not that at which the testbed came to it.
        let planned = self.from + arrival.at;
        self.ground.fact_log.record(FactKind::Requested {
            request,
            sender: arrival.sender,
            dest,
            class,
            planned,
        });
        let due = planned + self.plan.terms.classes[class].deadline;
        let mut handed = NewMessage { dest, work: arrival.work, due, body: vec![0; arrival.size] };
        random.fill_bytes(&mut handed.body);
        let mut client = RetryState::new(arrival.sender, due);
        loop {
            let end = self.hand_in(&mut random, request, &client, class, &handed).await;
            let (now, senders) = (self.ground.clock.now(), self.doors.len() as u32);
            let Some(wait) = client.next_wait(end, now, senders, &self.plan.spec.clients, &mut random) else {
                return;
            };
            sleep(to_duration(wait)).await;
        }
    }

    async fn hand_in(
        &self,
        random: &mut ChaCha8Rng,
        request: u32,
        client: &RetryState,
        class: usize,
        handed: &NewMessage,
    ) -> HandInEnd {
        let ground = &self.ground;
        let (id, back) = ground.messages.register(random, handed);
        let head = self.head(id, class, client.try_kind, handed);
        let heard = self.ask(client.sender, request, id, &head, handed).await;
        let (heard, retry_after) = match &heard {
            Ok(answer) => (verdict(answer), retry_after(answer)),
            Err(heard) => (*heard, None),
        };
        if heard == HandInResult::Accepted {
            ground.messages.note_accepted(id);
        }
        ground.fact_log.record(FactKind::HandInEnded { message: id, result: heard });
        match heard {
            HandInResult::Accepted => match timeout_at(ground.clock.instant(handed.due), back).await {
                Ok(Ok(retry_in)) => HandInEnd::Refused(retry_in),
                _ => HandInEnd::Final,
            },
            HandInResult::Refused => HandInEnd::Refused(retry_after),
            HandInResult::Failed => HandInEnd::Final,
            HandInResult::TimedOut | HandInResult::Closed | HandInResult::NoConnection => {
                HandInEnd::Unanswered
            }
        }
    }

    fn head(&self, id: MessageId, class: usize, which: TryKind, handed: &NewMessage) -> String {
        let name = &self.plan.terms.classes[class].name;
        let left = (handed.due - self.ground.clock.now()).max(MS) / MS;
        let second = match which {
            TryKind::First => "",
            TryKind::AfterRefusal => "X-Second-Try: 1\r\n",
            TryKind::AfterNoAnswer => "X-Second-Try: again\r\n",
        };
        format!(
            "POST /{name} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {}\r\nX-Qos: {name}\r\n\
             X-Expires-In-Ms: {left}\r\n{second}Content-Length: {}\r\nX-Consignee: dest={}\r\n\r\n",
            messages::format_id(id),
            handed.body.len(),
            handed.dest
        )
    }

    /// One request on a kept connection or a new one; once more on a new one where a kept one ends before a byte of
    /// the answer, as the sender may have closed it between requests.
    async fn ask(
        &self,
        sender: u32,
        request: u32,
        id: MessageId,
        head: &str,
        handed: &NewMessage,
    ) -> Result<Message, HandInResult> {
        let until = Instant::now() + PATIENCE;
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(&handed.body);
        let door = &self.doors[sender as usize];
        // Before it is written: what a sender does with it must not seem to come before it.
        let due = handed.due;
        self.ground.fact_log.record(FactKind::HandedIn { message: id, request, sender, due });
        if let Some(mut link) = door.kept() {
            if link.write(&bytes).await.is_ok() {
                match answer(&mut link, until).await {
                    Ok(answer) => {
                        door.keep(link, &answer);
                        return Ok(answer);
                    }
                    Err(HandInResult::Closed) => {}
                    Err(heard) => return Err(heard),
                }
            }
        }
        let stream = timeout_at(until, TcpStream::connect(door.address)).await;
        let Ok(Ok(stream)) = stream else { return Err(HandInResult::NoConnection) };
        let mut link = Connection::new(stream, self.ground.clock);
        if link.write(&bytes).await.is_err() {
            return Err(HandInResult::NoConnection);
        }
        let answer = answer(&mut link, until).await?;
        door.keep(link, &answer);
        Ok(answer)
    }
}

impl Door {
    fn kept(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no holder panics");
        while let Some((link, since)) = idle.pop() {
            if since.elapsed() < IDLE {
                return Some(link);
            }
        }
        None
    }

    fn keep(&self, link: Connection, answer: &Message) {
        if !answer.closes() && link.unread().is_empty() {
            self.idle.lock().expect("no holder panics").push((link, Instant::now()));
        }
    }
}

async fn answer(link: &mut Connection, until: Instant) -> Result<Message, HandInResult> {
    match timeout_at(until, link.read_response()).await {
        Err(_) => Err(HandInResult::TimedOut),
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(HttpError::Malformed(_))) => Err(HandInResult::Failed),
        Ok(Err(_)) => Err(HandInResult::Closed),
    }
}

fn verdict(answer: &Message) -> HandInResult {
    match answer.start {
        Start::Status(200 | 202) => HandInResult::Accepted,
        Start::Status(429 | 503) => HandInResult::Refused,
        _ => HandInResult::Failed,
    }
}

fn retry_after(answer: &Message) -> Option<Ns> {
    let told: f64 = answer.header("retry-after")?.parse().ok()?;
    (told.is_finite() && told >= 0.0).then(|| from_seconds(told))
}
