//! The new process of an upgrade dies; the old one, which was told to wait, goes on.
#[path = "../standins-2/lib.rs"]
mod standins;
use standins::*;
use std::sync::{Arc, Mutex};

/// Calls that come within this time of the answer are let through; each limit is 50 ms longer on sockets.
const LET_THROUGH: u64 = 100;
const SLACK: u64 = 50;
/// Times of the play, in milliseconds: destination 1 is shut for 10 s (brief 9.2: 7.9 to 24 s).
const SHUT_AT: u64 = 3_000;
const OPENS_AT: u64 = 13_000;
const UPGRADE_AT: u64 = 5_000;
const END: u64 = 15_000;
/// How long after its yes the new process lives.
const NEW_LIVES: u64 = 200;

fn main() {
    watchdog(100);
    let record = Record::of_case();
    // Calls to destination 1 by time, and its answers that tell to wait: time and wait.
    let calls: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
    let waits: Arc<Mutex<Vec<(u64, u64)>>> = Arc::default();
    let endpoint = |name: &'static str, shuts: bool| {
        let (record, calls, waits) = (record.clone(), calls.clone(), waits.clone());
        Server::start(move |request, _| {
            let id = request.header("x-trace-id").to_string();
            record.line(&format!("call to {name} for {id}"));
            if shuts {
                calls.lock().unwrap().push((ms(), id.clone()));
                let now = ms();
                if (SHUT_AT..OPENS_AT).contains(&now) {
                    let wait = OPENS_AT - now;
                    waits.lock().unwrap().push((now, wait));
                    record.line(&format!("{name} is shut: it turns {id} away, to wait for {wait} ms"));
                    return Answer::wait(wait as f64 / 1_000.0);
                }
            }
            sleep_ms(150);
            record.line(&format!("{name} has run {id}"));
            Answer::ok()
        })
    };
    let servers = [("s-1a", 1), ("s-1b", 1), ("s-2a", 2), ("s-2b", 2)]
        .map(|(name, cell)| (name, cell, endpoint(name, cell == 1)));
    let listed = servers.iter().map(|(name, cell, server)| Listed {
        name: name.to_string(),
        address: server.address,
        cell: *cell,
        kind: "flagship",
        lifecycle: "Ready",
        weight: 20.0,
    });
    let agent = Agent::start(&record, listed.collect());
    let deployment = Deployment::default();
    let place = Place::new("n0");
    let start = |control| place.start(&record, &deployment, agent.address(), &agent.list(), Some(control));
    let mut old = start(free_address());
    if !place.await_ready(&record, 20) {
        cannot_run("the sender is not ready");
    }
    let (to, client_record) = (place.listen, record.clone());
    std::thread::spawn(move || {
        let mut client = Client::new(to);
        for number in 0.. {
            let id = format!("m{number:04}");
            let class = if number % 2 == 0 { "booking" } else { "rate-push" };
            let message =
                Message { id: &id, class, dest: 1 + number / 2 % 2, expires_ms: 16_000, body: b"news" };
            let answer = client.hand_in(&message);
            client_record.line(&format!("client's answer to {id}: {answer:?}"));
            sleep_ms(100);
        }
    });
    sleep_ms(UPGRADE_AT.saturating_sub(ms()));
    record.line("upgrade: a second process starts alongside");
    let control = free_address();
    let mut new = start(control);
    let begun = ms();
    while !call(control, "GET", "/healthcheck", 1_000).is_ok_and(|status| status == 200) {
        if ms() > begun + 6_000 {
            cannot_run("the new process is not ready within 6 s");
        }
        sleep_ms(20);
    }
    record.line("the new process says yes");
    if trouble() {
        sleep_ms(NEW_LIVES);
        new.kill(&record);
    } else {
        old.signal(&record, "TERM");
    }
    while ms() < END {
        let survivor = if trouble() { &mut old } else { &mut new };
        if survivor.has_ended() {
            finish(&record, BROKEN, "the surviving process has ended by itself");
        }
        sleep_ms(20);
    }
    let (calls, waits) = (calls.lock().unwrap(), waits.lock().unwrap());
    if waits.is_empty() || waits[0].0 > UPGRADE_AT {
        finish(&record, CANNOT_RUN, "no wait was told before the upgrade");
    }
    for (at, wait) in waits.iter() {
        let within = at + LET_THROUGH + SLACK..at + wait - SLACK.min(*wait);
        if let Some((call, id)) = calls.iter().find(|c| within.contains(&c.0)) {
            let text = format!(
                "told at {at} ms to wait for {wait} ms; called again for {id} after {} ms",
                call - at
            );
            finish(&record, BROKEN, &text);
        }
    }
    finish(&record, HELD, "nothing was sent to destination 1 while it told to wait");
}
