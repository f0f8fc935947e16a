//! Decides when discovery is called, so that the age of the list stays within its bound whatever became of
//! earlier calls. Has no sockets and no clock: the time is passed in.
//!
//! A call that is out is no proof that anyone will answer it. If the youngest call has brought nothing by the
//! time for which that was planned, a younger one is due beside it.
use super::backoff::{Backoff, IMMEDIATE_TIMEOUT, WATCH_GRACE};
use super::calls::LongList;
use sender::settings::ListDelivery;
use std::time::Duration;
use tokio::time::Instant;

/// How long the sender may be held up between reading its clock and writing (STANDING, What production adds).
const MAX_STALL: Duration = Duration::from_millis(150);
/// Time for the answer that brings a change, and to put the change in force.
const APPLY_TIME: Duration = Duration::from_millis(100);
/// Bounds of the time between the starts of two calls where lists are pushed.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// The part of an interval for which a watch waits. Its answer may come in the rest of the interval before a
/// younger call is due.
const WATCH_SHARE: f64 = 0.7;
/// The part of an interval that passes at least between the starts of two calls after a failure. The rest is
/// drawn, so that senders do not stay in step.
const MIN_INTERVAL_SHARE: f64 = 0.75;

/// How long a long list may make no progress before a younger call begins. Where lists are pushed this holds
/// for further ones only.
const MAX_LIST_SILENCE: Duration = Duration::from_millis(2_500);

/// A timer that is late by more than this shows that the sender was held up. Answers that have come meanwhile
/// are read first, for which this pause is enough.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(20);
const PAUSE_AFTER_DELAY: Duration = Duration::from_millis(10);

/// How a call failed, as far as the time of the next one depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The call was rejected, or no connection could be made.
    NotAccepted,
    /// The call was accepted, but no usable answer came.
    Unusable,
    /// The list exceeds its limits.
    OverLimits,
}

/// Plans the calls of one sender to discovery.
pub struct CallSchedule {
    /// The time between the starts of two calls where lists are pushed: the agent on the sender's machine
    /// answers at no cost with what it has. None where lists are requested, and each call costs discovery
    /// work.
    interval: Option<Duration>,
    backoff: Backoff,
    next_call: Instant,
    /// Whether the next call asks for an immediate answer: the first one, and each one after a call that
    /// failed or was not answered, as a watch could be silent for all of its wait.
    immediate: bool,
    /// Whether the next call was put off since it was due first.
    was_put_off: bool,
}

impl CallSchedule {
    /// Creates a schedule whose first call is due now. `backoff` is that of the sender.
    pub fn new(delivery: ListDelivery, backoff: Backoff, now: Instant) -> CallSchedule {
        let interval = match delivery {
            ListDelivery::Pushed { drain_grace } => {
                let grace = Duration::from_nanos(drain_grace.max(0) as u64);
                Some(grace.saturating_sub(MAX_STALL + APPLY_TIME).clamp(MIN_INTERVAL, MAX_INTERVAL))
            }
            ListDelivery::Requested => None,
        };
        CallSchedule { interval, backoff, next_call: now, immediate: true, was_put_off: false }
    }

    /// Returns when the next call is due, beside those that are out. It might bring a long list that is coming
    /// once more, so it is put off as long as the list keeps coming.
    pub fn next_call(&self, long_list: Option<LongList>) -> Instant {
        let put_off_until = |list: LongList| list.last_progress + self.allowed_silence(list.retries);
        long_list.map_or(self.next_call, |list| self.next_call.max(put_off_until(list)))
    }

    /// Returns how long a long list may make no progress. Where lists are pushed, it puts off the first retry for
    /// no longer than any other call that is not answered, but further ones for the full time: an agent that
    /// is slow rather than silent would otherwise work for ever more retries, and never bring a list.
    fn allowed_silence(&self, retries: u32) -> Duration {
        match self.interval {
            Some(interval) if retries == 0 => interval,
            _ => MAX_LIST_SILENCE,
        }
    }

    /// Returns how many calls may be out unanswered before discovery counts as failing. Where lists are
    /// pushed, a younger call follows so soon that one late answer says nothing.
    pub fn tolerated_silent_calls(&self) -> usize {
        usize::from(self.interval.is_some())
    }

    /// Plans a call that begins now. Returns how long discovery may wait for a change before it answers.
    pub fn begin_call(&mut self, now: Instant) -> Duration {
        let immediate = std::mem::replace(&mut self.immediate, true);
        self.was_put_off = false;
        let (wait, until_next) = match (self.interval, immediate) {
            (Some(interval), true) => {
                let share = MIN_INTERVAL_SHARE + (1.0 - MIN_INTERVAL_SHARE) * self.backoff.random_share();
                (Duration::ZERO, interval.mul_f64(share))
            }
            (Some(interval), false) => (interval.mul_f64(WATCH_SHARE), interval),
            (None, true) => (Duration::ZERO, IMMEDIATE_TIMEOUT + self.backoff.pause_after_silence()),
            (None, false) => {
                let wait = self.backoff.watch_wait();
                (wait, wait + WATCH_GRACE + self.backoff.pause_after_silence())
            }
        };
        self.next_call = now + until_next;
        wait
    }

    /// Puts off a call that is due at `now`, if it is so late that the sender was held up, and may not have
    /// seen an answer that has come. Does so once for a call, as a sender may be late all the time. Returns
    /// whether the call was put off.
    pub fn put_off_if_late(&mut self, now: Instant) -> bool {
        if self.was_put_off || now <= self.next_call + MAX_TIMER_DELAY {
            return false;
        }
        self.was_put_off = true;
        self.next_call = now + PAUSE_AFTER_DELAY;
        true
    }

    /// Notes that a usable list has come. A watch follows without a pause: discovery may reject one that
    /// comes late.
    pub fn note_list(&mut self, now: Instant) {
        self.backoff.reset();
        self.immediate = false;
        self.next_call = now;
    }

    /// Notes that the youngest call has failed, or, for [`CallFailure::OverLimits`], any call.
    pub fn note_failure(&mut self, failure: CallFailure, now: Instant) {
        self.immediate = true;
        self.next_call = match (failure, self.interval) {
            (CallFailure::OverLimits, _) => now + self.backoff.pause_after_refusal(),
            // The interval runs from the start of the call, however that ended.
            (_, Some(_)) => self.next_call,
            (CallFailure::NotAccepted, None) => now + self.backoff.pause_after_failure(),
            (CallFailure::Unusable, None) => now + self.backoff.pause_after_unusable(),
        };
    }

    /// Begins anew at another address. Failures at the old one say nothing about it.
    pub fn restart(&mut self, now: Instant) {
        self.backoff.reset();
        self.immediate = true;
        self.next_call = now;
    }
}

#[cfg(test)]
mod tests;
