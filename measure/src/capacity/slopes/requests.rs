//! Processor time of a request, over a while in which clients ask.

use std::time::Instant;

use kestreltide_testkit::{RouterProcess, TEST_TIMEOUT};

use super::load::Load;
use super::site::{cpu_of, wait};

/// Served requests that a figure is made of at least: a machine that is busy gets more time.
const MIN_REQUESTS: u64 = 20;
const MICROS: f64 = 1e6;

/// What a while came to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Requests {
    /// Processor time of one in microseconds, without what the router takes at rest.
    pub(super) micros: f64,
    pub(super) per_second: f64,
    /// For each that was served, how many were refused, and how many had no answer.
    pub(super) refused_part: f64,
    pub(super) lost_part: f64,
}

/// Watches a load for so many seconds; what the router takes at rest is in percent of a core.
pub(super) fn requests(
    program: &RouterProcess,
    load: &Load,
    idle_percent: f64,
    seconds: f64,
) -> Requests {
    let (before, begun) = (load.served(), Instant::now());
    let cpu = cpu_of(program, || {
        wait(seconds);
        while load.served().served - before.served < MIN_REQUESTS {
            assert!(
                begun.elapsed() < TEST_TIMEOUT,
                "fewer than {MIN_REQUESTS} requests were served in {TEST_TIMEOUT:?}"
            );
            wait(0.1);
        }
    });
    let (now, passed) = (load.served(), begun.elapsed().as_secs_f64());
    let served = (now.served - before.served) as f64;
    let (refused, lost) = (now.refused - before.refused, now.broken - before.broken);
    let micros = (cpu - idle_percent / 100.0 * passed) / served * MICROS;
    Requests {
        micros,
        per_second: served / passed,
        refused_part: refused as f64 / served,
        lost_part: lost as f64 / served,
    }
}
