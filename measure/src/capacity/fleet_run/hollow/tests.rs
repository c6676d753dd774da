use kestreltide_settings::{Fields, NameTable, decode};

use super::*;
use crate::capacity::fleet_run::host_table::BAD;
use crate::capacity::fleet_run::plan::{Plan, TIME_LIMIT};

fn surroundings() -> Arc<Surroundings> {
    let plan = Plan::small();
    let table = Arc::new(HostTable::new(plan.layout.hosts, plan.hollow_list, 41));
    let hosts = (0..plan.layout.hosts)
        .map(|host| (HostId::from_name(&format!("h{host}")), host))
        .collect();
    Arc::new(Surroundings {
        layout: plan.layout,
        table,
        hosts,
        time_limit: TIME_LIMIT,
    })
}

fn entries(surroundings: &Surroundings) -> Arc<[HostEntry]> {
    let entry = |number: u32| HostEntry {
        host: HostId::from_name(&format!("h{number}")),
        build: BuildId(surroundings.table.now(number).build),
        zone: ZoneId(1),
        cell: CellId(0),
        kind: MachineKindId(0),
        size: 1.0,
        started: None,
        state: HostState::Running,
    };
    (0..surroundings.layout.hosts).map(entry).collect()
}

fn router(surroundings: &Arc<Surroundings>, me: u32) -> HollowRouter {
    let settings = Plan::small().settings(me);
    let terms = decode(
        &Fields::from_json("settings", &settings),
        &mut NameTable::Hashed,
    )
    .unwrap()
    .service;
    HollowRouter::start(surroundings.clone(), terms, 5, 0.0)
}

fn run(router: &mut HollowRouter, until: f64, rate: f64) -> Vec<Output> {
    let mut out = vec![];
    while let Some(now) = router.next().filter(|at| *at <= until) {
        router.wake(
            Moment {
                now,
                partition: Partition::default(),
                rate,
            },
            &mut out,
        );
    }
    out
}

fn standing(build: u16, phase: Phase) -> RolloutStatus {
    let outcome = AttemptOutcome::Succeeded;
    RolloutStatus {
        outcome,
        build: BuildId(build),
        stage: 0,
        phase,
        cap: 0.5,
        age: 0.0,
        answers_vote: false,
    }
}

const AT_START: Moment = Moment {
    now: 0.0,
    partition: Partition {
        regions_apart: false,
    },
    rate: 50.0,
};

#[test]
fn it_asks_for_a_list_serves_what_is_drawn_and_gossips() {
    let surroundings = surroundings();
    let mut router = router(&surroundings, 3);
    let mut out = vec![];
    router.input(
        AT_START,
        Input::Stage(standing(41, Phase::Released)),
        &mut out,
    );
    assert_eq!(out, [Output::Follow(true)]);
    let entries = entries(&surroundings);
    router.input(
        AT_START,
        Input::List {
            scope: ListScope::Full,
            entries,
        },
        &mut out,
    );
    let out = run(&mut router, 10.0, 50.0);
    let requests = router.requests;
    assert!((400..600).contains(&requests.requested), "{requests:?}");
    assert!(requests.served + 10 > requests.requested, "{requests:?}");
    let gossip = out
        .iter()
        .filter(|output| matches!(output, Output::Datagram { .. }))
        .count();
    assert!((48..=51).contains(&gossip), "{gossip}");
}

#[test]
fn evidence_of_another_router_answers_and_a_bad_build_is_voted_back() {
    let surroundings = surroundings();
    surroundings.table.set_quality(42, BAD);
    (0..12).for_each(|host| surroundings.table.change(host, |it| it.build = 42));
    let mut routers = [router(&surroundings, 0), router(&surroundings, 1)];
    let entries = entries(&surroundings);
    let mut out = vec![];
    for router in &mut routers {
        router.input(
            AT_START,
            Input::Stage(standing(42, Phase::Canary)),
            &mut out,
        );
        router.input(
            AT_START,
            Input::List {
                scope: ListScope::Full,
                entries: entries.clone(),
            },
            &mut out,
        );
    }
    let mut back = 0;
    for tenth in 1..200 {
        for me in [0, 1] {
            let now = f64::from(tenth) / 10.0;
            for output in run(&mut routers[me], now, 50.0) {
                match output {
                    Output::Datagram { to, payload } if to as usize == 1 - me => {
                        let moment = Moment { now, ..AT_START };
                        let input = Input::Datagram {
                            from: me as u32,
                            payload,
                        };
                        routers[1 - me].input(moment, input, &mut out);
                    }
                    Output::Vote {
                        vote: Vote::RollBack,
                        ..
                    } => back += 1,
                    _ => {}
                }
            }
        }
    }
    assert!(back > 0);
}
