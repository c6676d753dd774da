//! The decision module's processor time by the hosts listed, at rest and with a build on trial.

use super::decisions::{Costs, Setting, measure as run};
use super::growth::{By, Growth, Point, Role};
use super::plan;

const SIZES: [u64; 8] = [16, 74, 150, 370, 1000, 1480, 3700, 7400];
const SIZES_SMALL: [u64; 4] = [16, 150, 1000, 1600];
const REQUESTS: usize = 1000;
const REQUESTS_SMALL: usize = 200;
/// How often each setting is measured.
const TIMES: usize = 2;

type Figure = (&'static str, fn(&Costs) -> f64, Option<fn() -> f64>);

/// What is read of each setting: its name, the figure, and what is allowed.
const FIGURES: [Figure; 6] = [
    ("module, us a request", Costs::request_micros, Some(plan::request_micros_most)),
    ("module, us an arrival", |costs| costs.attempted.micros(), None),
    ("module, us an attempt's end", |costs| costs.ended.micros(), None),
    ("module, us a periodic turn (5/s)", |costs| costs.periodic.micros(), None),
    ("module, us a gossip message", |costs| costs.gossip.micros(), None),
    ("module, us a whole list", |costs| costs.whole_list.micros(), None),
];

/// Measures all settings.
pub(super) fn measure(small: bool) -> Vec<Growth> {
    let routers = plan::ROUTERS as u32;
    let mut growths = of_setting("", routers, false, small);
    growths.extend(of_setting(", on trial", routers, true, small));
    // Alone it has nobody to tell, and the request is what differs.
    growths.extend(of_setting(", one router", 1, false, small).into_iter().take(1));
    growths
}

fn of_setting(name: &str, routers: u32, canary: bool, small: bool) -> Vec<Growth> {
    let sizes: &[u64] = if small { &SIZES_SMALL } else { &SIZES };
    let (requests, times) = if small { (REQUESTS_SMALL, 1) } else { (REQUESTS, TIMES) };
    let measured: Vec<(u64, Vec<Costs>)> = sizes
        .iter()
        .map(|hosts| {
            let setting = Setting { hosts: *hosts, routers, canary, requests };
            (*hosts, (0..times).map(|_| run(setting)).collect())
        })
        .collect();
    for (hosts, costs) in &measured {
        let refused = costs.iter().map(|of| of.refused.count()).sum::<usize>();
        if refused > 0 {
            let all = requests * times;
            println!(
                "module{name}, {hosts} hosts: {refused} of {all} requests are refused without an attempt"
            );
        }
    }
    let growth = |(cost, figure, allowed): &Figure| {
        let point = |(hosts, costs): &(u64, Vec<Costs>)| {
            Point::new(*hosts as f64, costs.iter().map(figure).collect())
        };
        Growth {
            role: Role::Router,
            cost: format!("{cost}{name}"),
            by: By::Hosts,
            points: measured.iter().map(point).collect(),
            allowed: allowed.map(|allowed| allowed()),
        }
    };
    FIGURES.iter().map(growth).collect()
}
