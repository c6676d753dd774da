//! Tests of the private table of leaves.

use super::*;

#[test]
fn every_leaf_stands_at_its_place_in_the_table() {
    for (number, row) in LEAVES.iter().enumerate() {
        assert_eq!(
            (row.leaf as usize, Leaf::by_name(row.container, row.name)),
            (number, Some(row.leaf))
        );
    }
}
