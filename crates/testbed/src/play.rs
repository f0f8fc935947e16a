//! Runs a play: starts the stub servers and the senders, follows the schedule, runs the clients, and judges
//! the facts.
use crate::clients;
use crate::clock::{Clock, Ns, MS, SECOND};
use crate::discovery::Discovery;
use crate::endpoints::{Endpoints, StubContext};
use crate::facts::{Fact, FactKind, FactLog};
use crate::faulty_clients;
use crate::judge::{self, FactIndex, Violation};
use crate::links::Links;
use crate::machine::{self, ProcessorTicks};
use crate::messages::MessageRegistry;
use crate::plan::{Plan, StepAction};
use crate::platform::list::Lifecycle;
use crate::process::{Phase, ProcessError, ProcessSignal, Sender};
use crate::scheduling_lag::{self, SchedulingLag};
use crate::score::{self, Counts, Latency, Service};
use crate::spec::{EventKind, Link, StateFolder};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Instant};

/// How long the play waits for the end of a message after its deadline.
const END_GRACE: Ns = 2 * SECOND;
/// Time from SIGTERM to SIGKILL at the end of a play (as `KILL_DELAY` in `plan`), and the longest wait for
/// the exit of a process after SIGKILL.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3_700);
/// Interval at which progress is reported, and at which the play checks whether all messages have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a play can't be run.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    #[error("the stub servers can't listen: {0}")]
    Listen(#[from] io::Error),
    #[error(transparent)]
    Process(#[from] ProcessError),
    #[error(
        "{senders} senders need more file descriptors than the limit allows (ulimit -n); \
         it is enough for about {max_senders} senders"
    )]
    Descriptors { senders: usize, max_senders: usize },
    #[error("the machine can't be measured: {0}")]
    Machine(io::Error),
}

/// How far a play is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Senders are starting; `ready` of them are ready, have ended or have timed out.
    Starting {
        ready: usize,
    },
    /// Clients hand in messages; `at` is the time since they began.
    Playing {
        at: Ns,
    },
    /// The time for first hand-ins is over. `open` accepted messages have not ended and are still waited for.
    Ending {
        open: usize,
    },
    Finished,
}

/// The outcome of a play, as `cairnpulley` prints it with `--json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Version of this format.
    pub schema: u32,
    pub title: String,
    pub seed: u64,
    pub senders: usize,
    pub counts: Counts,
    /// The score G and its parts.
    pub service: Service,
    pub latency: Latency,
    /// All violations of rules.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// Why the play is void, that is, its result doesn't depend on the senders alone. `None` if it is valid.
    pub void: Option<String>,
    /// 99th percentile of the delay of the testbed's own actions behind their planned times, in milliseconds;
    /// 0 in simulated time.
    pub lateness_p99_ms: f64,
    /// Estimate of the number of senders, each with the mean traffic of these, that the machine can run;
    /// `None` in simulated time.
    #[serde(rename = "holds")]
    pub max_senders: Option<usize>,
}

/// Version of the format of a verdict.
pub const VERDICT_SCHEMA: u32 = 1;

impl Verdict {
    /// Returns true if the play is valid and no rule was violated.
    pub fn kept(&self) -> bool {
        self.void.is_none() && self.violations.is_empty()
    }
}

/// The outcome of a play with its facts.
pub struct Played {
    pub verdict: Verdict,
    /// Time 0 is when the clients began.
    pub facts: Vec<Fact>,
}

/// Plays a plan with the sender binary at `program`. Senders have their folders and logs in `work`.
pub async fn play(
    plan: &Arc<Plan>,
    program: &Path,
    work: &Path,
    progress: &watch::Sender<Progress>,
) -> Result<Played, PlayError> {
    let max_senders = machine::sender_capacity_by_descriptors(plan.endpoints.len());
    if plan.senders.len() > max_senders {
        return Err(PlayError::Descriptors { senders: plan.senders.len(), max_senders });
    }
    let clock = Clock::new(Instant::now());
    let (void, mut void_reasons) = mpsc::unbounded_channel();
    let context = StubContext {
        clock,
        fact_log: Arc::new(FactLog::new(clock)),
        lag: Arc::new(SchedulingLag::default()),
        messages: Arc::new(MessageRegistry::default()),
        void,
    };
    let mut environment = Environment::new(plan, program, work, &context)?;
    environment.start_all(Duration::from_secs_f64(plan.spec.program.ready_s), progress).await?;
    let start = clock.now();
    let before = ProcessorTicks::now().map_err(PlayError::Machine)?;
    // Faulty clients connect to a sender directly, not over the link of its clients.
    let sender_addresses: Vec<_> = environment.senders.iter().map(Sender::address).collect();
    let client_address =
        |s: &Sender| environment.links.connect_address(Link::Clients, s.number(), s.address());
    let client_addresses = environment.senders.iter().map(client_address).collect::<Result<Vec<_>, _>>()?;
    let traffic = async {
        tokio::join!(
            clients::run(plan, &client_addresses, &context, start),
            faulty_clients::run(plan, &sender_addresses, &context, start),
        );
    };
    let report_progress = async {
        loop {
            let at = clock.now() - start;
            let open = context.messages.count_open(clock.now(), END_GRACE);
            progress.send_replace(match at < plan.terms.request_span {
                true => Progress::Playing { at },
                false => Progress::Ending { open },
            });
            sleep(POLL_INTERVAL).await;
        }
    };
    // Also waits for the end of the schedule, which may start a sender again after the last request.
    let finish = async {
        let (scheduled, ()) = tokio::join!(environment.run_schedule(plan, start), traffic);
        scheduled?;
        while context.messages.count_open(clock.now(), END_GRACE) > 0 {
            sleep(POLL_INTERVAL).await;
        }
        Ok::<(), PlayError>(())
    };
    tokio::select! {
        finished = finish => finished?,
        () = report_progress => {}
    }
    let busy = ProcessorTicks::now().map_err(PlayError::Machine)?.busy_since(&before);
    environment.shut_down().await;
    progress.send_replace(Progress::Finished);
    let facts: Vec<Fact> = context.fact_log.take().into_iter().map(|f| f.shifted(start)).collect();
    let lag = context.lag.percentile(99.0);
    let void = match void_reasons.try_recv() {
        Ok(why) => Some(why),
        Err(_) if lag > scheduling_lag::MAX_P99 => {
            let bound = scheduling_lag::MAX_P99 / MS;
            Some(format!(
                "the testbed itself was late: p99 {} ms, and at most {bound} ms is allowed",
                lag / MS
            ))
        }
        Err(_) => None,
    };
    let verdict = Verdict {
        void,
        lateness_p99_ms: lag as f64 / MS as f64,
        max_senders: Some(machine::sender_capacity(plan.senders.len(), busy).min(max_senders)),
        ..verdict(plan, &facts)
    };
    Ok(Played { verdict, facts })
}

/// Returns the verdict on the facts of a play, without what is measured on the machine: `void`,
/// `lateness_p99_ms` and `max_senders`.
pub fn verdict(plan: &Plan, facts: &[Fact]) -> Verdict {
    let index = FactIndex::new(&plan.terms, facts);
    let results = score::request_results(&index);
    Verdict {
        schema: VERDICT_SCHEMA,
        title: plan.spec.title.clone(),
        seed: plan.seed.0,
        senders: plan.senders.len(),
        counts: score::counts(&index, &results),
        service: score::service(&index, &results),
        latency: score::latency(&results),
        violations: judge::violations_of(&index),
        void: None,
        lateness_p99_ms: 0.0,
        max_senders: None,
    }
}

/// The stub servers and the senders of a play.
struct Environment {
    context: StubContext,
    links: Arc<Links>,
    endpoints: Arc<Endpoints>,
    discovery: Discovery,
    senders: Vec<Sender>,
    /// Random stream for the seeds of senders' processes.
    seeds: rand_chacha::ChaCha8Rng,
}

impl Environment {
    /// Starts the stub servers and prepares the senders' folders.
    fn new(
        plan: &Arc<Plan>,
        program: &Path,
        work: &Path,
        context: &StubContext,
    ) -> Result<Environment, PlayError> {
        let links = Arc::new(Links::new(plan, context.clock));
        let endpoints = Arc::new(Endpoints::start(plan, &links, context)?);
        let discovery = Discovery::start(plan, &endpoints, &links, context)?;
        let sender = |n| Sender::new(plan, n, (program, work), discovery.address(n), context);
        let senders = (0..plan.senders.len() as u32).map(sender).collect::<Result<_, _>>()?;
        Ok(Environment {
            context: context.clone(),
            links,
            endpoints,
            discovery,
            senders,
            seeds: plan.seed.stream("processes", 0),
        })
    }

    /// Starts all senders and waits until they are ready, at most for `ready_timeout`.
    async fn start_all(
        &mut self,
        ready_timeout: Duration,
        progress: &watch::Sender<Progress>,
    ) -> Result<(), PlayError> {
        for number in 0..self.senders.len() {
            self.start(number as u32, StateFolder::Keep).await?;
        }
        let until = Instant::now() + ready_timeout;
        for (ready, sender) in self.senders.iter().enumerate() {
            progress.send_replace(Progress::Starting { ready });
            // A process that has ended or is not ready in time is reported by the judge.
            let mut phase = sender.phase();
            let _ = tokio::time::timeout_at(until, phase.wait_for(|p| *p != Phase::Starting)).await;
        }
        Ok(())
    }

    /// Starts a process of a sender.
    async fn start(&mut self, sender: u32, folder: StateFolder) -> Result<(), PlayError> {
        let known = self.discovery.known(sender);
        // For `StateFolder::Another`: the state folder that is copied in place of the sender's own.
        let next = (sender as usize + 1) % self.senders.len();
        let other = self.senders[next].state_folder();
        let seed = self.seeds.next_u64();
        Ok(self.senders[sender as usize].start(folder, &other, known, seed).await?)
    }

    /// Carries out each step of the schedule at its time after `start`.
    async fn run_schedule(&mut self, plan: &Plan, start: Ns) -> Result<(), PlayError> {
        for step in &plan.schedule {
            self.context.clock.sleep_until(start + step.at).await;
            tracing::info!(at_ms = step.at / MS, action = ?step.action, "scheduled action");
            self.apply(&step.action, start).await?;
        }
        Ok(())
    }

    async fn apply(&mut self, action: &StepAction, start: Ns) -> Result<(), PlayError> {
        let set_lifecycle = |endpoint, lifecycle| {
            self.endpoints.set_lifecycle(endpoint, lifecycle);
            self.discovery.change_endpoint(endpoint, lifecycle);
        };
        match *action {
            StepAction::Begin { dest, kind, size, until } => {
                self.endpoints.begin_fault(dest, kind, size, start + until)
            }
            StepAction::End { dest, kind } => self.endpoints.end_fault(dest, kind),
            StepAction::Drain { endpoint } => set_lifecycle(endpoint, Lifecycle::Terminating),
            StepAction::Remove { endpoint } => set_lifecycle(endpoint, Lifecycle::Gone),
            StepAction::Add { endpoint } => set_lifecycle(endpoint, Lifecycle::Ready),
            StepAction::Kill { sender } => self.senders[sender as usize].send_signal(ProcessSignal::Kill),
            StepAction::Terminate { sender } => {
                self.senders[sender as usize].send_signal(ProcessSignal::Terminate)
            }
            StepAction::Pause { sender } => self.senders[sender as usize].send_signal(ProcessSignal::Pause),
            StepAction::Continue { sender } => {
                self.senders[sender as usize].send_signal(ProcessSignal::Continue)
            }
            StepAction::Start { sender, folder } => self.start(sender, folder).await?,
            StepAction::Link { sender, link, kind, size, begins } => {
                self.context.fact_log.record(FactKind::LinkFault { sender, link, kind, begins });
                self.links.apply_fault(link, sender, kind, size, begins);
            }
            StepAction::Discovery { kind: EventKind::DiscoveryMoves, .. } => {
                self.context
                    .fact_log
                    .record(FactKind::DiscoveryFault { kind: EventKind::DiscoveryMoves, begins: true });
                self.discovery.move_address()?;
                for sender in &mut self.senders {
                    sender.move_discovery(self.discovery.address(sender.number()))?;
                }
            }
            StepAction::Discovery { kind, size, begins } => {
                self.context.fact_log.record(FactKind::DiscoveryFault { kind, begins });
                self.discovery.set_fault(kind, size, begins);
            }
        }
        Ok(())
    }

    /// Ends all senders with SIGTERM, and with SIGKILL after `SHUTDOWN_TIMEOUT`, and waits until they have
    /// ended.
    async fn shut_down(&mut self) {
        for sender in &mut self.senders {
            sender.send_signal(ProcessSignal::Continue);
            sender.send_signal(ProcessSignal::Terminate);
        }
        let until = Instant::now() + SHUTDOWN_TIMEOUT;
        for sender in &mut self.senders {
            let mut phase = sender.phase();
            if tokio::time::timeout_at(until, phase.wait_for(|p| *p == Phase::Down)).await.is_err() {
                sender.send_signal(ProcessSignal::Kill);
                let _ = timeout(SHUTDOWN_TIMEOUT, phase.wait_for(|p| *p == Phase::Down)).await;
            }
        }
    }
}
