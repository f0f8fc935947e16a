//! A relay for UDP: datagrams to one address are passed on to the target, and its answers back to each sender.
use super::shape::{Lane, Shape};
use super::Condition;
use crate::clock::{Clock, Ns};
use crate::seed::Seed;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::{watch, Semaphore};

/// The largest datagram.
const LARGEST: usize = 65_535;
/// Peers that are told apart; datagrams of further ones are lost.
const PEERS: usize = 1_024;
/// Datagrams under way; further ones are lost, as in a full queue.
const UNDER_WAY: usize = 16_384;

/// A link under relay, until it is dropped.
pub struct Udp {
    address: SocketAddr,
    passing: tokio::task::JoinHandle<()>,
}

impl Udp {
    /// Takes datagrams for `target` at an address of its own.
    pub async fn start(
        target: SocketAddr,
        condition: watch::Receiver<Condition>,
        (seed, index): (Seed, u64),
        clock: Clock,
    ) -> io::Result<Udp> {
        let near = Arc::new(UdpSocket::bind(SocketAddr::new(crate::addresses::free()?.ip(), 0)).await?);
        let address = near.local_addr()?;
        let relay =
            Relay { near, target, condition, seed, index, clock, room: Arc::new(Semaphore::new(UNDER_WAY)) };
        Ok(Udp { address, passing: tokio::spawn(relay.run()) })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Udp {
    fn drop(&mut self) {
        self.passing.abort();
    }
}

struct Relay {
    near: Arc<UdpSocket>,
    target: SocketAddr,
    condition: watch::Receiver<Condition>,
    seed: Seed,
    index: u64,
    clock: Clock,
    room: Arc<Semaphore>,
}

/// What a peer's datagrams leave by, and the way back, which ends with it.
struct Peer {
    far: Arc<UdpSocket>,
    lane: Lane,
    back: tokio::task::JoinHandle<()>,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.back.abort();
    }
}

impl Relay {
    async fn run(self) {
        let mut peers: HashMap<SocketAddr, Peer> = HashMap::new();
        let mut buffer = vec![0; LARGEST];
        loop {
            // An error tells of an earlier datagram that found nobody.
            let Ok((read, from)) = self.near.recv_from(&mut buffer).await else { continue };
            if !peers.contains_key(&from) {
                if peers.len() >= PEERS {
                    continue;
                }
                let Ok(peer) = self.peer(from, peers.len() as u64).await else { continue };
                peers.insert(from, peer);
            }
            let Some(peer) = peers.get_mut(&from) else { continue };
            let shape = self.condition.borrow().to;
            let times = peer.lane.datagram(self.clock.now(), read, &shape);
            self.send(&peer.far, self.target, &buffer[..read], times);
        }
    }

    async fn peer(&self, at: SocketAddr, number: u64) -> io::Result<Peer> {
        let far = Arc::new(UdpSocket::bind(SocketAddr::new(self.near.local_addr()?.ip(), 0)).await?);
        let stream = |way| Lane::new(self.seed.stream(way, self.index << 32 | number));
        let mut lane = stream("datagrams back");
        let (near, source, clock) = (self.near.clone(), far.clone(), self.clock);
        let (condition, room) = (self.condition.clone(), self.room.clone());
        let back = tokio::spawn(async move {
            let mut buffer = vec![0; LARGEST];
            loop {
                let Ok((read, _)) = source.recv_from(&mut buffer).await else { continue };
                let shape: Shape = condition.borrow().back;
                let times = lane.datagram(clock.now(), read, &shape);
                send(&near, at, &buffer[..read], times, clock, &room);
            }
        });
        Ok(Peer { far, lane: stream("datagrams to"), back })
    }

    fn send(&self, by: &Arc<UdpSocket>, to: SocketAddr, bytes: &[u8], times: [Option<Ns>; 2]) {
        send(by, to, bytes, times, self.clock, &self.room);
    }
}

fn send(
    by: &Arc<UdpSocket>,
    to: SocketAddr,
    bytes: &[u8],
    times: [Option<Ns>; 2],
    clock: Clock,
    room: &Arc<Semaphore>,
) {
    for at in times.into_iter().flatten() {
        let Ok(place) = room.clone().try_acquire_owned() else { return };
        let (by, bytes) = (by.clone(), bytes.to_vec());
        tokio::spawn(async move {
            clock.sleep_until(at).await;
            // A peer that is gone loses it, as on a network.
            let _ = by.send_to(&bytes, to).await;
            drop(place);
        });
    }
}
