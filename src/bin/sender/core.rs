//! The one owner of the module: events in, one round of decisions, actions out. It decides nothing itself.
use crate::client::{self, CallMember, EndpointClient};
use crate::config::Config;
use crate::directory::Directory;
use crate::first_catalogue::FirstCatalogue;
use crate::input::{Change, Input, Reply};
use crate::journal::Journal;
use crate::learned::{Learned, Numbers, Snapshot};
use crate::list_intake::release;
use crate::maint::Maint;
use crate::notices::Notice;
use crate::process_state::{Cancel, Numbered, Out, Rest, State, Unended};
use catalogue::{intake, Catalogue};
use sender::api::*;
use sender::on_demand::OnDemandList;
use sender::policy::Sender;
use sender::records::{wall_ms, Begun, Ending, Record, Taken};
use sender::settings::ProgramSettings;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use store::disk::Disk;
use store::files::Files;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, Instant};

/// What a core starts with.
pub struct Start {
    /// The list on which the watch goes on, and what it asks for changes since.
    pub watched: Catalogue,
    pub generation: Option<u64>,
    /// Whether the module has to be told of the list in force.
    pub new_to_module: bool,
    /// What was handed over of messages; None where no process has.
    pub unended: Option<Unended>,
}

/// How the core's work ended.
pub enum Stop {
    /// By itself after `Wind`, or as nobody is left to tell it anything.
    Finished,
    HandedOver(Rest),
}

/// A message that the module has not ended.
struct Held {
    taken: Rc<Taken>,
    end: Ns,
    attempts: u32,
}

struct Offered {
    taken: Rc<Taken>,
    /// More than one where the same message came twice in a round.
    replies: Vec<oneshot::Sender<Reply>>,
}

impl Offered {
    /// False if nobody is left to hear it.
    fn answer(self, reply: Reply) -> bool {
        self.replies.into_iter().filter_map(|r| r.send(reply).ok()).count() > 0
    }
}

/// What a round gathers before the module decides.
struct Round {
    at: Instant,
    events: Vec<Event>,
    offered: BTreeMap<u64, Offered>,
    /// Bytes of the journal that the messages of this round may come to take.
    claimed: u64,
}

pub struct Core<F: Files = Disk> {
    sender: Sender,
    settings: Settings,
    around: ProgramSettings,
    journal: Journal<F>,
    maint: Maint,
    learned: Option<Learned>,
    seed: u64,
    client: Rc<EndpointClient>,
    inbox: mpsc::Receiver<Input>,
    /// What has come by the second address; it goes before the inbox, however much waits there.
    asks: mpsc::Receiver<Input>,
    notices: mpsc::UnboundedSender<Notice>,
    start: Instant,
    /// The module's time at `start`.
    epoch: Ns,
    /// The settings as they were read, to compare with the next process's.
    told: String,
    /// The list in force.
    directory: Rc<Directory>,
    on_demand: OnDemandList,
    /// The list in force lacks what the next one builds on.
    partial: bool,
    /// Endpoints of which the module was told what operators say, by name.
    operated: HashMap<String, EndpointId>,
    held: BTreeMap<u64, Held>,
    traces: HashMap<String, u64>,
    noticing: HashSet<u64>,
    calls: HashMap<(u64, u32), Out>,
    /// Events of the core's own making, for the next round.
    next: Vec<Event>,
    timer: Option<Ns>,
    next_id: u64,
    wind: Option<Instant>,
    /// Since when nothing could be written, or when that was last tried.
    write_failed: Option<Instant>,
    handing_over: Option<oneshot::Sender<Option<State>>>,
}

/// Where the module's clock starts: attempts of earlier processes lie before it.
const CLOCK_START: Ns = 1_000_000 * SECOND;
/// Events of one round at most, so that a flood of them does not hold up the answers.
const ROUND: usize = 512;
/// Destinations without work that the module is told of in one round, after a whole list: a few tenths of a millisecond.
const CATCH_UP: usize = 128;
/// Rounds at most before a handover: one leaves something to do where the journal can't be written.
const SETTLE: usize = 100;
/// A 200 that is heard so shortly before the end of its message's time, or after it, may have been written when that
/// time was up: it counts from when the client sent the message, and a client waits so long to be told that it is
/// taken on. The timers' grain alone lets one pass for in time that is not.
const CLOSE: Duration = Duration::from_millis(400);
/// How often writing is tried again where it has failed and nothing comes that would have to be written.
const PROBE: Duration = Duration::from_millis(250);
const FIRST_LIST: Duration = Duration::from_millis(300);

impl<F: Files> Core<F>
where
    F::File: Send + 'static,
{
    pub fn new(
        config: Config,
        journal: Journal<F>,
        maint: Maint,
        (directory, client): (Rc<Directory>, Rc<EndpointClient>),
        inbox: mpsc::Receiver<Input>,
        asks: mpsc::Receiver<Input>,
        notices: mpsc::UnboundedSender<Notice>,
    ) -> Core<F> {
        Core {
            learned: Learned::new(&config),
            seed: config.seed,
            sender: Sender::new(config.settings.clone(), config.seed),
            settings: config.settings,
            around: config.around,
            next_id: journal.live().keys().next_back().map_or(0, |id| id + 1),
            journal,
            maint,
            client,
            inbox,
            asks,
            notices,
            start: Instant::now(),
            epoch: CLOCK_START,
            told: config.told,
            directory,
            on_demand: OnDemandList::default(),
            partial: false,
            operated: HashMap::new(),
            held: BTreeMap::new(),
            traces: HashMap::new(),
            noticing: HashSet::new(),
            calls: HashMap::new(),
            next: Vec::new(),
            timer: None,
            wind: None,
            write_failed: None,
            handing_over: None,
        }
    }

    fn clock(&self, at: Instant) -> Ns {
        self.epoch + at.saturating_duration_since(self.start).as_nanos() as Ns
    }

    fn instant(&self, at: Ns) -> Instant {
        self.start + Duration::from_nanos((at - self.epoch).max(0) as u64)
    }

    /// Takes up what the process before has handed over, or else what was learned, with the list that this process
    /// was started with. What the one before held stands in the journal, by number.
    pub fn start(&mut self, known: Catalogue, state: Option<State>) -> Start {
        let handed = state.and_then(|state| self.take_over(state));
        let (first, unended) = match handed {
            Some((numbered, unended)) => (FirstCatalogue::after_handover(&numbered, known), Some(unended)),
            None => (self.take_up_learned(known), None),
        };
        self.partial = first.is_partial();
        self.directory.replace(first.in_force);
        let FirstCatalogue { watched, generation, new_to_module, .. } = first;
        Start { watched, generation, new_to_module, unended }
    }

    /// Takes up what another process has decided so far; None where that was under other settings.
    fn take_over(&mut self, state: State) -> Option<(Numbered, Unended)> {
        if state.settings != self.told {
            tracing::warn!("the settings are new: going on from the journal alone");
            return None;
        }
        self.sender = state.module.after_handover(self.settings.clone());
        self.go_on_from(state.clock);
        self.next_id = self.next_id.max(state.next_id);
        let calls = state.calls.into_iter().map(|(id, n, endpoint)| ((id, n), endpoint));
        self.calls = calls.map(|(call, endpoint)| (call, Out { endpoint, cancel: Rc::default() })).collect();
        self.client.restore_idle_bounds(state.keeps);
        Some((state.numbered, state.held))
    }

    /// Lets the module's clock go on from a Unix time in nanoseconds.
    fn go_on_from(&mut self, (clock, wall): (Ns, u64)) {
        (self.start, self.epoch) = (Instant::now(), clock + wall_ns().saturating_sub(wall) as Ns);
    }

    /// Goes on with what a process that was killed had learned, if that was kept.
    fn take_up_learned(&mut self, known: Catalogue) -> FirstCatalogue {
        let Some(kept) = self.learned.as_ref().and_then(|l| l.read(wall_ns())) else {
            return FirstCatalogue::from_known_list(known);
        };
        self.sender = kept.module.after_restart(self.settings.clone(), self.seed);
        self.go_on_from(kept.clock);
        FirstCatalogue::after_restart(&kept.numbers.endpoints, kept.numbers.next_id, known)
    }

    fn keep_learned(&mut self) {
        let clock = (self.clock(Instant::now()), wall_ns());
        if let Some(learned) = self.learned.as_mut().filter(|l| l.due() <= Instant::now()) {
            let catalogue = self.directory.catalogue();
            let named = |id| Some((id, catalogue.get(id)?.name.to_string()));
            let endpoints = self.sender.known_endpoints().filter_map(named).collect();
            let numbers = &Numbers { endpoints, next_id: catalogue.next_id() };
            self.sender.without_work(|module| learned.write(&Snapshot { module, clock, numbers }));
        }
    }

    /// The calls that are out.
    pub fn calls(&self) -> HashMap<(u64, u32), Out> {
        self.calls.clone()
    }

    /// Takes up what the journal holds beyond what was handed over. The list of the configuration may be old, so a
    /// fresh one is waited for, but not for long.
    pub async fn resume(&mut self, handed: Option<Unended>, new_to_module: bool) {
        let mut events = Vec::new();
        self.heed_operators(&mut events);
        if new_to_module {
            self.on_demand.directory_replaced(&self.sender, &*self.directory, &mut events);
        }
        if handed.is_none() {
            let first = timeout(FIRST_LIST, self.inbox.recv()).await;
            if let Ok(Some(Input::Catalogue(taken))) = first {
                self.follow_list(taken, &mut events);
            }
        }
        let handed = handed.unwrap_or_default();
        let (now, wall) = (self.clock(Instant::now()), wall_ms());
        let (mut lost, mut resumed, mut handed_over) = (Vec::new(), Vec::new(), Vec::new());
        for (&id, live) in self.journal.live() {
            let taken = live.taken.clone();
            if let Some(ending) = live.ending {
                lost.push((id, taken, ending, false));
                continue;
            }
            let past: Vec<PastAttempt> = live
                .attempts
                .iter()
                .map(|a| PastAttempt {
                    endpoint: self.directory.catalogue().id(&a.endpoint),
                    sent: now - (wall - a.at).max(0).saturating_mul(MS).min(CLOCK_START),
                    may_have_run: !a.never_ran,
                })
                .collect();
            if let Some((end, attempts)) = handed.get(&id) {
                handed_over.push((taken, *end, *attempts));
                continue;
            }
            // Numbers may have a gap where one could not be written down; the module counts on from these.
            let attempts = past.len() as u32;
            let Some(class) = position(&self.around.classes, &taken.class) else {
                // The settings no longer have its class, so the module can't be asked.
                let ran = past.iter().any(|p| p.may_have_run);
                let ending = if ran { Ending::GivenUp } else { Ending::HandedBack(None) };
                lost.push((id, taken, ending, true));
                continue;
            };
            let left = (taken.end - wall).saturating_mul(MS);
            resumed.push((taken, class, left, attempts, past));
        }
        // The module knows these.
        for (taken, end, attempts) in handed_over {
            self.hold(taken, 0, 0, end, attempts);
        }
        for (taken, class, left, attempts, past) in resumed {
            let message = self.hold(taken, class, left, now + left, attempts);
            self.on_demand.before_message(&self.sender, &*self.directory, message.dest, &mut events);
            events.push(Event::Resumed { message, past });
        }
        if !self.journal.live().is_empty() {
            tracing::info!(messages = self.held.len(), notices = lost.len(), "resumed from the journal");
        }
        let decided = lost.iter().filter(|(.., decide)| *decide);
        let records: Vec<Record> = decided.map(|(id, _, ending, _)| Record::Decided(*id, *ending)).collect();
        if self.keep(&records).await == Kept::Unwritten {
            self.owe(records);
        }
        lost.iter().for_each(|(_, taken, ending, _)| self.notify(taken, *ending));
        self.round(Vec::new(), events).await;
    }

    pub async fn run(mut self) -> Stop {
        let mut inputs = Vec::new();
        loop {
            if self.finished() {
                self.journal.close().await;
                return Stop::Finished;
            }
            if let Some(reply) = self.handing_over.take() {
                if self.wind.is_some() || !self.settle().await {
                    let _ = reply.send(None);
                } else {
                    self.journal.close().await;
                    return self.hand_over(reply);
                }
            }
            let wake = self.timer.map(|at| self.instant(at));
            let has_more = !self.next.is_empty() || self.on_demand.has_pending();
            let wake = if has_more { Some(Instant::now()) } else { wake };
            let probe = self.write_failed.map(|at| at + PROBE);
            let learned = self.learned.as_ref().map(Learned::due);
            let wake = [wake, self.wind, self.journal.sync_due(), probe, learned]
                .into_iter()
                .flatten()
                .filter(|&w| self.started_before(w))
                .min();
            tokio::select! {
                biased;
                Some(ask) = self.asks.recv() => inputs.push(ask),
                count = self.inbox.recv_many(&mut inputs, ROUND) => if count == 0 { return Stop::Finished },
                () = async { match wake { Some(at) => sleep_until(at).await, None => std::future::pending().await } } => {}
            }
            // Whatever else is ready on the sockets comes into the same round.
            tokio::task::yield_now().await;
            while let Ok(ask) = self.asks.try_recv() {
                inputs.push(ask);
            }
            while inputs.len() < ROUND {
                let Ok(input) = self.inbox.try_recv() else { break };
                inputs.push(input);
            }
            let mut events = std::mem::take(&mut self.next);
            let now = self.clock(Instant::now());
            if self.timer.is_some_and(|at| at <= now) {
                self.timer = None;
                events.push(Event::Timer);
            }
            self.round(std::mem::take(&mut inputs), events).await;
            self.look_after_journal().await;
            self.keep_learned();
        }
    }

    /// Syncs by the clock, and sees whether what has failed succeeds again.
    async fn look_after_journal(&mut self) {
        let now = Instant::now();
        if self.write_failed.is_some_and(|at| now >= at + PROBE) {
            let probed = self.journal.probe();
            if probed.is_ok() && self.journal.syncs() {
                self.sync().await;
            } else {
                self.wrote(&probed);
            }
        }
        if self.journal.sync_due().is_some_and(|at| now >= at) {
            self.sync().await;
        }
    }

    /// Ends what has come and what the last rounds left to do. False if it does not come to an end.
    async fn settle(&mut self) -> bool {
        for _ in 0..SETTLE {
            let mut inputs = Vec::new();
            while let Ok(input) = self.inbox.try_recv() {
                inputs.push(input);
            }
            if inputs.is_empty() && self.next.is_empty() && !self.on_demand.has_pending() {
                return true;
            }
            let mut events = std::mem::take(&mut self.next);
            self.on_demand.tell_pending(&self.sender, &*self.directory, usize::MAX, &mut events);
            self.round(inputs, events).await;
        }
        false
    }

    /// From here on the next process decides, and the journal is its own.
    fn hand_over(self, reply: oneshot::Sender<Option<State>>) -> Stop {
        let clock = (self.clock(Instant::now()), wall_ns());
        let numbered = Numbered::of(&self.directory.catalogue(), self.sender.known_endpoints());
        // The next process has one of its own, and both share what memory there is.
        release(self.directory.clear());
        let state = State {
            settings: self.told,
            module: self.sender,
            clock,
            numbered,
            held: self.held.iter().map(|(&id, held)| (id, (held.end, held.attempts))).collect(),
            calls: self.calls.iter().map(|(&(id, attempt), out)| (id, attempt, out.endpoint)).collect(),
            next_id: self.next_id,
            keeps: self.client.stop_new_calls(),
        };
        drop(self.journal);
        let _ = reply.send(Some(state));
        Stop::HandedOver(Rest { inbox: self.inbox, asks: self.asks, calls: self.calls })
    }

    /// While winding down past its time, timers no longer matter.
    fn started_before(&self, wake: Instant) -> bool {
        self.wind.is_none_or(|end| Instant::now() < end || wake > end)
    }

    fn winding(&self) -> bool {
        self.wind.is_some_and(|end| Instant::now() >= end)
    }

    fn finished(&self) -> bool {
        let calm = self.calls.is_empty() && self.noticing.is_empty();
        self.wind.is_some() && calm && (self.held.is_empty() || self.winding())
    }

    /// Tells the module and the client what operators say of endpoints that have come to be listed since.
    fn heed_operators(&mut self, events: &mut Vec<Event>) {
        let (now, wall) = (self.clock(Instant::now()), wall_ms());
        let catalogue = self.directory.catalogue();
        for (name, back) in self.maint.all() {
            let Some(endpoint) = catalogue.id(name) else { continue };
            if self.operated.insert(name.clone(), endpoint) == Some(endpoint) {
                continue;
            }
            self.client.set_maintenance(endpoint, back.is_none());
            events.push(Event::Maint { endpoint, out: true, at: now });
            if let Some(back) = back {
                let ago = (wall - back).max(0).saturating_mul(MS).min(CLOCK_START);
                events.push(Event::Maint { endpoint, out: false, at: now - ago });
            }
        }
    }

    /// Operators' calls repeat safely: one that changes nothing is a yes as well.
    fn change(&mut self, name: &str, out: bool, events: &mut Vec<Event>) -> Change {
        let listed = self.directory.catalogue().id(name);
        if listed.is_none() && !self.maint.knows(name) {
            return Change::Unknown;
        }
        match self.maint.set(name, out) {
            Ok(false) => Change::Done,
            Ok(true) => {
                tracing::info!(endpoint = name, out, "told by operators");
                // One that has left the list may come back under the number that it had.
                if let Some(endpoint) = listed.or_else(|| self.operated.get(name).copied()) {
                    self.operated.insert(name.to_string(), endpoint);
                    self.client.set_maintenance(endpoint, out);
                    events.push(Event::Maint { endpoint, out, at: self.clock(Instant::now()) });
                }
                Change::Done
            }
            Err(error) => {
                tracing::error!(%error, endpoint = name, out, "cannot keep what operators told");
                Change::NotKept
            }
        }
    }

    /// Puts a list in force that was taken in, and tells the module what concerns its work.
    fn follow_list(&mut self, taken: intake::Taken, events: &mut Vec<Event>) {
        let before = self.directory.replace(taken.catalogue);
        let whole = taken.reset | std::mem::take(&mut self.partial);
        if whole {
            release(before);
        }
        self.client.close_outdated_connections();
        self.heed_operators(events);
        if whole {
            self.on_demand.directory_replaced(&self.sender, &*self.directory, events);
        } else {
            self.on_demand.endpoints_changed(&self.sender, &*self.directory, &taken.changed, events);
        }
    }

    /// One round: all that has come, the module's answer to it, one write, then the actions.
    async fn round(&mut self, inputs: Vec<Input>, events: Vec<Event>) {
        let at = Instant::now();
        let (now, wall) = (self.clock(at), wall_ms());
        let (mut records, mut decided) = (Vec::new(), Vec::new());
        let mut round = Round { at, events, offered: BTreeMap::new(), claimed: 0 };
        self.on_demand.tell_pending(&self.sender, &*self.directory, CATCH_UP, &mut round.events);
        for input in inputs {
            match input {
                Input::Offer { taken, end, reply } => self.offer(taken, end, reply, &mut round),
                Input::Catalogue(taken) => self.follow_list(taken, &mut round.events),
                Input::Ended(ends) => {
                    for end in ends {
                        let ms = end.took / MS;
                        tracing::debug!(end.id, end.attempt, end.endpoint, ?end.outcome, ms, "attempt ended");
                        let close = self.ended(&end, at, &mut records);
                        decided.extend(close.map(|taken| (taken, Ending::GivenUp)));
                        round.events.push(Event::AttemptEnd(end));
                    }
                }
                Input::Probed { endpoint, outcome, report } => {
                    round.events.push(Event::Probed { endpoint, outcome, report })
                }
                Input::Noticed(ids) => {
                    for id in ids {
                        self.noticing.remove(&id);
                        records.push(Record::Ended(id));
                    }
                }
                Input::Wind(until) => self.wind = Some(until),
                Input::HandOver(reply) => self.handing_over = Some(reply),
                Input::Health(reply) => {
                    let ready = self.write_failed.is_none()
                        && self.wind.is_none()
                        && self.client.has_callable_endpoint();
                    let _ = reply.send(ready);
                }
                Input::Maint { name, out, reply } => {
                    let _ = reply.send(self.change(&name, out, &mut round.events));
                }
            }
        }
        let Round { events, mut offered, .. } = round;
        let mut actions = Vec::new();
        if !self.winding() {
            self.sender.handle(now, &events, &mut actions);
        }
        self.on_demand.events_handled();
        let mut calls: Vec<(EndpointId, Vec<CallMember>)> = Vec::new();
        let mut begun = Vec::new();
        let mut endings = Vec::new();
        let mut refused = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, limit, by } => {
                    let Some(held) = self.held.get_mut(&id) else { continue };
                    let attempt = held.attempts;
                    held.attempts += 1;
                    let name = self.directory.catalogue().get(endpoint).map(|e| e.name.to_string());
                    let Some(name) = name else {
                        // It has left the list in this round.
                        let end = client::attempt_end(id, attempt, endpoint, Outcome::NotSent, at);
                        self.next.push(Event::AttemptEnd(end));
                        continue;
                    };
                    let (taken, end) = (held.taken.clone(), held.end);
                    tracing::debug!(
                        id,
                        attempt,
                        endpoint,
                        name,
                        dest = taken.dest,
                        limit = limit / MS,
                        "send"
                    );
                    let record = Begun { number: attempt, at: wall, endpoint: name, never_ran: false };
                    begun.push(Record::Begun(id, record));
                    let limit = if limit > 0 { (now + limit).min(end) } else { end };
                    let (end, limit, by) = (self.instant(end), self.instant(limit), self.instant(by));
                    let member = CallMember {
                        attempt,
                        message: taken,
                        deadline: end,
                        attempt_deadline: limit,
                        send_before: by,
                    };
                    // As the module counts: sends to one endpoint in one round share calls.
                    let batch = self.directory.max_batch(endpoint);
                    match calls.iter_mut().rev().find(|(e, _)| *e == endpoint) {
                        Some((_, members)) if members.len() < batch => members.push(member),
                        _ => calls.push((endpoint, vec![member])),
                    }
                }
                Action::Refuse { id, backoff } => {
                    tracing::debug!(id, ms = backoff / MS, "handed back");
                    let backoff = (backoff > 0).then_some((backoff / MS) as u64);
                    match offered.remove(&id) {
                        Some(o) => refused.push((o, Reply::Refused(backoff.map(Duration::from_millis)))),
                        None => endings.push((id, Ending::HandedBack(backoff))),
                    }
                }
                Action::Fail { id } => {
                    tracing::debug!(id, "given up");
                    match offered.remove(&id) {
                        Some(o) => refused.push((o, Reply::Failed)),
                        None => endings.push((id, Ending::GivenUp)),
                    }
                }
                Action::Cancel { id, attempt } => {
                    if let Some(out) = self.calls.get(&(id, attempt)) {
                        out.cancel.set();
                    }
                }
                Action::Probe { endpoint } => {
                    tokio::task::spawn_local(self.client.clone().probe(endpoint));
                }
                Action::Close { endpoint } => self.client.close_idle(endpoint),
                Action::Timer { at } => self.timer = Some(self.timer.map_or(at, |t| t.min(at))),
            }
        }
        for (o, reply) in refused {
            self.forget(o.taken.id);
            o.answer(reply);
        }
        for &(id, ending) in &endings {
            if let Some(held) = self.forget(id) {
                records.push(Record::Decided(id, ending));
                decided.push((held.taken, ending));
            }
        }
        let mut all: Vec<Record> = offered.values().map(|o| Record::Taken(o.taken.clone())).collect();
        all.append(&mut records);
        let settled = all.len() - offered.len();
        all.append(&mut begun);
        let kept = self.keep(&all).await;
        match kept {
            Kept::Yes => {}
            // What has ended has, whether that can be written or not.
            Kept::Unwritten => self.owe(all.drain(offered.len()..).take(settled).collect()),
            // It may be on disk or not: what is not done now is taken back.
            Kept::Unsynced => {
                let ends = offered.keys().map(|id| Record::Ended(*id));
                let never = all[offered.len() + settled..].iter().filter_map(|r| match r {
                    Record::Begun(id, begun) => Some(Record::NeverRan(*id, begun.number)),
                    _ => None,
                });
                self.owe(ends.chain(never).collect());
            }
        }
        decided.iter().for_each(|(taken, ending)| self.notify(taken, *ending));
        if kept != Kept::Yes {
            // Without its record nothing new is begun or taken on.
            for (id, o) in offered {
                self.forget(id);
                self.next.push(Event::Withdrawn { id });
                o.answer(Reply::Refused(Some(Duration::from_secs(1))));
            }
            for (endpoint, members) in calls {
                for m in members {
                    let end = client::member_end(&m, endpoint, Outcome::NotSent, Instant::now());
                    self.next.push(Event::AttemptEnd(end));
                }
            }
            return;
        }
        for (id, o) in offered {
            if !o.answer(Reply::TakenOn) {
                // The client has left without its answer: it may hand the message in again elsewhere.
                self.next.push(Event::Withdrawn { id });
                self.forget(id);
                self.owe(vec![Record::Ended(id)]);
            }
        }
        for (endpoint, members) in calls {
            let cancel = Rc::new(Cancel::default());
            for m in &members {
                self.calls.insert((m.message.id, m.attempt), Out { endpoint, cancel: cancel.clone() });
            }
            tokio::task::spawn_local(self.client.clone().call(endpoint, members, cancel));
        }
    }

    fn offer(&mut self, mut taken: Taken, end: Instant, reply: oneshot::Sender<Reply>, round: &mut Round) {
        if let Some(id) = self.traces.get(&taken.trace) {
            // The same message once more, while it is held: it is taken on already, or shares this round's fate.
            match round.offered.get_mut(id) {
                Some(first) => first.replies.push(reply),
                None => _ = reply.send(Reply::TakenOn),
            }
            return;
        }
        taken.id = self.next_id;
        let room = self.journal.has_room(&taken, round.claimed);
        let room = room.filter(|_| self.held.len() < self.settings.max_open && self.wind.is_none());
        let (Some(claim), Some(class)) = (room, position(&self.around.classes, &taken.class)) else {
            let after = Duration::from_nanos(self.sender.backoff(taken.dest).max(0) as u64);
            tracing::debug!(trace = taken.trace, dest = taken.dest, ?after, "no room");
            let _ = reply.send(Reply::Refused(Some(after)));
            return;
        };
        round.claimed += claim;
        self.next_id += 1;
        let taken = Rc::new(taken);
        let left = end.saturating_duration_since(round.at).as_nanos() as Ns;
        let message = self.hold(taken.clone(), class, left, self.clock(end), 0);
        self.on_demand.before_message(&self.sender, &*self.directory, message.dest, &mut round.events);
        round.events.push(Event::Message(message));
        round.offered.insert(taken.id, Offered { taken, replies: vec![reply] });
    }

    /// Enters a message that the module is about to be told of.
    fn hold(&mut self, taken: Rc<Taken>, class: usize, left: Ns, end: Ns, attempts: u32) -> Message {
        let (id, dest) = (taken.id, taken.dest);
        let tenant = position(&self.around.tenants, &taken.tenant).unwrap_or(0);
        // By its own id a message can be followed from sender to sender; all else here goes by the number.
        tracing::debug!(id, trace = taken.trace, class = taken.class, dest, ms = left / MS, attempts, "held");
        self.traces.insert(taken.trace.clone(), id);
        self.held.insert(id, Held { taken, end, attempts });
        Message { id, class, dest, time_left: left, cost: 0, key: None, tenant }
    }

    fn notify(&mut self, taken: &Taken, ending: Ending) {
        self.noticing.insert(taken.id);
        let _ = self.notices.send(Notice { id: taken.id, trace: taken.trace.clone(), ending });
    }

    /// Books an attempt's end. What comes back was delivered too close to its time's end to be over by that alone.
    fn ended(&mut self, end: &AttemptEnd, at: Instant, records: &mut Vec<Record>) -> Option<Rc<Taken>> {
        self.calls.remove(&(end.id, end.attempt));
        let left = self.held.get(&end.id)?.end - self.clock(at);
        if end.done {
            let held = self.forget(end.id)?;
            if end.outcome == Outcome::Served && left < CLOSE.as_nanos() as Ns {
                // Where it was not in time it has no end yet, and where it was a notice does no harm.
                records.push(Record::Decided(end.id, Ending::GivenUp));
                return Some(held.taken);
            }
            records.push(Record::Ended(end.id));
        } else if end.outcome.never_ran() {
            records.push(Record::NeverRan(end.id, end.attempt));
        }
        None
    }

    fn forget(&mut self, id: u64) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.traces.remove(&held.taken.trace);
        Some(held)
    }

    /// Writes records down, and syncs them where that goes before all that follows from them.
    async fn keep(&mut self, records: &[Record]) -> Kept {
        if records.is_empty() {
            return Kept::Yes;
        }
        let written = self.journal.write(records);
        self.wrote(&written);
        if written.is_err() {
            return Kept::Unwritten;
        }
        let follows = |r: &Record| matches!(r, Record::Taken(_) | Record::Begun(..) | Record::Decided(..));
        let waits = self.journal.in_groups() && records.iter().any(follows);
        if waits && !self.sync().await {
            return Kept::Unsynced;
        }
        Kept::Yes
    }

    async fn sync(&mut self) -> bool {
        let synced = self.journal.sync().await;
        match &synced {
            Ok(()) => self.writes_again(),
            Err(_) => self.wrote(&synced),
        }
        synced.is_ok()
    }

    fn owe(&mut self, records: Vec<Record>) {
        if !records.is_empty() {
            let written = self.journal.owe(records);
            self.wrote(&written);
        }
    }

    fn wrote(&mut self, result: &std::io::Result<()>) {
        match result {
            Err(error) => {
                if self.write_failed.replace(Instant::now()).is_none() {
                    tracing::error!(%error, "cannot write the journal; nothing new is taken on");
                }
            }
            Ok(()) if self.journal.syncs() => {}
            Ok(()) => self.writes_again(),
        }
    }

    fn writes_again(&mut self) {
        if self.write_failed.take().is_some() {
            tracing::info!("the journal can be written again");
        }
    }
}

/// Whether records hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kept {
    Yes,
    /// Nothing of them does.
    Unwritten,
    /// They are written, and may be lost with the power.
    Unsynced,
}

fn wall_ns() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64)
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

#[cfg(test)]
mod tests;
