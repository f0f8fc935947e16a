//! How soon the sender stops calling a drained endpoint where lists are pushed: the change counts as known
//! from the moment when discovery's agent has it and can be reached, whatever became of earlier requests.
//!
//! Seeds are printed; `SEED=n` sets the first one and `SEEDS=n` how many are played.
#[path = "peers/agent.rs"]
mod agent;
#[path = "peers/background.rs"]
mod background;
mod peers;
use agent::*;
use background::Background;
use fastrand::Rng;
use peers::*;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// How long after a sender knows that an endpoint drains it may still begin calls to it
/// (`Safety.StopSendingWithinNs`).
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// By how much each time limit is longer on sockets (PROTOCOL, The rules on sockets).
const SLACK: Duration = Duration::from_millis(50);
/// When a change counts as known after SIGHUP (TERMS, Reloading the configuration).
const KNOWN_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// How long calls are watched after the change counts as known.
const WATCHED_AFTER_CHANGE: Duration = Duration::from_secs(4);
/// Traffic before the fault begins.
const WARM_UP: Duration = Duration::from_millis(400);
/// How long a fault lasts, in ms: the pauses and timeouts of the sender end at any point of it.
const FAULT_MS: std::ops::Range<u64> = 200..6_500;
const MESSAGE_PAUSE: Duration = Duration::from_millis(15);
const CLIENTS: usize = 2;
const MESSAGE_TIME_MS: u64 = 8_000;
/// Senders that are tested at the same time.
const PARALLEL_CASES: usize = 6;
const DESTINATION: u64 = 7;

/// Starts clients that hand in messages until the result is dropped.
fn start_traffic(sender: SocketAddr) -> Background {
    Background::start(CLIENTS, move |stop| hand_in_until(stop, sender))
}

/// Hands in messages one after the other.
fn hand_in_until(stop: &AtomicBool, sender: SocketAddr) {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    while !stop.load(Ordering::SeqCst) {
        let id = format!("message-{}", NEXT.fetch_add(1, Ordering::SeqCst));
        let _ = send_request(sender, &message("alert", &id, DESTINATION, MESSAGE_TIME_MS, b"x"));
        sleep(MESSAGE_PAUSE);
    }
}

/// A sender with two endpoints of one destination, of which `drained` is to drain.
struct Setup {
    agent: Agent,
    node: Node,
    drained: Peer,
    _kept: Peer,
}

impl Setup {
    fn start() -> Setup {
        Setup::start_with(|_| {})
    }

    fn start_with(change: impl Fn(&mut Value)) -> Setup {
        Setup::start_with_list(0, change)
    }

    /// Starts with this many more endpoints on the list, of other destinations.
    fn start_with_list(others: u64, change: impl Fn(&mut Value)) -> Setup {
        let (kept, drained) = (Peer::new(|_| ok()), Peer::new(|_| ok()));
        let mut listed =
            vec![ready("kept", kept.address, DESTINATION), ready("drained", drained.address, DESTINATION)];
        let other = |n| ready(&format!("other-{n}"), kept.address, DESTINATION + 1 + n);
        listed.extend((0..others).map(other));
        let agent = Agent::new(listed);
        let mut node = Node::prepare(agent.address(), json!([]), |config| {
            config["settings"]["Safety"]["StopSendingWithinNs"] = json!(DRAIN_GRACE.as_nanos() as u64);
            change(config);
        });
        node.launch();
        node.wait_until_ready();
        Setup { agent, node, drained, _kept: kept }
    }

    /// Moves the agent and tells the sender. Returns when the sender was told.
    fn reload(&mut self) -> Instant {
        self.agent.move_away();
        self.node.config["discovery"] = json!(self.agent.address().to_string());
        std::fs::write(self.node.folder.join("config.json"), self.node.config.to_string()).unwrap();
        let at = Instant::now();
        self.node.reload();
        at
    }

    /// Watches the calls after the drain counts as known. Returns what is wrong with them.
    fn watch_calls(&self, known: Instant) -> Option<String> {
        sleep((known + WATCHED_AFTER_CHANGE).saturating_duration_since(Instant::now()));
        let calls = self.drained.seen();
        if calls.iter().all(|call| call.at > known) {
            return Some("the endpoint was not called before it drained".into());
        }
        let latest = calls.iter().filter_map(|call| call.at.checked_duration_since(known)).max()?;
        (latest > DRAIN_GRACE + SLACK)
            .then(|| format!("called {latest:?} after the drain was known; its log:\n{}", self.node.log()))
    }
}

/// What happens to the agent before an endpoint begins to drain.
#[derive(Clone, Copy, Debug)]
struct Case {
    fault: AgentFault,
    /// How long the fault lasts. The endpoint drains in the moment in which it ends.
    lasts: Duration,
    /// Whether the agent moves as the fault begins, and the sender is told by SIGHUP.
    reload: bool,
}

impl Case {
    /// Plays the case with a sender of its own. Returns what went wrong.
    fn play(self) -> Option<String> {
        let mut setup = Setup::start();
        let _traffic = start_traffic(setup.node.address);
        sleep(WARM_UP);
        setup.agent.set_fault(self.fault);
        let reloaded = self.reload.then(|| setup.reload());
        sleep(self.lasts);
        let reachable = setup.agent.change_and_recover("drained", "Terminating");
        let known = reloaded.map_or(reachable, |at| reachable.max(at + KNOWN_AFTER_RELOAD));
        setup.watch_calls(known)
    }
}

/// Plays cases at the same time and returns those that went wrong.
fn failures<C: std::fmt::Debug + Copy + Sync>(
    cases: &[C],
    play: impl Fn(C) -> Option<String> + Sync,
) -> Vec<String> {
    let (next, failures) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    scope(|threads| {
        for _ in 0..PARALLEL_CASES {
            threads.spawn(|| {
                while let Some(&case) = cases.get(next.fetch_add(1, Ordering::SeqCst)) {
                    if let Some(what) = play(case) {
                        failures.lock().unwrap().push(format!("{case:?}: {what}"));
                    }
                }
            });
        }
    });
    failures.into_inner().unwrap()
}

fn assert_none(failures: &[String]) {
    assert!(failures.is_empty(), "{} cases went wrong:\n{}", failures.len(), failures.join("\n"));
}

/// Reads a number from an environment variable.
fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |value| value.parse().expect("a number"))
}

/// Returns a random number generator for each seed that is to be played.
fn seeds(default_count: u64) -> impl Iterator<Item = (u64, Rng)> {
    let first = env_number("SEED", 1);
    let seeds = first..first + env_number("SEEDS", default_count);
    println!("seeds {seeds:?}");
    seeds.map(|seed| (seed, Rng::with_seed(seed)))
}

/// Guards against calls to a drained endpoint while the sender waits for an answer, or pauses, of an agent
/// that was silent and answers again: the agent was silent for 5.2 s from a SIGHUP on.
#[test]
fn drain_is_known_when_agent_answers_again_after_reload() {
    let lasts = [5_195, 4_400, 4_800, 5_600, 6_000, 6_400].map(Duration::from_millis);
    let cases = lasts.map(|lasts| Case { fault: AgentFault::Silent, lasts, reload: true });
    assert_none(&failures(&cases, Case::play));
}

/// Guards against the same after any other fault of the agent, with and without a SIGHUP.
#[test]
fn drain_is_known_when_agent_recovers_from_any_fault() {
    let mut cases = Vec::new();
    for (seed, mut random) in seeds(1) {
        for fault in AgentFault::ALL {
            let lasts = Duration::from_millis(random.u64(FAULT_MS));
            cases.extend([false, true].map(|reload| Case { fault, lasts, reload }));
        }
        println!("seed {seed}: {:?}", &cases[cases.len() - 2 * AgentFault::ALL.len()..]);
    }
    assert_none(&failures(&cases, Case::play));
}

/// Guards against calls to a drained endpoint when the open watch has fallen silent while the agent answers
/// others: what the agent has counts as known whether or not a watch is open.
#[test]
fn drain_is_known_when_open_watch_is_silent() {
    let play = |quiet: Duration| {
        let setup = Setup::start();
        let _traffic = start_traffic(setup.node.address);
        sleep(WARM_UP + quiet);
        setup.agent.silence_open_watches();
        let known = setup.agent.change_and_recover("drained", "Terminating");
        setup.watch_calls(known)
    };
    let cases: Vec<Duration> =
        seeds(3).map(|(_, mut random)| Duration::from_millis(random.u64(0..1_500))).collect();
    assert_none(&failures(&cases, play));
}

/// Guards against calls to a drained endpoint while a long list, with which the open watch is answered, has
/// fallen silent in its middle: it put off younger calls for 2.5 s, whatever the grace of drains.
#[test]
fn drain_is_known_when_long_list_falls_silent_in_its_middle() {
    /// Lists of over 64 KiB are read as they come.
    const OTHERS: u64 = 800;
    let play = |(quiet, until_change, further): (Duration, Duration, ChangeAnswer)| {
        let setup = Setup::start_with_list(OTHERS, |_| {});
        let _traffic = start_traffic(setup.node.address);
        sleep(WARM_UP + quiet);
        setup.agent.break_off_whole_list(further);
        sleep(until_change);
        let known = setup.agent.change_and_recover("drained", "Terminating");
        setup.watch_calls(known)
    };
    let mut cases = Vec::new();
    for (_, mut random) in seeds(3) {
        let mut drawn = |range| Duration::from_millis(random.u64(range));
        let (quiet, until_change) = (drawn(0..1_500), drawn(0..600));
        cases.extend(
            [ChangeAnswer::Changes, ChangeAnswer::WholeList].map(|further| (quiet, until_change, further)),
        );
    }
    assert_none(&failures(&cases, play));
}

/// Guards against calls that are dropped for younger ones before a slow agent has answered any of them.
#[test]
fn drain_is_known_from_slow_agent() {
    let play = |work: Duration| {
        let setup = Setup::start();
        let _traffic = start_traffic(setup.node.address);
        setup.agent.set_work(work);
        sleep(WARM_UP);
        // The change can be read only after a call that begins within the interval and takes as long.
        let known = setup.agent.change_and_recover("drained", "Terminating") + work;
        setup.watch_calls(known)
    };
    let cases = [300, 800, 1_500, 2_400, 4_000].map(Duration::from_millis);
    assert_none(&failures(&cases, play));
}

/// Guards against calls to discovery that find no descriptor: idle clients have taken all that they may, and
/// the agent is silent under as many calls as may be out.
#[test]
fn drain_is_known_while_idle_clients_fill_descriptors() {
    const DESCRIPTORS: usize = 64;
    let setup = Setup::start_with(|config| config["limits"]["sockets"] = json!(DESCRIPTORS));
    setup.node.limit_descriptors(DESCRIPTORS);
    let _traffic = start_traffic(setup.node.address);
    sleep(WARM_UP);
    setup.agent.set_fault(AgentFault::Silent);
    let _idle: Vec<TcpStream> =
        (0..2 * DESCRIPTORS).filter_map(|_| TcpStream::connect(setup.node.address).ok()).collect();
    sleep(Duration::from_secs(2));
    let known = setup.agent.change_and_recover("drained", "Terminating");
    assert_eq!(setup.watch_calls(known), None);
    assert!(!setup.node.log().contains("os error 24"), "{}", setup.node.log());
}
