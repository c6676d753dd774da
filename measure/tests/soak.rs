//! The soak as continuous integration runs it: seeds 1 to 8, which include runs with and without extra connections and
//! runs whose router gets SIGTERM within the first second.

use std::process::Command;

use rstest::rstest;

/// Runs the soak; returns its exit code and everything that it prints.
fn run_soak(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_kestreltide-measure"))
        .arg("soak")
        .args(arguments)
        .output()
        .expect("the program starts");
    let printed = [output.stdout, output.stderr].concat();
    let printed = String::from_utf8_lossy(&printed).into_owned();
    (output.status.code(), printed)
}

#[test]
fn eight_seeds_break_no_rule() {
    let (code, printed) = run_soak(&["--seed", "1", "--seeds", "8", "--at-once", "2"]);
    assert_eq!(code, Some(0), "{printed}");
    let last = printed.lines().last().unwrap_or_default();
    assert!(
        last.starts_with("soak: seeds=8 ") && last.ends_with(" ok"),
        "{printed}"
    );
}

#[rstest]
#[case::no_seeds(&["--seeds", "0"], "--seeds: no seed is to be played")]
#[case::none_at_once(&["--at-once", "0"], "--at-once: no seed may be played at a time")]
#[case::last_seed_too_large(&["--seed", "18446744073709551615"], "--seed: the last seed is beyond")]
fn invalid_seed_range_is_an_input_error(#[case] arguments: &[&str], #[case] expected: &str) {
    let (code, printed) = run_soak(arguments);
    assert_eq!(code, Some(2), "{printed}");
    assert!(printed.contains(expected), "{printed}");
}
