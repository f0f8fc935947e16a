//! Stub servers and clients on sockets, against peers of the tests.
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

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn context() -> (StubContext, mpsc::UnboundedReceiver<String>) {
    let clock = Clock::new(Instant::now());
    let (void, voids) = mpsc::unbounded_channel();
    let fact_log = Arc::new(FactLog::new(clock));
    let context = StubContext {
        clock,
        fact_log,
        lag: Arc::new(SchedulingLag::default()),
        messages: Arc::new(MessageRegistry::default()),
        void,
    };
    (context, voids)
}

fn plan(text: &str) -> Arc<Plan> {
    Arc::new(Plan::draw(&Spec::parse(Path::new("test.toml"), text).unwrap(), Seed(3)))
}

/// An endpoint that goes down stops listening. If another process has taken its port when it is to return,
/// the play is void, and no sender is blamed for it.
#[tokio::test]
async fn play_is_void_if_endpoint_address_is_taken() {
    let plan = plan("senders = 1");
    let (context, mut voids) = context();
    let links = Links::new(&plan, context.clock);
    let endpoints = Endpoints::start(&plan, &links, &context).unwrap();
    let dest = plan.endpoints[0].dest;
    let at = endpoints.address(0, 0);
    TcpStream::connect(at).await.expect("the endpoint listens");
    endpoints.begin_fault(dest, EventKind::Down, 1.0, Ns::MAX);
    let until = Instant::now() + TEST_TIMEOUT;
    while TcpStream::connect(at).await.is_ok() {
        assert!(Instant::now() < until, "an endpoint that is down accepts connections");
    }
    let other_listener = TcpListener::bind(at).await.expect("the port is free");
    endpoints.end_fault(dest, EventKind::Down);
    let why = timeout(TEST_TIMEOUT, voids.recv()).await.expect("the play becomes void").unwrap();
    assert!(why.contains(&at.to_string()), "{why}");
    drop(other_listener);
}

/// A stub sender answers at about the clients' timeout of 400 ms. Each hand-in has one result, and a message
/// that got no answer in time is handed in again under a new id. Messages accepted after the timeout are owed
/// to no client.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_at_client_timeout_counts_once() {
    let plan = plan("seconds = 2\nsenders = 2\n[clients]\nagain_ms = [1.0, 2.0]");
    let (context, _voids) = context();
    let (mut addresses, mut tasks) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
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
    // Nothing is delivered, so the test does not wait until the clients of accepted messages finish.
    let _ = timeout(Duration::from_secs(5), clients::run(&plan, &addresses, &context, 0)).await;
    tasks.iter().for_each(|t| t.abort());
    let facts = context.fact_log.take();
    let mut results: HashMap<u64, Vec<HandInResult>> = HashMap::new();
    let mut by_request: HashMap<u32, Vec<u64>> = HashMap::new();
    for fact in &facts {
        match fact.kind {
            FactKind::HandedIn { message, request, .. } => {
                by_request.entry(request).or_default().push(message)
            }
            FactKind::HandInEnded { message, result } => results.entry(message).or_default().push(result),
            _ => {}
        }
    }
    assert!(results.values().all(|h| h.len() == 1), "each hand-in has one result");
    let count = |wanted: HandInResult| results.values().filter(|all| all[0] == wanted).count();
    assert!(
        count(HandInResult::Accepted) > 0 && count(HandInResult::TimedOut) > 0,
        "answers arrive both before and after the timeout"
    );
    for messages in by_request.values() {
        let taken: Vec<bool> =
            messages.iter().filter_map(|m| results.get(m)).map(|h| h[0] == HandInResult::Accepted).collect();
        assert!(
            !taken.iter().rev().skip(1).any(|t| *t),
            "a message was handed in again after it was accepted"
        );
    }
    // The judge reports the messages of which a client learned that they were accepted, and no others.
    let lost = violations(&plan.terms, &facts).into_iter().filter(|b| b.rule == Rule::Lost).count();
    assert_eq!(lost, count(HandInResult::Accepted));
}
