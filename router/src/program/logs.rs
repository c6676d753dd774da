//! The log: lines on standard error, written by a thread of their own so that logging never blocks the event loop.

use std::io::{BufWriter, stderr};

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{AsyncGuard, OverflowStrategy};

use crate::limits::Limits;

/// Starts the logging thread. Returns the logger, and the guard that flushes the log and ends the thread when dropped.
/// Lines that exceed the queue's capacity are dropped and counted.
pub fn start(name: &str, level: Level, limits: &Limits) -> (Logger, AsyncGuard) {
    // Buffered, so that a line is one write. Unbuffered it would be some twenty writes, each of which can block on a
    // slow reader.
    let buffered = BufWriter::with_capacity(limits.log.line_bytes, stderr());
    let lines = slog_term::FullFormat::new(slog_term::PlainDecorator::new(buffered));
    let lines = lines
        .use_utc_timestamp()
        .use_original_order()
        .build()
        .fuse();
    let builder = slog_async::Async::new(LevelFilter::new(lines, level).fuse());
    let builder = builder
        .chan_size(limits.log.lines)
        .overflow_strategy(OverflowStrategy::DropAndReport);
    let (drain, guard) = builder.build_with_guard();
    (
        Logger::root(drain.fuse(), o!("router" => name.to_owned())),
        guard,
    )
}
