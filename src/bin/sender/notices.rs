//! Sends notices to the platform: each reports the outcome of an accepted message that was not delivered.
use crate::client::MAX_BODY;
use crate::connection::{self, Connection};
use crate::input::Input;
use sender::records::Undelivered;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

/// The outcome of one message that was not delivered.
pub struct Notice {
    pub id: u64,
    pub trace_id: String,
    pub undelivered: Undelivered,
}

/// Maximum number of notices in one post. Even with the longest ids its body stays under 64 KiB.
const MAX_BATCH: usize = 100;
/// How long the first attempt of a post may take. The platform answers at once, and a notice counts only up
/// to 300 ms after its message's deadline, so a post on a connection that is silent or was just closed is
/// soon repeated on another one. The time limit doubles with each further attempt, as more posts would not
/// help a platform that is slow.
const FIRST_TIMEOUT: Duration = Duration::from_millis(100);
/// How long any attempt of a post may take.
const MAX_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause before the third and each later attempt. The second attempt follows the first at once.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Formats a notice as one line of JSON.
fn json_line(notice: &Notice) -> String {
    let line = match notice.undelivered {
        Undelivered::GivenUp => json!({"message": notice.trace_id, "outcome": "given_up"}),
        Undelivered::HandedBack(None) => json!({"message": notice.trace_id, "outcome": "handed_back"}),
        Undelivered::HandedBack(Some(ms)) => {
            json!({"message": notice.trace_id, "outcome": "handed_back", "retry_in_ms": ms})
        }
    };
    format!("{line}\n")
}

/// Posts a batch of notices and keeps the connection for the next post.
async fn post(
    kept_connection: &mut Option<Connection>,
    address: SocketAddr,
    body: &str,
) -> Result<(), String> {
    let opened = Connection::reuse_or_open(kept_connection, address, MAX_TIMEOUT).await;
    let mut conn = opened.map_err(|e| e.to_string())?;
    let headers = [("content-type", "application/x-ndjson")];
    let request = connection::request("POST", "/reports", address, &headers, body.to_string().into());
    let (status, ..) = conn.exchange(request, MAX_BODY).await.map_err(|e| e.to_string())?;
    *kept_connection = Some(conn);
    if status == 204 {
        Ok(())
    } else {
        Err(format!("answered {status}"))
    }
}

/// Posts the notices of the core and tells the core once they are acknowledged. A post is repeated until it
/// is acknowledged, as every notice must arrive; a notice that arrives twice does no harm. Each attempt goes
/// to the current address of discovery.
pub async fn run(
    mut addresses: watch::Receiver<SocketAddr>,
    mut notices: mpsc::UnboundedReceiver<Notice>,
    core: mpsc::Sender<Input>,
) {
    let mut kept_connection = None;
    let mut failing = false;
    let mut batch = Vec::new();
    while notices.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let body: String = batch.iter().map(json_line).collect();
        let mut attempt_timeout = FIRST_TIMEOUT;
        loop {
            if addresses.has_changed().unwrap_or(false) {
                kept_connection = None;
            }
            let address = *addresses.borrow_and_update();
            let posted = timeout(attempt_timeout, post(&mut kept_connection, address, &body)).await;
            let Err(error) = posted.unwrap_or(Err("no answer in time".into())) else { break };
            let first = attempt_timeout == FIRST_TIMEOUT;
            attempt_timeout = (2 * attempt_timeout).min(MAX_TIMEOUT);
            if first {
                tracing::debug!(%error, notices = batch.len(), "a post of notices failed, retrying");
                continue;
            }
            if !std::mem::replace(&mut failing, true) {
                tracing::warn!(%error, notices = batch.len(), "posts of notices to the platform fail");
            }
            sleep(RETRY_PAUSE).await;
        }
        if std::mem::take(&mut failing) {
            tracing::info!("the platform accepts notices again");
        }
        let ids = batch.drain(..).map(|n| n.id).collect();
        if core.send(Input::NoticesAcknowledged(ids)).await.is_err() {
            return;
        }
    }
}
