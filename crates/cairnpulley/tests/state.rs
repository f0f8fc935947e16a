//! `cairnpulley state` on state folders of senders of several versions.
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

fn state(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cairnpulley"));
    command.arg("state").args(args).stdin(Stdio::null()).output().expect("cairnpulley starts")
}

/// Standard output and standard error together.
fn printed(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// Copies a folder with its subfolders.
fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap().flatten() {
        let to = to.join(entry.file_name());
        match entry.file_type().unwrap().is_dir() {
            true => copy_folder(&entry.path(), &to),
            false => _ = std::fs::copy(entry.path(), to).unwrap(),
        }
    }
}

/// A copy of the sample folder of a version.
fn sample_folder(version: &str) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let to = folder.path().join("state");
    copy_folder(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/samples").join(version), &to);
    (folder, to)
}

fn as_str(path: &Path) -> &str {
    path.to_str().unwrap()
}

/// The messages that `show --messages --json` lists.
fn messages(dir: &Path) -> Vec<Value> {
    let output = state(&["show", as_str(dir), "--messages", "--json"]);
    assert_eq!(output.status.code(), Some(0), "{}", printed(&output));
    let facts: Value = serde_json::from_slice(&output.stdout).unwrap();
    facts["list"].as_array().unwrap().clone()
}

fn ids(messages: &[Value]) -> Vec<&str> {
    messages.iter().map(|m| m["message"].as_str().unwrap()).collect()
}

#[test]
fn shows_folders_of_every_version_and_exports_back_to_the_file() {
    let (_one, log) = sample_folder("1-log");
    let (_other, file) = sample_folder("0-journal-file");
    let shown = messages(&log);
    assert_eq!(ids(&shown), ["out-1", "held-1", "held-2"]);
    let out = &shown[0];
    assert_eq!((&out["class"], &out["dest"]), (&Value::from("order"), &Value::from(1)));
    assert_eq!(out["attempts"][0]["may_have_run"], true);
    assert_eq!(ids(&messages(&file)), ids(&shown));
    let output = state(&["show", as_str(&log)]);
    let line = printed(&output).lines().find(|l| l.contains("order") && l.contains('9')).map(str::to_string);
    assert!(line.is_some(), "{}", printed(&output));
    // The exported journal file has the same messages.
    let back = log.parent().unwrap().join("back");
    std::fs::create_dir(&back).unwrap();
    let journal = back.join("journal");
    let output = state(&["export", as_str(&log), "--as", "journal-file", "--to", as_str(&journal)]);
    assert_eq!(output.status.code(), Some(0), "{}", printed(&output));
    assert_eq!(messages(&back), shown);
    // An existing file is not overwritten.
    let before = std::fs::read(&journal).unwrap();
    let output = state(&["export", as_str(&log), "--to", as_str(&journal)]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(std::fs::read(&journal).unwrap(), before);
}

#[test]
fn damage_exits_with_1_and_repair_keeps_the_rest_in_a_new_folder() {
    let (_folder, dir) = sample_folder("1-log");
    assert_eq!(state(&["verify", as_str(&dir)]).status.code(), Some(0));
    let segment = dir.join("journal/seg-0000000000000001");
    let whole = std::fs::read(&segment).unwrap();
    // A folder with a tail torn by a crash is sound.
    std::fs::write(&segment, &whole[..whole.len() - 3]).unwrap();
    let output = state(&["verify", as_str(&dir), "--json"]);
    assert_eq!(output.status.code(), Some(0), "{}", printed(&output));
    let facts: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!((&facts["sound"], &facts["faults"][0]["expected"]), (&true.into(), &true.into()));
    // Flips a bit in the body of the first held message.
    let at = whole.windows(8).position(|w| w == [0, 1, 2, 3, 4, 5, 6, 7]).unwrap();
    let mut bytes = whole.clone();
    bytes[at] ^= 4;
    std::fs::write(&segment, &bytes).unwrap();
    let output = state(&["verify", as_str(&dir)]);
    assert_eq!(output.status.code(), Some(1), "{}", printed(&output));
    assert!(printed(&output).contains("DAMAGED: seg-0000000000000001: bytes "), "{}", printed(&output));
    let new = dir.parent().unwrap().join("new");
    let output = state(&["repair", as_str(&dir), "--to", as_str(&new)]);
    assert_eq!(output.status.code(), Some(1), "{}", printed(&output));
    assert!(printed(&output).contains("left out: seg-0000000000000001"), "{}", printed(&output));
    assert_eq!(std::fs::read(&segment).unwrap(), bytes, "the damaged folder is not changed");
    assert_eq!(state(&["verify", as_str(&new)]).status.code(), Some(0));
    assert_eq!(ids(&messages(&new)), ["out-1", "held-2"]);
    assert_eq!(
        state(&["repair", as_str(&dir), "--to", as_str(&new)]).status.code(),
        Some(2),
        "an existing folder is refused"
    );
}

#[test]
fn unreadable_or_owned_folders_exit_with_2_and_name_the_cause() {
    let (_folder, dir) = sample_folder("1-log");
    let manifest = dir.join("journal/manifest");
    let later = std::fs::read_to_string(&manifest).unwrap().replacen(r#""format":1"#, r#""format":7"#, 1);
    std::fs::write(&manifest, later).unwrap();
    let output = state(&["show", as_str(&dir)]);
    assert_eq!(output.status.code(), Some(2));
    assert!(printed(&output).contains("manifest is of format 7"), "{}", printed(&output));
    let output = state(&["verify", as_str(&dir.join("nowhere"))]);
    assert_eq!(output.status.code(), Some(2));
    assert!(printed(&output).contains("nowhere"), "{}", printed(&output));
    // A journal file does not contain the sender's name, and a folder that a sender owns is not read for a
    // repair.
    let (_other, file) = sample_folder("0-journal-file");
    let to = file.parent().unwrap().join("new");
    let output = state(&["repair", as_str(&file), "--to", as_str(&to)]);
    assert_eq!(output.status.code(), Some(2));
    assert!(printed(&output).contains("--owner"), "{}", printed(&output));
    let owner = std::fs::File::create(file.join("owner")).unwrap();
    owner.lock().unwrap();
    let output = state(&["repair", as_str(&file), "--to", as_str(&to), "--owner", "n0"]);
    assert!(printed(&output).contains("a sender owns it"), "{}", printed(&output));
    drop(owner);
    let output = state(&["repair", as_str(&file), "--to", as_str(&to), "--owner", "n0"]);
    assert_eq!(output.status.code(), Some(0), "{}", printed(&output));
    assert_eq!(ids(&messages(&to)), ["out-1", "held-1", "held-2"]);
}
