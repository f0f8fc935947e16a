//! The HTTP server for clients: accepts connections, validates requests and passes their messages to the
//! core.
mod connection_limits;
mod connection_state;
mod head_scanner;
mod request_body;
mod turns;
mod validation;

use crate::body::ReadError;
use crate::client::MAX_BODY;
use crate::directory::Directory;
use crate::input::{Input, Reply};
use crate::linger;
use crate::socket::Socket;
use bytes::Bytes;
pub use connection_limits::ConnectionLimits;
use connection_state::{ConnectionState, EvictionClass, ObservedReader};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONNECTION, RETRY_AFTER};
use hyper::server::conn::http1::{Builder, Parts};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
pub use request_body::BodyBudget;
use request_body::RequestBodyError;
use sender::api::Effect;
use sender::settings::ProgramSettings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io::Cursor;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{join, AsyncReadExt, Chain, Join};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};
use turns::Turns;
use validation::{MessageRequest, Validated};

/// How long a connection may take from its opening to the end of its first request, from the first byte of a
/// later request to the end of its headers, from there to the end of its body, and to complete a request's
/// headers once closing has begun.
/// Clients with malformed or incomplete requests must get an error or a close within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long accepting pauses after it has failed.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Maximum size of a request line with its headers, and of what is read ahead of a body: hyper's smallest
/// buffer. The headers of a message take a few hundred bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// How long a connection may stay idle after a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// What the server does with clients' connections.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts and serves connections.
    Serving,
    /// Closes each connection between two requests.
    Closing,
    /// Passes each connection to the next process between two requests.
    HandingOver,
}

/// A client's connection between two requests, as it passes from one process to the next.
pub struct ClientConnection {
    pub stream: TcpStream,
    /// Bytes of the next request that were read already.
    pub buffered: Bytes,
    /// Whether a request on the connection has been answered.
    pub had_request: bool,
    /// Time since the connection was opened or its last answer was given.
    pub idle_time: Duration,
}

/// A client's connection that begins to be served.
struct OpenedConnection {
    socket: Socket,
    /// Bytes of the next request that were read already.
    buffered: Bytes,
    /// Whether a request on the connection has been answered.
    had_request: bool,
    /// There are too many connections: each request is answered 503.
    full: bool,
}

/// The HTTP server for clients.
pub struct Server {
    /// Takes the messages of valid requests.
    pub core: mpsc::Sender<Input>,
    directory: Rc<Directory>,
    pub settings: ProgramSettings,
    /// The effect of each class, by the number of the class.
    pub effects: Vec<Effect>,
    limits: ConnectionLimits,
    body_budget: BodyBudget,
    /// Number of open connections, including those that are only answered 503.
    pub open_connections: Cell<usize>,
    /// Notified when a connection has been closed or moved.
    pub connection_closed: Notify,
    phase: watch::Receiver<Phase>,
    /// Takes connections for the next process. Unbounded, but never longer than the number of open
    /// connections.
    handed_over: mpsc::UnboundedSender<ClientConnection>,
    connections: RefCell<HashMap<u64, Rc<ConnectionState>>>,
    next_connection_id: Cell<u64>,
    turns: Rc<Turns>,
}

impl Server {
    pub fn new(
        (core, directory): (mpsc::Sender<Input>, Rc<Directory>),
        settings: ProgramSettings,
        effects: Vec<Effect>,
        limits: ConnectionLimits,
        body_budget: BodyBudget,
        phase: watch::Receiver<Phase>,
        handed_over: mpsc::UnboundedSender<ClientConnection>,
    ) -> Server {
        let (open_connections, connection_closed, connections, next_connection_id, turns) =
            Default::default();
        Server {
            core,
            directory,
            settings,
            effects,
            limits,
            body_budget,
            open_connections,
            connection_closed,
            phase,
            handed_over,
            connections,
            next_connection_id,
            turns,
        }
    }

    /// Lets connections that always have more to do take turns with the others. To be run as long as there
    /// are connections.
    pub async fn run_turns(self: Rc<Self>) {
        self.turns.run().await;
    }

    /// Evicts the connection with the lowest eviction rank; returns whether there was one. Clients keep
    /// connections open and some never complete a request, so without eviction the connections of a peak
    /// would use up the limit until their timeouts.
    fn evict_one(&self) -> bool {
        let connections = self.connections.borrow();
        let first = connections
            .values()
            .filter_map(|state| Some((state.eviction_rank()?, state)))
            .min_by_key(|(rank, _)| *rank);
        if let Some(((class, _), state)) = first {
            state.evicted.set(Some(class));
            state.evict.notify_one();
        }
        first.is_some()
    }

    /// Returns whether the limit of connections is nearly reached. Connections are then closed after each
    /// answer, as idle ones would keep other clients out.
    fn is_nearly_full(&self) -> bool {
        self.open_connections.get() + self.limits.rejected >= self.limits.served
    }

    /// Accepts connections until the future is dropped or the phase changes. In the new phase connections are
    /// closed or moved between two requests.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut phase = self.phase.clone();
        loop {
            let full = self.open_connections.get() >= self.limits.served + self.limits.rejected.max(1);
            let stream = tokio::select! {
                _ = phase.wait_for(|p| *p != Phase::Serving) => return,
                () = self.connection_closed.notified(), if full => continue,
                accepted = listener.accept(), if !full => match accepted {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        // For example, no descriptor is left; open connections are still served.
                        tracing::warn!(%error, "cannot accept a client's connection");
                        sleep(ACCEPT_RETRY_PAUSE).await;
                        continue;
                    }
                },
            };
            self.admit_new(stream);
        }
    }

    /// Accepts the connections that are already queued, up to the limit, and closes the listener, so that
    /// later ones are refused at once instead of waiting for the process to end. To be called after `accept`
    /// has returned.
    pub fn accept_queued_and_close(self: &Rc<Self>, listener: std::net::TcpListener) {
        while self.open_connections.get() < self.limits.served + self.limits.rejected.max(1) {
            let accepted = listener.accept().and_then(|(s, _)| s.set_nonblocking(true).map(|()| s));
            match accepted.and_then(TcpStream::from_std) {
                Ok(stream) => self.admit_new(stream),
                // The queue is empty, or no connection can be accepted.
                Err(_) => return,
            }
        }
    }

    /// Returns whether any request that has been read, in full or in part, has no answer yet.
    pub fn has_unanswered_requests(&self) -> bool {
        self.connections.borrow().values().any(|state| !state.lingering.get() && state.head.get().has_begun())
    }

    fn admit_new(self: &Rc<Self>, stream: TcpStream) {
        let full = self.open_connections.get() >= self.limits.served && !self.evict_one();
        self.admit(
            ClientConnection {
                stream,
                buffered: Bytes::new(),
                had_request: false,
                idle_time: Duration::ZERO,
            },
            full,
        );
    }

    /// Serves a connection that the previous process has handed over.
    pub fn adopt(self: &Rc<Self>, socket: OwnedFd, buffered: Bytes, had_request: bool, idle_time: Duration) {
        match TcpStream::from_std(socket.into()) {
            Ok(stream) => self.admit(ClientConnection { stream, buffered, had_request, idle_time }, false),
            Err(error) => tracing::warn!(%error, "cannot take over a client's connection"),
        }
    }

    /// Serves a connection that was to be handed over.
    pub fn take_back(self: &Rc<Self>, client: ClientConnection) {
        self.admit(client, false);
    }

    fn admit(self: &Rc<Self>, client: ClientConnection, full: bool) {
        self.open_connections.set(self.open_connections.get() + 1);
        let server = self.clone();
        let now = Instant::now();
        let last_used = now.checked_sub(client.idle_time).unwrap_or(now);
        let socket = Socket::new(client.stream);
        let request_started = !client.had_request || !client.buffered.is_empty();
        let state = ConnectionState::new(socket.downgrade(), self.turns.clone(), last_used, request_started);
        let state = Rc::new(state);
        state.scan_head(&client.buffered);
        let id = self.next_connection_id.replace(self.next_connection_id.get() + 1);
        self.connections.borrow_mut().insert(id, state.clone());
        tokio::task::spawn_local(async move {
            let opened =
                OpenedConnection { socket, buffered: client.buffered, had_request: client.had_request, full };
            if let Some(client) = server.serve(opened, &state).await {
                let _ = server.handed_over.send(client);
            }
            server.connections.borrow_mut().remove(&id);
            server.open_connections.set(server.open_connections.get() - 1);
            server.connection_closed.notify_one();
        });
    }

    /// Serves a connection until it is closed, or returns it between two requests if it is to be handed over.
    async fn serve(&self, opened: OpenedConnection, state: &Rc<ConnectionState>) -> Option<ClientConnection> {
        let OpenedConnection { socket: writer, buffered, had_request, full } = opened;
        let _ = writer.as_sock_ref().set_tcp_nodelay(true);
        let mut phase = self.phase.clone();
        let accepted = state.last_used.get();
        let had_request = Cell::new(had_request);
        let service = service_fn(|request| {
            let had_request = &had_request;
            Box::pin(async move {
                state.unanswered.set(state.unanswered.get() + 1);
                state.request_turn().await;
                let since = if had_request.replace(true) { Instant::now() } else { accepted };
                let mut response = if full {
                    unavailable(None)
                } else {
                    self.answer(request, since + REQUEST_TIMEOUT, state).await
                };
                if full || self.is_nearly_full() || state.closing.get() {
                    response = with_connection_close(response);
                }
                state.unanswered.set(state.unanswered.get() - 1);
                state.request_complete.set(false);
                state.request_started.set(None);
                state.head.take();
                state.last_used.set(Instant::now());
                state.answered.notify_one();
                Ok::<_, Infallible>(response)
            })
        });
        // Bytes that the previous process had read come first.
        let reader = ObservedReader { inner: writer.clone(), state: state.clone() };
        let io = TokioIo::new(join(Cursor::new(buffered).chain(reader), writer));
        let mut connection = Builder::new().max_buf_size(MAX_HEAD_BYTES).serve_connection(io, service);
        let mut handing_over = false;
        // When closing began, after a change of the phase or an eviction.
        let mut closing_since: Option<Instant> = None;
        // Takes the connection apart into its socket and the bytes that were read but not used.
        let into_stream = |parts: Parts<_, _>| -> (Option<TcpStream>, Bytes) {
            let io: TokioIo<Join<Chain<Cursor<Bytes>, ObservedReader>, Socket>> = parts.io;
            let (reader, writer) = io.into_inner().into_inner();
            let (ahead, reader) = reader.into_inner();
            let unread = ahead.get_ref().get(ahead.position() as usize..).unwrap_or_default();
            let buffered = [&parts.read_buf, unread].concat().into();
            drop(reader);
            (writer.into_stream(), buffered)
        };
        loop {
            if handing_over && state.unanswered.get() == 0 {
                let (stream, buffered) = into_stream(connection.into_parts());
                return Some(ClientConnection {
                    stream: stream?,
                    buffered,
                    had_request: had_request.get(),
                    idle_time: state.last_used.get().elapsed(),
                });
            }
            if closing_since.is_some() && state.is_idle() {
                break;
            }
            let deadline = match closing_since {
                _ if !had_request.get() => state.last_used.get() + REQUEST_TIMEOUT,
                Some(since) => since + REQUEST_TIMEOUT,
                None => match state.request_started.get() {
                    Some(since) => since + REQUEST_TIMEOUT,
                    None => state.last_used.get() + IDLE_TIMEOUT,
                },
            };
            tokio::select! {
                // The connection is polled first, so that an answer is written before it is moved or closed.
                biased;
                _ = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break,
                () = state.answered.notified() => {}
                () = state.request_begun.notified() => {}
                changed = phase.wait_for(|p| *p != Phase::Serving),
                    if closing_since.is_none() && !handing_over =>
                {
                    handing_over = changed.is_ok_and(|p| *p == Phase::HandingOver) && !full;
                    if !handing_over {
                        closing_since = Some(Instant::now());
                        state.closing.set(true);
                    }
                }
                () = state.evict.notified() => {
                    // A request that arrived after an idle connection was evicted, or that has become
                    // complete, is answered first.
                    let incomplete = state.evicted.get() == Some(EvictionClass::IncompleteRequest)
                        && !state.request_complete.get();
                    if incomplete || state.is_idle() {
                        return None;
                    }
                    closing_since = closing_since.or(Some(Instant::now()));
                    state.closing.set(true);
                }
                // This also ends a connection that starts a request and never completes it.
                () = sleep_until(deadline), if state.unanswered.get() == 0 =>
                    if state.unanswered.get() == 0 { break },
            }
        }
        // What is read from here on could no longer be answered, so it is not parsed as a request.
        state.lingering.set(true);
        if let (Some(stream), _) = into_stream(connection.into_parts()) {
            // On the heap, so that connections that are open have no room for it.
            tokio::select! {
                () = Box::pin(linger::close(stream)) => {}
                () = state.evict.notified() => {}
            }
        }
        None
    }

    /// Answers one request. `body_by` is the time by which its body must have been read.
    async fn answer(
        &self,
        request: Request<Incoming>,
        body_by: Instant,
        state: &ConnectionState,
    ) -> Response<Full<Bytes>> {
        // The headers are freed here, as the body may come slowly.
        let (head, body) = request.into_parts();
        let validated = self.validate(head, &body, state);
        let MessageRequest { mut message, deadline } = match validated {
            Validated::Message(request) => *request,
            Validated::Answered(response) => return response,
        };
        let reservation = self.body_budget.begin();
        message.body = match timeout_at(body_by, request_body::read(body, MAX_BODY, &reservation)).await {
            Ok(Ok(body)) => body,
            Ok(Err(RequestBodyError::NoMemory)) => return with_connection_close(unavailable(None)),
            Ok(Err(RequestBodyError::Read(ReadError::TooLong))) => {
                return text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB")
            }
            Ok(Err(RequestBodyError::Read(ReadError::Unreadable))) => {
                return text_response(StatusCode::BAD_REQUEST, "the body can't be read")
            }
            Err(_) => return text_response(StatusCode::REQUEST_TIMEOUT, "the body does not come"),
        };
        state.request_complete.set(true);
        if state.client_has_left() {
            // What was sent before a client's end is not acted upon: its answer could not reach the client.
            tracing::debug!(trace = message.trace_id, "not taken on, as its client has left");
            return with_connection_close(unavailable(None));
        }
        let (sender, answer) = oneshot::channel();
        let reply = state.reply_sender(sender);
        if self.core.try_send(Input::Submit { message, deadline, reply }).is_err() {
            return unavailable(None);
        }
        match answer.await {
            Ok(Reply::Accepted) => text_response(StatusCode::ACCEPTED, ""),
            Ok(Reply::Refused(retry_after)) => unavailable(retry_after),
            Ok(Reply::Failed) => text_response(StatusCode::INTERNAL_SERVER_ERROR, "can't be delivered"),
            Err(_) => unavailable(None),
        }
    }
}

/// Returns a response with a plain text as its body.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Marks a response as the last one on its connection.
fn with_connection_close(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Returns a 405 response that names the allowed methods.
pub fn method_not_allowed(allowed: &'static str) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, "");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

/// Returns a 503 response that asks to retry after the given time, or after one second.
fn unavailable(retry_after: Option<Duration>) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "");
    let seconds = retry_after.unwrap_or(Duration::from_secs(1)).as_secs_f64();
    if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
