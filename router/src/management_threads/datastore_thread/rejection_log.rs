//! Log lines about what is rejected, limited in their number.

use kestreltide_datastore::ValidationErrors;
use slog::{Logger, warn};

/// The most lines in each [`WINDOW`]: a file that is written again and again must not fill the log.
const MAX_LINES: u32 = 10;
/// Seconds in which lines are counted.
const WINDOW: f64 = 1.0;

/// Logs rejections, at most [`MAX_LINES`] in a window.
pub(super) struct RejectionLog {
    log: Logger,
    /// Unix seconds.
    window_start: f64,
    /// Lines that were wanted in this window, logged or not.
    lines: u32,
}

impl RejectionLog {
    pub(super) fn new(log: Logger) -> Self {
        RejectionLog {
            log,
            window_start: 0.0,
            lines: 0,
        }
    }

    /// Logs the first error, how many more there are, and the revision that stays in force.
    pub(super) fn warn(
        &mut self,
        now: f64,
        message: &'static str,
        generation: &str,
        errors: &ValidationErrors,
        revision: u64,
    ) {
        if now - self.window_start >= WINDOW {
            self.window_start = now;
            self.lines = 0;
        }
        self.lines += 1;
        if self.lines > MAX_LINES {
            return;
        }
        let first = errors
            .first
            .first()
            .map(ToString::to_string)
            .unwrap_or_default();
        let further = errors.first.len().saturating_sub(1) + errors.more;
        warn!(self.log, "{}", message; "generation" => generation, "why" => first,
            "further" => further, "stays" => revision);
    }
}
