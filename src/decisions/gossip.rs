//! Gossip: routers average their evidence in random pairs, and report their traffic and slowdown to each other.
//!
//! Each exchange moves both routers' counts to their mean (push-pull averaging), so that all converge to the mean of
//! all routers.

use std::collections::BTreeMap;

use rand::RngExt;

use super::evidence::Evidence;
use super::gossip_message::GossipMessage;
use super::timers::TimerEvent;
use super::{MIN_DIVISOR, Router};
use crate::arm::Arm;
use crate::interface::{BuildId, Effect, Phase, RouterId};

/// Seconds between a router's gossip rounds: short enough to exchange some messages per stage with every peer, at a
/// low cost.
pub(super) const GOSSIP_INTERVAL: f64 = 0.2;

/// Weight of one peer's message in the merged evidence, which is thus the mean of about six messages.
const MERGE_WEIGHT: f64 = 0.15;

/// Seconds without a message after which a peer counts as dead; about a dozen gossip rounds.
const PEER_TIMEOUT: f64 = 2.5;

/// Lower limit for the slowdown that a peer reports.
const MIN_PEER_SLOWDOWN: f64 = 0.1;

/// Upper limit for the slowdown that a peer reports.
const MAX_PEER_SLOWDOWN: f64 = 10.0;

/// The latest report of a peer.
pub(super) struct PeerReport {
    /// When the report arrived, in seconds.
    pub(super) at: f64,
    /// The requests that the peer received in its exposure window.
    received: f64,
    slowdown: f64,
}

/// What a router knows of its peers.
pub(super) struct GossipPeers {
    /// For each peer that has not replied yet, this router's evidence as last sent to it.
    sent: BTreeMap<RouterId, Evidence>,
    last_heard: BTreeMap<RouterId, PeerReport>,
    /// This router's share of the traffic of all routers.
    pub(super) traffic_share: f64,
    /// How many times slower the hosts are than before the canary, averaged over all routers.
    pub(super) shared_slowdown: f64,
}

impl GossipPeers {
    /// No peer has been heard; all routers are assumed to have the same traffic.
    pub(super) fn new(routers: u32) -> Self {
        GossipPeers {
            sent: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            traffic_share: 1.0 / f64::from(routers),
            shared_slowdown: 1.0,
        }
    }

    /// Discards the evidence sent to peers, which was about an earlier canary.
    pub(super) fn clear_sent(&mut self) {
        self.sent.clear();
    }

    /// The number of live peers that have been heard.
    pub(super) fn live_count(&self) -> usize {
        self.last_heard.len()
    }

    /// The number of peers that have been heard after a point in time.
    pub(super) fn heard_since(&self, since: f64) -> usize {
        self.last_heard
            .values()
            .filter(|report| report.at > since)
            .count()
    }

    /// Updates this router's share of the traffic and the slowdown averaged over routers. The peers heard are a
    /// sample: the number of random exchanges within [`PEER_TIMEOUT`] gives the number of peers that would be heard
    /// if all were alive, and the ratio of both is an estimate of the fraction that is alive.
    fn update(&mut self, now: f64, routers: u32, own_received: f64, own_slowdown: f64) {
        self.last_heard
            .retain(|_, report| now - report.at < PEER_TIMEOUT);
        let own_traffic = own_received.max(1.0);
        let peer_count = f64::from(routers - 1).max(MIN_DIVISOR);
        let exchanges = 2.0 * PEER_TIMEOUT / GOSSIP_INTERVAL;
        let expected_heard = peer_count * (1.0 - (-exchanges / peer_count).exp());
        let heard = self.last_heard.len() as f64;
        let live_count = peer_count * (heard / expected_heard).min(1.0);
        let reports = || self.last_heard.values();
        let heard_traffic = reports().map(|report| report.received).sum::<f64>();
        let peer_traffic = live_count * heard_traffic / heard.max(1.0);
        let weighted_log_slowdown = reports()
            .map(|report| report.received * report.slowdown.ln())
            .sum::<f64>();
        self.traffic_share = own_traffic / (own_traffic + peer_traffic);
        self.shared_slowdown = ((own_traffic * own_slowdown.ln() + weighted_log_slowdown)
            / (own_traffic + heard_traffic))
            .exp();
    }
}

impl Router {
    /// Schedules the first gossip round at a random time within one interval.
    pub(super) fn schedule_first_gossip(&mut self, now: f64, effects: &mut Vec<Effect>) {
        let at = now + GOSSIP_INTERVAL * self.rng.random::<f64>();
        self.timers.schedule(at, TimerEvent::Gossip, effects);
    }

    /// Runs one gossip round: updates smoothed levels, weights and the host index, decays the evidence, sends it to a
    /// peer, and decides the vote.
    pub(super) fn gossip_round(&mut self, now: f64, effects: &mut Vec<Effect>) {
        let next = now + GOSSIP_INTERVAL;
        self.timers.schedule(next, TimerEvent::Gossip, effects);
        self.latency.follow_decreases();
        self.connection_losses.decay();
        self.refresh_weights(now);
        let unsettled = self.hosts.index.unsettled().collect();
        self.update_index(now, unsettled);
        self.hosts.expire(now);
        self.update_canary_share();
        let canary_is_listed = self.rollout.canary_share > 0.0;
        self.evidence
            .decay(canary_is_listed, self.baseline_is_listed());
        self.exchange_evidence(effects);
        let received = self.exposure.received();
        let slowdown = self.own_slowdown();
        self.peers
            .update(now, self.settings.routers, received, slowdown);
        self.decide_vote(now, effects);
    }

    /// Whether the id is that of another router of the service.
    fn is_peer(&self, id: RouterId) -> bool {
        id != self.settings.router && id.0 < self.settings.routers
    }

    /// Processes a peer's message, and replies to it if the peer began the exchange.
    pub(super) fn on_gossip(
        &mut self,
        now: f64,
        from: RouterId,
        payload: &[u8],
        effects: &mut Vec<Effect>,
    ) {
        let message = GossipMessage::decode(payload);
        let Some(message) = message.filter(|_| self.is_peer(from)) else {
            return;
        };
        let report = PeerReport {
            at: now,
            received: message.received,
            slowdown: message.slowdown.clamp(MIN_PEER_SLOWDOWN, MAX_PEER_SLOWDOWN),
        };
        self.peers.last_heard.insert(from, report);
        let build = self.rollout.status.map(|status| status.build);
        let has_all_counts = message.counts.len() == self.evidence.own.flat_counts_len();
        if build != Some(message.build) || !has_all_counts {
            return;
        }
        let merged = self.evidence.merged.flat_counts_mut();
        for (merged, theirs) in merged.zip(&message.counts) {
            *merged += MERGE_WEIGHT * (theirs - *merged);
        }
        let sent = if message.is_reply {
            self.peers.sent.remove(&from)
        } else {
            Some(self.evidence.own.clone())
        };
        if !message.is_reply {
            self.send_gossip(from, true, effects);
        }
        self.merge(&message, sent);
    }

    /// Sends the evidence to a random peer. A router without peers uses its own evidence as the merged one.
    fn exchange_evidence(&mut self, effects: &mut Vec<Effect>) {
        if !self.settings.may_gossip || self.settings.routers == 1 {
            self.evidence.merged = self.evidence.own.clone();
        } else if self.rollout.status.is_some() {
            let other = self.rng.random_range(0..self.settings.routers - 1);
            let own = self.settings.router.0;
            let peer = RouterId(other + u32::from(other >= own));
            self.peers.sent.insert(peer, self.evidence.own.clone());
            self.send_gossip(peer, false, effects);
        }
    }

    /// Moves this router's evidence to the mean of both routers'; `sent` is what the peer was sent.
    fn merge(&mut self, message: &GossipMessage, sent: Option<Evidence>) {
        let own = self.evidence.own.flat_counts_mut();
        if self.evidence.is_fresh && !message.is_fresh {
            // A restarted router copies its peer's counts: averaging them with its own, which are zero, would halve
            // them.
            for (own, theirs) in own.zip(&message.counts) {
                *own = *theirs;
            }
            self.evidence.is_fresh = false;
            self.evidence.merged = self.evidence.own.clone();
        } else if let Some(sent) = sent
            && self.evidence.is_fresh == message.is_fresh
        {
            // Adds half the difference to the evidence as it was sent, which keeps the outcomes recorded since then.
            for ((own, theirs), sent) in own.zip(&message.counts).zip(sent.flat_counts()) {
                *own = (*own + (theirs - sent) / 2.0).max(0.0);
            }
        }
    }

    fn send_gossip(&self, to: RouterId, is_reply: bool, effects: &mut Vec<Effect>) {
        let message = GossipMessage {
            is_reply,
            is_fresh: self.evidence.is_fresh,
            build: self
                .rollout
                .status
                .map_or(BuildId(0), |status| status.build),
            received: self.exposure.received(),
            slowdown: self.own_slowdown(),
            counts: self.evidence.own.flat_counts().collect(),
        };
        effects.push(Effect::SendGossip {
            to: Some(to),
            payload: message.encode(),
        });
    }

    /// The relative slowdown that this router observes: of the baseline's hosts, or of the canary's where no baseline
    /// host is listed.
    fn own_slowdown(&self) -> f64 {
        let status = self.rollout.status;
        let is_canary = status.is_some_and(|status| status.phase == Phase::Canary);
        let arm = Arm::canary_if(is_canary && !self.baseline_is_listed());
        self.latency.relative_slowdown(arm).unwrap_or(1.0)
    }
}
