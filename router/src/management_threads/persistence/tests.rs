//! What only `persistence` itself can see.

use rstest::rstest;

use super::*;

#[test]
fn what_was_saved_is_loaded_and_any_changed_byte_is_noticed() {
    let folder = tempfile::tempdir().expect("a folder");
    assert_eq!(load(folder.path()).expect("readable"), None);
    let state = PersistedState {
        router: "n0".into(),
        written_at: 5.0,
        ..PersistedState::default()
    };
    save(folder.path(), &state).expect("saved");
    assert_eq!(load(folder.path()).expect("readable"), Some(state));
    let bytes = fs::read(state_file(folder.path())).expect("read");
    for place in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[place] ^= 4;
        fs::write(state_file(folder.path()), &spoilt).expect("written");
        assert!(load(folder.path()).is_err(), "byte {place}");
        fs::write(state_file(folder.path()), &bytes[..place]).expect("written");
        assert!(load(folder.path()).is_err(), "cut at {place}");
    }
    quarantine(folder.path()).expect("moved");
    assert_eq!(load(folder.path()).expect("readable"), None);
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
fn a_damaged_file_is_an_error_with_its_path_and_reason(#[case] content: &str, #[case] why: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = state_file(folder.path());
    fs::write(&path, content).expect("written");
    let error = load(folder.path()).expect_err("it is damaged");
    assert_eq!(
        error.to_string(),
        format!("{}: is damaged: {why}", path.display())
    );
}
