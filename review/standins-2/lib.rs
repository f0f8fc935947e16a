//! Stand-ins of clients, endpoints and the platform for the cases 6 to 10, written from PROTOCOL and DEPLOY with
//! the standard library alone. Everything runs on loopback addresses and the real clock.
#![allow(dead_code)]
use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

static START: OnceLock<Instant> = OnceLock::new();
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Milliseconds since the start of the case.
pub fn ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the case is to be run with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The record of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    /// Creates the record at the path that the script gives.
    pub fn of_case() -> Record {
        let path = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no path of the record"));
        Record::create(Path::new(&path))
    }

    pub fn create(path: &Path) -> Record {
        ms();
        Record(Arc::new(Mutex::new(File::create(path).unwrap_or_else(|e| cannot_run(&format!("{e}"))))))
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.0.lock().unwrap(), "{:>7} ms  {text}", ms());
    }
}

/// Ends the processes that the case started, by their ids.
pub fn end_all() {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        signal(pid, "KILL");
    }
}

pub fn finish(record: &Record, code: i32, text: &str) -> ! {
    record.line(&format!("result {code}: {text}"));
    println!("{text}");
    end_all();
    std::process::exit(code)
}

pub fn cannot_run(text: &str) -> ! {
    eprintln!("cannot run: {text}");
    end_all();
    std::process::exit(CANNOT_RUN)
}

/// Ends the case with code 2 if it takes too long.
pub fn watchdog(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        cannot_run("the case took too long");
    });
}

pub fn signal(pid: u32, name: &str) {
    let _ =
        Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).stderr(Stdio::null()).status();
}

// ---------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads the first line and the headers of a message.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_string(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next().unwrap_or("").to_string(), words.next().unwrap_or("").to_string());
    Ok(Some(Request { method, path, headers, body }))
}

/// An answer to a call.
#[derive(Clone, Debug)]
pub enum Answer {
    Status(u16, Vec<(String, String)>, String),
    /// These bytes, and nothing after them on the open connection.
    Raw(Vec<u8>),
    /// No answer, and the connection stays open.
    Silence,
    /// The connection ends without an answer.
    Close,
}

impl Answer {
    pub fn ok() -> Answer {
        Answer::Status(200, Vec::new(), String::new())
    }
    pub fn status(code: u16) -> Answer {
        Answer::Status(code, Vec::new(), String::new())
    }
    pub fn wait(seconds: f64) -> Answer {
        Answer::Status(429, vec![("Retry-After".into(), format!("{seconds:.3}"))], String::new())
    }
}

fn write_answer(
    stream: &mut TcpStream,
    code: u16,
    headers: &[(String, String)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {code} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes())
}

/// An HTTP server on a free port of 127.0.0.1, with a thread for each connection.
pub struct Server {
    pub address: SocketAddr,
    pub connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
    stop: Arc<AtomicBool>,
    pub opened: Arc<AtomicU64>,
}

impl Server {
    pub fn start(handler: impl Fn(Request, u64) -> Answer + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("{e}")));
        Server::on(listener, handler)
    }

    pub fn on(
        listener: TcpListener,
        handler: impl Fn(Request, u64) -> Answer + Send + Sync + 'static,
    ) -> Server {
        let address = listener.local_addr().unwrap();
        let (handler, connections) =
            (Arc::new(handler), Arc::new(Mutex::new(HashMap::<u64, TcpStream>::new())));
        let (stop, opened) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let server =
            Server { address, connections: connections.clone(), stop: stop.clone(), opened: opened.clone() };
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(mut stream) = stream else { continue };
                let number = opened.fetch_add(1, Ordering::SeqCst);
                let _ = stream.set_nodelay(true);
                let (handler, connections) = (handler.clone(), connections.clone());
                if let Ok(clone) = stream.try_clone() {
                    connections.lock().unwrap().insert(number, clone);
                }
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Ok(Some(request)) = read_request(&mut reader) {
                        match handler(request, number) {
                            Answer::Status(code, headers, body) => {
                                if write_answer(&mut stream, code, &headers, &body).is_err() {
                                    break;
                                }
                                if headers.iter().any(|(n, v)| n == "Connection" && v == "close") {
                                    break;
                                }
                            }
                            answer @ (Answer::Silence | Answer::Raw(_)) => {
                                if let Answer::Raw(bytes) = answer {
                                    let _ = stream.write_all(&bytes);
                                }
                                let mut rest = [0; 1024];
                                while matches!(reader.read(&mut rest), Ok(n) if n > 0) {}
                                break;
                            }
                            Answer::Close => break,
                        }
                    }
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    connections.lock().unwrap().remove(&number);
                });
            }
        });
        server
    }

    /// Ends the server as a process that dies: the listener closes, and so do all connections.
    pub fn die(&self) {
        self.stop_accepting();
        self.close_connections();
    }

    pub fn stop_accepting(&self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }

    pub fn close_connections(&self) {
        for (_, connection) in self.connections.lock().unwrap().drain() {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

// ---------------------------------------------------------------- discovery

#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub cell: u64,
    pub kind: &'static str,
    pub lifecycle: &'static str,
    pub weight: f64,
}

impl Listed {
    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"sapporo-1\",\"machineType\":\"{}\",\"cell\":{},\
             \"lifecycle\":\"{}\",\"weight\":{},\"startedAtMs\":0}}",
            self.name, self.address, self.kind, self.cell, self.lifecycle, self.weight
        )
    }
}

pub fn list_json(generation: u64, reset: bool, listed: &[Listed]) -> String {
    let entries: Vec<String> = listed.iter().map(Listed::json).collect();
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}", entries.join(","))
}

pub struct AgentState {
    pub generation: u64,
    pub listed: Vec<Listed>,
    /// Each change with its generation.
    changes: Vec<(u64, Listed)>,
    /// Discovery is down: the agent answers no call for the list.
    pub silent: bool,
    /// Notices: time, message, outcome.
    pub notices: Vec<(u64, String, String)>,
}

/// The agent of discovery on the sender's machine, which takes the notices too.
pub struct Agent {
    pub state: Arc<(Mutex<AgentState>, Condvar)>,
    pub server: Server,
}

impl Agent {
    pub fn start(record: &Record, listed: Vec<Listed>) -> Agent {
        let state =
            AgentState { generation: 41, listed, changes: Vec::new(), silent: false, notices: Vec::new() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let (shared, record) = (state.clone(), record.clone());
        let server = Server::start(move |request, _| agent_answer(&shared, &record, request));
        Agent { state, server }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Moves discovery to another address. The old one takes no new connections and closes its open ones after
    /// 1.5 s.
    pub fn move_away(&mut self, record: &Record) {
        let (shared, to) = (self.state.clone(), record.clone());
        let next = Server::start(move |request, _| agent_answer(&shared, &to, request));
        let old = std::mem::replace(&mut self.server, next);
        record.line(&format!("discovery moves to {}", self.server.address));
        old.stop_accepting();
        thread::spawn(move || {
            sleep_ms(1_500);
            old.close_connections();
        });
    }

    /// Changes an entry. From then on the agent has the change.
    pub fn set(&self, record: &Record, name: &str, lifecycle: &'static str) {
        let mut state = self.state.0.lock().unwrap();
        state.generation += 1;
        let generation = state.generation;
        let Some(at) = state.listed.iter().position(|l| l.name == name) else { return };
        state.listed[at].lifecycle = lifecycle;
        let entry = state.listed[at].clone();
        if lifecycle == "Gone" {
            state.listed.remove(at);
        }
        state.changes.push((generation, entry));
        record.line(&format!("discovery: generation {generation}: {name} is {lifecycle}"));
        self.state.1.notify_all();
    }

    pub fn set_silent(&self, record: &Record, silent: bool) {
        self.state.0.lock().unwrap().silent = silent;
        record.line(if silent { "discovery is down: its agent is silent" } else { "discovery is back" });
        self.state.1.notify_all();
    }

    pub fn list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.generation, true, &state.listed)
    }

    /// When the first notice for a message came, and what it says.
    pub fn notice(&self, message: &str) -> Option<(u64, String)> {
        let state = self.state.0.lock().unwrap();
        state.notices.iter().find(|n| n.1 == message).map(|n| (n.0, n.2.clone()))
    }
}

fn json_text<'a>(line: &'a str, key: &str) -> &'a str {
    let mark = format!("\"{key}\":\"");
    line.find(&mark).map_or("", |at| line[at + mark.len()..].split('"').next().unwrap_or(""))
}

fn agent_answer(shared: &(Mutex<AgentState>, Condvar), record: &Record, request: Request) -> Answer {
    if request.path == "/reports" {
        let mut state = shared.0.lock().unwrap();
        for line in String::from_utf8_lossy(&request.body).lines() {
            let (message, outcome) = (json_text(line, "message"), json_text(line, "outcome"));
            record.line(&format!("notice {message} {outcome}"));
            state.notices.push((ms(), message.to_string(), outcome.to_string()));
        }
        return Answer::status(204);
    }
    let query = request.path.split_once('?').map_or("", |q| q.1);
    let value = |name: &str| {
        query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
    };
    let until = Instant::now() + Duration::from_millis(value("wait").unwrap_or(0).min(60_000));
    let index = value("index");
    let mut state = shared.0.lock().unwrap();
    loop {
        if state.silent {
            // A call that came while discovery is down is never answered.
            return Answer::Silence;
        }
        let Some(index) = index else {
            return Answer::Status(200, Vec::new(), list_json(state.generation, true, &state.listed));
        };
        let now = Instant::now();
        if state.generation > index || now >= until {
            let changed: Vec<Listed> =
                state.changes.iter().filter(|c| c.0 > index).map(|c| c.1.clone()).collect();
            return Answer::Status(200, Vec::new(), list_json(state.generation, false, &changed));
        }
        state = shared.1.wait_timeout(state, until - now).unwrap().0;
    }
}

// ---------------------------------------------------------------- clients

/// How a hand-in ended at the client.
#[derive(Clone, Debug, PartialEq)]
pub enum HandIn {
    Answer(u16),
    /// The connection ended without an answer after the whole request was written.
    Closed(String),
    /// No answer within the client's 400 ms.
    TimedOut,
    /// No connection, or it broke before the request was written.
    NotSent(String),
}

pub struct Message<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub dest: u64,
    pub expires_ms: u64,
    pub body: &'a [u8],
}

impl Message<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = format!(
            "POST /{0} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {1}\r\nX-Qos: {0}\r\nX-Expires-In-Ms: {2}\r\n\
             Content-Length: {3}\r\nX-Consignee: dest={4}\r\n\r\n",
            self.class,
            self.id,
            self.expires_ms,
            self.body.len(),
            self.dest
        )
        .into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}

/// A client that keeps its connection.
pub struct Client {
    pub to: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        Client { to, stream: None }
    }

    /// Hands in a message. A request that crosses the end of a kept connection is sent once more.
    pub fn hand_in(&mut self, message: &Message) -> HandIn {
        let kept = self.stream.is_some();
        let first = self.try_once(message);
        match first {
            HandIn::Closed(_) | HandIn::NotSent(_) if kept => {
                self.stream = None;
                self.try_once(message)
            }
            other => other,
        }
    }

    fn try_once(&mut self, message: &Message) -> HandIn {
        if self.stream.is_none() {
            match TcpStream::connect_timeout(&self.to, Duration::from_millis(400)) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    self.stream = Some(stream);
                }
                Err(e) => return HandIn::NotSent(e.to_string()),
            }
        }
        let mut stream = self.stream.take().unwrap();
        if let Err(e) = stream.write_all(&message.bytes()) {
            return HandIn::NotSent(e.to_string());
        }
        match read_status(&mut stream, Duration::from_millis(400)) {
            Ok((code, close)) => {
                if !close {
                    self.stream = Some(stream);
                }
                HandIn::Answer(code)
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                HandIn::TimedOut
            }
            Err(e) => HandIn::Closed(e.to_string()),
        }
    }
}

/// Reads an answer; returns its status and whether the connection closes after it.
pub fn read_status(stream: &mut TcpStream, within: Duration) -> io::Result<(u16, bool)> {
    stream.set_read_timeout(Some(within))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    read_body(&mut reader, &headers)?;
    let code = first.split(' ').nth(1).and_then(|c| c.parse().ok()).unwrap_or(0);
    Ok((code, headers.get("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"))))
}

/// Requests a path and returns the status.
pub fn call(to: SocketAddr, method: &str, path: &str, within_ms: u64) -> io::Result<u16> {
    let within = Duration::from_millis(within_ms);
    let mut stream = TcpStream::connect_timeout(&to, within)?;
    stream
        .write_all(format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())?;
    read_status(&mut stream, within).map(|s| s.0)
}

// ---------------------------------------------------------------- senders

/// The settings of a small deployment with the classes and figures of the brief.
pub struct Deployment {
    pub senders: usize,
    pub slots: usize,
    pub max_open: usize,
    pub memory_mb: u32,
    pub sockets: u32,
    pub disk_mb: f64,
}

impl Default for Deployment {
    fn default() -> Deployment {
        Deployment { senders: 2, slots: 14, max_open: 159, memory_mb: 192, sockets: 1024, disk_mb: 3.0 }
    }
}

impl Deployment {
    fn settings(&self) -> String {
        format!(
            r#"{{"Clients":{{"MarksRetry":true}},"Discovery":"automatic","Family":"deliver",
"FamilyInfo":{{"CallsOut":{},"Decay":"line","KindBatch":[1,1],"RefusalCost":0.03,"RouteFee":[0.0],"SeparateRoutes":[false,false]}},
"Feedback":{{"Fields":[],"Source":"silent"}},"Kinds":["flagship","independent"],
"Limits":{{"Cancel":true,"CpuUsPerRequest":0.0,"CpuUsPerS":137500,"DialTimeoutNs":1000000000,"IdleCloseNs":10000000000,"MaxAttempts":8,"MaxOpen":{},"MaxRetryAfterNs":2000000000,"MayDuplicate":true,"Peers":false,"Probes":true,"RetryAfter":true,"StreamsPerConn":1}},
"Localities":["sapporo-1"],"NInstances":{},"OverShareWorth":0.1,"Position":0,
"Prices":{{"Connection":0.0,"CrossZone":0.0,"Discovery":0.0,"Handshake":0.02,"LateFail":0.015,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.01,"Waste":0.086}},
"Realms":[],"Safety":{{"AnswerSlackNs":20000000,"AskWithinNs":10000000000,"ColdNs":9300000000,"FallMultiple":2.5,"OverloadForNs":3000000000,"StartCapacity":0.16,"StopSendingWithinNs":500000000}},
"ScoreParts":{{"Whole":0.45,"WorstClass":0.3,"WorstTenant":0.0,"WorstWindow":0.25}},
"Services":[{{"DeadlineNs":20000000000,"DedupScope":"all","Effect":"safe","LateWorth":0.4,"Name":"rate-push","PromiseNs":2000000000,"Streamed":false,"WindowNs":5000000000,"Worth":1.0}},
{{"DeadlineNs":16000000000,"DedupScope":"all","Effect":"unsafe","LateWorth":0.5,"Name":"booking","PromiseNs":3000000000,"Streamed":false,"WindowNs":5000000000,"Worth":3.0}}],
"Stages":["channels"],"TickNs":5000000,"Tier":0,"Weights":"nominal","WorthBy":"request","Zone":0}}"#,
            self.slots, self.max_open, self.senders
        )
    }
}

/// A free port of 127.0.0.1.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("{e}")));
    listener.local_addr().unwrap()
}

/// The root of the project.
pub fn root() -> PathBuf {
    let mut folder = std::env::current_dir().unwrap();
    while !folder.join("deploy/balancer.toml").is_file() {
        if !folder.pop() {
            cannot_run("deploy/balancer.toml is not found");
        }
    }
    folder
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find(|l| l.trim_start().starts_with("run")).unwrap_or_default();
    line.split('"').nth(1).unwrap_or_else(|| cannot_run("the deploy file has no run")).to_string()
}

/// The temporary folder of the case, removed at the end of the process by the script.
pub fn temporary() -> PathBuf {
    PathBuf::from(std::env::var("CASE_TMP").unwrap_or_else(|_| cannot_run("CASE_TMP is not set")))
}

/// The configuration and the folder of one sender.
pub struct Place {
    pub name: String,
    pub listen: SocketAddr,
    pub folder: PathBuf,
}

impl Place {
    pub fn new(name: &str) -> Place {
        let folder = temporary().join(name);
        fs::create_dir_all(folder.join("state")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Place { name: name.to_string(), listen: free_address(), folder }
    }

    /// Size of the files in the folder that lasts and in the temporary ones, each in whole 512 bytes.
    pub fn files_bytes(&self) -> u64 {
        fn size(folder: &Path) -> u64 {
            let entries = fs::read_dir(folder).into_iter().flatten().flatten();
            let one = |entry: fs::DirEntry| match entry.metadata() {
                Ok(file) if file.is_dir() => size(&entry.path()),
                Ok(file) => file.len().div_ceil(512) * 512,
                Err(_) => 0,
            };
            entries.map(one).sum()
        }
        size(&self.folder.join("state"))
    }

    /// Starts a process. `known` is the list of the configuration, `control` the second address.
    pub fn start(
        &self,
        record: &Record,
        deployment: &Deployment,
        discovery: SocketAddr,
        known: &str,
        control: Option<SocketAddr>,
    ) -> Process {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        let control_member = control.map_or(String::new(), |c| format!("\"control\":\"{c}\","));
        let config = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{discovery}\",{control_member}\"seed\":\"{seed:016x}\",\n\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{},\"disk_mb\":{}}},\n\"known\":{known},\n\"settings\":{}}}",
            self.name, self.listen, deployment.memory_mb, deployment.sockets, deployment.disk_mb, deployment.settings()
        );
        let path = self.folder.join(format!("config-{number}.json"));
        fs::write(&path, config).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let tmp = self.folder.join(format!("tmp-{number}"));
        fs::create_dir_all(&tmp).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = File::create(self.folder.join(format!("log-{number}.txt"))).unwrap();
        let command = format!("ulimit -n {}; {}", deployment.sockets, run_command());
        let mut child = Command::new("/bin/sh");
        child
            .arg("-c")
            .arg(command)
            .current_dir(root())
            .env("EDGE_NAME", &self.name)
            .env("EDGE_LISTEN", self.listen.to_string())
            .env("EDGE_DISCOVERY", discovery.to_string())
            .env("EDGE_STATE", self.folder.join("state"))
            .env("EDGE_CONFIG", &path)
            .env("TMPDIR", &tmp)
            .env_remove("EDGE_CONTROL")
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        if std::env::var("RUST_LOG").is_err() {
            child.env("RUST_LOG", "info");
        }
        if let Some(control) = control {
            child.env("EDGE_CONTROL", control.to_string());
        }
        // The sender ends with the case, however that ends.
        unsafe {
            child.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = child.spawn().unwrap_or_else(|e| cannot_run(&e.to_string()));
        CHILDREN.lock().unwrap().push(child.id());
        record.line(&format!("process {} of {} starts", child.id(), self.name));
        Process { child, config: path }
    }

    /// Waits until the sender answers `GET /healthz` with 200.
    pub fn await_ready(&self, record: &Record, seconds: u64) -> bool {
        let end = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < end {
            if call(self.listen, "GET", "/healthz", 500).is_ok_and(|s| s == 200) {
                record.line(&format!("{} is ready", self.name));
                return true;
            }
            sleep_ms(20);
        }
        false
    }
}

/// A process of a sender.
pub struct Process {
    pub child: Child,
    pub config: PathBuf,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, record: &Record, name: &str) {
        record.line(&format!("SIG{name} to process {}", self.id()));
        signal(self.id(), name);
    }

    pub fn kill(&mut self, record: &Record) {
        record.line(&format!("SIGKILL to process {}", self.id()));
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().unwrap().retain(|&p| p != self.child.id());
    }

    /// Replaces the address of discovery in the configuration and sends SIGHUP.
    pub fn reload(&self, record: &Record, discovery: SocketAddr) {
        let text = fs::read_to_string(&self.config).unwrap_or_default();
        let at = text.find("\"discovery\":\"").map_or(0, |at| at + 13);
        let end = at + text[at..].find('"').unwrap_or(0);
        let new = self.config.with_extension("new");
        let _ = fs::write(&new, format!("{}{discovery}{}", &text[..at], &text[end..]));
        let _ = fs::rename(&new, &self.config);
        self.signal(record, "HUP");
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if ended {
            CHILDREN.lock().unwrap().retain(|&p| p != self.child.id());
        }
        ended
    }

    /// Memory of the process in KiB that is not shared with its program file.
    pub fn memory_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let value = |name: &str| {
            let line = status.lines().find(|l| l.starts_with(name));
            line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok()).unwrap_or(0)
        };
        value("RssAnon:") + value("RssShmem:")
    }

    /// Number of descriptors that the process holds.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.id())).map_or(0, |d| d.count())
    }
}
