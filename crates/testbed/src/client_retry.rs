//! Decides whether and when a client hands a message in again (PROTOCOL, and brief, section 8), on sockets
//! and in simulated time.
use crate::clock::{Ns, MS, SECOND};
use crate::spec::Clients;
use rand::{Rng, RngExt};

/// Maximum number of retries of a message after hand-ins without an answer.
const MAX_UNANSWERED_RETRIES: usize = 3;
/// Time that has to be left until the message's deadline at a retry; the client gives up otherwise.
const MIN_TIME_LEFT: Ns = 100 * MS;
/// Longest wait of a client for a `Retry-After`, even if that is longer (`MaxRetryAfterNs` in the settings).
pub const MAX_RETRY_AFTER: Ns = 2 * SECOND;

/// Whether a hand-in is the first of its message, for the header `X-Second-Try`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryKind {
    First,
    /// A retry after a refusal.
    AfterRefusal,
    /// A retry after the sender did not answer or its process ended.
    AfterNoAnswer,
}

/// How a hand-in ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandInEnd {
    /// Accepted and not handed back, or failed without a retry.
    Final,
    /// Refused, or accepted and handed back, with the wait before a retry if the sender named one.
    Refused(Option<Ns>),
    Unanswered,
}

/// The retries of one message by its client.
#[derive(Clone, Debug)]
pub struct RetryState {
    /// The sender to hand the message to next.
    pub sender: u32,
    /// Kind of the next hand-in.
    pub try_kind: TryKind,
    due: Ns,
    refusal_retries_left: usize,
    unanswered_retries_left: usize,
}

impl RetryState {
    /// Creates the state before the first hand-in.
    pub fn new(sender: u32, due: Ns) -> RetryState {
        RetryState {
            sender,
            try_kind: TryKind::First,
            due,
            refusal_retries_left: 1,
            unanswered_retries_left: MAX_UNANSWERED_RETRIES,
        }
    }

    /// Returns how long the client waits before it hands the message in again, or `None` if it does not.
    /// `senders` is the number of all senders.
    pub fn next_wait(
        &mut self,
        end: HandInEnd,
        now: Ns,
        senders: u32,
        settings: &Clients,
        random: &mut impl Rng,
    ) -> Option<Ns> {
        let wait = match end {
            HandInEnd::Final => return None,
            HandInEnd::Refused(retry_after) => {
                if self.refusal_retries_left == 0 || random.random::<f64>() >= settings.retry {
                    return None;
                }
                self.refusal_retries_left -= 1;
                self.try_kind = TryKind::AfterRefusal;
                let backoff = uniform_ms(random, settings.backoff_ms);
                let honours = random.random::<f64>() < settings.honour;
                retry_after.filter(|_| honours).map_or(backoff, |t| t.clamp(0, MAX_RETRY_AFTER))
            }
            HandInEnd::Unanswered => {
                if self.unanswered_retries_left == 0 {
                    return None;
                }
                self.unanswered_retries_left -= 1;
                self.try_kind = TryKind::AfterNoAnswer;
                if senders > 1 {
                    self.sender = (self.sender + random.random_range(1..senders)) % senders;
                }
                uniform_ms(random, settings.again_ms)
            }
        };
        (now + wait + MIN_TIME_LEFT <= self.due).then_some(wait)
    }
}

/// Draws a time from a uniform distribution whose bounds are in milliseconds.
fn uniform_ms(random: &mut impl Rng, [low, high]: [f64; 2]) -> Ns {
    ((low + (high - low) * random.random::<f64>()) * MS as f64) as Ns
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::seed::Seed;

    #[test]
    fn retries_refused_message_once_and_unanswered_ones_at_other_senders() {
        let settings = Clients { retry: 1.0, honour: 1.0, ..Clients::default() };
        let mut random = Seed(1).stream("habits", 0);
        let mut state = RetryState::new(0, 20 * SECOND);
        let retry_after = HandInEnd::Refused(Some(700 * MS));
        assert_eq!(state.next_wait(retry_after, 0, 3, &settings, &mut random), Some(700 * MS));
        assert_eq!((state.sender, state.try_kind), (0, TryKind::AfterRefusal));
        assert_eq!(
            state.next_wait(retry_after, SECOND, 3, &settings, &mut random),
            None,
            "one retry at most"
        );
        for _ in 0..MAX_UNANSWERED_RETRIES {
            let before = state.sender;
            let wait = state
                .next_wait(HandInEnd::Unanswered, SECOND, 3, &settings, &mut random)
                .expect("the client retries");
            assert!((420 * MS..=1_900 * MS).contains(&wait));
            assert!(state.sender != before && state.sender < 3 && state.try_kind == TryKind::AfterNoAnswer);
        }
        assert_eq!(state.next_wait(HandInEnd::Unanswered, SECOND, 3, &settings, &mut random), None);
        let mut late = RetryState::new(0, 20 * SECOND);
        assert_eq!(late.next_wait(HandInEnd::Unanswered, 19_900 * MS, 3, &settings, &mut random), None);
        let capped = RetryState::new(0, 20 * SECOND).next_wait(
            HandInEnd::Refused(Some(9 * SECOND)),
            0,
            3,
            &settings,
            &mut random,
        );
        assert_eq!(capped, Some(MAX_RETRY_AFTER));
    }
}
