//! The lingering close: the end of a connection that takes nothing of what was answered on it along.
//!
//! A socket that is closed while bytes lie unread in it resets its connection, and the reset may overtake an
//! answer that the peer has not read yet. So the writing side is shut first, what still comes is read and thrown
//! away, and the socket is closed once the peer has ended its side too, or after a while.
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long the peer may take to end its side, and how much it may still send: enough for a request that crossed
/// the close, and not for a flood.
const LINGER: Duration = Duration::from_secs(1);
const MOST: usize = 1 << 20;
/// Read at a time of what nobody wants.
const SCRAP: usize = 4 << 10;

/// Nothing that comes from here on is acted on: its answer could no longer be given.
pub async fn close(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let rest = async {
        let (mut scrap, mut read) = ([0; SCRAP], 0);
        while read < MOST {
            match stream.read(&mut scrap).await {
                Ok(0) | Err(_) => return,
                Ok(count) => read += count,
            }
        }
    };
    let _ = timeout(LINGER, rest).await;
}
