//! A relay for TCP: one listener, and a connection of its own to the target for each that it takes.
use super::shape::Lane;
use super::Condition;
use crate::addresses::Door;
use crate::clock::{Clock, Ns};
use crate::seed::Seed;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

/// Bytes that pass at once: about a segment, so that a cut falls within a request and not only between two.
const SEGMENT: usize = 1_460;
/// Segments under way on one way of a connection. More are not read, as by a peer whose window is full.
const WINDOW: usize = 64;

/// A link under relay. Dropping it ends its listener; connections end with their peers.
pub struct Tcp {
    address: SocketAddr,
    listening: tokio::task::JoinHandle<()>,
}

impl Tcp {
    /// Listens at an address of its own for connections to `target`.
    pub fn start(
        target: SocketAddr,
        condition: watch::Receiver<Condition>,
        seed: (Seed, u64),
        clock: Clock,
    ) -> io::Result<Tcp> {
        let door = Door::open(crate::addresses::free()?)?;
        let address = door.address();
        let link = Arc::new(Link { target, condition, seed, clock });
        Ok(Tcp { address, listening: tokio::spawn(link.listen(door)) })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Tcp {
    fn drop(&mut self) {
        self.listening.abort();
    }
}

struct Link {
    target: SocketAddr,
    condition: watch::Receiver<Condition>,
    seed: (Seed, u64),
    clock: Clock,
}

impl Link {
    async fn listen(self: Arc<Self>, mut door: Door) {
        let mut condition = self.condition.clone();
        let mut number = 0u64;
        loop {
            let connects = condition.borrow_and_update().connects();
            door.set_silent(!connects);
            tokio::select! {
                changed = condition.changed() => if changed.is_err() { return },
                stream = door.accept(), if connects => {
                    number += 1;
                    tokio::spawn(self.clone().relay(stream, number));
                }
            }
        }
    }

    async fn relay(self: Arc<Self>, mut near: TcpStream, number: u64) {
        let mut condition = self.condition.clone();
        let breaks = condition.borrow_and_update().breaks;
        // A target that is not there shows as a connection that breaks at once.
        let Ok(mut far) = TcpStream::connect(self.target).await else {
            let _ = near.set_zero_linger();
            return;
        };
        for stream in [&near, &far] {
            let _ = stream.set_nodelay(true);
        }
        let (seed, index) = self.seed;
        let lane = |way| Lane::new(seed.stream(way, index << 32 | number));
        let broken = {
            // Halves that are borrowed don't end the connection where they are dropped.
            let (from_near, to_near) = near.split();
            let (from_far, to_far) = far.split();
            let to = self.pass(from_near, to_far, lane("link to"), |c| &c.to);
            let back = self.pass(from_far, to_near, lane("link back"), |c| &c.back);
            let both = async { tokio::try_join!(to, back).map(|_| ()) };
            tokio::select! {
                done = both => done.is_err(),
                _ = condition.wait_for(|c| c.breaks != breaks) => true,
            }
        };
        if broken {
            // A connection that breaks on one side breaks on the other.
            let _ = near.set_zero_linger();
            let _ = far.set_zero_linger();
        }
    }

    /// One way of a connection, until its sender ends it.
    async fn pass(
        &self,
        mut from: ReadHalf<'_>,
        mut to: WriteHalf<'_>,
        mut lane: Lane,
        way: impl Fn(&Condition) -> &super::Shape,
    ) -> io::Result<()> {
        let (under_way, mut arriving) = mpsc::channel::<(Ns, Vec<u8>)>(WINDOW);
        let reading = async {
            loop {
                let Ok(room) = under_way.reserve().await else { return Ok(()) };
                let mut segment = vec![0; SEGMENT];
                let read = from.read(&mut segment).await?;
                if read == 0 {
                    break;
                }
                segment.truncate(read);
                let shape = *way(&self.condition.borrow());
                room.send((lane.segment(self.clock.now(), read, &shape), segment));
            }
            drop(under_way);
            Ok::<(), io::Error>(())
        };
        let writing = async {
            let mut condition = self.condition.clone();
            while let Some((at, segment)) = arriving.recv().await {
                self.clock.sleep_until(at).await;
                // What a cut holds back is sent again once it is over.
                let _ = condition.wait_for(|c| !way(c).cut).await;
                to.write_all(&segment).await?;
            }
            // An end passes like bytes.
            let _ = condition.wait_for(|c| !way(c).cut).await;
            to.shutdown().await
        };
        tokio::try_join!(reading, writing).map(|_| ())
    }
}
