//! The wire's lines held as text: each event's line with the event it stands for, and each effect
//! with its line. The whole adapter is held by `tests/golden.rs`; here are also the lines that no
//! script reaches. Nothing is generated: after a deliberate change of the wire, edit the lines.

use super::*;
use crate::fields::parse;
use rstest::rstest;

const LOAD: LoadReport = LoadReport {
    held: Some(3.0),
    queued: Some(1.0),
    busy: Some(0.5),
    service_time: Some(0.012),
};

/// The settings of a golden script: operations `read`, `change`, `once`; all four load fields.
fn wire() -> TransportTerms {
    let script = include_str!("../../tests/golden/requests.input");
    let attach = script
        .lines()
        .find(|line| line.starts_with("ATTACH "))
        .expect("an ATTACH line");
    let fields = parse(attach).expect("a line of the wire");
    kestreltide_terms::decode(&fields, &mut Names::default())
        .expect("settings")
        .1
}

fn event(line: &str) -> Result<Event, String> {
    decode_event(&parse(line).expect("a line of the wire"), &wire())
}

fn inv() -> InvId {
    InvId("r-1".into())
}

fn ended(verdict: Verdict) -> Event {
    Event::Ended {
        inv: inv(),
        dispatch: DispatchNo(2),
        host: HostId(101),
        verdict,
        over: true,
        took: 0.02,
        load: LOAD,
        unused: None,
    }
}

fn stage(phase: Phase) -> Event {
    Event::Stage(StageNews {
        verdict: Verdict::Succeeded,
        build: BuildId(8),
        stage: 3,
        phase,
        cap: 0.35,
        age: 1.5,
        answers_vote: false,
    })
}

fn arrived(again: bool) -> Event {
    Event::Arrived(Invocation {
        id: inv(),
        operation: OperationId(1),
        key: Some(KeyId("acct/1".into())),
        time_left: 0.24,
        work: Some(0.012),
        again,
        pool: None,
    })
}

#[rstest]
#[case("0", Verdict::Succeeded)]
#[case("1", Verdict::Error)]
#[case("2", Verdict::Full)]
#[case("3", Verdict::TimedOut)]
#[case("4", Verdict::NoConnection)]
#[case("5", Verdict::Reset)]
#[case("6", Verdict::Recalled)]
#[case("7", Verdict::Moot)]
fn each_verdict(#[case] number: &str, #[case] verdict: Verdict) {
    let line = format!(
        "ENDED who=router_0 req=r-1 verdict={number} leg=2 host=101 done_flag=1 cost_time=20000 \
         telemetry=3,1,0.5,12"
    );
    assert_eq!(event(&line), Ok(ended(verdict)));
    let line = format!("PING_RESULT who=router_0 host=101 verdict={number} cost_time=900");
    let load = LoadReport::default();
    assert_eq!(
        event(&line),
        Ok(Event::Probed {
            host: HostId(101),
            verdict,
            took: 0.0009,
            load
        })
    );
    let Ok(Event::Stage(news)) =
        event(&format!("PHASE_TOLD who=router_0 verdict={number} sense=1"))
    else {
        panic!("not the news of a stage");
    };
    assert_eq!((news.verdict, news.answers_vote), (verdict, true));
}

#[rstest]
#[case("0", Phase::OnTrial)]
#[case("1", Phase::GoingBack)]
#[case("2", Phase::Released)]
#[case("3", Phase::Withdrawn)]
fn each_phase(#[case] number: &str, #[case] phase: Phase) {
    let line = format!(
        "PHASE_TOLD who=router_0 verdict=0 rel=8 wave=3 course={number} cap=0.35 behind=1500000 \
         sense=0"
    );
    assert_eq!(event(&line), Ok(stage(phase)));
}

#[rstest]
#[case("Running", HostState::Running)]
#[case("Stopping", HostState::Stopping)]
#[case("Deleted", HostState::Gone)]
fn each_lifecycle(#[case] word: &str, #[case] state: HostState) {
    let line = format!(
        "ENTRY runs=42 block=5 locality=caxias since=6100000 host=747639282 lifecycle={word} \
         family_type=c2-std heft=1.5"
    );
    let mut names = Names::default();
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
    let line = parse(&line).expect("a line of the wire");
    assert_eq!(decode_entry(&line, &mut names), Ok(entry));
}

#[rstest]
#[case(
    "JOB_IN who=router_0 req=r-1 kind=change affinity=acct/1 time_budget=240000 cost=12000 retry=1",
    arrived(true)
)]
#[case(
    "JOB_IN who=router_0 req=r-1 kind=change affinity=acct/1 time_budget=240000 cost=12000 retry=0",
    arrived(false)
)]
#[case(
    "UNDER_WAY who=router_0 req=r-1 leg=2 host=101 cost_time=10000",
    Event::Streaming { inv: inv(), dispatch: DispatchNo(2), host: HostId(101) }
)]
#[case("HANGUP who=router_0 req=r-1", Event::ClientLeft { inv: inv() })]
#[case("DUE who=router_0 key_back=77", Event::Alarm { key: AlarmKey(77) })]
#[case(
    "PING_RESULT who=router_0 host=101 verdict=0 cost_time=900 telemetry=3,1,0.5,12",
    Event::Probed { host: HostId(101), verdict: Verdict::Succeeded, took: 0.0009, load: LOAD }
)]
#[case(
    "PEER who=router_0 src_peer=2 payload=AAH/",
    Event::Told { from: RouterId(2), payload: vec![0, 1, 255] }
)]
#[case(
    "PEER who=router_0 src_peer=2 payload=-",
    Event::Told { from: RouterId(2), payload: vec![] }
)]
#[case(
    "PERIOD_SUMS who=router_0 rel=7 kind=once samples=120 bad=3 cost_time=15000 behind=500000",
    Event::Tally {
        build: BuildId(7),
        operation: OperationId(2),
        dispatches: 120.0,
        failed: 3.0,
        mean_time: 0.015,
        age: 0.5,
    }
)]
#[case(
    "DISPUTED who=router_0 host=101 kind=read behind=500000",
    Event::Disputed { host: HostId(101), operation: OperationId(0), age: 0.5 }
)]
fn each_event(#[case] line: &str, #[case] expected: Event) {
    assert_eq!(event(line), Ok(expected));
}

#[rstest]
#[case::dispatch(
    Effect::Dispatch {
        inv: inv(),
        host: HostId(101),
        time_out: 0.08,
        on: ConnectionTerms {
            unused_most: 1.0,
            rested_least: 0.02,
            resting_most: 8,
            written_within: 0.4,
        },
    },
    "FORWARD who=router_0 req=r-1 patience=80000 host=101\n"
)]
#[case::recall(
    Effect::Recall { inv: inv(), dispatch: DispatchNo(2) },
    "RECALL who=router_0 req=r-1 leg=2\n"
)]
#[case::throttle(
    Effect::Throttle { inv: inv(), stay_away: None },
    "DECLINE who=router_0 req=r-1\n"
)]
#[case::throttle_with_advice(
    Effect::Throttle { inv: inv(), stay_away: Some(0.4) },
    "DECLINE who=router_0 req=r-1 stay_away=400000\n"
)]
#[case::terminate(Effect::Terminate { inv: inv() }, "DROP_REQUEST who=router_0 req=r-1\n")]
#[case::alarm(
    Effect::SetAlarm { at: 8.91225, key: AlarmKey(77) },
    "DEFER who=router_0 instant=8912250 key_back=77\n"
)]
#[case::probe(Effect::Probe { host: HostId(101) }, "POLL who=router_0 host=101\n")]
#[case::close_idle(Effect::CloseIdle { host: HostId(101) }, "LET_GO who=router_0 host=101\n")]
#[case::tell_one(
    Effect::Tell { to: Some(RouterId(2)), payload: vec![0, 1, 255] },
    "BROADCAST_TO who=router_0 whom=2 payload=AAH/\n"
)]
#[case::tell_all(
    Effect::Tell { to: None, payload: vec![0] },
    "BROADCAST_TO who=router_0 whom=-1 payload=AA==\n"
)]
#[case::tell_nothing(
    Effect::Tell { to: Some(RouterId(2)), payload: vec![] },
    "BROADCAST_TO who=router_0 whom=2 payload=-\n"
)]
#[case::vote_none(vote(Sense::None), "SAY_SO who=router_0 rel=8 wave=3 sense=0\n")]
#[case::vote_on(vote(Sense::On), "SAY_SO who=router_0 rel=8 wave=3 sense=1\n")]
#[case::vote_hold(vote(Sense::Hold), "SAY_SO who=router_0 rel=8 wave=3 sense=2\n")]
#[case::vote_back(vote(Sense::Back), "SAY_SO who=router_0 rel=8 wave=3 sense=3\n")]
#[case::follow(Effect::Follow { on: true }, "TAIL who=router_0 enable=1\n")]
#[case::follow_no_more(Effect::Follow { on: false }, "TAIL who=router_0 enable=0\n")]
#[case::fetch_list(Effect::FetchList, "LOOKUP who=router_0\n")]
#[case::note(
    Effect::Note { text: "two hosts\nknown".into() },
    "JOURNAL_LINE who=router_0 reason_text=two hosts known\n"
)]
fn each_effect(#[case] effect: Effect, #[case] line: &str) {
    let mut written = String::new();
    encode(&effect, "router_0", &mut written);
    assert_eq!(written, line);
}

fn vote(sense: Sense) -> Effect {
    Effect::Vote {
        build: BuildId(8),
        stage: 3,
        sense,
    }
}

#[rstest]
#[case("PING_RESULT who=router_0 host=101 verdict=8 cost_time=900")]
#[case("PHASE_TOLD who=router_0 verdict=0 course=4")]
#[case("JOB_IN who=router_0 req=r-1 kind=unheard time_budget=240000")]
#[case("PEER who=router_0 src_peer=2 payload=A")]
#[case("ARRIVED who=router_0 req=r-1")]
fn what_is_not_of_the_wire_is_refused(#[case] line: &str) {
    assert!(event(line).is_err());
}
