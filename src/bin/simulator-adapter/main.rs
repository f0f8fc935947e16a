//! The simulator adapter: runs the policies of many senders in one process for an external simulator, which
//! sends its events as lines on standard input and reads the actions from standard output (see [`host`]).
mod host;
mod listed;

use std::io::{BufRead, Write};

fn main() {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::BufWriter::new(std::io::stdout().lock());
    let mut host = host::Host::default();
    let mut reply = String::new();
    let mut line = Vec::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) => stop(&format!("line {}: cannot read: {e}", line_number + 1)),
        }
        line_number += 1;
        let text = match std::str::from_utf8(&line) {
            Ok(text) => text.trim_end_matches(['\n', '\r']),
            Err(_) => stop(&format!("line {line_number}: not UTF-8 text")),
        };
        match host.handle_line(text, &mut reply) {
            Ok(false) => {}
            // The line ended a batch: send the answer.
            Ok(true) => {
                let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
                // The simulator no longer reads the answers, so nothing is left to do.
                if sent.is_err() {
                    return;
                }
                reply.clear();
            }
            Err(e) => stop(&format!("line {line_number}: {e}")),
        }
    }
}

/// Prints why the input can't be read or understood and exits with status 2, as decisions on incomplete input
/// would be wrong.
fn stop(message: &str) -> ! {
    eprintln!("simulator-adapter: {message}");
    std::process::exit(2)
}
