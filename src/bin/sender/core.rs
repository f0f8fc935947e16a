//! The event loop around the policy: it gathers inputs, has the policy decide, writes the journal and carries
//! out the actions. It makes no decisions itself.
mod reports;
mod startup;

use crate::client::{self, CallMember, EndpointClient};
use crate::config::Config;
use crate::directory::Directory;
use crate::ended_messages::EndedMessages;
use crate::input::{HandedOver, Input, MaintenanceReply, Reply, ReplySender};
use crate::journal::Journal;
use crate::learned::{EndpointNumbers, Snapshot, SnapshotFile};
use crate::list_intake::release;
use crate::maintenance::Maintenance;
use crate::notices::Notice;
use crate::policy_clock::{PolicyClock, CLOCK_START};
use crate::process_state::{
    AttemptInFlight, CancellationToken, HandoverState, NumberedCatalogue, RemainingWork,
};
use catalogue::intake;
use reports::Reports;
use sender::api::*;
use sender::on_demand::OnDemandList;
use sender::policy::Sender;
use sender::records::{unix_time_ms, AcceptedMessage, Record, StartedAttempt, Undelivered};
use sender::settings::ProgramSettings;
pub use startup::Inherited;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use store::disk::Disk;
use store::file_system::FileSystem;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, Instant};

/// Attempts that another process has begun, by number of the message and of the attempt, each with its
/// message's deadline.
pub type HandedOverAttempts = HashMap<(u64, u32), (AttemptInFlight, Instant)>;

/// Why the core has stopped.
pub enum Stop {
    /// The core was shut down, or no task is left that sends inputs.
    Finished,
    HandedOver(RemainingWork),
}

/// A message that the policy has not ended.
struct HeldMessage {
    message: Rc<AcceptedMessage>,
    /// On the policy's clock.
    deadline: Ns,
    attempts: u32,
}

/// A message that a client handed in during the current round.
struct Submitted {
    accepted: Rc<AcceptedMessage>,
    /// More than one if the message was handed in several times in this round.
    replies: Vec<ReplySender>,
}

impl Submitted {
    /// Replies to the clients. Returns false if none of them waits any more.
    fn reply(self, reply: Reply) -> bool {
        self.replies.into_iter().map(|sender| sender.send(reply)).filter(|sent| *sent).count() > 0
    }
}

/// What a round gathers before the policy decides.
struct Round {
    started_at: Instant,
    events: Vec<Event>,
    submitted: BTreeMap<u64, Submitted>,
    /// Bytes of the journal that are reserved for the messages of this round.
    reserved: u64,
}

/// The time at which a round began, on the clocks that its records and calls use.
struct RoundTime {
    started_at: Instant,
    policy_time: Ns,
    unix_ms: i64,
}

/// The event loop of a sender.
pub struct Core<F: FileSystem = Disk> {
    policy: Sender,
    settings: Settings,
    program_settings: ProgramSettings,
    journal: Journal<F>,
    maintenance: Maintenance,
    snapshots: Option<SnapshotFile>,
    seed: u64,
    client: Rc<EndpointClient>,
    inbox: mpsc::Receiver<Input>,
    /// Inputs from the control address, which are read before those in `inbox`.
    control_inbox: mpsc::Receiver<Input>,
    notices: mpsc::UnboundedSender<Notice>,
    clock: PolicyClock,
    /// The settings as JSON. The next process uses the handed-over state only if its own are equal.
    settings_json: String,
    /// The list in force.
    directory: Rc<Directory>,
    on_demand: OnDemandList,
    /// Whether the list in force lacks endpoints of the list on which the next changes build.
    list_incomplete: bool,
    /// Numbers by name of the endpoints for which the policy was told of operators' changes.
    maintained: HashMap<String, EndpointId>,
    held: BTreeMap<u64, HeldMessage>,
    /// The numbers of the held messages, by trace id.
    ids_by_trace: HashMap<String, u64>,
    ended: EndedMessages,
    /// Messages whose notice has not been acknowledged.
    noticed: HashSet<u64>,
    attempts_in_flight: HashMap<(u64, u32), AttemptInFlight>,
    /// Events that the core itself has caused, for the next round.
    next_events: Vec<Event>,
    /// When the policy is due for an [`Event::Timer`], on its clock.
    timer: Option<Ns>,
    next_id: u64,
    /// Set when shutdown begins; new messages are refused while it is set. After this time the policy decides
    /// nothing.
    shut_down_at: Option<Instant>,
    /// Set while the journal can't be written: when writing last failed.
    write_failed_at: Option<Instant>,
    handover_reply: Option<oneshot::Sender<Option<HandedOver>>>,
    /// Set while the old process of an upgrade is told what this one learns.
    reports: Option<Reports>,
}

/// A round with this many inputs reads no more from `inbox`, except before a handover, so that a flood of
/// them does not delay the replies.
const MAX_ROUND_INPUTS: usize = 512;
/// Maximum number of destinations without work of which the policy is told per round after a whole list.
/// Telling it of so many takes a few tenths of a millisecond.
const MAX_DESTINATIONS_TOLD: usize = 128;
/// Maximum number of rounds before a handover, which is refused if work is left after them. While the journal
/// can't be written, each round leaves work for the next.
const MAX_SETTLE_ROUNDS: usize = 100;
/// A 200 that arrives less than this before its message's deadline, or after it, may have been written past
/// the client's deadline.
///
/// The client's deadline counts from when it sent the message, the sender's from when it read the headers. A
/// client waits this long for the reply that accepts its message. The granularity of timers alone can make a
/// late answer look timely.
const LATE_ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// How often writing is retried after a failure when there is nothing else to write.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(250);

impl<F: FileSystem> Core<F>
where
    F::File: Send + 'static,
{
    pub fn new(
        config: Config,
        journal: Journal<F>,
        maintenance: Maintenance,
        (directory, client): (Rc<Directory>, Rc<EndpointClient>),
        inbox: mpsc::Receiver<Input>,
        control_inbox: mpsc::Receiver<Input>,
        notices: mpsc::UnboundedSender<Notice>,
    ) -> Core<F> {
        Core {
            snapshots: SnapshotFile::new(&config),
            seed: config.seed,
            policy: Sender::new(config.settings.clone(), config.seed),
            settings: config.settings,
            program_settings: config.program_settings,
            next_id: journal.pending().keys().next_back().map_or(0, |id| id + 1),
            journal,
            maintenance,
            client,
            inbox,
            control_inbox,
            notices,
            clock: PolicyClock::new(),
            settings_json: config.settings_json,
            directory,
            on_demand: OnDemandList::default(),
            list_incomplete: false,
            maintained: HashMap::new(),
            held: BTreeMap::new(),
            ids_by_trace: HashMap::new(),
            ended: EndedMessages::default(),
            noticed: HashSet::new(),
            attempts_in_flight: HashMap::new(),
            next_events: Vec::new(),
            timer: None,
            shut_down_at: None,
            write_failed_at: None,
            handover_reply: None,
            reports: None,
        }
    }

    fn write_snapshot_if_due(&mut self) {
        let clock = (self.clock.now(), unix_time_ns());
        if let Some(snapshots) = self.snapshots.as_mut().filter(|s| s.due() <= Instant::now()) {
            let catalogue = self.directory.catalogue();
            let named = |id| Some((id, catalogue.get(id)?.name.to_string()));
            let endpoints = self.policy.known_endpoints().filter_map(named).collect();
            let numbers = &EndpointNumbers { endpoints, next_id: catalogue.next_id() };
            self.policy.without_work(|policy| snapshots.write(&Snapshot { policy, clock, numbers }));
        }
    }

    /// Runs rounds until the core is shut down or has handed over.
    pub async fn run(mut self) -> Stop {
        let mut inputs = Vec::new();
        loop {
            if self.is_finished() {
                self.journal.close().await;
                return Stop::Finished;
            }
            if let Some(reply) = self.handover_reply.take() {
                if self.shut_down_at.is_some() || !self.settle().await {
                    let _ = reply.send(None);
                } else {
                    self.journal.close().await;
                    return self.hand_over(reply);
                }
            }
            let wake = self.timer.map(|at| self.clock.instant(at));
            let has_more = !self.next_events.is_empty() || self.on_demand.has_pending();
            let wake = if has_more { Some(Instant::now()) } else { wake };
            let retry = self.write_failed_at.map(|at| at + WRITE_RETRY_INTERVAL);
            let snapshot = self.snapshots.as_ref().map(SnapshotFile::due);
            let wake = [wake, self.shut_down_at, self.journal.next_sync(), retry, snapshot]
                .into_iter()
                .flatten()
                .filter(|&w| self.heeds_timer(w))
                .min();
            tokio::select! {
                biased;
                Some(input) = self.control_inbox.recv() => inputs.push(input),
                count = self.inbox.recv_many(&mut inputs, MAX_ROUND_INPUTS) => {
                    if count == 0 { return Stop::Finished }
                }
                () = async { match wake { Some(at) => sleep_until(at).await, None => std::future::pending().await } } => {}
            }
            // Lets other tasks run, so that inputs from sockets that are ready join the same round.
            tokio::task::yield_now().await;
            while let Ok(input) = self.control_inbox.try_recv() {
                inputs.push(input);
            }
            while inputs.len() < MAX_ROUND_INPUTS {
                let Ok(input) = self.inbox.try_recv() else { break };
                inputs.push(input);
            }
            let mut events = std::mem::take(&mut self.next_events);
            let now = self.clock.now();
            if self.timer.is_some_and(|at| at <= now) {
                self.timer = None;
                events.push(Event::Timer);
            }
            self.run_round(std::mem::take(&mut inputs), events).await;
            self.maintain_journal().await;
            self.write_snapshot_if_due();
        }
    }

    /// Syncs periodically, and after a failure tests whether writing works again.
    async fn maintain_journal(&mut self) {
        let now = Instant::now();
        if self.write_failed_at.is_some_and(|at| now >= at + WRITE_RETRY_INTERVAL) {
            let probed = self.journal.probe_write();
            if probed.is_ok() && self.journal.is_durable() {
                self.sync().await;
            } else {
                self.note_write(&probed);
            }
        }
        if self.journal.next_sync().is_some_and(|at| now >= at) {
            self.sync().await;
        }
    }

    /// Runs rounds until no input and no event is left. Returns false if some are left after
    /// `MAX_SETTLE_ROUNDS`.
    async fn settle(&mut self) -> bool {
        for _ in 0..MAX_SETTLE_ROUNDS {
            let mut inputs = Vec::new();
            while let Ok(input) = self.inbox.try_recv() {
                inputs.push(input);
            }
            if inputs.is_empty() && self.next_events.is_empty() && !self.on_demand.has_pending() {
                return true;
            }
            let mut events = std::mem::take(&mut self.next_events);
            self.on_demand.tell_pending(&self.policy, &*self.directory, usize::MAX, &mut events);
            self.run_round(inputs, events).await;
        }
        false
    }

    /// Releases the journal and hands the state to the next process, which decides from now on.
    fn hand_over(self, reply: oneshot::Sender<Option<HandedOver>>) -> Stop {
        let clock = (self.clock.now(), unix_time_ns());
        let catalogue =
            NumberedCatalogue::from_catalogue(&self.directory.catalogue(), self.policy.known_endpoints());
        // The next process has a list of its own, and both processes share the memory.
        release(self.directory.clear());
        let state = HandoverState {
            settings_json: self.settings_json,
            policy: self.policy,
            clock,
            catalogue,
            held: self.held.iter().map(|(&id, held)| (id, (held.deadline, held.attempts))).collect(),
            attempts_in_flight: self
                .attempts_in_flight
                .iter()
                .map(|(&(id, number), attempt)| (id, number, attempt.endpoint))
                .collect(),
            next_id: self.next_id,
            idle_bounds: self.client.stop_new_calls(),
            ended: self.ended.into_handover(),
            accepts_reports: true,
        };
        drop(self.journal);
        let _ = reply.send(Some(HandedOver { state, clock: self.clock }));
        Stop::HandedOver(RemainingWork {
            inbox: self.inbox,
            control_inbox: self.control_inbox,
            attempts_in_flight: self.attempts_in_flight,
        })
    }

    /// Returns whether to wake at this time. Once the shutdown time has passed, timers up to it are ignored.
    fn heeds_timer(&self, wake: Instant) -> bool {
        self.shut_down_at.is_none_or(|end| Instant::now() < end || wake > end)
    }

    fn is_past_shutdown(&self) -> bool {
        self.shut_down_at.is_some_and(|end| Instant::now() >= end)
    }

    fn is_finished(&self) -> bool {
        let idle = self.attempts_in_flight.is_empty() && self.noticed.is_empty();
        self.shut_down_at.is_some() && idle && (self.held.is_empty() || self.is_past_shutdown())
    }

    /// Tells the policy and the client of operators' changes to listed endpoints, except those of which they
    /// were told already under the same number.
    fn apply_maintenance(&mut self, events: &mut Vec<Event>) {
        let (now, unix_ms) = (self.clock.now(), unix_time_ms());
        let catalogue = self.directory.catalogue();
        for (name, back_at) in self.maintenance.all() {
            let Some(endpoint) = catalogue.id(name) else { continue };
            if self.maintained.insert(name.clone(), endpoint) == Some(endpoint) {
                continue;
            }
            self.client.set_maintenance(endpoint, back_at.is_none());
            events.push(Event::Maint { endpoint, out: true, at: now });
            if let Some(back_at) = back_at {
                let ago = (unix_ms - back_at).max(0).saturating_mul(MS).min(CLOCK_START);
                events.push(Event::Maint { endpoint, out: false, at: now - ago });
            }
        }
    }

    /// Carries out an operator's call. Calls are idempotent: a call that changes nothing succeeds as well.
    fn set_maintenance(&mut self, name: &str, out: bool, events: &mut Vec<Event>) -> MaintenanceReply {
        let listed = self.directory.catalogue().id(name);
        if listed.is_none() && !self.maintenance.knows(name) {
            return MaintenanceReply::UnknownEndpoint;
        }
        match self.maintenance.set(name, out) {
            Ok(false) => MaintenanceReply::Done,
            Ok(true) => {
                tracing::info!(endpoint = name, out, "told by operators");
                // An endpoint that has left the list may return with the number that it had.
                if let Some(endpoint) = listed.or_else(|| self.maintained.get(name).copied()) {
                    self.maintained.insert(name.to_string(), endpoint);
                    self.client.set_maintenance(endpoint, out);
                    events.push(Event::Maint { endpoint, out, at: self.clock.now() });
                }
                MaintenanceReply::Done
            }
            Err(error) => {
                tracing::error!(%error, endpoint = name, out, "cannot store an operator's change");
                MaintenanceReply::NotStored
            }
        }
    }

    /// Puts a new list in force, and tells the policy what changed for the destinations that it knows.
    fn apply_list(&mut self, list: intake::LoadedList, events: &mut Vec<Event>) {
        let (generation, reset, changed) = (list.generation, list.reset, list.entries);
        tracing::info!(generation, reset, changed, "a list of endpoints is in force");
        let before = self.directory.replace(list.catalogue);
        let whole = list.reset | std::mem::take(&mut self.list_incomplete);
        self.report_list(&before, &list.changed, whole);
        if whole {
            release(before);
        }
        self.client.close_outdated_connections();
        self.apply_maintenance(events);
        if whole {
            self.on_demand.directory_replaced(&self.policy, &*self.directory, events);
        } else {
            self.on_demand.endpoints_changed(&self.policy, &*self.directory, &list.changed, events);
        }
    }

    /// Runs one round: takes the inputs, has the policy decide, writes the journal once, then carries out the
    /// actions.
    async fn run_round(&mut self, inputs: Vec<Input>, events: Vec<Event>) {
        let started_at = Instant::now();
        let now = self.clock.time(started_at);
        let time = RoundTime { started_at, policy_time: now, unix_ms: unix_time_ms() };
        let (mut records, mut undelivered) = (Vec::new(), Vec::new());
        let mut round = Round { started_at, events, submitted: BTreeMap::new(), reserved: 0 };
        self.on_demand.tell_pending(&self.policy, &*self.directory, MAX_DESTINATIONS_TOLD, &mut round.events);
        for input in inputs {
            match input {
                Input::Submit { message, deadline, reply } => {
                    self.submit(message, deadline, reply, &mut round)
                }
                Input::Catalogue(list) => self.apply_list(list, &mut round.events),
                Input::AttemptsEnded(ends) => {
                    for end in ends {
                        let ms = end.took / MS;
                        tracing::debug!(end.id, end.attempt, end.endpoint, ?end.outcome, ms, "attempt ended");
                        let late = self.end_attempt(&end, started_at, &mut records);
                        undelivered.extend(late.map(|message| (message, Undelivered::GivenUp)));
                        round.events.push(Event::AttemptEnd(end));
                    }
                }
                Input::ProbeEnded { endpoint, outcome, report } => {
                    round.events.push(Event::Probed { endpoint, outcome, report })
                }
                Input::NoticesAcknowledged(ids) => {
                    for id in ids {
                        self.noticed.remove(&id);
                        records.push(Record::Ended(id));
                    }
                }
                Input::ShutDown(until) => self.shut_down_at = Some(until),
                Input::HandOver(reply) => self.handover_reply = Some(reply),
                Input::HealthCheck(reply) => {
                    let ready = self.write_failed_at.is_none()
                        && self.shut_down_at.is_none()
                        && self.client.has_callable_endpoint();
                    let _ = reply.send(ready);
                }
                Input::Maintenance { name, out, reply } => {
                    let _ = reply.send(self.set_maintenance(&name, out, &mut round.events));
                }
            }
        }
        let Round { events, mut submitted, .. } = round;
        let mut actions = Vec::new();
        if !self.is_past_shutdown() {
            self.policy.handle(now, &events, &mut actions);
        }
        self.on_demand.events_handled();
        let mut calls: Vec<(EndpointId, Vec<CallMember>)> = Vec::new();
        let mut started = Vec::new();
        let mut failed = Vec::new();
        let mut refused = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, limit, by } => {
                    let Some((record, member)) = self.prepare_attempt(id, endpoint, (limit, by), &time)
                    else {
                        continue;
                    };
                    started.push(record);
                    // Grouped as the policy counts calls: the attempts of one round at one endpoint share
                    // calls of up to `batch` messages.
                    let batch = self.directory.max_batch(endpoint);
                    match calls.iter_mut().rev().find(|(e, _)| *e == endpoint) {
                        Some((_, members)) if members.len() < batch => members.push(member),
                        _ => calls.push((endpoint, vec![member])),
                    }
                }
                Action::Refuse { id, backoff } => {
                    tracing::debug!(id, ms = backoff / MS, "handed back");
                    let backoff = (backoff > 0).then_some((backoff / MS) as u64);
                    match submitted.remove(&id) {
                        Some(s) => refused.push((s, Reply::Refused(backoff.map(Duration::from_millis)))),
                        None => failed.push((id, Undelivered::HandedBack(backoff))),
                    }
                }
                Action::Fail { id } => {
                    tracing::debug!(id, "given up");
                    match submitted.remove(&id) {
                        Some(s) => refused.push((s, Reply::Failed)),
                        None => failed.push((id, Undelivered::GivenUp)),
                    }
                }
                Action::Cancel { id, attempt } => {
                    if let Some(in_flight) = self.attempts_in_flight.get(&(id, attempt)) {
                        in_flight.cancel.cancel();
                    }
                }
                Action::Probe { endpoint } => {
                    tokio::task::spawn_local(self.client.clone().probe(endpoint));
                }
                Action::Close { endpoint } => self.client.close_idle(endpoint),
                Action::Timer { at } => self.timer = Some(self.timer.map_or(at, |t| t.min(at))),
            }
        }
        for (message, reply) in refused {
            self.forget(message.accepted.id);
            message.reply(reply);
        }
        for &(id, outcome) in &failed {
            if let Some(held) = self.end(id, Reply::to_undelivered(outcome)) {
                records.push(Record::NoticeStarted(id, outcome));
                undelivered.push((held.message, outcome));
            }
        }
        // Before the journal says that an attempt or a message has ended, the old process of an upgrade is
        // told.
        self.report_round(now);
        let mut all: Vec<Record> = submitted.values().map(|s| Record::Accepted(s.accepted.clone())).collect();
        all.append(&mut records);
        let ended = all.len() - submitted.len();
        all.append(&mut started);
        let written = self.write_records(&all).await;
        match written {
            Written::Done => {}
            // Ends have happened already, so their records are written later if they can't be written now.
            Written::Failed => self.write_eventually(all.drain(submitted.len()..).take(ended).collect()),
            // The records may or may not be on disk. Further records revoke the messages that are not
            // accepted now and the attempts that are not made now.
            Written::NotSynced => {
                let ends = submitted.keys().map(|id| Record::Ended(*id));
                let never_ran = all[submitted.len() + ended..].iter().filter_map(|r| match r {
                    Record::AttemptStarted(id, attempt) => Some(Record::AttemptNeverRan(*id, attempt.number)),
                    _ => None,
                });
                self.write_eventually(ends.chain(never_ran).collect());
            }
        }
        undelivered.iter().for_each(|(message, outcome)| self.notify(message, *outcome));
        if written != Written::Done {
            // Without its record no message is accepted and no attempt is made.
            for (id, message) in submitted {
                self.forget(id);
                self.next_events.push(Event::Withdrawn { id });
                message.reply(Reply::Refused(Some(Duration::from_secs(1))));
            }
            for (endpoint, members) in calls {
                for m in members {
                    let end = client::member_end(&m, endpoint, Outcome::NotSent, Instant::now());
                    self.next_events.push(Event::AttemptEnd(end));
                }
            }
            return;
        }
        // The replies precede the calls: a message whose client has left without one is not sent.
        for (id, message) in submitted {
            if !message.reply(Reply::Accepted) {
                self.withdraw(id);
            }
        }
        for (endpoint, members) in calls {
            self.start_call(endpoint, members);
        }
    }

    /// Prepares an attempt that the policy has decided on: the record of its start, and the message's part in
    /// the call. `limit` and `by` are those of [`Action::Send`]. Returns None if the attempt can't be made.
    fn prepare_attempt(
        &mut self,
        id: u64,
        endpoint: EndpointId,
        (limit, by): (Ns, Ns),
        time: &RoundTime,
    ) -> Option<(Record, CallMember)> {
        let held = self.held.get_mut(&id)?;
        let attempt = held.attempts;
        held.attempts += 1;
        let name = self.directory.catalogue().get(endpoint).map(|e| e.name.to_string());
        let Some(name) = name else {
            // The endpoint has left the list in this round.
            let end = client::attempt_end(id, attempt, endpoint, Outcome::NotSent, time.started_at);
            self.next_events.push(Event::AttemptEnd(end));
            return None;
        };
        let (message, deadline) = (held.message.clone(), held.deadline);
        tracing::debug!(id, attempt, endpoint, name, dest = message.dest, limit = limit / MS, "send");
        let record =
            StartedAttempt { number: attempt, started_at_ms: time.unix_ms, endpoint: name, never_ran: false };
        let attempt_deadline = if limit > 0 { (time.policy_time + limit).min(deadline) } else { deadline };
        let member = CallMember {
            attempt,
            message,
            deadline: self.clock.instant(deadline),
            attempt_deadline: self.clock.instant(attempt_deadline),
            send_before: self.clock.instant(by),
        };
        Some((Record::AttemptStarted(id, record), member))
    }

    /// Ends a message whose client has left before the reply. The client may hand it in again, here or
    /// elsewhere, so no call of it may be made.
    fn withdraw(&mut self, id: u64) {
        if let Some(held) = self.forget(id) {
            tracing::debug!(id, trace = held.message.trace_id, "withdrawn, as its client has left");
        }
        self.next_events.push(Event::Withdrawn { id });
        self.write_eventually(vec![Record::Ended(id)]);
    }

    /// Starts a call for those of its messages that are still held.
    fn start_call(&mut self, endpoint: EndpointId, members: Vec<CallMember>) {
        let (members, withdrawn): (Vec<_>, Vec<_>) =
            members.into_iter().partition(|m| self.held.contains_key(&m.message.id));
        let now = Instant::now();
        let not_sent = withdrawn.iter().map(|m| client::member_end(m, endpoint, Outcome::NotSent, now));
        self.next_events.extend(not_sent.map(Event::AttemptEnd));
        if members.is_empty() {
            return;
        }
        let cancel = Rc::new(CancellationToken::default());
        for m in &members {
            self.attempts_in_flight
                .insert((m.message.id, m.attempt), AttemptInFlight { endpoint, cancel: cancel.clone() });
        }
        tokio::task::spawn_local(self.client.clone().call(endpoint, members, cancel));
    }

    /// Takes a message that a client hands in: refuses it at once, or holds it for the policy to decide on.
    fn submit(
        &mut self,
        mut message: AcceptedMessage,
        deadline: Instant,
        reply: ReplySender,
        round: &mut Round,
    ) {
        if let Some(id) = self.ids_by_trace.get(&message.trace_id) {
            // The message is held already: it was accepted before, or is handed in twice in this round.
            tracing::debug!(id, trace = message.trace_id, "handed in again while it is held");
            match round.submitted.get_mut(id) {
                Some(first) => first.replies.push(reply),
                None => _ = reply.send(Reply::Accepted),
            }
            return;
        }
        if let Some(earlier) = self.ended.reply_to(&message.trace_id, round.started_at) {
            tracing::debug!(trace = message.trace_id, reply = ?earlier, "handed in again after its end");
            let _ = reply.send(earlier);
            return;
        }
        message.id = self.next_id;
        let space = self.journal.space_for(&message, round.reserved);
        let space = space.filter(|_| self.held.len() < self.settings.max_open && self.shut_down_at.is_none());
        let (Some(space), Some(class)) = (space, position(&self.program_settings.classes, &message.class))
        else {
            let after = Duration::from_nanos(self.policy.backoff(message.dest).max(0) as u64);
            tracing::debug!(trace = message.trace_id, dest = message.dest, ?after, "no room");
            let _ = reply.send(Reply::Refused(Some(after)));
            return;
        };
        round.reserved += space;
        self.next_id += 1;
        let accepted = Rc::new(message);
        let left = deadline.saturating_duration_since(round.started_at).as_nanos() as Ns;
        let message = self.hold(accepted.clone(), class, left, self.clock.time(deadline), 0);
        self.on_demand.before_message(&self.policy, &*self.directory, message.dest, &mut round.events);
        round.events.push(Event::Message(message));
        round.submitted.insert(accepted.id, Submitted { accepted, replies: vec![reply] });
    }

    /// Adds a message to those held, and returns it in the form that the policy takes.
    fn hold(
        &mut self,
        message: Rc<AcceptedMessage>,
        class: usize,
        left: Ns,
        deadline: Ns,
        attempts: u32,
    ) -> Message {
        let (id, dest) = (message.id, message.dest);
        let tenant = position(&self.program_settings.tenants, &message.tenant).unwrap_or(0);
        // Links the trace id, which is the same in every sender, to the number that other log lines of this
        // sender use.
        tracing::debug!(
            id,
            trace = message.trace_id,
            class = message.class,
            dest,
            ms = left / MS,
            attempts,
            "held"
        );
        self.ids_by_trace.insert(message.trace_id.clone(), id);
        self.held.insert(id, HeldMessage { message, deadline, attempts });
        Message { id, class, dest, time_left: left, cost: 0, key: None, tenant }
    }

    /// Queues the notice of how a message ended.
    fn notify(&mut self, message: &AcceptedMessage, ending: Undelivered) {
        self.noticed.insert(message.id);
        let _ = self.notices.send(Notice {
            id: message.id,
            trace_id: message.trace_id.clone(),
            undelivered: ending,
        });
    }

    /// Records the end of an attempt. Returns the message if it was delivered so late that it needs a notice
    /// as well.
    fn end_attempt(
        &mut self,
        end: &AttemptEnd,
        at: Instant,
        records: &mut Vec<Record>,
    ) -> Option<Rc<AcceptedMessage>> {
        self.attempts_in_flight.remove(&(end.id, end.attempt));
        let left = self.held.get(&end.id)?.deadline - self.clock.time(at);
        if end.done {
            let held = self.end(end.id, Reply::Accepted)?;
            if end.outcome == Outcome::Served && left < LATE_ANSWER_MARGIN.as_nanos() as Ns {
                // If the answer was late the message still needs its notice; if it was in time a notice does
                // no harm.
                records.push(Record::NoticeStarted(end.id, Undelivered::GivenUp));
                return Some(held.message);
            }
            records.push(Record::Ended(end.id));
        } else if end.outcome.never_ran() {
            records.push(Record::AttemptNeverRan(end.id, end.attempt));
        }
        None
    }

    /// Removes a message that has ended from those held. `reply` is given to a client that hands it in again.
    fn end(&mut self, id: u64, reply: Reply) -> Option<HeldMessage> {
        let held = self.forget(id)?;
        self.ended.record(&held.message.trace_id, reply, self.clock.instant(held.deadline));
        self.note_ended(&held.message.trace_id);
        Some(held)
    }

    /// Removes a message from those held, as if it had never been handed in.
    fn forget(&mut self, id: u64) -> Option<HeldMessage> {
        let held = self.held.remove(&id)?;
        self.ids_by_trace.remove(&held.message.trace_id);
        Some(held)
    }

    /// Writes records, and syncs them if replies, calls or notices that depend on them have to wait for that.
    async fn write_records(&mut self, records: &[Record]) -> Written {
        if records.is_empty() {
            return Written::Done;
        }
        let result = self.journal.write(records);
        self.note_write(&result);
        if result.is_err() {
            return Written::Failed;
        }
        let has_effects = |r: &Record| {
            matches!(r, Record::Accepted(_) | Record::AttemptStarted(..) | Record::NoticeStarted(..))
        };
        let needs_sync = self.journal.syncs_before_effects() && records.iter().any(has_effects);
        if needs_sync && !self.sync().await {
            return Written::NotSynced;
        }
        Written::Done
    }

    /// Syncs the journal. Returns whether that succeeded.
    async fn sync(&mut self) -> bool {
        let result = self.journal.sync().await;
        match &result {
            Ok(()) => self.note_recovery(),
            Err(_) => self.note_write(&result),
        }
        result.is_ok()
    }

    /// Writes records of what has already happened, now or as soon as writing succeeds.
    fn write_eventually(&mut self, records: Vec<Record>) {
        if !records.is_empty() {
            let result = self.journal.write_eventually(records);
            self.note_write(&result);
        }
    }

    /// Notes the result of a write. If the journal is ever synced, only a sync proves that writing works
    /// again.
    fn note_write(&mut self, result: &std::io::Result<()>) {
        match result {
            Err(error) => {
                if self.write_failed_at.replace(Instant::now()).is_none() {
                    tracing::error!(%error, "cannot write the journal; nothing new is taken on");
                }
            }
            Ok(()) if self.journal.is_durable() => {}
            Ok(()) => self.note_recovery(),
        }
    }

    fn note_recovery(&mut self) {
        if self.write_failed_at.take().is_some() {
            tracing::info!("the journal can be written again");
        }
    }
}

/// The result of writing records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    /// The records are as durable as the configuration asks for.
    Done,
    /// None of the records was written.
    Failed,
    /// The records were written but not synced: a power failure may lose them.
    NotSynced,
}

/// Returns the current Unix time in nanoseconds.
fn unix_time_ns() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64)
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

#[cfg(test)]
mod tests;
