//! Tests of lists that are complete, late, truncated or too large.
use super::*;
use hyper::body::{Frame, SizeHint};
use std::cell::Cell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// What a scripted body does next.
#[derive(Clone)]
enum Step {
    Data(Bytes),
    Fail,
    Hang,
}

/// A body that follows a script and counts the bytes that were read from it.
struct ScriptedBody {
    steps: VecDeque<Step>,
    bytes_read: Rc<Cell<usize>>,
    length: Option<u64>,
}

impl Body for ScriptedBody {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        match self.steps.pop_front() {
            None => Poll::Ready(None),
            Some(Step::Data(bytes)) => {
                self.bytes_read.set(self.bytes_read.get() + bytes.len());
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Some(Step::Fail) => Poll::Ready(Some(Err("reset"))),
            Some(Step::Hang) => {
                self.steps.push_front(Step::Hang);
                Poll::Pending
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

/// Returns a whole list with this number of endpoints.
fn list(endpoints: usize) -> String {
    let entry = |i| {
        format!(
            r#"{{"instanceId":"e-{i}","hostPort":"127.0.0.1:5000","zone":"z","machineType":"m","cell":{i},"lifecycle":"Ready","weight":1.0,"startedAtMs":0}}"#
        )
    };
    let entries: Vec<String> = (0..endpoints).map(entry).collect();
    format!(r#"{{"generation":7,"reset":true,"instances":[{}]}}"#, entries.join(","))
}

/// Returns the steps that send a text in pieces, followed by further steps.
fn steps(text: &str, then: &[Step]) -> VecDeque<Step> {
    let pieces = text.as_bytes().chunks(5_000).map(|piece| Step::Data(Bytes::copy_from_slice(piece)));
    pieces.chain(then.iter().cloned()).collect()
}

/// Endpoints of a list that is long enough to be read on a thread.
const LONG: usize = 2_000;
/// How long a short body may take.
const SHORT_BODY_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a long body may take from one part to the next.
const PART_TIMEOUT: Duration = Duration::from_millis(300);
const NO_LIMITS: Limits = Limits { max_entries: usize::MAX, max_bytes: usize::MAX };

/// Reads a scripted body; returns the result, how many bytes were read, and how long that took.
fn read(
    steps: VecDeque<Step>,
    length: Option<u64>,
    limits: Limits,
) -> (Result<LoadedList, BodyError>, usize, Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut intake = ListIntake::new(Catalogue::default(), limits);
        intake.reader.timeouts.between_parts = PART_TIMEOUT;
        let bytes_read = Rc::new(Cell::new(0));
        let started = Instant::now();
        let body = ScriptedBody { steps, bytes_read: bytes_read.clone(), length };
        let result = intake.reader().read(body, started + SHORT_BODY_TIMEOUT, &Cell::default()).await;
        (result, bytes_read.get(), started.elapsed())
    })
}

fn failed(result: &Result<LoadedList, BodyError>) -> bool {
    matches!(result, Err(BodyError::Failed(_)))
}

#[test]
fn reads_short_and_long_lists() {
    for endpoints in [3, LONG] {
        let text = list(endpoints);
        for length in [None, Some(text.len() as u64)] {
            let loaded = read(steps(&text, &[]), length, NO_LIMITS).0.unwrap();
            assert_eq!((loaded.catalogue.len(), loaded.generation, loaded.reset), (endpoints, 7, true));
        }
    }
}

#[test]
fn truncated_list_is_error() {
    for endpoints in [3, LONG] {
        let text = list(endpoints);
        let (result, ..) = read(steps(&text, &[Step::Fail]), None, NO_LIMITS);
        assert!(failed(&result), "{endpoints} endpoints");
        let (result, ..) = read(steps(&text[..text.len() / 2], &[]), None, NO_LIMITS);
        let unreadable = matches!(result, Err(BodyError::Rejected(IntakeError::Unreadable(_))));
        assert!(unreadable, "{endpoints} endpoints");
    }
}

#[test]
fn body_that_stalls_times_out() {
    let (result, _, after) = read(steps(&list(3)[..100], &[Step::Hang]), None, NO_LIMITS);
    assert!(matches!(result, Err(BodyError::TimedOut)));
    assert!(after >= SHORT_BODY_TIMEOUT, "{after:?}");
    let text = list(LONG);
    let (result, _, after) = read(steps(&text[..text.len() / 2], &[Step::Hang]), None, NO_LIMITS);
    assert!(matches!(result, Err(BodyError::TimedOut)));
    assert!(after >= PART_TIMEOUT && after < LONG_BODY_TIMEOUTS.total, "{after:?}");
}

#[test]
fn list_over_limits_is_rejected_before_its_end() {
    let text = list(20 * LONG);
    let limits = Limits { max_entries: 100, max_bytes: usize::MAX };
    let (result, bytes_read, _) = read(steps(&text, &[]), Some(text.len() as u64), limits);
    let Err(BodyError::Rejected(IntakeError::TooManyEntries { entries, allowed })) = result else {
        panic!("the list was not rejected")
    };
    assert_eq!((entries, allowed), (101, 100));
    assert!(bytes_read < text.len() / 4, "{bytes_read} of {} bytes read", text.len());
}

#[test]
fn changes_apply_to_list_in_force() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut intake = ListIntake::new(Catalogue::default(), NO_LIMITS);
        let body = |text: &str| ScriptedBody {
            steps: steps(text, &[]),
            bytes_read: Rc::default(),
            length: None,
        };
        let deadline = Instant::now() + Duration::from_secs(10);
        let whole = intake.reader().read(body(&list(LONG)), deadline, &Cell::default()).await.unwrap();
        intake.put_in_force(&whole);
        let change =
            r#"{"generation":8,"reset":false,"instances":[{"instanceId":"e-1","hostPort":"127.0.0.1:5000","cell":1,"lifecycle":"Gone"}]}"#;
        let changed = intake.reader().read(body(change), deadline, &Cell::default()).await.unwrap();
        assert_eq!((changed.catalogue.len(), changed.generation), (LONG - 1, 8));
        assert_eq!(changed.changed, [whole.catalogue.id("e-1").unwrap()]);
    });
}
