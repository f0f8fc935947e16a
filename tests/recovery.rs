//! Accepted messages survive a kill of the process, damage to its files, and a change of their format.
mod peers;
use peers::*;
use sender::records::folder;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Reads all files below a folder.
fn files(folder: &Path) -> BTreeMap<PathBuf, Vec<u8>> {
    let mut all = BTreeMap::new();
    for entry in std::fs::read_dir(folder).unwrap().flatten() {
        match entry.file_type().unwrap() {
            t if t.is_dir() => all.append(&mut files(&entry.path())),
            t if t.is_file() => _ = all.insert(entry.path(), std::fs::read(entry.path()).unwrap()),
            _ => {}
        }
    }
    all
}

/// Copies a folder with everything below it.
fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap().flatten() {
        let to = to.join(entry.file_name());
        match entry.file_type().unwrap() {
            t if t.is_dir() => copy(&entry.path(), &to),
            t if t.is_file() => _ = std::fs::copy(entry.path(), to).unwrap(),
            _ => {}
        }
    }
}

/// Hands in messages that stay held, as no list names their destination yet. Returns their ids.
fn hand_in_held(node: &Node, count: usize) -> BTreeSet<String> {
    let ids: BTreeSet<String> = (0..count).map(|i| format!("m{i}")).collect();
    for id in &ids {
        assert_eq!(node.hand_in("order", id, 7, 16_000, &[7; 300]), 202);
    }
    ids
}

#[test]
fn flipped_bit_loses_one_message_and_is_logged_and_set_aside() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([]));
    let mut node =
        Node::start_with(&discovery, json!([]), |c| c["settings"]["Limits"]["MaxOpen"] = json!(400));
    let ids = hand_in_held(&node, 300);
    node.kill();
    let segments = node.segments();
    let path = &segments[0];
    let mut bytes = std::fs::read(path).unwrap();
    // A tenth into the first segment, far from the journal's end.
    let at = bytes.len() / 10;
    bytes[at] ^= 0x10;
    std::fs::write(path, bytes).unwrap();
    discovery.set(json!([ready("e-1", endpoint.address, 7)]));
    node.restart();
    let delivered = || {
        let seen = endpoint.seen();
        seen.iter().map(|r| r.id().to_string()).collect::<BTreeSet<_>>()
    };
    node.wait_until("all but one are delivered", || delivered().len() >= ids.len() - 1);
    assert!(delivered().is_subset(&ids));
    assert_eq!(endpoint.seen().len(), ids.len() - 1, "no message is sent twice, and one is lost");
    assert!(node.log().contains("DAMAGED"), "{}", node.log());
    let aside = files(&node.state()).into_keys().filter(|p| p.to_string_lossy().contains("damaged-seg-"));
    assert_eq!(aside.count(), 1);
}

#[test]
fn refuses_folder_of_another_sender_or_format_without_changing_it() {
    let discovery = Discovery::new(json!([]));
    let mut node = Node::start(&discovery);
    hand_in_held(&node, 3);
    node.kill();
    let before = files(&node.state());
    node.config["name"] = json!("n1");
    let (status, log) = node.start_and_expect_exit();
    assert!(!status.success());
    assert!(log.contains(r#"belongs to "n0", and this is "n1""#), "{log}");
    assert_eq!(files(&node.state()), before);
    node.config["name"] = json!("n0");
    let manifest = node.state().join("journal/manifest");
    let text = std::fs::read_to_string(&manifest).unwrap();
    let later = text.replacen(r#""format":1"#, r#""format":9"#, 1);
    assert_ne!(later, text);
    std::fs::write(&manifest, later).unwrap();
    let before = files(&node.state());
    let (status, log) = node.start_and_expect_exit();
    assert!(!status.success());
    assert!(log.contains("is of format 9") && log.contains("use the program that wrote it"), "{log}");
    assert_eq!(files(&node.state()), before);
    // With the original manifest the sender serves again.
    std::fs::write(&manifest, text).unwrap();
    node.restart();
}

/// The samples are folders that each version has left when it was killed, with messages whose deadlines have
/// passed.
#[test]
fn resumes_from_folders_of_every_version() {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/samples");
    let (file, log) = (samples.join("0-journal-file"), samples.join("1-log"));
    // The last three are a conversion from the file to the log that was interrupted at different points.
    for version in ["file", "log", "begun", "moved away", "not removed"] {
        let discovery = Discovery::new(json!([]));
        let mut node = Node::start(&discovery);
        node.kill();
        std::fs::remove_dir_all(node.state()).unwrap();
        let state = node.state();
        match version {
            "file" => copy(&file, &state),
            "log" => copy(&log, &state),
            "begun" => {
                copy(&file, &state);
                std::fs::create_dir(state.join("journal.next")).unwrap();
                std::fs::write(state.join("journal.next/manifest"), "{").unwrap();
            }
            _ => {
                let name = if version == "not removed" { "journal" } else { "journal.next" };
                copy(&log.join("journal"), &state.join(name));
                std::fs::copy(file.join("journal"), state.join("journal.old")).unwrap();
            }
        }
        node.restart();
        // Two messages were never sent, one was in flight, and one was delivered, which needs no notice.
        let outcomes = || {
            let notices = discovery.notices();
            let pair = |n: &serde_json::Value| {
                (n["message"].as_str().unwrap().to_string(), n["outcome"].as_str().unwrap().to_string())
            };
            notices.iter().map(pair).collect::<BTreeMap<_, _>>()
        };
        node.wait_until("three notices", || outcomes().len() >= 3);
        let expected = [("held-1", "handed_back"), ("held-2", "handed_back"), ("out-1", "given_up")];
        let expected = expected.map(|(id, outcome)| (id.to_string(), outcome.to_string()));
        assert_eq!(outcomes(), BTreeMap::from(expected), "{version}");
        // From here on the sender uses the current format.
        assert_eq!(node.hand_in("order", "later", 7, 16_000, b"x"), 202);
        node.kill();
        assert!(!node.segments().is_empty());
        assert!(["journal.next", "journal.old"].iter().all(|name| !node.state().join(name).exists()));
        node.restart();
        assert_eq!(node.hand_in("order", "later", 7, 16_000, b"x"), 202, "still held");
        assert_eq!(outcomes().len(), 3, "{version}: no notice is repeated");
    }
}

/// Group and interval syncs change nothing about what survives a kill.
#[test]
fn messages_survive_kill_with_group_and_interval_syncs() {
    for store in [json!({"sync": "group"}), json!({"sync": "interval", "interval_ms": 20})] {
        let endpoint = Peer::new(|_| ok());
        let discovery = Discovery::new(json!([]));
        let mut node = Node::start_with(&discovery, json!([]), |c| c["store"] = store.clone());
        let ids = hand_in_held(&node, 20);
        node.kill();
        discovery.set(json!([ready("e-1", endpoint.address, 7)]));
        node.restart();
        for id in &ids {
            endpoint.wait_for(id, 1);
        }
        assert_eq!(node.hand_in("alert", "later", 7, 16_000, b"x"), 202);
        endpoint.wait_for("later", 1);
        node.terminate();
        assert!(node.wait_exit().success());
        node.restart();
        assert_eq!(endpoint.seen().len(), ids.len() + 1, "no message is sent again");
    }
}

#[test]
fn names_invalid_member_of_store_configuration() {
    let discovery = Discovery::new(json!([]));
    let mut node = Node::start(&discovery);
    node.kill();
    for (store, message) in [
        (json!({"sync": "often"}), r#"store.sync: "often" is not one of none, group, interval"#),
        (json!({"sync": "interval"}), "store.interval_ms: has to be from 1 to 60000"),
        (
            json!({"sync": "group", "interval_ms": 5}),
            "store.interval_ms: is allowed only with sync = interval",
        ),
        (json!({"snyc": "group"}), "unknown field `snyc`"),
    ] {
        node.config["store"] = store;
        let (status, log) = node.start_and_expect_exit();
        assert!(!status.success() && log.contains(message), "{log}");
    }
}

/// A failing disk makes the sender unhealthy, and it recovers by itself once writing works again.
#[test]
fn unwritable_journal_is_unhealthy_until_it_recovers() {
    let control = free_address().to_string();
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let mut node = Node::start_with(&discovery, json!([]), |c| {
        c["control"] = json!(control);
        // Segments of 12 KB, so that a few messages start a new one.
        c["limits"]["disk_mb"] = json!(0.2);
    });
    assert_eq!(node.control_status("GET /healthcheck"), 200);
    for id in ["first", "second"] {
        assert_eq!(node.hand_in("alert", id, 7, 16_000, &[1; 3_000]), 202);
        endpoint.wait_for(id, 1);
    }
    let journal = node.state().join("journal");
    // Without its folder a new segment can't be created, as on a full disk.
    let away = node.state().join("away");
    std::fs::rename(&journal, &away).unwrap();
    let refused =
        (0..1_000).find(|number| node.hand_in("alert", &format!("m{number}"), 7, 16_000, &[1; 3_000]) == 503);
    let refused = format!("m{}", refused.expect("a message is refused"));
    assert_eq!(node.control_status("GET /healthcheck"), 503);
    assert!(node.log().contains("cannot write the journal"), "{}", node.log());
    std::fs::rename(&away, &journal).unwrap();
    node.wait_until("the sender is healthy again", || node.control_status("GET /healthcheck") == 200);
    assert_eq!(node.hand_in("alert", "later", 7, 16_000, b"x"), 202);
    endpoint.wait_for("later", 1);
    node.terminate();
    assert!(node.wait_exit().success());
    node.restart();
    // The next process sends neither the refused message nor the delivered ones.
    assert!(!endpoint.seen().iter().any(|r| r.id() == refused));
    let seen: Vec<String> = endpoint.seen().iter().map(|r| r.id().to_string()).collect();
    let once: BTreeSet<&String> = seen.iter().collect();
    assert_eq!(once.len(), seen.len(), "{seen:?}, refused {refused}: {}", node.log());
}

/// After a kill the sender continues from the snapshot, except for a Retry-After, which a restart ends. A
/// snapshot that is damaged or of other settings is ignored.
#[test]
fn snapshot_survives_kill_unless_unusable_and_retry_after_does_not() {
    let calls = std::sync::atomic::AtomicUsize::new(0);
    let endpoint = Peer::new(move |_| match calls.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
        1 => answer("429 Too Many Requests", "Retry-After: 3000\r\n", ""),
        _ => ok(),
    });
    let discovery = Discovery::new(json!([ready("e-1", endpoint.address, 7)]));
    let mut node = Node::start_with(&discovery, json!([]), |c| {
        c["store"] = json!({"learned_s": 1});
        c["settings"]["Limits"]["MaxRetryAfterNs"] = json!(3_600_000_000_000u64);
    });
    assert_eq!(node.hand_in("alert", "first", 7, 16_000, b"x"), 202);
    endpoint.wait_for("first", 1);
    let learned = node.state().join("learned");
    // The endpoint asks to wait for 50 minutes, so only a process that has dropped the wait calls again.
    assert_eq!(node.hand_in("alert", "waits", 7, 16_000, b"x"), 202);
    endpoint.wait_for("waits", 1);
    let written = || std::fs::metadata(&learned).and_then(|m| m.modified()).ok();
    let before = written();
    node.wait_until("a new snapshot is written", || written() > before);
    node.kill();
    node.restart();
    endpoint.wait_for("waits", 2);
    assert!(node.log().contains("going on with what was learned before"), "{}", node.log());
    node.kill();
    let whole = std::fs::read(&learned).unwrap();
    let assert_ignored = |node: &mut Node, why: &str| {
        node.restart();
        let log = node.log();
        let line = log.lines().rev().find(|l| l.contains("learned before")).unwrap_or_default();
        assert!(line.contains("is left") && line.contains(why), "{why}: {log}");
        node.kill();
    };
    let mut bytes = whole.clone();
    bytes[whole.len() / 2] ^= 1;
    std::fs::write(&learned, &bytes).unwrap();
    assert_ignored(&mut node, "damaged");
    std::fs::write(&learned, &whole).unwrap();
    node.config["settings"]["FamilyInfo"]["CallsOut"] = json!(4);
    assert_ignored(&mut node, "other settings");
}

/// Repairs a damaged folder as `cairnpulley state repair` does.
#[test]
fn resumes_from_repaired_folder() {
    let endpoint = Peer::new(|_| ok());
    let discovery = Discovery::new(json!([]));
    let mut node = Node::start(&discovery);
    let ids = hand_in_held(&node, 20);
    node.kill();
    let path = node.segments().remove(0);
    let mut bytes = std::fs::read(&path).unwrap();
    let at = bytes.len() / 2;
    bytes[at] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    let damaged = folder::read(&node.state()).unwrap();
    assert!(damaged.faults.iter().any(|f| !f.expected), "{:?}", damaged.faults);
    assert_eq!(damaged.owner.as_deref(), Some("n0"));
    let new = node.folder.join("new");
    folder::write(&node.state(), &damaged.pending, "n0", &new).unwrap();
    std::fs::remove_dir_all(node.state()).unwrap();
    std::fs::rename(&new, node.state()).unwrap();
    discovery.set(json!([ready("e-1", endpoint.address, 7)]));
    node.restart();
    node.wait_until("all but one are delivered", || endpoint.seen().len() >= ids.len() - 1);
    let seen: BTreeSet<String> = endpoint.seen().iter().map(|r| r.id().to_string()).collect();
    assert!(seen.len() == ids.len() - 1 && seen.is_subset(&ids), "{seen:?}");
    assert!(!node.log().contains("DAMAGED"), "{}", node.log());
}
