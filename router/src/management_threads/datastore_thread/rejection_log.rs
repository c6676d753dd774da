//! Rate-limited log lines about rejected changes.

use kestreltide_datastore::ValidationErrors;
use slog::{Logger, warn};

/// Most lines in a window of [`WINDOW_SECONDS`], so that a file that is rewritten again and again does not fill the
/// log.
const MAX_LINES_PER_WINDOW: u32 = 10;
/// Length of the window in which rejections are counted, in seconds.
const WINDOW_SECONDS: f64 = 1.0;

/// Logs rejections, at most [`MAX_LINES_PER_WINDOW`] in each window.
pub(super) struct RejectionLog {
    log: Logger,
    /// Start of the current window, in Unix seconds.
    window_start: f64,
    /// Rejections in the current window, logged or not.
    rejections: u32,
}

impl RejectionLog {
    pub(super) fn new(log: Logger) -> Self {
        RejectionLog {
            log,
            window_start: 0.0,
            rejections: 0,
        }
    }

    /// Logs the first error, the number of further errors, and the revision that stays in force. `generation` is that of
    /// the watched files, or the author of an edit; it is empty if neither is known.
    pub(super) fn warn(
        &mut self,
        now: f64,
        message: &'static str,
        generation: &str,
        errors: &ValidationErrors,
        revision: u64,
    ) {
        if now - self.window_start >= WINDOW_SECONDS {
            self.window_start = now;
            self.rejections = 0;
        }
        self.rejections += 1;
        if self.rejections > MAX_LINES_PER_WINDOW {
            return;
        }
        let first_error = errors
            .first
            .first()
            .map(ToString::to_string)
            .unwrap_or_default();
        let further = errors.first.len().saturating_sub(1) + errors.more;
        warn!(self.log, "{}", message; "generation" => generation, "why" => first_error,
            "further" => further, "stays" => revision);
    }
}
