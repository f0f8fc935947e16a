//! Plays clients against endpoints some of whose answers bring more than belongs to them: a second copy or
//! noise straight after a good answer, when no other request waits on the connection.
mod peers;
use fastrand::Rng;
use peers::*;
use serde_json::{json, Value};
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const SEED: u64 = 41;
const CLIENTS: u64 = 10;
/// How long clients hand in messages.
const TRAFFIC: Duration = Duration::from_secs(8);
/// Each client's pause between two messages, in ms.
const PAUSE_MS: std::ops::Range<u64> = 60..140;
const TIME_LEFT_MS: u64 = 4_000;
/// How long an endpoint works on a message, in ms.
const WORK_MS: std::ops::Range<u64> = 20..60;
/// Slots of the sender: few enough that messages wait for a call to end, so that connections are used again
/// at once.
const SLOTS: u64 = 4;

const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const NOISE: &str = "\u{7f}noise HTTP\r\n";

/// What an endpoint writes after a good answer, and when.
#[derive(Clone, Copy, Debug)]
enum Surplus {
    /// In the same write as the answer.
    Together(&'static str),
    /// In a write of its own, after a pause.
    Apart(&'static str, Duration),
}

/// What all endpoints have seen.
#[derive(Default)]
struct Record {
    /// How often each message has run.
    runs: Mutex<HashMap<String, usize>>,
    /// Messages whose own call was answered with a good answer.
    delivered: Mutex<HashSet<String>>,
    surpluses: AtomicUsize,
    /// Calls that came on a connection after a surplus was written to it.
    calls_after_surplus: Mutex<Vec<String>>,
}

impl Record {
    fn messages_run_twice(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|(_, &count)| count > 1).map(|(id, _)| id.clone()).collect()
    }
}

fn start_endpoint(record: &Arc<Record>) -> SocketAddr {
    static CONNECTIONS: AtomicU64 = AtomicU64::new(0);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let record = record.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            let number = CONNECTIONS.fetch_add(1, Ordering::SeqCst);
            spawn(move || serve(stream, &record, Rng::with_seed(SEED << 32 | number)));
        }
    });
    address
}

fn serve(mut stream: TcpStream, record: &Record, mut random: Rng) {
    stream.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut after: Option<Surplus> = None;
    while let Some(call) = read_message(&mut reader, 0) {
        let id = call.id().to_string();
        if let Some(surplus) = after {
            record.calls_after_surplus.lock().unwrap().push(format!("{id} after {surplus:?}"));
        }
        sleep(Duration::from_millis(random.u64(WORK_MS)));
        if random.u8(..100) == 0 {
            if stream.write_all(REFUSED.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if is_closed(&stream) {
            // The sender has given the call up: the message does not run.
            return;
        }
        *record.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        let surplus = draw_surplus(&mut random);
        let together = match surplus {
            Some(Surplus::Together(bytes)) => bytes,
            _ => "",
        };
        if stream.write_all(format!("{GOOD}{together}").as_bytes()).is_err() {
            return;
        }
        record.delivered.lock().unwrap().insert(id);
        if let Some(Surplus::Apart(bytes, pause)) = surplus {
            let until = Instant::now() + pause;
            while Instant::now() < until {
                std::hint::spin_loop();
            }
            if has_unread_bytes(&stream) {
                // Another request waits on the connection.
                continue;
            }
            if stream.write_all(bytes.as_bytes()).is_err() {
                return;
            }
        }
        if surplus.is_some() {
            record.surpluses.fetch_add(1, Ordering::SeqCst);
            after = after.or(surplus);
        }
    }
}

/// One good answer in four has a surplus.
fn draw_surplus(random: &mut Rng) -> Option<Surplus> {
    if random.u8(..4) != 0 {
        return None;
    }
    let bytes = if random.bool() { GOOD } else { NOISE };
    Some(match random.u8(..3) {
        0 => Surplus::Together(bytes),
        _ => Surplus::Apart(bytes, Duration::from_micros(random.u64(..1_000))),
    })
}

/// Looks for bytes that were not read, without waiting.
fn peek(stream: &TcpStream) -> std::io::Result<usize> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    peeked
}

fn has_unread_bytes(stream: &TcpStream) -> bool {
    peek(stream).is_ok_and(|count| count > 0)
}

fn is_closed(stream: &TcpStream) -> bool {
    match peek(stream) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Hands in messages on a kept connection until the traffic ends. Returns the ids of those accepted.
fn run_client(number: u64, sender: SocketAddr, end: Instant) -> Vec<String> {
    let mut random = Rng::with_seed(SEED << 16 | number);
    let mut stream = TcpStream::connect(sender).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut accepted = Vec::new();
    for count in 0.. {
        sleep(Duration::from_millis(random.u64(PAUSE_MS)));
        if Instant::now() > end {
            break;
        }
        let id = format!("m-{number}-{count}");
        let class = if random.u8(..10) < 4 { "order" } else { "alert" };
        let dest = 1 + random.u64(..2);
        stream.write_all(&message(class, &id, dest, TIME_LEFT_MS, b"room 12")).unwrap();
        let reply = read_message(&mut reader, 0).expect("a reply");
        if reply.start_line.contains(" 202 ") {
            accepted.push(id);
        }
    }
    accepted
}

/// Guards against lost messages and bookings that run twice: bytes that came after a good answer were taken
/// for the answer to the next call on the connection.
#[test]
fn surplus_after_good_answers_ends_connection_and_loses_no_message() {
    let record = Arc::new(Record::default());
    let listed: Vec<Value> =
        (0..4).map(|index| ready(&format!("e-{index}"), start_endpoint(&record), 1 + index % 2)).collect();
    let discovery = Discovery::new(json!(listed));
    let node = Node::start_with(&discovery, json!([]), |config| {
        config["settings"]["FamilyInfo"]["CallsOut"] = json!(SLOTS);
        config["settings"]["Limits"]["MaxOpen"] = json!(200);
    });
    let (sender, end) = (node.address, Instant::now() + TRAFFIC);
    let clients: Vec<_> = (0..CLIENTS).map(|number| spawn(move || run_client(number, sender, end))).collect();
    let accepted: Vec<String> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    sleep(Duration::from_millis(TIME_LEFT_MS + 1_000));
    let noticed: HashSet<String> =
        discovery.notices().iter().filter_map(|n| Some(n["message"].as_str()?.to_string())).collect();
    let delivered = record.delivered.lock().unwrap().clone();
    let lost: Vec<&String> =
        accepted.iter().filter(|id| !delivered.contains(*id) && !noticed.contains(*id)).collect();
    let twice = record.messages_run_twice();
    let after_surplus = record.calls_after_surplus.lock().unwrap().clone();
    println!(
        "{} accepted, {} delivered, {} notices, {} surpluses; lost: {lost:?}; run twice: {twice:?}; \
         calls after a surplus: {} {after_surplus:?}",
        accepted.len(),
        delivered.len(),
        noticed.len(),
        record.surpluses.load(Ordering::SeqCst),
        after_surplus.len()
    );
    assert!(accepted.len() > 200 && record.surpluses.load(Ordering::SeqCst) > 20);
    assert_eq!((lost.len(), twice.len(), after_surplus.len()), (0, 0, 0));
}

/// Guards against needless new connections: a surplus was taken for the endpoint's close of an idle
/// connection, and others were closed after a short idle time from then on.
#[test]
fn surplus_does_not_shorten_idle_time_of_other_connections() {
    let calls = Arc::new(Mutex::new(Vec::new()));
    let (listener, seen) = (TcpListener::bind("127.0.0.1:0").unwrap(), calls.clone());
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let (mut stream, seen) = (stream, seen.clone());
            spawn(move || {
                while read_message(&mut reader, number).is_some() {
                    stream.write_all(GOOD.as_bytes()).unwrap();
                    seen.lock().unwrap().push(number);
                    if number == 0 {
                        sleep(Duration::from_millis(20));
                        let _ = stream.write_all(NOISE.as_bytes());
                    }
                }
            });
        }
    });
    let discovery = Discovery::new(json!([ready("e-1", address, 7)]));
    let node = Node::start(&discovery);
    for id in ["first", "second", "third"] {
        let expected = calls.lock().unwrap().len() + 1;
        assert_eq!(node.hand_in("alert", id, 7, 16_000, b"x"), 202);
        node.wait_until("the message is delivered", || calls.lock().unwrap().len() >= expected);
        // Longer than the least idle time.
        sleep(Duration::from_millis(300));
    }
    assert_eq!(*calls.lock().unwrap(), [0, 1, 1], "the connection of each call");
}
