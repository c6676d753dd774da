//! Whether the machine has what a run needs, asked before anything is started.

use std::fs;

use super::plan::Plan;

/// Descriptors of a hollow router, both ends of its connections, and of a real one at most.
const HOLLOW_DESCRIPTORS: u64 = 5;
const REAL_DESCRIPTORS: u64 = 300;
const OWN_DESCRIPTORS: u64 = 200;
/// Bytes that a hollow router keeps of a host, and a router of its own, in MB.
const HOST_BYTES: f64 = 400.0;
const ROUTER_MB: f64 = 2.0;
const REAL_MB: f64 = 60.0;
const BYTES_A_MB: f64 = 1e6;

fn open_files() -> Option<u64> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn available_mb() -> Option<f64> {
    let memory = fs::read_to_string("/proc/meminfo").ok()?;
    let line = memory
        .lines()
        .find_map(|line| line.strip_prefix("MemAvailable:"))?;
    Some(line.split_whitespace().next()?.parse::<f64>().ok()? * 1024.0 / BYTES_A_MB)
}

fn load() -> String {
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    load.split(' ').take(3).collect::<Vec<_>>().join(" ")
}

/// Which of files and memory is short, if any.
pub fn check(plan: &Plan) -> Result<(), String> {
    let layout = plan.layout;
    let hollow = u64::from(layout.routers - layout.real);
    let files =
        OWN_DESCRIPTORS + HOLLOW_DESCRIPTORS * hollow + REAL_DESCRIPTORS * u64::from(layout.real);
    if let Some(may) = open_files().filter(|may| *may < files) {
        return Err(format!("open files: {files} are needed, {may} allowed"));
    }
    let lists = HOST_BYTES * f64::from(plan.hollow_list) / BYTES_A_MB;
    let memory = hollow as f64 * (ROUTER_MB + lists) + REAL_MB * f64::from(layout.real);
    match available_mb() {
        Some(there) if there < memory => Err(format!(
            "memory: {memory:.0} MB are needed, {there:.0} available"
        )),
        _ => Ok(()),
    }
}

/// Says what is run, and on what.
pub fn print(plan: &Plan) {
    let layout = plan.layout;
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("{cores} cores, load {} at the start", load());
    println!(
        "reading: every router may get requests of every service: {} routers ({} real, {} hollow) in one mesh",
        layout.routers,
        layout.real,
        layout.routers - layout.real
    );
    println!(
        "before {} hosts; a real router's list has all of them, a hollow one's {}",
        layout.hosts, plan.hollow_list
    );
    println!(
        "stated capacity: discovery {} calls/s and {} bytes/s, platform {} votes/s; versions each {} s",
        plan.capacity.discovery_calls,
        plan.capacity.discovery_bytes,
        plan.capacity.votes,
        plan.publish_every
    );
    println!(
        "requests/s: {} at a real router at rest, {} at the peak, {} drawn at a hollow one",
        plan.rest_rate, plan.peak_rate, plan.drawn_rate
    );
}
