//! Runs kestreltide routers in the simulator. It reads batches of lines from standard input and writes one reply to
//! each batch to standard output.
//!
//! The adapter only translates; all decisions are made in the `kestreltide` library.

#![deny(
    missing_docs,
    unreachable_pub,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::wildcard_imports
)]
#![cfg_attr(not(test), deny(clippy::expect_used, clippy::unwrap_used))]

mod codec;
mod error;
mod line;
mod session;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use error::AdapterError;
use session::{BatchProgress, Session};

/// Replies to each batch until the input ends.
///
/// # Errors
///
/// Returns an error if the input cannot be read, violates the protocol or ends within a batch, or if a reply cannot be
/// written.
fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut session = Session::default();
    let mut text = String::new();
    let mut number = 0u64;
    loop {
        text.clear();
        number += 1;
        let length = input
            .read_line(&mut text)
            .map_err(|source| AdapterError::Read { number, source })?;
        if length == 0 {
            break;
        }
        let line = text.trim_end_matches(['\n', '\r']);
        if line.is_empty() {
            continue;
        }
        let progress = session
            .handle_line(line)
            .map_err(|source| AdapterError::Line { number, source })?;
        if progress == BatchProgress::Complete {
            write_reply(output, session.reply())?;
            session.clear_reply();
        }
    }
    if session.is_within_batch() {
        return Err(AdapterError::EndedWithinBatch);
    }
    Ok(())
}

fn write_reply(output: &mut impl Write, reply: &str) -> Result<(), AdapterError> {
    output
        .write_all(reply.as_bytes())
        .map_err(AdapterError::Write)?;
    output.flush().map_err(AdapterError::Write)
}

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kestreltide-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
