//! A thread that is started again when it dies, later each time.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use slog::{Logger, error, warn};

/// Seconds before a front that died is started again, at first and at most; one that lived longer than the
/// latter begins at the first again.
const AGAIN: [f64; 2] = [0.1, 10.0];

/// Runs a front in a thread of its own until it ends by itself. What it works on must be whole between its steps:
/// it goes on with that after a panic.
pub fn supervise(
    log: Logger,
    name: &'static str,
    mut run: impl FnMut() + Send + 'static,
) -> std::io::Result<JoinHandle<u32>> {
    thread::Builder::new().name(name.into()).spawn(move || {
        let (mut wait, mut deaths) = (AGAIN[0], 0);
        loop {
            let begun = Instant::now();
            match catch_unwind(AssertUnwindSafe(&mut run)) {
                Ok(()) => return deaths,
                Err(panic) => {
                    deaths += 1;
                    let why = panic.downcast_ref::<&str>().map(|why| (*why).to_owned());
                    let why = why
                        .or_else(|| panic.downcast_ref::<String>().cloned())
                        .unwrap_or_default();
                    error!(log, "a front died"; "front" => name, "deaths" => deaths, "why" => why);
                }
            }
            if begun.elapsed().as_secs_f64() > AGAIN[1] {
                wait = AGAIN[0];
            }
            thread::sleep(Duration::from_secs_f64(wait));
            wait = (2.0 * wait).min(AGAIN[1]);
            warn!(log, "a front is started again"; "front" => name);
        }
    })
}

#[cfg(test)]
mod tests;
