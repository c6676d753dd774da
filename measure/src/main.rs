//! `kestreltide-measure NAME` runs one measurement per sub-command. Each runs on loopback for a limited time, prints a
//! table and then one last line, `NAME: key=value ... ok` or `NAME: key=value ... short: KEYS`. The exit code is not 0
//! where a requirement is missed.

mod capacity;
mod demo;
mod fleet;
mod log_lines;
mod report;
mod rollouts;
mod router_process;
mod soak;
mod watched_files;

use std::process::ExitCode;

use argh::FromArgs;

/// The exit code for arguments or input files that cannot be used.
const INVALID_INPUT_EXIT_CODE: u8 = 2;

/// Measurements of kestreltide on loopback.
#[derive(FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    measurement: Measurement,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Measurement {
    WatchedFiles(watched_files::WatchedFiles),
    Demo(demo::Demo),
    Fleet(fleet::CountFleet),
    Capacity(capacity::Capacity),
    Rollouts(rollouts::CountRollouts),
    Soak(soak::Soak),
}

fn main() -> ExitCode {
    // The routers under measurement are processes of this same binary, so that measurement and router come from one
    // build.
    if std::env::var_os(router_process::RUN_AS_ROUTER_VARIABLE).is_some() {
        return kestreltide_router::program::main();
    }
    let command_line: CommandLine = argh::from_env();
    let passed = match command_line.measurement {
        Measurement::WatchedFiles(measurement) => measurement.run(),
        Measurement::Demo(demo) => demo.run(),
        Measurement::Fleet(count) => count.run(),
        Measurement::Capacity(capacity) => capacity.run(),
        Measurement::Rollouts(count) => match count.run() {
            Ok(()) => true,
            Err(error) => return report_invalid_input(&error),
        },
        Measurement::Soak(soak) => match soak.run() {
            Ok(passed) => passed,
            Err(error) => return report_invalid_input(&error),
        },
    };
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Prints the error to standard error.
fn report_invalid_input(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("kestreltide-measure: {error}");
    ExitCode::from(INVALID_INPUT_EXIT_CODE)
}
