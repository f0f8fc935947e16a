//! Measures how long a sender takes to be ready after a crash, also as a multiple of the time to read its
//! files once.
//!
//!     cargo run --release -p testbed --example readiness -- target/release/cairnpulley-sender [journal-file]
//!
//! With `journal-file` the state folders have the format from before the segmented log, to measure older
//! senders or the conversion to the log.
use sender::records::pending::PendingMessages;
use sender::records::{folder, journal_file, unix_time_ms, AcceptedMessage, PendingMessage};
use serde_json::json;
use std::error::Error;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Measurements per size.
const RUNS: usize = 9;
/// Size of a message's body.
const BODY_BYTES: usize = 300;
/// Time after which a watch is answered.
const WATCH_TIME: Duration = Duration::from_secs(5);
/// Time after which a sender counts as never ready.
const READINESS_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns `count` accepted messages without attempts.
fn pending_messages(count: u64) -> PendingMessages {
    let mut pending = PendingMessages::default();
    for id in 0..count {
        let accepted = AcceptedMessage {
            id,
            class: "order".into(),
            tenant: "acme".into(),
            dest: 9,
            trace_id: format!("{id:016x}"),
            idempotency_key: None,
            deadline_ms: unix_time_ms() + 600_000,
            body: vec![7; BODY_BYTES].into(),
        };
        pending.insert(PendingMessage {
            accepted: Rc::new(accepted),
            attempts: Vec::new(),
            undelivered: None,
        });
    }
    pending
}

/// Starts a stub discovery service whose list has one endpoint, which no message is for.
///
/// It answers a request without a wait at once, and a watch after `WATCH_TIME`.
fn discovery() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    Ok(at)
}

fn serve(mut stream: TcpStream) {
    let list = json!({"generation": 1, "reset": true, "instances": [{"instanceId": "e-1",
        "hostPort": "127.0.0.1:9", "zone": "z", "machineType": "plain", "cell": 1, "lifecycle": "Ready",
        "weight": 1.0, "startedAtMs": 0}]})
    .to_string();
    let Ok(read) = stream.try_clone() else { return };
    let mut lines = BufReader::new(read).lines();
    while let Some(Ok(first)) = lines.next() {
        if !lines.by_ref().map_while(Result::ok).any(|line| line.is_empty()) {
            return;
        }
        if first.contains("wait=") {
            std::thread::sleep(WATCH_TIME);
        }
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn is_ready(at: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(at) else { return false };
    let mut head = [0; 12];
    stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").is_ok()
        && stream.read_exact(&mut head).is_ok()
        && head.ends_with(b"200")
}

/// Returns the seconds that reading all files of a folder takes.
fn read_seconds(folder: &Path) -> Result<f64, Box<dyn Error>> {
    let start = Instant::now();
    let mut bytes = 0;
    let mut folders = vec![folder.to_path_buf()];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder)? {
            let entry = entry?;
            match entry.file_type()?.is_dir() {
                true => folders.push(entry.path()),
                false => bytes += std::fs::read(entry.path())?.len(),
            }
        }
    }
    std::hint::black_box(bytes);
    Ok(start.elapsed().as_secs_f64())
}

/// Measures the seconds until readiness, and those to read the state folder once just before.
fn measure(
    sender: &str,
    messages: u64,
    file: bool,
    discovery: SocketAddr,
) -> Result<(f64, f64), Box<dyn Error>> {
    let work = tempfile::tempdir()?;
    let state = work.path().join("state");
    let pending = pending_messages(messages);
    if file {
        std::fs::create_dir(&state)?;
        std::fs::write(state.join("journal"), journal_file::write(pending.messages().values()))?;
    } else {
        folder::write(work.path(), &pending, "n0", &state)?;
    }
    let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let class = json!({"Name": "order", "PromiseNs": 3_000_000_000u64, "DeadlineNs": 900_000_000_000u64,
        "Effect": "unsafe", "DedupScope": "all", "WindowNs": 15_000_000_000u64, "Worth": 1, "LateWorth": 0.3});
    let config = json!({"name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "1", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 64},
        "known": {"generation": 0, "reset": true, "instances": []},
        "settings": {"NInstances": 1, "TickNs": 5_000_000, "Kinds": ["plain"], "Localities": ["z"],
            "Realms": [{"Name": "acme", "QuotaPerS": 100.0}], "Weights": "silent",
            "FamilyInfo": {"CallsOut": 16, "KindBatch": [1], "SeparateRoutes": [false]},
            "Feedback": {"Source": "piggyback", "Fields": []},
            "Limits": {"MaxOpen": 50_000, "MaxAttempts": 3, "Cancel": true, "IdleCloseNs": 20_000_000_000u64,
                "DialTimeoutNs": 1_000_000_000, "MaxRetryAfterNs": 3_000_000_000u64},
            "Safety": {"StartCapacity": 0.26, "ColdNs": 9_500_000_000u64, "FallMultiple": 1.5,
                "OverloadForNs": 2_000_000_000}, "Services": [class]}});
    let path = work.path().join("config.json");
    std::fs::write(&path, config.to_string())?;
    let read = read_seconds(&state)?;
    let start = Instant::now();
    let mut child = Command::new(sender)
        .env("EDGE_STATE", &state)
        .env("EDGE_CONFIG", &path)
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    let ready = loop {
        if is_ready(listen) {
            break Ok(start.elapsed().as_secs_f64());
        }
        if start.elapsed() > READINESS_TIMEOUT {
            break Err("the sender is not ready within the timeout");
        }
        std::thread::sleep(Duration::from_micros(200));
    };
    child.kill()?;
    child.wait()?;
    Ok((ready?, read))
}

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let sender = args.first().ok_or("missing argument: the path of a sender")?;
    let file = args.get(1).is_some_and(|form| form == "journal-file");
    let discovery = discovery()?;
    println!("messages  ready (ms, median)  least  most  reading once (ms)  multiple");
    for messages in [0, 300, 1_000, 20_000] {
        let mut runs: Vec<(f64, f64)> = Vec::new();
        for _ in 0..RUNS {
            runs.push(measure(sender, messages, file, discovery)?);
        }
        runs.sort_by(|a, b| a.0.total_cmp(&b.0));
        let ms = |seconds: f64| seconds * 1e3;
        let (ready, read) = runs[RUNS / 2];
        let (least, most) = (runs[0].0, runs[RUNS - 1].0);
        println!(
            "{messages:8}  {:18.1}  {:5.1}  {:4.1}  {:17.2}  {:8.1}",
            ms(ready),
            ms(least),
            ms(most),
            ms(read),
            ready / read
        );
    }
    Ok(())
}
