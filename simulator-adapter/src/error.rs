//! What can be wrong with the simulator's input.

use std::io;

use kestreltide_settings::SettingsError;
use thiserror::Error;

/// Why a line of the simulator cannot be translated.
#[derive(Debug, Error, PartialEq)]
pub(crate) enum LineError {
    /// The line does not begin with the name of a message.
    #[error("the line has no message name")]
    NoMessageName,
    /// A part of the line has no `=`.
    #[error("'{part}' in {message} is not name=value")]
    NotNameAndValue {
        /// The part as it stands in the line.
        part: String,
        /// The name of the message.
        message: String,
    },
    /// A field has an empty name or stands twice in the line.
    #[error("field '{key}' in {message} is unnamed or given twice")]
    UnnamedOrRepeatedField {
        /// The name of the field.
        key: String,
        /// The name of the message.
        message: String,
    },
    /// A field is missing, or its value is out of range.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// The value of a field is none of the words or numbers of the protocol.
    #[error("{field} {value} is not known")]
    UnknownValue {
        /// The name of the field.
        field: &'static str,
        /// The value as it stands in the line.
        value: String,
    },
    /// The outcome of an attempt is none of the numbers of the protocol.
    #[error("verdict {number} in {message} is not known")]
    UnknownOutcome {
        /// The number as it stands in the line.
        number: u32,
        /// The name of the message.
        message: String,
    },
    /// The payload of a gossip message is not base64.
    #[error("payload in PEER is not base64")]
    PayloadNotBase64,
    /// A line other than `ENTRY` within a list.
    #[error("expected {remaining} more ENTRY lines of list {list}")]
    ListIncomplete {
        /// Entries that are missing.
        remaining: u64,
        /// The number of the list.
        list: u64,
    },
    /// A batch begins within another one.
    #[error("SYNC before the batch has ended")]
    BatchNotEnded,
    /// A message outside of a batch.
    #[error("the batch has not begun with SYNC")]
    BatchNotBegun,
    /// An endpoint list refers to a list that was never defined.
    #[error("list {0} is not defined")]
    UndefinedList(u64),
    /// A message for a router that has not been attached.
    #[error("no instance {0} has been attached")]
    NotAttached(String),
    /// A router is retired that has not been attached.
    #[error("no instance {0} to retire")]
    NothingToRetire(String),
}

/// Why the adapter ends before its input does.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// A line cannot be read from standard input.
    #[error("line {number}: cannot be read: {source}")]
    Read {
        /// The line's number; the first line is 1.
        number: u64,
        /// What the operating system says.
        source: io::Error,
    },
    /// A line cannot be translated.
    #[error("line {number}: {source}")]
    Line {
        /// The line's number; the first line is 1.
        number: u64,
        /// What is wrong with it.
        source: LineError,
    },
    /// The input ends before the batch or the list does.
    #[error("the input ended within a batch")]
    EndedWithinBatch,
    /// A reply cannot be written to standard output.
    #[error("the reply cannot be written: {0}")]
    Write(io::Error),
}
