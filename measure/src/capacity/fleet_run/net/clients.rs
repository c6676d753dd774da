//! Clients of real routers: requests come at random times, whether earlier ones are answered or not.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kestreltide_router::protocol::resp::{self, Reply};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::hosts::RESP;
use super::shared::Shared;
use crate::capacity::fleet_run::hollow::WITH_SIDE_EFFECTS;
use crate::capacity::fleet_run::plan::TIME_LIMIT;
use crate::capacity::fleet_run::rules::Ending;

/// Seconds after its time limit for which a client still looks for an answer.
const LOOKS_ON: f64 = 3.0;

/// Connections without use, each with the address that it leads to.
type Pool = Arc<Mutex<Vec<(SocketAddr, TcpStream)>>>;

struct Request {
    router: u32,
    id: String,
    command: Vec<u8>,
}

impl Request {
    fn new(router: u32, number: u64, once: bool) -> Self {
        let id = format!("r{router}-{number}");
        let (key, millis) = (format!("k{number}"), (TIME_LIMIT * 1e3) as u64);
        let (verb, operation) = if once {
            ("Q.DO", "switch")
        } else {
            ("Q.ASK", "read")
        };
        let list = format!("c={operation},d={millis}");
        let mut command = vec![];
        resp::write_command(
            &mut command,
            &[
                verb.as_bytes(),
                key.as_bytes(),
                id.as_bytes(),
                list.as_bytes(),
            ],
        );
        Request {
            router,
            id,
            command,
        }
    }
}

/// The clients of one router; they ask nothing while it has no address.
pub async fn run(
    router: u32,
    mut address: watch::Receiver<Option<SocketAddr>>,
    shared: Arc<Shared>,
) {
    let mut chance = ChaCha8Rng::seed_from_u64(shared.plan.seed ^ (u64::from(router) << 32));
    let pool = Pool::default();
    let mut number = 0;
    loop {
        let pause = -(1.0 - chance.random::<f64>()).ln() / shared.rate.get();
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        let at = *address.borrow_and_update();
        number += 1;
        let once = chance.random::<f64>() < WITH_SIDE_EFFECTS;
        let Some(at) = at else {
            pool.lock().expect("no panic before").clear();
            continue;
        };
        let request = Request::new(router, number, once);
        tokio::spawn(ask(request, at, pool.clone(), shared.clone()));
    }
}

/// A connection from the pool on which nothing lies.
fn pooled(at: SocketAddr, router: u32, pool: &Pool, shared: &Shared) -> Option<TcpStream> {
    loop {
        let (to, stream) = pool.lock().expect("no panic before").pop()?;
        if to != at {
            continue;
        }
        match stream.try_read(&mut [0; 1]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Some(stream),
            Ok(1..) => shared
                .rules
                .lock()
                .expect("no panic before")
                .answered_twice(router),
            _ => {}
        }
    }
}

async fn ask(request: Request, at: SocketAddr, pool: Pool, shared: Arc<Shared>) {
    let router = request.router;
    let begun = shared.now();
    let mut stream = pooled(at, router, &pool, &shared);
    let mut was_used = stream.is_some();
    let mut requested = false;
    let ending = loop {
        let mut connected = match stream.take() {
            Some(stream) => stream,
            // Refused: nobody has taken it.
            None => match TcpStream::connect(at).await {
                Ok(stream) => stream,
                Err(_) if requested => break Ending::Lost,
                Err(_) => return,
            },
        };
        let _ = connected.set_nodelay(true);
        if !requested {
            shared
                .rules
                .lock()
                .expect("no panic before")
                .record_request(router, shared.now());
            requested = true;
        }
        let limit = Duration::from_secs_f64(TIME_LIMIT + LOOKS_ON);
        match tokio::time::timeout(limit, exchange(&mut connected, &request.command)).await {
            Ok(Ok(Some(ending))) => {
                pool.lock().expect("no panic before").push((at, connected));
                break ending;
            }
            // The router may have closed it between two requests: the request goes once more on a new one.
            Ok(_) if was_used => was_used = false,
            _ => break Ending::Lost,
        }
    };
    if ending == Ending::Lost && shared.killed[router as usize].load(Relaxed) {
        // Its machine has gone, and all that it held with it.
        shared
            .rules
            .lock()
            .expect("no panic before")
            .died_with_router(&request.id);
        return;
    }
    let took = shared.now() - begun;
    shared
        .rules
        .lock()
        .expect("no panic before")
        .answered(router, &request.id, ending, took);
}

/// Writes a command and reads its whole answer; None where the connection ends before.
async fn exchange(stream: &mut TcpStream, command: &[u8]) -> io::Result<Option<Ending>> {
    stream.write_all(command).await?;
    let mut input = Vec::new();
    loop {
        match resp::parse_reply(&input, &RESP) {
            Ok(Some((reply, used))) if used == input.len() => return Ok(Some(ending(&reply))),
            Ok(None) => {}
            Ok(Some(_)) | Err(_) => return Ok(Some(Ending::Lost)),
        }
        if stream.read_buf(&mut input).await? == 0 {
            return Ok(None);
        }
    }
}

fn ending(reply: &Reply) -> Ending {
    match reply {
        Reply::Bulk(Some(_)) | Reply::Array(Some(_)) => Ending::Served,
        Reply::Error(line) if line.starts_with(b"BUSY") => Ending::Refused,
        _ => Ending::Failed,
    }
}
