//! What tenants cost: a router checks that the settings list them well (`accounts`) and keeps nothing of them, so that
//! what they cost is reading the configuration.

use std::time::Instant;

use crate::router_process;

use super::growth::{By, Figure, Growth, Role, at_all_sizes, growths};
use super::plan;
use super::site::{Around, Plan, memory_of, wait, wait_ready};
use super::sizes::Sizes;

const HOSTS: usize = 74;

#[derive(Clone, Copy, Debug, Default)]
struct Measured {
    resident_mb: f64,
    ready_ms: f64,
}

const FIGURES: [Figure<Measured>; 2] = [
    Figure::new(
        Role::Router,
        "resident memory, MB",
        |of| of.resident_mb,
        Some(plan::MAX_MEMORY_MB),
    ),
    Figure::new(Role::Router, "start to ready, ms", |of| of.ready_ms, None),
];

pub(super) fn measure(sizes: &Sizes) -> Vec<Growth> {
    let measured = at_all_sizes(sizes.tenants, sizes.times, one_size);
    growths(By::Tenants, &measured, &FIGURES)
}

fn one_size(tenants: usize) -> Measured {
    let around = Around::start(Plan::new(HOSTS, 1));
    let accounts: Vec<_> = (0..tenants)
        .map(|number| format!(r#"{{"name":"tenant-{number:05}","quota_per_s":10.0}}"#))
        .collect();
    let accounts = format!("\"accounts\":[{}]", accounts.join(","));
    let text = around.config().replace("\"accounts\":[]", &accounts);
    let begun = Instant::now();
    let program = router_process::start(&text, None);
    wait_ready(&program);
    let ready_ms = begun.elapsed().as_secs_f64() * 1e3;
    wait(0.5);
    Measured {
        resident_mb: memory_of(&program).resident,
        ready_ms,
    }
}
