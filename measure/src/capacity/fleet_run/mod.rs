//! The scale run: real routers beside hollow ones, loopback only, ended by itself.

use crate::report::Report;

/// Runs it, at the small sizes only where asked; whether all was as asked.
pub fn run(_small: bool) -> bool {
    let mut report = Report::new("capacity-fleet");
    report.ask("measured", "not built yet", "no", "yes", false);
    report.end()
}
