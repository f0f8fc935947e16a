//! The inputs of the core, and its replies.
use crate::policy_clock::PolicyClock;
use crate::process_state::HandoverState;
use crate::socket::WeakSocket;
use catalogue::intake;
use sender::api::{AttemptEnd, EndpointId, LimitReport, Outcome};
use sender::records::{AcceptedMessage, Undelivered};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The reply to a client that handed in a message.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum Reply {
    #[serde(rename = "TakenOn")]
    Accepted,
    /// The message had no effect and may be handed in again, after this time if it is known.
    Refused(Option<Duration>),
    /// The message can't be delivered, and may have taken effect.
    Failed,
}

impl Reply {
    /// Returns the reply that tells a client how a message ended that was not delivered.
    pub fn to_undelivered(undelivered: Undelivered) -> Reply {
        match undelivered {
            Undelivered::GivenUp => Reply::Failed,
            Undelivered::HandedBack(retry_ms) => Reply::Refused(retry_ms.map(Duration::from_millis)),
        }
    }
}

/// Passes the reply to the client that handed in a message.
pub struct ReplySender {
    sender: oneshot::Sender<Reply>,
    /// The client's connection. None if another process has it.
    connection: Option<WeakSocket>,
}

impl ReplySender {
    pub fn new(sender: oneshot::Sender<Reply>, connection: WeakSocket) -> ReplySender {
        ReplySender { sender, connection: Some(connection) }
    }

    /// Returns whether the client has left: an answer could no longer reach it.
    pub fn client_has_left(&self) -> bool {
        self.sender.is_closed() || self.connection.as_ref().is_some_and(WeakSocket::peer_has_left)
    }

    /// Replies, unless the client has left. Returns whether it was there.
    pub fn send(self, reply: Reply) -> bool {
        !self.client_has_left() && self.sender.send(reply).is_ok()
    }
}

impl From<oneshot::Sender<Reply>> for ReplySender {
    fn from(sender: oneshot::Sender<Reply>) -> ReplySender {
        ReplySender { sender, connection: None }
    }
}

/// The reply to an operator who takes an endpoint out or puts it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MaintenanceReply {
    /// The change is stored and in force, also for later processes.
    Done,
    /// The endpoint is not listed, and no change of it is stored.
    #[serde(rename = "Unknown")]
    UnknownEndpoint,
    /// The change could not be stored, and is not in force.
    #[serde(rename = "NotKept")]
    NotStored,
}

/// The state that the core hands over, and the clock of its policy.
pub struct HandedOver {
    pub state: HandoverState,
    pub clock: PolicyClock,
}

/// One input of the core.
pub enum Input {
    /// Asks whether messages can be accepted and delivered.
    HealthCheck(oneshot::Sender<bool>),
    /// Operators take an endpoint out, or put it back. `name` is the endpoint's.
    Maintenance {
        name: String,
        out: bool,
        reply: oneshot::Sender<MaintenanceReply>,
    },
    /// A client hands in a message. The core sets `message.id`.
    Submit {
        message: AcceptedMessage,
        deadline: Instant,
        reply: ReplySender,
    },
    /// The list of endpoints has changed, or was read as a whole.
    Catalogue(intake::LoadedList),
    AttemptsEnded(Vec<AttemptEnd>),
    ProbeEnded {
        endpoint: EndpointId,
        outcome: Outcome,
        report: Option<LimitReport>,
    },
    /// The platform has acknowledged the notices for these messages.
    NoticesAcknowledged(Vec<u64>),
    /// Another process takes over: finish the round and hand over everything. The reply is None if that is
    /// not possible now.
    HandOver(oneshot::Sender<Option<HandedOver>>),
    /// No more messages can come in: stop once nothing is left to do, and begin nothing new after this time.
    ShutDown(Instant),
}
