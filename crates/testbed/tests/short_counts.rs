//! Plays in which reads and writes of the senders' sockets return fewer bytes than were there or would have
//! fitted, as Linux allows at any time.
mod common;
use common::{play_with, sender_program};

/// Plays a small fleet and checks that nothing is lost or run twice and that no client waits in vain.
fn check_share(percent: u32) {
    let text = format!(
        "seconds = 7\nsenders = 2\n[traffic]\nrate = 50.0\nload = 0.45\n[platform]\nerror_rate = 0.0\n\
         [program]\nshort_counts = {percent}\n"
    );
    // A play is void if the machine was too busy; then it is played again.
    let mut played = play_with(&sender_program(), &text, 5);
    for _ in 0..2 {
        if played.verdict.void.is_some() {
            played = play_with(&sender_program(), &text, 5);
        }
    }
    let verdict = &played.verdict;
    println!("{percent}%: void {:?}, {:?}", verdict.void, verdict.counts);
    assert!(verdict.violations.is_empty(), "{percent}%: {:#?}", verdict.violations);
    let counts = &verdict.counts;
    assert_eq!((counts.lost, counts.unheard, counts.repeated), (0, 0, 0), "{percent}%: {counts:?}");
    assert!(counts.in_time * 10 >= counts.asked * 9, "{percent}%: {counts:?}");
}

/// Guards against bytes that nobody reads or writes: a short count was taken for an empty or a full socket.
#[test]
fn nothing_is_lost_by_short_counts() {
    for percent in [0, 1, 5, 30, 90] {
        check_share(percent);
    }
}
