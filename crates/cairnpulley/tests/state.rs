//! `cairnpulley state` over folders that senders have left behind.
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

fn state(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cairnpulley"));
    command.arg("state").args(args).stdin(Stdio::null()).output().expect("it runs")
}

fn said(done: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&done.stdout), String::from_utf8_lossy(&done.stderr))
}

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap().flatten() {
        let to = to.join(entry.file_name());
        match entry.file_type().unwrap().is_dir() {
            true => copy(&entry.path(), &to),
            false => _ = std::fs::copy(entry.path(), to).unwrap(),
        }
    }
}

/// A copy of the folder that a sender of that version has left.
fn sample(version: &str) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let to = folder.path().join("state");
    copy(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/samples").join(version), &to);
    (folder, to)
}

fn text(path: &Path) -> &str {
    path.to_str().unwrap()
}

fn messages(dir: &Path) -> Vec<Value> {
    let done = state(&["show", text(dir), "--messages", "--json"]);
    assert_eq!(done.status.code(), Some(0), "{}", said(&done));
    let facts: Value = serde_json::from_slice(&done.stdout).unwrap();
    facts["list"].as_array().unwrap().clone()
}

fn ids(messages: &[Value]) -> Vec<&str> {
    messages.iter().map(|m| m["message"].as_str().unwrap()).collect()
}

#[test]
fn folders_of_every_version_are_shown_and_there_is_a_way_back_to_the_file() {
    let (_one, log) = sample("1-log");
    let (_other, file) = sample("0-journal-file");
    let shown = messages(&log);
    assert_eq!(ids(&shown), ["out-1", "held-1", "held-2"]);
    let out = &shown[0];
    assert_eq!((&out["class"], &out["dest"]), (&Value::from("order"), &Value::from(1)));
    assert_eq!(out["attempts"][0]["may_have_run"], true);
    assert_eq!(ids(&messages(&file)), ids(&shown));
    let done = state(&["show", text(&log)]);
    let line = said(&done).lines().find(|l| l.contains("order") && l.contains('9')).map(str::to_string);
    assert!(line.is_some(), "{}", said(&done));
    // Back to the file, which holds the same.
    let back = log.parent().unwrap().join("back");
    std::fs::create_dir(&back).unwrap();
    let journal = back.join("journal");
    let done = state(&["export", text(&log), "--as", "journal-file", "--to", text(&journal)]);
    assert_eq!(done.status.code(), Some(0), "{}", said(&done));
    assert_eq!(messages(&back), shown);
    // What exists is not overwritten.
    let before = std::fs::read(&journal).unwrap();
    let done = state(&["export", text(&log), "--to", text(&journal)]);
    assert_eq!(done.status.code(), Some(2));
    assert_eq!(std::fs::read(&journal).unwrap(), before);
}

#[test]
fn damage_is_exit_code_1_and_repair_keeps_all_the_rest_in_a_new_folder() {
    let (_folder, dir) = sample("1-log");
    assert_eq!(state(&["verify", text(&dir)]).status.code(), Some(0));
    let segment = dir.join("journal/seg-0000000000000001");
    let whole = std::fs::read(&segment).unwrap();
    // A tail that a crash has torn is sound.
    std::fs::write(&segment, &whole[..whole.len() - 3]).unwrap();
    let done = state(&["verify", text(&dir), "--json"]);
    assert_eq!(done.status.code(), Some(0), "{}", said(&done));
    let facts: Value = serde_json::from_slice(&done.stdout).unwrap();
    assert_eq!((&facts["sound"], &facts["faults"][0]["expected"]), (&true.into(), &true.into()));
    // A bit in the body of the first one that is held.
    let at = whole.windows(8).position(|w| w == [0, 1, 2, 3, 4, 5, 6, 7]).unwrap();
    let mut bytes = whole.clone();
    bytes[at] ^= 4;
    std::fs::write(&segment, &bytes).unwrap();
    let done = state(&["verify", text(&dir)]);
    assert_eq!(done.status.code(), Some(1), "{}", said(&done));
    assert!(said(&done).contains("DAMAGED: seg-0000000000000001: bytes "), "{}", said(&done));
    let new = dir.parent().unwrap().join("new");
    let done = state(&["repair", text(&dir), "--to", text(&new)]);
    assert_eq!(done.status.code(), Some(1), "{}", said(&done));
    assert!(said(&done).contains("left out: seg-0000000000000001"), "{}", said(&done));
    assert_eq!(std::fs::read(&segment).unwrap(), bytes, "the old one stays as it is");
    assert_eq!(state(&["verify", text(&new)]).status.code(), Some(0));
    assert_eq!(ids(&messages(&new)), ["out-1", "held-2"]);
    assert_eq!(
        state(&["repair", text(&dir), "--to", text(&new)]).status.code(),
        Some(2),
        "not into one that exists"
    );
}

#[test]
fn what_is_no_sound_folder_of_this_format_is_exit_code_2_and_is_named() {
    let (_folder, dir) = sample("1-log");
    let manifest = dir.join("journal/manifest");
    let later = std::fs::read_to_string(&manifest).unwrap().replacen(r#""format":1"#, r#""format":7"#, 1);
    std::fs::write(&manifest, later).unwrap();
    let done = state(&["show", text(&dir)]);
    assert_eq!(done.status.code(), Some(2));
    assert!(said(&done).contains("manifest is of format 7"), "{}", said(&done));
    let done = state(&["verify", text(&dir.join("nowhere"))]);
    assert_eq!(done.status.code(), Some(2));
    assert!(said(&done).contains("nowhere"), "{}", said(&done));
    // A file does not say whose it is, and a folder that is owned is not written from.
    let (_other, file) = sample("0-journal-file");
    let to = file.parent().unwrap().join("new");
    let done = state(&["repair", text(&file), "--to", text(&to)]);
    assert_eq!(done.status.code(), Some(2));
    assert!(said(&done).contains("--owner"), "{}", said(&done));
    let owner = std::fs::File::create(file.join("owner")).unwrap();
    owner.lock().unwrap();
    let done = state(&["repair", text(&file), "--to", text(&to), "--owner", "n0"]);
    assert!(said(&done).contains("a sender owns it"), "{}", said(&done));
    drop(owner);
    let done = state(&["repair", text(&file), "--to", text(&to), "--owner", "n0"]);
    assert_eq!(done.status.code(), Some(0), "{}", said(&done));
    assert_eq!(ids(&messages(&to)), ["out-1", "held-1", "held-2"]);
}
