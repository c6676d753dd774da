//! Files that are edited while they are watched: complete versions are handed on, of others only the errors.

use std::fs::{self, File};
use std::io::Write;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, channel};
use std::thread;
use std::time::{Duration, Instant};

use kestreltide_file_watch::debounce::{DebounceAction, DebounceSettings, Debouncer};
use kestreltide_file_watch::parse::{FileKind, Parsed, Version, parse_version};
use kestreltide_file_watch::watch::{WatchEvent, WatchSettings, poll_files, run, wake_channel};
use proptest::prelude::*;
use rstest::rstest;
use tempfile::TempDir;

const QUICK: DebounceSettings = DebounceSettings {
    quiet_period: 0.02,
    max_delay: 0.15,
    poll_interval: 0.05,
    min_interval: 0.01,
};
const PATIENCE: Duration = Duration::from_secs(10);

fn hosts(generation: &str, names: &[&str]) -> String {
    let mut text = format!("generation = {generation}\n\n");
    for (number, name) in names.iter().enumerate() {
        let port = 7000 + number;
        text += &format!(
            "[host {name}]\nendpoint = 127.0.0.1:{port}\nzone = north\nkind = std\nbuild = 41\n\n"
        );
    }
    text + &format!(
        "[end]\nhosts = {}\ngeneration = {generation}\n",
        names.len()
    )
}

fn weights(generation: &str, weights: &[(&str, &str)]) -> String {
    let lines: String = weights
        .iter()
        .map(|(name, weight)| format!("{name} = {weight}\n"))
        .collect();
    format!(
        "generation = {generation}\n[weights]\n{lines}[end]\nentries = {}\ngeneration = {generation}\n",
        weights.len()
    )
}

fn parse_files(hosts: &str, weights: Option<&str>) -> Parsed<Version> {
    let (hosts, weights) = (
        Ok(hosts.as_bytes().to_vec()),
        weights.map(|text| Ok(text.as_bytes().to_vec())),
    );
    let mut files = vec![(FileKind::Hosts, "hosts.ini", &hosts)];
    files.extend(
        weights
            .iter()
            .map(|text| (FileKind::Weights, "weights.ini", text)),
    );
    parse_version(&files)
}

fn complete(parsed: Parsed<Version>) -> Version {
    match parsed {
        Parsed::Complete(version) => version,
        other => panic!("whole: {other:?}"),
    }
}

#[test]
fn files_of_one_generation_are_one_version() {
    let version = complete(parse_files(
        &hosts("5", &["a", "b"]),
        Some(&weights("5", &[("b", "2.5")])),
    ));
    assert_eq!(
        (version.generation.as_str(), version.tree.hosts.len()),
        ("5", 2)
    );
    let b = version.tree.hosts.values().nth(1).expect("two hosts");
    assert_eq!((b.weight, b.build), (Some(2.5), Some(41)));
}

#[test]
fn files_of_two_generations_are_none() {
    let Parsed::Mismatched(errors) = parse_files(&hosts("5", &["a"]), Some(&weights("4", &[])))
    else {
        panic!("apart")
    };
    let text = errors.to_string();
    assert!(
        text.contains(
            "weights.ini: generation: is of another generation than hosts.ini, which names 5"
        ),
        "{text}"
    );
}

/// What is done to a well file, and where and why it is not taken.
#[rstest]
#[case::empty("", "hosts.ini: is empty")]
#[case::no_generation(
    "[host a]\n[end]\nhosts = 1\n",
    "names no generation before its first section"
)]
#[case::mistyped_key(&hosts("5", &["a"]).replace("zone =", "zonw ="), "hosts.ini:5: [host a] zonw: no such key (given: zonw; taken: zone?")]
#[case::mistyped_section(&hosts("5", &["a"]).replace("[host a]", "[hots a]").replace("hosts = 1", "hosts = 0"), "hosts.ini:3: no such section (given: hots a; taken: host NAME?")]
#[case::one_id_twice(&hosts("5", &["a", "a"]), "a was named before, at hosts.ini:3")]
#[case::one_key_twice(&hosts("5", &["a"]).replace("zone = north", "zone = north\nzone = south"), "hosts/a/zone was said before, at hosts.ini:5")]
#[case::nan(&hosts("5", &["a"]).replace("kind = std", "kind = std\nweight = NaN"), "hosts.ini:7: hosts/a/weight: is no finite number (given: NaN; taken: a number from 0.01 to 100")]
#[case::no_end_of_line(&hosts("5", &["a"]).strip_suffix("\n").map(str::to_owned).unwrap_or_default(), "its last line has no end")]
#[case::other_end(&hosts("5", &["a"]).replacen("generation = 5", "generation = 6", 1), "[end] generation: is not that of the head (given: 5; taken: 6)")]
#[case::other_count(&hosts("5", &["a"]).replace("hosts = 1", "hosts = 2"), "1 stand in the file (given: 2; taken: 1)")]
#[case::more_behind(&(hosts("5", &["a"]) + "[host b]\n"), "sections stand behind [end]")]
#[case::nul(&hosts("5", &["a"]).replace("north", "no\0th"), "hosts.ini:5: holds a NUL")]
#[case::no_ini(&hosts("5", &["a"]).replace("zone = north", "zone north"), "hosts.ini:")]
fn an_invalid_file_is_rejected_with_line_and_reason(#[case] text: &str, #[case] why: &str) {
    let (Parsed::Incomplete(errors) | Parsed::Invalid(errors)) = parse_files(text, None) else {
        panic!("not well")
    };
    assert!(errors.to_string().contains(why), "{errors}");
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = hosts("5", &["a", "b"]).replace("kind = std", "kinf = std\nsize = -1");
    let Parsed::Invalid(errors) =
        parse_files(&text, Some(&weights("5", &[("a", "x"), ("b/", "1")])))
    else {
        panic!("wrong")
    };
    assert_eq!(errors.first.len(), 6, "{errors}");
}

#[test]
fn files_that_are_not_utf8_are_no_version() {
    let mut bytes = hosts("5", &["a"]).into_bytes();
    bytes[40] = 0xff;
    let Parsed::Invalid(errors) = parse_version(&[(FileKind::Hosts, "hosts.ini", &Ok(bytes))])
    else {
        panic!("wrong")
    };
    assert!(
        errors.to_string().contains("is not UTF-8 from byte 40"),
        "{errors}"
    );
}

proptest! {
    /// A file cut anywhere, or its head over the tail of another, is never a version that nobody wrote.
    #[test]
    fn no_cut_and_no_mix_is_a_version(cut in 0.0f64..1.0, few in 1usize..5, more in 5usize..12) {
        let names: Vec<_> = (0..more).map(|n| format!("h{n}")).collect();
        let names: Vec<_> = names.iter().map(String::as_str).collect();
        let (old, new) = (hosts("17", &names), hosts("18", &names[..few]));
        let at = (cut * old.len() as f64) as usize;
        prop_assert!(!matches!(parse_files(&old[..at], None), Parsed::Complete(_)), "cut at {}", at);
        // Written over in place without cutting first, so far.
        let at = ((cut * new.len() as f64) as usize).max(15);
        let mixed = format!("{}{}", &new[..at], &old[at..]);
        prop_assert!(!matches!(parse_files(&mixed, None), Parsed::Complete(_)), "mixed at {}", at);
    }

    /// Whatever stands in a file: an answer, and no panic.
    #[test]
    fn any_text_has_an_answer(text in "(\\[?(host|end|guards|weights)? ?[a-z]{0,3}\\]?( ?= ?[0-9.a-z]{0,4})?\r?\n?){0,20}") {
        let _ = parse_files(&text, Some(&text));
    }

    #[test]
    fn any_bytes_have_an_answer(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse_version(&[(FileKind::Hosts, "h", &Ok(bytes.clone())), (FileKind::Weights, "w", &Ok(bytes))]);
    }
}

const KEYS: &str = "generation = 3\n[key ana]\nssh = ssh-ed25519 AAAAC3NzaC1lZDI1NTE5AAAA ana@home\nrights = read, weights\n[end]\nkeys = 1\ngeneration = 3\n";

/// What is done to a well file of keys, and why it is not taken.
#[rstest]
#[case::well("", "", None)]
#[case::right(
    "read, weights",
    "read, write",
    Some("keys.ini:4: [key ana] rights: write is none of read, weights, routes, ring")
)]
#[case::no_right("rights = read, weights\n", "", Some("[key ana] rights: is missing"))]
#[case::no_key(
    "ssh = ssh-ed25519 AAAAC3NzaC1lZDI1NTE5AAAA ana@home\n",
    "",
    Some("has neither of both")
)]
#[case::half_a_key("AAAAC3NzaC1lZDI1NTE5AAAA ana@home", "AAAA", Some("is no public key"))]
#[case::certificate(
    "ssh = ssh-ed25519 AAAAC3NzaC1lZDI1NTE5AAAA ana@home",
    "certificate = 00ff",
    Some("is no SHA-256")
)]
#[case::section("[key ana]", "[kay ana]", Some("no such section"))]
#[case::cut("keys = 1", "keys = 2", Some("1 stand in the file"))]
fn a_file_of_keys_is_accepted_completely_or_not_at_all(
    #[case] is: &str,
    #[case] becomes: &str,
    #[case] why: Option<&str>,
) {
    let text = KEYS.replacen(is, becomes, 1);
    match (
        kestreltide_file_watch::parse_keys("keys.ini", &Ok(text.into_bytes())),
        why,
    ) {
        (Parsed::Complete(keys), None) => {
            let [key] = keys.keys.as_slice() else {
                panic!("one key: {keys:?}")
            };
            assert!(key.name == "ana" && key.rights.weights && !key.rights.rollout);
        }
        (Parsed::Incomplete(errors) | Parsed::Invalid(errors), Some(why)) => {
            assert!(errors.to_string().contains(why), "{errors}");
        }
        (other, _) => panic!("{other:?}"),
    }
}

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
        let known = poll_files(&watched, |contents| {
            kestreltide_file_watch::parse_files(&files, contents)
        })
        .1;
        thread::spawn(move || {
            let parse = |contents: &[kestreltide_file_watch::Content]| {
                kestreltide_file_watch::parse_files(&files, contents)
            };
            run(
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
