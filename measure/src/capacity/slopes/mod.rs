//! How each cost of a role grows with each size: measured at four sizes at least, with a fitted line.

use crate::report::Report;

/// Runs it, at the small sizes only where asked; whether all was as asked.
pub fn run(_small: bool) -> bool {
    let mut report = Report::new("capacity-slopes");
    report.ask("measured", "not built yet", "no", "yes", false);
    report.end()
}
