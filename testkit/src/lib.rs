//! Stand-ins on loopback sockets for tests and measurements: hosts, discovery, the platform, clients, and the
//! program itself as a process. Each can be told to be slow, silent or torn; none uses a fixed port, and every
//! wait ends by what is seen.

mod client;
mod config;
mod discovery;
mod door;
mod engineer;
mod fleet;
mod machine;
mod party;
mod platform;
mod program;

use std::time::Duration;

pub use client::Client;
pub use config::{config, list};
pub use discovery::Discovery;
pub use door::Door;
pub use engineer::{Engineer, Netconf, Office, proto};
pub use fleet::{Fleet, Host, Seen};
pub use party::{answer_each, fake_discovery, fake_host, nobody, party, value, words};
pub use platform::{Platform, Standing};
pub use program::Program;

/// What is waited for longer than this never comes.
pub const PATIENCE: Duration = Duration::from_secs(20);
