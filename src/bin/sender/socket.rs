//! TCP connections on which a short count says nothing of what is left.
//!
//! After a read or write of less than was asked for, tokio's own stream takes the socket for empty or full
//! and waits for the next event of an edge-triggered poll. If bytes or room were left, as Linux allows, that
//! event never comes. Here a socket is empty or full only when the system says so (`EAGAIN`). An interrupted
//! call is made again.
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that the system keeps of what a client has sent and the sender has not read: a request of the longest
/// kind. The system gives twice as much, for its own use.
const CLIENT_RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Bytes that the system keeps of answers that a client has not read.
const CLIENT_SEND_BUFFER_BYTES: usize = 16 << 10;

/// Bounds the buffers of the system for the connections that a listener accepts.
///
/// Without a bound the system grows them to megabytes for each connection. It also works off what a fast peer
/// has sent meanwhile within a call to write, so that the time of such a call grows with the buffer.
pub fn bound_client_buffers(listener: &impl AsFd) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(CLIENT_RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(CLIENT_SEND_BUFFER_BYTES)
}

/// A TCP connection. Clones share it, so that one may read while another writes; it is closed when all are
/// dropped.
#[derive(Clone)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    pub fn new(stream: TcpStream) -> Socket {
        Socket(Rc::new(stream))
    }

    /// Connects to an address, with small writes sent at once.
    pub async fn connect(address: SocketAddr) -> io::Result<Socket> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Socket::new(stream))
    }

    /// Returns the stream if this is the only clone.
    pub fn into_stream(self) -> Option<TcpStream> {
        Rc::into_inner(self.0)
    }

    /// Returns a handle that does not keep the connection open.
    pub fn downgrade(&self) -> WeakSocket {
        WeakSocket(Rc::downgrade(&self.0))
    }

    /// Returns the socket itself, for calls that neither read nor write.
    pub fn as_sock_ref(&self) -> SockRef<'_> {
        SockRef::from(&*self.0)
    }

    /// Writes with `write` as soon as the socket is not full.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(error) if is_transient(&error) => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

/// A handle of a connection that does not keep it open.
#[derive(Clone)]
pub struct WeakSocket(Weak<TcpStream>);

impl WeakSocket {
    /// Returns whether the peer has ended the connection, even if bytes that it sent before are still unread,
    /// or the connection is closed.
    pub fn peer_has_left(&self) -> bool {
        let Some(stream) = self.0.upgrade() else { return true };
        let mut polled = [PollFd::new(&*stream, PollFlags::RDHUP)];
        let now = Timespec { tv_sec: 0, tv_nsec: 0 };
        // A call that fails says nothing of the peer.
        poll(&mut polled, Some(&now)).is_ok_and(|ready| ready > 0)
    }
}

/// Returns whether the call is to be made again, once the socket is ready.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read_buf(buf) {
                Err(error) if is_transient(&error) => {}
                result => return Poll::Ready(result.map(|_| ())),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.as_sock_ref().shutdown(Shutdown::Write))
    }
}
