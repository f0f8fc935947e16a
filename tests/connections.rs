//! Connections to endpoints where there are more destinations than descriptors for them.
mod peers;
use peers::*;
use serde_json::{json, Value};
use std::time::Duration;

/// Descriptors of a sender that may have `CONNECTIONS` to endpoints of them.
const DESCRIPTORS: usize = 64;
const CONNECTIONS: usize = 15;
const DESTINATIONS: u64 = 60;
/// Clients at once: fewer than the 20 places that such a sender has for them.
const CLIENTS: usize = 12;
const EXPIRES_MS: u64 = 16_000;

fn few_descriptors(config: &mut Value) {
    config["limits"]["sockets"] = json!(DESCRIPTORS);
    config["settings"]["FamilyInfo"]["CallsOut"] = json!(4);
}

/// A sender, and an endpoint for each of its destinations.
fn sender_with_many_destinations() -> (Node, Vec<Peer>) {
    let endpoints: Vec<Peer> = (0..DESTINATIONS).map(|_| Peer::new(|_| ok())).collect();
    let listed: Vec<Value> =
        (0..).zip(&endpoints).map(|(dest, peer)| ready(&format!("e-{dest}"), peer.address, dest)).collect();
    let discovery = Discovery::new(json!(listed));
    let node = Node::start_with(&discovery, json!(listed), few_descriptors);
    node.limit_descriptors(DESCRIPTORS);
    (node, endpoints)
}

fn take_on(node: &Node, dest: u64, id: &str) {
    assert_eq!(node.hand_in("alert", id, dest, EXPIRES_MS, b"x"), 202, "{id}");
}

fn deliver(node: &Node, endpoint: &Peer, dest: u64, id: &str) -> Request {
    take_on(node, dest, id);
    endpoint.wait_for(id, 1).remove(0)
}

/// Connections to endpoints that are open, as these see it.
fn open(endpoints: &[Peer]) -> usize {
    let open = |peer: &Peer| (0..peer.connections()).filter(|&number| !peer.is_closed(number)).count();
    endpoints.iter().map(open).sum()
}

/// Until the connection of an answer that has come stands in the pool.
fn settle() {
    std::thread::sleep(Duration::from_millis(20));
}

#[test]
fn the_connection_that_stood_idle_longest_makes_room_and_no_message_is_refused() {
    let (node, endpoints) = sender_with_many_destinations();
    for (dest, endpoint) in (0..).zip(&endpoints) {
        assert_eq!(deliver(&node, endpoint, dest, &format!("first-{dest}")).connection, 0);
        settle();
        let used = dest as usize + 1;
        node.wait_until("room is made for no more than is needed", || {
            open(&endpoints) == used.min(CONNECTIONS)
        });
        let kept = used.saturating_sub(CONNECTIONS);
        let closed: Vec<usize> = (0..used).filter(|&e| endpoints[e].is_closed(0)).collect();
        assert_eq!(closed, (0..kept).collect::<Vec<_>>(), "those that stood idle longest are closed");
    }
    // The youngest are used again; the others come on a new connection.
    let newest = DESTINATIONS as usize - CONNECTIONS;
    for (dest, endpoint) in (0..).zip(&endpoints).skip(newest) {
        assert_eq!(deliver(&node, endpoint, dest, &format!("again-{dest}")).connection, 0);
    }
    assert_eq!(deliver(&node, &endpoints[0], 0, "again-0").connection, 1);
    assert!(node.descriptors() <= DESCRIPTORS, "{}", node.descriptors());
    assert!(!node.log().contains("os error 24"), "{}", node.log());
}

#[test]
fn a_burst_to_more_destinations_than_connections_is_delivered_whole() {
    let (node, endpoints) = sender_with_many_destinations();
    let dests: Vec<u64> = (0..DESTINATIONS).collect();
    for round in 0..3 {
        let id = |dest: u64| format!("{round}-{dest}");
        std::thread::scope(|scope| {
            for part in dests.chunks(DESTINATIONS as usize / CLIENTS) {
                let (node, id) = (&node, &id);
                scope.spawn(move || {
                    part.iter().for_each(|&dest| take_on(node, dest, &id(dest)));
                });
            }
        });
        for (dest, endpoint) in (0..).zip(&endpoints) {
            endpoint.wait_for(&id(dest), 1);
        }
        // An endpoint sees the end of a connection a little later than the sender.
        node.wait_until("no more are open than may be", || open(&endpoints) <= CONNECTIONS);
    }
    for (dest, endpoint) in endpoints.iter().enumerate() {
        assert_eq!(endpoint.seen().len(), 3, "destination {dest} got each message once");
    }
    assert!(node.descriptors() <= DESCRIPTORS, "{}", node.descriptors());
    assert!(!node.log().contains("os error 24"), "{}", node.log());
}
