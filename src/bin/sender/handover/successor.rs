//! The old process's side of an upgrade: hands over to the new process, and forwards to it what still reaches
//! this one.
use super::frame::{Frame, StateFrame, VERSION};
use super::report::{Report, ReportReader};
use super::rollback::{LostSuccessor, RetainedState, Rollback};
use super::transport::{split, Reader, SocketPath, Writer};
use super::{HANDOVER_TIMEOUT, RETRY_PAUSE};
use crate::input::{HandedOver, Input, MaintenanceReply, ReplySender};
use crate::owner::Owner;
use crate::process_state::RemainingWork;
use crate::server::{ClientConnection, Server};
use sender::records::AcceptedMessage;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::path::Path;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UnixListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How long the new process may take from the state to the lock on the state folder. It decides nothing
/// before it has the lock.
const LOCK_TIMEOUT: Duration = Duration::from_secs(1);

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
    /// None if the process reports nothing, as those of earlier versions.
    reports: Option<ReportReader>,
}

/// Waits for a new process to ask for a handover. Connections with an invalid request are closed.
pub async fn next_request(listener: Option<&UnixListener>) -> Successor {
    let Some(listener) = listener else { return std::future::pending().await };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (mut reader, writer) = split(stream);
                match timeout(HANDOVER_TIMEOUT, reader.next()).await {
                    Ok(Ok(Some((Frame::HandoverRequest { version: VERSION }, pipe)))) => {
                        return Successor { reader, writer, reports: pipe.map(ReportReader::new) }
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
pub enum HandoverEnd {
    /// This process was told to end, and has nothing left to forward, or no time left.
    Completed,
    /// The new process has died, or was too slow: this one goes on.
    SuccessorLost(Box<Rollback>),
}

/// What the old process still serves after it has handed over.
pub struct OldProcess<'a> {
    pub folder: &'a Path,
    pub listener: &'a TcpListener,
    pub server: Rc<Server>,
    /// Client connections that are between two requests.
    pub moved: &'a mut mpsc::UnboundedReceiver<ClientConnection>,
    /// The address of discovery, which SIGHUP may change.
    pub discovery: watch::Receiver<SocketAddr>,
    /// How long this process goes on once it was told to end.
    pub grace: Duration,
}

/// A message that was forwarded and has no reply.
struct ForwardedMessage {
    message: AcceptedMessage,
    deadline: Instant,
    reply: ReplySender,
}

/// An operator's call that was forwarded and has no reply.
struct ForwardedChange {
    name: String,
    out: bool,
    reply: oneshot::Sender<MaintenanceReply>,
}

/// The handover to a new process.
struct Handover {
    reader: Reader,
    writer: Writer,
    reports: Option<ReportReader>,
    /// Whether the new process reports, and has not ceased to.
    reports_complete: bool,
    retained: RetainedState,
    work: RemainingWork,
    next_number: u64,
    /// By the number of their frame: at most one for each connection to this process.
    messages: HashMap<u64, ForwardedMessage>,
    changes: HashMap<u64, ForwardedChange>,
    /// Connections whose transfer has failed.
    connections: Vec<ClientConnection>,
    terminated_at: Option<Instant>,
    /// Whether the new process has the lock on the state folder. Only then it decides.
    successor_owns: bool,
    /// The lock, if this process has taken it back.
    owner: Option<Owner>,
}

/// Hands over to the new process, and forwards to it what still reaches this one, until the new process is
/// lost. Once this process is told to end (`terminated`), goes on as long as anything is left, for a limited
/// time.
pub async fn serve_successor(
    successor: Successor,
    handed_over: HandedOver,
    work: RemainingWork,
    mut process: OldProcess<'_>,
    terminated: impl Future<Output = ()>,
) -> HandoverEnd {
    let Successor { reader, writer, reports } = successor;
    let HandedOver { state, clock } = handed_over;
    let frame = StateFrame::State(&state);
    let sent = timeout(HANDOVER_TIMEOUT, writer.send(&frame, Some(process.listener.as_fd()))).await;
    let sent = sent.unwrap_or(Err(io::ErrorKind::TimedOut.into()));
    let mut handover = Handover {
        reader,
        writer,
        reports_complete: reports.is_some(),
        reports,
        retained: RetainedState::new(state, clock),
        work,
        next_number: 0,
        messages: HashMap::new(),
        changes: HashMap::new(),
        connections: Vec::new(),
        terminated_at: None,
        successor_owns: false,
        owner: None,
    };
    let served = match sent {
        Ok(()) => handover.serve(&mut process, terminated).await,
        Err(error) => Err(error),
    };
    match served {
        Ok(()) => HandoverEnd::Completed,
        Err(error) => {
            tracing::warn!(%error, "the next process can't be told");
            HandoverEnd::SuccessorLost(Box::new(handover.into_rollback()))
        }
    }
}

impl Handover {
    /// Serves until this process may end. An error means that the new process is lost.
    async fn serve(
        &mut self,
        process: &mut OldProcess<'_>,
        terminated: impl Future<Output = ()>,
    ) -> io::Result<()> {
        let mut terminated = pin!(terminated);
        let lock_due = Instant::now() + LOCK_TIMEOUT;
        loop {
            if self.may_end(process) {
                return Ok(());
            }
            tokio::select! {
                biased;
                () = &mut terminated, if self.terminated_at.is_none() =>
                    self.terminated_at = Some(Instant::now()),
                Some(input) = self.work.control_inbox.recv() => self.forward_control(input).await?,
                Some(client) = process.moved.recv() => self.forward_connection(client).await?,
                Some(input) = self.work.inbox.recv() => self.forward(input).await?,
                frame = self.reader.next::<Frame>() => {
                    let (frame, _) = frame?.ok_or(io::ErrorKind::UnexpectedEof)?;
                    self.receive(frame);
                }
                () = reports_due(self.reports.as_ref()) => self.read_reports(),
                Ok(()) = process.discovery.changed(), if self.reports.is_some() => {
                    let moved = Report::DiscoveryMoved(*process.discovery.borrow_and_update());
                    self.writer.send(&Frame::Report(moved), None).await?;
                }
                () = sleep_until(lock_due), if !self.successor_owns => self.check_lock(process.folder)?,
                () = sleep(RETRY_PAUSE), if self.terminated_at.is_some() => {}
            }
        }
    }

    /// Returns whether this process was told to end, and has nothing left to do or no time left.
    fn may_end(&self, process: &OldProcess) -> bool {
        let Some(terminated_at) = self.terminated_at else { return false };
        // `open_connections` no longer counts a connection that waits to be handed over.
        let waiting = !process.moved.is_empty()
            || !self.work.inbox.is_empty()
            || !self.work.control_inbox.is_empty()
            || process.server.open_connections.get() > 0;
        let in_progress =
            !self.work.attempts_in_flight.is_empty() || !self.messages.is_empty() || !self.changes.is_empty();
        terminated_at.elapsed() >= process.grace || !(waiting || in_progress)
    }

    /// Takes the new process for lost, and the lock on the state folder back, if it does not have that by
    /// now.
    fn check_lock(&mut self, folder: &Path) -> io::Result<()> {
        self.owner = Owner::claim(folder)?;
        self.successor_owns = self.owner.is_none();
        match self.successor_owns {
            true => Ok(()),
            false => Err(io::Error::other("it has not taken over in time")),
        }
    }

    fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    async fn forward_control(&mut self, input: Input) -> io::Result<()> {
        match input {
            Input::HealthCheck(reply) => _ = reply.send(self.terminated_at.is_none()),
            Input::Maintenance { name, out, reply } => {
                let number = self.next_number();
                let frame = Frame::Maintenance { number, name: name.clone(), out };
                self.changes.insert(number, ForwardedChange { name, out, reply });
                self.writer.send(&frame, None).await?;
            }
            _ => {}
        }
        Ok(())
    }

    async fn forward_connection(&mut self, client: ClientConnection) -> io::Result<()> {
        let frame = Frame::ClientConnection {
            read: client.buffered.clone(),
            whole: client.had_request,
            stood: client.idle_time,
        };
        let sent = self.writer.send(&frame, Some(client.stream.as_fd())).await;
        sent.inspect_err(|_| self.connections.push(client))
    }

    async fn forward(&mut self, input: Input) -> io::Result<()> {
        match input {
            Input::AttemptsEnded(ends) => {
                self.retained.note_attempts_ended(&ends);
                ends.iter().for_each(|e| _ = self.work.attempts_in_flight.remove(&(e.id, e.attempt)));
                self.writer.send(&Frame::AttemptsEnded(ends), None).await?;
            }
            Input::Submit { reply, .. } if reply.client_has_left() => {}
            Input::Submit { message, deadline, reply } => {
                let number = self.next_number();
                let left = deadline.saturating_duration_since(Instant::now());
                let body = message.body.clone();
                let frame = Frame::Submit { number, taken: message.clone(), body, left };
                self.messages.insert(number, ForwardedMessage { message, deadline, reply });
                self.writer.send(&frame, None).await?;
            }
            // Lists and acknowledged notices are up to the new process.
            _ => {}
        }
        Ok(())
    }

    fn receive(&mut self, frame: Frame) {
        self.successor_owns = true;
        match frame {
            Frame::Cancel { id, attempt } => {
                if let Some(in_flight) = self.work.attempts_in_flight.get(&(id, attempt)) {
                    in_flight.cancel.cancel();
                }
            }
            Frame::SubmitReply { number, reply } => {
                let forwarded = self.messages.remove(&number);
                forwarded.zip(reply).map(|(forwarded, reply)| forwarded.reply.send(reply));
            }
            Frame::MaintenanceReply { number, change } => {
                let forwarded = self.changes.remove(&number);
                forwarded.zip(change).map(|(forwarded, change)| forwarded.reply.send(change));
            }
            _ => tracing::warn!("the next process sent an unexpected frame"),
        }
    }

    fn read_reports(&mut self) {
        let Some(reports) = &mut self.reports else { return };
        reports.read().into_iter().for_each(|report| self.retained.apply(report));
        self.reports_complete = !reports.ended;
    }

    fn into_rollback(mut self) -> Rollback {
        // The end of the new process ends its reports.
        let lost = LostSuccessor { reports: self.reports_complete };
        self.read_reports();
        let messages = self.messages.into_values().map(|forwarded| {
            let ForwardedMessage { message, deadline, reply } = forwarded;
            Input::Submit { message, deadline, reply }
        });
        let changes = self.changes.into_values().map(|forwarded| {
            let ForwardedChange { name, out, reply } = forwarded;
            Input::Maintenance { name, out, reply }
        });
        Rollback {
            unanswered: changes.chain(messages).collect(),
            state: self.retained,
            work: self.work,
            connections: self.connections,
            terminated_at: self.terminated_at,
            owner: self.owner,
            lost,
        }
    }
}

/// Waits until reports should be read. Never returns if there are none.
async fn reports_due(reports: Option<&ReportReader>) {
    match reports {
        Some(reports) => reports.due().await,
        None => std::future::pending().await,
    }
}
