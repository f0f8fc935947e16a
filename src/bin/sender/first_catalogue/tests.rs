//! Tests of the numbers and the list with which a process follows another one.
use super::*;
use crate::process_state::NumberedEndpoint;
use catalogue::{intake, Lifecycle, Limits};

/// Returns a list of endpoints by name, each ready or terminating.
fn list(generation: u64, endpoints: &[(&str, bool)]) -> Catalogue {
    let entry = |(name, ready): &(&str, bool)| {
        let lifecycle = if *ready { "Ready" } else { "Terminating" };
        format!(
            r#"{{"instanceId":"{name}","hostPort":"127.0.0.1:5000","zone":"z","machineType":"m","cell":7,"lifecycle":"{lifecycle}","weight":2.0}}"#
        )
    };
    let entries: Vec<String> = endpoints.iter().map(entry).collect();
    let text = format!(r#"{{"generation":{generation},"reset":true,"instances":[{}]}}"#, entries.join(","));
    intake::read(text.as_bytes(), &Catalogue::default(), &Limits::unlimited()).unwrap().catalogue
}

/// Returns what a process hands over whose module knows these endpoints under numbers from 10 on.
fn numbered(generation: Option<u64>, endpoints: &[(&str, bool)]) -> NumberedCatalogue {
    let catalogue = list(0, endpoints);
    let numbers = (10..).zip(catalogue.ids().filter_map(|id| catalogue.get(id)));
    let endpoints: Vec<_> = numbers.map(|(number, e)| NumberedEndpoint::new(number, &e)).collect();
    NumberedCatalogue { endpoints, whole: false, next_id: 100, generation }
}

fn lifecycle(catalogue: &Catalogue, name: &str) -> Option<Lifecycle> {
    Some(catalogue.get(catalogue.id(name)?)?.lifecycle)
}

#[test]
fn list_of_same_generation_is_in_force_at_once() {
    let known = list(5, &[("a", true), ("b", true), ("c", true)]);
    let first = FirstCatalogue::after_handover(&numbered(Some(5), &[("c", true)]), known);
    assert!(!first.is_partial() && !first.new_to_module);
    assert_eq!((first.in_force.len(), first.generation), (3, Some(5)));
    assert_eq!(first.in_force.id("c"), Some(10));
    assert!(first.in_force.id("a") >= Some(100) && first.in_force.id("b") >= Some(100));
}

#[test]
fn older_list_is_watched_but_not_in_force() {
    let known = list(4, &[("a", true), ("b", true)]);
    let first = FirstCatalogue::after_handover(&numbered(Some(5), &[("b", false)]), known);
    assert!(first.is_partial());
    assert_eq!((first.in_force.len(), first.watched.len(), first.generation), (1, 2, Some(4)));
    assert_eq!(lifecycle(&first.in_force, "b"), Some(Lifecycle::Draining));
    assert_eq!(first.watched.id("b"), first.in_force.id("b"));
}

#[test]
fn newer_list_replaces_handed_over_one_and_keeps_numbers() {
    let known = list(6, &[("a", true), ("b", false)]);
    let first = FirstCatalogue::after_handover(&numbered(Some(5), &[("b", true), ("gone", true)]), known);
    assert!(!first.is_partial() && first.new_to_module);
    assert_eq!((first.in_force.len(), first.in_force.id("b")), (2, Some(10)));
    assert_eq!(lifecycle(&first.in_force, "b"), Some(Lifecycle::Draining));
    assert_eq!((first.in_force.id("gone"), first.generation), (None, Some(6)));
}

#[test]
fn handed_over_list_is_used_without_known_list() {
    let first = FirstCatalogue::after_handover(&numbered(Some(5), &[("b", true)]), Catalogue::default());
    assert_eq!((first.in_force.len(), first.in_force.id("b"), first.generation), (1, Some(10), None));
}

#[test]
fn handover_without_generation_is_completed_from_known_list() {
    let mut handed = numbered(None, &[("b", true)]);
    (handed.endpoints[0].zone, handed.endpoints[0].weight) = (String::new(), 0.0);
    let first = FirstCatalogue::after_handover(&handed, list(5, &[("a", true), ("b", false)]));
    assert!(first.is_partial());
    let endpoint = first.in_force.get(10).unwrap();
    assert_eq!((endpoint.zone, endpoint.weight, endpoint.lifecycle), ("z", 2.0, Lifecycle::Ready));
    assert_eq!(first.generation, None);
}

#[test]
fn restarted_process_keeps_numbers_but_not_old_list() {
    let numbers = [(3, "b".to_string()), (4, "gone".to_string())];
    let first = FirstCatalogue::after_restart(&numbers, 9, list(5, &[("a", true), ("b", true)]));
    assert_eq!((first.in_force.id("b"), first.in_force.id("a"), first.in_force.len()), (Some(3), Some(9), 2));
    assert!(first.new_to_module && !first.is_partial());
    assert_eq!(first.generation, Some(5));
}

#[test]
fn whole_handed_over_list_is_in_force_and_watched() {
    let known = list(4, &[("a", true), ("b", true), ("gone", true)]);
    let whole = NumberedCatalogue { whole: true, ..numbered(Some(5), &[("a", true), ("b", false)]) };
    let first = FirstCatalogue::after_handover(&whole, known);
    assert!(!first.is_partial() && !first.new_to_module);
    assert_eq!((first.in_force.len(), first.watched.len(), first.generation), (2, 2, Some(5)));
    assert_eq!(lifecycle(&first.in_force, "b"), Some(Lifecycle::Draining));
}

#[test]
fn known_list_is_watched_if_none_was_handed_over() {
    let nothing = NumberedCatalogue { whole: true, ..numbered(None, &[]) };
    let first = FirstCatalogue::after_handover(&nothing, list(4, &[("a", true)]));
    assert_eq!(first.watched.len(), 1);
}
