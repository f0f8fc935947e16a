//! Snapshots of the current and of the previous format.
use super::*;
use sender::api::Settings;

/// A snapshot of the previous format, written by a process of that version.
const FORMAT_1: &[u8] = include_bytes!("../../../../tests/fixtures/learned-form-1.msgpack");

#[test]
fn reads_snapshot_of_previous_format() {
    let (format, name, _, stored) = unpack(&FORMAT_1[CHECKSUM_BYTES..]).unwrap();
    assert_eq!((format, name.as_str()), (PREVIOUS_FORMAT, "n0"));
    let names: Vec<(EndpointId, &str)> =
        stored.numbers.endpoints.iter().map(|(number, name)| (*number, name.as_str())).collect();
    assert_eq!(names, [(0, "e-1"), (1, "e-2"), (2, "e-3"), (3, "e-4")]);
    assert_eq!(stored.numbers.next_id, 4);
    assert!(stored.policy.knows_destination(7) && stored.policy.knows_endpoint(0));
}

#[test]
fn reads_snapshot_as_it_was_written() {
    let policy = &Sender::new(Settings::default(), 1);
    let numbers = &EndpointNumbers { endpoints: vec![(7, "e-7".into())], next_id: 9 };
    let snapshot = Snapshot { policy, clock: (5, 6), numbers };
    let packed = rmp_serde::to_vec_named(&(FORMAT, "n0", 3u32, &snapshot)).unwrap();
    let (format, name, settings, stored) = unpack(&packed).unwrap();
    assert_eq!((format, name.as_str(), settings, stored.clock), (FORMAT, "n0", 3, (5, 6)));
    assert_eq!((stored.numbers.endpoints, stored.numbers.next_id), (vec![(7, "e-7".to_string())], 9));
}

#[test]
fn ignores_snapshot_of_unknown_format_or_torn_one() {
    let packed = rmp_serde::to_vec_named(&(FORMAT + 1, "n0", 3u32, ())).unwrap();
    assert!(matches!(unpack(&packed), Err(Unusable::Damaged)));
    assert!(matches!(unpack(&FORMAT_1[CHECKSUM_BYTES..FORMAT_1.len() / 2]), Err(Unusable::Damaged)));
}
