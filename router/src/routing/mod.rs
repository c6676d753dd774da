//! The stages that a request passes, and the parties around them. A request is taken in, admitted, routed,
//! sent, relayed and booked, each by a unit of its own; only `route` speaks with the decisions.

mod admit;
mod arrivals;
mod book;
mod discovery;
mod fronts;
mod peers;
mod platform;
mod relay;
mod route;
mod send;
mod shutdown;
mod take_in;

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;

use kestreltide::decisions::Router;
use kestreltide::interface::*;
use kestreltide_settings::TransportSettings;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info};

use crate::limits::Limits;
use crate::transport::{Clock, IdleConnections, Listener, Priority, Reactor, SocketId, Timers};
use admit::Admitted;
use book::{Hosts, Tally};
use discovery::Discovery;
pub use fronts::{Box as FrontBox, Loop, Notice, Pulse};
use peers::Peers;
use platform::Platform;
use send::Link;
use shutdown::Shutdown;
use take_in::Client;

// News first: stale news breaks drains and exposure after a stall. Then answers that are already here, so that
// they do not lose to time-outs; then clients; alarms come after all that was read.
const NEWS: Priority = Priority(0);
const PLATFORM: Priority = Priority(1);
// What operators drain and take out binds as discovery's news do.
const FRONTS: Priority = Priority(2);
const PEERS: Priority = Priority(3);
const HOSTS: Priority = Priority(4);
const CLIENTS: Priority = Priority(5);
const LISTENER: Priority = Priority(6);

/// Where everybody is, and what this router held when it was started.
pub struct Parties {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub platform: Option<SocketAddr>,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
}

/// What there is to do after a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    Next,
    /// The configuration is to be read again, then the next turn.
    Reread,
    Over,
}

/// What is due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    Decisions(TimerKey),
    /// The use of a connection to a host that has this number must be over.
    UseOver(SocketId, u64),
    /// By now the connection must be up and the command written.
    WriteOver(SocketId, u64),
    AcceptAgain,
    Sweep,
    CallOver(SocketId, u64),
    /// By now the connection to discovery must be up.
    CallUp(SocketId, u64),
    /// By now the answer that has begun must be whole, or more of it have come.
    CallRest(SocketId, u64),
    WatchAgain,
    PlatformAgain,
    /// By now the platform's line that has begun must be whole, or more of it have come.
    LineRest,
    VoteOver(u64),
    Ready,
    ServingOver,
    DrainingOver,
    /// Of the graceful shutdown: who is told of the close and silent has had its time.
    DrainAgain,
    /// Nobody has come since all connections were closed for the time of this number.
    LastCallOver(u64),
    LastTime,
    ShutdownEnd,
    View,
}

pub struct Routing {
    log: Logger,
    limits: Limits,
    transport: TransportSettings,
    idempotency: Vec<Idempotency>,
    clock: Clock,
    reactor: Reactor,
    decisions: Router,
    /// For waits only; the decisions have their own.
    chance: ChaCha8Rng,
    events: VecDeque<Event>,
    effects: Vec<Effect>,
    /// Clients whose further commands may be taken now.
    resumed: Vec<SocketId>,
    /// Clients that have had their turn and have more to be read.
    later: Vec<SocketId>,
    timers: Timers<Due>,
    listener: Option<Listener>,
    clients: BTreeMap<SocketId, Client>,
    admitted: BTreeMap<RequestId, Admitted>,
    /// As clients named them, and who holds each.
    open_ids: BTreeMap<Box<[u8]>, SocketId>,
    held: usize,
    last_inv: u64,
    links: BTreeMap<SocketId, Link>,
    idle_connections: IdleConnections<HostId>,
    hosts: Hosts,
    discovery: Discovery,
    platform: Option<Platform>,
    /// The newest build, as last told.
    newest: Option<RolloutStatus>,
    peers: Option<Peers>,
    /// Where other threads post, where there are any.
    fronts: Option<fronts::Fronts>,
    ready: bool,
    /// An alarm is set for clients that could not be accepted.
    accept_due: bool,
    shutdown: Shutdown,
    /// A timer is set for who is told of the close, or silent; how often all connections were closed; the last
    /// time before SIGKILL, once told.
    drain_due: bool,
    last_calls: u64,
    last_at: Option<f64>,
    tally: Tally,
    /// When the last sleep ended, and how long what is read from a socket now may have waited there.
    woken: f64,
    stall: f64,
    told_nothing: bool,
}

impl Routing {
    pub fn start(
        log: Logger,
        (limits, clock): (Limits, Clock),
        mut reactor: Reactor,
        told: (ServiceSettings, TransportSettings),
        parties: Parties,
        seed: u64,
    ) -> io::Result<Self> {
        let (now, (terms, transport)) = (clock.now(), told);
        let listener = Listener::open(
            &mut reactor,
            parties.listen,
            limits.clients.backlog,
            LISTENER,
        )?;
        let at = listener.address()?;
        let idempotency = terms.operations.iter().map(|o| o.idempotency).collect();
        let discovery = Discovery::new(parties.discovery, terms.polls_endpoint_list, &limits);
        let platform = parties.platform.map(|at| Platform::new(at, &limits));
        let peers = match parties.peer_listen.filter(|_| terms.may_gossip) {
            Some(at) => Some(Peers::open(
                &mut reactor,
                at,
                parties.peers,
                parties.peers_all,
                &limits,
            )?),
            None => None,
        };
        let mut routing = Routing {
            timers: Timers::new(limits.event_loop.timers),
            decisions: Router::start(terms, seed, now),
            chance: ChaCha8Rng::seed_from_u64(!seed),
            events: VecDeque::new(),
            effects: vec![],
            resumed: vec![],
            later: vec![],
            listener: Some(listener),
            clients: BTreeMap::new(),
            admitted: BTreeMap::new(),
            open_ids: BTreeMap::new(),
            held: 0,
            last_inv: 0,
            links: BTreeMap::new(),
            idle_connections: IdleConnections::default(),
            hosts: Hosts::new(limits.discovery.hosts),
            ready: false,
            accept_due: false,
            shutdown: Shutdown::No,
            drain_due: false,
            last_calls: 0,
            last_at: None,
            tally: Tally::default(),
            woken: now,
            stall: 0.0,
            told_nothing: false,
            log,
            limits,
            transport,
            idempotency,
            clock,
            reactor,
            discovery,
            platform,
            newest: None,
            peers,
            fronts: None,
        };
        routing
            .timers
            .schedule(now + routing.limits.event_loop.expiry_interval, Due::Sweep);
        routing
            .timers
            .schedule(now + routing.limits.event_loop.ready_timeout, Due::Ready);
        info!(routing.log, "listening"; "at" => %at, "clients" => routing.limits.clients.connections,
            "host_links" => routing.limits.upstream.connections);
        Ok(routing)
    }

    /// Reaches out to discovery and the platform; what the router held before has been told by now.
    pub fn begin(&mut self) {
        if !self.discovery.asked_only() {
            self.watch_begin();
        }
        self.platform_begin();
        self.publish();
        if self.discovery.is_off() {
            self.ready_by("operators");
        }
        self.settle();
    }

    /// Discovery and the platform have moved, and nothing else has: what was learnt from them stays.
    pub fn moved(&mut self, discovery: SocketAddr, platform: Option<SocketAddr>) {
        self.discovery_moved(discovery);
        if let Some(at) = platform {
            self.platform_moved(at);
        }
        self.settle();
    }

    /// Sleeps until something happens and serves it.
    pub fn turn(&mut self) -> io::Result<Turn> {
        let now = self.clock.now();
        let next = self
            .timers
            .next_deadline()
            .map_or(self.limits.event_loop.max_sleep, |at| at - now);
        let sleep = if self.later.is_empty() && !self.is_staging() {
            next.clamp(0.0, self.limits.event_loop.max_sleep)
        } else {
            0.0
        };
        let (sockets, signals) = self.reactor.poll(sleep)?;
        // Since the last look: what the work of the last turn took, and a sleep longer than asked for.
        let woken = self.clock.now();
        let stall = (now - self.woken) + (woken - now - sleep).max(0.0);
        // A signal that ends a standstill can end the sleep with nothing told: what is there at once after that
        // was there before.
        let carried = if self.told_nothing && woken - now < self.limits.event_loop.immediate_wake {
            self.stall
        } else {
            0.0
        };
        (self.stall, self.woken, self.told_nothing) =
            (stall.max(carried), woken, sockets.is_empty());
        if self.stall > self.limits.event_loop.delay_warning {
            slog::warn!(self.log, "this process stood still"; "seconds" => self.stall);
        }
        if signals.stop {
            self.shutdown_told();
        }
        // In the order of ranks, clients come last anyway; who is both ready and due again is served once more.
        for id in sockets.into_iter().chain(std::mem::take(&mut self.later)) {
            self.serve(id);
            self.settle();
        }
        self.stage();
        // Only what was due before anything was read: answers that are here go before time-outs.
        while let Some(due) = self.timers.pop_due(woken) {
            self.due(due);
            self.settle();
        }
        Ok(match signals.reload {
            _ if self.is_over() => Turn::Over,
            true => Turn::Reread,
            false => Turn::Next,
        })
    }

    fn serve(&mut self, id: SocketId) {
        if self.links.contains_key(&id) {
            self.link_ready(id);
        } else if self.clients.contains_key(&id) {
            self.take_in(id);
        } else if self
            .listener
            .as_ref()
            .is_some_and(|listener| listener.id == id)
        {
            let _ = self.accept();
        } else if self.fronts.as_ref().is_some_and(|fronts| fronts.owns(id)) {
            self.fronts_ready();
        } else if self.discovery.owns(id) {
            self.discovery_ready(id);
        } else if self
            .platform
            .as_ref()
            .is_some_and(|platform| platform.owns(id))
        {
            self.platform_ready();
        } else if self.peers.as_ref().is_some_and(|peers| peers.owns(id)) {
            self.peers_ready();
        }
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Decisions(key) => self.events.push_back(Event::TimerExpired { key }),
            Due::UseOver(id, number) => self.use_over(id, number),
            Due::WriteOver(id, number) => self.write_over(id, number),
            Due::AcceptAgain => {
                self.accept_due = false;
                let _ = self.accept();
            }
            Due::Sweep => self.sweep(),
            Due::CallOver(id, number) => self.call_over(id, number),
            Due::CallUp(id, number) => self.call_up(id, number),
            Due::CallRest(id, number) => self.call_rest(id, number),
            Due::WatchAgain => self.watch_begin(),
            Due::PlatformAgain => self.platform_begin(),
            Due::LineRest => self.line_rest(),
            Due::VoteOver(call) => self.vote_over(call),
            Due::Ready => self.ready_by("time"),
            Due::ServingOver => self.serving_over(),
            Due::DrainingOver => self.draining_over(),
            Due::DrainAgain => self.drain_due(),
            Due::LastCallOver(number) => self.last_call_over(number),
            Due::LastTime => self.last_time(),
            Due::ShutdownEnd => self.shutdown_end(),
            Due::View => self.publish(),
        }
    }

    /// Events until none is left, and the commands of clients that may go on.
    fn settle(&mut self) {
        loop {
            if let Some(event) = self.events.pop_front() {
                self.route(event);
            } else if let Some(id) = self.resumed.pop() {
                self.take_in(id);
            } else {
                return;
            }
        }
    }

    fn set_due(&mut self, at: f64, due: Due) {
        if !self.timers.schedule(at, due) {
            slog::error!(self.log, "an alarm was dropped, too many are set"; "due" => ?due);
        }
    }

    fn ready_by(&mut self, what: &str) {
        let heard = self.discovery.heard() && self.platform.as_ref().is_none_or(Platform::heard);
        if !self.ready && (heard || what == "time") {
            self.ready = true;
            info!(self.log, "ready"; "by" => what, "hosts" => self.hosts.len());
        }
    }

    fn sweep(&mut self) {
        let now = self.clock.now();
        self.set_due(now + self.limits.event_loop.expiry_interval, Due::Sweep);
        for id in self
            .idle_connections
            .take_unused_since(now - self.limits.upstream.idle_timeout)
        {
            self.close_link(id);
        }
        self.platform_check(now);
        self.close_stuck(now);
        self.close_unspoken(now);
        self.check_pulses(now);
        let using = self.links.values().map(Link::host).collect();
        self.hosts.forget_gone(&using);
        if let Some(line) = self
            .tally
            .line(now, self.limits.event_loop.state_log_interval)
        {
            info!(self.log, "state"; "open" => self.admitted.len(), "clients" => self.clients.len(),
                "links" => self.links.len(), "idle" => self.idle_connections.count(), "counts" => line);
        }
    }
}
