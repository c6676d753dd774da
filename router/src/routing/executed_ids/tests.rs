use super::ExecutedIds;

#[test]
fn an_id_is_remembered_until_it_expires() {
    let mut ids = ExecutedIds::new(10, 5.0);
    ids.remember(b"one", 100.0);
    ids.remember(b"two", 101.0);
    assert!(ids.contains(b"one") && !ids.contains(b"other"));
    ids.remember(b"three", 105.5);
    assert!(!ids.contains(b"one") && ids.contains(b"three"));
}

#[test]
fn the_oldest_ids_are_forgotten_beyond_the_capacity() {
    let mut ids = ExecutedIds::new(3, 5.0);
    for id in 0..1000_u32 {
        ids.remember(&id.to_le_bytes(), 100.0);
    }
    assert_eq!((ids.by_age.len(), ids.hashes.len()), (3, 3));
    assert!(ids.contains(&999_u32.to_le_bytes()));
    assert!(!ids.contains(&996_u32.to_le_bytes()));
}
