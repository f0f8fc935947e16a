//! Reads the bodies of requests and answers in bounded memory.
//!
//! hyper passes on a body in frames that share its read buffers, one for each chunk of a chunked body. Frames
//! of a single byte that are kept until the body is complete take many times the memory of the body, so each
//! frame is copied into one buffer at once.
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    #[error("the body is too long")]
    TooLong,
    #[error("the body can't be read")]
    Unreadable,
}

/// Returns the next data of a body; None at its end.
pub async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, ReadError> {
    while let Some(frame) = body.frame().await {
        // Frames that hold no data are trailers, which mean nothing here.
        if let Ok(data) = frame.map_err(|_| ReadError::Unreadable)?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Reads a body of at most `max_bytes`.
pub async fn read(mut body: Incoming, max_bytes: usize) -> Result<Bytes, ReadError> {
    let mut bytes = Vec::new();
    while let Some(data) = next_data(&mut body).await? {
        if bytes.len() + data.len() > max_bytes {
            return Err(ReadError::TooLong);
        }
        bytes.extend_from_slice(&data);
    }
    bytes.shrink_to_fit();
    Ok(bytes.into())
}

/// Reads a body of at most `max_bytes` to its end and discards it.
pub async fn discard(mut body: Incoming, max_bytes: usize) -> Result<(), ReadError> {
    let mut length = 0;
    while let Some(data) = next_data(&mut body).await? {
        length += data.len();
        if length > max_bytes {
            return Err(ReadError::TooLong);
        }
    }
    Ok(())
}
