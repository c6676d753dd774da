//! Hosts that tag their answers and note what came, so that whoever asks can tell which of them served what.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{read_command, spawn_server};

/// What all hosts of a fleet have noted.
#[derive(Default)]
pub struct AttemptLog {
    /// By invocation, the tags of the hosts that it was sent to, until its client has looked.
    tags_by_request: Mutex<HashMap<String, Vec<Arc<str>>>>,
    pub attempts: AtomicU64,
    /// Dispatches that came to a host later than it should have been sent any.
    pub late_attempts: AtomicU64,
}

impl AttemptLog {
    /// Where an invocation was sent, forgotten with this look.
    pub fn take(&self, id: &str) -> Vec<Arc<str>> {
        self.tags_by_request
            .lock()
            .expect("no panic before")
            .remove(id)
            .unwrap_or_default()
    }
}

/// One host; it can be told how long to take, and from when on nothing new may come.
pub struct TestHost {
    pub name: String,
    pub tag: Arc<str>,
    pub at: SocketAddr,
    pub received: Arc<AtomicU64>,
    response_micros: Arc<AtomicU64>,
    /// Microseconds of the fleet's clock; 0: no end.
    last_attempt_micros: Arc<AtomicU64>,
    epoch: Instant,
}

impl TestHost {
    pub fn set_response_time(&self, time: Duration) {
        self.response_micros.store(time.as_micros() as u64, Relaxed);
    }

    /// What begins later than this is too late.
    pub fn set_last_attempt_time(&self, at: Option<Instant>) {
        let response_micros = at.map_or(0, |at| at.duration_since(self.epoch).as_micros() as u64);
        self.last_attempt_micros.store(response_micros, Relaxed);
    }
}

/// Hosts with one note of all.
pub struct Fleet {
    pub hosts: Vec<TestHost>,
    pub attempt_log: Arc<AttemptLog>,
}

impl Fleet {
    /// A host for each name and tag.
    pub fn start<'a>(hosts: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let (attempt_log, epoch) = (Arc::new(AttemptLog::default()), Instant::now());
        let hosts = hosts.into_iter().map(|(name, tag)| {
            let tag: Arc<str> = tag.into();
            let [received, response_micros, last_attempt_micros] =
                [(); 3].map(|()| Arc::new(AtomicU64::new(0)));
            let own = HostServer {
                attempt_log: attempt_log.clone(),
                tag: tag.clone(),
                received: received.clone(),
                response_micros: response_micros.clone(),
                last_attempt_micros: last_attempt_micros.clone(),
                epoch,
            };
            let at = spawn_server(move |stream| own.serve(stream));
            TestHost {
                name: name.into(),
                tag,
                at,
                received,
                response_micros,
                last_attempt_micros,
                epoch,
            }
        });
        let hosts = hosts.collect();
        Fleet { hosts, attempt_log }
    }

    pub fn of_tag<'a>(&'a self, tag: &'a str) -> impl Iterator<Item = &'a TestHost> {
        self.hosts.iter().filter(move |host| &*host.tag == tag)
    }
}

struct HostServer {
    attempt_log: Arc<AttemptLog>,
    tag: Arc<str>,
    received: Arc<AtomicU64>,
    response_micros: Arc<AtomicU64>,
    last_attempt_micros: Arc<AtomicU64>,
    epoch: Instant,
}

impl HostServer {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        while let Some(words) = read_command(&mut reader) {
            let now = self.epoch.elapsed().as_micros() as u64;
            let last_attempt_micros = self.last_attempt_micros.load(Relaxed);
            self.attempt_log.late_attempts.fetch_add(
                u64::from(last_attempt_micros > 0 && now > last_attempt_micros),
                Relaxed,
            );
            self.attempt_log.attempts.fetch_add(1, Relaxed);
            self.received.fetch_add(1, Relaxed);
            let id = words.get(2).cloned().unwrap_or_default();
            self.attempt_log
                .tags_by_request
                .lock()
                .expect("no panic before")
                .entry(id)
                .or_default()
                .push(self.tag.clone());
            let response_micros = self.response_micros.load(Relaxed);
            if response_micros > 0 {
                thread::sleep(Duration::from_micros(response_micros));
            }
            let answer = format!(
                "*3\r\n${}\r\n{}\r\n$-1\r\n$-1\r\n",
                self.tag.len(),
                self.tag
            );
            if (&stream).write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
