//! Takes in lists of endpoints: short ones on the loop, long ones as a stream on a thread started for that one list.
use crate::body_channel::{body_channel, BodyWriter, ReaderGone};
use crate::memory;
use bytes::{Bytes, BytesMut};
use catalogue::intake::{self, IntakeError, LoadedList};
use catalogue::{Catalogue, Limits};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::collections::VecDeque;
use std::fmt::Display;
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{timeout, timeout_at, Instant};

/// A body of at most so many bytes is collected and read on the loop.
const SHORT_BODY: usize = 64 << 10;
/// How long a longer one may take in all leaves some 50 MB at 400 KB/s.
const PATIENCE: Patience =
    Patience { silence: Duration::from_millis(2_500), whole: Duration::from_secs(120) };
/// A catalogue of more endpoints is dropped on a thread of its own.
const LARGE: usize = 10_000;

/// Why a body brought no list.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    #[error("is silent")]
    Silent,
    #[error("the list broke off: {0}")]
    BrokeOff(String),
    #[error(transparent)]
    NotTaken(#[from] IntakeError),
}

/// How long a body that was found long may take.
#[derive(Clone, Copy)]
struct Patience {
    /// From one part of it to the next.
    silence: Duration,
    whole: Duration,
}

/// The catalogue's one writer.
pub struct ListIntake {
    catalogue: Catalogue,
    limits: Limits,
    patience: Patience,
}

impl ListIntake {
    pub fn new(catalogue: Catalogue, limits: Limits) -> ListIntake {
        ListIntake { catalogue, limits, patience: PATIENCE }
    }

    /// Makes a list the one in force, on which the next changes build.
    pub fn put_in_force(&mut self, taken: &LoadedList) {
        let before = std::mem::replace(&mut self.catalogue, taken.catalogue.clone());
        if taken.reset {
            release(before);
        }
    }

    /// Reads a body. It has to be whole by a time, or to be found long by then; from there on it has to go on
    /// coming. The catalogue in force stays as it is.
    pub async fn read<B>(&self, mut body: B, by: Instant) -> Result<LoadedList, BodyError>
    where
        B: Body<Data = Bytes, Error: Display> + Unpin,
    {
        let mut begun = VecDeque::new();
        let mut length = 0;
        while length.max(body.size_hint().lower() as usize) <= SHORT_BODY {
            let data = timeout_at(by, next_data(&mut body)).await.map_err(|_| BodyError::Silent)??;
            let Some(data) = data else { return self.read_short(begun) };
            length += data.len();
            begun.push_back(data);
        }
        timeout(self.patience.whole, self.read_long(begun, body)).await.unwrap_or(Err(BodyError::Silent))
    }

    fn read_short(&self, parts: VecDeque<Bytes>) -> Result<LoadedList, BodyError> {
        let mut whole = BytesMut::new();
        parts.iter().for_each(|part| whole.extend_from_slice(part));
        Ok(intake::read(&whole[..], &self.catalogue, &self.limits)?)
    }

    async fn read_long<B>(&self, begun: VecDeque<Bytes>, body: B) -> Result<LoadedList, BodyError>
    where
        B: Body<Data = Bytes, Error: Display> + Unpin,
    {
        let (writer, reader) = body_channel();
        let (tell, taken) = oneshot::channel();
        let (current, limits) = (self.catalogue.clone(), self.limits);
        let read = move || {
            let taken = intake::read(reader, &current, &limits);
            drop(current);
            let _ = tell.send(taken);
        };
        let started = thread::Builder::new().name("list-intake".into()).spawn(read);
        started.map_err(|e| BodyError::BrokeOff(format!("no thread to read it: {e}")))?;
        // Where this fails the writer is dropped, and the thread ends with an error that nobody hears.
        feed(writer, begun, body, self.patience.silence).await?;
        let taken = taken.await.map_err(|_| BodyError::BrokeOff("its reader ended".into()))?;
        Ok(taken?)
    }
}

/// Passes a body on, until its end or until its reader has made up its mind.
async fn feed<B>(
    writer: BodyWriter,
    mut begun: VecDeque<Bytes>,
    mut body: B,
    silence: Duration,
) -> Result<(), BodyError>
where
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    loop {
        let data = match begun.pop_front() {
            Some(data) => Some(data),
            None => timeout(silence, next_data(&mut body)).await.map_err(|_| BodyError::Silent)??,
        };
        let Some(data) = data else { break };
        if let Err(ReaderGone) = writer.write(data).await {
            return Ok(());
        }
    }
    let _ = writer.end().await;
    Ok(())
}

/// The next bytes; None at the end of a body that came whole.
async fn next_data<B>(body: &mut B) -> Result<Option<Bytes>, BodyError>
where
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(error)) => return Err(BodyError::BrokeOff(error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// Drops a snapshot that may be the last one of its list, a large one off the loop.
pub fn release(catalogue: Catalogue) {
    // All holders but the list's reader, which ends first, are on the loop.
    if catalogue.len() > LARGE && catalogue.is_last_holder() {
        let drop_and_give_back = move || {
            drop(catalogue);
            memory::trim();
        };
        // Where there is no thread to be had it is dropped here.
        let _ = thread::Builder::new().spawn(drop_and_give_back);
    }
}

#[cfg(test)]
mod tests;
