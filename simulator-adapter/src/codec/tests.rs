//! The lines of the protocol: each line that is read with its event, and each effect with the line that is written.
//!
//! `tests/golden.rs` tests the adapter as a whole; these tests include lines that none of its scripts reaches. The
//! expected lines are written by hand. After a deliberate change of the protocol, edit them.

use super::*;
use crate::line::parse;
use kestreltide::interface::{
    ConnectionRequirements, LoadReport, SignalComparison, SignalEvidence,
};
use rstest::rstest;

const LOAD: LoadReport = LoadReport {
    in_flight: Some(3.0),
    queued: Some(1.0),
    busy: Some(0.5),
    service_time: Some(0.012),
};

/// The settings of a golden script, with the operations `read`, `change` and `once` and all four load fields.
fn transport() -> TransportSettings {
    let script = include_str!("../../tests/golden/requests.input");
    let attach = script
        .lines()
        .find(|line| line.starts_with("ATTACH "))
        .expect("an ATTACH line");
    let fields = parse(attach).expect("a line of the protocol");
    kestreltide_settings::decode(&fields, &mut NameTable::default())
        .expect("settings")
        .transport
}

fn event(line: &str) -> Result<Event, LineError> {
    decode_event(&parse(line).expect("a line of the protocol"), &transport())
}

fn request() -> RequestId {
    RequestId("r-1".into())
}

fn attempt_finished(outcome: AttemptOutcome) -> Event {
    Event::AttemptFinished {
        request: request(),
        attempt: AttemptNumber(2),
        host: HostId(101),
        outcome,
        request_finished: true,
        took: 0.02,
        load: LOAD,
        connection_idle: None,
    }
}

fn rollout_status(phase: Phase) -> Event {
    Event::RolloutStatusReceived(RolloutStatus {
        outcome: AttemptOutcome::Succeeded,
        build: BuildId(8),
        stage: 3,
        phase,
        cap: 0.35,
        age: 1.5,
        answers_vote: false,
    })
}

fn request_received(is_retry: bool) -> Event {
    Event::RequestReceived(Request {
        id: request(),
        operation: OperationId(1),
        key: Some(KeyId("acct/1".into())),
        time_left: 0.24,
        work: Some(0.012),
        is_retry,
        pool: None,
    })
}

#[rstest]
#[case("0", AttemptOutcome::Succeeded)]
#[case("1", AttemptOutcome::Error)]
#[case("2", AttemptOutcome::Rejected)]
#[case("3", AttemptOutcome::TimedOut)]
#[case("4", AttemptOutcome::NoConnection)]
#[case("5", AttemptOutcome::Reset)]
#[case("6", AttemptOutcome::Cancelled)]
#[case("7", AttemptOutcome::Irrelevant)]
fn each_verdict_is_decoded(#[case] number: &str, #[case] outcome: AttemptOutcome) {
    let line = format!(
        "ENDED who=router_0 req=r-1 verdict={number} leg=2 host=101 done_flag=1 cost_time=20000 \
         telemetry=3,1,0.5,12"
    );
    assert_eq!(event(&line), Ok(attempt_finished(outcome)));
    let line = format!("PING_RESULT who=router_0 host=101 verdict={number} cost_time=900");
    let load = LoadReport::default();
    assert_eq!(
        event(&line),
        Ok(Event::HealthCheckFinished {
            host: HostId(101),
            outcome,
            took: 0.0009,
            load
        })
    );
    let Ok(Event::RolloutStatusReceived(status)) =
        event(&format!("PHASE_TOLD who=router_0 verdict={number} sense=1"))
    else {
        panic!("not a rollout status");
    };
    assert_eq!((status.outcome, status.answers_vote), (outcome, true));
}

#[rstest]
#[case("0", Phase::Canary)]
#[case("1", Phase::RollingBack)]
#[case("2", Phase::Released)]
#[case("3", Phase::RolledBack)]
fn each_phase_is_decoded(#[case] number: &str, #[case] phase: Phase) {
    let line = format!(
        "PHASE_TOLD who=router_0 verdict=0 rel=8 wave=3 course={number} cap=0.35 behind=1500000 \
         sense=0"
    );
    assert_eq!(event(&line), Ok(rollout_status(phase)));
}

#[rstest]
#[case("Running", HostState::Running)]
#[case("Stopping", HostState::Stopping)]
#[case("Deleted", HostState::Removed)]
fn each_host_state_is_decoded(#[case] word: &str, #[case] state: HostState) {
    let line = format!(
        "ENTRY runs=42 block=5 locality=caxias since=6100000 host=747639282 lifecycle={word} \
         family_type=c2-std heft=1.5"
    );
    let mut names = NameTable::default();
    let (zone, kind) = (names.zone("caxias"), names.kind("c2-std"));
    let entry = HostEntry {
        host: HostId(747639282),
        build: BuildId(42),
        zone,
        cell: CellId(5),
        kind,
        size: 1.5,
        started: Some(6.1),
        state,
    };
    let line = parse(&line).expect("a line of the protocol");
    assert_eq!(decode_entry(&line, &mut names), Ok(entry));
}

#[rstest]
#[case(
    "JOB_IN who=router_0 req=r-1 kind=change affinity=acct/1 time_budget=240000 cost=12000 retry=1",
    request_received(true)
)]
#[case(
    "JOB_IN who=router_0 req=r-1 kind=change affinity=acct/1 time_budget=240000 cost=12000 retry=0",
    request_received(false)
)]
#[case(
    "UNDER_WAY who=router_0 req=r-1 leg=2 host=101 cost_time=10000",
    Event::ResponseStarted { request: request(), attempt: AttemptNumber(2), host: HostId(101) }
)]
#[case("HANGUP who=router_0 req=r-1", Event::ClientDisconnected { request: request() })]
#[case("DUE who=router_0 key_back=77", Event::TimerExpired { key: TimerKey(77) })]
#[case(
    "PING_RESULT who=router_0 host=101 verdict=0 cost_time=900 telemetry=3,1,0.5,12",
    Event::HealthCheckFinished { host: HostId(101), outcome: AttemptOutcome::Succeeded, took: 0.0009, load: LOAD }
)]
#[case(
    "PEER who=router_0 src_peer=2 payload=AAH/",
    Event::GossipReceived { from: RouterId(2), payload: vec![0, 1, 255] }
)]
#[case(
    "PEER who=router_0 src_peer=2 payload=-",
    Event::GossipReceived { from: RouterId(2), payload: vec![] }
)]
#[case(
    "PERIOD_SUMS who=router_0 rel=7 kind=once samples=120 bad=3 cost_time=15000 behind=500000",
    Event::BuildMetrics {
        build: BuildId(7),
        operation: OperationId(2),
        attempts: 120.0,
        failed: 3.0,
        mean_time: 0.015,
        age: 0.5,
    }
)]
#[case(
    "DISPUTED who=router_0 host=101 kind=read behind=500000",
    Event::AnswerDisputed { host: HostId(101), operation: OperationId(0), age: 0.5 }
)]
fn each_event_is_decoded(#[case] line: &str, #[case] expected: Event) {
    assert_eq!(event(line), Ok(expected));
}

#[rstest]
#[case::start_attempt(
    Effect::StartAttempt {
        request: request(),
        host: HostId(101),
        timeout: 0.08,
        connection: ConnectionRequirements {
            max_idle: 1.0,
            min_idle: 0.02,
            max_below_min_idle: 8,
            write_timeout: 0.4,
        },
    },
    "FORWARD who=router_0 req=r-1 patience=80000 host=101\n"
)]
#[case::cancel_attempt(
    Effect::CancelAttempt { request: request(), attempt: AttemptNumber(2) },
    "RECALL who=router_0 req=r-1 leg=2\n"
)]
#[case::shed(
    Effect::ShedRequest { request: request(), retry_after: None },
    "DECLINE who=router_0 req=r-1\n"
)]
#[case::shed_with_retry_after(
    Effect::ShedRequest { request: request(), retry_after: Some(0.4) },
    "DECLINE who=router_0 req=r-1 stay_away=400000\n"
)]
#[case::fail_request(Effect::FailRequest { request: request() }, "DROP_REQUEST who=router_0 req=r-1\n")]
#[case::schedule_timer(
    Effect::ScheduleTimer { at: 8.91225, key: TimerKey(77) },
    "DEFER who=router_0 instant=8912250 key_back=77\n"
)]
#[case::health_check(Effect::StartHealthCheck { host: HostId(101) }, "POLL who=router_0 host=101\n")]
#[case::close_idle_connections(Effect::CloseIdleConnections { host: HostId(101) }, "LET_GO who=router_0 host=101\n")]
#[case::gossip_to_one(
    Effect::SendGossip { to: Some(RouterId(2)), payload: vec![0, 1, 255] },
    "BROADCAST_TO who=router_0 whom=2 payload=AAH/\n"
)]
#[case::gossip_to_all(
    Effect::SendGossip { to: None, payload: vec![0] },
    "BROADCAST_TO who=router_0 whom=-1 payload=AA==\n"
)]
#[case::empty_gossip(
    Effect::SendGossip { to: Some(RouterId(2)), payload: vec![] },
    "BROADCAST_TO who=router_0 whom=2 payload=-\n"
)]
#[case::vote_abstain(vote(Vote::Abstain), "SAY_SO who=router_0 rel=8 wave=3 sense=0\n")]
#[case::vote_promote(vote(Vote::Promote), "SAY_SO who=router_0 rel=8 wave=3 sense=1\n")]
#[case::vote_hold(vote(Vote::Hold), "SAY_SO who=router_0 rel=8 wave=3 sense=2\n")]
#[case::vote_roll_back(vote(Vote::RollBack), "SAY_SO who=router_0 rel=8 wave=3 sense=3\n")]
#[case::subscribe(Effect::SubscribeEndpointList { on: true }, "TAIL who=router_0 enable=1\n")]
#[case::unsubscribe(Effect::SubscribeEndpointList { on: false }, "TAIL who=router_0 enable=0\n")]
#[case::fetch_list(Effect::FetchEndpointList, "LOOKUP who=router_0\n")]
#[case::explain_abstain(
    explanation(Vote::Abstain),
    "JOURNAL_LINE who=router_0 reason_text=vote None build 8 stage 3, in time, no error, quick 0.98/120:0.50/7 1.00/121:0.90/8 0.41/99:0.00/0, drag 1.25\n"
)]
#[case::explain_promote(
    explanation(Vote::Promote),
    "JOURNAL_LINE who=router_0 reason_text=vote On build 8 stage 3, in time, no error, quick 0.98/120:0.50/7 1.00/121:0.90/8 0.41/99:0.00/0, drag 1.25\n"
)]
#[case::explain_hold(
    explanation(Vote::Hold),
    "JOURNAL_LINE who=router_0 reason_text=vote Hold build 8 stage 3, in time, no error, quick 0.98/120:0.50/7 1.00/121:0.90/8 0.41/99:0.00/0, drag 1.25\n"
)]
#[case::explain_roll_back(
    explanation(Vote::RollBack),
    "JOURNAL_LINE who=router_0 reason_text=vote Back build 8 stage 3, in time, no error, quick 0.98/120:0.50/7 1.00/121:0.90/8 0.41/99:0.00/0, drag 1.25\n"
)]
fn each_effect_is_encoded(#[case] effect: Effect, #[case] line: &str) {
    let mut encoded = String::new();
    encode(&effect, "router_0", &mut encoded);
    assert_eq!(encoded, line);
}

fn explanation(vote: Vote) -> Effect {
    let signal = |baseline: (f64, f64), canary: (f64, f64)| {
        let of_arm = |(good_fraction, outcomes)| SignalEvidence {
            good_fraction,
            outcomes,
        };
        SignalComparison {
            baseline: of_arm(baseline),
            canary: of_arm(canary),
        }
    };
    Effect::LogVoteEvidence(VoteEvidence {
        build: BuildId(8),
        stage: 3,
        vote,
        in_time: signal((0.98, 120.2), (0.5, 6.6)),
        no_error: signal((1.0, 121.0), (0.9, 8.0)),
        quick: signal((0.41, 99.0), (0.0, 0.0)),
        relative_slowdown: 1.25,
    })
}

fn vote(vote: Vote) -> Effect {
    Effect::CastVote {
        build: BuildId(8),
        stage: 3,
        vote,
    }
}

#[rstest]
#[case("PING_RESULT who=router_0 host=101 verdict=8 cost_time=900")]
#[case("PHASE_TOLD who=router_0 verdict=0 course=4")]
#[case("JOB_IN who=router_0 req=r-1 kind=unheard time_budget=240000")]
#[case("PEER who=router_0 src_peer=2 payload=A")]
#[case("ARRIVED who=router_0 req=r-1")]
fn invalid_lines_are_rejected(#[case] line: &str) {
    assert!(event(line).is_err());
}
