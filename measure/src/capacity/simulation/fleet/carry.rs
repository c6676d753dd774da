//! Events to the decision module of one router, and what its effects come to.

use super::super::hosts::Answer;
use super::*;

/// Seconds until a connection that nobody answers is given up.
const CONNECT_TIME_OUT: f64 = 0.25;
/// Seconds that a call to the platform takes, each way.
const VOTE_LAG: [f64; 2] = [0.03, 0.09];

impl Fleet {
    pub(super) fn deliver(&mut self, seconds: f64, router: usize, event: Event) {
        let incarnation = self.members[router].incarnation;
        self.after(
            seconds,
            Happening::Module {
                router,
                incarnation,
                event,
            },
        );
    }

    pub(super) fn is_current(&self, router: usize, incarnation: u32) -> bool {
        let member = &self.members[router];
        member.up && member.incarnation == incarnation
    }

    pub(super) fn module(&mut self, router: usize, incarnation: u32, event: Event) {
        if !self.is_current(router, incarnation) {
            return;
        }
        match &event {
            Event::GossipReceived { payload, .. } => {
                let required = self.required;
                let enough = required.outcomes
                    * 0.5f64.powf((self.now - required.since) / required.half_life);
                self.evidence.takes(router, payload, self.now, enough);
                self.counts.messages_received += 1;
                self.counts.bytes_received += payload.len() as u64;
            }
            Event::AttemptFinished {
                request,
                host,
                outcome,
                ..
            } => {
                if self.hosts.entry(*host).build == self.newest
                    && self.platform.phase() == Phase::Canary
                {
                    self.first_outcome.get_or_insert(self.now);
                }
                if *outcome == AttemptOutcome::Succeeded
                    && let Some((since, _)) = self.members[router].open.remove(request)
                {
                    self.counts.in_time += u64::from(self.now - since <= settings::SLO_TIME);
                }
            }
            _ => {}
        }
        self.handle(router, event);
    }

    fn handle(&mut self, router: usize, event: Event) {
        let mut effects = std::mem::take(&mut self.effects);
        self.members[router]
            .router
            .handle(self.now, event, &mut effects);
        effects
            .drain(..)
            .for_each(|effect| self.carry_out(router, effect));
        self.effects = effects;
    }

    fn carry_out(&mut self, router: usize, effect: Effect) {
        match effect {
            Effect::ScheduleTimer { at, key } => {
                self.deliver(at - self.now, router, Event::TimerExpired { key })
            }
            Effect::StartAttempt {
                request,
                host,
                timeout,
                ..
            } => self.start_attempt(router, request, host, timeout),
            Effect::ShedRequest { request, .. } | Effect::FailRequest { request } => {
                let open = self.members[router].open.remove(&request);
                self.counts.throttled += u64::from(open.is_some());
            }
            Effect::SendGossip {
                to: Some(to),
                payload,
            } => self.send(router, to.0 as usize, payload),
            Effect::SubscribeEndpointList { on: true } => {
                let region = self.members[router].place.region;
                let wait = self.discovery[region].call(self.now);
                let incarnation = self.members[router].incarnation;
                self.after(
                    wait,
                    Happening::ListServed {
                        router,
                        incarnation,
                    },
                );
            }
            Effect::CastVote { build, stage, vote } => self.vote(router, build, stage, vote),
            _ => {}
        }
    }

    // Invocations.

    pub(super) fn next_arrival(&mut self, router: usize) {
        let rate = self.members[router].rate;
        if rate > 0.0 {
            let wait = exponential(1.0 / rate, &mut self.random);
            self.after(wait, Happening::Arrive { router });
        }
    }

    pub(super) fn arrive(&mut self, router: usize) {
        if self.members[router].up {
            self.arrived(router);
        }
        self.next_arrival(router);
    }

    pub(super) fn arrived(&mut self, router: usize) {
        self.next_invocation += 1;
        self.counts.accepted += 1;
        self.exposure.took(self.now);
        self.members[router].exposure.took(self.now);
        let id = RequestId(self.next_invocation.to_string().into());
        let operation = OperationId(usize::from(self.random.random::<f64>() < BY_KEY));
        let time_left = if operation.0 == 0 { 2.0 } else { 1.0 };
        self.members[router].open.insert(id.clone(), (self.now, 0));
        let (key, work, is_retry, pool) = (None, None, false, None);
        self.handle(
            router,
            Event::RequestReceived(Request {
                id,
                operation,
                key,
                time_left,
                work,
                is_retry,
                pool,
            }),
        );
    }

    fn start_attempt(&mut self, router: usize, request: RequestId, host: HostId, timeout: f64) {
        let member = &mut self.members[router];
        let (place, incarnation) = (member.place, member.incarnation);
        let Some((_, attempts)) = member.open.get_mut(&request) else {
            return;
        };
        let attempt = *attempts;
        *attempts += 1;
        let to = self.hosts.place_of(host);
        let way = 2.0 * self.network.latency(place, to, &mut self.random);
        let reaches = self.network.connects(place.region, to.region);
        let answer = if reaches {
            self.hosts.start_attempt(host, self.now, &mut self.random)
        } else {
            Answer::Silence
        };
        let (after, error) = match answer {
            Answer::Served { after, error } => (after + way, error),
            Answer::Refused => return self.no_connection(router, request, attempt, host, way),
            Answer::Silence => {
                return self.no_connection(router, request, attempt, host, CONNECT_TIME_OUT);
            }
        };
        self.exposes(router, host);
        let sent = self.now;
        let answered = Answered {
            router,
            incarnation,
            request,
            attempt,
            host,
            sent,
            timeout,
            error,
        };
        if after <= timeout {
            self.after(after, Happening::Answered(Box::new(answered)));
        } else {
            self.timed_out(answered);
        }
    }

    /// Counts a dispatch that reached a host of the build on trial, or of one that was taken back.
    fn exposes(&mut self, router: usize, host: HostId) {
        let build = self.hosts.entry(host).build;
        if build != self.platform.build() {
            return;
        }
        match self.platform.phase() {
            Phase::Canary => {
                let up = self.members.len();
                self.exposure.sent(self.now, up);
                self.exposes_alone(router, build);
            }
            Phase::RollingBack | Phase::RolledBack => {
                let member = &self.members[router];
                let back = |received: RolloutStatus| {
                    matches!(received.phase, Phase::RollingBack | Phase::RolledBack)
                };
                let received = member
                    .received
                    .is_some_and(|received| received.build == build && back(received));
                let reached = self.platform_reaches(member.place.region);
                self.counts.after_back[if received {
                    0
                } else {
                    1 + usize::from(!reached)
                }] += 1;
            }
            Phase::Released => {}
        }
    }

    fn ended(&mut self, answered: Answered, seconds: f64, outcome: AttemptOutcome, took: f64) {
        let Answered {
            router,
            incarnation,
            request,
            attempt,
            host,
            ..
        } = answered;
        let (request_finished, load, connection_idle) = (
            outcome == AttemptOutcome::Succeeded,
            LoadReport::default(),
            Some(0.0),
        );
        let attempt = AttemptNumber(attempt);
        let event = Event::AttemptFinished {
            request,
            attempt,
            host,
            outcome,
            request_finished,
            took,
            load,
            connection_idle,
        };
        self.after(
            seconds,
            Happening::Module {
                router,
                incarnation,
                event,
            },
        );
    }

    fn no_connection(
        &mut self,
        router: usize,
        request: RequestId,
        attempt: u32,
        host: HostId,
        took: f64,
    ) {
        let (incarnation, sent) = (self.members[router].incarnation, self.now);
        let answered = Answered {
            router,
            incarnation,
            request,
            attempt,
            host,
            sent,
            timeout: took,
            error: false,
        };
        self.ended(answered, took, AttemptOutcome::NoConnection, took);
    }

    fn timed_out(&mut self, answered: Answered) {
        let timeout = answered.timeout;
        let left = answered.sent + timeout - self.now;
        self.ended(answered, left.max(0.0), AttemptOutcome::TimedOut, timeout);
    }

    pub(super) fn answered(&mut self, answered: Answered) {
        let from = self.hosts.place_of(answered.host).region;
        let arrives = self
            .network
            .connects(from, self.members[answered.router].place.region);
        if !arrives || self.hosts.lost_since(answered.host, answered.sent) {
            return self.timed_out(answered);
        }
        let outcome = if answered.error {
            AttemptOutcome::Error
        } else {
            AttemptOutcome::Succeeded
        };
        let took = self.now - answered.sent;
        self.ended(answered, 0.0, outcome, took);
    }

    // Messages between routers, lists, votes.

    fn send(&mut self, from: usize, to: usize, payload: Vec<u8>) {
        self.counts.messages_sent += 1;
        self.counts.bytes_sent += payload.len() as u64;
        self.evidence.sends(from, &payload);
        let places = [from, to].map(|router| self.members[router].place);
        if let Some(latency) = self
            .network
            .datagram(places[0], places[1], &mut self.random)
        {
            self.deliver(
                latency,
                to,
                Event::GossipReceived {
                    from: RouterId(from as u32),
                    payload,
                },
            );
        }
    }

    /// What one router has sent by its own count and by the caps that it was told; a build that it was not told of
    /// counts as in the first stage.
    fn exposes_alone(&mut self, router: usize, build: BuildId) {
        let member = &mut self.members[router];
        if member
            .received
            .is_none_or(|received| received.build != build)
        {
            member.exposure.set_cap(self.now, settings::first_cap());
        }
        member.exposure.sent(self.now, 1);
        let worst = member.exposure.spare_once;
        if worst.ratio > self.worst_router.ratio {
            self.worst_router = worst;
        }
    }

    pub(super) fn list_served(&mut self, router: usize, incarnation: u32) {
        if !self.is_current(router, incarnation) {
            return;
        }
        let entries = self.discovery[self.members[router].place.region].complete();
        let member = &mut self.members[router];
        (member.following, member.push_at) = (true, self.now);
        self.handle(
            router,
            Event::EndpointList {
                scope: ListScope::Full,
                entries,
            },
        );
    }

    pub(super) fn rollout_status(
        &mut self,
        router: usize,
        incarnation: u32,
        rollout_status: RolloutStatus,
    ) {
        if !self.is_current(router, incarnation) {
            return;
        }
        let (now, member) = (self.now, &mut self.members[router]);
        let newer = member
            .received
            .is_none_or(|received| received.build != rollout_status.build);
        member.received = Some(rollout_status);
        if newer {
            member.exposure.begin(now, rollout_status.cap);
        } else {
            member.exposure.set_cap(now, rollout_status.cap);
        }
        self.evidence.rollout_status(router, rollout_status.build.0);
        self.handle(router, Event::RolloutStatusReceived(rollout_status));
    }

    fn vote(&mut self, router: usize, build: BuildId, stage: u32, vote: Vote) {
        let incarnation = self.members[router].incarnation;
        if !self.platform_reaches(self.members[router].place.region) {
            self.counts.votes_unheard += 1;
            let outcome = AttemptOutcome::NoConnection;
            return self.after(
                CONNECT_TIME_OUT,
                Happening::VoteAnswered {
                    router,
                    incarnation,
                    outcome,
                },
            );
        }
        let lag = between(VOTE_LAG, &mut self.random);
        self.after(
            lag,
            Happening::VoteArrives {
                router,
                incarnation,
                build,
                stage,
                vote,
            },
        );
    }

    pub(super) fn vote_arrives(
        &mut self,
        router: usize,
        incarnation: u32,
        (build, stage, vote): (BuildId, u32, Vote),
    ) {
        let outcome = self.platform.vote(self.now, router, build, stage, vote);
        let lag = between(VOTE_LAG, &mut self.random);
        self.after(
            lag,
            Happening::VoteAnswered {
                router,
                incarnation,
                outcome,
            },
        );
    }

    pub(super) fn vote_answered(
        &mut self,
        router: usize,
        incarnation: u32,
        outcome: AttemptOutcome,
    ) {
        let received = self.members[router].received;
        if let Some(received) = received.filter(|_| self.is_current(router, incarnation)) {
            let rollout_status = RolloutStatus {
                outcome,
                answers_vote: true,
                ..received
            };
            self.handle(router, Event::RolloutStatusReceived(rollout_status));
        }
    }

    pub(super) fn change_configuration(&mut self) {
        let revision = Revision(self.set.revision.0 + 1);
        self.set = Arc::new(OperatorOverrides {
            revision,
            ..OperatorOverrides::default()
        });
        for router in (0..self.members.len())
            .filter(|router| self.members[*router].up)
            .collect::<Vec<_>>()
        {
            let event = Event::OperatorOverridesApplied {
                overrides: self.set.clone(),
                entries: Arc::new([]),
            };
            self.deliver(self.members[router].push_lag, router, event);
        }
    }
}
