//! Reads the bodies of clients' requests within a budget of memory that they share.
//!
//! Every body is bounded by itself, but a client that sends most of one and then stays silent holds its
//! memory until a timeout, and there may be as many such clients as connections. So when the budget is used
//! up, the unfinished body that has been silent longest is dropped and its request refused.
use crate::body::{next_data, ReadError};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Size of the blocks in which a body is kept while it is read.
pub const BLOCK_BYTES: usize = 4 << 10;

/// Why the body of a request was not read.
#[derive(Debug, Error)]
pub enum RequestBodyError {
    #[error(transparent)]
    Read(#[from] ReadError),
    #[error("the memory for requests is used up")]
    NoMemory,
}

/// The memory that one request holds.
struct Share {
    bytes: Cell<usize>,
    /// When it was created or last grew.
    grown_at: Cell<Instant>,
    /// Its request is to be refused, as others need the memory.
    revoked: Cell<bool>,
    revoke: Notify,
}

/// The memory that bodies of requests may hold together, from their first byte to the reply.
pub struct BodyBudget {
    max_bytes: usize,
    used: Cell<usize>,
    /// Bytes of revoked shares, which are about to be freed.
    being_freed: Cell<usize>,
    /// The shares of bodies that are not complete and not revoked, by number.
    unfinished: RefCell<HashMap<u64, Rc<Share>>>,
    next_number: Cell<u64>,
    /// Notified when memory has been freed.
    freed: Notify,
}

impl BodyBudget {
    pub fn new(max_bytes: usize) -> BodyBudget {
        BodyBudget {
            max_bytes,
            used: Cell::default(),
            being_freed: Cell::default(),
            unfinished: RefCell::default(),
            next_number: Cell::default(),
            freed: Notify::new(),
        }
    }

    /// Begins a request, which holds no memory yet.
    pub fn begin(&self) -> Reservation<'_> {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let share = Rc::new(Share {
            bytes: Cell::default(),
            grown_at: Cell::new(Instant::now()),
            revoked: Cell::default(),
            revoke: Notify::new(),
        });
        self.unfinished.borrow_mut().insert(number, share.clone());
        Reservation { budget: self, number, share }
    }

    /// Revokes the unfinished share that has not grown for longest. Returns false if there is none.
    fn revoke_one(&self) -> bool {
        let mut unfinished = self.unfinished.borrow_mut();
        let holding = unfinished.iter().filter(|(_, share)| share.bytes.get() > 0);
        let longest_silent = holding.min_by_key(|(_, share)| share.grown_at.get()).map(|(&number, _)| number);
        let Some(share) = longest_silent.and_then(|number| unfinished.remove(&number)) else { return false };
        self.being_freed.set(self.being_freed.get() + share.bytes.get());
        share.revoked.set(true);
        share.revoke.notify_one();
        true
    }
}

/// A request's part of the budget. Dropping it frees the memory.
pub struct Reservation<'a> {
    budget: &'a BodyBudget,
    number: u64,
    share: Rc<Share>,
}

impl Reservation<'_> {
    /// Reserves more bytes, and waits for others to be freed if there is no room. Fails if this share is
    /// revoked, or if all memory is held by complete requests.
    async fn grow(&self, bytes: usize) -> Result<(), RequestBodyError> {
        let budget = self.budget;
        while !self.share.revoked.get() {
            let freed = budget.freed.notified();
            if budget.used.get() + bytes <= budget.max_bytes {
                budget.used.set(budget.used.get() + bytes);
                self.share.bytes.set(self.share.bytes.get() + bytes);
                self.share.grown_at.set(Instant::now());
                return Ok(());
            }
            let will_be_used = budget.used.get() - budget.being_freed.get();
            if will_be_used + bytes <= budget.max_bytes {
                tokio::select! {
                    () = freed => {}
                    () = self.share.revoke.notified() => {}
                }
            } else if !budget.revoke_one() {
                break;
            }
        }
        Err(RequestBodyError::NoMemory)
    }

    /// Waits until the share is revoked.
    async fn revoked(&self) {
        while !self.share.revoked.get() {
            self.share.revoke.notified().await;
        }
    }

    /// Records that the body is complete: its request will be answered soon, so the share is not revoked any
    /// more.
    fn complete(&self) {
        self.budget.unfinished.borrow_mut().remove(&self.number);
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        let (budget, bytes) = (self.budget, self.share.bytes.get());
        budget.unfinished.borrow_mut().remove(&self.number);
        budget.used.set(budget.used.get() - bytes);
        if self.share.revoked.get() {
            budget.being_freed.set(budget.being_freed.get() - bytes);
        }
        budget.freed.notify_waiters();
    }
}

/// A body that is being read.
///
/// It is kept in blocks of one size, as a buffer that grows leaves gaps behind in the heap: with hundreds of
/// bodies that grow side by side these took as much memory as the bodies.
#[derive(Default)]
struct BodyBlocks {
    blocks: Vec<Vec<u8>>,
    bytes: usize,
}

impl BodyBlocks {
    /// Appends data. `expected` is the size of the body if it is known.
    ///
    /// The reservation grows by whole blocks, but for the first one, which is counted with the connection: so
    /// short messages never wait for the memory of bodies that others do not finish.
    async fn append(
        &mut self,
        mut data: &[u8],
        expected: Option<usize>,
        reservation: &Reservation<'_>,
    ) -> Result<(), RequestBodyError> {
        while !data.is_empty() {
            let room = self.blocks.last().map_or(0, |block| block.capacity() - block.len());
            if room == 0 {
                let left = expected.map_or(BLOCK_BYTES, |whole| whole.saturating_sub(self.bytes));
                let size = left.clamp(1, BLOCK_BYTES);
                if !self.blocks.is_empty() {
                    reservation.grow(size).await?;
                }
                self.blocks.push(Vec::with_capacity(size));
                continue;
            }
            let (now, later) = data.split_at(room.min(data.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(now);
            }
            self.bytes += now.len();
            data = later;
        }
        Ok(())
    }

    fn into_bytes(mut self) -> Bytes {
        if self.blocks.len() > 1 {
            return self.blocks.concat().into();
        }
        let mut only = self.blocks.pop().unwrap_or_default();
        only.shrink_to_fit();
        only.into()
    }
}

/// Reads a body of at most `max_bytes`. The reservation must be kept for as long as the body is.
pub async fn read(
    mut body: Incoming,
    max_bytes: usize,
    reservation: &Reservation<'_>,
) -> Result<Bytes, RequestBodyError> {
    let expected = body.size_hint().exact().map(|bytes| bytes as usize);
    let mut blocks = BodyBlocks::default();
    loop {
        let data = tokio::select! {
            biased;
            () = reservation.revoked() => return Err(RequestBodyError::NoMemory),
            data = next_data(&mut body) => data?,
        };
        let Some(data) = data else { break };
        if blocks.bytes + data.len() > max_bytes {
            return Err(ReadError::TooLong.into());
        }
        blocks.append(&data, expected, reservation).await?;
    }
    reservation.complete();
    Ok(blocks.into_bytes())
}

#[cfg(test)]
mod tests;
