//! A test platform: it reports the state of the rollout and records the votes of routers.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use serde_json::{Value, json};

use crate::spawn_server;

/// The state of a rollout, as the platform reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutState {
    /// The newest build.
    pub build: u16,
    /// The stage of its rollout, from 0.
    pub stage: u32,
    /// The phase as the platform's protocol names it: `testing`, `recalling`, `live`, ...
    pub progress: &'static str,
    /// The largest share of requests that the build may get, from 0 to 1.
    pub cap: f64,
}

struct State {
    rollout: RolloutState,
    /// When the state was published.
    since: Instant,
    subscribers: Vec<TcpStream>,
}

/// A platform server; [`Platform::votes`] returns the votes that it has received.
pub struct Platform {
    /// The address that routers connect to.
    pub at: SocketAddr,
    state: Arc<Mutex<State>>,
    votes: Receiver<(u32, String)>,
}

impl State {
    /// The state in the form of the platform's protocol.
    fn progress(&self) -> Value {
        let RolloutState {
            build,
            stage,
            progress,
            cap,
        } = &self.rollout;
        let age = self.since.elapsed().as_millis() as u64;
        json!({"image": build, "ring": stage, "progress": progress, "ceiling": cap, "lag_ms": age})
    }
}

impl Platform {
    /// Starts a platform that reports this state.
    pub fn start(rollout: RolloutState) -> Self {
        let state = Arc::new(Mutex::new(State {
            rollout,
            since: Instant::now(),
            subscribers: vec![],
        }));
        let (shared, (vote_sender, votes)) = (state.clone(), channel());
        let vote_sender = Mutex::new(vote_sender);
        let at = spawn_server(move |stream| {
            let mut lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
            while let Some(Ok(line)) = lines.next() {
                let Ok(call) = serde_json::from_str::<Value>(&line) else {
                    return;
                };
                let mut state = shared.lock().expect("no panic before");
                let result = if call["method"] == "follow" {
                    json!(true)
                } else {
                    state.progress()
                };
                let mut answer = json!({"jsonrpc": "2.0", "id": call["id"], "result": result})
                    .to_string()
                    + "\n";
                if call["method"] == "follow" {
                    let notification =
                        json!({"jsonrpc": "2.0", "method": "progress", "params": state.progress()});
                    answer += &(notification.to_string() + "\n");
                    state
                        .subscribers
                        .push(stream.try_clone().expect("a second handle"));
                } else {
                    let opinion = call["params"]["opinion"]
                        .as_str()
                        .unwrap_or_default()
                        .to_owned();
                    let stage = call["params"]["ring"].as_u64().unwrap_or_default() as u32;
                    let _ = vote_sender
                        .lock()
                        .expect("no panic before")
                        .send((stage, opinion));
                }
                let _ = (&stream).write_all(answer.as_bytes());
            }
        });
        Platform { at, state, votes }
    }

    /// Changes the state and notifies all subscribers.
    pub fn publish(&self, rollout: RolloutState) {
        let mut state = self.state.lock().expect("no panic before");
        state.rollout = rollout;
        state.since = Instant::now();
        let notification =
            json!({"jsonrpc": "2.0", "method": "progress", "params": state.progress()}).to_string()
                + "\n";
        state
            .subscribers
            .retain(|subscriber| (&*subscriber).write_all(notification.as_bytes()).is_ok());
    }

    /// Sends a ping to all subscribers.
    pub fn ping(&self) {
        let line = "{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
        let mut state = self.state.lock().expect("no panic before");
        state
            .subscribers
            .retain(|subscriber| (&*subscriber).write_all(line.as_bytes()).is_ok());
    }

    /// Returns the votes received since the last call, each as the stage and the word for the vote in the protocol.
    pub fn votes(&self) -> Vec<(u32, String)> {
        self.votes.try_iter().collect()
    }
}
