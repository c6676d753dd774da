//! Unit tests of the parser of operator files.

use super::*;
use rstest::rstest;

#[test]
fn an_empty_file_and_the_example_file_yield_the_defaults() {
    let example = include_str!("../../../../deploy/operator.ini");
    for text in ["", example] {
        assert_eq!(
            parse(Path::new("operator.ini"), text).expect("valid"),
            OperatorSettings {
                history: HistoryLimits::default(),
                ..OperatorSettings::default()
            }
        );
    }
}

#[test]
fn relative_paths_are_resolved_against_the_files_directory() {
    let settings = parse(
        Path::new("/etc/k/o.ini"),
        "[watch]\nhosts = h.ini\nweights = /w.ini\n",
    )
    .expect("valid");
    let files = settings
        .file_watch
        .expect("files are watched")
        .watched
        .files;
    let paths: Vec<_> = files.iter().map(|path| path.to_str()).collect();
    assert_eq!(paths, [Some("/etc/k/h.ini"), Some("/w.ini")]);
}

#[rstest]
#[case::unknown_section(
    "[wach]\nhosts = h\n",
    "o.ini:1: no such section (given: wach; taken: watch?"
)]
#[case::unknown_key(
    "[watch]\nhots = h\nhosts = h\n",
    "o.ini:2: [watch] hots: no such key (given: hots; taken: hosts?"
)]
#[case::duplicate_key("[watch]\nhosts = h\nhosts = i\n", "[watch] hosts: stands twice")]
#[case::neither_on_nor_off(
    "[watch]\nhosts = h\ndiscovery = maybe\n",
    "o.ini:3: [watch] discovery: is neither (given: maybe; taken: on or off)"
)]
#[case::out_of_range(
    "[watch]\nhosts = h\nsettle = 1e9\n",
    "settle: is out of range (given: 1e9; taken: 0.001 to 10 seconds)"
)]
#[case::not_a_number("[watch]\nhosts = h\npoll = NaN\n", "poll: is out of range")]
#[case::no_watched_file("[watch]\npoll = 1\n", "names no file to watch")]
#[case::no_source_of_hosts("[watch]\nweights = w\ndiscovery = off\n", "nobody would list hosts")]
#[case::netconf_without_keys(
    "[management]\nnetconf = 127.0.0.1:0\nssh-host-key = k\n",
    "o.ini:1: [management] keys: is missing"
)]
#[case::gnmi_without_certificate(
    "[management]\ngnmi = 127.0.0.1:0\nkeys = k\n",
    "[management] certificate: is missing"
)]
#[case::invalid_address(
    "[management]\ngnmi = here\n",
    "gnmi: is no address and port (given: here"
)]
#[case::key_before_the_first_section("hosts = h\n", "a key stands before the first section")]
fn an_error_names_the_line_the_key_and_the_reason(#[case] text: &str, #[case] expected: &str) {
    let errors = parse(Path::new("o.ini"), text)
        .expect_err("invalid")
        .to_string();
    assert!(errors.contains(expected), "{errors}");
}

#[test]
fn all_errors_are_reported_at_once() {
    let errors = parse(
        Path::new("o.ini"),
        "[watch]\nhots = h\npoll = x\n[datastore]\nhistory = 0\n[x]\n",
    )
    .expect_err("invalid");
    assert_eq!(errors.first.len(), 4, "{errors}");
}
