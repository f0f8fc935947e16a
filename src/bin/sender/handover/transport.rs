//! Sends and receives frames, and the descriptors attached to them, over a Unix socket.
use super::frame;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsRawFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::UnixStream;

/// Bytes that are read at once.
const READ_BYTES: usize = 16 << 10;

/// The path of the handover socket, through the folder's descriptor: a socket's address can't hold a long
/// path.
pub struct SocketPath {
    _folder: File,
    pub path: PathBuf,
}

impl SocketPath {
    pub fn new(folder: &Path) -> io::Result<SocketPath> {
        let file = File::open(folder)?;
        let path = PathBuf::from(format!("/proc/self/fd/{}/handover", file.as_raw_fd()));
        Ok(SocketPath { _folder: file, path })
    }
}

/// Sends frames.
pub struct Writer(Rc<UnixStream>);

impl Writer {
    pub async fn send(&self, message: &impl Serialize, descriptor: Option<BorrowedFd<'_>>) -> io::Result<()> {
        let bytes = frame::encode(message, descriptor.is_some())?;
        let descriptors = descriptor.as_slice();
        let mut sent = 0;
        while sent < bytes.len() {
            self.0.writable().await?;
            let written = self.0.try_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                // The descriptor is attached to the frame's first byte.
                if sent == 0 && !descriptors.is_empty() {
                    control.push(SendAncillaryMessage::ScmRights(descriptors));
                }
                let unsent = [IoSlice::new(&bytes[sent..])];
                Ok(sendmsg(&self.0, &unsent, &mut control, SendFlags::NOSIGNAL | SendFlags::DONTWAIT)?)
            });
            match written {
                Ok(n) => sent += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// Receives frames, and the descriptors attached to them.
pub struct Reader {
    stream: Rc<UnixStream>,
    bytes: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
}

impl Reader {
    /// Receives the next frame and its descriptor; None at the end of the stream. Cancel safe: no data is
    /// lost if the future is dropped.
    pub async fn next<F: DeserializeOwned>(&mut self) -> io::Result<Option<(F, Option<OwnedFd>)>> {
        loop {
            if let Some(frame) = self.take()? {
                return Ok(Some(frame));
            }
            self.stream.readable().await?;
            let mut buffer = [0; READ_BYTES];
            let (bytes, descriptors) = (&mut self.bytes, &mut self.descriptors);
            let read = self.stream.try_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::DONTWAIT;
                let got =
                    recvmsg(&self.stream, &mut [IoSliceMut::new(&mut buffer)], &mut control, flags)?.bytes;
                for message in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(rights) = message {
                        descriptors.extend(rights);
                    }
                }
                Ok(got)
            });
            match read {
                Ok(0) => return Ok(None),
                Ok(n) => bytes.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Takes a frame from the buffer, if a whole one has been received.
    fn take<F: DeserializeOwned>(&mut self) -> io::Result<Option<(F, Option<OwnedFd>)>> {
        let Some(encoded) = frame::split_first(&self.bytes)? else { return Ok(None) };
        let (length, has_descriptor) = (encoded.encoded_len(), encoded.has_descriptor);
        let frame = rmp_serde::from_slice(encoded.body).map_err(io::Error::other)?;
        self.bytes.drain(..length);
        Ok(Some((frame, if has_descriptor { self.descriptors.pop_front() } else { None })))
    }
}

/// Splits a connection into its two directions.
pub fn split(stream: UnixStream) -> (Reader, Writer) {
    let stream = Rc::new(stream);
    (Reader { stream: stream.clone(), bytes: Vec::new(), descriptors: VecDeque::new() }, Writer(stream))
}
