//! What files give: complete versions are accepted, of others only the errors are left.

mod support;

use kestreltide_file_watch::parse::{FileKind, Parsed, Version, parse_version};
use proptest::prelude::*;
use rstest::rstest;

use support::hosts;

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
