//! What crosses a close, a shutdown or a silence on real sockets. Each crossing is forced: by a peer that is held,
//! by bytes that are written before the other side may go on, or by a process that is paused.
mod peers;
use peers::*;
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

fn connect(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// A connection on which one request was answered and nothing is under way.
fn resting(node: &Node) -> TcpStream {
    let mut stream = connect(node);
    stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    let answer = read_message(&mut BufReader::new(stream.try_clone().unwrap()), 0).unwrap();
    assert!(answer.start_line.contains(" 200 "), "{}", answer.start_line);
    stream
}

fn answer_on(stream: &TcpStream) -> Option<Request> {
    read_message(&mut BufReader::new(stream.try_clone().unwrap()), 0)
}

/// The sender has ended its side, and has not reset the connection.
fn ended(mut stream: &TcpStream) {
    let mut rest = Vec::new();
    let read = stream.read_to_end(&mut rest);
    assert!(read.is_ok(), "{read:?}");
    assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
}

/// One whose only call is never answered: a sender that is told to end has it out until its time is up.
fn held() -> Peer {
    Peer::new(|_| Reply::Hang)
}

#[test]
fn a_request_half_read_at_the_shutdown_is_answered_while_who_comes_later_is_refused() {
    let endpoint = held();
    let (_discovery, mut node) = start_with_one_endpoint(&endpoint);
    assert_eq!(node.hand_in("order", "out", 7, 16_000, b"x"), 202);
    endpoint.wait_for("out", 1);
    // One on a connection that rested, and one on a connection's first request.
    let halves = [resting(&node), connect(&node)].map(|mut stream| {
        let request =
            message("alert", &format!("half-{:?}", stream.local_addr().unwrap()), 7, 16_000, b"body");
        let (first, rest) = request.split_at(request.len() / 2);
        stream.write_all(first).unwrap();
        (stream, rest.to_vec())
    });
    // Whatever was written before is read once this was answered.
    let rests = resting(&node);
    node.terminate();
    ended(&rests);
    node.wait_until("the door is closed", || TcpStream::connect(node.address).is_err());
    for (mut stream, rest) in halves {
        stream.write_all(&rest).unwrap();
        let answer = answer_on(&stream).expect("an answer to what was read in part");
        assert!(
            answer.start_line.contains(" 202 ") || answer.start_line.contains(" 503 "),
            "{}",
            answer.start_line
        );
        assert_eq!(
            answer.headers.get("connection").map(String::as_str),
            Some("close"),
            "{:?}",
            answer.headers
        );
        ended(&stream);
    }
    assert!(node.wait_exit().success(), "{}", node.log());
}

#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_not_acted_on() {
    let endpoint = Peer::new(|_| ok());
    let (discovery, mut node) = start_with_one_endpoint(&endpoint);
    let mut rests = resting(&node);
    node.terminate();
    ended(&rests);
    // Its client had not read the end yet. What it gets is the end and no answer, so it asks elsewhere.
    rests.write_all(&message("alert", "crossed", 7, 16_000, b"x")).unwrap();
    assert!(node.wait_exit().success());
    assert!(answer_on(&rests).is_none());
    node.restart();
    wait_until_settled(&node, &endpoint);
    assert!(endpoint.seen().iter().all(|r| r.id() != "crossed"));
    assert!(discovery.notices().is_empty());
}

#[test]
fn what_had_connected_when_the_door_closes_is_answered() {
    let endpoint = held();
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let control = free_address();
    let mut node = Node::start_with(&discovery, json!([]), |c| c["control"] = json!(control.to_string()));
    assert_eq!(node.hand_in("order", "out", 7, 16_000, b"x"), 202);
    endpoint.wait_for("out", 1);
    node.terminate();
    node.wait_until("the sender knows", || request_status(control, "GET /healthcheck") == Some(503));
    // Paused over the moment in which it stops accepting: both are due when it goes on.
    node.pause();
    let waiting: Vec<TcpStream> = (0..12)
        .map(|i| {
            let mut stream = connect(&node);
            stream.write_all(&message("alert", &format!("waits-{i}"), 7, 16_000, b"x")).unwrap();
            stream
        })
        .collect();
    std::thread::sleep(Duration::from_millis(700));
    node.resume();
    for stream in &waiting {
        let answer = answer_on(stream).expect("an answer");
        assert!(
            answer.start_line.contains(" 202 ") || answer.start_line.contains(" 503 "),
            "{}",
            answer.start_line
        );
    }
    assert!(node.wait_exit().success(), "{}", node.log());
}

#[test]
fn an_answer_reaches_a_client_that_had_not_sent_all_when_it_was_given() {
    let endpoint = Peer::new(|_| ok());
    let (_discovery, node) = start_with_one_endpoint(&endpoint);
    let mut stream = connect(&node);
    let size = 512 << 10;
    let head = format!("POST /alert HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    // The answer has come before the body goes out, and is read after it.
    assert_eq!(stream.peek(&mut [0]).unwrap(), 1);
    for part in vec![b'x'; size].chunks(64 << 10) {
        stream.write_all(part).expect("the connection is not reset");
    }
    let answer = answer_on(&stream).expect("an answer");
    assert!(answer.start_line.contains(" 413 "), "{}", answer.start_line);
    ended(&stream);
}

#[test]
fn a_flood_of_what_nobody_wants_is_cut_off() {
    let endpoint = Peer::new(|_| ok());
    let (_discovery, node) = start_with_one_endpoint(&endpoint);
    let mut stream = connect(&node);
    stream.write_all(b"POST /alert HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n").unwrap();
    let chunk = vec![b'x'; 64 << 10];
    let cut_off = (0..4_096).any(|_| stream.write_all(&chunk).is_err());
    assert!(cut_off, "256 MB were read");
    assert_eq!(node.hand_in("alert", "settle", 7, 16_000, b"."), 202);
    endpoint.wait_for("settle", 1);
}

#[test]
fn a_notice_whose_connection_has_fallen_silent_is_told_in_time_on_another_one() {
    let endpoint = Peer::new(|_| ok());
    let (discovery, node) = start_with_one_endpoint(&endpoint);
    assert_eq!(node.hand_in("order", "before", 8, 300, b"x"), 202);
    discovery.wait_for_notice("before");
    let posts = |seen: &[Request]| {
        seen.iter().filter(|r| r.start_line.starts_with("POST /reports ")).cloned().collect::<Vec<_>>()
    };
    let silent = posts(&discovery.peer.seen())[0].connection;
    discovery.peer.add_script(move |r| (r.connection == silent).then_some(Reply::Hang));
    assert_eq!(node.hand_in("order", "after", 8, 300, b"x"), 202);
    let seen = discovery.peer.wait("the notice to come again", |seen| posts(seen).len() >= 3);
    let posts = posts(&seen);
    assert_eq!((posts[1].connection, posts[2].connection == silent), (silent, false));
    assert_eq!(posts[1].body, posts[2].body);
    // What counts is 300 ms from the message's time; the half of a second leaves room for a busy machine.
    let late = posts[2].at - posts[1].at;
    assert!(late < Duration::from_millis(500), "{late:?}");
}

/// Calls for lists, in their order.
fn lists(seen: &[Request]) -> Vec<Request> {
    seen.iter().filter(|r| r.start_line.contains("/v1/servers")).cloned().collect()
}

fn large_fleet(config: &mut Value) {
    config["settings"]["NInstances"] = json!(300);
    config["known"]["generation"] = json!(1);
}

#[test]
fn after_calls_to_discovery_that_failed_news_are_heard_before_they_count_as_told() {
    let endpoint = Peer::new(|_| ok());
    let known = json!([ready("e-1", endpoint.address, 7)]);
    let discovery = Discovery::new(known.clone());
    // Each way to fail, in a row: turned away, broken off in the middle of a list, torn, closed without a word.
    let fail = |n: usize| match n % 4 {
        0 => answer("503 Busy", "", ""),
        1 => Reply::BytesThenClose("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"generation\"".into()),
        2 => answer("200 OK", "", "{\"generation\": 2, \"res"),
        _ => Reply::Close,
    };
    let failed = AtomicUsize::new(0);
    discovery.peer.add_script(move |r| {
        let watch = r.start_line.contains("/v1/servers") && !r.start_line.contains("wait=0 ");
        let count = failed.load(Ordering::SeqCst);
        // From the first watch on.
        if !(watch || (1..8).contains(&count)) || count >= 8 || r.start_line.starts_with("POST") {
            return None;
        }
        failed.fetch_add(1, Ordering::SeqCst);
        Some(fail(count))
    });
    let _node = Node::start_with(&discovery, known, large_fleet);
    let seen = discovery.peer.wait("ten calls for lists", |seen| lists(seen).len() >= 10);
    let calls = lists(&seen);
    for (i, pair) in calls[1..].windows(2).enumerate() {
        // Told 6 s later; 2.5 s of them may go on a call that is given up, so what is left is for the pause.
        let pause = pair[1].at - pair[0].at;
        assert!(pause <= Duration::from_millis(3_400), "{i}: {pause:?}");
        assert!(
            pair[1].start_line.contains("wait=0 "),
            "{i}: asked for, not waited for: {}",
            pair[1].start_line
        );
    }
}

#[test]
fn changes_that_come_where_the_whole_list_is_asked_for_are_not_asked_for_in_a_rush() {
    let discovery = Discovery::new(json!([]));
    discovery.peer.add_script(|r| {
        let whole = r.start_line.contains("/v1/servers ");
        whole.then(|| answer("200 OK", "", r#"{"generation": 3, "reset": false, "instances": []}"#))
    });
    let node = Node::launch_with(&discovery, json!([]), large_fleet);
    node.wait_until("it listens", || node.health().is_some());
    // It never gets a list that it can use, so that nobody is to use it.
    assert_eq!(node.health(), Some(503));
    let calls = lists(&discovery.peer.wait("seven calls for lists", |seen| lists(seen).len() >= 7));
    let mean = (calls[6].at - calls[0].at) / 6;
    assert!(mean > Duration::from_millis(300), "one each {mean:?}");
}

#[test]
fn clients_that_fill_the_descriptors_leave_those_that_the_sender_needs_itself() {
    // Calls are out as well, and their endpoints keep them.
    let endpoints: Vec<Peer> = (0..5).map(|_| held()).collect();
    let new = Peer::new(|_| ok());
    let listed: Vec<Value> =
        (0..).zip(&endpoints).map(|(i, e)| ready(&format!("e-{i}"), e.address, i)).collect();
    let discovery = Discovery::new(json!(listed));
    let control = free_address();
    for sockets in [64, 256] {
        let node = Node::start_with(&discovery, json!(listed), |c| {
            c["limits"]["sockets"] = json!(sockets);
            c["control"] = json!(control.to_string());
        });
        node.limit_descriptors(sockets);
        discovery.silence();
        // Idle ones, strangers that send nothing, and some in the middle of a request.
        let mut crowd = Vec::new();
        for i in 0..2 * sockets {
            let Ok(mut stream) = TcpStream::connect(node.address) else { break };
            let part: &[u8] = match i % 3 {
                0 => b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
                1 => b"POST /alert HTTP/1.1\r\nHost: x\r\n",
                _ => b"",
            };
            let _ = stream.write_all(part);
            crowd.push(stream);
        }
        for (dest, endpoint) in (0..).zip(&endpoints) {
            let id = format!("{sockets}-{dest}");
            assert_eq!(node.hand_in("alert", &id, dest, 16_000, b"x"), 202);
            endpoint.wait_for(&id, 1);
        }
        // A message that has no place to go is told of while discovery is down.
        assert_eq!(node.hand_in("order", &format!("nowhere-{sockets}"), 99, 300, b"x"), 202);
        assert_eq!(discovery.wait_for_notice(&format!("nowhere-{sockets}"))["outcome"], "handed_back");
        assert_eq!(request_status(control, "PUT /endpoints/e-0/maint"), Some(200));
        // Discovery is back, with one more.
        let mut all = listed.clone();
        all.push(ready("new", new.address, 50));
        discovery.answer_again();
        discovery.set(json!(all));
        let id = format!("back-{sockets}");
        assert_eq!(node.hand_in("alert", &id, 50, 16_000, b"x"), 202);
        new.wait_for(&id, 1);
        assert!(!node.log().contains("os error 24"), "{}", node.log());
        assert!(node.descriptors() <= sockets, "{} of {sockets}", node.descriptors());
        drop(crowd);
        discovery.set(json!(listed));
    }
}

#[test]
fn a_call_whose_answer_hangs_or_never_ends_is_over_in_time() {
    let endless = || "X-More: and more\r\n".repeat(100_000);
    let rows: [(ReplyCase, bool); 4] = [
        (("half a status line", || Reply::Bytes("HTTP/1.1 50".into())), false),
        (("half of the headers", || Reply::Bytes("HTTP/1.1 500 Error\r\nContent-".into())), false),
        // Known for delivered as its time is up: a notice goes out too.
        (("half of the headers of a 200", || Reply::Bytes("HTTP/1.1 200 OK\r\nContent-".into())), false),
        (
            ("a body without its end", || {
                Reply::Bytes("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\nx".into())
            }),
            true,
        ),
    ];
    for ((row, reply), in_time) in rows {
        let endpoint = Peer::new(move |r| if r.id() == "m" { reply() } else { ok() });
        let (discovery, node) = start_with_one_endpoint(&endpoint);
        assert_eq!(node.hand_in("order", "m", 7, 900, b"x"), 202);
        let call = endpoint.wait_for("m", 1).remove(0);
        // It holds no slot and no connection any longer than that.
        node.wait_until("the call is over", || endpoint.is_closed(call.connection));
        assert_eq!(node.hand_in("order", "next", 7, 16_000, b"x"), 202);
        endpoint.wait_for("next", 1);
        if !in_time {
            assert_eq!(discovery.wait_for_notice("m")["outcome"], "given_up", "{row}");
        }
        assert_eq!(endpoint.wait_for("m", 1).len(), 1, "{row}: it may have run");
        // Whatever goes to the platform goes in turn.
        assert_eq!(node.hand_in("order", "last", 9, 300, b"x"), 202);
        discovery.wait_for_notice("last");
        assert_eq!(discovery.notices().iter().all(|n| n["message"] != "m"), in_time, "{row}");
    }
    let endpoint = Peer::new(move |r| match r.id() {
        "m" => Reply::Bytes(format!("HTTP/1.1 500 Error\r\n{}", endless())),
        _ => ok(),
    });
    let (discovery, node) = start_with_one_endpoint(&endpoint);
    assert_eq!(node.hand_in("order", "m", 7, 16_000, b"x"), 202);
    // Long before its time: headers are not read without end.
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "given_up");
    assert_eq!(node.hand_in("order", "next", 7, 16_000, b"x"), 202);
    endpoint.wait_for("next", 1);
}

#[test]
fn half_a_line_that_follows_an_answer_is_no_answer_to_the_next_call() {
    let endpoint = Peer::new(|r| match r.id() {
        "first" => Reply::Bytes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 4".into()),
        _ => ok(),
    });
    let (discovery, node) = start_with_one_endpoint(&endpoint);
    for round in 0..5 {
        assert_eq!(node.hand_in("order", "first", 7, 16_000, b"x"), 202);
        let first = endpoint.wait_for("first", round + 1).remove(round);
        // An unsafe one: on that connection it would be lost, and may not be sent again.
        let next = format!("next-{round}");
        assert_eq!(node.hand_in("order", &next, 7, 16_000, b"x"), 202);
        assert_ne!(endpoint.wait_for(&next, 1)[0].connection, first.connection);
    }
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
}

#[test]
fn all_that_a_restart_finds_untried_is_called_for() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([]));
    let mut node = Node::start(&discovery);
    // None can be called for yet, and they nearly fill the room.
    let ids: Vec<String> = (0..80).map(|i| format!("m{i}")).collect();
    for (i, id) in ids.iter().enumerate() {
        let class = if i % 2 == 0 { "alert" } else { "order" };
        assert_eq!(node.hand_in(class, id, 7, 16_000, b"x"), 202);
    }
    node.kill();
    discovery.set(json!([ready("e-1", endpoint.address, 7)]));
    node.restart();
    for id in &ids {
        assert_eq!(endpoint.wait_for(id, 1).len(), 1);
    }
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
}

#[test]
fn requests_that_lie_of_their_length_or_break_off_are_not_taken_on_and_hold_nobody_up() {
    let endpoint = Peer::new(|_| ok());
    let (_discovery, node) = start_with_one_endpoint(&endpoint);
    let whole = String::from_utf8(message("alert", "lies", 7, 9_000, b"body")).unwrap();
    let longer = whole.replace("Content-Length: 4", "Content-Length: 400");
    let signed = whole.replace("Content-Length: 4", "Content-Length: -4");
    let twice = whole.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5");
    let lines = "POST /alert HTTP/1.1\r\n".to_string() + &"X: y\r\n".repeat(50_000);
    let held: Vec<TcpStream> = [longer, signed, twice, lines, "\r\n".repeat(1_000), "\0".repeat(9_000)]
        .iter()
        .map(|bytes| {
            let mut stream = connect(&node);
            // It may be closed on them before all is written.
            let _ = stream.write_all(bytes.as_bytes());
            let _ = stream.shutdown(std::net::Shutdown::Write);
            stream
        })
        .collect();
    // While those are open others are served.
    assert_eq!(node.hand_in("alert", "settle", 7, 16_000, b"."), 202);
    endpoint.wait_for("settle", 1);
    for mut stream in held {
        let mut told = Vec::new();
        // A reset is a close as well.
        let _ = stream.read_to_end(&mut told);
        assert!(told.is_empty() || told.starts_with(b"HTTP/1.1 4"), "{}", String::from_utf8_lossy(&told));
    }
    assert_eq!(endpoint.seen().len(), 1);
}

#[test]
fn a_200_so_close_to_the_end_of_its_message_s_time_does_not_stand_for_the_notice() {
    let endpoint = Peer::new(|_| ok());
    let (discovery, mut node) = start_with_one_endpoint(&endpoint);
    // Its client may have waited 400 ms to be told that it is taken on: its time may be up when this is answered.
    assert_eq!(node.hand_in("order", "close", 7, 350, b"x"), 202);
    endpoint.wait_for("close", 1);
    assert_eq!(discovery.wait_for_notice("close")["outcome"], "given_up");
    assert_eq!(node.hand_in("order", "in time", 7, 16_000, b"x"), 202);
    endpoint.wait_for("in time", 1);
    wait_until_settled(&node, &endpoint);
    // Both are over for the next process as well.
    node.kill();
    node.restart();
    assert_eq!(node.hand_in("order", "last", 9, 300, b"x"), 202);
    discovery.wait_for_notice("last");
    for id in ["close", "in time"] {
        assert_eq!(endpoint.wait_for(id, 1).len(), 1, "{id}");
    }
    assert!(discovery.notices().iter().all(|n| n["message"] != "in time"), "{:?}", discovery.notices());
}
