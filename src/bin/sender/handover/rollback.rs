//! What the old process of an upgrade keeps after it has handed over, so that it can go on if the new process
//! is lost: the state that it sent, and everything that either process was told or did since.
use super::report::{NamedRoute, Report};
use crate::ended_messages::EndedMessages;
use crate::input::Input;
use crate::owner::Owner;
use crate::policy_clock::PolicyClock;
use crate::process_state::{
    HandoverState, HeldMessages, IdleBounds, InheritedState, NumberedCatalogue, NumberedEndpoint,
    RemainingWork,
};
use crate::server::ClientConnection;
use catalogue::Catalogue;
use sender::api::{AttemptEnd, EndpointId, Ns};
use sender::policy::Sender;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The state of a process that has handed over.
///
/// Its fields are those of [`HandoverState`]; [`RetainedState::new`] and [`RetainedState::into_inherited`]
/// name each of them, so that a new one can't be forgotten.
pub struct RetainedState {
    settings_json: String,
    policy: Sender,
    clock: PolicyClock,
    /// In its compact form, as the two processes share their memory.
    catalogue: Catalogue,
    /// Whether `catalogue` has all endpoints of the list.
    whole_list: bool,
    held: HeldMessages,
    next_id: u64,
    idle_bounds: IdleBounds,
    idle_bounds_at: Instant,
    ended: EndedMessages,
    /// How this process's own calls have ended since.
    attempts_ended: Vec<(Instant, AttemptEnd)>,
    /// The last address of discovery that the new process has reported.
    discovery: Option<SocketAddr>,
}

impl RetainedState {
    /// Keeps the state that was sent. `clock` is that of this process's policy.
    pub fn new(state: HandoverState, clock: PolicyClock) -> RetainedState {
        let HandoverState {
            settings_json,
            policy,
            // The times that correspond on another process's clock.
            clock: _,
            catalogue,
            held,
            // They stay with the calls (`RemainingWork`).
            attempts_in_flight: _,
            next_id,
            idle_bounds,
            ended,
            accepts_reports: _,
        } = state;
        RetainedState {
            settings_json,
            policy,
            clock,
            whole_list: catalogue.whole,
            catalogue: catalogue.to_catalogue(),
            held,
            next_id,
            idle_bounds,
            idle_bounds_at: Instant::now(),
            ended: EndedMessages::restore(ended),
            attempts_ended: Vec::new(),
            discovery: None,
        }
    }

    /// Notes how calls of this process have ended.
    pub fn note_attempts_ended(&mut self, ends: &[AttemptEnd]) {
        let now = Instant::now();
        self.attempts_ended.extend(ends.iter().map(|end| (now, *end)));
    }

    /// Notes what the new process has reported.
    pub fn apply(&mut self, report: Report) {
        match report {
            Report::MessagesEnded { next_id, messages } => {
                self.next_id = self.next_id.max(next_id);
                self.ended.add(messages);
            }
            Report::Routes { now, same_settings, routes } => {
                let clock_offset = self.clock.now() - now;
                routes.into_iter().for_each(|route| self.apply_route(route, clock_offset, same_settings));
            }
            Report::ListReplaced(list) => {
                self.whole_list = list.whole;
                let listed = list.endpoints.iter().map(NumberedEndpoint::endpoint);
                self.catalogue.replace_all(listed, list.generation);
            }
            Report::ListChanged { generation, listed, removed } => {
                let listed = listed.iter().map(NumberedEndpoint::endpoint);
                self.catalogue.apply_changes(listed, removed.iter().map(String::as_str), generation);
            }
            Report::DiscoveryMoved(address) => self.discovery = Some(address),
        }
    }

    fn apply_route(&mut self, route: NamedRoute, clock_offset: Ns, same_settings: bool) {
        let NamedRoute { destination, endpoint, learned } = route;
        let endpoint = match endpoint.map(|name| self.catalogue.id(&name)) {
            None => EndpointId::MAX,
            Some(Some(listed)) => listed,
            // An endpoint that is not listed is not called.
            Some(None) => return,
        };
        if same_settings {
            self.policy.adopt_route((destination, endpoint), learned, clock_offset);
            return;
        }
        // Under other settings, one side may have separate routes where the other has not.
        let until = learned.retry_after_until().saturating_add(clock_offset);
        self.policy.hold_route((destination, EndpointId::MAX), until);
        if endpoint == EndpointId::MAX {
            let endpoints: Vec<EndpointId> = self.catalogue.endpoints_of(destination).collect();
            endpoints.into_iter().for_each(|id| self.policy.hold_route((destination, id), until));
        } else {
            self.policy.hold_route((destination, endpoint), until);
        }
    }

    /// Returns the address of discovery, if the new process has reported one.
    pub fn discovery(&self) -> Option<SocketAddr> {
        self.discovery
    }

    /// Returns the state from which this process goes on, and the ends of its own calls, which the policy has
    /// yet to count.
    pub fn into_inherited(self) -> (InheritedState, Input) {
        let RetainedState {
            settings_json,
            policy,
            clock,
            catalogue,
            whole_list,
            held,
            next_id,
            idle_bounds,
            idle_bounds_at,
            ended,
            attempts_ended,
            discovery: _,
        } = self;
        let age = idle_bounds_at.elapsed();
        let idle_bounds = idle_bounds.into_iter().map(|(id, bound, old)| (id, bound, old + age)).collect();
        let inherited = InheritedState {
            settings_json,
            policy,
            clock,
            catalogue: NumberedCatalogue::with_all_of(&catalogue, whole_list),
            held,
            attempts_in_flight: Vec::new(),
            next_id,
            idle_bounds,
            ended,
        };
        let remaining = |(at, end): (Instant, AttemptEnd)| AttemptEnd {
            retry_after: remaining_wait(end.retry_after, at.elapsed()),
            ..end
        };
        (inherited, Input::AttemptsEnded(attempts_ended.into_iter().map(remaining).collect()))
    }
}

/// Returns what is left of a wait after some time.
fn remaining_wait(wait: Ns, elapsed: Duration) -> Ns {
    (wait - elapsed.as_nanos() as Ns).max(0)
}

/// What the old process goes on with after the new one is lost.
pub struct Rollback {
    pub state: RetainedState,
    pub work: RemainingWork,
    /// Requests that were forwarded and have no reply.
    pub unanswered: Vec<Input>,
    /// Client connections that the new process has not received.
    pub connections: Vec<ClientConnection>,
    /// When this process was told to end.
    pub terminated_at: Option<Instant>,
    /// The lock on the state folder, if this process has taken it back already.
    pub owner: Option<Owner>,
    pub lost: LostSuccessor,
}

/// What is known of a new process that was lost.
#[derive(Clone, Copy, Debug)]
pub struct LostSuccessor {
    /// Whether it reported what it learned. Processes of earlier versions do not.
    pub reports: bool,
}

#[cfg(test)]
mod tests;
