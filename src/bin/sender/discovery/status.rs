//! What on-call can read of the list's age: when it was last confirmed, and why calls failed since.
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The state of the calls to discovery.
pub struct ListStatus {
    state: RefCell<State>,
}

struct State {
    /// Whether this process follows discovery: not any more after an upgrade.
    following: bool,
    address: SocketAddr,
    generation: Option<u64>,
    /// When discovery last answered with a usable list or with no change.
    confirmed_at: Option<Instant>,
    calls_out: usize,
    /// Calls that have failed or were not answered since then.
    failures: u64,
    last_failure: Option<(Instant, String)>,
}

impl ListStatus {
    /// Creates the status of a sender that has not called discovery yet.
    pub fn new(address: SocketAddr) -> ListStatus {
        ListStatus {
            state: RefCell::new(State {
                following: true,
                address,
                generation: None,
                confirmed_at: None,
                calls_out: 0,
                failures: 0,
                last_failure: None,
            }),
        }
    }

    /// Returns the address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.state.borrow().address
    }

    /// Returns the time since the list was last confirmed. None if this process has had no list of discovery.
    pub fn age(&self) -> Option<Duration> {
        self.state.borrow().confirmed_at.map(|at| at.elapsed())
    }

    /// Notes another address of discovery. What the old one confirmed stays confirmed.
    pub fn move_to(&self, address: SocketAddr) {
        let mut state = self.state.borrow_mut();
        (state.address, state.calls_out) = (address, 0);
    }

    /// Notes that discovery has just confirmed that this generation is its last one.
    pub fn confirm(&self, generation: u64) {
        let mut state = self.state.borrow_mut();
        state.generation = Some(generation);
        state.confirmed_at = Some(Instant::now());
        state.failures = 0;
    }

    pub fn note_failure(&self, reason: &str) {
        let mut state = self.state.borrow_mut();
        state.failures += 1;
        state.last_failure = Some((Instant::now(), reason.to_string()));
    }

    pub fn set_calls_out(&self, calls: usize) {
        self.state.borrow_mut().calls_out = calls;
    }

    /// Notes that this process follows discovery, at this address.
    pub fn follow(&self, address: SocketAddr) {
        let mut state = self.state.borrow_mut();
        (state.following, state.address, state.calls_out) = (true, address, 0);
    }

    /// Notes that another process follows discovery from now on.
    pub fn stop_following(&self) {
        self.state.borrow_mut().following = false;
    }

    /// Returns the status in the form in which the control address gives it. None if another process follows
    /// discovery.
    pub fn to_json(&self) -> Option<Value> {
        let state = self.state.borrow();
        if !state.following {
            return None;
        }
        let ms_since = |at: Instant| at.elapsed().as_millis() as u64;
        Some(json!({
            "address": state.address.to_string(),
            "generation": state.generation,
            "confirmed_ms_ago": state.confirmed_at.map(ms_since),
            "calls_out": state.calls_out,
            "failures_since_confirmed": state.failures,
            "last_failure": state.last_failure.as_ref().map(|(_, reason)| reason),
            "last_failure_ms_ago": state.last_failure.as_ref().map(|(at, _)| ms_since(*at)),
        }))
    }
}
