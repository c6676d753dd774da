//! Parsing of watched files: complete and valid versions are accepted; anything else is rejected with its errors.

mod support;

use kestreltide_file_watch::parse::{FileKind, Parsed, Version, parse_version};
use proptest::prelude::*;
use rstest::rstest;

use support::hosts_file;

/// Returns a complete file of weights.
fn weights_file(generation: &str, weights: &[(&str, &str)]) -> String {
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
        other => panic!("complete files: {other:?}"),
    }
}

#[test]
fn files_of_one_generation_are_one_version() {
    let version = complete(parse_files(
        &hosts_file("5", &["a", "b"]),
        Some(&weights_file("5", &[("b", "2.5")])),
    ));
    assert_eq!(
        (version.generation.as_str(), version.tree.hosts.len()),
        ("5", 2)
    );
    let b = version.tree.hosts.values().nth(1).expect("two hosts");
    // The weight comes from the file of weights, the build from the file of hosts.
    assert_eq!((b.weight, b.build), (Some(2.5), Some(41)));
}

#[test]
fn files_of_two_generations_are_mismatched() {
    let Parsed::Mismatched(errors) =
        parse_files(&hosts_file("5", &["a"]), Some(&weights_file("4", &[])))
    else {
        panic!("the generations differ")
    };
    let text = errors.to_string();
    assert!(
        text.contains(
            "weights.ini: generation: is of another generation than hosts.ini, which names 5"
        ),
        "{text}"
    );
}

/// Each case modifies a valid file, and gives the expected position and error.
#[rstest]
#[case::empty("", "hosts.ini: is empty")]
#[case::no_generation(
    "[host a]\n[end]\nhosts = 1\n",
    "names no generation before its first section"
)]
#[case::mistyped_key(&hosts_file("5", &["a"]).replace("zone =", "zonw ="), "hosts.ini:5: [host a] zonw: no such key (given: zonw; taken: zone?")]
#[case::mistyped_section(&hosts_file("5", &["a"]).replace("[host a]", "[hots a]").replace("hosts = 1", "hosts = 0"), "hosts.ini:3: no such section (given: hots a; taken: host NAME?")]
#[case::duplicate_host(&hosts_file("5", &["a", "a"]), "a was named before, at hosts.ini:3")]
#[case::duplicate_leaf(&hosts_file("5", &["a"]).replace("zone = north", "zone = north\nzone = south"), "hosts/a/zone was said before, at hosts.ini:5")]
#[case::nan(&hosts_file("5", &["a"]).replace("kind = std", "kind = std\nweight = NaN"), "hosts.ini:7: hosts/a/weight: is no finite number (given: NaN; taken: a number from 0.01 to 100")]
#[case::no_line_feed_at_the_end(&hosts_file("5", &["a"]).strip_suffix("\n").map(str::to_owned).unwrap_or_default(), "its last line has no end")]
#[case::end_names_another_generation(&hosts_file("5", &["a"]).replacen("generation = 5", "generation = 6", 1), "[end] generation: is not that of the head (given: 5; taken: 6)")]
#[case::end_has_another_count(&hosts_file("5", &["a"]).replace("hosts = 1", "hosts = 2"), "1 stand in the file (given: 2; taken: 1)")]
#[case::section_behind_the_end(&(hosts_file("5", &["a"]) + "[host b]\n"), "sections stand behind [end]")]
#[case::nul(&hosts_file("5", &["a"]).replace("north", "no\0th"), "hosts.ini:5: holds a NUL")]
#[case::not_ini(&hosts_file("5", &["a"]).replace("zone = north", "zone north"), "hosts.ini:")]
fn an_invalid_file_is_rejected_with_line_and_reason(#[case] text: &str, #[case] reason: &str) {
    let (Parsed::Incomplete(errors) | Parsed::Invalid(errors)) = parse_files(text, None) else {
        panic!("the file is not valid")
    };
    assert!(errors.to_string().contains(reason), "{errors}");
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = hosts_file("5", &["a", "b"]).replace("kind = std", "kinf = std\nsize = -1");
    let Parsed::Invalid(errors) =
        parse_files(&text, Some(&weights_file("5", &[("a", "x"), ("b/", "1")])))
    else {
        panic!("the files are complete but not valid")
    };
    // The key `kinf` and the negative size of each of the two hosts, the weight `x`, and the host name `b/`.
    assert_eq!(errors.first.len(), 6, "{errors}");
}

#[test]
fn files_that_are_not_utf8_are_invalid() {
    let mut bytes = hosts_file("5", &["a"]).into_bytes();
    // A byte in the endpoint of the host; 0xff occurs in no UTF-8 text.
    bytes[40] = 0xff;
    let Parsed::Invalid(errors) = parse_version(&[(FileKind::Hosts, "hosts.ini", &Ok(bytes))])
    else {
        panic!("the files are complete but not valid")
    };
    assert!(
        errors.to_string().contains("is not UTF-8 from byte 40"),
        "{errors}"
    );
}

proptest! {
    /// A file that is truncated at any position, or of which the beginning has been overwritten by another version, is not
    /// accepted as a version.
    #[test]
    fn a_cut_or_partly_overwritten_file_is_never_a_version(cut in 0.0f64..1.0, new_count in 1usize..5, old_count in 5usize..12) {
        let names: Vec<_> = (0..old_count).map(|n| format!("h{n}")).collect();
        let names: Vec<_> = names.iter().map(String::as_str).collect();
        let (old, new) = (hosts_file("17", &names), hosts_file("18", &names[..new_count]));
        // `cut` is the position as a fraction of the file's length.
        let at = (cut * old.len() as f64) as usize;
        prop_assert!(!matches!(parse_files(&old[..at], None), Parsed::Complete(_)), "cut at {}", at);
        // The new version has been written up to `at` over the old one, without truncating the file first.
        // The two differ first in byte 14, the last digit of the generation: with fewer than 15 bytes of the new one, the
        // file would still be the complete old version.
        let at = ((cut * new.len() as f64) as usize).max(15);
        let mixed = format!("{}{}", &new[..at], &old[at..]);
        prop_assert!(!matches!(parse_files(&mixed, None), Parsed::Complete(_)), "mixed at {}", at);
    }

    /// The parser returns a result for any text, without a panic.
    #[test]
    fn any_text_is_parsed_without_a_panic(text in "(\\[?(host|end|guards|weights)? ?[a-z]{0,3}\\]?( ?= ?[0-9.a-z]{0,4})?\r?\n?){0,20}") {
        let _ = parse_files(&text, Some(&text));
    }

    /// The parser returns a result for any bytes, without a panic.
    #[test]
    fn any_bytes_are_parsed_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse_version(&[(FileKind::Hosts, "h", &Ok(bytes.clone())), (FileKind::Weights, "w", &Ok(bytes))]);
    }
}

/// A complete keys file with one key.
const KEYS: &str = "generation = 3\n[key ana]\nssh = ssh-ed25519 AAAAC3NzaC1lZDI1NTE5AAAA ana@home\nrights = read, weights\n[end]\nkeys = 1\ngeneration = 3\n";

/// Each case replaces a text in a valid keys file, and gives the expected error; `None` if the file stays valid. The file
/// format names the right to override a rollout `ring`.
#[rstest]
#[case::valid("", "", None)]
#[case::unknown_right(
    "read, weights",
    "read, write",
    Some("keys.ini:4: [key ana] rights: write is none of read, weights, routes, ring")
)]
#[case::missing_rights("rights = read, weights\n", "", Some("[key ana] rights: is missing"))]
#[case::missing_credential(
    "ssh = ssh-ed25519 AAAAC3NzaC1lZDI1NTE5AAAA ana@home\n",
    "",
    Some("has neither of both")
)]
#[case::truncated_key("AAAAC3NzaC1lZDI1NTE5AAAA ana@home", "AAAA", Some("is no public key"))]
#[case::truncated_certificate_hash(
    "ssh = ssh-ed25519 AAAAC3NzaC1lZDI1NTE5AAAA ana@home",
    "certificate = 00ff",
    Some("is no SHA-256")
)]
#[case::mistyped_section("[key ana]", "[kay ana]", Some("no such section"))]
#[case::end_has_another_count("keys = 1", "keys = 2", Some("1 stand in the file"))]
fn a_keys_file_is_accepted_completely_or_not_at_all(
    #[case] old_text: &str,
    #[case] new_text: &str,
    #[case] reason: Option<&str>,
) {
    let text = KEYS.replacen(old_text, new_text, 1);
    match (
        kestreltide_file_watch::parse_keys("keys.ini", &Ok(text.into_bytes())),
        reason,
    ) {
        (Parsed::Complete(keys), None) => {
            let [key] = keys.keys.as_slice() else {
                panic!("one key: {keys:?}")
            };
            assert!(key.name == "ana" && key.rights.weights && !key.rights.rollout);
        }
        (Parsed::Incomplete(errors) | Parsed::Invalid(errors), Some(reason)) => {
            assert!(errors.to_string().contains(reason), "{errors}");
        }
        (other, _) => panic!("{other:?}"),
    }
}
