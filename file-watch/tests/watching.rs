//! Files that are edited while they are watched: complete versions are handed on, of others only the errors.

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

use support::hosts;

const QUICK: DebounceSettings = DebounceSettings {
    quiet_period: 0.02,
    max_delay: 0.15,
    poll_interval: 0.05,
    min_interval: 0.01,
};
const PATIENCE: Duration = Duration::from_secs(10);

/// Times and contents that are seen, and what is done with each.
#[rstest]
#[case::it_settles(&[(0.00, 1, DebounceAction::Wait), (0.01, 1, DebounceAction::Wait), (0.02, 1, DebounceAction::Offer), (0.03, 1, DebounceAction::Wait)])]
#[case::it_is_still_written(&[(0.00, 1, DebounceAction::Wait), (0.015, 2, DebounceAction::Wait), (0.03, 2, DebounceAction::Wait), (0.036, 2, DebounceAction::Offer)])]
#[case::it_never_rests(&[(0.00, 1, DebounceAction::Wait), (0.05, 2, DebounceAction::Wait), (0.10, 1, DebounceAction::Wait), (0.15, 2, DebounceAction::OfferIfComplete)])]
#[case::it_came_back(&[(0.00, 1, DebounceAction::Wait), (0.02, 1, DebounceAction::Offer), (0.10, 2, DebounceAction::Wait), (0.11, 1, DebounceAction::Wait), (0.14, 1, DebounceAction::Wait)])]
#[case::nothing_too_soon(&[(0.00, 1, DebounceAction::Wait), (0.02, 1, DebounceAction::Offer), (0.021, 2, DebounceAction::Wait), (0.029, 2, DebounceAction::Wait), (0.042, 2, DebounceAction::Offer)])]
fn content_is_offered_once_it_has_settled(#[case] seen: &[(f64, u64, DebounceAction)]) {
    let mut debounce = Debouncer::new(QUICK);
    for (now, digest, step) in seen {
        assert_eq!(debounce.observe(*now, *digest), *step, "at {now}");
    }
}

struct Watch {
    folder: TempDir,
    events: Receiver<WatchEvent<Version>>,
    wake_sender: SyncSender<()>,
}

impl Watch {
    /// Watches `hosts.ini` at this place in a folder of its own, with notices or by looks alone.
    fn start(notifier: bool, place: &str, prepare: impl FnOnce(&Path)) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        prepare(folder.path());
        let files = vec![(FileKind::Hosts, folder.path().join(place))];
        let paths = files
            .iter()
            .map(|(_, path): &(FileKind, PathBuf)| path.clone())
            .collect();
        let watched = WatchSettings {
            files: paths,
            max_file_size: 1 << 20,
            debounce: QUICK,
            compare_interval: 0.2,
            use_notifier: notifier,
        };
        let wake = wake_channel();
        let wake_sender = wake.sender.clone();
        let (sender, events) = channel();
        let known = read_and_parse_files(&watched, |contents| {
            kestreltide_file_watch::parse_files(&files, contents)
        })
        .1;
        thread::spawn(move || {
            let parse = |contents: &[kestreltide_file_watch::Content]| {
                kestreltide_file_watch::parse_files(&files, contents)
            };
            watch_files(
                &watched,
                Some(known),
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

    fn at(&self, place: &str) -> PathBuf {
        self.folder.path().join(place)
    }

    /// The next event.
    fn next(&self) -> WatchEvent<Version> {
        self.events
            .recv_timeout(PATIENCE)
            .expect("something is told")
    }

    /// The next version, whatever is rejected before.
    fn version(&self) -> String {
        loop {
            if let WatchEvent::Version(version) = self.next() {
                return version.generation;
            }
        }
    }
}

fn replace(path: &Path, text: &str) {
    let new = path.with_extension("new");
    fs::write(&new, text)
        .and_then(|()| fs::rename(&new, path))
        .expect("it is replaced");
}

#[rstest]
#[case::with_notifier(true)]
#[case::by_polling(false)]
fn a_file_is_read_however_it_is_replaced(#[case] notifier: bool) {
    let watch = Watch::start(notifier, "hosts.ini", |folder| {
        fs::write(folder.join("hosts.ini"), hosts("1", &["a"])).expect("written")
    });
    let path = watch.at("hosts.ini");
    replace(&path, &hosts("2", &["b"]));
    assert_eq!(watch.version(), "2");
    fs::write(&path, hosts("3", &["c"])).expect("cut and written");
    assert_eq!(watch.version(), "3");
    // In place and in many small writes: each is seen, none of them taken.
    let text = hosts("4", &["a", "b", "c", "d", "e", "f"]);
    let mut file = File::create(&path).expect("cut");
    for piece in text.as_bytes().chunks(text.len() / 8) {
        file.write_all(piece)
            .and_then(|()| file.flush())
            .expect("written");
        thread::sleep(Duration::from_millis(40));
    }
    let event = watch.next();
    assert!(
        matches!(event, WatchEvent::Rejected(_)),
        "it had settled half-written: {event:?}"
    );
    assert_eq!(watch.version(), "4");
    // The same size at once after: only the content differs.
    replace(&path, &hosts("5", &["a", "b", "c", "d", "e", "g"]));
    assert_eq!(watch.version(), "5");
    fs::remove_file(&path).expect("deleted");
    let WatchEvent::Rejected(errors) = watch.next() else {
        panic!("it is gone")
    };
    assert!(errors.to_string().contains("cannot be read"), "{errors}");
    replace(&path, &hosts("6", &["a"]));
    assert_eq!(watch.version(), "6");
}

#[rstest]
#[case::with_notifier(true)]
#[case::by_polling(false)]
fn a_link_whose_folder_is_swapped_is_followed(#[case] notifier: bool) {
    let watch = Watch::start(notifier, "hosts.ini", |folder| {
        for generation in ["1", "2"] {
            fs::create_dir(folder.join(generation)).expect("a folder");
            fs::write(
                folder.join(generation).join("hosts.ini"),
                hosts(generation, &["a"]),
            )
            .expect("written");
        }
        symlink("1", folder.join("data")).expect("a link");
        symlink("data/hosts.ini", folder.join("hosts.ini")).expect("a link");
    });
    symlink("2", watch.at("new")).expect("a link");
    fs::rename(watch.at("new"), watch.at("data")).expect("swapped");
    assert_eq!(watch.version(), "2");
    // The folder behind the link goes away, and another comes to its place.
    fs::rename(watch.at("2"), watch.at("away")).expect("moved");
    assert!(matches!(watch.next(), WatchEvent::Rejected(_)));
    fs::create_dir(watch.at("2")).expect("a folder");
    fs::write(watch.at("2/hosts.ini"), hosts("3", &["a"])).expect("written");
    assert_eq!(watch.version(), "3");
    replace(&watch.at("2/hosts.ini"), &hosts("4", &["a"]));
    assert_eq!(watch.version(), "4");
}

#[test]
fn a_watched_folder_that_is_moved_away_and_comes_back_is_watched_again() {
    let watch = Watch::start(true, "set/hosts.ini", |folder| {
        fs::create_dir(folder.join("set")).expect("a folder");
        fs::write(folder.join("set/hosts.ini"), hosts("1", &["a"])).expect("written");
    });
    fs::rename(watch.at("set"), watch.at("away")).expect("moved");
    assert!(matches!(watch.next(), WatchEvent::Rejected(_)));
    replace(&watch.at("away/hosts.ini"), &hosts("2", &["a"]));
    fs::rename(watch.at("away"), watch.at("set")).expect("moved back");
    assert_eq!(watch.version(), "2");
    replace(&watch.at("set/hosts.ini"), &hosts("3", &["a"]));
    assert_eq!(watch.version(), "3");
}

/// What may stand at the path of a file.
#[rstest]
#[case::a_folder(|path: &Path| fs::create_dir(path).expect("made"), "is no file")]
#[case::a_socket(|path: &Path| drop(std::os::unix::net::UnixListener::bind(path).expect("made")), "is no file")]
#[case::a_hundred_megabytes(|path: &Path| File::create(path).and_then(|file| file.set_len(100 << 20)).expect("made"), "has 104857600 bytes, 1048576 at most are read")]
#[case::a_link_to_itself(|path: &Path| symlink(path, path).expect("made"), "cannot be read")]
#[case::a_pipe(|path: &Path| assert!(std::process::Command::new("mkfifo").arg(path).status().expect("it runs").success()), "is no file")]
fn what_is_no_text_file_delays_nothing(#[case] make: fn(&Path), #[case] why: &str) {
    let watch = Watch::start(true, "hosts.ini", |folder| {
        fs::write(folder.join("hosts.ini"), hosts("1", &["a"])).expect("written")
    });
    let path = watch.at("hosts.ini");
    fs::remove_file(&path).expect("deleted");
    make(&path);
    let since = Instant::now();
    loop {
        let WatchEvent::Rejected(errors) = watch.next() else {
            panic!("not a version")
        };
        if errors.to_string().contains(why) {
            break;
        }
        assert!(since.elapsed() < PATIENCE, "{errors}");
    }
    if path.is_dir() {
        fs::remove_dir(&path)
    } else {
        fs::remove_file(&path)
    }
    .expect("removed");
    replace(&path, &hosts("2", &["a"]));
    assert_eq!(watch.version(), "2");
}

#[test]
fn a_file_that_flaps_is_followed_no_faster_than_allowed() {
    let watch = Watch::start(true, "hosts.ini", |folder| {
        fs::write(folder.join("hosts.ini"), hosts("1", &["a"])).expect("written")
    });
    let since = Instant::now();
    let mut number = 0;
    while since.elapsed() < Duration::from_secs(1) {
        number += 1;
        replace(
            &watch.at("hosts.ini"),
            &hosts(if number % 2 == 0 { "even" } else { "odd" }, &["a"]),
        );
        thread::sleep(Duration::from_millis(3));
    }
    replace(&watch.at("hosts.ini"), &hosts("last", &["a"]));
    let mut seen = vec![];
    while seen.last().is_none_or(|last| last != "last") {
        seen.push(watch.version());
    }
    assert!(
        seen.len() > 1 && seen.len() <= 110,
        "{} versions",
        seen.len()
    );
}

#[test]
fn a_wake_up_or_a_lost_notification_finds_what_is_there() {
    let watch = Watch::start(false, "hosts.ini", |folder| {
        fs::write(folder.join("hosts.ini"), hosts("1", &["a"])).expect("written")
    });
    replace(&watch.at("hosts.ini"), &hosts("2", &["a"]));
    watch.wake_sender.send(()).expect("it watches");
    assert_eq!(watch.version(), "2");
}
