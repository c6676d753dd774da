//! Golden files of the wire: the bytes that a running router writes to clients, hosts, discovery,
//! the platform and other routers.
//!
//! The router runs as a process of its own and every other party is a plain socket of this file,
//! so that the test depends on no name of the router's code. Only what no party can make a router
//! write (probes, which no decision asks for today) is written by the public codec.
//!
//! To record the golden files anew, deliberately:
//! `KESTRELTIDE_REGENERATE_GOLDEN=1 cargo test -p kestreltide-router --test golden_wire`.

mod golden;

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use golden::{Transcript, replace_one, router_command};
use tempfile::TempDir;

/// How long anything may take that must happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// Longer than a router reads in one go, and more than it takes as one bulk string.
const TOO_LONG_BULK: &str = "$70000\r\n";

const SETTINGS: &str = r#"{"discovery":"push","group_size":1,"me":0,"my_zone":"a","tick":5000,
    "worth_by":"request","weight_kind":"off","telemetry":{"via":"off","fields":[]},
    "extra":{"gate_mode":"any","votes_to_go":1,"back_votes":1,"stoppers":0,"bake":3000000,
    "rings":[1.0],"ballot_ttl":10000000,"vote_wait":500000,"api_rate":0.0,"most_shares":[1.0],
    "counted_over":2000000,"spare_tries":3.0,"counts":"all","guarded_stages":0,"no_return":false,
    "replace_mode":"in_place","flag_share":0.0},
    "guarantees":{"ask_every":10000000,"drain_grace":500000,"cold_share":0.5,"cold":1000000,
    "fall_multiple":3.0,"fall":2000000},
    "permissions":{"may_probe":false,"peers":false,"cancel":true,"second_copies":false,
    "retry_after":false,"max_retry_after":0,"max_attempts":2,"connect_timeout":250000,
    "keepalive":30000000,"max_open":1000},
    "request_classes":[
    {"name":"read","effect":"repeatable","slo":5000000,"give_up":6000000,"credit":1.0,
    "late_worth":0.1,"stream":false},
    {"name":"set","effect":"by_key","group":"all","window":2000000,"slo":5000000,
    "give_up":6000000,"credit":1.0,"late_worth":0.1,"stream":false},
    {"name":"switch","effect":"once","slo":5000000,"give_up":6000000,"credit":1.0,
    "late_worth":0.1,"stream":false}]}"#;

/// A host as discovery lists it.
struct ListedHost {
    name: &'static str,
    address: SocketAddr,
    build: u16,
}

/// A whole list of hosts, as discovery writes it.
fn host_list(revision: u32, hosts: &[ListedHost]) -> String {
    let targets: Vec<String> = hosts
        .iter()
        .map(
            |ListedHost {
                 name,
                 address,
                 build,
             }| {
                format!(
                    r#"{{"uid":"{name}","endpoint":"{address}","az":"a","model":"m","pod_group":0,
                "state":"Ready","capacity_hint":1.0,"boot_ms":0,"build":{build}}}"#
                )
            },
        )
        .collect();
    format!(
        r#"{{"rev":{revision},"all":true,"targets":[{}]}}"#,
        targets.join(",")
    )
}

/// A whole configuration. `fields` stands before the settings: `"known":...,` and the like.
fn configuration(discovery: SocketAddr, fields: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}",
        "seed":"8c1f30d27a5be964","limits":{{"memory_mb":64,"sockets":256}},
        {fields}"settings":{settings}}}"#
    )
}

/// A router's process.
struct Router {
    process: Child,
    address: SocketAddr,
    _folder: TempDir,
}

impl Router {
    /// Starts a router and waits until it listens.
    fn start(configuration: &str) -> Self {
        let folder = tempfile::tempdir().expect("a folder for the configuration");
        fs::write(folder.path().join("config.json"), configuration).expect("a writable folder");
        let mut process = router_command(&["serve", "--config", "config.json"], folder.path())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the router starts");
        let log = BufReader::new(process.stderr.take().expect("standard error"));
        let (address_sender, address) = channel();
        // The log is read to its end, as a router must never wait for who reads it.
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                if let Some(address) = listening_address(&line) {
                    let _ = address_sender.send(address);
                }
            }
        });
        let address = address.recv_timeout(PATIENCE).expect("the router listens");
        Router {
            process,
            address,
            _folder: folder,
        }
    }

    /// A router whose discovery never answers, and that knows these hosts.
    fn start_with_hosts(hosts: &[ListedHost], settings: &str) -> Self {
        let known = format!("\"known\":{},", host_list(1, hosts));
        Router::start(&configuration(silent_party(), &known, settings))
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("the router listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("an option");
        stream
    }

    /// Writes a command on a connection of its own and returns the answer, byte for byte.
    fn ask(&self, words: &[&str]) -> Vec<u8> {
        let mut stream = self.connect();
        stream.write_all(&command(words)).expect("the router reads");
        read_reply(&mut BufReader::new(stream))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The address in the one log line that names `127.0.0.1` under `at` and tells of listening.
fn listening_address(line: &str) -> Option<SocketAddr> {
    let after = line
        .split("at: ")
        .nth(1)
        .filter(|_| line.contains("listening"))?;
    after.split(',').next()?.trim().parse().ok()
}

/// Serves each connection to an address in a thread of its own.
fn spawn_server(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Accepts connections, reads what comes and never answers.
fn silent_party() -> SocketAddr {
    spawn_server(|mut stream| {
        let _ = std::io::copy(&mut stream, &mut std::io::sink());
    })
}

/// A command as clients write it.
fn command(words: &[&str]) -> Vec<u8> {
    let words: Vec<String> = words
        .iter()
        .map(|word| format!("${}\r\n{word}\r\n", word.len()))
        .collect();
    format!("*{}\r\n{}", words.len(), words.concat()).into_bytes()
}

/// The bytes of one line, with its end; none at the end of the connection.
fn read_line(reader: &mut impl BufRead) -> Vec<u8> {
    let mut line = Vec::new();
    let _ = reader.read_until(b'\n', &mut line);
    line
}

/// The number in a line such as `$5` or `*3`.
fn number(line: &[u8]) -> Option<usize> {
    std::str::from_utf8(line.get(1..)?)
        .ok()?
        .trim_end()
        .parse()
        .ok()
}

/// The bytes of a bulk string or a line.
fn read_reply(reader: &mut impl BufRead) -> Vec<u8> {
    let mut bytes = read_line(reader);
    if let Some(length) = number(&bytes).filter(|_| bytes.starts_with(b"$")) {
        let mut value = vec![0; length + 2];
        reader.read_exact(&mut value).expect("the whole value");
        bytes.extend(value);
    }
    bytes
}

/// The bytes of a whole command that the router wrote to a host; none at the end.
fn read_command(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut bytes = read_line(reader);
    let count = number(&bytes)?;
    for _ in 0..count {
        bytes.extend(read_reply(reader));
    }
    Some(bytes)
}

/// A host that passes on each command it gets, and answers each with these bytes.
fn recording_host(answer: &'static [u8]) -> (SocketAddr, Receiver<Vec<u8>>) {
    let (sender, commands) = channel();
    let address = spawn_server(move |stream| serve_host(stream, answer, &sender));
    (address, commands)
}

fn serve_host(mut stream: TcpStream, answer: &[u8], commands: &Sender<Vec<u8>>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Some(command) = read_command(&mut reader) {
        if commands.send(command).is_err() || stream.write_all(answer).is_err() {
            return;
        }
    }
}

/// The time that an attempt is given depends on when it is sent: its digits become `#`.
fn without_time(command: &[u8]) -> Vec<u8> {
    let mut masked = command.to_vec();
    let mut in_time = false;
    for place in 2..masked.len() {
        let begins = matches!(&masked[place - 2..place], b",d" | b"\nd") && masked[place] == b'=';
        in_time = begins || in_time && (masked[place].is_ascii_digit());
        if in_time && !begins {
            masked[place] = b'#';
        }
    }
    masked
}

#[test]
fn requests_go_to_hosts_in_the_bytes_they_always_had() {
    let (address, commands) = recording_host(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
    let hosts = [ListedHost {
        name: "a",
        address,
        build: 7,
    }];
    let router = Router::start_with_hosts(&hosts, SETTINGS);
    let cases: &[(&str, &[&str])] = &[
        (
            "an idempotent request",
            &["Q.ASK", "key", "id-1", "c=read,d=5000"],
        ),
        (
            "a command in small letters",
            &["q.ask", "key", "id-2", "c=read,d=5000"],
        ),
        ("no key", &["Q.ASK", "", "id-3", "c=read,d=5000"]),
        (
            "a payload",
            &["Q.ASK", "key", "id-4", "c=read,d=5000", "pay\r\nload"],
        ),
        (
            "the time before the operation",
            &["Q.ASK", "key", "id-5", "d=5000,c=read"],
        ),
        (
            "a time with zeros",
            &["Q.ASK", "key", "id-6", "c=read,d=00005000"],
        ),
        (
            "sent again by the client",
            &["Q.ASK", "key", "id-7", "c=read,d=5000,r=1"],
        ),
        (
            "parts that are not known",
            &["Q.ASK", "key", "id-8", "x=1,c=read,y=d=9,d=5000,z="],
        ),
        (
            "a side-effecting request",
            &["Q.DO", "key", "id-9", "c=switch,d=5000"],
        ),
        (
            "a request with its own mark",
            &["Q.DO", "key", "id-10", "c=set,d=5000,k=5c"],
        ),
    ];
    let mut transcript = Transcript::default();
    for (title, words) in cases {
        transcript.begin_case(title);
        let answer = router.ask(words);
        let command = commands.recv_timeout(PATIENCE).expect("the host has it");
        transcript.record_bytes("router to host", &without_time(&command));
        transcript.record_bytes("router to client", &answer);
    }
    transcript.assert_golden("requests_to_hosts.txt");
}

#[test]
fn retries_go_to_hosts_in_the_bytes_they_always_had() {
    let (first, first_commands) = recording_host(b"-BUSY\r\n");
    let (second, second_commands) = recording_host(b"-BUSY\r\n");
    let hosts = [
        ListedHost {
            name: "a",
            address: first,
            build: 7,
        },
        ListedHost {
            name: "b",
            address: second,
            build: 7,
        },
    ];
    let router = Router::start_with_hosts(&hosts, SETTINGS);
    let mut transcript = Transcript::default();
    transcript.begin_case("an idempotent request that both hosts turn away");
    let answer = router.ask(&["Q.ASK", "key", "id", "c=read,d=5000", "payload"]);
    for commands in [first_commands, second_commands] {
        let command = commands.recv_timeout(PATIENCE).expect("the host has it");
        transcript.record_bytes("router to host", &without_time(&command));
    }
    transcript.record_bytes("router to client", &answer);
    transcript.assert_golden("retries_to_hosts.txt");
}

/// What the router answers to what it took, by what its only host answers.
#[test]
fn answers_go_to_clients_in_the_bytes_they_always_had() {
    let advice = replace_one(SETTINGS, "\"retry_after\":false", "\"retry_after\":true");
    let advice = replace_one(
        &advice,
        "\"max_retry_after\":0",
        "\"max_retry_after\":250000",
    );
    let read: &[&str] = &["Q.ASK", "key", "id", "c=read,d=5000"];
    let switch: &[&str] = &["Q.DO", "key", "id", "c=switch,d=5000"];
    let cases: &[(&str, &str, &'static [u8], &[&str])] = &[
        (
            "a value",
            SETTINGS,
            b"*3\r\n$5\r\nhello\r\n$-1\r\n$-1\r\n",
            read,
        ),
        ("an empty value", SETTINGS, b"*1\r\n$0\r\n\r\n", read),
        (
            "a value of any bytes",
            SETTINGS,
            b"*1\r\n$6\r\n\x00\xff\r\n-x\r\n",
            read,
        ),
        (
            "a value with a report",
            SETTINGS,
            b"*3\r\n$1\r\nv\r\n$-1\r\n$5\r\nrif=1\r\n",
            read,
        ),
        ("turned away without a time", SETTINGS, b"-BUSY\r\n", read),
        ("turned away with a time", &advice, b"-BUSY\r\n", read),
        (
            "an idempotent request failed",
            SETTINGS,
            b"-ERR why\r\n",
            read,
        ),
        (
            "a side-effecting request was turned away",
            SETTINGS,
            b"-BUSY rif=1\r\n",
            switch,
        ),
        (
            "a side-effecting request failed",
            SETTINGS,
            b"-ERR why\r\n",
            switch,
        ),
        (
            "the host does not know the command",
            SETTINGS,
            b"-WRONG why\r\n",
            switch,
        ),
        ("the host's answer is malformed", SETTINGS, b"?\r\n", switch),
    ];
    let mut transcript = Transcript::default();
    for (title, settings, host_answer, words) in cases {
        let (address, _commands) = recording_host(host_answer);
        let hosts = [ListedHost {
            name: "a",
            address,
            build: 7,
        }];
        let router = Router::start_with_hosts(&hosts, settings);
        transcript.begin_case(title);
        transcript.record_bytes("host to router", host_answer);
        transcript.record_bytes("router to client", &router.ask(words));
    }
    transcript.assert_golden("answers_to_clients.txt");
}

/// One connection of a client: what it writes, and how many answers it waits for before the
/// router closes it, if it does.
struct Conversation {
    title: &'static str,
    bytes: Vec<u8>,
    answers: usize,
    closes: bool,
}

fn answered(title: &'static str, bytes: Vec<u8>) -> Conversation {
    Conversation {
        title,
        bytes,
        answers: 1,
        closes: false,
    }
}

fn rejected(title: &'static str, bytes: &[u8]) -> Conversation {
    Conversation {
        title,
        bytes: bytes.to_vec(),
        answers: 1,
        closes: true,
    }
}

fn rejected_request(title: &'static str, words: &[&str]) -> Conversation {
    rejected(title, &command(words))
}

fn conversations() -> Vec<Conversation> {
    let long_id = "i".repeat(257);
    let mut not_utf8 = command(&["Q.ASK", "key", "id", "c=read,d=5000,x=?"]);
    let place = not_utf8
        .iter()
        .position(|byte| *byte == b'?')
        .expect("it is there");
    not_utf8[place] = 0xff;
    let unknown = command(&["GET", "key"]);
    vec![
        answered("ping", command(&["PING"])),
        answered("ping in small letters", command(&["ping"])),
        answered("set-up: client", command(&["CLIENT", "SETNAME", "name"])),
        answered("set-up: select", command(&["SELECT", "0"])),
        answered("an unknown command", unknown.clone()),
        Conversation {
            title: "too many unknown commands",
            bytes: unknown.repeat(17),
            answers: 17,
            closes: true,
        },
        rejected("no array", b"PING\r\n"),
        rejected("a count that is no number", b"*x\r\n"),
        rejected("a count with too many digits", b"*0000000000001\r\n"),
        rejected("no words", b"*0\r\n"),
        rejected("a negative count", b"*-1\r\n"),
        rejected("too many words", b"*9\r\n"),
        rejected("a word that is no bulk string", b"*1\r\n:1\r\n"),
        rejected("a length that is no number", b"*1\r\n$x\r\n"),
        rejected("a negative length", b"*1\r\n$-1\r\n"),
        rejected(
            "a word that is too long",
            format!("*1\r\n{TOO_LONG_BULK}").as_bytes(),
        ),
        rejected("a word longer than it says", b"*1\r\n$1\r\nPING\r\n"),
        rejected("a command that does not end", b"*2\r\n$5\r\nQ.ASK\r\n"),
        rejected_request("too few words", &["Q.ASK", "key", "id"]),
        rejected_request(
            "too many words of a request",
            &["Q.ASK", "k", "id", "c=read", "p", "q"],
        ),
        rejected_request("no id", &["Q.ASK", "key", "", "c=read,d=5000"]),
        rejected_request(
            "an id that is too long",
            &["Q.ASK", "key", &long_id, "c=read,d=5000"],
        ),
        rejected("a word that is not UTF-8", &not_utf8),
        rejected_request(
            "a part without a value",
            &["Q.ASK", "key", "id", "c=read,d"],
        ),
        rejected_request(
            "a name twice",
            &["Q.ASK", "key", "id", "c=read,c=read,d=5000"],
        ),
        rejected_request("no operation", &["Q.ASK", "key", "id", "d=5000"]),
        rejected_request("no time", &["Q.ASK", "key", "id", "c=read"]),
        rejected_request(
            "a time that is no number",
            &["Q.ASK", "key", "id", "c=read,d=5s"],
        ),
        rejected_request(
            "a time beyond sense",
            &["Q.ASK", "key", "id", "c=read,d=600001"],
        ),
        rejected_request(
            "an unknown operation",
            &["Q.ASK", "key", "id", "c=raed,d=5000"],
        ),
        rejected_request(
            "Q.DO for an idempotent one",
            &["Q.DO", "key", "id", "c=read,d=5000"],
        ),
        rejected_request(
            "Q.ASK for another one",
            &["Q.ASK", "key", "id", "c=switch,d=5000"],
        ),
        rejected_request("no mark", &["Q.DO", "key", "id", "c=set,d=5000"]),
        rejected_request("an empty mark", &["Q.DO", "key", "id", "c=set,d=5000,k="]),
    ]
}

#[test]
fn errors_go_to_clients_in_the_bytes_they_always_had() {
    let hosts = [ListedHost {
        name: "a",
        address: silent_party(),
        build: 7,
    }];
    let router = Router::start_with_hosts(&hosts, SETTINGS);
    wait_until_ready(&router);
    // All at once, so that what takes its time takes it at the same time.
    let opened: Vec<(Conversation, TcpStream)> = conversations()
        .into_iter()
        .map(|conversation| {
            let mut stream = router.connect();
            stream
                .write_all(&conversation.bytes)
                .expect("the router reads");
            (conversation, stream)
        })
        .collect();
    let mut transcript = Transcript::default();
    for (conversation, stream) in opened {
        let mut reader = BufReader::new(stream);
        let mut answers = Vec::new();
        (0..conversation.answers).for_each(|_| answers.extend(read_reply(&mut reader)));
        transcript.begin_case(conversation.title);
        transcript.record_bytes("router to client", &answers);
        if conversation.closes {
            let mut rest = Vec::new();
            reader
                .read_to_end(&mut rest)
                .expect("the connection is closed, not reset");
            assert_eq!(
                rest, b"",
                "{}: nothing follows the error",
                conversation.title
            );
            transcript.record("the router closes the connection", "");
        }
    }
    transcript.assert_golden("errors_to_clients.txt");
}

/// A router that has heard of nobody is ready after a while by itself.
fn wait_until_ready(router: &Router) {
    while router.ask(&["PING"]) != b"+PONG\r\n" {
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn an_id_in_use_and_a_start_are_told_in_the_bytes_they_always_had() {
    let mut transcript = Transcript::default();
    let router = Router::start(&configuration(silent_party(), "", SETTINGS));
    transcript.begin_case("a ping before the router is ready");
    transcript.record_bytes("router to client", &router.ask(&["PING"]));

    let (sender, taken) = channel();
    let address = spawn_server(move |stream| serve_host(stream, b"", &sender));
    let hosts = [ListedHost {
        name: "a",
        address,
        build: 7,
    }];
    let router = Router::start_with_hosts(&hosts, SETTINGS);
    let words = ["Q.ASK", "key", "id", "c=read,d=5000"];
    let mut holder = router.connect();
    holder
        .write_all(&command(&words))
        .expect("the router reads");
    taken.recv_timeout(PATIENCE).expect("the host has it");
    transcript.begin_case("an id that is in use");
    transcript.record_bytes("router to client", &router.ask(&words));
    transcript.assert_golden("other_errors_to_clients.txt");
}

/// Discovery that passes on each whole question, and answers with these lists in turn.
fn recording_discovery(lists: Vec<String>) -> (SocketAddr, Receiver<Vec<u8>>) {
    let (sender, questions) = channel();
    let address = spawn_server(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        for list in &lists {
            let Some(question) = read_head(&mut reader) else {
                return;
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            let _ = sender.send(question);
            let _ = stream.write_all((head + list).as_bytes());
        }
        if let Some(question) = read_head(&mut reader) {
            let _ = sender.send(question);
        }
        // Open until the router leaves: it would ask anew otherwise.
        let _ = reader.read_to_end(&mut Vec::new());
    });
    (address, questions)
}

/// A question of HTTP with its headers.
fn read_head(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let line = read_line(reader);
        if line.is_empty() {
            return None;
        }
        head.extend(line);
    }
    Some(head)
}

/// The port of a party differs each time.
fn without_address(bytes: &[u8], address: SocketAddr) -> Vec<u8> {
    let text = String::from_utf8(bytes.to_vec()).expect("a question is text");
    text.replace(&address.to_string(), "DISCOVERY").into_bytes()
}

#[test]
fn discovery_is_asked_in_the_bytes_it_always_was() {
    let asked = replace_one(SETTINGS, "\"discovery\":\"push\"", "\"discovery\":\"ask\"");
    let known = format!("\"known\":{},", host_list(4, &[]));
    let cases = [
        ("a watch that begins with the whole list", "", SETTINGS, 3),
        (
            "a watch of a router that knows a list",
            known.as_str(),
            SETTINGS,
            3,
        ),
        (
            "lists on demand of a router that knows one",
            known.as_str(),
            asked.as_str(),
            1,
        ),
    ];
    let mut transcript = Transcript::default();
    for (title, fields, settings, questions) in cases {
        let lists = vec![host_list(5, &[]), host_list(17, &[])];
        let (address, asked) = recording_discovery(lists);
        let _router = Router::start(&configuration(address, fields, settings));
        transcript.begin_case(title);
        for _ in 0..questions {
            let question = asked.recv_timeout(PATIENCE);
            let question = question.unwrap_or_else(|_| panic!("no question: {title}"));
            transcript.record_bytes("router to discovery", &without_address(&question, address));
        }
    }
    transcript.assert_golden("questions_to_discovery.txt");
}

/// The platform: passes on each line, and answers each with a result. Whoever follows is told once
/// that this build is tested at the first stage.
fn recording_platform(build: u16) -> (SocketAddr, Receiver<String>) {
    let (sender, lines) = channel();
    let address = spawn_server(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let progress = format!(
            r#"{{"image":{build},"ring":0,"progress":"testing","ceiling":1.0,"lag_ms":0}}"#
        );
        let pinged = stream.try_clone().expect("a third handle");
        thread::spawn(move || ping(pinged));
        loop {
            let line = String::from_utf8(read_line(&mut reader)).expect("a line is text");
            let Some(id) = line
                .split("\"id\":")
                .nth(1)
                .and_then(|rest| rest.split(',').next())
            else {
                return;
            };
            let mut answer = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{progress}}}\n");
            if line.contains("\"follow\"") {
                let news = r#"{"jsonrpc":"2.0","method":"progress","params":"#;
                answer.push_str(&format!("{news}{progress}}}\n"));
            }
            if stream.write_all(answer.as_bytes()).is_err() || sender.send(line).is_err() {
                return;
            }
        }
    });
    (address, lines)
}

/// A platform that says nothing for some seconds counts as lost.
fn ping(mut stream: TcpStream) {
    while stream
        .write_all(b"{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n")
        .is_ok()
    {
        thread::sleep(Duration::from_millis(500));
    }
}

/// The router's fields for a platform and the hosts that it knows.
fn platform_fields(platform: SocketAddr, hosts: &[ListedHost]) -> String {
    let known = host_list(1, hosts);
    format!("\"platform\":{{\"address\":\"{platform}\"}},\"known\":{known},")
}

/// Lines of the platform up to the first that casts this vote.
fn lines_until_vote(lines: &Receiver<String>, opinion: &str) -> String {
    let mut read = String::new();
    let wanted = format!("\"opinion\":\"{opinion}\"");
    while !read.contains(&wanted) {
        let line = lines.recv_timeout(PATIENCE);
        read.push_str(&line.unwrap_or_else(|_| panic!("no vote {opinion} after {read}")));
    }
    read
}

#[test]
fn votes_go_to_the_platform_in_the_bytes_they_always_had() {
    let mut transcript = Transcript::default();

    // Where votes move a build, one that nobody uses is voted on after a while.
    let (platform, lines) = recording_platform(7);
    let hosts = [ListedHost {
        name: "a",
        address: silent_party(),
        build: 7,
    }];
    let fields = platform_fields(platform, &hosts);
    let router = Router::start(&configuration(silent_party(), &fields, SETTINGS));
    transcript.begin_case("a vote on");
    transcript.record("router to platform", &lines_until_vote(&lines, "on"));
    drop(router);

    // Where a clock does, it is held while too little is known of it, and no longer after a while.
    let (platform, lines) = recording_platform(7);
    let fields = platform_fields(platform, &hosts);
    let by_clock = replace_one(SETTINGS, "\"gate_mode\":\"any\"", "\"gate_mode\":\"timer\"");
    let router = Router::start(&configuration(silent_party(), &fields, &by_clock));
    transcript.begin_case("a vote to hold");
    transcript.record("router to platform", &lines_until_vote(&lines, "hold"));
    transcript.begin_case("a vote that is taken back");
    transcript.record("router to platform", &lines_until_vote(&lines, "none"));
    drop(router);

    // A build whose hosts fail is voted back.
    let (platform, lines) = recording_platform(8);
    let (well, _well_commands) = recording_host(b"*1\r\n$2\r\nok\r\n");
    let (failing, _failing_commands) = recording_host(b"-ERR failed\r\n");
    let hosts = [
        ListedHost {
            name: "a",
            address: well,
            build: 7,
        },
        ListedHost {
            name: "b",
            address: failing,
            build: 8,
        },
    ];
    let fields = platform_fields(platform, &hosts);
    let router = Router::start(&configuration(silent_party(), &fields, SETTINGS));
    let mut back = String::new();
    let until = Instant::now() + PATIENCE;
    for request in 0.. {
        assert!(
            Instant::now() < until,
            "no vote back after {request} requests: {back}"
        );
        router.ask(&["Q.DO", "key", &format!("id-{request}"), "c=switch,d=5000"]);
        back.extend(lines.try_iter());
        if back.contains("\"opinion\":\"back\"") {
            break;
        }
    }
    transcript.begin_case("a vote back");
    transcript.record("router to platform", &back);

    transcript.assert_golden("lines_to_platform.txt");
}

/// The address of a socket that is free to be bound by the router.
fn free_datagram_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("an address")
}

/// The next datagram of the router that is a reply, or is none.
fn next_datagram(peer: &UdpSocket, reply: bool) -> Vec<u8> {
    let mut buffer = [0; 1024];
    loop {
        let (length, _) = peer
            .recv_from(&mut buffer)
            .expect("the router tells its peer");
        if (buffer[0] == 1) == reply {
            return buffer[..length].to_vec();
        }
    }
}

fn hexadecimal(bytes: &[u8]) -> String {
    let pairs: Vec<String> = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    pairs.chunks(16).map(|line| line.join(" ") + "\n").collect()
}

#[test]
fn datagrams_go_to_peers_in_the_bytes_they_always_had() {
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    peer.set_read_timeout(Some(PATIENCE)).expect("an option");
    let peer_address = peer.local_addr().expect("an address");
    let router_address = free_datagram_address();
    let settings = replace_one(SETTINGS, "\"group_size\":1", "\"group_size\":2");
    let settings = replace_one(&settings, "\"peers\":false", "\"peers\":true");
    let news = r#"{"image":258,"ring":0,"progress":"testing","ceiling":1.0,"lag_ms":0}"#;
    let fields = format!(
        r#""peer_listen":"{router_address}","peers":["{router_address}","{peer_address}"],
        "platform":{{"address":"{}","news":{news}}},"known":{},"#,
        silent_party(),
        host_list(1, &[]),
    );
    let _router = Router::start(&configuration(silent_party(), &fields, &settings));
    let mut transcript = Transcript::default();

    transcript.begin_case("what a router tells that knows nothing of the build");
    let first = next_datagram(&peer, false);
    transcript.record("router to peer", &hexadecimal(&first));

    // The same with other figures, each of them 1 to 127 more than the one before.
    let mut question = first.clone();
    for (place, figure) in question[8..].chunks_mut(2).enumerate() {
        let bits = (place as f32 + 1.0).to_bits() >> 16;
        figure.copy_from_slice(&(bits as u16).to_le_bytes());
    }
    peer.send_to(&question, router_address)
        .expect("the router listens");
    transcript.begin_case("what it replies to a peer's figures");
    transcript.record("peer to router", &hexadecimal(&question));
    transcript.record("router to peer", &hexadecimal(&next_datagram(&peer, true)));
    transcript.begin_case("what it tells after it has taken half of the difference");
    transcript.record("router to peer", &hexadecimal(&next_datagram(&peer, false)));

    transcript.assert_golden("datagrams_to_peers.txt");
}

/// No decision asks for probes today: their bytes are those of the codec.
#[test]
fn probes_have_the_bytes_they_always_had() {
    let mut transcript = Transcript::default();
    for (title, with_report) in [("without a report", false), ("with a report", true)] {
        let mut bytes = Vec::new();
        kestreltide_router::protocol::host::write_probe(&mut bytes, with_report);
        transcript.begin_case(title);
        transcript.record_bytes("router to host", &bytes);
    }
    transcript.assert_golden("probes_to_hosts.txt");
}
