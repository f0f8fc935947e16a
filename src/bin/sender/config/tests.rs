//! Bounds on the catalogue, and the list that stands in the file.
use super::*;
use serde_json::json;
use std::path::PathBuf;

fn bounds(value: Value) -> CatalogueBounds {
    serde_json::from_value(value).unwrap()
}

/// A file that is gone once the test is over.
struct Written(PathBuf);

impl Written {
    fn new(name: &str, value: &Value) -> Written {
        let path = std::env::temp_dir().join(format!("sender-config-{name}-{}", std::process::id()));
        std::fs::write(&path, value.to_string()).unwrap();
        Written(path)
    }

    fn known(&self, limits: &catalogue::Limits) -> Result<Catalogue, String> {
        read_known(&self.0, limits)
    }
}

impl Drop for Written {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn list(endpoints: usize) -> Value {
    let entries: Vec<Value> = (0..endpoints)
        .map(|i| {
            json!({"instanceId": format!("e-{i}"), "hostPort": "127.0.0.1:5000", "zone": "z", "machineType": "m",
                "cell": i, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0})
        })
        .collect();
    json!({"generation": 41, "reset": true, "instances": entries})
}

#[test]
fn bounds_on_the_catalogue_follow_the_memory_where_none_are_named() {
    let limits = bounds(json!({})).limits(64.0).unwrap();
    assert_eq!(limits, catalogue::Limits::for_memory(64 << 20));
    let limits = bounds(json!({"max_entries": 500_000, "max_mb": 1.5})).limits(64.0).unwrap();
    assert_eq!(limits, catalogue::Limits { max_entries: 500_000, max_bytes: 3 << 19 });
}

#[test]
fn bounds_that_make_no_sense_are_refused_by_their_place_in_the_file() {
    for (place, value) in [
        ("catalogue.max_entries", json!({"max_entries": 0})),
        ("catalogue.max_mb", json!({"max_mb": 0.0})),
        ("catalogue.max_mb", json!({"max_mb": -1})),
        ("catalogue.max_mb", json!({"max_mb": 64.5})),
    ] {
        let error = bounds(value).limits(64.0).unwrap_err();
        assert!(error.starts_with(place), "{error}");
    }
    assert!(serde_json::from_value::<CatalogueBounds>(json!({"max_entrys": 1})).is_err());
}

#[test]
fn the_known_list_is_read_wherever_it_stands_in_the_file() {
    let limits = catalogue::Limits::for_memory(64 << 20);
    let file =
        Written::new("known", &json!({"a": {"known": 1}, "known": list(3), "settings": {"known": [2]}}));
    let known = file.known(&limits).unwrap();
    assert_eq!((known.len(), known.generation()), (3, Some(41)));
}

#[test]
fn a_known_list_that_names_nothing_counts_as_none() {
    let limits = catalogue::Limits::for_memory(64 << 20);
    for (name, value) in [("empty", json!({"known": list(0)})), ("absent", json!({"settings": {}}))] {
        assert_eq!(Written::new(name, &value).known(&limits).unwrap().generation(), None, "{name}");
    }
}

#[test]
fn a_known_list_beyond_the_bounds_is_refused_with_both_figures() {
    let file = Written::new("bounds", &json!({"known": list(30)}));
    let limits = catalogue::Limits { max_entries: 20, max_bytes: usize::MAX };
    let error = file.known(&limits).err().unwrap();
    assert!(error.contains("known: ") && error.contains("21") && error.contains("20"), "{error}");
}
