//! Test servers and clients on loopback sockets: hosts, discovery, the platform, clients of a router, management
//! clients, and the router itself as a process.
//!
//! No server uses a fixed port, and every wait ends when the awaited event is observed or after [`TEST_TIMEOUT`].
//! All functions panic if the test cannot continue; nothing here is part of a shipped program.

#![deny(
    missing_docs,
    unreachable_pub,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::wildcard_imports
)]

mod arrival;
mod client;
mod config;
mod credentials;
pub mod decisions;
mod discovery;
mod fleet;
mod gnmi;
mod netconf;
mod platform;
mod program;
mod servers;
mod tcp_states;
mod test_listener;

use std::time::Duration;

pub use arrival::{ArrivalReader, record_arrival_times};
pub use client::Client;
pub use config::{endpoint_list, router_config};
pub use credentials::{ManagementClient, TestCredentials};
pub use discovery::{Discovery, HeldWatch, ResponseDelay};
pub use fleet::{AttemptLog, Fleet, TestHost};
pub use gnmi::proto;
pub use netconf::{NetconfError, NetconfSession};
pub use platform::{Platform, RolloutState};
pub use program::{RouterProcess, private_memory_kib, resident_memory_kib};
pub use servers::{
    effectless_reply, fake_discovery, fake_host, read_command, read_request, serve_commands,
    spawn_server, spawn_server_on, unused_address, value_reply,
};
pub use test_listener::TestListener;

/// The maximum time to wait for an event before the test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
