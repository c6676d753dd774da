//! Hosts that send a second copy of some answers a few milliseconds late, and answer `PING` at once, behind a network that
//! takes some time.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;

use crate::support::*;

/// How these hosts act.
pub struct Manner {
    /// Of 100 answers, how many are followed by a second copy.
    pub copies_percent: u64,
    /// Of 100 commands, how many are turned away, as for a full queue.
    pub busy_percent: u64,
    /// The answers leave in batches, one each so many seconds.
    pub batch: f64,
    /// Whether `PING` is answered at once, ahead of a command that is being worked on.
    pub pong_at_once: bool,
}

/// What the hosts ran and sent.
#[derive(Default)]
pub struct Ran {
    /// By the id of each request: the class, and the hosts that ran it with the times.
    pub runs: Mutex<BTreeMap<String, (String, Vec<(f64, String)>)>>,
    pub copies: AtomicU64,
    pub pings: AtomicU64,
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener
        .local_addr()
        .unwrap_or_else(|e| cannot_run(&e.to_string()));
    (listener, address)
}

/// Passes bytes on after a delay, in order.
fn pump(mut from: TcpStream, mut to: TcpStream, delay: f64) {
    let (sender, receiver) = channel::<(f64, Vec<u8>)>();
    thread::spawn(move || {
        let mut chunk = [0; 16384];
        while let Ok(read) = from.read(&mut chunk) {
            if read == 0
                || sender
                    .send((now() + delay, chunk[..read].to_vec()))
                    .is_err()
            {
                return;
            }
        }
    });
    thread::spawn(move || {
        while let Ok((at, bytes)) = receiver.recv() {
            sleep_until(at);
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}

/// A network before `target` that takes `delay` seconds each way; returns the address to connect to.
pub fn network(target: SocketAddr, delay: f64) -> SocketAddr {
    let (listener, address) = listen();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else {
                continue;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            if let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) {
                pump(near, far, delay);
                pump(far_2, near_2, delay);
            }
        }
    });
    address
}

/// Starts a host; returns its address.
pub fn start(uid: &str, manner: &Arc<Manner>, ran: &Arc<Ran>) -> SocketAddr {
    let (listener, address) = listen();
    let (uid, manner, ran) = (uid.to_owned(), manner.clone(), ran.clone());
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let (uid, manner, ran) = (uid.clone(), manner.clone(), ran.clone());
            thread::spawn(move || serve(&uid, stream, &manner, &ran, number as u64));
        }
    });
    address
}

fn serve(uid: &str, stream: TcpStream, manner: &Arc<Manner>, ran: &Arc<Ran>, number: u64) {
    let _ = stream.set_nodelay(true);
    let Ok(out) = stream.try_clone() else { return };
    let out = Arc::new(Mutex::new(out));
    // How many commands came on this connection.
    let came = Arc::new(AtomicU64::new(0));
    let mut random = Random::new(
        u64::from(std::process::id()) * 97 + number * 13 + u64::from(uid.as_bytes()[2]),
    );
    let mut reader = Reader::new(stream);
    let mut before: Option<thread::JoinHandle<()>> = None;
    while let Ok((words, _)) = reader.command() {
        let place = came.fetch_add(1, SeqCst) + 1;
        match words.first().map(String::as_str) {
            Some("PING") => {
                ran.pings.fetch_add(1, SeqCst);
                if !manner.pong_at_once
                    && let Some(before) = before.take()
                {
                    let _ = before.join();
                }
                record(&format!("host {uid}/{number} answers PING"));
                let _ = lock(&out).write_all(b"+PONG\r\n");
            }
            Some("Q.ASK" | "Q.DO") if words.len() >= 4 => {
                // Requests on a connection are answered in their order.
                if let Some(before) = before.take() {
                    let _ = before.join();
                }
                let (class, id) = (parameter(&words[3], "c").to_owned(), words[2].clone());
                let turns_away = random.below(100) < manner.busy_percent;
                let copy_after = (random.below(100) < manner.copies_percent)
                    .then(|| 0.0005 + random.below(4500) as f64 / 1e6);
                let (uid, out, came, ran) =
                    (uid.to_owned(), out.clone(), came.clone(), ran.clone());
                let batch = manner.batch;
                before = Some(thread::spawn(move || {
                    let leaves_at = ((now() + 0.002) / batch).ceil() * batch;
                    let answer = if turns_away {
                        record(&format!("host {uid}/{number} turns away {class} {id}"));
                        "-BUSY\r\n".to_owned()
                    } else {
                        record(&format!("host {uid}/{number} runs {class} {id}"));
                        let mut runs = lock(&ran.runs);
                        runs.entry(id.clone())
                            .or_insert_with(|| (class, vec![]))
                            .1
                            .push((now(), uid.clone()));
                        drop(runs);
                        let value = format!("made for {id}");
                        format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len())
                    };
                    sleep_until(leaves_at);
                    let _ = lock(&out).write_all(answer.as_bytes());
                    if let Some(after) = copy_after {
                        thread::spawn(move || {
                            sleep(after);
                            let mut out = lock(&out);
                            if came.load(SeqCst) == place
                                && out.write_all(answer.as_bytes()).is_ok()
                            {
                                ran.copies.fetch_add(1, SeqCst);
                                record(&format!(
                                    "host {uid}/{number} sends a second copy of the answer to {id}"
                                ));
                            }
                        });
                    }
                }));
            }
            _ => {
                let _ = lock(&out).write_all(b"+OK\r\n");
            }
        }
    }
}
