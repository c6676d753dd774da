//! Notices of changes in the folders of the watched files, through the machine's own. They only say that it is
//! time to look: a lost or surplus one does no harm, as looks go on without any.

use std::collections::BTreeMap;
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc::SyncSender;

use notify::{Event, RecommendedWatcher, RecursiveMode, Watcher};

/// The watches on the folders of all files.
pub struct FileNotifier {
    watcher: Option<RecommendedWatcher>,
    /// Which folder was found at each path when its watch began: another one needs another watch.
    folders: BTreeMap<PathBuf, Option<(u64, u64)>>,
}

fn identity(path: &Path) -> Option<(u64, u64)> {
    fs::metadata(path)
        .ok()
        .map(|found| (found.dev(), found.ino()))
}

impl FileNotifier {
    /// Where the machine gives no notices, looks alone do.
    pub fn open(files: &[PathBuf], wake: SyncSender<()>) -> Self {
        let told = move |told: notify::Result<Event>| {
            // Reading a file is no change. One notice that waits says all; overflows come as errors or rescans.
            if !told.is_ok_and(|event| event.kind.is_access()) {
                let _ = wake.try_send(());
            }
        };
        let watcher = notify::recommended_watcher(told).ok();
        let mut folders = BTreeMap::new();
        for file in files {
            let given = file
                .parent()
                .filter(|folder| !folder.as_os_str().is_empty())
                .unwrap_or(Path::new("."));
            folders.insert(given.to_owned(), None);
            // A link's own folder tells when the link is swapped, the target's when the file is.
            if let Some(folder) = fs::canonicalize(file)
                .ok()
                .and_then(|at| at.parent().map(Path::to_owned))
            {
                folders.insert(folder, None);
            }
        }
        let mut notifier = FileNotifier { watcher, folders };
        notifier.renew_watches();
        notifier
    }

    /// Watches anew what is another folder now, or has come back. True where something was.
    pub fn renew_watches(&mut self) -> bool {
        let Some(watcher) = &mut self.watcher else {
            return false;
        };
        let mut renewed = false;
        for (path, known) in &mut self.folders {
            let found = identity(path);
            if found != *known {
                let _ = watcher.unwatch(path);
                let watched =
                    found.is_some() && watcher.watch(path, RecursiveMode::NonRecursive).is_ok();
                *known = found.filter(|_| watched);
                renewed = true;
            }
        }
        renewed
    }

    /// Whether notices come at all.
    pub fn is_active(&self) -> bool {
        self.watcher.is_some() && self.folders.values().any(Option::is_some)
    }
}
