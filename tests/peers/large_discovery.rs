//! A discovery with large lists: each answer with a whole list is scripted, chunk by chunk, and every request is
//! remembered with what it was answered.
use super::peers::{read_message, Request, TIMEOUT};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Bytes of a body written at a time.
const CHUNK: usize = 16 << 10;
/// Of the answering side: what is written beyond it and the other side's buffer has been read there.
const SEND_BUFFER: usize = 64 << 10;
/// How often a held answer looks whether its caller has gone, and whether it has read all.
const LOOK: Duration = Duration::from_millis(10);
const LOOK_CLOSELY: Duration = Duration::from_millis(50);

/// What is held waits for it.
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

/// How the length of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
}

/// What comes after the part of a body that is sent.
#[derive(Clone)]
pub enum Then {
    /// The rest, once the gate is open. Until then each further call is answered so, as a caller may be tired of
    /// waiting.
    Hold(Gate),
    /// Nothing, and the connection stays.
    Silence,
    /// The rest, bit by bit, with so many pauses.
    Trickle { pauses: usize, each: Duration },
    /// The connection's end, as one that closes in order.
    Close,
    /// The connection's end, as one that is torn.
    Reset,
}

/// How a list is answered: this share of its body, and then what.
#[derive(Clone)]
pub struct Delivery {
    pub framing: Framing,
    pub share: f64,
    pub then: Option<Then>,
}

impl Delivery {
    pub fn whole() -> Delivery {
        Delivery { framing: Framing::Length, share: 1.0, then: None }
    }

    pub fn until(share: f64, then: Then) -> Delivery {
        Delivery { share, then: Some(then), ..Delivery::whole() }
    }

    pub fn framed(self, framing: Framing) -> Delivery {
        Delivery { framing, ..self }
    }
}

/// What a request was answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A whole list, or a part of it.
    Whole,
    /// What changed, perhaps nothing.
    Changes,
    Notices,
}

/// One request, and how far its answer came.
#[derive(Clone, Debug)]
pub struct Asked {
    pub path: String,
    pub body: Vec<u8>,
    pub connection: usize,
    pub at: Instant,
    /// None while it waits.
    pub kind: Option<Kind>,
    /// Bytes of the body written so far.
    pub sent: usize,
    /// When the last byte was written.
    pub done: Option<Instant>,
    /// All that its script tells to send before it holds was sent, and read.
    pub holds: bool,
    /// The caller has closed the connection before it was answered whole.
    pub left: bool,
}

impl Asked {
    pub fn is_whole(&self) -> bool {
        self.kind == Some(Kind::Whole)
    }

    /// It is held now.
    pub fn is_held(&self) -> bool {
        self.holds && !self.left && self.done.is_none()
    }
}

/// The list as it stands, and how it came to be so.
struct Listed {
    /// The version from which on the changes are known.
    first: u64,
    /// The whole list as it was last asked for, and its version.
    body: Arc<Vec<u8>>,
    body_is_of: u64,
    changes: Vec<(u64, Vec<Value>)>,
}

impl Listed {
    fn new(generation: u64, body: Vec<u8>) -> Listed {
        Listed { first: generation, body: Arc::new(body), body_is_of: generation, changes: Vec::new() }
    }

    fn latest(&self) -> u64 {
        self.changes.last().map_or(self.first, |(generation, _)| *generation)
    }

    /// The changes since that version, if they are known.
    fn since(&self, index: u64) -> Option<String> {
        if index < self.first {
            return None;
        }
        let news = self.changes.iter().filter(|(generation, _)| *generation > index);
        let entries: Vec<&Value> = news.flat_map(|(_, entries)| entries).collect();
        let entries = serde_json::to_string(&entries).unwrap();
        Some(format!(r#"{{"generation":{},"reset":false,"instances":{entries}}}"#, self.latest()))
    }

    fn change(&mut self, entries: Vec<Value>) -> u64 {
        let generation = self.latest() + 1;
        self.changes.push((generation, entries));
        generation
    }

    /// The whole list as it is now.
    fn whole(&mut self) -> Arc<Vec<u8>> {
        let latest = self.latest();
        if latest > self.body_is_of {
            let whole: Value = serde_json::from_slice(&self.body).unwrap();
            let before = whole["instances"].as_array().unwrap().iter();
            let news = self.changes.iter().filter(|(generation, _)| *generation > self.body_is_of);
            let all = before.chain(news.flat_map(|(_, entries)| entries));
            let named = |entry: &Value| entry["instanceId"].as_str().unwrap_or_default().to_string();
            let last: BTreeMap<String, &Value> = all.map(|entry| (named(entry), entry)).collect();
            let listed = last.values().filter(|entry| entry["lifecycle"] != "Gone");
            let listed: Vec<String> = listed.map(|entry| entry.to_string()).collect();
            (self.body, self.body_is_of) = (Arc::new(body(latest, &listed)), latest);
        }
        self.body.clone()
    }
}

struct State {
    listed: Listed,
    deliveries: VecDeque<Delivery>,
    change_deliveries: VecDeque<Delivery>,
    asked: Vec<Asked>,
    connections: usize,
}

#[derive(Clone)]
pub struct LargeDiscovery {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// A body of a whole list, with its entries as they are.
pub fn body(generation: u64, entries: &[String]) -> Vec<u8> {
    format!(r#"{{"generation":{generation},"reset":true,"instances":[{}]}}"#, entries.join(",")).into_bytes()
}

impl LargeDiscovery {
    pub fn new(generation: u64, body: Vec<u8>) -> LargeDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let listed = Listed::new(generation, body);
        let state = State {
            listed,
            deliveries: VecDeque::new(),
            change_deliveries: VecDeque::new(),
            asked: Vec::new(),
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

    /// The next whole list that is asked for is answered so; further calls are for those after it.
    pub fn deliver(&self, delivery: Delivery) {
        self.change_state(|s| s.deliveries.push_back(delivery));
    }

    /// The same for the next call that brings changes.
    pub fn deliver_change(&self, delivery: Delivery) {
        self.change_state(|s| s.change_deliveries.push_back(delivery));
    }

    /// From now on lists are answered whole; what is held goes on being held.
    pub fn deliver_whole(&self) {
        self.change_state(|s| {
            s.deliveries.clear();
            s.change_deliveries.clear();
        });
    }

    /// Another whole list, which watches are told as well.
    pub fn replace(&self, generation: u64, body: Vec<u8>) {
        let listed = Listed::new(generation, body);
        self.change_state(|s| s.listed = listed);
    }

    /// A change on top of the list, told to watches.
    pub fn change(&self, entries: Vec<Value>) -> u64 {
        self.change_state(|s| s.listed.change(entries))
    }

    pub fn asked(&self) -> Vec<Asked> {
        self.state().asked.clone()
    }

    /// Whole lists that were answered to their end.
    pub fn wholes_done(&self) -> Vec<Asked> {
        self.wholes().into_iter().filter(|a| a.done.is_some()).collect()
    }

    /// Requests that were answered with a whole list or a part of it.
    pub fn wholes(&self) -> Vec<Asked> {
        self.asked().into_iter().filter(Asked::is_whole).collect()
    }

    /// Waits until what was asked satisfies `enough`.
    pub fn wait(&self, what: &str, enough: impl Fn(&[Asked]) -> bool) -> Vec<Asked> {
        let until = Instant::now() + TIMEOUT;
        let mut state = self.state();
        while !enough(&state.asked) {
            if Instant::now() >= until {
                let asked = summary(&state.asked);
                drop(state);
                panic!("waited in vain for {what}; asked:\n{asked}");
            }
            state = self.shared.1.wait_timeout(state, Duration::from_millis(200)).unwrap().0;
        }
        state.asked.clone()
    }

    /// Waits until an answer is held where its script says.
    pub fn wait_held(&self) {
        self.wait("an answer to be held", |asked| asked.iter().any(Asked::is_held));
    }

    /// Waits until a call goes on from that version: what it brought has been taken in.
    pub fn wait_watch(&self, generation: u64) -> Asked {
        let from = format!("index={generation}&");
        let find = |asked: &[Asked]| asked.iter().find(|a| a.path.contains(&from)).cloned();
        find(&self.wait(&format!("a watch from {generation}"), |asked| find(asked).is_some())).unwrap()
    }

    pub fn notices(&self) -> Vec<Value> {
        notices(&self.asked()).into_iter().map(|(_, notice)| notice).collect()
    }

    /// Waits for a message's notice; it, and when it came.
    pub fn wait_for_notice(&self, id: &str) -> (Instant, Value) {
        let of = |asked: &[Asked]| notices(asked).into_iter().find(|(_, n)| n["message"] == id);
        of(&self.wait(&format!("a notice for {id}"), |asked| of(asked).is_some())).unwrap()
    }

    fn serve(&self, stream: TcpStream) {
        rustix::net::sockopt::set_socket_send_buffer_size(&stream, SEND_BUFFER).unwrap();
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

    /// None where the connection has ended.
    fn answer(&self, request: Request, stream: &TcpStream) -> Option<()> {
        let path = request.start_line.split(' ').nth(1).unwrap_or_default().to_string();
        let asked = Asked {
            path: path.clone(),
            body: request.body,
            connection: request.connection,
            at: request.at,
            kind: None,
            sent: 0,
            done: None,
            holds: false,
            left: false,
        };
        let number = self.change_state(|s| {
            s.asked.push(asked);
            s.asked.len() - 1
        });
        if request.start_line.starts_with("POST /reports ") {
            self.update(number, |a| a.kind = Some(Kind::Notices));
            return self.write(number, stream, b"HTTP/1.1 204 No Content\r\n\r\n", 0);
        }
        match self.news(&path, stream) {
            None => {
                self.update(number, |a| a.left = true);
                None
            }
            Some(News { kind, body, delivery }) => {
                self.update(number, |a| a.kind = Some(kind));
                self.send_list(number, stream, &body, &delivery)
            }
        }
    }

    /// What a call for a list is answered; waits as it says. None where its caller has gone.
    fn news(&self, path: &str, stream: &TcpStream) -> Option<News> {
        let number = |key: &str| {
            let value = path.split(['?', '&']).find_map(|part| part.strip_prefix(key))?;
            value.parse::<u64>().ok()
        };
        let wait = Duration::from_millis(number("wait=").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let changes = number("index=").and_then(|index| state.listed.since(index));
            let older = number("index=").is_none_or(|index| index < state.listed.latest());
            if older || Instant::now() >= until {
                return Some(match changes {
                    Some(_) if !older => News::nothing(state.listed.latest()),
                    Some(text) => {
                        let delivery = next(&mut state.change_deliveries);
                        News { kind: Kind::Changes, body: Arc::new(text.into_bytes()), delivery }
                    }
                    None => {
                        let delivery = next(&mut state.deliveries);
                        News { kind: Kind::Whole, body: state.listed.whole(), delivery }
                    }
                });
            }
            state = self.shared.1.wait_timeout(state, LOOK).unwrap().0;
            if has_left(stream) {
                return None;
            }
        }
    }

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
        self.update(number, |a| a.done = Some(Instant::now()));
        Some(())
    }

    /// Waits until it may go on; None where its caller leaves before. It is held from when the caller has read all
    /// that was sent.
    fn hold(&self, number: usize, stream: &TcpStream, may_go_on: impl Fn() -> bool) -> Option<()> {
        let (mut read, mut looked) = (false, Instant::now());
        while !may_go_on() {
            std::thread::sleep(LOOK);
            if !read && looked.elapsed() >= LOOK_CLOSELY {
                (read, looked) = (is_read(stream), Instant::now());
            }
            if read {
                self.update(number, |a| a.holds = true);
            }
            if has_left(stream) {
                self.update(number, |a| a.left = true);
                return None;
            }
        }
        Some(())
    }

    fn send_body(&self, number: usize, stream: &TcpStream, part: &[u8], framing: Framing) -> Option<()> {
        for chunk in part.chunks(CHUNK) {
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

    /// Writes; so many of the bytes are the body's.
    fn write(&self, number: usize, mut stream: &TcpStream, bytes: &[u8], of_body: usize) -> Option<()> {
        let written = stream.write_all(bytes);
        self.update(number, |a| match written {
            Ok(()) => a.sent += of_body,
            Err(_) => a.left = true,
        });
        written.ok()
    }

    fn update(&self, number: usize, change: impl FnOnce(&mut Asked)) {
        self.change_state(|s| change(&mut s.asked[number]));
    }
}

struct News {
    kind: Kind,
    body: Arc<Vec<u8>>,
    delivery: Delivery,
}

impl News {
    fn nothing(generation: u64) -> News {
        let text = format!(r#"{{"generation":{generation},"reset":false,"instances":[]}}"#);
        News { kind: Kind::Changes, body: Arc::new(text.into_bytes()), delivery: Delivery::whole() }
    }
}

/// The next one by the script. One that holds stays the next one until its gate is open.
fn next(deliveries: &mut VecDeque<Delivery>) -> Delivery {
    match deliveries.front() {
        None => Delivery::whole(),
        Some(Delivery { then: Some(Then::Hold(gate)), .. }) if !gate.is_open() => deliveries[0].clone(),
        Some(_) => deliveries.pop_front().unwrap(),
    }
}

/// Whether the caller has closed its side, or reset the connection.
fn has_left(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let left = match stream.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).unwrap();
    left
}

/// Whether the other side has read all that was written.
fn is_read(stream: &TcpStream) -> bool {
    let hex = |address: SocketAddr| match address {
        SocketAddr::V4(at) => format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port()),
        SocketAddr::V6(_) => unreachable!("peers are on IPv4"),
    };
    let (Ok(here), Ok(there)) = (stream.local_addr(), stream.peer_addr()) else { return false };
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let waits = |from: SocketAddr, to: SocketAddr| {
        let ends = format!(" {} {} ", hex(from), hex(to));
        let line = sockets.lines().find(|line| line.contains(&ends))?;
        // Its state, and then what waits to be sent and to be read.
        line.split_once(&ends)?.1.split(' ').nth(1)?.split_once(':')
    };
    let is_empty = |count: &str| count.chars().all(|digit| digit == '0');
    waits(here, there).is_some_and(|(send, _)| is_empty(send))
        && waits(there, here).is_some_and(|(_, receive)| is_empty(receive))
}

/// One line for each request.
pub fn summary(asked: &[Asked]) -> String {
    let line = |a: &Asked| {
        let since = a.at - asked[0].at;
        let (done, holds, left) = (a.done.is_some(), a.holds, a.left);
        let body = String::from_utf8_lossy(&a.body);
        format!(
            "{since:?} on connection {}: {} {body} -> {:?}, {} bytes, done {done}, held {holds}, left {left}\n",
            a.connection, a.path, a.kind, a.sent
        )
    };
    asked.iter().map(line).collect()
}

/// Notices, each with the time at which it came.
fn notices(asked: &[Asked]) -> Vec<(Instant, Value)> {
    let posts = asked.iter().filter(|a| a.path == "/reports");
    let lines = posts.flat_map(|a| {
        let text = String::from_utf8_lossy(&a.body).into_owned();
        text.lines().map(|line| (a.at, serde_json::from_str(line).unwrap())).collect::<Vec<_>>()
    });
    lines.collect()
}
