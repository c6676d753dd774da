//! Stand-ins on loopback sockets for tests and measurements: hosts, discovery, the platform, clients, and the
//! program itself as a process. Each can be told to be slow, silent or torn; none uses a fixed port, and every
//! wait ends by what is seen.

mod client;
mod config;
mod discovery;
mod fleet;
mod management_client;
mod platform;
mod program;
mod servers;
mod tcp_states;
mod test_listener;

use std::time::Duration;

pub use client::Client;
pub use config::{endpoint_list, router_config};
pub use discovery::Discovery;
pub use fleet::{AttemptLog, Fleet, TestHost};
pub use management_client::{ManagementClient, Netconf, TestCredentials, proto};
pub use platform::{Platform, RolloutState};
pub use program::Program;
pub use servers::{
    fake_discovery, fake_host, read_command, serve_commands, spawn_server, unused_address,
    value_reply,
};
pub use test_listener::TestListener;

/// What is waited for longer than this never comes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
