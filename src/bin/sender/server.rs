//! Clients in: takes requests, checks their form, and hands them to the core.
use crate::client::MAX_BODY;
use crate::directory::Directory;
use crate::input::{Input, Reply};
use crate::linger;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, ALLOW, CONNECTION, HOST, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1::{Builder, Parts};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use sender::api::Effect;
use sender::records::{unix_time_ms, AcceptedMessage};
use sender::settings::ProgramSettings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io::{self, Cursor};
use std::os::fd::OwnedFd;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{join, AsyncRead, AsyncReadExt, Chain, Join, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// How long a connection may take to bring its first whole request, and a later request to bring its body:
/// strangers are owed an error or a close within 3 s.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// Headers of a request in bytes, together: a message's own take a few hundred.
const MAX_HEAD: usize = 8 << 10;
const HEAD_END: &[u8] = b"\r\n\r\n";
/// How long a connection may stand idle that has brought one.
const IDLE: Duration = Duration::from_secs(75);
/// From then on an idle one may be closed, where another client needs its place.
const SPARE: Duration = Duration::from_secs(2);
const MAX_NAME: usize = 256;

/// A client's connection, as far as the choice needs it of which to close.
struct Link {
    /// When it was opened or got its last answer.
    used: Cell<Instant>,
    /// When it last brought anything.
    heard: Cell<Instant>,
    /// Its first request, or a later one that has begun to come, has no answer yet.
    unfinished: Cell<bool>,
    /// A request has come whole and has no answer yet.
    whole: Cell<bool>,
    /// The headers of the next request as they were read: the library leaves out a length that it does not go by.
    head: RefCell<Vec<u8>>,
    /// Requests without their answer.
    busy: Cell<u32>,
    /// Its next answer is its last.
    ending: Cell<bool>,
    /// Nothing that comes on it is acted on any more.
    lingering: Cell<bool>,
    /// What it was when its place was given to another.
    evicted: Cell<Option<Spare>>,
    end: Notify,
    /// A request has got its answer.
    free: Notify,
}

impl Link {
    fn new(used: Instant, unfinished: bool) -> Link {
        Link {
            used: Cell::new(used),
            heard: Cell::new(Instant::now()),
            unfinished: Cell::new(unfinished),
            whole: Cell::default(),
            head: RefCell::default(),
            busy: Cell::default(),
            ending: Cell::default(),
            lingering: Cell::default(),
            evicted: Cell::default(),
            end: Notify::new(),
            free: Notify::new(),
        }
    }

    /// Notes what was read of the next request, up to the end of its headers.
    fn note(&self, read: &[u8]) {
        let mut head = self.head.borrow_mut();
        if head.ends_with(HEAD_END) {
            return;
        }
        let room = MAX_HEAD.saturating_sub(head.len());
        head.extend_from_slice(&read[..read.len().min(room)]);
        if let Some(end) = head.windows(HEAD_END.len()).position(|w| w == HEAD_END) {
            head.truncate(end + HEAD_END.len());
        }
    }

    /// Whether the request's headers were all seen, and hold no length of the body.
    fn tells_no_length(&self) -> bool {
        let head = self.head.borrow();
        let named =
            |line: &[u8]| line.split(|&b| b == b':').next().map(|n| n.trim_ascii().to_ascii_lowercase());
        let length = |line: &[u8]| named(line).as_deref() == Some(b"content-length");
        head.ends_with(HEAD_END) && !head.split(|&b| b == b'\n').any(length)
    }

    /// Whether it may lose its place to another client, and which one is to lose it first: one that lingers, or
    /// stands idle, costs its client nothing; then the one that leaves its request unfinished and has been silent
    /// longest.
    fn spare(&self) -> Option<(Spare, Instant)> {
        if self.evicted.get().is_some() {
            return None;
        }
        let spare = match (self.lingering.get(), self.whole.get(), self.unfinished.get()) {
            (true, ..) => Spare::Lingering,
            (_, true, _) => return None,
            (.., true) => Spare::Unfinished,
            _ if self.used.get().elapsed() < SPARE => return None,
            _ => Spare::Idle,
        };
        Some((spare, self.heard.get()))
    }

    /// It stands between two requests, and not a byte of the next one was read.
    fn rests(&self) -> bool {
        self.busy.get() == 0 && !self.unfinished.get()
    }
}

/// What a connection is that may lose its place, the first to lose it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Spare {
    Lingering,
    Idle,
    Unfinished,
}

/// Notes when something was read.
struct Heard {
    from: OwnedReadHalf,
    link: Rc<Link>,
}

impl AsyncRead for Heard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let done = Pin::new(&mut self.from).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.link.heard.set(Instant::now());
            self.link.note(&buf.filled()[before..]);
            self.link.unfinished.set(true);
        }
        done
    }
}

/// What is done with clients' connections.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Serving,
    /// They end between requests.
    Closing,
    /// They pass on to the next process between requests.
    Moving,
}

/// A client's connection between two requests.
pub struct Moved {
    pub stream: TcpStream,
    /// What was read of the next request.
    pub read: Bytes,
    /// Whether it has brought a whole request.
    pub whole: bool,
    pub stood: Duration,
}

pub struct Server {
    pub core: mpsc::Sender<Input>,
    directory: Rc<Directory>,
    pub around: ProgramSettings,
    pub effects: Vec<Effect>,
    /// Most connections that are served.
    pub most: usize,
    /// Connections over that bound that are still told 503; what comes beyond them waits to be accepted.
    pub turned_away: usize,
    pub open: Cell<usize>,
    pub closed: Notify,
    phase: watch::Receiver<Phase>,
    /// Where connections go that can pass on; no more than there are open.
    moved: mpsc::UnboundedSender<Moved>,
    links: RefCell<HashMap<u64, Rc<Link>>>,
    next_link: Cell<u64>,
}

impl Server {
    pub fn new(
        (core, directory): (mpsc::Sender<Input>, Rc<Directory>),
        around: ProgramSettings,
        effects: Vec<Effect>,
        (most, turned_away): (usize, usize),
        phase: watch::Receiver<Phase>,
        moved: mpsc::UnboundedSender<Moved>,
    ) -> Server {
        let (open, closed, links, next_link) = Default::default();
        Server {
            core,
            directory,
            around,
            effects,
            most,
            turned_away,
            open,
            closed,
            phase,
            moved,
            links,
            next_link,
        }
    }

    /// Ends a connection that can be spared: clients keep what they once opened, and some never finish what they
    /// began, so that without this those of a busy moment would hold all places for as long as they may.
    fn make_place(&self) -> bool {
        let links = self.links.borrow();
        let first = links.values().filter_map(|l| Some((l.spare()?, l))).min_by_key(|(rank, _)| *rank);
        if let Some(((spare, _), link)) = first {
            link.evicted.set(Some(spare));
            link.end.notify_one();
        }
        first.is_some()
    }

    /// The last places are left: a connection that stood idle after its answer would keep others out.
    fn scarce(&self) -> bool {
        self.open.get() + self.turned_away >= self.most
    }

    /// Accepts until this is given up or the phase changes; the connections then end, or pass on, between requests.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut phase = self.phase.clone();
        loop {
            let full = self.open.get() >= self.most + self.turned_away.max(1);
            let stream = tokio::select! {
                _ = phase.wait_for(|p| *p != Phase::Serving) => return,
                () = self.closed.notified(), if full => continue,
                accepted = listener.accept(), if !full => match accepted {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        // Out of descriptors, say: the sender goes on with those that it has.
                        tracing::warn!(%error, "cannot accept");
                        sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                },
            };
            self.admit_new(stream);
        }
    }

    /// Once `accept` has returned for good: takes what had connected by then, as far as there are places, and
    /// closes the listener. Who comes later is refused at once instead of waiting for the process to end.
    pub fn close(self: &Rc<Self>, listener: std::net::TcpListener) {
        while self.open.get() < self.most + self.turned_away.max(1) {
            let accepted = listener.accept().and_then(|(s, _)| s.set_nonblocking(true).map(|()| s));
            match accepted.and_then(TcpStream::from_std) {
                Ok(stream) => self.admit_new(stream),
                // Nobody waits, or nobody can be taken.
                Err(_) => return,
            }
        }
    }

    /// Whether a request was read, be it in part, that has no answer yet.
    pub fn owes_answers(&self) -> bool {
        self.links.borrow().values().any(|l| !l.lingering.get() && !l.head.borrow().is_empty())
    }

    fn admit_new(self: &Rc<Self>, stream: TcpStream) {
        let full = self.open.get() >= self.most && !self.make_place();
        self.admit(Moved { stream, read: Bytes::new(), whole: false, stood: Duration::ZERO }, full);
    }

    /// Goes on with a connection of the process before.
    pub fn adopt(self: &Rc<Self>, socket: OwnedFd, read: Bytes, whole: bool, stood: Duration) {
        match TcpStream::from_std(socket.into()) {
            Ok(stream) => self.admit(Moved { stream, read, whole, stood }, false),
            Err(error) => tracing::warn!(%error, "cannot go on with a client's connection"),
        }
    }

    fn admit(self: &Rc<Self>, client: Moved, full: bool) {
        self.open.set(self.open.get() + 1);
        let server = self.clone();
        let now = Instant::now();
        let used = now.checked_sub(client.stood).unwrap_or(now);
        let link = Rc::new(Link::new(used, !client.whole || !client.read.is_empty()));
        link.note(&client.read);
        let number = self.next_link.replace(self.next_link.get() + 1);
        self.links.borrow_mut().insert(number, link.clone());
        tokio::task::spawn_local(async move {
            if let Some(client) = server.serve(client, full, &link).await {
                let _ = server.moved.send(client);
            }
            server.links.borrow_mut().remove(&number);
            server.open.set(server.open.get() - 1);
            server.closed.notify_one();
        });
    }

    /// Serves a connection to its end, or until it can pass on.
    async fn serve(&self, client: Moved, full: bool, link: &Rc<Link>) -> Option<Moved> {
        let Moved { stream, read, whole, .. } = client;
        let _ = stream.set_nodelay(true);
        let mut phase = self.phase.clone();
        let accepted = link.used.get();
        let whole = Cell::new(whole);
        let service = service_fn(|request| {
            let whole = &whole;
            Box::pin(async move {
                link.busy.set(link.busy.get() + 1);
                let since = if whole.replace(true) { Instant::now() } else { accepted };
                let mut response =
                    if full { refused(None) } else { self.answer(request, since + PATIENCE, link).await };
                if full || self.scarce() || link.ending.get() {
                    response = last(response);
                }
                link.busy.set(link.busy.get() - 1);
                link.whole.set(false);
                link.unfinished.set(false);
                // Not only emptied: as many connections stand idle as there are places.
                link.head.take();
                link.used.set(Instant::now());
                link.free.notify_one();
                Ok::<_, Infallible>(response)
            })
        });
        // What the process before had read of it comes first.
        let (from, to) = stream.into_split();
        let from = Heard { from, link: link.clone() };
        let io = TokioIo::new(join(Cursor::new(read).chain(from), to));
        let mut connection = Builder::new().serve_connection(io, service);
        let mut moving = false;
        // When it was told to end in the middle of a request.
        let mut ending: Option<Instant> = None;
        let stream = |parts: Parts<_, _>| -> (Option<TcpStream>, Bytes) {
            let io: TokioIo<Join<Chain<Cursor<Bytes>, Heard>, OwnedWriteHalf>> = parts.io;
            let (from, to) = io.into_inner().into_inner();
            let (ahead, from) = from.into_inner();
            let unread = ahead.get_ref().get(ahead.position() as usize..).unwrap_or_default();
            let read = [&parts.read_buf, unread].concat().into();
            (from.from.reunite(to).ok(), read)
        };
        loop {
            if moving && link.busy.get() == 0 {
                let (stream, read) = stream(connection.into_parts());
                return Some(Moved {
                    stream: stream?,
                    read,
                    whole: whole.get(),
                    stood: link.used.get().elapsed(),
                });
            }
            if ending.is_some() && link.rests() {
                break;
            }
            let until = match ending {
                _ if !whole.get() => link.used.get() + PATIENCE,
                Some(told) => told + PATIENCE,
                None => link.used.get() + IDLE,
            };
            tokio::select! {
                // First, so that an answer is written before its connection passes on or ends.
                biased;
                _ = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break,
                () = link.free.notified() => {}
                changed = phase.wait_for(|p| *p != Phase::Serving), if ending.is_none() && !moving => {
                    moving = changed.is_ok_and(|p| *p == Phase::Moving) && !full;
                    if !moving {
                        ending = Some(Instant::now());
                        link.ending.set(true);
                    }
                }
                () = link.end.notified() => {
                    // Its place is needed. What has come meanwhile on one that rested, or whole, is answered first.
                    let unfinished = link.evicted.get() == Some(Spare::Unfinished) && !link.whole.get();
                    if unfinished || link.rests() {
                        return None;
                    }
                    ending = ending.or(Some(Instant::now()));
                    link.ending.set(true);
                }
                // Also one that opens a request and never ends it.
                () = sleep_until(until), if link.busy.get() == 0 => if link.busy.get() == 0 { break },
            }
        }
        // From here on nothing is read as a request: it could no longer be answered.
        link.lingering.set(true);
        if let (Some(stream), _) = stream(connection.into_parts()) {
            tokio::select! {
                () = linger::close(stream) => {}
                () = link.end.notified() => {}
            }
        }
        None
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        body_by: Instant,
        link: &Link,
    ) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        if head.headers.contains_key(TRANSFER_ENCODING) && !link.tells_no_length() {
            // Where this request ends is a matter of opinion, so what follows may not be read as another one.
            return last(plain(StatusCode::BAD_REQUEST, "the body has two lengths"));
        }
        if head.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum::<usize>()
            > MAX_HEAD
        {
            return last(plain(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "the headers are over 8 KiB"));
        }
        let path = head.uri.path();
        if path == "/healthz" {
            return match head.method {
                Method::GET | Method::HEAD if self.directory.has_list() => plain(StatusCode::OK, ""),
                // It would hold all that it takes on until a list comes.
                Method::GET | Method::HEAD => {
                    plain(StatusCode::SERVICE_UNAVAILABLE, "no list of endpoints\n")
                }
                _ => wrong_method("GET, HEAD"),
            };
        }
        // A name beyond ASCII comes as it is or percent-encoded.
        let named = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let named = percent_decode_str(named).decode_utf8_lossy();
        let Some(class) = self.around.classes.iter().position(|c| *c == named && !c.is_empty()) else {
            return plain(StatusCode::NOT_FOUND, "no such class of message");
        };
        if head.method != Method::POST {
            return wrong_method("POST");
        }
        if body.size_hint().lower() > MAX_BODY as u64 {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB");
        }
        let (mut taken, left) = match self.read_head(&head.headers, class) {
            Ok(read) => read,
            Err(why) => return plain(StatusCode::BAD_REQUEST, why),
        };
        let end = Instant::now() + left;
        taken.deadline_ms = unix_time_ms() + left.as_millis() as i64;
        taken.body = match timeout_at(body_by, Limited::new(body, MAX_BODY).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB")
            }
            Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "the body can't be read"),
            Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body does not come"),
        };
        link.whole.set(true);
        let (reply, answer) = oneshot::channel();
        if self.core.try_send(Input::Submit { message: taken, deadline: end, reply }).is_err() {
            return refused(None);
        }
        match answer.await {
            Ok(Reply::Accepted) => plain(StatusCode::ACCEPTED, ""),
            Ok(Reply::Refused(after)) => refused(after),
            Ok(Reply::Failed) => plain(StatusCode::INTERNAL_SERVER_ERROR, "can't be delivered"),
            Err(_) => refused(None),
        }
    }

    /// What a message's headers say, with its body still to come.
    fn read_head(
        &self,
        headers: &HeaderMap,
        class: usize,
    ) -> Result<(AcceptedMessage, Duration), &'static str> {
        // What says two things is no proper request: it may be read as another one elsewhere.
        let own = [
            "host",
            "x-trace-id",
            "x-qos",
            "x-customer",
            "x-expires-in-ms",
            "x-consignee",
            "idempotency-key",
        ];
        if own.iter().any(|name| headers.get_all(*name).iter().nth(1).is_some()) {
            return Err("a header comes twice");
        }
        if !headers.contains_key(HOST) {
            return Err("Host is missing");
        }
        let text = |name: &str| {
            let value = headers.get(name)?;
            let read = std::str::from_utf8(value.as_bytes()).map(str::trim).ok();
            Some(read.filter(|t| t.len() <= MAX_NAME))
        };
        let name = &self.around.classes[class];
        if text("x-qos") != Some(Some(name.as_str())) {
            return Err("X-Qos is missing, or not the class in the path");
        }
        let trace = text("x-trace-id").flatten().filter(|t| !t.is_empty());
        let trace = trace.ok_or("X-Trace-Id is missing or malformed")?;
        let tenant = match text("x-customer") {
            None if self.around.tenants.is_empty() => "",
            Some(Some(t)) if self.around.tenants.is_empty() || self.around.tenants.iter().any(|n| n == t) => {
                t
            }
            _ => return Err("X-Customer is missing or unknown"),
        };
        let left = text("x-expires-in-ms").flatten().and_then(|t| t.parse::<u32>().ok());
        let left = left.ok_or("X-Expires-In-Ms is missing or malformed")?;
        let dest = text("x-consignee").flatten().and_then(|t| {
            t.split([',', ';']).find_map(|p| p.trim().strip_prefix("dest=")?.trim().parse::<u64>().ok())
        });
        let dest = dest.ok_or("X-Consignee is missing or malformed")?;
        let key = match text("idempotency-key") {
            None => None,
            Some(Some(key)) if !key.is_empty() => Some(key.to_string()),
            Some(_) => return Err("Idempotency-Key is malformed"),
        };
        // Without it a repeat would take effect twice.
        if key.is_none() && self.effects[class] == Effect::Keyed {
            return Err("Idempotency-Key is missing");
        }
        let (class, tenant, trace) = (name.clone(), tenant.to_string(), trace.to_string());
        let taken = AcceptedMessage {
            id: 0,
            class,
            tenant,
            dest,
            trace_id: trace,
            idempotency_key: key,
            deadline_ms: 0,
            body: Bytes::new(),
        };
        Ok((taken, Duration::from_millis(left.into())))
    }
}

pub fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The connection ends with this answer.
fn last(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

pub fn wrong_method(allowed: &'static str) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::METHOD_NOT_ALLOWED, "");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

fn refused(after: Option<Duration>) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "");
    let seconds = after.unwrap_or(Duration::from_secs(1)).as_secs_f64();
    if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

#[cfg(test)]
mod tests;
