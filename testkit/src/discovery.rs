//! Discovery: the whole list at once, and a watch that waits for something newer.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::spawn_server;

/// The version and the whole list of it, and who waits for another.
type Shared = Arc<(Mutex<(u32, String)>, Condvar)>;

pub struct Discovery {
    pub at: SocketAddr,
    shared: Shared,
}

fn question(line: &str) -> Option<(u32, Duration)> {
    let query = line.split(' ').nth(1)?.split_once('?')?.1;
    let value = |name: &str| {
        query
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.parse::<u64>().ok())
    };
    Some((
        value("from=")? as u32,
        Duration::from_millis(value("hold_ms=")?),
    ))
}

impl Discovery {
    /// A list is as [`crate::list`] writes it, of this version.
    pub fn start(rev: u32, list: String) -> Self {
        let shared: Shared = Arc::new((Mutex::new((rev, list)), Condvar::new()));
        let known = shared.clone();
        let at = spawn_server(move |stream| {
            let mut lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
            while let Some(Ok(first)) = lines.next() {
                if !lines
                    .by_ref()
                    .map_while(Result::ok)
                    .any(|line| line.is_empty())
                {
                    return;
                }
                let (list, changed) = &*known;
                let mut now = list.lock().expect("no panic before");
                let mut body = now.1.clone();
                if let Some((from, hold)) = question(&first) {
                    now = changed
                        .wait_timeout_while(now, hold, |now| now.0 <= from)
                        .expect("no panic before")
                        .0;
                    let nothing = format!("{{\"rev\":{},\"all\":false,\"targets\":[]}}", now.0);
                    body = if now.0 > from { now.1.clone() } else { nothing };
                }
                drop(now);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                if (&stream).write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
        });
        Discovery { at, shared }
    }

    pub fn publish(&self, rev: u32, list: String) {
        *self.shared.0.lock().expect("no panic before") = (rev, list);
        self.shared.1.notify_all();
    }
}
