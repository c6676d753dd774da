//! The watching thread: polls the files after a notification or at intervals, reads them if they may have changed, and
//! emits versions and rejections.

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
    /// The paths of the files, in the order in which their contents are passed to the parser.
    pub files: Vec<PathBuf>,
    /// The maximum size of a file, in bytes.
    pub max_file_size: usize,
    /// The times that decide when changed content is emitted.
    pub debounce: DebounceSettings,
    /// Seconds after which the files are read and compared though their stamps are unchanged.
    pub compare_interval: f64,
    /// Whether to use change notifications of the operating system; if not, only polling finds changes.
    pub use_notifier: bool,
}

/// An event that the watching thread emits.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent<V> {
    /// A complete version.
    Version(V),
    /// The files have settled, and are incomplete or invalid.
    Rejected(ValidationErrors),
    /// The files have settled but are of different generations: one of them may be replaced later.
    Pending(ValidationErrors),
}

/// The channel that wakes the watching thread. It holds one message, which stands for any number of wake-ups.
#[derive(Debug)]
pub struct WakeChannel {
    /// The end that wakes the thread.
    pub sender: SyncSender<()>,
    /// The end that the thread waits on.
    pub receiver: Receiver<()>,
}

/// Creates a channel through which the notifier and others wake the thread.
pub fn wake_channel() -> WakeChannel {
    let (sender, receiver) = sync_channel(1);
    WakeChannel { sender, receiver }
}

/// Reads and parses all files at once, without debouncing, as needed at startup. Returns the result and the digest of
/// the contents.
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

/// Parses files of these kinds that make up a version together.
pub fn parse_files(files: &[(FileKind, PathBuf)], contents: &[Content]) -> Parsed<Version> {
    let locations: Vec<String> = files
        .iter()
        .map(|(_, path)| path.display().to_string())
        .collect();
    let files: Vec<_> = files
        .iter()
        .zip(&locations)
        .zip(contents)
        .map(|(((kind, _), location), content)| (*kind, location.as_str(), content))
        .collect();
    parse_version(&files)
}

/// Watches the files until `notify` returns false or all senders of `wake` are dropped.
///
/// `known_digest` is the digest of the contents that are in force already; `heartbeat` is called at every poll; `parse`
/// is given the contents of all files; `notify` is given each event.
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
        let event = watcher.poll(now, &parse);
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

/// The state of a watch.
struct Watcher<'a> {
    settings: &'a WatchSettings,
    debouncer: Debouncer,
    /// The stamps of the files just before they were read last.
    stamps: Vec<Option<FileStamp>>,
    /// When the files were read last, in seconds since the start of the watch; `None` if never.
    last_read: Option<f64>,
}

impl<'a> Watcher<'a> {
    fn new(settings: &'a WatchSettings, known_digest: Option<u64>, now: f64) -> Self {
        let mut debouncer = Debouncer::new(settings.debounce);
        if let Some(digest) = known_digest {
            // Dated back by the minimum interval, so that the first change is not delayed.
            debouncer.mark_handled(now - settings.debounce.min_interval, digest);
        }
        Watcher {
            settings,
            debouncer,
            stamps: vec![],
            last_read: None,
        }
    }

    /// Polls the files, and reads them if they may have changed. Returns the event to emit, if there is one.
    fn poll<V>(
        &mut self,
        now: impl Fn() -> f64,
        parse: impl Fn(&[Content]) -> Parsed<V>,
    ) -> Option<WatchEvent<V>> {
        let files = &self.settings.files;
        let stamps: Vec<_> = files.iter().map(|path| FileStamp::of_path(path)).collect();
        let is_due = self
            .last_read
            .is_none_or(|last_read| now() - last_read >= self.settings.compare_interval);
        if stamps == self.stamps && !is_due && !self.debouncer.needs_read() {
            return None;
        }
        // These stamps are from before the read, so that a change during the read is seen at the next poll.
        self.stamps = stamps;
        let contents = read_all(self.settings);
        let digest = digest(&contents);
        let read_at = now();
        self.last_read = Some(read_at);
        let action = self.debouncer.observe(read_at, digest);
        let event = event_for(action, || parse(&contents));
        if action == DebounceAction::EmitIfComplete && event.is_some() {
            self.debouncer.mark_handled(read_at, digest);
        }
        event
    }
}

/// Returns the event to emit: only a complete version if the content has not settled, otherwise whatever the result
/// of parsing is.
fn event_for<V>(
    action: DebounceAction,
    parse: impl FnOnce() -> Parsed<V>,
) -> Option<WatchEvent<V>> {
    match action {
        DebounceAction::Wait => None,
        DebounceAction::EmitIfComplete => match parse() {
            Parsed::Complete(version) => Some(WatchEvent::Version(version)),
            _ => None,
        },
        DebounceAction::Emit => Some(match parse() {
            Parsed::Complete(version) => WatchEvent::Version(version),
            Parsed::Mismatched(errors) => WatchEvent::Pending(errors),
            Parsed::Incomplete(errors) | Parsed::Invalid(errors) => WatchEvent::Rejected(errors),
        }),
    }
}
