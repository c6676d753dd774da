//! Notifications of the operating system about changes in the folders of the watched files.
//!
//! A notification only wakes the watching thread to poll the files. A lost or surplus one does no harm, as the thread
//! also polls at intervals.

use std::collections::BTreeMap;
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc::SyncSender;

use notify::{Event, RecommendedWatcher, RecursiveMode, Watcher};

/// Identifies a folder independently of its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FolderId {
    device: u64,
    inode: u64,
}

impl FolderId {
    fn of_path(path: &Path) -> Option<Self> {
        let metadata = fs::metadata(path).ok()?;
        Some(FolderId {
            device: metadata.dev(),
            inode: metadata.ino(),
        })
    }
}

/// Watches the folders of all files for changes.
pub struct FileNotifier {
    watcher: Option<RecommendedWatcher>,
    /// The folder that is watched at each path; `None` if none is. If the path leads to another folder, the watch has
    /// to be renewed.
    folders: BTreeMap<PathBuf, Option<FolderId>>,
}

impl FileNotifier {
    /// Watches the folders of these files, and sends to `wake` after each change. If the operating system does not
    /// support notifications, only polling finds changes.
    pub fn new(files: &[PathBuf], wake: SyncSender<()>) -> Self {
        let on_event = move |event: notify::Result<Event>| {
            // Access to a file is not a change. Errors and rescan events count as one, as they stand for lost
            // notifications.
            let is_access = event.is_ok_and(|event| event.kind.is_access());
            if !is_access {
                // The channel may be full: the message that waits in it covers this change too.
                let _ = wake.try_send(());
            }
        };
        let mut notifier = FileNotifier {
            watcher: notify::recommended_watcher(on_event).ok(),
            folders: folders_of(files).map(|folder| (folder, None)).collect(),
        };
        notifier.renew_watches();
        notifier
    }

    /// Renews the watches of paths that lead to another folder than before, or to none. Returns whether there were any.
    pub fn renew_watches(&mut self) -> bool {
        let Some(watcher) = &mut self.watcher else {
            return false;
        };
        let mut is_renewed = false;
        for (path, watched) in &mut self.folders {
            let found = FolderId::of_path(path);
            if found != *watched {
                // This fails if nothing was watched at the path, which does no harm.
                let _ = watcher.unwatch(path);
                let is_watched =
                    found.is_some() && watcher.watch(path, RecursiveMode::NonRecursive).is_ok();
                *watched = found.filter(|_| is_watched);
                is_renewed = true;
            }
        }
        is_renewed
    }
}

/// Returns the folder of each file as named, and the folder that it is in once symbolic links are resolved: replacing a
/// link changes the first, replacing its target changes the second.
fn folders_of(files: &[PathBuf]) -> impl Iterator<Item = PathBuf> {
    files.iter().flat_map(|file| {
        let own_folder = file
            .parent()
            .filter(|folder| !folder.as_os_str().is_empty())
            .unwrap_or(Path::new("."));
        let target = fs::canonicalize(file).ok();
        let target_folder = target.and_then(|target| target.parent().map(Path::to_owned));
        [Some(own_folder.to_owned()), target_folder]
            .into_iter()
            .flatten()
    })
}
