//! One tiny fake fleet for the decisions: a router, the hosts it knows, and a clock that the stories move by hand.

// Each set of stories uses its part.
#![allow(dead_code)]

pub mod fleet;
pub mod regions;

use kestreltide::choice::Router;
use kestreltide::interface::*;

pub const OLD: BuildId = BuildId(7);
pub const NEW: BuildId = BuildId(8);
pub const READ: OperationId = OperationId(0);
pub const CHANGE: OperationId = OperationId(1);
pub const ONCE: OperationId = OperationId(2);

pub fn terms() -> ServiceTerms {
    let operation = |repeats, slo_time| OperationTerms {
        slo_time,
        slo_stretch: 0.0,
        time_limit: 2.0,
        repeats,
        billed_value: 1.0,
        late_share: 0.0,
        streamed: false,
    };
    let fingerprinted = Repeats::Fingerprinted {
        group: RepeatGroup::All,
        window: 0.5,
    };
    ServiceTerms {
        me: RouterId(0),
        routers: 1,
        zone: None,
        operations: vec![
            operation(Repeats::Idempotent, 0.8),
            operation(fingerprinted, 1.5),
            operation(Repeats::SideEffecting, 0.8),
        ],
        billed_by_work: false,
        list_asked: false,
        ask_every: 10.0,
        sizes: Sizes::Untold,
        gate: Gate::Any,
        votes_on: 0,
        votes_back: 0,
        votes_hold: 0,
        bake: 1.0,
        ballot_life: 6.0,
        vote_wait: 1.0,
        vote_rate: 250.0,
        stage_shares: vec![0.25, 1.0],
        stage_caps: vec![0.3, 1.0],
        exposure_window: 2.0,
        exposure_spare: 2.0,
        exposure_by_operation: false,
        guarded_stages: 0,
        keys_bound: false,
        keys_warm: false,
        in_place: true,
        dispute_share: 0.0,
        drain_grace: 0.25,
        cold_share: 0.4,
        cold_time: 4.0,
        fall_multiple: 3.0,
        fall_time: 1.0,
        may_probe: false,
        may_tell: true,
        may_recall: true,
        may_copy: false,
        may_advise: true,
        longest_advice: 1.0,
        most_dispatches: 4,
        tick: 0.005,
    }
}

pub fn host(id: u64, build: BuildId, started: Option<f64>) -> HostEntry {
    let (zone, cell, kind) = (ZoneId(0), CellId(0), KindId(0));
    let state = HostState::Running;
    HostEntry {
        host: HostId(id),
        build,
        zone,
        cell,
        kind,
        size: 1.0,
        started,
        state,
    }
}

pub fn news(build: BuildId, stage: u32, phase: Phase, cap: f64) -> Event {
    Event::Stage(StageNews {
        verdict: Verdict::Succeeded,
        build,
        stage,
        phase,
        cap,
        age: 0.0,
        answers_vote: false,
    })
}

pub struct Fake {
    pub router: Router,
    pub now: f64,
    pub taken: u32,
    pub hosts: Vec<HostEntry>,
    alarms: Vec<(f64, AlarmKey)>,
}

impl Fake {
    /// A router that knows so many warm hosts of the old build, which is released.
    pub fn new(terms: ServiceTerms, hosts: u64) -> Self {
        let router = Router::start(terms, 11, 100.0);
        let mut fake = Fake {
            router,
            now: 100.0,
            taken: 0,
            hosts: vec![],
            alarms: vec![],
        };
        fake.list((0..hosts).map(|id| host(id, OLD, None)).collect());
        fake.feed(news(OLD, 1, Phase::Released, 1.0));
        fake
    }

    pub fn feed(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = vec![];
        self.router.handle(self.now, event, &mut effects);
        self.alarms
            .extend(effects.iter().filter_map(|effect| match effect {
                Effect::SetAlarm { at, key } => Some((*at, *key)),
                _ => None,
            }));
        effects
    }

    pub fn list(&mut self, hosts: Vec<HostEntry>) {
        self.hosts = hosts;
        let entries = self.hosts.clone().into();
        self.feed(Event::Hosts {
            scope: ListScope::Whole,
            entries,
        });
    }

    pub fn ask(&mut self, operation: OperationId, key: Option<&str>) -> (InvId, Vec<Effect>) {
        self.taken += 1;
        let id = InvId(format!("inv-{}", self.taken).into());
        let key = key.map(|key| KeyId(key.into()));
        let inv = Invocation {
            id: id.clone(),
            operation,
            key,
            time_left: 2.0,
            work: None,
            again: false,
            pool: None,
        };
        let effects = self.feed(Event::Arrived(inv));
        (id, effects)
    }

    pub fn end(&mut self, inv: &InvId, dispatch: u32, verdict: Verdict, took: f64) -> Vec<Effect> {
        let (inv, over, load) = (
            inv.clone(),
            verdict == Verdict::Succeeded,
            LoadReport::default(),
        );
        let (dispatch, host, unused) = (DispatchNo(dispatch), HostId(0), None);
        self.feed(Event::Ended {
            inv,
            dispatch,
            host,
            verdict,
            over,
            took,
            load,
            unused,
        })
    }

    /// Asks and answers at a steady pace, beats included; `how` says how a host answers. Returns the votes
    /// cast and the builds and hosts that were sent to.
    pub fn run(
        &mut self,
        seconds: f64,
        how: impl Fn(&HostEntry, OperationId) -> (Verdict, f64),
    ) -> (Vec<Sense>, Vec<HostEntry>) {
        let (mut votes, mut sent, until) = (vec![], vec![], self.now + seconds);
        while self.now < until {
            self.now += 0.02;
            let operation = if self.taken.is_multiple_of(2) {
                READ
            } else {
                CHANGE
            };
            let (id, mut effects) = self.ask(operation, None);
            let (mut next, mut number) = (sent_to(&effects), 0);
            while let Some(to) = next {
                let entry = self
                    .hosts
                    .iter()
                    .find(|h| h.host == to)
                    .copied()
                    .expect("a known host");
                let (verdict, took) = how(&entry, operation);
                sent.push(entry);
                let more = self.end(&id, number, verdict, took);
                (next, number) = (sent_to(&more), number + 1);
                effects.extend(more);
            }
            let due: Vec<_> = self
                .alarms
                .iter()
                .filter(|(at, _)| *at <= self.now)
                .map(|(_, key)| *key)
                .collect();
            self.alarms.retain(|(at, _)| *at > self.now);
            due.into_iter()
                .for_each(|key| effects.extend(self.feed(Event::Alarm { key })));
            votes.extend(effects.into_iter().filter_map(|effect| match effect {
                Effect::Vote { sense, .. } => Some(sense),
                _ => None,
            }));
        }
        (votes, sent)
    }
}

pub fn sent_to(effects: &[Effect]) -> Option<HostId> {
    effects.iter().find_map(|effect| match effect {
        Effect::Dispatch { host, .. } => Some(*host),
        _ => None,
    })
}
