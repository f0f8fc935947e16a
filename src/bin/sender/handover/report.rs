//! Reports of the new process of an upgrade to the old one: what it was told and did since it took over, so
//! that the old one is bound by it if it has to go on alone.
//!
//! They go through a pipe, whose content outlives the process that wrote it. The old process reads it only
//! now and then, so that a report costs little more than its writing.
use super::frame;
use crate::ended_messages::EndedMessage;
use crate::process_state::{NumberedCatalogue, NumberedEndpoint};
use rustix::io::Errno;
use rustix::pipe::{pipe_with, PipeFlags};
use sender::api::{DestId, Ns};
use sender::policy::LearnedRoute;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Pause before reports that did not fit into the pipe are written again.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Bytes of reports that may wait for room in the pipe. An old process that reads nothing for so long is
/// stopped.
const MAX_UNSENT_BYTES: usize = 4 << 20;
/// How often the old process reads reports.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// The pause after a read that brought much: a long list is on its way.
const BUSY_READ_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes of a read that brought much.
const BUSY_READ_BYTES: usize = 32 << 10;

/// What the new process reports. Endpoints go by name, as the two processes may number them differently.
#[derive(Serialize, Deserialize)]
pub enum Report {
    /// Messages that have ended. `next_id` is the number of the next message.
    MessagesEnded { next_id: u64, messages: Vec<EndedMessage> },
    /// Routes that have changed.
    Routes {
        /// The time of the policy's clock at which the report was written.
        now: Ns,
        /// Whether both processes have the same settings. If not, only the waits can be used.
        same_settings: bool,
        routes: Vec<NamedRoute>,
    },
    /// A whole list of endpoints is in force.
    ListReplaced(NumberedCatalogue),
    /// Changes of the list are in force.
    ListChanged { generation: Option<u64>, listed: Vec<NumberedEndpoint>, removed: Vec<String> },
    /// Discovery has another address.
    DiscoveryMoved(SocketAddr),
}

/// What was learned of a route.
#[derive(Serialize, Deserialize)]
pub struct NamedRoute {
    pub destination: DestId,
    /// The endpoint, where endpoints have routes of their own.
    pub endpoint: Option<String>,
    pub learned: LearnedRoute,
}

/// The old process reads no more reports.
#[derive(Debug, thiserror::Error)]
#[error("the process before reads no reports")]
pub struct ReportsEnded;

/// Writes reports without blocking.
#[derive(Clone)]
pub struct ReportWriter(Rc<WriterState>);

struct WriterState {
    pipe: OwnedFd,
    /// What did not fit into the pipe yet.
    unsent: RefCell<Vec<u8>>,
    flushing: Cell<bool>,
    ended: Cell<bool>,
}

/// Creates the pipe of reports: its reading end, and the writer on its other end.
pub fn report_pipe() -> io::Result<(OwnedFd, ReportWriter)> {
    let (reading_end, pipe) = pipe_with(PipeFlags::CLOEXEC | PipeFlags::NONBLOCK)?;
    let (unsent, flushing, ended) = Default::default();
    Ok((reading_end, ReportWriter(Rc::new(WriterState { pipe, unsent, flushing, ended }))))
}

impl ReportWriter {
    /// Writes a report, or keeps it until the pipe has room.
    pub fn send(&self, report: &Report) -> Result<(), ReportsEnded> {
        let state = &self.0;
        if state.ended.get() {
            return Err(ReportsEnded);
        }
        let encoded = frame::encode(report, false).map_err(|_| ReportsEnded)?;
        state.unsent.borrow_mut().extend_from_slice(&encoded);
        // What waits already is written by the task.
        if state.flushing.get() {
            return Ok(());
        }
        state.write_unsent()?;
        if !state.unsent.borrow().is_empty() {
            state.flushing.set(true);
            spawn_local(flush(self.0.clone()));
        }
        Ok(())
    }
}

impl WriterState {
    /// Writes as much as the pipe has room for.
    fn write_unsent(&self) -> Result<(), ReportsEnded> {
        let mut unsent = self.unsent.borrow_mut();
        let mut written = 0;
        while written < unsent.len() {
            match rustix::io::write(&self.pipe, &unsent[written..]) {
                Ok(count) => written += count,
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => break,
                Err(error) => {
                    tracing::debug!(%error, "the process before reads no reports");
                    return self.end(&mut unsent);
                }
            }
        }
        unsent.drain(..written);
        if unsent.len() > MAX_UNSENT_BYTES {
            tracing::warn!("the process before does not read reports; it is told nothing more");
            return self.end(&mut unsent);
        }
        Ok(())
    }

    fn end(&self, unsent: &mut Vec<u8>) -> Result<(), ReportsEnded> {
        self.ended.set(true);
        *unsent = Vec::new();
        Err(ReportsEnded)
    }
}

/// Writes what did not fit into the pipe, until all is written or the reports have ended.
async fn flush(state: Rc<WriterState>) {
    while !state.ended.get() && !state.unsent.borrow().is_empty() {
        sleep(WRITE_RETRY_PAUSE).await;
        let _ = state.write_unsent();
    }
    state.flushing.set(false);
}

/// Reads the reports of the new process.
pub struct ReportReader {
    pipe: OwnedFd,
    bytes: Vec<u8>,
    next_read: Instant,
    /// The reports have ended, or one of them can't be read.
    pub ended: bool,
}

impl ReportReader {
    pub fn new(pipe: OwnedFd) -> ReportReader {
        let next_read = Instant::now() + READ_INTERVAL;
        ReportReader { pipe, bytes: Vec::new(), next_read, ended: false }
    }

    /// Waits until reports should be read. Never returns once they have ended.
    pub async fn due(&self) {
        match self.ended {
            true => std::future::pending().await,
            false => tokio::time::sleep_until(self.next_read).await,
        }
    }

    /// Reads the reports that have come.
    pub fn read(&mut self) -> Vec<Report> {
        let count = self.fill();
        self.next_read =
            Instant::now() + if count < BUSY_READ_BYTES { READ_INTERVAL } else { BUSY_READ_INTERVAL };
        let mut reports = Vec::new();
        let mut used = 0;
        while let Some(report) = self.take(&mut used) {
            reports.push(report);
        }
        self.bytes.drain(..used);
        reports
    }

    /// Reads everything that is in the pipe. Returns the number of bytes.
    fn fill(&mut self) -> usize {
        let before = self.bytes.len();
        let mut buffer = [0; BUSY_READ_BYTES];
        while !self.ended {
            match rustix::io::read(&self.pipe, &mut buffer) {
                Ok(0) => self.ended = true,
                Ok(count) => self.bytes.extend_from_slice(&buffer[..count]),
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => break,
                Err(error) => {
                    tracing::warn!(%error, "cannot read the reports of the next process");
                    self.ended = true;
                }
            }
        }
        self.bytes.len() - before
    }

    /// Takes the next whole report after the first `used` bytes.
    fn take(&mut self, used: &mut usize) -> Option<Report> {
        let report = frame::split_first(&self.bytes[*used..]).and_then(|encoded| {
            let Some(encoded) = encoded else { return Ok(None) };
            let report = rmp_serde::from_slice(encoded.body).map_err(io::Error::other)?;
            *used += encoded.encoded_len();
            Ok(Some(report))
        });
        report.unwrap_or_else(|error| {
            tracing::warn!(%error, "cannot read a report of the next process");
            self.ended = true;
            None
        })
    }
}
