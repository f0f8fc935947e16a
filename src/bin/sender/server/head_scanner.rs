//! Follows the headers of a request as its bytes are read, without keeping them.
//!
//! hyper removes a Content-Length that it ignores beside a Transfer-Encoding, so whether a request had one is
//! seen here, in the bytes themselves.
use super::MAX_HEAD_BYTES;

const HEAD_END: &[u8] = b"\r\n\r\n";
const CONTENT_LENGTH: &[u8] = b"content-length";

/// How far the name of the header in the current line is that of a Content-Length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineMatch {
    /// Only whitespace has come.
    #[default]
    Blank,
    /// This many bytes of the name have come.
    Partial(usize),
    /// The name has come, and only whitespace after it.
    Name,
    /// The line has another name, or the name is over.
    Other,
}

/// The headers of the next request, as far as they have been read.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScanner {
    bytes: usize,
    /// How many bytes of `HEAD_END` have come.
    end_matched: usize,
    line: LineMatch,
    has_content_length: bool,
}

impl HeadScanner {
    /// Returns whether a byte of the request has been read.
    pub fn has_begun(&self) -> bool {
        self.bytes > 0
    }

    /// Returns whether the headers are complete and contain no Content-Length.
    pub fn lacks_content_length(&self) -> bool {
        self.is_complete() && !self.has_content_length
    }

    /// Takes bytes of the request. Those behind its headers, or beyond the longest headers, are ignored.
    pub fn scan(&mut self, read: &[u8]) {
        for &byte in read {
            if self.is_complete() || self.bytes >= MAX_HEAD_BYTES {
                return;
            }
            self.bytes += 1;
            self.scan_for_end(byte);
            self.scan_line(byte);
        }
    }

    fn is_complete(&self) -> bool {
        self.end_matched == HEAD_END.len()
    }

    fn scan_for_end(&mut self, byte: u8) {
        self.end_matched = match byte {
            _ if byte == HEAD_END[self.end_matched] => self.end_matched + 1,
            b'\r' => 1,
            _ => 0,
        };
    }

    fn scan_line(&mut self, byte: u8) {
        if matches!(byte, b'\n' | b':') {
            self.has_content_length |= self.line == LineMatch::Name;
            self.line = if byte == b'\n' { LineMatch::Blank } else { LineMatch::Other };
            return;
        }
        self.line = match self.line {
            LineMatch::Blank if byte.is_ascii_whitespace() => LineMatch::Blank,
            LineMatch::Name if byte.is_ascii_whitespace() => LineMatch::Name,
            LineMatch::Blank => match_name(0, byte),
            LineMatch::Partial(matched) => match_name(matched, byte),
            LineMatch::Name | LineMatch::Other => LineMatch::Other,
        };
    }
}

/// Takes the byte of a name of which this many bytes have matched.
fn match_name(matched: usize, byte: u8) -> LineMatch {
    match matched + 1 {
        _ if byte.to_ascii_lowercase() != CONTENT_LENGTH[matched] => LineMatch::Other,
        whole if whole == CONTENT_LENGTH.len() => LineMatch::Name,
        part => LineMatch::Partial(part),
    }
}

#[cfg(test)]
mod tests;
