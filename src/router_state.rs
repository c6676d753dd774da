//! What a router keeps between events, and the plain form of what routers tell each other. Records only:
//! every decision, table and tuned value is in `decisions`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::host_index::HostIndex;
use crate::interface::*;
use crate::operator_weights::{EffectiveWeight, apply_weights};

#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum VoteState {
    #[default]
    NoVote,
    Pending,
    Counted,
}

pub(crate) struct Operation {
    pub(crate) latency_objective: f64,
    pub(crate) late_is_worthless: bool,
    /// Earns less than half of what the best operation earns for its time.
    pub(crate) low_priority: bool,
    pub(crate) group: IdempotencyScope,
    /// How long a repeat is harmless: for ever where idempotent, never where side-effecting.
    pub(crate) window: f64,
}

/// What a host's outcomes say of it; a restart, or a new machine under a used id, begins afresh.
#[derive(Clone, Copy)]
pub(crate) struct HostHealth {
    pub(crate) failure_rate: f64,
    pub(crate) slowdown: f64,
    pub(crate) ejected_until: f64,
    pub(crate) ejected_for: f64,
}

/// The one record of a host.
pub(crate) struct Host {
    pub(crate) entry: HostEntry,
    pub(crate) usable: bool,
    /// Send times of the dispatches that are out, and of the last of all.
    pub(crate) out: Vec<f64>,
    pub(crate) used: f64,
    pub(crate) health: HostHealth,
    /// The revision that it came with, or came back with.
    pub(crate) since: Revision,
    /// What the list that is being told changes about it.
    pub(crate) next: StagedChange,
    /// What its weight counts for now, 1 being an even share.
    pub(crate) weight: f64,
}

/// What becomes of a host when the list that is being told is whole.
#[derive(Clone, Default, PartialEq)]
pub(crate) enum StagedChange {
    #[default]
    Unchanged,
    Comes,
    Goes,
    /// It stays, with another entry, or begins anew at another place.
    Changes(Box<(HostEntry, bool)>),
}

impl Host {
    /// Notes an entry of a list that is being told; nothing of it counts yet.
    pub(crate) fn stage(&mut self, entry: &HostEntry, unknown: HostHealth) {
        let runs = entry.state == HostState::Running;
        let left = self.next == StagedChange::Goes;
        self.next = match (self.usable, runs) {
            (_, false) => StagedChange::Goes,
            (true, true) => StagedChange::Changes(Box::new((*entry, left))),
            (false, true) => {
                self.replace(entry, unknown);
                StagedChange::Comes
            }
        };
    }

    /// The list is whole: what was noted counts from here on, in a whole list also that nothing was.
    pub(crate) fn settle(&mut self, whole: bool, now: Revision, unknown: HostHealth) {
        match std::mem::take(&mut self.next) {
            StagedChange::Unchanged => self.usable &= !whole,
            StagedChange::Goes => self.usable = false,
            StagedChange::Comes => (self.usable, self.since) = (true, now),
            StagedChange::Changes(change) => {
                let (entry, anew) = *change;
                if anew || !self.entry.same_process(&entry) {
                    self.since = now;
                }
                self.replace(&entry, unknown);
            }
        }
    }

    /// Another process begins afresh: nothing is known of it yet.
    fn replace(&mut self, entry: &HostEntry, unknown: HostHealth) {
        if !self.entry.same_process(entry) {
            (self.health, self.out) = (unknown, vec![]);
        }
        self.entry = *entry;
    }
}

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) to: HostEntry,
    pub(crate) at: f64,
    pub(crate) out: bool,
    pub(crate) may_have_run: bool,
    pub(crate) scored: bool,
    /// On a connection that had been without use.
    pub(crate) unused: bool,
}

/// How a dispatch ended, after which time, whether its invocation is over, and how long its connection had been
/// without use.
pub(crate) type FinishedAttempt = (AttemptOutcome, f64, bool, Option<f64>);

pub(crate) struct TrackedRequest {
    pub(crate) operation: usize,
    pub(crate) key: Option<KeyId>,
    pub(crate) work: f64,
    pub(crate) again: bool,
    pub(crate) objective_at: f64,
    pub(crate) limit: f64,
    pub(crate) sent: Vec<Attempt>,
    pub(crate) over: bool,
    pub(crate) pool: Option<Arc<Pool>>,
    /// What operators had set when it came.
    pub(crate) overrides: Arc<OperatorOverrides>,
}

/// Low quantiles of times, for each unit of expected work.
pub(crate) struct LatencyBaseline {
    /// Divides quick answers from others.
    pub(crate) quick: f64,
    /// Shows slowness but hardly queues, now and before the trial.
    pub(crate) least: f64,
    pub(crate) before: Option<f64>,
}

pub(crate) enum TimerEvent {
    Gossip,
    Subscribe,
    Hedge(RequestId),
}

/// What outcomes are scored by: kept the SLO time, had no plain error, was quick.
pub(crate) const SIGNALS: usize = 3;

/// For each slot and mark, for each arm: what alpha and beta have above Beta(1, 1).
pub(crate) type Evidence = Vec<[[f64; 2]; 2]>;

#[derive(Default)]
pub(crate) struct State {
    // From the terms.
    pub(crate) me: RouterId,
    pub(crate) routers: u32,
    /// So many routers that what they do at once is not borne.
    pub(crate) is_large_fleet: bool,
    pub(crate) zone: Option<ZoneId>,
    pub(crate) operations: Vec<Operation>,
    pub(crate) polls_endpoint_list: bool,
    /// Over which all routers spread their first calls for a list; their later ones no closer than that at last.
    pub(crate) poll_spread: f64,
    pub(crate) stage_shares: Vec<f64>,
    pub(crate) clock_gated: bool,
    pub(crate) voters: u32,
    pub(crate) renew_every: f64,
    /// Time in which the platform takes a vote of each voter.
    pub(crate) vote_turn: f64,
    /// How short the stages are, of those that the times of drags are for.
    pub(crate) bake_scale: f64,
    pub(crate) first_cap: f64,
    pub(crate) exposure_window: f64,
    pub(crate) exposure_spare: f64,
    pub(crate) exposure_by_operation: bool,
    pub(crate) idempotent_only_stages: u32,
    pub(crate) sticky_keys: bool,
    pub(crate) key_affinity: bool,
    /// The earlier machines stay beside the new ones until the release.
    pub(crate) baseline_stays: bool,
    pub(crate) dispute_weight: f64,
    pub(crate) drain_grace: f64,
    pub(crate) slow_start_initial_fraction: f64,
    pub(crate) slow_start_duration: f64,
    pub(crate) slow_start_allowance: f64,
    pub(crate) overload_multiple: f64,
    pub(crate) may_gossip: bool,
    pub(crate) may_hedge: bool,
    pub(crate) max_retry_after: Option<f64>,
    pub(crate) max_attempts: usize,
    pub(crate) signal_slots: usize,
    /// Some operation's repeats are dropped by the hosts of one cell.
    pub(crate) idempotency_by_cell: bool,
    pub(crate) tick: f64,
    // Seen since.
    pub(crate) overrides: Arc<OperatorOverrides>,
    /// Some host's weight may be other than 1.
    pub(crate) weights_in_force: bool,
    /// Boxed: lists of thousands are taken at once, and a map moves what it holds.
    pub(crate) hosts: BTreeMap<HostId, Box<Host>>,
    pub(crate) index: HostIndex,
    /// What the list that is being told names.
    pub(crate) staged: Vec<HostId>,
    pub(crate) requests: BTreeMap<RequestId, TrackedRequest>,
    pub(crate) timers: BTreeMap<u64, TimerEvent>,
    pub(crate) last_timer: u64,
    pub(crate) subscribe_backoff: f64,
    /// The lowest build that is listed.
    pub(crate) lowest_build: Option<BuildId>,
    /// The largest size that was ever listed at once.
    pub(crate) largest_fleet: f64,
    /// Succeeded dispatches a second, and all, fading, as of a time.
    pub(crate) success_rate: (f64, f64),
    pub(crate) attempt_rate: (f64, f64),
    /// Invocations taken a second, fading, as of a time.
    pub(crate) offered_rate: (f64, f64),
    /// Of all traffic, this router's share; how much slower hosts are than before, as all see it.
    pub(crate) traffic_share: f64,
    /// Share of dispatches lost, on connections in use or new, and on others.
    pub(crate) lost_fractions: [f64; 2],
    pub(crate) shared_slowdown: f64,
    pub(crate) in_flight: usize,
    pub(crate) in_flight_limit: f64,
    /// By operation, kind of machine and arm.
    pub(crate) latency_baselines: BTreeMap<(usize, KindId, usize), LatencyBaseline>,
    pub(crate) slowdown_since: f64,
    /// The drag is more than the trial's part of the machines explains.
    pub(crate) slowdown_unrelated: bool,
    pub(crate) canary_share: f64,
    pub(crate) canary_hosts: f64,
    /// The drag when the stage before ended.
    pub(crate) previous_slowdown: f64,
    /// The share in time, as good as it was lately, before or during the trial.
    pub(crate) best_in_time: f64,
    /// Invocations taken (and whether bound to the trial) and dispatches at trials, in the exposure window.
    pub(crate) admitted: VecDeque<(f64, usize, bool)>,
    pub(crate) canary_attempts: VecDeque<(f64, BuildId, usize)>,
    pub(crate) sticky_builds: BTreeMap<KeyId, BuildId>,
    pub(crate) retry_budget: f64,
    pub(crate) rollout: Option<RolloutStatus>,
    pub(crate) stage_since: f64,
    pub(crate) evidence: Evidence,
    /// The mean of what peers told lately of this build.
    pub(crate) merged_evidence: Evidence,
    /// What an outcome of the earlier arm weighs.
    pub(crate) baseline_weight: f64,
    /// The figures as last sent to a peer, and what it last told.
    pub(crate) gossip_sent: BTreeMap<RouterId, Evidence>,
    /// When, the invocations it took in a window, the drag it sees.
    pub(crate) last_heard: BTreeMap<RouterId, (f64, f64, f64)>,
    pub(crate) is_fresh: bool,
    /// State of the ballot, what it says, and since when.
    pub(crate) vote_state: VoteState,
    pub(crate) cast_vote: Vote,
    /// What the platform was last known to have counted of this router.
    pub(crate) counted_vote: Vote,
    /// Time before a ballot that was not counted is cast again.
    pub(crate) recast_after: f64,
    pub(crate) cast_at: f64,
    pub(crate) desired_vote: Vote,
    pub(crate) desired_since: f64,
    pub(crate) worse_since: f64,
    pub(crate) hold_time: f64,
    /// How many routers the hash names before this one.
    pub(crate) voter_rank: u32,
}

impl State {
    /// What the terms say, and nothing seen yet.
    pub(crate) fn of(
        terms: &ServiceSettings,
        operations: Vec<Operation>,
        slots: usize,
        tick: f64,
    ) -> Self {
        let sums = vec![[[0.0; 2]; 2]; slots * SIGNALS];
        State {
            me: terms.me,
            routers: terms.routers.max(1),
            zone: terms.zone,
            idempotency_by_cell: operations
                .iter()
                .any(|operation| operation.group == IdempotencyScope::Cell),
            operations,
            polls_endpoint_list: terms.polls_endpoint_list,
            stage_shares: terms.stage_shares.clone(),
            first_cap: terms.stage_caps.first().copied().unwrap_or(0.0),
            exposure_window: terms.exposure_window + tick,
            exposure_spare: terms.exposure_spare,
            exposure_by_operation: terms.exposure_by_operation,
            idempotent_only_stages: terms.idempotent_only_stages,
            sticky_keys: terms.sticky_keys,
            key_affinity: terms.key_affinity,
            baseline_stays: !terms.in_place,
            dispute_weight: if terms.dispute_share > 0.0 {
                1.0 / terms.dispute_share
            } else {
                0.0
            },
            drain_grace: terms.drain_grace,
            slow_start_initial_fraction: terms.slow_start_initial_fraction,
            slow_start_duration: terms.slow_start_duration,
            overload_multiple: terms.overload_multiple,
            may_gossip: terms.may_gossip,
            may_hedge: terms.may_hedge,
            max_retry_after: terms.may_send_retry_after.then_some(terms.max_retry_after),
            max_attempts: terms.max_attempts.max(1) as usize,
            signal_slots: slots,
            tick,
            merged_evidence: sums.clone(),
            evidence: sums,
            ..State::default()
        }
    }

    pub(crate) fn usable(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values().map(|h| &**h).filter(|h| h.usable)
    }

    pub(crate) fn baseline_is_listed(&self) -> bool {
        self.rollout
            .is_none_or(|news| self.index.builds().any(|build| build < news.build))
    }

    /// The part of its work that a host can do, by its start and the terms.
    pub(crate) fn warm_up_fraction(&self, host: &HostEntry, now: f64) -> f64 {
        let age = host.started.map_or(f64::INFINITY, |started| now - started);
        self.slow_start_initial_fraction
            + (1.0 - self.slow_start_initial_fraction)
                * (age / self.slow_start_duration).clamp(0.0, 1.0)
    }

    pub(crate) fn sticky_build(&self, key: &Option<KeyId>) -> Option<BuildId> {
        key.as_ref()
            .and_then(|key| self.sticky_builds.get(key))
            .copied()
    }

    /// What operators ask of this build; they may hold it, take it back and show it to less, never more.
    pub(crate) fn override_of(&self, build: BuildId) -> Option<RolloutOverride> {
        self.overrides.rollout.filter(|wish| wish.build == build)
    }

    /// One mark's figures of an arm, of one slot or all.
    pub(crate) fn figures(
        &self,
        sheet: &Evidence,
        slot: Option<usize>,
        mark: usize,
        arm: usize,
    ) -> [f64; 2] {
        let places = (0..self.signal_slots).filter(|s| slot.is_none_or(|only| only == *s));
        let cells = places.map(|s| sheet[s * SIGNALS + mark][arm]);
        cells.fold([0.0; 2], |sum, cell| [sum[0] + cell[0], sum[1] + cell[1]])
    }

    /// What this router tells a peer: its figures of the newest build, and the drag it sees.
    pub(crate) fn message(&self, reply: bool, drag: f64) -> Vec<u8> {
        let build = self.rollout.map_or(BuildId(0), |news| news.build);
        let sums = self.evidence.iter().flatten().flatten().copied().collect();
        Message {
            reply,
            fresh: self.is_fresh,
            build,
            taken: self.admitted.len() as f64,
            drag,
            sums,
        }
        .encode()
    }

    /// What speaks for a vote, as the log tells it.
    pub(crate) fn reasons(&self, news: &RolloutStatus, arms: [usize; 2]) -> String {
        let good =
            |[up, down]: [f64; 2]| format!("{:.2}/{:.0}", up / (up + down).max(1.0), up + down);
        let of_arms = |mark| {
            arms.map(|arm| good(self.figures(&self.merged_evidence, None, mark, arm)))
                .join(":")
        };
        let (marks, drag) = ([0, 1, 2].map(of_arms).join(" "), self.shared_slowdown);
        let (wish, build, stage) = (vote_word(self.desired_vote), news.build.0, news.stage);
        format!(
            "vote {wish} build {build} stage {stage}, in time, no error, quick {marks}, drag {drag:.2}"
        )
    }

    /// The list that was told is whole and counts from here on; the hosts that it may have changed.
    pub(crate) fn commit_staged(&mut self, whole: bool, unknown: HostHealth) -> Vec<HostId> {
        let staged = std::mem::take(&mut self.staged);
        let changed: Vec<_> = if whole {
            self.hosts.keys().copied().collect()
        } else {
            staged
        };
        for id in &changed {
            if let Some(host) = self.hosts.get_mut(id) {
                host.settle(whole, self.overrides.revision, unknown);
            }
        }
        changed
    }

    /// Whether weights are set, or were until now.
    pub(crate) fn weights_in_force(&self) -> bool {
        self.weights_in_force || !self.overrides.weights.is_empty()
    }

    /// A host that has just started has its weight only as far as it carries it, whenever it was set.
    pub(crate) fn effective_weight(
        &self,
        host: &HostEntry,
        now: f64,
        weight: &mut impl FnMut(HostId) -> f64,
    ) -> EffectiveWeight {
        EffectiveWeight {
            size: host.size,
            weight: weight(host.host),
            warm_up_fraction: self.warm_up_fraction(host, now),
        }
    }

    /// All hosts in use, in their order, with their weights under a revision.
    pub(crate) fn effective_weights(
        &self,
        now: f64,
        overrides: &OperatorOverrides,
    ) -> Vec<EffectiveWeight> {
        let mut weight = overrides.weights_in_order();
        self.usable()
            .map(|h| self.effective_weight(&h.entry, now, &mut weight))
            .collect()
    }

    pub(crate) fn apply_weights(&mut self, mut weighed: Vec<EffectiveWeight>) {
        apply_weights(&mut weighed, self.overload_multiple);
        let usable = self.hosts.values_mut().filter(|host| host.usable);
        usable
            .zip(weighed)
            .for_each(|(host, weighed)| host.weight = weighed.weight);
        self.weights_in_force = !self.overrides.weights.is_empty();
    }
}

/// The word of a vote in the line that explains it; the simulator's journal holds it.
fn vote_word(vote: Vote) -> &'static str {
    match vote {
        Vote::Abstain => "None",
        Vote::Promote => "On",
        Vote::Hold => "Hold",
        Vote::RollBack => "Back",
    }
}

/// What one router tells another: the build its figures are of, and the figures.
pub(crate) struct Message {
    pub(crate) reply: bool,
    pub(crate) fresh: bool,
    pub(crate) build: BuildId,
    pub(crate) taken: f64,
    pub(crate) drag: f64,
    pub(crate) sums: Vec<f64>,
}

impl Message {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![u8::from(self.reply), u8::from(self.fresh)];
        bytes.extend(self.build.0.to_le_bytes());
        let figures = [self.taken, self.drag]
            .into_iter()
            .chain(self.sums.iter().copied());
        figures.for_each(|figure| bytes.extend(short(figure).to_le_bytes()));
        bytes
    }

    /// None where the bytes are not a message of finite figures of zero or more.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let ([reply, fresh, low, high], body) = bytes.split_first_chunk()?;
        let (body, rest) = body.as_chunks::<2>();
        let long = |bytes: &[u8; 2]| f32::from_bits(u32::from(u16::from_le_bytes(*bytes)) << 16);
        let mut figures = body.iter().map(|bytes| f64::from(long(bytes)));
        let (taken, drag, sums) = (
            figures.next()?,
            figures.next()?,
            figures.collect::<Vec<_>>(),
        );
        let plain = sums
            .iter()
            .chain([&taken, &drag])
            .all(|f| f.is_finite() && *f >= 0.0);
        let (reply, fresh) = (*reply == 1, *fresh == 1);
        let build = BuildId(u16::from_le_bytes([*low, *high]));
        (plain && rest.is_empty()).then_some(Message {
            reply,
            fresh,
            build,
            taken,
            drag,
            sums,
        })
    }
}

/// The upper half of a short float, rounded: a figure to one part in 256.
fn short(figure: f64) -> u16 {
    (((figure as f32).to_bits() + 0x8000) >> 16) as u16
}

/// A fixed hash, the same on every machine.
pub(crate) fn hash_mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
