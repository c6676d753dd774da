//! Reports how each build ended in recorded bench runs, from the bench's output and the routers' logs. A bench run
//! plays one day of traffic and rollouts, in short. The report has no requirement that can fail. The records don't
//! say which builds were bad, so every build that votes rolled back is counted as rolled back, whether it was bad or
//! not.

mod day;
mod table;

use std::path::PathBuf;

use argh::FromArgs;

use self::day::{Day, DayError};
use self::table::Table;

/// Count how each build ended in recorded bench runs: one folder per run, with the bench's output and the routers'
/// logs.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollouts")]
pub struct CountRollouts {
    /// the folders, each with `day.txt` and one file NAME.log per router
    #[argh(positional)]
    days: Vec<PathBuf>,
    /// print each build too, not only the totals
    #[argh(switch)]
    builds: bool,
}

impl CountRollouts {
    /// Reads the recorded days and prints the table.
    ///
    /// # Errors
    ///
    /// No folder was given, or one of them cannot be read or is incomplete.
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
        table.print_totals();
        Ok(())
    }
}
