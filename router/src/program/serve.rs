//! Running a router until it is told to stop.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use kestreltide::interface::RolloutStatus;
use kestreltide_datastore::HostRecord;
use slog::{Logger, error, info, warn};
use thiserror::Error;

use super::config::{self, ConfigError, ProgramConfiguration, ReadTime, StartupOnly};
use super::logs;
use crate::limits::Limits;
use crate::management_threads::{ManagementThreads, OperatorSettings, StartError, ThreadContext};
use crate::routing::{Addresses, NextStep, Routing};
use crate::transport::{Clock, Reactor};

/// run a router until it is told to stop (also what happens without a sub-command)
#[derive(FromArgs, Default)]
#[argh(subcommand, name = "serve")]
pub(super) struct Serve {
    /// the configuration file (default: $PROXY_CONFIG)
    #[argh(option, short = 'c')]
    config: Option<String>,
    /// how much to log: error, warn, info or debug (default: info)
    #[argh(option, short = 'l', from_str_fn(log_level))]
    log: Option<slog::Level>,
    /// the operator file (default: $KESTRELTIDE_OPERATOR; without one nothing of it is on)
    #[argh(option, short = 'o')]
    operator: Option<PathBuf>,
}

fn log_level(text: &str) -> Result<slog::Level, String> {
    text.parse()
        .map_err(|()| format!("{text} is no level: error, warn, info or debug"))
}

/// Why a router does not serve any more, or never did.
#[derive(Debug, Error)]
pub(super) enum ServeError {
    /// The system refuses what the event loop needs.
    #[error("the event loop cannot start: {0}")]
    EventLoopStart(io::Error),
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator file cannot be used.
    #[error("{0}")]
    OperatorFile(String),
    /// The threads beside the event loop cannot be started.
    #[error(transparent)]
    ManagementThreads(#[from] StartError),
    /// The address for clients cannot be listened on.
    #[error("listen: {address} cannot be listened on: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The system's poll failed.
    #[error("the event loop failed: {0}")]
    EventLoop(io::Error),
}

impl Serve {
    /// Serves until SIGTERM or SIGINT, or until something fails.
    pub(super) fn run(&self) -> Result<(), ServeError> {
        let reactor = Reactor::start().map_err(ServeError::EventLoopStart)?;
        let text = config::load(self.config.clone())?;
        let configuration = config::read(&text, ReadTime::Start)?;
        let operators = self.operators()?;
        let clock = Clock::start();
        let limits = configuration.limits();
        let level = self.log.unwrap_or(slog::Level::Info);
        let (log, guard) = logs::start(&configuration.name, level, &limits);
        info!(log, "starting"; "version" => env!("CARGO_PKG_VERSION"),
            "routers" => configuration.service.routers, "me" => configuration.service.router_id.0);
        let startup_only = StartupOnly::of(&configuration);
        let start = Start {
            log: &log,
            clock,
            limits,
            operators: &operators,
        };
        let (mut routing, threads) = start.routing(reactor, configuration)?;
        let result = loop {
            match routing.run_iteration() {
                Ok(NextStep::Continue) => {}
                Ok(NextStep::ReloadConfiguration) => {
                    self.reload(&log, &mut routing, &startup_only);
                    threads.iter().for_each(ManagementThreads::poll_files);
                    self.check_operator_file(&log, &operators);
                }
                Ok(NextStep::Stop) => break Ok(()),
                Err(e) => break Err(ServeError::EventLoop(e)),
            }
        };
        drop(routing);
        if let Some(threads) = threads {
            threads.shut_down();
        }
        match &result {
            Ok(()) => info!(log, "stopped"),
            Err(error) => error!(log, "broken"; "why" => error.to_string()),
        }
        drop(guard);
        result
    }

    fn operators(&self) -> Result<OperatorSettings, ServeError> {
        super::operators(&self.operator).map_err(ServeError::OperatorFile)
    }

    /// Reads the configuration again. A router that serves goes on by what it has where that fails.
    fn reload(&self, log: &Logger, routing: &mut Routing, startup_only: &StartupOnly) {
        if let Err(error) = self.apply_configuration(log, routing, startup_only) {
            warn!(log, "reloaded configuration rejected"; "why" => error.to_string());
        }
    }

    /// Applies the fields that may change while the program runs, if all of the configuration is well.
    fn apply_configuration(
        &self,
        log: &Logger,
        routing: &mut Routing,
        startup_only: &StartupOnly,
    ) -> Result<(), ConfigError> {
        let text = config::load(self.config.clone())?;
        let time = ReadTime::Reload {
            memory_mb: startup_only.memory_mb(),
        };
        let configuration = config::read(&text, time)?;
        startup_only.check(&configuration)?;
        let platform = configuration.platform.map(|platform| platform.address);
        info!(log, "configuration reloaded"; "discovery" => %configuration.discovery,
            "platform" => platform.map_or("none".into(), |at| at.to_string()));
        routing.change_addresses(configuration.discovery, platform);
        Ok(())
    }

    fn check_operator_file(&self, log: &Logger, operators: &OperatorSettings) {
        if !matches!(self.operators(), Ok(found) if found == *operators) {
            warn!(log, "operator file changed or invalid, a restart is needed");
        }
    }
}

/// What the start of a router needs beside its configuration.
struct Start<'a> {
    log: &'a Logger,
    clock: Clock,
    limits: Limits,
    operators: &'a OperatorSettings,
}

impl Start<'_> {
    /// Starts the router, and the threads that the operator file asks for.
    fn routing(
        self,
        mut reactor: Reactor,
        configuration: ProgramConfiguration,
    ) -> Result<(Routing, Option<ManagementThreads>), ServeError> {
        let clock = self.clock;
        let lists_alone = self.operators.replaces_discovery();
        let rollout = known_rollout(&configuration);
        let addresses = addresses(&configuration);
        let known = configuration.known.filter(|_| !lists_alone);
        let listed = known.as_ref().filter(|_| self.operators.has_threads());
        let listed: Option<Vec<HostRecord>> = listed.map(|known| {
            let hosts = known.targets.iter();
            hosts.map(|host| host.to_host_record()).collect()
        });
        let context = ThreadContext {
            log: self.log,
            clock,
            limits: &self.limits,
            router: &configuration.name,
            service_settings: &configuration.service,
            operations: configuration.transport.operations.keys().cloned().collect(),
        };
        let started = context.start_threads(&mut reactor, self.operators, listed, rollout)?;
        let mut routing = Routing::start(
            self.log.clone(),
            (self.limits, clock),
            reactor,
            (configuration.service, configuration.transport),
            addresses,
            configuration.seed,
        )
        .map_err(|source| ServeError::Listen {
            address: configuration.listen,
            source,
        })?;
        let started = started.map(|started| {
            let heartbeats = started.threads.heartbeats();
            routing.attach_management(started.inbox, heartbeats, !lists_alone);
            (started.snapshot, started.threads)
        });
        if let Some(known) = known {
            routing.restore_endpoint_list(&known);
        }
        if let Some(rollout) = rollout {
            routing.restore_rollout_status(rollout);
        }
        let threads = started.map(|(snapshot, threads)| {
            if let Some(snapshot) = &snapshot {
                routing.apply_revision(snapshot);
            }
            threads
        });
        routing.connect();
        Ok((routing, threads))
    }
}

/// The state of the rollout as last known.
fn known_rollout(configuration: &ProgramConfiguration) -> Option<RolloutStatus> {
    let platform = configuration.platform.as_ref()?;
    let fields = platform.news.as_ref()?;
    Some(fields.state().to_status(false))
}

fn addresses(configuration: &ProgramConfiguration) -> Addresses {
    Addresses {
        listen: configuration.listen,
        discovery: configuration.discovery,
        platform: configuration
            .platform
            .as_ref()
            .map(|platform| platform.address),
        peer_listen: configuration.peer_listen,
        peers: configuration.peers.clone(),
        peers_all: configuration.peers_all,
    }
}
