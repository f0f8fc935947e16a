//! An upgrade: a second process of the same sender takes over from the one that runs.
//!
//! Who holds the lock on `owner` in the lasting folder owns the journal and decides. A process that finds the
//! lock taken asks its holder, over the socket `handover` beside it, to pass everything on: the module's state,
//! the clients' listener, and each of their connections once it stands between two requests. From then on the
//! old process decides nothing. It ends what it has out, tells how that ended, and passes on what still reaches
//! it. Should the new process die, the old one starts over from the journal; should the old one die, what it
//! had out is a broken connection to the new one.
use crate::client::attempt_end;
use crate::input::{Change, Input, Reply};
use crate::owner::Owner;
use crate::process_state::{Out, Rest, State};
use crate::process_state_v1::StateV1;
use crate::server::{ClientConnection, Server};
use bytes::Bytes;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use sender::api::{AttemptEnd, Outcome};
use sender::records::Taken;
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
use tokio::time::{sleep, timeout, Instant};

/// The form of what is passed on. The one before is still taken, but not given.
const VERSION: u32 = 2;
const VERSION_BEFORE: u32 = 1;
/// How long the old process may take to hand over, and the pause before it is asked again.
const PATIENCE: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(20);
/// Longest frame: the whole state, with room to spare.
const MAX_FRAME: usize = 16 << 20;
/// A frame's length and whether a descriptor comes with it.
const HEAD: usize = 5;

#[derive(Serialize, Deserialize)]
enum Frame {
    /// New to old: hand over.
    Ask {
        version: u32,
    },
    /// The answer, with the listener.
    State(Box<State>),
    /// Old to new: a client's connection, what has been read of it, whether it has brought a whole request, and
    /// for how long it has stood.
    Client {
        read: Bytes,
        whole: bool,
        stood: Duration,
    },
    /// Old to new: how attempts ended.
    Ended(Vec<AttemptEnd>),
    /// Old to new: a message that came on a connection which had not passed on yet, and the answer to it.
    Offer {
        number: u64,
        taken: Taken,
        body: Bytes,
        left: Duration,
    },
    Answer {
        number: u64,
        reply: Option<Reply>,
    },
    /// Old to new: an operator's call, and what became of it.
    Maint {
        number: u64,
        name: String,
        out: bool,
    },
    Changed {
        number: u64,
        change: Option<Change>,
    },
    /// New to old: the module calls an attempt off.
    Cancel {
        id: u64,
        attempt: u32,
    },
}

/// What a process of the version before answers first.
#[derive(Deserialize)]
enum FrameV1 {
    State(Box<StateV1>),
}

/// A path that fits a socket's address, however long the folder's own is.
struct Door {
    _folder: File,
    path: PathBuf,
}

impl Door {
    fn new(folder: &Path) -> io::Result<Door> {
        let file = File::open(folder)?;
        let path = PathBuf::from(format!("/proc/self/fd/{}/handover", file.as_raw_fd()));
        Ok(Door { _folder: file, path })
    }
}

struct Writer(Rc<UnixStream>);

impl Writer {
    async fn send(&self, frame: &Frame, descriptor: Option<BorrowedFd<'_>>) -> io::Result<()> {
        let body = rmp_serde::to_vec_named(frame).map_err(io::Error::other)?;
        let mut bytes = Vec::with_capacity(HEAD + body.len());
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
                // It goes with the frame's first byte.
                if sent == 0 && !descriptors.is_empty() {
                    control.push(SendAncillaryMessage::ScmRights(descriptors));
                }
                let rest = [IoSlice::new(&bytes[sent..])];
                Ok(sendmsg(&self.0, &rest, &mut control, SendFlags::NOSIGNAL | SendFlags::DONTWAIT)?)
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

struct Reader {
    stream: Rc<UnixStream>,
    bytes: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
}

impl Reader {
    /// The next frame and what came with it; None at the end. Nothing is lost where it is given up half-way.
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

    fn take<F: DeserializeOwned>(&mut self) -> io::Result<Option<(F, Option<OwnedFd>)>> {
        let Some((head, rest)) = self.bytes.split_first_chunk::<HEAD>() else { return Ok(None) };
        let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if length > MAX_FRAME {
            return Err(io::Error::other("a frame is too long"));
        }
        let (Some(body), with) = (rest.get(..length), head[4] != 0) else { return Ok(None) };
        let frame = rmp_serde::from_slice(body).map_err(io::Error::other)?;
        self.bytes.drain(..HEAD + length);
        Ok(Some((frame, if with { self.descriptors.pop_front() } else { None })))
    }
}

fn link(stream: UnixStream) -> (Reader, Writer) {
    let stream = Rc::new(stream);
    (Reader { stream: stream.clone(), bytes: Vec::new(), descriptors: VecDeque::new() }, Writer(stream))
}

/// What the process before has passed on, and the way to it.
pub struct Predecessor {
    pub listener: TcpListener,
    reader: Reader,
    writer: Writer,
}

/// The right to the journal, from a process that runs if there is one. Waits for as long as that one neither
/// hands over nor ends.
pub async fn claim(
    folder: &Path,
    around: &ProgramSettings,
) -> io::Result<(Owner, Option<(Box<State>, Predecessor)>)> {
    let mut told = false;
    // A process of the version before lets go of who asks for a form that it does not know.
    let mut versions = [VERSION, VERSION_BEFORE].into_iter().cycle();
    loop {
        if let Some(owner) = Owner::claim(folder)? {
            return Ok((owner, None));
        }
        let version = versions.next().unwrap_or(VERSION);
        match timeout(PATIENCE, ask(folder, version, around))
            .await
            .unwrap_or(Err(io::ErrorKind::TimedOut.into()))
        {
            Ok((state, before)) => {
                // It gave up the lock first. One that it took back since has a dead link to us.
                let owner = Owner::claim(folder)?.ok_or(io::Error::other("the journal was taken back"))?;
                return Ok((owner, Some((state, before))));
            }
            Err(error) => {
                if !std::mem::replace(&mut told, true) {
                    tracing::info!(%error, "another process runs and does not hand over yet");
                }
            }
        }
        sleep(PAUSE).await;
    }
}

async fn ask(folder: &Path, version: u32, around: &ProgramSettings) -> io::Result<(Box<State>, Predecessor)> {
    let door = Door::new(folder)?;
    let (mut reader, writer) = link(UnixStream::connect(&door.path).await?);
    writer.send(&Frame::Ask { version }, None).await?;
    let (state, listener) = if version == VERSION_BEFORE {
        let (FrameV1::State(state), listener) = reader.next().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        (Box::new(state.upgrade(&around.kinds)), listener)
    } else {
        match reader.next().await?.ok_or(io::ErrorKind::UnexpectedEof)? {
            (Frame::State(state), listener) => (state, listener),
            _ => return Err(io::Error::other("it answers otherwise")),
        }
    };
    let listener = listener.ok_or(io::Error::other("it answers without its listener"))?.into();
    Ok((state, Predecessor { listener, reader, writer }))
}

/// Where the next process asks.
pub fn listen(folder: &Path) -> io::Result<UnixListener> {
    let door = Door::new(folder)?;
    match std::fs::remove_file(&door.path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    UnixListener::bind(&door.path)
}

/// The way to a process that has asked to take over.
pub struct Successor {
    reader: Reader,
    writer: Writer,
}

/// Waits for the next process to ask. Who asks wrongly is let go.
pub async fn asked(listener: Option<&UnixListener>) -> Successor {
    let Some(listener) = listener else { return std::future::pending().await };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (mut reader, writer) = link(stream);
                match timeout(PATIENCE, reader.next()).await {
                    Ok(Ok(Some((Frame::Ask { version: VERSION }, _)))) => {
                        return Successor { reader, writer }
                    }
                    _ => tracing::warn!("asked to hand over in a form that is not known"),
                }
            }
            Err(error) => {
                tracing::warn!(%error, "can't be asked to hand over");
                sleep(PAUSE).await;
            }
        }
    }
}

/// How the old process's part ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Passed {
    /// It was told to end, and nothing is left or its time is up.
    On,
    /// The new process has died first.
    Back,
}

/// Hands the new process what is left here until it ends or this process is told to; then for `end` at most.
pub async fn pass_on(
    successor: Successor,
    (state, listener): (State, &TcpListener),
    rest: Rest,
    server: Rc<Server>,
    mut moved: mpsc::UnboundedReceiver<ClientConnection>,
    (told, end): (impl Future<Output = ()>, Duration),
) -> Passed {
    let Successor { mut reader, writer } = successor;
    let Rest { mut inbox, mut asks, mut calls } = rest;
    let mut told = pin!(told);
    let mut until: Option<Instant> = None;
    let mut number = 0;
    // Who waits for an answer here: as many as have connections to this process, at most.
    let mut offers: HashMap<u64, oneshot::Sender<Reply>> = HashMap::new();
    let mut changes: HashMap<u64, oneshot::Sender<Change>> = HashMap::new();
    let mut sent = writer.send(&Frame::State(Box::new(state)), Some(listener.as_fd())).await;
    loop {
        if let Err(error) = sent {
            tracing::warn!(%error, "the next process can't be told");
            return if until.is_some() { Passed::On } else { Passed::Back };
        }
        sent = Ok(());
        // A connection is no longer open here once it waits to pass on.
        let waiting = !moved.is_empty() || !inbox.is_empty() || !asks.is_empty();
        let out = !calls.is_empty()
            || !offers.is_empty()
            || !changes.is_empty()
            || server.open_connections.get() > 0;
        let idle = !waiting && !out;
        if until.is_some_and(|at| Instant::now() >= at || idle) {
            return Passed::On;
        }
        tokio::select! {
            biased;
            () = &mut told, if until.is_none() => until = Some(Instant::now() + end),
            Some(ask) = asks.recv() => match ask {
                Input::Health(reply) => _ = reply.send(until.is_none()),
                Input::Maint { name, out, reply } => {
                    number += 1;
                    changes.insert(number, reply);
                    sent = writer.send(&Frame::Maint { number, name, out }, None).await;
                }
                _ => {}
            },
            Some(client) = moved.recv() => {
                let ClientConnection { stream, buffered: read, had_request: whole, idle_time: stood } = client;
                sent = writer.send(&Frame::Client { read, whole, stood }, Some(stream.as_fd())).await;
            }
            Some(input) = inbox.recv() => match input {
                Input::Ended(ends) => {
                    ends.iter().for_each(|e| _ = calls.remove(&(e.id, e.attempt)));
                    sent = writer.send(&Frame::Ended(ends), None).await;
                }
                Input::Offer { taken, end, reply } => {
                    number += 1;
                    offers.insert(number, reply);
                    let (body, left) = (taken.body.clone(), end.saturating_duration_since(Instant::now()));
                    sent = writer.send(&Frame::Offer { number, taken, body, left }, None).await;
                }
                // Lists and what the platform answers are the new process's affair.
                _ => {}
            },
            frame = reader.next::<Frame>() => match frame {
                Ok(Some((Frame::Cancel { id, attempt }, _))) => {
                    calls.get(&(id, attempt)).into_iter().for_each(|out| out.cancel.set());
                }
                Ok(Some((Frame::Answer { number, reply }, _))) => {
                    offers.remove(&number).zip(reply).map(|(to, reply)| to.send(reply));
                }
                Ok(Some((Frame::Changed { number, change }, _))) => {
                    changes.remove(&number).zip(change).map(|(to, change)| to.send(change));
                }
                Ok(Some(_)) => tracing::warn!("the next process says what it should not"),
                Ok(None) => sent = Err(io::ErrorKind::UnexpectedEof.into()),
                Err(error) => sent = Err(error),
            },
            () = sleep(PAUSE), if until.is_some() => {}
        }
    }
}

/// Follows the process before until it ends: its calls (`out`, as far as the core has taken them up) end here.
pub fn follow(
    before: Predecessor,
    mut out: HashMap<(u64, u32), Out>,
    core: mpsc::Sender<Input>,
    asks: mpsc::Sender<Input>,
    server: Rc<Server>,
) {
    let Predecessor { mut reader, writer, .. } = before;
    // As many at most as there are calls and callers over there.
    let (tell, mut frames) = mpsc::unbounded_channel::<Frame>();
    spawn_local(async move {
        while let Some(frame) = frames.recv().await {
            if writer.send(&frame, None).await.is_err() {
                return;
            }
        }
    });
    for (&(id, attempt), out) in &out {
        let (tell, cancel) = (tell.clone(), out.cancel.clone());
        spawn_local(async move {
            tokio::select! {
                () = cancel.wait() => { let _ = tell.send(Frame::Cancel { id, attempt }); }
                () = tell.closed() => {}
            }
        });
    }
    spawn_local(async move {
        let started = Instant::now();
        while let Ok(Some((frame, descriptor))) = reader.next().await {
            match frame {
                Frame::Ended(mut ends) => {
                    ends.retain(|e| out.remove(&(e.id, e.attempt)).is_some());
                    let _ = core.send(Input::Ended(ends)).await;
                }
                Frame::Client { read, whole, stood } => {
                    if let Some(descriptor) = descriptor {
                        server.adopt(descriptor, read, whole, stood);
                    }
                }
                Frame::Offer { number, mut taken, body, left } => {
                    taken.body = body;
                    let (reply, answer) = oneshot::channel();
                    let _ = core.send(Input::Offer { taken, end: Instant::now() + left, reply }).await;
                    let tell = tell.clone();
                    spawn_local(async move {
                        let _ = tell.send(Frame::Answer { number, reply: answer.await.ok() });
                    });
                }
                Frame::Maint { number, name, out } => {
                    let (reply, change) = oneshot::channel();
                    let _ = asks.send(Input::Maint { name, out, reply }).await;
                    let tell = tell.clone();
                    spawn_local(async move {
                        let _ = tell.send(Frame::Changed { number, change: change.await.ok() });
                    });
                }
                _ => tracing::warn!("the process before says what it should not"),
            }
        }
        // What it had out broke off with it.
        let ends: Vec<AttemptEnd> = out
            .iter()
            .map(|(&(id, attempt), out)| {
                attempt_end(id, attempt, out.endpoint, Outcome::ConnectionLost, started)
            })
            .collect();
        tracing::info!(calls = ends.len(), "the process before has ended");
        let _ = core.send(Input::Ended(ends)).await;
    });
}
