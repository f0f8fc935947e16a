//! A minimal HTTP/1.1 connection for the stub servers and clients, which need to know when bytes
//! arrive and to control how a connection ends. `httparse` parses the heads; bodies need a `Content-Length`.
use crate::clock::{Clock, Ns};
use bytes::{Buf, BytesMut};
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MAX_HEADERS: usize = 64;
/// Longest head in bytes.
const MAX_HEAD: usize = 16 << 10;
/// Longest body in bytes.
const MAX_BODY: usize = 4 << 20;

/// Why a message can't be read.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    #[error("the connection ended")]
    Ended,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("malformed HTTP/1.1 message: {0}")]
    Malformed(String),
}

impl HttpError {
    /// Returns true if the connection ended, by a close or an error.
    pub fn is_disconnect(&self) -> bool {
        !matches!(self, HttpError::Malformed(_))
    }
}

/// A request or response.
#[derive(Debug)]
pub struct Message {
    /// The request line or the status.
    pub start: Start,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the first byte had been read, or when reading began if the byte had been read ahead.
    pub first: Ns,
    /// When the last byte had been read.
    pub last: Ns,
}

/// The start line of a message.
#[derive(Debug, PartialEq, Eq)]
pub enum Start {
    Request { method: String, path: String },
    Status(u16),
}

impl Message {
    /// Returns the value of the first header with a name, whatever the case of the name's letters.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Returns true if the message has `Connection: close`.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    clock: Clock,
}

/// A parsed head: its own length, its start line and headers, and the length of the body that follows.
struct Head {
    length: usize,
    start: Start,
    headers: Vec<(String, String)>,
    body: usize,
}

impl Connection {
    /// Wraps a stream; times are read from `clock`.
    pub fn new(stream: TcpStream, clock: Clock) -> Connection {
        // Each message is sent in one write, which Nagle's algorithm would only delay.
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: BytesMut::new(), clock }
    }

    /// Reads a request.
    pub async fn read_request(&mut self) -> Result<Message, HttpError> {
        self.read(request_head).await
    }

    /// Reads a response. Returns `HttpError::Ended` if the connection is closed before the response is
    /// complete.
    pub async fn read_response(&mut self) -> Result<Message, HttpError> {
        self.read(response_head).await
    }

    /// Returns the bytes that were read beyond the last message.
    pub fn unread(&self) -> &[u8] {
        &self.buffer
    }

    async fn read(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<Option<Head>, HttpError>,
    ) -> Result<Message, HttpError> {
        if self.buffer.is_empty() {
            self.read_more().await?;
        }
        let first = self.clock.now();
        loop {
            if let Some(head) = parse(&self.buffer)? {
                if head.body > MAX_BODY {
                    return Err(HttpError::Malformed(format!(
                        "a body of {} bytes, and at most {MAX_BODY} are allowed",
                        head.body
                    )));
                }
                while self.buffer.len() < head.length + head.body {
                    self.read_more().await?;
                }
                let last = self.clock.now();
                self.buffer.advance(head.length);
                let body = self.buffer.split_to(head.body).to_vec();
                return Ok(Message { start: head.start, headers: head.headers, body, first, last });
            }
            if self.buffer.len() > MAX_HEAD {
                return Err(HttpError::Malformed("the head is too long".into()));
            }
            self.read_more().await?;
        }
    }

    /// Reads some bytes into the buffer.
    async fn read_more(&mut self) -> Result<(), HttpError> {
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(HttpError::Ended),
            _ => Ok(()),
        }
    }

    /// Waits until the connection has ended or more than `MAX_HEAD` bytes are unread. Bytes that arrive
    /// meanwhile are kept for the next message.
    pub async fn closed(&mut self) {
        while self.buffer.len() <= MAX_HEAD && self.read_more().await.is_ok() {}
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Ends the connection with a reset instead of a close.
    pub fn reset(self) {
        // If this fails the connection is closed, which the peer sees as broken too.
        let _ = self.stream.set_zero_linger();
    }
}

/// Returns true if a sender answers `GET /healthz` with 200.
pub async fn is_ready(at: SocketAddr, clock: Clock) -> bool {
    let Ok(stream) = TcpStream::connect(at).await else { return false };
    let mut connection = Connection::new(stream, clock);
    let request = b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    connection.write(request).await.is_ok()
        && matches!(connection.read_response().await, Ok(Message { start: Start::Status(200), .. }))
}

/// Returns the headers and the length of the body.
fn headers(parsed: &[httparse::Header]) -> Result<(Vec<(String, String)>, usize), HttpError> {
    let mut body = 0;
    let mut all = Vec::with_capacity(parsed.len());
    for header in parsed {
        let value = String::from_utf8_lossy(header.value).trim().to_string();
        if header.name.eq_ignore_ascii_case("content-length") {
            body = value
                .parse()
                .map_err(|_| HttpError::Malformed(format!("Content-Length is not a number: {value}")))?;
        }
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(HttpError::Malformed(format!("Transfer-Encoding is not supported: {value}")));
        }
        all.push((header.name.to_string(), value));
    }
    Ok((all, body))
}

/// Parses the head of a request. Returns `None` if it is incomplete.
fn request_head(bytes: &[u8]) -> Result<Option<Head>, HttpError> {
    let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut parsed);
    let status = request.parse(bytes).map_err(|e| HttpError::Malformed(e.to_string()))?;
    let httparse::Status::Complete(length) = status else { return Ok(None) };
    let text = |t: Option<&str>| t.unwrap_or_default().to_string();
    let start = Start::Request { method: text(request.method), path: text(request.path) };
    let (headers, body) = headers(request.headers)?;
    Ok(Some(Head { length, start, headers, body }))
}

/// Parses the head of a response. Returns `None` if it is incomplete.
fn response_head(bytes: &[u8]) -> Result<Option<Head>, HttpError> {
    let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut parsed);
    let status = response.parse(bytes).map_err(|e| HttpError::Malformed(e.to_string()))?;
    let httparse::Status::Complete(length) = status else { return Ok(None) };
    let start = Start::Status(response.code.unwrap_or_default());
    let (headers, body) = headers(response.headers)?;
    Ok(Some(Head { length, start, headers, body }))
}

/// Encodes a response. `headers` holds complete header lines, each with its CRLF.
pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        410 => "Gone",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    };
    let length = match status {
        204 => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let mut bytes = format!("HTTP/1.1 {status} {reason}\r\n{headers}{length}\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
