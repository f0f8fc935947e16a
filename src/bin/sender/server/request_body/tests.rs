//! Tests of the budget that the bodies of requests share.
use super::*;
use std::time::Duration;
use tokio::time::timeout;

fn run(test: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test);
}

#[test]
fn longest_silent_body_makes_room() {
    run(async {
        let budget = BodyBudget::new(100);
        let (first, second, third) = (budget.begin(), budget.begin(), budget.begin());
        first.grow(40).await.unwrap();
        second.grow(40).await.unwrap();
        first.grow(10).await.unwrap();
        let freed = async {
            second.revoked().await;
            drop(second);
        };
        let (grown, ()) = tokio::join!(third.grow(50), freed);
        assert!(grown.is_ok());
        assert!(!first.share.revoked.get());
        assert_eq!((budget.used.get(), budget.being_freed.get()), (100, 0));
    });
}

#[test]
fn complete_bodies_are_not_dropped() {
    run(async {
        let budget = BodyBudget::new(100);
        let (complete, late) = (budget.begin(), budget.begin());
        complete.grow(80).await.unwrap();
        complete.complete();
        late.grow(10).await.unwrap();
        // The only share that may be revoked is its own.
        assert!(matches!(late.grow(20).await, Err(RequestBodyError::NoMemory)));
        assert!(!complete.share.revoked.get());
        drop(late);
        assert_eq!((budget.used.get(), budget.being_freed.get()), (80, 0));
        drop(complete);
        assert_eq!(budget.used.get(), 0);
    });
}

#[test]
fn body_that_waits_for_room_can_be_revoked_itself() {
    run(async {
        let budget = BodyBudget::new(100);
        let (first, second) = (budget.begin(), budget.begin());
        first.grow(60).await.unwrap();
        second.grow(40).await.unwrap();
        // The first share is revoked for the second one, which waits for it to be freed.
        let waiting = second.grow(30);
        tokio::pin!(waiting);
        assert!(timeout(Duration::from_millis(5), &mut waiting).await.is_err());
        assert!(first.share.revoked.get() && !second.share.revoked.get());
        assert!(budget.revoke_one());
        assert!(matches!(waiting.await, Err(RequestBodyError::NoMemory)));
    });
}
