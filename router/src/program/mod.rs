//! The command line, the configuration, the log and the loop.

mod commands;
mod config;
mod logs;
pub mod operator;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

use argh::FromArgs;
use kestreltide::interface::{ServiceTerms, StageNews};
use kestreltide_datastore::{Facts, Listed, RuleTerms, Snapshot};
use kestreltide_watch::watch::wakes;
use slog::{Logger, error, info, warn};

use crate::fronts::{Ask, Keeper, KeeperTerms, supervise};
use crate::limits::Limits;
use crate::routing::{FrontBox, Parties, Pulse, Routing, Turn};
use crate::transport::{Clock, Net};
use config::{Fixed, Told, When};
use operator::OperatorTerms;

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
        Command::CheckConfig(CheckConfig { config }) => config::load(config)
            .and_then(|text| config::read(&text, When::Start).map(|told| println!("{} is well", told.name))),
        Command::ShowLimits(ShowLimits { config }) => config::load(config)
            .and_then(|text| config::read(&text, When::Start).map(|told| println!("{:#?}", limits(&told)))),
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
    text.parse().map_err(|()| format!("{text} is no level: error, warn, info or debug"))
}

fn limits(told: &Told) -> Limits {
    Limits::new(told.limits.sockets, told.limits.memory_mb, &told.terms, &told.transport)
}

fn run(serve: &Serve) -> Result<(), String> {
    let mut net = Net::start().map_err(|e| format!("the event loop cannot start: {e}"))?;
    let text = config::load(serve.config.clone())?;
    let told = config::read(&text, When::Start)?;
    let operators = operators(&serve.operator)?;
    let clock = Clock::start();
    let limits = limits(&told);
    let fixed = Fixed::of(&told);
    let (log, guard) = logs::start(&told.name, serve.log.unwrap_or(slog::Level::Info), &limits);
    info!(log, "starting"; "version" => env!("CARGO_PKG_VERSION"), "routers" => told.terms.routers,
        "me" => told.terms.me.0);
    let parties = Parties {
        listen: told.listen,
        discovery: told.discovery,
        platform: told.platform.as_ref().map(|platform| platform.address),
        peer_listen: told.peer_listen,
        peers: told.peers,
        peers_all: told.peers_all,
    };
    let alone = operators.watching.as_ref().is_some_and(|watching| !watching.discovery);
    let known = told.known.filter(|_| !alone);
    let news = told.platform.as_ref().and_then(|platform| platform.news.as_ref());
    let news = news.map(|news| news.state().news(false));
    let listed: Option<Vec<Listed>> =
        known.as_ref().map(|known| known.targets.iter().map(|t| t.listed()).collect());
    let operations = told.transport.operations.keys().cloned().collect();
    let (router, terms) = (&told.name, &told.terms);
    let open = Opening { log: &log, clock, limits: &limits, router, terms, operations };
    let joined = open.fronts(&mut net, &operators, listed, news)?;
    let terms = (told.terms, told.transport);
    let started = Routing::start(log.clone(), (limits, clock), net, terms, parties, told.seed);
    let mut routing = started.map_err(|e| format!("listen: {} cannot be listened on: {e}", told.listen))?;
    let fronts = joined.map(|(open, first, fronts)| {
        routing.join(open, fronts.pulses.clone(), !alone);
        (first, fronts)
    });
    if let Some(known) = known {
        routing.remember(&known);
    }
    if let Some(news) = news {
        routing.remember_state(news);
    }
    let fronts = fronts.map(|(first, fronts)| {
        first.iter().for_each(|first| routing.take_revision(first));
        fronts
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
                fronts.iter().for_each(Fronts::look);
                if self::operators(&serve.operator).as_ref() != Ok(&operators) {
                    warn!(log, "the operator file has changed or is not well, only a restart takes it");
                }
            }
            Ok(Turn::Over) => break Ok(()),
            Err(e) => break Err(format!("the event loop failed: {e}")),
        }
    };
    drop(routing);
    if let Some(fronts) = fronts {
        fronts.end();
    }
    match &ended {
        Ok(()) => info!(log, "stopped"),
        Err(why) => error!(log, "broken"; "why" => why),
    }
    drop(guard);
    ended
}

fn operators(named: &Option<PathBuf>) -> Result<OperatorTerms, String> {
    let path = named.clone().or_else(|| std::env::var_os("KESTRELTIDE_OPERATOR").map(PathBuf::from));
    path.map_or_else(|| Ok(OperatorTerms::default()), |path| operator::load(&path))
}

/// The threads beside the loop, as the program holds them.
struct Fronts {
    asks: SyncSender<Ask>,
    wake: SyncSender<()>,
    keeper: JoinHandle<u32>,
    pulses: Vec<Pulse>,
}

/// Seconds that the program waits for the keeper to save what it has.
const LAST_SAVE: f64 = 1.0;

impl Fronts {
    /// The watched files are looked at now, whatever notices say.
    fn look(&self) {
        let _ = self.wake.try_send(());
    }

    fn end(self) {
        let _ = self.asks.try_send(Ask::Stop);
        let until = std::time::Instant::now() + Duration::from_secs_f64(LAST_SAVE);
        while !self.keeper.is_finished() && std::time::Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

struct Opening<'a> {
    log: &'a Logger,
    clock: Clock,
    limits: &'a Limits,
    router: &'a str,
    terms: &'a ServiceTerms,
    operations: Vec<String>,
}

type Joined = (FrontBox, Option<Arc<Snapshot>>, Fronts);

impl Opening<'_> {
    /// Starts the threads that the operator file asks for, with what they start from; none where it asks for none.
    fn fronts(
        &self, net: &mut Net, operators: &OperatorTerms, listed: Option<Vec<Listed>>, news: Option<StageNews>,
    ) -> Result<Option<Joined>, String> {
        let OperatorTerms { folder, history, watching } = operators.clone();
        let Some(watching) = watching else { return Ok(None) };
        let failed = |e: std::io::Error| format!("a thread cannot be started: {e}");
        let (open, post, view) = FrontBox::open(net, self.limits.posted).map_err(failed)?;
        let rules = RuleTerms::new(self.terms, self.operations.clone());
        let terms = KeeperTerms { router: self.router.into(), rules, history, folder };
        let (log, clock) = (self.log.clone(), self.clock);
        let mut keeper = Keeper::start(log.clone(), clock, terms)?;
        let heard = listed.is_some() || !watching.discovery;
        let discovery = watching.discovery.then(|| listed.unwrap_or_default().into());
        let facts = Facts { now: clock.now(), discovery, heard, news };
        let (first, known) = keeper.begin(Some(&watching), &facts)?;
        let ((asks, asked), (wake, nudged)) = (sync_channel(self.limits.posted), wakes());
        let [kept, watched] = [Pulse::new("keeper"), Pulse::new("watch")];
        let pulses = vec![kept.clone(), watched.clone()];
        let keeper = supervise(log.clone(), "keeper", move || keeper.run(&asked, &view, &post, &kept))
            .map_err(failed)?;
        let (tell, wakes) = (asks.clone(), wake.clone());
        let mut known = Some(known).flatten();
        supervise(log, "watch", move || {
            let terms = &watching.watched;
            // After a death everything is told anew; what is in force already changes nothing.
            let alive = || watched.beat(clock.now());
            kestreltide_watch::run(terms, known.take(), &nudged, wakes.clone(), alive, |told| {
                tell.send(Ask::Files(told)).is_ok()
            });
            watched.beat(0.0);
        })
        .map_err(failed)?;
        Ok(Some((open, first, Fronts { asks, wake, keeper, pulses })))
    }
}

/// Takes from the configuration what may change while the program runs, if all of it is well.
fn reread(log: &Logger, routing: &mut Routing, serve: &Serve, fixed: &Fixed) -> Result<(), String> {
    let text = config::load(serve.config.clone())?;
    let told = config::read(&text, When::Again)?;
    fixed.check(&told)?;
    let platform = told.platform.map(|platform| platform.address);
    info!(log, "the configuration was read again"; "discovery" => %told.discovery,
        "platform" => platform.map_or("none".into(), |at| at.to_string()));
    routing.moved(told.discovery, platform);
    Ok(())
}
