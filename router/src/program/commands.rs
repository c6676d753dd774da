//! Commands for operators that look and change nothing.

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

use super::config::{self, ReadTime};
use super::operator;
use crate::management_threads::{PendingVersion, load};

/// say all that is wrong with an operator file and the files it names, and end
#[derive(FromArgs)]
#[argh(subcommand, name = "check-operator")]
pub(super) struct CheckOperator {
    #[argh(positional)]
    file: PathBuf,
    /// the configuration of a router that it is for: what its terms and memory bear is checked too
    #[argh(option, short = 'c')]
    config: Option<String>,
}

/// print what an operator file leads to, with defaults
#[derive(FromArgs)]
#[argh(subcommand, name = "show-operator")]
pub(super) struct ShowOperator {
    #[argh(positional)]
    file: Option<PathBuf>,
}

/// print the revisions that a router has taken, and why it did not take others
#[derive(FromArgs)]
#[argh(subcommand, name = "revisions")]
pub(super) struct Revisions {
    /// the operator file that names the router's state directory (default: $KESTRELTIDE_OPERATOR)
    #[argh(option, short = 'o')]
    operator: Option<PathBuf>,
    /// the state directory itself
    #[argh(option, short = 's')]
    state: Option<PathBuf>,
    /// show what this revision changed, leaf by leaf
    #[argh(option, short = 'd')]
    diff: Option<u64>,
    /// how many of the newest revisions to print (default: 20)
    #[argh(option, short = 'n', default = "20")]
    newest: usize,
}

/// print the published models: their tree, or one whole
#[derive(FromArgs)]
#[argh(subcommand, name = "models")]
pub(super) struct Models {
    /// a module's name: its text
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
        let known: Vec<_> = schema
            .modules
            .iter()
            .map(|module| module.name.as_str())
            .collect();
        let found = schema.modules.iter().find(|module| module.name == *name);
        let found = found.ok_or_else(|| {
            format!(
                "module: no such module (given: {name}; taken: {})",
                known.join(", ")
            )
        })?;
        print!("{}", found.text);
        Ok(())
    }
}

impl CheckOperator {
    pub(super) fn run(&self) -> Result<(), String> {
        let terms = operator::load(&self.file)?;
        if let Some(watching) = &terms.file_watch {
            let version = match read_and_parse_files(&watching.watched, |contents| {
                parse_files(&watching.files, contents)
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
            if !watching.discovery {
                let mut store = Datastore::new(rules, HistoryLimits::default());
                let mut candidate = Candidate::new(store.in_force());
                candidate.tree = version.tree;
                let author = Author {
                    source: Source::Files,
                    name: String::new(),
                    version: String::new(),
                };
                let facts = Facts {
                    now: now(),
                    discovery_received: true,
                    ..Facts::default()
                };
                store
                    .commit(&candidate, author, &facts)
                    .map_err(|errors: ValidationErrors| errors.to_string())?;
            }
        }
        println!("{} is well", self.file.display());
        Ok(())
    }
}

impl CheckOperator {
    /// As a router that starts with it would check it; without its configuration, as the most lenient one.
    fn rules(&self) -> Result<RuleSettings, String> {
        let Some(config) = &self.config else {
            return Ok(RuleSettings {
                operations: vec![],
                routers: 1,
                slow_start_initial_fraction: 1.0,
                slow_start_duration: 0.0,
                overload_multiple: f64::MAX,
                maximums: Maximums::default(),
            });
        };
        let text = config::load(Some(config.clone()))?;
        let configuration = config::read(&text, ReadTime::Start)?;
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

fn now() -> f64 {
    UNIX_EPOCH
        .elapsed()
        .map_or(0.0, |since| since.as_secs_f64())
}

fn time(at: f64) -> String {
    let at = Duration::try_from_secs_f64(at).map(|since| UNIX_EPOCH + since);
    at.map_or_else(
        |_| "unknown".into(),
        |at| humantime::format_rfc3339_millis(at).to_string(),
    )
}

impl Revisions {
    pub(super) fn run(&self) -> Result<(), String> {
        let folder = match &self.state {
            Some(folder) => folder.clone(),
            None => super::operators(&self.operator)?.state_directory.ok_or(
                "no state directory: neither --state nor [datastore] state-directory names one",
            )?,
        };
        let remembered = load(&folder)
            .map_err(|error| error.to_string())?
            .ok_or_else(|| format!("{}: no revision is remembered", folder.display()))?;
        let memory = &remembered.datastore;
        if let Some(number) = self.diff {
            let held = || memory.history.iter().map(|record| record.number);
            let found = memory
                .history
                .iter()
                .find(|record| record.number == number)
                .ok_or_else(|| {
                    let (least, most) = (held().min().unwrap_or(0), held().max().unwrap_or(0));
                    format!("revision: is not held (given: {number}; taken: {least} to {most})")
                })?;
            println!("{}", line(found));
            found
                .changes
                .iter()
                .for_each(|change| println!("  {change}"));
            return Ok(());
        }
        println!(
            "router {}: revision {} in force, {} taken by the loop since its start, its longest pause {:.3} ms; \
             as of {}",
            remembered.router,
            memory.revision,
            remembered.revisions_applied,
            1e3 * remembered.longest_apply_time,
            time(remembered.written_at)
        );
        let newest = memory.history.iter().rev().take(self.newest);
        newest.for_each(|record| println!("{}", line(record)));
        if let Some(PendingVersion {
            since,
            author,
            errors,
        }) = &remembered.pending_version
        {
            println!("held back since {}: {author}", time(*since));
            errors
                .to_string()
                .lines()
                .for_each(|error| println!("  {error}"));
        }
        match memory.rejections.back() {
            Some(last) => {
                println!(
                    "last refused {}: {}; revision {} stayed",
                    time(last.at),
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

fn line(record: &RevisionRecord) -> String {
    let RevisionRecord {
        number,
        based_on,
        at,
        author,
        changes,
    } = record;
    format!(
        "{number:>6}  {}  {:>6} leaves  {author} (based on {based_on})",
        time(*at),
        changes.len()
    )
}
