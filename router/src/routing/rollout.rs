//! The rollout: keeps the platform's last status for the management threads and passes votes to the platform client.

use std::net::SocketAddr;

use kestreltide::interface::*;

use super::event_loop::EventLoop;
use super::platform_client::{PlatformClient, unsent_vote_status};
use super::{ReadyReason, Routing};

impl Routing {
    /// Applies the rollout status that was cached before the router was started.
    pub fn restore_rollout_status(&mut self, status: RolloutStatus) {
        self.event_loop
            .notify_decisions(Event::RolloutStatusReceived(status));
        self.apply_rollout_status(status);
        self.process_pending();
    }

    /// Casts a vote on a build's stage; without a platform, the decisions are told that it was not sent.
    pub(super) fn cast_vote(&mut self, build: BuildId, stage: u32, vote: Vote) {
        if self.platform.is_none() {
            let status = unsent_vote_status(build, stage);
            return self
                .event_loop
                .notify_decisions(Event::RolloutStatusReceived(status));
        }
        self.with_platform(|platform, event_loop| {
            platform.cast_vote(event_loop, build, stage, vote);
        });
    }

    /// Connects to the platform at a new address.
    pub(super) fn change_platform_address(&mut self, address: SocketAddr) {
        self.with_platform(|platform, event_loop| platform.change_address(event_loop, address));
    }

    /// Runs `action` on the platform client, where there is one, and applies the statuses that it has received.
    pub(super) fn with_platform(
        &mut self,
        action: impl FnOnce(&mut PlatformClient, &mut EventLoop),
    ) {
        let Some(platform) = &mut self.platform else {
            return;
        };
        action(platform, &mut self.event_loop);
        for status in platform.take_received() {
            self.apply_rollout_status(status);
            self.mark_ready(ReadyReason::StateReceived);
        }
    }

    /// Keeps the status unless the known one is of a newer build.
    fn apply_rollout_status(&mut self, status: RolloutStatus) {
        self.rollout_status = self
            .rollout_status
            .filter(|known| known.build > status.build)
            .or(Some(status));
        self.mark_view_stale();
    }
}
