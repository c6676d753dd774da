//! Hosts that tag their answers and note what came, so that whoever asks can tell which of them served what.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{spawn_server, words};

/// What all hosts of a fleet have noted.
#[derive(Default)]
pub struct Seen {
    /// By invocation, the tags of the hosts that it was sent to, until its client has looked.
    open: Mutex<HashMap<String, Vec<Arc<str>>>>,
    pub dispatches: AtomicU64,
    /// Dispatches that came to a host later than it should have been sent any.
    pub late: AtomicU64,
}

impl Seen {
    /// Where an invocation was sent, forgotten with this look.
    pub fn take(&self, id: &str) -> Vec<Arc<str>> {
        self.open
            .lock()
            .expect("no panic before")
            .remove(id)
            .unwrap_or_default()
    }
}

/// One host; it can be told how long to take, and from when on nothing new may come.
pub struct Host {
    pub name: String,
    pub tag: Arc<str>,
    pub at: SocketAddr,
    pub taken: Arc<AtomicU64>,
    micros: Arc<AtomicU64>,
    /// Microseconds of the fleet's clock; 0: no end.
    ends: Arc<AtomicU64>,
    epoch: Instant,
}

impl Host {
    pub fn answers_after(&self, time: Duration) {
        self.micros.store(time.as_micros() as u64, Relaxed);
    }

    /// What begins later than this is too late.
    pub fn ends(&self, at: Option<Instant>) {
        let micros = at.map_or(0, |at| at.duration_since(self.epoch).as_micros() as u64);
        self.ends.store(micros, Relaxed);
    }
}

/// Hosts with one note of all.
pub struct Fleet {
    pub hosts: Vec<Host>,
    pub seen: Arc<Seen>,
}

impl Fleet {
    /// A host for each name and tag.
    pub fn start<'a>(hosts: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let (seen, epoch) = (Arc::new(Seen::default()), Instant::now());
        let hosts = hosts.into_iter().map(|(name, tag)| {
            let tag: Arc<str> = tag.into();
            let [taken, micros, ends] = [(); 3].map(|()| Arc::new(AtomicU64::new(0)));
            let own = Own {
                seen: seen.clone(),
                tag: tag.clone(),
                taken: taken.clone(),
                micros: micros.clone(),
                ends: ends.clone(),
                epoch,
            };
            let at = spawn_server(move |stream| own.serve(stream));
            Host {
                name: name.into(),
                tag,
                at,
                taken,
                micros,
                ends,
                epoch,
            }
        });
        let hosts = hosts.collect();
        Fleet { hosts, seen }
    }

    pub fn of_tag<'a>(&'a self, tag: &'a str) -> impl Iterator<Item = &'a Host> {
        self.hosts.iter().filter(move |host| &*host.tag == tag)
    }
}

struct Own {
    seen: Arc<Seen>,
    tag: Arc<str>,
    taken: Arc<AtomicU64>,
    micros: Arc<AtomicU64>,
    ends: Arc<AtomicU64>,
    epoch: Instant,
}

impl Own {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        while let Some(words) = words(&mut reader) {
            let now = self.epoch.elapsed().as_micros() as u64;
            let ends = self.ends.load(Relaxed);
            self.seen
                .late
                .fetch_add(u64::from(ends > 0 && now > ends), Relaxed);
            self.seen.dispatches.fetch_add(1, Relaxed);
            self.taken.fetch_add(1, Relaxed);
            let id = words.get(2).cloned().unwrap_or_default();
            self.seen
                .open
                .lock()
                .expect("no panic before")
                .entry(id)
                .or_default()
                .push(self.tag.clone());
            let micros = self.micros.load(Relaxed);
            if micros > 0 {
                thread::sleep(Duration::from_micros(micros));
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
