//! What passes from one process to the next in an upgrade, and what stays with the process that has handed over.
use crate::input::Input;
use sender::api::{DestId, EndpointId, Ns};
use sender::policy::Sender;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};

/// All that the next process needs besides the journal.
#[derive(Serialize, Deserialize)]
pub struct State {
    /// With other settings it can't be used.
    pub settings: String,
    pub module: Sender,
    /// The module's time at a Unix time in nanoseconds: its clock goes on.
    pub clock: (Ns, u64),
    pub endpoints: Vec<(String, usize)>,
    /// Messages not ended, by number, with the end of their time and their attempts so far.
    pub held: BTreeMap<u64, (Ns, u32)>,
    /// Calls out.
    pub calls: Vec<(u64, u32, EndpointId)>,
    pub next_id: u64,
    pub client: Known,
}

/// What passes on in an upgrade.
#[derive(Serialize, Deserialize)]
pub struct Known {
    pub places: HashMap<EndpointId, Place>,
    /// Bounds on idle time with the age of each.
    pub keeps: Vec<(EndpointId, Duration, Duration)>,
}

#[derive(Serialize, Deserialize, Clone)]
pub struct Place {
    pub address: SocketAddr,
    pub route: (DestId, Option<EndpointId>),
    /// The list says that it is ready.
    pub listed: bool,
}

/// What is left to the process that has handed over: calls out, and who may still come.
pub struct Rest {
    pub inbox: mpsc::Receiver<Input>,
    pub asks: mpsc::Receiver<Input>,
    pub calls: HashMap<(u64, u32), Out>,
}

/// One message's part in a call that is out.
#[derive(Clone)]
pub struct Out {
    pub endpoint: EndpointId,
    pub cancel: Rc<Cancel>,
}

/// Set once the module calls an attempt off.
#[derive(Default)]
pub struct Cancel {
    set: Cell<bool>,
    notify: Notify,
}

impl Cancel {
    pub fn set(&self) {
        self.set.set(true);
        self.notify.notify_one();
    }
    pub async fn wait(&self) {
        while !self.set.get() {
            self.notify.notified().await;
        }
    }
}
