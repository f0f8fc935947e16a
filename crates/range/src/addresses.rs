//! Loopback addresses that nobody else is given, also while nobody listens there.
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::net::{TcpListener as AsyncListener, TcpSocket};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 256;
/// How often an address is drawn before the range gives up.
const TRIES: usize = 32;

/// An address with a free port, on a host of this process's own within 127.64.0.0/10: the ports that the kernel
/// deals out on 127.0.0.1 don't clash with it while it is shut.
pub fn free() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id().to_be_bytes();
    let mut failed = None;
    for _ in 0..TRIES {
        let number = (NEXT.fetch_add(1, Ordering::Relaxed) % 250) as u8 + 1;
        let host = Ipv4Addr::new(127, 64 | (process[2] & 0x3f), process[3], number);
        match TcpListener::bind((host, 0)).and_then(|l| l.local_addr()) {
            Ok(at) => return Ok(at),
            Err(error) => failed = Some(error),
        }
    }
    Err(failed.unwrap_or_else(|| io::Error::from(io::ErrorKind::AddrInUse)))
}

/// Listens at an address that may just have been given up by an earlier listener.
pub fn listen(at: SocketAddr) -> io::Result<AsyncListener> {
    debug_assert!(matches!(at.ip(), IpAddr::V4(ip) if ip.is_loopback()));
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}
