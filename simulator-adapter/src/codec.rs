//! Translates the simulator's messages to events and host entries, and effects to messages.
//!
//! The names of the protocol's messages and fields occur only here and in [`crate::session`].

use std::fmt::Write;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use kestreltide::interface::{
    AttemptNumber, AttemptOutcome, BuildId, CellId, Effect, Event, HostEntry, HostId, HostState,
    KeyId, OperationId, Phase, Request, RequestId, RolloutStatus, RouterId, TimerKey, Vote,
    VoteEvidence,
};
use kestreltide_settings::{Fields, NameTable, TransportSettings, seconds};

use crate::error::LineError;
use crate::line::microseconds;

/// The receiver of a gossip message that is sent to all other routers.
const ALL_ROUTERS: i64 = -1;
/// How an empty payload is written.
const EMPTY_PAYLOAD: &str = "-";

/// Decodes an `ENTRY` line: one host of a list.
///
/// # Errors
///
/// Returns an error if a field is missing or its value is invalid.
pub(crate) fn decode_entry(line: &Fields, names: &mut NameTable) -> Result<HostEntry, LineError> {
    let started: u64 = line.optional_integer("since")?.unwrap_or(0);
    let state = host_state(line)?;
    Ok(HostEntry {
        host: HostId(line.integer("host")?),
        build: BuildId(line.number("runs")? as u16),
        zone: names.zone(line.text("locality")?),
        cell: CellId(line.integer("block")?),
        kind: names.kind(line.text("family_type")?),
        size: line.number("heft")?,
        started: (started > 0).then(|| seconds(started)),
        state,
    })
}

fn host_state(line: &Fields) -> Result<HostState, LineError> {
    match line.text("lifecycle")? {
        "Running" => Ok(HostState::Running),
        "Stopping" => Ok(HostState::Stopping),
        "Deleted" => Ok(HostState::Removed),
        other => Err(unknown_value("lifecycle", other)),
    }
}

fn unknown_value(field: &'static str, value: impl ToString) -> LineError {
    LineError::UnknownValue {
        field,
        value: value.to_string(),
    }
}

fn outcome(line: &Fields) -> Result<AttemptOutcome, LineError> {
    Ok(match line.integer::<u32>("verdict")? {
        0 => AttemptOutcome::Succeeded,
        1 => AttemptOutcome::Error,
        2 => AttemptOutcome::Rejected,
        3 => AttemptOutcome::TimedOut,
        4 => AttemptOutcome::NoConnection,
        5 => AttemptOutcome::Reset,
        6 => AttemptOutcome::Cancelled,
        7 => AttemptOutcome::Irrelevant,
        number => {
            return Err(LineError::UnknownOutcome {
                number,
                message: line.name.into(),
            });
        }
    })
}

fn phase(line: &Fields) -> Result<Phase, LineError> {
    match line.optional_integer::<u32>("course")?.unwrap_or(0) {
        0 => Ok(Phase::Canary),
        1 => Ok(Phase::RollingBack),
        2 => Ok(Phase::Released),
        3 => Ok(Phase::RolledBack),
        other => Err(unknown_value("course", other)),
    }
}

fn decode_payload(line: &Fields) -> Result<Vec<u8>, LineError> {
    match line.text("payload")? {
        EMPTY_PAYLOAD => Ok(Vec::new()),
        text => BASE64.decode(text).map_err(|_| LineError::PayloadNotBase64),
    }
}

fn request_id(line: &Fields) -> Result<RequestId, LineError> {
    Ok(RequestId(line.text("req")?.into()))
}

fn attempt_number(line: &Fields) -> Result<AttemptNumber, LineError> {
    Ok(AttemptNumber(line.integer("leg")?))
}

fn host_id(line: &Fields) -> Result<HostId, LineError> {
    Ok(HostId(line.integer("host")?))
}

fn operation(line: &Fields, transport: &TransportSettings) -> Result<OperationId, LineError> {
    let kind = line.text("kind")?;
    transport
        .operations
        .get(kind)
        .copied()
        .ok_or_else(|| unknown_value("kind", kind))
}

/// Decodes a message for one router, except `MEMBERS`, which refers to a list that the session holds.
///
/// # Errors
///
/// Returns an error if the message is unknown, a field is missing, or the value of a field is invalid.
pub(crate) fn decode_event(
    line: &Fields,
    transport: &TransportSettings,
) -> Result<Event, LineError> {
    Ok(match line.name {
        "JOB_IN" => Event::RequestReceived(received_request(line, transport)?),
        "UNDER_WAY" => Event::ResponseStarted {
            request: request_id(line)?,
            attempt: attempt_number(line)?,
            host: host_id(line)?,
        },
        "ENDED" => attempt_finished(line, transport)?,
        "HANGUP" => Event::ClientDisconnected {
            request: request_id(line)?,
        },
        "DUE" => Event::TimerExpired {
            key: TimerKey(line.integer("key_back")?),
        },
        "PING_RESULT" => Event::HealthCheckFinished {
            host: host_id(line)?,
            outcome: outcome(line)?,
            took: line.time("cost_time")?,
            load: transport.load_from_values(&line.numbers("telemetry")?),
        },
        "PEER" => Event::GossipReceived {
            from: RouterId(line.integer("src_peer")?),
            payload: decode_payload(line)?,
        },
        "PHASE_TOLD" => Event::RolloutStatusReceived(rollout_status(line)?),
        "PERIOD_SUMS" => build_metrics(line, transport)?,
        "DISPUTED" => Event::AnswerDisputed {
            host: host_id(line)?,
            operation: operation(line, transport)?,
            age: line.time("behind")?,
        },
        other => return Err(unknown_value("message", other)),
    })
}

fn received_request(line: &Fields, transport: &TransportSettings) -> Result<Request, LineError> {
    Ok(Request {
        id: request_id(line)?,
        operation: operation(line, transport)?,
        key: line.get("affinity").map(|key| KeyId(key.into())),
        time_left: line.time("time_budget")?,
        work: line.optional_integer("cost")?.map(seconds),
        is_retry: line.optional_boolean("retry")?,
        pool: None,
    })
}

fn attempt_finished(line: &Fields, transport: &TransportSettings) -> Result<Event, LineError> {
    Ok(Event::AttemptFinished {
        request: request_id(line)?,
        attempt: attempt_number(line)?,
        host: host_id(line)?,
        outcome: outcome(line)?,
        request_finished: line.optional_boolean("done_flag")?,
        took: line.time("cost_time")?,
        load: transport.load_from_values(&line.numbers("telemetry")?),
        connection_idle: None,
    })
}

fn rollout_status(line: &Fields) -> Result<RolloutStatus, LineError> {
    Ok(RolloutStatus {
        outcome: outcome(line)?,
        build: BuildId(line.optional_integer("rel")?.unwrap_or(0)),
        stage: line.optional_integer("wave")?.unwrap_or(0),
        phase: phase(line)?,
        cap: match line.get("cap") {
            Some(_) => line.number("cap")?,
            None => 0.0,
        },
        age: line.optional_integer("behind")?.map_or(0.0, seconds),
        answers_vote: line.optional_boolean("sense")?,
    })
}

fn build_metrics(line: &Fields, transport: &TransportSettings) -> Result<Event, LineError> {
    Ok(Event::BuildMetrics {
        build: BuildId(line.integer("rel")?),
        operation: operation(line, transport)?,
        attempts: line.number("samples")?,
        failed: line.number("bad")?,
        mean_time: line.optional_integer("cost_time")?.map_or(0.0, seconds),
        age: line.time("behind")?,
    })
}

/// Appends the line for an effect of the router `who` to the reply.
pub(crate) fn encode(effect: &Effect, who: &str, reply: &mut String) {
    let name = message_name(effect);
    let fields = encode_fields(effect);
    let written = writeln!(reply, "{name} who={who}{fields}");
    debug_assert!(written.is_ok(), "writing to a String never fails");
}

fn message_name(effect: &Effect) -> &'static str {
    match effect {
        Effect::StartAttempt { .. } => "FORWARD",
        Effect::CancelAttempt { .. } => "RECALL",
        Effect::ShedRequest { .. } => "DECLINE",
        Effect::FailRequest { .. } => "DROP_REQUEST",
        Effect::ScheduleTimer { .. } => "DEFER",
        Effect::StartHealthCheck { .. } => "POLL",
        Effect::CloseIdleConnections { .. } => "LET_GO",
        Effect::SendGossip { .. } => "BROADCAST_TO",
        Effect::CastVote { .. } => "SAY_SO",
        Effect::SubscribeEndpointList { .. } => "TAIL",
        Effect::FetchEndpointList => "LOOKUP",
        Effect::LogVoteEvidence(_) => "JOURNAL_LINE",
    }
}

/// Returns the fields that follow the router's name, each preceded by a space.
fn encode_fields(effect: &Effect) -> String {
    match effect {
        Effect::StartAttempt {
            request,
            host,
            timeout,
            ..
        } => {
            let patience = microseconds(*timeout).max(1);
            format!(" req={} patience={patience} host={}", request.0, host.0)
        }
        Effect::CancelAttempt { request, attempt } => {
            format!(" req={} leg={}", request.0, attempt.0)
        }
        Effect::ShedRequest {
            request,
            retry_after: None,
        }
        | Effect::FailRequest { request } => format!(" req={}", request.0),
        Effect::ShedRequest {
            request,
            retry_after: Some(time),
        } => format!(" req={} stay_away={}", request.0, microseconds(*time)),
        Effect::ScheduleTimer { at, key } => {
            format!(" instant={} key_back={}", microseconds(*at), key.0)
        }
        Effect::StartHealthCheck { host } | Effect::CloseIdleConnections { host } => {
            format!(" host={}", host.0)
        }
        Effect::SendGossip { to, payload } => {
            let whom = to.map_or(ALL_ROUTERS, |router| i64::from(router.0));
            format!(" whom={whom} payload={}", encode_payload(payload))
        }
        Effect::CastVote { build, stage, vote } => {
            format!(" rel={} wave={stage} sense={}", build.0, vote_number(*vote))
        }
        Effect::SubscribeEndpointList { on } => format!(" enable={}", u8::from(*on)),
        Effect::FetchEndpointList => String::new(),
        Effect::LogVoteEvidence(evidence) => format!(" reason_text={}", encode_evidence(evidence)),
    }
}

/// Returns the text that explains a vote. For each signal, it contains the fraction of good outcomes and the number of
/// outcomes of the baseline and of the canary.
fn encode_evidence(evidence: &VoteEvidence) -> String {
    let VoteEvidence {
        in_time,
        no_error,
        quick,
        relative_slowdown,
        ..
    } = evidence;
    let vote = vote_name(evidence.vote);
    let build = evidence.build.0;
    let stage = evidence.stage;
    format!(
        "vote {vote} build {build} stage {stage}, in time, no error, quick {in_time} {no_error} {quick}, drag {relative_slowdown:.2}"
    )
}

/// Returns the name of a vote in the text that explains it.
fn vote_name(vote: Vote) -> &'static str {
    match vote {
        Vote::Abstain => "None",
        Vote::Promote => "On",
        Vote::Hold => "Hold",
        Vote::RollBack => "Back",
    }
}

fn encode_payload(payload: &[u8]) -> String {
    if payload.is_empty() {
        EMPTY_PAYLOAD.into()
    } else {
        BASE64.encode(payload)
    }
}

fn vote_number(vote: Vote) -> u8 {
    match vote {
        Vote::Abstain => 0,
        Vote::Promote => 1,
        Vote::Hold => 2,
        Vote::RollBack => 3,
    }
}

#[cfg(test)]
mod tests;
