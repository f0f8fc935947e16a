//! The list of endpoints: the whole list once, then a watch that goes out again at once.
use crate::client::{self, Connection};
use crate::core::Input;
use leadfold::records::MAX_NAME;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

#[derive(Clone, Debug)]
pub struct Instance {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub dest: u64,
    pub lifecycle: String,
    pub weight: f64,
}

#[derive(Deserialize, Clone, Debug, Default)]
pub struct List {
    #[serde(default)]
    pub generation: u64,
    #[serde(default)]
    pub reset: bool,
    #[serde(default)]
    instances: Vec<Value>,
}

impl List {
    /// The version, if it names anything.
    pub fn version(&self) -> Option<u64> {
        (!self.instances.is_empty()).then_some(self.generation)
    }

    /// The entries that can be read; one that can't be does not cost the others.
    pub fn instances(&self) -> impl Iterator<Item = Instance> + '_ {
        self.instances.iter().filter_map(|v| {
            let read = instance(v);
            if read.is_none() {
                tracing::warn!(entry = %v, "a list entry can't be read");
            }
            read
        })
    }
}

fn instance(v: &Value) -> Option<Instance> {
    let text = |key: &str| v.get(key).and_then(Value::as_str);
    let name = text("instanceId").filter(|n| n.len() <= MAX_NAME)?;
    Some(Instance {
        name: name.to_string(),
        address: text("hostPort")?.parse().ok()?,
        zone: text("zone").unwrap_or_default().to_string(),
        kind: text("machineType").unwrap_or_default().to_string(),
        dest: v.get("cell")?.as_u64()?,
        lifecycle: text("lifecycle")?.to_string(),
        weight: v.get("weight").and_then(Value::as_f64).unwrap_or(0.0),
    })
}

/// How long a watch waits.
const WAIT: Duration = Duration::from_secs(5);
/// How long an answer that need not wait may take: discovery may take 2 s to turn a caller away.
const AT_ONCE: Duration = Duration::from_millis(2_500);
/// How much longer than it waits a watch may take before it counts as silent: the agent is silent while discovery
/// is down, and a watch begun in that time may never be answered.
const GRACE: Duration = Duration::from_secs(1);
/// A watch that fell silent or brought what can't be read is begun anew within this time, drawn by each sender: what
/// it missed counts as told 2 s after its wait is over, and `GRACE` of them has passed.
const ANEW: Duration = Duration::from_millis(500);
/// After an answer that can't be used.
const PAUSE: Duration = Duration::from_millis(100);
/// All senders of a fleet together let about so much time pass from one watch to the next, and, where they are
/// turned away again and again, in the mean from one such call to the next.
const FLEET_PAUSE: Duration = Duration::from_millis(500);
/// What discovery has to tell counts as told after so long. Whoever was turned away once comes again before that,
/// however large the fleet: only a second refusal tells that the first was more than a moment's crowd.
const TOLD: Duration = Duration::from_secs(6);
const MAX_LIST: usize = 4 << 20;

/// How a sender is to call so that its whole fleet is no burden. Whoever turns callers away does so with all of
/// them at once, and they must not come again at once.
pub struct Sparing {
    wait: Duration,
    /// Pauses after calls that failed are drawn from up to `next`, which starts at `least` and grows to `most`.
    least: Duration,
    most: Duration,
    next: Duration,
    random: fastrand::Rng,
}

impl Sparing {
    pub fn new(senders: usize, seed: u64) -> Sparing {
        let senders = senders.clamp(1, 100) as u32;
        let each = FLEET_PAUSE * senders;
        let (least, random) = (each.min(TOLD), fastrand::Rng::with_seed(seed));
        Sparing { wait: each.max(WAIT), least, most: 2 * each, next: least, random }
    }

    /// Spread, as those that started together would go on in step.
    fn wait(&mut self) -> Duration {
        if self.wait <= WAIT {
            return WAIT;
        }
        self.wait.mul_f64(0.5 + self.random.f64() / 2.0)
    }

    /// The pause after a watch broke. Only the first time in a row is it short: a whole fleet's watches break when
    /// discovery goes down.
    fn begin_anew(&mut self) -> Duration {
        if self.next > self.least {
            return self.back_off();
        }
        self.next = (self.next * 2).min(self.most);
        ANEW.mul_f64(self.random.f64())
    }

    /// The pause after one more call that failed: anywhere up to a bound that doubles each time.
    fn back_off(&mut self) -> Duration {
        let pause = self.next.mul_f64(self.random.f64()).max(PAUSE / 2);
        self.next = (self.next * 2).min(self.most);
        pause
    }

    fn answered(&mut self) {
        self.next = self.least;
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
}

async fn get(connection: &mut Option<Connection>, at: SocketAddr, path: &str) -> Result<List, Missed> {
    let kept = Connection::kept_or_new(connection, at, Duration::from_secs(1)).await;
    let mut link = kept.map_err(|e| Missed::TurnedAway(e.to_string()))?;
    let request = client::request("GET", path, at, &[], Default::default());
    let answer = link.exchange(request, MAX_LIST).await;
    let (status, _, body) = answer.map_err(|e| Missed::Broken(e.to_string()))?;
    if status != 200 {
        return Err(Missed::TurnedAway(format!("answered {status}")));
    }
    let list = serde_json::from_slice(&body).map_err(|e| Missed::Broken(format!("not a list: {e}")))?;
    *connection = Some(link);
    Ok(list)
}

/// Never ends: while discovery is silent the sender goes on with the list it has. At a new address it asks for
/// the whole list, whatever is under way at the old one.
///
/// `known` is the version of the list that the sender starts with: changes since then cost discovery less than a
/// whole list, above all where many senders start at once.
pub async fn follow(
    mut at: watch::Receiver<SocketAddr>,
    core: mpsc::Sender<Input>,
    mut sparing: Sparing,
    mut known: Option<u64>,
) {
    loop {
        let address = *at.borrow_and_update();
        tokio::select! {
            () = follow_at(address, &core, &mut sparing, known.take()) => return,
            // An error: no reload can come any more.
            changed = at.changed() => if changed.is_err() { return follow_at(address, &core, &mut sparing, None).await },
        }
    }
}

/// Ends with the core.
async fn follow_at(
    at: SocketAddr,
    core: &mpsc::Sender<Input>,
    sparing: &mut Sparing,
    mut known: Option<u64>,
) {
    let mut connection = None;
    let (mut failing, mut first) = (false, true);
    loop {
        // The first answer is waited for, so it comes at once.
        let wait = if first { Duration::ZERO } else { sparing.wait() };
        let path = known.map_or("/v1/servers".to_string(), |generation| {
            format!("/v1/servers?index={generation}&wait={}", wait.as_millis())
        });
        let allowed = if wait.is_zero() { AT_ONCE } else { wait + GRACE };
        let answer = timeout(allowed, get(&mut connection, at, &path)).await;
        match answer.unwrap_or_else(|_| Err(Missed::Broken("is silent".into()))) {
            Ok(list) => {
                if std::mem::take(&mut failing) {
                    tracing::info!("discovery answers again");
                }
                sparing.answered();
                // A change builds on a list: the first answer must be whole.
                if list.reset || known.is_some() {
                    known = Some(list.generation);
                    let news = list.reset || !list.instances.is_empty();
                    if (std::mem::take(&mut first) || news) && core.send(Input::List(list)).await.is_err() {
                        return;
                    }
                    // On to the next at once: what comes later is a new watch, which may be turned away.
                } else {
                    sleep(PAUSE).await;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%error, "discovery fails; going on with the list held");
                }
                // What a broken watch missed is asked for, not waited for.
                first |= matches!(error, Missed::Broken(_));
                let pause = match error {
                    Missed::Broken(_) => sparing.begin_anew(),
                    Missed::TurnedAway(_) => sparing.back_off(),
                };
                tracing::debug!(%at, ?pause, "discovery is asked again later");
                sleep(pause).await;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// When the senders of a fleet call that are turned away together and always, within a span in seconds.
    fn calls(senders: u64, span: f64) -> Vec<f64> {
        let each = |seed| {
            let mut sparing = Sparing::new(senders as usize, seed);
            let mut at = 0.0;
            std::iter::from_fn(move || {
                at += sparing.back_off().as_secs_f64();
                Some(at)
            })
        };
        (0..senders).flat_map(|seed| each(seed).take_while(|&at| at < span)).collect()
    }

    #[test]
    fn a_fleet_turned_away_again_and_again_calls_no_more_often_than_a_few_senders() {
        for senders in [2, 8, 48, 100] {
            let calls = calls(senders, 80.0);
            // The first ones come within seconds; they tell whether it was a moment's crowd.
            let later = calls.iter().filter(|&&at| at >= 20.0).count();
            assert!((60..=240).contains(&later), "{senders} senders: {later} calls in a minute");
            let busiest = (0..80).map(|s| calls.iter().filter(|&&at| at as i32 == s).count()).max();
            let most = Some((senders as usize / 2).max(12));
            assert!(busiest <= most, "{senders} senders: {busiest:?} calls in a second");
        }
    }

    #[test]
    fn a_sender_turned_away_once_comes_again_before_the_list_counts_as_told() {
        for seed in 0..100 {
            assert!(Sparing::new(100, seed).back_off() <= Duration::from_secs(6));
        }
    }

    #[test]
    fn a_broken_watch_is_begun_anew_before_its_news_count_as_told_and_the_next_time_sparingly() {
        let mut all = Vec::new();
        for seed in 0..300 {
            let mut sparing = Sparing::new(300, seed);
            let first = sparing.begin_anew();
            // Told 2 s after the wait, heeded 500 ms later.
            assert!(GRACE + first <= Duration::from_millis(1_600), "{first:?}");
            all.push((first, sparing.begin_anew()));
        }
        let at_once = all.iter().filter(|a| a.0 < Duration::from_millis(50)).count();
        assert!(at_once < 60, "{at_once} of 300 together");
        let mean = all.iter().map(|a| a.1.as_secs_f64()).sum::<f64>() / 300.0;
        assert!(mean > 4.0, "they go on every {mean} s");
    }

    #[test]
    fn watches_of_a_fleet_wait_longer_and_end_apart() {
        assert_eq!(Sparing::new(3, 1).wait(), WAIT);
        let mut fleet = Sparing::new(48, 1);
        let waits: Vec<Duration> = (0..10).map(|_| fleet.wait()).collect();
        assert!(waits.iter().all(|w| (Duration::from_secs(12)..=Duration::from_secs(24)).contains(w)));
        assert!(waits.iter().any(|w| w.abs_diff(waits[0]) > Duration::from_secs(1)));
    }
}
