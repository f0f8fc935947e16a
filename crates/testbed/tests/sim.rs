//! Plays in simulated time: the same seed gives the same facts, no rule is violated under faults with seeds 1
//! to 8, and changes of the list are sent in order.
use std::collections::HashMap;
use std::path::Path;
use testbed::facts::{FactKind, ProcessEvent};
use testbed::plan::Plan;
use testbed::seed::Seed;
use testbed::sim::{simulate, Simulated};
use testbed::spec::Spec;

fn simulated(text: &str, seed: u64) -> Simulated {
    let spec = Spec::parse(Path::new("test.toml"), text).expect("the experiment is valid");
    simulate(&Plan::draw(&spec, Seed(seed))).expect("the play runs")
}

/// Times are in seconds; `part` and `size` are shares.
const EXPERIMENT_WITH_FAULTS: &str =
    "seconds = 30\nsenders = 40\n[traffic]\nrate = 200.0\n[platform]\nendpoints = 24\n\
    [[event]]\nwhat = 'down'\nat = 4\nfor = 4\npart = 0.2\n\
    [[event]]\nwhat = 'silent'\nat = 12\nfor = 4\npart = 0.2\n\
    [[event]]\nwhat = 'kill'\nat = 6\nfor = 0.6\npart = 0.5\n\
    [[event]]\nwhat = 'terminate'\nat = 16\nfor = 0.2\npart = 0.2\n\
    [[event]]\nwhat = 'pause'\nat = 20\nfor = 0.5\npart = 0.1\n\
    [[event]]\nwhat = 'replace'\nat = 5\nfor = 8\npart = 0.4\n\
    [[event]]\nwhat = 'cut'\nlink = 'endpoints'\nat = 18\nfor = 3\npart = 0.2\n\
    [[event]]\nwhat = 'break'\nlink = 'endpoints'\nat = 24\npart = 0.5\n\
    [[event]]\nwhat = 'lose-answers'\nat = 10\nfor = 5\npart = 0.3\nsize = 0.3\n\
    [[event]]\nwhat = 'discovery-refuses'\nat = 5\nfor = 6\n";

#[test]
fn same_seed_gives_same_facts_and_verdict() {
    let bytes = |seed| {
        let Simulated { verdict, facts } = simulated(EXPERIMENT_WITH_FAULTS, seed);
        serde_json::to_vec(&(verdict, facts)).unwrap()
    };
    let one = bytes(1);
    assert!(one == bytes(1), "two plays with seed 1 differ");
    assert!(one != bytes(2), "plays with seeds 1 and 2 are the same");
}

#[test]
fn senders_violate_no_rule_under_faults_for_eight_seeds() {
    for seed in 1..=8 {
        let Simulated { verdict, facts } = simulated(EXPERIMENT_WITH_FAULTS, seed);
        assert!(verdict.violations.is_empty(), "seed {seed}: {:#?}", verdict.violations);
        let c = &verdict.counts;
        // About 6,000 messages are handed in: 200 a second for 30 s.
        assert!(c.in_time * 2 > c.asked && c.asked > 5_000, "seed {seed}: {c:?}");
        let count = |wanted: ProcessEvent| {
            facts
                .iter()
                .filter(|f| matches!(f.kind, FactKind::Process { event, .. } if event == wanted))
                .count()
        };
        // Of 40 senders, 20 are killed and 8 terminated, and each of these is started again. A terminated
        // process exits before it would be killed.
        assert_eq!((count(ProcessEvent::Killed), count(ProcessEvent::Ready)), (20, 68), "seed {seed}");
    }
}

/// Changes of the list are delayed by random times. If they were sent out of order, an endpoint that is gone
/// would come back as one that drains.
#[test]
fn delayed_list_changes_are_sent_in_order() {
    // `notice_s` are the bounds of the delays, in seconds.
    let text = "seconds = 30\n[platform]\nnotice_s = [0.0, 9.0]\n\
        [[event]]\nwhat = 'replace'\nat = 2\nfor = 8\npart = 1.0\n";
    for seed in 1..=10 {
        let mut last_sent_position = HashMap::new();
        let mut recorded_changes = Vec::new();
        for fact in simulated(text, seed).facts {
            match fact.kind {
                FactKind::EndpointChanged { endpoint, lifecycle } => {
                    recorded_changes.push((endpoint, lifecycle))
                }
                FactKind::ChangeSent { sender, endpoint, lifecycle } => {
                    let position = recorded_changes
                        .iter()
                        .position(|c| *c == (endpoint, lifecycle))
                        .expect("the change was recorded");
                    let before = last_sent_position.insert((sender, endpoint), position);
                    assert!(
                        before.is_none_or(|b| b <= position),
                        "seed {seed}, endpoint {endpoint}: {lifecycle:?} was sent after a later change"
                    );
                }
                _ => {}
            }
        }
        assert!(!last_sent_position.is_empty(), "seed {seed}: no change was sent");
    }
}
