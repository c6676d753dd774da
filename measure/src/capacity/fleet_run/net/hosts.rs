//! The hollow hosts on sockets: one listener for all their addresses.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use kestreltide_router::limits::RespLimits;
use kestreltide_router::protocol::resp;
use kestreltide_testkit::effectless_reply;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::shared::Shared;
use super::{reached_at, reset};
use crate::capacity::fleet_run::host_table::{Life, Outcome, Whose};
use crate::capacity::fleet_run::layout::Party;

pub const RESP: RespLimits = RespLimits {
    value: 64 * 1024,
    words: 8,
    line: 1024,
    digits: 12,
    message: 68 * 1024,
    id: 256,
};

/// A request as a host reads it.
struct Request {
    router: u32,
    id: String,
    once: bool,
    bytes: usize,
}

pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let mut number = 0;
    while let Ok((stream, _)) = listener.accept().await {
        shared.counters.handshakes.fetch_add(1, Relaxed);
        let host = reached_at(&stream).and_then(|at| Party::Host.number(at));
        if let Some(host) = host.filter(|host| *host < shared.plan.layout.hosts) {
            number += 1;
            tokio::spawn(connection(
                stream,
                host,
                shared.plan.seed ^ number,
                shared.clone(),
            ));
        }
    }
}

/// Whoever asked names its router in the id: `rROUTER-NUMBER`.
fn router_of(id: &str) -> Option<u32> {
    id.strip_prefix('r')?.split_once('-')?.0.parse().ok()
}

/// What a router sends to a host.
enum Command {
    /// A command without an effect.
    Effectless {
        bytes: usize,
        reply: &'static [u8],
    },
    Request(Request),
}

/// The first command; `None` where it is incomplete.
fn parse_command(bytes: &[u8]) -> Result<Option<Command>, NotARequest> {
    let read = resp::parse_command(bytes, &RESP).map_err(|_| NotARequest)?;
    let Some((words, used)) = read else {
        return Ok(None);
    };
    let name = std::str::from_utf8(words[0]).unwrap_or_default();
    if let Some(reply) = effectless_reply(name) {
        return Ok(Some(Command::Effectless { bytes: used, reply }));
    }
    let id = words
        .get(2)
        .and_then(|id| std::str::from_utf8(id).ok())
        .ok_or(NotARequest)?;
    let router = router_of(id).ok_or(NotARequest)?;
    Ok(Some(Command::Request(Request {
        router,
        id: id.into(),
        once: words[0] == b"Q.DO",
        bytes: used,
    })))
}

/// What came is no request of a known router.
#[derive(Debug)]
struct NotARequest;

async fn connection(
    mut stream: TcpStream,
    host: u32,
    seed: u64,
    shared: Arc<Shared>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let process = shared.table.now(host).process;
    let mut input = Vec::new();
    loop {
        let ended = shared.ended[host as usize].notified();
        tokio::pin!(ended);
        ended.as_mut().enable();
        let now = shared.table.now(host);
        if now.process != process || now.life == Life::Down {
            reset(stream);
            return Ok(());
        }
        let request = match parse_command(&input) {
            Ok(Some(Command::Request(request))) => request,
            Ok(Some(Command::Effectless { bytes, reply })) => {
                input.drain(..bytes);
                stream.write_all(reply).await?;
                continue;
            }
            Ok(None) => {
                tokio::select! {
                    read = stream.read_buf(&mut input) => if read? == 0 { return Ok(()) },
                    () = ended => {}
                }
                continue;
            }
            Err(NotARequest) => {
                stream.write_all(b"-SYNTAX\r\n").await?;
                return Ok(());
            }
        };
        input.drain(..request.bytes);
        let now = shared.now();
        let layout = &shared.plan.layout;
        let reaches = shared
            .partition()
            .reaches(layout.router_place(request.router), layout.host_place(host));
        let drawn = shared
            .table
            .begin(host, now, Whose::Real, reaches, &mut chance);
        if !matches!(drawn.outcome, Outcome::Silent | Outcome::Reset) {
            let build = shared.table.now(host).build;
            let Request {
                router, id, once, ..
            } = &request;
            shared
                .rules
                .lock()
                .expect("no panic before")
                .attempt(*router, host, build, id, *once, now);
            // A router that gives up closes; the request runs to its end all the same.
            tokio::select! {
                () = tokio::time::sleep(Duration::from_secs_f64(drawn.after)) => {}
                () = ended => {}
            }
        }
        match shared.table.end(host, &drawn) {
            Outcome::Served => {
                let value = format!(
                    "*3\r\n${}\r\n{}\r\n$-1\r\n$-1\r\n",
                    request.id.len(),
                    request.id
                );
                stream.write_all(value.as_bytes()).await?;
            }
            Outcome::Error => stream.write_all(b"-ERR failed\r\n").await?,
            Outcome::Reset => {
                reset(stream);
                return Ok(());
            }
            // Nothing ever comes on this connection any more.
            Outcome::Silent => {
                while stream.read_buf(&mut input).await? > 0 {
                    input.clear();
                }
            }
        }
    }
}
