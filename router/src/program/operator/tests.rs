//! What only `operator` itself can see.

use super::*;
use rstest::rstest;

#[test]
fn an_empty_file_and_the_example_leave_everything_off() {
    let example = include_str!("../../../../deploy/operator.ini");
    for text in ["", example] {
        assert_eq!(
            parse(Path::new("operator.ini"), text).expect("well"),
            OperatorSettings {
                history: HistoryLimits::default(),
                ..OperatorSettings::default()
            }
        );
    }
}

#[test]
fn paths_are_from_the_files_own_folder() {
    let terms = parse(
        Path::new("/etc/k/o.ini"),
        "[watch]\nhosts = h.ini\nweights = /w.ini\n",
    )
    .expect("well");
    let files = terms.file_watch.expect("on").watched.files;
    let paths: Vec<_> = files.iter().map(|path| path.to_str()).collect();
    assert_eq!(paths, [Some("/etc/k/h.ini"), Some("/w.ini")]);
}

#[rstest]
#[case::section(
    "[wach]\nhosts = h\n",
    "o.ini:1: no such section (given: wach; taken: watch?"
)]
#[case::key(
    "[watch]\nhots = h\nhosts = h\n",
    "o.ini:2: [watch] hots: no such key (given: hots; taken: hosts?"
)]
#[case::twice("[watch]\nhosts = h\nhosts = i\n", "[watch] hosts: stands twice")]
#[case::flag(
    "[watch]\nhosts = h\ndiscovery = maybe\n",
    "o.ini:3: [watch] discovery: is neither (given: maybe; taken: on or off)"
)]
#[case::range(
    "[watch]\nhosts = h\nsettle = 1e9\n",
    "settle: is out of range (given: 1e9; taken: 0.001 to 10 seconds)"
)]
#[case::number("[watch]\nhosts = h\npoll = NaN\n", "poll: is out of range")]
#[case::none("[watch]\npoll = 1\n", "names no file to watch")]
#[case::nobody("[watch]\nweights = w\ndiscovery = off\n", "nobody would list hosts")]
#[case::no_keys(
    "[management]\nnetconf = 127.0.0.1:0\nssh-host-key = k\n",
    "o.ini:1: [management] keys: is missing"
)]
#[case::no_certificate(
    "[management]\ngnmi = 127.0.0.1:0\nkeys = k\n",
    "[management] certificate: is missing"
)]
#[case::no_address(
    "[management]\ngnmi = here\n",
    "gnmi: is no address and port (given: here"
)]
#[case::before("hosts = h\n", "a key stands before the first section")]
fn what_is_wrong_is_told_with_its_line(#[case] text: &str, #[case] why: &str) {
    let errors = parse(Path::new("o.ini"), text)
        .expect_err("wrong")
        .to_string();
    assert!(errors.contains(why), "{errors}");
}

#[test]
fn all_that_is_wrong_is_told_at_once() {
    let errors = parse(
        Path::new("o.ini"),
        "[watch]\nhots = h\npoll = x\n[datastore]\nhistory = 0\n[x]\n",
    )
    .expect_err("wrong");
    assert_eq!(errors.first.len(), 4, "{errors}");
}
