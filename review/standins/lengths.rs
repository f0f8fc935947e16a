//! Case: a peer sends a request whose body has two lengths, after empty lines. It is owed an error or a close, and
//! no endpoint may get its message.
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

const TRAFFIC: Duration = Duration::from_secs(20);
const TIME_LEFT_MS: u64 = 5_000;
const STRANGERS: u32 = 8;

/// What one stranger got: the status of its answer, or None for a close.
fn stranger(sender: SocketAddr, id: &str, before: &str) -> Option<u16> {
    // By its Content-Length the body has 12 bytes, by its Transfer-Encoding 2.
    let request = format!(
        "{before}POST /rate-push HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {id}\r\nX-Qos: rate-push\r\n\
         X-Expires-In-Ms: {TIME_LEFT_MS}\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\
         X-Consignee: dest=1\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
    );
    let mut stream = TcpStream::connect(sender).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    stream.write_all(request.as_bytes()).ok()?;
    read_http(&mut BufReader::new(stream)).map(|answer| answer.status())
}

fn main() {
    let code = run();
    std::process::exit(code)
}

/// Returns the exit code.
fn run() -> i32 {
    let path = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| cannot_run("no record file named")));
    let record = Record::new(&path);
    let trouble = trouble();
    record.say(&format!("strangers: {}", if trouble { STRANGERS } else { 0 }));
    let folder = TemporaryFolder::new();
    let deliveries = Deliveries::default();
    let address = endpoint("s-1", deliveries.clone(), record.clone());
    let list = instances(&[Listed { name: "s-1", address, kind: "flagship", dest: 1, rate: 60.0 }]);
    let (agent, _) = agent(list.clone(), record.clone());
    let limits = Limits { memory_mb: 48, sockets: 384, slots: 14, max_open: 159 };
    let mut sender = Sender::start(&folder.0, &limits, agent, &list, &record, None);
    let (start, tag, address) = (Instant::now(), run_tag(), sender.address);
    let strangers = {
        let (tag, record) = (tag.clone(), record.clone());
        std::thread::spawn(move || {
            let mut taken_on = 0;
            for number in 0..if trouble { STRANGERS } else { 0 } {
                std::thread::sleep(Duration::from_secs(2));
                // Every second one sends two empty lines first.
                let before = if number % 2 == 0 { "" } else { "\r\n\r\n" };
                let id = format!("{tag}ffff{number:04x}");
                record.line(&format!("stranger {number} sends {id}, a body of two lengths, after {before:?}"));
                let heard = stranger(address, &id, before);
                record.say(&format!("stranger {number} with {id}, after {before:?}: {heard:?}"));
                taken_on += u32::from(heard.is_some_and(|status| status < 400));
            }
            taken_on
        })
    };
    let (mut random, mut accepted, mut count) = (Random(3), 0, 0);
    while start.elapsed() < TRAFFIC {
        std::thread::sleep(Duration::from_millis(random.between(50, 150)));
        count += 1;
        let id = format!("{tag}{count:08x}");
        deliveries.handed_in.lock().unwrap().insert(id.clone(), "rate-push");
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_read_timeout(Some(CLIENT_WAIT));
        let _ = stream.write_all(&message(&id, "rate-push", 1, TIME_LEFT_MS, b"rate 88"));
        let heard = read_http(&mut BufReader::new(stream)).map(|answer| answer.status());
        record.line(&format!("client hears {heard:?} for {id}"));
        accepted += u32::from(heard == Some(202));
    }
    let taken_on = strangers.join().unwrap_or(0);
    std::thread::sleep(Duration::from_secs(1));
    let ended = sender.ended();
    drop(sender);
    let calls = deliveries.calls.lock().unwrap().clone();
    let stray: Vec<&CallSeen> = calls.iter().filter(|c| !c.known).collect();
    record.say(&format!("{count} messages of clients, {accepted} answered 202; {} calls", calls.len()));
    for call in &stray {
        record.say(&format!("{} got {} with a body of {} bytes, which no client handed in", call.endpoint, call.id, call.body_bytes));
    }
    record.say(&format!("requests of strangers taken on: {taken_on}; their messages at endpoints: {}", stray.len()));
    if let Some(how) = ended {
        record.say(&format!("the sender has ended: {how}"));
        return 1;
    }
    if accepted * 2 < count {
        record.say("fewer than half of the messages were taken on: the play proves nothing");
        return 2;
    }
    i32::from(taken_on > 0 || !stray.is_empty())
}
