//! The stand-in for the platform: tells followers where the newest build stands, and counts votes.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use super::reached_at;
use super::shared::Shared;
use crate::capacity::fleet_run::counters::Cause;
use crate::capacity::fleet_run::layout::Party;
use crate::capacity::fleet_run::rollout::Opinion;

const SIGN_OF_LIFE_EVERY: Duration = Duration::from_secs(1);
const SIGN_OF_LIFE: &str = "{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";

#[derive(Deserialize)]
struct Call {
    id: u64,
    method: String,
    params: Option<Params>,
}

#[derive(Deserialize)]
struct Params {
    image: u16,
    ring: u32,
    opinion: String,
}

pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let router = reached_at(&stream).and_then(|at| Party::Platform.number(at));
        if let Some(router) = router {
            tokio::spawn(follow(stream, router, shared.clone()));
        }
    }
}

async fn follow(stream: TcpStream, router: u32, shared: Arc<Shared>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    let mut standings = shared.standings.subscribe();
    let mut signs = tokio::time::interval(SIGN_OF_LIFE_EVERY);
    let mut follows = false;
    loop {
        let said = tokio::select! {
            line = lines.next_line() => match line? {
                Some(line) => {
                    shared.control_reached(router).await;
                    let Ok(call) = serde_json::from_str::<Call>(&line) else { return Ok(()) };
                    let first = call.method == "follow";
                    follows |= first;
                    let mut said = answer(router, &call, &shared);
                    let cause = if first { Cause::News } else { Cause::Vote };
                    shared.counters.add(router, cause, 1, line.len() + 1 + said.len());
                    if first {
                        said += &rollout_status(router, &shared);
                    }
                    said
                }
                None => return Ok(()),
            },
            _ = standings.changed(), if follows => rollout_status(router, &shared),
            _ = signs.tick(), if follows => SIGN_OF_LIFE.to_owned(),
        };
        if said == SIGN_OF_LIFE {
            shared.counters.add(router, Cause::News, 1, said.len());
        }
        shared.control_reached(router).await;
        writer.write_all(said.as_bytes()).await?;
    }
}

fn rollout_status(router: u32, shared: &Shared) -> String {
    let now = shared.now();
    let (standing, text) = {
        let rollout = shared.rollout.lock().expect("no panic before");
        (rollout.standing(), rollout.render(now))
    };
    let said = format!("{{\"jsonrpc\":\"2.0\",\"method\":\"progress\",\"params\":{text}}}\n");
    shared.counters.add(router, Cause::News, 1, said.len());
    if shared.is_real(router) {
        shared
            .rules
            .lock()
            .expect("no panic before")
            .received_rollout(router, standing, now);
    }
    said
}

fn answer(router: u32, call: &Call, shared: &Shared) -> String {
    let id = call.id;
    let error = |message: &str| {
        format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":-32602,\"message\":\"{message}\"}}}}\n"
        )
    };
    if call.method == "follow" {
        return format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":true}}\n");
    }
    let vote = call
        .params
        .as_ref()
        .and_then(|params| Some((params, Opinion::named(&params.opinion)?)));
    let Some((params, opinion)) = vote.filter(|_| call.method == "castBallot") else {
        return error("bad_request");
    };
    let now = shared.now();
    if !shared.votes.lock().expect("no panic before").take(now, 1.0) {
        shared.counters.votes_away.fetch_add(1, Relaxed);
        return error("too_many_calls");
    }
    let mut rollout = shared.rollout.lock().expect("no panic before");
    if !rollout.cast(router, params.image, params.ring, opinion, now) {
        return error("out_of_date");
    }
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{}}}\n",
        rollout.render(now)
    )
}
