//! Whole plays: real senders as processes, and what a testbed does with those that misbehave.
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use testbed::facts::{FactKind, ProcessEvent};
use testbed::judge::Rule;
use testbed::plan::Plan;
use testbed::play::{play, Played, Progress};
use testbed::program;
use testbed::seed::Seed;
use testbed::spec::{EventKind, Spec};
use tokio::sync::watch;

fn played_by(program: &Path, text: &str, seed: u64) -> Played {
    let spec = Spec::parse(Path::new("test.toml"), text).expect("the experiment is valid");
    let plan = Arc::new(Plan::draw(&spec, Seed(seed)));
    let work = tempfile::tempdir().expect("a folder");
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let progress = watch::Sender::new(Progress::Starting { ready: 0 });
    eprintln!("seed {seed}");
    runtime.block_on(play(&plan, program, work.path(), &progress)).expect("it plays")
}

fn sender() -> std::path::PathBuf {
    program::of_test().expect("the whole workspace is built: cargo test --workspace")
}

fn broken(played: &Played) -> BTreeSet<Rule> {
    played.verdict.violations.iter().map(|b| b.rule).collect()
}

/// Kills with calls out, a restart, a pause, an outage, a replaced endpoint, discovery gone, crowded, reset
/// and moved, strangers: the real senders keep all rules, and every fault shows in the facts.
#[test]
fn senders_keep_the_rules_through_faults() {
    let faults = "seconds = 12\nsenders = 3\nclients = { strangers = 4.0 }\n\
        [[event]]\nwhat = 'kill'\nat = 3\nfor = 0.6\nwhich = [0]\n\
        [[event]]\nwhat = 'terminate'\nat = 3\nfor = 0.1\nwhich = [1]\n\
        [[event]]\nwhat = 'pause'\nat = 8\nfor = 0.3\nwhich = [2]\n\
        [[event]]\nwhat = 'down'\nat = 2\nfor = 3\nwhich = [1]\n\
        [[event]]\nwhat = 'lose-answers'\nat = 5\nfor = 4\nwhich = [0]\nsize = 0.3\n\
        [[event]]\nwhat = 'replace'\nat = 1\nfor = 6\npart = 0.5\n\
        [[event]]\nwhat = 'discovery-silent'\nat = 4\nfor = 1\n\
        [[event]]\nwhat = 'discovery-crowded'\nat = 3\nfor = 1\nsize = 1.0\n\
        [[event]]\nwhat = 'discovery-resets'\nat = 5.5\n\
        [[event]]\nwhat = 'discovery-moves'\nat = 6\n";
    // A play for which the machine was too busy says nothing of the senders: it is played again.
    let mut played = played_by(&sender(), faults, 41);
    for _ in 0..2 {
        if played.verdict.void.is_some() {
            played = played_by(&sender(), faults, 41);
        }
    }
    let verdict = &played.verdict;
    assert_eq!(broken(&played), BTreeSet::new(), "{:#?}", verdict.violations);
    assert_eq!((verdict.counts.lost, verdict.counts.repeated), (0, 0));
    assert!(verdict.counts.in_time * 2 > verdict.counts.asked, "{:?}", verdict.counts);
    let count = |is: &dyn Fn(&FactKind) -> bool| played.facts.iter().filter(|f| is(&f.kind)).count();
    let lives = |l: ProcessEvent| count(&|w| matches!(w, FactKind::Process { event, .. } if *event == l));
    assert_eq!(lives(ProcessEvent::Ready), 5, "three at the beginning, and two again");
    assert_eq!(lives(ProcessEvent::Exited { expected: false }), 0);
    assert_eq!((lives(ProcessEvent::Paused), lives(ProcessEvent::Continued)), (1, 1));
    assert_eq!(count(&|w| matches!(w, FactKind::DestinationFault { kind: EventKind::Down, .. })), 2);
    assert!(count(&|w| matches!(w, FactKind::ChangeSent { .. })) > 0, "replaced endpoints are told");
    assert!(count(&|w| matches!(w, FactKind::Stranger { .. })) > 20);
}

#[test]
fn a_sender_that_ends_at_once_is_a_crash_and_not_the_ranges_failure() {
    let played = played_by(Path::new("/bin/false"), "seconds = 1\nsenders = 2", 1);
    assert_eq!(broken(&played), BTreeSet::from([Rule::Crash]));
    assert_eq!(played.verdict.counts.unheard, played.verdict.counts.asked);
}

#[test]
fn a_sender_that_writes_without_end_and_is_never_ready_is_ended() {
    let text = "seconds = 1\nsenders = 1\n[program]\nready_s = 1.0";
    let played = played_by(Path::new("/usr/bin/yes"), text, 1);
    assert_eq!(broken(&played), BTreeSet::from([Rule::Crash]));
}

/// A start that comes as the process before is still ending waits for its end, and one that finds a process
/// leaves it.
#[test]
fn restarts_without_a_pause_and_across_one_another_leave_one_process() {
    let text = "seconds = 3\nsenders = 2\n\
        [[event]]\nwhat = 'kill'\nat = 1\nfor = 0\nwhich = [0]\n\
        [[event]]\nwhat = 'kill'\nat = 1\nfor = 0.5\nwhich = [1]\n\
        [[event]]\nwhat = 'kill'\nat = 1.2\nfor = 0.9\nwhich = [1]\n";
    let played = played_by(&sender(), text, 7);
    assert_eq!(broken(&played), BTreeSet::new(), "{:#?}", played.verdict.violations);
    let started = |of: u32| {
        let is = |w: &FactKind| matches!(w, FactKind::Process { sender, event: ProcessEvent::Started } if *sender == of);
        played.facts.iter().filter(|f| is(&f.kind)).count()
    };
    assert_eq!((started(0), started(1)), (2, 2));
}

/// Most are killed at once, one loses its folder and one finds another's.
fn storm(sync: &str) {
    let text = format!(
        "seconds = 6\nsenders = 4\n[program]\nsync = '{sync}'\n\
        [[event]]\nwhat = 'kill'\nat = 1.5\nfor = 0.3\nwhich = [0, 1, 2]\n\
        [[event]]\nwhat = 'kill'\nat = 3\nfor = 0.3\nwhich = [0]\nfolder = 'empty'\n\
        [[event]]\nwhat = 'kill'\nat = 3\nfor = 0.3\nwhich = [1]\nfolder = 'another'\n"
    );
    let played = played_by(&sender(), &text, 3);
    assert_eq!(broken(&played), BTreeSet::new(), "{:#?}", played.verdict.violations);
    let lives = |of: ProcessEvent| {
        let is = |w: &FactKind| matches!(w, FactKind::Process { event, .. } if *event == of);
        played.facts.iter().filter(|f| is(&f.kind)).count()
    };
    assert_eq!(
        (lives(ProcessEvent::RefusedFolder), lives(ProcessEvent::Emptied), lives(ProcessEvent::Ready)),
        (1, 1, 9)
    );
}

#[test]
fn a_restart_storm_with_folders_kept_emptied_and_swapped_loses_nothing() {
    storm("none");
}

#[test]
fn a_restart_storm_loses_nothing_where_answers_wait_for_syncs() {
    storm("group");
}
