//! Error texts, which operators read and match: a change must be deliberate.

use std::io::ErrorKind;

use kestreltide_datastore::ValidationError;
use rstest::rstest;

use super::*;

fn not_found() -> io::Error {
    io::Error::new(ErrorKind::NotFound, "no such file")
}

#[rstest]
#[case(
    StartError::Thread(not_found()),
    "a thread cannot be started: no such file"
)]
#[case(
    StartError::Quarantine {
        damage: PersistenceError::Io { path: "state/revisions.json".into(), source: not_found() },
        source: not_found(),
    },
    "state/revisions.json: no such file; it cannot be put aside: no such file"
)]
#[case(
    StartError::InvalidFiles(ValidationError::new("hosts/a", "is unknown", "a", "b").into()),
    "hosts/a: is unknown (given: a; taken: b)"
)]
#[case(
    StartError::Listen {
        option: "netconf",
        address: ([127, 0, 0, 1], 830).into(),
        source: not_found(),
    },
    "[management] netconf: 127.0.0.1:830 cannot be listened on: no such file"
)]
#[case(
    StartError::ReadFile { option: "client-ca", path: "ca.pem".into(), source: not_found() },
    "[management] client-ca: ca.pem cannot be read: no such file"
)]
#[case(
    StartError::HostKey { path: "host_key".into(), source: keys::Error::KeyIsCorrupt },
    "[management] ssh-host-key: host_key is no private key: The key is corrupt"
)]
fn start_errors_have_stable_texts(#[case] error: StartError, #[case] text: &str) {
    assert_eq!(error.to_string(), text);
}
