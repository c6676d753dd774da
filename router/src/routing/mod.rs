//! The request path of the router and its event loop.
//!
//! Each part of the state is owned by a type of its own. [`Routing`] holds these and carries out what involves several
//! of them. Only `dispatch_decisions` calls the decisions, which choose hosts, retries and votes ([`Router`]).

mod accept_queue;
mod admission;
mod arrival_times;
mod attempts;
mod client_connection;
mod client_listener;
mod command_writes;
mod discovery_call;
mod discovery_watch;
mod dispatch_decisions;
mod endpoint_list;
mod endpoint_table;
mod event_loop;
mod executed_ids;
mod gossip_peers;
mod graceful_shutdown;
mod management_link;
mod memory_usage;
mod memory_waits;
mod metrics;
mod platform_client;
mod response_history;
mod response_relay;
mod rollout;
mod shutdown_actions;
mod upstream_connection;
mod upstream_pool;
mod upstream_responses;
mod watch_timing;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use kestreltide::decisions::Router;
use kestreltide::interface::*;
use kestreltide_settings::TransportSettings;
use slog::{Logger, info};

use crate::limits::Limits;
use crate::transport::{Clock, Listener, Reactor, SocketId};
use admission::RequestTable;
use client_connection::Client;
use client_listener::ClientListener;
use discovery_watch::DiscoveryWatch;
use endpoint_table::EndpointTable;
use event_loop::{EventLoop, ReadySocket, SocketOwner, TimerEvent};
use executed_ids::ExecutedIds;
use gossip_peers::GossipPeers;
use graceful_shutdown::{GracefulShutdown, ShutdownInput};
pub use management_link::{EventLoopHandle, Heartbeat, ManagementInbox, ManagementMessage};
use memory_usage::MemoryUsage;
use memory_waits::MemoryWaits;
use platform_client::PlatformClient;
use upstream_pool::UpstreamPool;

/// The addresses of this router and of the services that it connects to.
pub struct Addresses {
    /// Where clients connect.
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// `None` for a service without a rollout platform.
    pub platform: Option<SocketAddr>,
    /// Where this router receives gossip; `None` turns gossip off.
    pub peer_listen: Option<SocketAddr>,
    /// The gossip addresses of all routers, by [`RouterId`].
    pub peers: Vec<SocketAddr>,
    /// An address that reaches all routers, where there is one.
    pub peers_all: Option<SocketAddr>,
}

/// What the caller does after an iteration of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Run the next iteration.
    Continue,
    /// SIGHUP was received: read the configuration again, then run the next iteration.
    ReloadConfiguration,
    /// The graceful shutdown has finished: end the program.
    Stop,
}

/// Why the router becomes ready to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadyReason {
    /// Discovery and the platform have both sent their state.
    StateReceived,
    /// Operators alone list the endpoints; discovery is not used.
    OperatorsOnly,
    /// The time to wait for discovery and the platform has passed.
    Timeout,
}

impl ReadyReason {
    /// The value of `by` in the log line "ready".
    fn name(self) -> &'static str {
        match self {
            ReadyReason::StateReceived => "news",
            ReadyReason::OperatorsOnly => "operators",
            ReadyReason::Timeout => "time",
        }
    }
}

/// The router: all of its state, and the operations that involve several parts of it.
pub struct Routing {
    event_loop: EventLoop,
    transport: TransportSettings,
    /// Of each operation, by [`OperationId`].
    idempotency: Vec<Idempotency>,
    decisions: Router,
    /// A buffer for the effects of one event, kept to avoid allocations.
    effects: Vec<Effect>,
    /// Clients whose sockets or buffers may hold more commands that may be taken; they are read again in the next
    /// iteration, so that each client gets its turn.
    clients_with_more_input: Vec<SocketId>,
    memory_waits: MemoryWaits,
    listener: ClientListener,
    clients: BTreeMap<SocketId, Client>,
    requests: RequestTable,
    executed_ids: ExecutedIds,
    upstreams: UpstreamPool,
    endpoints: EndpointTable,
    discovery: DiscoveryWatch,
    platform: Option<PlatformClient>,
    /// The last status received of the newest build.
    rollout_status: Option<RolloutStatus>,
    peers: Option<GossipPeers>,
    /// The link to the management threads; `None` where there are none.
    management: Option<management_link::ManagementLink>,
    is_ready: bool,
    /// When the router was started, in Unix seconds.
    started_at: f64,
    shutdown: GracefulShutdown,
    /// Whether a [`TimerEvent::DrainAgain`] timer is pending.
    drain_scheduled: bool,
}

impl Routing {
    /// Opens the listener and the gossip socket; connects to nothing yet. `seed` seeds the decisions and the jitter
    /// of backoffs.
    ///
    /// # Errors
    ///
    /// Where a socket cannot be opened or registered with the reactor.
    pub fn start(
        log: Logger,
        (limits, clock): (Limits, Clock),
        mut reactor: Reactor,
        settings: (ServiceSettings, TransportSettings),
        addresses: Addresses,
        seed: u64,
    ) -> io::Result<Self> {
        let (now, (service, transport)) = (clock.now(), settings);
        let listener = Listener::open(
            &mut reactor,
            addresses.listen,
            limits.clients.backlog,
            SocketOwner::Listener.priority(),
        )?;
        let listen_address = listener.address()?;
        let listener = ClientListener::new(listener, limits.clients.backlog as usize);
        let idempotency = service
            .operations
            .iter()
            .map(|operation| operation.idempotency)
            .collect();
        let discovery =
            DiscoveryWatch::new(addresses.discovery, service.polls_endpoint_list, &limits);
        let platform = addresses
            .platform
            .map(|address| PlatformClient::new(address, transport.operations.clone(), &limits));
        let peers = match addresses.peer_listen.filter(|_| service.may_gossip) {
            Some(listen) => Some(GossipPeers::open(
                &mut reactor,
                listen,
                addresses.peers,
                addresses.peers_all,
                &limits,
            )?),
            None => None,
        };
        let endpoints = EndpointTable::new(limits.discovery.hosts);
        let executed_ids = ExecutedIds::new(
            limits.requests.executed_ids,
            limits.requests.executed_id_retention,
        );
        let mut routing = Routing {
            event_loop: EventLoop::new(log, limits, clock, reactor, seed),
            decisions: Router::start(service, seed, now),
            effects: vec![],
            clients_with_more_input: vec![],
            memory_waits: MemoryWaits::default(),
            listener,
            clients: BTreeMap::new(),
            requests: RequestTable::default(),
            executed_ids,
            upstreams: UpstreamPool::default(),
            endpoints,
            is_ready: false,
            started_at: now,
            shutdown: GracefulShutdown::new(),
            drain_scheduled: false,
            transport,
            idempotency,
            discovery,
            platform,
            rollout_status: None,
            peers,
            management: None,
        };
        routing.event_loop.schedule(
            now + routing.event_loop.limits.event_loop.expiry_interval,
            TimerEvent::ExpireIdle,
        );
        routing.event_loop.schedule(
            now + routing.event_loop.limits.event_loop.ready_timeout,
            TimerEvent::Ready,
        );
        info!(routing.event_loop.log, "listening"; "at" => %listen_address, "clients" => routing.event_loop.limits.clients.connections,
            "host_links" => routing.event_loop.limits.upstream.connections);
        Ok(routing)
    }

    /// Connects to discovery and the platform and starts the decisions. State from before the start is to be restored
    /// before this call.
    pub fn connect(&mut self) {
        if !self.discovery.is_on_demand() {
            self.begin_watch();
        }
        self.with_platform(PlatformClient::connect);
        self.publish_view();
        if self.discovery.is_disabled() {
            self.mark_ready(ReadyReason::OperatorsOnly);
        }
        self.start_decision_timers();
        self.process_pending();
    }

    /// Connects to discovery and the platform at new addresses. The state that the old ones have sent is kept.
    pub fn change_addresses(&mut self, discovery: SocketAddr, platform: Option<SocketAddr>) {
        self.change_discovery_address(discovery);
        if let Some(address) = platform {
            self.change_platform_address(address);
        }
        self.process_pending();
    }

    /// Runs one iteration of the event loop: sleeps until a socket, a signal or a timer is due, and handles all of
    /// them.
    ///
    /// # Errors
    ///
    /// Where polling the sockets fails.
    pub fn run_iteration(&mut self) -> io::Result<NextStep> {
        let may_sleep = self.clients_with_more_input.is_empty() && !self.is_staging();
        let (sockets, signals) = self.event_loop.poll(may_sleep)?;
        if signals.stop {
            self.advance_shutdown(ShutdownInput::Requested);
        }
        // Clients that are added during this iteration are read in the next one.
        let clients_with_more_input = std::mem::take(&mut self.clients_with_more_input);
        for socket in sockets {
            self.handle_ready_socket(socket);
            self.process_pending();
        }
        // A client that was also reported as ready is read a second time.
        for id in clients_with_more_input {
            self.read_client(id);
            self.process_pending();
        }
        self.retry_reads_after_release();
        self.stage_next_part();
        // Timers run after the sockets, and only those that were due when the sleep ended, so that a response that has
        // arrived takes precedence over its timeout.
        while let Some(event) = self.event_loop.next_due_timer() {
            self.on_timer(event);
            self.process_pending();
        }
        Ok(match signals.reload {
            _ if self.update_shutdown() => NextStep::Stop,
            true => NextStep::ReloadConfiguration,
            false => NextStep::Continue,
        })
    }

    /// Handles a socket that the poll reported as ready.
    fn handle_ready_socket(&mut self, socket: ReadySocket) {
        let id = socket.id;
        match socket.owner {
            SocketOwner::Discovery => self.on_discovery_readable(id),
            SocketOwner::Platform => self.with_platform(|platform, event_loop| {
                // The connection may have been replaced since the poll.
                if platform.has_socket(id) {
                    platform.write_and_read(event_loop);
                }
            }),
            SocketOwner::Management => self.on_management_message(),
            SocketOwner::Gossip => {
                if let Some(peers) = &mut self.peers {
                    peers.on_readable(&mut self.event_loop);
                }
            }
            SocketOwner::Upstream => self.on_upstream_readable(id),
            SocketOwner::Client => self.read_client(id),
            SocketOwner::Listener => {
                self.accept();
            }
        }
    }

    /// Handles a timer that is due.
    fn on_timer(&mut self, event: TimerEvent) {
        match event {
            TimerEvent::Decisions(key) => self
                .event_loop
                .notify_decisions(Event::TimerExpired { key }),
            TimerEvent::UpstreamUseTimeout(id, number) => self.on_use_timeout(id, number),
            TimerEvent::UpstreamWriteTimeout(id, number) => self.on_write_timeout(id, number),
            TimerEvent::AcceptAgain => self.on_accept_timer(),
            TimerEvent::RetryReads => self.on_retry_reads_timer(),
            TimerEvent::ExpireIdle => self.run_periodic_checks(),
            TimerEvent::DiscoveryCallTimeout(id, number) => {
                self.discovery
                    .on_call_timeout(&mut self.event_loop, id, number)
            }
            TimerEvent::DiscoveryConnectTimeout(id, number) => {
                self.discovery
                    .on_connect_timeout(&mut self.event_loop, id, number)
            }
            TimerEvent::DiscoveryAnswerTimeout(id, number) => {
                self.discovery
                    .on_response_stall(&mut self.event_loop, id, number)
            }
            TimerEvent::DiscoveryRetry => self.begin_watch(),
            TimerEvent::PlatformReconnect => self.with_platform(PlatformClient::connect),
            TimerEvent::PlatformLineTimeout => self.with_platform(PlatformClient::on_line_timeout),
            TimerEvent::VoteTimeout(call) => {
                self.with_platform(|platform, event_loop| {
                    platform.on_vote_timeout(event_loop, call)
                });
            }
            TimerEvent::Ready => self.on_ready_timeout(),
            TimerEvent::ServingOver => self.advance_shutdown(ShutdownInput::ServingOver),
            TimerEvent::DrainingOver => self.advance_shutdown(ShutdownInput::DrainingOver),
            TimerEvent::DrainAgain => self.on_drain_timer(),
            TimerEvent::LastClientsOver(number) => self.on_last_clients_over(number),
            TimerEvent::KillNear => self.advance_shutdown(ShutdownInput::KillNear),
            TimerEvent::ShutdownDeadline => self.advance_shutdown(ShutdownInput::Deadline),
            TimerEvent::PublishView => self.publish_view(),
        }
    }

    /// Passes events to the decisions until none is left.
    fn process_pending(&mut self) {
        while let Some(event) = self.event_loop.next_decision_event() {
            self.dispatch_event(event);
        }
    }

    /// Makes the router ready with its restored state, as discovery or the platform has not answered within
    /// `ready_timeout`.
    ///
    /// Where the endpoint list is polled, discovery serves hundreds of routers in turn, and the restored list may be
    /// so old that hosts have drained for longer than a router may fail to notice. The router then waits for its
    /// first poll, until `first_poll_timeout` at most.
    fn on_ready_timeout(&mut self) {
        let now = self.event_loop.now();
        let limits = &self.event_loop.limits.event_loop;
        let awaits_first_poll = self.discovery.awaits_first_answer()
            && now < self.started_at + limits.first_poll_timeout;
        if awaits_first_poll {
            let retry_at = now + limits.ready_retry_interval;
            return self.event_loop.schedule(retry_at, TimerEvent::Ready);
        }
        self.mark_ready(ReadyReason::Timeout);
    }

    /// Makes the router ready to serve, once discovery and the platform have sent their state or the time to wait for
    /// them has passed.
    fn mark_ready(&mut self, reason: ReadyReason) {
        let has_received_all = self.discovery.has_answered()
            && self
                .platform
                .as_ref()
                .is_none_or(PlatformClient::has_received_state);
        if !self.is_ready && (has_received_all || reason == ReadyReason::Timeout) {
            self.is_ready = true;
            info!(self.event_loop.log, "ready"; "by" => reason.name(), "hosts" => self.endpoints.len());
        }
    }

    /// Closes what has been idle, silent or unread for too long, and logs the counters; repeats every
    /// `expiry_interval`.
    fn run_periodic_checks(&mut self) {
        let now = self.event_loop.now();
        self.event_loop.schedule(
            now + self.event_loop.limits.event_loop.expiry_interval,
            TimerEvent::ExpireIdle,
        );
        let idle_since = now - self.event_loop.limits.upstream.idle_timeout;
        self.upstreams
            .close_idle_since(&self.event_loop, idle_since);
        self.with_platform(|platform, event_loop| platform.check_silence(event_loop, now));
        self.close_clients_not_reading(now);
        self.expire_clients_without_command(now);
        self.check_heartbeats(now);
        let connected_hosts = self.upstreams.hosts();
        self.endpoints.forget_removed(&connected_hosts);
        if let Some(line) = self
            .event_loop
            .metrics
            .take_line(now, self.event_loop.limits.event_loop.state_log_interval)
        {
            info!(self.event_loop.log, "state"; "open" => self.requests.len(), "clients" => self.clients.len(),
                "timers" => self.event_loop.pending_timers(), "links" => self.upstreams.len(), "idle" => self.upstreams.idle_count(), "counts" => line, "memory" => %MemoryUsage::now(self.event_loop.memory()));
        }
    }
}
