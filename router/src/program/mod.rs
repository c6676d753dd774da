//! The program: its command line and sub-commands, its configuration and its log.

mod commands;
mod config;
mod logs;
pub mod operator;
mod serve;
mod unique_keys;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::management_threads::OperatorSettings;
use config::{ConfigError, ProgramConfiguration, ReadMode};
use serve::Serve;

/// kestreltide splits requests between the baseline and the canary build of a service, and votes to promote
/// the canary or to roll it back.
#[derive(FromArgs)]
struct CommandLine {
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

/// check a configuration as serve does at its start, and report the first error
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// the configuration file (default: $PROXY_CONFIG)
    #[argh(option, short = 'c')]
    config: Option<String>,
}

/// print the limits that follow from a configuration
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

/// Runs the sub-command that the command line names, `serve` by default.
pub fn main() -> ExitCode {
    let command_line: CommandLine = argh::from_env();
    let result = run(command_line
        .command
        .unwrap_or(Command::Serve(Serve::default())));
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
                // Operators match this text; it means that the configuration is valid.
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

/// Reads the configuration as a router does at its start, and passes it to `show`.
fn with_configuration(
    path: Option<String>,
    show: impl FnOnce(&ProgramConfiguration),
) -> Result<(), ConfigError> {
    let text = config::load(path)?;
    show(&config::read(&text, ReadMode::Start)?);
    Ok(())
}

/// Loads the operator file at `path` or else at `$KESTRELTIDE_OPERATOR`; the defaults if neither names a file.
fn load_operator_settings(path: &Option<PathBuf>) -> Result<OperatorSettings, String> {
    let path = path
        .clone()
        .or_else(|| std::env::var_os("KESTRELTIDE_OPERATOR").map(PathBuf::from));
    path.map_or_else(
        || Ok(OperatorSettings::default()),
        |path| operator::load(&path),
    )
}
