//! Files that are edited while they are watched: only complete versions are emitted; anything else is reported with
//! its errors.

mod support;

use std::fs::{self, File};
use std::io::Write;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, channel};
use std::thread;
use std::time::{Duration, Instant};

use kestreltide_file_watch::debounce::{DebounceAction, DebounceSettings, Debouncer};
use kestreltide_file_watch::parse::{FileKind, Version};
use kestreltide_file_watch::watch::{
    WatchEvent, WatchSettings, read_and_parse_files, wake_channel, watch_files,
};
use rstest::rstest;
use tempfile::TempDir;

use support::hosts_file;

/// Debounce settings with short times, in seconds, so that the tests run fast.
const FAST_DEBOUNCE: DebounceSettings = DebounceSettings {
    quiet_period: 0.02,
    max_delay: 0.15,
    poll_interval: 0.05,
    min_interval: 0.01,
};
/// The time after which a test fails if no event arrives.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Each case lists times (seconds), digests of the content read, and the expected actions.
#[rstest]
#[case::settles(&[(0.00, 1, DebounceAction::Wait), (0.01, 1, DebounceAction::Wait), (0.02, 1, DebounceAction::Emit), (0.03, 1, DebounceAction::Wait)])]
#[case::still_being_written(&[(0.00, 1, DebounceAction::Wait), (0.015, 2, DebounceAction::Wait), (0.03, 2, DebounceAction::Wait), (0.036, 2, DebounceAction::Emit)])]
#[case::never_settles(&[(0.00, 1, DebounceAction::Wait), (0.05, 2, DebounceAction::Wait), (0.10, 1, DebounceAction::Wait), (0.15, 2, DebounceAction::EmitIfComplete)])]
#[case::changed_back(&[(0.00, 1, DebounceAction::Wait), (0.02, 1, DebounceAction::Emit), (0.10, 2, DebounceAction::Wait), (0.11, 1, DebounceAction::Wait), (0.14, 1, DebounceAction::Wait)])]
#[case::minimum_interval_applies(&[(0.00, 1, DebounceAction::Wait), (0.02, 1, DebounceAction::Emit), (0.021, 2, DebounceAction::Wait), (0.029, 2, DebounceAction::Wait), (0.042, 2, DebounceAction::Emit)])]
fn content_is_emitted_once_it_has_settled(#[case] seen: &[(f64, u64, DebounceAction)]) {
    let mut debouncer = Debouncer::new(FAST_DEBOUNCE);
    for (now, digest, action) in seen {
        assert_eq!(debouncer.observe(*now, *digest), *action, "at {now}");
    }
}

/// A watching thread on a temporary folder.
struct Watch {
    folder: TempDir,
    events: Receiver<WatchEvent<Version>>,
    wake_sender: SyncSender<()>,
}

impl Watch {
    /// Watches a file of hosts in a new temporary folder, by notifications or by polling alone. `prepare` fills the
    /// folder before the watch starts.
    fn start(use_notifier: bool, file: &str, prepare: impl FnOnce(&Path)) -> Self {
        let folder = tempfile::tempdir().expect("the folder is created");
        prepare(folder.path());
        let files = vec![(FileKind::Hosts, folder.path().join(file))];
        let paths = files
            .iter()
            .map(|(_, path): &(FileKind, PathBuf)| path.clone())
            .collect();
        let settings = WatchSettings {
            files: paths,
            max_file_size: 1 << 20,
            debounce: FAST_DEBOUNCE,
            compare_interval: 0.2,
            use_notifier,
        };
        let wake = wake_channel();
        let wake_sender = wake.sender.clone();
        let (sender, events) = channel();
        // Only the digest is needed: the content that exists at the start counts as in force and is not emitted.
        let known_digest = read_and_parse_files(&settings, |contents| {
            kestreltide_file_watch::parse_files(&files, contents)
        })
        .1;
        thread::spawn(move || {
            let parse = |contents: &[kestreltide_file_watch::Content]| {
                kestreltide_file_watch::parse_files(&files, contents)
            };
            watch_files(
                &settings,
                Some(known_digest),
                &wake,
                || (),
                parse,
                |event| sender.send(event).is_ok(),
            )
        });
        Watch {
            folder,
            events,
            wake_sender,
        }
    }

    fn path_of(&self, file: &str) -> PathBuf {
        self.folder.path().join(file)
    }

    /// Waits for the next event.
    fn next_event(&self) -> WatchEvent<Version> {
        self.events
            .recv_timeout(EVENT_TIMEOUT)
            .expect("an event before the timeout")
    }

    /// Waits for the next version, ignoring other events, and returns its generation.
    fn next_version(&self) -> String {
        loop {
            if let WatchEvent::Version(version) = self.next_event() {
                return version.generation;
            }
        }
    }
}

/// Replaces a file atomically by renaming a new one over it.
fn replace(path: &Path, text: &str) {
    let new = path.with_extension("new");
    fs::write(&new, text)
        .and_then(|()| fs::rename(&new, path))
        .expect("the file is replaced");
}

#[rstest]
#[case::with_notifier(true)]
#[case::by_polling(false)]
fn a_file_is_read_however_it_is_replaced(#[case] use_notifier: bool) {
    let watch = Watch::start(use_notifier, "hosts.ini", |folder| {
        fs::write(folder.join("hosts.ini"), hosts_file("1", &["a"])).expect("the file is written")
    });
    let path = watch.path_of("hosts.ini");
    replace(&path, &hosts_file("2", &["b"]));
    assert_eq!(watch.next_version(), "2");
    fs::write(&path, hosts_file("3", &["c"])).expect("the file is truncated and written");
    assert_eq!(watch.next_version(), "3");
    // The file is rewritten in place by slow small writes: the partly written file is rejected, never accepted.
    let text = hosts_file("4", &["a", "b", "c", "d", "e", "f"]);
    let mut file = File::create(&path).expect("the file is truncated");
    for piece in text.as_bytes().chunks(text.len() / 8) {
        file.write_all(piece)
            .and_then(|()| file.flush())
            .expect("the file is written");
        thread::sleep(Duration::from_millis(40));
    }
    let event = watch.next_event();
    assert!(
        matches!(event, WatchEvent::Rejected(_)),
        "the partly written file had settled: {event:?}"
    );
    assert_eq!(watch.next_version(), "4");
    // Replaced at once by a file of the same size: only the content differs.
    replace(&path, &hosts_file("5", &["a", "b", "c", "d", "e", "g"]));
    assert_eq!(watch.next_version(), "5");
    fs::remove_file(&path).expect("the file is deleted");
    let WatchEvent::Rejected(errors) = watch.next_event() else {
        panic!("the file is deleted")
    };
    assert!(errors.to_string().contains("cannot be read"), "{errors}");
    replace(&path, &hosts_file("6", &["a"]));
    assert_eq!(watch.next_version(), "6");
}

#[rstest]
#[case::with_notifier(true)]
#[case::by_polling(false)]
fn a_replaced_link_and_a_replaced_target_folder_are_followed(#[case] use_notifier: bool) {
    let watch = Watch::start(use_notifier, "hosts.ini", |folder| {
        for generation in ["1", "2"] {
            fs::create_dir(folder.join(generation)).expect("the folder is created");
            fs::write(
                folder.join(generation).join("hosts.ini"),
                hosts_file(generation, &["a"]),
            )
            .expect("the file is written");
        }
        symlink("1", folder.join("data")).expect("the link is created");
        symlink("data/hosts.ini", folder.join("hosts.ini")).expect("the link is created");
    });
    symlink("2", watch.path_of("new")).expect("the link is created");
    fs::rename(watch.path_of("new"), watch.path_of("data")).expect("the link is replaced");
    assert_eq!(watch.next_version(), "2");
    // The folder that the link leads to is moved away, and another one takes its place. Meanwhile the file is missing.
    fs::rename(watch.path_of("2"), watch.path_of("away")).expect("the folder is moved");
    assert!(matches!(watch.next_event(), WatchEvent::Rejected(_)));
    fs::create_dir(watch.path_of("2")).expect("the folder is created");
    fs::write(watch.path_of("2/hosts.ini"), hosts_file("3", &["a"])).expect("the file is written");
    assert_eq!(watch.next_version(), "3");
    replace(&watch.path_of("2/hosts.ini"), &hosts_file("4", &["a"]));
    assert_eq!(watch.next_version(), "4");
}

#[test]
fn a_watched_folder_that_is_moved_away_and_comes_back_is_watched_again() {
    let watch = Watch::start(true, "set/hosts.ini", |folder| {
        fs::create_dir(folder.join("set")).expect("the folder is created");
        fs::write(folder.join("set/hosts.ini"), hosts_file("1", &["a"]))
            .expect("the file is written");
    });
    fs::rename(watch.path_of("set"), watch.path_of("away")).expect("the folder is moved");
    assert!(matches!(watch.next_event(), WatchEvent::Rejected(_)));
    replace(&watch.path_of("away/hosts.ini"), &hosts_file("2", &["a"]));
    fs::rename(watch.path_of("away"), watch.path_of("set")).expect("the folder is moved back");
    assert_eq!(watch.next_version(), "2");
    replace(&watch.path_of("set/hosts.ini"), &hosts_file("3", &["a"]));
    assert_eq!(watch.next_version(), "3");
}

/// Each case puts something at the path of the file that cannot be read as a file, and gives the expected error.
#[rstest]
#[case::folder(|path: &Path| fs::create_dir(path).expect("created"), "is no file")]
#[case::socket(|path: &Path| drop(std::os::unix::net::UnixListener::bind(path).expect("created")), "is no file")]
#[case::oversized_file(|path: &Path| File::create(path).and_then(|file| file.set_len(100 << 20)).expect("created"), "has 104857600 bytes, 1048576 at most are read")]
#[case::link_to_itself(|path: &Path| symlink(path, path).expect("created"), "cannot be read")]
#[case::pipe(|path: &Path| assert!(std::process::Command::new("mkfifo").arg(path).status().expect("mkfifo runs").success()), "is no file")]
fn a_path_that_is_not_a_readable_file_is_rejected_without_blocking(
    #[case] make: fn(&Path),
    #[case] reason: &str,
) {
    let watch = Watch::start(true, "hosts.ini", |folder| {
        fs::write(folder.join("hosts.ini"), hosts_file("1", &["a"])).expect("the file is written")
    });
    let path = watch.path_of("hosts.ini");
    fs::remove_file(&path).expect("the file is deleted");
    make(&path);
    let since = Instant::now();
    loop {
        let WatchEvent::Rejected(errors) = watch.next_event() else {
            panic!("not a version")
        };
        if errors.to_string().contains(reason) {
            break;
        }
        assert!(since.elapsed() < EVENT_TIMEOUT, "{errors}");
    }
    if path.is_dir() {
        fs::remove_dir(&path)
    } else {
        fs::remove_file(&path)
    }
    .expect("the path is removed");
    replace(&path, &hosts_file("2", &["a"]));
    assert_eq!(watch.next_version(), "2");
}

#[test]
fn versions_of_a_rapidly_changing_file_are_rate_limited() {
    let watch = Watch::start(true, "hosts.ini", |folder| {
        fs::write(folder.join("hosts.ini"), hosts_file("1", &["a"])).expect("the file is written")
    });
    let since = Instant::now();
    let mut number = 0;
    while since.elapsed() < Duration::from_secs(1) {
        number += 1;
        replace(
            &watch.path_of("hosts.ini"),
            &hosts_file(if number % 2 == 0 { "even" } else { "odd" }, &["a"]),
        );
        thread::sleep(Duration::from_millis(3));
    }
    replace(&watch.path_of("hosts.ini"), &hosts_file("last", &["a"]));
    let mut seen = vec![];
    while seen.last().is_none_or(|last| last != "last") {
        seen.push(watch.next_version());
    }
    // In one second the minimum interval of 10 ms allows 100 versions; ten more are allowed for the time until the last
    // version is emitted.
    assert!(
        seen.len() > 1 && seen.len() <= 110,
        "{} versions",
        seen.len()
    );
}

#[test]
fn a_wake_up_finds_a_change_that_was_not_notified() {
    let watch = Watch::start(false, "hosts.ini", |folder| {
        fs::write(folder.join("hosts.ini"), hosts_file("1", &["a"])).expect("the file is written")
    });
    replace(&watch.path_of("hosts.ini"), &hosts_file("2", &["a"]));
    watch
        .wake_sender
        .send(())
        .expect("the watching thread runs");
    assert_eq!(watch.next_version(), "2");
}
