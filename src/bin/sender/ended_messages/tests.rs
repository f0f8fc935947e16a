//! Tests of how long ended messages are kept, and how many.
use super::*;

#[test]
fn keeps_message_until_shortly_after_its_deadline() {
    let now = Instant::now();
    let mut ended = EndedMessages::default();
    ended.record("m", Reply::Accepted, now + Duration::from_secs(16));
    let after = |seconds| now + Duration::from_secs(seconds);
    assert!(matches!(ended.reply_to("m", after(16)), Some(Reply::Accepted)));
    assert!(ended.reply_to("m", after(18)).is_none());
    assert!(ended.reply_to("other", now).is_none());
    // A message that ends after its deadline may have been sent again just now.
    ended.record("late", Reply::Failed, now);
    assert!(matches!(ended.reply_to("late", now), Some(Reply::Failed)));
}

#[test]
fn drops_messages_that_ended_first_beyond_maximum() {
    let now = Instant::now();
    let mut ended = EndedMessages::default();
    for number in 0..MAX_ENDED + 10 {
        ended.record(&number.to_string(), Reply::Accepted, now + Duration::from_secs(number as u64 + 1));
    }
    assert_eq!((ended.by_trace.len(), ended.expiries.len()), (MAX_ENDED, MAX_ENDED));
    assert!(ended.reply_to("9", now).is_none());
    assert!(ended.reply_to("10", now).is_some());
}

/// Guards against an id that runs twice: one client's messages with long deadlines pushed out those of others,
/// which were taken for new when they came again.
#[test]
fn messages_with_long_deadlines_do_not_push_out_others() {
    let now = Instant::now();
    let mut ended = EndedMessages::default();
    let long = now + Duration::from_secs(24 * 60 * 60);
    for number in 0..MAX_ENDED {
        ended.record(&format!("long-{number}"), Reply::Accepted, long);
    }
    ended.record("m", Reply::Accepted, now + Duration::from_secs(16));
    ended.record("another", Reply::Accepted, long);
    assert!(ended.reply_to("m", now).is_some());
    assert_eq!((ended.by_trace.len(), ended.expiries.len()), (MAX_ENDED, MAX_ENDED));
}

#[test]
fn drops_expired_messages_when_others_end() {
    let now = Instant::now();
    let mut ended = EndedMessages::default();
    ended.insert("old", Reply::Accepted, now);
    // A second end of one message replaces the first.
    ended.record("m", Reply::Failed, now + Duration::from_secs(1));
    ended.record("m", Reply::Accepted, now + Duration::from_secs(2));
    assert_eq!((ended.by_trace.len(), ended.expiries.len()), (1, 1));
    assert!(matches!(ended.reply_to("m", now), Some(Reply::Accepted)));
}

#[test]
fn survives_handover() {
    let now = Instant::now();
    let mut ended = EndedMessages::default();
    let retry_after = Some(Duration::from_millis(500));
    ended.record("m", Reply::Refused(retry_after), now + Duration::from_secs(16));
    let restored = EndedMessages::restore(ended.into_handover());
    assert!(matches!(restored.reply_to("m", now), Some(Reply::Refused(after)) if after == retry_after));
    assert!(restored.reply_to("m", now + Duration::from_secs(18)).is_none());
}
