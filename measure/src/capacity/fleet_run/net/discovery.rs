//! The stand-in for discovery: whole lists on demand, and watches that tell changes.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::reached_at;
use super::shared::Shared;
use crate::capacity::fleet_run::changes::Way;
use crate::capacity::fleet_run::counters::Cause;
use crate::capacity::fleet_run::layout::Party;
use crate::capacity::fleet_run::registry::Answer;

/// The longest that an answer waits for its turn, in seconds; later ones are turned away.
const PATIENCE: f64 = 2.0;
const LONGEST_HEAD: usize = 8 * 1024;
const TURNED_AWAY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

#[derive(Clone, Copy, Debug, PartialEq)]
struct Question {
    /// The version that is known, and how long to wait for a later one.
    watch: Option<(u64, Duration)>,
    bytes: usize,
}

fn question(head: &[u8]) -> Option<Question> {
    let end = head.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let line = std::str::from_utf8(head.get(..end)?).ok()?.lines().next()?;
    let target = line.split(' ').nth(1)?;
    let query = target.split_once('?').map(|(_, query)| query);
    let value = |name: &str| {
        query?
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.parse::<u64>().ok())
    };
    let watch = value("from=").zip(value("hold_ms="));
    Some(Question {
        watch: watch.map(|(from, hold)| (from, Duration::from_millis(hold))),
        bytes: end,
    })
}

pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let router = reached_at(&stream).and_then(|at| Party::Discovery.number(at));
        if let Some(router) = router {
            tokio::spawn(answer_all(stream, router, shared.clone()));
        }
    }
}

async fn answer_all(mut stream: TcpStream, router: u32, shared: Arc<Shared>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut head = Vec::new();
    loop {
        let Some(question) = question(&head) else {
            if head.len() > LONGEST_HEAD || stream.read_buf(&mut head).await? == 0 {
                return Ok(());
            }
            continue;
        };
        head.drain(..question.bytes);
        shared.control_reached(router).await;
        answer(&mut stream, router, question, &shared).await?;
    }
}

async fn answer(
    stream: &mut TcpStream,
    router: u32,
    question: Question,
    shared: &Shared,
) -> io::Result<()> {
    if !shared
        .discovery
        .lock()
        .expect("no panic before")
        .calls
        .take(shared.now(), 1.0)
    {
        return turn_away(stream, shared).await;
    }
    let known = question.watch.map(|(from, _)| from);
    if let Some((from, hold)) = question.watch {
        // Who asks for what came after a version has taken that version.
        shared
            .changes
            .lock()
            .expect("no panic before")
            .has(Way::List, router, from, shared.now());
        let mut versions = shared.versions.subscribe();
        let newer = versions.wait_for(|version| *version > from);
        let mut sign = [0; 1];
        tokio::select! {
            _ = tokio::time::timeout(hold, newer) => {}
            // The caller has given up; it writes nothing while it waits.
            _ = stream.peek(&mut sign) => {}
        }
        shared.control_reached(router).await;
    }
    let answer = shared
        .registry
        .lock()
        .expect("no panic before")
        .answer(shared.scope(router), known);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
        answer.body.len()
    );
    let bytes = head.len() + answer.body.len();
    let wait = shared
        .discovery
        .lock()
        .expect("no panic before")
        .bytes
        .take_within(shared.now(), bytes as f64, PATIENCE);
    let Some(wait) = wait else {
        return turn_away(stream, shared).await;
    };
    if wait > 0.0 {
        tokio::time::sleep(Duration::from_secs_f64(wait)).await;
    }
    let cause = if answer.complete {
        Cause::List
    } else {
        Cause::Watch
    };
    shared
        .counters
        .add(router, cause, 1, bytes + question.bytes);
    note_ended(router, &answer, shared);
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(answer.body.as_bytes()).await
}

async fn turn_away(stream: &mut TcpStream, shared: &Shared) -> io::Result<()> {
    shared.counters.lists_away.fetch_add(1, Relaxed);
    stream.write_all(TURNED_AWAY.as_bytes()).await
}

/// From now on a real router knows which hosts want nothing new.
fn note_ended(router: u32, answer: &Answer, shared: &Shared) {
    if !shared.is_real(router) {
        return;
    }
    let now = shared.now();
    let mut rules = shared.rules.lock().expect("no panic before");
    for (host, ended) in answer.received.iter() {
        rules.notified_host(router, *host, *ended, now);
    }
}

#[cfg(test)]
mod tests;
