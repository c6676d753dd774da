use super::*;

#[test]
fn a_tenth_is_alike_and_more_is_not() {
    let alike = |real, hollow| {
        Compared {
            what: "",
            real,
            hollow,
        }
        .is_alike()
    };
    assert!(alike(10.0, 9.1) && alike(10.0, 10.9) && alike(0.0, 0.0));
    assert!(!alike(10.0, 8.9) && !alike(10.0, 11.1) && !alike(0.0, 1.0));
}
