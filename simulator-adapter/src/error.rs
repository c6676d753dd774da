//! The errors in the simulator's input.

use std::io;

use kestreltide_settings::SettingsError;
use thiserror::Error;

/// Why a line of the simulator cannot be handled.
#[derive(Debug, Error, PartialEq)]
pub(crate) enum LineError {
    /// The line does not begin with a message name.
    #[error("the line has no message name")]
    NoMessageName,
    /// A part of the line has no `=`.
    #[error("'{part}' in {message} is not name=value")]
    NotNameAndValue {
        /// The part as written in the line.
        part: String,
        /// The name of the message.
        message: String,
    },
    /// A field has an empty name or occurs twice in the line.
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
    /// The value of a field is not defined in the protocol.
    #[error("{field} {value} is not known")]
    UnknownValue {
        /// The name of the field.
        field: &'static str,
        /// The value as written in the line.
        value: String,
    },
    /// The number of an outcome is not defined in the protocol.
    #[error("verdict {number} in {message} is not known")]
    UnknownOutcome {
        /// The number as written in the line.
        number: u32,
        /// The name of the message.
        message: String,
    },
    /// The payload of a gossip message is not base64.
    #[error("payload in PEER is not base64")]
    PayloadNotBase64,
    /// A list contains a line other than `ENTRY`.
    #[error("expected {remaining} more ENTRY lines of list {list}")]
    ListIncomplete {
        /// The number of missing entries.
        remaining: u64,
        /// The number of the list.
        list: u64,
    },
    /// A batch begins before the previous one has ended.
    #[error("SYNC before the batch has ended")]
    BatchNotEnded,
    /// A message is outside of a batch.
    #[error("the batch has not begun with SYNC")]
    BatchNotBegun,
    /// A `MEMBERS` message refers to a list that has not been defined.
    #[error("list {0} is not defined")]
    UndefinedList(u64),
    /// A message is for a router that has not been attached.
    #[error("no instance {0} has been attached")]
    NotAttached(String),
    /// A `RETIRE` message names a router that is not attached.
    #[error("no instance {0} to retire")]
    RetiredNotAttached(String),
}

/// Why the adapter exits with an error.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// A line cannot be read from standard input.
    #[error("line {number}: cannot be read: {source}")]
    Read {
        /// The number of the line, from 1.
        number: u64,
        /// The error of the read.
        source: io::Error,
    },
    /// A line cannot be translated.
    #[error("line {number}: {source}")]
    Line {
        /// The number of the line, from 1.
        number: u64,
        /// What is wrong with the line.
        source: LineError,
    },
    /// The input ends within a batch or a list.
    #[error("the input ended within a batch")]
    EndedWithinBatch,
    /// A reply cannot be written to standard output.
    #[error("the reply cannot be written: {0}")]
    Write(io::Error),
}
