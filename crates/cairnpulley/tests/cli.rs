//! The command line as a whole: exit codes, errors that name their place, and no processes left behind.
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};
use testbed::play::Verdict;
use testbed::program;

/// How long a test waits for a condition; far longer than any of them takes.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

fn cairnpulley() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cairnpulley"));
    // The sender was built with the workspace. With `CARGO` set, the program would build it again.
    command.env_remove("CARGO").stdin(Stdio::null());
    command
}

fn run(args: &[&str]) -> Output {
    cairnpulley().args(args).output().expect("cairnpulley starts")
}

/// A folder with an experiment in a file `test.toml`.
fn experiment_file(text: &str) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("test.toml");
    std::fs::write(&path, text).unwrap();
    (folder, path)
}

/// Path of the sender's program.
fn sender_program() -> String {
    program::find_for_test().expect("the whole workspace is built").display().to_string()
}

#[test]
fn demo_keeps_all_rules_and_prints_a_json_verdict() {
    let output = run(&["demo", "--seconds", "5", "--seed", "7", "--json", "--sender", &sender_program()]);
    let verdict: Verdict = serde_json::from_slice(&output.stdout).expect("a verdict");
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    // On a busy machine the testbed itself is late, and the play is void.
    let code = if verdict.void.is_some() { 3 } else { 0 };
    assert_eq!(output.status.code(), Some(code));
    assert_eq!((verdict.schema, verdict.seed, verdict.senders), (1, 7, 3));
    let counts = &verdict.counts;
    assert!(counts.asked > 100, "{counts:?}");
    assert_eq!(
        counts.asked,
        counts.in_time + counts.late + counts.handed_back + counts.given_up + counts.unheard + counts.lost
    );
}

#[test]
fn broken_rule_exits_with_1_and_is_named() {
    let (_folder, path) = experiment_file("seconds = 1\nsenders = 2\n[program]\npath = '/bin/false'");
    let output = run(&["testbed", "run", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    let printed = String::from_utf8(output.stdout).unwrap();
    assert!(printed.contains("BROKEN crash (2): sender"), "{printed}");
}

#[test]
fn invalid_input_exits_with_2_and_names_its_place() {
    for (text, place) in [
        ("seconds = 1\n[traffic]\nrite = 5\n", "line 3, column 1"),
        (
            "seconds = 1\n[[event]]\nwhat = 'kill'\nat = 0.5\n",
            "line 3, column 8: an event needs part or which",
        ),
        ("seconds = 1\n[[event]]\nwhat = 'shot'\nat = 0.5\n", "line 3, column 8"),
        ("seconds = 1\n[[event]]\nwhat = 'cut'\nat = 0.5\npart = 1.0\n", "an event on a link needs link"),
        ("[[event]]\nwhat = 'kill'\nat = 0.5\nwhich = [3]\n", "which names sender 3, but there are 3"),
        ("seconds = 1e9\n", "seconds is 1000000000"),
    ] {
        let (_folder, path) = experiment_file(text);
        let output = run(&["testbed", "check", path.to_str().unwrap()]);
        let printed = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{text}: {printed}");
        assert!(printed.contains(place) && printed.contains("test.toml"), "{text}: {printed}");
    }
    let (_folder, path) = experiment_file("seconds = 1\n");
    let output = run(&["testbed", "run", path.to_str().unwrap(), "--set", "traffic.rate=-4"]);
    let printed = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.code() == Some(2) && printed.contains("traffic.rate is -4"), "{printed}");
}

#[test]
fn included_experiments_are_valid_and_repeatable_by_seed() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let check = |seed| run(&["testbed", "check", path.to_str().unwrap(), "--seed", seed]);
        let (one, again, other) = (check("5"), check("5"), check("6"));
        assert!(one.status.success(), "{}", String::from_utf8_lossy(&one.stderr));
        assert_eq!(one.stdout, again.stdout);
        assert_ne!(one.stdout, other.stdout);
        count += 1;
    }
    assert!(count >= 7, "{count} experiments");
}

#[test]
fn compares_plays_by_seed_and_reports_them_on_one_page() {
    let (folder, path) = experiment_file(
        "title = 'pair <&>'\nseconds = 15\nrepetitions = 6\n[[event]]\nwhat = 'shut'\nat = 4\nfor = 4\npart = 0.2\n",
    );
    let dir = |name: &str| folder.path().join(name).display().to_string();
    let sim = |out: &str, set: &str| {
        let output =
            run(&["testbed", "sim", path.to_str().unwrap(), "--seed", "1", "--out", out, "--set", set]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        output.stdout
    };
    let first = sim(&dir("a"), "traffic.load=0.7");
    assert_eq!(first, sim(&dir("again"), "traffic.load=0.7"), "one seed, one output");
    sim(&dir("b"), "traffic.load=2.5");
    let compare = |a: &str, b: &str| {
        let output = run(&["testbed", "compare", &dir(a), &dir(b), "--json"]);
        let compared: serde_json::Value = serde_json::from_slice(&output.stdout).expect("a comparison");
        (output.status.code(), compared["lines"][0]["word"].as_str().unwrap().to_string())
    };
    assert_eq!(compare("a", "again"), (Some(0), "inside-the-noise".into()));
    assert_eq!(compare("a", "b"), (Some(1), "worse".into()));
    assert_eq!(compare("b", "a"), (Some(0), "better".into()));
    let output = run(&["testbed", "compare", &dir("a"), &dir("nowhere")]);
    let printed = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(output.status.code() == Some(2) && printed.contains("nowhere"), "{printed}");

    assert!(run(&["testbed", "report", &dir("a")]).status.success());
    let page = std::fs::read_to_string(Path::new(&dir("a")).join("report.html")).unwrap();
    assert!(page.contains("<title>Experiment pair &lt;&amp;&gt;</title>"), "the title is text, not markup");
    assert_eq!(page.matches("<svg").count(), 18, "three plots for each of six seeds");
    assert_eq!(page.matches("shut: destination").count(), 6, "the fault is listed");
    assert!(!page.contains("<script") && !page.contains("<link"), "the page loads nothing else");
    // An existing output folder is not overwritten.
    let output = run(&["testbed", "sim", path.to_str().unwrap(), "--out", &dir("a")]);
    assert_eq!(output.status.code(), Some(2));
}

/// The child processes of a process, of all its threads.
fn children(id: u32) -> Vec<u32> {
    let tasks = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let children_of =
        |task: std::fs::DirEntry| std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
    tasks
        .map(children_of)
        .flat_map(|t| t.split_whitespace().filter_map(|n| n.parse().ok()).collect::<Vec<_>>())
        .collect()
}

/// Whether a process runs; a zombie does not.
fn is_running(id: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    stat.rsplit(')')
        .next()
        .is_some_and(|rest| !rest.trim().is_empty() && !rest.trim().starts_with(['Z', 'X']))
}

/// Waits until a condition holds.
fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn senders_end_with_a_killed_or_interrupted_testbed() {
    for (signal, code) in [("-KILL", None), ("-INT", Some(130))] {
        let sender = sender_program();
        let mut testbed = cairnpulley()
            .args(["demo", "--seconds", "60", "--seed", "1", "--sender", &sender])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the testbed starts");
        wait_until("three senders run", || children(testbed.id()).len() == 3);
        let senders = children(testbed.id());
        // Once the senders work, the testbed listens for the signal.
        wait_until("the senders work", || {
            senders.iter().all(|id| Path::new(&format!("/proc/{id}/fd/9")).exists())
        });
        assert!(Command::new("kill").args([signal, &testbed.id().to_string()]).status().unwrap().success());
        assert_eq!(testbed.wait().unwrap().code(), code, "{signal}");
        wait_until("the senders have ended", || !senders.iter().any(|id| is_running(*id)));
    }
}
