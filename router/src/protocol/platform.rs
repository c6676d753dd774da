//! The platform's protocol: JSON-RPC 2.0, one object per line.

mod wire;

use std::borrow::Cow;
use std::io::Write;

use kestreltide::interface::{AttemptOutcome, BuildId, Phase, RolloutStatus, Vote};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::{Malformed, ParseResult};
pub use wire::StateForm as RolloutStateFields;
use wire::{ComplaintForm, Line, age_seconds};

/// A message from the platform.
#[derive(Debug, PartialEq)]
pub enum PlatformMessage<'a> {
    /// The state of the rollout has changed.
    Rollout(RolloutState),
    /// A client complains about the responses of a host.
    Complaint {
        /// The host's name.
        host: Cow<'a, str>,
        /// The operation's name.
        operation: Cow<'a, str>,
        /// The age of the complaint, in seconds.
        age: f64,
    },
    /// A keep-alive message.
    Ping,
    /// A call has succeeded.
    Result {
        /// The id of the call.
        call: u64,
        /// The state of the rollout after the call, if the result holds one.
        state: Option<RolloutState>,
    },
    /// A call has failed.
    Error {
        /// The id of the call.
        call: u64,
        /// The outcome that the error stands for.
        outcome: AttemptOutcome,
    },
    /// A notification with an unknown method.
    Unknown,
}

/// The state of the rollout of the newest build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutState {
    /// The newest build.
    pub build: BuildId,
    /// The number of its stage.
    pub stage: u32,
    /// The phase of the rollout: canary, rolling back, released or rolled back.
    pub phase: Phase,
    /// The largest fraction of the requests that the newest build may get.
    pub cap: f64,
    /// The age of this state, in seconds.
    pub age: f64,
}

impl RolloutState {
    /// Converts the state to an event for the decisions.
    pub fn to_status(&self, answers_vote: bool) -> RolloutStatus {
        let RolloutState {
            build,
            stage,
            phase,
            cap,
            age,
        } = *self;
        RolloutStatus {
            outcome: AttemptOutcome::Succeeded,
            build,
            stage,
            phase,
            cap,
            age,
            answers_vote,
        }
    }
}

fn parse_json<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, Malformed> {
    serde_json::from_str(text).map_err(|e| Malformed::new(e.to_string()))
}

/// Parses one line, if its end has been received.
///
/// # Errors
///
/// If the line is longer than `max_bytes`, is not UTF-8, or is not a message from the platform.
pub fn parse_line(bytes: &[u8], max_bytes: usize) -> ParseResult<PlatformMessage<'_>> {
    let Some(end) = bytes.iter().take(max_bytes).position(|byte| *byte == b'\n') else {
        if bytes.len() >= max_bytes {
            let problem = format!("a line is too long ({max_bytes} bytes at most)");
            return Err(Malformed::new(problem));
        }
        return Ok(None);
    };
    let text =
        std::str::from_utf8(&bytes[..end]).map_err(|_| Malformed::new("a line is not UTF-8"))?;
    Ok(Some((parse_message(text.trim_end())?, end + 1)))
}

fn parse_message(text: &str) -> Result<PlatformMessage<'_>, Malformed> {
    let line: Line = parse_json(text)?;
    if let (Some(call), Some(error)) = (line.id, &line.error) {
        let outcome = call_outcome(&error.message);
        return Ok(PlatformMessage::Error { call, outcome });
    }
    if let (Some(call), Some(result)) = (line.id, line.result) {
        let state = result_state(result)?;
        return Ok(PlatformMessage::Result { call, state });
    }
    parse_notification(&line)
}

/// The outcome that the message of a failed call stands for.
fn call_outcome(message: &str) -> AttemptOutcome {
    match message {
        "too_many_calls" => AttemptOutcome::Rejected,
        "out_of_date" => AttemptOutcome::Irrelevant,
        _ => AttemptOutcome::Error,
    }
}

/// The state of the rollout in the result of a call; `None` if the result is not an object.
fn result_state(result: &RawValue) -> Result<Option<RolloutState>, Malformed> {
    if !result.get().starts_with('{') {
        return Ok(None);
    }
    let fields: RolloutStateFields = parse_json(result.get())?;
    Ok(Some(fields.state()))
}

fn parse_notification<'a>(line: &Line<'a>) -> Result<PlatformMessage<'a>, Malformed> {
    let params = || {
        line.params
            .map(RawValue::get)
            .ok_or_else(|| Malformed::new("params is missing"))
    };
    Ok(match line.method.as_deref() {
        Some("progress") => {
            let fields: RolloutStateFields = parse_json(params()?)?;
            PlatformMessage::Rollout(fields.state())
        }
        Some("complaint") => {
            let fields: ComplaintForm = parse_json(params()?)?;
            PlatformMessage::Complaint {
                host: fields.host,
                operation: fields.operation,
                age: age_seconds(fields.lag_ms),
            }
        }
        Some("ping") => PlatformMessage::Ping,
        Some(_) => PlatformMessage::Unknown,
        None => return Err(Malformed::new("neither a response nor a notification")),
    })
}

/// Writes the call that subscribes to the rollout.
pub fn write_follow(out: &mut impl Write, call: u64) {
    let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{call},\"method\":\"follow\"}}\n");
    let _ = out.write_all(line.as_bytes());
}

/// Writes the call that votes on a stage of a build's rollout.
pub fn write_vote(out: &mut impl Write, call: u64, build: BuildId, stage: u32, vote: Vote) {
    let opinion = match vote {
        Vote::Abstain => "none",
        Vote::Promote => "on",
        Vote::Hold => "hold",
        Vote::RollBack => "back",
    };
    let params = format!(
        "{{\"image\":{},\"ring\":{stage},\"opinion\":\"{opinion}\"}}",
        build.0
    );
    let line = format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{call},\"method\":\"castBallot\",\"params\":{params}}}\n"
    );
    let _ = out.write_all(line.as_bytes());
}
