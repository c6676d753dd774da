//! What became of each build on days that a bench has played, from the printed days and the routers' logs. It decides
//! nothing; no line says which builds were bad, so a build that was rolled back by votes counts as such.

mod day;
mod table;

use std::path::PathBuf;

use argh::FromArgs;

use self::day::{Day, DayError};
use self::table::Table;

/// Count what became of each build on played days: one folder a day, with the printed day and the routers' logs.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollouts")]
pub struct CountRollouts {
    /// the folders, each with `day.txt` and a file NAME.log a router
    #[argh(positional)]
    days: Vec<PathBuf>,
    /// print each build, not only the sums
    #[argh(switch)]
    builds: bool,
}

impl CountRollouts {
    /// Reads the days and prints the table.
    ///
    /// # Errors
    ///
    /// A day that cannot be read, or none at all.
    pub fn run(&self) -> Result<(), DayError> {
        if self.days.is_empty() {
            return Err(DayError::NoDays);
        }
        let days = self
            .days
            .iter()
            .map(|folder| Day::read(folder))
            .collect::<Result<Vec<_>, _>>()?;
        let table = Table::new(&days);
        if self.builds {
            table.print_builds();
        }
        table.print_sums();
        Ok(())
    }
}
