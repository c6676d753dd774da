//! The tables: one a role, then what is over its allowance, the worst first.

use crate::report::Report;

use super::growth::{AtFull, Growth, Role, short};
use super::plan;

/// Prints all tables; a cost without a line makes the measurement fall short.
pub(super) fn print(growths: &[Growth], report: &mut Report) {
    plan();
    let mut over = vec![];
    for role in Role::ALL {
        println!("\n{}", role.name());
        println!(
            "{:<48} {:<18} {:>10} {:>9} {:>10} {:>6} {:>9} {:>8} {:>8} {:>7} {:>6}  measured",
            "cost", "by", "slope", "+-", "intercept", "r2", "at full", "+-", "allowed", "ratio", "beyond"
        );
        for growth in growths.iter().filter(|growth| growth.role == role) {
            match growth.at_full() {
                Ok(full) => {
                    row(growth, &full);
                    over.extend(full.ratio.filter(|ratio| *ratio > 1.0).map(|ratio| (ratio, growth)));
                }
                Err(why) => {
                    println!("{:<48} {:<18} no line: {why}", growth.cost, growth.by.name());
                    report.ask(
                        "fit",
                        &format!("{} by {}", growth.cost, growth.by.name()),
                        why,
                        "a line",
                        false,
                    );
                }
            }
        }
    }
    over.sort_by(|a, b| b.0.total_cmp(&a.0));
    println!("\nover the allowance, the worst first");
    for (ratio, growth) in &over {
        println!(
            "{:>7} times  {}: {}, by {}",
            short(*ratio),
            growth.role.name(),
            growth.cost,
            growth.by.name()
        );
    }
    println!();
    report.tell("lines", "lines fitted", growths.len());
    report.tell("over", "costs over their allowance", over.len());
}

fn plan() {
    println!(
        "\nplanned: {} routers, {} hosts, {} services, {} requests/s, {} routes, {} tenants, {} configuration \
         changes and {} restarts a day, {} machines for control",
        plan::ROUTERS,
        plan::HOSTS,
        plan::SERVICES,
        plan::PEAK_REQUESTS_PER_S,
        plan::ROUTES,
        plan::TENANTS,
        plan::CHANGES_PER_DAY,
        plan::RESTARTS_PER_DAY,
        plan::CONTROL_MACHINES
    );
    println!(
        "allowed: {} ms added for 99 in 100, a change in force within {} s; a router {}% of a core, {} MB, {} bytes/s",
        plan::ADDED_MS_MOST,
        plan::IN_FORCE_S_MOST,
        plan::CORE_PERCENT_MOST,
        plan::MEMORY_MB_MOST,
        plan::BYTES_PER_S_MOST
    );
}

fn row(growth: &Growth, full: &AtFull) {
    let none = || "-".to_owned();
    println!(
        "{:<48} {:<18} {:>10} {:>9} {:>10} {:>6.3} {:>9} {:>8} {:>8} {:>7} {:>6}  {}",
        growth.cost,
        growth.by.name(),
        short(full.line.slope),
        short(full.line.slope_error),
        short(full.line.intercept),
        full.line.r2,
        short(full.value),
        short(full.error),
        growth.allowed.map_or_else(none, short),
        full.ratio.map_or_else(none, short),
        format!("{:.1}x", full.beyond.max(1.0)),
        growth.measured()
    );
}
