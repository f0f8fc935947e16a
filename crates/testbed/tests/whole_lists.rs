//! A real sender through whole lists that follow one another: what its memory was for one, it is for all.
use std::time::Duration;
use testbed::program;
use testbed::scale::deployment::{Deployment, Size};
use testbed::scale::list_service::ListService;
use testbed::scale::load::{DownBehaviour, Endpoints};
use testbed::scale::real_sender::{RealSender, SenderParameters};
use testbed::seed::Seed;
use tokio::time::{sleep, Instant};

const SEED: Seed = Seed(30);
const DESTINATIONS: u32 = 60_000;
const LISTS: u64 = 8;
/// Far longer than anything here takes.
const BOUND: Duration = Duration::from_secs(60);
/// How much more than the first replacement the later ones may take. It is a tenth at 350,000 destinations; a
/// part of what is resident does not follow the list, and varies.
const MORE: f64 = 1.1;

/// Until the sender has asked for what comes after the last list, which it does once that one is read.
async fn read_all(service: &ListService, lists: u64) {
    let until = Instant::now() + BOUND;
    let asked = service.counts().request_bytes;
    while service.counts().whole_lists < lists || service.counts().request_bytes == asked {
        assert!(Instant::now() < until, "{:?} of {lists} lists", service.counts());
        sleep(Duration::from_millis(20)).await;
    }
    // What the list before held is freed after that.
    sleep(Duration::from_millis(500)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_through_many_whole_lists_is_that_of_the_first() {
    println!("seed {}", SEED.0);
    let folder = tempfile::tempdir().unwrap();
    let endpoints = Endpoints::start(Duration::ZERO, DownBehaviour::Refuses).unwrap();
    let deployment = Deployment::new(SEED, Size::single(DESTINATIONS), endpoints.addresses());
    let service = ListService::start(deployment).unwrap();
    let program = program::find_for_test().expect("the whole workspace is built: cargo test --workspace");
    let at = service.address(0);
    let mut sender = RealSender::start(&program, folder.path(), at, 0, &SenderParameters::default()).unwrap();
    assert!(sender.wait_until_ready(BOUND).await.is_some(), "{}", sender.log());
    let mut most = Vec::new();
    for list in 2..=LISTS {
        let replaced = service.clone();
        tokio::task::spawn_blocking(move || replaced.replace_all()).await.unwrap();
        read_all(&service, list).await;
        most.push(sender.memory().unwrap().peak);
    }
    println!("{most:?} bytes at most");
    // The first list was read into fresh memory; the second finds what that reading has left.
    let (first, last) = (most[0] as f64, most[most.len() - 1] as f64);
    assert!(last <= MORE * first, "{most:?}");
    sender.kill().await.unwrap();
}
