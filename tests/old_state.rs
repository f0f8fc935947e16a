//! State of an earlier version of the policy is read, and leads to the same decisions as in that version.
mod common;
use common::*;
use sender::api::*;
use sender::policy::Sender;
use std::fmt::Write;

/// State with latencies in one dense table per destination, written by the version that had them, with
/// `rmp_serde::to_vec_named`.
const DENSE_TABLE_STATE: &[u8] = include_bytes!("fixtures/dense_cells.msgpack");
/// The actions that this version decided on from there, one per line.
const DENSE_TABLE_ACTIONS: &str = include_str!("fixtures/dense_cells_next.txt");

/// Calls in flight in that state: message and endpoint.
const DENSE_TABLE_CALLS_IN_FLIGHT: [(MsgId, EndpointId); 12] = [
    (362, 3),
    (368, 3),
    (371, 3),
    (372, 1),
    (374, 3),
    (375, 1),
    (377, 3),
    (381, 1),
    (386, 3),
    (389, 3),
    (392, 3),
    (395, 3),
];
const DESTINATIONS: u64 = 3;

/// Returns the ends of the calls in flight, one second later.
fn ends_of_calls_in_flight() -> Vec<(Ns, AttemptEnd)> {
    let end_of_call = |&(id, endpoint): &(MsgId, EndpointId)| {
        (
            START_TIME + 21 * SECOND,
            AttemptEnd { took: SECOND, ..attempt_end(id, 0, endpoint, Outcome::Served) },
        )
    };
    DENSE_TABLE_CALLS_IN_FLIGHT.iter().map(end_of_call).collect()
}

/// Plays traffic whose latency grows with the number of calls in flight; some calls fail, and some are in
/// flight at the end. Returns the actions, one per line.
fn play(harness: &mut Harness, ends: &mut Vec<(Ns, AttemptEnd)>, from: MsgId, rounds: u64) -> String {
    let mut text = String::new();
    for round in 0..rounds {
        harness.now += 50 * MS;
        let now = harness.now;
        let id = from + round;
        let mut events = vec![Event::Timer];
        events.push(Event::Message(message(id, 1 + id % DESTINATIONS, (id % 2) as usize)));
        let due = ends.iter().filter(|(at, _)| *at <= now).map(|(_, e)| Event::AttemptEnd(*e));
        events.extend(due);
        ends.retain(|(at, _)| *at > now);
        for action in harness.handle(events) {
            let _ = writeln!(text, "{now} {action:?}");
            if let Action::Send { id, endpoint, .. } = action {
                // Each message has one attempt: the clients withdraw those that failed.
                let outcome = if id % 29 == 0 { Outcome::ServerError } else { Outcome::Served };
                let took = (100 + 150 * ends.len() as Ns + 7 * (id % 11) as Ns) * MS;
                ends.push((
                    now + took,
                    AttemptEnd { took, done: true, ..attempt_end(id, 0, endpoint, outcome) },
                ));
            }
        }
    }
    text
}

/// Continues from a state, with the same events as in that version.
fn continue_from(state: &[u8]) -> String {
    let sender: Sender = rmp_serde::from_slice(state).expect("the state can be read");
    let cfg = Settings { max_open: 10_000, ..settings() };
    let mut harness =
        Harness { sender: sender.after_handover(cfg), now: START_TIME + 20 * SECOND, actions: Vec::new() };
    play(&mut harness, &mut ends_of_calls_in_flight(), 1_000, 300)
}

#[test]
fn reads_dense_latency_table_and_continues_with_same_decisions() {
    assert_eq!(continue_from(DENSE_TABLE_STATE), DENSE_TABLE_ACTIONS);
}

#[test]
fn rewrites_older_state_in_current_form() {
    let sender: Sender = rmp_serde::from_slice(DENSE_TABLE_STATE).expect("the fixture can be read");
    let written = rmp_serde::to_vec_named(&sender).expect("the state can be serialised");
    assert!(
        written.len() < DENSE_TABLE_STATE.len(),
        "{} bytes, with a dense table {} bytes",
        written.len(),
        DENSE_TABLE_STATE.len()
    );
    assert_eq!(continue_from(&written), DENSE_TABLE_ACTIONS);
}
