//! What a reader on another thread makes of a body that comes whole, and of one that does not.
use super::*;
use std::future::Future;
use std::thread;
use std::time::Duration;

fn on_one_thread<T>(test: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test)
}

fn read_all(mut reader: BodyReader) -> thread::JoinHandle<io::Result<Vec<u8>>> {
    thread::spawn(move || {
        let mut bytes = Vec::new();
        reader.read_to_end(&mut bytes).map(|_| bytes)
    })
}

#[test]
fn a_whole_body_is_read_as_it_was_written() {
    let body: Vec<u8> = (0..CHUNK * 10 + 7).map(|i| (i * 7 % 251) as u8).collect();
    let (writer, reader) = body_channel();
    let read = read_all(reader);
    on_one_thread(async {
        // In pieces below and above the size of a chunk.
        for piece in body.chunks(CHUNK + CHUNK / 3) {
            writer.write(Bytes::copy_from_slice(piece)).await.unwrap();
        }
        writer.end().await.unwrap();
    });
    assert!(read.join().unwrap().unwrap() == body);
}

#[test]
fn a_body_that_breaks_off_is_an_error_and_no_end_of_file() {
    let (writer, reader) = body_channel();
    let read = read_all(reader);
    on_one_thread(async { writer.write(Bytes::from_static(b"[1,2]")).await.unwrap() });
    drop(writer);
    assert_eq!(read.join().unwrap().unwrap_err().kind(), io::ErrorKind::ConnectionAborted);
}

#[test]
fn the_writer_waits_for_a_reader_that_is_behind() {
    let (writer, mut reader) = body_channel();
    on_one_thread(async {
        for _ in 0..WAITING {
            writer.write(Bytes::from_static(b"x")).await.unwrap();
        }
        let late = writer.write(Bytes::from_static(b"y"));
        assert!(tokio::time::timeout(Duration::from_millis(20), late).await.is_err());
    });
    let mut buffer = [0; 8];
    assert_eq!(reader.read(&mut buffer).unwrap(), 1);
    on_one_thread(async { writer.write(Bytes::from_static(b"y")).await.unwrap() });
}

#[test]
fn a_writer_hears_that_the_reader_wants_no_more() {
    let (writer, reader) = body_channel();
    drop(reader);
    on_one_thread(async {
        assert_eq!(writer.write(Bytes::from_static(b"x")).await, Err(ReaderGone));
        assert_eq!(writer.end().await, Err(ReaderGone));
    });
}
