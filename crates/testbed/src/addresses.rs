//! Loopback addresses that stay reserved for one user, even while nothing listens on them.
use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener as AsyncListener, TcpSocket, TcpStream};
use tokio::time::sleep;

/// Bound on connections that wait to be accepted.
const ACCEPT_BACKLOG: u16 = 256;
/// Attempts to find an unused address, or to listen on one, before an error is returned.
const MAX_TRIES: usize = 32;

/// Reserves an address with an unused port, on a host within 127.64.0.0/10 that is derived from the process
/// id.
///
/// Ephemeral ports that the kernel assigns on 127.0.0.1 cannot clash with the reserved address, even while
/// nothing listens there.
pub fn reserve() -> io::Result<SocketAddr> {
    static NEXT_HOST: AtomicU32 = AtomicU32::new(0);
    // The hosts are reused in turn, so the kernel may offer a port that is reserved but has no listener yet.
    static RESERVED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    let process = std::process::id().to_be_bytes();
    let mut last_error = None;
    for _ in 0..MAX_TRIES {
        let number = (NEXT_HOST.fetch_add(1, Ordering::Relaxed) % 250) as u8 + 1;
        let host = Ipv4Addr::new(127, 64 | (process[2] & 0x3f), process[3], number);
        match TcpListener::bind((host, 0)).and_then(|l| l.local_addr()) {
            Ok(at) if RESERVED.lock().unwrap_or_else(PoisonError::into_inner).insert(at) => return Ok(at),
            Ok(_) => {}
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.unwrap_or_else(|| io::Error::from(io::ErrorKind::AddrInUse)))
}

/// Listens on an address that an earlier listener may just have released.
pub fn listen(at: SocketAddr) -> io::Result<AsyncListener> {
    debug_assert!(matches!(at.ip(), IpAddr::V4(ip) if ip.is_loopback()));
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        socket.listen(ACCEPT_BACKLOG.into())
    };
    // `reserve` listens for a moment on the address that it tries, which may be this one.
    let mut tries = 0;
    loop {
        match open() {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && tries < MAX_TRIES => {
                tries += 1;
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(error) => return Err(io::Error::new(error.kind(), format!("{at}: {error}"))),
            Ok(listener) => return Ok(listener),
        }
    }
}

/// Connections that fill an accept queue of length 0: it holds one, and two more wait in case the first
/// completes late.
const BLOCKER_CONNECTIONS: usize = 3;
/// Delay after a failed accept, for instance when descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A listener that can be made a black hole: new connections are then neither established nor refused, as
/// with a host that is gone.
pub struct BlackholeListener {
    listener: AsyncListener,
    address: SocketAddr,
    /// While blackholed: connections of its own that fill the accept queue, so that the kernel drops those of
    /// others.
    blockers: Vec<std::net::TcpStream>,
}

impl BlackholeListener {
    /// Starts to listen.
    pub fn open(at: SocketAddr) -> io::Result<BlackholeListener> {
        Ok(BlackholeListener { listener: listen(at)?, address: at, blockers: Vec::new() })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts or stops ignoring new connections.
    pub fn set_blackholed(&mut self, blackholed: bool) {
        if blackholed == self.blockers.is_empty() {
            // Another listen call changes the length of the queue. If it fails, connections are established
            // but unanswered.
            let _ = rustix::net::listen(&self.listener, if blackholed { 0 } else { ACCEPT_BACKLOG.into() });
            self.blockers.clear();
            if blackholed {
                self.blockers =
                    (0..BLOCKER_CONNECTIONS).filter_map(|_| begin_blocker(self.address).ok()).collect();
            }
        }
    }

    /// Accepts the next connection that is not one of its own blockers.
    pub async fn accept(&self) -> TcpStream {
        loop {
            match self.listener.accept().await {
                // Blockers come from the listener's own host; one that is accepted is closed or about to be.
                Ok((stream, from)) if from.ip() != self.address.ip() => return stream,
                Ok(_) => {}
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }
}

/// Begins a connection without waiting for its handshake. `accept` recognises it by its source, the
/// listener's own host.
fn begin_blocker(to: SocketAddr) -> io::Result<std::net::TcpStream> {
    use rustix::net::{bind, connect, socket_with, AddressFamily, SocketFlags, SocketType};
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
    bind(&socket, &SocketAddr::new(to.ip(), 0))?;
    match connect(&socket, &to) {
        Ok(()) | Err(rustix::io::Errno::INPROGRESS) => Ok(socket.into()),
        Err(error) => Err(error.into()),
    }
}
