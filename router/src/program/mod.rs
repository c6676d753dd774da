//! The command line, the configuration, the log and the loop.

mod commands;
mod config;
mod logs;
pub mod operator;
mod serve;
mod unique;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::management_threads::OperatorSettings;
use config::{ConfigError, ProgramConfiguration, ReadTime};
use serve::Serve;

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

/// Runs the sub-command of the command line.
pub fn main() -> ExitCode {
    let line: Line = argh::from_env();
    let result = run(line.command.unwrap_or(Command::Serve(Serve::default())));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kestreltide: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(serve) => serve.run().map_err(|error| error.to_string()),
        Command::CheckConfig(CheckConfig { config }) => {
            with_configuration(config, |configuration| {
                println!("{} is well", configuration.name);
            })?;
            Ok(())
        }
        Command::ShowLimits(ShowLimits { config }) => {
            with_configuration(config, |configuration| {
                println!("{:#?}", configuration.limits());
            })?;
            Ok(())
        }
        Command::Models(models) => models.run(),
        Command::CheckOperator(check) => check.run(),
        Command::ShowOperator(show) => show.run(),
        Command::Revisions(revisions) => revisions.run(),
        Command::Version(Version {}) => {
            println!("kestreltide {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

/// Reads the configuration as a router would at its start.
fn with_configuration(
    path: Option<String>,
    show: impl FnOnce(&ProgramConfiguration),
) -> Result<(), ConfigError> {
    let text = config::load(path)?;
    show(&config::read(&text, ReadTime::Start)?);
    Ok(())
}

/// What the operator file says that the command line or else the environment names.
fn operators(named: &Option<PathBuf>) -> Result<OperatorSettings, String> {
    let path = named
        .clone()
        .or_else(|| std::env::var_os("KESTRELTIDE_OPERATOR").map(PathBuf::from));
    path.map_or_else(
        || Ok(OperatorSettings::default()),
        |path| operator::load(&path),
    )
}
