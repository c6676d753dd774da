//! Threads beside the loop, for other installations: each is started only where the operator file says so,
//! posts to the loop and reads its view, and is started again when it dies.

mod keeper;
mod memory;
mod supervise;

pub use keeper::{Ask, Keeper, KeeperTerms, Watching};
pub use memory::{Held, Remembered, load};
pub use supervise::supervise;
