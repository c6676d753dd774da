//! One router of a fleet of 760 with an endpoint list of 2000 hosts: it uses a stable subset of the hosts, and changes
//! of hosts take effect at once all the same.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use kestreltide::interface::*;

const ROUTERS: u32 = 760;
const HOSTS: u64 = 2000;
/// The number of host pairs that a router with an average share of the traffic uses: 60 routers per host and 4 pairs
/// per connection give 60 * 2000 * 2 / (4 * 760), where the factor 2 is 1 plus the router's traffic relative to the
/// mean.
const HOST_PAIRS: usize = 79;

/// An entry whose id is spread over all 64 bits, in one of ten zones.
fn entry(number: u64, build: BuildId, started: Option<f64>) -> HostEntry {
    let id = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    HostEntry {
        zone: ZoneId(number % 10),
        ..running_host(id, build, started)
    }
}

/// The gossip of a peer with an average share of the traffic: 100 requests in the last window, and no evidence yet.
fn peer_gossip(build: BuildId) -> Vec<u8> {
    let to_bfloat16 = |figure: f32| ((figure.to_bits() >> 16) as u16).to_le_bytes();
    let mut bytes = vec![1, 0];
    bytes.extend(build.0.to_le_bytes());
    let sums = 3 * 3 * 2 * 2;
    let figures = [100.0, 1.0]
        .into_iter()
        .chain(std::iter::repeat_n(0.0, sums));
    figures.for_each(|figure| bytes.extend(to_bfloat16(figure)));
    bytes
}

/// A router of a large fleet, and the build that the gossip of its peers is about.
struct LargeFleet {
    harness: RouterHarness,
    build: BuildId,
}

impl LargeFleet {
    fn new() -> Self {
        let settings = ServiceSettings {
            routers: ROUTERS,
            promote_votes: ROUTERS / 2,
            roll_back_votes: ROUTERS / 2,
            ..service_settings()
        };
        let mut harness = RouterHarness::new(settings, 0);
        harness.set_endpoint_list(
            (0..HOSTS)
                .map(|number| entry(number, BASELINE_BUILD, None))
                .collect(),
        );
        LargeFleet {
            harness,
            build: BASELINE_BUILD,
        }
    }

    /// Runs the harness while peers send gossip; returns the host of each attempt.
    fn run(
        &mut self,
        seconds: f64,
        respond: impl Fn(&HostEntry) -> (AttemptOutcome, f64),
    ) -> Vec<HostEntry> {
        let (mut sent, until) = (vec![], self.harness.now + seconds);
        while self.harness.now < until {
            for peer in 0..4 {
                let from = RouterId(1 + (self.harness.request_count * 4 + peer) % (ROUTERS - 1));
                self.harness.handle(Event::GossipReceived {
                    from,
                    payload: peer_gossip(self.build),
                });
            }
            sent.extend(self.harness.run(0.2, |host, _| respond(host)).1);
        }
        sent
    }

    /// Changes these entries in the endpoint list, and sends the router only the changes.
    fn update_hosts(&mut self, entries: Vec<HostEntry>) {
        for entry in &entries {
            let known = self
                .harness
                .hosts
                .iter_mut()
                .find(|known| known.host == entry.host);
            *known.expect("a listed host") = *entry;
        }
        self.harness.handle(Event::EndpointList {
            scope: ListScope::Delta,
            entries: entries.into(),
        });
    }
}

fn succeed(_: &HostEntry) -> (AttemptOutcome, f64) {
    (AttemptOutcome::Succeeded, 0.1)
}

/// The number of attempts at each host.
fn attempts_by_host(sent: &[HostEntry]) -> BTreeMap<HostId, usize> {
    sent.iter().fold(BTreeMap::new(), |mut counts, to| {
        *counts.entry(to.host).or_default() += 1;
        counts
    })
}

#[test]
fn a_router_uses_a_stable_subset_of_hosts() {
    let mut fleet = LargeFleet::new();
    fleet.run(4.0, succeed);
    let early: BTreeSet<_> = attempts_by_host(&fleet.run(60.0, succeed))
        .into_keys()
        .collect();
    // With one request at a time, the better host of most pairs gets all attempts.
    assert!(
        early.len() > HOST_PAIRS / 2 && early.len() <= 2 * HOST_PAIRS,
        "{}",
        early.len()
    );
    let late: BTreeSet<_> = attempts_by_host(&fleet.run(60.0, succeed))
        .into_keys()
        .collect();
    assert!(
        late.difference(&early).count() <= early.len() / 20,
        "few hosts outside the first subset"
    );
}

#[test]
fn stopping_hosts_get_no_attempts_and_few_other_hosts_replace_them() {
    let mut fleet = LargeFleet::new();
    fleet.run(4.0, succeed);
    let before = attempts_by_host(&fleet.run(60.0, succeed));
    let stopped_hosts: Vec<_> = before.keys().copied().step_by(10).collect();
    let entry_of = |host: &HostId| {
        fleet
            .harness
            .hosts
            .iter()
            .find(|entry| entry.host == *host)
            .copied()
    };
    let stopping: Vec<_> = stopped_hosts.iter().filter_map(entry_of).collect();
    fleet.update_hosts(
        stopping
            .iter()
            .map(|entry| HostEntry {
                state: HostState::Stopping,
                ..*entry
            })
            .collect(),
    );
    let after = attempts_by_host(&fleet.run(60.0, succeed));
    assert!(stopped_hosts.iter().all(|host| !after.contains_key(host)));
    let new_hosts = after
        .keys()
        .filter(|host| !before.contains_key(host))
        .count();
    assert!(
        new_hosts <= 2 * stopped_hosts.len(),
        "{new_hosts} new hosts for {}",
        stopped_hosts.len()
    );
}

#[test]
fn a_failing_host_among_thousands_is_ejected_and_returns() {
    let mut fleet = LargeFleet::new();
    fleet.run(4.0, succeed);
    let before = attempts_by_host(&fleet.run(20.0, succeed));
    let (failing_host, attempts_before) = before
        .iter()
        .max_by_key(|(_, count)| **count)
        .map(|(host, count)| (*host, *count))
        .unwrap();
    let fails = |host: &HostEntry| {
        if host.host == failing_host {
            (AttemptOutcome::Error, 0.1)
        } else {
            (AttemptOutcome::Succeeded, 0.1)
        }
    };
    fleet.run(20.0, fails);
    let attempts_while_failing = attempts_by_host(&fleet.run(20.0, fails))
        .get(&failing_host)
        .copied()
        .unwrap_or(0);
    assert!(
        3 * attempts_while_failing < attempts_before,
        "{attempts_while_failing} attempts, {attempts_before} before"
    );
    fleet.run(20.0, succeed);
    let attempts_after = attempts_by_host(&fleet.run(20.0, succeed))
        .get(&failing_host)
        .copied()
        .unwrap_or(0);
    assert!(
        2 * attempts_after > attempts_before,
        "{attempts_after} attempts, {attempts_before} before"
    );
}

/// All routers together must not overload a restarted host, so that each of them sends it next to nothing at first.
#[test]
fn hosts_that_warm_up_get_no_more_than_their_share() {
    let mut fleet = LargeFleet::new();
    fleet.run(4.0, succeed);
    let before = attempts_by_host(&fleet.run(20.0, succeed));
    let (restarted, now): (Vec<_>, _) = (
        before.keys().copied().step_by(4).collect(),
        fleet.harness.now,
    );
    let restart = |entry: &HostEntry| HostEntry {
        started: Some(now),
        ..*entry
    };
    let entries = fleet
        .harness
        .hosts
        .iter()
        .filter(|entry| restarted.contains(&entry.host))
        .map(restart);
    let entries: Vec<_> = entries.collect();
    fleet.update_hosts(entries);
    let sent = attempts_by_host(&fleet.run(1.0, succeed));
    let at_warming_up: usize = restarted.iter().filter_map(|host| sent.get(host)).sum();
    let all: usize = sent.values().sum();
    assert!(
        4 * at_warming_up < all,
        "{at_warming_up} of {all} attempts at restarted hosts, a quarter of all hosts in use"
    );
    fleet.run(6.0, succeed);
    let warm = attempts_by_host(&fleet.run(20.0, succeed));
    let used_again = restarted
        .iter()
        .filter(|host| warm.contains_key(host))
        .count();
    // With one request at a time, most pairs keep using their other host, whose latency is known.
    assert!(
        used_again > 0,
        "none of {} restarted hosts used again",
        restarted.len()
    );
}

#[test]
fn a_canary_on_few_of_thousands_of_hosts_gets_attempts_within_its_cap() {
    let mut fleet = LargeFleet::new();
    fleet.run(4.0, succeed);
    fleet
        .harness
        .handle(rollout_status(CANARY_BUILD, 0, Phase::Canary, 0.3));
    fleet.build = CANARY_BUILD;
    let with_canary_build = |entry: &HostEntry| HostEntry {
        build: CANARY_BUILD,
        started: Some(fleet.harness.now - 10.0),
        ..*entry
    };
    let entries = fleet
        .harness
        .hosts
        .iter()
        .step_by(8)
        .map(with_canary_build)
        .collect();
    fleet.update_hosts(entries);
    let sent = fleet.run(30.0, succeed);
    let canary = sent.iter().filter(|to| to.build == CANARY_BUILD).count();
    assert!(canary * 10 <= sent.len() * 3, "{canary} of {}", sent.len());
    assert!(
        canary * 16 > sent.len(),
        "{canary} of {}, expected at least half of its share of the hosts",
        sent.len()
    );
    assert!(
        attempts_by_host(&sent).len() <= 3 * HOST_PAIRS,
        "each build has its own host pairs"
    );
}

/// Hosts of one cell share their records of idempotency keys, so that a retry must go to a host of the same cell; the
/// router finds one among thousands of hosts.
#[test]
fn a_retry_stays_in_the_cell_of_the_first_attempt() {
    let by_cell = Idempotency::IdempotencyKey {
        scope: IdempotencyScope::Cell,
        window: 5.0,
    };
    let mut settings = ServiceSettings {
        routers: ROUTERS,
        ..service_settings()
    };
    settings.operations[1].idempotency = by_cell;
    let mut harness = RouterHarness::new(settings, 0);
    let entry_in_cell = |number: u64| HostEntry {
        cell: CellId(number as u32 % 50),
        ..entry(number, BASELINE_BUILD, None)
    };
    harness.set_endpoint_list((0..HOSTS).map(entry_in_cell).collect());
    let cell = |harness: &RouterHarness, host| {
        harness
            .hosts
            .iter()
            .find(|entry| entry.host == host)
            .map(|entry| entry.cell)
    };
    for _ in 0..20 {
        harness.now += 1.0;
        let (id, effects) = harness.send_request(WITH_IDEMPOTENCY_KEY, None);
        let first = attempted_host(&effects).expect("an attempt");
        let effects = harness.finish_attempt(&id, 0, AttemptOutcome::Reset, 0.1);
        let second = attempted_host(&effects).expect("a retry, as the cell has 40 hosts");
        assert_ne!(first, second);
        assert_eq!(cell(&harness, first), cell(&harness, second));
        harness.finish_attempt(&id, 1, AttemptOutcome::Succeeded, 0.1);
    }
}
