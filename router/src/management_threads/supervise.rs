//! Runs a thread and restarts it after a panic, with exponential backoff.

use std::any::Any;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use slog::{Logger, error, warn};

/// Delay of the first restart; it doubles with each further restart.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(100);
/// The longest delay of a restart. A thread that ran for longer than this before its panic is restarted with the
/// shortest delay again.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(10);

/// Runs `run` in its own thread until it returns, and calls it again after a panic. `run` keeps its state over a panic,
/// so that state has to be consistent whenever `run` may panic. The thread returns the number of panics.
///
/// # Errors
///
/// If the thread cannot be created.
pub(super) fn supervise(
    log: Logger,
    name: &'static str,
    mut run: impl FnMut() + Send + 'static,
) -> io::Result<JoinHandle<u32>> {
    thread::Builder::new().name(name.into()).spawn(move || {
        let mut delay = MIN_RESTART_DELAY;
        let mut panics = 0;
        loop {
            let started = Instant::now();
            let Err(panic) = catch_unwind(AssertUnwindSafe(&mut run)) else {
                return panics;
            };
            panics += 1;
            error!(log, "management thread panicked"; "thread" => name, "panics" => panics, "why" => panic_message(&*panic));
            if started.elapsed() > MAX_RESTART_DELAY {
                delay = MIN_RESTART_DELAY;
            }
            thread::sleep(delay);
            delay = (2 * delay).min(MAX_RESTART_DELAY);
            warn!(log, "management thread restarted"; "thread" => name);
        }
    })
}

/// The message of a panic; empty if the payload is not a string.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    if let Some(message) = panic.downcast_ref::<&str>() {
        return (*message).to_owned();
    }
    panic.downcast_ref::<String>().cloned().unwrap_or_default()
}

#[cfg(test)]
mod tests;
