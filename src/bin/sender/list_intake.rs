//! Reads lists of endpoints from HTTP bodies: short ones on the event loop, long ones as a stream on a thread
//! that is started for that one list.
use crate::body_channel::{body_channel, BodyWriter, ReaderDropped};
use crate::memory;
use bytes::{Bytes, BytesMut};
use catalogue::intake::{self, IntakeError, LoadedList};
use catalogue::{Catalogue, Limits};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::cell::Cell;
use std::collections::VecDeque;
use std::fmt::Display;
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{timeout, timeout_at, Instant};

/// Maximum size in bytes of a body that is collected and read on the event loop.
const MAX_SHORT_BODY: usize = 64 << 10;
/// The time limits of a longer body. The total is enough for about 50 MB at 400 KB/s.
const LONG_BODY_TIMEOUTS: Timeouts =
    Timeouts { between_parts: Duration::from_millis(2_500), total: Duration::from_secs(120) };
/// Catalogues with more endpoints than this are dropped on a thread of their own.
const LARGE_CATALOGUE: usize = 10_000;

/// Why no list could be read from a body.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body, or its next part, did not arrive in time.
    #[error("the answer did not arrive in time")]
    TimedOut,
    /// The body broke off, or the thread that reads it could not be started or failed.
    #[error("cannot read the list: {0}")]
    Failed(String),
    /// The list is malformed or exceeds its limits.
    #[error(transparent)]
    Rejected(#[from] IntakeError),
}

/// Time limits of a long body.
#[derive(Clone, Copy)]
struct Timeouts {
    /// From one part of the body to the next.
    between_parts: Duration,
    /// From the start of the long body to its end.
    total: Duration,
}

/// Holds the catalogue on which the next changes build. It is the only writer of the catalogue.
pub struct ListIntake {
    reader: ListReader,
}

impl ListIntake {
    /// Creates an intake whose first changes build on the given catalogue.
    pub fn new(catalogue: Catalogue, limits: Limits) -> ListIntake {
        ListIntake { reader: ListReader { catalogue, limits, timeouts: LONG_BODY_TIMEOUTS } }
    }

    /// Replaces the catalogue on which the next changes build. Readers of earlier changes must have been
    /// dropped.
    pub fn put_in_force(&mut self, list: &LoadedList) {
        let before = std::mem::replace(&mut self.reader.catalogue, list.catalogue.clone());
        if list.reset {
            release(before);
        }
    }

    /// Returns a reader of one list, whose changes build on the present catalogue.
    pub fn reader(&self) -> ListReader {
        self.reader.clone()
    }
}

/// How far a body has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BodyProgress {
    /// It has not begun, or is not known to be long.
    #[default]
    Short,
    /// It is long, and its next part has been awaited since this time.
    Waiting(Instant),
    /// It is long, and what has come of it is being read.
    Reading,
}

/// Reads one list. Its changes build on the catalogue that was in force when the reader was made.
#[derive(Clone)]
pub struct ListReader {
    catalogue: Catalogue,
    limits: Limits,
    timeouts: Timeouts,
}

impl ListReader {
    /// Reads a body. The body must be complete by `deadline`, or be known by then to be longer than
    /// `MAX_SHORT_BODY`; the time limits of a long body apply from then on.
    pub async fn read<B>(
        &self,
        mut body: B,
        deadline: Instant,
        progress: &Cell<BodyProgress>,
    ) -> Result<LoadedList, BodyError>
    where
        B: Body<Data = Bytes, Error: Display> + Unpin,
    {
        let mut received = VecDeque::new();
        let mut length = 0;
        while length.max(body.size_hint().lower() as usize) <= MAX_SHORT_BODY {
            let data =
                timeout_at(deadline, next_data(&mut body)).await.map_err(|_| BodyError::TimedOut)??;
            let Some(data) = data else { return self.read_short(received) };
            length += data.len();
            received.push_back(data);
        }
        let read = self.read_long(received, body, progress);
        timeout(self.timeouts.total, read).await.unwrap_or(Err(BodyError::TimedOut))
    }

    fn read_short(&self, parts: VecDeque<Bytes>) -> Result<LoadedList, BodyError> {
        let mut body = BytesMut::new();
        parts.iter().for_each(|part| body.extend_from_slice(part));
        Ok(intake::read(&body[..], &self.catalogue, &self.limits)?)
    }

    /// Reads a body of which the first parts were received already, on a thread of its own.
    async fn read_long<B>(
        &self,
        received: VecDeque<Bytes>,
        body: B,
        progress: &Cell<BodyProgress>,
    ) -> Result<LoadedList, BodyError>
    where
        B: Body<Data = Bytes, Error: Display> + Unpin,
    {
        let (writer, reader) = body_channel();
        let (result_sender, result) = oneshot::channel();
        let (current, limits) = (self.catalogue.clone(), self.limits);
        let read = move || {
            let list = intake::read(reader, &current, &limits);
            drop(current);
            let _ = result_sender.send(list);
        };
        let spawned = thread::Builder::new().name("list-intake".into()).spawn(read);
        spawned.map_err(|e| BodyError::Failed(format!("cannot start a thread: {e}")))?;
        // If this fails the writer is dropped, and the thread ends with an error that is not reported.
        feed(writer, received, body, self.timeouts.between_parts, progress).await?;
        let list = result.await.map_err(|_| BodyError::Failed("the reading thread has failed".into()))?;
        Ok(list?)
    }
}

/// Passes a body to its reader, until the body ends or the reader needs no more of it.
async fn feed<B>(
    writer: BodyWriter,
    mut received: VecDeque<Bytes>,
    mut body: B,
    part_timeout: Duration,
    progress: &Cell<BodyProgress>,
) -> Result<(), BodyError>
where
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    loop {
        progress.set(BodyProgress::Waiting(Instant::now()));
        let data = match received.pop_front() {
            Some(data) => Some(data),
            None => timeout(part_timeout, next_data(&mut body)).await.map_err(|_| BodyError::TimedOut)??,
        };
        progress.set(BodyProgress::Reading);
        let Some(data) = data else { break };
        if let Err(ReaderDropped) = writer.write(data).await {
            return Ok(());
        }
    }
    let _ = writer.end().await;
    Ok(())
}

/// Returns the next bytes of a body; None at its end.
async fn next_data<B>(body: &mut B) -> Result<Option<Bytes>, BodyError>
where
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(error)) => return Err(BodyError::Failed(error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// Drops a catalogue. If the catalogue is large and has no other holder, drops it on a separate thread and
/// returns the freed memory to the system, so as not to block the event loop.
pub fn release(catalogue: Catalogue) {
    // All other holders are on the event loop, except for the thread that reads a list, which has ended by
    // now.
    if catalogue.len() > LARGE_CATALOGUE && catalogue.is_last_holder() {
        let drop_and_give_back = move || {
            drop(catalogue);
            memory::trim();
        };
        // If no thread can be started the closure, and with it the catalogue, is dropped here.
        let _ = thread::Builder::new().spawn(drop_and_give_back);
    }
}

#[cfg(test)]
mod tests;
