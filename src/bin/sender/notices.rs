//! Notices to the platform: how messages ended that were taken on and not delivered.
use crate::client::MAX_BODY;
use crate::connection::{self, Connection};
use crate::input::Input;
use sender::records::Undelivered;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

pub struct Notice {
    pub id: u64,
    pub trace: String,
    pub ending: Undelivered,
}

/// Notices in one post at most: with the longest ids that are taken on the body stays under 64 KiB.
const MOST: usize = 100;
/// How long the platform may take to answer: it does at once, and a notice counts up to 300 ms after its message's
/// time. So a post that meets a connection which has fallen silent, or had just ended, is soon repeated on another
/// one; each further try may take twice as long, as a platform that is slow is not helped by more posts.
const ANSWER: Duration = Duration::from_millis(100);
const LONGEST: Duration = Duration::from_secs(1);
/// The pause before a post is repeated, but for the first time.
const PAUSE: Duration = Duration::from_millis(100);

fn line(notice: &Notice) -> String {
    let line = match notice.ending {
        Undelivered::GivenUp => json!({"message": notice.trace, "outcome": "given_up"}),
        Undelivered::HandedBack(None) => json!({"message": notice.trace, "outcome": "handed_back"}),
        Undelivered::HandedBack(Some(ms)) => {
            json!({"message": notice.trace, "outcome": "handed_back", "retry_in_ms": ms})
        }
    };
    format!("{line}\n")
}

async fn post(connection: &mut Option<Connection>, at: SocketAddr, body: &str) -> Result<(), String> {
    let kept = Connection::kept_or_new(connection, at, LONGEST).await;
    let mut link = kept.map_err(|e| e.to_string())?;
    let headers = [("content-type", "application/x-ndjson")];
    let request = connection::request("POST", "/reports", at, &headers, body.to_string().into());
    let (status, ..) = link.exchange(request, MAX_BODY).await.map_err(|e| e.to_string())?;
    *connection = Some(link);
    if status == 204 {
        Ok(())
    } else {
        Err(format!("answered {status}"))
    }
}

/// Posts what the core hands over and tells it what was answered for. A post is repeated until then, as each
/// of its messages is owed its end; a notice that comes twice does no harm.
/// Each try goes to where discovery is by then.
pub async fn run(
    mut at: watch::Receiver<SocketAddr>,
    mut notices: mpsc::UnboundedReceiver<Notice>,
    core: mpsc::Sender<Input>,
) {
    let mut connection = None;
    let mut failing = false;
    let mut batch = Vec::new();
    while notices.recv_many(&mut batch, MOST).await > 0 {
        let body: String = batch.iter().map(line).collect();
        let mut allowed = ANSWER;
        loop {
            if at.has_changed().unwrap_or(false) {
                connection = None;
            }
            let address = *at.borrow_and_update();
            let posted = timeout(allowed, post(&mut connection, address, &body)).await;
            let Err(error) = posted.unwrap_or(Err("is silent".into())) else { break };
            let first = allowed == ANSWER;
            allowed = (2 * allowed).min(LONGEST);
            if first {
                tracing::debug!(%error, notices = batch.len(), "a post of notices is repeated");
                continue;
            }
            if !std::mem::replace(&mut failing, true) {
                tracing::warn!(%error, notices = batch.len(), "the platform takes no notices");
            }
            sleep(PAUSE).await;
        }
        if std::mem::take(&mut failing) {
            tracing::info!("the platform takes notices again");
        }
        let ids = batch.drain(..).map(|n| n.id).collect();
        if core.send(Input::NoticesAcknowledged(ids)).await.is_err() {
            return;
        }
    }
}
