//! `capacity`: what the size that operators plan with costs, from measured slopes, a scale run on loopback and a
//! simulation of the whole fleet.

mod fleet_run;
mod numbers;
mod simulation;
mod slopes;

use argh::FromArgs;

/// Measures how memory, processor time, bytes and times grow with the size of the installation.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
    /// run real and hollow routers as one fleet instead of measuring slopes
    #[argh(switch)]
    fleet: bool,
    /// simulate the whole fleet in simulated time instead, without sockets
    #[argh(switch)]
    simulation: bool,
    /// only the small sizes, as CI runs it
    #[argh(switch)]
    small: bool,
}

impl Capacity {
    /// Runs the part that was asked for; whether all was as asked.
    pub fn run(self) -> bool {
        if self.fleet {
            fleet_run::run(self.small)
        } else if self.simulation {
            simulation::run(self.small)
        } else {
            slopes::run(self.small)
        }
    }
}
