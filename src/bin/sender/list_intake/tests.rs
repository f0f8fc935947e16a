//! Lists that come whole, late, broken or too large.
use super::*;
use hyper::body::{Frame, SizeHint};
use std::cell::Cell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// What a body does next.
#[derive(Clone)]
enum Step {
    Bring(Bytes),
    Break,
    Hang,
}

/// A body that follows a script; counts the bytes that were taken from it.
struct Scripted {
    steps: VecDeque<Step>,
    taken: Rc<Cell<usize>>,
    length: Option<u64>,
}

impl Body for Scripted {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        match self.steps.pop_front() {
            None => Poll::Ready(None),
            Some(Step::Bring(bytes)) => {
                self.taken.set(self.taken.get() + bytes.len());
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Some(Step::Break) => Poll::Ready(Some(Err("reset"))),
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

fn list(endpoints: usize) -> String {
    let entry = |i| {
        format!(
            r#"{{"instanceId":"e-{i}","hostPort":"127.0.0.1:5000","zone":"z","machineType":"m","cell":{i},"lifecycle":"Ready","weight":1.0,"startedAtMs":0}}"#
        )
    };
    let entries: Vec<String> = (0..endpoints).map(entry).collect();
    format!(r#"{{"generation":7,"reset":true,"instances":[{}]}}"#, entries.join(","))
}

/// A text in pieces, then what else is to come.
fn steps(text: &str, then: &[Step]) -> VecDeque<Step> {
    let pieces = text.as_bytes().chunks(5_000).map(|piece| Step::Bring(Bytes::copy_from_slice(piece)));
    pieces.chain(then.iter().cloned()).collect()
}

const LONG: usize = 2_000;
/// How long a call may take, and a long body may be silent.
const CALL: Duration = Duration::from_millis(200);
const SILENCE: Duration = Duration::from_millis(300);
const WHOLE_LIMITS: Limits = Limits { max_entries: usize::MAX, max_bytes: usize::MAX };

/// What comes of a body, how many bytes of it were taken, and how long that took.
fn read(
    steps: VecDeque<Step>,
    length: Option<u64>,
    limits: Limits,
) -> (Result<LoadedList, BodyError>, usize, Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut intake = ListIntake::new(Catalogue::default(), limits);
        intake.patience.silence = SILENCE;
        let taken = Rc::new(Cell::new(0));
        let begun = Instant::now();
        let body = Scripted { steps, taken: taken.clone(), length };
        let result = intake.read(body, begun + CALL).await;
        (result, taken.get(), begun.elapsed())
    })
}

fn broke_off(result: &Result<LoadedList, BodyError>) -> bool {
    matches!(result, Err(BodyError::BrokeOff(_)))
}

#[test]
fn a_short_and_a_long_list_are_taken_in_alike() {
    for endpoints in [3, LONG] {
        let text = list(endpoints);
        for length in [None, Some(text.len() as u64)] {
            let taken = read(steps(&text, &[]), length, WHOLE_LIMITS).0.unwrap();
            assert_eq!((taken.catalogue.len(), taken.generation, taken.reset), (endpoints, 7, true));
        }
    }
}

#[test]
fn a_list_that_breaks_off_or_ends_in_its_middle_is_none() {
    for endpoints in [3, LONG] {
        let text = list(endpoints);
        let (result, ..) = read(steps(&text, &[Step::Break]), None, WHOLE_LIMITS);
        assert!(broke_off(&result), "{endpoints}");
        let (result, ..) = read(steps(&text[..text.len() / 2], &[]), None, WHOLE_LIMITS);
        let torn = matches!(result, Err(BodyError::NotTaken(IntakeError::Unreadable(_))));
        assert!(torn, "{endpoints}");
    }
}

#[test]
fn a_body_that_falls_silent_is_given_up_by_the_call_s_time_or_by_its_lack_of_progress() {
    let (result, _, after) = read(steps(&list(3)[..100], &[Step::Hang]), None, WHOLE_LIMITS);
    assert!(matches!(result, Err(BodyError::Silent)));
    assert!(after >= CALL, "{after:?}");
    let text = list(LONG);
    let (result, _, after) = read(steps(&text[..text.len() / 2], &[Step::Hang]), None, WHOLE_LIMITS);
    assert!(matches!(result, Err(BodyError::Silent)));
    assert!(after >= SILENCE && after < PATIENCE.whole, "{after:?}");
}

#[test]
fn a_list_over_its_bounds_is_refused_with_both_figures_before_it_has_come_whole() {
    let text = list(20 * LONG);
    let limits = Limits { max_entries: 100, max_bytes: usize::MAX };
    let (result, taken, _) = read(steps(&text, &[]), Some(text.len() as u64), limits);
    let Err(BodyError::NotTaken(IntakeError::TooManyEntries { entries, allowed })) = result else {
        panic!("it was not refused")
    };
    assert_eq!((entries, allowed), (101, 100));
    assert!(taken < text.len() / 4, "{taken} of {} bytes", text.len());
}

#[test]
fn changes_build_on_the_list_that_was_put_in_force() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut intake = ListIntake::new(Catalogue::default(), WHOLE_LIMITS);
        let body = |text: &str| Scripted { steps: steps(text, &[]), taken: Rc::default(), length: None };
        let by = Instant::now() + Duration::from_secs(10);
        let whole = intake.read(body(&list(LONG)), by).await.unwrap();
        intake.put_in_force(&whole);
        let change =
            r#"{"generation":8,"reset":false,"instances":[{"instanceId":"e-1","hostPort":"127.0.0.1:5000","cell":1,"lifecycle":"Gone"}]}"#;
        let changed = intake.read(body(change), by).await.unwrap();
        assert_eq!((changed.catalogue.len(), changed.generation), (LONG - 1, 8));
        assert_eq!(changed.changed, [whole.catalogue.id("e-1").unwrap()]);
    });
}
