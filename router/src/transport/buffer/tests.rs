use std::rc::Rc;

use super::super::memory_ledger::BufferLimits;
use super::{Buffer, BufferOwner, CHUNK_BYTES, MemoryLedger};

const LIMIT: usize = 4 * CHUNK_BYTES;

fn limited_ledger() -> Rc<MemoryLedger> {
    Rc::new(MemoryLedger::new(BufferLimits {
        total: 2 * LIMIT,
        client_input: LIMIT,
        commands: LIMIT,
        replies: LIMIT,
    }))
}

/// Fills the buffer as far as the budget allows, and returns the number of bytes.
fn fill(buffer: &mut Buffer) -> usize {
    let before = buffer.len();
    while let Some(spare) = buffer.spare(1000) {
        spare.fill(7);
        let length = spare.len();
        buffer.advance(length);
    }
    buffer.len() - before
}

#[test]
fn bytes_are_consumed_in_the_order_in_which_they_were_appended() {
    let ledger = limited_ledger();
    let mut buffer = Buffer::new(BufferOwner::Replies, &ledger);
    let bytes: Vec<u8> = (0..100_000).map(|n: u32| n as u8).collect();
    let mut expected = bytes.as_slice();
    for (index, part) in bytes.chunks(777).enumerate() {
        buffer.append(part);
        let consumed = index * 3 % 500;
        buffer.consume(consumed);
        expected = &expected[consumed..];
    }
    assert_eq!(buffer.data(), expected);
}

#[test]
fn an_empty_buffer_holds_no_memory() {
    let ledger = limited_ledger();
    let mut buffer = Buffer::new(BufferOwner::Replies, &ledger);
    buffer.append(&[1; 3 * CHUNK_BYTES]);
    assert_eq!(ledger.held(BufferOwner::Replies), 3 * CHUNK_BYTES);
    buffer.consume(3 * CHUNK_BYTES);
    assert_eq!((buffer.held(), ledger.held(BufferOwner::Replies)), (0, 0));
    assert!(ledger.take_released());
    buffer.append(&[1]);
    drop(buffer);
    assert_eq!(ledger.held(BufferOwner::Replies), 0);
}

#[test]
fn input_stops_at_the_budget_and_goes_on_once_others_have_released_theirs() {
    let ledger = limited_ledger();
    let mut first = Buffer::new(BufferOwner::ClientInput, &ledger);
    let mut second = Buffer::new(BufferOwner::ClientInput, &ledger);
    assert_eq!(fill(&mut first), LIMIT);
    // The first chunk of a buffer is always available, so that short commands are read beside long ones.
    assert_eq!(fill(&mut second), CHUNK_BYTES);
    first.consume(LIMIT);
    assert_eq!(fill(&mut second), LIMIT - CHUNK_BYTES);
    assert_eq!(ledger.held(BufferOwner::ClientInput), LIMIT);
}

#[test]
fn input_from_hosts_may_use_what_all_others_leave() {
    let ledger = limited_ledger();
    let mut replies = Buffer::new(BufferOwner::Replies, &ledger);
    replies.append(&[1; CHUNK_BYTES]);
    let mut input = Buffer::new(BufferOwner::HostInput, &ledger);
    assert_eq!(fill(&mut input), 2 * LIMIT - CHUNK_BYTES);
}
