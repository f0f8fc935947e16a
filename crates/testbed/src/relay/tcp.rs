//! TCP relay: one listener, and one connection to the target for each accepted connection.
use super::shape::Flow;
use super::LinkCondition;
use crate::addresses::BlackholeListener;
use crate::clock::{Clock, Ns};
use crate::seed::Seed;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

/// Largest unit of bytes relayed at once: about a TCP segment, so that a cut can fall inside a request.
const SEGMENT_BYTES: usize = 1_460;
/// Segments in flight in one direction of a connection; no more are read until one arrives, as with a full
/// TCP window.
const WINDOW_SEGMENTS: usize = 64;

/// A relayed TCP link. Dropping it closes the listener; open connections end when their peers close them.
pub struct TcpRelay {
    address: SocketAddr,
    accept_task: tokio::task::JoinHandle<()>,
}

impl TcpRelay {
    /// Starts to listen on a newly reserved address for connections to `target`.
    pub fn start(
        target: SocketAddr,
        condition: watch::Receiver<LinkCondition>,
        seed: (Seed, u64),
        clock: Clock,
    ) -> io::Result<TcpRelay> {
        let listener = BlackholeListener::open(crate::addresses::reserve()?)?;
        let address = listener.address();
        let link = Arc::new(Link { target, condition, seed, clock });
        Ok(TcpRelay { address, accept_task: tokio::spawn(link.accept_loop(listener)) })
    }

    /// Returns the address that stands in for the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

struct Link {
    target: SocketAddr,
    condition: watch::Receiver<LinkCondition>,
    seed: (Seed, u64),
    clock: Clock,
}

impl Link {
    async fn accept_loop(self: Arc<Self>, mut listener: BlackholeListener) {
        let mut condition = self.condition.clone();
        let mut number = 0u64;
        loop {
            let accepts = condition.borrow_and_update().accepts_connections();
            listener.set_blackholed(!accepts);
            tokio::select! {
                changed = condition.changed() => if changed.is_err() { return },
                stream = listener.accept(), if accepts => {
                    number += 1;
                    tokio::spawn(self.clone().relay(stream, number));
                }
            }
        }
    }

    async fn relay(self: Arc<Self>, mut near: TcpStream, number: u64) {
        let mut condition = self.condition.clone();
        let resets = condition.borrow_and_update().resets;
        // If the target does not accept, the peer's connection is reset.
        let Ok(mut far) = TcpStream::connect(self.target).await else {
            let _ = near.set_zero_linger();
            return;
        };
        for stream in [&near, &far] {
            let _ = stream.set_nodelay(true);
        }
        let (seed, index) = self.seed;
        let flow = |stream_name| Flow::new(seed.stream(stream_name, index << 32 | number));
        let reset = {
            // Borrowed halves do not shut the connection down when they are dropped.
            let (from_near, to_near) = near.split();
            let (from_far, to_far) = far.split();
            let forward = self.copy(from_near, to_far, flow("link to"), |c| &c.forward);
            let reverse = self.copy(from_far, to_near, flow("link back"), |c| &c.reverse);
            let both = async { tokio::try_join!(forward, reverse).map(|_| ()) };
            tokio::select! {
                done = both => done.is_err(),
                _ = condition.wait_for(|c| c.resets != resets) => true,
            }
        };
        if reset {
            // A reset on one side is passed on to the other.
            let _ = near.set_zero_linger();
            let _ = far.set_zero_linger();
        }
    }

    /// Copies one direction of a connection until its stream ends.
    async fn copy(
        &self,
        mut from: ReadHalf<'_>,
        mut to: WriteHalf<'_>,
        mut flow: Flow,
        direction: impl Fn(&LinkCondition) -> &super::Shape,
    ) -> io::Result<()> {
        let (in_flight, mut arriving) = mpsc::channel::<(Ns, Vec<u8>)>(WINDOW_SEGMENTS);
        let reading = async {
            loop {
                let Ok(room) = in_flight.reserve().await else { return Ok(()) };
                let mut segment = vec![0; SEGMENT_BYTES];
                let read = from.read(&mut segment).await?;
                if read == 0 {
                    break;
                }
                segment.truncate(read);
                let shape = *direction(&self.condition.borrow());
                room.send((flow.segment_arrival(self.clock.now(), read, &shape), segment));
            }
            drop(in_flight);
            Ok::<(), io::Error>(())
        };
        let writing = async {
            let mut condition = self.condition.clone();
            while let Some((at, segment)) = arriving.recv().await {
                self.clock.sleep_until(at).await;
                // Segments held back by a cut are delivered once it ends.
                let _ = condition.wait_for(|c| !direction(c).cut).await;
                to.write_all(&segment).await?;
            }
            // The end of the stream is held back by a cut like its bytes.
            let _ = condition.wait_for(|c| !direction(c).cut).await;
            to.shutdown().await
        };
        tokio::try_join!(reading, writing).map(|_| ())
    }
}
