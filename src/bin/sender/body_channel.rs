//! A bounded channel that passes the bytes of an HTTP body from the event loop to a thread that reads them.
use bytes::{Buf, Bytes};
use std::io::{self, Read};
use tokio::sync::mpsc;

/// Maximum size of one chunk.
const CHUNK_BYTES: usize = 64 << 10;
/// Maximum number of chunks in the channel.
const MAX_QUEUED_CHUNKS: usize = 4;

enum Part {
    Bytes(Bytes),
    /// All of the body has been sent.
    End,
}

/// The sending half, for the event loop. It waits while the channel is full.
pub struct BodyWriter(mpsc::Sender<Part>);

/// The receiving half, for the reading thread. If the writer is dropped before [`BodyWriter::end`], reading
/// fails: a truncated body never looks like an end of file.
pub struct BodyReader {
    parts: mpsc::Receiver<Part>,
    chunk: Bytes,
    ended: bool,
}

/// The reader has been dropped.
#[derive(Debug, PartialEq, Eq)]
pub struct ReaderDropped;

/// Creates a channel for one body.
pub fn body_channel() -> (BodyWriter, BodyReader) {
    let (writer, parts) = mpsc::channel(MAX_QUEUED_CHUNKS);
    (BodyWriter(writer), BodyReader { parts, chunk: Bytes::new(), ended: false })
}

impl BodyWriter {
    /// Sends bytes of the body.
    pub async fn write(&self, mut bytes: Bytes) -> Result<(), ReaderDropped> {
        while !bytes.is_empty() {
            let chunk = bytes.split_to(bytes.len().min(CHUNK_BYTES));
            self.0.send(Part::Bytes(chunk)).await.map_err(|_| ReaderDropped)?;
        }
        Ok(())
    }

    /// Marks the body as complete.
    pub async fn end(self) -> Result<(), ReaderDropped> {
        self.0.send(Part::End).await.map_err(|_| ReaderDropped)
    }
}

impl BodyReader {
    /// Waits for the next chunk once the current one has been read.
    fn fill(&mut self) -> io::Result<()> {
        while self.chunk.is_empty() && !self.ended {
            match self.parts.blocking_recv() {
                Some(Part::Bytes(chunk)) => self.chunk = chunk,
                Some(Part::End) => self.ended = true,
                None => {
                    return Err(io::Error::new(
                        io::ErrorKind::ConnectionAborted,
                        "the body ended before it was complete",
                    ))
                }
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
