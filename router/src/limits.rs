//! Every limit of the router: sizes, counts and times, filled once at start and handed down.

use kestreltide::interface::ServiceSettings;
use kestreltide_datastore::{Maximums, MemorySettings};
use kestreltide_settings::TransportSettings;

use crate::protocol::discovery::AnswerLimits;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;
/// Descriptors for all that is neither a client's connection nor one to a host.
const OWN_DESCRIPTORS: usize = 32;
/// Of the memory, for what connections may hold; the rest is the program's own.
const HELD_PART: f64 = 0.5;
/// The least memory that is reckoned with.
const MEMORY_LEAST: usize = 16;
/// Of the program's own part, what it takes with nothing listed: most of it pages of the program's file.
const PROGRAM: usize = 7 * MIB;
// What each of these takes at most, measured (`docs/design/start.md`). A listed host at a list that replaces all: the
// list on its way, as read, as it counts and as the decisions keep it, before and after.
const HOST: usize = 3 * KIB / 2;
/// What operators say of a host, in the tree, in a candidate and in the revision before.
const HOST_SET: usize = 3 * KIB;
/// A route of operators, and each name of an operation, a zone, a kind or a host in it.
const ROUTE: usize = 3 * KIB;
const ROUTE_NAME: usize = 256;
/// A peer: its address in three places, and what it told last of the builds.
const PEER: usize = 640;
/// Hosts that are kept however large the memory is.
const HOSTS: usize = 16 * KIB;
/// One in so many of the clients' connections is spare.
const SPARE_PART: usize = 4;

/// Seconds in which the platform still sends new connections after SIGTERM, and a little.
const SERVING_ON: f64 = 0.45;
/// SIGKILL comes so many seconds after the longest time limit from SIGTERM on, which counts as this at most.
const KILL_AFTER: f64 = 0.7;
const KILL_COUNTS: f64 = 3.0;

/// What a RESP message may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct RespLimits {
    /// Of one bulk string.
    pub value: usize,
    /// Of a command or an array.
    pub words: usize,
    /// A status or an error.
    pub line: usize,
    /// Of the text of a length or number.
    pub digits: usize,
    /// A whole command or answer: what says that it is longer is not waited for.
    pub message: usize,
    /// Of an invocation's id.
    pub id: usize,
}

/// Sizes in bytes, times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub resp: RespLimits,
    /// Of a line of the platform.
    pub line: usize,
    /// Of an answer of discovery.
    pub answer: AnswerLimits,
    pub datagram: usize,
    /// Datagrams taken at one wake.
    pub datagrams: usize,
    /// Read from one socket at a time before others get their turn.
    pub read_step: usize,
    /// Clients accepted at one wake.
    pub accepts: usize,
    pub backlog: i32,
    pub clients: usize,
    /// Clients that have asked once and stay without use.
    pub stayers: usize,
    pub host_links: usize,
    pub idle_links: usize,
    /// Commands of one client that wait for their answers.
    pub pipeline: usize,
    /// Unknown commands of one client, of which set-up has a few.
    pub unknown: usize,
    /// Read and dropped of a client that was turned away, so that it can read why.
    pub dropped: usize,
    pub invocations: usize,
    /// Bytes of commands that are kept, and of answers that clients have not read yet.
    pub held: usize,
    pub unread: usize,
    /// Hosts that discovery lists.
    pub hosts: usize,
    /// What operators set.
    pub operators: Maximums,
    pub alarms: usize,
    pub votes: usize,
    pub probes: usize,
    pub log_lines: usize,
    /// Of a line of the log that is written in one piece.
    pub log_line: usize,
    /// Lines a second about what others do wrong.
    pub complaints: u64,
    pub connect_time: f64,
    /// For a client's first command, counted from connecting, and for the rest of one that has begun.
    pub speak: f64,
    /// Without use for this time, a client that has asked once stays.
    pub stay: f64,
    /// A client that was turned away has this time to read why.
    pub linger: f64,
    /// The longest time that a client may say it waits.
    pub longest_wait: f64,
    pub idle_time: f64,
    pub probe_time: f64,
    pub vote_time: f64,
    /// A watch is asked to answer after this time at the latest, and given this much more to do it.
    pub watch_hold: f64,
    pub watch_spare: f64,
    /// Where lists are asked for, discovery serves the calls of all routers in turn. Who gives up an answer that is
    /// on its way has taken a turn for nothing, and asks for another: discovery itself turns away what waits for 2 s.
    pub turn: f64,
    /// Without a further byte for this time, an answer or line of discovery or the platform that has begun is
    /// given up.
    pub news_rest: f64,
    /// Without a sign of life for this time the platform's connection is opened anew.
    pub platform_silence: f64,
    /// Between tries to reach discovery or the platform, at first and at most; a connection that has stood
    /// for the latter is opened anew at once.
    pub retry: [f64; 2],
    pub accept_again: f64,
    pub sweep: f64,
    /// The longest sleep, so that a clock that stood still shows; and what is worth a line then.
    pub sleep: f64,
    pub stalled: f64,
    /// A sleep shorter than this found something that was there before.
    pub at_once: f64,
    pub tell_state: f64,
    /// A router that has heard nothing from discovery or the platform serves after this time by what it has.
    pub ready_wait: f64,
    pub stuck_client: f64,
    /// An answer that was not read for this time comes too late for anybody.
    pub stale_answer: f64,
    /// After SIGTERM: clients still come for this time.
    pub serving_on: f64,
    /// Who has come and is silent, who has just got an answer, who was told of the close and who crossed one
    /// has this time.
    pub last_call: f64,
    /// Once nobody comes any more, who has just got an answer has this time: a client that has a command ready
    /// writes it at once.
    pub brief_quiet: f64,
    /// After SIGTERM: what is open is given up and answered, what still comes is turned away, and the program
    /// ends whoever is left. Both before SIGKILL, with a tenth of a second for a loop that is late.
    pub shutdown_last: f64,
    pub shutdown_end: f64,
    /// What other threads have posted and the loop has not taken.
    pub posted: usize,
    /// Questions of fronts that wait for the keeper.
    pub asked: usize,
    /// Hosts that come or go with a revision and are told to the decisions at one turn.
    pub staged: usize,
    /// After a change, before fronts get the new view of it.
    pub view: f64,
    /// Without a sign of life for this time a front is said to stand still.
    pub front_stall: f64,
}

/// What of the memory is left for the configuration and the lists, in bytes, while a configuration is read.
#[derive(Clone, Debug, PartialEq)]
pub struct Room {
    memory_mb: usize,
    left: usize,
}

impl Room {
    pub fn new(memory_mb: usize) -> Self {
        let memory = memory_mb.saturating_mul(MIB).max(MEMORY_LEAST * MIB);
        Room {
            memory_mb,
            left: memory.saturating_sub(held(memory_mb)) - PROGRAM,
        }
    }

    /// Where it is not left, the error tells how much is.
    pub fn take(&mut self, bytes: usize) -> Result<(), RoomError> {
        let left = self.left.checked_sub(bytes);
        self.left = left.ok_or(RoomError {
            most: self.left,
            memory_mb: self.memory_mb,
        })?;
        Ok(())
    }

    /// For so many routers beside this one.
    pub fn take_peers(&mut self, peers: usize) -> Result<(), RoomError> {
        self.take_each(peers, PEER)
    }

    /// Whether so many hosts can be listed; their room is not taken, as lists change.
    pub fn bears_hosts(&self, hosts: usize) -> Result<(), RoomError> {
        self.clone().take_each(hosts, HOST)
    }

    /// How many hosts are kept.
    pub fn hosts(&self) -> usize {
        (self.left / HOST).min(HOSTS)
    }

    /// What operators may set.
    pub fn operators(&self) -> Maximums {
        let memory = MemorySettings {
            maximum: self.left,
            per_host: HOST,
            per_configured_host: HOST_SET,
            per_route: ROUTE,
            per_route_name: ROUTE_NAME,
        };
        Maximums {
            memory,
            ..Maximums::default()
        }
    }

    fn take_each(&mut self, count: usize, each: usize) -> Result<(), RoomError> {
        let most = RoomError {
            most: self.left / each,
            memory_mb: self.memory_mb,
        };
        self.take(count.saturating_mul(each)).map_err(|_| most)
    }
}

/// More is listed than memory bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomError {
    /// What could be taken, in bytes or entries as it was asked for.
    pub most: usize,
    pub memory_mb: usize,
}

/// Of the memory, what connections may hold, in bytes.
fn held(memory_mb: usize) -> usize {
    ((memory_mb.max(MEMORY_LEAST) as f64 * HELD_PART) as usize).saturating_mul(MIB)
}

impl Limits {
    /// Of the configuration file, which all others are derived from.
    pub const FILE: usize = 4 * MIB;
    /// Of the name of a host, a zone or a kind that discovery tells.
    pub const NAME: usize = 256;

    /// The room is what the configuration leaves.
    pub fn new(
        sockets: usize,
        memory_mb: usize,
        room: &Room,
        terms: &ServiceSettings,
        transport: &TransportSettings,
    ) -> Self {
        let value = 64 * KIB;
        let message = value + 4 * KIB;
        let held = held(memory_mb);
        let open = sockets.saturating_sub(OWN_DESCRIPTORS).max(4);
        let host_links = open / 2;
        // Each connection may be in the middle of one whole message.
        let clients = (open - host_links).min(held / 2 / message).max(2);
        // Some clients' connections are never held by an open invocation: who comes when all others are is
        // accepted, read and turned away at once, where it would wait unanswered outside.
        let busy = (clients - clients.div_ceil(SPARE_PART)).max(1);
        let longest = terms
            .operations
            .iter()
            .map(|o| o.time_limit)
            .fold(0.0, f64::max);
        Limits {
            resp: RespLimits {
                value,
                words: 8,
                line: KIB,
                digits: 12,
                message,
                id: 256,
            },
            line: 8 * KIB,
            answer: AnswerLimits {
                body: 4 * MIB,
                head: 16 * KIB,
                frame: 256 * KIB,
                headers: 32,
            },
            datagram: 256,
            datagrams: 1024,
            read_step: 64 * KIB,
            accepts: 64,
            backlog: 1024,
            clients,
            stayers: (clients / 4).max(1),
            host_links,
            idle_links: host_links / 2,
            pipeline: 16,
            unknown: 16,
            dropped: 256 * KIB,
            invocations: transport.most_open.min(busy).min(host_links),
            held: held / 4,
            unread: held / 4,
            hosts: room.hosts(),
            operators: room.operators(),
            alarms: 64 * KIB,
            votes: 16,
            probes: 64,
            log_lines: 1024,
            log_line: 8 * KIB,
            complaints: 10,
            connect_time: transport.connect_time,
            speak: 2.0,
            stay: 0.1,
            linger: 0.5,
            longest_wait: 100.0 * longest,
            idle_time: 0.8 * transport.idle_time,
            probe_time: transport.connect_time,
            vote_time: terms.vote_wait,
            watch_hold: 5.0,
            watch_spare: 1.0,
            turn: 2.5,
            news_rest: 0.4,
            platform_silence: 3.0,
            retry: [0.05, 1.0],
            accept_again: 0.05,
            sweep: 0.5,
            sleep: 0.25,
            stalled: 0.1,
            at_once: 0.01,
            tell_state: 5.0,
            ready_wait: 3.0,
            stuck_client: 10.0 * longest,
            stale_answer: longest,
            serving_on: SERVING_ON,
            last_call: 0.1,
            brief_quiet: 0.005,
            shutdown_last: longest.min(KILL_COUNTS) + KILL_AFTER - 0.3,
            shutdown_end: longest.min(KILL_COUNTS) + KILL_AFTER - 0.1,
            posted: 16,
            asked: 1024,
            staged: 1024,
            view: 0.1,
            front_stall: 5.0,
        }
    }
}
