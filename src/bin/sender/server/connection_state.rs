//! The state of a client's connection: what has been read of its next request, and when it may be evicted.
use super::head_scanner::HeadScanner;
use super::turns::{Allowance, Turns};
use crate::input::{Reply, ReplySender};
use crate::socket::{Socket, WeakSocket};
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// How long a connection must have been idle before it may be evicted for another client.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);
/// What a connection may do in a turn of the event loop. After a short request a second read finds the socket
/// empty, so clients that wait for their answers never wait for a turn.
const READS_PER_TURN: u32 = 2;
const REQUESTS_PER_TURN: u32 = 1;

/// The state of a client's connection that decides which connection is evicted when there are too many.
pub struct ConnectionState {
    /// When it was opened or its last answer was given.
    pub last_used: Cell<Instant>,
    /// When bytes were last read from it.
    pub last_read: Cell<Instant>,
    /// When the first request, or a later one of which bytes have been read, began. None once it is answered.
    pub request_started: Cell<Option<Instant>>,
    /// A request has been read in full and has no answer yet.
    pub request_complete: Cell<bool>,
    /// What has been seen of the headers of the next request.
    pub head: Cell<HeadScanner>,
    socket: WeakSocket,
    turns: Rc<Turns>,
    reads: Allowance,
    requests: Allowance,
    /// Requests without an answer.
    pub unanswered: Cell<u32>,
    /// The next answer is sent with `Connection: close`.
    pub closing: Cell<bool>,
    /// The connection is in its lingering close: whatever is read is discarded.
    pub lingering: Cell<bool>,
    /// Its eviction class at the time when it was evicted.
    pub evicted: Cell<Option<EvictionClass>>,
    /// Notified when the connection is evicted.
    pub evict: Notify,
    /// Notified when the first byte of a later request has been read.
    pub request_begun: Notify,
    /// Notified when a request has been answered.
    pub answered: Notify,
}

impl ConnectionState {
    pub fn new(
        socket: WeakSocket,
        turns: Rc<Turns>,
        last_used: Instant,
        request_started: bool,
    ) -> ConnectionState {
        ConnectionState {
            socket,
            turns,
            reads: Allowance::new(READS_PER_TURN),
            requests: Allowance::new(REQUESTS_PER_TURN),
            last_used: Cell::new(last_used),
            last_read: Cell::new(Instant::now()),
            request_started: Cell::new(request_started.then(Instant::now)),
            request_complete: Cell::default(),
            head: Cell::default(),
            unanswered: Cell::default(),
            closing: Cell::default(),
            lingering: Cell::default(),
            evicted: Cell::default(),
            evict: Notify::new(),
            request_begun: Notify::new(),
            answered: Notify::new(),
        }
    }

    /// Waits until this connection may begin its next request.
    pub async fn request_turn(&self) {
        poll_fn(|cx| self.turns.poll_take(&self.requests, cx)).await;
    }

    /// Returns whether the client has ended the connection, even if requests that it sent before are unread.
    pub fn client_has_left(&self) -> bool {
        self.socket.peer_has_left()
    }

    /// Returns a sender of the reply to a request.
    pub fn reply_sender(&self, sender: oneshot::Sender<Reply>) -> ReplySender {
        ReplySender::new(sender, self.socket.clone())
    }

    /// Notes bytes that have been read of the next request.
    pub fn scan_head(&self, read: &[u8]) {
        let mut head = self.head.get();
        head.scan(read);
        self.head.set(head);
    }

    /// Returns the rank by which connections are evicted, the lowest first; None if this one may not be
    /// evicted. Closing a lingering or idle connection costs its client nothing. After those come
    /// connections with an incomplete request. Within a class, the one that has been silent longest comes
    /// first.
    pub fn eviction_rank(&self) -> Option<(EvictionClass, Instant)> {
        if self.evicted.get().is_some() {
            return None;
        }
        let class =
            match (self.lingering.get(), self.request_complete.get(), self.request_started.get().is_some()) {
                (true, ..) => EvictionClass::Lingering,
                (_, true, _) => return None,
                (.., true) => EvictionClass::IncompleteRequest,
                _ if self.last_used.get().elapsed() < MIN_IDLE_BEFORE_EVICTION => return None,
                _ => EvictionClass::Idle,
            };
        Some((class, self.last_read.get()))
    }

    /// Returns whether all requests are answered and no byte of the next one has been read.
    pub fn is_idle(&self) -> bool {
        self.unanswered.get() == 0 && self.request_started.get().is_none()
    }
}

/// Classes of connections that may be evicted, in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionClass {
    Lingering,
    Idle,
    IncompleteRequest,
}

/// The reading half of a connection; records in the connection's state what is read and when.
pub struct ObservedReader {
    pub inner: Socket,
    pub state: Rc<ConnectionState>,
}

impl AsyncRead for ObservedReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.state.turns.poll_take(&self.state.reads, cx));
        let before = buf.filled().len();
        let done = Pin::new(&mut self.inner).poll_read(cx, buf);
        if done.is_pending() {
            self.state.reads.renew();
            self.state.requests.renew();
        }
        if buf.filled().len() > before {
            self.state.last_read.set(Instant::now());
            self.state.scan_head(&buf.filled()[before..]);
            if self.state.request_started.get().is_none() {
                self.state.request_started.set(Some(Instant::now()));
                self.state.request_begun.notify_one();
            }
        }
        done
    }
}
