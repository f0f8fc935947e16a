//! One play: the stand-ins, the senders, the schedule, the clients; then the verdict.
use crate::clients;
use crate::clock::{Clock, Ns, MS, SECOND};
use crate::discovery::Discovery;
use crate::endpoints::{Endpoints, Ground};
use crate::judge::{self, Break, Case};
use crate::lateness::{self, Lateness};
use crate::ledger::{Fact, Ledger, What};
use crate::links::Links;
use crate::machine::{self, Ticks};
use crate::messages::Messages;
use crate::plan::{Does, Plan};
use crate::platform::list::Lifecycle;
use crate::process::{Blow, Phase, ProcessError, Sender};
use crate::score::{self, Counts, Latency, Service};
use crate::spec::{Folder, Kind, Link};
use crate::strangers;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Instant};

/// How long after its time the end of a message is still waited for.
const GRACE: Ns = 2 * SECOND;
/// SIGKILL comes so long after SIGTERM at the end of a play.
const ENDS_WITHIN: Duration = Duration::from_millis(3_700);
const LOOK_EVERY: Duration = Duration::from_millis(50);

#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    #[error("the platform's stand-ins can't listen: {0}")]
    Listen(#[from] io::Error),
    #[error(transparent)]
    Process(#[from] ProcessError),
    #[error(
        "{senders} senders need more descriptors than there are: about {holds} can be played (ulimit -n)"
    )]
    Descriptors { senders: usize, holds: usize },
    #[error("the machine can't be measured: {0}")]
    Machine(io::Error),
}

/// How far a play is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    Starting {
        ready: usize,
    },
    /// Clients hand messages in: since when, on the play's clock.
    Playing {
        at: Ns,
    },
    /// Messages that were taken on and have no end yet.
    Ending {
        open: usize,
    },
    Over,
}

/// The outcome of a play, as `--json` prints it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Version of this form.
    pub schema: u32,
    pub title: String,
    pub seed: u64,
    pub senders: usize,
    pub counts: Counts,
    pub service: Service,
    pub latency: Latency,
    /// All breaks of rules; none if all promises were kept.
    pub breaks: Vec<Break>,
    /// Why the play says nothing of the senders, if it does not.
    pub void: Option<String>,
    /// How late the testbed itself was, in milliseconds.
    pub lateness_p99_ms: f64,
    /// About how many senders of this traffic each the machine can hold; none in simulated time.
    pub holds: Option<usize>,
}

pub const SCHEMA: u32 = 1;

impl Verdict {
    pub fn kept(&self) -> bool {
        self.void.is_none() && self.breaks.is_empty()
    }
}

pub struct Played {
    pub verdict: Verdict,
    /// From the moment at which clients began.
    pub facts: Vec<Fact>,
}

/// Plays a plan with the sender at `program`; senders keep their folders and logs in `work`.
pub async fn play(
    plan: &Arc<Plan>,
    program: &Path,
    work: &Path,
    progress: &watch::Sender<Progress>,
) -> Result<Played, PlayError> {
    let holds = machine::senders_by_descriptors(plan.endpoints.len());
    if plan.senders.len() > holds {
        return Err(PlayError::Descriptors { senders: plan.senders.len(), holds });
    }
    let clock = Clock::new(Instant::now());
    let (void, mut voids) = mpsc::unbounded_channel();
    let ground = Ground {
        clock,
        ledger: Arc::new(Ledger::new(clock)),
        lateness: Arc::new(Lateness::default()),
        messages: Arc::new(Messages::default()),
        void,
    };
    let mut stage = Stage::set(plan, program, work, &ground)?;
    stage.start_all(Duration::from_secs_f64(plan.spec.program.ready_s), progress).await?;
    let from = clock.now();
    let before = Ticks::now().map_err(PlayError::Machine)?;
    // Strangers come from anywhere, and not over the link of the sender's own clients.
    let direct: Vec<_> = stage.senders.iter().map(Sender::address).collect();
    let front = |s: &Sender| stage.links.front(Link::Clients, s.number(), s.address());
    let doors = stage.senders.iter().map(front).collect::<Result<Vec<_>, _>>()?;
    let handing_in = async {
        tokio::join!(clients::run(plan, &doors, &ground, from), strangers::run(plan, &direct, &ground, from),);
    };
    let watching = async {
        loop {
            let at = clock.now() - from;
            let open = ground.messages.open(clock.now(), GRACE);
            progress.send_replace(match at < plan.terms.asking {
                true => Progress::Playing { at },
                false => Progress::Ending { open },
            });
            sleep(LOOK_EVERY).await;
        }
    };
    // The schedule may bring a sender back after the last message was asked for.
    let all = async {
        let (scheduled, ()) = tokio::join!(stage.schedule(plan, from), handing_in);
        scheduled?;
        while ground.messages.open(clock.now(), GRACE) > 0 {
            sleep(LOOK_EVERY).await;
        }
        Ok::<(), PlayError>(())
    };
    tokio::select! {
        all = all => all?,
        () = watching => {}
    }
    let busy = Ticks::now().map_err(PlayError::Machine)?.busy_since(&before);
    stage.end().await;
    progress.send_replace(Progress::Over);
    let facts: Vec<Fact> = ground.ledger.take().into_iter().map(|f| f.shifted(from)).collect();
    let late = ground.lateness.percentile(99.0);
    let void = match voids.try_recv() {
        Ok(why) => Some(why),
        Err(_) if late > lateness::BOUND => {
            let bound = lateness::BOUND / MS;
            Some(format!("the testbed was late itself: p99 {} ms, {bound} ms at most", late / MS))
        }
        Err(_) => None,
    };
    let verdict = Verdict {
        void,
        lateness_p99_ms: late as f64 / MS as f64,
        holds: Some(machine::senders(plan.senders.len(), busy).min(holds)),
        ..verdict(plan, &facts)
    };
    Ok(Played { verdict, facts })
}

/// Judges facts of a play of this plan, as far as they tell.
pub fn verdict(plan: &Plan, facts: &[Fact]) -> Verdict {
    let case = Case::new(&plan.terms, facts);
    let served = score::served(&case);
    Verdict {
        schema: SCHEMA,
        title: plan.spec.title.clone(),
        seed: plan.seed.0,
        senders: plan.senders.len(),
        counts: score::counts(&case, &served),
        service: score::service(&case, &served),
        latency: score::latency(&served),
        breaks: judge::breaks_of(&case),
        void: None,
        lateness_p99_ms: 0.0,
        holds: None,
    }
}

/// The stand-ins and the senders.
struct Stage {
    ground: Ground,
    links: Arc<Links>,
    endpoints: Arc<Endpoints>,
    discovery: Discovery,
    senders: Vec<Sender>,
    seeds: rand_chacha::ChaCha8Rng,
}

impl Stage {
    fn set(plan: &Arc<Plan>, program: &Path, work: &Path, ground: &Ground) -> Result<Stage, PlayError> {
        let links = Arc::new(Links::new(plan, ground.clock));
        let endpoints = Arc::new(Endpoints::start(plan, &links, ground)?);
        let discovery = Discovery::start(plan, &endpoints, &links, ground)?;
        let sender = |n| Sender::new(plan, n, (program, work), discovery.address(n), ground);
        let senders = (0..plan.senders.len() as u32).map(sender).collect::<Result<_, _>>()?;
        Ok(Stage {
            ground: ground.clone(),
            links,
            endpoints,
            discovery,
            senders,
            seeds: plan.seed.stream("processes", 0),
        })
    }

    /// Starts all senders, and waits until they are ready, or for so long.
    async fn start_all(
        &mut self,
        within: Duration,
        progress: &watch::Sender<Progress>,
    ) -> Result<(), PlayError> {
        for number in 0..self.senders.len() {
            self.start(number as u32, Folder::Keep).await?;
        }
        let until = Instant::now() + within;
        for (ready, sender) in self.senders.iter().enumerate() {
            progress.send_replace(Progress::Starting { ready });
            // One that ended or is late is the judge's matter.
            let mut phase = sender.phase();
            let _ = tokio::time::timeout_at(until, phase.wait_for(|p| *p != Phase::Starting)).await;
        }
        Ok(())
    }

    async fn start(&mut self, sender: u32, folder: Folder) -> Result<(), PlayError> {
        let known = self.discovery.known(sender);
        let next = (sender as usize + 1) % self.senders.len();
        let other = self.senders[next].state();
        let seed = self.seeds.next_u64();
        Ok(self.senders[sender as usize].start(folder, &other, known, seed).await?)
    }

    async fn schedule(&mut self, plan: &Plan, from: Ns) -> Result<(), PlayError> {
        for step in &plan.schedule {
            self.ground.clock.sleep_until(from + step.at).await;
            tracing::info!(at_ms = step.at / MS, does = ?step.does, "by schedule");
            self.carry_out(&step.does, from).await?;
        }
        Ok(())
    }

    async fn carry_out(&mut self, does: &Does, from: Ns) -> Result<(), PlayError> {
        let list = |endpoint, lifecycle| {
            self.endpoints.set(endpoint, lifecycle);
            self.discovery.change(endpoint, lifecycle);
        };
        match *does {
            Does::Begin { dest, kind, size, until } => self.endpoints.begin(dest, kind, size, from + until),
            Does::End { dest, kind } => self.endpoints.end(dest, kind),
            Does::Drain { endpoint } => list(endpoint, Lifecycle::Terminating),
            Does::Gone { endpoint } => list(endpoint, Lifecycle::Gone),
            Does::Add { endpoint } => list(endpoint, Lifecycle::Ready),
            Does::Kill { sender } => self.senders[sender as usize].strike(Blow::Kill),
            Does::Terminate { sender } => self.senders[sender as usize].strike(Blow::Terminate),
            Does::Pause { sender } => self.senders[sender as usize].strike(Blow::Pause),
            Does::Continue { sender } => self.senders[sender as usize].strike(Blow::Continue),
            Does::Start { sender, folder } => self.start(sender, folder).await?,
            Does::Link { sender, link, kind, size, begins } => {
                self.ground.ledger.note(What::Link { sender, link, kind, begins });
                self.links.strike(link, sender, kind, size, begins);
            }
            Does::Discovery { kind: Kind::DiscoveryMoves, .. } => {
                self.ground.ledger.note(What::Discovery { kind: Kind::DiscoveryMoves, begins: true });
                self.discovery.moves()?;
                for sender in &mut self.senders {
                    sender.move_discovery(self.discovery.address(sender.number()))?;
                }
            }
            Does::Discovery { kind, size, begins } => {
                self.ground.ledger.note(What::Discovery { kind, begins });
                self.discovery.trouble(kind, size, begins);
            }
        }
        Ok(())
    }

    /// Ends all senders, as a planned restart does, and waits until they have ended.
    async fn end(&mut self) {
        for sender in &mut self.senders {
            sender.strike(Blow::Continue);
            sender.strike(Blow::Terminate);
        }
        let until = Instant::now() + ENDS_WITHIN;
        for sender in &mut self.senders {
            let mut phase = sender.phase();
            if tokio::time::timeout_at(until, phase.wait_for(|p| *p == Phase::Down)).await.is_err() {
                sender.strike(Blow::Kill);
                let _ = timeout(ENDS_WITHIN, phase.wait_for(|p| *p == Phase::Down)).await;
            }
        }
    }
}
