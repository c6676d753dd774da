//! A run that keeps the rules passes, and each rule that a router breaks is found.

use rstest::rstest;

use super::super::record::{Drain, ProcessRecord};
use super::*;

fn request(id: &str, since: f64, ended: f64, outcome: Outcome) -> RequestRecord {
    RequestRecord {
        id: id.into(),
        since,
        limit: 1.2,
        ended,
        outcome,
    }
}

fn attempt(request: &str, operation: Operation, host: usize, arrived: f64) -> Attempt {
    Attempt {
        request: request.into(),
        operation,
        host,
        arrived,
        may_have_run: true,
    }
}

/// A run with a read, a change that was turned away once, a client that left, and a drain of host 1 from 2 to 4 s.
fn kept() -> RunRecord {
    RunRecord {
        attempts: vec![
            attempt("read", Operation::Read, 0, 1.01),
            attempt("read", Operation::Read, 1, 2.6),
            Attempt {
                may_have_run: false,
                ..attempt("switch", Operation::Switch, 0, 1.0)
            },
            attempt("switch", Operation::Switch, 2, 1.1),
            attempt("left", Operation::Read, 2, 3.1),
        ],
        requests: vec![
            request("read", 1.0, 2.69, Outcome::Served),
            request("switch", 1.0, 1.2, Outcome::Refused),
            request("left", 2.9, 3.0, Outcome::Left),
            request("end", 5.0, 5.1, Outcome::NotTaken),
        ],
        half_senders: vec![Some(2.1)],
        drains: vec![Drain {
            host: 1,
            told: 2.0,
            until: 4.0,
        }],
        process: ProcessRecord {
            ready_after: 0.1,
            terminated: 4.5,
            kill_due: 6.4,
            exit_code: Some(0),
        },
        restarted_after: 0.2,
    }
}

#[test]
fn a_run_that_keeps_the_rules_has_no_violation() {
    assert_eq!(violations(&kept()), []);
}

#[rstest]
#[case::no_answer("lost: ", |run: &mut RunRecord| run.requests[0].outcome = Outcome::Unanswered)]
#[case::late_answer("lost: ", |run: &mut RunRecord| run.requests[0].ended = 2.76)]
#[case::closed_on_two_connections("lost: ", |run: &mut RunRecord| run.requests[1].outcome = Outcome::ClosedTwice)]
#[case::foreign_answer("served by something else", |run: &mut RunRecord| run.requests[0].outcome = Outcome::Foreign("x".into()))]
#[case::nobody_listens("not taken while", |run: &mut RunRecord| run.requests[3].ended = 4.4)]
#[case::an_effect_twice("duplicate: switch", |run: &mut RunRecord| run.attempts[2].may_have_run = true)]
#[case::past_the_drain_grace("drain: ", |run: &mut RunRecord| run.attempts[1].arrived = 2.71)]
#[case::after_the_client_had_gone("after its client had gone", |run: &mut RunRecord| run.attempts[4].arrived = 3.16)]
#[case::half_a_command_waits("half a command", |run: &mut RunRecord| run.half_senders[0] = Some(3.06))]
#[case::half_a_command_for_ever("half a command", |run: &mut RunRecord| run.half_senders[0] = None)]
#[case::killed("exit code None", |run: &mut RunRecord| run.process.exit_code = None)]
#[case::ended_badly("exit code Some(101)", |run: &mut RunRecord| run.process.exit_code = Some(101))]
#[case::slow_start("ready after", |run: &mut RunRecord| run.process.ready_after = 10.1)]
#[case::slow_restart("ready after", |run: &mut RunRecord| run.restarted_after = 10.1)]
fn a_broken_rule_is_found(#[case] says: &str, #[case] spoil: fn(&mut RunRecord)) {
    let mut run = kept();
    spoil(&mut run);
    let found: Vec<_> = violations(&run).iter().map(ToString::to_string).collect();
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains(says), "{found:?}");
}
