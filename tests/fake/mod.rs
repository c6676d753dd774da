//! One tiny fake fleet: a router, the hosts it knows, and a clock that the stories move by hand; and for the
//! real router the same on loopback sockets.

// Each set of stories uses its part.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{self, Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use std::{env, fs, thread};

use kestreltide::choice::Router;
use kestreltide::interface::*;

pub const OLD: BuildId = BuildId(7);
pub const NEW: BuildId = BuildId(8);
pub const READ: OperationId = OperationId(0);
pub const CHANGE: OperationId = OperationId(1);
pub const ONCE: OperationId = OperationId(2);

pub fn terms() -> ServiceTerms {
    let operation = |repeats, slo_time| OperationTerms {
        slo_time,
        slo_stretch: 0.0,
        time_limit: 2.0,
        repeats,
        billed_value: 1.0,
        late_share: 0.0,
        streamed: false,
    };
    let fingerprinted = Repeats::Fingerprinted { group: RepeatGroup::All, window: 0.5 };
    ServiceTerms {
        me: RouterId(0),
        routers: 1,
        zone: None,
        operations: vec![
            operation(Repeats::Idempotent, 0.8),
            operation(fingerprinted, 1.5),
            operation(Repeats::SideEffecting, 0.8),
        ],
        billed_by_work: false,
        list_asked: false,
        ask_every: 10.0,
        sizes: Sizes::Untold,
        gate: Gate::Any,
        votes_on: 0,
        votes_back: 0,
        votes_hold: 0,
        bake: 1.0,
        ballot_life: 6.0,
        vote_wait: 1.0,
        stage_shares: vec![0.25, 1.0],
        stage_caps: vec![0.3, 1.0],
        exposure_window: 2.0,
        exposure_spare: 2.0,
        exposure_by_operation: false,
        guarded_stages: 0,
        keys_bound: false,
        keys_warm: false,
        in_place: true,
        dispute_share: 0.0,
        drain_grace: 0.25,
        cold_share: 0.4,
        cold_time: 4.0,
        fall_multiple: 3.0,
        fall_time: 1.0,
        may_probe: false,
        may_tell: true,
        may_recall: true,
        may_copy: false,
        may_advise: true,
        longest_advice: 1.0,
        most_dispatches: 4,
        tick: 0.005,
    }
}

pub fn host(id: u64, build: BuildId, started: Option<f64>) -> HostEntry {
    let (zone, cell, kind) = (ZoneId(0), CellId(0), KindId(0));
    let state = HostState::Running;
    HostEntry { host: HostId(id), build, zone, cell, kind, size: 1.0, started, state }
}

pub fn news(build: BuildId, stage: u32, phase: Phase, cap: f64) -> Event {
    Event::Stage(StageNews {
        verdict: Verdict::Succeeded,
        build,
        stage,
        phase,
        cap,
        age: 0.0,
        answers_vote: false,
    })
}

pub struct Fake {
    pub router: Router,
    pub now: f64,
    pub taken: u32,
    pub hosts: Vec<HostEntry>,
    alarms: Vec<(f64, AlarmKey)>,
}

impl Fake {
    /// A router that knows so many warm hosts of the old build, which is released.
    pub fn new(terms: ServiceTerms, hosts: u64) -> Self {
        let router = Router::start(terms, 11, 100.0);
        let mut fake = Fake { router, now: 100.0, taken: 0, hosts: vec![], alarms: vec![] };
        fake.list((0..hosts).map(|id| host(id, OLD, None)).collect());
        fake.feed(news(OLD, 1, Phase::Released, 1.0));
        fake
    }

    pub fn feed(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = vec![];
        self.router.handle(self.now, event, &mut effects);
        self.alarms.extend(effects.iter().filter_map(|effect| match effect {
            Effect::SetAlarm { at, key } => Some((*at, *key)),
            _ => None,
        }));
        effects
    }

    pub fn list(&mut self, hosts: Vec<HostEntry>) {
        self.hosts = hosts;
        let entries = self.hosts.clone().into();
        self.feed(Event::Hosts { scope: ListScope::Whole, entries });
    }

    pub fn ask(&mut self, operation: OperationId, key: Option<&str>) -> (InvId, Vec<Effect>) {
        self.taken += 1;
        let id = InvId(format!("inv-{}", self.taken).into());
        let key = key.map(|key| KeyId(key.into()));
        let inv = Invocation { id: id.clone(), operation, key, time_left: 2.0, work: None, again: false };
        let effects = self.feed(Event::Arrived(inv));
        (id, effects)
    }

    pub fn end(&mut self, inv: &InvId, dispatch: u32, verdict: Verdict, took: f64) -> Vec<Effect> {
        let (inv, over, load) = (inv.clone(), verdict == Verdict::Succeeded, LoadReport::default());
        let (dispatch, host, unused) = (DispatchNo(dispatch), HostId(0), None);
        self.feed(Event::Ended { inv, dispatch, host, verdict, over, took, load, unused })
    }

    /// Asks and answers at a steady pace, beats included; `how` says how a host answers. Returns the votes
    /// cast and the builds and hosts that were sent to.
    pub fn run(
        &mut self, seconds: f64, how: impl Fn(&HostEntry, OperationId) -> (Verdict, f64),
    ) -> (Vec<Sense>, Vec<HostEntry>) {
        let (mut votes, mut sent, until) = (vec![], vec![], self.now + seconds);
        while self.now < until {
            self.now += 0.02;
            let operation = if self.taken.is_multiple_of(2) { READ } else { CHANGE };
            let (id, mut effects) = self.ask(operation, None);
            let (mut next, mut number) = (sent_to(&effects), 0);
            while let Some(to) = next {
                let entry = self.hosts.iter().find(|h| h.host == to).copied().expect("a known host");
                let (verdict, took) = how(&entry, operation);
                sent.push(entry);
                let more = self.end(&id, number, verdict, took);
                (next, number) = (sent_to(&more), number + 1);
                effects.extend(more);
            }
            let due: Vec<_> =
                self.alarms.iter().filter(|(at, _)| *at <= self.now).map(|(_, key)| *key).collect();
            self.alarms.retain(|(at, _)| *at > self.now);
            due.into_iter().for_each(|key| effects.extend(self.feed(Event::Alarm { key })));
            votes.extend(effects.into_iter().filter_map(|effect| match effect {
                Effect::Vote { sense, .. } => Some(sense),
                _ => None,
            }));
        }
        (votes, sent)
    }
}

pub fn sent_to(effects: &[Effect]) -> Option<HostId> {
    effects.iter().find_map(|effect| match effect {
        Effect::Dispatch { host, .. } => Some(*host),
        _ => None,
    })
}

// For the real router: parties on loopback sockets, and the program itself. Every wait ends by what is seen,
// or fails after this long.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A party that serves every connection in a thread of its own.
pub fn party(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    at
}

/// An address at which nobody listens, nor will: all fakes keep to another one of the loopback range.
pub fn nobody() -> SocketAddr {
    let port =
        TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port");
    ([127, 77, 0, 1], port.port()).into()
}

/// The next command or array on a connection, None at its end.
pub fn words(from: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    from.read_line(&mut line).ok().filter(|length| *length > 0)?;
    let count: usize = line.trim_end().strip_prefix('*')?.parse().ok()?;
    let word = |_| {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let length: usize = line.trim_end().strip_prefix('$')?.parse().ok()?;
        let mut bytes = vec![0; length + 2];
        from.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        String::from_utf8(bytes).ok()
    };
    (0..count).map(word).collect()
}

/// A tiny fake host on a socket: `None` as an answer closes the connection, an empty one keeps silent.
pub fn fake_host(answer: impl Fn(&[String]) -> Option<String> + Send + Sync + 'static) -> SocketAddr {
    party(move |stream| answer_each(stream, &answer))
}

/// Answers the commands of one connection, one after another.
pub fn answer_each(stream: TcpStream, answer: impl Fn(&[String]) -> Option<String>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Some(words) = words(&mut reader) {
        match answer(&words) {
            Some(text) => drop((&stream).write_all(text.as_bytes())),
            None => return,
        }
    }
}

/// A host's answer with a value.
pub fn value(text: &str) -> Option<String> {
    Some(format!("*3\r\n${}\r\n{text}\r\n$-1\r\n$-1\r\n", text.len()))
}

/// Discovery: each question takes the next of these answers, as long as there are any.
pub fn fake_discovery(answers: Receiver<String>) -> SocketAddr {
    let answers = Mutex::new(answers);
    party(move |stream| {
        let mut lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
        while lines.by_ref().map_while(Result::ok).any(|line| line.is_empty()) {
            let Ok(body) = answers.lock().expect("no panic before").recv() else { return };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let _ = (&stream).write_all((head + &body).as_bytes());
        }
    })
}

pub fn list(rev: u32, all: bool, hosts: &[(&str, SocketAddr, &str)]) -> String {
    let target = |(uid, at, state): &(&str, SocketAddr, &str)| {
        format!(r#"{{"uid":"{uid}","endpoint":"{at}","az":"a","model":"m","pod_group":0,"state":"{state}","#)
            + r#""capacity_hint":1.0,"boot_ms":0,"build":7}"#
    };
    let targets: Vec<_> = hosts.iter().map(target).collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.join(","))
}

const SETTINGS: &str = r#"{"accounts":[],"discovery":"push","group_size":1,"me":0,"my_zone":"a","tick":5000,
    "worth_by":"request","weight_kind":"off","telemetry":{"via":"off","fields":[]},
    "extra":{"gate_mode":"any","votes_to_go":1,"back_votes":1,"stoppers":0,"bake":3000000,"rings":[1.0],
    "ballot_ttl":10000000,"vote_wait":500000,"most_shares":[1.0],"counted_over":2000000,"spare_tries":3.0,
    "counts":"all","guarded_stages":0,"no_return":false,"replace_mode":"in_place","flag_share":0.0},
    "guarantees":{"ask_every":10000000,"drain_grace":500000,"cold_share":0.5,"cold":1000000,
    "fall_multiple":3.0,"fall":2000000},
    "permissions":{"may_probe":false,"peers":false,"cancel":true,"second_copies":false,"retry_after":false,
    "max_retry_after":0,"max_attempts":2,"connect_timeout":250000,"keepalive":30000000,"max_open":1000},
    "request_classes":[
    {"name":"read","effect":"repeatable","slo":5000000,"give_up":6000000,"credit":1.0,"late_worth":0.1,
    "stream":false},
    {"name":"switch","effect":"once","slo":5000000,"give_up":6000000,"credit":1.0,"late_worth":0.1,
    "stream":false}]}"#;

/// A whole configuration; what is in it may be replaced.
pub fn config(discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

/// The program, started with a configuration on its own.
pub struct Program {
    pub child: Child,
    pub at: SocketAddr,
    config: PathBuf,
    log: Receiver<String>,
}

impl Program {
    pub fn command(binary: &str, verb: &str, config: &str) -> Command {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let name = format!("kestreltide-{}-{}.json", process::id(), NUMBER.fetch_add(1, Relaxed));
        let path = env::temp_dir().join(name);
        fs::write(&path, config).expect("a writable folder");
        let mut command = Command::new(binary);
        command.arg(verb).arg("--config").arg(path).stderr(Stdio::piped()).stdout(Stdio::piped());
        for name in ["PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY"] {
            command.env_remove(name);
        }
        command
    }

    pub fn start(binary: &str, config: &str) -> Self {
        Self::start_with(binary, config, &[])
    }

    pub fn start_with(binary: &str, config: &str, environment: &[(&str, String)]) -> Self {
        let mut command = Self::command(binary, "serve", config);
        command.envs(environment.iter().cloned());
        let path = command.get_args().last().expect("the configuration's path").into();
        let mut child = command.spawn().expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("standard error")).lines();
        let (sender, log) = channel();
        thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let mut program = Program { child, at: ([127, 0, 0, 1], 0).into(), config: path, log };
        let line = program.logged("listening");
        let at = line.split("at: ").nth(1).and_then(|rest| rest.split(',').next());
        program.at = at.and_then(|at| at.parse().ok()).expect("the line names the address");
        program
    }

    /// Waits for a line of the log that says this.
    pub fn logged(&self, what: &str) -> String {
        loop {
            let line = self.log.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("no line says {what}"));
            if line.contains(what) {
                return line;
            }
        }
    }

    pub fn lines_until(&self, what: &str) -> Vec<String> {
        let next = || self.log.recv_timeout(PATIENCE).ok().filter(|line| !line.contains(what));
        std::iter::from_fn(next).collect()
    }

    /// Replaces the configuration and tells the program so.
    pub fn reread(&self, config: &str) {
        fs::write(&self.config, config).expect("a writable folder");
        self.signal("HUP");
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(sent.expect("kill is there").success());
    }

    /// Stops the process, and waits until it stands still: it may be at work when the signal is sent.
    pub fn freeze(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !fs::read_to_string(&stat).expect("it runs").contains(") T ") {
            thread::yield_now();
        }
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.at).expect("the program listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Client { reader: BufReader::new(stream.try_clone().expect("a second handle")), stream }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the program reads");
    }

    pub fn send(&mut self, words: &[&str]) {
        let words: Vec<_> = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
        self.write(format!("*{}\r\n{}", words.len(), words.concat()).as_bytes());
    }

    /// The next answer: a line, or a bulk string's value; empty at the connection's end.
    pub fn answer(&mut self) -> String {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line);
        assert!(!matches!(&read, Err(e) if e.kind() != ErrorKind::ConnectionReset), "no answer: {read:?}");
        let line = line.trim_end();
        let Some(length) = line.strip_prefix('$').and_then(|length| length.parse::<usize>().ok()) else {
            return line.into();
        };
        let mut bytes = vec![0; length + 2];
        self.reader.read_exact(&mut bytes).expect("the whole value");
        String::from_utf8_lossy(&bytes[..length]).into()
    }

    pub fn ask(&mut self, words: &[&str]) -> String {
        self.send(words);
        self.answer()
    }
}
