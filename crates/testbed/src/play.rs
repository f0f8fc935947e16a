//! One play: the stand-ins, the senders, the schedule, the clients; then the verdict.
use crate::clients;
use crate::clock::{Clock, Ns, MS, SECOND};
use crate::discovery::Discovery;
use crate::endpoints::{Endpoints, StubContext};
use crate::facts::{Fact, FactKind, FactLog};
use crate::judge::{self, FactIndex, Violation};
use crate::links::Links;
use crate::machine::{self, Ticks};
use crate::messages::MessageRegistry;
use crate::plan::{Plan, StepAction};
use crate::platform::list::Lifecycle;
use crate::process::{Blow, Phase, ProcessError, Sender};
use crate::scheduling_lag::{self, SchedulingLag};
use crate::score::{self, Counts, Latency, Service};
use crate::spec::{EventKind, Link, StateFolder};
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
    Finished,
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
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// Why the play says nothing of the senders, if it does not.
    pub void: Option<String>,
    /// How late the testbed itself was, in milliseconds.
    pub lateness_p99_ms: f64,
    /// About how many senders of this traffic each the machine can hold; none in simulated time.
    #[serde(rename = "holds")]
    pub max_senders: Option<usize>,
}

pub const VERDICT_SCHEMA: u32 = 1;

impl Verdict {
    pub fn kept(&self) -> bool {
        self.void.is_none() && self.violations.is_empty()
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
    let ground = StubContext {
        clock,
        fact_log: Arc::new(FactLog::new(clock)),
        lag: Arc::new(SchedulingLag::default()),
        messages: Arc::new(MessageRegistry::default()),
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
            let open = ground.messages.count_open(clock.now(), GRACE);
            progress.send_replace(match at < plan.terms.request_span {
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
        while ground.messages.count_open(clock.now(), GRACE) > 0 {
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
    progress.send_replace(Progress::Finished);
    let facts: Vec<Fact> = ground.fact_log.take().into_iter().map(|f| f.shifted(from)).collect();
    let late = ground.lag.percentile(99.0);
    let void = match voids.try_recv() {
        Ok(why) => Some(why),
        Err(_) if late > scheduling_lag::MAX_P99 => {
            let bound = scheduling_lag::MAX_P99 / MS;
            Some(format!("the testbed was late itself: p99 {} ms, {bound} ms at most", late / MS))
        }
        Err(_) => None,
    };
    let verdict = Verdict {
        void,
        lateness_p99_ms: late as f64 / MS as f64,
        max_senders: Some(machine::senders(plan.senders.len(), busy).min(holds)),
        ..verdict(plan, &facts)
    };
    Ok(Played { verdict, facts })
}

/// Judges facts of a play of this plan, as far as they tell.
pub fn verdict(plan: &Plan, facts: &[Fact]) -> Verdict {
    let case = FactIndex::new(&plan.terms, facts);
    let served = score::request_results(&case);
    Verdict {
        schema: VERDICT_SCHEMA,
        title: plan.spec.title.clone(),
        seed: plan.seed.0,
        senders: plan.senders.len(),
        counts: score::counts(&case, &served),
        service: score::service(&case, &served),
        latency: score::latency(&served),
        violations: judge::violations_of(&case),
        void: None,
        lateness_p99_ms: 0.0,
        max_senders: None,
    }
}

/// The stand-ins and the senders.
struct Stage {
    ground: StubContext,
    links: Arc<Links>,
    endpoints: Arc<Endpoints>,
    discovery: Discovery,
    senders: Vec<Sender>,
    seeds: rand_chacha::ChaCha8Rng,
}

impl Stage {
    fn set(plan: &Arc<Plan>, program: &Path, work: &Path, ground: &StubContext) -> Result<Stage, PlayError> {
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
            self.start(number as u32, StateFolder::Keep).await?;
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

    async fn start(&mut self, sender: u32, folder: StateFolder) -> Result<(), PlayError> {
        let known = self.discovery.known(sender);
        let next = (sender as usize + 1) % self.senders.len();
        let other = self.senders[next].state();
        let seed = self.seeds.next_u64();
        Ok(self.senders[sender as usize].start(folder, &other, known, seed).await?)
    }

    async fn schedule(&mut self, plan: &Plan, from: Ns) -> Result<(), PlayError> {
        for step in &plan.schedule {
            self.ground.clock.sleep_until(from + step.at).await;
            tracing::info!(at_ms = step.at / MS, action = ?step.action, "by schedule");
            self.carry_out(&step.action, from).await?;
        }
        Ok(())
    }

    async fn carry_out(&mut self, does: &StepAction, from: Ns) -> Result<(), PlayError> {
        let list = |endpoint, lifecycle| {
            self.endpoints.set(endpoint, lifecycle);
            self.discovery.change(endpoint, lifecycle);
        };
        match *does {
            StepAction::Begin { dest, kind, size, until } => {
                self.endpoints.begin(dest, kind, size, from + until)
            }
            StepAction::End { dest, kind } => self.endpoints.end(dest, kind),
            StepAction::Drain { endpoint } => list(endpoint, Lifecycle::Terminating),
            StepAction::Remove { endpoint } => list(endpoint, Lifecycle::Gone),
            StepAction::Add { endpoint } => list(endpoint, Lifecycle::Ready),
            StepAction::Kill { sender } => self.senders[sender as usize].strike(Blow::Kill),
            StepAction::Terminate { sender } => self.senders[sender as usize].strike(Blow::Terminate),
            StepAction::Pause { sender } => self.senders[sender as usize].strike(Blow::Pause),
            StepAction::Continue { sender } => self.senders[sender as usize].strike(Blow::Continue),
            StepAction::Start { sender, folder } => self.start(sender, folder).await?,
            StepAction::Link { sender, link, kind, size, begins } => {
                self.ground.fact_log.record(FactKind::LinkFault { sender, link, kind, begins });
                self.links.strike(link, sender, kind, size, begins);
            }
            StepAction::Discovery { kind: EventKind::DiscoveryMoves, .. } => {
                self.ground
                    .fact_log
                    .record(FactKind::DiscoveryFault { kind: EventKind::DiscoveryMoves, begins: true });
                self.discovery.moves()?;
                for sender in &mut self.senders {
                    sender.move_discovery(self.discovery.address(sender.number()))?;
                }
            }
            StepAction::Discovery { kind, size, begins } => {
                self.ground.fact_log.record(FactKind::DiscoveryFault { kind, begins });
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
