//! The command line, the configuration, the log and the loop.

mod commands;
mod config;
mod logs;
pub mod operator;
mod unique;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use kestreltide_datastore::HostRecord;
use slog::{Logger, error, info, warn};

use crate::limits::Limits;
use crate::management_threads::{ManagementThreads, OperatorSettings, ThreadContext};
use crate::routing::{Addresses, Routing, Turn};
use crate::transport::{Clock, Reactor};
use config::{Fixed, Told, When};

/// kestreltide splits invocations between an earlier and a trial build of a service, and votes the trial on
/// or back.
#[derive(FromArgs)]
struct Line {
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    CheckConfig(CheckConfig),
    ShowLimits(ShowLimits),
    Models(commands::Models),
    CheckOperator(commands::CheckOperator),
    ShowOperator(commands::ShowOperator),
    Revisions(commands::Revisions),
    Version(Version),
}

/// run a router until it is told to stop (also what happens without a sub-command)
#[derive(FromArgs, Default)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration file (default: $PROXY_CONFIG)
    #[argh(option, short = 'c')]
    config: Option<String>,
    /// how much to log: error, warn, info or debug (default: info)
    #[argh(option, short = 'l', from_str_fn(level))]
    log: Option<slog::Level>,
    /// the operator file (default: $KESTRELTIDE_OPERATOR; without one nothing of it is on)
    #[argh(option, short = 'o')]
    operator: Option<PathBuf>,
}

/// read the configuration as serve would, say what is wrong with it, and end
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// the configuration file (default: $PROXY_CONFIG)
    #[argh(option, short = 'c')]
    config: Option<String>,
}

/// print the limits that a configuration leads to
#[derive(FromArgs)]
#[argh(subcommand, name = "show-limits")]
struct ShowLimits {
    /// the configuration file (default: $PROXY_CONFIG)
    #[argh(option, short = 'c')]
    config: Option<String>,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

pub fn main() -> ExitCode {
    let line: Line = argh::from_env();
    let done = match line.command.unwrap_or(Command::Serve(Serve::default())) {
        Command::Serve(serve) => run(&serve),
        Command::CheckConfig(CheckConfig { config }) => config::load(config).and_then(|text| {
            config::read(&text, When::Start).map(|told| println!("{} is well", told.name))
        }),
        Command::ShowLimits(ShowLimits { config }) => config::load(config).and_then(|text| {
            config::read(&text, When::Start).map(|told| println!("{:#?}", limits(&told)))
        }),
        Command::Models(models) => models.run(),
        Command::CheckOperator(check) => check.run(),
        Command::ShowOperator(show) => show.run(),
        Command::Revisions(revisions) => revisions.run(),
        Command::Version(Version {}) => {
            println!("kestreltide {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("kestreltide: {why}");
            ExitCode::FAILURE
        }
    }
}

fn level(text: &str) -> Result<slog::Level, String> {
    text.parse()
        .map_err(|()| format!("{text} is no level: error, warn, info or debug"))
}

fn limits(told: &Told) -> Limits {
    Limits::new(
        told.limits.sockets,
        told.limits.memory_mb,
        &told.budget,
        &told.terms,
        &told.transport,
    )
}

fn run(serve: &Serve) -> Result<(), String> {
    let mut reactor = Reactor::start().map_err(|e| format!("the event loop cannot start: {e}"))?;
    let text = config::load(serve.config.clone())?;
    let told = config::read(&text, When::Start)?;
    let operators = operators(&serve.operator)?;
    let clock = Clock::start();
    let limits = limits(&told);
    let fixed = Fixed::of(&told);
    let (log, guard) = logs::start(&told.name, serve.log.unwrap_or(slog::Level::Info), &limits);
    info!(log, "starting"; "version" => env!("CARGO_PKG_VERSION"), "routers" => told.terms.routers,
        "me" => told.terms.me.0);
    let addresses = Addresses {
        listen: told.listen,
        discovery: told.discovery,
        platform: told.platform.as_ref().map(|platform| platform.address),
        peer_listen: told.peer_listen,
        peers: told.peers,
        peers_all: told.peers_all,
    };
    let alone = operators.replaces_discovery();
    let known = told.known.filter(|_| !alone);
    let news = told
        .platform
        .as_ref()
        .and_then(|platform| platform.news.as_ref());
    let news = news.map(|news| news.state().to_status(false));
    let known_to_threads = known.as_ref().filter(|_| operators.has_threads());
    let listed: Option<Vec<HostRecord>> =
        known_to_threads.map(|known| known.targets.iter().map(|t| t.to_host_record()).collect());
    let operations = told.transport.operations.keys().cloned().collect();
    let context = ThreadContext {
        log: &log,
        clock,
        limits: &limits,
        router: &told.name,
        service_settings: &told.terms,
        operations,
    };
    let started_threads = context
        .start_threads(&mut reactor, &operators, listed, news)
        .map_err(|error| error.to_string())?;
    let terms = (told.terms, told.transport);
    let started = Routing::start(
        log.clone(),
        (limits, clock),
        reactor,
        terms,
        addresses,
        told.seed,
    );
    let mut routing =
        started.map_err(|e| format!("listen: {} cannot be listened on: {e}", told.listen))?;
    let started_threads = started_threads.map(|started| {
        routing.attach_management(started.inbox, started.threads.heartbeats(), !alone);
        (started.snapshot, started.threads)
    });
    if let Some(known) = known {
        routing.restore_endpoint_list(&known);
    }
    if let Some(news) = news {
        routing.restore_rollout_status(news);
    }
    let management_threads = started_threads.map(|(snapshot, threads)| {
        if let Some(snapshot) = snapshot {
            routing.apply_revision(&snapshot);
        }
        threads
    });
    routing.begin();
    let ended = loop {
        match routing.turn() {
            Ok(Turn::Next) => {}
            Ok(Turn::Reread) => {
                // A router that serves goes on by what it has.
                if let Err(why) = reread(&log, &mut routing, serve, &fixed) {
                    warn!(log, "the configuration read again is not taken"; "why" => why);
                }
                management_threads
                    .iter()
                    .for_each(ManagementThreads::poll_files);
                if self::operators(&serve.operator).as_ref() != Ok(&operators) {
                    warn!(
                        log,
                        "the operator file has changed or is not well, only a restart takes it"
                    );
                }
            }
            Ok(Turn::Over) => break Ok(()),
            Err(e) => break Err(format!("the event loop failed: {e}")),
        }
    };
    drop(routing);
    if let Some(threads) = management_threads {
        threads.shut_down();
    }
    match &ended {
        Ok(()) => info!(log, "stopped"),
        Err(why) => error!(log, "broken"; "why" => why),
    }
    drop(guard);
    ended
}

fn operators(named: &Option<PathBuf>) -> Result<OperatorSettings, String> {
    let path = named
        .clone()
        .or_else(|| std::env::var_os("KESTRELTIDE_OPERATOR").map(PathBuf::from));
    path.map_or_else(
        || Ok(OperatorSettings::default()),
        |path| operator::load(&path),
    )
}

/// Takes from the configuration what may change while the program runs, if all of it is well.
fn reread(log: &Logger, routing: &mut Routing, serve: &Serve, fixed: &Fixed) -> Result<(), String> {
    let text = config::load(serve.config.clone())?;
    let told = config::read(
        &text,
        When::Again {
            memory_mb: fixed.memory_mb(),
        },
    )?;
    fixed.check(&told)?;
    let platform = told.platform.map(|platform| platform.address);
    info!(log, "the configuration was read again"; "discovery" => %told.discovery,
        "platform" => platform.map_or("none".into(), |at| at.to_string()));
    routing.change_addresses(told.discovery, platform);
    Ok(())
}
