//! A test discovery server that sends the complete endpoint list, or holds a watch until there is a newer list.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::spawn_server;

/// A version of the endpoint list.
struct Published {
    rev: u32,
    list: String,
}

/// The current list, and the watches that wait for a newer one.
struct Shared {
    current: Mutex<Published>,
    changed: Condvar,
}

/// The parameters of a watch.
struct Watch {
    /// The version that the router has.
    from: u32,
    /// How long to hold the request while there is no newer version.
    hold: Duration,
}

/// A discovery server.
pub struct Discovery {
    /// The address that routers connect to.
    pub at: SocketAddr,
    shared: Arc<Shared>,
}

/// Parses the first line of a watch; `None` for a request of the complete list.
fn parse_watch(line: &str) -> Option<Watch> {
    let query = line.split(' ').nth(1)?.split_once('?')?.1;
    let value = |name: &str| {
        query
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.parse::<u64>().ok())
    };
    Some(Watch {
        from: value("from=")? as u32,
        hold: Duration::from_millis(value("hold_ms=")?),
    })
}

impl Shared {
    /// The body of the reply: the complete list, or no changes where a watch ends without any.
    fn reply_body(&self, watch: Option<Watch>) -> String {
        let current = self.current.lock().expect("no panic before");
        let Some(Watch { from, hold }) = watch else {
            return current.list.clone();
        };
        let (current, _) = self
            .changed
            .wait_timeout_while(current, hold, |current| current.rev <= from)
            .expect("no panic before");
        if current.rev > from {
            current.list.clone()
        } else {
            format!("{{\"rev\":{},\"all\":false,\"targets\":[]}}", current.rev)
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let mut lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
        while let Some(Ok(first)) = lines.next() {
            let head_is_complete = lines
                .by_ref()
                .map_while(Result::ok)
                .any(|line| line.is_empty());
            if !head_is_complete {
                return;
            }
            let body = self.reply_body(parse_watch(&first));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let mut stream = stream;
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }
}

impl Discovery {
    /// Starts a server with this list, as [`crate::endpoint_list`] writes it, of this version.
    pub fn start(rev: u32, list: String) -> Self {
        let shared = Arc::new(Shared {
            current: Mutex::new(Published { rev, list }),
            changed: Condvar::new(),
        });
        let shared_with_server = shared.clone();
        let at = spawn_server(move |stream| shared_with_server.serve(&stream));
        Discovery { at, shared }
    }

    /// Replaces the list and ends all watches that wait for a newer version.
    pub fn publish(&self, rev: u32, list: String) {
        *self.shared.current.lock().expect("no panic before") = Published { rev, list };
        self.shared.changed.notify_all();
    }
}
