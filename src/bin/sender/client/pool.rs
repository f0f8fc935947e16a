//! Idle connections to endpoints: how long each may stand idle, and which makes room where there are too many.
use crate::connection::{Connection, Counted};
use crate::process_state::IdleBounds;
use sender::api::EndpointId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A connection that ends sooner than this after an answer did not end for standing idle.
const LEAST_KEEP: Duration = Duration::from_millis(50);

/// How long connections to an endpoint may stand idle, as far as it is seen to be less than the settings say.
struct Keep {
    bound: Duration,
    since: Instant,
}

pub struct Pool {
    /// How long a connection may stand idle at most.
    idle: Duration,
    /// Most connections to endpoints at a time, those in use included.
    most: usize,
    open: Rc<Cell<usize>>,
    links: RefCell<HashMap<EndpointId, Vec<Connection>>>,
    keeps: RefCell<HashMap<EndpointId, Keep>>,
}

impl Pool {
    pub fn new(idle: Duration, most: usize) -> Pool {
        Pool { idle, most, open: Rc::default(), links: RefCell::default(), keeps: RefCell::default() }
    }

    /// Closes connections that don't lead to where their endpoint is now.
    pub fn follow(&self, place: impl Fn(EndpointId) -> Option<SocketAddr>) {
        self.links.borrow_mut().retain(|&endpoint, links| {
            let place = place(endpoint);
            links.retain(|link| place == Some(link.to()));
            !links.is_empty()
        });
    }

    /// Closes all, and tells what was learned of how long connections may stand idle.
    pub fn freeze(&self) -> IdleBounds {
        self.links.borrow_mut().clear();
        let now = Instant::now();
        let keeps = self.keeps.borrow();
        keeps.iter().map(|(&endpoint, keep)| (endpoint, keep.bound, now - keep.since)).collect()
    }

    pub fn thaw(&self, keeps: IdleBounds) {
        let now = Instant::now();
        for (endpoint, bound, age) in keeps {
            let since = now.checked_sub(age).unwrap_or(now);
            self.keeps.borrow_mut().insert(endpoint, Keep { bound, since });
        }
    }

    pub fn close(&self, endpoint: EndpointId) {
        self.links.borrow_mut().remove(&endpoint);
    }

    /// Closes what has stood idle too long or was closed from the other side, and forgets bounds that are over.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.links.borrow_mut().retain(|&endpoint, links| {
            links.retain(|l| self.may_reuse(endpoint, l, now));
            !links.is_empty()
        });
        let grown_back = |e: EndpointId| self.keep(e, now) >= self.idle;
        let over: Vec<_> = self.keeps.borrow().keys().copied().filter(|&e| grown_back(e)).collect();
        over.iter().for_each(|e| _ = self.keeps.borrow_mut().remove(e));
    }

    /// Keeps a connection on which nothing is under way.
    pub fn put(&self, endpoint: EndpointId, mut link: Connection) {
        link.rest();
        self.links.borrow_mut().entry(endpoint).or_default().push(link);
    }

    /// A place among the open connections, for one that is about to be made: many at once stay under the limit too.
    pub fn count(&self) -> Counted {
        Counted::new(&self.open)
    }

    /// One that may be used again.
    pub fn take(&self, endpoint: EndpointId) -> Option<Connection> {
        let now = Instant::now();
        let mut pool = self.links.borrow_mut();
        let links = pool.get_mut(&endpoint)?;
        let mut link = std::iter::from_fn(|| links.pop()).find(|l| self.may_reuse(endpoint, l, now))?;
        link.take_up(now);
        Some(link)
    }

    fn may_reuse(&self, endpoint: EndpointId, link: &Connection, now: Instant) -> bool {
        let stood = now - link.idle_since();
        if !link.is_open() {
            self.ended_idle(endpoint, stood);
            return false;
        }
        stood < self.keep(endpoint, now)
    }

    /// How long a connection there may stand idle. What was seen to be too long is tried again in time: the
    /// bound doubles with each span in which the settings' figure would have passed without such an end.
    fn keep(&self, endpoint: EndpointId, now: Instant) -> Duration {
        let keeps = self.keeps.borrow();
        let Some(keep) = keeps.get(&endpoint) else { return self.idle };
        let doublings = (now - keep.since).as_secs_f64() / self.idle.as_secs_f64().max(1e-3);
        keep.bound.mul_f64(doublings.floor().min(30.0).exp2()).min(self.idle)
    }

    /// The far side or something between ended a connection that had stood idle so long. The settings' figure
    /// is only the latest, and a call written after such an end is lost, so the next stand half as long.
    pub fn ended_idle(&self, endpoint: EndpointId, stood: Duration) {
        let now = Instant::now();
        let known = self.keep(endpoint, now);
        if stood < LEAST_KEEP {
            return;
        }
        let bound = (stood / 2).max(LEAST_KEEP).min(known);
        if bound < known {
            tracing::debug!(endpoint, ?stood, ?bound, "a kept connection had ended");
        }
        self.keeps.borrow_mut().insert(endpoint, Keep { bound, since: now });
    }

    /// Frees the place of the connection that has stood idle longest.
    pub fn make_place(&self) -> bool {
        if self.open.get() < self.most {
            return true;
        }
        let mut pool = self.links.borrow_mut();
        let oldest = pool.iter().filter_map(|(&e, links)| Some((links.first()?.idle_since(), e))).min();
        let Some((_, endpoint)) = oldest else { return false };
        pool.get_mut(&endpoint).map(|links| links.remove(0)).is_some()
    }
}
