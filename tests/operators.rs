//! The control address: health checks, and endpoints that operators take out.
mod peers;
use peers::*;
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpStream;

/// Starts a sender that has a control address.
fn start_with_control(discovery: &Discovery) -> Node {
    let control = free_address().to_string();
    Node::start_with(discovery, json!([]), move |c| c["control"] = json!(control))
}

#[test]
fn endpoint_stays_out_over_lists_and_kill_until_put_back() {
    let (one, other) = (Peer::new(|_| ok()), Peer::new(|_| ok()));
    let both = json!([ready("e-1", one.address, 7), ready("e-2", other.address, 7)]);
    let discovery = Discovery::new(both.clone());
    let mut node = start_with_control(&discovery);
    assert_eq!(node.control_status("GET /healthcheck"), 200);
    assert_eq!(node.control_status("PUT /endpoints/e-1/maint"), 200);
    assert_eq!(node.control_status("PUT /endpoints/e-1/maint"), 200, "the request is idempotent");
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
    node.wait_until("no usable endpoint is listed", || node.control_status("GET /healthcheck") == 503);
    assert_eq!(node.control_status("PUT /endpoints/e-1/ready"), 200);
    assert_eq!(node.control_status("PUT /endpoints/e-1/ready"), 200);
    assert_eq!(node.control_status("GET /healthcheck"), 200);
    deliver(&node, &one, "back");
}

#[test]
fn invalid_requests_get_matching_status() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let node = start_with_control(&discovery);
    for (request, status) in [
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
        assert_eq!(node.control_status(request), status, "{request}");
    }
    let status = |bytes: &str| send_request(node.control.unwrap(), bytes.as_bytes()).map(|r| r.start_line);
    assert!(status("no call at all\r\n\r\n").unwrap().contains(" 400 "));
    assert!(status("PUT /endpoints/e-1/maint HTTP/1.1\r\n\r\n").unwrap().contains(" 400 "), "no Host");
    assert!(status("GET /healthcheck HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n").unwrap().contains(" 400 "));
    assert_eq!(node.hand_in("alert", "m", 7, 16_000, b"x"), 202, "no endpoint was taken out");
    endpoint.wait_for("m", 1);
}

#[test]
fn unfinished_requests_do_not_block_others() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let node = start_with_control(&discovery);
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
    assert_eq!(node.control_status("GET /healthcheck"), 200);
    assert!(node.descriptors() <= before + 8, "{} descriptors, {before} before", node.descriptors());
    drop(unfinished);
    assert_eq!(node.hand_in("alert", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for("m", 1);
}

#[test]
fn sender_is_not_ready_after_sigterm() {
    let endpoint = Peer::new(|_| Reply::Hang);
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let mut node = start_with_control(&discovery);
    assert_eq!(node.hand_in("order", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for("m", 1);
    node.terminate();
    node.wait_until("the health check fails", || node.control_status("GET /healthcheck") == 503);
    assert!(node.wait_exit().success());
}

/// Returns the answer to `GET /discovery` as JSON.
fn list_status(node: &Node) -> Value {
    let request = b"GET /discovery HTTP/1.1\r\nHost: x\r\n\r\n";
    let answer = send_request(node.control.unwrap(), request).unwrap();
    assert!(answer.start_line.contains(" 200 "), "{}", answer.start_line);
    serde_json::from_slice(&answer.body).unwrap()
}

/// On-call must be able to tell a silent discovery from one that has nothing new.
#[test]
fn age_of_list_and_reason_of_last_failure_can_be_read() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let node = start_with_control(&discovery);
    let age = || list_status(&node)["confirmed_ms_ago"].as_u64().unwrap();
    node.wait_until("the list is confirmed", || list_status(&node)["generation"] == 1);
    assert_eq!(list_status(&node)["address"], json!(discovery.peer.address.to_string()));
    node.wait_until("the list is confirmed again and again", || age() < 100);
    discovery.silence();
    node.wait_until("the age grows", || age() > 1_000);
    let status = list_status(&node);
    assert!(status["failures_since_confirmed"].as_u64() > Some(1), "{status}");
    assert!(status["calls_out"].as_u64() > Some(1), "{status}");
    assert_eq!(status["last_failure"], "no answer yet");
    assert!(node.log().contains("discovery fails"), "{}", node.log());
    discovery.answer_again();
    node.wait_until("the list is confirmed", || list_status(&node)["failures_since_confirmed"] == 0);
    assert!(node.log().contains("discovery answers again"), "{}", node.log());
    assert_eq!(node.control_status("PUT /discovery"), 405);
}
