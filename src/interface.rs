//! Plain types between the decisions and whatever carries them: ids, events in, effects out, and the terms
//! read at start. All times are seconds with fractions. Nothing here decides, and nothing knows a protocol.

use std::sync::Arc;

/// An invocation, as its carrier names it; never used twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InvId(pub Arc<str>);

/// What an invocation concerns; invocations that share a key belong together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub Arc<str>);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u64);

impl HostId {
    /// The id of a host by its name (FNV-1a, 64 bits): the same at every router, in every thread and after
    /// every start, without anybody having to hand out numbers.
    pub fn named(name: &str) -> Self {
        HostId(named(name))
    }
}

fn named(name: &str) -> u64 {
    let hash = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, hash)
}

/// A build; a later one has a higher number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BuildId(pub u16);

/// A router of this service, by its number among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterId(pub u32);

/// An operation, by its place in [`ServiceTerms::operations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u64);

impl ZoneId {
    /// By its name, as [`HostId::named`].
    pub fn named(name: &str) -> Self {
        ZoneId(named(name))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

/// A kind of machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u64);

impl KindId {
    /// By its name, as [`HostId::named`].
    pub fn named(name: &str) -> Self {
        KindId(named(name))
    }
}

/// A set of operators' wishes in force, by its number; 0 before there was any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

/// The place of a dispatch among those of its invocation, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatchNo(pub u32);

/// What a router gets back when an alarm that it set goes off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AlarmKey(pub u64);

/// Hosts that drop the repeats of a fingerprinted invocation together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    All,
    Zone,
    Cell,
}

/// Whether an operation may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeats {
    Idempotent,
    Fingerprinted { group: RepeatGroup, window: f64 },
    SideEffecting,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperationTerms {
    pub slo_time: f64,
    /// The SLO time grows by this many times the invocation's own work, never past the time limit.
    pub slo_stretch: f64,
    pub time_limit: f64,
    pub repeats: Repeats,
    pub billed_value: f64,
    /// Share of the billed value that an answer after the SLO time still earns.
    pub late_share: f64,
    pub streamed: bool,
}

/// What moves a build from stage to stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    Any,
    Share,
    Clock,
}

/// What the figures that the host list gives as sizes mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sizes {
    Untold,
    Registered,
    Rough,
    Live,
}

/// The terms that a service hands its routers at start.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTerms {
    pub me: RouterId,
    pub routers: u32,
    pub zone: Option<ZoneId>,
    pub operations: Vec<OperationTerms>,
    /// The billed value counts for each unit of work, not for each invocation.
    pub billed_by_work: bool,
    /// The host list comes only when asked for.
    pub list_asked: bool,
    /// Without a subscription, a router counts as told after this time.
    pub ask_every: f64,
    pub sizes: Sizes,
    pub gate: Gate,
    pub votes_on: u32,
    pub votes_back: u32,
    pub votes_hold: u32,
    pub bake: f64,
    pub ballot_life: f64,
    pub vote_wait: f64,
    /// Votes a second that the platform takes of all routers together, twice that in a burst.
    pub vote_rate: f64,
    pub stage_shares: Vec<f64>,
    pub stage_caps: Vec<f64>,
    pub exposure_window: f64,
    pub exposure_spare: f64,
    pub exposure_by_operation: bool,
    pub guarded_stages: u32,
    /// A key that the trial build has answered goes to no earlier one.
    pub keys_bound: bool,
    /// Hosts work faster for keys met lately.
    pub keys_warm: bool,
    /// Earlier machines drain as soon as their successor runs.
    pub in_place: bool,
    pub dispute_share: f64,
    pub drain_grace: f64,
    pub cold_share: f64,
    pub cold_time: f64,
    pub fall_multiple: f64,
    pub fall_time: f64,
    pub may_probe: bool,
    pub may_tell: bool,
    pub may_recall: bool,
    pub may_copy: bool,
    pub may_advise: bool,
    pub longest_advice: f64,
    pub most_dispatches: u32,
    /// The shortest time between two events that differ in time.
    pub tick: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    Running,
    Stopping,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostEntry {
    pub host: HostId,
    pub build: BuildId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub kind: KindId,
    pub size: f64,
    /// When it last started; `None` is long ago.
    pub started: Option<f64>,
    pub state: HostState,
}

impl HostEntry {
    /// Whether both are of one process: an id may come back with another start or build.
    pub fn same_process(&self, other: &HostEntry) -> bool {
        self.build == other.build && self.started == other.started
    }
}

/// The hosts that a route's invocations may use; an empty list is no condition. It narrows and never widens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    pub zones: Vec<ZoneId>,
    pub kinds: Vec<KindId>,
    pub hosts: Vec<HostId>,
}

impl Pool {
    pub fn holds(&self, host: &HostEntry) -> bool {
        self.spans(host.zone, host.kind)
            && (self.hosts.is_empty() || self.hosts.contains(&host.host))
    }

    /// Whether hosts of this zone and kind may be in it.
    pub fn spans(&self, zone: ZoneId, kind: KindId) -> bool {
        let in_zone = self.zones.is_empty() || self.zones.contains(&zone);
        in_zone && (self.kinds.is_empty() || self.kinds.contains(&kind))
    }
}

/// What operators ask of a build on trial. It can only hold it, take it back or show it to less.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RingWish {
    pub build: BuildId,
    pub hold: bool,
    pub back: bool,
    /// The cap is this at most.
    pub cap: f64,
}

/// What operators want weighed, as one whole. Weights are only a narrowing: they share out what the decisions
/// let a host have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSet {
    pub revision: Revision,
    /// In ascending order of hosts; those that are not in it weigh 1.
    pub weights: Box<[(HostId, f64)]>,
    pub ring: Option<RingWish>,
}

impl OperatorSet {
    /// Tells the weights of hosts that are asked for in ascending order.
    pub fn in_order(&self) -> impl FnMut(HostId) -> f64 {
        let mut left = &self.weights[..];
        move |host| {
            while let [(first, _), rest @ ..] = left
                && *first < host
            {
                left = rest;
            }
            left.first()
                .filter(|(first, _)| *first == host)
                .map_or(1.0, |(_, weight)| *weight)
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the changed entries.
    Changes,
    /// The whole list.
    Whole,
    /// The whole list as this router had it last; it may be old.
    Remembered,
}

/// How a dispatch, a probe or a vote ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Succeeded,
    Error,
    Full,
    TimedOut,
    NoConnection,
    Reset,
    Recalled,
    Moot,
}

/// A host's report on itself, as far as it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub held: Option<f64>,
    pub queued: Option<f64>,
    pub busy: Option<f64>,
    pub service_time: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    OnTrial,
    GoingBack,
    Released,
    Withdrawn,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageNews {
    /// Other than `Succeeded`: the answer to a vote that did not count, or (timed out) may have.
    pub verdict: Verdict,
    pub build: BuildId,
    pub stage: u32,
    pub phase: Phase,
    pub cap: f64,
    /// Time since this state began.
    pub age: f64,
    pub answers_vote: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sense {
    #[default]
    None,
    On,
    Hold,
    Back,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Invocation {
    pub id: InvId,
    pub operation: OperationId,
    pub key: Option<KeyId>,
    /// Time before the client stops waiting for this try.
    pub time_left: f64,
    /// Expected work, rough, in seconds of a standard core.
    pub work: Option<f64>,
    pub again: bool,
    /// The hosts that are for it; none: all.
    pub pool: Option<Arc<Pool>>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Hosts {
        scope: ListScope,
        entries: Arc<[HostEntry]>,
    },
    /// Part of a long list that is told ahead: nothing of it counts before the next `Operators` or `Hosts`.
    Staged {
        entries: Arc<[HostEntry]>,
        from: usize,
        to: usize,
    },
    /// A revision is in force, with all that was staged for it and these entries.
    Operators {
        set: Arc<OperatorSet>,
        entries: Arc<[HostEntry]>,
    },
    ListFailed,
    Arrived(Invocation),
    Streaming {
        inv: InvId,
        dispatch: DispatchNo,
        host: HostId,
    },
    Ended {
        inv: InvId,
        dispatch: DispatchNo,
        host: HostId,
        verdict: Verdict,
        over: bool,
        took: f64,
        load: LoadReport,
        /// How long its connection had been without use, where the carrier knows; 0 for a new one.
        unused: Option<f64>,
    },
    ClientLeft {
        inv: InvId,
    },
    Alarm {
        key: AlarmKey,
    },
    Probed {
        host: HostId,
        verdict: Verdict,
        took: f64,
        load: LoadReport,
    },
    Told {
        from: RouterId,
        payload: Vec<u8>,
    },
    Stage(StageNews),
    Tally {
        build: BuildId,
        operation: OperationId,
        dispatches: f64,
        failed: f64,
        mean_time: f64,
        age: f64,
    },
    Disputed {
        host: HostId,
        operation: OperationId,
        age: f64,
    },
}

/// On which connection a dispatch may go, and by when; times in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionTerms {
    /// On none that has been without use for longer.
    pub unused_most: f64,
    /// On none whose last answer came less than this ago: answers carry no id, and a second one that comes late
    /// would be taken for this dispatch's own.
    pub rested_least: f64,
    /// But where as many of a host's connections rest, the one that has rested for longest is used.
    pub resting_most: usize,
    /// What is not written to its last byte by then is given up, and has never run: it may be too late for a
    /// repeat, or the host be draining by now.
    pub written_within: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Dispatch {
        inv: InvId,
        host: HostId,
        time_out: f64,
        on: ConnectionTerms,
    },
    Recall {
        inv: InvId,
        dispatch: DispatchNo,
    },
    /// A final answer: trying again is harmless, if wished not before `stay_away`.
    Throttle {
        inv: InvId,
        stay_away: Option<f64>,
    },
    /// A final answer that promises nothing.
    Terminate {
        inv: InvId,
    },
    SetAlarm {
        at: f64,
        key: AlarmKey,
    },
    Probe {
        host: HostId,
    },
    CloseIdle {
        host: HostId,
    },
    /// To one router, or to all.
    Tell {
        to: Option<RouterId>,
        payload: Vec<u8>,
    },
    Vote {
        build: BuildId,
        stage: u32,
        sense: Sense,
    },
    Follow {
        on: bool,
    },
    FetchList,
    Note {
        text: String,
    },
}
