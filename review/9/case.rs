//! The open watch falls silent in the middle of a whole list; the agent answers every other call at once.
#[path = "../standins-2/lib.rs"]
mod standins;
use standins::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The grace of drains (brief 1.1), and the 50 ms by which each limit is longer on sockets, in milliseconds.
const GRACE: u64 = 500;
const SLACK: u64 = 50;
/// Endpoints of the list, all but a few of them of other destinations. The page of the whole fleet has up to 3,200.
const ENDPOINTS: usize = 600;
/// Times of the play, in milliseconds.
const NEW_ENDPOINT_AT: u64 = 4_000;
const DRAIN_AT: u64 = 4_300;
const END: u64 = 9_000;

/// What the agent has.
struct Agent {
    generation: u64,
    listed: Vec<Listed>,
    changes: Vec<(u64, Listed)>,
    /// The next answer is the whole list, and falls silent in its middle.
    silent_once: bool,
}

fn main() {
    watchdog(100);
    let record = Record::of_case();
    let calls: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
    let draining = Arc::new(AtomicBool::new(false));
    let endpoint = |name: &'static str, drains: bool| {
        let (record, calls, draining) = (record.clone(), calls.clone(), draining.clone());
        Server::start(move |request, _| {
            let id = request.header("x-trace-id").to_string();
            record.line(&format!("call to {name} for {id}"));
            if drains {
                calls.lock().unwrap().push((ms(), id.clone()));
                if draining.load(Ordering::SeqCst) {
                    record.line(&format!("{name} drains, and runs {id} all the same"));
                }
            }
            sleep_ms(150);
            record.line(&format!("{name} has run {id}"));
            Answer::ok()
        })
    };
    let (a, b) = (endpoint("s-a", true), endpoint("s-b", false));
    let entry = |name: String, address, cell| Listed {
        name,
        address,
        cell,
        kind: "flagship",
        lifecycle: "Ready",
        weight: 20.0,
    };
    let mut listed = vec![entry("s-a".into(), a.address, 1), entry("s-b".into(), b.address, 1)];
    // No message goes to these; all are at the address of one stand-in.
    listed
        .extend((0..ENDPOINTS - 2).map(|n| entry(format!("s-other-{n:04}"), b.address, 100 + n as u64 / 2)));
    let known = list_json(41, true, &listed);
    record.line(&format!("the whole list has {} bytes", known.len()));
    let state = Arc::new((
        Mutex::new(Agent { generation: 41, listed, changes: Vec::new(), silent_once: false }),
        Condvar::new(),
    ));
    let answered = Arc::new(AtomicU64::new(0));
    let (shared, agent_record, count) = (state.clone(), record.clone(), answered.clone());
    let discovery = Server::start(move |request, _| {
        if request.path == "/reports" {
            return Answer::status(204);
        }
        let query = request.path.split_once('?').map_or("", |q| q.1);
        let value = |name: &str| {
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let until = Instant::now() + Duration::from_millis(value("wait").unwrap_or(0));
        let mut agent = shared.0.lock().unwrap();
        loop {
            let now = Instant::now();
            let index = value("index").unwrap_or(0);
            if index < agent.generation || now >= until {
                count.fetch_add(1, Ordering::SeqCst);
                if agent.silent_once && index < agent.generation {
                    agent.silent_once = false;
                    let list = list_json(agent.generation, true, &agent.listed);
                    agent_record.line(
                        "the open watch is answered with the whole list, and falls silent in its middle",
                    );
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                    return Answer::Raw([head.as_bytes(), &list.as_bytes()[..list.len() / 2]].concat());
                }
                let changed: Vec<Listed> =
                    agent.changes.iter().filter(|c| c.0 > index).map(|c| c.1.clone()).collect();
                if !changed.is_empty() {
                    agent_record.line(&format!(
                        "the agent answers a call from index {index} with {} changes",
                        changed.len()
                    ));
                }
                let body = match index {
                    0 => list_json(agent.generation, true, &agent.listed),
                    _ => list_json(agent.generation, false, &changed),
                };
                return Answer::Status(200, Vec::new(), body);
            }
            agent = shared.1.wait_timeout(agent, until - now).unwrap().0;
        }
    });
    let deployment = Deployment::default();
    let place = Place::new("n0");
    let mut process = place.start(&record, &deployment, discovery.address, &known, None);
    if !place.await_ready(&record, 20) {
        cannot_run("the sender is not ready");
    }
    let mut client = Client::new(place.listen);
    let (mut added, mut told) = (false, None);
    for number in 0.. {
        let now = ms();
        if now >= END {
            break;
        }
        if now >= NEW_ENDPOINT_AT && !added {
            let mut agent = state.0.lock().unwrap();
            agent.generation += 1;
            let new = entry("s-new".into(), b.address, 99);
            agent.listed.push(new.clone());
            let generation = agent.generation;
            agent.changes.push((generation, new));
            agent.silent_once = trouble();
            state.1.notify_all();
            added = true;
        }
        if now >= DRAIN_AT && told.is_none() {
            let mut agent = state.0.lock().unwrap();
            agent.generation += 1;
            agent.listed[0].lifecycle = "Terminating";
            let (generation, entry) = (agent.generation, agent.listed[0].clone());
            agent.changes.push((generation, entry));
            state.1.notify_all();
            draining.store(true, Ordering::SeqCst);
            record.line("the agent has the drain of s-a");
            told = Some(ms());
        }
        let id = format!("m{number:04}");
        let message = Message { id: &id, class: "booking", dest: 1, expires_ms: 16_000, body: b"booking" };
        let answer = client.hand_in(&message);
        record.line(&format!("client's answer to {id}: {answer:?}"));
        sleep_ms(100);
    }
    if process.has_ended() {
        finish(&record, BROKEN, "the sender has ended by itself");
    }
    let told = told.unwrap();
    let calls = calls.lock().unwrap();
    if !calls.iter().any(|c| c.0 < told) {
        finish(&record, CANNOT_RUN, "s-a was never called before it drained");
    }
    let late: Vec<&(u64, String)> = calls.iter().filter(|c| c.0 > told + GRACE + SLACK).collect();
    match late.last() {
        Some((at, id)) => {
            let text = format!(
                "{} late calls to the draining s-a; the last, for {id}, {} ms after the agent had it",
                late.len(),
                at - told
            );
            finish(&record, BROKEN, &text)
        }
        None => finish(&record, HELD, "no call to s-a after its grace"),
    }
}
