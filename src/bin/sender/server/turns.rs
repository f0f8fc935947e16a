//! Turns of the event loop, which clients' connections take side by side.
//!
//! A connection on which a client sends at full speed always has more to do. hyper goes on with it as long as
//! it can, and the runtime polls a task that is ready many times before it looks at the sockets again. So a
//! connection has an allowance of reads and of requests in each turn, and then waits for the next one: until
//! the runtime has looked at all sockets.
use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;
use tokio::task::yield_now;

/// Counts the turns of the event loop that connections wait for.
#[derive(Default)]
pub struct Turns {
    number: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
    /// Notified when a connection waits for the next turn.
    wanted: Notify,
}

/// How often a connection may do something in a turn.
pub struct Allowance {
    per_turn: u32,
    /// The turn in which it was last done. None if the connection has waited for its socket since.
    turn: Cell<Option<u64>>,
    /// How often it was done in that turn.
    used: Cell<u32>,
}

impl Allowance {
    pub fn new(per_turn: u32) -> Allowance {
        Allowance { per_turn, turn: Cell::default(), used: Cell::default() }
    }

    /// Notes that the connection has waited for its socket, and so for a turn.
    pub fn renew(&self) {
        self.turn.set(None);
    }
}

impl Turns {
    /// Takes from an allowance. Waits for the next turn if it is used up.
    pub fn poll_take(&self, allowance: &Allowance, cx: &mut Context<'_>) -> Poll<()> {
        let number = self.number.get();
        if allowance.turn.replace(Some(number)) != Some(number) {
            allowance.used.set(0);
        }
        if allowance.used.get() < allowance.per_turn {
            allowance.used.set(allowance.used.get() + 1);
            return Poll::Ready(());
        }
        self.waiting.borrow_mut().push(cx.waker().clone());
        self.wanted.notify_one();
        Poll::Pending
    }

    /// Begins turns as long as connections wait for them.
    pub async fn run(&self) {
        loop {
            self.wanted.notified().await;
            // Returns only after the runtime has looked at all sockets.
            yield_now().await;
            self.number.set(self.number.get() + 1);
            self.waiting.take().into_iter().for_each(Waker::wake);
        }
    }
}

#[cfg(test)]
mod tests;
