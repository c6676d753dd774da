//! The log: lines on standard error, written by a thread of their own so that nothing waits for them.

use std::io::{BufWriter, stderr};

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{AsyncGuard, OverflowStrategy};

use crate::limits::Limits;

/// The logger, and what keeps its thread; lines beyond the backlog are dropped and counted.
pub fn start(name: &str, level: Level, limits: &Limits) -> (Logger, AsyncGuard) {
    // A line is written as one, where it would be some twenty pieces that each can wait for whoever reads them.
    let whole = BufWriter::with_capacity(limits.log.line_bytes, stderr());
    let lines = slog_term::FullFormat::new(slog_term::PlainDecorator::new(whole));
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
