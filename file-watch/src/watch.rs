//! The watching thread: looks when a change is notified or time has passed, reads, and hands on versions and rejections.

use std::path::PathBuf;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use kestreltide_datastore::ValidationErrors;

use crate::debounce::{DebounceAction, DebounceSettings, Debouncer};
use crate::notifier::FileNotifier;
use crate::parse::{FileKind, Parsed, Version, parse_version};
use crate::read_file::{Content, FileStamp, digest, read_bounded};

/// Which files are watched, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchSettings {
    /// The paths of the files, in the order in which their contents are handed on.
    pub files: Vec<PathBuf>,
    /// Bytes of one file that are read at most.
    pub max_file_size: usize,
    /// When changes have settled and how far versions are apart.
    pub debounce: DebounceSettings,
    /// Seconds after which content is compared though nothing seems to have changed.
    pub compare_interval: f64,
    /// Whether the operating system is asked to notify changes; if not, looks alone find them.
    pub use_notifier: bool,
}

/// What a watch hands on.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent<V> {
    /// A complete version.
    Version(V),
    /// Files that are not accepted as they are, and would not be later.
    Rejected(ValidationErrors),
    /// Files that may become a version: they do not belong together yet.
    Pending(ValidationErrors),
}

/// Wakes the watching thread; one message that waits stands for any number.
#[derive(Debug)]
pub struct WakeChannel {
    /// Wakes the thread.
    pub sender: SyncSender<()>,
    /// Where the thread waits.
    pub receiver: Receiver<()>,
}

/// A channel by which the notifier and others wake the thread.
pub fn wake_channel() -> WakeChannel {
    let (sender, receiver) = sync_channel(1);
    WakeChannel { sender, receiver }
}

/// Reads everything now, as a start needs it; returns what it gives and its digest.
pub fn read_and_parse_files<V>(
    settings: &WatchSettings,
    parse: impl Fn(&[Content]) -> Parsed<V>,
) -> (Parsed<V>, u64) {
    let contents = read_all(settings);
    (parse(&contents), digest(&contents))
}

fn read_all(settings: &WatchSettings) -> Vec<Content> {
    settings
        .files
        .iter()
        .map(|path| read_bounded(path, settings.max_file_size))
        .collect()
}

/// What files of these kinds give together.
pub fn parse_files(files: &[(FileKind, PathBuf)], contents: &[Content]) -> Parsed<Version> {
    let places: Vec<String> = files
        .iter()
        .map(|(_, path)| path.display().to_string())
        .collect();
    let files: Vec<_> = files
        .iter()
        .zip(&places)
        .zip(contents)
        .map(|(((kind, _), place), content)| (*kind, place.as_str(), content))
        .collect();
    parse_version(&files)
}

/// Watches until `notify` returns false or all senders of `wake` are gone.
///
/// `known_digest` is the digest of what is in force already; `heartbeat` is called at every look; `parse` is given the
/// contents of all files.
pub fn watch_files<V>(
    settings: &WatchSettings,
    known_digest: Option<u64>,
    wake: &WakeChannel,
    heartbeat: impl Fn(),
    parse: impl Fn(&[Content]) -> Parsed<V>,
    mut notify: impl FnMut(WatchEvent<V>) -> bool,
) {
    let started = Instant::now();
    let now = || started.elapsed().as_secs_f64();
    let mut watcher = Watcher::new(settings, known_digest, now());
    let mut notifier = settings
        .use_notifier
        .then(|| FileNotifier::new(&settings.files, wake.sender.clone()));
    loop {
        heartbeat();
        let event = watcher.look(now, &parse);
        if event.is_some_and(|event| !notify(event)) {
            return;
        }
        let delay = Duration::from_secs_f64(watcher.debouncer.next_poll_delay(now()));
        match wake.receiver.recv_timeout(delay) {
            Ok(()) => watcher.debouncer.mark_changed(),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if notifier.as_mut().is_some_and(FileNotifier::renew_watches) {
            watcher.debouncer.mark_changed();
        }
    }
}

/// What a watch knows of its files.
struct Watcher<'a> {
    settings: &'a WatchSettings,
    debouncer: Debouncer,
    /// The stamps at the last reading.
    stamps: Vec<Option<FileStamp>>,
    /// When content was read last, in seconds since the start; `None`: never.
    last_read: Option<f64>,
}

impl<'a> Watcher<'a> {
    fn new(settings: &'a WatchSettings, known_digest: Option<u64>, now: f64) -> Self {
        let mut debouncer = Debouncer::new(settings.debounce);
        if let Some(digest) = known_digest {
            // As if handled long enough ago: the first change is not delayed.
            debouncer.mark_handled(now - settings.debounce.min_interval, digest);
        }
        Watcher {
            settings,
            debouncer,
            stamps: vec![],
            last_read: None,
        }
    }

    /// Looks at the files and reads them where they may have changed; returns what is to be handed on.
    fn look<V>(
        &mut self,
        now: impl Fn() -> f64,
        parse: impl Fn(&[Content]) -> Parsed<V>,
    ) -> Option<WatchEvent<V>> {
        let files = &self.settings.files;
        let stamps: Vec<_> = files.iter().map(|path| FileStamp::at(path)).collect();
        let is_due = self
            .last_read
            .is_none_or(|last_read| now() - last_read >= self.settings.compare_interval);
        if stamps == self.stamps && !is_due && !self.debouncer.needs_read() {
            return None;
        }
        // The stamps from before the reading: what changes during it is seen again.
        self.stamps = stamps;
        let contents = read_all(self.settings);
        let digest = digest(&contents);
        let read_at = now();
        self.last_read = Some(read_at);
        let action = self.debouncer.observe(read_at, digest);
        let event = event_of(action, || parse(&contents));
        if action == DebounceAction::OfferIfComplete && event.is_some() {
            self.debouncer.mark_handled(read_at, digest);
        }
        event
    }
}

/// What is handed on: only a complete version where nothing has settled, otherwise whatever the files give.
fn event_of<V>(action: DebounceAction, parse: impl FnOnce() -> Parsed<V>) -> Option<WatchEvent<V>> {
    match action {
        DebounceAction::Wait => None,
        DebounceAction::OfferIfComplete => match parse() {
            Parsed::Complete(version) => Some(WatchEvent::Version(version)),
            _ => None,
        },
        DebounceAction::Offer => Some(match parse() {
            Parsed::Complete(version) => WatchEvent::Version(version),
            Parsed::Mismatched(errors) => WatchEvent::Pending(errors),
            Parsed::Incomplete(errors) | Parsed::Invalid(errors) => WatchEvent::Rejected(errors),
        }),
    }
}
