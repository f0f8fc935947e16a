//! Peers that send no proper request: each form that the protocol and the terms exclude. A sender owes each an error
//! or a close, and takes none of them on.
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

/// Within which a stranger is owed an error or a close, counted from its connecting (TERMS).
const OWED: Ns = 3 * SECOND;
/// The same where it sends much.
const OWED_MUCH: Ns = 6 * SECOND;
/// How long a stranger waits before it gives up for good.
const WAITS: Duration = Duration::from_secs(9);
/// Bytes that one with much to send sends; the terms speak of 60 MB, which a testbed would only spend time on.
const MUCH: usize = 4 << 20;

/// What a stranger does with its connection.
pub struct Form {
    pub name: &'static str,
    bytes: fn() -> Vec<u8>,
    within: Ns,
}

/// A message's request with one thing changed. An id of a form that no client uses keeps it a stranger's.
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

fn without(name: &'static str) -> Vec<u8> {
    request(|lines| lines.retain(|l| !l.starts_with(name)))
}

fn with(name: &'static str, line: &str) -> Vec<u8> {
    request(|lines| {
        for l in lines.iter_mut().filter(|l| l.starts_with(name)) {
            *l = line.to_string();
        }
    })
}

pub const FORMS: &[Form] = &[
    Form { name: "nothing sent", bytes: Vec::new, within: OWED },
    Form { name: "half a head", bytes: || b"POST /rate-push HTTP/1.1\r\nHost: a".to_vec(), within: OWED },
    Form { name: "half a body", bytes: || with("Content-Length", "Content-Length: 9"), within: OWED },
    Form {
        name: "no HTTP",
        bytes: || b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".to_vec(),
        within: OWED,
    },
    Form { name: "unknown path", bytes: || with("POST", "POST /other HTTP/1.1"), within: OWED },
    Form { name: "unknown method", bytes: || with("POST", "BREW /rate-push HTTP/1.1"), within: OWED },
    Form { name: "unknown version", bytes: || with("POST", "POST /rate-push HTTP/7.1"), within: OWED },
    Form { name: "no id", bytes: || without("X-Trace-Id"), within: OWED },
    Form { name: "no class", bytes: || without("X-Qos"), within: OWED },
    Form { name: "class other than the path's", bytes: || with("X-Qos", "X-Qos: booking"), within: OWED },
    Form { name: "no time", bytes: || without("X-Expires-In-Ms"), within: OWED },
    Form { name: "negative time", bytes: || with("X-Expires", "X-Expires-In-Ms: -5"), within: OWED },
    Form { name: "time in words", bytes: || with("X-Expires", "X-Expires-In-Ms: soon"), within: OWED },
    Form { name: "no destination", bytes: || without("X-Consignee"), within: OWED },
    Form { name: "destination in words", bytes: || with("X-Consignee", "X-Consignee: dest=x"), within: OWED },
    Form {
        name: "two lengths",
        bytes: || with("Content-Length", "Content-Length: 2\r\nContent-Length: 3"),
        within: OWED,
    },
    Form { name: "length in words", bytes: || with("Content-Length", "Content-Length: two"), within: OWED },
    Form {
        name: "broken chunks",
        bytes: || with("Content-Length", "Transfer-Encoding: chunked"),
        within: OWED,
    },
    Form { name: "two ids", bytes: || with("Host", "Host: a\r\nX-Trace-Id: fffffffffffffffe"), within: OWED },
    Form {
        name: "long head",
        bytes: || with("Host", &format!("Host: a\r\nX-Pad: {}", "x".repeat(20_000))),
        within: OWED,
    },
    Form {
        name: "long body",
        bytes: || {
            let mut all = with("Content-Length", &format!("Content-Length: {MUCH}"));
            all.resize(all.len() - 2 + MUCH, b'x');
            all
        },
        within: OWED_MUCH,
    },
];

/// Sends strangers at the rate of the experiment, in turn through all forms. Ends when all have their answer.
pub async fn run(plan: &Arc<Plan>, doors: &[SocketAddr], ground: &StubContext, from: Ns) {
    let rate = plan.spec.clients.strangers;
    if rate <= 0.0 {
        return;
    }
    let mut random = plan.seed.stream("strangers", 0);
    let gap = Exp::new(rate).expect("a positive rate");
    let mut at = 0;
    let mut peers = JoinSet::new();
    for form in FORMS.iter().cycle() {
        at += from_seconds(gap.sample(&mut random));
        if at >= plan.terms.request_span {
            break;
        }
        ground.clock.sleep_until(from + at).await;
        let sender = random.random_range(0..doors.len());
        peers.spawn(stranger(form, sender as u32, doors[sender], ground.clone()));
    }
    while peers.join_next().await.is_some() {}
}

async fn stranger(form: &'static Form, sender: u32, door: SocketAddr, ground: StubContext) {
    // One whose connection is refused has got its close.
    let Ok(stream) = TcpStream::connect(door).await else { return };
    let begun = ground.clock.now();
    let mut link = Connection::new(stream, ground.clock);
    let talk = async {
        let written = link.write(&(form.bytes)()).await;
        // A sender may answer before it has read all, and close.
        match (link.read_response().await, written) {
            (Ok(answer), _) => answer.start,
            (Err(_), _) => Start::Status(0),
        }
    };
    let ended = timeout(WAITS, talk).await;
    let took = ground.clock.now() - begun;
    let (answered, taken) = match ended {
        Ok(Start::Status(200..=299)) => (None, true),
        Ok(_) => (Some(took), false),
        Err(_) => (None, false),
    };
    let (form, within) = (form.name.to_string(), form.within);
    ground.fact_log.record(FactKind::Stranger { sender, form, within, answered, taken });
    tracing::debug!(sender, took_ms = took / MS, taken, "a stranger has its end");
}
