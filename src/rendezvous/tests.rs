use std::cell::Cell;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

const BUILD: BuildId = BuildId(7);

/// Hosts of weight 1 whose ids are spread like the hashes of names that are used in production.
fn hosts(count: u64) -> BTreeMap<HostId, f64> {
    (0..count)
        .map(|number| (HostId(hash_mix(number)), 1.0))
        .collect()
}

fn listed(hosts: &BTreeMap<HostId, f64>) -> impl Iterator<Item = WeightedHost> {
    hosts.iter().map(|(host, weight)| WeightedHost {
        host: *host,
        weight: *weight,
    })
}

fn ids(found: Vec<RankedHost>) -> Vec<HostId> {
    found.into_iter().map(|ranked| ranked.host).collect()
}

#[test]
fn a_ranking_returns_the_same_as_a_full_scan_after_any_changes() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let (mut rankings, mut present) = (RendezvousRankings::default(), hosts(300));
    for round in 0..2000u64 {
        let host = HostId(hash_mix(random.random_range(0..400)));
        if let Some(weight) = present.remove(&host) {
            rankings.remove(BUILD, WeightedHost { host, weight });
        }
        if random.random::<f64>() < 0.7 {
            let weight = f64::from(random.random_range(1..4u8));
            rankings.insert(BUILD, WeightedHost { host, weight });
            present.insert(host, weight);
        }
        let (salt, rejected) = (round % 20, random.random_range(0..5u64));
        let accepts = |host: HostId| host.0 % 5 != rejected;
        let all = highest_two(salt, listed(&present).filter(|of| accepts(of.host)));
        if let Some(found) = rankings.highest_two(salt, BUILD, || listed(&present), accepts) {
            assert_eq!(ids(found), ids(all), "round {round}");
        }
    }
}

#[test]
fn only_two_hosts_are_checked_whatever_the_number_of_hosts() {
    for count in [40, 400, 16_384] {
        let (mut rankings, present) = (RendezvousRankings::default(), hosts(count));
        let checked = Cell::new(0);
        let accepts = |_| {
            checked.set(checked.get() + 1);
            true
        };
        let found = rankings.highest_two(1, BUILD, || listed(&present), accepts);
        assert_eq!(found.map(ids), Some(ids(highest_two(1, listed(&present)))));
        assert_eq!(checked.get(), 2, "of {count}");
    }
}

#[test]
fn too_few_accepted_hosts_among_the_cached_ones_return_none() {
    let (mut rankings, present) = (RendezvousRankings::default(), hosts(1000));
    let none = rankings.highest_two(1, BUILD, || listed(&present), |_| false);
    assert_eq!(none, None);
    let (mut rankings, present) = (RendezvousRankings::default(), hosts(20));
    let none = rankings.highest_two(1, BUILD, || listed(&present), |_| false);
    assert_eq!(none, Some(vec![]), "all twenty hosts are cached");
}

#[test]
fn removing_a_host_changes_only_the_pairs_that_contain_it() {
    let present = hosts(1000);
    let mut rankings = RendezvousRankings::default();
    let mut pair = |present: &BTreeMap<HostId, f64>, salt| {
        rankings
            .highest_two(salt, BUILD, || listed(present), |_| true)
            .map(ids)
            .unwrap_or_default()
    };
    let before: Vec<_> = (0..300).map(|salt| pair(&present, salt)).collect();
    let gone = before[0][0];
    let mut fewer = present.clone();
    let weight = fewer.remove(&gone).expect("a known host");
    rankings.remove(BUILD, WeightedHost { host: gone, weight });
    let mut pair = |salt| {
        rankings
            .highest_two(salt, BUILD, || listed(&fewer), |_| true)
            .map(ids)
    };
    for (salt, before) in before.iter().enumerate() {
        let after = pair(salt as u64).expect("the cached hosts suffice");
        if before.contains(&gone) {
            assert!(!after.contains(&gone) && after.iter().any(|host| before.contains(host)));
        } else {
            assert_eq!(after, *before);
        }
    }
}

#[test]
fn the_number_of_cached_rankings_is_limited() {
    let (mut rankings, present) = (RendezvousRankings::default(), hosts(3));
    for salt in 0..3 * MAX_RANKINGS as u64 {
        assert!(
            rankings
                .highest_two(salt, BUILD, || listed(&present), |_| true)
                .is_some()
        );
        assert!(rankings.by_salt_and_build.len() <= MAX_RANKINGS);
    }
}

#[test]
fn a_host_ranks_highest_in_proportion_to_its_weight() {
    let mut present = hosts(50);
    let heavy = *present.keys().next().expect("a host");
    present.insert(heavy, 5.0);
    let mut rankings = RendezvousRankings::default();
    let first = (0..3000).filter(|salt| {
        let found = rankings.highest_two(hash_mix(*salt), BUILD, || listed(&present), |_| true);
        found.is_some_and(|found| found[0].host == heavy)
    });
    // The host has 5 of a total weight of 54, so 278 of 3,000 salts are expected.
    assert!((220..340).contains(&first.count()));
}
