//! Tests of the request headers that a connection's state keeps.
use super::*;

#[test]
fn keeps_only_headers_of_next_request() {
    let state = ConnectionState::new(Instant::now(), false);
    state.record_head(b"POST /a HTTP/1.1\r\nHost: x\r\n");
    assert!(!state.lacks_content_length(), "the headers are not complete");
    state.record_head(b"\r\nContent-Length: 1");
    state.record_head(&[b'x'; 4_000]);
    assert_eq!(*state.head.borrow(), b"POST /a HTTP/1.1\r\nHost: x\r\n\r\n");
    assert!(state.lacks_content_length());
    state.head.take();
    state.record_head(b"POST /a HTTP/1.1\r\ncontent-length : 1\r\n\r\n");
    assert!(!state.lacks_content_length());
}
