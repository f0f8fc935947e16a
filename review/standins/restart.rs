//! Case: a sender is told to end while half of the endpoints hang. What the next process finds untried, with half of
//! its time left, may not mostly be given up early with no call.
mod common;
use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Full load: 20 messages a second, 5 for each destination, whose limits are 1.2 times that (brief, 6.3). The room is
/// 8 s of that load and the slots are 2.3 times what it keeps busy (brief, 7.3).
const LIMITS: Limits = Limits { memory_mb: 48, sockets: 384, slots: 9, max_open: 159 };
const NAMES: [&str; 4] = ["s-1", "s-2", "s-3", "s-4"];
const RATE: f64 = 6.0;
const MESSAGES_A_SECOND: f64 = 20.0;
/// The endpoints `s-1` and `s-2` hang from and to these times, in seconds from the first message.
const HANG: (f64, f64) = (10.0, 22.0);
/// When SIGTERM is sent.
const TERMINATE: f64 = 11.0;
const TRAFFIC: f64 = 40.0;
/// When everything has ended: the traffic, the longest time of a message and 2 s.
const END: f64 = 62.0;
/// How long a channel takes to be warm again, and the share of its capacity at first (brief, 1.2).
const WARM_UP_S: f64 = 9.3;
const COLD_FROM: f64 = 0.16;
/// A message that ends before this share of its time has ended early (STANDING, The whole fleet).
const EARLY: f64 = 0.7;
/// With fewer messages the case proves nothing.
const LEAST: usize = 10;

/// One message of a client, by its last id.
#[derive(Clone)]
struct HandedIn {
    class: &'static str,
    /// When it was first handed in, and for how long it may be delivered, in seconds.
    born: f64,
    time: f64,
    accepted_at: f64,
}

struct World {
    record: Record,
    /// The time of the record at which traffic begins.
    start: f64,
    hangs: bool,
    /// Messages that were answered 202, by id.
    accepted: Mutex<HashMap<String, HandedIn>>,
    /// When each id was first received by an endpoint.
    called: Mutex<HashMap<String, f64>>,
    classes: Mutex<HashMap<String, &'static str>>,
    done: AtomicBool,
}

impl World {
    fn now(&self) -> f64 {
        self.record.now() - self.start
    }
}

/// An endpoint with a plain rate as its limit: above it 429, seven in ten with a wait of 0.5 s.
fn limited_endpoint(index: usize, world: Arc<Mutex<Option<Arc<World>>>>, record: Record) -> SocketAddr {
    let state = Mutex::new((RATE / 2.0, 0.0f64, Random(index as u64 + 70)));
    serve(move |request| {
        let world = world.lock().unwrap().clone()?;
        let id = request.header("x-trace-id").to_string();
        let now = world.now();
        world.called.lock().unwrap().entry(id.clone()).or_insert(now);
        let hangs = |now: f64| world.hangs && index < 2 && (HANG.0..HANG.1).contains(&now);
        record.line(&format!("{} received {id}{}", NAMES[index], if hangs(now) { " and hangs" } else { "" }));
        if hangs(now) {
            // Neither an answer nor a close.
            std::thread::sleep(Duration::from_secs(90));
            return None;
        }
        let (refused, tells, work) = {
            let mut state = state.lock().unwrap();
            state.0 = (state.0 + (now - state.1) * RATE).min(RATE / 2.0);
            state.1 = now;
            let refused = state.0 < 1.0;
            state.0 -= if refused { 0.0 } else { 1.0 };
            let work = match world.classes.lock().unwrap().get(&id) {
                Some(&"booking") => state.2.between(180, 311),
                _ => state.2.between(120, 201),
            };
            (refused, state.2.between(0, 10) < 7, work as f64 / 1_000.0)
        };
        if refused {
            let wait = if tells { "Retry-After: 0.5\r\n" } else { "" };
            return Some(format!("HTTP/1.1 429 Too Many\r\n{wait}Content-Length: 0\r\n\r\n"));
        }
        // After its outage it is cold.
        let warm = match world.hangs && index < 2 && now >= HANG.1 {
            true => (COLD_FROM + (1.0 - COLD_FROM) * (now - HANG.1) / WARM_UP_S).min(1.0),
            false => 1.0,
        };
        std::thread::sleep(Duration::from_secs_f64(work / warm));
        if hangs(world.now()) {
            std::thread::sleep(Duration::from_secs(90));
            return None;
        }
        record.line(&format!("{} ran {id} and answers 200", NAMES[index]));
        Some(response("200 OK", ""))
    })
}

/// Hands one message in until it is taken on or refused a second time.
fn client(world: &World, sender: SocketAddr, name: &str, class: &'static str, dest: u64, seed: u64) {
    let mut random = Random(seed);
    let (born, time) = (world.now(), if class == "booking" { 16.0 } else { 20.0 });
    let mut refused = 0;
    for hand_in in 0.. {
        let left = born + time - world.now();
        if left < 0.1 || world.done.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{name}{hand_in:02x}");
        world.classes.lock().unwrap().insert(id.clone(), class);
        let answer = TcpStream::connect(sender).ok().and_then(|mut stream| {
            let _ = stream.set_read_timeout(Some(CLIENT_WAIT));
            stream.write_all(&message(&id, class, dest, (left * 1_000.0) as u64, b"room 12")).ok()?;
            read_http(&mut BufReader::new(stream))
        });
        let status = answer.as_ref().map(Http::status);
        let now = world.now();
        world.record.line(&format!("client hears {status:?} for {id} {class} to {dest}"));
        match status {
            Some(202) => {
                world.accepted.lock().unwrap().insert(id, HandedIn { class, born, time, accepted_at: now });
                return;
            }
            // Refused: handed in again at most once (brief, 8.1).
            Some(429 | 503) if refused == 0 => refused = 1,
            Some(_) => return,
            // The sender is away (brief, 8.3).
            None => {}
        }
        std::thread::sleep(Duration::from_millis(random.between(420, 1_900)));
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
    let hangs = trouble();
    record.say(&format!("endpoints that hang while the sender is told to end: {}", if hangs { "2 of 4" } else { "none" }));
    let folder = TemporaryFolder::new();
    let shared = Arc::new(Mutex::new(None));
    let listed: Vec<Listed> = (0..4)
        .map(|index| {
            let address = limited_endpoint(index, shared.clone(), record.clone());
            Listed { name: NAMES[index], address, kind: "flagship", dest: index as u64 + 1, rate: RATE }
        })
        .collect();
    let list = instances(&listed);
    let (agent, notices) = agent(list.clone(), record.clone());
    let mut sender = Sender::start(&folder.0, &LIMITS, agent, &list, &record, None);
    let address = sender.address;
    let world = Arc::new(World {
        record: record.clone(),
        start: record.now(),
        hangs,
        accepted: Mutex::default(),
        called: Mutex::default(),
        classes: Mutex::default(),
        done: AtomicBool::new(false),
    });
    *shared.lock().unwrap() = Some(world.clone());
    let traffic = {
        let (world, tag) = (world.clone(), run_tag());
        std::thread::spawn(move || {
            let mut random = Random(38);
            let (mut at, mut count) = (0.0, 0u64);
            while at < TRAFFIC {
                // Arrivals are a Poisson process.
                let uniform = (random.between(0, 1 << 53) as f64 + 0.5) / (1u64 << 53) as f64;
                at += -uniform.ln() / MESSAGES_A_SECOND;
                std::thread::sleep(Duration::from_secs_f64((at - world.now()).max(0.0)));
                count += 1;
                let class = if random.between(0, 100) < 39 { "booking" } else { "rate-push" };
                let (dest, seed, name) = (1 + random.between(0, 4), random.next(), format!("{tag}{count:06x}"));
                let world = world.clone();
                std::thread::spawn(move || client(&world, address, &name, class, dest, seed));
            }
        })
    };
    let sleep_until = |at: f64| std::thread::sleep(Duration::from_secs_f64((at - world.now()).max(0.0)));
    sleep_until(TERMINATE);
    // The planned restart: SIGTERM, SIGKILL no sooner than 3.7 s later, the next start 0.6 s after it (PROTOCOL, Figures).
    record.line("SIGTERM to the sender");
    extern "C" {
        fn kill(process: i32, signal: i32) -> i32;
    }
    // SAFETY: the process is a child of this one that has not been waited for.
    unsafe { kill(sender.child.id() as i32, 15) };
    let told = Instant::now();
    while sender.ended().is_none() && told.elapsed() < Duration::from_millis(3_700) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let ended_at = world.now();
    record.line(&format!("the sender has ended: {:?}", sender.ended()));
    drop(sender);
    std::thread::sleep(Duration::from_millis(600));
    let mut sender = Sender::start(&folder.0, &LIMITS, agent, &list, &record, Some(address));
    let ready_at = world.now();
    let _ = traffic.join();
    sleep_until(END);
    world.done.store(true, Ordering::SeqCst);
    let end = sender.ended();
    let log = std::fs::read_to_string(folder.0.join("sender.log")).unwrap_or_default();
    drop(sender);
    if let Some(line) = log.lines().find(|l| l.contains("resumed from the journal")) {
        record.line(&format!("the second process logs: {line}"));
    }
    if let Some(how) = end {
        record.say(&format!("the sender has ended: {how}"));
        return 1;
    }
    let field = |line: &str, name: &str| line.split(&format!("\"{name}\":\"")).nth(1).map(|t| t.split('"').next().unwrap_or("").to_string());
    let mut noticed: HashMap<String, (f64, String)> = HashMap::new();
    for (at, line) in notices.lock().unwrap().iter() {
        if let (Some(id), Some(outcome)) = (field(line, "message"), field(line, "outcome")) {
            noticed.entry(id).or_insert((at - world.start, outcome));
        }
    }
    let (accepted, called) = (world.accepted.lock().unwrap().clone(), world.called.lock().unwrap().clone());
    record.say(&format!(
        "{} messages taken on, {} called, {} notices; the next process was ready {:.2} s after the end of the first",
        accepted.len(),
        called.len(),
        noticed.len(),
        ready_at - ended_at
    ));
    // What the restart found untried, with half of its time left: in all, and those that may not be repeated.
    let (mut found, mut given_up) = ([0; 2], [0; 2]);
    for (id, message) in &accepted {
        let untried = called.get(id).is_none_or(|at| *at > ended_at);
        let ended_before = noticed.get(id).is_some_and(|n| n.0 < ready_at);
        let left = message.born + message.time - ready_at;
        if message.accepted_at > ended_at || !untried || ended_before || left < message.time / 2.0 {
            continue;
        }
        let groups = if message.class == "booking" { 0..2 } else { 0..1 };
        groups.clone().for_each(|group| found[group] += 1);
        let early = |at: f64| at - message.born < EARLY * message.time;
        if let Some((at, outcome)) = noticed.get(id).filter(|n| early(n.0) && !called.contains_key(id)) {
            groups.for_each(|group| given_up[group] += 1);
            record.line(&format!(
                "{id} {}: {outcome} with no call {:.1} s after it was handed in, of {} s",
                message.class,
                at - message.born,
                message.time
            ));
        }
    }
    record.say(&format!("found untried with half of their time left: {}; given up early with no call: {}", found[0], given_up[0]));
    record.say(&format!("of these bookings: {}; given up early with no call: {}", found[1], given_up[1]));
    if hangs && found[0] < LEAST {
        record.say("too few were found untried: the play proves nothing");
        return 2;
    }
    let broken = |group: usize| found[group] >= LEAST && given_up[group] * 2 > found[group];
    i32::from(broken(0) || broken(1))
}
