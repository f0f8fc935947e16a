//! The real sender against stub servers over loopback. Tests wait for events, not for fixed times.
mod peers;
use base64::Engine;
use peers::*;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An endpoint that answers its first call with `first` and all others with 200.
fn first_then_ok(first: impl Fn() -> Reply + Send + Sync + 'static) -> Peer {
    let calls = AtomicUsize::new(0);
    Peer::new(move |_| if calls.fetch_add(1, Ordering::SeqCst) == 0 { first() } else { ok() })
}

/// Checks that a message ends with its first call, and that the next process neither sends it nor reports it.
fn assert_ended_by_first_call(endpoint: &Peer, class: &str) {
    let (discovery, mut node) = start_with_one_endpoint(endpoint);
    assert_eq!(node.hand_in(class, "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for("m", 1);
    wait_until_settled(&node, endpoint);
    node.kill();
    node.restart();
    assert_eq!(node.hand_in("alert", "last", 7, 16_000, b"x"), 202);
    endpoint.wait_for("last", 1);
    assert_eq!(endpoint.wait_for("m", 1).len(), 1);
    assert!(discovery.notices().is_empty());
}

#[test]
fn delivers_unchanged_over_one_kept_connection() {
    let endpoint = Peer::new(|_| ok());
    let (discovery, node) = start_with_one_endpoint(&endpoint);
    let body: Vec<u8> = (0..=255).collect();
    for id in ["a", "b", "c"] {
        assert_eq!(node.hand_in("alert", id, 7, 9_000, &body), 202);
        let call = endpoint.wait_for(id, 1).remove(0);
        assert_eq!(call.start_line, "POST /v1/messages HTTP/1.1");
        assert_eq!(call.headers["idempotency-key"], format!("key-{id}"));
        assert_eq!(call.body, body);
        let wait: u64 = call.headers["x-expires-in-ms"].parse().unwrap();
        assert!((1..=9_000).contains(&wait), "{wait}");
    }
    assert_eq!(endpoint.connections(), 1);
    assert!(discovery.notices().is_empty());
}

#[test]
fn accepts_names_beyond_ascii() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([instance("e-é", endpoint.address, 7, "Fähre", "Ready")]));
    let node = Node::start_with(&discovery, json!([]), |c| {
        c["settings"]["Services"][0]["Name"] = json!("Änderung-席");
        c["settings"]["Realms"][0]["Name"] = json!("Hütte");
        c["settings"]["Kinds"][0] = json!("Fähre");
    });
    let plain = |id: &str| {
        let text = String::from_utf8(message("Änderung-席", id, 7, 16_000, b"x")).unwrap();
        text.replace("X-Customer: acme", "X-Customer: Hütte")
    };
    let encoded = plain("encoded").replacen("/Änderung-席 ", "/%C3%84nderung-%E5%B8%AD ", 1);
    for (id, request) in [("plain-ø", plain("plain-ø")), ("encoded", encoded)] {
        let answer = node.send_request(request.as_bytes()).expect("an answer");
        assert!(answer.start_line.contains(" 202 "), "{id}: {}", answer.start_line);
        let call = endpoint.wait_for(id, 1).remove(0);
        assert_eq!(call.headers["idempotency-key"], format!("key-{id}"));
    }
    let other = plain("other").replacen("X-Qos: Änderung-席", "X-Qos: Anderung-席", 1);
    assert!(node.send_request(other.as_bytes()).expect("an answer").start_line.contains(" 400 "));
}

#[test]
fn keeps_idle_connection_no_longer_than_endpoint_does() {
    // The endpoint resets a request on a connection that has been idle for longer than this.
    const KEPT: Duration = Duration::from_millis(150);
    let used = Mutex::new(HashMap::new());
    let endpoint = Peer::new(move |r| match used.lock().unwrap().insert(r.connection, r.at) {
        Some(before) if r.at - before > KEPT => Reply::Close,
        _ => ok(),
    });
    let (discovery, node) = start_with_one_endpoint(&endpoint);
    assert_eq!(node.hand_in("alert", "first", 7, 16_000, b"x"), 202);
    let first = endpoint.wait_for("first", 1).remove(0);
    std::thread::sleep(2 * KEPT);
    assert_eq!(node.hand_in("alert", "lost", 7, 16_000, b"x"), 202);
    let lost = endpoint.wait_for("lost", 2);
    assert_eq!(lost[0].connection, first.connection);
    // After the same idle time again: an unsafe message must not be lost in the same way.
    std::thread::sleep(lost[0].at - first.at);
    assert_eq!(node.hand_in("order", "unsafe", 7, 16_000, b"x"), 202);
    assert_ne!(endpoint.wait_for("unsafe", 1)[0].connection, lost[1].connection);
    wait_until_settled(&node, &endpoint);
    assert!(discovery.notices().is_empty());
}

#[test]
fn retries_unsafe_message_that_never_ran() {
    let rows: [ReplyCase; 4] = [
        ("503", || answer("503 Full", "", "")),
        ("line busy", || answer("503 Busy", "X-Line-Busy: 1\r\n", "")),
        ("504", || answer("504 Used up", "", "")),
        ("429", || answer("429 Wait", "Retry-After: 0.05\r\n", "")),
    ];
    for (row, reply) in rows {
        let endpoint = first_then_ok(reply);
        let (discovery, node) = start_with_one_endpoint(&endpoint);
        assert_eq!(node.hand_in("order", "m", 7, 16_000, b"x"), 202);
        endpoint.wait_for("m", 2);
        assert!(discovery.notices().is_empty(), "{row}");
    }
}

#[test]
fn retries_only_keyed_message_that_may_have_run() {
    let rows: [ReplyCase; 3] = [
        ("500", || answer("500 Error", "", "")),
        ("unknown", || answer("418 Teapot", "", "")),
        ("reset", || Reply::Close),
    ];
    for (row, reply) in rows {
        let endpoint = first_then_ok(reply);
        let (discovery, node) = start_with_one_endpoint(&endpoint);
        assert_eq!(node.hand_in("order", "unsafe", 7, 16_000, b"x"), 202);
        assert_eq!(discovery.wait_for_notice("unsafe")["outcome"], "given_up", "{row}");
        wait_until_settled(&node, &endpoint);
        assert_eq!(endpoint.wait_for("unsafe", 1).len(), 1, "{row}");

        let endpoint = first_then_ok(reply);
        let (discovery, node) = start_with_one_endpoint(&endpoint);
        assert_eq!(node.hand_in("alert", "keyed", 7, 16_000, b"x"), 202);
        let calls = endpoint.wait_for("keyed", 2);
        assert_eq!(calls[0].headers["idempotency-key"], calls[1].headers["idempotency-key"]);
        assert!(discovery.notices().is_empty(), "{row}");
    }
}

#[test]
fn unreadable_answer_delivers_one_message_if_status_line_says_200() {
    let broken: [ReplyCase; 3] = [
        ("length", || Reply::Bytes("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n".into())),
        ("header", || Reply::Bytes("HTTP/1.1 200 OK\r\nno header at all\r\n\r\n".into())),
        ("cut off", || Reply::BytesThenClose("HTTP/1.1 200 OK\r\nContent-Le".into())),
    ];
    for (row, reply) in broken {
        let endpoint = first_then_ok(reply);
        let (discovery, node) = start_with_one_endpoint(&endpoint);
        assert_eq!(node.hand_in("alert", "m", 7, 16_000, b"x"), 202);
        endpoint.wait_for("m", 1);
        wait_until_settled(&node, &endpoint);
        assert_eq!(
            endpoint.wait_for("m", 1).len(),
            1,
            "{row}: the message was delivered and must not be sent again"
        );
        assert!(discovery.notices().is_empty(), "{row}");
    }
    let unreadable: [ReplyCase; 3] = [
        ("half a line", || Reply::BytesThenClose("HTTP/1.1 200 O".into())),
        ("status", || Reply::Bytes("HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n".into())),
        ("version", || Reply::Bytes("ICY 200 OK\r\nContent-Length: 0\r\n\r\n".into())),
    ];
    for (row, reply) in unreadable {
        let endpoint = first_then_ok(reply);
        let (discovery, node) = start_with_one_endpoint(&endpoint);
        assert_eq!(node.hand_in("order", "m", 7, 16_000, b"x"), 202);
        assert_eq!(discovery.wait_for_notice("m")["outcome"], "given_up", "{row}");
    }
}

#[test]
fn gives_up_malformed_message_after_one_call() {
    let endpoint = Peer::new(|r| if r.id() == "m" { answer("400 Bad", "", "") } else { ok() });
    let (discovery, node) = start_with_one_endpoint(&endpoint);
    assert_eq!(node.hand_in("alert", "m", 7, 16_000, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "given_up");
    wait_until_settled(&node, &endpoint);
    assert_eq!(endpoint.wait_for("m", 1).len(), 1);
}

#[test]
fn withdrawn_message_ends_without_notice() {
    assert_ended_by_first_call(&first_then_ok(|| answer("410 Gone", "", "")), "alert");
}

#[test]
fn unanswered_call_ends_unsafe_message_at_deadline_and_is_closed_before_keyed_retry() {
    let endpoint = first_then_ok(|| Reply::Hang);
    let (discovery, node) = start_with_one_endpoint(&endpoint);
    assert_eq!(node.hand_in("order", "unsafe", 7, 600, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("unsafe")["outcome"], "given_up");

    let endpoint = first_then_ok(|| Reply::Hang);
    let (_discovery, node) = start_with_one_endpoint(&endpoint);
    assert_eq!(node.hand_in("alert", "keyed", 7, 16_000, b"x"), 202);
    let calls = endpoint.wait_for("keyed", 2);
    assert_ne!(calls[0].connection, calls[1].connection);
    node.wait_until("the first connection is closed", || endpoint.is_closed(calls[0].connection));
}

#[test]
fn hands_back_message_after_refused_connections() {
    let closed = free_address();
    let discovery = Discovery::new(json!([ready("e-1", closed, 7)]));
    let node = Node::start(&discovery);
    assert_eq!(node.hand_in("order", "m", 7, 1_000, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "handed_back");
}

#[test]
fn retry_after_binds_every_message_of_destination() {
    let endpoint = first_then_ok(|| answer("429 Wait", "Retry-After: 1.2\r\n", ""));
    let (_discovery, node) = start_with_one_endpoint(&endpoint);
    assert_eq!(node.hand_in("alert", "told", 7, 16_000, b"x"), 202);
    let refused_at = endpoint.wait_for("told", 1).remove(0).at;
    assert_eq!(node.hand_in("alert", "other", 7, 16_000, b"x"), 202);
    let (again, other) =
        (endpoint.wait_for("told", 2).remove(1).at, endpoint.wait_for("other", 1).remove(0).at);
    assert!(again.min(other) - refused_at >= Duration::from_millis(1_200));
}

/// Messages held during a Retry-After are sent in one call, and each ends as the answer says for it.
#[test]
fn batch_ends_each_message_by_its_own_state() {
    let calls = Arc::new(AtomicUsize::new(0));
    let endpoint = Peer::new(move |request| {
        if calls.fetch_add(1, Ordering::SeqCst) == 0 {
            return answer("429 Wait", "Retry-After: 1.5\r\n", "");
        }
        if !request.start_line.contains(":batch") {
            return ok();
        }
        let ends: Vec<Value> = serde_json::from_slice::<Vec<Value>>(&request.body)
            .unwrap()
            .iter()
            .map(|m| {
                let id = m["id"].as_str().unwrap();
                let state = id.split('.').next().unwrap();
                // Those that come again are done then.
                let state = if id.starts_with("again") { "busy" } else { state };
                json!({"id": id, "state": state})
            })
            .collect();
        answer("200 OK", "", &json!(ends).to_string())
    });
    let discovery = Discovery::new(json!([instance("e-1", endpoint.address, 7, "many", "Ready")]));
    let node = Node::start(&discovery);
    assert_eq!(node.hand_in("alert", "done.first", 7, 16_000, b"0"), 202);
    endpoint.wait_for("done.first", 1);
    for id in ["done.1", "failed.2", "void.3", "busy.4", "used_up.5"] {
        assert_eq!(node.hand_in("order", id, 7, 6_000, id.as_bytes()), 202);
    }
    let batches = |seen: &[Request]| -> Vec<Vec<Value>> {
        let batch = seen.iter().filter(|r| r.start_line.contains(":batch"));
        batch.map(|r| serde_json::from_slice(&r.body).unwrap()).collect()
    };
    let seen = endpoint.wait("a batch", |s| !batches(s).is_empty());
    let batch = batches(&seen).remove(0);
    let failed = batch.iter().find(|m| m["id"] == "failed.2").expect("all held messages are in one call");
    let body = base64::engine::general_purpose::STANDARD.encode("failed.2");
    assert_eq!((&failed["body"], &failed["key"]), (&json!(body), &json!("key-failed.2")));
    assert_eq!(discovery.wait_for_notice("failed.2")["outcome"], "given_up");
    let count = |seen: &[Request], id: &str| {
        let inside = batches(seen).iter().flatten().filter(|m| m["id"] == id).count();
        inside + seen.iter().filter(|r| r.id() == id).count()
    };
    let seen = endpoint
        .wait("a repeat of the two that never ran", |s| count(s, "busy.4") > 1 && count(s, "used_up.5") > 1);
    for id in ["done.1", "failed.2", "void.3"] {
        assert_eq!(count(&seen, id), 1, "{id}");
    }
    assert_eq!(discovery.notices().iter().filter(|n| n["outcome"] == "given_up").count(), 1);
}

#[test]
fn splits_batch_that_exceeds_one_body() {
    let endpoint = first_then_ok(|| answer("429 Wait", "Retry-After: 1.5\r\n", ""));
    endpoint.add_script(|request| {
        let many = request.start_line.contains(":batch");
        let list: Vec<Value> = if many { serde_json::from_slice(&request.body).unwrap() } else { Vec::new() };
        let ends: Vec<Value> = list.iter().map(|m| json!({"id": m["id"], "state": "done"})).collect();
        many.then(|| answer("200 OK", "", &json!(ends).to_string()))
    });
    let discovery = Discovery::new(json!([instance("e-1", endpoint.address, 7, "many", "Ready")]));
    let node = Node::start(&discovery);
    assert_eq!(node.hand_in("order", "0", 7, 16_000, b"0"), 202);
    endpoint.wait_for("0", 1);
    for id in ["1", "2", "3", "4"] {
        assert_eq!(node.hand_in("order", id, 7, 16_000, &[7; 20_000]), 202);
    }
    let delivered = |seen: &[Request], id: &str| {
        let named = format!("\"id\":\"{id}\"");
        let batches = seen.iter().filter(|r| r.start_line.contains(":batch"));
        let inside = batches.filter(|r| String::from_utf8_lossy(&r.body).contains(&named)).count();
        inside + seen.iter().filter(|r| r.id() == id).count()
    };
    let all = |s: &[Request]| ["1", "2", "3", "4"].iter().all(|id| delivered(s, id) == 1);
    let seen = endpoint.wait("all four", all);
    assert!(seen.iter().all(|r| r.body.len() <= 64 << 10));
    assert!(discovery.notices().is_empty());
}

#[test]
fn accepts_held_message_once_when_handed_in_again() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([]));
    let node = Node::start(&discovery);
    for _ in 0..2 {
        assert_eq!(node.hand_in("order", "m", 7, 16_000, b"x"), 202);
    }
    discovery.set(json!([ready("e-1", endpoint.address, 7)]));
    endpoint.wait_for("m", 1);
    wait_until_settled(&node, &endpoint);
    assert_eq!(endpoint.wait_for("m", 1).len(), 1);
}

/// Guards against a booking that runs twice: its answer was lost and the request sent again after the
/// delivery, when the message was no longer held.
#[test]
fn request_sent_again_after_its_message_ended_gets_the_same_end() {
    let endpoint = Peer::new(|r| match r.id() {
        "lost" => Reply::Close,
        "shut" => answer("503 Service Unavailable", "", ""),
        _ => ok(),
    });
    let (discovery, node) = start_with_one_endpoint(&endpoint);
    let hand_in = |id: &str, expires_ms| node.hand_in("order", id, 7, expires_ms, b"x");
    assert_eq!(hand_in("served", 16_000), 202);
    endpoint.wait_for("served", 1);
    wait_until_settled(&node, &endpoint);
    assert_eq!(hand_in("served", 16_000), 202);
    // Delivered so shortly before its deadline that it has a notice as well.
    assert_eq!(hand_in("late", 390), 202);
    discovery.wait_for_notice("late");
    assert_eq!(hand_in("late", 390), 202);
    assert_eq!(hand_in("lost", 16_000), 202);
    assert_eq!(discovery.wait_for_notice("lost")["outcome"], "given_up");
    assert_eq!(hand_in("lost", 16_000), 500);
    wait_until_settled(&node, &endpoint);
    let calls = endpoint.seen();
    let count = |id: &str| calls.iter().filter(|r| r.id() == id).count();
    assert_eq!((count("served"), count("late"), count("lost")), (1, 1, 1));
    assert_eq!(hand_in("shut", 1_500), 202);
    assert_eq!(discovery.wait_for_notice("shut")["outcome"], "handed_back");
    assert_eq!(hand_in("shut", 1_500), 503);
}

#[test]
fn hands_back_and_refuses_with_retry_time_over_bound() {
    let endpoint = Peer::new(|_| Reply::Hang);
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let node = Node::start_with(&discovery, json!([]), |c| {
        c["settings"]["Limits"]["MaxOpen"] = json!(30);
        c["settings"]["FamilyInfo"]["CallsOut"] = json!(4);
    });
    let mut refused = None;
    for i in 0..200 {
        let (status, headers) = node.hand_in_full("order", &format!("m{i}"), 7, 16_000, b"x");
        if status == 503 {
            refused = Some(headers);
            break;
        }
        assert_eq!(status, 202);
    }
    let after: f64 = refused.expect("the number of held messages is bounded")["retry-after"].parse().unwrap();
    assert!(after > 0.0);
    let seen =
        discovery.peer.wait("a message handed back", |s| s.iter().any(|r| r.start_line.contains("/reports")));
    assert!(!seen.is_empty());
    let notices = discovery.notices();
    assert!(notices.iter().all(|n| n["outcome"] == "handed_back"), "{notices:?}");
    assert!(notices.iter().all(|n| n["retry_in_ms"].as_u64().is_some_and(|ms| ms > 0)), "{notices:?}");
}

#[test]
fn next_process_sends_message_killed_before_any_attempt() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([]));
    let mut node = Node::start(&discovery);
    assert_eq!(node.hand_in("order", "m", 7, 16_000, b"body"), 202);
    node.kill();
    discovery.set(json!([ready("e-1", endpoint.address, 7)]));
    node.restart();
    let calls = endpoint.wait_for("m", 1);
    assert_eq!(calls[0].body, b"body");
    assert!(discovery.notices().is_empty());
}

#[test]
fn kill_during_attempt_ends_unsafe_and_repeats_keyed_message() {
    let endpoint = first_then_ok(|| Reply::Hang);
    let (discovery, mut node) = start_with_one_endpoint(&endpoint);
    assert_eq!(node.hand_in("order", "unsafe", 7, 16_000, b"x"), 202);
    endpoint.wait_for("unsafe", 1);
    node.kill();
    node.restart();
    assert_eq!(discovery.wait_for_notice("unsafe")["outcome"], "given_up");
    wait_until_settled(&node, &endpoint);
    assert_eq!(endpoint.wait_for("unsafe", 1).len(), 1);

    let endpoint = first_then_ok(|| Reply::Hang);
    let (discovery, mut node) = start_with_one_endpoint(&endpoint);
    assert_eq!(node.hand_in("alert", "keyed", 7, 16_000, b"x"), 202);
    endpoint.wait_for("keyed", 1);
    node.kill();
    node.restart();
    let calls = endpoint.wait_for("keyed", 2);
    assert_eq!(calls[1].headers["idempotency-key"], "key-keyed");
    assert!(discovery.notices().is_empty());
}

#[test]
fn dedup_window_counts_from_first_attempt_over_restart() {
    let endpoint = first_then_ok(|| Reply::Hang);
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let mut node = Node::start_with(&discovery, json!([]), |c| {
        c["settings"]["Services"][0]["WindowNs"] = json!(300_000_000);
    });
    assert_eq!(node.hand_in("alert", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for("m", 1);
    node.kill();
    std::thread::sleep(Duration::from_millis(400));
    node.restart();
    discovery.wait_for_notice("m");
    wait_until_settled(&node, &endpoint);
    assert_eq!(endpoint.wait_for("m", 1).len(), 1);
}

#[test]
fn kill_after_delivery_does_not_repeat_it() {
    assert_ended_by_first_call(&Peer::new(|_| ok()), "order");
}

#[test]
fn expired_message_ends_at_restart_and_notice_is_repeated_until_acknowledged() {
    let discovery = Discovery::new(json!([]));
    let mut node = Node::start(&discovery);
    assert_eq!(node.hand_in("order", "m", 7, 300, b"x"), 202);
    node.kill();
    std::thread::sleep(Duration::from_millis(400));
    node.restart();
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "handed_back");

    // This platform closes the first post of a notice, answers the second with an error, and acknowledges the
    // third.
    let calls = AtomicUsize::new(0);
    let platform =
        Peer::new(move |r| match (r.start_line.starts_with("POST"), calls.load(Ordering::SeqCst)) {
            (false, _) => answer("200 OK", "", r#"{"generation":1,"reset":true,"instances":[]}"#),
            (true, tries) => {
                calls.fetch_add(1, Ordering::SeqCst);
                match tries {
                    0 => Reply::Close,
                    1 => answer("500 Error", "", ""),
                    _ => answer("204 No Content", "", ""),
                }
            }
        });
    let discovery = Discovery { peer: platform, ..discovery };
    let node = Node::start(&discovery);
    assert_eq!(node.hand_in("order", "n", 7, 300, b"x"), 202);
    let posts = |s: &[Request]| s.iter().filter(|r| r.start_line.starts_with("POST")).count();
    discovery.peer.wait("three posts of the notice", |s| posts(s) == 3);
    assert!(discovery.notices().iter().all(|n| n["message"] == "n"));
}

#[test]
fn cuts_torn_tail_and_keeps_records_before_it() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([]));
    let mut node = Node::start(&discovery);
    for id in ["whole", "torn"] {
        assert_eq!(node.hand_in("order", id, 7, 16_000, &[7; 300]), 202);
    }
    node.kill();
    let path = node.segments().pop().unwrap();
    let bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &bytes[..bytes.len() - 5]).unwrap();
    std::fs::write(node.state().join("journal/manifest.new"), b"{").unwrap();
    discovery.set(json!([ready("e-1", endpoint.address, 7)]));
    node.restart();
    endpoint.wait_for("whole", 1);
    wait_until_settled(&node, &endpoint);
    assert!(!endpoint.seen().iter().any(|r| r.id() == "torn"));
    // Records written after the cut are readable.
    discovery.set(json!([]));
    let seen = discovery.peer.seen().len();
    discovery.peer.wait("discovery to have answered with the change", |s| s.len() >= seen + 3);
    assert_eq!(node.hand_in("order", "later", 7, 16_000, b"x"), 202);
    node.kill();
    discovery.set(json!([ready("e-1", endpoint.address, 7)]));
    node.restart();
    endpoint.wait_for("later", 1);
    assert_eq!(endpoint.wait_for("whole", 1).len(), 1);
}

#[test]
fn journal_stays_within_limit_and_refuses_what_does_not_fit() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let limit = 400_000;
    let mut node = Node::start_with(&discovery, json!([]), |c| c["limits"]["disk_mb"] = json!(0.4));
    // Far more than fits, unless the records of delivered messages are dropped.
    for i in 0..60 {
        let id = format!("m{i}");
        assert_eq!(node.hand_in("alert", &id, 7, 16_000, &[1; 20_000]), 202);
        endpoint.wait_for(&id, 1);
        assert!(node.disk_usage() <= limit, "{}", node.disk_usage());
    }
    // No record of a pending message is dropped: these wait for a list that names their destination.
    let mut held = Vec::new();
    loop {
        let id = format!("held{}", held.len());
        match node.hand_in("order", &id, 9, 16_000, &[2; 20_000]) {
            202 => held.push(id),
            status => break assert_eq!(status, 503),
        }
        assert!(node.disk_usage() <= limit && held.len() < 50, "{}", node.disk_usage());
    }
    assert!(held.len() >= 3, "{}", held.len());
    node.kill();
    let both = json!([ready("e-1", endpoint.address, 7), ready("e-2", endpoint.address, 9)]);
    discovery.set(both);
    node.restart();
    for id in &held {
        assert_eq!(endpoint.wait_for(id, 1)[0].body, [2; 20_000]);
    }
    assert_eq!(node.hand_in("order", "room again", 7, 16_000, b"x"), 202);
    assert!(node.disk_usage() <= limit);
}

#[test]
fn sigterm_finishes_calls_and_leaves_held_messages_to_next_process() {
    let (release, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let arrived = Arc::new(AtomicUsize::new(0));
    let count = arrived.clone();
    let endpoint = Peer::new(move |_| {
        count.fetch_add(1, Ordering::SeqCst);
        let _ = gate.lock().unwrap().recv_timeout(TIMEOUT);
        ok()
    });
    let (discovery, mut node) = start_with_one_endpoint(&endpoint);
    assert_eq!(node.hand_in("order", "out", 7, 16_000, b"x"), 202);
    assert_eq!(node.hand_in("order", "held", 9, 16_000, b"x"), 202);
    node.wait_until("the call is in flight", || arrived.load(Ordering::SeqCst) == 1);
    node.terminate();
    // New connections are still accepted and served for a while.
    assert_eq!(node.hand_in("order", "late", 9, 16_000, b"x"), 202);
    release.send(()).unwrap();
    endpoint.wait_for("out", 1);
    assert!(node.wait_exit().success(), "{}", node.log());
    discovery.set(json!([ready("e-1", endpoint.address, 7), ready("e-2", endpoint.address, 9)]));
    drop(release);
    node.restart();
    endpoint.wait_for("held", 1);
    endpoint.wait_for("late", 1);
    wait_until_settled(&node, &endpoint);
    assert_eq!(endpoint.wait_for("out", 1).len(), 1);
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
}

#[test]
fn sigterm_does_not_wait_for_hanging_call() {
    let endpoint = first_then_ok(|| Reply::Hang);
    let (discovery, mut node) = start_with_one_endpoint(&endpoint);
    assert_eq!(node.hand_in("order", "hangs", 7, 16_000, b"x"), 202);
    endpoint.wait_for("hangs", 1);
    node.terminate();
    assert!(node.wait_exit().success());
    node.restart();
    assert_eq!(discovery.wait_for_notice("hangs")["outcome"], "given_up");
}

#[test]
fn idle_client_connections_make_room_for_others() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let node = Node::start_with(&discovery, json!([]), |c| c["limits"]["sockets"] = json!(64));
    // 40 descriptors are left to share, of which 20 are for clients. When few of those are free, connections
    // are closed with their answer.
    let kept: Vec<TcpStream> = (0..17)
        .map(|_| {
            let mut client = TcpStream::connect(node.address).unwrap();
            client.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
            let answer = read_message(&mut BufReader::new(client.try_clone().unwrap()), 0).unwrap();
            assert!(answer.start_line.contains(" 200") && !answer.headers.contains_key("connection"));
            client
        })
        .collect();
    // Connections that send nothing take the other places. Unless their place is needed, idle connections
    // stay open far longer than this test waits.
    let silent = std::cell::RefCell::new(Vec::new());
    kept[0].set_read_timeout(Some(Duration::from_millis(1))).unwrap();
    node.wait_until("the connection that was idle longest is closed", || {
        silent.borrow_mut().push(TcpStream::connect(node.address).unwrap());
        (&kept[0]).read(&mut [0]).is_ok_and(|n| n == 0)
    });
    assert_eq!(node.hand_in("alert", "settle", 7, 16_000, b"x"), 202);
    endpoint.wait_for("settle", 1);
}

#[test]
fn unfinished_requests_leave_room_for_messages_even_slow_ones() {
    let endpoint = Peer::new(|_| ok());
    let (_discovery, node) = start_with_one_endpoint(&endpoint);
    let mut slow = TcpStream::connect(node.address).unwrap();
    slow.set_read_timeout(Some(TIMEOUT)).unwrap();
    let slowly = message("order", "slow", 7, 16_000, b"x");
    let mut pieces = slowly.chunks(slowly.len().div_ceil(15));
    let mut crowd = Vec::new();
    // Three times as many connections as there are places, with messages on connections of their own in
    // between. Each reply also shows that the connections before it have been accepted.
    for round in 0..15 {
        for i in 0..24 {
            let mut stream = TcpStream::connect(node.address).unwrap();
            if i % 2 == 0 {
                stream.write_all(b"POST /alert HTTP/1.1\r\nHost: x\r\n").unwrap();
            }
            crowd.push(stream);
        }
        assert_eq!(node.hand_in("alert", &format!("a{round}"), 7, 16_000, b"x"), 202);
        pieces.next().into_iter().for_each(|piece| slow.write_all(piece).unwrap());
        let (status, headers) = node.hand_in_full("alert", &format!("b{round}"), 7, 16_000, b"x");
        assert_eq!(status, 202);
        // There are 116 places: once they are scarce, this connection is closed with its answer.
        let closes = headers.get("connection").is_some_and(|c| c == "close");
        assert!(if closes { round >= 3 } else { round <= 5 }, "round {round}");
    }
    let answer = read_message(&mut BufReader::new(slow), 0).expect("an answer");
    assert!(answer.start_line.contains(" 202 "), "{}", answer.start_line);
    endpoint.wait_for("slow", 1);
}

#[test]
fn client_that_disconnects_mid_request_does_no_harm() {
    let endpoint = Peer::new(|_| ok());
    let (discovery, node) = start_with_one_endpoint(&endpoint);
    for part in
        ["PO", "POST /alert HTTP/1.1\r\nHost: x\r\n", "POST /alert HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"]
    {
        let mut client = TcpStream::connect(node.address).unwrap();
        client.write_all(part.as_bytes()).unwrap();
    }
    wait_until_settled(&node, &endpoint);
    assert_eq!(endpoint.seen().len(), 1);
    assert!(discovery.notices().is_empty());
}

#[test]
fn idle_sender_exits_after_sigterm() {
    let discovery = Discovery::new(json!([]));
    let mut node = Node::start(&discovery);
    // A client's idle connection must not delay the exit.
    let _idle = TcpStream::connect(node.address).unwrap();
    node.terminate();
    assert!(node.wait_exit().success());
}

/// A listener to which connecting hangs: its backlog is full until `open` accepts the waiting connections.
struct FullListener {
    runtime: tokio::runtime::Runtime,
    listener: tokio::net::TcpListener,
    address: SocketAddr,
    fill: Vec<TcpStream>,
}

impl FullListener {
    fn new() -> FullListener {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            socket.listen(1).unwrap()
        });
        let address = listener.local_addr().unwrap();
        let mut fill = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            fill.push(stream);
            assert!(fill.len() < 20, "the backlog does not fill up");
        }
        FullListener { runtime, listener, address, fill }
    }

    /// Accepts the waiting connections, and serves as a peer from now on.
    fn open(self) -> Peer {
        let FullListener { runtime, listener, fill, .. } = self;
        for _ in &fill {
            runtime.block_on(listener.accept()).unwrap();
        }
        drop(fill);
        let _inside = runtime.enter();
        let listener = listener.into_std().unwrap();
        listener.set_nonblocking(false).unwrap();
        Peer::with_listener(listener, |_| ok())
    }
}

#[test]
fn drain_while_connecting_stops_call() {
    let (slow, other) = (FullListener::new(), Peer::new(|_| ok()));
    let discovery = Discovery::new(json!([ready("e-1", slow.address, 7)]));
    let patient = |c: &mut Value| c["settings"]["Limits"]["DialTimeoutNs"] = json!(20_000_000_000u64);
    let node = Node::start_with(&discovery, json!([]), patient);
    let address = slow.address;
    assert_eq!(node.hand_in("order", "m", 7, 16_000, b"x"), 202);
    discovery
        .set(json!([instance("e-1", address, 7, "plain", "Terminating"), ready("e-2", other.address, 7)]));
    // The sender has the change once its watch asks for the next one. From then on the message can only go to
    // e-2.
    discovery.peer.wait("the watch to continue", |s| s.iter().any(|r| r.start_line.contains("index=2")));
    let slow = slow.open();
    node.wait_until("the connection is made", || slow.connections() > 0);
    other.wait_for("m", 1);
    assert!(slow.seen().is_empty(), "{:?}", slow.seen());
}

#[test]
fn retry_after_while_connecting_delays_call() {
    let (slow, other) = (FullListener::new(), first_then_ok(|| answer("429 Wait", "Retry-After: 3\r\n", "")));
    let discovery = Discovery::new(json!([ready("e-1", slow.address, 7)]));
    let patient = |c: &mut Value| c["settings"]["Limits"]["DialTimeoutNs"] = json!(20_000_000_000u64);
    let node = Node::start_with(&discovery, json!([]), patient);
    assert_eq!(node.hand_in("order", "connecting", 7, 16_000, b"x"), 202);
    // Listed only now, so that the first message can't go to e-2. The next one does, as no call is in flight
    // there.
    discovery.set(json!([ready("e-1", slow.address, 7), ready("e-2", other.address, 7)]));
    discovery.peer.wait("the watch to continue", |s| s.iter().any(|r| r.start_line.contains("index=2")));
    assert_eq!(node.hand_in("order", "told", 7, 16_000, b"x"), 202);
    let refused_at = other.wait_for("told", 1).remove(0).at;
    let slow = slow.open();
    node.wait_until("the connection is made", || slow.connections() > 0);
    let calls = |id: &str| {
        let all = slow.seen().into_iter().chain(other.seen());
        all.filter(|r| r.id() == id).map(|r| r.at).collect::<Vec<_>>()
    };
    node.wait_until("both are delivered", || calls("connecting").len() == 1 && calls("told").len() == 2);
    assert!(calls("connecting")[0] - refused_at >= Duration::from_secs(3));
}

#[test]
fn silent_discovery_leaves_old_list_in_force() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([]));
    discovery.silence();
    let known = json!([ready("e-1", endpoint.address, 7), {"instanceId": "unreadable"}]);
    let mut node = Node::start_with(&discovery, known, |_| {});
    assert_eq!(node.hand_in("alert", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for("m", 1);
    // A message is not sent to another destination's endpoint, even if there is no other endpoint.
    assert_eq!(node.hand_in("alert", "elsewhere", 8, 500, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("elsewhere")["outcome"], "handed_back");
    assert_eq!(endpoint.seen().len(), 1);
    assert!(node.is_running());
}

#[test]
fn sighup_moves_watch_and_notices_to_address_in_file() {
    let endpoint = Peer::new(|_| ok());
    let (old, new) = (Discovery::new(json!([])), Discovery::new(json!([ready("e-1", endpoint.address, 7)])));
    let mut node = Node::start(&old);
    // A file that can't be parsed changes nothing.
    std::fs::write(node.folder.join("config.json"), "{").unwrap();
    node.reload();
    node.wait_until("the reload has failed", || node.log().contains("cannot reload"));
    assert!(node.is_running());
    node.config["discovery"] = json!(new.peer.address.to_string());
    std::fs::write(node.folder.join("config.json"), node.config.to_string()).unwrap();
    // A watch at the old address that is never answered must not delay the move.
    old.silence();
    node.reload();
    assert_eq!(node.hand_in("order", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for("m", 1);
    assert_eq!(node.hand_in("order", "nowhere", 8, 300, b"x"), 202);
    assert_eq!(new.wait_for_notice("nowhere")["outcome"], "handed_back");
    assert!(old.notices().is_empty());
    assert!(node.is_running());
}

/// Guards against a sender that stays at the old address for good, as its file could not be read for a moment.
#[test]
fn sighup_moves_watch_once_file_can_be_read() {
    let endpoint = Peer::new(|_| ok());
    let (old, new) = (Discovery::new(json!([])), Discovery::new(json!([ready("e-1", endpoint.address, 7)])));
    let mut node = Node::start(&old);
    let file = node.folder.join("config.json");
    node.config["discovery"] = json!(new.peer.address.to_string());
    let whole = node.config.to_string();
    std::fs::write(&file, &whole[..whole.len() / 2]).unwrap();
    node.reload();
    let reloaded = Instant::now();
    node.wait_until("the reload has failed", || node.log().contains("cannot reload"));
    std::thread::sleep(Duration::from_millis(500));
    std::fs::write(&file, whole).unwrap();
    // Changes that discovery has count as known 4 s after the signal.
    new.peer.wait("a call for the list", |seen| seen.iter().any(|r| r.start_line.contains("/v1/servers")));
    assert!(reloaded.elapsed() < Duration::from_secs(4), "{:?}", reloaded.elapsed());
    assert_eq!(node.hand_in("order", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for("m", 1);
}

#[test]
fn incomplete_requests_are_closed_or_answered_in_time() {
    let endpoint = Peer::new(|_| ok());
    let (_discovery, node) = start_with_one_endpoint(&endpoint);
    let head = "POST /alert HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t\r\nX-Qos: alert\r\nX-Customer: acme\r\n\
                X-Expires-In-Ms: 9000\r\nX-Consignee: dest=7\r\nIdempotency-Key: k\r\n";
    let part_of_a_body = format!("{head}Content-Length: 9\r\n\r\nx");
    let mut clients: Vec<TcpStream> = ["", "PO", head, &part_of_a_body]
        .iter()
        .map(|part| {
            let mut client = TcpStream::connect(node.address).unwrap();
            client.write_all(part.as_bytes()).unwrap();
            // Far more than the 3 s within which they are closed, and far less than the idle timeout of
            // clients.
            client.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
            client
        })
        .collect();
    for client in &mut clients {
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).expect("closed in time");
        assert!(
            answer.is_empty() || answer.starts_with(b"HTTP/1.1 4"),
            "{}",
            String::from_utf8_lossy(&answer)
        );
    }
    wait_until_settled(&node, &endpoint);
    assert_eq!(endpoint.seen().len(), 1, "none of the incomplete messages is accepted");
}

/// Guards against connections held for the idle timeout: a later request that stopped within its headers got
/// neither an error nor a close.
#[test]
fn later_request_that_stops_in_its_headers_is_closed_in_time() {
    let endpoint = Peer::new(|_| ok());
    let (_discovery, node) = start_with_one_endpoint(&endpoint);
    let mut client = TcpStream::connect(node.address).unwrap();
    client.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut reader = BufReader::new(client.try_clone().unwrap());
    client.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    assert!(read_message(&mut reader, 0).unwrap().start_line.contains(" 200 "));
    let begun = Instant::now();
    client.write_all(b"POST /alert HTTP/1.1\r\nHost: x\r\nX-Trace").unwrap();
    let mut rest = Vec::new();
    reader.read_to_end(&mut rest).expect("closed in time");
    assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
    assert!(begun.elapsed() < Duration::from_secs(3), "closed after {:?}", begun.elapsed());
    wait_until_settled(&node, &endpoint);
}

#[test]
fn request_with_two_lengths_is_not_read_as_two_requests() {
    let endpoint = Peer::new(|_| ok());
    let (_discovery, node) = start_with_one_endpoint(&endpoint);
    let inner = String::from_utf8(message("alert", "inner", 7, 9_000, b"")).unwrap();
    let outer = String::from_utf8(message("alert", "outer", 7, 9_000, b"")).unwrap();
    let lengths = format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", 5 + inner.len());
    let outer = outer.replace("Content-Length: 0\r\n", &lengths);
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(peers::TIMEOUT)).unwrap();
    stream.write_all(format!("{outer}0\r\n\r\n{inner}").as_bytes()).unwrap();
    let mut all = String::new();
    stream.read_to_string(&mut all).unwrap();
    assert!(all.starts_with("HTTP/1.1 400 "), "{all}");
    assert_eq!(all.matches("HTTP/1.1 ").count(), 1, "{all}");
    // A chunked body on its own is accepted.
    let chunked = String::from_utf8(message("alert", "chunked", 7, 9_000, b"")).unwrap();
    let chunked =
        chunked.replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n\r\n";
    assert!(node.send_request(chunked.as_bytes()).expect("an answer").start_line.contains(" 202 "));
    assert_eq!(endpoint.wait_for("chunked", 1)[0].body, b"x");
    assert!(endpoint.seen().iter().all(|r| r.id() != "inner" && r.id() != "outer"));
    wait_until_settled(&node, &endpoint);
}

#[test]
fn malformed_requests_are_answered_and_do_no_harm() {
    let endpoint = Peer::new(|_| ok());
    let (_discovery, node) = start_with_one_endpoint(&endpoint);
    let full = [
        ("X-Trace-Id", "t"),
        ("X-Qos", "alert"),
        ("X-Customer", "acme"),
        ("X-Expires-In-Ms", "9000"),
        ("X-Consignee", "dest=7"),
        ("Idempotency-Key", "k"),
    ];
    let ask = |first: &str, change: (&str, Option<&str>), length: usize| {
        let mut text = format!("{first} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n");
        for (name, value) in full {
            let value = if name == change.0 { change.1 } else { Some(value) };
            if let Some(value) = value {
                text += &format!("{name}: {value}\r\n");
            }
        }
        let mut bytes = (text + "\r\n").into_bytes();
        bytes.resize(bytes.len() + length, b'x');
        let answer = node.send_request(&bytes).unwrap_or_else(|| panic!("no answer to {first} {change:?}"));
        answer.start_line.split(' ').nth(1).unwrap().parse::<u16>().unwrap()
    };
    for (name, value) in [
        ("X-Trace-Id", None),
        ("X-Trace-Id", Some("")),
        ("X-Qos", None),
        ("X-Qos", Some("")),
        ("X-Qos", Some("other")),
        ("X-Customer", None),
        ("X-Customer", Some("nobody")),
        ("X-Expires-In-Ms", None),
        ("X-Expires-In-Ms", Some("-5")),
        ("X-Expires-In-Ms", Some("99999999999999999999")),
        ("X-Consignee", None),
        ("X-Consignee", Some("dest=")),
        ("X-Consignee", Some("dest=-1")),
        ("X-Consignee", Some("dest=1e9")),
        ("X-Consignee", Some("dest=99999999999999999999999")),
        ("Idempotency-Key", None),
    ] {
        assert_eq!(ask("POST /alert", (name, value), 1), 400, "{name}: {value:?}");
    }
    let message = "POST /alert HTTP/1.1\r\nX-Trace-Id: t\r\nX-Qos: alert\r\nX-Customer: acme\r\nX-Expires-In-Ms: 9000\r\n\
                   X-Consignee: dest=7\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n";
    for more in [
        "",
        "Host: x\r\nX-Consignee: dest=8\r\n",
        "Host: x\r\nX-Trace-Id: u\r\n",
        "Host: x\r\nHost: y\r\n",
        "Host: x\r\nTransfer-Encoding: chunked\r\n",
    ] {
        let answer = node.send_request(format!("{message}{more}\r\nx").as_bytes()).expect("an answer");
        assert!(answer.start_line.contains(" 400 "), "{more}: {}", answer.start_line);
    }
    let padded = format!("{message}Host: x\r\nX-Pad: {}\r\n\r\nx", "p".repeat(20_000));
    let answer = node.send_request(padded.as_bytes()).expect("an answer");
    assert!(answer.start_line.contains(" 431 "), "{}", answer.start_line);
    assert_eq!(ask("POST /nosuch", ("", None), 1), 404);
    assert_eq!(ask("POST /", ("", None), 1), 404);
    assert_eq!(ask("GET /alert", ("", None), 0), 405);
    assert_eq!(ask("POST /healthz", ("", None), 0), 405);
    assert_eq!(ask("POST /alert", ("", None), (64 << 10) + 1), 413);
    assert_eq!(ask("POST /alert", ("X-Consignee", Some("dest=18446744073709551615")), 1), 202);
    assert_eq!(ask("POST /alert", ("X-Trace-Id", Some("largest")), 64 << 10), 202);
    assert_eq!(endpoint.wait_for("largest", 1)[0].body.len(), 64 << 10);
    wait_until_settled(&node, &endpoint);
}

#[test]
fn asks_discovery_for_changes_since_known_list_over_one_connection() {
    let endpoint = Peer::new(|_| ok());
    let known = json!([ready("e-1", endpoint.address, 7)]);
    let discovery = Discovery::new(known.clone());
    let node = Node::start_with(&discovery, known, |c| c["known"]["generation"] = json!(1));
    let lists = |seen: &[Request]| {
        seen.iter().filter(|r| r.start_line.contains("/v1/servers")).cloned().collect::<Vec<_>>()
    };
    let seen = lists(&discovery.peer.wait("two calls for lists", |seen| lists(seen).len() >= 2));
    assert!(seen[0].start_line.starts_with("GET /v1/servers?index=1&wait=0 "), "{}", seen[0].start_line);
    assert!(seen[1].start_line.starts_with("GET /v1/servers?index=1&wait="), "{}", seen[1].start_line);
    assert_eq!(seen[0].connection, seen[1].connection);
    assert_eq!(node.hand_in("alert", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for("m", 1);
}

#[test]
fn healthy_only_with_usable_list() {
    let endpoint = Peer::new(|_| ok());
    let listed = json!([ready("e-1", endpoint.address, 7), ready("e-2", endpoint.address, 8)]);
    let bound = |most: usize| move |c: &mut Value| c["catalogue"] = json!({"max_entries": most});
    // While discovery is silent the list of the configuration is enough, unless it exceeds its bounds.
    let silent = Discovery::new(json!([]));
    silent.silence();
    let known = Node::start_with(&silent, listed.clone(), bound(2));
    assert_eq!(known.health(), Some(200));
    let over = Node::launch_with(&silent, listed.clone(), bound(1));
    over.wait_until("the sender listens", || over.health().is_some());
    assert_eq!(over.health(), Some(503));
    assert!(over.log().contains("2 endpoints or more, 1 are allowed"), "{}", over.log());
    // A list of discovery that exceeds the bounds is refused, and does not make the sender healthy.
    let discovery = Discovery::new(listed.clone());
    let refusing = Node::launch_with(&discovery, json!([]), bound(1));
    refusing
        .wait_until("the list is refused", || refusing.log().contains("2 endpoints or more, 1 are allowed"));
    refusing.wait_until("the sender listens", || refusing.health().is_some());
    assert_eq!(refusing.health(), Some(503));
    let calls = |seen: &[Request]| seen.iter().filter(|r| r.start_line.contains("/v1/servers")).count();
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(calls(&discovery.peer.seen()), 1, "the list is not fetched again at once");
    // The list of the configuration stays in force when discovery's list is refused.
    let old = Node::start_with(&discovery, json!([ready("e-1", endpoint.address, 7)]), bound(1));
    old.wait_until("the list is refused", || old.log().contains("2 endpoints or more, 1 are allowed"));
    assert_eq!(old.health(), Some(200));
    assert_eq!(old.hand_in("alert", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for("m", 1);
    // An empty list from discovery is usable.
    let none = Discovery::new(json!([]));
    assert_eq!(Node::start_with(&none, json!([]), |_| {}).health(), Some(200));
}
