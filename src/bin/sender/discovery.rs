//! The list of endpoints: the whole list once, then a watch that goes out again at once.
use crate::connection::{self, Connection, Fault};
use crate::input::Input;
use crate::list_intake::{BodyError, ListIntake};
use catalogue::intake::{IntakeError, LoadedList};
use hyper::body::Incoming;
use hyper::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout_at, Instant};

/// How long a watch waits.
const WAIT: Duration = Duration::from_secs(5);
/// How long a call that need not wait may take: discovery may take 2 s to turn a caller away.
const AT_ONCE: Duration = Duration::from_millis(2_500);
/// How much longer than it waits a watch may take before it counts as silent: the agent is silent while discovery
/// is down, and a watch begun in that time may never be answered.
const GRACE: Duration = Duration::from_secs(1);
/// A watch that fell silent or brought what can't be read is begun anew within this time, drawn by each sender: what
/// it missed counts as told 2 s after its wait is over, and `GRACE` of them has passed.
const ANEW: Duration = Duration::from_millis(500);
/// All senders of a fleet together let about so much time pass from one watch to the next, and, after calls that
/// failed, from one call to the next as far as `MOST` allows.
const FLEET_PAUSE: Duration = Duration::from_millis(500);
/// What discovery has counts as told so long after it had it and could be reached, whatever failed before.
const TOLD: Duration = Duration::from_secs(6);
/// The longest pause after a call that failed, however many did in a row: the worst moment for discovery to be
/// back is just after a call that then takes all of `AT_ONCE` to be given up. The second that is left is for the
/// call that brings the news, and for heeding them.
const MOST: Duration = TOLD.saturating_sub(AT_ONCE).saturating_sub(Duration::from_secs(1));
/// No pause after a call that failed is shorter.
const LEAST: Duration = Duration::from_millis(50);
/// The pause after a list that is over its bounds doubles from the first of these to the second: the next one is most
/// likely too large as well, and may cost as much to fetch as a day's changes.
const REFUSED_FIRST: Duration = Duration::from_secs(15);
const REFUSED_MOST: Duration = Duration::from_secs(300);

/// When a sender calls again: back-off with full jitter, as all senders of a fleet fail together, and a watch's wait.
pub struct Backoff {
    each: Duration,
    /// Calls that failed in a row.
    failed: u32,
    /// Lists in a row that were over their bounds.
    refused: u32,
    random: fastrand::Rng,
}

impl Backoff {
    pub fn new(senders: usize, seed: u64) -> Backoff {
        let each = FLEET_PAUSE * senders.clamp(1, 100) as u32;
        Backoff { each, failed: 0, refused: 0, random: fastrand::Rng::with_seed(seed) }
    }

    /// Spread, as those that started together would go on in step.
    fn wait(&mut self) -> Duration {
        if self.each <= WAIT {
            return WAIT;
        }
        self.each.mul_f64(0.5 + self.random.f64() / 2.0)
    }

    /// The pause after a watch broke, which is short where nothing has failed before it.
    fn begin_anew(&mut self) -> Duration {
        if self.failed > 0 {
            return self.back_off();
        }
        self.failed = 1;
        ANEW.mul_f64(self.random.f64())
    }

    /// The pause after one more call that failed: anywhere up to a bound that doubles each time.
    fn back_off(&mut self) -> Duration {
        let bound = (self.each * (1 << self.failed.min(8))).min(MOST);
        self.failed += 1;
        bound.mul_f64(self.random.f64()).max(LEAST)
    }

    /// The pause after a list that is over its bounds: it grows to minutes.
    fn after_refusal(&mut self) -> Duration {
        let bound = (REFUSED_FIRST * (1 << self.refused.min(8))).min(REFUSED_MOST);
        self.refused += 1;
        bound.mul_f64(0.5 + self.random.f64() / 2.0)
    }

    fn answered(&mut self) {
        (self.failed, self.refused) = (0, 0);
    }
}

/// Why a call brought no list.
#[derive(Debug, thiserror::Error)]
enum Missed {
    /// It was not taken on: callers are too many, or nobody listens.
    #[error("turned away: {0}")]
    TurnedAway(String),
    /// It was, and then nothing came that can be used.
    #[error("{0}")]
    Broken(String),
    /// A list came that is over its bounds.
    #[error("{0}")]
    Refused(IntakeError),
}

impl From<BodyError> for Missed {
    fn from(error: BodyError) -> Missed {
        match error {
            BodyError::NotTaken(IntakeError::Unreadable(error)) => {
                Missed::Broken(format!("not a list: {error}"))
            }
            BodyError::NotTaken(refused) => Missed::Refused(refused),
            error => Missed::Broken(error.to_string()),
        }
    }
}

/// An answer whose body has not been read, and the connection that it comes on.
async fn ask(
    connection: &mut Option<Connection>,
    at: SocketAddr,
    path: &str,
) -> Result<(Connection, Incoming), Missed> {
    let (link, answer) = loop {
        let kept = Connection::kept_or_new(connection, at, Duration::from_secs(1)).await;
        let mut link = kept.map_err(|e| Missed::TurnedAway(e.to_string()))?;
        let request = connection::request("GET", path, at, &[], Default::default());
        match link.send(request).await {
            Ok(answer) => break (link, answer),
            // The kept connection had ended since the last answer: no call has failed, and a watch that goes on
            // late is a new one. The next connection is new, so that this comes once.
            Err(Fault::Unsent) if link.is_kept() => {}
            Err(error) => return Err(Missed::Broken(error.to_string())),
        }
    };
    if answer.status() != StatusCode::OK {
        return Err(Missed::TurnedAway(format!("answered {}", answer.status().as_u16())));
    }
    Ok((link, answer.into_body()))
}

/// One call: the list that its answer brings by a time, or later where it is long and goes on coming.
async fn get(
    connection: &mut Option<Connection>,
    at: SocketAddr,
    path: &str,
    intake: &ListIntake,
    by: Instant,
) -> Result<LoadedList, Missed> {
    let silent = |_| Missed::from(BodyError::Silent);
    let (mut link, body) = timeout_at(by, ask(connection, at, path)).await.map_err(silent)??;
    let taken = intake.read(body, by).await?;
    link.settle().await;
    *connection = Some(link);
    Ok(taken)
}

/// Never ends: while discovery is silent the sender goes on with the list it has. At a new address it asks for
/// the whole list, whatever is under way at the old one.
///
/// `known` is the version of the list that the sender starts with: changes since then cost discovery less than a
/// whole list, above all where many senders start at once.
pub async fn follow(
    mut at: watch::Receiver<SocketAddr>,
    core: mpsc::Sender<Input>,
    mut backoff: Backoff,
    mut intake: ListIntake,
    mut known: Option<u64>,
) {
    loop {
        let address = *at.borrow_and_update();
        let changed = tokio::select! {
            () = follow_at(address, &core, &mut backoff, &mut intake, known.take()) => return,
            changed = at.changed() => changed,
        };
        if changed.is_err() {
            // No reload can come any more.
            return follow_at(address, &core, &mut backoff, &mut intake, None).await;
        }
        // What failed at the old address tells nothing of the new one.
        backoff.answered();
    }
}

/// Ends with the core.
async fn follow_at(
    at: SocketAddr,
    core: &mpsc::Sender<Input>,
    backoff: &mut Backoff,
    intake: &mut ListIntake,
    mut known: Option<u64>,
) {
    let mut connection = None;
    let (mut failing, mut refusing, mut first) = (false, false, true);
    loop {
        // The first answer is waited for, so it comes at once.
        let wait = if first { Duration::ZERO } else { backoff.wait() };
        let path = known.map_or("/v1/servers".to_string(), |generation| {
            format!("/v1/servers?index={generation}&wait={}", wait.as_millis())
        });
        let allowed = if wait.is_zero() { AT_ONCE } else { wait + GRACE };
        let answer = get(&mut connection, at, &path, intake, Instant::now() + allowed).await;
        // A change builds on a list: the first answer must be whole.
        let answer = answer.and_then(|taken| match taken.reset || known.is_some() {
            true => Ok(taken),
            false => Err(Missed::Broken("changes came where the whole list was asked for".into())),
        });
        match answer {
            Ok(taken) => {
                if std::mem::take(&mut failing) | std::mem::take(&mut refusing) {
                    tracing::info!("discovery answers again");
                }
                if taken.unreadable > 0 {
                    tracing::warn!(entries = taken.unreadable, "entries of a list can't be read");
                }
                backoff.answered();
                intake.put_in_force(&taken);
                let news = taken.reset || taken.entries > 0 || known != Some(taken.generation);
                known = Some(taken.generation);
                if (std::mem::take(&mut first) || news) && core.send(Input::Catalogue(taken)).await.is_err() {
                    return;
                }
                // On to the next at once: what comes later is a new watch, which may be turned away.
            }
            Err(Missed::Refused(error)) => {
                if !std::mem::replace(&mut refusing, true) {
                    tracing::error!(%error, "discovery's list is refused; going on with the list held");
                }
                first = true;
                let pause = backoff.after_refusal();
                tracing::debug!(%at, %error, ?pause, "discovery is asked again later");
                sleep(pause).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%error, "discovery fails; going on with the list held");
                }
                // Whatever failed: what was missed is asked for, not waited for. A watch could be as silent as
                // what failed, for all of its wait.
                first = true;
                let pause = match error {
                    Missed::TurnedAway(_) => backoff.back_off(),
                    _ => backoff.begin_anew(),
                };
                tracing::debug!(%at, ?pause, "discovery is asked again later");
                sleep(pause).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
