//! Stand-ins for the review cases: a record of what was seen, the router as a process, hosts, discovery, the platform
//! and clients. Only the standard library is used; everything stays on loopback.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How a run ended; the exit code of the script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

impl Verdict {
    pub fn exit_code(self) -> i32 {
        match self {
            Verdict::Held => 0,
            Verdict::Broken => 1,
            Verdict::CouldNotRun => 2,
        }
    }
}

/// `record.txt`: what was sent, answered and run, with the time in milliseconds since the start of the run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        self.line_at(self.now(), text);
    }

    pub fn line_at(&self, at: f64, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} {text}");
    }
}

/// A small generator (xorshift) for the load; seeded, so that the offered load is the same in each run.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Uniform between 0 and 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
}

/// A private temporary folder, removed at the end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> TempFolder {
        let stamp = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let name = format!("kestreltide-review-{}-{}", std::process::id(), stamp.as_nanos());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).expect("a temporary folder can be made");
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A free port on loopback.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().unwrap()
}

/// A router, started by the command `run` of the deploy file.
pub struct Router {
    child: Child,
    pub address: SocketAddr,
    pub log: PathBuf,
}

impl Router {
    /// Starts a router from the root of the repository and waits until it answers `PING` with `+PONG`.
    pub fn start(root: &Path, folder: &Path, name: &str, config: &str) -> Result<Router, String> {
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml"))
            .map_err(|e| format!("deploy/balancer.toml: {e}"))?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .and_then(|rest| rest.split('"').next())
            .ok_or("no `run` in deploy/balancer.toml")?;
        let address = free_address();
        let config_path = folder.join(format!("{name}.json"));
        let config = config.replace("@LISTEN@", &address.to_string());
        fs::write(&config_path, config).map_err(|e| e.to_string())?;
        let log = folder.join(format!("{name}.log"));
        let log_file = File::create(&log).map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run)
            .current_dir(root)
            .env("PROXY_CONFIG", &config_path)
            .env("TMPDIR", folder)
            .env_remove("PROXY_NAME")
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(log_file.try_clone().map_err(|e| e.to_string())?)
            .stderr(log_file)
            .spawn()
            .map_err(|e| format!("{run}: {e}"))?;
        note_process(child.id());
        let router = Router { child, address, log };
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline {
            if let Ok(mut client) = Client::connect(address) {
                client.send(&[b"PING"]);
                if client.reply(Duration::from_secs(1)) == Some(Reply::Simple("PONG".into())) {
                    return Ok(router);
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        let log = fs::read_to_string(&router.log).unwrap_or_default();
        Err(format!("the router is not ready within 30 s\n{log}"))
    }

    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    /// Stops the process (SIGSTOP) and waits until it stands still.
    pub fn stop(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let deadline = Instant::now() + Duration::from_millis(200);
        while Instant::now() < deadline {
            if fs::read_to_string(&stat).is_ok_and(|text| text.contains(") T ")) {
                return;
            }
        }
    }

    pub fn go_on(&self) {
        self.signal("CONT");
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Notes a process that the script has to end if this program is ended before it does so itself.
fn note_process(pid: u32) {
    if let Ok(path) = std::env::var("REVIEW_PIDS")
        && let Ok(mut file) = fs::OpenOptions::new().append(true).open(path)
    {
        let _ = writeln!(file, "{pid}");
    }
}

fn signal(pid: u32, name: &str) {
    let script = format!("kill -{name} {pid}");
    let _ = Command::new("/bin/sh").arg("-c").arg(script).status();
}

/// A reply in RESP2.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Simple(String),
    Error(String),
    Number(i64),
    Null,
    Bulk(Vec<u8>),
    Array(Vec<Reply>),
}

impl Reply {
    /// The value, where a request was served.
    pub fn value(&self) -> Option<&[u8]> {
        match self {
            Reply::Bulk(value) => Some(value),
            Reply::Array(items) => items.first().and_then(Reply::value),
            _ => None,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Reply::Simple(text) => format!("+{text}"),
            Reply::Error(text) => format!("-{text}"),
            Reply::Number(number) => format!(":{number}"),
            Reply::Null => "null".into(),
            Reply::Bulk(value) => String::from_utf8_lossy(value).into_owned(),
            Reply::Array(items) => items.iter().map(Reply::text).collect::<Vec<_>>().join(" "),
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    match reader.read_until(b'\n', &mut line) {
        Ok(_) if line.ends_with(b"\r\n") => {
            line.truncate(line.len() - 2);
            Some(String::from_utf8_lossy(&line).into_owned())
        }
        _ => None,
    }
}

fn read_bulk(reader: &mut impl BufRead, length: usize) -> Option<Vec<u8>> {
    let mut bytes = vec![0; length + 2];
    reader.read_exact(&mut bytes).ok()?;
    bytes.truncate(length);
    Some(bytes)
}

pub fn read_reply(reader: &mut impl BufRead) -> Option<Reply> {
    let line = read_line(reader)?;
    let rest = line.get(1..)?.to_string();
    Some(match line.as_bytes().first()? {
        b'+' => Reply::Simple(rest),
        b'-' => Reply::Error(rest),
        b':' => Reply::Number(rest.parse().ok()?),
        b'$' if rest == "-1" => Reply::Null,
        b'$' => Reply::Bulk(read_bulk(reader, rest.parse().ok()?)?),
        b'*' if rest == "-1" => Reply::Null,
        b'*' => {
            let count: usize = rest.parse().ok()?;
            let items: Option<Vec<_>> = (0..count).map(|_| read_reply(reader)).collect();
            Reply::Array(items?)
        }
        _ => return None,
    })
}

/// Reads a command; `None` at the end of the connection.
pub fn read_command(reader: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let count: usize = read_line(reader)?.strip_prefix('*')?.parse().ok()?;
    (0..count)
        .map(|_| {
            let length: usize = read_line(reader)?.strip_prefix('$')?.parse().ok()?;
            read_bulk(reader, length)
        })
        .collect()
}

pub fn command_bytes(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n", word.len()).bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// The answer of a host that has run a command: the value and no load report.
pub fn value_answer(value: &[u8]) -> Vec<u8> {
    let mut bytes = format!("*2\r\n${}\r\n", value.len()).into_bytes();
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n$-1\r\n");
    bytes
}

/// A client's connection to a router.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::with_capacity(128 * 1024, stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, words: &[&[u8]]) -> bool {
        self.send_bytes(&command_bytes(words))
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// The next reply; `None` where none comes in this time or the connection ends.
    pub fn reply(&mut self, within: Duration) -> Option<Reply> {
        self.stream.set_read_timeout(Some(within.max(Duration::from_millis(1)))).ok()?;
        read_reply(&mut self.reader)
    }
}

/// What a host makes of a command: it writes its answer itself, or none.
pub type Handler = dyn Fn(&[Vec<u8>], &mut TcpStream) + Send + Sync;

/// A host: each connection has a thread, which handles one command after another.
pub struct Host {
    pub address: SocketAddr,
}

impl Host {
    pub fn start(handler: Arc<Handler>) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a host listens");
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let handler = handler.clone();
                thread::spawn(move || serve_host_connection(stream, &*handler));
            }
        });
        Host { address }
    }
}

/// A host that takes no new connection at first: its queue of connections that wait to be accepted is full, so the
/// machine drops the first packet of a further one, and its sender repeats it after a second.
pub struct LateHost {
    pub address: SocketAddr,
    listener: TcpListener,
    waiting: Vec<TcpStream>,
}

impl LateHost {
    /// `is_full`: whether the queue is filled.
    pub fn bind(is_full: bool) -> Result<LateHost, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let mut waiting = vec![];
        while is_full {
            match TcpStream::connect_timeout(&address, Duration::from_millis(50)) {
                Ok(stream) => waiting.push(stream),
                Err(e) if e.kind() == ErrorKind::TimedOut => break,
                Err(e) => return Err(format!("the queue of a host cannot be filled: {e}")),
            }
            if waiting.len() > 8192 {
                return Err("the queue of a host does not fill".into());
            }
        }
        Ok(LateHost { address, listener, waiting })
    }

    /// Takes up the queue, and serves from now on.
    pub fn open(self, record: &Record, name: String, handler: Arc<Handler>) {
        let LateHost { listener, waiting, .. } = self;
        let own: Vec<_> = waiting.iter().filter_map(|stream| stream.local_addr().ok()).collect();
        drop(waiting);
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if stream.peer_addr().is_ok_and(|peer| own.contains(&peer)) {
                    continue;
                }
                record.line(&format!("host {name}: a connection is up"));
                let handler = handler.clone();
                thread::spawn(move || serve_host_connection(stream, &*handler));
            }
        });
    }
}

fn serve_host_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(read_half) = stream.try_clone() else { return };
    let mut reader = BufReader::with_capacity(128 * 1024, read_half);
    while let Some(words) = read_command(&mut reader) {
        match words[0].to_ascii_uppercase().as_slice() {
            b"Q.ASK" | b"Q.DO" => handler(&words, &mut stream),
            b"PING" => {
                let _ = stream.write_all(b"+PONG\r\n");
            }
            b"CLIENT" | b"SELECT" => {
                let _ = stream.write_all(b"+OK\r\n");
            }
            b"INFO" => {
                let _ = stream.write_all(b"-NOPERM\r\n");
            }
            _ => {
                let _ = stream.write_all(b"-ERR\r\n");
            }
        }
    }
}

/// Whether something has arrived on a connection and waits to be read.
pub fn something_waits(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let result = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    !matches!(result, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// An entry of discovery's list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub state: &'static str,
    pub build: u16,
    pub boot_ms: u64,
}

impl Target {
    pub fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"c2-std","pod_group":0,"state":"{}","capacity_hint":1.0,"boot_ms":{},"build":{}}}"#,
            self.uid, self.endpoint, self.zone, self.state, self.boot_ms, self.build
        )
    }
}

pub fn list_json(rev: u64, all: bool, targets: &[Target]) -> String {
    let targets: Vec<_> = targets.iter().map(Target::json).collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.join(","))
}

struct DiscoveryState {
    rev: u64,
    /// Each host with the version of its last change.
    targets: BTreeMap<String, (u64, Target)>,
}

/// Discovery's agent on the router's machine.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, targets: &[Target]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery listens");
        let address = listener.local_addr().unwrap();
        let targets = targets.iter().map(|t| (t.uid.clone(), (1, t.clone()))).collect();
        let state = DiscoveryState { rev: 1, targets };
        let discovery = Discovery {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        discovery
    }

    /// The list as it stands, in discovery's form.
    pub fn list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        let targets: Vec<_> = state.targets.values().map(|(_, t)| t.clone()).collect();
        list_json(state.rev, true, &targets)
    }

    /// Adds or changes a host; whoever watches is answered at once. Returns the version.
    pub fn set(&self, target: Target) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        self.record.line(&format!("discovery: version {rev}: {} is {}", target.uid, target.state));
        state.targets.insert(target.uid.clone(), (rev, target));
        self.state.1.notify_all();
        rev
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read_half) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read_half);
        while let Some(request) = read_line(&mut reader) {
            while read_line(&mut reader).is_some_and(|line| !line.is_empty()) {}
            let path = request.split(' ').nth(1).unwrap_or_default().to_string();
            let parameter = |name: &str| {
                let query = path.split('?').nth(1)?;
                let pair = query.split('&').find_map(|pair| pair.strip_prefix(name))?;
                pair.strip_prefix('=')?.parse::<u64>().ok()
            };
            self.record.line(&format!("discovery: call {path}"));
            let (rev, body) = self.answer(parameter("from"), parameter("hold_ms").unwrap_or(0));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
            self.record.line(&format!("discovery: version {rev} is written to the router"));
        }
    }

    /// Waits for the answer to a call: the whole list, or the changes since a version.
    fn answer(&self, from: Option<u64>, hold_ms: u64) -> (u64, String) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let hold_until = Instant::now() + Duration::from_millis(hold_ms);
        loop {
            let Some(from) = from else {
                let targets: Vec<_> = state.targets.values().map(|(_, t)| t.clone()).collect();
                return (state.rev, list_json(state.rev, true, &targets));
            };
            let left = hold_until.saturating_duration_since(Instant::now());
            if state.rev > from || left.is_zero() {
                let newer = state.targets.values().filter(|(version, _)| *version > from);
                let targets: Vec<_> = newer.map(|(_, t)| t.clone()).collect();
                return (state.rev, list_json(state.rev, false, &targets));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// The platform: one build, released; votes are answered with that state.
pub struct Platform {
    pub address: SocketAddr,
}

/// The state of the newest build, in the platform's form.
pub const RELEASED: &str =
    r#"{"image":41,"ring":2,"progress":"live","ceiling":1.0,"lag_ms":600000}"#;

impl Platform {
    pub fn start(record: &Record) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the platform listens");
        let address = listener.local_addr().unwrap();
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let record = record.clone();
                thread::spawn(move || serve_platform(stream, &record));
            }
        });
        Platform { address }
    }
}

fn serve_platform(stream: TcpStream, record: &Record) {
    let _ = stream.set_nodelay(true);
    let Ok(read_half) = stream.try_clone() else { return };
    let stream = Arc::new(Mutex::new(stream));
    let write = |stream: &Mutex<TcpStream>, line: String| {
        stream.lock().unwrap().write_all(format!("{line}\n").as_bytes()).is_ok()
    };
    for line in BufReader::new(read_half).lines().map_while(Result::ok) {
        let id = line
            .split("\"id\":")
            .nth(1)
            .map(|rest| rest.chars().take_while(char::is_ascii_digit).collect::<String>())
            .unwrap_or_default();
        if line.contains("\"follow\"") {
            write(&stream, format!(r#"{{"jsonrpc":"2.0","id":{id},"result":true}}"#));
            let state = format!(r#"{{"jsonrpc":"2.0","method":"progress","params":{RELEASED}}}"#);
            write(&stream, state);
            let pings = stream.clone();
            thread::spawn(move || {
                while write(&pings, r#"{"jsonrpc":"2.0","method":"ping"}"#.into()) {
                    thread::sleep(Duration::from_secs(1));
                }
            });
        } else {
            record.line(&format!("platform: {line}"));
            write(&stream, format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{RELEASED}}}"#));
        }
    }
}

/// The id (16 hex digits) of a request by its number.
pub fn request_id(number: u64) -> String {
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5bd1_e995_0c0f_fee5)
}

/// The parameter `name` in the list of names and values of a command.
pub fn parameter(words: &[Vec<u8>], name: &str) -> Option<String> {
    let list = String::from_utf8_lossy(words.get(3)?).into_owned();
    let value = list.split(',').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    Some(value.to_string())
}

pub fn word(words: &[Vec<u8>], index: usize) -> String {
    words.get(index).map(|word| String::from_utf8_lossy(word).into_owned()).unwrap_or_default()
}
