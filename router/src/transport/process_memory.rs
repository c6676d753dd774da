//! The memory of this process, as the operating system counts it.

use std::fs;

/// File in which the operating system reports the memory of a process, in pages.
const STATISTICS_FILE: &str = "/proc/self/statm";
/// Position of the resident pages among the numbers of the file.
const RESIDENT_INDEX: usize = 1;
/// Position of the resident pages that belong to files, such as the executable.
const FILE_INDEX: usize = 2;

/// The resident memory of this process, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessMemory {
    /// All of it; the platform's limit applies to this.
    pub resident_bytes: usize,
    /// The part that belongs to no file: the heap, including what the allocator keeps after it was freed.
    pub anonymous_bytes: usize,
}

impl ProcessMemory {
    /// Reads the current values; `None` where the operating system does not report them.
    pub fn read() -> Option<Self> {
        Self::parse(&fs::read_to_string(STATISTICS_FILE).ok()?)
    }

    fn parse(statistics: &str) -> Option<Self> {
        let pages: Vec<usize> = statistics
            .split_whitespace()
            .map_while(|number| number.parse().ok())
            .collect();
        let page_bytes = rustix::param::page_size();
        let resident = *pages.get(RESIDENT_INDEX)?;
        let of_files = *pages.get(FILE_INDEX)?;
        Some(ProcessMemory {
            resident_bytes: resident * page_bytes,
            anonymous_bytes: resident.saturating_sub(of_files) * page_bytes,
        })
    }
}
