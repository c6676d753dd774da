//! What the kernel says of a process.

use std::fs;

const KIB_PER_MB: f64 = 1024.0;

/// Memory in MB.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Memory {
    pub(super) resident: f64,
    /// Without what is shared with other processes: the program's own text counts only in `resident`.
    pub(super) private: f64,
}

pub(super) fn memory(pid: u32) -> Memory {
    let text = fs::read_to_string(format!("/proc/{pid}/smaps_rollup")).unwrap_or_default();
    let kib = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<f64>().ok()
    };
    let of = |name: &str| {
        kib(name).unwrap_or_else(|| panic!("the memory of process {pid} cannot be read"))
    };
    let private = of("Private_Clean:") + of("Private_Dirty:");
    Memory {
        resident: of("Rss:") / KIB_PER_MB,
        private: private / KIB_PER_MB,
    }
}

/// Processor time of all threads of a process, in seconds, to the nanosecond.
pub(super) fn cpu_seconds(pid: u32) -> f64 {
    let threads = fs::read_dir(format!("/proc/{pid}/task"));
    let threads =
        threads.unwrap_or_else(|e| panic!("the threads of process {pid} cannot be read: {e}"));
    let nanos = threads.flatten().filter_map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<f64>().ok()
    });
    nanos.sum::<f64>() / 1e9
}
