//! Bounds on the catalogue, and the list of endpoints in the file.
use super::*;
use serde_json::json;
use std::path::PathBuf;

fn bounds(value: Value) -> CatalogueBounds {
    serde_json::from_value(value).unwrap()
}

/// A configuration file that is removed at the end of the test.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, value: &Value) -> TempFile {
        let path = std::env::temp_dir().join(format!("sender-config-{name}-{}", std::process::id()));
        std::fs::write(&path, value.to_string()).unwrap();
        TempFile(path)
    }

    fn read_known_list(&self, limits: &catalogue::Limits) -> Result<Catalogue, String> {
        read_known_list_from(&self.0, limits)
    }
}

impl Drop for TempFile {
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
fn derives_catalogue_bounds_from_memory_unless_set() {
    let limits = bounds(json!({})).limits(64.0).unwrap();
    assert_eq!(limits, catalogue::Limits::for_memory(64 << 20));
    let limits = bounds(json!({"max_entries": 500_000, "max_mb": 1.5})).limits(64.0).unwrap();
    assert_eq!(limits, catalogue::Limits { max_entries: 500_000, max_bytes: 3 << 19 });
}

#[test]
fn names_member_of_invalid_catalogue_bound() {
    for (member, value) in [
        ("catalogue.max_entries", json!({"max_entries": 0})),
        ("catalogue.max_mb", json!({"max_mb": 0.0})),
        ("catalogue.max_mb", json!({"max_mb": -1})),
        ("catalogue.max_mb", json!({"max_mb": 64.5})),
    ] {
        let error = bounds(value).limits(64.0).unwrap_err();
        assert!(error.starts_with(member), "{error}");
    }
    assert!(serde_json::from_value::<CatalogueBounds>(json!({"max_entrys": 1})).is_err());
}

#[test]
fn reads_known_list_at_any_position_in_file() {
    let limits = catalogue::Limits::for_memory(64 << 20);
    let file =
        TempFile::new("known", &json!({"a": {"known": 1}, "known": list(3), "settings": {"known": [2]}}));
    let known = file.read_known_list(&limits).unwrap();
    assert_eq!((known.len(), known.generation()), (3, Some(41)));
}

#[test]
fn ignores_known_list_without_endpoints() {
    let limits = catalogue::Limits::for_memory(64 << 20);
    for (name, value) in [("empty", json!({"known": list(0)})), ("absent", json!({"settings": {}}))] {
        assert_eq!(
            TempFile::new(name, &value).read_known_list(&limits).unwrap().generation(),
            None,
            "{name}"
        );
    }
}

#[test]
fn refuses_known_list_over_bounds_with_both_figures() {
    let file = TempFile::new("bounds", &json!({"known": list(30)}));
    let limits = catalogue::Limits { max_entries: 20, max_bytes: usize::MAX };
    let error = file.read_known_list(&limits).err().unwrap();
    assert!(error.contains("known: ") && error.contains("21") && error.contains("20"), "{error}");
}
