//! The state of a process of the version before, as it was handed over by one: `tests/fixtures/handover-version-1.msgpack`.
use super::*;
use sender::api::Settings;
use std::collections::BTreeSet;

const HANDED_OVER: &[u8] = include_bytes!("../../../../tests/fixtures/handover-version-1.msgpack");

#[derive(Deserialize)]
enum Frame {
    State(Box<StateV1>),
}

#[test]
fn the_state_of_a_process_of_the_version_before_is_still_taken() {
    let Frame::State(state) = rmp_serde::from_slice(HANDED_OVER).unwrap();
    let state = state.upgrade(&["plain".into(), "many".into()]);
    // One message was out, to the first endpoint of destination 8.
    let [(message, 0, endpoint)] = state.calls[..] else { panic!("{:?}", state.calls) };
    assert_eq!(state.held.keys().copied().collect::<Vec<_>>(), [message]);
    assert!(state.next_id > message);
    let listed = &state.numbered.endpoints;
    let by_name = |name: &str| listed.iter().find(|e| e.name == name).unwrap();
    assert_eq!(listed.iter().map(|e| e.name.as_str()).collect::<BTreeSet<_>>(), ["e-1", "e-3", "e-4"].into());
    let e3 = by_name("e-3");
    assert_eq!((e3.number, e3.machine_type.as_str(), e3.destination), (endpoint, "many", 8));
    assert_eq!((by_name("e-1").machine_type.as_str(), by_name("e-4").destination), ("plain", u64::MAX));
    // The one that was draining keeps its number, and no other name gets it.
    assert_eq!((state.numbered.next_id, state.numbered.generation), (4, None));
    let module = state.module.after_handover(Settings::default());
    assert!(module.knows_destination(7) && module.knows_destination(8) && module.knows_endpoint(endpoint));
}
