//! A crowd of peers that stop in the middle of a request, and a sender with 32 MB and 1,024 descriptors.
#[path = "../standins-2/lib.rs"]
mod standins;
use standins::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Descriptors of the sender. Clients may hold no more than a third of them for requests (TERMS).
const SOCKETS: u32 = 1_024;
/// Peers that connect without ever finishing a message. With the true client they stay below that third.
const PEERS: usize = 336;
/// What a peer sends of the body that it announces, and how much that is.
const SENT_BODY: usize = 60_000;
const ANNOUNCED_BODY: usize = 65_000;
/// A peer writes pieces of this length, with a short pause after each.
const PIECE: usize = 4_000;
/// When the crowd comes, and the end of the play, in milliseconds.
const CROWD_AT: u64 = 2_000;
const END: u64 = 30_000;

/// A peer: begins a message with headers of less than 8 KiB in all, stops in the middle of its body and stays until
/// the sender ends the connection. Then it comes again at once.
fn peer(number: usize, to: SocketAddr, ended: Arc<AtomicU64>) {
    let mut begun = format!(
        "POST /rate-push HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: peer-{number}\r\nX-Qos: rate-push\r\n\
         X-Expires-In-Ms: 20000\r\nContent-Length: {ANNOUNCED_BODY}\r\nX-Consignee: dest=1\r\n{}\r\n",
        (0..92).map(|n| format!("X-Long-Name-Of-Header-{n}: {}\r\n", "y".repeat(58))).collect::<String>()
    )
    .into_bytes();
    begun.extend(std::iter::repeat(b'x').take(SENT_BODY));
    while ms() < END {
        if let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(3)) {
            for piece in begun.chunks(PIECE) {
                if stream.write_all(piece).is_err() {
                    break;
                }
                sleep_ms(5);
            }
            let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
            let mut rest = [0; 512];
            while matches!(stream.read(&mut rest), Ok(n) if n > 0) {}
            ended.fetch_add(1, Ordering::SeqCst);
        }
        sleep_ms(5);
    }
}

fn main() {
    watchdog(100);
    let record = Record::of_case();
    let endpoint = |name: &'static str| {
        let record = record.clone();
        Server::start(move |request, _| {
            sleep_ms(150);
            record.line(&format!("{name} runs {}", request.header("x-trace-id")));
            Answer::ok()
        })
    };
    let (a, b) = (endpoint("s-a"), endpoint("s-b"));
    let listed = |name: &str, server: &Server| Listed {
        name: name.into(),
        address: server.address,
        cell: 1,
        kind: "flagship",
        lifecycle: "Ready",
        weight: 20.0,
    };
    let agent = Agent::start(&record, vec![listed("s-a", &a), listed("s-b", &b)]);
    let deployment = Deployment { memory_mb: 32, sockets: SOCKETS, ..Deployment::default() };
    let place = Place::new("n0");
    let mut process = place.start(&record, &deployment, agent.address(), &agent.list(), None);
    if !place.await_ready(&record, 20) {
        cannot_run("the sender is not ready");
    }
    let ended = Arc::new(AtomicU64::new(0));
    if trouble() {
        for number in 0..PEERS {
            let (to, ended) = (place.listen, ended.clone());
            let spawned = thread::Builder::new().stack_size(128 << 10).spawn(move || {
                // The crowd gathers within half a second.
                sleep_ms(CROWD_AT.saturating_sub(ms()) + number as u64);
                peer(number, to, ended);
            });
            if spawned.is_err() {
                cannot_run("no thread for a peer");
            }
        }
    }
    let (to, client_record) = (place.listen, record.clone());
    thread::spawn(move || {
        let mut client = Client::new(to);
        for number in 0.. {
            let id = format!("m{number:04}");
            let message =
                Message { id: &id, class: "rate-push", dest: 1, expires_ms: 20_000, body: b"rates" };
            client_record.line(&format!("client hands in {id}"));
            let answer = client.hand_in(&message);
            client_record.line(&format!("client's answer to {id}: {answer:?}"));
            sleep_ms(250);
        }
    });
    // The platform: a sender over `memory_mb` is killed. Files count as memory; pages of the program file don't
    // count here.
    let limit = u64::from(deployment.memory_mb) * 1_024;
    let (mut most, mut next_line) = (0, 0);
    while ms() < END {
        let used = process.memory_kib() + place.files_bytes() / 1_024;
        most = most.max(used);
        if ms() >= next_line {
            next_line = ms() + 500;
            record.line(&format!("memory {used} KiB, {} descriptors", process.descriptors()));
        }
        if used > limit {
            record
                .line(&format!("memory {used} KiB is over the limit of {limit} KiB: the platform kills it"));
            process.kill(&record);
            finish(&record, BROKEN, &format!("killed for memory: {used} KiB of {limit} KiB"));
        }
        if process.has_ended() {
            finish(&record, BROKEN, "the sender has ended by itself");
        }
        sleep_ms(20);
    }
    record.line(&format!("peers' connections that have ended: {}", ended.load(Ordering::SeqCst)));
    finish(&record, HELD, &format!("at most {most} KiB of {limit} KiB"));
}
