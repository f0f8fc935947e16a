//! UDP relay: forwards datagrams from its own address to the target, and the target's replies to each peer.
use super::shape::{Flow, Shape};
use super::LinkCondition;
use crate::clock::{Clock, Ns};
use crate::seed::Seed;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::{watch, Semaphore};

/// Upper bound of a datagram's size.
const MAX_DATAGRAM_BYTES: usize = 65_535;
/// Maximum number of peers; datagrams from further peers are dropped.
const MAX_PEERS: usize = 1_024;
/// Maximum number of datagrams in flight; further ones are dropped, as by a full queue.
const MAX_IN_FLIGHT: usize = 16_384;

/// A relayed UDP link, which ends when this is dropped.
pub struct UdpRelay {
    address: SocketAddr,
    receive_task: tokio::task::JoinHandle<()>,
}

impl UdpRelay {
    /// Starts to receive datagrams for `target` on a newly bound address.
    pub async fn start(
        target: SocketAddr,
        condition: watch::Receiver<LinkCondition>,
        (seed, index): (Seed, u64),
        clock: Clock,
    ) -> io::Result<UdpRelay> {
        let near = Arc::new(UdpSocket::bind(SocketAddr::new(crate::addresses::reserve()?.ip(), 0)).await?);
        let address = near.local_addr()?;
        let relay = Relay {
            near,
            target,
            condition,
            seed,
            index,
            clock,
            in_flight: Arc::new(Semaphore::new(MAX_IN_FLIGHT)),
        };
        Ok(UdpRelay { address, receive_task: tokio::spawn(relay.run()) })
    }

    /// Returns the address that stands in for the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.receive_task.abort();
    }
}

struct Relay {
    near: Arc<UdpSocket>,
    target: SocketAddr,
    condition: watch::Receiver<LinkCondition>,
    seed: Seed,
    index: u64,
    clock: Clock,
    in_flight: Arc<Semaphore>,
}

/// A peer's socket towards the target, and the task that relays the target's replies. The task is aborted
/// when this is dropped.
struct Peer {
    far: Arc<UdpSocket>,
    forward_flow: Flow,
    reply_task: tokio::task::JoinHandle<()>,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.reply_task.abort();
    }
}

impl Relay {
    async fn run(self) {
        let mut peers: HashMap<SocketAddr, Peer> = HashMap::new();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // The error belongs to an earlier datagram that was refused (ICMP port unreachable).
            let Ok((read, from)) = self.near.recv_from(&mut buffer).await else { continue };
            if !peers.contains_key(&from) {
                if peers.len() >= MAX_PEERS {
                    continue;
                }
                let Ok(peer) = self.open_peer(from, peers.len() as u64).await else { continue };
                peers.insert(from, peer);
            }
            let Some(peer) = peers.get_mut(&from) else { continue };
            let shape = self.condition.borrow().forward;
            let times = peer.forward_flow.datagram_arrivals(self.clock.now(), read, &shape);
            self.send(&peer.far, self.target, &buffer[..read], times);
        }
    }

    /// Binds the socket for a new peer and starts its reply task.
    async fn open_peer(&self, at: SocketAddr, number: u64) -> io::Result<Peer> {
        let far = Arc::new(UdpSocket::bind(SocketAddr::new(self.near.local_addr()?.ip(), 0)).await?);
        let flow = |stream_name| Flow::new(self.seed.stream(stream_name, self.index << 32 | number));
        let mut reply_flow = flow("datagrams back");
        let (near, source, clock) = (self.near.clone(), far.clone(), self.clock);
        let (condition, in_flight) = (self.condition.clone(), self.in_flight.clone());
        let reply_task = tokio::spawn(async move {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                let Ok((read, _)) = source.recv_from(&mut buffer).await else { continue };
                let shape: Shape = condition.borrow().reverse;
                let times = reply_flow.datagram_arrivals(clock.now(), read, &shape);
                send(&near, at, &buffer[..read], times, clock, &in_flight);
            }
        });
        Ok(Peer { far, forward_flow: flow("datagrams to"), reply_task })
    }

    fn send(&self, socket: &Arc<UdpSocket>, to: SocketAddr, bytes: &[u8], times: [Option<Ns>; 2]) {
        send(socket, to, bytes, times, self.clock, &self.in_flight);
    }
}

/// Sends a datagram at each of its arrival times, unless too many are in flight.
fn send(
    socket: &Arc<UdpSocket>,
    to: SocketAddr,
    bytes: &[u8],
    times: [Option<Ns>; 2],
    clock: Clock,
    in_flight: &Arc<Semaphore>,
) {
    for at in times.into_iter().flatten() {
        let Ok(permit) = in_flight.clone().try_acquire_owned() else { return };
        let (socket, bytes) = (socket.clone(), bytes.to_vec());
        tokio::spawn(async move {
            clock.sleep_until(at).await;
            // A datagram to a peer that no longer listens is lost, as on a network.
            let _ = socket.send_to(&bytes, to).await;
            drop(permit);
        });
    }
}
