use std::net::SocketAddr;

use kestreltide_router::protocol::discovery::{ListWatch, write_list_request};

use super::*;

fn requested(watch: Option<(u64, u64)>) -> Vec<u8> {
    let mut bytes = vec![];
    let watch = watch.map(|(known_revision, hold_millis)| ListWatch {
        known_revision,
        hold_millis,
    });
    write_list_request(&mut bytes, SocketAddr::from(([127, 0, 0, 1], 1)), watch);
    bytes
}

#[test]
fn what_routers_write_is_read() {
    let complete = requested(None);
    assert_eq!(
        question(&complete),
        Some(Question {
            watch: None,
            bytes: complete.len()
        })
    );
    let mut watch = requested(Some((41, 5_000)));
    let bytes = watch.len();
    watch.extend(requested(None));
    assert_eq!(
        question(&watch),
        Some(Question {
            watch: Some((41, Duration::from_secs(5))),
            bytes
        })
    );
    assert_eq!(question(&complete[..complete.len() - 1]), None);
}
