//! Reads the address of discovery again on SIGHUP.
//!
//! The old address is closed soon after the signal, so a file that can't be read at that moment is read
//! again.
use crate::config;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::sleep;

/// Pauses before a file that could not be used is read again; each is twice as long as the one before.
/// Changes that discovery has count as known 4 s after the signal.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Sets the address on each signal, for as long as the process runs.
pub async fn run(mut hangup: Signal, address: Rc<watch::Sender<SocketAddr>>) {
    while hangup.recv().await.is_some() {
        let read = read_address(&mut hangup).await;
        tracing::info!(discovery = %read, "reloaded");
        address.send_replace(read);
    }
}

/// Reads the address from the file until that succeeds, and at once on another signal.
async fn read_address(hangup: &mut Signal) -> SocketAddr {
    let mut pause = FIRST_PAUSE;
    loop {
        match config::reload_discovery().await {
            Ok(address) => return address,
            Err(error) if pause == FIRST_PAUSE => {
                tracing::warn!(%error, "cannot reload the address of discovery; keeping the current one")
            }
            Err(error) => tracing::debug!(%error, ?pause, "still cannot reload the address of discovery"),
        }
        tokio::select! {
            () = sleep(pause) => pause = (2 * pause).min(MAX_PAUSE),
            _ = hangup.recv() => pause = FIRST_PAUSE,
        }
    }
}
