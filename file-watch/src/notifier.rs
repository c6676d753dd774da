//! Notifications of changes in the folders of the watched files, from the operating system.
//!
//! They only say that it is time to look: a lost or surplus one does no harm, as looks go on without any.

use std::collections::BTreeMap;
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc::SyncSender;

use notify::{Event, RecommendedWatcher, RecursiveMode, Watcher};

/// What makes a folder the same one, whatever its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FolderId {
    device: u64,
    inode: u64,
}

impl FolderId {
    fn at(path: &Path) -> Option<Self> {
        let metadata = fs::metadata(path).ok()?;
        Some(FolderId {
            device: metadata.dev(),
            inode: metadata.ino(),
        })
    }
}

/// The watches on the folders of all files.
pub struct FileNotifier {
    watcher: Option<RecommendedWatcher>,
    /// Which folder is watched at each path: another one there needs another watch.
    folders: BTreeMap<PathBuf, Option<FolderId>>,
}

impl FileNotifier {
    /// Watches the folders of these files. Where the operating system notifies nothing, looks alone find changes.
    pub fn new(files: &[PathBuf], wake: SyncSender<()>) -> Self {
        let on_event = move |event: notify::Result<Event>| {
            // Reading a file is no change; lost notifications come as errors or rescans.
            let is_access = event.is_ok_and(|event| event.kind.is_access());
            if !is_access {
                // A message that waits already stands for this one too.
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

    /// Watches anew what is another folder now, or has come back; true where something was.
    pub fn renew_watches(&mut self) -> bool {
        let Some(watcher) = &mut self.watcher else {
            return false;
        };
        let mut is_renewed = false;
        for (path, watched) in &mut self.folders {
            let found = FolderId::at(path);
            if found != *watched {
                // Nothing may have been watched there.
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

/// The folder of each file, and the folder of the file that a link leads to: the one changes when the link is swapped,
/// the other when the file is.
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
