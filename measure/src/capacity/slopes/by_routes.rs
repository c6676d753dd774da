//! What routes cost: they come by management alone (NETCONF here), as one commit.

use std::fmt::Write;
use std::fs;
use std::path::PathBuf;
use std::time::Instant;

use kestreltide_testkit::{NetconfSession, RouterProcess, TestCredentials};

use super::growth::{By, Figure, Growth, Role, at_all_sizes, growths};
use super::load::{Load, Shape};
use super::plan;
use super::requests::requests;
use super::servers::block_on;
use super::site::{ANSWER, Around, CLIENTS, Plan, ZONES, core_percent, cpu_of, memory_of, wait};
use super::sizes::Sizes;

const HOSTS: usize = 74;
const ENGINEER: &str = "ana";

#[derive(Clone, Copy, Debug, Default)]
struct Measured {
    commit_us: f64,
    commit_ms: f64,
    resident_mb: f64,
    restarted_mb: f64,
    restart_ms: f64,
    request_us: f64,
    edit_bytes: f64,
    saved_bytes: f64,
}

const FIGURES: [Figure<Measured>; 8] = [
    Figure::new(
        Role::Router,
        "resident memory after the commit, MB",
        |of| of.resident_mb,
        Some(plan::MAX_MEMORY_MB),
    ),
    Figure::new(
        Role::Router,
        "resident memory after a restart, MB",
        |of| of.restarted_mb,
        Some(plan::MAX_MEMORY_MB),
    ),
    Figure::new(
        Role::Router,
        "processor, us a request",
        |of| of.request_us,
        Some(plan::max_request_micros()),
    ),
    Figure::new(
        Role::Router,
        "processor, us a commit of all routes",
        |of| of.commit_us,
        None,
    ),
    Figure::new(Role::Router, "start to ready, ms", |of| of.restart_ms, None),
    Figure::new(
        Role::Operators,
        "a commit of all routes in force, ms",
        |of| of.commit_ms,
        Some(plan::MAX_IN_FORCE_S * 1e3),
    ),
    Figure::new(
        Role::Operators,
        "bytes of an edit of all routes",
        |of| of.edit_bytes,
        None,
    ),
    Figure::new(
        Role::Operators,
        "bytes saved at a router",
        |of| of.saved_bytes,
        None,
    ),
];

pub(super) fn measure(sizes: &Sizes) -> Vec<Growth> {
    let measured = at_all_sizes(sizes.routes, 1, |routes| one_size(routes, sizes));
    growths(By::Routes, &measured, &FIGURES)
}

/// Each route is for the keys of one tenant, and uses the hosts of a zone.
fn edit(routes: usize) -> String {
    let mut text = String::new();
    for number in 0..routes {
        let zone = number % ZONES;
        let _ = write!(
            text,
            "<route><name>route-{number:05}</name><key-prefix>k{number}-</key-prefix><zone>zone-{zone}</zone></route>"
        );
    }
    format!(
        "<edit-config><target><candidate/></target><config><router xmlns=\"urn:kestreltide:yang:router\"><routes>{text}</routes></router></config></edit-config>"
    )
}

/// A router with a NETCONF front, of which the operator file and what is saved are in the office's folder.
struct Managed {
    around: Around,
    credentials: TestCredentials,
    operator: PathBuf,
}

impl Managed {
    fn new() -> Self {
        let credentials = TestCredentials::new(&[(ENGINEER, "read, weights, routes, ring")]);
        let operator = credentials.path("operator.ini");
        let text = format!(
            "[datastore]\nstate-directory = .\n{}",
            credentials.operator_section()
        );
        fs::write(&operator, text)
            .unwrap_or_else(|e| panic!("{} cannot be written: {e}", operator.display()));
        Managed {
            around: Around::start(Plan::new(HOSTS, 1)),
            credentials,
            operator,
        }
    }

    fn start(&self) -> (RouterProcess, f64) {
        self.around.router(Some(&self.operator))
    }

    fn commit(&self, program: &RouterProcess, edit: &str) {
        let at = program
            .address_in_startup_log("NETCONF interface opened")
            .expect("the log tells the address");
        block_on(async {
            let mut session =
                NetconfSession::open(self.credentials.management_client(ENGINEER), at)
                    .await
                    .expect("a session");
            for operation in [edit, "<commit/>"] {
                let reply = session.rpc(operation).await;
                let well = reply.as_ref().is_ok_and(|reply| reply.contains("<ok/>"));
                assert!(well, "an edit of routes is not taken: {reply:.400?}");
            }
        });
    }
}

fn one_size(routes: usize, sizes: &Sizes) -> Measured {
    let managed = Managed::new();
    let (program, _) = managed.start();
    let edit = edit(routes);
    let (begun, mut measured) = (
        Instant::now(),
        Measured {
            edit_bytes: edit.len() as f64,
            ..Measured::default()
        },
    );
    measured.commit_us = cpu_of(&program, || managed.commit(&program, &edit)) * 1e6;
    program.wait_for_log("revision applied");
    measured.commit_ms = begun.elapsed().as_secs_f64() * 1e3;
    wait(1.0);
    let mut seconds = 0.0;
    let idle = core_percent(
        cpu_of(&program, || seconds = wait(0.5 * sizes.idle_s)),
        seconds,
    );
    measured.resident_mb = memory_of(&program).resident;
    let shape = Shape::rate(CLIENTS, plan::requests_per_router(), ANSWER);
    let load = Load::start(
        program.at,
        Shape {
            keys: routes,
            ..shape
        },
    );
    wait(0.3 * sizes.load_s);
    measured.request_us = requests(&program, &load, idle, 0.7 * sizes.load_s).micros;
    drop(load);
    program.signal("TERM");
    program.log_lines_until("stopped");
    drop(program);
    let saved = managed.credentials.path("revisions.json");
    measured.saved_bytes = fs::metadata(&saved).map_or(0, |of| of.len()) as f64;
    let (program, ready_ms) = managed.start();
    wait(0.5);
    measured.restart_ms = ready_ms;
    measured.restarted_mb = memory_of(&program).resident;
    measured
}
