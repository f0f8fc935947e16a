//! Upgrades: a new process of the same sender takes over from the running one.
//!
//! The process that holds the lock on `owner` in the state folder owns the journal and makes the decisions. A
//! process that finds the lock taken connects to the socket `handover` in the same folder and asks the owner
//! to hand over the policy's state, the clients' listener, and each client connection once it is between two
//! requests.
//!
//! From then on the old process decides nothing. It finishes its calls in flight, reports how they ended, and
//! forwards the messages and operators' calls that still reach it. If the new process dies, the old one
//! starts over from the journal. If the old one dies, its calls count as lost connections in the new one.
use crate::client::attempt_end;
use crate::core::HandedOverAttempts;
use crate::input::{Input, MaintenanceReply, Reply, ReplySender};
use crate::owner::Owner;
use crate::process_state::{HandoverState, RemainingWork};
use crate::process_state_v1::StateV1;
use crate::server::{ClientConnection, Server};
use bytes::Bytes;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use sender::api::{AttemptEnd, Outcome};
use sender::records::AcceptedMessage;
use sender::settings::ProgramSettings;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::fs::File;
use std::future::Future;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// The version of the handed-over state.
const VERSION: u32 = 2;
/// The previous version, which is accepted from an old process but not sent to a new one.
const PREVIOUS_VERSION: u32 = 1;
/// How long the old process may take to hand over, and a new one to send its request.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the old process is asked again, before accepting is tried again after an error, and between
/// an old process's checks whether it may end.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long after a message's deadline the old process may take to report that its call was not answered. The
/// message has to end 300 ms after its deadline.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(100);
/// Bytes of the longest frame: the whole state, with room to spare.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Bytes of a frame's header: its length, and whether a descriptor is attached.
const FRAME_HEADER_BYTES: usize = 5;

/// The messages between the two processes.
#[derive(Serialize, Deserialize)]
enum Frame {
    /// New to old: asks it to hand over.
    #[serde(rename = "Ask")]
    HandoverRequest { version: u32 },
    /// Old to new: the reply, with the listener attached.
    State(Box<HandoverState>),
    /// Old to new: a client's connection, attached as a descriptor.
    #[serde(rename = "Client")]
    ClientConnection {
        /// Bytes that were read of the next request.
        read: Bytes,
        /// Whether a request on the connection has been answered.
        whole: bool,
        /// Time since the connection was opened or its last answer was given.
        stood: Duration,
    },
    /// Old to new: how attempts ended.
    #[serde(rename = "Ended")]
    AttemptsEnded(Vec<AttemptEnd>),
    /// Old to new: a message from a client whose connection has not been handed over yet. `left` is the time
    /// to its deadline.
    #[serde(rename = "Offer")]
    Submit { number: u64, taken: AcceptedMessage, body: Bytes, left: Duration },
    /// New to old: the reply to the submission with this number.
    #[serde(rename = "Answer")]
    SubmitReply { number: u64, reply: Option<Reply> },
    /// Old to new: an operator's call.
    #[serde(rename = "Maint")]
    Maintenance { number: u64, name: String, out: bool },
    /// New to old: the reply to the operator's call with this number.
    #[serde(rename = "Changed")]
    MaintenanceReply { number: u64, change: Option<MaintenanceReply> },
    /// New to old: the policy cancels an attempt.
    Cancel { id: u64, attempt: u32 },
}

/// The reply of an old process of version 1.
#[derive(Deserialize)]
enum FrameV1 {
    State(Box<StateV1>),
}

/// The path of the handover socket, through the folder's descriptor: a socket's address can't hold a long
/// path.
struct SocketPath {
    _folder: File,
    path: PathBuf,
}

impl SocketPath {
    fn new(folder: &Path) -> io::Result<SocketPath> {
        let file = File::open(folder)?;
        let path = PathBuf::from(format!("/proc/self/fd/{}/handover", file.as_raw_fd()));
        Ok(SocketPath { _folder: file, path })
    }
}

/// Sends frames.
struct Writer(Rc<UnixStream>);

impl Writer {
    async fn send(&self, frame: &Frame, descriptor: Option<BorrowedFd<'_>>) -> io::Result<()> {
        let body = rmp_serde::to_vec_named(frame).map_err(io::Error::other)?;
        let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + body.len());
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.push(descriptor.is_some() as u8);
        bytes.extend_from_slice(&body);
        let descriptors = descriptor.as_slice();
        let mut sent = 0;
        while sent < bytes.len() {
            self.0.writable().await?;
            let written = self.0.try_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                // The descriptor is attached to the frame's first byte.
                if sent == 0 && !descriptors.is_empty() {
                    control.push(SendAncillaryMessage::ScmRights(descriptors));
                }
                let unsent = [IoSlice::new(&bytes[sent..])];
                Ok(sendmsg(&self.0, &unsent, &mut control, SendFlags::NOSIGNAL | SendFlags::DONTWAIT)?)
            });
            match written {
                Ok(n) => sent += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// Receives frames, and the descriptors attached to them.
struct Reader {
    stream: Rc<UnixStream>,
    bytes: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
}

impl Reader {
    /// Receives the next frame and its descriptor; None at the end of the stream. Cancel safe: no data is
    /// lost if the future is dropped.
    async fn next<F: DeserializeOwned>(&mut self) -> io::Result<Option<(F, Option<OwnedFd>)>> {
        loop {
            if let Some(frame) = self.take()? {
                return Ok(Some(frame));
            }
            self.stream.readable().await?;
            let mut buffer = [0; 16 << 10];
            let (bytes, descriptors) = (&mut self.bytes, &mut self.descriptors);
            let read = self.stream.try_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::DONTWAIT;
                let got =
                    recvmsg(&self.stream, &mut [IoSliceMut::new(&mut buffer)], &mut control, flags)?.bytes;
                for message in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(rights) = message {
                        descriptors.extend(rights);
                    }
                }
                Ok(got)
            });
            match read {
                Ok(0) => return Ok(None),
                Ok(n) => bytes.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Takes a frame from the buffer, if a whole one has been received.
    fn take<F: DeserializeOwned>(&mut self) -> io::Result<Option<(F, Option<OwnedFd>)>> {
        let Some((head, rest)) = self.bytes.split_first_chunk::<FRAME_HEADER_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::other("the frame is longer than 16 MiB"));
        }
        let (Some(body), has_descriptor) = (rest.get(..length), head[4] != 0) else { return Ok(None) };
        let frame = rmp_serde::from_slice(body).map_err(io::Error::other)?;
        self.bytes.drain(..FRAME_HEADER_BYTES + length);
        Ok(Some((frame, if has_descriptor { self.descriptors.pop_front() } else { None })))
    }
}

/// Splits a connection into its two directions.
fn split(stream: UnixStream) -> (Reader, Writer) {
    let stream = Rc::new(stream);
    (Reader { stream: stream.clone(), bytes: Vec::new(), descriptors: VecDeque::new() }, Writer(stream))
}

/// The connection to the old process, with the listener that it has handed over.
pub struct Predecessor {
    pub listener: TcpListener,
    reader: Reader,
    writer: Writer,
}

/// Acquires the lock on the state folder, taking over from a running process if there is one. Waits until
/// that one hands over or ends.
pub async fn claim(
    folder: &Path,
    program_settings: &ProgramSettings,
) -> io::Result<(Owner, Option<(Box<HandoverState>, Predecessor)>)> {
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
            Ok((state, predecessor)) => {
                // The old process released the lock before it sent its state. It takes the lock back only
                // after it has lost this connection.
                let owner = Owner::claim(folder)?
                    .ok_or(io::Error::other("the old process has taken the journal back"))?;
                return Ok((owner, Some((state, predecessor))));
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
) -> io::Result<(Box<HandoverState>, Predecessor)> {
    let socket = SocketPath::new(folder)?;
    let (mut reader, writer) = split(UnixStream::connect(&socket.path).await?);
    writer.send(&Frame::HandoverRequest { version }, None).await?;
    let (state, listener) = if version == PREVIOUS_VERSION {
        let (FrameV1::State(state), listener) = reader.next().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        (Box::new(state.upgrade(&program_settings.kinds)), listener)
    } else {
        match reader.next().await?.ok_or(io::ErrorKind::UnexpectedEof)? {
            (Frame::State(state), listener) => (state, listener),
            _ => return Err(io::Error::other("the old process replied with something other than its state")),
        }
    };
    let listener = listener.ok_or(io::Error::other("the old process replied without its listener"))?.into();
    Ok((state, Predecessor { listener, reader, writer }))
}

/// Binds the socket on which the next process asks for a handover.
pub fn listen(folder: &Path) -> io::Result<UnixListener> {
    let socket = SocketPath::new(folder)?;
    match std::fs::remove_file(&socket.path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    UnixListener::bind(&socket.path)
}

/// The connection to a new process that has asked to take over.
pub struct Successor {
    reader: Reader,
    writer: Writer,
}

/// Waits for a new process to ask for a handover. Connections with an invalid request are closed.
pub async fn next_request(listener: Option<&UnixListener>) -> Successor {
    let Some(listener) = listener else { return std::future::pending().await };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (mut reader, writer) = split(stream);
                match timeout(HANDOVER_TIMEOUT, reader.next()).await {
                    Ok(Ok(Some((Frame::HandoverRequest { version: VERSION }, _)))) => {
                        return Successor { reader, writer }
                    }
                    _ => tracing::warn!("received an invalid request to hand over"),
                }
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection on the handover socket");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// How the old process's part in a handover ended.
#[derive(Debug, PartialEq, Eq)]
pub enum HandoverEnd {
    /// This process was told to end, and has nothing left to forward, no time left, or no connection to the
    /// new process.
    Completed,
    /// The new process has died: this one has to start over.
    SuccessorLost,
}

/// Hands over to the new process, and forwards to it what still reaches this one, until the new process dies.
/// Once this process is told to end (`terminated`), goes on for at most `grace`, while anything is left.
pub async fn serve_successor(
    successor: Successor,
    (state, listener): (HandoverState, &TcpListener),
    work: RemainingWork,
    server: Rc<Server>,
    mut moved: mpsc::UnboundedReceiver<ClientConnection>,
    (terminated, grace): (impl Future<Output = ()>, Duration),
) -> HandoverEnd {
    let Successor { mut reader, writer } = successor;
    let RemainingWork { mut inbox, mut control_inbox, mut attempts_in_flight } = work;
    let mut terminated = pin!(terminated);
    let mut end_by: Option<Instant> = None;
    let mut number = 0;
    // Replies that callers wait for, by the number of their frame: at most one for each connection to this
    // process.
    let mut submissions: HashMap<u64, ReplySender> = HashMap::new();
    let mut changes: HashMap<u64, oneshot::Sender<MaintenanceReply>> = HashMap::new();
    let mut sent = writer.send(&Frame::State(Box::new(state)), Some(listener.as_fd())).await;
    loop {
        if let Err(error) = sent {
            tracing::warn!(%error, "the next process can't be told");
            return if end_by.is_some() { HandoverEnd::Completed } else { HandoverEnd::SuccessorLost };
        }
        sent = Ok(());
        // `server.open_connections` no longer counts a connection that waits to be handed over.
        let waiting = !moved.is_empty() || !inbox.is_empty() || !control_inbox.is_empty();
        let in_progress = !attempts_in_flight.is_empty()
            || !submissions.is_empty()
            || !changes.is_empty()
            || server.open_connections.get() > 0;
        let idle = !waiting && !in_progress;
        if end_by.is_some_and(|at| Instant::now() >= at || idle) {
            return HandoverEnd::Completed;
        }
        tokio::select! {
            biased;
            () = &mut terminated, if end_by.is_none() => end_by = Some(Instant::now() + grace),
            Some(input) = control_inbox.recv() => match input {
                Input::HealthCheck(reply) => _ = reply.send(end_by.is_none()),
                Input::Maintenance { name, out, reply } => {
                    number += 1;
                    changes.insert(number, reply);
                    sent = writer.send(&Frame::Maintenance { number, name, out }, None).await;
                }
                _ => {}
            },
            Some(client) = moved.recv() => {
                let ClientConnection { stream, buffered: read, had_request: whole, idle_time: stood } = client;
                sent = writer
                    .send(&Frame::ClientConnection { read, whole, stood }, Some(stream.as_fd()))
                    .await;
            }
            Some(input) = inbox.recv() => match input {
                Input::AttemptsEnded(ends) => {
                    ends.iter().for_each(|e| _ = attempts_in_flight.remove(&(e.id, e.attempt)));
                    sent = writer.send(&Frame::AttemptsEnded(ends), None).await;
                }
                Input::Submit { reply, .. } if reply.client_has_left() => {}
                Input::Submit { message, deadline, reply } => {
                    number += 1;
                    submissions.insert(number, reply);
                    let (body, left) =
                        (message.body.clone(), deadline.saturating_duration_since(Instant::now()));
                    sent = writer.send(&Frame::Submit { number, taken: message, body, left }, None).await;
                }
                // Lists and acknowledged notices are up to the new process.
                _ => {}
            },
            frame = reader.next::<Frame>() => match frame {
                Ok(Some((Frame::Cancel { id, attempt }, _))) => {
                    attempts_in_flight.get(&(id, attempt)).into_iter().for_each(|a| a.cancel.cancel());
                }
                Ok(Some((Frame::SubmitReply { number, reply }, _))) => {
                    submissions.remove(&number).zip(reply).map(|(client, reply)| client.send(reply));
                }
                Ok(Some((Frame::MaintenanceReply { number, change }, _))) => {
                    changes.remove(&number).zip(change).map(|(caller, change)| caller.send(change));
                }
                Ok(Some(_)) => tracing::warn!("the next process sent an unexpected frame"),
                Ok(None) => sent = Err(io::ErrorKind::UnexpectedEof.into()),
                Err(error) => sent = Err(error),
            },
            () = sleep(RETRY_PAUSE), if end_by.is_some() => {}
        }
    }
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

/// Serves the old process until it ends. `attempts_in_flight` are those of its attempts that the core has
/// restored. An attempt whose end it does not report in time counts as unanswered.
pub fn follow_predecessor(
    predecessor: Predecessor,
    mut attempts_in_flight: HandedOverAttempts,
    core: mpsc::Sender<Input>,
    control: mpsc::Sender<Input>,
    server: Rc<Server>,
) {
    let Predecessor { mut reader, writer, .. } = predecessor;
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
                    let _ = core.send(Input::AttemptsEnded(ends)).await;
                    continue;
                }
            };
            let Ok(Some((frame, descriptor))) = frame else { break };
            match frame {
                Frame::AttemptsEnded(mut ends) => {
                    ends.retain(|e| attempts_in_flight.remove(&(e.id, e.attempt)).is_some());
                    let _ = core.send(Input::AttemptsEnded(ends)).await;
                }
                Frame::ClientConnection { read, whole, stood } => {
                    if let Some(descriptor) = descriptor {
                        server.adopt(descriptor, read, whole, stood);
                    }
                }
                Frame::Submit { number, taken: mut message, body, left } => {
                    message.body = body;
                    let (reply, answer) = oneshot::channel();
                    let _ = core
                        .send(Input::Submit { message, deadline: Instant::now() + left, reply: reply.into() })
                        .await;
                    let frames = frames.clone();
                    spawn_local(async move {
                        let _ = frames.send(Frame::SubmitReply { number, reply: answer.await.ok() });
                    });
                }
                Frame::Maintenance { number, name, out } => {
                    let (reply, change) = oneshot::channel();
                    let _ = control.send(Input::Maintenance { name, out, reply }).await;
                    let frames = frames.clone();
                    spawn_local(async move {
                        let _ = frames.send(Frame::MaintenanceReply { number, change: change.await.ok() });
                    });
                }
                _ => tracing::warn!("the process before sent an unexpected frame"),
            }
        }
        // The connections of its attempts have ended with it.
        let ends: Vec<AttemptEnd> = attempts_in_flight
            .iter()
            .map(|(&(id, attempt), (in_flight, _))| {
                attempt_end(id, attempt, in_flight.endpoint, Outcome::ConnectionLost, started)
            })
            .collect();
        tracing::info!(calls = ends.len(), "the process before has ended");
        let _ = core.send(Input::AttemptsEnded(ends)).await;
    });
}
