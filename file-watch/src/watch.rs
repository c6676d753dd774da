//! The thread that watches: looks when notices or time say so, reads, and tells whole versions and refusals.

use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use kestreltide_datastore::ValidationErrors;

use crate::debounce::{DebounceAction, DebounceSettings, Debouncer};
use crate::notifier::FileNotifier;
use crate::parse::{FileKind, Parsed, Version, parse_version};
use crate::read_file::{Content, FileStamp, digest, read};

/// Which files, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchSettings {
    /// The paths of the files, in the order in which their contents are handed on.
    pub files: Vec<PathBuf>,
    /// Bytes of one file that are read at most.
    pub max_file_size: usize,
    /// How long changes settle and how far versions are apart.
    pub debounce: DebounceSettings,
    /// Seconds after which content is compared though nothing seems to have changed.
    pub compare_interval: f64,
    /// Whether the machine is asked for notices; if not, looks alone find changes.
    pub use_notifier: bool,
}

/// What there is to tell.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent<V> {
    /// A whole version.
    Version(V),
    /// It is not taken as it stands, and would not be later.
    Rejected(ValidationErrors),
    /// It may become a version: its files do not belong together yet.
    Pending(ValidationErrors),
}

/// Reads everything now, as a start needs it.
pub fn poll_files<V>(
    watched: &WatchSettings,
    read: impl Fn(&[Content]) -> Parsed<V>,
) -> (Parsed<V>, u64) {
    let contents = contents(watched);
    (read(&contents), digest(&contents))
}

fn contents(watched: &WatchSettings) -> Vec<Content> {
    watched
        .files
        .iter()
        .map(|path| read(path, watched.max_file_size))
        .collect()
}

/// What files of these kinds say together.
pub fn parse_files(files: &[(FileKind, PathBuf)], contents: &[Content]) -> Parsed<Version> {
    let places: Vec<_> = files
        .iter()
        .map(|(_, path)| path.display().to_string())
        .collect();
    let files = files.iter().zip(&places).zip(contents);
    let files: Vec<_> = files
        .map(|(((kind, _), place), content)| (*kind, place.as_str(), content))
        .collect();
    parse_version(&files)
}

/// Watches until nobody listens any more. `known` is the digest of what is in force already; `nudged` ends a
/// sleep early, `alive` is called each time round.
pub fn run<V>(
    watched: &WatchSettings,
    known: Option<u64>,
    (wake, nudged): (SyncSender<()>, &Receiver<()>),
    alive: impl Fn(),
    says: impl Fn(&[Content]) -> Parsed<V>,
    mut tell: impl FnMut(WatchEvent<V>) -> bool,
) {
    let started = Instant::now();
    let now = || started.elapsed().as_secs_f64();
    let paths = &watched.files;
    let mut notifier = watched
        .use_notifier
        .then(|| FileNotifier::open(paths, wake));
    let mut debounce = Debouncer::new(watched.debounce);
    known
        .into_iter()
        .for_each(|digest| debounce.mark_handled(now() - watched.debounce.min_interval, digest));
    let (mut marks, mut compared): (Vec<Option<FileStamp>>, f64) = (vec![], f64::MIN);
    loop {
        alive();
        let found: Vec<_> = paths.iter().map(|path| FileStamp::at(path)).collect();
        let due = now() - compared >= watched.compare_interval;
        if found != marks || due || debounce.needs_read() {
            // The marks from before the reading: what changes during it is seen again.
            marks = found;
            let contents = contents(watched);
            let number = digest(&contents);
            compared = now();
            let step = debounce.observe(compared, number);
            let told = what_to_tell(step, || says(&contents));
            if step == DebounceAction::OfferIfComplete && told.is_some() {
                debounce.mark_handled(compared, number);
            }
            if told.is_some_and(|told| !tell(told)) {
                return;
            }
        }
        let sleep = Duration::from_secs_f64(debounce.next_poll_delay(now()));
        match nudged.recv_timeout(sleep) {
            Ok(()) => debounce.mark_changed(),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if notifier.as_mut().is_some_and(FileNotifier::renew_watches) {
            debounce.mark_changed();
        }
    }
}

/// What a step leads to: a try tells only what is whole, an offer whatever there is.
fn what_to_tell<V>(
    step: DebounceAction,
    says: impl FnOnce() -> Parsed<V>,
) -> Option<WatchEvent<V>> {
    match step {
        DebounceAction::Wait => None,
        DebounceAction::OfferIfComplete => match says() {
            Parsed::Complete(version) => Some(WatchEvent::Version(version)),
            _ => None,
        },
        DebounceAction::Offer => Some(match says() {
            Parsed::Complete(version) => WatchEvent::Version(version),
            Parsed::Mismatched(errors) => WatchEvent::Pending(errors),
            Parsed::Incomplete(errors) | Parsed::Invalid(errors) => WatchEvent::Rejected(errors),
        }),
    }
}

/// A channel by which notices and others wake the thread: one that waits says all.
pub fn wake_channel() -> (SyncSender<()>, Receiver<()>) {
    sync_channel(1)
}

/// Whether a path can be watched at all by its folder.
pub fn watchable_folder(path: &Path) -> Option<&Path> {
    path.parent().filter(|folder| folder.is_dir())
}
