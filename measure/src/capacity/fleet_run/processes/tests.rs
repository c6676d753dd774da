use super::*;

#[test]
fn a_threads_times_are_read() {
    assert_eq!(
        thread("2500000000 500000000 12\n"),
        Some(CoreTime {
            ran: 2.5,
            waited: 0.5
        })
    );
    assert_eq!(thread(""), None);
    assert!(core_time("self").ran > 0.0);
}
