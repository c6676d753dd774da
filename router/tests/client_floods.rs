//! A client that sends at full speed on one connection does not keep others from their answers.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use kestreltide_testkit::*;
use rstest::rstest;

use common::{BINARY, echo_host, start_router_with_hosts};

/// Commands that a flood writes at once.
const BATCH: usize = 200;
/// How long a flood lasts beside the other clients.
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// Within this time a client must have its answer.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// What a flood consists of.
#[derive(Clone, Copy, Debug)]
enum Flood {
    /// Requests under new names, whose time is over by the time that their turn comes.
    Requests,
    /// Commands that the router itself replies to.
    Pings,
    /// Requests with the id of an open one.
    OpenIds,
}

impl Flood {
    fn command(self, number: usize) -> String {
        let request = |id: String| {
            format!(
                "*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n${}\r\n{id}\r\n$11\r\nc=read,d=20\r\n",
                id.len()
            )
        };
        match self {
            Flood::Requests => request(format!("flood-{number}")),
            Flood::Pings => "*1\r\n$4\r\nPING\r\n".into(),
            Flood::OpenIds => request("flood".into()),
        }
    }
}

/// Writes commands at full speed, and reads what comes back, until `stop` is set.
fn flood(router: SocketAddr, kind: Flood, stop: &AtomicBool) {
    let mut stream = TcpStream::connect(router).expect("the router accepts the connection");
    let timeout = Some(Duration::from_millis(100));
    stream.set_read_timeout(timeout).expect("it is set");
    stream.set_write_timeout(timeout).expect("it is set");
    let mut replies = stream.try_clone().expect("a second handle");
    thread::scope(|scope| {
        scope.spawn(move || {
            let mut buffer = vec![0; 64 * 1024];
            while !stop.load(Relaxed) {
                let _ = replies.read(&mut buffer);
            }
        });
        for batch in 0.. {
            let first = batch * BATCH;
            let commands: String = (first..first + BATCH)
                .map(|number| kind.command(number))
                .collect();
            let mut unwritten = commands.as_bytes();
            while !unwritten.is_empty() {
                if stop.load(Relaxed) {
                    return;
                }
                let written = stream.write(unwritten).unwrap_or(0);
                unwritten = &unwritten[written..];
            }
        }
    });
}

/// Ends the flood, also where the test fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}

/// Guards against a client whose commands are taken one after another within one turn of the event loop, because each is
/// answered at once. Other clients then got their answers late or never.
#[rstest]
fn a_flood_on_one_connection_delays_no_other_client(
    #[values(Flood::Requests, Flood::Pings, Flood::OpenIds)] kind: Flood,
) {
    let (program, _lists) =
        start_router_with_hosts(&[("a", echo_host().expect("a host"), "Ready")]);
    let stop = AtomicBool::new(false);
    let mut answer_times = vec![];
    thread::scope(|scope| {
        scope.spawn(|| flood(program.at, kind, &stop));
        let _stop = StopOnDrop(&stop);
        let began_at = Instant::now();
        while began_at.elapsed() < FLOOD_TIME {
            let id = format!("other-{}", answer_times.len());
            let mut client = program.client();
            let sent_at = Instant::now();
            let answer = client.request(&["Q.ASK", "k", &id, "c=read,d=1000"]);
            answer_times.push((answer == format!("of {id}"), sent_at.elapsed()));
            thread::sleep(Duration::from_millis(20));
        }
    });
    let in_time = answer_times
        .iter()
        .filter(|(is_served, time)| *is_served && *time < ANSWER_TIME)
        .count();
    assert!(answer_times.len() > 10, "{answer_times:?}");
    assert_eq!(in_time, answer_times.len(), "{answer_times:?}");
}

/// Guards against timers that stay until they are due after their attempts have ended: the queue of timers was full
/// after 65,536 attempts with long time limits, and those of other attempts were dropped.
#[test]
fn attempts_that_have_ended_keep_no_timer() {
    const CLIENTS: usize = 4;
    const ROUNDS: usize = 60;
    const PIPELINED: usize = 16;
    /// Those of the router itself.
    const MAX_TIMERS: usize = 50;
    let host = echo_host().expect("a host");
    // Enough hosts that the decisions shed no request.
    let names: Vec<_> = (0..24).map(|number| format!("host-{number}")).collect();
    let hosts: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), host, "Ready"))
        .collect();
    let (_lists, answers) = channel();
    let known = endpoint_list(1, true, &hosts);
    // With a single attempt, its time limit is that of the request.
    let config = router_config(fake_discovery(answers), &known)
        .replace("\"max_attempts\":2", "\"max_attempts\":1");
    let program = RouterProcess::start(BINARY, &config);
    let router = program.at;
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            scope.spawn(move || {
                let mut client = Client::connect(router);
                for round in 0..ROUNDS {
                    let commands: String = (0..PIPELINED)
                        .map(|place| {
                            let id = format!("{number}-{round}-{place}");
                            let length = id.len();
                            format!(
                                "*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n${length}\r\n{id}\r\n$15\r\nc=read,d=500000\r\n"
                            )
                        })
                        .collect();
                    client.write(commands.as_bytes());
                    (0..PIPELINED).for_each(|_| drop(client.reply()));
                }
            });
        }
    });
    // The line after the one that may have been written meanwhile.
    program.wait_for_log(" state");
    let line = program.wait_for_log(" state");
    let timers = line
        .split("timers: ")
        .nth(1)
        .and_then(|rest| rest.split(',').next())
        .and_then(|count| count.parse().ok());
    assert!(
        timers.is_some_and(|count: usize| count <= MAX_TIMERS),
        "{line}"
    );
}
