//! The review cases. `review-case NAME ROOT FOLDER` plays one and writes `record.txt` into the folder; with
//! `TROUBLE=0` in the environment it does the same without the disruption.

mod config;
mod foreign;
mod large;
mod twice;
mod support;

use std::panic::{self, AssertUnwindSafe};
use std::path::PathBuf;
use std::process;

use support::{Record, Verdict};

/// What a case gets.
pub struct Run {
    /// The root of the repository.
    pub root: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, root, folder] = arguments.as_slice() else {
        eprintln!("usage: review-case NAME ROOT FOLDER");
        process::exit(2);
    };
    let run = Run {
        root: PathBuf::from(root),
        record: Record::create(&PathBuf::from(folder).join("record.txt")),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let played = panic::catch_unwind(AssertUnwindSafe(|| match name.as_str() {
        "foreign" => foreign::play(&run),
        "large" => large::play(&run),
        "twice" => twice::play(&run),
        _ => Err(format!("no case {name}")),
    }));
    let result = played.unwrap_or(Err("the test itself failed".into()));
    let verdict = match result {
        Ok(verdict) => verdict,
        Err(why) => {
            run.record.line(&format!("could not run: {why}"));
            eprintln!("could not run: {why}");
            Verdict::CouldNotRun
        }
    };
    run.record.line(&format!("verdict: {verdict:?}"));
    println!("{name}: {verdict:?}");
    process::exit(verdict.exit_code());
}
