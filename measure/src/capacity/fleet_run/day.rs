//! A day's restarts and changes of configuration, pressed into the length of a run with their true spacing to one
//! another. Drawn from a seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::layout::Layout;
use super::plan::{CHANGES_A_DAY, FLEET_HOSTS, FLEET_ROUTERS, RESTARTS_A_DAY, SECONDS_A_DAY};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DayEvent {
    RestartHost(u32),
    RestartRouter(u32),
    /// Discovery lists another size for this host, which every router is to have.
    ChangeSize(u32),
    /// Operators' files give this host another weight.
    ChangeWeight(u32),
}

/// What happens in a day, by seconds from the beginning of its compressed length.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    pub events: Vec<(f64, DayEvent)>,
    pub restarts: u32,
    pub changes: u32,
    /// How many seconds of the day one second of the run stands for.
    pub factor: f64,
}

impl Day {
    /// Restarts in proportion to the machines of the fleet, and changes likewise, at least a few. Half of the
    /// changes are of operators' files where there are any.
    pub fn draw(seed: u64, layout: &Layout, listed: u32, length: f64, files: bool) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let machines = layout.routers + layout.hosts;
        let part = f64::from(machines) / f64::from(FLEET_ROUTERS + FLEET_HOSTS);
        let restarts = (part * f64::from(RESTARTS_A_DAY)).round() as u32;
        let changes = ((part * f64::from(CHANGES_A_DAY)).round() as u32).clamp(8, CHANGES_A_DAY);
        let mut at = || chance.random::<f64>() * length;
        let mut times: Vec<(f64, bool)> = (0..restarts).map(|_| (at(), true)).collect();
        times.extend((0..changes).map(|_| (at(), false)));
        times.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut number = 0;
        let events = times.into_iter().map(|(at, restart)| {
            let event = if restart {
                match chance.random_range(0..machines) {
                    machine if machine < layout.routers => DayEvent::RestartRouter(machine),
                    machine => DayEvent::RestartHost(machine - layout.routers),
                }
            } else {
                number += 1;
                let host = chance.random_range(0..listed);
                if files && number % 2 == 0 {
                    DayEvent::ChangeWeight(host)
                } else {
                    DayEvent::ChangeSize(host)
                }
            };
            (at, event)
        });
        Day {
            events: events.collect(),
            restarts,
            changes,
            factor: SECONDS_A_DAY / length,
        }
    }
}

#[cfg(test)]
mod tests;
