//! A stub of discovery for large lists. A script decides how each list is sent, and every request is recorded
//! together with the progress of its answer.
use super::peers::{read_message, Request, TIMEOUT};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Bytes of a body that are written at a time.
const CHUNK_BYTES: usize = 16 << 10;
/// Send buffer of the stub's sockets. It bounds how much can be written before the caller has read it.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// How often a held answer checks whether its caller has closed the connection.
const HANGUP_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How often a held answer checks whether its caller has read all that was sent, which costs more.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Holds answers back until it is opened.
#[derive(Clone, Default)]
pub struct Gate(Arc<AtomicBool>);

impl Gate {
    pub fn open(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_open(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// How the length of a body is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
}

/// What happens after the first part of a body has been sent.
#[derive(Clone)]
pub enum Then {
    /// The rest follows once the gate is open. Until then every further call is answered in the same way, as
    /// a caller may time out and call again.
    Hold(Gate),
    /// Nothing follows, and the connection stays open.
    Silence,
    /// The rest follows in as many pieces, with a pause of the given length before each.
    Trickle { pauses: usize, each: Duration },
    /// The connection is closed in order.
    Close,
    /// The connection is reset.
    Reset,
}

/// How a list is sent: which share of its body, and what happens then.
#[derive(Clone)]
pub struct Delivery {
    pub framing: Framing,
    pub share: f64,
    pub then: Option<Then>,
}

impl Delivery {
    /// Sends the whole list at once.
    pub fn whole() -> Delivery {
        Delivery { framing: Framing::Length, share: 1.0, then: None }
    }

    /// Sends this share of the body before `then`.
    pub fn until(share: f64, then: Then) -> Delivery {
        Delivery { share, then: Some(then), ..Delivery::whole() }
    }

    /// Changes the framing.
    pub fn framed(self, framing: Framing) -> Delivery {
        Delivery { framing, ..self }
    }
}

/// What a request was answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A whole list, or a part of it.
    Whole,
    /// The changes since a generation, which may be none.
    Changes,
    /// The acknowledgement of notices.
    Notices,
}

/// One recorded request and the progress of its answer.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    pub path: String,
    pub body: Vec<u8>,
    pub connection: usize,
    pub at: Instant,
    /// None until the answer begins.
    pub kind: Option<Kind>,
    /// Bytes of the answer's body that were written so far.
    pub sent: usize,
    /// When the last byte of the answer was written.
    pub done: Option<Instant>,
    /// The part that is sent before the answer is held has been sent, and the caller has read it.
    pub held: bool,
    /// The caller has closed the connection before the end of the answer.
    pub hung_up: bool,
}

impl RecordedCall {
    /// Returns whether it was answered with a whole list or a part of it.
    pub fn is_whole(&self) -> bool {
        self.kind == Some(Kind::Whole)
    }

    /// Returns whether its answer is being held now.
    pub fn is_held(&self) -> bool {
        self.held && !self.hung_up && self.done.is_none()
    }
}

/// The list and the history of its changes.
struct ListHistory {
    /// The generation since which the changes are known.
    first: u64,
    /// The whole list as it was last requested.
    body: Arc<Vec<u8>>,
    body_generation: u64,
    /// The entries that changed with each generation.
    changes: Vec<(u64, Vec<Value>)>,
}

impl ListHistory {
    fn new(generation: u64, body: Vec<u8>) -> ListHistory {
        ListHistory {
            first: generation,
            body: Arc::new(body),
            body_generation: generation,
            changes: Vec::new(),
        }
    }

    fn latest(&self) -> u64 {
        self.changes.last().map_or(self.first, |(generation, _)| *generation)
    }

    /// Returns an answer with the changes since a generation, if they are known.
    fn since(&self, index: u64) -> Option<String> {
        if index < self.first {
            return None;
        }
        let later = self.changes.iter().filter(|(generation, _)| *generation > index);
        let entries: Vec<&Value> = later.flat_map(|(_, entries)| entries).collect();
        let entries = serde_json::to_string(&entries).unwrap();
        Some(format!(r#"{{"generation":{},"reset":false,"instances":{entries}}}"#, self.latest()))
    }

    /// Adds a change; returns its generation.
    fn change(&mut self, entries: Vec<Value>) -> u64 {
        let generation = self.latest() + 1;
        self.changes.push((generation, entries));
        generation
    }

    /// Returns the whole list of the latest generation.
    fn whole(&mut self) -> Arc<Vec<u8>> {
        let latest = self.latest();
        if latest > self.body_generation {
            let whole: Value = serde_json::from_slice(&self.body).unwrap();
            let before = whole["instances"].as_array().unwrap().iter();
            let later = self.changes.iter().filter(|(generation, _)| *generation > self.body_generation);
            let all = before.chain(later.flat_map(|(_, entries)| entries));
            let name_of = |entry: &Value| entry["instanceId"].as_str().unwrap_or_default().to_string();
            let last: BTreeMap<String, &Value> = all.map(|entry| (name_of(entry), entry)).collect();
            let listed = last.values().filter(|entry| entry["lifecycle"] != "Gone");
            let listed: Vec<String> = listed.map(|entry| entry.to_string()).collect();
            (self.body, self.body_generation) = (Arc::new(body(latest, &listed)), latest);
        }
        self.body.clone()
    }
}

struct State {
    list: ListHistory,
    /// Scripts of the next answers with a whole list.
    deliveries: VecDeque<Delivery>,
    /// Scripts of the next answers with changes.
    change_deliveries: VecDeque<Delivery>,
    calls: Vec<RecordedCall>,
    connections: usize,
}

/// The stub of discovery.
#[derive(Clone)]
pub struct LargeDiscovery {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// Returns the body of a whole list with the given entries, which are not checked.
pub fn body(generation: u64, entries: &[String]) -> Vec<u8> {
    format!(r#"{{"generation":{generation},"reset":true,"instances":[{}]}}"#, entries.join(",")).into_bytes()
}

impl LargeDiscovery {
    /// Starts a stub with a whole list.
    pub fn new(generation: u64, body: Vec<u8>) -> LargeDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let list = ListHistory::new(generation, body);
        let state = State {
            list,
            deliveries: VecDeque::new(),
            change_deliveries: VecDeque::new(),
            calls: Vec::new(),
            connections: 0,
        };
        let discovery = LargeDiscovery { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        discovery
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    fn change_state<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut self.state());
        self.shared.1.notify_all();
        result
    }

    /// Appends a script for an answer with a whole list.
    pub fn deliver(&self, delivery: Delivery) {
        self.change_state(|s| s.deliveries.push_back(delivery));
    }

    /// Appends a script for an answer with changes.
    pub fn deliver_change(&self, delivery: Delivery) {
        self.change_state(|s| s.change_deliveries.push_back(delivery));
    }

    /// Removes all scripts, so that further answers are sent at once. Answers that are held now stay so.
    pub fn deliver_whole(&self) {
        self.change_state(|s| {
            s.deliveries.clear();
            s.change_deliveries.clear();
        });
    }

    /// Replaces the list by another whole one, which pending watches are answered with as well.
    pub fn replace(&self, generation: u64, body: Vec<u8>) {
        let list = ListHistory::new(generation, body);
        self.change_state(|s| s.list = list);
    }

    /// Adds a change to the list, which pending watches are answered with; returns its generation.
    pub fn change(&self, entries: Vec<Value>) -> u64 {
        self.change_state(|s| s.list.change(entries))
    }

    /// Returns all recorded calls.
    pub fn calls(&self) -> Vec<RecordedCall> {
        self.state().calls.clone()
    }

    /// Returns the calls that were answered with a complete whole list.
    pub fn complete_whole_lists(&self) -> Vec<RecordedCall> {
        self.whole_lists().into_iter().filter(|c| c.done.is_some()).collect()
    }

    /// Returns the calls that were answered with a whole list or a part of it.
    pub fn whole_lists(&self) -> Vec<RecordedCall> {
        self.calls().into_iter().filter(RecordedCall::is_whole).collect()
    }

    /// Waits until the recorded calls satisfy a condition.
    pub fn wait(&self, what: &str, condition: impl Fn(&[RecordedCall]) -> bool) -> Vec<RecordedCall> {
        let until = Instant::now() + TIMEOUT;
        let mut state = self.state();
        while !condition(&state.calls) {
            if Instant::now() >= until {
                let calls = summary(&state.calls);
                drop(state);
                panic!("timed out waiting for {what}; recorded calls:\n{calls}");
            }
            state = self.shared.1.wait_timeout(state, Duration::from_millis(200)).unwrap().0;
        }
        state.calls.clone()
    }

    /// Waits until an answer is held by its script.
    pub fn wait_held(&self) {
        self.wait("an answer to be held", |calls| calls.iter().any(RecordedCall::is_held));
    }

    /// Waits for a watch since a generation: the sender has applied that generation by then.
    pub fn wait_watch(&self, generation: u64) -> RecordedCall {
        let from = format!("index={generation}&");
        let find = |calls: &[RecordedCall]| calls.iter().find(|c| c.path.contains(&from)).cloned();
        find(&self.wait(&format!("a watch from {generation}"), |calls| find(calls).is_some())).unwrap()
    }

    /// Returns all notices received.
    pub fn notices(&self) -> Vec<Value> {
        notices(&self.calls()).into_iter().map(|(_, notice)| notice).collect()
    }

    /// Waits for the notice of a message; returns when it came, and the notice.
    pub fn wait_for_notice(&self, id: &str) -> (Instant, Value) {
        let find = |calls: &[RecordedCall]| notices(calls).into_iter().find(|(_, n)| n["message"] == id);
        find(&self.wait(&format!("a notice for {id}"), |calls| find(calls).is_some())).unwrap()
    }

    /// Serves one connection.
    fn serve(&self, stream: TcpStream) {
        rustix::net::sockopt::set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES).unwrap();
        let connection = self.change_state(|s| {
            s.connections += 1;
            s.connections
        });
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_message(&mut reader, connection) {
            if self.answer(request, &stream).is_none() {
                return;
            }
        }
    }

    /// Records and answers one request; None once the connection is closed.
    fn answer(&self, request: Request, stream: &TcpStream) -> Option<()> {
        let path = request.start_line.split(' ').nth(1).unwrap_or_default().to_string();
        let call = RecordedCall {
            path: path.clone(),
            body: request.body,
            connection: request.connection,
            at: request.at,
            kind: None,
            sent: 0,
            done: None,
            held: false,
            hung_up: false,
        };
        let number = self.change_state(|s| {
            s.calls.push(call);
            s.calls.len() - 1
        });
        if request.start_line.starts_with("POST /reports ") {
            self.update(number, |c| c.kind = Some(Kind::Notices));
            return self.write(number, stream, b"HTTP/1.1 204 No Content\r\n\r\n", 0);
        }
        match self.wait_for_answer(&path, stream) {
            None => {
                self.update(number, |c| c.hung_up = true);
                None
            }
            Some(ListAnswer { kind, body, delivery }) => {
                self.update(number, |c| c.kind = Some(kind));
                self.send_list(number, stream, &body, &delivery)
            }
        }
    }

    /// Returns the answer to a call for a list, after waiting for a change as long as the call asks; None if
    /// the caller hangs up.
    fn wait_for_answer(&self, path: &str, stream: &TcpStream) -> Option<ListAnswer> {
        let number = |key: &str| {
            let value = path.split(['?', '&']).find_map(|part| part.strip_prefix(key))?;
            value.parse::<u64>().ok()
        };
        let wait = Duration::from_millis(number("wait=").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let changes = number("index=").and_then(|index| state.list.since(index));
            let older = number("index=").is_none_or(|index| index < state.list.latest());
            if older || Instant::now() >= until {
                return Some(match changes {
                    Some(_) if !older => ListAnswer::no_change(state.list.latest()),
                    Some(text) => {
                        let delivery = next(&mut state.change_deliveries);
                        ListAnswer { kind: Kind::Changes, body: Arc::new(text.into_bytes()), delivery }
                    }
                    None => {
                        let delivery = next(&mut state.deliveries);
                        ListAnswer { kind: Kind::Whole, body: state.list.whole(), delivery }
                    }
                });
            }
            state = self.shared.1.wait_timeout(state, HANGUP_CHECK_INTERVAL).unwrap().0;
            if has_hung_up(stream) {
                return None;
            }
        }
    }

    /// Sends a list as its script says; None once the connection is closed.
    fn send_list(&self, number: usize, stream: &TcpStream, body: &[u8], delivery: &Delivery) -> Option<()> {
        let mut first = (body.len() as f64 * delivery.share) as usize;
        let length = match delivery.framing {
            Framing::Length => format!("Content-Length: {}", body.len()),
            Framing::Chunked => "Transfer-Encoding: chunked".to_string(),
        };
        self.write(number, stream, format!("HTTP/1.1 200 OK\r\n{length}\r\n\r\n").as_bytes(), 0)?;
        self.send_body(number, stream, &body[..first], delivery.framing)?;
        match &delivery.then {
            None => {}
            Some(Then::Close) => return None,
            Some(Then::Reset) => {
                rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO)).unwrap();
                return None;
            }
            Some(Then::Silence) => return self.hold(number, stream, || false),
            Some(Then::Hold(gate)) => self.hold(number, stream, || gate.is_open())?,
            Some(Then::Trickle { pauses, each }) => {
                for part in body[first..].chunks((body.len() - first).div_ceil(*pauses)) {
                    std::thread::sleep(*each);
                    self.send_body(number, stream, part, delivery.framing)?;
                }
                first = body.len();
            }
        }
        self.send_body(number, stream, &body[first..], delivery.framing)?;
        if delivery.framing == Framing::Chunked {
            self.write(number, stream, b"0\r\n\r\n", 0)?;
        }
        self.update(number, |c| c.done = Some(Instant::now()));
        Some(())
    }

    /// Holds an answer back until it may go on; None if the caller hangs up before. The call counts as held
    /// from when the caller has read all that was sent.
    fn hold(&self, number: usize, stream: &TcpStream, may_go_on: impl Fn() -> bool) -> Option<()> {
        let (mut read, mut checked) = (false, Instant::now());
        while !may_go_on() {
            std::thread::sleep(HANGUP_CHECK_INTERVAL);
            if !read && checked.elapsed() >= READ_CHECK_INTERVAL {
                (read, checked) = (is_read(stream), Instant::now());
            }
            if read {
                self.update(number, |c| c.held = true);
            }
            if has_hung_up(stream) {
                self.update(number, |c| c.hung_up = true);
                return None;
            }
        }
        Some(())
    }

    fn send_body(&self, number: usize, stream: &TcpStream, part: &[u8], framing: Framing) -> Option<()> {
        for chunk in part.chunks(CHUNK_BYTES) {
            match framing {
                Framing::Length => self.write(number, stream, chunk, chunk.len())?,
                Framing::Chunked => {
                    let mut bytes = format!("{:x}\r\n", chunk.len()).into_bytes();
                    bytes.extend_from_slice(chunk);
                    bytes.extend_from_slice(b"\r\n");
                    self.write(number, stream, &bytes, chunk.len())?;
                }
            }
        }
        Some(())
    }

    /// Writes bytes, of which `body_bytes` belong to the body; None if that fails.
    fn write(&self, number: usize, mut stream: &TcpStream, bytes: &[u8], body_bytes: usize) -> Option<()> {
        let written = stream.write_all(bytes);
        self.update(number, |c| match written {
            Ok(()) => c.sent += body_bytes,
            Err(_) => c.hung_up = true,
        });
        written.ok()
    }

    fn update(&self, number: usize, change: impl FnOnce(&mut RecordedCall)) {
        self.change_state(|s| change(&mut s.calls[number]));
    }
}

/// The answer to a call for a list.
struct ListAnswer {
    kind: Kind,
    body: Arc<Vec<u8>>,
    delivery: Delivery,
}

impl ListAnswer {
    /// Returns an answer to a watch that ends without a change.
    fn no_change(generation: u64) -> ListAnswer {
        let text = format!(r#"{{"generation":{generation},"reset":false,"instances":[]}}"#);
        ListAnswer { kind: Kind::Changes, body: Arc::new(text.into_bytes()), delivery: Delivery::whole() }
    }
}

/// Takes the next script. One that holds stays the next one until its gate is open.
fn next(deliveries: &mut VecDeque<Delivery>) -> Delivery {
    match deliveries.front() {
        None => Delivery::whole(),
        Some(Delivery { then: Some(Then::Hold(gate)), .. }) if !gate.is_open() => deliveries[0].clone(),
        Some(_) => deliveries.pop_front().unwrap(),
    }
}

/// Returns whether the caller has closed its side or reset the connection.
fn has_hung_up(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let hung_up = match stream.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).unwrap();
    hung_up
}

/// Returns whether the other side has read all that was written, by the queues that the kernel reports.
fn is_read(stream: &TcpStream) -> bool {
    let hex = |address: SocketAddr| match address {
        SocketAddr::V4(at) => format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port()),
        SocketAddr::V6(_) => unreachable!("peers use IPv4"),
    };
    let (Ok(here), Ok(there)) = (stream.local_addr(), stream.peer_addr()) else { return false };
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let queues = |from: SocketAddr, to: SocketAddr| {
        let ends = format!(" {} {} ", hex(from), hex(to));
        let line = sockets.lines().find(|line| line.contains(&ends))?;
        // The next fields are the socket's state, and the bytes in its send and receive queues.
        line.split_once(&ends)?.1.split(' ').nth(1)?.split_once(':')
    };
    let is_empty = |count: &str| count.chars().all(|digit| digit == '0');
    queues(here, there).is_some_and(|(send, _)| is_empty(send))
        && queues(there, here).is_some_and(|(_, receive)| is_empty(receive))
}

/// Describes recorded calls, one on each line.
pub fn summary(calls: &[RecordedCall]) -> String {
    let line = |c: &RecordedCall| {
        let since = c.at - calls[0].at;
        let (done, held, hung_up) = (c.done.is_some(), c.held, c.hung_up);
        let body = String::from_utf8_lossy(&c.body);
        format!(
            "{since:?} on connection {}: {} {body} -> {:?}, {} bytes, done {done}, held {held}, \
             caller hung up {hung_up}\n",
            c.connection, c.path, c.kind, c.sent
        )
    };
    calls.iter().map(line).collect()
}

/// Returns all notices, each with the time at which it came.
fn notices(calls: &[RecordedCall]) -> Vec<(Instant, Value)> {
    let posts = calls.iter().filter(|c| c.path == "/reports");
    let lines = posts.flat_map(|c| {
        let text = String::from_utf8_lossy(&c.body).into_owned();
        text.lines().map(|line| (c.at, serde_json::from_str(line).unwrap())).collect::<Vec<_>>()
    });
    lines.collect()
}
