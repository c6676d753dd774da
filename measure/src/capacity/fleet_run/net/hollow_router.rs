//! A hollow router on sockets: datagrams to its peers, a watch at discovery, and a connection to the platform that
//! follows it and votes, with the times and limits of the real router.

use std::collections::BTreeMap;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kestreltide::interface::*;
use kestreltide_router::limits::ResponseLimits;
use kestreltide_router::protocol::{discovery, platform};
use kestreltide_settings::{Fields, NameTable, decode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use super::shared::Shared;
use crate::capacity::fleet_run::counters::Cause;
use crate::capacity::fleet_run::hollow::{HollowRouter, Input, Output};
use crate::capacity::fleet_run::layout::Party;

// As in the real router's limits, seconds.
const WATCH_HOLD: f64 = 5.0;
const WATCH_SPARE: f64 = 1.0;
const TURN: f64 = 2.5;
const CONNECTION_UP: f64 = 0.4;
const PLATFORM_SILENCE: f64 = 3.0;
const VOTE_TIME: f64 = 1.0;
const RETRY: [f64; 2] = [0.05, 1.0];
const ANSWER: ResponseLimits = ResponseLimits {
    body: 4 * 1024 * 1024,
    head: 16 * 1024,
    frame: 256 * 1024,
    headers: 32,
};
const LINE: usize = 8 * 1024;
const DATAGRAM: usize = 256;
const BIND_TRIES: usize = 100;
const BIND_AGAIN: Duration = Duration::from_millis(50);
/// Inputs that wait for the router.
const WAITING: usize = 64;

type CastVote = (BuildId, u32, Vote);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

/// Binds a router's address, which the task before it may still hold for a moment.
async fn own_address(me: u32, shared: &Shared) -> io::Result<UdpSocket> {
    let at = (Party::Peer.address(me), shared.ports.peers);
    for _ in 1..BIND_TRIES {
        match UdpSocket::bind(at).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => tokio::time::sleep(BIND_AGAIN).await,
            bound => return bound,
        }
    }
    UdpSocket::bind(at).await
}

/// Runs until it is aborted, which is how its process ends.
pub async fn run(me: u32, seed: u64, shared: Arc<Shared>) -> io::Result<()> {
    let socket = own_address(me, &shared).await?;
    let settings = shared.plan.settings(me);
    let terms = decode(
        &Fields::from_json("settings", &settings),
        &mut NameTable::Hashed,
    )
    .map_err(io::Error::other)?
    .service;
    let mut router = HollowRouter::start(shared.surroundings.clone(), terms, seed, shared.now());
    let (inputs, mut arrived) = mpsc::channel(WAITING);
    let (follow, follows) = mpsc::unbounded_channel();
    let (cast, votes) = mpsc::unbounded_channel();
    let mut parties = JoinSet::new();
    parties.spawn(watch_list(me, follows, inputs.clone(), shared.clone()));
    parties.spawn(follow_platform(me, seed, votes, inputs, shared.clone()));
    let mut buffer = [0; DATAGRAM + 1];
    let mut out = vec![];
    loop {
        let wake = router
            .next()
            .map(|at| Instant::now() + seconds(at - shared.now()));
        let due = async {
            match wake {
                Some(at) => sleep_until(at).await,
                None => pending().await,
            }
        };
        // News first, as at the real router.
        tokio::select! {
            biased;
            Some(input) = arrived.recv() => router.input(shared.moment(), input, &mut out),
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, from)) = received
                    && let Some(input) = datagram(me, &buffer[..length], from, &shared)
                {
                    router.input(shared.moment(), input, &mut out);
                }
            }
            () = due => router.wake(shared.moment(), &mut out),
        }
        for output in out.drain(..) {
            match output {
                Output::Datagram { to, payload } => send(me, to, &payload, &socket, &shared),
                Output::Vote { build, stage, vote } => drop(cast.send((build, stage, vote))),
                Output::Follow(on) => drop(follow.send(on)),
            }
        }
    }
}

fn datagram(me: u32, payload: &[u8], from: SocketAddr, shared: &Shared) -> Option<Input> {
    let SocketAddr::V4(from) = from else {
        return None;
    };
    let from = Party::Peer.number(*from.ip())?;
    let layout = &shared.plan.layout;
    if shared.is_real(from) {
        shared
            .counters
            .add(from, Cause::GossipSent, 1, payload.len());
    }
    if payload.len() > DATAGRAM
        || !shared
            .partition()
            .reaches(layout.router_place(from), layout.router_place(me))
    {
        return None;
    }
    shared
        .counters
        .add(me, Cause::GossipReceived, 1, payload.len());
    Some(Input::Datagram {
        from,
        payload: payload.to_vec(),
    })
}

fn send(me: u32, to: u32, payload: &[u8], socket: &UdpSocket, shared: &Shared) {
    let layout = &shared.plan.layout;
    shared.counters.add(me, Cause::GossipSent, 1, payload.len());
    if !shared
        .partition()
        .reaches(layout.router_place(me), layout.router_place(to))
    {
        return;
    }
    let at = (Party::Peer.address(to), shared.ports.peers);
    let sent = socket.try_send_to(payload, at.into());
    if sent.is_ok() && shared.is_real(to) {
        shared
            .counters
            .add(to, Cause::GossipReceived, 1, payload.len());
    }
}

/// Watches the list of hosts whenever the decisions ask for it.
async fn watch_list(
    me: u32,
    mut follows: mpsc::UnboundedReceiver<bool>,
    inputs: mpsc::Sender<Input>,
    shared: Arc<Shared>,
) {
    let mut version = None;
    while let Some(on) = follows.recv().await {
        if on {
            // Ends only by an error, which the decisions hear of: they ask again.
            let _ = watch(me, &mut version, &inputs, &shared).await;
            let _ = inputs.send(Input::ListFailed).await;
        }
    }
}

async fn watch(
    me: u32,
    version: &mut Option<u64>,
    inputs: &mpsc::Sender<Input>,
    shared: &Shared,
) -> io::Result<()> {
    let at = SocketAddr::from((Party::Discovery.address(me), shared.ports.discovery));
    let mut stream = timeout(seconds(CONNECTION_UP), TcpStream::connect(at)).await??;
    stream.set_nodelay(true)?;
    let mut input = Vec::new();
    let mut first = true;
    loop {
        let hold = if first { 0.0 } else { WATCH_HOLD };
        let watched = version.map(|version| discovery::ListWatch {
            known_revision: version,
            hold_millis: (hold * 1e3) as u64,
        });
        let patience = match watched {
            Some(_) if !first => hold + WATCH_SPARE,
            _ => TURN,
        };
        let mut question = vec![];
        discovery::write_list_request(&mut question, at, watched);
        stream.write_all(&question).await?;
        let read = async {
            let mut chunks = discovery::ChunkedBody::default();
            loop {
                let read =
                    discovery::parse_response(&input, &ANSWER, &mut chunks).map_err(malformed)?;
                if let Some((response, used)) = read {
                    break accepted_list(&response, version).map(|input| (input, used));
                }
                if stream.read_buf(&mut input).await? == 0 {
                    break Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        };
        let (list, used) = timeout(seconds(patience), read).await??;
        input.drain(..used);
        first = false;
        if inputs.send(list).await.is_err() {
            return Ok(());
        }
    }
}

fn malformed(why: kestreltide_router::protocol::Malformed) -> io::Error {
    io::Error::other(why.to_string())
}

fn accepted_list(response: &discovery::Response, version: &mut Option<u64>) -> io::Result<Input> {
    if response.status != 200 {
        return Err(io::Error::other("turned away"));
    }
    let list = discovery::parse_list(&response.body).map_err(|error| malformed(error.into()))?;
    *version = Some(list.rev);
    let scope = if list.all {
        ListScope::Full
    } else {
        ListScope::Delta
    };
    let entries = list
        .targets
        .iter()
        .map(|target| target.to_host_record().entry());
    Ok(Input::List {
        scope,
        entries: entries.collect(),
    })
}

/// A vote that has no answer yet: when it is given up, and what is told then.
struct OpenVote {
    until: Instant,
    what: RolloutStatus,
}

/// Follows the platform on one connection after another, and casts votes on it.
async fn follow_platform(
    me: u32,
    seed: u64,
    mut votes: mpsc::UnboundedReceiver<CastVote>,
    inputs: mpsc::Sender<Input>,
    shared: Arc<Shared>,
) {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut wait = RETRY[0];
    loop {
        let begun = Instant::now();
        let mut open = BTreeMap::new();
        let _ = platform_connection(me, &mut votes, &inputs, &mut open, &mut wait, &shared).await;
        for vote in open.into_values() {
            let _ = inputs
                .send(Input::Stage(RolloutStatus {
                    outcome: AttemptOutcome::TimedOut,
                    ..vote.what
                }))
                .await;
        }
        let stood = begun.elapsed() >= seconds(RETRY[1]);
        let pause = if stood {
            0.0
        } else {
            wait * (0.5 + chance.random::<f64>())
        };
        wait = (2.0 * wait).min(RETRY[1]);
        let again = Instant::now() + seconds(pause);
        // Votes that are cast meanwhile find no connection.
        loop {
            tokio::select! {
                () = sleep_until(again) => break,
                vote = votes.recv() => match vote {
                    Some(vote) => drop(inputs.send(Input::Stage(answered(vote, AttemptOutcome::NoConnection))).await),
                    None => return,
                },
            }
        }
    }
}

fn answered((build, stage, _): CastVote, outcome: AttemptOutcome) -> RolloutStatus {
    RolloutStatus {
        outcome,
        build,
        stage,
        phase: Phase::Canary,
        cap: 0.0,
        age: 0.0,
        answers_vote: true,
    }
}

async fn platform_connection(
    me: u32,
    votes: &mut mpsc::UnboundedReceiver<CastVote>,
    inputs: &mpsc::Sender<Input>,
    open: &mut BTreeMap<u64, OpenVote>,
    wait: &mut f64,
    shared: &Shared,
) -> io::Result<()> {
    let at = SocketAddr::from((Party::Platform.address(me), shared.ports.platform));
    let mut stream = TcpStream::connect(at).await?;
    stream.set_nodelay(true)?;
    let mut call = 1;
    let mut line = vec![];
    platform::write_follow(&mut line, call);
    stream.write_all(&line).await?;
    let mut input = Vec::new();
    loop {
        let silent = Instant::now() + seconds(PLATFORM_SILENCE);
        let over = open.values().map(|vote| vote.until).min().unwrap_or(silent);
        tokio::select! {
            read = stream.read_buf(&mut input) => {
                if read? == 0 {
                    return Ok(());
                }
                *wait = RETRY[0];
                while let Some((message, used)) = platform::parse_line(&input, LINE).map_err(malformed)? {
                    if let Some(status) = rollout_status(&message, open) {
                        let _ = inputs.send(Input::Stage(status)).await;
                    }
                    input.drain(..used);
                }
            }
            vote = votes.recv() => {
                let Some(vote) = vote else { return Ok(()) };
                call += 1;
                line.clear();
                platform::write_vote(&mut line, call, vote.0, vote.1, vote.2);
                let until = Instant::now() + seconds(VOTE_TIME);
                open.insert(call, OpenVote { until, what: answered(vote, AttemptOutcome::TimedOut) });
                stream.write_all(&line).await?;
            }
            () = sleep_until(over.min(silent)) => {
                let now = Instant::now();
                if now >= silent {
                    return Ok(());
                }
                let late: Vec<_> = open.iter().filter(|(_, vote)| vote.until <= now).map(|(call, _)| *call).collect();
                for vote in late.iter().filter_map(|call| open.remove(call)).collect::<Vec<_>>() {
                    let _ = inputs.send(Input::Stage(vote.what)).await;
                }
            }
        }
    }
}

fn rollout_status(
    message: &platform::PlatformMessage,
    open: &mut BTreeMap<u64, OpenVote>,
) -> Option<RolloutStatus> {
    match message {
        platform::PlatformMessage::Rollout(state) => Some(state.to_status(false)),
        platform::PlatformMessage::Result { call, state } => {
            let vote = open.remove(call)?;
            Some(state.map_or(vote.what, |state| state.to_status(true)))
        }
        platform::PlatformMessage::Error { call, outcome } => {
            open.remove(call).map(|vote| RolloutStatus {
                outcome: *outcome,
                ..vote.what
            })
        }
        _ => None,
    }
}
