//! The pool of idle connections to endpoints: bounds how long each may stay idle and how many connections are
//! open.
use crate::connection::{Connection, ConnectionPermit};
use crate::process_state::IdleBounds;
use sender::api::EndpointId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A connection that was closed after less idle time than this was not closed for being idle; also the lowest
/// idle bound.
const MIN_IDLE_BOUND: Duration = Duration::from_millis(50);

/// How long connections to an endpoint may stay idle, if that was found to be less than the settings say.
struct IdleBound {
    bound: Duration,
    /// When the bound was set.
    since: Instant,
}

/// The idle connections by endpoint, and the number of all open ones.
pub struct Pool {
    /// How long a connection may stay idle, unless its endpoint has a lower bound.
    max_idle: Duration,
    /// Maximum number of open connections to endpoints, including those in use.
    max_open: usize,
    open: Rc<Cell<usize>>,
    /// Idle connections by endpoint, the one that has been idle longest first.
    idle_connections: RefCell<HashMap<EndpointId, Vec<Connection>>>,
    idle_bounds: RefCell<HashMap<EndpointId, IdleBound>>,
}

impl Pool {
    pub fn new(max_idle: Duration, max_open: usize) -> Pool {
        Pool {
            max_idle,
            max_open,
            open: Rc::default(),
            idle_connections: RefCell::default(),
            idle_bounds: RefCell::default(),
        }
    }

    /// Closes idle connections to an address other than the current one of their endpoint.
    pub fn close_outdated(&self, current_address: impl Fn(EndpointId) -> Option<SocketAddr>) {
        self.idle_connections.borrow_mut().retain(|&endpoint, connections| {
            let current = current_address(endpoint);
            connections.retain(|connection| current == Some(connection.address()));
            !connections.is_empty()
        });
    }

    /// Closes all idle connections and returns the learned idle bounds, each with its age.
    pub fn close_all(&self) -> IdleBounds {
        self.idle_connections.borrow_mut().clear();
        let now = Instant::now();
        let idle_bounds = self.idle_bounds.borrow();
        idle_bounds.iter().map(|(&endpoint, idle)| (endpoint, idle.bound, now - idle.since)).collect()
    }

    /// Restores idle bounds from another process.
    pub fn restore_idle_bounds(&self, bounds: IdleBounds) {
        let now = Instant::now();
        for (endpoint, bound, age) in bounds {
            let since = now.checked_sub(age).unwrap_or(now);
            self.idle_bounds.borrow_mut().insert(endpoint, IdleBound { bound, since });
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close(&self, endpoint: EndpointId) {
        self.idle_connections.borrow_mut().remove(&endpoint);
    }

    /// Closes connections that have been idle too long or were closed by the peer, and removes idle bounds
    /// that have grown back to `max_idle`.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle_connections.borrow_mut().retain(|&endpoint, connections| {
            connections.retain(|c| self.may_reuse(endpoint, c, now));
            !connections.is_empty()
        });
        let grown_back = |e: EndpointId| self.idle_bound(e, now) >= self.max_idle;
        let expired: Vec<_> = self.idle_bounds.borrow().keys().copied().filter(|&e| grown_back(e)).collect();
        expired.iter().for_each(|e| _ = self.idle_bounds.borrow_mut().remove(e));
    }

    /// Adds a connection without a request in flight.
    pub fn put(&self, endpoint: EndpointId, mut connection: Connection) {
        connection.mark_idle();
        self.idle_connections.borrow_mut().entry(endpoint).or_default().push(connection);
    }

    /// Counts a connection that is about to be opened, so that many being opened at once also stay under the
    /// limit.
    pub fn permit(&self) -> ConnectionPermit {
        ConnectionPermit::new(&self.open)
    }

    /// Takes, of an endpoint's idle connections that may be reused, the one that was used last.
    pub fn take(&self, endpoint: EndpointId) -> Option<Connection> {
        let now = Instant::now();
        let mut pool = self.idle_connections.borrow_mut();
        let connections = pool.get_mut(&endpoint)?;
        let mut connection =
            std::iter::from_fn(|| connections.pop()).find(|c| self.may_reuse(endpoint, c, now))?;
        connection.mark_in_use(now);
        Some(connection)
    }

    fn may_reuse(&self, endpoint: EndpointId, connection: &Connection, now: Instant) -> bool {
        let idle = now - connection.idle_since();
        if !connection.is_open() {
            self.record_end(endpoint, connection, idle);
            return false;
        }
        idle < self.idle_bound(endpoint, now)
    }

    /// Returns how long a connection to an endpoint may stay idle. A learned bound is raised again over time:
    /// it doubles with each `max_idle` that passes without another connection closed while idle.
    fn idle_bound(&self, endpoint: EndpointId, now: Instant) -> Duration {
        let idle_bounds = self.idle_bounds.borrow();
        let Some(learned) = idle_bounds.get(&endpoint) else { return self.max_idle };
        let doublings = (now - learned.since).as_secs_f64() / self.max_idle.as_secs_f64().max(1e-3);
        learned.bound.mul_f64(doublings.floor().min(30.0).exp2()).min(self.max_idle)
    }

    /// Records the end of a connection that had been idle for the given time. One that ended for surplus
    /// bytes says nothing about how long others may stay idle.
    pub fn record_end(&self, endpoint: EndpointId, connection: &Connection, idle: Duration) {
        if connection.has_surplus() {
            tracing::debug!(endpoint, ?idle, "a connection was closed for bytes after its last answer");
        } else {
            self.record_idle_close(endpoint, idle);
        }
    }

    /// Records that the endpoint, or something on the way to it, closed a connection that had been idle for
    /// the given time. The time in the settings is only an upper bound, and a call that is written after such
    /// a close is lost, so further connections may stay idle for half as long.
    pub fn record_idle_close(&self, endpoint: EndpointId, idle: Duration) {
        let now = Instant::now();
        let current = self.idle_bound(endpoint, now);
        if idle < MIN_IDLE_BOUND {
            return;
        }
        let bound = (idle / 2).max(MIN_IDLE_BOUND).min(current);
        if bound < current {
            tracing::debug!(endpoint, ?idle, ?bound, "an idle connection was closed from outside");
        }
        self.idle_bounds.borrow_mut().insert(endpoint, IdleBound { bound, since: now });
    }

    /// Makes room for one more connection, by closing the one that has been idle longest if the limit is
    /// reached. Returns false if all open connections are in use.
    pub fn make_room(&self) -> bool {
        if self.open.get() < self.max_open {
            return true;
        }
        let mut pool = self.idle_connections.borrow_mut();
        let oldest =
            pool.iter().filter_map(|(&e, connections)| Some((connections.first()?.idle_since(), e))).min();
        let Some((_, endpoint)) = oldest else { return false };
        pool.get_mut(&endpoint).map(|connections| connections.remove(0)).is_some()
    }
}
