use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::arm::Arm;
use crate::hashing::hash_mix;
use crate::interface::{MachineKindId, Revision, ZoneId};

fn group(build: u16, zone: u64) -> HostGroup {
    HostGroup {
        build: BuildId(build),
        kind: MachineKindId(1),
        zone: ZoneId(zone),
        cell: None,
    }
}

fn indexed(group: HostGroup, settled: bool) -> IndexedHost {
    IndexedHost {
        group,
        size: 1.0,
        weight: 1.0,
        settled,
        failure_rate: 0.25,
        slowdown: 1.5,
    }
}

/// An index of `count` settled hosts: half of them run each of two builds, in two zones.
fn filled(count: u64) -> HostIndex {
    let mut index = HostIndex::default();
    let of = |id: u64| {
        indexed(
            group(if id.is_multiple_of(2) { 7 } else { 8 }, id / 2 % 2),
            true,
        )
    };
    index.update((0..count).map(|id| (HostId(hash_mix(id)), Some(of(id)))));
    index
}

/// The requirements of a request that all hosts may serve and that was already sent to `tried`.
fn requirements(tried: Vec<HostId>) -> Requirements {
    let arms = [(7, Arm::Baseline), (8, Arm::Canary)].into_iter();
    let arms = arms
        .flat_map(|(build, arm)| [0, 1].map(|zone| (group(build, zone), arm)))
        .collect();
    Requirements {
        arms,
        tried,
        pool: None,
        revision: Revision(0),
    }
}

#[test]
fn sums_match_the_hosts_in_use_after_any_changes() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut index = filled(100);
    let mut expected: BTreeMap<HostId, IndexedHost> = index.hosts.clone();
    for _ in 0..3000 {
        let host = HostId(hash_mix(random.random_range(0..120)));
        let of = indexed(
            group(random.random_range(7..9), random.random_range(0..2)),
            random.random(),
        );
        let now = (random.random::<f64>() < 0.8).then_some(of);
        index.update([(host, now)].into_iter());
        match now {
            Some(now) => expected.insert(host, now),
            None => expected.remove(&host),
        };
        let settled = |arm: u16| {
            expected
                .values()
                .filter(move |of| of.settled && of.group.build.0 == 7 + arm)
        };
        let (sums, _) = index.settled(&requirements(vec![]));
        for (arm, sum) in [(0, sums.baseline), (1, sums.canary)] {
            assert_eq!(sum.hosts, settled(arm).count());
            assert!((sum.share - settled(arm).count() as f64).abs() < 1e-9);
        }
        let unsettled = expected
            .iter()
            .filter(|(_, of)| !of.settled)
            .map(|(host, _)| *host);
        assert!(index.unsettled().eq(unsettled));
        assert_eq!(index.len(), expected.len());
        let of_build = expected.values().filter(|of| of.group.build == BuildId(8));
        let sum = index.build(BuildId(8));
        assert_eq!(sum.hosts, of_build.clone().count());
        assert!((sum.failure_rate - of_build.map(|of| of.failure_rate).sum::<f64>()).abs() < 1e-9);
    }
}

#[test]
fn tried_hosts_are_returned_and_left_out_of_the_sums() {
    let mut index = filled(40);
    let (tried, ejected) = (HostId(hash_mix(3)), HostId(hash_mix(5)));
    index.update([(ejected, Some(indexed(group(8, 0), false)))].into_iter());
    let (sums, returned) = index.settled(&requirements(vec![tried, ejected, HostId(1), tried]));
    assert_eq!([sums.baseline.hosts, sums.canary.hosts], [20, 18]);
    assert_eq!(returned, [tried]);
}

#[test]
fn highest_two_returns_only_hosts_of_the_given_groups() {
    let mut index = filled(2000);
    let (zone, hosts) = (group(7, 1), filled(2000).hosts);
    for salt in 0..200 {
        let accepts = |host: HostId| hosts.get(&host).is_some_and(|of| of.group == zone);
        let found = index.highest_two(salt, &[zone], accepts);
        assert_eq!(found.len(), 2, "a quarter of the hosts are in the group");
        let all = index.members(|group| *group == zone);
        assert_eq!(found, crate::rendezvous::highest_two(salt, all));
    }
}

#[test]
fn groups_and_builds_without_hosts_are_removed() {
    let mut index = filled(100);
    assert_eq!(index.groups().count(), 4);
    index.update((0..100).map(|id| (HostId(hash_mix(id)), None)));
    assert_eq!(
        (index.len(), index.groups().count(), index.builds().count()),
        (0, 0, 0)
    );
    assert!(index.highest_two(1, &[group(7, 0)], |_| true).is_empty());
}
