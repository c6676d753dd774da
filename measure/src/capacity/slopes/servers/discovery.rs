//! Discovery: the whole list on request and a watch that answers with what has changed, counted by what was sent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use super::{Amount, Scope, Spawner, Traffic, block_on};

/// One host as it is listed.
#[derive(Clone, Debug)]
pub(in super::super) struct Target {
    pub(in super::super) name: String,
    pub(in super::super) at: SocketAddr,
    pub(in super::super) zone: usize,
    pub(in super::super) build: u16,
    pub(in super::super) state: &'static str,
}

impl Target {
    fn json(&self) -> String {
        let Target {
            name,
            at,
            zone,
            build,
            state,
        } = self;
        format!(
            r#"{{"uid":"{name}","endpoint":"{at}","az":"zone-{zone}","model":"std","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0,"build":{build}}}"#
        )
    }
}

/// What an answer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) enum Kind {
    Complete,
    Changes,
    /// Nothing has changed.
    Nothing,
}

#[derive(Clone)]
struct Version {
    rev: u64,
    complete: Arc<str>,
    /// What the last version changed, where it did not tell all hosts anew.
    changes: Option<Arc<str>>,
}

#[derive(Default)]
struct Counted {
    requests: Traffic,
    complete: Traffic,
    changes: Traffic,
    nothing: Traffic,
}

pub(in super::super) struct Discovery {
    pub(in super::super) at: SocketAddr,
    targets: Mutex<Vec<Target>>,
    version: watch::Sender<Version>,
    counted: Arc<Counted>,
    _scope: Scope,
}

fn body(rev: u64, all: bool, targets: &[Target]) -> Arc<str> {
    let targets: Vec<_> = targets.iter().map(Target::json).collect();
    format!(
        r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#,
        targets.join(",")
    )
    .into()
}

impl Discovery {
    pub(in super::super) fn start(targets: Vec<Target>) -> Self {
        let first = Version {
            rev: 1,
            complete: body(1, true, &targets),
            changes: None,
        };
        let (version, received) = watch::channel(first);
        let counted = Arc::new(Counted::default());
        let listener = block_on(TcpListener::bind("127.0.0.1:0")).expect("discovery can listen");
        let at = listener.local_addr().expect("a listener has an address");
        let scope = Scope::new();
        scope
            .spawner()
            .spawn(listen(scope.spawner(), listener, received, counted.clone()));
        Discovery {
            at,
            targets: Mutex::new(targets),
            version,
            counted,
            _scope: scope,
        }
    }

    /// The whole list as it stands, as a router may have saved it.
    pub(in super::super) fn complete(&self) -> Arc<str> {
        self.version.borrow().complete.clone()
    }

    /// Changes one host; the version that this is.
    pub(in super::super) fn change(&self, number: usize, change: impl FnOnce(&mut Target)) -> u64 {
        let mut targets = self.targets.lock().expect("no thread has panicked");
        change(&mut targets[number]);
        let rev = self.version.borrow().rev + 1;
        let changes = Some(body(rev, false, &targets[number..=number]));
        self.version.send_replace(Version {
            rev,
            complete: body(rev, true, &targets),
            changes,
        });
        rev
    }

    /// Tells all hosts anew; the version that this is.
    pub(in super::super) fn publish_complete(&self) -> u64 {
        self.change_all(|_, _| {})
    }

    /// Changes any of the hosts, by their numbers, and tells all of them; the version that this is.
    pub(in super::super) fn change_all(&self, change: impl Fn(usize, &mut Target)) -> u64 {
        let mut targets = self.targets.lock().expect("no thread has panicked");
        targets
            .iter_mut()
            .enumerate()
            .for_each(|(number, target)| change(number, target));
        let rev = self.version.borrow().rev + 1;
        self.version.send_replace(Version {
            rev,
            complete: body(rev, true, &targets),
            changes: None,
        });
        rev
    }

    pub(in super::super) fn sent(&self, kind: Kind) -> Amount {
        self.counted.of(kind).now()
    }

    /// What routers have asked.
    pub(in super::super) fn requests(&self) -> Amount {
        self.counted.requests.now()
    }

    pub(in super::super) fn sent_all(&self) -> Amount {
        self.sent(Kind::Complete) + self.sent(Kind::Changes) + self.sent(Kind::Nothing)
    }
}

impl Counted {
    fn of(&self, kind: Kind) -> &Traffic {
        match kind {
            Kind::Complete => &self.complete,
            Kind::Changes => &self.changes,
            Kind::Nothing => &self.nothing,
        }
    }
}

async fn listen(
    spawner: Spawner,
    listener: TcpListener,
    received: watch::Receiver<Version>,
    counted: Arc<Counted>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        spawner.spawn(serve(stream, received.clone(), counted.clone()));
    }
}

const HEAD_END: &[u8] = b"\r\n\r\n";

async fn serve(
    mut stream: TcpStream,
    mut received: watch::Receiver<Version>,
    counted: Arc<Counted>,
) {
    let _ = stream.set_nodelay(true);
    let mut read = vec![];
    loop {
        if let Some(end) = read
            .windows(HEAD_END.len())
            .position(|part| part == HEAD_END)
        {
            let head: Vec<u8> = read.drain(..end + HEAD_END.len()).collect();
            counted.requests.add(head.len());
            let requests = watched_from(&String::from_utf8_lossy(&head));
            let (kind, body) = answer(requests, &mut received).await;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            counted.of(kind).add(head.len() + body.len());
            if stream
                .write_all(format!("{head}{body}").as_bytes())
                .await
                .is_err()
            {
                return;
            }
            continue;
        }
        match stream.read_buf(&mut read).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// The version and the time that a watch names, from the first line of its request.
fn watched_from(head: &str) -> Option<(u64, Duration)> {
    let query = head.split(' ').nth(1)?.split_once('?')?.1;
    let value = |name: &str| {
        query
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.parse::<u64>().ok())
    };
    Some((value("from=")?, Duration::from_millis(value("hold_ms=")?)))
}

async fn answer(
    requests: Option<(u64, Duration)>,
    received: &mut watch::Receiver<Version>,
) -> (Kind, Arc<str>) {
    let Some((from, hold)) = requests else {
        return (Kind::Complete, received.borrow().complete.clone());
    };
    let newer = timeout(hold, received.wait_for(|version| version.rev > from)).await;
    let Ok(Ok(version)) = newer.map(|newer| newer.map(|version| version.clone())) else {
        return (Kind::Nothing, body(received.borrow().rev, false, &[]));
    };
    match version.changes {
        // Only the last change is kept: who has missed more gets all.
        Some(changes) if version.rev == from + 1 => (Kind::Changes, changes),
        _ => (Kind::Complete, version.complete),
    }
}
