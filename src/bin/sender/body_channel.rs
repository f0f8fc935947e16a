//! A body's bytes on their way from the loop to a thread that reads them, with bounded memory between the two.
use bytes::{Buf, Bytes};
use std::io::{self, Read};
use tokio::sync::mpsc;

/// Bytes of one chunk, and chunks that wait for the reader, at most.
const CHUNK: usize = 64 << 10;
const WAITING: usize = 4;

enum Part {
    Bytes(Bytes),
    /// The body came whole.
    End,
}

/// The loop's end: waits while the reader is behind.
pub struct BodyWriter(mpsc::Sender<Part>);

/// The thread's end. A writer that goes away before it said that the body is whole is an error, never an end of file.
pub struct BodyReader {
    parts: mpsc::Receiver<Part>,
    chunk: Bytes,
    ended: bool,
}

/// The reader wants no more.
#[derive(Debug, PartialEq, Eq)]
pub struct ReaderGone;

pub fn body_channel() -> (BodyWriter, BodyReader) {
    let (writer, parts) = mpsc::channel(WAITING);
    (BodyWriter(writer), BodyReader { parts, chunk: Bytes::new(), ended: false })
}

impl BodyWriter {
    pub async fn write(&self, mut bytes: Bytes) -> Result<(), ReaderGone> {
        while !bytes.is_empty() {
            let chunk = bytes.split_to(bytes.len().min(CHUNK));
            self.0.send(Part::Bytes(chunk)).await.map_err(|_| ReaderGone)?;
        }
        Ok(())
    }

    /// Says that all of the body was written.
    pub async fn end(self) -> Result<(), ReaderGone> {
        self.0.send(Part::End).await.map_err(|_| ReaderGone)
    }
}

impl BodyReader {
    /// Waits for the next chunk where the last one is used up.
    fn fill(&mut self) -> io::Result<()> {
        while self.chunk.is_empty() && !self.ended {
            match self.parts.blocking_recv() {
                Some(Part::Bytes(chunk)) => self.chunk = chunk,
                Some(Part::End) => self.ended = true,
                None => return Err(io::Error::new(io::ErrorKind::ConnectionAborted, "the body broke off")),
            }
        }
        Ok(())
    }
}

impl Read for BodyReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.fill()?;
        let count = buffer.len().min(self.chunk.len());
        self.chunk.copy_to_slice(&mut buffer[..count]);
        Ok(count)
    }
}

#[cfg(test)]
mod tests;
