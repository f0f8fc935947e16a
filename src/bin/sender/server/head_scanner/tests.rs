//! Tests of what is seen of a request's headers.
use super::*;

/// Scans each part in turn.
fn scanned(parts: &[&[u8]]) -> HeadScanner {
    let mut head = HeadScanner::default();
    parts.iter().for_each(|part| head.scan(part));
    head
}

#[test]
fn sees_only_headers_of_next_request() {
    let begun: &[u8] = b"POST /a HTTP/1.1\r\nHost: x\r\n";
    assert!(!HeadScanner::default().has_begun());
    assert!(scanned(&[begun]).has_begun());
    assert!(!scanned(&[begun]).lacks_content_length(), "the headers are not complete");
    let body = [b'x'; 4_000];
    let head = scanned(&[begun, b"\r\nContent-Length: 1", &body]);
    assert!(head.lacks_content_length());
    assert_eq!(head.bytes, begun.len() + 2);
}

#[test]
fn finds_content_length_however_it_is_written_and_read() {
    for line in [
        "Content-Length: 1",
        "content-length : 1",
        "CONTENT-LENGTH\t:1",
        " content-length:",
        "content-length",
    ] {
        let request = format!("POST /a HTTP/1.1\r\nHost: x\r\n{line}\r\nX-Other: y\r\n\r\n");
        assert!(!scanned(&[request.as_bytes()]).lacks_content_length(), "{line}");
        let bytes: Vec<&[u8]> = request.as_bytes().chunks(1).collect();
        assert!(!scanned(&bytes).lacks_content_length(), "{line}, a byte at a time");
    }
}

#[test]
fn other_headers_are_no_content_length() {
    for line in [
        "X-Content-Length: 1",
        "Content-Lengt: 1",
        "Content-Lengths: 1",
        "X: content-length: 1",
        "Content Length: 1",
    ] {
        let request = format!("POST /a HTTP/1.1\r\n{line}\r\n\r\n");
        assert!(scanned(&[request.as_bytes()]).lacks_content_length(), "{line}");
    }
}

#[test]
fn finds_end_behind_further_carriage_returns() {
    assert!(scanned(&[b"GET / HTTP/1.1\r\r\n\r\n"]).lacks_content_length());
    assert!(!scanned(&[b"GET / HTTP/1.1\r\n\r\r\n"]).lacks_content_length());
}

#[test]
fn too_long_headers_are_never_complete() {
    let mut request = vec![b'x'; MAX_HEAD_BYTES - 1];
    request.extend_from_slice(HEAD_END);
    assert!(!scanned(&[&request]).lacks_content_length());
}
