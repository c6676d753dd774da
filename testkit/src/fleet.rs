//! Hosts that reply with a tag and record the attempts that reach them, so that tests see which hosts served a request.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime};

use crate::arrival::{ArrivalReader, record_arrival_times};
use crate::servers::{read_request, spawn_server_on};

/// The attempts that have reached the hosts of a fleet.
#[derive(Default)]
pub struct AttemptLog {
    /// The tags of the hosts that a request reached, by its id, until its client takes them.
    tags_by_request: Mutex<HashMap<String, Vec<Arc<str>>>>,
    /// Attempts at all hosts.
    pub attempts: AtomicU64,
    /// Attempts that arrived after the last time allowed by [`TestHost::set_last_attempt_time`].
    pub late_attempts: AtomicU64,
}

impl AttemptLog {
    /// Returns the tags of the hosts that a request reached, and forgets them.
    pub fn take(&self, request: &str) -> Vec<Arc<str>> {
        self.tags_by_request
            .lock()
            .expect("no panic before")
            .remove(request)
            .unwrap_or_default()
    }

    fn record(&self, request: String, tag: &Arc<str>, is_late: bool) {
        self.late_attempts.fetch_add(u64::from(is_late), Relaxed);
        self.attempts.fetch_add(1, Relaxed);
        self.tags_by_request
            .lock()
            .expect("no panic before")
            .entry(request)
            .or_default()
            .push(tag.clone());
    }
}

/// Settings of a host that tests change and the host's threads read.
#[derive(Default)]
struct HostControls {
    /// Microseconds that each reply takes.
    response_micros: AtomicU64,
    /// The last time at which an attempt is not late, in microseconds of Unix time; 0 for no limit.
    last_attempt_micros: AtomicU64,
}

/// One host; its response time and the last time at which an attempt may begin can be changed.
pub struct TestHost {
    /// Its name in the endpoint list.
    pub name: String,
    /// The value that it replies with.
    pub tag: Arc<str>,
    /// The address that routers connect to.
    pub at: SocketAddr,
    /// Attempts that have reached it.
    pub received: Arc<AtomicU64>,
    controls: Arc<HostControls>,
}

impl TestHost {
    /// Makes each reply take this time.
    pub fn set_response_time(&self, time: Duration) {
        let micros = time.as_micros() as u64;
        self.controls.response_micros.store(micros, Relaxed);
    }

    /// Counts attempts that arrive after this time as late; with `None`, no attempt is late.
    pub fn set_last_attempt_time(&self, at: Option<SystemTime>) {
        let micros = at.map_or(0, unix_micros);
        self.controls.last_attempt_micros.store(micros, Relaxed);
    }
}

/// Hosts with one log of attempts.
pub struct Fleet {
    /// The hosts, in the order in which they were given.
    pub hosts: Vec<TestHost>,
    /// The attempts that have reached them.
    pub attempt_log: Arc<AttemptLog>,
}

impl Fleet {
    /// Starts a host for each name and tag.
    pub fn start<'a>(hosts: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let attempt_log = Arc::new(AttemptLog::default());
        let start_host = |(name, tag): (&str, &str)| {
            let server = HostServer {
                attempt_log: attempt_log.clone(),
                tag: tag.into(),
                received: Arc::default(),
                controls: Arc::default(),
            };
            server.start(name)
        };
        let hosts = hosts.into_iter().map(start_host).collect();
        Fleet { hosts, attempt_log }
    }

    /// Returns the hosts with this tag.
    pub fn hosts_with_tag<'a>(&'a self, tag: &'a str) -> impl Iterator<Item = &'a TestHost> {
        self.hosts.iter().filter(move |host| &*host.tag == tag)
    }
}

/// The part of a host that serves its connections.
struct HostServer {
    attempt_log: Arc<AttemptLog>,
    tag: Arc<str>,
    received: Arc<AtomicU64>,
    controls: Arc<HostControls>,
}

impl HostServer {
    fn start(self, name: &str) -> TestHost {
        let tag = self.tag.clone();
        let received = self.received.clone();
        let controls = self.controls.clone();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        record_arrival_times(&listener);
        let at = spawn_server_on(listener, move |stream| self.serve(stream));
        TestHost {
            name: name.into(),
            tag,
            at,
            received,
            controls,
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let second_handle = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(ArrivalReader::new(second_handle));
        while let Some(command) = read_request(&mut reader, &mut &stream) {
            self.record(&command, reader.get_ref().last_arrival());
            let response_micros = self.controls.response_micros.load(Relaxed);
            if response_micros > 0 {
                thread::sleep(Duration::from_micros(response_micros));
            }
            let reply = format!(
                "*3\r\n${}\r\n{}\r\n$-1\r\n$-1\r\n",
                self.tag.len(),
                self.tag
            );
            if (&stream).write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn record(&self, command: &[String], arrival: SystemTime) {
        let last = self.controls.last_attempt_micros.load(Relaxed);
        let is_late = last > 0 && unix_micros(arrival) > last;
        self.received.fetch_add(1, Relaxed);
        let request = command.get(2).cloned().unwrap_or_default();
        self.attempt_log.record(request, &self.tag, is_late);
    }
}

/// Converts a time to microseconds of Unix time.
fn unix_micros(at: SystemTime) -> u64 {
    let since_epoch = at.duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_micros() as u64)
}
