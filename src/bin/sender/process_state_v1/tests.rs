//! Reads the state that a process of version 1 has handed over: `tests/fixtures/handover-version-1.msgpack`.
use super::*;
use sender::api::Settings;
use std::collections::BTreeSet;

const HANDED_OVER: &[u8] = include_bytes!("../../../../tests/fixtures/handover-version-1.msgpack");

#[derive(Deserialize)]
enum Frame {
    State(Box<StateV1>),
}

#[test]
fn converts_state_of_version_1() {
    let Frame::State(state) = rmp_serde::from_slice(HANDED_OVER).unwrap();
    let state = state.upgrade(&["plain".into(), "many".into()]);
    // One call was in flight, to the first endpoint of destination 8.
    let [(message, 0, endpoint)] = state.attempts_in_flight[..] else {
        panic!("{:?}", state.attempts_in_flight)
    };
    assert_eq!(state.held.keys().copied().collect::<Vec<_>>(), [message]);
    assert!(state.next_id > message);
    let listed = &state.catalogue.endpoints;
    let by_name = |name: &str| listed.iter().find(|e| e.name == name).unwrap();
    assert_eq!(listed.iter().map(|e| e.name.as_str()).collect::<BTreeSet<_>>(), ["e-1", "e-3", "e-4"].into());
    let e3 = by_name("e-3");
    assert_eq!((e3.number, e3.machine_type.as_str(), e3.destination), (endpoint, "many", 8));
    assert_eq!((by_name("e-1").machine_type.as_str(), by_name("e-4").destination), ("plain", u64::MAX));
    // The number of the endpoint that was draining is not assigned again.
    assert_eq!((state.catalogue.next_id, state.catalogue.generation), (4, None));
    let policy = state.policy.after_handover(Settings::default());
    assert!(policy.knows_destination(7) && policy.knows_destination(8) && policy.knows_endpoint(endpoint));
}
