//! The HTTP client for calls to endpoints: checks each message just before its call is written and reports
//! how each attempt ended.
mod outcome;
mod pool;

use crate::body;
use crate::connection::{request, Connection, ExchangeError, ANSWER_TAIL_TIMEOUT};
use crate::directory::{Directory, Place, Route};
use crate::input::Input;
use crate::process_state::{CancellationToken, IdleBounds};
use base64::Engine;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::CONNECTION;
use hyper::Request;
pub use outcome::{attempt_end, member_end};
use outcome::{attempt_ends, load_report, outcome_of_status, retry_after, Answer};
use pool::Pool;
use sender::api::{AttemptEnd, EndpointId, LimitReport, Ns, Outcome, MS};
use sender::records::AcceptedMessage;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout, Instant};

/// Maximum size of a body in bytes, of a request or of an answer. The answer of a batch may have four times
/// as many.
pub const MAX_BODY: usize = 64 << 10;
/// A call that fails within this time on a reused connection is taken as a sign that the endpoint had closed
/// the idle connection: a reset takes one round trip, while an answer takes the work of the call as well.
const STALE_RESET_TIME: Duration = Duration::from_millis(20);
/// Idle connections are closed after this fraction of the time after which endpoints close them.
const IDLE_TIME_FRACTION: f64 = 0.9;
/// How often expired idle connections and expired blocks of routes are removed.
const POOL_INTERVAL: Duration = Duration::from_millis(100);

/// A message's part in a call.
pub struct CallMember {
    /// The number of the attempt.
    pub attempt: u32,
    pub message: Rc<AcceptedMessage>,
    /// The message's deadline.
    pub deadline: Instant,
    /// When this attempt is given up; not after `deadline`.
    pub attempt_deadline: Instant,
    /// The time before which the request must begin to be written.
    pub send_before: Instant,
}

/// Makes calls and probes to endpoints, and keeps idle connections to them.
pub struct EndpointClient {
    core: mpsc::Sender<Input>,
    directory: Rc<Directory>,
    connect_timeout: Duration,
    pool: Pool,
    /// Set once another process has taken over: no new calls are made.
    stopped: Cell<bool>,
    /// Endpoints that operators have taken out for maintenance, whether or not they are still listed.
    in_maintenance: RefCell<HashSet<EndpointId>>,
    /// Until when each route is not called, by the `Retry-After` of its answers.
    blocked_until: RefCell<HashMap<Route, Instant>>,
}

impl EndpointClient {
    /// Creates a client with a timeout for connecting, the time after which endpoints close idle connections,
    /// and a limit of open connections.
    pub fn new(
        core: mpsc::Sender<Input>,
        directory: Rc<Directory>,
        connect_timeout: Ns,
        idle_close: Ns,
        max_open: usize,
    ) -> EndpointClient {
        // Idle connections are closed well before the endpoint does so: a request that is written to a
        // connection which the endpoint has closed is answered by a reset.
        let max_idle = Duration::from_nanos((idle_close.max(0) as f64 * IDLE_TIME_FRACTION) as u64);
        EndpointClient {
            core,
            directory,
            connect_timeout: Duration::from_nanos(connect_timeout.max(MS) as u64),
            pool: Pool::new(max_idle, max_open),
            stopped: Cell::default(),
            in_maintenance: RefCell::default(),
            blocked_until: RefCell::default(),
        }
    }

    /// Closes idle connections to endpoints that are no longer listed as ready, or are listed at another
    /// address.
    pub fn close_outdated_connections(&self) {
        self.pool.close_outdated(|endpoint| Some(self.directory.ready_place(endpoint)?.address));
    }

    /// Takes an endpoint out for maintenance or puts it back. Either way its idle connections are
    /// closed, as the endpoint is likely to be restarted.
    pub fn set_maintenance(&self, endpoint: EndpointId, in_maintenance: bool) {
        if in_maintenance {
            self.in_maintenance.borrow_mut().insert(endpoint);
        } else {
            self.in_maintenance.borrow_mut().remove(&endpoint);
        }
        self.close_idle(endpoint);
    }

    /// Returns the address and route of an endpoint if it may be called.
    fn callable_place(&self, endpoint: EndpointId) -> Option<Place> {
        let callable = !self.stopped.get() && !self.in_maintenance.borrow().contains(&endpoint);
        self.directory.ready_place(endpoint).filter(|_| callable)
    }

    /// Stops making new calls and returns the learned idle bounds for the next process. Calls that are still
    /// connecting end as not sent, idle connections are closed, and calls that have been written go on.
    pub fn stop_new_calls(&self) -> IdleBounds {
        self.stopped.set(true);
        self.pool.close_all()
    }

    /// Makes calls again after a failed upgrade. Which endpoints are in maintenance has to be told anew.
    pub fn resume_calls(&self) {
        self.stopped.set(false);
        self.in_maintenance.borrow_mut().clear();
    }

    /// Restores the idle bounds that the previous process had learned.
    pub fn restore_idle_bounds(&self, bounds: IdleBounds) {
        self.pool.restore_idle_bounds(bounds);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.pool.close(endpoint);
    }

    /// Regularly closes expired idle connections and removes expired blocks of routes. Never returns.
    pub async fn maintain_pool(self: Rc<Self>) {
        let mut interval = tokio::time::interval(POOL_INTERVAL);
        loop {
            interval.tick().await;
            self.pool.close_expired();
            self.blocked_until.borrow_mut().retain(|_, until| *until > Instant::now());
        }
    }

    /// Returns whether any endpoint may be called.
    pub fn has_callable_endpoint(&self) -> bool {
        let in_maintenance = self.in_maintenance.borrow();
        let ready_in_maintenance =
            in_maintenance.iter().filter(|&&endpoint| self.directory.ready_place(endpoint).is_some()).count();
        !self.stopped.get() && self.directory.catalogue().ready_count() > ready_in_maintenance
    }

    /// Returns the address and route of an endpoint if a request may be written now on a connection that was
    /// made to it: the endpoint may be called, is still at that address, and its route is not blocked.
    fn writable_place(&self, endpoint: EndpointId, connection: &Connection) -> Option<Place> {
        let place = self.callable_place(endpoint).filter(|place| place.address == connection.address())?;
        let blocked = self.blocked_until.borrow();
        blocked.get(&place.route).is_none_or(|&until| until <= Instant::now()).then_some(place)
    }

    /// Blocks a route for a time that an answer asked for, unless it is blocked for longer already.
    fn block_route(&self, route: Route, wait: Duration) {
        let until = Instant::now() + wait;
        let mut blocked = self.blocked_until.borrow_mut();
        let current = blocked.entry(route).or_insert(until);
        *current = until.max(*current);
    }

    /// Takes an idle connection from the pool, or opens a new one.
    async fn connect(&self, endpoint: EndpointId) -> Result<Connection, Outcome> {
        if let Some(connection) = self.pool.take(endpoint) {
            connection.wait_for_reuse().await;
            return Ok(connection);
        }
        let place = self.callable_place(endpoint).filter(|_| self.pool.make_room());
        let Some(Place { address, .. }) = place else { return Err(Outcome::NotSent) };
        let permit = self.pool.permit();
        match Connection::open(address, self.connect_timeout).await {
            Ok(mut connection) => {
                connection.hold_permit(permit);
                Ok(connection)
            }
            Err(error) => {
                tracing::debug!(%address, %error, "cannot connect to the endpoint");
                Err(Outcome::NoConnection)
            }
        }
    }

    /// Puts a connection into the pool once it is ready for a request. Closes it if it does not become ready
    /// soon, or if its endpoint may no longer be called at its address.
    async fn return_to_pool(&self, endpoint: EndpointId, mut connection: Connection) {
        if !connection.wait_until_ready().await {
            return;
        }
        if self.callable_place(endpoint).is_some_and(|place| place.address == connection.address()) {
            self.pool.put(endpoint, connection);
        }
    }

    /// Carries out one call of the policy and reports how each of its attempts ended.
    pub async fn call(
        self: Rc<Self>,
        endpoint: EndpointId,
        members: Vec<CallMember>,
        cancel: Rc<CancellationToken>,
    ) {
        let started = Instant::now();
        // The messages of one call may exceed the limit of a body; then they are sent in several requests in
        // turn.
        for batch in split_by_body_size(members) {
            self.exchange(endpoint, batch, &cancel, started).await;
        }
    }

    /// Sends one request, reads its answer and reports how each attempt ended.
    async fn exchange(
        &self,
        endpoint: EndpointId,
        mut members: Vec<CallMember>,
        cancel: &CancellationToken,
        started: Instant,
    ) {
        let ended_as = |outcome| move |m: &CallMember| member_end(m, endpoint, outcome, started);
        // An attempt whose message could be tried again must not stay open after its limit, as the next
        // attempt would be a second copy: the call is closed for all its messages at the earliest such limit.
        // A message that reaches its deadline leaves the call, which goes on for the others.
        let retry_limit =
            members.iter().filter(|m| m.attempt_deadline < m.deadline).map(|m| m.attempt_deadline).min();
        let close_at = retry_limit.or(members.iter().map(|m| m.deadline).max()).unwrap_or(started);
        let (connection, answer) = loop {
            let connected = tokio::select! {
                biased;
                () = cancel.cancelled() => Err(Outcome::NotSent),
                connected = self.connect(endpoint) => connected,
                () = sleep_until(close_at) => Err(Outcome::NoConnection),
            };
            let mut connection = match connected {
                Ok(connection) => connection,
                Err(outcome) => return self.report(members.iter().map(ended_as(outcome)).collect()).await,
            };
            // While the connection was being made, the endpoint may have begun to drain, its route may have
            // been blocked, or a message's time to be sent may have passed.
            let now = Instant::now();
            let place = self.writable_place(endpoint, &connection);
            let (sendable, not_sent): (Vec<_>, Vec<_>) = members
                .into_iter()
                .partition(|m| place.is_some() && now < m.send_before && now < m.deadline.min(close_at));
            members = sendable;
            self.report(not_sent.iter().map(ended_as(Outcome::NotSent)).collect()).await;
            let Some(place) = place.filter(|_| !members.is_empty()) else {
                return self.return_to_pool(endpoint, connection).await;
            };
            let request = build_request(&members, place.address, close_at - now);
            let is_batch = members.len() > 1;
            let answer = {
                let mut answer = pin!(self.await_answer(&mut connection, request, place.route, is_batch));
                loop {
                    let next = members.iter().map(|m| m.deadline).min().unwrap_or(close_at).min(close_at);
                    tokio::select! {
                        biased;
                        answer = &mut answer => break Ok(answer),
                        () = cancel.cancelled() =>
                            break Err((std::mem::take(&mut members), Outcome::CalledOff)),
                        () = sleep_until(next) => {}
                    }
                    let now = Instant::now();
                    let (late, on_time): (Vec<_>, Vec<_>) =
                        members.into_iter().partition(|m| now >= m.deadline || now >= close_at);
                    members = on_time;
                    if members.is_empty() {
                        break Err((late, Outcome::NoAnswer));
                    }
                    self.report(late.iter().map(ended_as(Outcome::NoAnswer)).collect()).await;
                }
            };
            let answer = match answer {
                Ok(answer) => answer,
                Err((unanswered, outcome)) => {
                    let outcome =
                        if !is_batch && connection.received_200() { Outcome::Served } else { outcome };
                    // The connection is closed before the end is reported: while it is open, the next attempt
                    // of a message would be a second copy, and the call would still hold its slot at the
                    // endpoint.
                    connection.close().await;
                    return self.report(unanswered.iter().map(ended_as(outcome)).collect()).await;
                }
            };
            match answer {
                // The pooled connection had been closed and nothing was written, so the request goes to
                // another one.
                Err(ExchangeError::Unsent) => {
                    let idle = connection.idle_before_use().unwrap_or_default();
                    self.pool.record_end(endpoint, &connection, idle);
                    drop(connection);
                }
                Err(error) => {
                    let (idle, elapsed) = (connection.idle_before_use(), now.elapsed());
                    tracing::debug!(%error, endpoint, ?idle, ?elapsed, "a call got no answer");
                    if let Some(idle) = idle.filter(|_| elapsed < STALE_RESET_TIME) {
                        self.pool.record_idle_close(endpoint, idle);
                    }
                    // A call whose answer can't be parsed may have run. A status line of 200 proves it for a
                    // call with one message.
                    let delivered = !is_batch && connection.received_200();
                    connection.close().await;
                    let outcome = match error {
                        ExchangeError::Broken(_) if delivered => Outcome::Served,
                        ExchangeError::Broken(_) => Outcome::ConnectionLost,
                        _ => Outcome::NoConnection,
                    };
                    return self.report(members.iter().map(ended_as(outcome)).collect()).await;
                }
                Ok(answer) => break (connection, answer),
            }
        };
        let mut ends = attempt_ends(&members, &answer, endpoint, started);
        let closes =
            answer.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        // A 503 that closes a new connection at its first call refuses the connection and not the message:
        // the endpoint has reached its limit of connections.
        if answer.status == 503 && closes && !connection.is_reused() {
            ends.iter_mut().for_each(|e| e.outcome = Outcome::Crowded);
        }
        if answer.status != 200 {
            let (status, new) = (answer.status, !connection.is_reused());
            tracing::debug!(endpoint, status, closes, new, headers = ?answer.headers, "a call was refused");
        }
        let read_to_end = match answer.unread_body {
            Some(body) => {
                let body = timeout(ANSWER_TAIL_TIMEOUT, body::discard(body, MAX_BODY)).await;
                matches!(body, Ok(Ok(_)))
            }
            None => true,
        };
        if read_to_end && !closes {
            self.return_to_pool(endpoint, connection).await;
        } else {
            connection.close().await;
        }
        self.report(ends).await;
    }

    /// Sends a request and reads its answer: all of it if it is the 200 of a batch, else only the headers.
    async fn await_answer(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        route: Route,
        is_batch: bool,
    ) -> Result<Answer, ExchangeError> {
        let (head, body) = connection.send(request).await?.into_parts();
        // The route is blocked before the body is read, as calls to other endpoints of the destination may be
        // about to be written.
        if let Some(wait) = retry_after(&head.headers) {
            self.block_route(route, wait);
        }
        let (status, headers) = (head.status.as_u16(), head.headers);
        if status == 200 && is_batch {
            let body = body::read(body, 4 * MAX_BODY).await;
            let body =
                body.map_err(|e| ExchangeError::Broken(format!("cannot read the answer of a batch: {e}")))?;
            return Ok(Answer { status, headers, batch_body: Some(body), unread_body: None });
        }
        Ok(Answer { status, headers, batch_body: None, unread_body: Some(body) })
    }

    /// Tells the core how attempts ended.
    async fn report(&self, ends: Vec<AttemptEnd>) {
        if !ends.is_empty() {
            let _ = self.core.send(Input::AttemptsEnded(ends)).await;
        }
    }

    /// Requests an endpoint's `/healthz` and tells the core how that ended.
    pub async fn probe(self: Rc<Self>, endpoint: EndpointId) {
        let Ok(mut connection) = self.connect(endpoint).await else {
            return self.report_probe(endpoint, Outcome::NoConnection, None).await;
        };
        let Some(Place { address, .. }) = self.writable_place(endpoint, &connection) else {
            return self.report_probe(endpoint, Outcome::NotSent, None).await;
        };
        let exchange = connection.exchange(request("GET", "/healthz", address, &[], Bytes::new()), MAX_BODY);
        let (outcome, report) = match timeout(self.connect_timeout, exchange).await {
            Ok(Ok((status, headers, _))) => {
                let (outcome, ..) = outcome_of_status(status, &headers);
                self.return_to_pool(endpoint, connection).await;
                (outcome, load_report(&headers))
            }
            Ok(Err(ExchangeError::Broken(_))) => (Outcome::ConnectionLost, None),
            Ok(Err(_)) => (Outcome::NoConnection, None),
            Err(_) => (Outcome::NoAnswer, None),
        };
        self.report_probe(endpoint, outcome, report).await;
    }

    async fn report_probe(&self, endpoint: EndpointId, outcome: Outcome, report: Option<LimitReport>) {
        let _ = self.core.send(Input::ProbeEnded { endpoint, outcome, report }).await;
    }
}

/// Splits the messages of a call so that no request's body exceeds `MAX_BODY`.
fn split_by_body_size(members: Vec<CallMember>) -> Vec<Vec<CallMember>> {
    let mut batches: Vec<Vec<CallMember>> = Vec::new();
    let mut size = 0;
    for member in members {
        let message = &member.message;
        let texts = message.trace_id.len() + message.idempotency_key.as_ref().map_or(0, String::len);
        // The length in base64, and an upper bound for the rest of the JSON object with its texts escaped.
        let entry_size = message.body.len().div_ceil(3) * 4 + 2 * texts + 40;
        match batches.last_mut().filter(|_| size + entry_size < MAX_BODY) {
            Some(batch) => batch.push(member),
            None => {
                batches.push(vec![member]);
                size = 2;
            }
        }
        size += entry_size;
    }
    batches
}

/// Builds the request of a call: the message's own body for one message, a JSON list for several.
fn build_request(members: &[CallMember], to: SocketAddr, time_left: Duration) -> Request<Full<Bytes>> {
    let time_left = time_left.as_millis().max(1).to_string();
    let mut headers = vec![("x-expires-in-ms", time_left.as_str())];
    let [only] = members else {
        let list: Vec<Value> = members
            .iter()
            .map(|m| {
                let body = base64::engine::general_purpose::STANDARD.encode(&m.message.body);
                match &m.message.idempotency_key {
                    Some(key) => json!({"id": m.message.trace_id, "key": key, "body": body}),
                    None => json!({"id": m.message.trace_id, "body": body}),
                }
            })
            .collect();
        headers.push(("content-type", "application/json"));
        return request("POST", "/v1/messages:batch", to, &headers, Value::from(list).to_string().into());
    };
    let message = &only.message;
    headers.push(("x-trace-id", &message.trace_id));
    if let Some(key) = &message.idempotency_key {
        headers.push(("idempotency-key", key));
    }
    request("POST", "/v1/messages", to, &headers, message.body.clone())
}
