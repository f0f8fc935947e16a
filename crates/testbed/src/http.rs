//! HTTP/1.1 messages for the stand-ins, which have to see when bytes come and to break off where they please.
//! Heads are read by `httparse`; bodies have a length.
use crate::clock::{Clock, Ns};
use bytes::{Buf, BytesMut};
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MAX_HEADERS: usize = 64;
const MAX_HEAD: usize = 16 << 10;
const MAX_BODY: usize = 4 << 20;

#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    #[error("the connection ended")]
    Ended,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("not HTTP/1.1: {0}")]
    Malformed(String),
}

impl HttpError {
    /// The peer ended the connection, orderly or not.
    pub fn is_disconnect(&self) -> bool {
        !matches!(self, HttpError::Malformed(_))
    }
}

/// A request or an answer as it was read.
#[derive(Debug)]
pub struct Message {
    /// `POST /v1/messages`, or the status.
    pub start: Start,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first and its last byte had been read.
    pub first: Ns,
    pub last: Ns,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Start {
    Request { method: String, path: String },
    Status(u16),
}

impl Message {
    /// The first header of that name, in whatever case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// One connection with what was read ahead on it.
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    clock: Clock,
}

struct Head {
    length: usize,
    start: Start,
    headers: Vec<(String, String)>,
    body: usize,
}

impl Connection {
    pub fn new(stream: TcpStream, clock: Clock) -> Connection {
        // Heads and bodies go out in one write each; waiting for more would only delay them.
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: BytesMut::new(), clock }
    }

    pub async fn read_request(&mut self) -> Result<Message, HttpError> {
        self.read(request_head).await
    }

    /// Reads an answer; `HttpError::Ended` where the connection ends before its first byte.
    pub async fn read_response(&mut self) -> Result<Message, HttpError> {
        self.read(response_head).await
    }

    /// Bytes that came and were not taken as a message.
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
                    return Err(HttpError::Malformed(format!("a body of {} bytes", head.body)));
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
                return Err(HttpError::Malformed("headers without end".into()));
            }
            self.read_more().await?;
        }
    }

    async fn read_more(&mut self) -> Result<(), HttpError> {
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(HttpError::Ended),
            _ => Ok(()),
        }
    }

    /// Ends once the peer has ended the connection. What it sends meanwhile is kept for the next message.
    pub async fn closed(&mut self) {
        while self.buffer.len() <= MAX_HEAD && self.read_more().await.is_ok() {}
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Ends the connection with a reset instead of an orderly end.
    pub fn reset(self) {
        // Without it the connection merely ends, which the peer sees as broken all the same.
        let _ = self.stream.set_zero_linger();
    }
}

/// Whether a sender answers `GET /healthz` with 200.
pub async fn is_ready(at: SocketAddr, clock: Clock) -> bool {
    let Ok(stream) = TcpStream::connect(at).await else { return false };
    let mut link = Connection::new(stream, clock);
    let ask = b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    link.write(ask).await.is_ok()
        && matches!(link.read_response().await, Ok(Message { start: Start::Status(200), .. }))
}

fn headers(parsed: &[httparse::Header]) -> Result<(Vec<(String, String)>, usize), HttpError> {
    let mut body = 0;
    let mut all = Vec::with_capacity(parsed.len());
    for header in parsed {
        let value = String::from_utf8_lossy(header.value).trim().to_string();
        if header.name.eq_ignore_ascii_case("content-length") {
            body = value.parse().map_err(|_| HttpError::Malformed(format!("a length of {value}")))?;
        }
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(HttpError::Malformed(format!("a body in the form {value}")));
        }
        all.push((header.name.to_string(), value));
    }
    Ok((all, body))
}

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

fn response_head(bytes: &[u8]) -> Result<Option<Head>, HttpError> {
    let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut parsed);
    let status = answer.parse(bytes).map_err(|e| HttpError::Malformed(e.to_string()))?;
    let httparse::Status::Complete(length) = status else { return Ok(None) };
    let start = Start::Status(answer.code.unwrap_or_default());
    let (headers, body) = headers(answer.headers)?;
    Ok(Some(Head { length, start, headers, body }))
}

/// An answer as bytes. `headers` are whole lines, each with its end.
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
