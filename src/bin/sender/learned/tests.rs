//! Snapshots of today's form and of the form before.
use super::*;
use sender::api::Settings;

/// Written by a process of the version before.
const FORM_1: &[u8] = include_bytes!("../../../../tests/fixtures/learned-form-1.msgpack");

#[test]
fn a_snapshot_of_the_form_before_is_still_read() {
    let (form, name, _, kept) = unpack(&FORM_1[HEAD..]).unwrap();
    assert_eq!((form, name.as_str()), (FORM_BEFORE, "n0"));
    let names: Vec<(EndpointId, &str)> =
        kept.numbers.endpoints.iter().map(|(number, name)| (*number, name.as_str())).collect();
    assert_eq!(names, [(0, "e-1"), (1, "e-2"), (2, "e-3"), (3, "e-4")]);
    assert_eq!(kept.numbers.next_id, 4);
    assert!(kept.module.knows_destination(7) && kept.module.knows_endpoint(0));
}

#[test]
fn a_snapshot_of_today_is_read_as_it_was_written() {
    let module = &Sender::new(Settings::default(), 1);
    let numbers = &Numbers { endpoints: vec![(7, "e-7".into())], next_id: 9 };
    let snapshot = Snapshot { module, clock: (5, 6), numbers };
    let packed = rmp_serde::to_vec_named(&(FORM, "n0", 3u32, &snapshot)).unwrap();
    let (form, name, settings, kept) = unpack(&packed).unwrap();
    assert_eq!((form, name.as_str(), settings, kept.clock), (FORM, "n0", 3, (5, 6)));
    assert_eq!((kept.numbers.endpoints, kept.numbers.next_id), (vec![(7, "e-7".to_string())], 9));
}

#[test]
fn a_snapshot_of_another_form_or_a_torn_one_is_left() {
    let packed = rmp_serde::to_vec_named(&(FORM + 1, "n0", 3u32, ())).unwrap();
    assert!(matches!(unpack(&packed), Err(Left::Damaged)));
    assert!(matches!(unpack(&FORM_1[HEAD..FORM_1.len() / 2]), Err(Left::Damaged)));
}
