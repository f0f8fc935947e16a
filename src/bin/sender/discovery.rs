//! The client of discovery: fetches the whole list of endpoints once, then its changes by long polls, called
//! watches.
//!
//! The schedule decides when a call is due. A call that is not answered stays out while younger ones are made
//! beside it, each on a connection of its own; the first usable list ends the others.
mod backoff;
mod call;
mod calls;
mod schedule;
pub mod status;

use crate::connection::Connection;
use crate::input::Input;
use crate::list_intake::ListIntake;
pub use backoff::Backoff;
use call::{FetchError, ListRequest};
use calls::{Calls, Fetched};
use catalogue::intake::LoadedList;
use schedule::CallFailure;
pub use schedule::CallSchedule;
use status::ListStatus;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

/// How long after its wait a call stays out. Younger calls are made beside it long before.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Follows the list of endpoints and passes each change to the core.
pub struct Follower {
    core: mpsc::Sender<Input>,
    schedule: CallSchedule,
    intake: ListIntake,
    status: Rc<ListStatus>,
    address: SocketAddr,
    /// The generation of the list held. None if the whole list is to be fetched.
    known: Option<u64>,
    /// Whether the core has been sent a list of this address.
    told: bool,
    calls: Calls,
    /// The connection of the last list.
    kept_connection: Option<Connection>,
    /// Whether the log says that discovery fails.
    failing: bool,
    /// Whether the log says that discovery's list is refused.
    refusing: bool,
}

/// The core has ended.
struct CoreEnded;

impl Follower {
    /// Creates a follower. `known` is the generation of the list that the sender starts with. Fetching the
    /// changes since then costs discovery less than a whole list, above all when many senders start at once.
    pub fn new(
        core: mpsc::Sender<Input>,
        schedule: CallSchedule,
        intake: ListIntake,
        status: Rc<ListStatus>,
        known: Option<u64>,
    ) -> Follower {
        Follower {
            core,
            schedule,
            intake,
            address: status.address(),
            status,
            known,
            told: false,
            calls: Calls::default(),
            kept_connection: None,
            failing: false,
            refusing: false,
        }
    }

    /// Runs until the core has ended. While discovery is silent the sender goes on with the list that it has.
    /// When the address of discovery changes, the calls in progress are dropped and the whole list is fetched
    /// from the new address.
    pub async fn run(mut self, mut addresses: watch::Receiver<SocketAddr>) {
        let mut may_move = true;
        loop {
            let next_call = self.next_call();
            tokio::select! {
                biased;
                moved = addresses.changed(), if may_move => match moved {
                    Ok(()) => self.move_to(*addresses.borrow_and_update()),
                    Err(_) => may_move = false,
                },
                (call, result) = self.calls.next_ended() => {
                    if let Err(CoreEnded) = self.end_call(call, result).await {
                        return;
                    }
                }
                () = sleep_until(next_call) => self.begin_call_if_due(),
            }
        }
    }

    /// Drops what belongs to the old address.
    fn move_to(&mut self, address: SocketAddr) {
        tracing::debug!(%address, dropped = self.calls.len(), "discovery has another address");
        self.calls.clear();
        self.kept_connection = None;
        (self.address, self.known, self.told) = (address, None, false);
        (self.failing, self.refusing) = (false, false);
        self.status.move_to(address);
        self.schedule.restart(Instant::now());
    }

    /// Returns when the next call is due. A long list that keeps coming puts it off.
    fn next_call(&self) -> Instant {
        self.schedule.next_call(self.calls.long_list())
    }

    /// Begins a call, unless a long list has put it off, or the sender was held up until now.
    fn begin_call_if_due(&mut self) {
        let now = Instant::now();
        if now < self.next_call() {
            return;
        }
        let is_late = !self.calls.is_empty() && self.schedule.put_off_if_late(now);
        if !is_late {
            self.begin_call();
        }
    }

    /// Begins a call beside those that are out.
    fn begin_call(&mut self) {
        if !self.calls.is_empty() {
            self.note_silence();
        }
        let now = Instant::now();
        let wait = self.schedule.begin_call(now);
        let (address, known) = (self.address, self.known);
        let request = ListRequest { address, known, wait, deadline: now + wait + ANSWER_TIMEOUT };
        let call = self.calls.begin(request, self.kept_connection.take(), self.intake.reader());
        let out = self.calls.len();
        tracing::debug!(call, %address, generation = known, ?wait, out, "a call to discovery begins");
        self.status.set_calls_out(out);
    }

    /// Notes that the youngest call was not answered in the time for which it was planned.
    fn note_silence(&mut self) {
        self.status.note_failure("no answer yet");
        if self.calls.len() > self.schedule.tolerated_silent_calls() {
            self.log_failure(self.calls.last_number(), &"the answer did not arrive in time");
        }
    }

    /// Logs the first failure in a row.
    fn log_failure(&mut self, call: u64, error: &dyn std::fmt::Display) {
        if !std::mem::replace(&mut self.failing, true) {
            let (address, age) = (self.address, self.status.age());
            tracing::warn!(call, %address, %error, ?age, "discovery fails; going on with the list held");
        }
    }

    async fn end_call(&mut self, call: u64, result: Fetched) -> Result<(), CoreEnded> {
        match result {
            Ok((list, connection)) => {
                self.kept_connection = Some(connection);
                self.take_list(call, list).await?;
            }
            Err(error) => self.note_failure(call, &error),
        }
        self.status.set_calls_out(self.calls.len());
        Ok(())
    }

    fn note_failure(&mut self, call: u64, error: &FetchError) {
        self.status.note_failure(&error.to_string());
        let now = Instant::now();
        if let FetchError::OverLimits(error) = error {
            // Any other call would bring the same list.
            self.calls.clear();
            if !std::mem::replace(&mut self.refusing, true) {
                tracing::error!(call, %error, "discovery's list is refused; going on with the list held");
            }
            self.schedule.note_failure(CallFailure::OverLimits, now);
        } else {
            self.log_failure(call, error);
            if call == self.calls.last_number() {
                self.schedule.note_failure(error.failure(), now);
            }
        }
        let next_in = self.next_call().saturating_duration_since(now);
        tracing::debug!(call, %error, ?next_in, "a call to discovery failed");
    }

    /// Passes a list to the core if it brings anything new.
    async fn take_list(&mut self, call: u64, list: LoadedList) -> Result<(), CoreEnded> {
        // They were made for changes since a list that is not the last one any more.
        self.calls.clear();
        let (generation, reset, entries) = (list.generation, list.reset, list.entries);
        let age = self.status.age();
        tracing::debug!(call, generation, reset, entries, ?age, "a call to discovery brought a list");
        if std::mem::take(&mut self.failing) | std::mem::take(&mut self.refusing) {
            tracing::info!(call, generation, ?age, "discovery answers again");
        }
        if list.unreadable > 0 {
            tracing::warn!(entries = list.unreadable, "left out unreadable entries of discovery's list");
        }
        self.status.confirm(generation);
        self.intake.put_in_force(&list);
        let changed = reset || entries > 0 || self.known != Some(generation);
        self.known = Some(generation);
        if !std::mem::replace(&mut self.told, true) || changed {
            self.core.send(Input::Catalogue(list)).await.map_err(|_| CoreEnded)?;
        }
        self.schedule.note_list(Instant::now());
        Ok(())
    }
}
