//! The rules of the judge, on facts that violate no rule and on edits of them that each violate exactly one.
use std::collections::BTreeSet;
use testbed::clock::{Ns, MS, SECOND};
use testbed::facts::{Fact, FactKind, HandInResult, Notice, ProcessEvent, Reply};
use testbed::judge::{violations, Rule};
use testbed::plan::{classes, Terms, BOOKING, RATE_PUSH};
use testbed::platform::destination::Refusal;
use testbed::platform::list::Lifecycle;
use testbed::spec::{EventKind, Link};

const SENDER: u32 = 0;
/// An endpoint of destination 0, which has the endpoints 0 and 1.
const ENDPOINT: u32 = 0;
/// The endpoint of destination 1.
const OTHER_ENDPOINT: u32 = 2;

fn terms() -> Terms {
    Terms {
        senders: 1,
        classes: classes(),
        dest_of: vec![0, 0, 1],
        max_attempts: 8,
        request_span: 30 * SECOND,
        overload_window: 3 * SECOND,
    }
}

/// Collects facts in any order; they are sorted before they are judged.
#[derive(Clone, Default)]
struct FactBuilder(Vec<Fact>);

impl FactBuilder {
    fn fact(&mut self, at: Ns, kind: FactKind) -> &mut FactBuilder {
        self.0.push(Fact { at, kind });
        self
    }

    /// Adds a message for destination 0 whose client wants it delivered at `at`, and which is accepted.
    fn accepted(&mut self, at: Ns, message: u64, class: usize) -> &mut FactBuilder {
        let (request, dest, sender) = (message as u32, 0, SENDER);
        let due = at + terms().classes[class].deadline;
        self.fact(at, FactKind::Requested { request, sender, dest, class, planned: at })
            .fact(at + MS, FactKind::HandedIn { message, request, sender, due })
            .fact(at + 2 * MS, FactKind::HandInEnded { message, result: HandInResult::Accepted })
    }

    fn called(&mut self, at: Ns, call: u64, message: u64, endpoint: u32) -> &mut FactBuilder {
        self.fact(
            at,
            FactKind::CallReceived { call, message, sender: SENDER, endpoint, first: at, intact: true },
        )
    }

    fn replied(&mut self, at: Ns, call: u64, reply: Reply) -> &mut FactBuilder {
        self.fact(at, FactKind::Replied { call, reply })
    }

    fn delivered(&mut self, at: Ns, call: u64, message: u64) -> &mut FactBuilder {
        self.called(at, call, message, ENDPOINT).fact(at + 100 * MS, FactKind::Effect { call }).replied(
            at + 100 * MS,
            call,
            Reply::Delivered,
        )
    }

    fn process(&mut self, at: Ns, event: ProcessEvent) -> &mut FactBuilder {
        self.fact(at, FactKind::Process { sender: SENDER, event })
    }

    fn notice(&mut self, at: Ns, message: u64, notice: Notice) -> &mut FactBuilder {
        self.fact(at, FactKind::Notice { message, sender: SENDER, notice })
    }

    /// Returns the rules that the facts violate.
    fn violated(&self) -> BTreeSet<Rule> {
        let mut sorted = self.0.clone();
        sorted.sort_by_key(|f| f.at);
        violations(&terms(), &sorted).into_iter().map(|v| v.rule).collect()
    }
}

/// Returns the facts of a sender that handles refusals, waits, errors, a drain and a restart without a
/// violation.
fn valid_play() -> FactBuilder {
    let mut facts = FactBuilder::default();
    facts.process(-300 * MS, ProcessEvent::Started).process(-100 * MS, ProcessEvent::Ready);
    facts.accepted(0, 1, BOOKING);
    // Refused with a wait, and called again just after it.
    let refused = |wait| Reply::Refused { why: Refusal::Limit, wait };
    facts.called(5 * MS, 1, 1, ENDPOINT).replied(10 * MS, 1, refused(Some(SECOND)));
    facts.called(50 * MS, 2, 1, 1).replied(60 * MS, 2, refused(None));
    facts.delivered(1_020 * MS, 3, 1);
    // A booking is not sent again after an error, but given up in time.
    facts.accepted(2 * SECOND, 2, BOOKING).called(2_010 * MS, 4, 2, ENDPOINT).replied(
        2_200 * MS,
        4,
        Reply::Error,
    );
    facts.notice(2_300 * MS, 2, Notice::GivenUp);
    // A rate-push is sent again after an error.
    facts.accepted(3 * SECOND, 3, RATE_PUSH).called(3_010 * MS, 5, 3, ENDPOINT).replied(
        3_200 * MS,
        5,
        Reply::Error,
    );
    facts.delivered(3_400 * MS, 6, 3);
    // A call to an endpoint that drains, within the grace period.
    facts.fact(4 * SECOND, FactKind::EndpointChanged { endpoint: 1, lifecycle: Lifecycle::Terminating });
    facts.fact(
        5 * SECOND,
        FactKind::ChangeSent { sender: SENDER, endpoint: 1, lifecycle: Lifecycle::Terminating },
    );
    facts.accepted(5_390 * MS, 4, RATE_PUSH).called(5_400 * MS, 7, 4, 1).replied(
        5_500 * MS,
        7,
        Reply::Delivered,
    );
    // A kill. A message accepted before it ends late, but within the grace period after the restart.
    facts.accepted(7 * SECOND, 5, BOOKING);
    facts
        .process(22_900 * MS, ProcessEvent::Killed)
        .process(22_901 * MS, ProcessEvent::Exited { expected: true });
    facts.process(23_500 * MS, ProcessEvent::Started).process(23_700 * MS, ProcessEvent::Ready);
    facts.notice(24_900 * MS, 5, Notice::GivenUp);
    // An invalid peer is answered in time.
    let form = || "no id".to_string();
    facts.fact(
        SECOND,
        FactKind::Stranger {
            sender: SENDER,
            form: form(),
            within: 3 * SECOND,
            answered: Some(2_900 * MS),
            taken: false,
        },
    );
    facts
}

/// Asserts that an edit of the valid play violates one rule and no other.
#[track_caller]
fn assert_only_violates(rule: Rule, edit: impl FnOnce(&mut FactBuilder)) {
    let mut facts = valid_play();
    assert_eq!(facts.violated(), BTreeSet::new(), "before the edit");
    edit(&mut facts);
    assert_eq!(facts.violated(), BTreeSet::from([rule]));
}

/// Removes all facts that match.
fn remove(facts: &mut FactBuilder, is: impl Fn(&FactKind) -> bool) {
    let before = facts.0.len();
    facts.0.retain(|f| !is(&f.kind));
    assert_ne!(facts.0.len(), before, "no fact matches");
}

#[test]
fn lost_if_message_never_ends() {
    assert_only_violates(Rule::Lost, |facts| {
        remove(facts, |kind| matches!(kind, FactKind::Notice { message: 2, .. }))
    });
}

#[test]
fn lost_if_client_gets_no_answer() {
    assert_only_violates(Rule::Lost, |facts| {
        let (request, sender, dest) = (9, SENDER, 0);
        facts.fact(SECOND, FactKind::Requested { request, sender, dest, class: RATE_PUSH, planned: SECOND });
        facts.fact(SECOND, FactKind::HandedIn { message: 9, request, sender, due: 9 * SECOND });
        facts.fact(SECOND + MS, FactKind::HandInEnded { message: 9, result: HandInResult::Closed });
    });
}

#[test]
fn emptied_state_folder_excuses_lost_messages() {
    let mut facts = valid_play();
    remove(&mut facts, |kind| matches!(kind, FactKind::Notice { message: 5, .. }));
    assert_eq!(facts.violated(), BTreeSet::from([Rule::Lost]));
    facts.process(23 * SECOND, ProcessEvent::Emptied);
    assert_eq!(facts.violated(), BTreeSet::new());
}

#[test]
fn late_end_if_notice_comes_after_deadline() {
    assert_only_violates(Rule::LateEnd, |facts| {
        remove(facts, |kind| matches!(kind, FactKind::Notice { message: 2, .. }));
        facts.notice(18_400 * MS, 2, Notice::GivenUp);
    });
}

#[test]
fn late_end_if_restart_is_too_long_ago() {
    assert_only_violates(Rule::LateEnd, |facts| {
        remove(facts, |kind| matches!(kind, FactKind::Notice { message: 5, .. }));
        facts.notice(25_300 * MS, 5, Notice::GivenUp);
    });
}

#[test]
fn twice_if_booking_is_sent_again_after_error() {
    assert_only_violates(Rule::Twice, |facts| {
        facts.called(2_250 * MS, 90, 2, ENDPOINT).replied(2_260 * MS, 90, Reply::Error);
    });
}

#[test]
fn twice_if_booking_is_sent_during_another_call() {
    assert_only_violates(Rule::Twice, |facts| {
        facts.called(1_050 * MS, 90, 1, 1).replied(
            1_060 * MS,
            90,
            Reply::Refused { why: Refusal::Queue, wait: None },
        );
    });
}

#[test]
fn twice_if_booking_is_handed_back_after_error() {
    assert_only_violates(Rule::Twice, |facts| {
        remove(facts, |kind| matches!(kind, FactKind::Notice { message: 2, .. }));
        facts.notice(2_300 * MS, 2, Notice::HandedBack);
    });
}

#[test]
fn drain_if_call_begins_after_change_was_sent() {
    assert_only_violates(Rule::Drain, |facts| {
        facts.called(5_600 * MS, 90, 4, 1).replied(5_700 * MS, 90, Reply::Delivered);
    });
}

#[test]
fn drain_if_change_counts_as_known() {
    assert_only_violates(Rule::Drain, |facts| {
        remove(facts, |kind| matches!(kind, FactKind::ChangeSent { .. }));
        facts.called(10_600 * MS, 90, 4, 1).replied(10_700 * MS, 90, Reply::Delivered);
    });
}

/// Returns whether a call to endpoint 1 violates the rule on drains and no other, if the agents have its
/// drain from 5 s on and nothing was sent.
fn drain_of_published_change(call_at: Ns, more: impl Fn(&mut FactBuilder)) -> bool {
    let mut facts = valid_play();
    remove(&mut facts, |kind| matches!(kind, FactKind::ChangeSent { .. }));
    let lifecycle = Lifecycle::Terminating;
    facts.fact(5 * SECOND, FactKind::ChangePublished { endpoint: 1, lifecycle });
    more(&mut facts);
    facts.called(call_at, 90, 4, 1).replied(call_at + 100 * MS, 90, Reply::Delivered);
    let violated = facts.violated();
    assert!(violated.is_subset(&BTreeSet::from([Rule::Drain])), "{violated:?}");
    !violated.is_empty()
}

#[test]
fn drain_if_agent_has_change() {
    assert!(!drain_of_published_change(5_540 * MS, |_| {}));
    assert!(drain_of_published_change(5_560 * MS, |_| {}));
}

#[test]
fn drain_counts_from_when_agent_answers_again() {
    for kind in [EventKind::DiscoverySilent, EventKind::DiscoveryRefuses, EventKind::DiscoveryCrowded] {
        let outage = |facts: &mut FactBuilder| {
            facts.fact(4 * SECOND, FactKind::DiscoveryFault { kind, begins: true });
            facts.fact(6 * SECOND, FactKind::DiscoveryFault { kind, begins: false });
        };
        assert!(!drain_of_published_change(6_540 * MS, outage));
        assert!(drain_of_published_change(6_560 * MS, outage));
    }
}

/// A change that discovery has written to a link that is cut has not come to the sender.
#[test]
fn drain_counts_from_when_link_to_discovery_carries_it() {
    let cut = |facts: &mut FactBuilder| {
        let fault = |begins| FactKind::LinkFault {
            sender: SENDER,
            link: Link::Discovery,
            kind: EventKind::CutBack,
            begins,
        };
        facts.fact(4_900 * MS, fault(true)).fact(5_200 * MS, fault(false));
        let lifecycle = Lifecycle::Terminating;
        facts.fact(5_010 * MS, FactKind::ChangeSent { sender: SENDER, endpoint: 1, lifecycle });
    };
    // Data on the link may be late by 1.5 s after its fault.
    assert!(!drain_of_published_change(7_240 * MS, cut));
    assert!(drain_of_published_change(7_260 * MS, cut));
}

#[test]
fn drain_counts_from_four_seconds_after_move() {
    let moves = |facts: &mut FactBuilder| {
        let kind = EventKind::DiscoveryMoves;
        facts.fact(4_500 * MS, FactKind::DiscoveryFault { kind, begins: true });
    };
    assert!(!drain_of_published_change(9_040 * MS, moves));
    assert!(drain_of_published_change(9_060 * MS, moves));
}

#[test]
fn drain_counts_from_end_of_pause_of_sender() {
    let pause = |facts: &mut FactBuilder| {
        facts.process(5_100 * MS, ProcessEvent::Paused).process(6 * SECOND, ProcessEvent::Continued);
    };
    assert!(!drain_of_published_change(6_540 * MS, pause));
    assert!(drain_of_published_change(6_560 * MS, pause));
}

#[test]
fn wait_if_call_comes_within_retry_after() {
    assert_only_violates(Rule::Wait, |facts| {
        facts.accepted(400 * MS, 9, RATE_PUSH).delivered(500 * MS, 90, 9);
    });
}

#[test]
fn restart_ends_wait() {
    let mut facts = valid_play();
    facts.accepted(400 * MS, 9, RATE_PUSH).delivered(500 * MS, 90, 9);
    facts.process(300 * MS, ProcessEvent::Killed).process(301 * MS, ProcessEvent::Exited { expected: true });
    facts.process(310 * MS, ProcessEvent::Started).process(450 * MS, ProcessEvent::Ready);
    assert_eq!(facts.violated(), BTreeSet::new());
}

/// Adds an outage of destination 0, and calls to endpoint 0 just before it fails by overload. `seen` if the
/// sender held a message for the destination during the outage.
fn overload_after_outage(facts: &mut FactBuilder, seen: bool) {
    facts.fact(8 * SECOND, FactKind::DestinationFault { dest: 0, kind: EventKind::Down, begins: true });
    facts.fact(9 * SECOND, FactKind::DestinationFault { dest: 0, kind: EventKind::Down, begins: false });
    // The sender holds message 5 for the destination during the outage; without it no sender has seen the
    // outage.
    if !seen {
        remove(facts, |kind| {
            matches!(kind, FactKind::HandInEnded { message: 5, .. } | FactKind::Notice { message: 5, .. })
        });
    }
    facts.accepted(9_100 * MS, 9, RATE_PUSH);
    for call in 0..5 {
        facts.called(9_200 * MS + call as Ns * MS, 90 + call, 9, ENDPOINT).replied(
            10 * SECOND,
            90 + call,
            Reply::Broken,
        );
    }
    facts.fact(10 * SECOND, FactKind::OverloadFailure { endpoint: ENDPOINT }).notice(
        10 * SECOND,
        9,
        Notice::GivenUp,
    );
}

#[test]
fn cold_return_if_senders_that_saw_outage_overload_endpoint() {
    assert_only_violates(Rule::ColdReturn, |facts| overload_after_outage(facts, true));
}

#[test]
fn no_cold_return_if_senders_did_not_see_outage() {
    let mut facts = valid_play();
    overload_after_outage(&mut facts, false);
    assert_eq!(facts.violated(), BTreeSet::new());
}

#[test]
fn misdirected_if_call_goes_to_other_destination() {
    assert_only_violates(Rule::Misdirected, |facts| {
        facts.called(3_300 * MS, 90, 3, OTHER_ENDPOINT).replied(3_400 * MS, 90, Reply::Error);
    });
}

#[test]
fn stray_if_call_has_no_client_message() {
    assert_only_violates(Rule::Stray, |facts| {
        facts.called(3_300 * MS, 90, 77, ENDPOINT).replied(3_310 * MS, 90, Reply::Error);
    });
    assert_only_violates(Rule::Stray, |facts| {
        facts.fact(SECOND, FactKind::CallWithoutId { sender: SENDER, endpoint: ENDPOINT });
    });
}

#[test]
fn stray_if_body_is_changed_or_attempts_exceed_limit() {
    assert_only_violates(Rule::Stray, |facts| {
        facts.fact(
            3_300 * MS,
            FactKind::CallReceived {
                call: 90,
                message: 3,
                sender: SENDER,
                endpoint: ENDPOINT,
                first: 3_300 * MS,
                intact: false,
            },
        );
    });
    assert_only_violates(Rule::Stray, |facts| {
        for call in 90..97 {
            facts.called(3_300 * MS, call, 3, ENDPOINT).replied(3_310 * MS, call, Reply::Error);
        }
    });
}

#[test]
fn stranger_if_not_answered_late_or_accepted() {
    for (answered, taken) in [(None, false), (Some(3_100 * MS), false), (None, true)] {
        assert_only_violates(Rule::Stranger, |facts| {
            let form = "half a head".to_string();
            facts.fact(
                4 * SECOND,
                FactKind::Stranger { sender: SENDER, form, within: 3 * SECOND, answered, taken },
            );
        });
    }
}

#[test]
fn crash_if_process_ends_by_itself_or_is_not_ready() {
    assert_only_violates(Rule::Crash, |facts| {
        facts.process(28 * SECOND, ProcessEvent::Exited { expected: false });
    });
    assert_only_violates(Rule::Crash, |facts| {
        facts
            .process(28 * SECOND, ProcessEvent::Killed)
            .process(28_001 * MS, ProcessEvent::Exited { expected: true });
        facts.process(28_500 * MS, ProcessEvent::Started).process(58_500 * MS, ProcessEvent::NotReady);
    });
}
