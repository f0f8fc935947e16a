//! Upgrades: a second process takes over from the one that runs, and either may die at any point.
mod peers;
use peers::*;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Holds answers back until it is opened.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn open(&self) {
        *self.0 .0.lock().unwrap() = true;
        self.0 .1.notify_all();
    }

    fn wait(&self) {
        let closed = self.0 .0.lock().unwrap();
        drop(self.0 .1.wait_timeout_while(closed, TIMEOUT, |open| !*open).unwrap());
    }
}

/// An endpoint that says when a call has come and answers it once the gate is open.
fn gated() -> (Peer, Gate, Arc<AtomicBool>) {
    let (gate, called) = (Gate::default(), Arc::new(AtomicBool::new(false)));
    let (wait, call) = (gate.clone(), called.clone());
    let peer = Peer::new(move |_| {
        call.store(true, Ordering::SeqCst);
        wait.wait();
        ok()
    });
    (peer, gate, called)
}

fn with_control(discovery: &Discovery) -> Node {
    let control = free_address().to_string();
    Node::start_with(discovery, json!([]), move |c| c["control"] = json!(control))
}

fn connect(node: &Node) -> (TcpStream, BufReader<TcpStream>) {
    let stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let reader = BufReader::new(stream.try_clone().unwrap());
    (stream, reader)
}

fn taken_on(reader: &mut BufReader<TcpStream>) {
    assert!(read_message(reader, 0).expect("an answer").start_line.contains(" 202 "));
}

#[test]
fn connections_calls_and_messages_outlast_the_old_process() {
    let (slow, gate, called) = gated();
    let quick = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", slow.address, 1), ready("e-2", quick.address, 2)]));
    let mut node = with_control(&discovery);
    // Idle, in the middle of a head, and in the middle of a body.
    let (mut idle, mut idle_in) = connect(&node);
    idle.write_all(&message("alert", "a0", 2, 16_000, b"x")).unwrap();
    taken_on(&mut idle_in);
    let (mut head, mut head_in) = connect(&node);
    let (first, second) = (message("order", "h", 2, 16_000, b"x"), message("order", "b", 2, 16_000, b"body"));
    head.write_all(&first[..20]).unwrap();
    let (mut body, mut body_in) = connect(&node);
    body.write_all(&second[..second.len() - 2]).unwrap();
    // An unsafe call that is out.
    assert_eq!(node.hand_in("order", "out", 1, 16_000, b"x"), 202);
    node.wait_until("the call is out", || called.load(Ordering::SeqCst));

    let mut old = node.upgrade();
    idle.write_all(&message("alert", "a1", 2, 16_000, b"x")).unwrap();
    taken_on(&mut idle_in);
    head.write_all(&first[20..]).unwrap();
    taken_on(&mut head_in);
    body.write_all(&second[second.len() - 2..]).unwrap();
    taken_on(&mut body_in);
    // It passes on as well, now that its request is over.
    body.write_all(&message("alert", "b1", 2, 16_000, b"x")).unwrap();
    taken_on(&mut body_in);
    gate.open();
    assert!(old.finish().success());
    for (stream, reader, id) in
        [(&mut idle, &mut idle_in, "a2"), (&mut head, &mut head_in, "h2"), (&mut body, &mut body_in, "b2")]
    {
        stream.write_all(&message("alert", id, 2, 16_000, b"x")).unwrap();
        taken_on(reader);
    }
    for id in ["a0", "a1", "h", "b", "b1", "a2", "h2", "b2"] {
        assert_eq!(quick.wait_for(id, 1).len(), 1, "{id}");
    }
    assert_eq!(slow.wait_for("out", 1).len(), 1);
    // The new process knows that it was delivered.
    node.kill();
    node.restart();
    assert_eq!(node.hand_in("alert", "last", 2, 16_000, b"x"), 202);
    quick.wait_for("last", 1);
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
    assert_eq!(slow.seen().len(), 1);
}

#[test]
fn a_told_wait_and_the_calls_out_bind_both_processes() {
    const WAIT: Duration = Duration::from_secs(3);
    let endpoint = Peer::new(move |_| answer("429 Wait", "Retry-After: 3\r\n", ""));
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let mut node = with_control(&discovery);
    assert_eq!(node.hand_in("alert", "m", 7, 16_000, b"x"), 202);
    let told = endpoint.wait_for("m", 1).remove(0).at;
    endpoint.script(|_| ok());
    let mut old = node.upgrade();
    assert!(old.finish().success());
    assert_eq!(node.hand_in("alert", "n", 7, 16_000, b"x"), 202);
    endpoint.wait_for("n", 1);
    let after = endpoint.wait_for("m", 2)[1].at - told;
    assert!(after >= WAIT, "{after:?}");

    // Slots: with every one of the destination's taken by calls of the old process the new one sends nothing.
    let (slow, gate, called) = gated();
    let discovery = Discovery::new(json!([ready("e-1", slow.address, 7)]));
    let mut node = with_control(&discovery);
    (0..12).for_each(|i| assert_eq!(node.hand_in("alert", &format!("m{i}"), 7, 16_000, b"x"), 202));
    node.wait_until("calls are out", || called.load(Ordering::SeqCst));
    let _old = node.upgrade();
    let before = slow.connections();
    assert_eq!(node.hand_in("alert", "more", 7, 16_000, b"x"), 202);
    assert_eq!(slow.connections(), before, "three quarters of 16 slots are out");
    gate.open();
    slow.wait_for("more", 1);
}

#[test]
fn where_the_new_process_dies_the_old_one_goes_on_with_all_that_it_took_on() {
    let (slow, gate, called) = gated();
    let discovery = Discovery::new(json!([ready("e-1", slow.address, 7)]));
    let mut node = with_control(&discovery);
    let old = node.upgrade();
    assert_eq!(node.hand_in("alert", "m", 7, 16_000, b"x"), 202);
    node.wait_until("the call is out", || called.load(Ordering::SeqCst));
    node.kill();
    node.switch_back_to(&old);
    // The listener stayed open all the time: this waits for the old process at worst.
    assert_eq!(node.hand_in("alert", "n", 7, 16_000, b"x"), 202);
    gate.open();
    slow.wait_for("m", 2);
    slow.wait_for("n", 1);
    node.wait_until("it is ready", || node.control("GET /healthcheck") == 200);
}

#[test]
fn where_the_old_process_dies_its_calls_have_broken_off() {
    let (slow, gate, called) = gated();
    let quick = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", slow.address, 1), ready("e-2", quick.address, 2)]));
    let mut node = with_control(&discovery);
    assert_eq!(node.hand_in("order", "unsafe", 1, 16_000, b"x"), 202);
    assert_eq!(node.hand_in("alert", "keyed", 1, 16_000, b"x"), 202);
    node.wait_until("a call is out", || called.load(Ordering::SeqCst));
    let mut old = node.upgrade();
    old.kill();
    gate.open();
    assert_eq!(discovery.wait_for_notice("unsafe")["outcome"], "given_up");
    slow.wait_for("keyed", 2);
    assert_eq!(node.hand_in("order", "m", 2, 16_000, b"x"), 202);
    quick.wait_for("m", 1);
    assert_eq!(slow.wait_for("unsafe", 1).len(), 1);
}

#[test]
fn what_operators_tell_either_process_holds_for_both() {
    let (one, other) = (Peer::new(|_| ok()), Peer::new(|_| ok()));
    let discovery = Discovery::new(json!([ready("e-1", one.address, 7), ready("e-2", other.address, 7)]));
    let mut node = with_control(&discovery);
    let mut old = node.upgrade();
    let before = old.control.unwrap();
    assert_eq!(control_call(before, "GET /healthcheck"), Some(200));
    assert_eq!(control_call(before, "PUT /endpoints/e-9/maint"), Some(404));
    assert_eq!(control_call(before, "PUT /endpoints/e-1/maint"), Some(200));
    for i in 0..4 {
        assert_eq!(node.hand_in("alert", &format!("m{i}"), 7, 16_000, b"x"), 202);
        other.wait_for(&format!("m{i}"), 1);
    }
    assert!(old.finish().success());
    let mut old = node.upgrade();
    assert!(old.finish().success());
    assert_eq!(node.hand_in("alert", "n", 7, 16_000, b"x"), 202);
    other.wait_for("n", 1);
    assert!(one.seen().is_empty());
}

#[test]
fn with_new_settings_the_new_process_goes_on_from_the_journal() {
    let (slow, gate, called) = gated();
    let discovery = Discovery::new(json!([ready("e-1", slow.address, 7)]));
    let mut node = with_control(&discovery);
    assert_eq!(node.hand_in("alert", "m", 7, 16_000, b"x"), 202);
    node.wait_until("the call is out", || called.load(Ordering::SeqCst));
    node.config["settings"]["FamilyInfo"]["CallsOut"] = json!(4);
    let mut old = node.upgrade();
    gate.open();
    slow.wait_for("m", 2);
    assert!(old.finish().success());
    assert_eq!(node.hand_in("alert", "n", 7, 16_000, b"x"), 202);
    slow.wait_for("n", 1);
}

#[test]
fn a_sender_that_cannot_be_asked_to_hand_over_serves_all_the_same() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let mut node = with_control(&discovery);
    node.kill();
    std::fs::remove_file(node.state().join("handover")).unwrap();
    std::fs::create_dir(node.state().join("handover")).unwrap();
    node.restart();
    assert_eq!(node.control("GET /healthcheck"), 200);
    assert_eq!(node.hand_in("alert", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for("m", 1);
}

#[test]
fn an_upgrade_while_discovery_is_silent_serves_destinations_without_work_as_before() {
    let (one, other) = (Peer::new(|_| ok()), Peer::new(|_| ok()));
    let discovery = Discovery::new(json!([ready("e-1", one.address, 7), ready("e-2", other.address, 8)]));
    let mut node = with_control(&discovery);
    assert_eq!(node.hand_in("alert", "before", 7, 16_000, b"x"), 202);
    one.wait_for("before", 1);
    discovery.silence();
    let mut old = node.upgrade();
    assert_eq!(node.hand_in("alert", "active", 7, 16_000, b"x"), 202);
    assert_eq!(node.hand_in("alert", "without work", 8, 16_000, b"x"), 202);
    one.wait_for("active", 1);
    other.wait_for("without work", 1);
    assert!(old.finish().success());
}
