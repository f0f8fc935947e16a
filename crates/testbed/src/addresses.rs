//! Loopback addresses that nobody else is given, also while nobody listens there.
use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener as AsyncListener, TcpSocket, TcpStream};
use tokio::time::sleep;

/// Connections that wait to be accepted.
const BACKLOG: u16 = 256;
/// How often an address is drawn before the testbed gives up.
const TRIES: usize = 32;

/// An address with a free port, on a host of this process's own within 127.64.0.0/10: the ports that the kernel
/// deals out on 127.0.0.1 don't clash with it while it is shut.
pub fn free() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Once the hosts have come round again, a port that was dealt out may not be listened at yet.
    static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    let process = std::process::id().to_be_bytes();
    let mut failed = None;
    for _ in 0..TRIES {
        let number = (NEXT.fetch_add(1, Ordering::Relaxed) % 250) as u8 + 1;
        let host = Ipv4Addr::new(127, 64 | (process[2] & 0x3f), process[3], number);
        match TcpListener::bind((host, 0)).and_then(|l| l.local_addr()) {
            Ok(at) if GIVEN.lock().unwrap_or_else(PoisonError::into_inner).insert(at) => return Ok(at),
            Ok(_) => {}
            Err(error) => failed = Some(error),
        }
    }
    Err(failed.unwrap_or_else(|| io::Error::from(io::ErrorKind::AddrInUse)))
}

/// Listens at an address that may just have been given up by an earlier listener.
pub fn listen(at: SocketAddr) -> io::Result<AsyncListener> {
    debug_assert!(matches!(at.ip(), IpAddr::V4(ip) if ip.is_loopback()));
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        socket.listen(BACKLOG.into())
    };
    // Drawing an address listens at it for a moment, which may be one that was given before.
    let mut tries = 0;
    loop {
        match open() {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && tries < TRIES => {
                tries += 1;
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(error) => return Err(io::Error::new(error.kind(), format!("{at}: {error}"))),
            Ok(listener) => return Ok(listener),
        }
    }
}

/// Connections with which a listener's queue of none is kept full: one that it holds, and two that ask for the next
/// place should the first get in late.
const PLUGS: usize = 3;
/// After an error of accepting, as where descriptors are short.
const PAUSE: Duration = Duration::from_millis(10);

/// A listener that can be made silent: new connections to it then neither come up nor are refused, as those to a
/// machine that is gone.
pub struct Door {
    listener: AsyncListener,
    address: SocketAddr,
    /// While it is silent: connections of its own that fill the queue, so that the kernel drops those of others.
    plugs: Vec<std::net::TcpStream>,
}

impl Door {
    pub fn open(at: SocketAddr) -> io::Result<Door> {
        Ok(Door { listener: listen(at)?, address: at, plugs: Vec::new() })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_silent(&mut self, silent: bool) {
        if silent == self.plugs.is_empty() {
            // Listening once more sets the queue's length anew. Should it fail, connections come up and stay silent.
            let _ = rustix::net::listen(&self.listener, if silent { 0 } else { BACKLOG.into() });
            self.plugs.clear();
            if silent {
                self.plugs = (0..PLUGS).filter_map(|_| plug(self.address).ok()).collect();
            }
        }
    }

    /// The next connection of somebody else's.
    pub async fn accept(&self) -> TcpStream {
        loop {
            match self.listener.accept().await {
                // A plug that came up has ended by now, or is about to.
                Ok((stream, from)) if from.ip() != self.address.ip() => return stream,
                Ok(_) => {}
                Err(_) => sleep(PAUSE).await,
            }
        }
    }
}

/// Begins a connection from the listener's own host, by which it is known, and does not wait for it.
fn plug(to: SocketAddr) -> io::Result<std::net::TcpStream> {
    use rustix::net::{bind, connect, socket_with, AddressFamily, SocketFlags, SocketType};
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
    bind(&socket, &SocketAddr::new(to.ip(), 0))?;
    match connect(&socket, &to) {
        Ok(()) | Err(rustix::io::Errno::INPROGRESS) => Ok(socket.into()),
        Err(error) => Err(error.into()),
    }
}
