//! Tests of the private table of leaves.

use super::*;

#[test]
fn leaf_table_is_in_declaration_order() {
    for (number, row) in LEAVES.iter().enumerate() {
        assert_eq!(
            (row.leaf as usize, Leaf::by_name(row.container, row.name)),
            (number, Some(row.leaf))
        );
    }
}
