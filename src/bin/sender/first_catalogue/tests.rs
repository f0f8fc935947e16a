//! Numbers and lists of a process that follows another one.
use super::*;
use crate::process_state::NumberedEndpoint;
use catalogue::{intake, Lifecycle, Limits};

/// A list of endpoints by name, each ready or not.
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

/// What a process hands over whose module knows the endpoints of a list under numbers from 10 on.
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
fn a_list_as_old_as_the_one_handed_over_is_in_force_at_once() {
    let known = list(5, &[("a", true), ("b", true), ("c", true)]);
    let first = FirstCatalogue::handed_over(&numbered(Some(5), &[("c", true)]), known);
    assert!(!first.is_partial() && !first.new_to_module);
    assert_eq!((first.in_force.len(), first.generation), (3, Some(5)));
    assert_eq!(first.in_force.id("c"), Some(10));
    assert!(first.in_force.id("a") >= Some(100) && first.in_force.id("b") >= Some(100));
}

#[test]
fn what_an_older_list_says_beyond_the_one_handed_over_waits_for_the_first_answer() {
    let known = list(4, &[("a", true), ("b", true)]);
    let first = FirstCatalogue::handed_over(&numbered(Some(5), &[("b", false)]), known);
    assert!(first.is_partial());
    assert_eq!((first.in_force.len(), first.watched.len(), first.generation), (1, 2, Some(4)));
    assert_eq!(lifecycle(&first.in_force, "b"), Some(Lifecycle::Draining));
    assert_eq!(first.watched.id("b"), first.in_force.id("b"));
}

#[test]
fn a_newer_list_goes_before_the_one_handed_over_and_keeps_its_numbers() {
    let known = list(6, &[("a", true), ("b", false)]);
    let first = FirstCatalogue::handed_over(&numbered(Some(5), &[("b", true), ("gone", true)]), known);
    assert!(!first.is_partial() && first.new_to_module);
    assert_eq!((first.in_force.len(), first.in_force.id("b")), (2, Some(10)));
    assert_eq!(lifecycle(&first.in_force, "b"), Some(Lifecycle::Draining));
    assert_eq!((first.in_force.id("gone"), first.generation), (None, Some(6)));
}

#[test]
fn without_a_list_of_its_own_a_process_goes_on_with_what_was_handed_over_and_asks_for_the_whole() {
    let first = FirstCatalogue::handed_over(&numbered(Some(5), &[("b", true)]), Catalogue::default());
    assert_eq!((first.in_force.len(), first.in_force.id("b"), first.generation), (1, Some(10), None));
}

#[test]
fn what_the_version_before_handed_over_is_completed_by_the_list_and_the_whole_is_asked_for() {
    let mut handed = numbered(None, &[("b", true)]);
    (handed.endpoints[0].zone, handed.endpoints[0].weight) = (String::new(), 0.0);
    let first = FirstCatalogue::handed_over(&handed, list(5, &[("a", true), ("b", false)]));
    assert!(first.is_partial());
    let endpoint = first.in_force.get(10).unwrap();
    assert_eq!((endpoint.zone, endpoint.weight, endpoint.lifecycle), ("z", 2.0, Lifecycle::Ready));
    assert_eq!(first.generation, None);
}

#[test]
fn a_restarted_process_takes_over_numbers_and_not_what_was_listed_then() {
    let numbers = [(3, "b".to_string()), (4, "gone".to_string())];
    let first = FirstCatalogue::restarted(&numbers, 9, list(5, &[("a", true), ("b", true)]));
    assert_eq!((first.in_force.id("b"), first.in_force.id("a"), first.in_force.len()), (Some(3), Some(9), 2));
    assert!(first.new_to_module && !first.is_partial());
    assert_eq!(first.generation, Some(5));
}

#[test]
fn a_list_that_passes_on_whole_is_in_force_at_once_and_watched_from_its_generation() {
    let known = list(4, &[("a", true), ("b", true), ("gone", true)]);
    let whole = NumberedCatalogue { whole: true, ..numbered(Some(5), &[("a", true), ("b", false)]) };
    let first = FirstCatalogue::handed_over(&whole, known);
    assert!(!first.is_partial() && !first.new_to_module);
    assert_eq!((first.in_force.len(), first.watched.len(), first.generation), (2, 2, Some(5)));
    assert_eq!(lifecycle(&first.in_force, "b"), Some(Lifecycle::Draining));
}

#[test]
fn a_process_that_had_no_list_leaves_the_known_one_to_its_successor() {
    let nothing = NumberedCatalogue { whole: true, ..numbered(None, &[]) };
    let first = FirstCatalogue::handed_over(&nothing, list(4, &[("a", true)]));
    assert_eq!(first.watched.len(), 1);
}
