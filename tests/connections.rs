//! Tests of the limit on connections to endpoints, with more destinations than the descriptors allow
//! connections.
mod peers;
use peers::*;
use serde_json::{json, Value};
use std::time::Duration;

/// The limit of descriptors, of which the sender uses at most `MAX_CONNECTIONS` for connections to endpoints.
const DESCRIPTORS: usize = 64;
const MAX_CONNECTIONS: usize = 15;
const DESTINATIONS: u64 = 60;
/// Concurrent clients: fewer than the 20 connections that such a sender accepts.
const CLIENTS: usize = 12;
const EXPIRES_MS: u64 = 16_000;

fn few_descriptors(config: &mut Value) {
    config["limits"]["sockets"] = json!(DESCRIPTORS);
    config["settings"]["FamilyInfo"]["CallsOut"] = json!(4);
}

/// Starts a sender and an endpoint for each of its destinations.
fn sender_with_many_destinations() -> (Node, Vec<Peer>) {
    let endpoints: Vec<Peer> = (0..DESTINATIONS).map(|_| Peer::new(|_| ok())).collect();
    let listed: Vec<Value> =
        (0..).zip(&endpoints).map(|(dest, peer)| ready(&format!("e-{dest}"), peer.address, dest)).collect();
    let discovery = Discovery::new(json!(listed));
    let node = Node::start_with(&discovery, json!(listed), few_descriptors);
    node.limit_descriptors(DESCRIPTORS);
    (node, endpoints)
}

/// Hands in a message and checks that it is accepted.
fn hand_in_accepted(node: &Node, dest: u64, id: &str) {
    assert_eq!(node.hand_in("alert", id, dest, EXPIRES_MS, b"x"), 202, "{id}");
}

/// Hands in a message and returns the call that delivers it.
fn deliver(node: &Node, endpoint: &Peer, dest: u64, id: &str) -> Request {
    hand_in_accepted(node, dest, id);
    endpoint.wait_for(id, 1).remove(0)
}

/// Returns how many connections are open, as the endpoints see it.
fn open_connections(endpoints: &[Peer]) -> usize {
    let open = |peer: &Peer| (0..peer.connections()).filter(|&number| !peer.is_closed(number)).count();
    endpoints.iter().map(open).sum()
}

/// Waits until the connection of the last answer is back in the pool.
fn wait_until_pooled() {
    std::thread::sleep(Duration::from_millis(20));
}

#[test]
fn longest_idle_connection_makes_room_for_new_one() {
    let (node, endpoints) = sender_with_many_destinations();
    for (dest, endpoint) in (0..).zip(&endpoints) {
        assert_eq!(deliver(&node, endpoint, dest, &format!("first-{dest}")).connection, 0);
        wait_until_pooled();
        let used = dest as usize + 1;
        node.wait_until("only as many connections as needed are closed", || {
            open_connections(&endpoints) == used.min(MAX_CONNECTIONS)
        });
        let closed_count = used.saturating_sub(MAX_CONNECTIONS);
        let closed: Vec<usize> = (0..used).filter(|&e| endpoints[e].is_closed(0)).collect();
        assert_eq!(closed, (0..closed_count).collect::<Vec<_>>(), "the longest idle ones are closed");
    }
    // The newest connections are reused; the first destination needs a new one.
    let newest = DESTINATIONS as usize - MAX_CONNECTIONS;
    for (dest, endpoint) in (0..).zip(&endpoints).skip(newest) {
        assert_eq!(deliver(&node, endpoint, dest, &format!("again-{dest}")).connection, 0);
    }
    assert_eq!(deliver(&node, &endpoints[0], 0, "again-0").connection, 1);
    assert!(node.descriptors() <= DESCRIPTORS, "{}", node.descriptors());
    assert!(!node.log().contains("os error 24"), "{}", node.log());
}

#[test]
fn burst_to_more_destinations_than_connections_is_delivered() {
    let (node, endpoints) = sender_with_many_destinations();
    let dests: Vec<u64> = (0..DESTINATIONS).collect();
    for round in 0..3 {
        let id = |dest: u64| format!("{round}-{dest}");
        std::thread::scope(|scope| {
            for part in dests.chunks(DESTINATIONS as usize / CLIENTS) {
                let (node, id) = (&node, &id);
                scope.spawn(move || {
                    part.iter().for_each(|&dest| hand_in_accepted(node, dest, &id(dest)));
                });
            }
        });
        for (dest, endpoint) in (0..).zip(&endpoints) {
            endpoint.wait_for(&id(dest), 1);
        }
        // An endpoint sees the end of a connection slightly later than the sender.
        node.wait_until("open connections are within the limit", || {
            open_connections(&endpoints) <= MAX_CONNECTIONS
        });
    }
    for (dest, endpoint) in endpoints.iter().enumerate() {
        assert_eq!(endpoint.seen().len(), 3, "messages delivered to destination {dest}");
    }
    assert!(node.descriptors() <= DESCRIPTORS, "{}", node.descriptors());
    assert!(!node.log().contains("os error 24"), "{}", node.log());
}
