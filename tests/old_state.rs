//! State that an earlier version of the module wrote is read, and goes on to the same decisions.
mod common;
use common::*;
use sender::api::*;
use sender::policy::Sender;
use std::fmt::Write;

/// Written by the version whose latency cells were one dense table a destination, with `rmp_serde::to_vec_named`.
const DENSE_CELLS: &[u8] = include_bytes!("fixtures/dense_cells.msgpack");
/// What that version went on to do: an action a line.
const DENSE_CELLS_NEXT: &str = include_str!("fixtures/dense_cells_next.txt");

/// Calls that were out: message and endpoint.
const DENSE_CELLS_OUT: [(MsgId, EndpointId); 12] = [
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

/// The answers to the calls that were out, a second after.
fn answers_to_calls_out() -> Vec<(Ns, AttemptEnd)> {
    let answer = |&(id, endpoint): &(MsgId, EndpointId)| {
        (
            START_TIME + 21 * SECOND,
            AttemptEnd { took: SECOND, ..attempt_end(id, 0, endpoint, Outcome::Served) },
        )
    };
    DENSE_CELLS_OUT.iter().map(answer).collect()
}

/// Plays traffic whose latency grows with the calls out; some calls fail, and some are out at the end.
fn play(stand: &mut Harness, answers: &mut Vec<(Ns, AttemptEnd)>, from: MsgId, rounds: u64) -> String {
    let mut text = String::new();
    for round in 0..rounds {
        stand.now += 50 * MS;
        let now = stand.now;
        let id = from + round;
        let mut events = vec![Event::Timer];
        events.push(Event::Message(message(id, 1 + id % DESTINATIONS, (id % 2) as usize)));
        let due = answers.iter().filter(|(at, _)| *at <= now).map(|(_, e)| Event::AttemptEnd(*e));
        events.extend(due);
        answers.retain(|(at, _)| *at > now);
        for action in stand.handle(events) {
            let _ = writeln!(text, "{now} {action:?}");
            if let Action::Send { id, endpoint, .. } = action {
                // Each message has one attempt: those that failed are taken back by their clients.
                let outcome = if id % 29 == 0 { Outcome::ServerError } else { Outcome::Served };
                let took = (100 + 150 * answers.len() as Ns + 7 * (id % 11) as Ns) * MS;
                answers.push((
                    now + took,
                    AttemptEnd { took, done: true, ..attempt_end(id, 0, endpoint, outcome) },
                ));
            }
        }
    }
    text
}

/// Goes on from a state, as that version did.
fn go_on(state: &[u8]) -> String {
    let sender: Sender = rmp_serde::from_slice(state).expect("the state is read");
    let cfg = Settings { max_open: 10_000, ..settings() };
    let mut stand =
        Harness { sender: sender.after_handover(cfg), now: START_TIME + 20 * SECOND, actions: Vec::new() };
    play(&mut stand, &mut answers_to_calls_out(), 1_000, 300)
}

#[test]
fn a_table_of_cells_is_read_and_decisions_go_on() {
    assert_eq!(go_on(DENSE_CELLS), DENSE_CELLS_NEXT);
}

#[test]
fn a_state_read_from_an_older_version_is_written_in_this_version_s_form_and_read_back() {
    let sender: Sender = rmp_serde::from_slice(DENSE_CELLS).expect("the fixture is read");
    let written = rmp_serde::to_vec_named(&sender).expect("state is plain data");
    assert!(written.len() < DENSE_CELLS.len(), "{} bytes, a table {}", written.len(), DENSE_CELLS.len());
    assert_eq!(go_on(&written), DENSE_CELLS_NEXT);
}
