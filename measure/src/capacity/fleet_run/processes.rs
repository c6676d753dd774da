//! What a process has used of the cores, as the kernel counts it.

use std::fs;
use std::path::Path;

const NANOSECONDS: f64 = 1e9;

/// Seconds that all threads of a process have run, and have waited for a core.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoreTime {
    pub ran: f64,
    pub waited: f64,
}

impl CoreTime {
    pub fn since(self, before: CoreTime) -> CoreTime {
        CoreTime {
            ran: self.ran - before.ran,
            waited: self.waited - before.waited,
        }
    }
}

/// The first two figures of a thread's `schedstat`.
fn thread(text: &str) -> Option<CoreTime> {
    let mut words = text.split(' ');
    let mut next = || Some(words.next()?.parse::<f64>().ok()? / NANOSECONDS);
    Some(CoreTime {
        ran: next()?,
        waited: next()?,
    })
}

/// Of a process by its number, or `self`.
pub fn core_time(process: &str) -> CoreTime {
    let threads = fs::read_dir(Path::new("/proc").join(process).join("task"));
    let of_thread =
        |folder: fs::DirEntry| thread(&fs::read_to_string(folder.path().join("schedstat")).ok()?);
    let times = threads
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(of_thread);
    times.fold(CoreTime::default(), |sum, of| CoreTime {
        ran: sum.ran + of.ran,
        waited: sum.waited + of.waited,
    })
}

#[cfg(test)]
mod tests;
