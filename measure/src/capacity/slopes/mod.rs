//! How each cost of a role grows with each size: measured at four sizes at least, with a fitted line.

mod by_clients;
mod by_hosts;
mod by_peers;
mod by_routers;
mod by_routes;
mod by_tenants;
mod decisions;
mod files;
mod fit;
mod growth;
mod load;
mod module_cost;
pub(in crate::capacity) mod plan;
mod process;
mod requests;
mod servers;
mod site;
mod sizes;
mod tables;

use std::panic::catch_unwind;
use std::thread;
use std::time::Instant;

use crate::report::Report;

use growth::Growth;
use sizes::Sizes;

/// A part of the measurement.
struct Part {
    name: &'static str,
    measure: fn(&Sizes) -> Vec<Growth>,
}

const PARTS: [Part; 8] = [
    Part {
        name: "module",
        measure: module_cost::measure,
    },
    Part {
        name: "hosts",
        measure: by_hosts::measure,
    },
    Part {
        name: "peers",
        measure: by_peers::measure,
    },
    Part {
        name: "clients",
        measure: by_clients::measure,
    },
    Part {
        name: "routes",
        measure: by_routes::measure,
    },
    Part {
        name: "tenants",
        measure: by_tenants::measure,
    },
    Part {
        name: "files",
        measure: files::measure,
    },
    Part {
        name: "routers",
        measure: by_routers::measure,
    },
];

/// Runs it, at the small sizes only where asked; whether all was as asked.
pub fn run(small: bool) -> bool {
    let mut report = Report::new("capacity");
    let sizes = if small { &sizes::SMALL } else { &sizes::FULL };
    let growths = if sizes.all_at_once {
        at_once(sizes, &mut report)
    } else {
        in_turn(sizes, &mut report)
    };
    tables::print(&growths, &mut report);
    report.end()
}

fn in_turn(sizes: &Sizes, report: &mut Report) -> Vec<Growth> {
    PARTS
        .iter()
        .flat_map(|part| {
            part.measure(sizes)
                .unwrap_or_else(|Failed| part.failed(report))
        })
        .collect()
}

fn at_once(sizes: &Sizes, report: &mut Report) -> Vec<Growth> {
    let measured: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = PARTS
            .iter()
            .map(|part| scope.spawn(|| part.measure(sizes)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or(Err(Failed)))
            .collect()
    });
    let each = PARTS.iter().zip(measured);
    each.flat_map(|(part, measured)| measured.unwrap_or_else(|Failed| part.failed(report)))
        .collect()
}

/// A part of the measurement could not be had: what it had no file, port, process or answer for stands on standard
/// error.
struct Failed;

impl Part {
    fn measure(&self, sizes: &Sizes) -> Result<Vec<Growth>, Failed> {
        let begun = Instant::now();
        let measured = catch_unwind(|| (self.measure)(sizes)).map_err(|_| Failed);
        eprintln!(
            "capacity: {} measured in {:.1} s",
            self.name,
            begun.elapsed().as_secs_f64()
        );
        measured
    }

    fn failed(&self, report: &mut Report) -> Vec<Growth> {
        report.check(
            self.name,
            &format!("what grows in part {}", self.name),
            "failed",
            "measured",
            false,
        );
        vec![]
    }
}
