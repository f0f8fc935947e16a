//! An outgoing HTTP/1.1 connection that knows whether a failed request had been written and what status line
//! came back.
use crate::body;
use crate::socket::Socket;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout, Instant};

/// How long the rest of an answer may take once its outcome is known; after that the connection is closed.
pub const ANSWER_TAIL_TIMEOUT: Duration = Duration::from_millis(100);

/// How long after an answer a connection is used again at the earliest. Bytes that the peer sends right
/// behind the answer have come by then.
const REUSE_PAUSE: Duration = Duration::from_millis(5);
/// Maximum size of the headers of an answer, and of what is read ahead of its body.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

/// The start of an answer: enough of its status line to tell whether the status is 200.
#[derive(Default)]
struct StatusLine {
    bytes: [u8; 13],
    length: usize,
    /// Whether the end of the line has been read.
    complete: bool,
}

impl StatusLine {
    fn push(&mut self, read: &[u8]) {
        let length = read.len().min(self.bytes.len() - self.length);
        self.bytes[self.length..][..length].copy_from_slice(&read[..length]);
        self.length += length;
        self.complete |= read.contains(&b'\n');
    }

    /// Returns whether the status is 200. A line that breaks off is never taken for a 200: the status may
    /// have been meant to be another one, and a notice for a message that was delivered does no harm.
    fn is_200(&self) -> bool {
        let [version @ .., minor, b' ', b'2', b'0', b'0', next] = &self.bytes else { return false };
        self.complete
            && version == b"HTTP/1."
            && minor.is_ascii_digit()
            && matches!(next, b' ' | b'\r' | b'\n')
    }
}

/// A stream that counts the bytes written and keeps the status line read. hyper tells neither whether a
/// failed request had been written nor the status line of an answer that it can't parse.
///
/// Before the first byte of a request on a reused connection it looks for bytes that have come since the last
/// answer: hyper learns of them only when the event loop next polls the socket, and would take them for the
/// answer to this request.
struct ObservedStream {
    stream: Socket,
    observed: Rc<Observed>,
}

/// What a connection and its stream tell each other.
#[derive(Default)]
struct Observed {
    bytes_written: Cell<u64>,
    status_line: RefCell<StatusLine>,
    /// The next bytes to be written begin a request on a reused connection.
    reuse_begins: Cell<bool>,
    /// The last answer has been read to its end, and no request has been sent since.
    idle: Cell<bool>,
    /// Bytes have come while the connection was idle.
    has_surplus: Cell<bool>,
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let done = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = &buf.filled()[before..];
        self.observed.status_line.borrow_mut().push(read);
        if self.observed.idle.get() && !read.is_empty() {
            self.observed.has_surplus.set(true);
        }
        done
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.observed.reuse_begins.get() {
            self.check_idle()?;
            self.observed.reuse_begins.set(false);
        }
        let done = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = done {
            self.observed.bytes_written.set(self.observed.bytes_written.get() + n as u64);
        }
        done
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ObservedStream {
    /// Checks that the connection is open and has nothing to read. Asks the system, as the event loop may not
    /// have seen the last bytes yet.
    fn check_idle(&self) -> io::Result<()> {
        match self.stream.as_sock_ref().peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(0) => Err(io::Error::new(ErrorKind::UnexpectedEof, "the peer has closed the idle connection")),
            Ok(_) => {
                self.observed.has_surplus.set(true);
                Err(io::Error::new(ErrorKind::InvalidData, "bytes came after the last answer"))
            }
        }
    }
}

/// Why a request got no answer.
pub enum ExchangeError {
    /// The reused connection could not be used any more, and nothing of the request was written.
    Unsent,
    /// The connection failed before any byte of the request was written.
    NotWritten(String),
    /// The connection failed after bytes of the request were written, so the peer may have processed it.
    Broken(String),
}

impl std::fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ExchangeError::Unsent => write!(f, "the connection was closed before the request was sent"),
            ExchangeError::NotWritten(reason) | ExchangeError::Broken(reason) => write!(f, "{reason}"),
        }
    }
}

/// An HTTP/1.1 connection. Dropping it closes the socket at once, even during an exchange.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    observed: Rc<Observed>,
    address: SocketAddr,
    idle_since: Instant,
    /// How long the connection had been idle before its present use; None on a new connection.
    idle_before_use: Option<Duration>,
    _permit: Option<ConnectionPermit>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects to an address, within a timeout.
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> io::Result<Connection> {
        let stream = timeout(connect_timeout, Socket::connect(address)).await??;
        let observed = Rc::<Observed>::default();
        let io = TokioIo::new(ObservedStream { stream, observed: observed.clone() });
        let mut builder = http1::Builder::new();
        builder.title_case_headers(true).max_buf_size(MAX_READ_BUFFER_BYTES);
        let handshake = builder.handshake(io).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "an outgoing connection failed");
            }
        });
        Ok(Connection {
            sender,
            task,
            observed,
            address,
            idle_since: Instant::now(),
            idle_before_use: None,
            _permit: None,
        })
    }

    /// Takes the connection that was kept after the last exchange if it is still open, or opens a new one.
    pub async fn reuse_or_open(
        kept: &mut Option<Connection>,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> io::Result<Connection> {
        match kept.take().filter(Connection::is_open) {
            Some(mut connection) => {
                connection.mark_in_use(Instant::now());
                connection.wait_for_reuse().await;
                Ok(connection)
            }
            None => Connection::open(address, connect_timeout).await,
        }
    }

    /// Closes the socket before it returns.
    pub async fn close(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// Returns whether the connection was idle before its present use, and so is not new.
    pub fn is_reused(&self) -> bool {
        self.idle_before_use.is_some()
    }

    /// Returns whether the connection is open and ready for a request.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.task.is_finished()
    }

    /// Sends a request and waits for the headers of its answer; the body is still to be read.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, ExchangeError> {
        let written_before = self.observed.bytes_written.get();
        self.observed.status_line.take();
        self.observed.idle.set(false);
        self.observed.reuse_begins.set(self.is_reused());
        let sent = self.sender.try_send_request(request).await;
        let refused = self.observed.reuse_begins.take();
        sent.map_err(|mut e| match e.take_message() {
            Some(_) => ExchangeError::Unsent,
            None if refused => ExchangeError::Unsent,
            None if self.observed.bytes_written.get() == written_before => {
                ExchangeError::NotWritten(e.into_error().to_string())
            }
            None => ExchangeError::Broken(e.into_error().to_string()),
        })
    }

    /// Sends a request and reads its whole answer, for notices and probes.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_body: usize,
    ) -> Result<(u16, HeaderMap, Bytes), ExchangeError> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = body::read(body, max_body).await.map_err(|e| ExchangeError::Broken(e.to_string()))?;
        self.wait_until_ready().await;
        Ok((head.status.as_u16(), head.headers, body))
    }

    /// Waits for a short time until the connection is done with an answer whose body was read, as the next
    /// request could otherwise find it busy. Returns false if it does not become ready.
    pub async fn wait_until_ready(&mut self) -> bool {
        let ready = timeout(ANSWER_TAIL_TIMEOUT, self.sender.ready()).await;
        self.mark_idle();
        self.observed.idle.set(true);
        matches!(ready, Ok(Ok(())))
    }

    /// Waits until the connection may be used again after its last answer.
    pub async fn wait_for_reuse(&self) {
        sleep_until(self.idle_since + REUSE_PAUSE).await;
    }

    /// Returns the address to which the connection was opened.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds a permit until the connection is dropped.
    pub fn hold_permit(&mut self, permit: ConnectionPermit) {
        self._permit = Some(permit);
    }

    /// Records that the connection is idle from now on.
    pub fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Returns the time at which the connection was opened or last marked as idle.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Records that an exchange on the connection begins after it was idle.
    pub fn mark_in_use(&mut self, now: Instant) {
        self.idle_before_use = Some(now - self.idle_since);
    }

    /// Returns how long the connection had been idle before its present use; None on a new connection.
    pub fn idle_before_use(&self) -> Option<Duration> {
        self.idle_before_use
    }

    /// Returns whether bytes came after the last answer, which belong to no request.
    pub fn has_surplus(&self) -> bool {
        self.observed.has_surplus.get()
    }

    /// Returns whether the answer's status line says 200, even if the rest of the answer can't be parsed.
    pub fn received_200(&self) -> bool {
        self.observed.status_line.borrow().is_200()
    }
}

/// Builds a request with the given headers and a `Host` header.
pub fn request(
    method: &str,
    path: &str,
    to: SocketAddr,
    headers: &[(&'static str, &str)],
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method.parse().unwrap_or_default();
    *request.uri_mut() = path.parse().unwrap_or_default();
    let to = to.to_string();
    for (name, value) in headers.iter().copied().chain([("host", to.as_str())]) {
        // Values of clients come from parsed headers, so they are valid here too.
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            request.headers_mut().insert(HeaderName::from_static(name), value);
        }
    }
    debug_assert!(request.headers().contains_key(HOST));
    request
}

/// Counts one connection to an endpoint, from before it is opened until it is closed.
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    /// Adds one to the number of open connections; dropping the permit subtracts it again.
    pub fn new(open: &Rc<Cell<usize>>) -> ConnectionPermit {
        open.set(open.get() + 1);
        ConnectionPermit(open.clone())
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
