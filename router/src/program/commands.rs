//! Read-only sub-commands for operators.

use std::path::PathBuf;
use std::time::{Duration, UNIX_EPOCH};

use argh::FromArgs;
use kestreltide_datastore::{Author, Candidate, Datastore, Source};
use kestreltide_datastore::{
    Facts, HistoryLimits, Maximums, RevisionRecord, RuleSettings, ValidationErrors,
    exceeded_maximums,
};
use kestreltide_file_watch::parse::Parsed;
use kestreltide_file_watch::watch::{parse_files, read_and_parse_files};

use super::config::{self, ReadMode};
use super::operator;
use crate::management_threads::{PendingVersion, load};

/// check an operator file and the watched files that it names, and report their errors
#[derive(FromArgs)]
#[argh(subcommand, name = "check-operator")]
pub(super) struct CheckOperator {
    #[argh(positional)]
    file: PathBuf,
    /// the configuration file of the router that will use it; the files are then checked against its settings and
    /// memory limit as well
    #[argh(option, short = 'c')]
    config: Option<String>,
}

/// print all keys of an operator file with their effective values, defaults included
#[derive(FromArgs)]
#[argh(subcommand, name = "show-operator")]
pub(super) struct ShowOperator {
    #[argh(positional)]
    file: Option<PathBuf>,
}

/// print the revisions that a router has applied, and its last rejection with the reasons
#[derive(FromArgs)]
#[argh(subcommand, name = "revisions")]
pub(super) struct Revisions {
    /// the operator file that names the router's state directory (default: $KESTRELTIDE_OPERATOR)
    #[argh(option, short = 'o')]
    operator: Option<PathBuf>,
    /// the state directory, in place of an operator file that names it
    #[argh(option, short = 's')]
    state: Option<PathBuf>,
    /// print each value that this revision changed, before and after
    #[argh(option, short = 'd')]
    diff: Option<u64>,
    /// how many of the newest revisions to print (default: 20)
    #[argh(option, short = 'n', default = "20")]
    newest: usize,
}

/// print the trees of the published YANG models, or the text of one module
#[derive(FromArgs)]
#[argh(subcommand, name = "models")]
pub(super) struct Models {
    /// the name of the module whose text is printed
    #[argh(positional)]
    module: Option<String>,
}

impl Models {
    pub(super) fn run(&self) -> Result<(), String> {
        let schema = kestreltide_yang::published_schema().map_err(|error| error.to_string())?;
        let Some(name) = &self.module else {
            (0..schema.modules.len()).for_each(|module| {
                println!("{}", kestreltide_yang::tree_diagram::render(schema, module))
            });
            return Ok(());
        };
        let module_names: Vec<_> = schema
            .modules
            .iter()
            .map(|module| module.name.as_str())
            .collect();
        let found = schema.modules.iter().find(|module| module.name == *name);
        let found = found.ok_or_else(|| {
            format!(
                "module: no such module (given: {name}; taken: {})",
                module_names.join(", ")
            )
        })?;
        print!("{}", found.text);
        Ok(())
    }
}

impl CheckOperator {
    pub(super) fn run(&self) -> Result<(), String> {
        let settings = operator::load(&self.file)?;
        if let Some(file_watch) = &settings.file_watch {
            // Only the result is used; the digest of the content, which is returned with it, is for a watch.
            let version = match read_and_parse_files(&file_watch.watched, |contents| {
                parse_files(&file_watch.files, contents)
            })
            .0
            {
                Parsed::Complete(version) => version,
                Parsed::Mismatched(errors)
                | Parsed::Incomplete(errors)
                | Parsed::Invalid(errors) => {
                    return Err(errors.to_string());
                }
            };
            let rules = self.rules()?;
            exceeded_maximums(&version.tree, 0, &rules.maximums)
                .into_result()
                .map_err(|errors| errors.to_string())?;
            // With discovery, the files alone cannot be validated: they may set single leaves of hosts that only the
            // endpoint list describes, and this command does not have that list.
            if !file_watch.discovery {
                let mut store = Datastore::new(rules, HistoryLimits::default());
                let mut candidate = Candidate::new(store.in_force());
                candidate.tree = version.tree;
                let author = Author {
                    source: Source::Files,
                    name: String::new(),
                    version: String::new(),
                };
                let facts = Facts {
                    now: unix_now(),
                    discovery_received: true,
                    ..Facts::default()
                };
                store
                    .commit(&candidate, author, &facts)
                    .map_err(|errors: ValidationErrors| errors.to_string())?;
            }
        }
        // Operators match this text; it means that the files are valid.
        println!("{} is well", self.file.display());
        Ok(())
    }
}

impl CheckOperator {
    /// The rules by which the router with this configuration validates commits. Without a configuration, the limits on
    /// memory and on the weights of hosts in slow start are off, and the default maximums apply. The watched files
    /// contain no routes, so that the names of operations are not needed.
    fn rules(&self) -> Result<RuleSettings, String> {
        let Some(config) = &self.config else {
            return Ok(RuleSettings {
                operations: vec![],
                routers: 1,
                // Each host has its full capacity from its start, so that no weight overloads it.
                slow_start_initial_fraction: 1.0,
                slow_start_duration: 0.0,
                overload_multiple: f64::MAX,
                // Without a limit on memory.
                maximums: Maximums::default(),
            });
        };
        let text = config::load(Some(config.clone()))?;
        let configuration = config::read(&text, ReadMode::Start)?;
        let operations = configuration.transport.operations.keys().cloned().collect();
        Ok(RuleSettings::new(
            &configuration.service,
            operations,
            configuration.budget.operator_maximums(),
        ))
    }
}

impl ShowOperator {
    pub(super) fn run(&self) -> Result<(), String> {
        operator::show(self.file.as_deref()).map(|text| print!("{text}"))
    }
}

/// The current Unix time in seconds.
fn unix_now() -> f64 {
    UNIX_EPOCH
        .elapsed()
        .map_or(0.0, |since| since.as_secs_f64())
}

/// Formats a Unix time in seconds; `unknown` if it is out of range.
fn format_time(seconds: f64) -> String {
    let time = Duration::try_from_secs_f64(seconds).map(|since| UNIX_EPOCH + since);
    time.map_or_else(
        |_| "unknown".into(),
        |time| humantime::format_rfc3339_millis(time).to_string(),
    )
}

impl Revisions {
    pub(super) fn run(&self) -> Result<(), String> {
        let directory = match &self.state {
            Some(directory) => directory.clone(),
            None => super::load_operator_settings(&self.operator)?
                .state_directory
                .ok_or(
                    "no state directory: neither --state nor [datastore] state-directory names one",
                )?,
        };
        let state = load(&directory)
            .map_err(|error| error.to_string())?
            .ok_or_else(|| format!("{}: no state has been saved", directory.display()))?;
        let datastore = &state.datastore;
        if let Some(number) = self.diff {
            let numbers = || datastore.history.iter().map(|record| record.number);
            let record = datastore
                .history
                .iter()
                .find(|record| record.number == number)
                .ok_or_else(|| {
                    let (oldest, newest) =
                        (numbers().min().unwrap_or(0), numbers().max().unwrap_or(0));
                    format!("revision: is not held (given: {number}; taken: {oldest} to {newest})")
                })?;
            println!("{}", format_record(record));
            record
                .changes
                .iter()
                .for_each(|change| println!("  {change}"));
            return Ok(());
        }
        // Operators match these texts. "taken by the loop" is the number of revisions that the event loop has applied,
        // and "its longest pause" the time that the slowest of them took.
        println!(
            "router {}: revision {} in force, {} taken by the loop since its start, its longest pause {:.3} ms; \
             as of {}",
            state.router,
            datastore.revision,
            state.revisions_applied,
            1e3 * state.longest_apply_time,
            format_time(state.written_at)
        );
        let newest = datastore.history.iter().rev().take(self.newest);
        newest.for_each(|record| println!("{}", format_record(record)));
        if let Some(PendingVersion {
            since,
            author,
            errors,
        }) = &state.pending_version
        {
            // Also printed for files of different generations, which are not yet a version that can be held back.
            println!("held back since {}: {author}", format_time(*since));
            errors
                .to_string()
                .lines()
                .for_each(|error| println!("  {error}"));
        }
        match datastore.rejections.back() {
            Some(last) => {
                println!(
                    "last refused {}: {}; revision {} stayed",
                    format_time(last.at),
                    last.author,
                    last.revision
                );
                last.errors
                    .to_string()
                    .lines()
                    .for_each(|error| println!("  {error}"));
            }
            None => println!("nothing was refused"),
        }
        Ok(())
    }
}

/// The line that describes a revision.
fn format_record(record: &RevisionRecord) -> String {
    let RevisionRecord {
        number,
        based_on,
        at,
        author,
        changes,
    } = record;
    format!(
        "{number:>6}  {}  {:>6} leaves  {author} (based on {based_on})",
        format_time(*at),
        changes.len()
    )
}
