//! Case: clients' connections are reset under requests that have begun. A booking may take effect only once.
mod common;
use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const CLIENTS: u64 = 8;
/// How long clients hand in messages.
const TRAFFIC: Duration = Duration::from_secs(40);
/// Each client's pause between two messages, in ms: about 30 messages a second in all.
const PAUSE_MS: (u64, u64) = (150, 350);
/// Of the requests on kept connections one in this number is reset.
const RESET_ONE_IN: u64 = 10;
/// A reset follows the last byte of its request within this time, in microseconds.
const RESET_WITHIN_US: u64 = 200;
/// Every message may be delivered for so long.
const TIME_LEFT_MS: u64 = 9_000;

fn set_reset_on_close(stream: &TcpStream) {
    // SO_LINGER with a time of 0: closing the socket resets the connection.
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }
    use std::os::fd::AsRawFd;
    let linger = [1i32, 0];
    // SAFETY: the descriptor is open, and the value is a `struct linger` of two integers.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

/// The link between clients and the sender. It passes bytes on at once. If `reset` is set it passes the next
/// request on in full and then resets both connections.
fn link(sender: SocketAddr, reset: Arc<[AtomicBool]>, record: &Record) -> Vec<SocketAddr> {
    let start = |client: usize| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("link: {e}")));
        let address = listener.local_addr().unwrap();
        let (reset, record) = (reset.clone(), record.clone());
        std::thread::spawn(move || {
            let mut random = Random(99 + client as u64);
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(sender) else {
                    set_reset_on_close(&near);
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (reset, record, seed) = (reset.clone(), record.clone(), random.next());
                std::thread::spawn(move || relay(near, far, &reset[client], &record, Random(seed)));
            }
        });
        address
    };
    (0..reset.len()).map(start).collect()
}

fn relay(mut near: TcpStream, mut far: TcpStream, reset: &AtomicBool, record: &Record, mut random: Random) {
    let (Ok(mut from_far), Ok(mut to_near)) = (far.try_clone(), near.try_clone()) else { return };
    let cut = Arc::new(AtomicBool::new(false));
    let is_cut = cut.clone();
    let back = std::thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(n) = from_far.read(&mut buffer) {
            // What the sender answers after the reset doesn't come through.
            if n == 0 || is_cut.load(Ordering::SeqCst) || to_near.write_all(&buffer[..n]).is_err() {
                break;
            }
        }
        if !is_cut.load(Ordering::SeqCst) {
            let _ = to_near.shutdown(Shutdown::Write);
        }
    });
    let mut buffer = [0; 4096];
    // A client writes each request at once and waits for its answer, so one read is one request.
    while let Ok(n) = near.read(&mut buffer) {
        if n == 0 {
            break;
        }
        let resets = reset.swap(false, Ordering::SeqCst);
        if resets {
            cut.store(true, Ordering::SeqCst);
        }
        if far.write_all(&buffer[..n]).is_err() {
            break;
        }
        if resets {
            let (passed_on, after) = (Instant::now(), random.between(0, RESET_WITHIN_US));
            while passed_on.elapsed() < Duration::from_micros(after) {
                std::hint::spin_loop();
            }
            reset_now(near, far);
            let head = String::from_utf8_lossy(&buffer[..n]).into_owned();
            let id = head.split("X-Trace-Id: ").nth(1).and_then(|t| t.split('\r').next()).unwrap_or("").to_string();
            record.line(&format!("the link resets both sides {after} us after the last byte of {id}"));
            return;
        }
    }
    let _ = far.shutdown(Shutdown::Both);
    let _ = back.join();
}

/// Resets both connections at once, although another thread still reads from one and so keeps it open.
fn reset_now(near: TcpStream, far: TcpStream) {
    // Connecting a TCP socket to an address of no family disconnects it, which resets the connection.
    extern "C" {
        fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    }
    use std::os::fd::AsRawFd;
    let unspecified = [0u8; 16];
    for stream in [&far, &near] {
        // SAFETY: the descriptor is open, and 16 zero bytes are an address of family AF_UNSPEC.
        unsafe { connect(stream.as_raw_fd(), unspecified.as_ptr(), 16) };
    }
}

/// How a hand-in ended for the client.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Heard {
    Status(u16),
    NoAnswer,
    Broken,
}

struct Client {
    link: SocketAddr,
    kept: Option<BufReader<TcpStream>>,
}

impl Client {
    fn exchange(stream: &mut BufReader<TcpStream>, bytes: &[u8], until: Instant) -> Result<Http, Heard> {
        let _ = stream.get_ref().set_read_timeout(Some(
            until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)),
        ));
        if stream.get_mut().write_all(bytes).is_err() {
            return Err(Heard::Broken);
        }
        match read_http(stream) {
            Some(answer) => Ok(answer),
            None if Instant::now() >= until => Err(Heard::NoAnswer),
            None => Err(Heard::Broken),
        }
    }

    /// Hands in one message by the protocol: on a kept connection if there is one. If that one ends without an
    /// answer before the wait is over, the request goes once more on a new connection.
    fn hand_in(&mut self, bytes: &[u8], mut once_more: impl FnMut()) -> Heard {
        let until = Instant::now() + CLIENT_WAIT;
        if let Some(mut stream) = self.kept.take() {
            match Client::exchange(&mut stream, bytes, until) {
                Ok(answer) => return self.keep(stream, answer),
                Err(Heard::NoAnswer) => return Heard::NoAnswer,
                Err(_) => once_more(),
            }
        }
        let Ok(stream) = TcpStream::connect(self.link) else { return Heard::Broken };
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        match Client::exchange(&mut stream, bytes, until) {
            Ok(answer) => self.keep(stream, answer),
            Err(heard) => heard,
        }
    }

    fn keep(&mut self, stream: BufReader<TcpStream>, answer: Http) -> Heard {
        if !answer.closes() {
            self.kept = Some(stream);
        }
        Heard::Status(answer.status())
    }
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
    record.say(&format!("requests reset: {}", if trouble { "one in 10 on kept connections" } else { "none" }));
    let folder = TemporaryFolder::new();
    let deliveries = Deliveries::default();
    let listed = [("s-1", "flagship", 1), ("s-2", "flagship", 1), ("s-3", "independent", 2)].map(|(name, kind, dest)| {
        let address = endpoint(name, deliveries.clone(), record.clone());
        Listed { name, address, kind, dest, rate: 60.0 }
    });
    let list = instances(&listed);
    let (agent, notices) = agent(list.clone(), record.clone());
    let limits = Limits { memory_mb: 48, sockets: 384, slots: 14, max_open: 159 };
    let mut sender = Sender::start(&folder.0, &limits, agent, &list, &record, None);
    let reset: Arc<[AtomicBool]> = (0..CLIENTS).map(|_| AtomicBool::new(false)).collect();
    let links = link(sender.address, reset.clone(), &record);
    let (end, tag) = (Instant::now() + TRAFFIC, run_tag());
    let resets_made = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (deliveries, record, reset) = (deliveries.clone(), record.clone(), reset.clone());
            let (link, tag, resets_made) = (links[number as usize], tag.clone(), resets_made.clone());
            std::thread::spawn(move || {
                let mut random = Random(number + 1);
                let mut client = Client { link, kept: None };
                let mut heard = Vec::new();
                for count in 0u64.. {
                    std::thread::sleep(Duration::from_millis(random.between(PAUSE_MS.0, PAUSE_MS.1)));
                    if Instant::now() > end {
                        break;
                    }
                    let id = format!("{tag}{number:02x}{count:06x}");
                    // 39% of the messages are bookings, which go to the flagship only (brief, section 5).
                    let (class, dest) = match random.between(0, 100) {
                        0..39 => ("booking", 1),
                        _ => ("rate-push", 1 + random.between(0, 2)),
                    };
                    deliveries.handed_in.lock().unwrap().insert(id.clone(), class);
                    let resets = trouble && client.kept.is_some() && random.between(0, RESET_ONE_IN) == 0;
                    if resets {
                        resets_made[usize::from(class == "booking")].fetch_add(1, Ordering::SeqCst);
                        reset[number as usize].store(true, Ordering::SeqCst);
                    }
                    record.line(&format!("client {number} hands in {id} {class}, reset: {resets}"));
                    let bytes = message(&id, class, dest, TIME_LEFT_MS, b"room 12");
                    let ended = client.hand_in(&bytes, || {
                        record.line(&format!("client {number}: kept connection broke under {id}; once more on a new one"))
                    });
                    reset[number as usize].store(false, Ordering::SeqCst);
                    record.line(&format!("client {number} hears {ended:?} for {id}"));
                    heard.push((id, class, ended));
                }
                heard
            })
        })
        .collect();
    let heard: Vec<_> = clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect();
    std::thread::sleep(Duration::from_millis(TIME_LEFT_MS.min(3_000)));
    if let Some(how) = sender.ended() {
        record.say(&format!("the sender has ended: {how}"));
        return 1;
    }
    drop(sender);
    let mut calls: HashMap<String, Vec<CallSeen>> = HashMap::new();
    for call in deliveries.calls.lock().unwrap().iter() {
        calls.entry(call.id.clone()).or_default().push(call.clone());
    }
    let accepted = heard.iter().filter(|h| h.2 == Heard::Status(202)).count();
    let bookings = heard.iter().filter(|h| h.1 == "booking").count();
    let [rate_pushes_reset, bookings_reset] = [0, 1].map(|i: usize| resets_made[i].load(Ordering::SeqCst));
    record.say(&format!(
        "{} messages, {bookings} of them bookings, {accepted} answered 202; {} requests reset, {bookings_reset} of them bookings; {} calls, {} notices",
        heard.len(),
        rate_pushes_reset + bookings_reset,
        calls.values().map(Vec::len).sum::<usize>(),
        notices.lock().unwrap().len()
    ));
    if accepted * 2 < heard.len() {
        record.say("fewer than half of the messages were taken on: the play proves nothing");
        return 2;
    }
    let mut twice = 0;
    for (id, class, ended) in &heard {
        let Some(calls) = calls.get(id).filter(|c| *class == "booking" && c.len() > 1) else { continue };
        twice += 1;
        let times: Vec<String> = calls.iter().map(|c| format!("{} at {:.4} s", c.endpoint, c.at)).collect();
        record.line(&format!("booking {id} ran {} times: {}; its client heard {ended:?}", calls.len(), times.join(", ")));
    }
    record.say(&format!("bookings that took effect twice: {twice}"));
    i32::from(twice > 0)
}
