//! The client of discovery: fetches the whole list of endpoints once, then its changes by long polls, called
//! watches.
use crate::connection::{self, Connection, ExchangeError};
use crate::input::Input;
use crate::list_intake::{BodyError, ListIntake};
use catalogue::intake::{IntakeError, LoadedList};
use hyper::body::Incoming;
use hyper::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout_at, Instant};

/// How long connecting to discovery may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a watch waits for changes in a small fleet.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// How long a call that asks for an immediate answer may take: discovery may take 2 s to reject a call.
const IMMEDIATE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How much longer than its wait a watch may take before it counts as silent. While discovery is down its
/// agent does not answer, and a watch that began in that time may never be answered.
const WATCH_GRACE: Duration = Duration::from_secs(1);
/// The longest pause after a watch that was silent or brought an unreadable answer. Each sender draws its own
/// pause. A change that the watch missed must be known 2 s after the end of its wait, of which `WATCH_GRACE`
/// has passed by then.
const MAX_WATCH_RESTART_PAUSE: Duration = Duration::from_millis(500);
/// The mean time between two watches, and between two calls after failures as far as `MAX_PAUSE` allows,
/// counted over all senders of a fleet.
const FLEET_PAUSE: Duration = Duration::from_millis(500);
/// Maximum time from when discovery has a change and can be reached again until a sender knows the change,
/// whatever failed before.
const MAX_NEWS_DELAY: Duration = Duration::from_secs(6);
/// The longest pause after a failed call, however many have failed in a row. In the worst case discovery
/// returns just after the start of a call that takes all of `IMMEDIATE_TIMEOUT` to fail. The remaining second
/// is for the next call and for applying its changes.
const MAX_PAUSE: Duration =
    MAX_NEWS_DELAY.saturating_sub(IMMEDIATE_TIMEOUT).saturating_sub(Duration::from_secs(1));
/// The shortest pause after a failed call, except after the first in a row if its answer did not come or
/// can't be used.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Upper bounds of the first and of the longest pause after a list that exceeds its limits; the bound doubles
/// with each such list in a row, and a pause is drawn between half its bound and the bound. The next list is
/// most likely too large as well, and fetching it may cost as much as the changes of a day.
const FIRST_REFUSAL_PAUSE: Duration = Duration::from_secs(15);
const MAX_REFUSAL_PAUSE: Duration = Duration::from_secs(300);

/// Decides when a sender calls again: exponential backoff with full jitter, as all senders of a fleet fail
/// together. Also decides how long a watch waits.
pub struct Backoff {
    /// The mean time between two calls of one sender that gives a fleet of up to 100 senders one call per
    /// `FLEET_PAUSE`.
    interval: Duration,
    /// Calls that failed in a row.
    failures: u32,
    /// Lists in a row that exceeded their limits.
    refusals: u32,
    random: fastrand::Rng,
}

impl Backoff {
    /// Creates the backoff of one sender in a fleet of `senders`.
    pub fn new(senders: usize, seed: u64) -> Backoff {
        let interval = FLEET_PAUSE * senders.clamp(1, 100) as u32;
        Backoff { interval, failures: 0, refusals: 0, random: fastrand::Rng::with_seed(seed) }
    }

    /// Returns how long the next watch waits. In a large fleet it is drawn, as senders that started together
    /// would stay in step otherwise.
    fn watch_wait(&mut self) -> Duration {
        if self.interval <= WATCH_WAIT {
            return WATCH_WAIT;
        }
        self.interval.mul_f64(0.5 + self.random.f64() / 2.0)
    }

    /// Returns the pause after an answer that did not come or can't be used. It is short for the first
    /// failure.
    fn pause_after_unusable(&mut self) -> Duration {
        if self.failures > 0 {
            return self.pause_after_failure();
        }
        self.failures = 1;
        MAX_WATCH_RESTART_PAUSE.mul_f64(self.random.f64())
    }

    /// Returns the pause after another failed call, drawn up to a bound that doubles each time.
    fn pause_after_failure(&mut self) -> Duration {
        let bound = (self.interval * (1 << self.failures.min(8))).min(MAX_PAUSE);
        self.failures += 1;
        bound.mul_f64(self.random.f64()).max(MIN_PAUSE)
    }

    /// Returns the pause after a list that exceeds its limits. It grows to minutes.
    fn pause_after_refusal(&mut self) -> Duration {
        let bound = (FIRST_REFUSAL_PAUSE * (1 << self.refusals.min(8))).min(MAX_REFUSAL_PAUSE);
        self.refusals += 1;
        bound.mul_f64(0.5 + self.random.f64() / 2.0)
    }

    /// Resets the backoff, after a list that was accepted and at a new address.
    fn reset(&mut self) {
        (self.failures, self.refusals) = (0, 0);
    }
}

/// Why a call brought no list.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    /// The call was rejected, or no connection could be made.
    #[error("the call was not accepted: {0}")]
    NotAccepted(String),
    /// The call was accepted, but no usable answer came.
    #[error("{0}")]
    Unusable(String),
    /// The list exceeds its limits.
    #[error("{0}")]
    OverLimits(IntakeError),
}

impl From<BodyError> for FetchError {
    fn from(error: BodyError) -> FetchError {
        match error {
            BodyError::Rejected(IntakeError::Unreadable(error)) => {
                FetchError::Unusable(format!("the answer is not a valid list: {error}"))
            }
            BodyError::Rejected(refused) => FetchError::OverLimits(refused),
            error => FetchError::Unusable(error.to_string()),
        }
    }
}

/// Requests a list; returns the body of the answer, which is still to be read, and its connection.
async fn request_list(
    kept_connection: &mut Option<Connection>,
    address: SocketAddr,
    path: &str,
) -> Result<(Connection, Incoming), FetchError> {
    let (conn, answer) = loop {
        let opened = Connection::reuse_or_open(kept_connection, address, CONNECT_TIMEOUT).await;
        let mut conn = opened.map_err(|e| FetchError::NotAccepted(e.to_string()))?;
        let request = connection::request("GET", path, address, &[], Default::default());
        match conn.send(request).await {
            Ok(answer) => break (conn, answer),
            // The kept connection was closed after the last answer. No call has failed, so it is made again
            // at once, and only once, as the next connection is a new one.
            Err(ExchangeError::Unsent) if conn.is_reused() => {}
            Err(error) => return Err(FetchError::Unusable(error.to_string())),
        }
    };
    if answer.status() != StatusCode::OK {
        return Err(FetchError::NotAccepted(format!("answered {}", answer.status().as_u16())));
    }
    Ok((conn, answer.into_body()))
}

/// Makes one call and reads its list. A short list must be complete by `deadline`; a long one may take
/// longer, as long as more of it keeps coming. Keeps the connection for the next call.
async fn fetch_list(
    kept_connection: &mut Option<Connection>,
    address: SocketAddr,
    path: &str,
    intake: &ListIntake,
    deadline: Instant,
) -> Result<LoadedList, FetchError> {
    let timed_out = |_| FetchError::from(BodyError::TimedOut);
    let (mut conn, body) =
        timeout_at(deadline, request_list(kept_connection, address, path)).await.map_err(timed_out)??;
    let list = intake.read(body, deadline).await?;
    conn.wait_until_ready().await;
    *kept_connection = Some(conn);
    Ok(list)
}

/// Follows the list of endpoints and passes each change to the core; returns only once the core has ended.
/// While discovery is silent the sender goes on with the list that it has. When the address of discovery
/// changes, the call in progress is dropped and the whole list is fetched from the new address.
///
/// `known` is the generation of the list that the sender starts with. Fetching the changes since then costs
/// discovery less than a whole list, above all when many senders start at once.
pub async fn follow(
    mut addresses: watch::Receiver<SocketAddr>,
    core: mpsc::Sender<Input>,
    mut backoff: Backoff,
    mut intake: ListIntake,
    mut known: Option<u64>,
) {
    loop {
        let address = *addresses.borrow_and_update();
        let changed = tokio::select! {
            () = follow_at(address, &core, &mut backoff, &mut intake, known.take()) => return,
            changed = addresses.changed() => changed,
        };
        if changed.is_err() {
            // The address can't change any more.
            return follow_at(address, &core, &mut backoff, &mut intake, None).await;
        }
        // Failures at the old address say nothing about the new one.
        backoff.reset();
    }
}

/// Follows the list at one address until the core has ended.
async fn follow_at(
    address: SocketAddr,
    core: &mpsc::Sender<Input>,
    backoff: &mut Backoff,
    intake: &mut ListIntake,
    mut known: Option<u64>,
) {
    let mut kept_connection = None;
    let (mut failing, mut refusing, mut first) = (false, false, true);
    let mut confirmed_at: Option<Instant> = None;
    for call in 1u64.. {
        // The first answer is needed at once, so discovery must not wait for a change.
        let wait = if first { Duration::ZERO } else { backoff.watch_wait() };
        let path = known.map_or("/v1/servers".to_string(), |generation| {
            format!("/v1/servers?index={generation}&wait={}", wait.as_millis())
        });
        let timeout = if wait.is_zero() { IMMEDIATE_TIMEOUT } else { wait + WATCH_GRACE };
        tracing::debug!(call, %address, path, ?timeout, "a call to discovery begins");
        let answer = fetch_list(&mut kept_connection, address, &path, intake, Instant::now() + timeout).await;
        let since_confirmed = confirmed_at.map(|at| at.elapsed());
        // Without a known list there is nothing to apply changes to.
        let answer = answer.and_then(|list| match list.reset || known.is_some() {
            true => Ok(list),
            false => Err(FetchError::Unusable("expected the whole list, received only changes".into())),
        });
        match answer {
            Ok(list) => {
                let (generation, reset, entries) = (list.generation, list.reset, list.entries);
                tracing::debug!(call, generation, reset, entries, "a call to discovery brought a list");
                if std::mem::take(&mut failing) | std::mem::take(&mut refusing) {
                    tracing::info!(call, generation, ?since_confirmed, "discovery answers again");
                }
                confirmed_at = Some(Instant::now());
                if list.unreadable > 0 {
                    tracing::warn!(
                        entries = list.unreadable,
                        "left out unreadable entries of discovery's list"
                    );
                }
                backoff.reset();
                intake.put_in_force(&list);
                let changed = list.reset || list.entries > 0 || known != Some(list.generation);
                known = Some(list.generation);
                if (std::mem::take(&mut first) || changed) && core.send(Input::Catalogue(list)).await.is_err()
                {
                    return;
                }
                // The next watch follows without a pause: discovery may reject one that comes late.
            }
            Err(FetchError::OverLimits(error)) => {
                if !std::mem::replace(&mut refusing, true) {
                    tracing::error!(call, %error, "discovery's list is refused; going on with the list held");
                }
                first = true;
                let pause = backoff.pause_after_refusal();
                tracing::debug!(call, %error, ?pause, "pausing before the next call to discovery");
                sleep(pause).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(
                        call, %address, %error, ?since_confirmed,
                        "discovery fails; going on with the list held"
                    );
                }
                // After any failure the next call asks for an immediate answer: a watch could be silent as
                // well, and for all of its wait.
                first = true;
                let pause = match &error {
                    FetchError::NotAccepted(_) => backoff.pause_after_failure(),
                    _ => backoff.pause_after_unusable(),
                };
                tracing::debug!(call, %error, ?pause, "pausing before the next call to discovery");
                sleep(pause).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
