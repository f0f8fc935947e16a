//! One call to discovery: a request for the list, or a watch for its changes.
use super::schedule::CallFailure;
use crate::connection::{self, Connection, ExchangeError};
use crate::list_intake::{BodyError, BodyProgress, ListReader};
use catalogue::intake::{IntakeError, LoadedList};
use hyper::body::Incoming;
use hyper::StatusCode;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// How long connecting to discovery may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call brought no list.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The call was rejected, or no connection could be made.
    #[error("the call was not accepted: {0}")]
    NotAccepted(String),
    /// The call was accepted, but no usable answer came.
    #[error("{0}")]
    Unusable(String),
    /// The list exceeds its limits.
    #[error("{0}")]
    OverLimits(IntakeError),
}

impl FetchError {
    pub fn failure(&self) -> CallFailure {
        match self {
            FetchError::NotAccepted(_) => CallFailure::NotAccepted,
            FetchError::Unusable(_) => CallFailure::Unusable,
            FetchError::OverLimits(_) => CallFailure::OverLimits,
        }
    }
}

impl From<BodyError> for FetchError {
    fn from(error: BodyError) -> FetchError {
        match error {
            BodyError::Rejected(IntakeError::Unreadable(error)) => {
                FetchError::Unusable(format!("the answer is not a valid list: {error}"))
            }
            BodyError::Rejected(refused) => FetchError::OverLimits(refused),
            error => FetchError::Unusable(error.to_string()),
        }
    }
}

/// What a call asks for.
pub struct ListRequest {
    pub address: SocketAddr,
    /// The generation since which changes are asked for. None: the whole list.
    pub known: Option<u64>,
    /// How long discovery may wait for a change.
    pub wait: Duration,
    /// When a short list must be complete. A long one may take longer, as long as more of it keeps coming.
    pub deadline: Instant,
}

impl ListRequest {
    fn path(&self) -> String {
        match self.known {
            Some(generation) => format!("/v1/servers?index={generation}&wait={}", self.wait.as_millis()),
            None => "/v1/servers".into(),
        }
    }
}

/// Sends the request; returns the body of the answer, which is still to be read, and its connection.
async fn send(
    request: &ListRequest,
    mut kept_connection: Option<Connection>,
) -> Result<(Connection, Incoming), FetchError> {
    let (conn, answer) = loop {
        let opened = Connection::reuse_or_open(&mut kept_connection, request.address, CONNECT_TIMEOUT).await;
        let mut conn = opened.map_err(|e| FetchError::NotAccepted(e.to_string()))?;
        let message = connection::request("GET", &request.path(), request.address, &[], Default::default());
        match conn.send(message).await {
            Ok(answer) => break (conn, answer),
            // The kept connection was closed after the last answer. No call has failed, so it is made again
            // at once, and only once, as the next connection is a new one.
            Err(ExchangeError::Unsent) if conn.is_reused() => {}
            Err(error) => return Err(FetchError::Unusable(error.to_string())),
        }
    };
    if answer.status() != StatusCode::OK {
        return Err(FetchError::NotAccepted(format!("answered {}", answer.status().as_u16())));
    }
    Ok((conn, answer.into_body()))
}

/// Makes one call and reads its list. Returns the connection for the next call.
pub async fn fetch_list(
    request: &ListRequest,
    kept_connection: Option<Connection>,
    reader: &ListReader,
    progress: &Cell<BodyProgress>,
) -> Result<(LoadedList, Connection), FetchError> {
    let timed_out = |_| FetchError::from(BodyError::TimedOut);
    let sent = timeout_at(request.deadline, send(request, kept_connection)).await;
    let (mut conn, body) = sent.map_err(timed_out)??;
    let list = reader.read(body, request.deadline, progress).await?;
    // Without a known list there is nothing to apply changes to.
    if !list.reset && request.known.is_none() {
        return Err(FetchError::Unusable("expected the whole list, received only changes".into()));
    }
    conn.wait_until_ready().await;
    Ok((list, conn))
}
