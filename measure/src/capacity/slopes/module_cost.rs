//! The decision module's processor time by the hosts listed, at rest and with a build on trial.

use super::decisions::{Costs, Setting, measure as run};
use super::growth::{AtSize, By, Figure, Growth, Role, growths};
use super::plan;
use super::sizes::Sizes;

const FIGURES: [Figure<Costs>; 6] = [
    Figure::new(
        Role::Router,
        "module, us a request",
        Costs::request_micros,
        Some(plan::max_request_micros()),
    ),
    Figure::new(
        Role::Router,
        "module, us an arrival",
        |costs| costs.attempted.micros(),
        None,
    ),
    Figure::new(
        Role::Router,
        "module, us an attempt's end",
        |costs| costs.ended.micros(),
        None,
    ),
    Figure::new(
        Role::Router,
        "module, us a periodic turn (5/s)",
        |costs| costs.periodic.micros(),
        None,
    ),
    Figure::new(
        Role::Router,
        "module, us a gossip message",
        |costs| costs.gossip.micros(),
        None,
    ),
    Figure::new(
        Role::Router,
        "module, us a whole list",
        |costs| costs.complete_list.micros(),
        None,
    ),
];

/// Measures all settings.
pub(super) fn measure(sizes: &Sizes) -> Vec<Growth> {
    let routers = plan::ROUTERS as u32;
    let mut growths = of_setting("", routers, false, sizes);
    growths.extend(of_setting(", on trial", routers, true, sizes));
    // Alone it has nobody to tell, and the request is what differs.
    growths.extend(
        of_setting(", one router", 1, false, sizes)
            .into_iter()
            .take(1),
    );
    growths
}

fn of_setting(name: &str, routers: u32, canary: bool, sizes: &Sizes) -> Vec<Growth> {
    let (requests, times) = (sizes.module_requests, sizes.times);
    let one = |hosts: &usize| {
        let setting = Setting {
            hosts: *hosts as u64,
            routers,
            canary,
            requests,
        };
        (*hosts as f64, (0..times).map(|_| run(setting)).collect())
    };
    let measured: Vec<AtSize<Costs>> = sizes.module_hosts.iter().map(one).collect();
    for (hosts, costs) in &measured {
        let refused = costs.iter().map(|of| of.refused.count()).sum::<usize>();
        if refused > 0 {
            let all = requests * times;
            println!(
                "module{name}, {hosts} hosts: {refused} of {all} requests are refused without an attempt"
            );
        }
    }
    let mut all = growths(By::Hosts, &measured, &FIGURES);
    all.iter_mut().for_each(|growth| growth.cost += name);
    all
}
