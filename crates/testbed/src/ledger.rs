//! Facts as the stand-ins saw them, in the order of one clock. The judge reads nothing else.
use crate::clock::{Clock, Ns};
use crate::platform::destination::{CallNo, Refusal};
use crate::platform::list::Lifecycle;
use crate::spec::{Kind, Link};
use serde::{Deserialize, Serialize};
use std::sync::Mutex;

/// A message's id as it stands on the wire, in hex. New each time a message is handed in.
pub type MessageId = u64;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    pub at: Ns,
    #[serde(flatten)]
    pub what: What,
}

/// How a sender answered a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Heard {
    Taken,
    /// 429 or 503.
    Refused,
    /// Any other status.
    Failed,
    /// Nothing within the client's patience.
    Silence,
    /// The connection ended first.
    Closed,
    NoConnection,
}

/// What an endpoint wrote, or did, as the end of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// A first line with 200 was written.
    Delivered,
    Error,
    Refused {
        why: Refusal,
        wait: Option<Ns>,
    },
    /// The endpoint broke the connection, or could not write.
    Broken,
}

impl Reply {
    /// It proves that the call had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Reply::Refused { .. })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Notice {
    GivenUp,
    HandedBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Life {
    Started,
    Ready,
    /// SIGTERM, SIGKILL, SIGSTOP, SIGCONT by the schedule.
    Terminated,
    Killed,
    Paused,
    Continued,
    /// The time within which it had to be ready is over.
    Late,
    /// It has ended; `asked` where the schedule had it end.
    Exited {
        asked: bool,
    },
    /// The folder that lasts was emptied.
    Emptied,
    /// It found another's folder in place of its own, and ended for it.
    Refused,
    /// It went on with another's folder.
    TookAnothers,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fact")]
pub enum What {
    /// A client wanted a message delivered at `planned`: it may be handed in several times.
    Asked {
        request: u32,
        sender: u32,
        dest: u32,
        class: usize,
        planned: Ns,
    },
    /// A client begins to write a message to a sender; it may be delivered until `due`.
    HandedIn {
        message: MessageId,
        request: u32,
        sender: u32,
        due: Ns,
    },
    Heard {
        message: MessageId,
        heard: Heard,
    },
    /// A call's last byte has come, its first one at `first`; `intact` where the body is the client's.
    Called {
        call: CallNo,
        message: MessageId,
        sender: u32,
        endpoint: u32,
        first: Ns,
        intact: bool,
    },
    /// A call named no id in the protocol's form.
    Nameless {
        sender: u32,
        endpoint: u32,
    },
    Effect {
        call: CallNo,
    },
    /// An answer is about to be written; a later one of the same call holds, where that could not be done.
    Replied {
        call: CallNo,
        reply: Reply,
    },
    /// The sender ended a call's connection before its answer.
    Left {
        call: CallNo,
    },
    Probed {
        sender: u32,
        endpoint: u32,
    },
    /// A connection to an endpoint came up.
    Connected {
        sender: u32,
        endpoint: u32,
    },
    Notice {
        message: MessageId,
        sender: u32,
        notice: Notice,
    },
    /// Discovery has something to tell, and has written it to a sender.
    Changed {
        endpoint: u32,
        lifecycle: Lifecycle,
    },
    Told {
        sender: u32,
        endpoint: u32,
        lifecycle: Lifecycle,
    },
    Process {
        sender: u32,
        life: Life,
    },
    /// A destination's trouble begins or ends.
    Trouble {
        dest: u32,
        kind: Kind,
        begins: bool,
    },
    /// A trouble of discovery begins or ends; a move only begins.
    Discovery {
        kind: Kind,
        begins: bool,
    },
    /// Something begins or ends on a link of a sender.
    Link {
        sender: u32,
        link: Link,
        kind: Kind,
        begins: bool,
    },
    /// A cold endpoint was sent too much.
    Fell {
        endpoint: u32,
    },
    /// A peer with no proper request has come to its end: `answered` with 4xx, 5xx or a close after so long.
    Stranger {
        sender: u32,
        form: String,
        within: Ns,
        answered: Option<Ns>,
        taken: bool,
    },
}

impl Fact {
    /// The same fact on a clock whose zero lies `by` later.
    pub fn shifted(mut self, by: Ns) -> Fact {
        self.at -= by;
        match &mut self.what {
            What::Asked { planned, .. } => *planned -= by,
            What::HandedIn { due, .. } => *due -= by,
            What::Called { first, .. } => *first -= by,
            _ => {}
        }
        self
    }
}

pub struct Ledger {
    clock: Clock,
    facts: Mutex<Vec<Fact>>,
}

impl Ledger {
    pub fn new(clock: Clock) -> Ledger {
        Ledger { clock, facts: Mutex::default() }
    }

    /// Notes a fact as of now. Facts are in the order of their times.
    pub fn note(&self, what: What) -> Ns {
        let mut facts = self.facts.lock().expect("no holder panics");
        let at = self.clock.now();
        facts.push(Fact { at, what });
        at
    }

    pub fn take(&self) -> Vec<Fact> {
        std::mem::take(&mut self.facts.lock().expect("no holder panics"))
    }
}
