//! Parsing of messages that arrive in pieces.

mod common;

use kestreltide_router::limits::{RespLimits, ResponseLimits};
use kestreltide_router::protocol::{client, discovery, host, platform};

/// Every proper prefix of a message is incomplete, and bytes that follow the message are not consumed.
#[test]
fn no_message_is_parsed_before_its_last_byte() {
    let mut command = vec![];
    let text =
        b"*5\r\n$4\r\nQ.DO\r\n$1\r\nk\r\n$1\r\ni\r\n$14\r\nc=switch,d=100\r\n$3\r\na\r\n\r\n";
    command.extend_from_slice(text);
    let host_response = b"*3\r\n$4\r\n\r\n\r\n\r\n$-1\r\n$9\r\ninflight1\r\n";
    let rollout_state =
        br#"{"jsonrpc":"2.0","id":3,"result":{"image":4,"ring":1,"progress":"live","ceiling":1,"lag_ms":3}}"#;
    let rollout_state = [rollout_state.as_slice(), b"\n"].concat();
    let chunked =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let plain = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabcde";
    let limits = RespLimits {
        value: 100,
        words: 8,
        line: 100,
        digits: 9,
        message: 400,
        id: 40,
    };
    let assert_complete_at_last_byte =
        |bytes: &[u8], parsed_length: &dyn Fn(&[u8]) -> Option<usize>| {
            assert!((0..bytes.len()).all(|length| parsed_length(&bytes[..length]).is_none()));
            assert_eq!(parsed_length(&[bytes, b"more"].concat()), Some(bytes.len()));
        };
    assert_complete_at_last_byte(&command, &|bytes| {
        client::parse_command(bytes, &limits)
            .expect("well formed")
            .map(|parsed| parsed.1)
    });
    assert_complete_at_last_byte(host_response, &|bytes| {
        host::parse_response(bytes, &limits)
            .expect("well formed")
            .map(|parsed| parsed.1)
    });
    assert_complete_at_last_byte(&rollout_state, &|bytes| {
        platform::parse_line(bytes, 1000)
            .expect("well formed")
            .map(|parsed| parsed.1)
    });
    let response_limits = ResponseLimits {
        body: 1000,
        head: 1000,
        frame: 1000,
        headers: 8,
    };
    for response in [chunked.as_slice(), plain] {
        // Each call parses a prefix from its start, so that it begins with a new chunk state.
        let parsed_length = |bytes: &[u8]| {
            let parsed = discovery::parse_response(
                bytes,
                &response_limits,
                &mut discovery::ChunkedBody::default(),
            )
            .expect("well formed");
            parsed.map(|(response, used)| {
                assert_eq!(&*response.body, b"abcde");
                used
            })
        };
        assert_complete_at_last_byte(response, &parsed_length);
    }
}
