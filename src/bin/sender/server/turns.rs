//! Turns of the event loop, which clients' connections take side by side.
//!
//! A connection on which a client sends at full speed always has more to do. hyper goes on with it as long as
//! it can, and the runtime polls a task that is ready many times before it looks at the sockets again. So a
//! connection reads once and begins one request, and then waits for the next turn: until the runtime has
//! looked at all sockets.
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

/// The turn in which something was last done. None if its connection has waited for its socket since.
#[derive(Default)]
pub struct LastTurn(Cell<Option<u64>>);

impl LastTurn {
    /// Notes that the connection has waited for its socket, and so for a turn.
    pub fn forget(&self) {
        self.0.set(None);
    }
}

impl Turns {
    /// Waits for a turn other than the last one, and makes it the last one.
    pub fn poll_take(&self, last: &LastTurn, cx: &mut Context<'_>) -> Poll<()> {
        let number = self.number.get();
        if last.0.replace(Some(number)) != Some(number) {
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
