//! Stand-ins for the clients, hosts, discovery agents and the platform of a router, after the operators' pages, and the
//! router as a process of its own. Standard library only; everything listens on loopback.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Seconds since the start of the script.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

pub fn sleep_until(at: f64) {
    sleep(at - now());
}

/// Opens `record.txt`.
pub fn open_record(path: &str) {
    now();
    let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
    let _ = RECORD.set(Mutex::new(file));
}

/// Adds a line to `record.txt`.
pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        let _ = writeln!(lock(file), "{:9.3} {line}", now());
    }
}

/// Adds a line to `record.txt` and to standard output.
pub fn say(line: &str) {
    record(line);
    println!("{line}");
}

pub fn cannot_run(why: &str) -> ! {
    say(&format!("the case could not run: {why}"));
    end_all();
    std::process::exit(2)
}

/// Ends all processes and exits: 1 if the rule was broken, 0 if it held.
pub fn finish(broken: bool, what: &str) -> ! {
    say(&format!(
        "{}: {what}",
        if broken { "BROKEN" } else { "held" }
    ));
    end_all();
    std::process::exit(i32::from(broken))
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small generator of random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 11) % bound.max(1)
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request id that was never used, as 16 hexadecimal digits.
pub fn new_id() -> String {
    let id = Random::new(NEXT_ID.fetch_add(1, SeqCst) + u64::from(std::process::id()) * 1_000_003)
        .next();
    format!("{id:016x}")
}

/// An address on loopback that was free a moment ago, for TCP and UDP. Its port lies below those that the system gives to
/// outgoing connections, so that none of these takes it.
pub fn free_address() -> SocketAddr {
    for _ in 0..1000 {
        let draw = Random::new(
            NEXT_ID.fetch_add(1, SeqCst) * 7919 + u64::from(std::process::id()) * 104_729,
        )
        .next();
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (draw >> 20) as u16 % 20_000));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    cannot_run("no free port")
}

// ---------------------------------------------------------------------------------------------------------------- RESP

/// Reads bytes from a socket and knows when they came.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// When the first byte in the buffer came.
    pub first_at: f64,
    /// When the last byte came.
    pub last_at: f64,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Reader {
            stream,
            buffer: vec![],
            first_at: 0.0,
            last_at: 0.0,
        }
    }

    fn fill(&mut self) -> std::io::Result<()> {
        let mut chunk = [0; 16384];
        let read = self.stream.read(&mut chunk)?;
        if read == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        self.last_at = now();
        if self.buffer.is_empty() {
            self.first_at = self.last_at;
        }
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(())
    }

    fn line_end(&self, from: usize) -> Option<usize> {
        (from..self.buffer.len().saturating_sub(1)).find(|&at| &self.buffer[at..at + 2] == b"\r\n")
    }

    /// The length of the reply or command at `from`, once it is complete.
    fn item_end(&self, from: usize) -> Option<usize> {
        let end = self.line_end(from)?;
        let number = || {
            std::str::from_utf8(&self.buffer[from + 1..end])
                .ok()?
                .parse::<i64>()
                .ok()
        };
        match self.buffer[from] {
            b'$' => {
                let length = number().unwrap_or(-1);
                let to = if length < 0 {
                    end + 2
                } else {
                    end + 2 + length as usize + 2
                };
                (to <= self.buffer.len()).then_some(to)
            }
            b'*' => {
                let mut at = end + 2;
                for _ in 0..number().unwrap_or(0).max(0) {
                    at = self.item_end_checked(at)?;
                }
                Some(at)
            }
            _ => Some(end + 2),
        }
    }

    fn item_end_checked(&self, from: usize) -> Option<usize> {
        (from < self.buffer.len())
            .then(|| self.item_end(from))
            .flatten()
    }

    /// Reads one whole reply or command as raw bytes.
    pub fn item(&mut self) -> std::io::Result<Vec<u8>> {
        loop {
            if let Some(end) = self.item_end_checked(0) {
                let item = self.buffer.drain(..end).collect();
                self.first_at = self.last_at.max(self.first_at);
                return Ok(item);
            }
            self.fill()?;
        }
    }

    /// Reads one command: its words and when its first byte came.
    pub fn command(&mut self) -> std::io::Result<(Vec<String>, f64)> {
        if self.buffer.is_empty() {
            self.fill()?;
        }
        let first_at = self.first_at;
        let item = self.item()?;
        let mut words = vec![];
        let mut rest = &item[..];
        while let Some(end) = rest.windows(2).position(|two| two == b"\r\n") {
            let head = &rest[..end];
            rest = &rest[end + 2..];
            if head.first() == Some(&b'$') {
                let length: usize = String::from_utf8_lossy(&head[1..]).parse().unwrap_or(0);
                words.push(String::from_utf8_lossy(&rest[..length]).into_owned());
                rest = &rest[length + 2..];
            }
        }
        Ok((words, first_at))
    }
}

pub fn command_bytes(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    bytes
}

/// The value of a name in a list of names and values.
pub fn parameter<'a>(list: &'a str, name: &str) -> &'a str {
    list.split(',')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
        .unwrap_or("")
}

// --------------------------------------------------------------------------------------------------------------- Hosts

/// A command that a host began.
#[derive(Clone, Debug)]
pub struct Begun {
    /// When its first byte came.
    pub first_at: f64,
    pub id: String,
    pub class: String,
}

/// A host: serves every command after a delay.
pub struct Host {
    pub uid: String,
    pub address: SocketAddr,
    pub begun: Mutex<Vec<Begun>>,
    /// How long it works on a command.
    pub delay_ms: AtomicU64,
    /// Whether it answers; a host that hangs takes commands and answers none.
    pub hangs: AtomicBool,
    /// Its values have this length at least.
    pub value_bytes: AtomicU64,
    keeps_record: bool,
}

impl Host {
    pub fn start(uid: &str, delay_ms: u64, keeps_record: bool) -> Arc<Self> {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener
            .local_addr()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let host = Arc::new(Host {
            uid: uid.into(),
            address,
            begun: Mutex::new(vec![]),
            delay_ms: AtomicU64::new(delay_ms),
            hangs: AtomicBool::new(false),
            value_bytes: AtomicU64::new(0),
            keeps_record,
        });
        let shared = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let host = shared.clone();
                thread::spawn(move || host.serve(stream));
            }
        });
        host
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok((words, first_at)) = reader.command() {
            let reply = match words.first().map(String::as_str) {
                Some("Q.ASK" | "Q.DO") if words.len() >= 4 => {
                    let begun = Begun {
                        first_at,
                        id: words[2].clone(),
                        class: parameter(&words[3], "c").into(),
                    };
                    if self.keeps_record {
                        record(&format!(
                            "host {} runs {} {}",
                            self.uid, begun.class, begun.id
                        ));
                        lock(&self.begun).push(begun);
                    }
                    while self.hangs.load(SeqCst) {
                        sleep(0.01);
                    }
                    sleep(self.delay_ms.load(SeqCst) as f64 / 1e3);
                    let mut value = format!("{}:{}", self.uid, words[2]);
                    let length = self.value_bytes.load(SeqCst) as usize;
                    value.extend(std::iter::repeat_n('v', length.saturating_sub(value.len())));
                    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len())
                }
                Some("PING") => "+PONG\r\n".into(),
                Some("CLIENT" | "SELECT") => "+OK\r\n".into(),
                Some("INFO") => "-NOPERM\r\n".into(),
                Some("Q.ASK" | "Q.DO") => "-SYNTAX\r\n".into(),
                _ => "-ERR unknown command\r\n".into(),
            };
            if out.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }
}

// ----------------------------------------------------------------------------------------------------------- Discovery

#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: &'static str,
    pub state: &'static str,
    pub boot_ms: u64,
    pub build: u16,
}

impl Entry {
    pub fn of(host: &Host, build: u16) -> Self {
        Entry {
            uid: host.uid.clone(),
            endpoint: host.address,
            zone: "a",
            state: "Ready",
            boot_ms: 0,
            build,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"m","pod_group":0,"state":"{}","capacity_hint":1.0,"boot_ms":{},"build":{}}}"#,
            self.uid, self.endpoint, self.zone, self.state, self.boot_ms, self.build
        )
    }
}

pub fn whole_list(rev: u64, entries: &[Entry]) -> String {
    let targets: Vec<_> = entries.iter().map(Entry::json).collect();
    format!(
        r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#,
        targets.join(",")
    )
}

struct Roster {
    rev: u64,
    /// Each entry with the version in which it changed last.
    entries: BTreeMap<String, (u64, Entry)>,
    /// Discovery is down: the agent is silent and learns nothing.
    silent: bool,
    /// What came while discovery was down.
    waiting: Vec<Entry>,
}

/// The agent of discovery on a router's machine.
pub struct Agent {
    pub name: String,
    pub address: SocketAddr,
    roster: Mutex<Roster>,
    changed: Condvar,
    /// How long each answer takes.
    pub delay_ms: AtomicU64,
    closed: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    pub calls: AtomicU64,
}

impl Agent {
    pub fn start(name: &str, rev: u64, entries: &[Entry]) -> Arc<Self> {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener
            .local_addr()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let entries = entries
            .iter()
            .map(|entry| (entry.uid.clone(), (rev, entry.clone())))
            .collect();
        let agent = Arc::new(Agent {
            name: name.into(),
            address,
            roster: Mutex::new(Roster {
                rev,
                entries,
                silent: false,
                waiting: vec![],
            }),
            changed: Condvar::new(),
            delay_ms: AtomicU64::new(0),
            closed: AtomicBool::new(false),
            streams: Mutex::new(vec![]),
            calls: AtomicU64::new(0),
        });
        let shared = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.closed.load(SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    lock(&shared.streams).push(clone);
                }
                let agent = shared.clone();
                thread::spawn(move || agent.serve(&stream));
            }
        });
        agent
    }

    /// Discovery has changes; the agent gets them at once and together, or when discovery is back.
    pub fn change(&self, entries: &[Entry]) {
        let mut roster = lock(&self.roster);
        for entry in entries {
            record(&format!(
                "discovery has {} {} build {}",
                entry.uid, entry.state, entry.build
            ));
            if roster.silent {
                roster.waiting.push(entry.clone());
            } else {
                Self::take(&mut roster, entry.clone());
            }
        }
        self.changed.notify_all();
    }

    fn take(roster: &mut Roster, entry: Entry) {
        roster.rev += 1;
        let rev = roster.rev;
        roster.entries.insert(entry.uid.clone(), (rev, entry));
    }

    /// Discovery goes down or is back.
    pub fn set_silent(&self, silent: bool) {
        let mut roster = lock(&self.roster);
        roster.silent = silent;
        if !silent {
            for entry in std::mem::take(&mut roster.waiting) {
                Self::take(&mut roster, entry);
            }
        }
        self.changed.notify_all();
    }

    /// Accepts no new connection, and closes the open ones after 1.5 s.
    pub fn leave(self: &Arc<Self>) {
        self.closed.store(true, SeqCst);
        let _ = TcpStream::connect(self.address);
        let agent = self.clone();
        thread::spawn(move || {
            sleep(1.5);
            for stream in lock(&agent.streams).drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }

    /// The answer to a question.
    fn body(&self, watch: Option<(u64, u64)>) -> String {
        let mut roster = lock(&self.roster);
        let mut held_until = None;
        loop {
            if roster.silent {
                roster = self
                    .changed
                    .wait(roster)
                    .unwrap_or_else(|poisoned| poisoned.into_inner());
                continue;
            }
            let Some((from, hold_ms)) = watch.filter(|(from, _)| *from <= roster.rev) else {
                let entries: Vec<_> = roster
                    .entries
                    .values()
                    .map(|(_, entry)| entry.clone())
                    .filter(|entry| entry.state != "Gone")
                    .collect();
                return whole_list(roster.rev, &entries);
            };
            let until = *held_until
                .get_or_insert_with(|| Instant::now() + Duration::from_millis(hold_ms.min(60_000)));
            let left = until.saturating_duration_since(Instant::now());
            if roster.rev > from || left.is_zero() {
                let changed: Vec<_> = roster
                    .entries
                    .values()
                    .filter(|(rev, _)| *rev > from)
                    .map(|(_, entry)| entry.json())
                    .collect();
                let body = format!(
                    r#"{{"rev":{},"all":false,"targets":[{}]}}"#,
                    roster.rev,
                    changed.join(",")
                );
                return body;
            }
            roster = self
                .changed
                .wait_timeout(roster, left)
                .unwrap_or_else(|poisoned| poisoned.into_inner())
                .0;
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut lines = BufReader::new(clone).lines();
        while let Some(Ok(first)) = lines.next() {
            while let Some(Ok(line)) = lines.next() {
                if line.is_empty() {
                    break;
                }
            }
            self.calls.fetch_add(1, SeqCst);
            let query = first
                .split(' ')
                .nth(1)
                .and_then(|path| path.split_once('?'))
                .map(|two| two.1.to_owned());
            let watch = query.and_then(|query| {
                let number = |name: &str| {
                    query
                        .split('&')
                        .find_map(|part| part.strip_prefix(name)?.parse::<u64>().ok())
                };
                Some((number("from=")?, number("hold_ms=").unwrap_or(0)))
            });
            record(&format!("agent {} is asked {first}", self.name));
            let body = self.body(watch);
            sleep(self.delay_ms.load(SeqCst) as f64 / 1e3);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let sent = (&*stream).write_all((head + &body).as_bytes());
            record(&format!(
                "agent {} answers ({}) {}",
                self.name,
                if sent.is_ok() { "written" } else { "closed" },
                &body[..body.len().min(100)]
            ));
            if sent.is_err() {
                return;
            }
        }
    }
}

// ------------------------------------------------------------------------------------------------------------ Platform

/// The platform: tells the state of the newest build and counts votes without acting on them.
pub struct Platform {
    pub address: SocketAddr,
    state: Mutex<(String, Instant, Vec<TcpStream>)>,
}

impl Platform {
    /// `state`: the fields of a state without `lag_ms`.
    pub fn start(state: &str) -> Arc<Self> {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener
            .local_addr()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let platform = Arc::new(Platform {
            address,
            state: Mutex::new((state.into(), Instant::now(), vec![])),
        });
        let shared = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let platform = shared.clone();
                thread::spawn(move || platform.serve(&stream));
            }
        });
        let shared = platform.clone();
        thread::spawn(move || {
            loop {
                sleep(1.0);
                let mut state = lock(&shared.state);
                state.2.retain(|stream| {
                    (&*stream)
                        .write_all(b"{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n")
                        .is_ok()
                });
            }
        });
        platform
    }

    fn fields(state: &(String, Instant, Vec<TcpStream>)) -> String {
        format!(
            "{{{},\"lag_ms\":{}}}",
            state.0,
            state.1.elapsed().as_millis()
        )
    }

    fn serve(&self, stream: &TcpStream) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        for line in BufReader::new(clone).lines().map_while(Result::ok) {
            let id: String = line
                .split("\"id\":")
                .nth(1)
                .map(|rest| rest.chars().take_while(char::is_ascii_digit).collect())
                .unwrap_or_default();
            let mut state = lock(&self.state);
            let answer = if line.contains("\"follow\"") {
                if let Ok(clone) = stream.try_clone() {
                    state.2.push(clone);
                }
                format!(
                    "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":true}}\n{{\"jsonrpc\":\"2.0\",\"method\":\"progress\",\"params\":{}}}\n",
                    Self::fields(&state)
                )
            } else {
                format!(
                    "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{}}}\n",
                    Self::fields(&state)
                )
            };
            if (&*stream).write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

// -------------------------------------------------------------------------------------------------------------- Router

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(vec![]);
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// The temporary folder of this script.
pub fn folder() -> &'static Path {
    FOLDER.get_or_init(|| {
        let path = std::env::temp_dir().join(format!("kestreltide-review-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        path
    })
}

/// Kills the processes that this script started, and removes its folder.
pub fn end_all() {
    for child in lock(&CHILDREN).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER.get() {
        if let Ok(copy_to) = std::env::var("KEEP_LOGS") {
            let _ = fs::create_dir_all(&copy_to);
            for entry in fs::read_dir(folder).into_iter().flatten().flatten() {
                let _ = fs::copy(entry.path(), Path::new(&copy_to).join(entry.file_name()));
            }
        }
        let _ = fs::remove_dir_all(folder);
    }
}

pub struct Router {
    pub name: String,
    pub pid: u32,
    pub address: SocketAddr,
    pub config: PathBuf,
}

impl Router {
    /// Starts a router with the command `run` of the deploy file and waits until it is ready.
    pub fn start(
        name: &str,
        address: SocketAddr,
        discovery: SocketAddr,
        config_text: &str,
        environment: &[(&str, String)],
    ) -> Self {
        let run = std::env::var("RUN_COMMAND").unwrap_or_else(|_| cannot_run("no RUN_COMMAND"));
        let config = folder().join(format!("{name}.json"));
        fs::write(&config, config_text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder().join(format!("{name}.log")))
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("PROXY_NAME", name)
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", discovery.to_string())
            .env("PROXY_CONFIG", &config)
            .envs(environment.iter().cloned())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let pid = child.id();
        if let Ok(path) = std::env::var("REVIEW_PIDS")
            && let Ok(mut file) = File::options().create(true).append(true).open(path)
        {
            let _ = writeln!(file, "{pid}");
        }
        lock(&CHILDREN).push(child);
        let router = Router {
            name: name.into(),
            pid,
            address,
            config,
        };
        let began = now();
        while !router.answers_ping() {
            if now() - began > 30.0 || !router.runs() {
                cannot_run(&format!("{name} is not ready"));
            }
            sleep(0.02);
        }
        record(&format!("{name} is ready at {address}"));
        router
    }

    fn answers_ping(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.address) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut line = [0; 7];
        (&stream).write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
            && (&stream).read_exact(&mut line).is_ok()
            && &line == b"+PONG\r\n"
    }

    pub fn signal(&self, signal: &str) {
        record(&format!("{} gets SIG{signal}", self.name));
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{signal} {}", self.pid)])
            .status();
    }

    /// Whether the process still runs.
    pub fn runs(&self) -> bool {
        let mut children = lock(&CHILDREN);
        let child = children.iter_mut().find(|child| child.id() == self.pid);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        record(&format!("{} is killed", self.name));
        let mut children = lock(&CHILDREN);
        if let Some(child) = children.iter_mut().find(|child| child.id() == self.pid) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Its memory in KiB.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }
}

/// A class of the settings.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub window_ms: u64,
    pub aim_ms: u64,
    pub limit_ms: u64,
    pub late_worth: f64,
    pub worth: f64,
}

/// What a deployment sets, with the values of a small one where nothing is said.
pub struct Site {
    pub discovery: &'static str,
    pub routers: u32,
    pub ask_every_ms: u64,
    pub drain_grace_ms: u64,
    pub fall_multiple: f64,
    pub fall_ms: u64,
    pub cold_share: f64,
    pub cold_ms: u64,
    pub rings: &'static str,
    pub caps: &'static str,
    pub window_ms: u64,
    pub free: f64,
    pub no_return: bool,
    pub second_copies: bool,
    pub retry_after: bool,
    pub max_attempts: u32,
    pub may_probe: bool,
    pub idle_ms: u64,
    pub streams: u32,
    pub memory_mb: u32,
    pub sockets: u32,
    pub classes: Vec<Class>,
}

impl Site {
    fn settings(&self, me: u32) -> String {
        let classes: Vec<_> = self
            .classes
            .iter()
            .map(|class| {
                format!(
                    r#"{{"name":"{}","effect":"{}","group":"all","window":{},"slo":{},"give_up":{},"credit":{:?},"late_worth":{:?},"stream":false}}"#,
                    class.name, class.effect, class.window_ms * 1000, class.aim_ms * 1000, class.limit_ms * 1000, class.worth, class.late_worth
                )
            })
            .collect();
        format!(
            r#"{{"accounts":[],"discovery":"{}","family":"rollout","group_size":{},"me":{me},"my_zone":"a","zones":["a"],"tick":5000,"worth_by":"request","weight_kind":"off","kinds":["m"],"telemetry":{{"via":"off","fields":[]}},"extra":{{"gate_mode":"share","votes_to_go":2,"back_votes":2,"stoppers":0,"bake":1000000,"rings":[{}],"ballot_ttl":6000000,"vote_wait":1200000,"api_rate":200.0,"most_shares":[{}],"counted_over":{},"spare_tries":{:?},"counts":"all","guarded_stages":0,"no_return":{},"replace_mode":"in_place","flag_share":0.15}},"guarantees":{{"answer_slack":20000,"ask_every":{},"drain_grace":{},"cold_share":{:?},"cold":{},"fall_multiple":{:?},"fall":{}}},"permissions":{{"may_probe":{},"peers":true,"cancel":true,"second_copies":{},"retry_after":{},"max_retry_after":2000000,"max_attempts":{},"connect_timeout":250000,"keepalive":{},"max_open":20000,"max_streams":{}}},"request_classes":[{}]}}"#,
            self.discovery,
            self.routers,
            self.rings,
            self.caps,
            self.window_ms * 1000,
            self.free,
            self.no_return,
            self.ask_every_ms * 1000,
            self.drain_grace_ms * 1000,
            self.cold_share,
            self.cold_ms * 1000,
            self.fall_multiple,
            self.fall_ms * 1000,
            self.may_probe,
            self.second_copies,
            self.retry_after,
            self.max_attempts,
            self.idle_ms * 1000,
            self.streams,
            classes.join(",")
        )
    }

    /// A router's configuration. `peers`: the addresses of all routers that run here; the rest of the tier is silent.
    pub fn config(
        &self,
        me: u32,
        listen: SocketAddr,
        peers: &[SocketAddr],
        discovery: SocketAddr,
        platform: SocketAddr,
        news: &str,
        known: &str,
    ) -> String {
        let peers_text: Vec<_> = (0..self.routers as usize)
            .map(|number| match peers.get(number) {
                Some(peer) => format!("\"{peer}\""),
                // Nobody listens there: a router that is down.
                None => format!("\"127.0.{}.{}:7\"", 1 + number / 250, 1 + number % 250),
            })
            .collect();
        let seed = Random::new(u64::from(me) + u64::from(std::process::id()) * 7919).next();
        format!(
            r#"{{"name":"n{me}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"peer_listen":"{}","peers":[{}],"platform":{{"address":"{platform}","news":{{{news},"lag_ms":0}}}},"known":{known},"settings":{}}}"#,
            self.memory_mb,
            self.sockets,
            peers[me as usize],
            peers_text.join(","),
            self.settings(me)
        )
    }
}

// ------------------------------------------------------------------------------------------------------------- Clients

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Refused,
    Failed,
    /// The router closed the connection without an answer.
    Closed,
    /// Nothing came within the time and half a second.
    Silent,
    /// The router could not be reached.
    Unreachable,
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub class: &'static str,
    /// When its last byte was written.
    pub at: f64,
    pub ended_at: f64,
    pub outcome: Outcome,
    /// The answer as it came.
    pub answer: String,
}

/// A client with one connection, which it keeps.
pub struct Client {
    router: SocketAddr,
    connection: Option<(TcpStream, Reader)>,
    was_used: bool,
    /// The length of the body of `Q.DO`.
    pub body_bytes: usize,
}

impl Client {
    pub fn new(router: SocketAddr) -> Self {
        Client {
            router,
            connection: None,
            was_used: false,
            body_bytes: 4,
        }
    }

    fn connect(&mut self) -> bool {
        if self.connection.is_none() {
            let Ok(stream) = TcpStream::connect(self.router) else {
                return false;
            };
            let _ = stream.set_nodelay(true);
            let Ok(clone) = stream.try_clone() else {
                return false;
            };
            self.connection = Some((stream, Reader::new(clone)));
            self.was_used = false;
        }
        true
    }

    /// Sends a request and waits for its answer. Where a close crosses the request on a used connection, it is sent once
    /// more on a new one.
    pub fn send(&mut self, key: &str, class: &Class, limit_ms: u64) -> Sent {
        let first = self.send_once(key, class, limit_ms);
        if first.outcome == Outcome::Closed && self.was_used {
            return self.send_once(key, class, limit_ms);
        }
        first
    }

    fn send_once(&mut self, key: &str, class: &Class, limit_ms: u64) -> Sent {
        let id = new_id();
        let mut sent = Sent {
            id: id.clone(),
            class: class.name,
            at: now(),
            ended_at: now(),
            outcome: Outcome::Unreachable,
            answer: String::new(),
        };
        if !self.connect() {
            return sent;
        }
        let was_used = self.was_used;
        let Some((stream, reader)) = &mut self.connection else {
            return sent;
        };
        let list = match class.effect {
            "by_key" => format!("c={},d={limit_ms},k={}", class.name, new_id()),
            _ => format!("c={},d={limit_ms}", class.name),
        };
        let name = if class.effect == "repeatable" {
            "Q.ASK"
        } else {
            "Q.DO"
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(limit_ms + 600)));
        let body = "b".repeat(self.body_bytes);
        let words = [name, key, &id, &list, &body];
        let words = if class.effect == "repeatable" {
            &words[..4]
        } else {
            &words[..]
        };
        let written = stream.write_all(&command_bytes(words));
        sent.at = now();
        sent.outcome = match written.and_then(|()| reader.item()) {
            Ok(reply) => {
                sent.answer =
                    String::from_utf8_lossy(&reply[..reply.len().min(200)]).replace("\r\n", " ");
                match reply.first() {
                    Some(b'$' | b'*') if !reply.starts_with(b"$-1") => Outcome::Served,
                    Some(b'-') if reply.starts_with(b"-BUSY") => Outcome::Refused,
                    _ => Outcome::Failed,
                }
            }
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                Outcome::Silent
            }
            Err(_) => Outcome::Closed,
        };
        sent.ended_at = now();
        self.was_used = was_used;
        match sent.outcome {
            Outcome::Closed | Outcome::Silent => self.connection = None,
            _ => self.was_used = true,
        }
        sent
    }
}
