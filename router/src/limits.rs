//! All limits of the router: sizes, counts and times. They are computed once at the start.
//!
//! The sub-command `show-limits` prints the fields of [`Limits`] under their own names.

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

use crate::transport::BufferLimits;

pub use memory_budget::{MemoryBudget, MemoryBudgetError};

/// Bytes of a KiB.
const KIB: usize = 1024;
/// Bytes of a MiB.
const MIB: usize = 1024 * KIB;
/// File descriptors reserved for everything except the connections to clients and hosts.
const RESERVED_DESCRIPTORS: usize = 32;
/// One out of this many client connections is a spare that never holds an open request.
const SPARE_CLIENTS_DIVISOR: usize = 4;
/// Maximum length of a RESP bulk string, in bytes.
const BULK_STRING_BYTES: usize = 64 * KIB;
/// Maximum length of a RESP message, in bytes.
const MESSAGE_BYTES: usize = BULK_STRING_BYTES + 4 * KIB;

/// How long the platform may still send new connections after SIGTERM, in seconds, with a margin.
const SHUTDOWN_ACCEPT_SECONDS: f64 = 0.45;
/// The platform sends SIGKILL this many seconds after SIGTERM plus the longest time limit of an operation.
const KILL_DELAY_SECONDS: f64 = 0.7;
/// The longest time limit of an operation that delays SIGKILL, in seconds; longer ones count as this.
const KILL_MAX_TIME_LIMIT_SECONDS: f64 = 3.0;
/// How long before SIGKILL open requests are failed, in seconds.
const GIVE_UP_BEFORE_KILL_SECONDS: f64 = 0.3;
/// How long before SIGKILL the program exits, in seconds: a margin for delays of the event loop.
const EXIT_BEFORE_KILL_SECONDS: f64 = 0.1;
/// Maximum time limit that a client may send, as a multiple of the longest time limit of an operation.
const MAX_TIME_LIMIT_MULTIPLE: f64 = 100.0;
/// How long a client may leave responses unread, as a multiple of the longest time limit of an operation.
const CLIENT_WRITE_TIMEOUT_MULTIPLE: f64 = 10.0;
/// The router closes an idle connection to a host after this fraction of the time after which the host may close it.
const UPSTREAM_IDLE_FRACTION: f64 = 0.8;
/// Surplus responses of a host that are discarded before the response to one command.
const MAX_SURPLUS_RESPONSES: usize = 4;

/// Limits of RESP messages. Lengths are in bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct RespLimits {
    /// Length of one bulk string.
    pub value: usize,
    /// Number of words of a command, and of elements of an array.
    pub words: usize,
    /// Length of a simple string or an error, with its line terminator.
    pub line: usize,
    /// Number of digits of a length or integer.
    pub digits: usize,
    /// Length of a whole command or reply. One that announces more is rejected before the rest is read.
    pub message: usize,
    /// Length of a request id.
    pub id: usize,
}

/// Limits of an HTTP response of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseLimits {
    /// Length of the body in bytes.
    pub body: usize,
    /// Length of the head in bytes.
    pub head: usize,
    /// Bytes of chunk sizes and line terminators in addition to the body.
    pub frame: usize,
    /// Number of headers.
    pub headers: usize,
}

impl ResponseLimits {
    /// The most bytes of an encoded response that are buffered.
    pub fn max_response_bytes(&self) -> usize {
        self.body + self.frame
    }
}

/// Limits of the event loop. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct EventLoopLimits {
    /// Number of scheduled timers.
    pub timers: usize,
    /// Bytes read from one socket in one iteration, before other sockets are served.
    pub read_bytes_per_turn: usize,
    /// The longest sleep. It bounds the time until a process that was suspended notices the delay.
    pub max_sleep: f64,
    /// A delay of the event loop that exceeds this is logged.
    pub delay_warning: f64,
    /// Sockets that are ready after a sleep shorter than this count as having been ready before the sleep.
    pub immediate_wake: f64,
    /// How long input waits for memory before it is tried again, where none is released in the meantime.
    pub memory_retry: f64,
    /// Interval between two checks for expired connections and missed heartbeats.
    pub expiry_interval: f64,
    /// Interval between two log lines with the router's state.
    pub state_log_interval: f64,
    /// How long after its start a router waits for discovery and the platform. After that it reports itself ready and
    /// serves with the last known endpoint list and rollout state.
    pub ready_timeout: f64,
    /// How long after its start a router waits for discovery's first response if discovery serves the polls of the
    /// routers one after another.
    pub first_poll_timeout: f64,
    /// Interval between two checks of whether that response has arrived.
    pub ready_retry_interval: f64,
}

/// Limits of client connections. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientLimits {
    /// Number of connections.
    pub connections: usize,
    /// Number of idle connections, which have sent at least one command, that are kept open.
    pub idle: usize,
    /// Number of connections that the operating system queues until they are accepted.
    pub backlog: i32,
    /// Number of connections accepted per wake-up of the event loop.
    pub accepts_per_wake: usize,
    /// Delay before accepting is retried after a failure.
    pub accept_retry_delay: f64,
    /// Number of commands of one client that are in progress at once.
    pub pipelined_commands: usize,
    /// Number of commands that are taken from one client before other sockets are served.
    pub commands_per_turn: usize,
    /// Number of unknown commands accepted from one client; client libraries send a few when they connect.
    pub unknown_commands: usize,
    /// Bytes that are read from a rejected client and discarded, so that it can read the error before the close.
    pub discarded_bytes: usize,
    /// How long the rest of a command may take, in seconds, while its connection is needed for others.
    pub evictable_command_age: f64,
    /// How long the rest of a long command may take, in seconds, while its memory is needed for others.
    pub slow_command_age: f64,
    /// Time for a client's first command, from connecting, and for the rest of a partly received command.
    pub command_timeout: f64,
    /// How long an idle client that has sent at least one command is kept if other clients need its connection.
    pub idle_timeout: f64,
    /// How long a rejected client may take to read the error.
    pub lingering_close: f64,
    /// The longest time limit that a client may send with a request.
    pub max_time_limit: f64,
    /// A client that does not read its responses for this time is disconnected.
    pub write_timeout: f64,
    /// A response that the client has not read for this time is outdated, so that its connection may be closed in favor
    /// of another client.
    pub stale_response_age: f64,
}

/// Limits of admitted requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestLimits {
    /// Number of requests in flight.
    pub in_flight: usize,
    /// Number of ids that are remembered of requests, not idempotent ones, that may have run when their clients
    /// disconnected.
    pub executed_ids: usize,
    /// How long they are remembered, in seconds.
    pub executed_id_retention: f64,
}

/// Limits of connections to hosts. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamLimits {
    /// Number of connections.
    pub connections: usize,
    /// Number of idle connections that are kept.
    pub idle_connections: usize,
    /// How long an idle connection is kept.
    pub idle_timeout: f64,
    /// How long connecting may take.
    pub connect_timeout: f64,
    /// Number of surplus responses that are discarded before the response to a command. A host that sends more gets its
    /// connection closed.
    pub surplus_responses: usize,
    /// Number of health checks in flight.
    pub probes_in_flight: usize,
    /// How long a health check may take.
    pub probe_timeout: f64,
}

/// Limits of the connections to discovery and of its endpoint list. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryLimits {
    /// Limits of one HTTP response.
    pub response: ResponseLimits,
    /// Number of hosts that are kept.
    pub hosts: usize,
    /// How long discovery may hold a watch request if nothing changes.
    pub watch_hold: f64,
    /// The shortest such time, for a discovery that responds slowly.
    pub watch_hold_min: f64,
    /// Time for the response to a watch request in addition to the hold time, until it is late. For a slow discovery
    /// it is longer, by `watch_grace_margin` more than the last response took.
    pub watch_grace: f64,
    /// See `watch_grace`. A discovery that responds within this time is not slow.
    pub watch_grace_margin: f64,
    /// The response to the request that replaces a silent watch of a slow discovery is to arrive this long after the
    /// watch fell silent. What it misses counts as known 0.5 s later; on demand the request follows after a short pause.
    pub watch_limit: f64,
    /// Time for the response to a poll of the endpoint list, until it is late. Discovery serves the polls of all
    /// routers one after another, and rejects a poll that has waited for 2 s. A shorter time would repeat polls whose
    /// responses are on their way, which wastes the work of discovery.
    pub list_poll_timeout: f64,
    /// Number of late requests, beside the one whose response is expected, that are kept open for a late response.
    pub late_calls: usize,
    /// How long the oldest late request is kept while there are more than `late_calls`. The others are replaced by
    /// newer ones, as one of them may be on a broken connection.
    pub late_call_age: f64,
}

/// Limits of the connection to the platform. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformLimits {
    /// Length of a line in bytes.
    pub line_bytes: usize,
    /// Number of votes without a response.
    pub pending_votes: usize,
    /// How long the platform may take to respond to a vote.
    pub vote_timeout: f64,
    /// A connection on which nothing is received for this time is reopened.
    pub silence_timeout: f64,
}

/// Limits of the gossip with peers.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLimits {
    /// Length of a datagram in bytes.
    pub datagram_bytes: usize,
    /// Number of datagrams received per wake-up of the event loop.
    pub datagrams_per_wake: usize,
}

/// Limits of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLimits {
    /// Number of lines that are queued for writing; further lines are dropped and counted.
    pub lines: usize,
    /// Length up to which a line is written in one piece, in bytes.
    pub line_bytes: usize,
    /// Number of warnings about malformed input per second.
    pub warnings_per_second: u64,
}

/// Limits of the management threads. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ManagementLimits {
    /// The most that operators may configure.
    pub maximums: Maximums,
    /// Number of messages that are queued for the event loop.
    pub inbox_messages: usize,
    /// Number of requests that are queued for the datastore thread.
    pub datastore_requests: usize,
    /// Number of hosts of a new revision that are passed to the decisions per iteration of the event loop.
    pub staged_hosts_per_turn: usize,
    /// Delay from a change until the state that the management interfaces read is published.
    pub view_publish_delay: f64,
    /// A thread without a heartbeat for this time is logged as not responding.
    pub stall_timeout: f64,
}

/// Times of the graceful shutdown, in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ShutdownLimits {
    /// Time from SIGTERM during which the platform still sends new clients.
    pub accept_time: f64,
    /// How long the shutdown waits for a client that has connected without sending a command, that has just received a
    /// response, that was notified of the close, or that may reconnect because its command crossed the notification.
    pub quiet_time: f64,
    /// Replaces `quiet_time` for clients that have just received a response once the listener is closed: a client that
    /// has a further command ready sends it immediately.
    pub brief_quiet_time: f64,
    /// Time from SIGTERM until open requests are failed and new ones are rejected.
    pub give_up: f64,
    /// Time from SIGTERM until the program exits, even with clients connected.
    pub exit: f64,
}

/// Exponential backoff between connection attempts, in seconds; each delay is twice the previous one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackoffLimits {
    /// The first delay.
    pub initial: f64,
    /// The longest delay. A connection that was open for at least this time is reopened without a delay.
    pub maximum: f64,
}

/// All limits of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Limits of RESP messages of clients and hosts.
    pub resp: RespLimits,
    /// The memory of the buffers of connections to clients and hosts, in bytes.
    pub buffers: BufferLimits,
    /// Limits of the event loop.
    pub event_loop: EventLoopLimits,
    /// Limits of client connections.
    pub clients: ClientLimits,
    /// Limits of admitted requests.
    pub requests: RequestLimits,
    /// Limits of connections to hosts.
    pub upstream: UpstreamLimits,
    /// Limits of discovery.
    pub discovery: DiscoveryLimits,
    /// Limits of the connection to the platform.
    pub platform: PlatformLimits,
    /// Backoff between attempts to connect to discovery or the platform.
    pub reconnect_backoff: BackoffLimits,
    /// A partly received response of discovery is late, and a partly received line of the platform is abandoned, if no
    /// further byte arrives for this time, in seconds. Connecting to discovery may take as long before it is late.
    pub message_stall_timeout: f64,
    /// Limits of the gossip with peers.
    pub peers: PeerLimits,
    /// Limits of the log.
    pub log: LogLimits,
    /// Limits of the management threads.
    pub management: ManagementLimits,
    /// Times of the graceful shutdown.
    pub shutdown: ShutdownLimits,
}

/// How many connections the file descriptors and the memory allow.
struct ConnectionCounts {
    clients: usize,
    upstream: usize,
}

impl ConnectionCounts {
    fn new(sockets: usize, connection_bytes: usize) -> Self {
        let available = sockets.saturating_sub(RESERVED_DESCRIPTORS);
        let in_memory = memory_budget::max_connections(connection_bytes);
        let connections = available.min(in_memory).max(4);
        let upstream = connections / 2;
        ConnectionCounts {
            clients: connections - upstream,
            upstream,
        }
    }

    /// All connections.
    fn connections(&self) -> usize {
        self.clients + self.upstream
    }

    /// The most requests in flight. Some client connections are spares that never hold an open request: while all the
    /// others do, a further client can still be accepted and rejected immediately, instead of waiting in the backlog
    /// without a response.
    fn requests(&self, max_open: usize) -> usize {
        let busy = (self.clients - self.clients.div_ceil(SPARE_CLIENTS_DIVISOR)).max(1);
        max_open.min(busy).min(self.upstream)
    }
}

impl Limits {
    /// Maximum length of the configuration file and of the operator file, in bytes.
    pub const CONFIG_FILE_BYTES: usize = 4 * MIB;
    /// Maximum length of the name of a host, a zone or a machine kind in an endpoint list, in bytes.
    pub const NAME_BYTES: usize = 256;

    /// The limits of a router that may use `sockets` file descriptors and `memory_mb` MiB. `budget` is the memory that
    /// the configuration leaves.
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
        let longest_time_limit = time_limits.fold(0.0, f64::max);
        Limits {
            resp: RespLimits::new(),
            buffers: memory_budget::buffer_limits(connection_bytes, counts.connections()),
            event_loop: EventLoopLimits::new(),
            clients: ClientLimits::new(counts.clients, longest_time_limit),
            requests: RequestLimits {
                in_flight: counts.requests(transport.max_open_connections),
                executed_ids: 16 * KIB,
                executed_id_retention: 10.0,
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
            shutdown: ShutdownLimits::new(longest_time_limit),
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
            memory_retry: 0.05,
            expiry_interval: 0.5,
            state_log_interval: 5.0,
            ready_timeout: 3.0,
            first_poll_timeout: 9.5,
            ready_retry_interval: 0.25,
        }
    }
}

impl ClientLimits {
    /// `longest_time_limit` is the longest time limit of an operation, in seconds.
    fn new(connections: usize, longest_time_limit: f64) -> Self {
        ClientLimits {
            connections,
            idle: (connections / 4).max(1),
            backlog: 1024,
            accepts_per_wake: 64,
            accept_retry_delay: 0.05,
            pipelined_commands: 16,
            commands_per_turn: 16,
            unknown_commands: 16,
            discarded_bytes: 256 * KIB,
            evictable_command_age: 0.05,
            slow_command_age: 0.25,
            command_timeout: 2.0,
            idle_timeout: 0.1,
            lingering_close: 0.5,
            max_time_limit: MAX_TIME_LIMIT_MULTIPLE * longest_time_limit,
            write_timeout: CLIENT_WRITE_TIMEOUT_MULTIPLE * longest_time_limit,
            stale_response_age: longest_time_limit,
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
            surplus_responses: MAX_SURPLUS_RESPONSES,
            probes_in_flight: 64,
            probe_timeout: transport.connect_timeout,
        }
    }
}

impl DiscoveryLimits {
    pub(crate) fn new(hosts: usize) -> Self {
        DiscoveryLimits {
            response: ResponseLimits {
                body: 4 * MIB,
                head: 16 * KIB,
                frame: 256 * KIB,
                headers: 32,
            },
            hosts,
            watch_hold: 5.0,
            watch_hold_min: 1.0,
            watch_grace: 1.0,
            watch_grace_margin: 0.25,
            watch_limit: 5.5,
            list_poll_timeout: 2.5,
            late_calls: 3,
            late_call_age: 10.0,
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
    /// `longest_time_limit` is the longest time limit of an operation, in seconds.
    fn new(longest_time_limit: f64) -> Self {
        let kill_after = longest_time_limit.min(KILL_MAX_TIME_LIMIT_SECONDS) + KILL_DELAY_SECONDS;
        ShutdownLimits {
            accept_time: SHUTDOWN_ACCEPT_SECONDS,
            quiet_time: 0.1,
            brief_quiet_time: 0.005,
            give_up: kill_after - GIVE_UP_BEFORE_KILL_SECONDS,
            exit: kill_after - EXIT_BEFORE_KILL_SECONDS,
        }
    }
}
