//! The command line as its users meet it: exit codes, errors that name their place, and nothing left behind.
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};
use testbed::play::Verdict;
use testbed::program;

/// Far longer than anything here takes.
const BOUND: Duration = Duration::from_secs(60);

fn cairnpulley() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cairnpulley"));
    // Built with the workspace; run by cargo, the program would have cargo build it again.
    command.env_remove("CARGO").stdin(Stdio::null());
    command
}

fn run(args: &[&str]) -> Output {
    cairnpulley().args(args).output().expect("it runs")
}

fn file(text: &str) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("test.toml");
    std::fs::write(&path, text).unwrap();
    (folder, path)
}

fn sender() -> String {
    program::find_for_test().expect("the whole workspace is built").display().to_string()
}

#[test]
fn the_demo_keeps_all_promises_and_says_so_as_json() {
    let done = run(&["demo", "--seconds", "5", "--seed", "7", "--json", "--sender", &sender()]);
    let verdict: Verdict = serde_json::from_slice(&done.stdout).expect("a verdict");
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    // On a busy machine the testbed is late itself, and says that instead.
    let code = if verdict.void.is_some() { 3 } else { 0 };
    assert_eq!(done.status.code(), Some(code));
    assert_eq!((verdict.schema, verdict.seed, verdict.senders), (1, 7, 3));
    let c = &verdict.counts;
    assert!(c.asked > 100, "{c:?}");
    assert_eq!(c.asked, c.in_time + c.late + c.handed_back + c.given_up + c.unheard + c.lost);
}

#[test]
fn a_broken_promise_is_exit_code_1_and_is_named() {
    let (_folder, path) = file("seconds = 1\nsenders = 2\n[program]\npath = '/bin/false'");
    let done = run(&["testbed", "run", path.to_str().unwrap()]);
    assert_eq!(done.status.code(), Some(1));
    let said = String::from_utf8(done.stdout).unwrap();
    assert!(said.contains("BROKEN crash (2): sender"), "{said}");
}

#[test]
fn bad_input_is_exit_code_2_and_names_its_place() {
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
        let (_folder, path) = file(text);
        let done = run(&["testbed", "check", path.to_str().unwrap()]);
        let said = String::from_utf8(done.stderr).unwrap();
        assert_eq!(done.status.code(), Some(2), "{text}: {said}");
        assert!(said.contains(place) && said.contains("test.toml"), "{text}: {said}");
    }
    let (_folder, path) = file("seconds = 1\n");
    let done = run(&["testbed", "run", path.to_str().unwrap(), "--set", "traffic.rate=-4"]);
    let said = String::from_utf8(done.stderr).unwrap();
    assert!(done.status.code() == Some(2) && said.contains("traffic.rate is -4"), "{said}");
}

#[test]
fn the_ready_made_experiments_are_valid_and_one_seed_draws_one_plan() {
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
fn plays_are_compared_by_seed_and_reported_on_one_page() {
    let (folder, path) = file(
        "title = 'pair <&>'\nseconds = 15\nrepetitions = 6\n[[event]]\nwhat = 'shut'\nat = 4\nfor = 4\npart = 0.2\n",
    );
    let dir = |name: &str| folder.path().join(name).display().to_string();
    let sim = |out: &str, set: &str| {
        let done =
            run(&["testbed", "sim", path.to_str().unwrap(), "--seed", "1", "--out", out, "--set", set]);
        assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
        done.stdout
    };
    let first = sim(&dir("a"), "traffic.load=0.7");
    assert_eq!(first, sim(&dir("again"), "traffic.load=0.7"), "one seed, one output");
    sim(&dir("b"), "traffic.load=2.5");
    let compare = |a: &str, b: &str| {
        let done = run(&["testbed", "compare", &dir(a), &dir(b), "--json"]);
        let compared: serde_json::Value = serde_json::from_slice(&done.stdout).expect("a comparison");
        (done.status.code(), compared["lines"][0]["word"].as_str().unwrap().to_string())
    };
    assert_eq!(compare("a", "again"), (Some(0), "inside-the-noise".into()));
    assert_eq!(compare("a", "b"), (Some(1), "worse".into()));
    assert_eq!(compare("b", "a"), (Some(0), "better".into()));
    let done = run(&["testbed", "compare", &dir("a"), &dir("nowhere")]);
    let said = String::from_utf8_lossy(&done.stderr).to_string();
    assert!(done.status.code() == Some(2) && said.contains("nowhere"), "{said}");

    assert!(run(&["testbed", "report", &dir("a")]).status.success());
    let page = std::fs::read_to_string(Path::new(&dir("a")).join("report.html")).unwrap();
    assert!(page.contains("<title>Experiment pair &lt;&amp;&gt;</title>"), "the title is text, not markup");
    assert_eq!(page.matches("<svg").count(), 18, "three plots for each of six seeds");
    assert_eq!(page.matches("shut: destination").count(), 6, "the fault is listed");
    assert!(!page.contains("<script") && !page.contains("<link"), "it needs nothing else");
    // An experiment's folder is never written over.
    let done = run(&["testbed", "sim", path.to_str().unwrap(), "--out", &dir("a")]);
    assert_eq!(done.status.code(), Some(2));
}

/// The children of a process, over all its threads.
fn children(id: u32) -> Vec<u32> {
    let tasks = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let of =
        |task: std::fs::DirEntry| std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
    tasks
        .map(of)
        .flat_map(|t| t.split_whitespace().filter_map(|n| n.parse().ok()).collect::<Vec<_>>())
        .collect()
}

/// Whether a process runs: one that has ended and is not waited for yet does not.
fn runs(id: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    stat.rsplit(')')
        .next()
        .is_some_and(|rest| !rest.trim().is_empty() && !rest.trim().starts_with(['Z', 'X']))
}

fn until(what: &str, so: impl Fn() -> bool) {
    let bound = Instant::now() + BOUND;
    while !so() {
        assert!(Instant::now() < bound, "waited in vain until {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn nothing_is_left_behind_by_a_testbed_that_is_killed_or_broken_off() {
    for (signal, code) in [("-KILL", None), ("-INT", Some(130))] {
        let sender = sender();
        let mut testbed = cairnpulley()
            .args(["demo", "--seconds", "60", "--seed", "1", "--sender", &sender])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        until("three senders run", || children(testbed.id()).len() == 3);
        let senders = children(testbed.id());
        // Long enough for the program to listen for the signal.
        until("the senders work", || {
            senders.iter().all(|id| Path::new(&format!("/proc/{id}/fd/9")).exists())
        });
        assert!(Command::new("kill").args([signal, &testbed.id().to_string()]).status().unwrap().success());
        assert_eq!(testbed.wait().unwrap().code(), code, "{signal}");
        until("the senders have ended", || !senders.iter().any(|id| runs(*id)));
    }
}
