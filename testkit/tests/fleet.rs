//! The test fleet: which attempts its hosts count as late.

use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, SystemTime};

use kestreltide_testkit::{Client, Fleet};

#[test]
fn attempts_after_the_last_allowed_time_are_late() {
    let fleet = Fleet::start([("a", "tag")]);
    let host = &fleet.hosts[0];
    let mut client = Client::connect(host.at);
    let late_attempts_after_request = |client: &mut Client, limit: Option<SystemTime>, id: &str| {
        host.set_last_attempt_time(limit);
        client.request(&["Q.ASK", "k", id, "c=read,d=500"]);
        (0..3).for_each(|_| drop(client.reply()));
        fleet.attempt_log.late_attempts.load(Relaxed)
    };
    let minute = Duration::from_secs(60);
    assert_eq!(late_attempts_after_request(&mut client, None, "1"), 0);
    assert_eq!(
        late_attempts_after_request(&mut client, Some(SystemTime::now() + minute), "2"),
        0
    );
    assert_eq!(
        late_attempts_after_request(&mut client, Some(SystemTime::now() - minute), "3"),
        1
    );
    assert_eq!(late_attempts_after_request(&mut client, None, "4"), 1);
}
