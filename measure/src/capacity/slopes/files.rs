//! Watched files of operators: what one version costs by the hosts that stand in the files, and what the revisions
//! that are kept cost.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

use kestreltide_testkit::RouterProcess;
use tempfile::TempDir;

use crate::router_process;

use super::growth::{By, Figure, Growth, Role, at_all_sizes, growths};
use super::plan;
use super::site::{config_alone, cpu_of, host_name, memory_of, wait, wait_ready};
use super::sizes::Sizes;

/// A version is taken after this time without a change, in seconds.
const SETTLE_S: f64 = 0.001;
const GUARDS: &str = "[guards]\nlargest-removal = 1\nleast-hosts-zone = 0\nleast-hosts-build = 0\n";
/// Hosts of the measurement of revisions.
const HOSTS_OF_REVISIONS: usize = 74;
const IN_FORCE: &str = "revision applied";

#[derive(Clone, Copy, Debug, Default)]
struct Version {
    revision_us: f64,
    revision_ms: f64,
    resident_mb: f64,
    ready_ms: f64,
    file_bytes: f64,
    check_ms: f64,
}

const VERSIONS: [Figure<Version>; 6] = [
    Figure::new(
        Role::Router,
        "resident memory with watched files, MB",
        |of| of.resident_mb,
        Some(plan::MAX_MEMORY_MB),
    ),
    Figure::new(
        Role::Router,
        "processor, us a revision of watched files",
        |of| of.revision_us,
        None,
    ),
    Figure::new(
        Role::Router,
        "start to ready with watched files, ms",
        |of| of.ready_ms,
        None,
    ),
    Figure::new(
        Role::Router,
        "one weight in force, ms",
        |of| of.revision_ms,
        Some(plan::MAX_IN_FORCE_S * 1e3),
    ),
    Figure::new(
        Role::Operators,
        "bytes of the watched files",
        |of| of.file_bytes,
        None,
    ),
    Figure::new(
        Role::Operators,
        "check-operator, ms",
        |of| of.check_ms,
        None,
    ),
];

#[derive(Clone, Copy, Debug, Default)]
struct Kept {
    resident_mb: f64,
    revision_us: f64,
    revision_ms: f64,
    saved_bytes: f64,
}

const KEPT: [Figure<Kept>; 4] = [
    Figure::new(
        Role::Router,
        "resident memory, MB",
        |of| of.resident_mb,
        Some(plan::MAX_MEMORY_MB),
    ),
    Figure::new(
        Role::Router,
        "processor, us a revision of watched files",
        |of| of.revision_us,
        None,
    ),
    Figure::new(
        Role::Router,
        "one weight in force, ms",
        |of| of.revision_ms,
        Some(plan::MAX_IN_FORCE_S * 1e3),
    ),
    Figure::new(
        Role::Operators,
        "bytes saved at a router",
        |of| of.saved_bytes,
        None,
    ),
];

pub(super) fn measure(sizes: &Sizes) -> Vec<Growth> {
    let versions = at_all_sizes(sizes.hosts, 1, |hosts| one_size(hosts, sizes));
    let mut all = growths(By::Hosts, &versions, &VERSIONS);
    let kept = revisions(sizes);
    all.extend(growths(By::Revisions, &kept, &KEPT));
    all
}

/// A folder with an operator file and the files it names; hosts are at addresses at which nobody listens.
pub(super) struct Files {
    folder: TempDir,
    hosts: usize,
    generation: u64,
}

impl Files {
    pub(super) fn new(hosts: usize) -> Self {
        let folder = tempfile::tempdir().unwrap_or_else(|e| panic!("no folder can be made: {e}"));
        let mut files = Files {
            folder,
            hosts,
            generation: 0,
        };
        files.write(
            "operator.ini",
            &operator(files.folder.path(), Path::new(".")),
        );
        files.next_version();
        files
    }

    pub(super) fn at(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Replaces a file whole.
    fn write(&self, name: &str, text: &str) {
        let (new, at) = (self.at(&format!("{name}.new")), self.at(name));
        let written = fs::write(&new, text).and_then(|()| fs::rename(&new, &at));
        written.unwrap_or_else(|e| panic!("{} cannot be written: {e}", at.display()));
    }

    /// Another version, in which one weight is another.
    pub(super) fn next_version(&mut self) {
        self.generation += 1;
        let generation = self.generation;
        let mut hosts = format!("generation = {generation}\n{GUARDS}");
        for number in 0..self.hosts {
            let [_, high, middle, low] = (number as u32 + 1).to_be_bytes();
            let at = SocketAddr::from(([127, 48 + high, middle, low], 6379));
            let _ = write!(
                hosts,
                "[host {}]\nendpoint = {at}\nzone = zone-0\nkind = std\nbuild = 7\nstarted = 1000\n",
                host_name(number)
            );
        }
        let _ = write!(
            hosts,
            "[end]\nhosts = {}\ngeneration = {generation}\n",
            self.hosts
        );
        let weight = 0.5 + 0.001 * (generation % 500) as f64;
        let weights = format!(
            "generation = {generation}\n[weights]\n{} = {weight:.3}\n[end]\nentries = 1\ngeneration = {generation}\n",
            host_name(0)
        );
        self.write("hosts.ini", &hosts);
        self.write("weights.ini", &weights);
    }

    fn bytes(&self) -> f64 {
        let size = |name: &str| fs::metadata(self.at(name)).map_or(0, |of| of.len()) as f64;
        size("hosts.ini") + size("weights.ini")
    }
}

/// An operator file whose watched files are in one folder and what is saved in another.
pub(super) fn operator(watched: &Path, state: &Path) -> String {
    format!(
        "[datastore]\nstate-directory = {}\n[watch]\nhosts = {}\nweights = {}\ndiscovery = off\nsettle = {SETTLE_S}\n",
        state.display(),
        watched.join("hosts.ini").display(),
        watched.join("weights.ini").display()
    )
}

/// Further versions, one after another: processor time in microseconds and time in milliseconds of one.
fn versions(files: &mut Files, program: &RouterProcess, count: usize) -> (f64, f64) {
    let mut took = 0.0;
    let cpu = cpu_of(program, || {
        for _ in 0..count {
            files.next_version();
            let begun = Instant::now();
            program.wait_for_log(IN_FORCE);
            took += begun.elapsed().as_secs_f64();
        }
    });
    (cpu / count as f64 * 1e6, took / count as f64 * 1e3)
}

fn one_size(hosts: usize, sizes: &Sizes) -> Version {
    let mut files = Files::new(hosts);
    let begun = Instant::now();
    let program = router_process::start(&config_alone(), Some(&files.at("operator.ini")));
    wait_ready(&program);
    let ready_ms = begun.elapsed().as_secs_f64() * 1e3;
    program.wait_for_log_since_start(IN_FORCE);
    let (revision_us, revision_ms) = versions(&mut files, &program, sizes.events);
    let resident_mb = memory_of(&program).resident;
    Version {
        revision_us,
        revision_ms,
        resident_mb,
        ready_ms,
        file_bytes: files.bytes(),
        check_ms: check_ms(&files),
    }
}

/// The time that the program takes to check an operator file with all that it names.
fn check_ms(files: &Files) -> f64 {
    let binary = std::env::current_exe().expect("this program has a path");
    let begun = Instant::now();
    let mut command = Command::new(binary);
    command
        .env(router_process::RUN_AS_ROUTER_VARIABLE, "1")
        .arg("check-operator")
        .arg(files.at("operator.ini"));
    let done = command
        .output()
        .unwrap_or_else(|e| panic!("check-operator cannot be started: {e}"));
    assert!(
        done.status.success(),
        "check-operator: {}",
        String::from_utf8_lossy(&done.stderr)
    );
    begun.elapsed().as_secs_f64() * 1e3
}

/// One router that takes one revision after another, looked at on the way.
fn revisions(sizes: &Sizes) -> Vec<(f64, Vec<Kept>)> {
    let mut files = Files::new(HOSTS_OF_REVISIONS);
    let program = router_process::start(&config_alone(), Some(&files.at("operator.ini")));
    wait_ready(&program);
    program.wait_for_log_since_start(IN_FORCE);
    let mut taken = 0;
    let mut measured = vec![];
    for revisions in sizes.revisions {
        let (revision_us, revision_ms) = versions(&mut files, &program, revisions - taken);
        taken = *revisions;
        // The last of them are saved after a while.
        wait(1.0);
        let resident_mb = memory_of(&program).resident;
        let saved_bytes = fs::metadata(files.at("revisions.json")).map_or(0, |of| of.len()) as f64;
        measured.push((
            *revisions as f64,
            vec![Kept {
                resident_mb,
                revision_us,
                revision_ms,
                saved_bytes,
            }],
        ));
    }
    measured
}
