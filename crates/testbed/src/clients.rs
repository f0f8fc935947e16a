//! Clients on sockets: messages are handed in when the plan says so, whatever the senders do (open loop), with the
//! patience and the habits of the protocol.
use crate::clock::{seconds, span, Ns, MS};
use crate::endpoints::Ground;
use crate::habits::{Client, End, Try};
use crate::http::{HttpError, Link, Message, Start};
use crate::ledger::{Heard, MessageId, What};
use crate::messages::{self, Handed};
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
    idle: Mutex<Vec<(Link, Instant)>>,
}

struct Shared {
    plan: Arc<Plan>,
    doors: Vec<Door>,
    ground: Ground,
    /// The play's zero on the ground's clock.
    from: Ns,
}

/// Hands in all messages of the plan, from `from` on the ground's clock; ends once the clients are through with them.
pub async fn run(plan: &Arc<Plan>, doors: &[SocketAddr], ground: &Ground, from: Ns) {
    let door = |address: &SocketAddr| Door { address: *address, idle: Mutex::default() };
    let doors = doors.iter().map(door).collect();
    let shared = Arc::new(Shared { plan: plan.clone(), doors, ground: ground.clone(), from });
    let mut clients = JoinSet::new();
    for (number, arrival) in plan.arrivals.iter().enumerate() {
        ground.clock.sleep_until(from + arrival.at).await;
        ground.lateness.note(from + arrival.at, ground.clock.now());
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
        self.ground.ledger.note(What::Asked { request, sender: arrival.sender, dest, class, planned });
        let due = planned + self.plan.terms.classes[class].deadline;
        let mut handed = Handed { dest, work: arrival.work, due, body: vec![0; arrival.size] };
        random.fill_bytes(&mut handed.body);
        let mut client = Client::new(arrival.sender, due);
        loop {
            let end = self.hand_in(&mut random, request, &client, class, &handed).await;
            let (now, senders) = (self.ground.clock.now(), self.doors.len() as u32);
            let Some(wait) = client.next(end, now, senders, &self.plan.spec.clients, &mut random) else {
                return;
            };
            sleep(span(wait)).await;
        }
    }

    async fn hand_in(
        &self,
        random: &mut ChaCha8Rng,
        request: u32,
        client: &Client,
        class: usize,
        handed: &Handed,
    ) -> End {
        let ground = &self.ground;
        let (id, back) = ground.messages.enter(random, handed);
        let head = self.head(id, class, client.which, handed);
        let heard = self.ask(client.sender, request, id, &head, handed).await;
        let (heard, retry_after) = match &heard {
            Ok(answer) => (verdict(answer), retry_after(answer)),
            Err(heard) => (*heard, None),
        };
        if heard == Heard::Taken {
            ground.messages.taken(id);
        }
        ground.ledger.note(What::Heard { message: id, heard });
        match heard {
            Heard::Taken => match timeout_at(ground.clock.instant(handed.due), back).await {
                Ok(Ok(retry_in)) => End::Refused(retry_in),
                _ => End::Over,
            },
            Heard::Refused => End::Refused(retry_after),
            Heard::Failed => End::Over,
            Heard::Silence | Heard::Closed | Heard::NoConnection => End::Unanswered,
        }
    }

    fn head(&self, id: MessageId, class: usize, which: Try, handed: &Handed) -> String {
        let name = &self.plan.terms.classes[class].name;
        let left = (handed.due - self.ground.clock.now()).max(MS) / MS;
        let second = match which {
            Try::First => "",
            Try::Second => "X-Second-Try: 1\r\n",
            Try::Again => "X-Second-Try: again\r\n",
        };
        format!(
            "POST /{name} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {}\r\nX-Qos: {name}\r\n\
             X-Expires-In-Ms: {left}\r\n{second}Content-Length: {}\r\nX-Consignee: dest={}\r\n\r\n",
            messages::name(id),
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
        handed: &Handed,
    ) -> Result<Message, Heard> {
        let until = Instant::now() + PATIENCE;
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(&handed.body);
        let door = &self.doors[sender as usize];
        // Before it is written: what a sender does with it must not seem to come before it.
        let due = handed.due;
        self.ground.ledger.note(What::HandedIn { message: id, request, sender, due });
        if let Some(mut link) = door.kept() {
            if link.write(&bytes).await.is_ok() {
                match answer(&mut link, until).await {
                    Ok(answer) => {
                        door.keep(link, &answer);
                        return Ok(answer);
                    }
                    Err(Heard::Closed) => {}
                    Err(heard) => return Err(heard),
                }
            }
        }
        let stream = timeout_at(until, TcpStream::connect(door.address)).await;
        let Ok(Ok(stream)) = stream else { return Err(Heard::NoConnection) };
        let mut link = Link::new(stream, self.ground.clock);
        if link.write(&bytes).await.is_err() {
            return Err(Heard::NoConnection);
        }
        let answer = answer(&mut link, until).await?;
        door.keep(link, &answer);
        Ok(answer)
    }
}

impl Door {
    fn kept(&self) -> Option<Link> {
        let mut idle = self.idle.lock().expect("no holder panics");
        while let Some((link, since)) = idle.pop() {
            if since.elapsed() < IDLE {
                return Some(link);
            }
        }
        None
    }

    fn keep(&self, link: Link, answer: &Message) {
        if !answer.closes() && link.rest().is_empty() {
            self.idle.lock().expect("no holder panics").push((link, Instant::now()));
        }
    }
}

async fn answer(link: &mut Link, until: Instant) -> Result<Message, Heard> {
    match timeout_at(until, link.read_answer()).await {
        Err(_) => Err(Heard::Silence),
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(HttpError::Malformed(_))) => Err(Heard::Failed),
        Ok(Err(_)) => Err(Heard::Closed),
    }
}

fn verdict(answer: &Message) -> Heard {
    match answer.start {
        Start::Status(200 | 202) => Heard::Taken,
        Start::Status(429 | 503) => Heard::Refused,
        _ => Heard::Failed,
    }
}

fn retry_after(answer: &Message) -> Option<Ns> {
    let told: f64 = answer.header("retry-after")?.parse().ok()?;
    (told.is_finite() && told >= 0.0).then(|| seconds(told))
}
