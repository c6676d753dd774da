//! What only `supervise` itself can see.

use super::*;
use slog::{Discard, o};

#[test]
fn a_thread_that_panics_is_started_again_and_goes_on() {
    let mut steps = 0;
    let thread = supervise(Logger::root(Discard, o!()), "test", move || {
        steps += 1;
        assert!(steps > 2, "it dies twice");
    });
    assert_eq!(thread.expect("it starts").join().expect("it ends"), 2);
}
