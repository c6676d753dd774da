//! Unit tests of the private function `supervise`.

use super::*;
use slog::{Discard, o};

#[test]
fn a_panicking_thread_is_restarted_with_its_state_and_the_panics_are_counted() {
    let mut runs = 0;
    let thread = supervise(Logger::root(Discard, o!()), "test", move || {
        runs += 1;
        assert!(runs > 2, "the first two runs panic");
    });
    assert_eq!(
        thread
            .expect("the thread starts")
            .join()
            .expect("the thread ends"),
        2
    );
}
