use super::*;

#[test]
fn lines_of_the_log_are_read() {
    let at = "Dec 02 00:00:10.100 INFO listening, router: r3, at: 127.0.0.1:4711, clients: 20, host_links: 9";
    assert_eq!(
        parse_log_line(at),
        Some(LogEvent::Listening(([127, 0, 0, 1], 4711).into()))
    );
    let accepted = "Dec 02 00:00:10.100 INFO watched files applied, router: r3, generation: 7, revision: 4, changes: 1";
    assert_eq!(
        parse_log_line(accepted),
        Some(LogEvent::FilesApplied {
            generation: 7,
            revision: 4
        })
    );
    let force = "Dec 02 00:00:10.100 INFO a revision is in force, router: r3, revision: 4, changed: 1, hosts: 2";
    assert_eq!(
        parse_log_line(force),
        Some(LogEvent::InForce { revision: 4 })
    );
    assert_eq!(
        parse_log_line("Dec 02 00:00:10.100 INFO ready, by: news, hosts: 3"),
        None
    );
}
