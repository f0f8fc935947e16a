//! The links between senders and their peers: puts relays in front of peers whose links have planned faults,
//! and applies the faults.
use crate::clock::Clock;
use crate::plan::Plan;
use crate::relay::{LinkCondition, TcpRelay};
use crate::spec::{EventKind, Link};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// All links of an experiment, with the relays started so far.
pub struct Links {
    plan: Arc<Plan>,
    clock: Clock,
    conditions: BTreeMap<(Link, u32), watch::Sender<LinkCondition>>,
    /// Kept as long as `Links`, as a relay ends when it is dropped.
    relays: Mutex<Vec<TcpRelay>>,
}

impl Links {
    /// Prepares the links with planned faults; `connect_address` starts their relays.
    pub fn new(plan: &Arc<Plan>, clock: Clock) -> Links {
        let all = [Link::Endpoints, Link::Discovery, Link::Clients];
        let senders = 0..plan.senders.len() as u32;
        let pairs = all.into_iter().flat_map(|link| senders.clone().map(move |sender| (link, sender)));
        let faulty = pairs.filter(|(link, sender)| plan.has_link_events(*link, *sender));
        let conditions = faulty.map(|key| (key, watch::Sender::new(LinkCondition::default()))).collect();
        Links { plan: plan.clone(), clock, conditions, relays: Mutex::default() }
    }

    /// Returns the address at which `target` is reached over a link: that of a new relay if the link has
    /// planned faults, else the target's own.
    pub fn connect_address(&self, link: Link, sender: u32, target: SocketAddr) -> io::Result<SocketAddr> {
        let Some(condition) = self.conditions.get(&(link, sender)) else { return Ok(target) };
        let mut relays = self.relays.lock().expect("no holder panics");
        let relay = TcpRelay::start(
            target,
            condition.subscribe(),
            (self.plan.seed, relays.len() as u64),
            self.clock,
        )?;
        let address = relay.address();
        relays.push(relay);
        Ok(address)
    }

    /// Applies the begin or the end of a fault to a link.
    pub fn apply_fault(&self, link: Link, sender: u32, kind: EventKind, size: f64, begins: bool) {
        let Some(condition) = self.conditions.get(&(link, sender)) else { return };
        condition.send_modify(|c| c.apply_fault(kind, size, begins));
    }
}
