//! Guards against memory of a real sender that grows with each replacement of the whole list.
use std::time::Duration;
use testbed::program;
use testbed::scale::deployment::{Deployment, Size};
use testbed::scale::list_service::{Counts, ListService};
use testbed::scale::load::{DownBehaviour, Endpoints};
use testbed::scale::real_sender::{RealSender, SenderParameters};
use testbed::seed::Seed;
use tokio::time::{sleep, Instant};

const SEED: Seed = Seed(30);
const DESTINATIONS: u32 = 60_000;
/// Whole lists that the sender loads, including the one at its start.
const LISTS: u64 = 8;
/// Far longer than any step takes.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Limit on the peak memory after the last replacement, relative to that after the first. The limit of a
/// tenth more is that for 350,000 destinations; part of the resident memory does not depend on the list, and
/// varies.
const MAX_GROWTH: f64 = 1.1;

/// Waits until the counts of the service satisfy a condition. Returns the bytes of all requests by then.
async fn wait_until(service: &ListService, lists: u64, condition: impl Fn(&Counts) -> bool) -> u64 {
    let deadline = Instant::now() + TIMEOUT;
    while !condition(&service.counts()) {
        assert!(Instant::now() < deadline, "{:?} of {lists} lists", service.counts());
        sleep(Duration::from_millis(20)).await;
    }
    service.counts().request_bytes
}

/// Waits until the sender has requested the changes after the last list, which it does once that list is
/// loaded: it watches no other changes meanwhile.
async fn wait_until_loaded(service: &ListService, lists: u64) {
    let request_bytes = wait_until(service, lists, |counts| counts.whole_lists >= lists).await;
    wait_until(service, lists, |counts| counts.request_bytes > request_bytes).await;
    // The memory of the previous list is freed after that.
    sleep(Duration::from_millis(500)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peak_memory_does_not_grow_with_later_whole_lists() {
    println!("seed {}", SEED.0);
    let folder = tempfile::tempdir().unwrap();
    let endpoints = Endpoints::start(Duration::ZERO, DownBehaviour::Refuses).unwrap();
    let deployment = Deployment::new(SEED, Size::single(DESTINATIONS), endpoints.addresses());
    let service = ListService::start(deployment).unwrap();
    let program = program::find_for_test().expect("the whole workspace is built: cargo test --workspace");
    let discovery = service.address(0);
    let mut sender =
        RealSender::start(&program, folder.path(), discovery, 0, &SenderParameters::default()).unwrap();
    assert!(sender.wait_until_ready(TIMEOUT).await.is_some(), "{}", sender.log());
    let mut peaks = Vec::new();
    for list in 2..=LISTS {
        let service_handle = service.clone();
        tokio::task::spawn_blocking(move || service_handle.replace_all()).await.unwrap();
        wait_until_loaded(&service, list).await;
        peaks.push(sender.memory().unwrap().peak);
    }
    println!("peaks in bytes: {peaks:?}");
    // The first list is loaded into fresh memory, so the comparison starts with the second.
    let (first, last) = (peaks[0] as f64, peaks[peaks.len() - 1] as f64);
    assert!(last <= MAX_GROWTH * first, "{peaks:?}");
    sender.kill().await.unwrap();
}
