//! What only `tree` itself can see.

use super::*;

#[test]
fn every_leaf_stands_at_its_place_in_the_table() {
    for (number, row) in LEAVES.iter().enumerate() {
        assert_eq!(
            (row.0 as usize, Leaf::by_name(row.1, row.2)),
            (number, Some(row.0))
        );
    }
}
