//! Clients that send malformed requests, one of each form that the protocol excludes.
//!
//! A sender has to answer each with an error or close the connection in time, and must not accept the
//! message.
use crate::clock::{from_seconds, Ns, MS, SECOND};
use crate::endpoints::StubContext;
use crate::facts::FactKind;
use crate::http::{Connection, Start};
use crate::plan::Plan;
use rand::RngExt;
use rand_distr::{Distribution, Exp};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Time from connecting within which a sender has to answer with an error or close (TERMS).
const DEADLINE: Ns = 3 * SECOND;
/// Time from connecting within which a sender has to do so if the client sends a long body.
const LONG_BODY_DEADLINE: Ns = 6 * SECOND;
/// Time after which a client gives up.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(9);
/// Size of a long body. The terms speak of 60 MB, which would take the testbed time without testing more.
const LONG_BODY_BYTES: usize = 4 << 20;

/// A form of malformed request.
pub struct RequestFault {
    pub name: &'static str,
    bytes: fn() -> Vec<u8>,
    /// Time from connecting within which the sender has to answer with an error or close.
    within: Ns,
}

/// A valid request with a change applied. Its message id belongs to no message of the plan.
fn request(change: impl Fn(&mut Vec<String>)) -> Vec<u8> {
    let mut lines: Vec<String> = [
        "POST /rate-push HTTP/1.1",
        "Host: api.internal",
        "X-Trace-Id: ffffffffffffffff",
        "X-Qos: rate-push",
        "X-Expires-In-Ms: 9000",
        "Content-Length: 2",
        "X-Consignee: dest=0",
    ]
    .map(String::from)
    .to_vec();
    change(&mut lines);
    (lines.join("\r\n") + "\r\n\r\nhi").into_bytes()
}

/// A request without the header `name`.
fn without(name: &'static str) -> Vec<u8> {
    request(|lines| lines.retain(|l| !l.starts_with(name)))
}

/// A request with `line` in place of the lines that start with `name`.
fn with(name: &'static str, line: &str) -> Vec<u8> {
    request(|lines| {
        for l in lines.iter_mut().filter(|l| l.starts_with(name)) {
            *l = line.to_string();
        }
    })
}

/// All forms, in the order in which they are sent.
pub const REQUEST_FAULTS: &[RequestFault] = &[
    RequestFault { name: "nothing sent", bytes: Vec::new, within: DEADLINE },
    RequestFault {
        name: "half a head",
        bytes: || b"POST /rate-push HTTP/1.1\r\nHost: a".to_vec(),
        within: DEADLINE,
    },
    RequestFault {
        name: "half a body",
        bytes: || with("Content-Length", "Content-Length: 9"),
        within: DEADLINE,
    },
    RequestFault {
        name: "no HTTP",
        bytes: || b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".to_vec(),
        within: DEADLINE,
    },
    RequestFault { name: "unknown path", bytes: || with("POST", "POST /other HTTP/1.1"), within: DEADLINE },
    RequestFault {
        name: "unknown method",
        bytes: || with("POST", "BREW /rate-push HTTP/1.1"),
        within: DEADLINE,
    },
    RequestFault {
        name: "unknown version",
        bytes: || with("POST", "POST /rate-push HTTP/7.1"),
        within: DEADLINE,
    },
    RequestFault { name: "no id", bytes: || without("X-Trace-Id"), within: DEADLINE },
    RequestFault { name: "no class", bytes: || without("X-Qos"), within: DEADLINE },
    RequestFault {
        name: "class other than the path's",
        bytes: || with("X-Qos", "X-Qos: booking"),
        within: DEADLINE,
    },
    RequestFault { name: "no time", bytes: || without("X-Expires-In-Ms"), within: DEADLINE },
    RequestFault {
        name: "negative time",
        bytes: || with("X-Expires", "X-Expires-In-Ms: -5"),
        within: DEADLINE,
    },
    RequestFault {
        name: "time in words",
        bytes: || with("X-Expires", "X-Expires-In-Ms: soon"),
        within: DEADLINE,
    },
    RequestFault { name: "no destination", bytes: || without("X-Consignee"), within: DEADLINE },
    RequestFault {
        name: "destination in words",
        bytes: || with("X-Consignee", "X-Consignee: dest=x"),
        within: DEADLINE,
    },
    RequestFault {
        name: "two lengths",
        bytes: || with("Content-Length", "Content-Length: 2\r\nContent-Length: 3"),
        within: DEADLINE,
    },
    RequestFault {
        name: "length in words",
        bytes: || with("Content-Length", "Content-Length: two"),
        within: DEADLINE,
    },
    RequestFault {
        name: "broken chunks",
        bytes: || with("Content-Length", "Transfer-Encoding: chunked"),
        within: DEADLINE,
    },
    RequestFault {
        name: "two ids",
        bytes: || with("Host", "Host: a\r\nX-Trace-Id: fffffffffffffffe"),
        within: DEADLINE,
    },
    RequestFault {
        name: "long head",
        bytes: || with("Host", &format!("Host: a\r\nX-Pad: {}", "x".repeat(20_000))),
        within: DEADLINE,
    },
    RequestFault {
        name: "long body",
        bytes: || {
            let mut all = with("Content-Length", &format!("Content-Length: {LONG_BODY_BYTES}"));
            all.resize(all.len() - 2 + LONG_BODY_BYTES, b'x');
            all
        },
        within: LONG_BODY_DEADLINE,
    },
];

/// Sends malformed requests at the experiment's rate, cycling through all forms, and returns when all have
/// ended.
pub async fn run(plan: &Arc<Plan>, senders: &[SocketAddr], context: &StubContext, start: Ns) {
    let rate = plan.spec.clients.strangers;
    if rate <= 0.0 {
        return;
    }
    let mut random = plan.seed.stream("strangers", 0);
    let gap = Exp::new(rate).expect("a positive rate");
    let mut at = 0;
    let mut clients = JoinSet::new();
    for form in REQUEST_FAULTS.iter().cycle() {
        at += from_seconds(gap.sample(&mut random));
        if at >= plan.terms.request_span {
            break;
        }
        context.clock.sleep_until(start + at).await;
        let sender = random.random_range(0..senders.len());
        clients.spawn(send_fault(form, sender as u32, senders[sender], context.clone()));
    }
    while clients.join_next().await.is_some() {}
}

/// Sends one malformed request and records how its connection ended.
async fn send_fault(form: &'static RequestFault, sender: u32, address: SocketAddr, context: StubContext) {
    // A refused connection keeps the rule, so nothing is recorded.
    let Ok(stream) = TcpStream::connect(address).await else { return };
    let begun = context.clock.now();
    let mut connection = Connection::new(stream, context.clock);
    let exchange = async {
        let written = connection.write(&(form.bytes)()).await;
        // A sender may respond and close before it has read the whole request.
        match (connection.read_response().await, written) {
            (Ok(response), _) => response.start,
            (Err(_), _) => Start::Status(0),
        }
    };
    let ended = timeout(CLIENT_TIMEOUT, exchange).await;
    let took = context.clock.now() - begun;
    let (answered, taken) = match ended {
        Ok(Start::Status(200..=299)) => (None, true),
        Ok(_) => (Some(took), false),
        Err(_) => (None, false),
    };
    let (form, within) = (form.name.to_string(), form.within);
    context.fact_log.record(FactKind::Stranger { sender, form, within, answered, taken });
    tracing::debug!(sender, took_ms = took / MS, taken, "the connection of a malformed request has ended");
}
