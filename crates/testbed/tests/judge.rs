//! Each rule of the judge: a ledger that keeps them all, and one edit of it for each rule that breaks just
//! that one.
use std::collections::BTreeSet;
use testbed::clock::{Ns, MS, SECOND};
use testbed::facts::{Fact, FactKind, HandInResult, Notice, ProcessEvent, Reply};
use testbed::judge::{violations, Rule};
use testbed::plan::{classes, Terms, BOOKING, RATE_PUSH};
use testbed::platform::destination::Refusal;
use testbed::platform::list::Lifecycle;
use testbed::spec::EventKind;

const SENDER: u32 = 0;
/// Endpoints 0 and 1 are destination 0's, endpoint 2 is destination 1's.
const ENDPOINT: u32 = 0;
const OTHERS: u32 = 2;

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

/// A ledger in the making: facts in any order, sorted at the end.
#[derive(Clone, Default)]
struct Story(Vec<Fact>);

impl Story {
    fn at(&mut self, at: Ns, kind: FactKind) -> &mut Story {
        self.0.push(Fact { at, kind });
        self
    }

    /// A message for destination 0 that is taken on at `at`.
    fn taken(&mut self, at: Ns, message: u64, class: usize) -> &mut Story {
        let (request, dest, sender) = (message as u32, 0, SENDER);
        let due = at + terms().classes[class].deadline;
        self.at(at, FactKind::Requested { request, sender, dest, class, planned: at })
            .at(at + MS, FactKind::HandedIn { message, request, sender, due })
            .at(at + 2 * MS, FactKind::HandInEnded { message, result: HandInResult::Accepted })
    }

    fn called(&mut self, at: Ns, call: u64, message: u64, endpoint: u32) -> &mut Story {
        self.at(
            at,
            FactKind::CallReceived { call, message, sender: SENDER, endpoint, first: at, intact: true },
        )
    }

    fn replied(&mut self, at: Ns, call: u64, reply: Reply) -> &mut Story {
        self.at(at, FactKind::Replied { call, reply })
    }

    fn delivered(&mut self, at: Ns, call: u64, message: u64) -> &mut Story {
        self.called(at, call, message, ENDPOINT).at(at + 100 * MS, FactKind::Effect { call }).replied(
            at + 100 * MS,
            call,
            Reply::Delivered,
        )
    }

    fn life(&mut self, at: Ns, life: ProcessEvent) -> &mut Story {
        self.at(at, FactKind::Process { sender: SENDER, event: life })
    }

    fn notice(&mut self, at: Ns, message: u64, notice: Notice) -> &mut Story {
        self.at(at, FactKind::Notice { message, sender: SENDER, notice })
    }

    fn broken(&self) -> BTreeSet<Rule> {
        let mut facts = self.0.clone();
        facts.sort_by_key(|f| f.at);
        violations(&terms(), &facts).into_iter().map(|b| b.rule).collect()
    }
}

/// A sender that does everything that is hard rightly: refusals, waits, a restart, a drain, a cold return.
fn kept() -> Story {
    let mut story = Story::default();
    story.life(-300 * MS, ProcessEvent::Started).life(-100 * MS, ProcessEvent::Ready);
    story.taken(0, 1, BOOKING);
    // Turned away with a wait, and called again just after it.
    let refused = |wait| Reply::Refused { why: Refusal::Limit, wait };
    story.called(5 * MS, 1, 1, ENDPOINT).replied(10 * MS, 1, refused(Some(SECOND)));
    story.called(50 * MS, 2, 1, 1).replied(60 * MS, 2, refused(None));
    story.delivered(1_020 * MS, 3, 1);
    // An error, and not again, but given up in time.
    story.taken(2 * SECOND, 2, BOOKING).called(2_010 * MS, 4, 2, ENDPOINT).replied(
        2_200 * MS,
        4,
        Reply::Error,
    );
    story.notice(2_300 * MS, 2, Notice::GivenUp);
    // The same of the other class is called again.
    story.taken(3 * SECOND, 3, RATE_PUSH).called(3_010 * MS, 5, 3, ENDPOINT).replied(
        3_200 * MS,
        5,
        Reply::Error,
    );
    story.delivered(3_400 * MS, 6, 3);
    // A drain.
    story.at(4 * SECOND, FactKind::EndpointChanged { endpoint: 1, lifecycle: Lifecycle::Terminating });
    story.at(
        5 * SECOND,
        FactKind::ChangeSent { sender: SENDER, endpoint: 1, lifecycle: Lifecycle::Terminating },
    );
    story.taken(5_390 * MS, 4, RATE_PUSH).called(5_400 * MS, 7, 4, 1).replied(
        5_500 * MS,
        7,
        Reply::Delivered,
    );
    // A kill, and what was taken on before ends a little late after it.
    story.taken(7 * SECOND, 5, BOOKING);
    story.life(22_900 * MS, ProcessEvent::Killed).life(22_901 * MS, ProcessEvent::Exited { expected: true });
    story.life(23_500 * MS, ProcessEvent::Started).life(23_700 * MS, ProcessEvent::Ready);
    story.notice(24_900 * MS, 5, Notice::GivenUp);
    // Strangers have their error or their close.
    let form = || "no id".to_string();
    story.at(
        SECOND,
        FactKind::Stranger {
            sender: SENDER,
            form: form(),
            within: 3 * SECOND,
            answered: Some(2_900 * MS),
            taken: false,
        },
    );
    story
}

#[track_caller]
fn only(rule: Rule, edit: impl FnOnce(&mut Story)) {
    let mut story = kept();
    assert_eq!(story.broken(), BTreeSet::new(), "before the edit");
    edit(&mut story);
    assert_eq!(story.broken(), BTreeSet::from([rule]));
}

fn without(story: &mut Story, is: impl Fn(&FactKind) -> bool) {
    let before = story.0.len();
    story.0.retain(|f| !is(&f.kind));
    assert_ne!(story.0.len(), before, "the edit found nothing");
}

#[test]
fn lost_where_a_message_has_no_end() {
    only(Rule::Lost, |s| without(s, |w| matches!(w, FactKind::Notice { message: 2, .. })));
}

#[test]
fn lost_where_clients_are_left_without_an_answer() {
    only(Rule::Lost, |s| {
        let (request, sender, dest) = (9, SENDER, 0);
        s.at(SECOND, FactKind::Requested { request, sender, dest, class: RATE_PUSH, planned: SECOND });
        s.at(SECOND, FactKind::HandedIn { message: 9, request, sender, due: 9 * SECOND });
        s.at(SECOND + MS, FactKind::HandInEnded { message: 9, result: HandInResult::Closed });
    });
}

#[test]
fn an_emptied_folder_excuses_what_was_owed() {
    let mut story = kept();
    without(&mut story, |w| matches!(w, FactKind::Notice { message: 5, .. }));
    assert_eq!(story.broken(), BTreeSet::from([Rule::Lost]));
    story.life(23 * SECOND, ProcessEvent::Emptied);
    assert_eq!(story.broken(), BTreeSet::new());
}

#[test]
fn late_end_where_a_notice_comes_after_the_time() {
    only(Rule::LateEnd, |s| {
        without(s, |w| matches!(w, FactKind::Notice { message: 2, .. }));
        s.notice(18_400 * MS, 2, Notice::GivenUp);
    });
}

#[test]
fn late_end_where_a_restart_does_not_excuse_it() {
    only(Rule::LateEnd, |s| {
        without(s, |w| matches!(w, FactKind::Notice { message: 5, .. }));
        s.notice(25_300 * MS, 5, Notice::GivenUp);
    });
}

#[test]
fn twice_where_a_booking_is_called_again_after_an_error() {
    only(Rule::Twice, |s| {
        s.called(2_250 * MS, 90, 2, ENDPOINT).replied(2_260 * MS, 90, Reply::Error);
    });
}

#[test]
fn twice_where_a_booking_is_called_while_a_call_is_out() {
    only(Rule::Twice, |s| {
        s.called(1_050 * MS, 90, 1, 1).replied(
            1_060 * MS,
            90,
            Reply::Refused { why: Refusal::Queue, wait: None },
        );
    });
}

#[test]
fn twice_where_a_booking_is_handed_back_after_an_error() {
    only(Rule::Twice, |s| {
        without(s, |w| matches!(w, FactKind::Notice { message: 2, .. }));
        s.notice(2_300 * MS, 2, Notice::HandedBack);
    });
}

#[test]
fn drain_where_a_call_begins_after_it_was_told() {
    only(Rule::Drain, |s| {
        s.called(5_600 * MS, 90, 4, 1).replied(5_700 * MS, 90, Reply::Delivered);
    });
}

#[test]
fn drain_where_it_counts_as_told() {
    only(Rule::Drain, |s| {
        without(s, |w| matches!(w, FactKind::ChangeSent { .. }));
        s.called(10_600 * MS, 90, 4, 1).replied(10_700 * MS, 90, Reply::Delivered);
    });
}

#[test]
fn wait_where_a_call_comes_within_it() {
    only(Rule::Wait, |s| {
        s.taken(400 * MS, 9, RATE_PUSH).delivered(500 * MS, 90, 9);
    });
}

#[test]
fn a_restart_ends_a_wait() {
    let mut story = kept();
    story.taken(400 * MS, 9, RATE_PUSH).delivered(500 * MS, 90, 9);
    story.life(300 * MS, ProcessEvent::Killed).life(301 * MS, ProcessEvent::Exited { expected: true });
    story.life(310 * MS, ProcessEvent::Started).life(450 * MS, ProcessEvent::Ready);
    assert_eq!(story.broken(), BTreeSet::new());
}

/// An outage of destination 0, and calls at endpoint 0 just before it falls over.
fn fallen(s: &mut Story, failing: bool) {
    s.at(8 * SECOND, FactKind::DestinationFault { dest: 0, kind: EventKind::Down, begins: true });
    s.at(9 * SECOND, FactKind::DestinationFault { dest: 0, kind: EventKind::Down, begins: false });
    // Message 5 is held for the destination since before; without it nobody has seen the outage.
    if !failing {
        without(s, |w| {
            matches!(w, FactKind::HandInEnded { message: 5, .. } | FactKind::Notice { message: 5, .. })
        });
    }
    s.taken(9_100 * MS, 9, RATE_PUSH);
    for call in 0..5 {
        s.called(9_200 * MS + call as Ns * MS, 90 + call, 9, ENDPOINT).replied(
            10 * SECOND,
            90 + call,
            Reply::Broken,
        );
    }
    s.at(10 * SECOND, FactKind::OverloadFailure { endpoint: ENDPOINT }).notice(
        10 * SECOND,
        9,
        Notice::GivenUp,
    );
}

#[test]
fn cold_return_where_those_who_saw_it_fail_push_it_over() {
    only(Rule::ColdReturn, |s| fallen(s, true));
}

#[test]
fn an_endpoint_that_strangers_to_its_outage_push_over_breaks_no_rule() {
    let mut story = kept();
    fallen(&mut story, false);
    assert_eq!(story.broken(), BTreeSet::new());
}

#[test]
fn misdirected_where_a_call_goes_to_another_destination() {
    only(Rule::Misdirected, |s| {
        s.called(3_300 * MS, 90, 3, OTHERS).replied(3_400 * MS, 90, Reply::Error);
    });
}

#[test]
fn stray_where_no_client_stands_behind_a_call() {
    only(Rule::Stray, |s| {
        s.called(3_300 * MS, 90, 77, ENDPOINT).replied(3_310 * MS, 90, Reply::Error);
    });
    only(Rule::Stray, |s| {
        s.at(SECOND, FactKind::CallWithoutId { sender: SENDER, endpoint: ENDPOINT });
    });
}

#[test]
fn stray_where_the_body_is_another_or_the_attempts_are_too_many() {
    only(Rule::Stray, |s| {
        s.at(
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
    only(Rule::Stray, |s| {
        for call in 90..97 {
            s.called(3_300 * MS, call, 3, ENDPOINT).replied(3_310 * MS, call, Reply::Error);
        }
    });
}

#[test]
fn stranger_where_one_is_left_alone_answered_late_or_taken_on() {
    for (answered, taken) in [(None, false), (Some(3_100 * MS), false), (None, true)] {
        only(Rule::Stranger, |s| {
            let form = "half a head".to_string();
            s.at(
                4 * SECOND,
                FactKind::Stranger { sender: SENDER, form, within: 3 * SECOND, answered, taken },
            );
        });
    }
}

#[test]
fn crash_where_a_sender_ends_unasked_or_is_never_ready() {
    only(Rule::Crash, |s| {
        s.life(28 * SECOND, ProcessEvent::Exited { expected: false });
    });
    only(Rule::Crash, |s| {
        s.life(28 * SECOND, ProcessEvent::Killed).life(28_001 * MS, ProcessEvent::Exited { expected: true });
        s.life(28_500 * MS, ProcessEvent::Started).life(58_500 * MS, ProcessEvent::NotReady);
    });
}
