//! The messages between the two processes of an upgrade.
//!
//! A process of an earlier version ends its reading at a frame that it does not know, so a new kind of frame
//! goes only to a process that has said that it knows it.
use super::report::Report;
use crate::input::{MaintenanceReply, Reply};
use crate::process_state::HandoverState;
use crate::process_state_v1::StateV1;
use bytes::Bytes;
use sender::api::AttemptEnd;
use sender::records::AcceptedMessage;
use serde::{Deserialize, Serialize};
use std::io;
use std::time::Duration;

/// The version of the handed-over state.
pub const VERSION: u32 = 2;
/// The previous version, which is accepted from an old process but not sent to a new one.
pub const PREVIOUS_VERSION: u32 = 1;
/// Bytes of the longest frame: the whole state, with room to spare.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Bytes of a frame's header: its length, and whether a descriptor is attached.
pub const FRAME_HEADER_BYTES: usize = 5;

/// A message between the two processes.
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// New to old: asks it to hand over. A process that reports what it learns attaches the pipe of its
    /// reports.
    #[serde(rename = "Ask")]
    HandoverRequest { version: u32 },
    /// Old to new: the reply, with the listener attached.
    State(Box<HandoverState>),
    /// Old to new: a client's connection, attached as a descriptor.
    #[serde(rename = "Client")]
    ClientConnection {
        /// Bytes that were read of the next request.
        read: Bytes,
        /// Whether a request on the connection has been answered.
        whole: bool,
        /// Time since the connection was opened or its last answer was given.
        stood: Duration,
    },
    /// Old to new: how attempts ended.
    #[serde(rename = "Ended")]
    AttemptsEnded(Vec<AttemptEnd>),
    /// Old to new: a message from a client whose connection has not been handed over yet. `left` is the time
    /// to its deadline.
    #[serde(rename = "Offer")]
    Submit { number: u64, taken: AcceptedMessage, body: Bytes, left: Duration },
    /// New to old: the reply to the submission with this number.
    #[serde(rename = "Answer")]
    SubmitReply { number: u64, reply: Option<Reply> },
    /// Old to new: an operator's call.
    #[serde(rename = "Maint")]
    Maintenance { number: u64, name: String, out: bool },
    /// New to old: the reply to the operator's call with this number.
    #[serde(rename = "Changed")]
    MaintenanceReply { number: u64, change: Option<MaintenanceReply> },
    /// New to old: the policy cancels an attempt.
    Cancel { id: u64, attempt: u32 },
    /// Old to new, if that reports: what the old process was told after it had handed over.
    Report(Report),
}

/// [`Frame::State`], of a state that the old process keeps.
#[derive(Serialize)]
pub enum StateFrame<'a> {
    State(&'a HandoverState),
}

/// The reply of an old process of version 1.
#[derive(Deserialize)]
pub enum FrameV1 {
    State(Box<StateV1>),
}

/// Encodes a message with its header.
pub fn encode(message: &impl Serialize, has_descriptor: bool) -> io::Result<Vec<u8>> {
    let body = rmp_serde::to_vec_named(message).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.push(u8::from(has_descriptor));
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// A frame at the start of a buffer.
pub struct EncodedFrame<'a> {
    pub body: &'a [u8],
    pub has_descriptor: bool,
}

impl EncodedFrame<'_> {
    /// Returns the length of the frame with its header.
    pub fn encoded_len(&self) -> usize {
        FRAME_HEADER_BYTES + self.body.len()
    }
}

/// Returns the frame at the start of a buffer, if a whole one has been received.
pub fn split_first(bytes: &[u8]) -> io::Result<Option<EncodedFrame<'_>>> {
    let Some((head, rest)) = bytes.split_first_chunk::<FRAME_HEADER_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::other("the frame is longer than 16 MiB"));
    }
    Ok(rest.get(..length).map(|body| EncodedFrame { body, has_descriptor: head[4] != 0 }))
}
