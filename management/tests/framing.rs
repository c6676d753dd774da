//! Tests of the framing of NETCONF messages.

use kestreltide_management::netconf::framing::{FrameDecoder, Framing, encode_message};
use proptest::prelude::*;
use rstest::rstest;

/// Chunked messages with an invalid header, an invalid size or no chunk. The decoder has to reject them at the first
/// invalid byte, whatever size a chunk announces.
#[rstest]
#[case::missing_leading_line_feed(b"#4\nabcd\n##\n")]
#[case::zero_size(b"\n#0\n\n##\n")]
#[case::leading_zero(b"\n#04\nabcd\n##\n")]
#[case::negative_size(b"\n#-4\n")]
#[case::chunk_above_message_limit(b"\n#101\n")]
#[case::size_above_u32(b"\n#4294967296\n")]
#[case::too_many_digits(b"\n#11111111111")]
// One byte of data more than the announced 60: the last `0` stands where the next chunk header has to begin.
#[case::data_one_byte_above_size(
    b"\n#60\n0123456789012345678901234567890123456789012345678901234567890\n"
)]
#[case::no_chunk(b"\n##\n")]
#[case::size_below_data_length(b"\n#2\nabcd\n##\n")]
fn invalid_chunk_is_rejected(#[case] bytes: &[u8]) {
    let mut decoder = FrameDecoder::new(100);
    decoder.use_chunked_framing();
    decoder.push(bytes);
    assert!(decoder.next_message().is_err());
}

#[test]
fn unterminated_message_above_limit_is_rejected() {
    let mut decoder = FrameDecoder::new(100);
    let mut rejected = false;
    for _ in 0..50 {
        decoder.push(b"0123456789");
        rejected |= decoder.next_message().is_err();
    }
    assert!(rejected);
}

proptest! {
    /// The decoder returns the encoded messages however the bytes are split into reads.
    #[test]
    fn split_reads_decode_to_same_messages(
        messages in prop::collection::vec("[a-z\n#\\]>0-9]{1,40}", 1..6), read_sizes in prop::collection::vec(1usize..9, 1..60), chunked in any::<bool>(),
    ) {
        prop_assume!(messages.iter().all(|message| !message.contains("]]>")));
        let framing = if chunked { Framing::Chunked } else { Framing::EndOfMessage };
        let bytes: Vec<u8> = messages.iter().flat_map(|message| encode_message(framing, message)).collect();
        let mut decoder = FrameDecoder::new(100);
        if chunked {
            decoder.use_chunked_framing();
        }
        let (mut decoded, mut unread, mut read_sizes) = (vec![], bytes.as_slice(), read_sizes.iter().cycle());
        while !unread.is_empty() {
            let read_size = read_sizes.next().copied().unwrap_or(1).min(unread.len());
            decoder.push(&unread[..read_size]);
            unread = &unread[read_size..];
            while let Some(message) = decoder.next_message().expect("valid framing") {
                decoded.push(String::from_utf8(message).expect("UTF-8 text"));
            }
        }
        prop_assert_eq!(decoded, messages);
    }

    #[test]
    fn arbitrary_bytes_decode_within_limit_or_fail(bytes in prop::collection::vec(prop::sample::select(b"\n#0123]>a".to_vec()), 0..80), chunked in any::<bool>()) {
        let mut decoder = FrameDecoder::new(40);
        if chunked {
            decoder.use_chunked_framing();
        }
        for byte in bytes {
            decoder.push(&[byte]);
            match decoder.next_message() {
                Ok(Some(message)) => prop_assert!(message.len() <= 40),
                Ok(None) => {}
                Err(_) => break,
            }
        }
    }
}
