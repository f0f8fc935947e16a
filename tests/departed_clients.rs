//! Tests that what is read behind a client's end is not acted upon, and that an id runs once when it comes
//! again after its client has left.
mod peers;
use peers::*;
use serde_json::json;
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

const DESTINATION: u64 = 7;
const TIME_LEFT_MS: u64 = 4_000;
/// More requests than the sender reads at once; the system keeps the rest.
const PIPELINED: usize = 400;
/// How long calls are watched after the end.
const WATCHED: Duration = Duration::from_millis(1_500);

/// How a client ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It closes: its end comes behind the requests.
    Close,
    /// It resets the connection.
    Reset,
}

fn id(prefix: &str, number: usize) -> String {
    format!("{prefix}-{number}")
}

/// Sends many requests at once without reading an answer, and ends the connection after a pause.
fn send_and_leave(sender: SocketAddr, prefix: &str, pause: Duration, end: End) {
    let mut stream = TcpStream::connect(sender).unwrap();
    stream.set_nodelay(true).unwrap();
    let requests: Vec<u8> = (0..PIPELINED)
        .flat_map(|n| message("order", &id(prefix, n), DESTINATION, TIME_LEFT_MS, b"x"))
        .collect();
    // What does not fit into the system's buffers was not sent.
    stream.set_nonblocking(true).unwrap();
    let _ = stream.write(&requests);
    sleep(pause);
    match end {
        End::Close => {}
        End::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
    }
}

fn sender_with_endpoint() -> (Peer, Discovery, Node) {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, DESTINATION)]));
    let node = Node::start_with(&discovery, json!([]), |config| {
        config["limits"]["disk_mb"] = json!(30);
        config["settings"]["Limits"]["MaxOpen"] = json!(1_000);
    });
    (endpoint, discovery, node)
}

/// Guards against requests that are sent on after their client has closed its connection with all of them, or
/// much, still unread: the sender stands still while the client sends them and leaves.
#[test]
fn requests_behind_a_clients_end_are_not_sent_on() {
    for end in [End::Close, End::Reset] {
        let (endpoint, _discovery, node) = sender_with_endpoint();
        node.pause();
        send_and_leave(node.address, "behind", Duration::ZERO, end);
        node.resume();
        sleep(WATCHED);
        let calls: Vec<String> = endpoint.seen().iter().map(|call| call.id().to_string()).collect();
        assert!(calls.is_empty(), "{end:?}: {} calls, {calls:?}", calls.len());
    }
}

/// Guards against an id that runs twice when it comes again after its client has left.
#[test]
fn ids_that_come_again_after_their_client_has_left_run_once() {
    for end in [End::Close, End::Reset] {
        for pause_ms in [0, 1, 5, 20] {
            let (endpoint, _discovery, node) = sender_with_endpoint();
            send_and_leave(node.address, "again", Duration::from_millis(pause_ms), end);
            for number in 0..PIPELINED {
                node.hand_in("order", &id("again", number), DESTINATION, TIME_LEFT_MS, b"x");
            }
            wait_until_settled(&node, &endpoint);
            let mut runs: HashMap<String, usize> = HashMap::new();
            endpoint.seen().iter().for_each(|call| *runs.entry(call.id().to_string()).or_default() += 1);
            let twice = runs.values().filter(|&&count| count > 1).count();
            println!("{end:?} after {pause_ms} ms: {} ids ran, {twice} of them twice", runs.len());
            assert_eq!(twice, 0, "{end:?} after {pause_ms} ms");
        }
    }
}

/// A client that waits for its answers and sends many requests at once gets them all, in order.
#[test]
fn pipelined_requests_of_a_client_that_stays_are_answered() {
    let (endpoint, _discovery, node) = sender_with_endpoint();
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let requests: Vec<u8> =
        (0..50).flat_map(|n| message("order", &id("stays", n), DESTINATION, TIME_LEFT_MS, b"x")).collect();
    stream.write_all(&requests).unwrap();
    let mut answers = String::new();
    let mut buffer = [0; 4 << 10];
    while answers.matches("HTTP/1.1 202").count() < 50 {
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "the connection ended: {answers}");
        answers.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    let is_one = |call: &&Request| call.id().starts_with("stays-");
    endpoint.wait("all 50 messages", |seen| seen.iter().filter(is_one).count() >= 50);
    wait_until_settled(&node, &endpoint);
    assert_eq!(endpoint.seen().iter().filter(is_one).count(), 50);
}
