//! The platform: tells where the newest build stands, shows a sign of life each second, and counts votes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::{Scope, Spawner, Traffic, block_on};

/// Where the newest build stands.
#[derive(Clone, Copy, Debug)]
pub(in super::super) struct Rollout {
    pub(in super::super) build: u16,
    pub(in super::super) stage: u32,
    pub(in super::super) progress: &'static str,
    pub(in super::super) cap: f64,
}

/// A router gives up a platform that is silent for three seconds.
const SIGN_OF_LIFE: Duration = Duration::from_secs(1);

/// By cause: news, signs of life, votes and the answers to them.
#[derive(Default)]
pub(in super::super) struct Counted {
    pub(in super::super) followed: Traffic,
    pub(in super::super) rollout_status: Traffic,
    pub(in super::super) signs_of_life: Traffic,
    pub(in super::super) votes: Traffic,
    pub(in super::super) vote_answers: Traffic,
}

pub(in super::super) struct Platform {
    pub(in super::super) at: SocketAddr,
    rollout: watch::Sender<(Rollout, Instant)>,
    counted: Arc<Counted>,
    _scope: Scope,
}

fn state(of: &(Rollout, Instant)) -> Value {
    let Rollout {
        build,
        stage,
        progress,
        cap,
    } = of.0;
    let age = of.1.elapsed().as_millis() as u64;
    json!({"image": build, "ring": stage, "progress": progress, "ceiling": cap, "lag_ms": age})
}

impl Platform {
    pub(in super::super) fn start(rollout: Rollout) -> Self {
        let (rollout, received) = watch::channel((rollout, Instant::now()));
        let counted = Arc::new(Counted::default());
        let listener = block_on(TcpListener::bind("127.0.0.1:0")).expect("the platform can listen");
        let at = listener.local_addr().expect("a listener has an address");
        let scope = Scope::new();
        scope
            .spawner()
            .spawn(listen(scope.spawner(), listener, received, counted.clone()));
        Platform {
            at,
            rollout,
            counted,
            _scope: scope,
        }
    }

    pub(in super::super) fn publish(&self, rollout: Rollout) {
        self.rollout.send_replace((rollout, Instant::now()));
    }

    pub(in super::super) fn counted(&self) -> &Counted {
        &self.counted
    }
}

async fn listen(
    spawner: Spawner,
    listener: TcpListener,
    received: watch::Receiver<(Rollout, Instant)>,
    counted: Arc<Counted>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        spawner.spawn(serve(stream, received.clone(), counted.clone()));
    }
}

async fn serve(
    stream: TcpStream,
    mut received: watch::Receiver<(Rollout, Instant)>,
    counted: Arc<Counted>,
) {
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::new(read).lines();
    let mut signs = tokio::time::interval(SIGN_OF_LIFE);
    let mut follows = false;
    loop {
        let text = tokio::select! {
            line = lines.next_line() => {
                let Ok(Some(line)) = line else { return };
                let Ok(call) = serde_json::from_str::<Value>(&line) else { return };
                let size = line.len() + 1;
                if call["method"] == "follow" {
                    follows = true;
                    counted.followed.add(size);
                    let answer = json!({"jsonrpc": "2.0", "id": call["id"], "result": true}).to_string();
                    let rollout_status = rollout_status(&received.borrow_and_update());
                    counted.rollout_status.add(rollout_status.len());
                    format!("{answer}\n{rollout_status}")
                } else {
                    counted.votes.add(size);
                    let result = state(&received.borrow());
                    let answer = json!({"jsonrpc": "2.0", "id": call["id"], "result": result}).to_string() + "\n";
                    counted.vote_answers.add(answer.len());
                    answer
                }
            }
            changed = received.changed() => {
                if changed.is_err() {
                    return;
                }
                let rollout_status = rollout_status(&received.borrow_and_update());
                counted.rollout_status.add(rollout_status.len());
                rollout_status
            }
            _ = signs.tick(), if follows => {
                let sign = "{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
                counted.signs_of_life.add(sign.len());
                sign.to_owned()
            }
        };
        if write.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn rollout_status(of: &(Rollout, Instant)) -> String {
    json!({"jsonrpc": "2.0", "method": "progress", "params": state(of)}).to_string() + "\n"
}
