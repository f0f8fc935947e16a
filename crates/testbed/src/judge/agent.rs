//! When a change of the list counts as known to a sender because its agent has it: from the moment when the
//! agent has the change and can be reached, whether or not the sender has asked for it (STANDING, The whole
//! fleet).
use super::fact_index::LINK_BACKLOG;
use crate::clock::{Ns, SECOND};
use crate::facts::ProcessEvent;
use crate::platform::list::Lifecycle;
use crate::spec::EventKind;

/// After a move of discovery changes count as known after this time (TERMS, Reloading the configuration).
const KNOWN_AFTER_MOVE: Ns = 4 * SECOND;

/// The agents of all senders, which have the same changes at the same time.
#[derive(Default)]
pub struct Agents {
    /// When changes were pushed to the agents, with their endpoints.
    changes: Vec<(Ns, u32, Lifecycle)>,
    /// Beginnings and ends of the times in which agents do not answer every call.
    outages: Vec<(Ns, Ns)>,
    moves: Vec<Ns>,
}

impl Agents {
    pub fn add_change(&mut self, at: Ns, endpoint: u32, lifecycle: Lifecycle) {
        self.changes.push((at, endpoint, lifecycle));
    }

    /// Adds the beginning or the end of a fault of discovery. The end of any fault ends all, and a fault that
    /// begins replaces an earlier one.
    pub fn add_fault(&mut self, at: Ns, kind: EventKind, begins: bool) {
        match kind {
            EventKind::DiscoveryMoves => self.moves.push(at),
            EventKind::DiscoveryResets => {}
            _ => match (begins, self.outages.last_mut().filter(|(_, end)| *end == Ns::MAX)) {
                (false, Some(outage)) => outage.1 = at,
                (true, None) => self.outages.push((at, Ns::MAX)),
                _ => {}
            },
        }
    }

    /// Returns the changes of an endpoint that count as known to a sender at `at`, with the times from which
    /// they do.
    pub fn known_changes<'a>(
        &'a self,
        endpoint: u32,
        at: Ns,
        link_faults: &'a [(Ns, Ns)],
        process: &'a [(Ns, ProcessEvent)],
    ) -> impl Iterator<Item = (Ns, Lifecycle)> + 'a {
        let of_it = self.changes.iter().filter(move |(_, changed, _)| *changed == endpoint);
        of_it.map(move |&(when, _, lifecycle)| {
            let reachable = self.reachable_from(when, link_faults);
            (able_to_act_from(reachable, at, process), lifecycle)
        })
    }

    /// Returns the first time from `when` on at which the agent can be reached.
    fn reachable_from(&self, when: Ns, link_faults: &[(Ns, Ns)]) -> Ns {
        let outages = self.outages.iter().copied();
        let moves = self.moves.iter().map(|&at| (at, at + KNOWN_AFTER_MOVE));
        let spans: Vec<(Ns, Ns)> = outages.chain(moves).chain(disturbed_spans(link_faults)).collect();
        first_outside(when, &spans)
    }
}

/// Returns when what is sent over a link at `when` has arrived at the latest.
pub fn arrives_from(when: Ns, link_faults: &[(Ns, Ns)]) -> Ns {
    first_outside(when, &disturbed_spans(link_faults).collect::<Vec<_>>())
}

/// Returns the spans in which faults of a link may delay data on it.
fn disturbed_spans(link_faults: &[(Ns, Ns)]) -> impl Iterator<Item = (Ns, Ns)> + '_ {
    link_faults.iter().map(|&(from, to)| (from, to.saturating_add(LINK_BACKLOG)))
}

/// Returns the first time from `when` on that is in none of the spans.
fn first_outside(mut when: Ns, spans: &[(Ns, Ns)]) -> Ns {
    let end_around =
        |when| spans.iter().filter(|(from, to)| *from <= when && when < *to).map(|span| span.1).max();
    while let Some(end) = end_around(when) {
        when = end;
    }
    when
}

/// Returns the time from which a process can act at `at` on what its sender could know from `known` on: not
/// before it was started, nor before the end of a pause in between.
fn able_to_act_from(known: Ns, at: Ns, process: &[(Ns, ProcessEvent)]) -> Ns {
    let able = |event: &ProcessEvent| matches!(event, ProcessEvent::Started | ProcessEvent::Continued);
    process
        .iter()
        .filter(|(when, event)| able(event) && *when <= at)
        .map(|(when, _)| *when)
        .fold(known, Ns::max)
}
