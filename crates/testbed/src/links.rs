//! The links of the senders: relays in front of those peers whose links the plan hurts, and what it does to them.
use crate::clock::Clock;
use crate::plan::Plan;
use crate::relay::{Condition, Tcp};
use crate::spec::{EventKind, Link};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

pub struct Links {
    plan: Arc<Plan>,
    clock: Clock,
    conditions: BTreeMap<(Link, u32), watch::Sender<Condition>>,
    /// They end with this.
    relays: Mutex<Vec<Tcp>>,
}

impl Links {
    pub fn new(plan: &Arc<Plan>, clock: Clock) -> Links {
        let all = [Link::Endpoints, Link::Discovery, Link::Clients];
        let senders = 0..plan.senders.len() as u32;
        let pairs = all.into_iter().flat_map(|link| senders.clone().map(move |sender| (link, sender)));
        let hurt = pairs.filter(|(link, sender)| plan.has_link_events(*link, *sender));
        let conditions = hurt.map(|key| (key, watch::Sender::new(Condition::default()))).collect();
        Links { plan: plan.clone(), clock, conditions, relays: Mutex::default() }
    }

    /// Where to connect to reach `target` over a link: a relay if anything is to happen to it, else the target itself.
    pub fn front(&self, link: Link, sender: u32, target: SocketAddr) -> io::Result<SocketAddr> {
        let Some(condition) = self.conditions.get(&(link, sender)) else { return Ok(target) };
        let mut relays = self.relays.lock().expect("no holder panics");
        let relay =
            Tcp::start(target, condition.subscribe(), (self.plan.seed, relays.len() as u64), self.clock)?;
        let address = relay.address();
        relays.push(relay);
        Ok(address)
    }

    /// Something begins or ends on a link.
    pub fn strike(&self, link: Link, sender: u32, kind: EventKind, size: f64, begins: bool) {
        let Some(condition) = self.conditions.get(&(link, sender)) else { return };
        condition.send_modify(|c| c.strike(kind, size, begins));
    }
}
