use super::*;

#[test]
fn memory_has_returned_within_a_quarter_and_a_floor() {
    let of = |then, now| {
        MemoryThenNow {
            router: 1,
            then,
            now,
        }
        .has_returned()
    };
    assert!(of(20_000, 25_000 + MEMORY_FLOOR_KIB));
    assert!(!of(20_000, 25_001 + MEMORY_FLOOR_KIB));
}
