//! What the stub servers and the testbed observed during a play, as facts in the order of one clock. The
//! judge reads nothing else. `facts.jsonl` holds one fact per line.
use crate::clock::{Clock, Ns};
use crate::platform::destination::{CallNumber, Refusal};
use crate::platform::list::Lifecycle;
use crate::spec::{EventKind, Link};
use serde::{Deserialize, Serialize};
use std::sync::Mutex;

/// A message's id, sent on the wire in hexadecimal. Each hand-in of a message gets a new id.
pub type MessageId = u64;

/// One observation with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    pub at: Ns,
    #[serde(flatten)]
    pub kind: FactKind,
}

/// How a hand-in ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HandInResult {
    /// 200 or 202.
    #[serde(rename = "taken")]
    Accepted,
    /// 429 or 503.
    Refused,
    /// Any other status.
    Failed,
    /// No answer within the client's timeout.
    #[serde(rename = "silence")]
    TimedOut,
    /// The connection ended before the answer.
    Closed,
    NoConnection,
}

/// How an endpoint ended a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// An answer with status 200, also if the rest of it is malformed.
    Delivered,
    Error,
    Refused {
        why: Refusal,
        /// Time given by `Retry-After`.
        wait: Option<Ns>,
    },
    /// The endpoint reset the connection, or could not write the answer.
    Broken,
}

impl Reply {
    /// Returns true if the reply proves that the call had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Reply::Refused { .. })
    }
}

/// What a sender's notice says of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Notice {
    GivenUp,
    HandedBack,
}

/// A change in the state of a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessEvent {
    Started,
    Ready,
    /// The testbed sent SIGTERM.
    Terminated,
    /// The testbed sent SIGKILL.
    Killed,
    /// The testbed sent SIGSTOP.
    Paused,
    /// The testbed sent SIGCONT.
    Continued,
    /// The process was not ready within the time allowed for it.
    #[serde(rename = "late")]
    NotReady,
    /// The process has ended; `expected` if the testbed ended it.
    Exited {
        #[serde(rename = "asked")]
        expected: bool,
    },
    /// The sender's state folder was emptied.
    Emptied,
    /// The process found another sender's state folder in place of its own and ended because of that.
    #[serde(rename = "refused")]
    RefusedFolder,
    /// The process went on with another sender's state folder.
    #[serde(rename = "took-anothers")]
    TookForeignFolder,
}

/// What was observed. In `facts.jsonl` the key `fact` holds the variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fact")]
pub enum FactKind {
    /// A client wants a message delivered, as planned for `planned`. It may hand the message in several
    /// times.
    #[serde(rename = "asked")]
    Requested { request: u32, sender: u32, dest: u32, class: usize, planned: Ns },
    /// A client begins to write a message to a sender. `due` is the message's deadline.
    HandedIn { message: MessageId, request: u32, sender: u32, due: Ns },
    /// A hand-in has ended for its client.
    #[serde(rename = "heard")]
    HandInEnded {
        message: MessageId,
        #[serde(rename = "heard")]
        result: HandInResult,
    },
    /// A call was received completely.
    #[serde(rename = "called")]
    CallReceived {
        call: CallNumber,
        message: MessageId,
        sender: u32,
        endpoint: u32,
        /// When its first byte was received.
        first: Ns,
        /// Its body is that of the client.
        intact: bool,
    },
    /// A call had no message id in the protocol's form.
    #[serde(rename = "nameless")]
    CallWithoutId { sender: u32, endpoint: u32 },
    /// A call took effect.
    Effect { call: CallNumber },
    /// An endpoint is about to write an answer. If the write fails, a second reply to the same call replaces
    /// it.
    Replied { call: CallNumber, reply: Reply },
    /// The sender closed a call's connection before the answer.
    #[serde(rename = "left")]
    CallAbandoned { call: CallNumber },
    /// A sender probed an endpoint.
    Probed { sender: u32, endpoint: u32 },
    /// A connection to an endpoint was established.
    Connected { sender: u32, endpoint: u32 },
    /// A sender's notice was received.
    Notice { message: MessageId, sender: u32, notice: Notice },
    /// An endpoint's lifecycle changed; discovery tells senders of it later.
    #[serde(rename = "changed")]
    EndpointChanged { endpoint: u32, lifecycle: Lifecycle },
    /// Discovery has pushed a change to the agents of all senders.
    #[serde(rename = "published")]
    ChangePublished { endpoint: u32, lifecycle: Lifecycle },
    /// Discovery sends a change to a sender.
    #[serde(rename = "told")]
    ChangeSent { sender: u32, endpoint: u32, lifecycle: Lifecycle },
    /// The state of a sender's process changed.
    Process {
        sender: u32,
        #[serde(rename = "life")]
        event: ProcessEvent,
    },
    /// A fault of a destination begins or ends.
    #[serde(rename = "trouble")]
    DestinationFault { dest: u32, kind: EventKind, begins: bool },
    /// A fault of discovery begins or ends; a move to another address has no end.
    #[serde(rename = "discovery")]
    DiscoveryFault { kind: EventKind, begins: bool },
    /// A fault of one of a sender's links begins or ends.
    #[serde(rename = "link")]
    LinkFault { sender: u32, link: Link, kind: EventKind, begins: bool },
    /// A cold endpoint failed for good under too many calls.
    #[serde(rename = "fell")]
    OverloadFailure { endpoint: u32 },
    /// A peer that sent no valid request has finished. `answered` is how long it took the sender to answer
    /// with 4xx or 5xx or to close the connection, if it did either; `taken` if it accepted the request
    /// instead.
    Stranger { sender: u32, form: String, within: Ns, answered: Option<Ns>, taken: bool },
}

impl Fact {
    /// Returns the same fact on a clock whose zero is later by `by`.
    pub fn shifted(mut self, by: Ns) -> Fact {
        self.at -= by;
        match &mut self.kind {
            FactKind::Requested { planned, .. } => *planned -= by,
            FactKind::HandedIn { due, .. } => *due -= by,
            FactKind::CallReceived { first, .. } => *first -= by,
            _ => {}
        }
        self
    }
}

/// Collects facts from all tasks of the testbed.
pub struct FactLog {
    clock: Clock,
    facts: Mutex<Vec<Fact>>,
}

impl FactLog {
    pub fn new(clock: Clock) -> FactLog {
        FactLog { clock, facts: Mutex::default() }
    }

    /// Records a fact with the current time and returns that time. Facts are kept in the order of their
    /// times.
    pub fn record(&self, kind: FactKind) -> Ns {
        let mut facts = self.facts.lock().expect("no holder panics");
        let at = self.clock.now();
        facts.push(Fact { at, kind });
        at
    }

    /// Removes and returns all facts recorded so far.
    pub fn take(&self) -> Vec<Fact> {
        std::mem::take(&mut self.facts.lock().expect("no holder panics"))
    }
}
