//! The tables: one a role, then what is over its allowance, the worst first.

use crate::report::Report;

use super::growth::{AtFull, Growth, Role, short};
use super::plan;

/// What the tables leave out, and what has to be known to read them.
const NOTES: [&str; 9] = [
    "flat: the slope is less than three times its error; at full stands the mean, +- its standard deviation",
    "power: by which power of the size the cost grew between the two largest sizes",
    "beyond: the full size over the largest that was measured",
    "tenants: none are kept, their list is only read and checked; a configuration with over 4,096 of them is refused",
    "probes: none, hosts are not probed",
    "routes: they come by management alone, to one router at a time; watched files have none",
    "processor time and memory of discovery, the platform and hosts are those systems' own: stand-ins do not tell them",
    "bytes are those of messages, without the headers of TCP, UDP and IP; connections are counted, not their segments",
    "client connections and open requests at full are a figure of our own: the operators name none",
];

/// Prints all tables; a cost without a line makes the measurement fall short.
pub(super) fn print(growths: &[Growth], report: &mut Report) {
    plan();
    let mut over = vec![];
    for role in Role::ALL {
        println!("\n{}", role.name());
        println!(
            "{:<48} {:<18} {:>10} {:>9} {:>10} {:>6} {:>6} {:>9} {:>8} {:>8} {:>7} {:>6}  measured",
            "cost",
            "by",
            "slope",
            "+-",
            "intercept",
            "r2",
            "power",
            "at full",
            "+-",
            "allowed",
            "ratio",
            "beyond"
        );
        for growth in growths.iter().filter(|growth| growth.role == role) {
            match growth.at_full() {
                Ok(full) => {
                    row(growth, &full);
                    over.extend(
                        full.ratio
                            .filter(|ratio| *ratio > 1.0)
                            .map(|ratio| (ratio, growth)),
                    );
                }
                Err(why) => {
                    println!(
                        "{:<48} {:<18} no line: {why}",
                        growth.cost,
                        growth.by.name()
                    );
                    report.check(
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
    println!("\nnotes");
    NOTES.iter().for_each(|note| println!("- {note}"));
    println!();
    report.record("lines", "lines fitted", growths.len());
    report.record("over", "costs over their allowance", over.len());
    if let Some((ratio, growth)) = over.first() {
        report.record("worst", "the worst of them", name(growth));
        report.record("worst_ratio", "its ratio", short(*ratio));
    }
}

/// A cost as one word.
fn name(growth: &Growth) -> String {
    let text = format!(
        "{} {} by {}",
        growth.role.name(),
        growth.cost,
        growth.by.name()
    );
    let word = |part: &str| {
        part.chars()
            .filter(|of| of.is_alphanumeric() || *of == '%')
            .collect::<String>()
    };
    text.split_whitespace()
        .map(word)
        .filter(|word| !word.is_empty())
        .collect::<Vec<_>>()
        .join("-")
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
        plan::MAX_ADDED_MS,
        plan::MAX_IN_FORCE_S,
        plan::MAX_CORE_PERCENT,
        plan::MAX_MEMORY_MB,
        plan::MAX_BYTES_PER_S
    );
}

fn row(growth: &Growth, full: &AtFull) {
    let none = || "-".to_owned();
    println!(
        "{:<48} {:<18} {:>10} {:>9} {:>10} {:>6.3} {:>6} {:>9} {:>8} {:>8} {:>7} {:>6}  {}",
        growth.cost,
        growth.by.name(),
        if full.is_flat {
            "flat".into()
        } else {
            short(full.line.slope)
        },
        short(full.line.slope_error),
        short(full.line.intercept),
        full.line.r2,
        full.power.map_or_else(none, |power| format!("{power:.2}")),
        short(full.value),
        short(full.error),
        growth.allowed.map_or_else(none, short),
        full.ratio.map_or_else(none, short),
        format!("{:.1}x", full.beyond.max(1.0)),
        growth.measured()
    );
}
