//! Stand-ins on loopback sockets for tests and measurements: hosts, discovery, the platform, clients, and the
//! program itself as a process. Each can be told to be slow, silent or torn; none uses a fixed port, and every
//! wait ends by what is seen.

mod client;
mod config;
mod discovery;
mod fleet;
mod machine;
mod management_client;
mod platform;
mod program;
mod servers;
mod test_listener;

use std::time::Duration;

pub use client::Client;
pub use config::{config, list};
pub use discovery::Discovery;
pub use fleet::{Fleet, Host, Seen};
pub use management_client::{ManagementClient, Netconf, TestCredentials, proto};
pub use platform::{Platform, Standing};
pub use program::Program;
pub use servers::{
    answer_each, fake_discovery, fake_host, spawn_server, unused_address, value, words,
};
pub use test_listener::TestListener;

/// What is waited for longer than this never comes.
pub const PATIENCE: Duration = Duration::from_secs(20);
