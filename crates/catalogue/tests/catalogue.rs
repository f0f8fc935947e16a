//! The catalogue against a plain map, over drawn lists and changes; snapshots; memory.

use catalogue::intake::{read, read_member, IntakeError, LoadedList};
use catalogue::{Catalogue, EndpointId, Lifecycle, Limits, MAX_NAME_BYTES};
use proptest::prelude::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Counts what the test's own thread holds.
struct Counting;

thread_local! {
    static HELD: Cell<isize> = const { Cell::new(0) };
}

fn count(bytes: isize) {
    let _ = HELD.try_with(|held| held.set(held.get() + bytes));
}

unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as isize);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count(-(layout.size() as isize));
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn held() -> isize {
    HELD.with(Cell::get)
}

#[derive(Clone, Debug, PartialEq)]
struct Row {
    address: String,
    zone: String,
    cell: u64,
    lifecycle: &'static str,
    weight: f64,
}

fn entry(name: &str, row: &Row) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{}","zone":"{}","machineType":"m","cell":{},"lifecycle":"{}","weight":{},"startedAtMs":0}}"#,
        row.address, row.zone, row.cell, row.lifecycle, row.weight
    )
}

fn list(generation: u64, reset: bool, entries: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, entries.join(","))
}

fn take(text: &str, current: &Catalogue) -> LoadedList {
    read(text.as_bytes(), current, &Limits::unlimited()).unwrap()
}

/// A list of destinations with one endpoint each.
fn listed(range: std::ops::Range<u64>) -> String {
    let mut text = String::from(r#"{"generation":7,"reset":true,"instances":["#);
    for number in range.clone() {
        let comma = if number == range.start { "" } else { "," };
        let [_, b, c, d] = (number as u32).to_be_bytes();
        let name = format!("s-{:08x}", (number as u32).wrapping_mul(2_654_435_761));
        let row = Row {
            address: format!("10.{b}.{c}.{d}:5000"),
            zone: format!("z{}", number % 13),
            cell: number,
            lifecycle: "Ready",
            weight: 2.5,
        };
        let _ = write!(text, "{comma}{}", entry(&name, &row));
    }
    text + "]}"
}

fn assert_same(catalogue: &Catalogue, model: &BTreeMap<String, Row>) {
    assert_eq!(catalogue.len(), model.len());
    assert_eq!(catalogue.ready_count(), model.values().filter(|row| row.lifecycle == "Ready").count());
    let mut by_destination: BTreeMap<u64, Vec<EndpointId>> = BTreeMap::new();
    for (name, row) in model {
        let id = catalogue.id(name).unwrap_or_else(|| panic!("{name} is listed"));
        let endpoint = catalogue.get(id).unwrap();
        let ready = endpoint.lifecycle == Lifecycle::Ready;
        assert_eq!(endpoint.name, name);
        assert_eq!(endpoint.address, row.address.parse().unwrap());
        assert_eq!((endpoint.zone, endpoint.machine_type), (row.zone.as_str(), "m"));
        assert_eq!((endpoint.destination, endpoint.weight), (row.cell, row.weight));
        assert_eq!(ready, row.lifecycle == "Ready");
        by_destination.entry(row.cell).or_default().push(id);
    }
    for (cell, mut ids) in by_destination {
        ids.sort_unstable();
        assert_eq!(catalogue.endpoints_of(cell).collect::<Vec<_>>(), ids);
    }
    assert_eq!(catalogue.ids().count(), model.len());
}

fn row() -> impl Strategy<Value = Row> {
    let address = prop_oneof![
        (1u8.., any::<u16>()).prop_map(|(last, port)| format!("10.0.0.{last}:{port}")),
        any::<u16>().prop_map(|port| format!("[::1]:{port}")),
    ];
    let cell = prop_oneof![0..4u64, Just(u64::MAX), any::<u64>()];
    let lifecycle = prop_oneof![4 => Just("Ready"), 1 => Just("Terminating"), 1 => Just("Gone")];
    (address, 0..3u8, cell, lifecycle, 0..100u32).prop_map(|(address, zone, cell, lifecycle, weight)| Row {
        address,
        zone: format!("zone-{zone}"),
        cell,
        lifecycle,
        weight: f64::from(weight) / 4.0,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn follows_lists_and_changes_as_a_plain_map_would(
        lists in prop::collection::vec((any::<bool>(), prop::collection::vec((0..400u32, row()), 0..60)), 1..12)
    ) {
        let mut model = BTreeMap::new();
        let mut catalogue = Catalogue::default();
        let mut numbers: BTreeMap<EndpointId, String> = BTreeMap::new();
        for (generation, (reset, entries)) in lists.iter().enumerate() {
            let before = (catalogue.clone(), model.clone());
            if *reset {
                model.clear();
            }
            let mut texts = Vec::new();
            for (number, row) in entries {
                let name = format!("s-{number}");
                texts.push(entry(&name, row));
                model.remove(&name);
                if row.lifecycle != "Gone" {
                    model.insert(name, row.clone());
                }
            }
            let taken = take(&list(generation as u64, *reset, &texts), &catalogue);
            catalogue = taken.catalogue;
            assert_same(&catalogue, &model);
            // A snapshot that was taken before is as it was.
            assert_same(&before.0, &before.1);
            prop_assert_eq!(catalogue.generation(), Some(generation as u64));
            // No number ever passes to another name.
            for id in catalogue.ids() {
                let name = catalogue.get(id).unwrap().name;
                prop_assert_eq!(numbers.entry(id).or_insert_with(|| name.to_string()), name);
            }
        }
    }
}

#[test]
fn a_list_that_breaks_off_anywhere_is_not_taken() {
    let current = take(&listed(0..3), &Catalogue::default()).catalogue;
    let text = listed(0..5);
    for length in 0..text.len() {
        let read = read(&text.as_bytes()[..length], &current, &Limits::unlimited());
        assert!(matches!(read, Err(IntakeError::Unreadable(_))), "{length}");
    }
    assert_eq!(current.len(), 3);
}

#[test]
fn members_come_in_any_order_and_an_unreadable_entry_costs_itself_alone() {
    let text = r#"{"more":{"deep":[1,2]},"instances":[
        {"cell":18446744073709551615,"lifecycle":"Ready","hostPort":"10.0.0.1:1","instanceId":"a"},
        {"instanceId":"b"}, 5, "text", null, [], {"instanceId":5,"hostPort":"10.0.0.1:1","cell":1,"lifecycle":"Ready"},
        {"instanceId":"c","hostPort":"nowhere","cell":1,"lifecycle":"Ready"},
        {"instanceId":"d","hostPort":"10.0.0.1:1","cell":-1,"lifecycle":"Ready"},
        {"instanceId":"e","hostPort":"10.0.0.1:1","cell":18446744073709551616,"lifecycle":"Ready"},
        {"instanceId":"\u0066\"","hostPort":"10.0.0.1:1","cell":2,"lifecycle":"Odd","weight":"heavy","zone":7}
        ],"reset":true,"generation":18446744073709551615}"#;
    let taken = take(text, &Catalogue::default());
    assert_eq!((taken.entries, taken.unreadable), (2, 9));
    assert_eq!(taken.catalogue.generation(), Some(u64::MAX));
    let first = taken.catalogue.id("a").unwrap();
    assert_eq!(taken.catalogue.endpoints_of(u64::MAX).collect::<Vec<_>>(), [first]);
    let odd = taken.catalogue.get(taken.catalogue.id("f\"").unwrap()).unwrap();
    assert_eq!((odd.lifecycle, odd.weight, odd.zone), (Lifecycle::Draining, 0.0, ""));
}

#[test]
fn the_longest_names_are_taken_and_longer_ones_are_left_out() {
    let row =
        Row { address: "10.0.0.1:1".into(), zone: "a".into(), cell: 1, lifecycle: "Ready", weight: 0.0 };
    let names: Vec<String> = (0..300).map(|n| format!("{n:0>width$}", width = MAX_NAME_BYTES)).collect();
    let mut entries: Vec<String> = names.iter().map(|name| entry(name, &row)).collect();
    entries.push(entry(&"x".repeat(MAX_NAME_BYTES + 1), &row));
    let taken = take(&list(1, true, &entries), &Catalogue::default());
    assert_eq!((taken.entries, taken.unreadable), (300, 1));
    assert!(names.iter().all(|name| taken.catalogue.id(name).is_some()));
}

#[test]
fn one_destination_may_have_ten_thousand_endpoints() {
    let row =
        Row { address: "10.0.0.1:1".into(), zone: "a".into(), cell: 9, lifecycle: "Ready", weight: 0.0 };
    let entries: Vec<String> = (0..10_000).map(|n| entry(&format!("s-{n}"), &row)).collect();
    let taken = take(&list(1, true, &entries), &Catalogue::default());
    assert_eq!(taken.catalogue.endpoints_of(9).count(), 10_000);
    let gone = Row { lifecycle: "Gone", ..row };
    let entries: Vec<String> = (0..5_000).map(|n| entry(&format!("s-{}", 2 * n), &gone)).collect();
    let after = take(&list(2, false, &entries), &taken.catalogue);
    assert_eq!(after.catalogue.endpoints_of(9).count(), 5_000);
    assert_eq!(taken.catalogue.endpoints_of(9).count(), 10_000);
}

#[test]
fn bounds_refuse_a_list_with_figures_and_leave_the_old_one() {
    let current = take(&listed(0..100), &Catalogue::default()).catalogue;
    let entries = Limits { max_entries: 5_000, ..Limits::unlimited() };
    match read(listed(0..6_000).as_bytes(), &current, &entries) {
        Err(IntakeError::TooManyEntries { entries: 5_001, allowed: 5_000 }) => {}
        other => panic!("{:?}", other.map(|taken| taken.entries)),
    }
    let memory = Limits { max_bytes: 200_000, ..Limits::unlimited() };
    match read(listed(0..60_000).as_bytes(), &current, &memory) {
        Err(IntakeError::TooMuchMemory { bytes, allowed: 200_000, entries }) => {
            assert!(bytes > 200_000 && entries < 10_000, "{bytes} bytes after {entries}");
        }
        other => panic!("{:?}", other.map(|taken| taken.entries)),
    }
    // Changes count with what is listed already.
    let more = listed(100..200).replace("true", "false");
    let at_most = Limits { max_entries: 150, ..Limits::unlimited() };
    assert!(matches!(read(more.as_bytes(), &current, &at_most), Err(IntakeError::TooManyEntries { .. })));
    assert_eq!(current.len(), 100);
}

#[test]
fn an_entry_without_end_does_not_fill_the_memory() {
    let text = format!(r#"{{"instances":[{{"instanceId":"{}"#, "x".repeat(8 << 20));
    let before = held();
    let most = std::cell::Cell::new(0);
    struct Watched<'a>(&'a [u8], &'a Cell<isize>, isize);
    impl std::io::Read for Watched<'_> {
        fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
            self.1.set(self.1.get().max(held() - self.2));
            self.0.read(buffer)
        }
    }
    let reader = Watched(text.as_bytes(), &most, before);
    assert!(matches!(
        read(reader, &Catalogue::default(), &Limits::unlimited()),
        Err(IntakeError::Unreadable(_))
    ));
    assert!(most.get() < 4 << 20, "{} bytes held", most.get());
}

#[test]
fn a_list_is_read_from_a_member_of_an_object() {
    let text = format!(r#"{{"settings":{{"known":[1]}},"known":{},"limits":{{}}}}"#, listed(0..40));
    let taken = read_member(text.as_bytes(), "known", &Limits::unlimited()).unwrap().unwrap();
    assert_eq!(taken.catalogue.len(), 40);
    assert!(read_member(text.as_bytes(), "unknown", &Limits::unlimited()).unwrap().is_none());
}

#[test]
fn numbers_of_another_process_go_on_and_missing_names_are_added() {
    let old = take(&listed(0..50), &Catalogue::default()).catalogue;
    let active: Vec<EndpointId> = old.ids().step_by(7).collect();
    let known = take(&listed(25..80), &Catalogue::default()).catalogue;
    let handed = active.iter().map(|&id| (id, old.get(id).unwrap()));
    let mut new = Catalogue::from_numbered(handed, old.next_id());
    new.add_missing(&known);
    assert!(active.iter().all(|&id| new.get(id) == old.get(id)));
    assert!(known.ids().all(|id| new.id(known.get(id).unwrap().name).is_some()));
    assert!(new.ids().filter(|id| !active.contains(id)).all(|id| id >= old.next_id()));
    assert_eq!(new.generation(), Some(7));
}

#[test]
fn a_name_that_comes_back_has_its_number_again() {
    let row =
        Row { address: "10.0.0.1:1".into(), zone: "a".into(), cell: 9, lifecycle: "Ready", weight: 0.0 };
    let ready = list(1, true, &[entry("a", &row), entry("b", &row)]);
    let first = take(&ready, &Catalogue::default()).catalogue;
    let gone = Row { lifecycle: "Gone", ..row.clone() };
    let without = take(&list(2, false, &[entry("b", &gone)]), &first);
    assert_eq!(without.changed, [first.id("b").unwrap()]);
    let other = take(&list(3, false, &[entry("c", &row)]), &without.catalogue).catalogue;
    assert!(!first.ids().any(|id| Some(id) == other.id("c")));
    let back = take(&list(4, false, &[entry("b", &row)]), &other).catalogue;
    assert_eq!(back.id("b"), first.id("b"));
    let emptied = take(&list(5, true, &[]), &back).catalogue;
    assert_eq!(take(&ready, &emptied).catalogue.id("a"), first.id("a"));
}

#[test]
fn memory_is_linear_and_at_most_64_bytes_for_a_destination_with_one_endpoint() {
    let mut by_size = Vec::new();
    for size in [10_000u64, 30_000, 100_000] {
        let text = listed(0..size);
        let before = held();
        let taken = take(&text, &Catalogue::default());
        let bytes = (held() - before) as f64;
        let counted = taken.catalogue.heap_bytes() as f64;
        println!("{size} destinations: {bytes} bytes held, {counted} counted, {} each", bytes / size as f64);
        assert!((counted / bytes - 1.0).abs() < 0.1, "{counted} counted, {bytes} held");
        by_size.push((size as f64, bytes));
    }
    let slope = |a: (f64, f64), b: (f64, f64)| (b.1 - a.1) / (b.0 - a.0);
    let (first, second) = (slope(by_size[0], by_size[1]), slope(by_size[1], by_size[2]));
    assert!(first <= 64.0 && second <= 64.0, "{first} and {second} bytes by destination");
    assert!((first / second - 1.0).abs() < 0.1, "{first} and {second}: not linear");
}

#[test]
fn a_change_costs_its_own_size() {
    let mut added = Vec::new();
    for size in [10_000u64, 100_000] {
        let current = take(&listed(0..size), &Catalogue::default()).catalogue;
        let row = Row {
            address: "10.0.0.1:1".into(),
            zone: "z1".into(),
            cell: 5,
            lifecycle: "Terminating",
            weight: 1.0,
        };
        let name = current.get(5).unwrap().name.to_string();
        let text = list(8, false, &[entry(&name, &row)]);
        let before = held();
        let taken = take(&text, &current);
        added.push(held() - before);
        assert_eq!(taken.changed, [5]);
        assert_eq!(taken.catalogue.len(), current.len());
    }
    println!("bytes of a second snapshot after one change: {added:?}");
    // The directory of pages is copied: 8 bytes for each 128 endpoints. All else is one page and parts of an index.
    assert!(added[1] < 64 << 10, "{added:?}");
}

#[test]
fn addresses_that_are_not_ipv4_count_and_a_change_of_one_costs_its_own_size() {
    let row = |n: u64| Row {
        address: format!("[2001:db8::{:x}]:5000", n % 65_536),
        zone: "a".into(),
        cell: n,
        lifecycle: "Ready",
        weight: 1.0,
    };
    let entries: Vec<String> = (0..20_000).map(|n| entry(&format!("s-{n}"), &row(n))).collect();
    let before = held();
    let current = take(&list(1, true, &entries), &Catalogue::default()).catalogue;
    let bytes = (held() - before) as f64;
    let counted = current.heap_bytes() as f64;
    assert!((counted / bytes - 1.0).abs() < 0.1, "{counted} counted, {bytes} held");
    let before = held();
    let after = take(&list(2, false, &[entry("s-7", &Row { weight: 2.0, ..row(8) })]), &current).catalogue;
    let added = held() - before;
    assert!(added < 64 << 10, "{added} bytes for one change of {bytes}");
    assert_eq!(after.get(after.id("s-7").unwrap()).unwrap().address, "[2001:db8::8]:5000".parse().unwrap());
}

#[test]
fn words_that_no_endpoint_has_any_more_leave_with_a_whole_list() {
    let mut catalogue = Catalogue::default();
    // More zones than there are numbers for, a tenth of them at a time.
    for generation in 0..10 {
        let zone = |n: u64| Row {
            address: "10.0.0.1:1".into(),
            zone: format!("zone-{}", generation * 7_000 + n),
            cell: n,
            lifecycle: "Ready",
            weight: 0.0,
        };
        let entries: Vec<String> = (0..7_000).map(|n| entry(&format!("s-{n}"), &zone(n))).collect();
        let taken = take(&list(generation, true, &entries), &catalogue);
        assert_eq!((taken.entries, taken.unreadable), (7_000, 0), "list {generation}");
        catalogue = taken.catalogue;
    }
}
