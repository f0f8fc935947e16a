//! What is kept of a connection's requests.
use super::*;

#[test]
fn of_what_a_connection_brings_only_the_headers_are_kept() {
    let link = Link::new(Instant::now(), false);
    link.note(b"POST /a HTTP/1.1\r\nHost: x\r\n");
    assert!(!link.tells_no_length(), "they have not come whole");
    link.note(b"\r\nContent-Length: 1");
    link.note(&[b'x'; 4_000]);
    assert_eq!(*link.head.borrow(), b"POST /a HTTP/1.1\r\nHost: x\r\n\r\n");
    assert!(link.tells_no_length());
    link.head.take();
    link.note(b"POST /a HTTP/1.1\r\ncontent-length : 1\r\n\r\n");
    assert!(!link.tells_no_length());
}
