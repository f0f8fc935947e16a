//! What the core is told, and the answers that it gives.
use crate::process_state::State;
use catalogue::intake;
use sender::api::{AttemptEnd, EndpointId, LimitReport, Outcome};
use sender::records::Taken;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What a client is answered.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum Reply {
    TakenOn,
    /// Handing it in again is harmless; after how long, if that is known.
    Refused(Option<Duration>),
    Failed,
}

/// What became of an operator's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// It holds from now on, also for the processes to come.
    Done,
    /// No list has named that endpoint.
    Unknown,
    /// It could not be written down.
    NotKept,
}

pub enum Input {
    /// Whether messages can be taken and delivered.
    Health(oneshot::Sender<bool>),
    /// Operators take an endpoint out, or put it back.
    Maint {
        name: String,
        out: bool,
        reply: oneshot::Sender<Change>,
    },
    /// A message handed in; `taken.id` is given by the core.
    Offer {
        taken: Taken,
        end: Instant,
        reply: oneshot::Sender<Reply>,
    },
    /// The list of endpoints has changed, or was read anew.
    Catalogue(intake::LoadedList),
    Ended(Vec<AttemptEnd>),
    Probed {
        endpoint: EndpointId,
        outcome: Outcome,
        report: Option<LimitReport>,
    },
    /// The platform has answered for these notices.
    Noticed(Vec<u64>),
    /// Another process takes over: end the round and give up everything. None: not now.
    HandOver(oneshot::Sender<Option<State>>),
    /// No client can come any more: end once nothing is left to do, and start nothing new after this time.
    Wind(Instant),
}
