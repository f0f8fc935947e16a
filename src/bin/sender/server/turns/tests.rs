//! Tests of the turns that connections take.
use super::*;
use std::future::poll_fn;
use std::rc::Rc;
use tokio::task::{spawn_local, LocalSet};

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Starts a task that does as much as it can, and returns the count of what it has done.
fn start_busy_task(turns: &Rc<Turns>, per_turn: u32) -> Rc<Cell<u64>> {
    let done = Rc::<Cell<u64>>::default();
    let (turns, count) = (turns.clone(), done.clone());
    spawn_local(async move {
        let allowance = Allowance::new(per_turn);
        loop {
            poll_fn(|cx| turns.poll_take(&allowance, cx)).await;
            count.set(count.get() + 1);
        }
    });
    done
}

/// Guards against a busy connection that does many things before the others are looked at.
#[test]
fn each_task_does_what_it_may_in_a_turn() {
    run(async {
        let turns = Rc::<Turns>::default();
        let running = turns.clone();
        spawn_local(async move { running.run().await });
        let tasks = [1, 1, 2].map(|per_turn| (per_turn, start_busy_task(&turns, per_turn)));
        for _ in 0..100 {
            yield_now().await;
            let turn = turns.number.get();
            for (per_turn, done) in &tasks {
                assert!(done.get() <= u64::from(*per_turn) * (turn + 1), "{} in {turn} turns", done.get());
            }
        }
        assert!(tasks.iter().all(|(_, done)| done.get() >= 20));
    });
}

#[test]
fn task_that_has_waited_elsewhere_does_not_wait_for_a_turn() {
    run(async {
        let (turns, allowance) = (Turns::default(), Allowance::new(1));
        for _ in 0..3 {
            poll_fn(|cx| turns.poll_take(&allowance, cx)).await;
            allowance.renew();
        }
        assert!(turns.waiting.borrow().is_empty());
    });
}
