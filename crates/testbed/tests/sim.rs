//! Plays in simulated time: determinism, and the rules at any seed.
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

const FAULTS: &str = "seconds = 30\nsenders = 40\n[traffic]\nrate = 200.0\n[platform]\nendpoints = 24\n\
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
fn facts_depend_on_seed_only() {
    let bytes = |seed| {
        let Simulated { verdict, facts } = simulated(FAULTS, seed);
        serde_json::to_vec(&(verdict, facts)).unwrap()
    };
    let one = bytes(1);
    assert!(one == bytes(1), "two plays with seed 1 differ");
    assert!(one != bytes(2));
}

#[test]
fn keeps_rules_through_faults_at_any_seed() {
    for seed in 1..=8 {
        let Simulated { verdict, facts } = simulated(FAULTS, seed);
        assert!(verdict.violations.is_empty(), "seed {seed}: {:#?}", verdict.violations);
        let c = &verdict.counts;
        assert!(c.in_time * 2 > c.asked && c.asked > 5_000, "seed {seed}: {c:?}");
        let count = |wanted: ProcessEvent| {
            facts
                .iter()
                .filter(|f| matches!(f.kind, FactKind::Process { event, .. } if event == wanted))
                .count()
        };
        assert_eq!((count(ProcessEvent::Killed), count(ProcessEvent::Ready)), (20, 68), "seed {seed}");
    }
}

/// Changes of the list are delayed by random times. If they were sent out of order, an endpoint that is gone
/// would come back as one that drains.
#[test]
fn delayed_list_changes_are_sent_in_order() {
    let text = "seconds = 30\n[platform]\nnotice_s = [0.0, 9.0]\n\
        [[event]]\nwhat = 'replace'\nat = 2\nfor = 8\npart = 1.0\n";
    for seed in 1..=10 {
        let mut last = HashMap::new();
        let mut order = Vec::new();
        for fact in simulated(text, seed).facts {
            match fact.kind {
                FactKind::EndpointChanged { endpoint, lifecycle } => order.push((endpoint, lifecycle)),
                FactKind::ChangeSent { sender, endpoint, lifecycle } => {
                    let place = order
                        .iter()
                        .position(|c| *c == (endpoint, lifecycle))
                        .expect("the change was recorded");
                    let before = last.insert((sender, endpoint), place);
                    assert!(
                        before.is_none_or(|b| b <= place),
                        "seed {seed}, endpoint {endpoint}: {lifecycle:?}"
                    );
                }
                _ => {}
            }
        }
        assert!(!last.is_empty());
    }
}
