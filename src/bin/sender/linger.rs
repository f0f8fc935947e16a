//! The lingering close, which makes sure that the peer can read the last answer.
//!
//! Closing a socket that has unread bytes resets the connection, and the reset may destroy an answer that the
//! peer has not read yet. So the writing side is shut down first, further bytes are read and discarded, and
//! the socket is closed once the peer has closed its side or a limit is reached.
use crate::socket::Socket;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long the peer may take to close its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// How many bytes the peer may still send: enough for a request that was sent before the peer saw the close,
/// but not for an endless body.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// Closes a connection after a lingering close. Nothing that is read is acted on, as it could no longer be
/// answered.
pub async fn close(stream: TcpStream) {
    let mut stream = Socket::new(stream);
    if stream.shutdown().await.is_err() {
        return;
    }
    let discard = async {
        let (mut buffer, mut read) = ([0; DISCARD_BUFFER_BYTES], 0);
        while read < MAX_DISCARDED_BYTES {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => read += count,
            }
        }
    };
    let _ = timeout(LINGER_TIMEOUT, discard).await;
}
