//! Clients on sockets: an open-loop load generator that hands messages in at their planned times, whatever
//! the senders do, with the timeout and the retries of the protocol.
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

/// Time that a client waits for the sender's response (PROTOCOL).
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections that have been idle for longer are not reused.
const MAX_IDLE: Duration = Duration::from_secs(30);
/// The clients' connection pool to one sender.
struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<(Connection, Instant)>>,
}

struct Shared {
    plan: Arc<Plan>,
    pools: Vec<ConnectionPool>,
    context: StubContext,
    /// Time on the testbed's clock from which planned times count.
    start: Ns,
}

/// Hands in all messages of the plan and returns once all clients have finished. Planned times count from
/// `start` on the testbed's clock.
pub async fn run(plan: &Arc<Plan>, addresses: &[SocketAddr], context: &StubContext, start: Ns) {
    let pool = |address: &SocketAddr| ConnectionPool { address: *address, idle: Mutex::default() };
    let pools = addresses.iter().map(pool).collect();
    let shared = Arc::new(Shared { plan: plan.clone(), pools, context: context.clone(), start });
    let mut clients = JoinSet::new();
    for (number, arrival) in plan.arrivals.iter().enumerate() {
        context.clock.sleep_until(start + arrival.at).await;
        context.lag.record(start + arrival.at, context.clock.now());
        clients.spawn(shared.clone().client(number as u32, arrival.clone()));
        while clients.try_join_next().is_some() {}
    }
    while clients.join_next().await.is_some() {}
}

impl Shared {
    /// Hands one message in, with retries, until its client is done with it.
    async fn client(self: Arc<Self>, request: u32, arrival: Arrival) {
        let mut random = self.plan.seed.stream("client", request.into());
        let (dest, class) = (arrival.dest, arrival.class);
        // The planned time counts, not the time at which the testbed got to it.
        let planned = self.start + arrival.at;
        self.context.fact_log.record(FactKind::Requested {
            request,
            sender: arrival.sender,
            dest,
            class,
            planned,
        });
        let due = planned + self.plan.terms.classes[class].deadline;
        let mut message = NewMessage { dest, work: arrival.work, due, body: vec![0; arrival.size] };
        random.fill_bytes(&mut message.body);
        let mut client = RetryState::new(arrival.sender, due);
        loop {
            let end = self.hand_in(&mut random, request, &client, class, &message).await;
            let (now, senders) = (self.context.clock.now(), self.pools.len() as u32);
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
        message: &NewMessage,
    ) -> HandInEnd {
        let context = &self.context;
        let (id, handed_back) = context.messages.register(random, message);
        let head = self.head(id, class, client.try_kind, message);
        let response = self.send_request(client.sender, request, id, &head, message).await;
        let (result, retry_after) = match &response {
            Ok(response) => (hand_in_result(response), retry_after(response)),
            Err(result) => (*result, None),
        };
        if result == HandInResult::Accepted {
            context.messages.note_accepted(id);
        }
        context.fact_log.record(FactKind::HandInEnded { message: id, result });
        match result {
            HandInResult::Accepted => match timeout_at(context.clock.instant(message.due), handed_back).await
            {
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

    fn head(&self, id: MessageId, class: usize, try_kind: TryKind, message: &NewMessage) -> String {
        let name = &self.plan.terms.classes[class].name;
        let time_left = (message.due - self.context.clock.now()).max(MS) / MS;
        let retry_header = match try_kind {
            TryKind::First => "",
            TryKind::AfterRefusal => "X-Second-Try: 1\r\n",
            TryKind::AfterNoAnswer => "X-Second-Try: again\r\n",
        };
        format!(
            "POST /{name} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {}\r\nX-Qos: {name}\r\n\
             X-Expires-In-Ms: {time_left}\r\n{retry_header}Content-Length: {}\r\nX-Consignee: dest={}\r\n\r\n",
            messages::format_id(id),
            message.body.len(),
            message.dest
        )
    }

    /// Sends one request on a pooled connection or a new one.
    ///
    /// Repeats the request on a new connection if a pooled one fails or closes before the response is
    /// complete, as the sender may have closed it between requests.
    async fn send_request(
        &self,
        sender: u32,
        request: u32,
        id: MessageId,
        head: &str,
        message: &NewMessage,
    ) -> Result<Message, HandInResult> {
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(&message.body);
        let pool = &self.pools[sender as usize];
        // Recorded before it is sent, so that no fact about its effects can precede it.
        let due = message.due;
        self.context.fact_log.record(FactKind::HandedIn { message: id, request, sender, due });
        if let Some(mut connection) = pool.take() {
            if connection.write(&bytes).await.is_ok() {
                match read_response(&mut connection, deadline).await {
                    Ok(response) => {
                        pool.put_back(connection, &response);
                        return Ok(response);
                    }
                    Err(HandInResult::Closed) => {}
                    Err(result) => return Err(result),
                }
            }
        }
        let stream = timeout_at(deadline, TcpStream::connect(pool.address)).await;
        let Ok(Ok(stream)) = stream else { return Err(HandInResult::NoConnection) };
        let mut connection = Connection::new(stream, self.context.clock);
        if connection.write(&bytes).await.is_err() {
            return Err(HandInResult::NoConnection);
        }
        let response = read_response(&mut connection, deadline).await?;
        pool.put_back(connection, &response);
        Ok(response)
    }
}

impl ConnectionPool {
    /// Takes an idle connection that is not too old.
    fn take(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no holder panics");
        while let Some((connection, since)) = idle.pop() {
            if since.elapsed() < MAX_IDLE {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, unless the response closes it or unread bytes are left.
    fn put_back(&self, connection: Connection, response: &Message) {
        if !response.closes() && connection.unread().is_empty() {
            self.idle.lock().expect("no holder panics").push((connection, Instant::now()));
        }
    }
}

async fn read_response(connection: &mut Connection, deadline: Instant) -> Result<Message, HandInResult> {
    match timeout_at(deadline, connection.read_response()).await {
        Err(_) => Err(HandInResult::TimedOut),
        Ok(Ok(response)) => Ok(response),
        Ok(Err(HttpError::Malformed(_))) => Err(HandInResult::Failed),
        Ok(Err(_)) => Err(HandInResult::Closed),
    }
}

fn hand_in_result(response: &Message) -> HandInResult {
    match response.start {
        Start::Status(200 | 202) => HandInResult::Accepted,
        Start::Status(429 | 503) => HandInResult::Refused,
        _ => HandInResult::Failed,
    }
}

fn retry_after(response: &Message) -> Option<Ns> {
    let retry_after_s: f64 = response.header("retry-after")?.parse().ok()?;
    (retry_after_s.is_finite() && retry_after_s >= 0.0).then(|| from_seconds(retry_after_s))
}
