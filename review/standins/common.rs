//! What the cases share: the platform's agent, endpoints, the sender process and a minimal HTTP reader.
//! Standard library only. Every address is on 127.0.0.1.
#![allow(dead_code)]
use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a client waits for an answer (PROTOCOL, Clients to senders).
pub const CLIENT_WAIT: Duration = Duration::from_millis(400);

/// Ends the program: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(2)
}

/// The record of a run, `record.txt`, with the time since its start before each line.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{}: {e}", path.display())));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.4} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// A line that is printed as well.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// An HTTP message as it was read.
pub struct Http {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Http {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").eq_ignore_ascii_case("close")
    }
}

/// Reads one HTTP message with a Content-Length; None if the connection ends or fails first.
pub fn read_http(reader: &mut impl BufRead) -> Option<Http> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first_line = line.trim_end().to_string();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").map_or(0, |l| l.parse().unwrap_or(0));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Http { first_line, headers, body })
}

/// Starts a server on a free port; `answer` gives the bytes of each answer, or None to close.
pub fn serve(answer: impl Fn(&Http) -> Option<String> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("listen: {e}")));
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_http(&mut reader) {
                    let Some(bytes) = answer(&request) else { return };
                    if writer.write_all(bytes.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

pub fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// One entry of discovery's list.
pub struct Listed {
    pub name: &'static str,
    pub address: SocketAddr,
    pub kind: &'static str,
    pub dest: u64,
    /// Calls a second that the destination takes from all senders together.
    pub rate: f64,
}

pub fn instances(listed: &[Listed]) -> String {
    let entry = |l: &Listed| {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"sapporo-1","machineType":"{}","cell":{},"lifecycle":"Ready","weight":{:.1},"startedAtMs":0}}"#,
            l.name, l.address, l.kind, l.dest, l.rate
        )
    };
    format!("[{}]", listed.iter().map(entry).collect::<Vec<_>>().join(","))
}

/// The platform's agent: discovery, whose list never changes, and the address of notices.
pub fn agent(list: String, record: Record) -> (SocketAddr, Arc<Mutex<Vec<(f64, String)>>>) {
    let notices = Arc::new(Mutex::new(Vec::new()));
    let seen = notices.clone();
    let address = serve(move |request| {
        if request.first_line.starts_with("POST /reports ") {
            for line in String::from_utf8_lossy(&request.body).lines() {
                record.line(&format!("notice {line}"));
                seen.lock().unwrap().push((record.now(), line.to_string()));
            }
            return Some("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n".into());
        }
        if request.first_line.contains("index=") {
            // A watch: nothing changes, so it is answered at the end of its wait.
            let wait = request.first_line.split("wait=").nth(1).unwrap_or("").split(['&', ' ']).next();
            let wait = wait.and_then(|w| w.parse().ok()).unwrap_or(0u64).min(60_000);
            std::thread::sleep(Duration::from_millis(wait));
            return Some(response("200 OK", r#"{"generation":41,"reset":false,"instances":[]}"#));
        }
        Some(response("200 OK", &format!(r#"{{"generation":41,"reset":true,"instances":{list}}}"#)))
    });
    (address, notices)
}

/// The settings of the example in WIRE, which are those of the site in the brief, but for slots and room.
const SETTINGS: &str = r#"{"Clients":{"MarksRetry":true},"Discovery":"automatic","Family":"deliver",
"FamilyInfo":{"CallsOut":@slots,"Decay":"line","KindBatch":[1,1],"RefusalCost":0.03,"RouteFee":[0.0],"SeparateRoutes":[false,false]},
"Feedback":{"Fields":[],"Source":"silent"},"Kinds":["flagship","independent"],
"Limits":{"Cancel":true,"CpuUsPerRequest":0.0,"CpuUsPerS":137500,"DialTimeoutNs":1000000000,"IdleCloseNs":10000000000,"MaxAttempts":8,"MaxOpen":@max_open,"MaxRetryAfterNs":2000000000,"MayDuplicate":true,"Peers":false,"Probes":true,"RetryAfter":true,"StreamsPerConn":1},
"Localities":["sapporo-1"],"NInstances":2,"OverShareWorth":0.1,"Position":0,
"Prices":{"Connection":0.0,"CrossZone":0.0,"Discovery":0.0,"Handshake":0.02,"LateFail":0.015,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.01,"Waste":0.086},
"Realms":[],"Safety":{"AnswerSlackNs":20000000,"AskWithinNs":10000000000,"ColdNs":9300000000,"FallMultiple":2.5,"OverloadForNs":3000000000,"StartCapacity":0.16,"StopSendingWithinNs":500000000},
"ScoreParts":{"Whole":0.45,"WorstClass":0.3,"WorstTenant":0.0,"WorstWindow":0.25},
"Services":[{"DeadlineNs":20000000000,"DedupScope":"all","Effect":"safe","LateWorth":0.4,"Name":"rate-push","PromiseNs":2000000000,"Streamed":false,"WindowNs":5000000000,"Worth":1.0},
{"DeadlineNs":16000000000,"DedupScope":"all","Effect":"unsafe","LateWorth":0.5,"Name":"booking","PromiseNs":3000000000,"Streamed":false,"WindowNs":5000000000,"Worth":3.0}],
"Stages":["channels"],"TickNs":5000000,"Tier":0,"Weights":"nominal","WorthBy":"request","Zone":0}"#;

/// `limits` of a sender's configuration, and its slots and room, which are 14 and 159 in the example in WIRE.
pub struct Limits {
    pub memory_mb: u32,
    pub sockets: u32,
    pub slots: u32,
    pub max_open: u32,
}

/// A sender process, started by `run` of the deploy file. Dropping it kills the process.
pub struct Sender {
    pub child: Child,
    pub address: SocketAddr,
    pub folder: PathBuf,
}

impl Sender {
    /// Starts a sender and waits until it answers `GET /healthz` with 200. Its state folder is `state` in
    /// `folder`, which a later process finds again; that one starts at the address `again_at` too.
    pub fn start(
        folder: &Path,
        limits: &Limits,
        discovery: SocketAddr,
        list: &str,
        record: &Record,
        again_at: Option<SocketAddr>,
    ) -> Sender {
        let deploy = fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| cannot_run(&format!("deploy: {e}")));
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")).and_then(|l| l.split('"').next());
        let run = run.unwrap_or_else(|| cannot_run("the deploy file has no run")).to_string();
        let free = || {
            let address = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
            address.unwrap_or_else(|e| cannot_run(&format!("no free port: {e}")))
        };
        let address = again_at.unwrap_or_else(free);
        let state = folder.join("state");
        fs::create_dir_all(&state).unwrap_or_else(|e| cannot_run(&format!("folder: {e}")));
        let config = folder.join("config.json");
        let Limits { memory_mb, sockets, slots, max_open } = limits;
        let settings = SETTINGS.replace("@slots", &slots.to_string()).replace("@max_open", &max_open.to_string());
        let text = format!(
            r#"{{"name":"n1","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets},"disk_mb":3}},
"known":{{"generation":41,"reset":true,"instances":{list}}},"settings":{settings}}}"#
        );
        fs::write(&config, text).unwrap_or_else(|e| cannot_run(&format!("config: {e}")));
        let log = File::create(folder.join("sender.log")).unwrap_or_else(|e| cannot_run(&format!("log: {e}")));
        let mut command = Command::new("/bin/sh");
        // The kernel kills the sender if this program dies, whatever the cause.
        // SAFETY: prctl(PR_SET_PDEATHSIG, SIGKILL) may be called between fork and exec.
        unsafe {
            extern "C" {
                fn prctl(option: i32, signal: u64) -> i32;
            }
            command.pre_exec(|| {
                prctl(1, 9);
                Ok(())
            });
        }
        let child = command
            .args(["-c", &run])
            .env("EDGE_NAME", "n1")
            .env("EDGE_LISTEN", address.to_string())
            .env("EDGE_DISCOVERY", discovery.to_string())
            .env("EDGE_STATE", &state)
            .env("EDGE_CONFIG", &config)
            .env_remove("EDGE_CONTROL")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("{run}: {e}")));
        record.line(&format!("sender: {run}, process {}, at {address}", child.id()));
        let mut sender = Sender { child, address, folder: folder.to_path_buf() };
        let until = Instant::now() + Duration::from_secs(30);
        while !sender.is_healthy() {
            if Instant::now() > until || sender.ended().is_some() {
                drop(sender);
                cannot_run("the sender is not ready");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        record.line("sender is ready");
        sender
    }

    pub fn is_healthy(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: api.internal\r\n\r\n");
        read_http(&mut BufReader::new(stream)).is_some_and(|r| r.status() == 200)
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|s| s.to_string())
    }

    /// A figure of /proc/PID/status in MiB.
    pub fn memory_mib(&self, name: &str) -> Option<f64> {
        memory_mib(self.child.id(), name)
    }
}

pub fn memory_mib(process: u32, name: &str) -> Option<f64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|kib| kib / 1024.0)
}

impl Drop for Sender {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A message in the form of the protocol.
pub fn message(id: &str, class: &str, dest: u64, time_left_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\n\
         X-Expires-In-Ms: {time_left_ms}\r\nContent-Length: {}\r\nX-Consignee: dest={dest}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A generator of pseudo-random numbers (SplitMix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number from `low` up to, without, `high`.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low)
    }
}

/// Eight hexadecimal digits that differ from run to run.
pub fn run_tag() -> String {
    let ns = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
    format!("{:08x}", Random(ns).next() as u32)
}

/// A call as an endpoint received it.
#[derive(Clone)]
pub struct CallSeen {
    pub at: f64,
    pub endpoint: &'static str,
    pub id: String,
    pub body_bytes: usize,
    pub known: bool,
}

/// What the endpoints share: the ids that clients have handed in, and the calls.
#[derive(Clone, Default)]
pub struct Deliveries {
    pub handed_in: Arc<Mutex<HashMap<String, &'static str>>>,
    pub calls: Arc<Mutex<Vec<CallSeen>>>,
}

/// An endpoint: takes 180 to 310 ms for a booking and 120 to 200 ms for a rate-push (brief, section 5), and then
/// answers 200. A message that no client has handed in is answered 400.
pub fn endpoint(name: &'static str, deliveries: Deliveries, record: Record) -> SocketAddr {
    let random = Mutex::new(Random(7));
    serve(move |request| {
        let id = request.header("x-trace-id").to_string();
        let class = deliveries.handed_in.lock().unwrap().get(&id).copied();
        let (at, known) = (record.now(), class.is_some());
        record.line(&format!("{name} received {id}, body of {} bytes, known: {known}", request.body.len()));
        let body_bytes = request.body.len();
        deliveries.calls.lock().unwrap().push(CallSeen { at, endpoint: name, id: id.clone(), body_bytes, known });
        let Some(class) = class else { return Some(response("400 Bad Request", "")) };
        let work = match class {
            "booking" => random.lock().unwrap().between(180, 311),
            _ => random.lock().unwrap().between(120, 201),
        };
        std::thread::sleep(Duration::from_millis(work));
        record.line(&format!("{name} ran {id} and answers 200"));
        Some(response("200 OK", ""))
    })
}

/// A temporary folder of this run, removed when dropped.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn new() -> TemporaryFolder {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), run_tag()));
        fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&format!("temporary folder: {e}")));
        TemporaryFolder(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Whether the disruption takes place; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |t| t != "0")
}
