//! How the core starts: with the state of another process, of its own before a failed upgrade, or of a
//! snapshot, and with the messages in the journal.
use super::{position, unix_time_ns, Core, Written, LATE_ANSWER_MARGIN};
use crate::first_catalogue::FirstCatalogue;
use crate::handover::LostSuccessor;
use crate::input::{Input, Reply};
use crate::journal::EndedInLog;
use crate::policy_clock::{PolicyClock, CLOCK_START};
use crate::process_state::{AttemptInFlight, HeldMessages, InheritedState, NumberedCatalogue};
use catalogue::Catalogue;
use sender::api::{EndpointId, Event, Ns, PastAttempt, MS};
use sender::records::{unix_time_ms, AcceptedMessage, PendingMessage, Record, Undelivered};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use store::file_system::FileSystem;
use tokio::time::{timeout, Instant};

/// How long a process that starts without a handover waits for discovery's first list.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(300);
/// The state with which a core continues, and what is known of the process that it comes from.
pub struct Inherited {
    pub state: InheritedState,
    /// The calls of this process that are still in flight, after a failed upgrade.
    pub own_attempts: HashMap<(u64, u32), AttemptInFlight>,
    /// The new process of the failed upgrade.
    pub lost_successor: Option<LostSuccessor>,
}

impl Inherited {
    /// What a running process has handed over.
    pub fn from_predecessor(state: InheritedState) -> Inherited {
        Inherited { state, own_attempts: HashMap::new(), lost_successor: None }
    }
}

/// What other tasks need of the state that the core starts with.
pub struct Start {
    /// The list that the watch of discovery continues from.
    pub watched: Catalogue,
    /// The generation since which the watch asks for changes. None if it asks for the whole list.
    pub generation: Option<u64>,
    /// How the messages in the journal are resumed.
    pub resumption: Resumption,
}

/// How the messages in the journal are resumed.
pub struct Resumption {
    /// Whether the policy has yet to be told of the list in force.
    pub new_to_policy: bool,
    /// The messages that the policy already knows. None if the process starts without the state of another
    /// one.
    pub known: Option<HeldMessages>,
    pub lost_successor: Option<LostSuccessor>,
}

/// The messages of the journal, by what becomes of them.
#[derive(Default)]
struct PendingMessages {
    /// Messages that the policy already knows.
    known: Vec<KnownMessage>,
    /// Messages that are new to the policy.
    resumed: Vec<ResumedMessage>,
    /// Messages that have ended without delivery; the last part says whether that was decided just now.
    undelivered: Vec<(Rc<AcceptedMessage>, Undelivered, bool)>,
    /// Messages that another process has delivered.
    delivered: Vec<u64>,
}

struct KnownMessage {
    message: Rc<AcceptedMessage>,
    /// On the policy's clock.
    deadline: Ns,
    /// Attempts that the policy knows.
    attempts: u32,
    /// Attempts of another process that it does not know.
    later: Vec<PastAttempt>,
}

struct ResumedMessage {
    message: Rc<AcceptedMessage>,
    class: usize,
    left: Ns,
    past: Vec<PastAttempt>,
}

impl<F: FileSystem> Core<F>
where
    F::File: Send + 'static,
{
    /// Restores the state that another process has handed over, or this one has kept over a failed upgrade,
    /// or else the last snapshot, and puts a list in force. `known` is the list of the configuration. The
    /// messages themselves are in the journal, by number.
    pub fn start(&mut self, known: Catalogue, inherited: Option<Inherited>) -> Start {
        let Some(Inherited { state, own_attempts, lost_successor }) = inherited else {
            let first = self.restore_snapshot(known);
            return self.put_in_force(first, None, None);
        };
        let same_settings = state.settings_json == self.settings_json;
        let (catalogue, held) = self.restore_inherited(state);
        self.attempts_in_flight.extend(own_attempts);
        let mut first = FirstCatalogue::after_handover(&catalogue, known);
        // The list may have changed since the policy's state was taken.
        first.new_to_module |= !same_settings || lost_successor.is_some();
        self.put_in_force(first, Some(held), lost_successor)
    }

    fn put_in_force(
        &mut self,
        first: FirstCatalogue,
        known: Option<HeldMessages>,
        lost_successor: Option<LostSuccessor>,
    ) -> Start {
        self.list_incomplete = first.is_partial();
        self.directory.replace(first.in_force);
        let FirstCatalogue { watched, generation, new_to_module: new_to_policy, .. } = first;
        Start { watched, generation, resumption: Resumption { new_to_policy, known, lost_successor } }
    }

    /// Continues from the state of another process. If that process had other settings, the policy starts
    /// anew, bound by what the other one was told.
    fn restore_inherited(&mut self, state: InheritedState) -> (NumberedCatalogue, HeldMessages) {
        let InheritedState {
            settings_json,
            policy,
            clock,
            catalogue,
            held,
            attempts_in_flight,
            next_id,
            idle_bounds,
            ended,
        } = state;
        self.ended = ended;
        self.clock = clock;
        self.next_id = self.next_id.max(next_id);
        if settings_json != self.settings_json {
            tracing::warn!("the settings are new: going on from the journal, the list and the waits alone");
            let waits: Vec<_> = policy.waiting_routes(self.clock.now()).collect();
            let listed = catalogue.to_catalogue();
            for ((destination, endpoint), until) in waits {
                self.hold_destination(&listed, destination, endpoint, until);
            }
            return (catalogue, HeldMessages::new());
        }
        self.policy = policy.after_handover(self.settings.clone());
        let attempts = attempts_in_flight.into_iter().map(|(id, n, endpoint)| ((id, n), endpoint));
        self.attempts_in_flight = attempts
            .map(|(attempt, endpoint)| (attempt, AttemptInFlight { endpoint, cancel: Rc::default() }))
            .collect();
        self.client.restore_idle_bounds(idle_bounds);
        (catalogue, held)
    }

    /// Sends nothing to a route until a time. As the settings may differ in which endpoints have routes of
    /// their own, the wait of a destination binds each of its endpoints, and that of an endpoint its
    /// destination.
    fn hold_destination(&mut self, listed: &Catalogue, destination: u64, endpoint: EndpointId, until: Ns) {
        self.policy.hold_route((destination, EndpointId::MAX), until);
        if endpoint == EndpointId::MAX {
            listed.endpoints_of(destination).for_each(|id| self.policy.hold_route((destination, id), until));
        } else {
            self.policy.hold_route((destination, endpoint), until);
        }
    }

    /// Continues from the last snapshot, if there is a usable one.
    fn restore_snapshot(&mut self, known: Catalogue) -> FirstCatalogue {
        let unix_ns = unix_time_ns();
        let Some(snapshot) = self.snapshots.as_ref().and_then(|s| s.read(unix_ns)) else {
            return FirstCatalogue::from_known_list(known);
        };
        self.policy = snapshot.policy.after_restart(self.settings.clone(), self.seed);
        let (policy_time, taken_unix_ns) = snapshot.clock;
        let age = unix_ns.saturating_sub(taken_unix_ns) as Ns;
        self.clock = PolicyClock::continued(Instant::now(), policy_time + age);
        FirstCatalogue::after_restart(&snapshot.numbers.endpoints, snapshot.numbers.next_id, known)
    }

    /// Returns the attempts in flight that another process has begun and reports on, each with its message's
    /// deadline. Those of messages that have ended have the latest deadline that any may have.
    pub fn handed_over_attempts(&self, handed_over: &HashSet<(u64, u32)>) -> super::HandedOverAttempts {
        let longest = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let latest = self.clock.now() + longest;
        let attempts = self.attempts_in_flight.iter().filter(|(call, _)| handed_over.contains(call));
        let with_deadline = |(&(id, attempt), in_flight): (&(u64, u32), &AttemptInFlight)| {
            let deadline = self.held.get(&id).map_or(latest, |held| held.deadline);
            ((id, attempt), (in_flight.clone(), self.clock.instant(deadline)))
        };
        attempts.map(with_deadline).collect()
    }

    /// Resumes the messages in the journal, and takes the first inputs.
    ///
    /// Without the state of another process the list of the configuration may be old, so discovery's first
    /// list is awaited for a short time.
    pub async fn resume(&mut self, resumption: Resumption, inputs: Vec<Input>) {
        let Resumption { new_to_policy, known, lost_successor } = resumption;
        let mut events = Vec::new();
        self.apply_maintenance(&mut events);
        if new_to_policy {
            self.on_demand.directory_replaced(&self.policy, &*self.directory, &mut events);
        }
        if known.is_none() {
            let first = timeout(FIRST_LIST_TIMEOUT, self.inbox.recv()).await;
            if let Ok(Some(Input::Catalogue(list))) = first {
                self.apply_list(list, &mut events);
            }
        }
        let known = known.unwrap_or_default();
        let ended_in_log = self.journal.take_ended();
        if let Some(lost) = lost_successor {
            self.hold_unreported(&known, lost);
            if !lost.reports {
                self.remember_unreported(ended_in_log);
            }
        }
        let PendingMessages { known: still_known, resumed, undelivered, delivered } =
            self.sort_pending(&known);
        self.withdraw_ended(&known, &still_known, &mut events);
        self.hold_known(still_known, &mut events);
        self.hold_resumed(resumed, &mut events);
        if !self.journal.pending().is_empty() {
            tracing::info!(
                messages = self.held.len(),
                notices = undelivered.len(),
                "resumed from the journal"
            );
        }
        self.end_undelivered(undelivered, delivered).await;
        self.run_round(inputs, events).await;
    }

    /// Sorts the messages of the journal by what becomes of them. `known` are those that the policy knows.
    fn sort_pending(&self, known: &HeldMessages) -> PendingMessages {
        let (now, unix_ms) = (self.clock.now(), unix_time_ms());
        let late_margin_ms = LATE_ANSWER_MARGIN.as_millis() as i64;
        let mut sorted = PendingMessages::default();
        for (&id, pending) in self.journal.pending() {
            let message = pending.accepted.clone();
            if let Some(outcome) = pending.undelivered {
                sorted.undelivered.push((message, outcome, false));
                continue;
            }
            match self.ended.reply_to(&message.trace_id, Instant::now()) {
                Some(Reply::Accepted) if message.deadline_ms - unix_ms >= late_margin_ms => {
                    sorted.delivered.push(id);
                    continue;
                }
                // One that was delivered may have been so too late; if not, a notice does no harm.
                Some(reply) => {
                    sorted.undelivered.push((message, undelivered_by(reply), true));
                    continue;
                }
                None => {}
            }
            if let Some(&(deadline, attempts)) = known.get(&id) {
                let later = self.past_attempts(pending, attempts, now, unix_ms);
                sorted.known.push(KnownMessage { message, deadline, attempts, later });
                continue;
            }
            let past = self.past_attempts(pending, 0, now, unix_ms);
            let Some(class) = position(&self.program_settings.classes, &message.class) else {
                // The policy can't decide, as the settings no longer have the message's class.
                let may_have_run = past.iter().any(|p| p.may_have_run);
                let outcome = if may_have_run { Undelivered::GivenUp } else { Undelivered::HandedBack(None) };
                sorted.undelivered.push((message, outcome, true));
                continue;
            };
            let left = (message.deadline_ms - unix_ms).saturating_mul(MS);
            sorted.resumed.push(ResumedMessage { message, class, left, past });
        }
        sorted
    }

    /// Returns the attempts of a message from the number `first` on. The policy numbers attempts by their
    /// place, so those that could not be recorded count as well; they were not made.
    fn past_attempts(&self, pending: &PendingMessage, first: u32, now: Ns, unix_ms: i64) -> Vec<PastAttempt> {
        let mut attempts = Vec::new();
        for started in pending.attempts.iter().filter(|started| started.number >= first) {
            let sent = now - (unix_ms - started.started_at_ms).max(0).saturating_mul(MS).min(CLOCK_START);
            let missing = (started.number - first).saturating_sub(attempts.len() as u32);
            let missing = missing.min(self.settings.max_attempts);
            let not_made = PastAttempt { endpoint: None, sent, may_have_run: false };
            attempts.extend((0..missing).map(|_| not_made));
            attempts.push(PastAttempt {
                endpoint: self.directory.catalogue().id(&started.endpoint),
                sent,
                may_have_run: !started.never_ran,
            });
        }
        attempts
    }

    /// Withdraws the messages that the policy knows and another process has ended.
    fn withdraw_ended(&self, known: &HeldMessages, still_known: &[KnownMessage], events: &mut Vec<Event>) {
        let still_known: HashSet<u64> = still_known.iter().map(|known| known.message.id).collect();
        let ended = known.keys().filter(|id| !still_known.contains(id));
        events.extend(ended.map(|&id| Event::Withdrawn { id }));
    }

    /// Holds messages that the policy already has, so that their class and time left are not used.
    fn hold_known(&mut self, known: Vec<KnownMessage>, events: &mut Vec<Event>) {
        for KnownMessage { message, deadline, attempts, later } in known {
            let id = message.id;
            self.hold(message, 0, 0, deadline, attempts + later.len() as u32);
            if !later.is_empty() {
                events.push(Event::AttemptsAdded { id, attempts: later });
            }
        }
    }

    fn hold_resumed(&mut self, resumed: Vec<ResumedMessage>, events: &mut Vec<Event>) {
        let now = self.clock.now();
        for ResumedMessage { message, class, left, past } in resumed {
            let message = self.hold(message, class, left, now + left, past.len() as u32);
            self.on_demand.before_message(&self.policy, &*self.directory, message.dest, events);
            events.push(Event::Resumed { message, past });
        }
    }

    /// Records the ends of messages that have ended, and sends the notices.
    async fn end_undelivered(
        &mut self,
        undelivered: Vec<(Rc<AcceptedMessage>, Undelivered, bool)>,
        delivered: Vec<u64>,
    ) {
        let decided = undelivered.iter().filter(|(.., decided_now)| *decided_now);
        let notices = decided.map(|(message, outcome, _)| Record::NoticeStarted(message.id, *outcome));
        let records: Vec<Record> = notices.chain(delivered.into_iter().map(Record::Ended)).collect();
        if self.write_records(&records).await == Written::Failed {
            self.write_eventually(records);
        }
        for (message, outcome, _) in undelivered {
            let deadline = self.deadline_instant(message.deadline_ms);
            self.ended.record(&message.trace_id, Reply::to_undelivered(outcome), deadline);
            self.notify(&message, outcome);
        }
    }

    /// Holds back the routes of calls that a lost process has begun, and whose end it has not reported: it
    /// may have been told to wait.
    fn hold_unreported(&mut self, known: &HeldMessages, lost: LostSuccessor) {
        let now = self.clock.now();
        let mut unreported = Vec::new();
        for (id, pending) in self.journal.pending() {
            let first = known.get(id).map_or(0, |&(_, attempts)| attempts);
            let its_own = pending.attempts.iter().filter(|attempt| attempt.number >= first);
            // A call that never ran was reported, if anything was. Of others the journal does not tell the
            // end.
            for attempt in its_own.filter(|attempt| !lost.reports || !attempt.never_ran) {
                let endpoint = self.directory.catalogue().id(&attempt.endpoint);
                let own_route = endpoint.filter(|&endpoint| self.directory.has_own_route(endpoint));
                let route = (pending.accepted.dest, own_route.unwrap_or(EndpointId::MAX));
                unreported.push((route, attempt.never_ran));
            }
        }
        for (route, was_refused) in unreported {
            self.policy.hold_unreported(route, was_refused, now);
        }
    }

    /// Remembers the messages that a lost process has ended without a report. Those that it has called may
    /// have run.
    fn remember_unreported(&mut self, ended: VecDeque<EndedInLog>) {
        for EndedInLog { trace_id, deadline_ms, outcome } in ended {
            if self.ended.reply_to(&trace_id, Instant::now()).is_none() {
                let deadline = self.deadline_instant(deadline_ms);
                self.ended.record(&trace_id, Reply::to_undelivered(outcome), deadline);
            }
        }
    }

    /// Converts a deadline in Unix time to an instant, not in the past.
    fn deadline_instant(&self, deadline_ms: i64) -> Instant {
        let left = (deadline_ms - unix_time_ms()).max(0).saturating_mul(MS);
        self.clock.instant(self.clock.now().saturating_add(left))
    }
}

/// Returns the notice for a message that ended with this reply, where it can't be told from one that was not
/// delivered.
fn undelivered_by(reply: Reply) -> Undelivered {
    match reply {
        Reply::Refused(retry_after) => {
            Undelivered::HandedBack(retry_after.map(|after| after.as_millis() as u64))
        }
        Reply::Accepted | Reply::Failed => Undelivered::GivenUp,
    }
}
