//! What a client does with an answer, or with none: PROTOCOL and the brief, 8. Used on sockets and in
//! simulated time.
use crate::clock::{Ns, MS, SECOND};
use crate::spec::Clients;
use rand::{Rng, RngExt};

/// A message comes again so often at most that was not answered.
const AGAIN: usize = 3;
/// A message that has less time left is not handed in again.
const LEAST: Ns = 100 * MS;
/// Clients heed no longer time than this to come again after (`MaxRetryAfterNs`).
pub const HEEDED: Ns = 2 * SECOND;

/// What a message's `X-Second-Try` says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryKind {
    First,
    /// After a refusal.
    AfterRefusal,
    /// After a sender that died or did not answer.
    AfterNoAnswer,
}

/// How a hand-in ended, with the time after which to come again, where one is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandInEnd {
    /// Taken on, and not handed back; or failed for good.
    Final,
    /// Refused, or handed back later.
    Refused(Option<Ns>),
    Unanswered,
}

/// One client with one message.
#[derive(Clone, Debug)]
pub struct RetryState {
    /// Whom it asks next, and as what.
    pub sender: u32,
    pub try_kind: TryKind,
    due: Ns,
    retries: usize,
    agains: usize,
}

impl RetryState {
    pub fn new(sender: u32, due: Ns) -> RetryState {
        RetryState { sender, try_kind: TryKind::First, due, retries: 1, agains: AGAIN }
    }

    /// After how long it comes again, if it does; `senders` is how many there are.
    pub fn next(
        &mut self,
        end: HandInEnd,
        now: Ns,
        senders: u32,
        habits: &Clients,
        random: &mut impl Rng,
    ) -> Option<Ns> {
        let wait = match end {
            HandInEnd::Final => return None,
            HandInEnd::Refused(told) => {
                if self.retries == 0 || random.random::<f64>() >= habits.retry {
                    return None;
                }
                self.retries -= 1;
                self.try_kind = TryKind::AfterRefusal;
                let own = draw(random, habits.backoff_ms);
                let heeds = random.random::<f64>() < habits.honour;
                told.filter(|_| heeds).map_or(own, |t| t.clamp(0, HEEDED))
            }
            HandInEnd::Unanswered => {
                if self.agains == 0 {
                    return None;
                }
                self.agains -= 1;
                self.try_kind = TryKind::AfterNoAnswer;
                if senders > 1 {
                    self.sender = (self.sender + random.random_range(1..senders)) % senders;
                }
                draw(random, habits.again_ms)
            }
        };
        (now + wait + LEAST <= self.due).then_some(wait)
    }
}

fn draw(random: &mut impl Rng, [low, high]: [f64; 2]) -> Ns {
    ((low + (high - low) * random.random::<f64>()) * MS as f64) as Ns
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::seed::Seed;

    #[test]
    fn a_refused_message_comes_once_more_and_an_unanswered_one_goes_to_others_until_its_time_is_up() {
        let habits = Clients { retry: 1.0, honour: 1.0, ..Clients::default() };
        let mut random = Seed(1).stream("habits", 0);
        let mut client = RetryState::new(0, 20 * SECOND);
        let told = HandInEnd::Refused(Some(700 * MS));
        assert_eq!(client.next(told, 0, 3, &habits, &mut random), Some(700 * MS));
        assert_eq!((client.sender, client.try_kind), (0, TryKind::AfterRefusal));
        assert_eq!(client.next(told, SECOND, 3, &habits, &mut random), None, "once at most");
        for _ in 0..AGAIN {
            let before = client.sender;
            let wait =
                client.next(HandInEnd::Unanswered, SECOND, 3, &habits, &mut random).expect("it comes again");
            assert!((420 * MS..=1_900 * MS).contains(&wait));
            assert!(
                client.sender != before && client.sender < 3 && client.try_kind == TryKind::AfterNoAnswer
            );
        }
        assert_eq!(client.next(HandInEnd::Unanswered, SECOND, 3, &habits, &mut random), None);
        let mut late = RetryState::new(0, 20 * SECOND);
        assert_eq!(late.next(HandInEnd::Unanswered, 19_900 * MS, 3, &habits, &mut random), None);
        let longer = RetryState::new(0, 20 * SECOND).next(
            HandInEnd::Refused(Some(9 * SECOND)),
            0,
            3,
            &habits,
            &mut random,
        );
        assert_eq!(longer, Some(HEEDED));
    }
}
