//! Single stand-ins on sockets, against peers of the test's own.
use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use testbed::clients;
use testbed::clock::{Clock, Ns};
use testbed::endpoints::{Endpoints, StubContext};
use testbed::facts::{FactKind, FactLog, HandInResult};
use testbed::judge::{violations, Rule};
use testbed::links::Links;
use testbed::messages::MessageRegistry;
use testbed::plan::Plan;
use testbed::scheduling_lag::SchedulingLag;
use testbed::seed::Seed;
use testbed::spec::{EventKind, Spec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

const BOUND: Duration = Duration::from_secs(20);

fn ground() -> (StubContext, mpsc::UnboundedReceiver<String>) {
    let clock = Clock::new(Instant::now());
    let (void, voids) = mpsc::unbounded_channel();
    let fact_log = Arc::new(FactLog::new(clock));
    let ground = StubContext {
        clock,
        fact_log,
        lag: Arc::new(SchedulingLag::default()),
        messages: Arc::new(MessageRegistry::default()),
        void,
    };
    (ground, voids)
}

fn plan(text: &str) -> Arc<Plan> {
    Arc::new(Plan::draw(&Spec::parse(Path::new("test.toml"), text).unwrap(), Seed(3)))
}

/// An endpoint that dies refuses connections; where somebody else has its port when it is to come back, the
/// play is void, and no sender is blamed for it.
#[tokio::test]
async fn an_address_that_was_taken_meanwhile_makes_the_play_void() {
    let plan = plan("senders = 1");
    let (ground, mut voids) = ground();
    let links = Links::new(&plan, ground.clock);
    let endpoints = Endpoints::start(&plan, &links, &ground).unwrap();
    let dest = plan.endpoints[0].dest;
    let at = endpoints.address(0, 0);
    TcpStream::connect(at).await.expect("it listens");
    endpoints.begin(dest, EventKind::Down, 1.0, Ns::MAX);
    let until = Instant::now() + BOUND;
    while TcpStream::connect(at).await.is_ok() {
        assert!(Instant::now() < until, "a dead endpoint takes connections");
    }
    let squatter = TcpListener::bind(at).await.expect("its port is free");
    endpoints.end(dest, EventKind::Down);
    let why = timeout(BOUND, voids.recv()).await.expect("it is told").unwrap();
    assert!(why.contains(&at.to_string()), "{why}");
    drop(squatter);
}

/// A sender whose answers cross its clients' patience of 400 ms: each client hears once, and comes again
/// under a new id where it had stopped listening. What the sender took on then is owed to nobody.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_client_that_comes_again_just_as_its_answer_arrives_has_one_message_each_time() {
    let plan = plan("seconds = 2\nsenders = 2\n[clients]\nagain_ms = [1.0, 2.0]");
    let (ground, _voids) = ground();
    let (mut doors, mut tasks) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        doors.push(listener.local_addr().unwrap());
        tasks.push(tokio::spawn(async move {
            for number in 0u64.. {
                let (mut stream, _) = listener.accept().await.unwrap();
                tokio::spawn(async move {
                    let mut buffer = [0; 4_096];
                    while let Ok(1..) = stream.read(&mut buffer).await {
                        sleep(Duration::from_millis(396 + number % 8)).await;
                        let _ = stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").await;
                    }
                });
            }
        }));
    }
    // Nobody delivers, so their patience with what was taken on is not waited for.
    let _ = timeout(Duration::from_secs(5), clients::run(&plan, &doors, &ground, 0)).await;
    tasks.iter().for_each(|t| t.abort());
    let facts = ground.fact_log.take();
    let mut heard: HashMap<u64, Vec<HandInResult>> = HashMap::new();
    let mut by_request: HashMap<u32, Vec<u64>> = HashMap::new();
    for fact in &facts {
        match fact.kind {
            FactKind::HandedIn { message, request, .. } => {
                by_request.entry(request).or_default().push(message)
            }
            FactKind::HandInEnded { message, result } => heard.entry(message).or_default().push(result),
            _ => {}
        }
    }
    assert!(heard.values().all(|h| h.len() == 1), "a client hears once");
    let count = |h: HandInResult| heard.values().filter(|all| all[0] == h).count();
    assert!(
        count(HandInResult::Accepted) > 0 && count(HandInResult::TimedOut) > 0,
        "both sides of the edge are met"
    );
    for messages in by_request.values() {
        let taken: Vec<bool> =
            messages.iter().filter_map(|m| heard.get(m)).map(|h| h[0] == HandInResult::Accepted).collect();
        assert!(!taken.iter().rev().skip(1).any(|t| *t), "a message that was taken on came again");
    }
    // Only what a client heard is owed: the judge names those, and no other.
    let lost = violations(&plan.terms, &facts).into_iter().filter(|b| b.rule == Rule::Lost).count();
    assert_eq!(lost, count(HandInResult::Accepted));
}
