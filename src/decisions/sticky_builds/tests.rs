use super::{BuildId, KeyHash, MAX_BOUND_KEYS, StickyBuilds};

const OLD: BuildId = BuildId(40);
const NEW: BuildId = BuildId(41);
const NEXT: BuildId = BuildId(42);

/// A table with so many keys bound to each of these builds.
fn bound(builds: &[(BuildId, usize)]) -> StickyBuilds {
    let mut table = StickyBuilds::default();
    let mut number = 0;
    for (build, keys) in builds {
        for _ in 0..*keys {
            number += 1;
            table.bind(KeyHash(number), *build);
        }
    }
    table
}

#[test]
fn a_key_keeps_its_newest_build_until_that_is_rolled_back() {
    let mut table = bound(&[(NEW, 1)]);
    let key = Some(KeyHash(1));
    table.bind(KeyHash(1), OLD);
    assert_eq!(table.get(key), Some(NEW));
    table.bind(KeyHash(1), NEXT);
    assert_eq!(table.get(key), Some(NEXT));
    table.unbind(NEXT);
    assert_eq!(table.get(key), None);
}

#[test]
fn a_generalized_binding_applies_to_all_keys_and_takes_no_memory() {
    let mut table = bound(&[(NEW, MAX_BOUND_KEYS - 1), (NEXT, 1)]);
    assert!(table.is_full());
    table.bind_all_keys(NEW);
    assert_eq!(table.by_key.len(), 1);
    assert_eq!(table.get(Some(KeyHash(u64::MAX))), Some(NEW));
    assert_eq!(table.get(Some(KeyHash(MAX_BOUND_KEYS as u64))), Some(NEXT));
    table.bind(KeyHash(u64::MAX), NEW);
    assert_eq!(table.by_key.len(), 1);
    table.unbind(NEW);
    assert_eq!(table.get(Some(KeyHash(u64::MAX))), None);
}

#[test]
fn settled_builds_are_merged_into_the_newest_and_one_that_may_be_rolled_back_stays() {
    let mut table = StickyBuilds::default();
    for build in [OLD, NEW, NEXT] {
        table.bind_all_keys(build);
    }
    table.merge_settled(NEXT);
    assert_eq!(table.of_all_keys.len(), 2);
    table.unbind(NEXT);
    assert_eq!(table.get(Some(KeyHash(1))), Some(NEW));
}
