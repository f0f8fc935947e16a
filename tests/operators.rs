//! The control address: health checks, and endpoints that operators take out.
mod peers;
use peers::*;
use serde_json::json;
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
