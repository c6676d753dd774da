//! The configuration fields that cannot change while the program runs.

use std::net::SocketAddr;

use kestreltide::interface::ServiceSettings;
use kestreltide_settings::TransportSettings;

use super::{ConfigError, ProgramConfiguration, ResourceLimits};

/// The values that those fields had at the start.
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
    /// Copies the fields from the configuration that the program starts with.
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

    /// The memory limit that the program was started with, in MiB.
    pub(in crate::program) fn memory_mb(&self) -> usize {
        self.limits.memory_mb
    }

    /// Checks that a reloaded configuration has the same values in these fields.
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
            .filter(|(_, is_unchanged)| !is_unchanged)
            .map(|(field, _)| *field)
            .collect();
        if fields.is_empty() {
            Ok(())
        } else {
            Err(ConfigError::NeedsRestart { fields })
        }
    }
}
