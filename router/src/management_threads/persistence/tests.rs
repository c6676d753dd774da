//! Unit tests that need the private functions of `persistence`.

use rstest::rstest;

use super::*;

#[test]
fn a_saved_state_is_loaded_and_any_changed_byte_or_truncation_is_detected() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    assert_eq!(load(directory.path()).expect("readable"), None);
    let state = PersistedState {
        router: "n0".into(),
        written_at: 5.0,
        ..PersistedState::default()
    };
    save(directory.path(), &state).expect("saved");
    assert_eq!(load(directory.path()).expect("readable"), Some(state));
    let bytes = fs::read(state_file(directory.path())).expect("read");
    for position in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[position] ^= 4;
        fs::write(state_file(directory.path()), &damaged).expect("written");
        assert!(load(directory.path()).is_err(), "byte {position} changed");
        fs::write(state_file(directory.path()), &bytes[..position]).expect("written");
        assert!(load(directory.path()).is_err(), "cut at byte {position}");
    }
    quarantine(directory.path()).expect("moved");
    assert_eq!(load(directory.path()).expect("readable"), None);
}

#[rstest]
#[case("", "it is too short")]
#[case(
    "kestreltide-revisions 1\n{}\ncheck 00000000\n",
    "its check is not that of its content"
)]
#[case(
    "kestreltide-revisions 9\n{}\ncheck 68bb97e0\n",
    "its form is not known"
)]
fn a_damaged_file_is_an_error_with_its_path_and_reason(
    #[case] content: &str,
    #[case] reason: &str,
) {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = state_file(directory.path());
    fs::write(&path, content).expect("written");
    let error = load(directory.path()).expect_err("it is damaged");
    assert_eq!(
        error.to_string(),
        format!("{}: is damaged: {reason}", path.display())
    );
}
