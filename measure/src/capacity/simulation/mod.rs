//! The whole fleet in simulated time, with the real decision module and without sockets.

use crate::report::Report;

/// Runs it, at the small sizes only where asked; whether all was as asked.
pub fn run(_small: bool) -> bool {
    let mut report = Report::new("capacity-simulation");
    report.ask("measured", "not built yet", "no", "yes", false);
    report.end()
}
