//! The fields that cannot change while the program runs.

use std::net::SocketAddr;

use kestreltide::interface::ServiceSettings;
use kestreltide_settings::TransportSettings;

use super::{ConfigError, ProgramConfiguration, ResourceLimits};

/// What the program was started with and keeps until it ends.
pub(in crate::program) struct StartupOnly {
    name: String,
    listen: SocketAddr,
    limits: ResourceLimits,
    peer_listen: Option<SocketAddr>,
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    has_platform: bool,
    service: ServiceSettings,
    transport: TransportSettings,
}

impl StartupOnly {
    /// Copies the fields.
    pub(in crate::program) fn of(configuration: &ProgramConfiguration) -> Self {
        StartupOnly {
            name: configuration.name.clone(),
            listen: configuration.listen,
            limits: configuration.limits.clone(),
            peer_listen: configuration.peer_listen,
            peers: configuration.peers.clone(),
            peers_all: configuration.peers_all,
            has_platform: configuration.platform.is_some(),
            service: configuration.service.clone(),
            transport: configuration.transport.clone(),
        }
    }

    /// The memory that the program may use, in MiB.
    pub(in crate::program) fn memory_mb(&self) -> usize {
        self.limits.memory_mb
    }

    /// Checks that a configuration that was read again differs in none of these fields.
    ///
    /// # Errors
    ///
    /// The names of the fields that differ.
    pub(in crate::program) fn check(
        &self,
        configuration: &ProgramConfiguration,
    ) -> Result<(), ConfigError> {
        let unchanged = [
            ("name", self.name == configuration.name),
            ("listen", self.listen == configuration.listen),
            ("limits", self.limits == configuration.limits),
            ("peer_listen", self.peer_listen == configuration.peer_listen),
            ("peers", self.peers == configuration.peers),
            ("peers_all", self.peers_all == configuration.peers_all),
            (
                "platform",
                self.has_platform == configuration.platform.is_some(),
            ),
            (
                "settings",
                self.service == configuration.service && self.transport == configuration.transport,
            ),
        ];
        let fields: Vec<_> = unchanged
            .iter()
            .filter(|(_, unchanged)| !unchanged)
            .map(|(field, _)| *field)
            .collect();
        if fields.is_empty() {
            Ok(())
        } else {
            Err(ConfigError::NeedsRestart { fields })
        }
    }
}
