//! Tests of reading complete and truncated bodies on another thread.
use super::*;
use std::future::Future;
use std::thread;
use std::time::Duration;

fn block_on<T>(test: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test)
}

fn spawn_reader(mut reader: BodyReader) -> thread::JoinHandle<io::Result<Vec<u8>>> {
    thread::spawn(move || {
        let mut bytes = Vec::new();
        reader.read_to_end(&mut bytes).map(|_| bytes)
    })
}

#[test]
fn reads_complete_body() {
    let body: Vec<u8> = (0..CHUNK_BYTES * 10 + 7).map(|i| (i * 7 % 251) as u8).collect();
    let (writer, reader) = body_channel();
    let read = spawn_reader(reader);
    block_on(async {
        // Each piece is larger than a chunk, except for the last one.
        for piece in body.chunks(CHUNK_BYTES + CHUNK_BYTES / 3) {
            writer.write(Bytes::copy_from_slice(piece)).await.unwrap();
        }
        writer.end().await.unwrap();
    });
    assert!(read.join().unwrap().unwrap() == body);
}

#[test]
fn reports_truncated_body_as_error() {
    let (writer, reader) = body_channel();
    let read = spawn_reader(reader);
    block_on(async { writer.write(Bytes::from_static(b"[1,2]")).await.unwrap() });
    drop(writer);
    assert_eq!(read.join().unwrap().unwrap_err().kind(), io::ErrorKind::ConnectionAborted);
}

#[test]
fn writer_waits_for_slow_reader() {
    let (writer, mut reader) = body_channel();
    block_on(async {
        for _ in 0..MAX_QUEUED_CHUNKS {
            writer.write(Bytes::from_static(b"x")).await.unwrap();
        }
        let blocked = writer.write(Bytes::from_static(b"y"));
        assert!(tokio::time::timeout(Duration::from_millis(20), blocked).await.is_err());
    });
    let mut buffer = [0; 8];
    assert_eq!(reader.read(&mut buffer).unwrap(), 1);
    block_on(async { writer.write(Bytes::from_static(b"y")).await.unwrap() });
}

#[test]
fn writer_fails_after_reader_is_dropped() {
    let (writer, reader) = body_channel();
    drop(reader);
    block_on(async {
        assert_eq!(writer.write(Bytes::from_static(b"x")).await, Err(ReaderDropped));
        assert_eq!(writer.end().await, Err(ReaderDropped));
    });
}
