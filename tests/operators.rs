//! The second address, from outside: healthchecks, and endpoints that operators take out.
mod peers;
use peers::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;

fn with_control(discovery: &Discovery) -> Node {
    let control = free_address().to_string();
    Node::start_with(discovery, json!([]), move |c| c["control"] = json!(control))
}

#[test]
fn an_endpoint_taken_out_stays_out_over_lists_and_a_kill_until_it_is_put_back() {
    let (one, other) = (Peer::new(|_| ok()), Peer::new(|_| ok()));
    let both = json!([ready("e-1", one.address, 7), ready("e-2", other.address, 7)]);
    let discovery = Discovery::new(both.clone());
    let mut node = with_control(&discovery);
    assert_eq!(node.control("GET /healthcheck"), 200);
    assert_eq!(node.control("PUT /endpoints/e-1/maint"), 200);
    assert_eq!(node.control("PUT /endpoints/e-1/maint"), 200, "calls repeat safely");
    let deliver = |node: &Node, peer: &Peer, id: &str| {
        assert_eq!(node.hand_in("alert", id, 7, 16_000, b"x"), 202);
        peer.wait_for(id, 1);
    };
    let several =
        |node: &Node, round: &str| (0..4).for_each(|i| deliver(node, &other, &format!("{round}{i}")));
    several(&node, "a");
    discovery.set(json!([ready("e-2", other.address, 7)]));
    discovery.set(both);
    several(&node, "b");
    node.kill();
    node.restart();
    several(&node, "c");
    assert!(one.seen().is_empty());
    discovery.set(json!([ready("e-1", one.address, 7)]));
    node.wait_until("nothing is left to deliver to", || node.control("GET /healthcheck") == 503);
    assert_eq!(node.control("PUT /endpoints/e-1/ready"), 200);
    assert_eq!(node.control("PUT /endpoints/e-1/ready"), 200);
    assert_eq!(node.control("GET /healthcheck"), 200);
    deliver(&node, &one, "back");
}

#[test]
fn calls_that_are_not_right_get_a_fitting_no() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let node = with_control(&discovery);
    for (call, status) in [
        ("PUT /endpoints/e-9/maint", 404),
        ("PUT /endpoints/e-9/ready", 404),
        ("PUT /endpoints//maint", 404),
        ("PUT /endpoints/e-1", 404),
        ("PUT /endpoints/e-1/maint/x", 404),
        ("PUT /endpoints/e-1/drain", 404),
        ("GET /", 404),
        ("POST /healthcheck", 405),
        ("GET /endpoints/e-1/maint", 405),
    ] {
        assert_eq!(node.control(call), status, "{call}");
    }
    let status = |bytes: &str| send_request(node.control.unwrap(), bytes.as_bytes()).map(|r| r.start_line);
    assert!(status("no call at all\r\n\r\n").unwrap().contains(" 400 "));
    assert!(status("PUT /endpoints/e-1/maint HTTP/1.1\r\n\r\n").unwrap().contains(" 400 "), "no Host");
    assert!(status("GET /healthcheck HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n").unwrap().contains(" 400 "));
    assert_eq!(node.hand_in("alert", "m", 7, 16_000, b"x"), 202, "nothing was taken out");
    endpoint.wait_for("m", 1);
}

#[test]
fn callers_that_finish_nothing_keep_nobody_out() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let node = with_control(&discovery);
    let before = node.descriptors();
    let unfinished: Vec<TcpStream> = (0..100)
        .map(|i| {
            let mut stream = TcpStream::connect(node.control.unwrap()).unwrap();
            if i % 2 == 0 {
                stream.write_all(b"PUT /endpoints/e-1/maint HTTP/1.1\r\nHost: x\r\n").unwrap();
            }
            stream
        })
        .collect();
    assert_eq!(node.control("GET /healthcheck"), 200);
    assert!(node.descriptors() <= before + 8, "{} descriptors, {before} before", node.descriptors());
    drop(unfinished);
    assert_eq!(node.hand_in("alert", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for("m", 1);
}

#[test]
fn a_sender_told_to_end_is_no_longer_ready() {
    let endpoint = Peer::new(|_| Reply::Hang);
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let mut node = with_control(&discovery);
    assert_eq!(node.hand_in("order", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for("m", 1);
    node.terminate();
    node.wait_until("it says no", || node.control("GET /healthcheck") == 503);
    assert!(node.wait_exit().success());
}
