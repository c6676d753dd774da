//! How each cost of a role grows with each size: measured at four sizes at least, with a fitted line.

mod decisions;
mod fit;
mod growth;
mod module_cost;
pub(in crate::capacity) mod plan;
mod tables;

use crate::report::Report;

/// Runs it, at the small sizes only where asked; whether all was as asked.
pub fn run(small: bool) -> bool {
    let mut report = Report::new("capacity");
    let growths = module_cost::measure(small);
    tables::print(&growths, &mut report);
    report.end()
}
