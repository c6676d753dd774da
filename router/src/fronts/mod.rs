//! Threads beside the loop, for other installations: each is started only where the operator file says so,
//! posts to the loop and reads its view, and is started again when it dies.

mod keeper;
mod management;
mod memory;
mod open;
mod supervise;
mod terms;

pub use keeper::{Ask, Keeper, KeeperTerms};
pub use memory::{Held, Remembered, load};
pub use open::{Fronts, Opening};
pub use supervise::supervise;
pub use terms::{GnmiTerms, ManagementTerms, NetconfTerms, OperatorTerms, Watching};
