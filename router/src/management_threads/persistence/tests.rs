//! What only `memory` itself can see.

use super::*;

#[test]
fn what_was_saved_is_loaded_and_any_changed_byte_is_noticed() {
    let folder = tempfile::tempdir().expect("a folder");
    assert_eq!(load(folder.path()), Ok(None));
    let remembered = PersistedState {
        router: "n0".into(),
        written: 5.0,
        ..PersistedState::default()
    };
    save(folder.path(), &remembered).expect("saved");
    assert_eq!(load(folder.path()), Ok(Some(remembered)));
    let bytes = fs::read(path(folder.path())).expect("read");
    for place in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[place] ^= 4;
        fs::write(path(folder.path()), &spoilt).expect("written");
        assert!(load(folder.path()).is_err(), "byte {place}");
        fs::write(path(folder.path()), &bytes[..place]).expect("written");
        assert!(load(folder.path()).is_err(), "cut at {place}");
    }
    quarantine(folder.path()).expect("moved");
    assert_eq!(load(folder.path()), Ok(None));
}
