//! The sub-command `serve`, which runs a router until SIGTERM or SIGINT.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use kestreltide::interface::RolloutStatus;
use kestreltide_datastore::HostRecord;
use slog::{Logger, error, info, warn};
use thiserror::Error;

use super::config::{self, ConfigError, ProgramConfiguration, ReadMode, StartupOnly};
use super::logs;
use crate::limits::Limits;
use crate::management_threads::{ManagementThreads, OperatorSettings, StartError, ThreadContext};
use crate::routing::{Addresses, NextStep, Routing};
use crate::transport::{Clock, Reactor};

/// run a router until SIGTERM or SIGINT (the default without a sub-command)
#[derive(FromArgs, Default)]
#[argh(subcommand, name = "serve")]
pub(super) struct Serve {
    /// the configuration file (default: $PROXY_CONFIG)
    #[argh(option, short = 'c')]
    config: Option<String>,
    /// how much to log: error, warn, info or debug (default: info)
    #[argh(option, short = 'l', from_str_fn(log_level))]
    log: Option<slog::Level>,
    /// the operator file (default: $KESTRELTIDE_OPERATOR; without one, all that it configures is off)
    #[argh(option, short = 'o')]
    operator: Option<PathBuf>,
}

fn log_level(text: &str) -> Result<slog::Level, String> {
    text.parse()
        .map_err(|()| format!("{text} is not a log level: error, warn, info or debug"))
}

/// An error that keeps the router from starting or ends it.
#[derive(Debug, Error)]
pub(super) enum ServeError {
    /// The event loop cannot be created.
    #[error("the event loop cannot start: {0}")]
    EventLoopStart(io::Error),
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator file cannot be read or is invalid.
    #[error("{0}")]
    OperatorFile(String),
    /// The management threads cannot be started.
    #[error(transparent)]
    ManagementThreads(#[from] StartError),
    /// The router cannot listen on the address for clients.
    #[error("listen: {address} cannot be listened on: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Polling the sockets failed.
    #[error("the event loop failed: {0}")]
    EventLoop(io::Error),
}

impl Serve {
    /// Serves until SIGTERM or SIGINT, or until something fails.
    pub(super) fn run(&self) -> Result<(), ServeError> {
        let reactor = Reactor::start().map_err(ServeError::EventLoopStart)?;
        let text = config::load(self.config.clone())?;
        let configuration = config::read(&text, ReadMode::Start)?;
        let operator_settings = self.operator_settings()?;
        let clock = Clock::start();
        let limits = configuration.limits();
        let level = self.log.unwrap_or(slog::Level::Info);
        let (log, guard) = logs::start(&configuration.name, level, &limits);
        info!(log, "starting"; "version" => env!("CARGO_PKG_VERSION"),
            "routers" => configuration.service.routers, "me" => configuration.service.router_id.0);
        let startup_only = StartupOnly::of(&configuration);
        let startup = RouterStartup {
            log: &log,
            clock,
            limits,
            operator_settings: &operator_settings,
        };
        let (mut routing, threads) = startup.start(reactor, configuration)?;
        let result = loop {
            match routing.run_iteration() {
                Ok(NextStep::Continue) => {}
                Ok(NextStep::ReloadConfiguration) => {
                    self.reload(&log, &mut routing, &startup_only);
                    threads.iter().for_each(ManagementThreads::poll_files);
                    self.check_operator_file(&log, &operator_settings);
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

    /// Loads the operator file that the command line or the environment names.
    fn operator_settings(&self) -> Result<OperatorSettings, ServeError> {
        super::load_operator_settings(&self.operator).map_err(ServeError::OperatorFile)
    }

    /// Reads the configuration again. If that fails, the router keeps serving with the configuration that it has.
    fn reload(&self, log: &Logger, routing: &mut Routing, startup_only: &StartupOnly) {
        if let Err(error) = self.apply_configuration(log, routing, startup_only) {
            warn!(log, "reloaded configuration rejected"; "why" => error.to_string());
        }
    }

    /// Applies the fields that may change while the program runs, if the whole configuration is valid.
    fn apply_configuration(
        &self,
        log: &Logger,
        routing: &mut Routing,
        startup_only: &StartupOnly,
    ) -> Result<(), ConfigError> {
        let text = config::load(self.config.clone())?;
        let mode = ReadMode::Reload {
            memory_mb: startup_only.memory_mb(),
        };
        let configuration = config::read(&text, mode)?;
        startup_only.check(&configuration)?;
        let platform = configuration.platform.map(|platform| platform.address);
        info!(log, "configuration reloaded"; "discovery" => %configuration.discovery,
            "platform" => platform.map_or("none".into(), |at| at.to_string()));
        routing.change_addresses(configuration.discovery, platform);
        Ok(())
    }

    /// Logs a warning if the operator file differs from the settings in use: they are read only at the start.
    fn check_operator_file(&self, log: &Logger, in_use: &OperatorSettings) {
        if !matches!(self.operator_settings(), Ok(current) if current == *in_use) {
            warn!(log, "operator file changed or invalid, a restart is needed");
        }
    }
}

/// What the start of a router needs in addition to its configuration.
struct RouterStartup<'a> {
    log: &'a Logger,
    clock: Clock,
    limits: Limits,
    operator_settings: &'a OperatorSettings,
}

impl RouterStartup<'_> {
    /// Starts the management threads that the operator file configures, and the router.
    fn start(
        self,
        mut reactor: Reactor,
        configuration: ProgramConfiguration,
    ) -> Result<(Routing, Option<ManagementThreads>), ServeError> {
        let clock = self.clock;
        let files_replace_discovery = self.operator_settings.replaces_discovery();
        let rollout = known_rollout(&configuration);
        let addresses = addresses(&configuration);
        // The last known endpoint list of discovery. It is not used if the watched files alone list the hosts.
        let known = configuration.known.filter(|_| !files_replace_discovery);
        let known_hosts = known
            .as_ref()
            .filter(|_| self.operator_settings.has_threads());
        let known_hosts: Option<Vec<HostRecord>> = known_hosts.map(|known| {
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
        let started =
            context.start_threads(&mut reactor, self.operator_settings, known_hosts, rollout)?;
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
            routing.attach_management(started.inbox, heartbeats, !files_replace_discovery);
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

/// The last known state of the rollout, from the configuration.
fn known_rollout(configuration: &ProgramConfiguration) -> Option<RolloutStatus> {
    let platform = configuration.platform.as_ref()?;
    let fields = platform.news.as_ref()?;
    Some(fields.state().to_status(false))
}

/// The addresses that the router listens on and connects to.
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
