//! Whole plays with the sender program as processes, and with programs that misbehave.
mod common;
use common::{play_with, sender_program};
use std::collections::BTreeSet;
use std::path::Path;
use testbed::facts::{FactKind, ProcessEvent};
use testbed::judge::Rule;
use testbed::play::Played;
use testbed::spec::EventKind;

fn violated_rules(played: &Played) -> BTreeSet<Rule> {
    played.verdict.violations.iter().map(|b| b.rule).collect()
}

/// Plays kills with calls in flight, a restart, a pause, an outage, a replaced endpoint, faults of discovery
/// and invalid peers. The sender program keeps all rules, and every fault shows in the facts.
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
    // A play is void if the machine was too busy; then it is played again.
    let mut played = play_with(&sender_program(), faults, 41);
    for _ in 0..2 {
        if played.verdict.void.is_some() {
            played = play_with(&sender_program(), faults, 41);
        }
    }
    let verdict = &played.verdict;
    assert_eq!(violated_rules(&played), BTreeSet::new(), "{:#?}", verdict.violations);
    assert_eq!((verdict.counts.lost, verdict.counts.repeated), (0, 0));
    assert!(verdict.counts.in_time * 2 > verdict.counts.asked, "{:?}", verdict.counts);
    let count = |is: &dyn Fn(&FactKind) -> bool| played.facts.iter().filter(|f| is(&f.kind)).count();
    let process_events = |wanted: ProcessEvent| {
        count(&|kind| matches!(kind, FactKind::Process { event, .. } if *event == wanted))
    };
    assert_eq!(process_events(ProcessEvent::Ready), 5, "three at the beginning and two restarts");
    assert_eq!(process_events(ProcessEvent::Exited { expected: false }), 0);
    assert_eq!((process_events(ProcessEvent::Paused), process_events(ProcessEvent::Continued)), (1, 1));
    assert_eq!(count(&|kind| matches!(kind, FactKind::DestinationFault { kind: EventKind::Down, .. })), 2);
    assert!(
        count(&|kind| matches!(kind, FactKind::ChangeSent { .. })) > 0,
        "changes of replaced endpoints are sent"
    );
    assert!(count(&|kind| matches!(kind, FactKind::Stranger { .. })) > 20);
}

#[test]
fn program_that_ends_at_once_is_crash() {
    let played = play_with(Path::new("/bin/false"), "seconds = 1\nsenders = 2", 1);
    assert_eq!(violated_rules(&played), BTreeSet::from([Rule::Crash]));
    assert_eq!(played.verdict.counts.unheard, played.verdict.counts.asked);
}

#[test]
fn program_that_floods_its_log_is_ended() {
    let text = "seconds = 1\nsenders = 1\n[program]\nready_s = 1.0";
    let played = play_with(Path::new("/usr/bin/yes"), text, 1);
    assert_eq!(violated_rules(&played), BTreeSet::from([Rule::Crash]));
}

/// A start waits while the process before is still ending, and does nothing if a process is running.
#[test]
fn overlapping_restarts_leave_one_process() {
    let text = "seconds = 3\nsenders = 2\n\
        [[event]]\nwhat = 'kill'\nat = 1\nfor = 0\nwhich = [0]\n\
        [[event]]\nwhat = 'kill'\nat = 1\nfor = 0.5\nwhich = [1]\n\
        [[event]]\nwhat = 'kill'\nat = 1.2\nfor = 0.9\nwhich = [1]\n";
    let played = play_with(&sender_program(), text, 7);
    assert_eq!(violated_rules(&played), BTreeSet::new(), "{:#?}", played.verdict.violations);
    let started = |of: u32| {
        let is = |kind: &FactKind| {
            matches!(
                kind,
                FactKind::Process { sender, event: ProcessEvent::Started } if *sender == of
            )
        };
        played.facts.iter().filter(|f| is(&f.kind)).count()
    };
    assert_eq!((started(0), started(1)), (2, 2));
}

/// Kills three of four senders at once, then one that loses its state folder and one that finds another
/// sender's.
fn restart_storm(sync: &str) {
    let text = format!(
        "seconds = 6\nsenders = 4\n[program]\nsync = '{sync}'\n\
        [[event]]\nwhat = 'kill'\nat = 1.5\nfor = 0.3\nwhich = [0, 1, 2]\n\
        [[event]]\nwhat = 'kill'\nat = 3\nfor = 0.3\nwhich = [0]\nfolder = 'empty'\n\
        [[event]]\nwhat = 'kill'\nat = 3\nfor = 0.3\nwhich = [1]\nfolder = 'another'\n"
    );
    let played = play_with(&sender_program(), &text, 3);
    assert_eq!(violated_rules(&played), BTreeSet::new(), "{:#?}", played.verdict.violations);
    let process_events = |wanted: ProcessEvent| {
        let is = |kind: &FactKind| matches!(kind, FactKind::Process { event, .. } if *event == wanted);
        played.facts.iter().filter(|f| is(&f.kind)).count()
    };
    assert_eq!(
        (
            process_events(ProcessEvent::RefusedFolder),
            process_events(ProcessEvent::Emptied),
            process_events(ProcessEvent::Ready)
        ),
        (1, 1, 9)
    );
}

#[test]
fn restart_storm_loses_nothing() {
    restart_storm("none");
}

#[test]
fn restart_storm_with_group_sync_loses_nothing() {
    restart_storm("group");
}
