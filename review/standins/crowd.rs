//! Case: peers stop in the middle of a long head and stay. The sender has to stay under its limit of memory.
mod common;
use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const LIMITS: Limits = Limits { memory_mb: 32, sockets: 256, slots: 14, max_open: 159 };
/// A third of the descriptors (TERMS, What a sender is given).
const STRANGERS: u32 = LIMITS.sockets / 3;
/// What each stranger sends of a head that it never finishes.
const HEAD_BYTES: usize = 400 << 10;
/// Strangers come at these times, in seconds, and go when the sender closes, or after 6 s.
const WAVES: [u64; 3] = [5, 13, 21];
const TRAFFIC: Duration = Duration::from_secs(30);
const TIME_LEFT_MS: u64 = 9_000;

/// Sends half a head and waits for an error or a close. Returns the seconds from connecting to it.
fn stranger(sender: SocketAddr) -> Option<f64> {
    let connected = Instant::now();
    let mut stream = TcpStream::connect(sender).ok()?;
    let _ = stream.set_write_timeout(Some(Duration::from_secs(6)));
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let mut head = b"POST /rate-push HTTP/1.1\r\nHost: api.internal\r\nX-Padding: ".to_vec();
    head.resize(HEAD_BYTES, b'a');
    if stream.write_all(&head).is_ok() {
        let _ = stream.read(&mut [0; 64]);
    }
    Some(connected.elapsed().as_secs_f64())
}

/// A client that hands in messages on one connection after the other.
fn client(number: u64, sender: SocketAddr, end: Instant, tag: &str, deliveries: &Deliveries, record: &Record) -> Vec<String> {
    let mut random = Random(number + 1);
    let (mut kept, mut accepted): (Option<BufReader<TcpStream>>, Vec<String>) = (None, Vec::new());
    for count in 0u64.. {
        std::thread::sleep(Duration::from_millis(random.between(200, 400)));
        if Instant::now() > end {
            break;
        }
        let id = format!("{tag}{number:02x}{count:06x}");
        deliveries.handed_in.lock().unwrap().insert(id.clone(), "rate-push");
        let Some(mut stream) = kept.take().or_else(|| TcpStream::connect(sender).ok().map(BufReader::new)) else {
            record.line(&format!("client {number}: no connection for {id}"));
            continue;
        };
        let _ = stream.get_ref().set_read_timeout(Some(CLIENT_WAIT));
        let _ = stream.get_mut().write_all(&message(&id, "rate-push", 1, TIME_LEFT_MS, b"rate 88"));
        let answer = read_http(&mut stream);
        record.line(&format!("client {number} hears {:?} for {id}", answer.as_ref().map(Http::status)));
        if answer.as_ref().is_some_and(|a| a.status() == 202) {
            accepted.push(id);
        }
        kept = Some(stream).filter(|_| answer.is_some_and(|a| !a.closes()));
    }
    accepted
}

fn main() {
    let code = run();
    std::process::exit(code)
}

/// Returns the exit code.
fn run() -> i32 {
    let path = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| cannot_run("no record file named")));
    let record = Record::new(&path);
    let strangers = if trouble() { STRANGERS } else { 0 };
    record.say(&format!("strangers: {strangers} at a time; limits: {} MB, {} descriptors", LIMITS.memory_mb, LIMITS.sockets));
    let folder = TemporaryFolder::new();
    let deliveries = Deliveries::default();
    let address = endpoint("s-1", deliveries.clone(), record.clone());
    let list = instances(&[Listed { name: "s-1", address, kind: "flagship", dest: 1, rate: 60.0 }]);
    let (agent, _) = agent(list.clone(), record.clone());
    let mut sender = Sender::start(&folder.0, &LIMITS, agent, &list, &record, None);
    let (process, start, tag) = (sender.child.id(), Instant::now(), run_tag());
    let done = Arc::new(AtomicBool::new(false));
    // The platform: a sender over its limit of memory is killed. Only pages of its own count here, not those of
    // its program file.
    let most = Arc::new(Mutex::new((0.0, false)));
    let platform = {
        let (record, done, most) = (record.clone(), done.clone(), most.clone());
        std::thread::spawn(move || {
            let mut printed = 0.0;
            while !done.load(Ordering::SeqCst) {
                let (Some(own), Some(all)) = (memory_mib(process, "RssAnon"), memory_mib(process, "VmRSS")) else { break };
                if (own - printed as f64).abs() >= 2.0 {
                    record.line(&format!("memory of the sender: {own:.1} MiB of its own, {all:.1} MiB resident"));
                    printed = own;
                }
                let mut most = most.lock().unwrap();
                most.0 = f64::max(most.0, own);
                if own > LIMITS.memory_mb.into() {
                    record.line(&format!("{own:.1} MiB: the platform kills the sender"));
                    most.1 = true;
                    extern "C" {
                        fn kill(process: i32, signal: i32) -> i32;
                    }
                    // SAFETY: the process is a child of this one that has not been waited for.
                    unsafe { kill(process as i32, 9) };
                    break;
                }
                drop(most);
                std::thread::sleep(Duration::from_millis(5));
            }
        })
    };
    let clients: Vec<_> = (0..6u64)
        .map(|number| {
            let (deliveries, record, tag, address) = (deliveries.clone(), record.clone(), tag.clone(), sender.address);
            std::thread::spawn(move || client(number, address, start + TRAFFIC, &tag, &deliveries, &record))
        })
        .collect();
    for at in WAVES {
        std::thread::sleep((start + Duration::from_secs(at)).saturating_duration_since(Instant::now()));
        if strangers > 0 && !most.lock().unwrap().1 {
            record.line(&format!("{strangers} strangers connect, each sends {HEAD_BYTES} bytes of a head"));
        }
        for _ in 0..strangers {
            let (address, record) = (sender.address, record.clone());
            std::thread::spawn(move || {
                if let Some(seconds) = stranger(address) {
                    record.line(&format!("a stranger has its error or close after {seconds:.2} s"));
                }
            });
        }
    }
    let accepted: Vec<String> = clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect();
    std::thread::sleep(Duration::from_secs(2));
    let ended = sender.ended();
    done.store(true, Ordering::SeqCst);
    let _ = platform.join();
    drop(sender);
    let (most, killed) = *most.lock().unwrap();
    let delivered = deliveries.calls.lock().unwrap().len();
    record.say(&format!("{} messages answered 202, {delivered} calls; most memory of its own {most:.1} MiB", accepted.len()));
    if killed {
        record.say(&format!("the sender was over its {} MB and was killed", LIMITS.memory_mb));
        return 1;
    }
    if let Some(how) = ended {
        record.say(&format!("the sender has ended: {how}"));
        return 1;
    }
    if accepted.len() < 100 {
        record.say("too few messages were taken on: the play proves nothing");
        return 2;
    }
    record.say("the sender stayed under its limit of memory");
    0
}
