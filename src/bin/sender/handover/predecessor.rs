//! The new process's side of an upgrade: takes over from the running process, and serves what that one still
//! forwards.
use super::frame::{Frame, FrameV1, PREVIOUS_VERSION, VERSION};
use super::report::{report_pipe, Report, ReportWriter};
use super::transport::{split, Reader, SocketPath, Writer};
use super::{HANDOVER_TIMEOUT, RETRY_PAUSE};
use crate::client::attempt_end;
use crate::core::HandedOverAttempts;
use crate::input::Input;
use crate::owner::Owner;
use crate::process_state::InheritedState;
use crate::server::Server;
use sender::api::{AttemptEnd, Outcome};
use sender::settings::ProgramSettings;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UnixStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How long after a message's deadline the old process may take to report that its call was not answered. The
/// message has to end 300 ms after its deadline.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(100);

/// The connection to the old process, with the listener that it has handed over.
pub struct Predecessor {
    pub listener: TcpListener,
    /// None if the old process reads no reports, as those of earlier versions.
    pub reports: Option<ReportWriter>,
    reader: Reader,
    writer: Writer,
}

/// Acquires the lock on the state folder, taking over from a running process if there is one. Waits until
/// that one hands over or ends.
pub async fn claim(
    folder: &Path,
    program_settings: &ProgramSettings,
) -> io::Result<(Owner, Option<(InheritedState, Predecessor)>)> {
    let mut logged = false;
    // An old process of version 1 closes the connection on a request for a version that it does not know.
    let mut versions = [VERSION, PREVIOUS_VERSION].into_iter().cycle();
    loop {
        if let Some(owner) = Owner::claim(folder)? {
            return Ok((owner, None));
        }
        let version = versions.next().unwrap_or(VERSION);
        match timeout(HANDOVER_TIMEOUT, request_handover(folder, version, program_settings))
            .await
            .unwrap_or(Err(io::ErrorKind::TimedOut.into()))
        {
            Ok(handover) => {
                // The old process released the lock before it sent its state. It takes the lock back if it
                // has lost this connection, or if this process was slow; then it has to be asked again.
                if let Some(owner) = Owner::claim(folder)? {
                    return Ok((owner, Some(handover)));
                }
                tracing::warn!("the old process has taken the journal back; asking it again");
            }
            Err(error) => {
                if !std::mem::replace(&mut logged, true) {
                    tracing::info!(%error, "another process runs and does not hand over yet");
                }
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Asks the running process to hand over, and receives its state.
async fn request_handover(
    folder: &Path,
    version: u32,
    program_settings: &ProgramSettings,
) -> io::Result<(InheritedState, Predecessor)> {
    let requested_at = Instant::now();
    let socket = SocketPath::new(folder)?;
    let (mut reader, writer) = split(UnixStream::connect(&socket.path).await?);
    let (reading_end, reports) = report_pipe()?;
    writer.send(&Frame::HandoverRequest { version }, Some(reading_end.as_fd())).await?;
    drop(reading_end);
    let (state, listener) = if version == PREVIOUS_VERSION {
        let (FrameV1::State(state), listener) = reader.next().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        (Box::new(state.upgrade(&program_settings.kinds)), listener)
    } else {
        match reader.next().await?.ok_or(io::ErrorKind::UnexpectedEof)? {
            (Frame::State(state), listener) => (state, listener),
            _ => return Err(io::Error::other("the old process replied with something other than its state")),
        }
    };
    let unix_ns = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
    let listener = listener.ok_or(io::Error::other("the old process replied without its listener"))?.into();
    let reports = state.accepts_reports.then_some(reports);
    let inherited = state.into_inherited(requested_at, Instant::now(), unix_ns);
    Ok((inherited, Predecessor { listener, reports, reader, writer }))
}

/// Takes the attempts out whose end the old process should have reported by now, and returns their ends.
fn take_unreported(attempts_in_flight: &mut HandedOverAttempts, started: Instant) -> Vec<AttemptEnd> {
    let now = Instant::now();
    let unreported = attempts_in_flight.extract_if(|_, (_, deadline)| *deadline + MAX_REPORT_DELAY <= now);
    unreported
        .map(|((id, attempt), (in_flight, _))| {
            attempt_end(id, attempt, in_flight.endpoint, Outcome::NoAnswer, started)
        })
        .collect()
}

/// Reports each change of the address of discovery, until the old process reads no more.
async fn report_discovery(reports: ReportWriter, mut discovery: watch::Receiver<SocketAddr>) {
    while discovery.changed().await.is_ok() {
        let address = *discovery.borrow_and_update();
        if reports.send(&Report::DiscoveryMoved(address)).is_err() {
            return;
        }
    }
}

/// The parts of the new process to which the old one's frames go.
pub struct FrameTargets {
    pub core: mpsc::Sender<Input>,
    pub control: mpsc::Sender<Input>,
    pub server: Rc<Server>,
    pub discovery: Rc<watch::Sender<SocketAddr>>,
}

impl FrameTargets {
    /// Passes on what a frame brings. Replies go to `frames`.
    async fn take(
        &self,
        frame: Frame,
        descriptor: Option<std::os::fd::OwnedFd>,
        frames: &mpsc::UnboundedSender<Frame>,
    ) {
        match frame {
            Frame::AttemptsEnded(ends) => _ = self.core.send(Input::AttemptsEnded(ends)).await,
            Frame::ClientConnection { read, whole, stood } => {
                if let Some(descriptor) = descriptor {
                    self.server.adopt(descriptor, read, whole, stood);
                }
            }
            Frame::Submit { number, taken: mut message, body, left } => {
                message.body = body;
                let (reply, answer) = oneshot::channel();
                let deadline = Instant::now() + left;
                let _ = self.core.send(Input::Submit { message, deadline, reply: reply.into() }).await;
                let frames = frames.clone();
                spawn_local(async move {
                    let _ = frames.send(Frame::SubmitReply { number, reply: answer.await.ok() });
                });
            }
            Frame::Maintenance { number, name, out } => {
                let (reply, change) = oneshot::channel();
                let _ = self.control.send(Input::Maintenance { name, out, reply }).await;
                let frames = frames.clone();
                spawn_local(async move {
                    let _ = frames.send(Frame::MaintenanceReply { number, change: change.await.ok() });
                });
            }
            Frame::Report(Report::DiscoveryMoved(address)) => {
                tracing::info!(discovery = %address, "the process before was reloaded");
                self.discovery.send_if_modified(|current| std::mem::replace(current, address) != address);
            }
            _ => tracing::warn!("the process before sent an unexpected frame"),
        }
    }
}

/// Serves the old process until it ends. `attempts_in_flight` are those of its attempts that the core has
/// restored. An attempt whose end it does not report in time counts as unanswered.
pub fn follow_predecessor(
    predecessor: Predecessor,
    mut attempts_in_flight: HandedOverAttempts,
    targets: FrameTargets,
) {
    let Predecessor { mut reader, writer, reports, .. } = predecessor;
    if let Some(reports) = reports {
        spawn_local(report_discovery(reports, targets.discovery.subscribe()));
    }
    // Holds at most a frame for each attempt and each caller of the old process.
    let (frames, mut unsent) = mpsc::unbounded_channel::<Frame>();
    spawn_local(async move {
        while let Some(frame) = unsent.recv().await {
            if writer.send(&frame, None).await.is_err() {
                return;
            }
        }
    });
    for (&(id, attempt), (in_flight, _)) in &attempts_in_flight {
        let (frames, cancel) = (frames.clone(), in_flight.cancel.clone());
        spawn_local(async move {
            tokio::select! {
                () = cancel.cancelled() => { let _ = frames.send(Frame::Cancel { id, attempt }); }
                () = frames.closed() => {}
            }
        });
    }
    spawn_local(async move {
        let started = Instant::now();
        loop {
            let deadline = attempts_in_flight.values().map(|(_, deadline)| *deadline).min();
            let report_due = async {
                match deadline {
                    Some(deadline) => sleep_until(deadline + MAX_REPORT_DELAY).await,
                    None => std::future::pending().await,
                }
            };
            let frame = tokio::select! {
                biased;
                frame = reader.next() => frame,
                () = report_due => {
                    let ends = take_unreported(&mut attempts_in_flight, started);
                    tracing::warn!(calls = ends.len(), "the process before does not report the end of calls");
                    let _ = targets.core.send(Input::AttemptsEnded(ends)).await;
                    continue;
                }
            };
            let Ok(Some((mut frame, descriptor))) = frame else { break };
            if let Frame::AttemptsEnded(ends) = &mut frame {
                ends.retain(|e| attempts_in_flight.remove(&(e.id, e.attempt)).is_some());
            }
            targets.take(frame, descriptor, &frames).await;
        }
        // The connections of its attempts have ended with it.
        let ends: Vec<AttemptEnd> = attempts_in_flight
            .iter()
            .map(|(&(id, attempt), (in_flight, _))| {
                attempt_end(id, attempt, in_flight.endpoint, Outcome::ConnectionLost, started)
            })
            .collect();
        tracing::info!(calls = ends.len(), "the process before has ended");
        let _ = targets.core.send(Input::AttemptsEnded(ends)).await;
    });
}
