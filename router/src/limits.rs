//! Every limit of the router: sizes, counts and times, computed once at start and handed down.

#![deny(
    missing_docs,
    unreachable_pub,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

mod memory_budget;

use kestreltide::interface::ServiceSettings;
use kestreltide_datastore::Maximums;
use kestreltide_settings::TransportSettings;

pub use memory_budget::{MemoryBudget, MemoryBudgetError};

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;
/// Descriptors for everything but the connections to clients and hosts.
const RESERVED_DESCRIPTORS: usize = 32;
/// One in so many of the client connections is spare.
const SPARE_CLIENTS_PART: usize = 4;
/// Bytes of a RESP bulk string.
const BULK_STRING_BYTES: usize = 64 * KIB;
/// Bytes of a whole RESP message.
const MESSAGE_BYTES: usize = BULK_STRING_BYTES + 4 * KIB;

/// Seconds in which the platform still sends new connections after SIGTERM, with a margin.
const SHUTDOWN_ACCEPT_TIME: f64 = 0.45;
/// SIGKILL comes so many seconds after the longest time limit of an operation has passed since SIGTERM.
const KILL_AFTER: f64 = 0.7;
/// The most that the longest time limit counts for SIGKILL, in seconds.
const KILL_MAX_TIME_LIMIT: f64 = 3.0;
/// Seconds before SIGKILL at which open requests are given up.
const GIVE_UP_BEFORE_KILL: f64 = 0.3;
/// Seconds before SIGKILL at which the program ends: time for an event loop that is late.
const EXIT_BEFORE_KILL: f64 = 0.1;
/// Seconds that a client may say it waits, as a multiple of the longest time limit of an operation.
const MAX_TIME_LIMIT_MULTIPLE: f64 = 100.0;
/// Seconds that a client may leave responses unread, as a multiple of the longest time limit of an operation.
const CLIENT_WRITE_TIMEOUT_MULTIPLE: f64 = 10.0;
/// A connection to a host is closed when it has been idle for this fraction of the time after which the host may.
const UPSTREAM_IDLE_FRACTION: f64 = 0.8;

/// What a RESP message may hold, in bytes unless a count is meant.
#[derive(Clone, Debug, PartialEq)]
pub struct RespLimits {
    /// One bulk string.
    pub value: usize,
    /// Elements of a command or an array.
    pub words: usize,
    /// A status or an error.
    pub line: usize,
    /// Digits of a length or number.
    pub digits: usize,
    /// A whole command or reply; nothing is read of one that announces more.
    pub message: usize,
    /// The id of a request.
    pub id: usize,
}

/// What an HTTP response of discovery may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseLimits {
    /// Bytes of the body.
    pub body: usize,
    /// Bytes of the head.
    pub head: usize,
    /// Bytes of the chunk sizes and line ends beside the body.
    pub frame: usize,
    /// Headers.
    pub headers: usize,
}

impl ResponseLimits {
    /// Bytes that a whole response may have on its way.
    pub fn max_response_bytes(&self) -> usize {
        self.body + self.frame
    }
}

/// Limits of the event loop. Times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct EventLoopLimits {
    /// Timers that are set at once.
    pub timers: usize,
    /// Bytes read from one socket before others get their turn.
    pub read_bytes_per_turn: usize,
    /// The longest sleep, so that a process that stood still notices.
    pub max_sleep: f64,
    /// An event loop delay of more than this is logged.
    pub delay_warning: f64,
    /// What is ready after a shorter sleep than this was ready before.
    pub immediate_wake: f64,
    /// Between two searches for what has expired.
    pub expiry_interval: f64,
    /// Between two log lines of the router's state.
    pub state_log_interval: f64,
    /// A router that has received nothing from discovery or the platform serves by what it has after this time.
    pub ready_timeout: f64,
    /// The longest time that it waits for its first turn to ask, where lists are asked for in turn.
    pub first_poll_timeout: f64,
    /// Between two looks at whether that turn has come.
    pub ready_retry_interval: f64,
}

/// Limits of client connections. Times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientLimits {
    /// Connections.
    pub connections: usize,
    /// Connections that have sent one command and stay open while idle.
    pub idle: usize,
    /// Connections that the system holds until they are accepted.
    pub backlog: i32,
    /// Connections accepted at one wake.
    pub accepts_per_wake: usize,
    /// Before accepting is tried again.
    pub accept_retry_delay: f64,
    /// Commands of one client that wait for their responses.
    pub pipelined_commands: usize,
    /// Unknown commands of one client, of which a client library's set-up has a few.
    pub unknown_commands: usize,
    /// Bytes read and discarded of a rejected client, so that it can read the error.
    pub discarded_bytes: usize,
    /// Bytes of responses that clients have not read.
    pub unread_response_bytes: usize,
    /// For a client's first command, counted from connecting, and for the rest of one that has begun.
    pub command_timeout: f64,
    /// How long an idle client that has sent one command is kept when others need its connection.
    pub idle_timeout: f64,
    /// A rejected client has this time to read the error.
    pub lingering_close: f64,
    /// The longest time limit that a client may send.
    pub max_time_limit: f64,
    /// A client that has not read its responses for this time is disconnected.
    pub write_timeout: f64,
    /// A response that was not read for this time is too late for anybody.
    pub stale_response_age: f64,
}

/// Limits of admitted requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestLimits {
    /// Requests in flight.
    pub in_flight: usize,
    /// Bytes of their commands, which are kept for retries.
    pub stored_command_bytes: usize,
}

/// Limits of connections to hosts. Times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamLimits {
    /// Connections.
    pub connections: usize,
    /// Connections that are kept while idle.
    pub idle_connections: usize,
    /// How long an idle connection is kept.
    pub idle_timeout: f64,
    /// How long connecting may take.
    pub connect_timeout: f64,
    /// Health checks at once.
    pub probes_in_flight: usize,
    /// How long a health check may take.
    pub probe_timeout: f64,
}

/// Limits of discovery. Times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryLimits {
    /// One HTTP response.
    pub response: ResponseLimits,
    /// Hosts that are kept.
    pub hosts: usize,
    /// A watch is asked to respond after this time at the latest.
    pub watch_hold: f64,
    /// What a watch is given beyond that.
    pub watch_grace: f64,
    /// How long a poll of the endpoint list may take. Discovery serves the polls of all routers in turn. Giving up a
    /// response that is on its way wastes a turn and asks for another: discovery itself rejects what waits for 2 s.
    pub list_poll_timeout: f64,
}

/// Limits of the connection to the platform. Times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformLimits {
    /// Bytes of a line.
    pub line_bytes: usize,
    /// Votes without an answer.
    pub pending_votes: usize,
    /// How long a vote may be without an answer.
    pub vote_timeout: f64,
    /// A connection on which nothing was received for this time is opened anew.
    pub silence_timeout: f64,
}

/// Limits of the gossip with peers.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLimits {
    /// Bytes of a datagram.
    pub datagram_bytes: usize,
    /// Datagrams received at one wake.
    pub datagrams_per_wake: usize,
}

/// Limits of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLimits {
    /// Lines that wait to be written; what exceeds them is dropped and counted.
    pub lines: usize,
    /// Bytes of a line that is written in one piece.
    pub line_bytes: usize,
    /// Warnings per second about malformed input.
    pub warnings_per_second: u64,
}

/// Limits of the management interfaces and their threads. Times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ManagementLimits {
    /// What operators may configure.
    pub maximums: Maximums,
    /// Messages of other threads that wait for the event loop.
    pub inbox_messages: usize,
    /// Requests of the interfaces that wait for the datastore thread.
    pub datastore_requests: usize,
    /// Hosts that a revision adds or removes and that are handed to the decisions in one turn.
    pub staged_hosts_per_turn: usize,
    /// From a change to the next view of the state that the interfaces read.
    pub view_publish_delay: f64,
    /// A thread without a heartbeat for this time is reported as stalled.
    pub stall_timeout: f64,
}

/// Times of a graceful shutdown, in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ShutdownLimits {
    /// From SIGTERM on: new clients still come.
    pub accept_time: f64,
    /// How long is waited for a client that has connected and sent nothing, that has just got a response, that was
    /// notified of the close or whose command crossed the notification.
    pub quiet_time: f64,
    /// The same for a client that has just got a response once no client comes any more: one that has a command
    /// ready writes it at once.
    pub brief_quiet_time: f64,
    /// From SIGTERM on: open requests are given up and answered, and what still comes is rejected.
    pub give_up: f64,
    /// From SIGTERM on: the program ends, whoever is left.
    pub exit: f64,
}

/// The pauses between attempts to connect, in seconds; each is twice the one before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackoffLimits {
    /// The first pause.
    pub initial: f64,
    /// The longest pause. A connection that has stood for this time is opened anew at once.
    pub maximum: f64,
}

/// All limits of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// RESP messages of clients and hosts.
    pub resp: RespLimits,
    /// The event loop.
    pub event_loop: EventLoopLimits,
    /// Client connections.
    pub clients: ClientLimits,
    /// Admitted requests.
    pub requests: RequestLimits,
    /// Connections to hosts.
    pub upstream: UpstreamLimits,
    /// Discovery.
    pub discovery: DiscoveryLimits,
    /// The platform.
    pub platform: PlatformLimits,
    /// Between attempts to reach discovery or the platform.
    pub reconnect_backoff: BackoffLimits,
    /// A response or line of discovery or the platform that has begun is given up without a further byte for this
    /// time, in seconds.
    pub message_stall_timeout: f64,
    /// Gossip.
    pub peers: PeerLimits,
    /// The log.
    pub log: LogLimits,
    /// The management interfaces.
    pub management: ManagementLimits,
    /// Graceful shutdown.
    pub shutdown: ShutdownLimits,
}

/// How many connections the descriptors and the memory allow.
struct ConnectionCounts {
    clients: usize,
    upstream: usize,
}

impl ConnectionCounts {
    fn new(sockets: usize, connection_bytes: usize) -> Self {
        let available = sockets.saturating_sub(RESERVED_DESCRIPTORS).max(4);
        let upstream = available / 2;
        // Each connection may be in the middle of one whole message.
        let in_memory = connection_bytes / 2 / MESSAGE_BYTES;
        ConnectionCounts {
            clients: (available - upstream).min(in_memory).max(2),
            upstream,
        }
    }

    /// Requests in flight. Some client connections never hold an open request: a client that comes when all others
    /// do is accepted, read and rejected at once, where it would wait outside without an answer.
    fn requests(&self, max_open: usize) -> usize {
        let busy = (self.clients - self.clients.div_ceil(SPARE_CLIENTS_PART)).max(1);
        max_open.min(busy).min(self.upstream)
    }
}

impl Limits {
    /// Bytes of the configuration file, from which all other limits are derived.
    pub const CONFIG_FILE_BYTES: usize = 4 * MIB;
    /// Bytes of the name of a host, a zone or a kind in discovery's lists.
    pub const NAME_BYTES: usize = 256;

    /// The limits of a router with so many sockets and so much memory; the budget is what the configuration leaves.
    pub fn new(
        sockets: usize,
        memory_mb: usize,
        budget: &MemoryBudget,
        service: &ServiceSettings,
        transport: &TransportSettings,
    ) -> Self {
        let connection_bytes = memory_budget::connection_bytes(memory_mb);
        let counts = ConnectionCounts::new(sockets, connection_bytes);
        let time_limits = service.operations.iter().map(|o| o.time_limit);
        let longest = time_limits.fold(0.0, f64::max);
        Limits {
            resp: RespLimits::new(),
            event_loop: EventLoopLimits::new(),
            clients: ClientLimits::new(counts.clients, connection_bytes, longest),
            requests: RequestLimits {
                in_flight: counts.requests(transport.max_open_connections),
                stored_command_bytes: connection_bytes / 4,
            },
            upstream: UpstreamLimits::new(counts.upstream, transport),
            discovery: DiscoveryLimits::new(budget.max_hosts()),
            platform: PlatformLimits {
                line_bytes: 8 * KIB,
                pending_votes: 16,
                vote_timeout: service.vote_timeout,
                silence_timeout: 3.0,
            },
            reconnect_backoff: BackoffLimits {
                initial: 0.05,
                maximum: 1.0,
            },
            message_stall_timeout: 0.4,
            peers: PeerLimits {
                datagram_bytes: 256,
                datagrams_per_wake: 1024,
            },
            log: LogLimits {
                lines: 1024,
                line_bytes: 8 * KIB,
                warnings_per_second: 10,
            },
            management: ManagementLimits::new(budget.operator_maximums()),
            shutdown: ShutdownLimits::new(longest),
        }
    }
}

impl RespLimits {
    fn new() -> Self {
        RespLimits {
            value: BULK_STRING_BYTES,
            words: 8,
            line: KIB,
            digits: 12,
            message: MESSAGE_BYTES,
            id: 256,
        }
    }
}

impl EventLoopLimits {
    fn new() -> Self {
        EventLoopLimits {
            timers: 64 * KIB,
            read_bytes_per_turn: 64 * KIB,
            max_sleep: 0.25,
            delay_warning: 0.1,
            immediate_wake: 0.01,
            expiry_interval: 0.5,
            state_log_interval: 5.0,
            ready_timeout: 3.0,
            first_poll_timeout: 9.5,
            ready_retry_interval: 0.25,
        }
    }
}

impl ClientLimits {
    /// `longest` is the longest time limit of an operation.
    fn new(connections: usize, connection_bytes: usize, longest: f64) -> Self {
        ClientLimits {
            connections,
            idle: (connections / 4).max(1),
            backlog: 1024,
            accepts_per_wake: 64,
            accept_retry_delay: 0.05,
            pipelined_commands: 16,
            unknown_commands: 16,
            discarded_bytes: 256 * KIB,
            unread_response_bytes: connection_bytes / 4,
            command_timeout: 2.0,
            idle_timeout: 0.1,
            lingering_close: 0.5,
            max_time_limit: MAX_TIME_LIMIT_MULTIPLE * longest,
            write_timeout: CLIENT_WRITE_TIMEOUT_MULTIPLE * longest,
            stale_response_age: longest,
        }
    }
}

impl UpstreamLimits {
    fn new(connections: usize, transport: &TransportSettings) -> Self {
        UpstreamLimits {
            connections,
            idle_connections: connections / 2,
            idle_timeout: UPSTREAM_IDLE_FRACTION * transport.idle_timeout,
            connect_timeout: transport.connect_timeout,
            probes_in_flight: 64,
            probe_timeout: transport.connect_timeout,
        }
    }
}

impl DiscoveryLimits {
    fn new(hosts: usize) -> Self {
        DiscoveryLimits {
            response: ResponseLimits {
                body: 4 * MIB,
                head: 16 * KIB,
                frame: 256 * KIB,
                headers: 32,
            },
            hosts,
            watch_hold: 5.0,
            watch_grace: 1.0,
            list_poll_timeout: 2.5,
        }
    }
}

impl ManagementLimits {
    fn new(maximums: Maximums) -> Self {
        ManagementLimits {
            maximums,
            inbox_messages: 16,
            datastore_requests: 1024,
            staged_hosts_per_turn: 1024,
            view_publish_delay: 0.1,
            stall_timeout: 5.0,
        }
    }
}

impl ShutdownLimits {
    /// `longest` is the longest time limit of an operation.
    fn new(longest: f64) -> Self {
        let kill = longest.min(KILL_MAX_TIME_LIMIT) + KILL_AFTER;
        ShutdownLimits {
            accept_time: SHUTDOWN_ACCEPT_TIME,
            quiet_time: 0.1,
            brief_quiet_time: 0.005,
            give_up: kill - GIVE_UP_BEFORE_KILL,
            exit: kill - EXIT_BEFORE_KILL,
        }
    }
}
