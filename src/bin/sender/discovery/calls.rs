//! The calls to discovery that are out at the same time.
use super::call::{fetch_list, FetchError, ListRequest};
use crate::connection::Connection;
use crate::list_intake::{BodyProgress, ListReader};
use catalogue::intake::LoadedList;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// Maximum number of calls that are out at the same time, each with a connection. With fewer, an agent that
/// takes long for an answer would mostly work for calls that have been dropped.
const MAX_CALLS: usize = 6;

/// The list and the connection that a call brought.
pub type Fetched = Result<(LoadedList, Connection), FetchError>;

/// A call that is out.
struct Call {
    number: u64,
    begun_at: Instant,
    progress: Rc<Cell<BodyProgress>>,
    result: Pin<Box<dyn Future<Output = Fetched>>>,
}

impl Call {
    fn is_long(&self) -> bool {
        self.progress.get() != BodyProgress::Short
    }

    /// Returns when its long list last made progress. None if no long list is coming.
    fn last_progress(&self, now: Instant) -> Option<Instant> {
        match self.progress.get() {
            BodyProgress::Short => None,
            BodyProgress::Waiting(since) => Some(since),
            BodyProgress::Reading => Some(now),
        }
    }
}

/// A long list that is coming.
#[derive(Clone, Copy, Debug)]
pub struct LongList {
    pub last_progress: Instant,
    /// Calls that are out and began since then, and long lists before it, in a row, that were dropped as silent.
    pub retries: u32,
}

/// The calls that are out. Dropping or clearing them closes their connections.
#[derive(Default)]
pub struct Calls {
    /// The oldest first.
    calls: Vec<Call>,
    /// Counted over the process, for the log.
    last_number: u64,
    /// Long lists that were dropped as silent since the calls were cleared.
    silent_lists: u32,
}

impl Calls {
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the number of the youngest call that was begun.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    pub fn clear(&mut self) {
        self.calls.clear();
        self.silent_lists = 0;
    }

    /// Begins a call and returns its number. If there are too many, drops the second oldest one; the oldest
    /// is kept, as discovery may be slow for all of them.
    pub fn begin(&mut self, request: ListRequest, connection: Option<Connection>, reader: ListReader) -> u64 {
        if self.calls.len() >= MAX_CALLS {
            self.drop_call(1, "too many are out");
        }
        self.last_number += 1;
        let progress = Rc::<Cell<BodyProgress>>::default();
        let shared_progress = progress.clone();
        let result =
            Box::pin(async move { fetch_list(&request, connection, &reader, &shared_progress).await });
        self.calls.push(Call { number: self.last_number, begun_at: Instant::now(), progress, result });
        self.last_number
    }

    /// Returns the long list that is coming.
    pub fn long_list(&self) -> Option<LongList> {
        let now = Instant::now();
        let last_progress = self.calls.iter().filter_map(|call| call.last_progress(now)).max()?;
        let younger = self.calls.iter().filter(|call| call.begun_at > last_progress).count() as u32;
        Some(LongList { last_progress, retries: younger + self.silent_lists })
    }

    /// Waits until a call has ended, and removes it; returns its number and result. Waits forever if there
    /// is none.
    pub async fn next_ended(&mut self) -> (u64, Fetched) {
        poll_fn(|context| self.poll_ended(context)).await
    }

    fn poll_ended(&mut self, context: &mut Context<'_>) -> Poll<(u64, Fetched)> {
        let mut index = 0;
        while index < self.calls.len() {
            let was_long = self.calls[index].is_long();
            if let Poll::Ready(result) = self.calls[index].result.as_mut().poll(context) {
                return Poll::Ready((self.calls.remove(index).number, result));
            }
            if self.calls[index].is_long() && !was_long && !self.keep_one_long_list(index) {
                continue;
            }
            index += 1;
        }
        Poll::Pending
    }

    /// Drops a call whose list has turned out to be long if another long one has made progress since the call
    /// began, or else that other one: memory is for one. Returns whether the call at `index` is still there.
    fn keep_one_long_list(&mut self, index: usize) -> bool {
        let now = Instant::now();
        let other = (0..self.calls.len()).find(|&i| i != index && self.calls[i].is_long());
        let Some(other) = other else { return true };
        let begun_at = self.calls[index].begun_at;
        if self.calls[other].last_progress(now).is_some_and(|progress| progress >= begun_at) {
            self.drop_call(index, "another brings the same list");
            return false;
        }
        self.drop_call(other, "a younger one brings the same list");
        self.silent_lists += 1;
        other > index
    }

    fn drop_call(&mut self, index: usize, reason: &str) {
        let call = self.calls.remove(index);
        tracing::debug!(call = call.number, reason, "a call to discovery is dropped");
    }
}
