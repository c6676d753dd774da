use std::cell::Cell;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

const BUILD: BuildId = BuildId(7);

/// Host ids are hashes of names in use; here spread in the same way.
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
fn a_ranking_answers_what_a_look_at_all_hosts_finds_while_hosts_come_go_and_change_weight() {
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
        let (salt, refused) = (round % 20, random.random_range(0..5u64));
        let accepts = |host: HostId| host.0 % 5 != refused;
        let all = highest_two(salt, listed(&present).filter(|of| accepts(of.host)));
        if let Some(found) = rankings.highest_two(salt, BUILD, || listed(&present), accepts) {
            assert_eq!(ids(found), ids(all), "round {round}");
        }
    }
}

#[test]
fn few_hosts_are_looked_at_however_many_there_are() {
    for count in [40, 400, 16_384] {
        let (mut rankings, present) = (RendezvousRankings::default(), hosts(count));
        let looked = Cell::new(0);
        let accepts = |_| {
            looked.set(looked.get() + 1);
            true
        };
        let found = rankings.highest_two(1, BUILD, || listed(&present), accepts);
        assert_eq!(found.map(ids), Some(ids(highest_two(1, listed(&present)))));
        assert_eq!(looked.get(), 2, "of {count}");
    }
}

#[test]
fn where_too_few_of_those_remembered_are_accepted_it_says_so() {
    let (mut rankings, present) = (RendezvousRankings::default(), hosts(1000));
    let none = rankings.highest_two(1, BUILD, || listed(&present), |_| false);
    assert_eq!(none, None);
    let (mut rankings, present) = (RendezvousRankings::default(), hosts(20));
    let none = rankings.highest_two(1, BUILD, || listed(&present), |_| false);
    assert_eq!(none, Some(vec![]), "all twenty are remembered");
}

#[test]
fn a_host_that_goes_changes_no_pair_that_it_is_not_of() {
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
    let weight = fewer.remove(&gone).expect("a host that is there");
    rankings.remove(BUILD, WeightedHost { host: gone, weight });
    let mut pair = |salt| {
        rankings
            .highest_two(salt, BUILD, || listed(&fewer), |_| true)
            .map(ids)
    };
    for (salt, before) in before.iter().enumerate() {
        let after = pair(salt as u64).expect("a thousand hosts are enough");
        if before.contains(&gone) {
            assert!(!after.contains(&gone) && after.iter().any(|host| before.contains(host)));
        } else {
            assert_eq!(after, *before);
        }
    }
}

#[test]
fn salts_without_end_take_no_memory_without_end() {
    let (mut rankings, present) = (RendezvousRankings::default(), hosts(3));
    for salt in 0..3 * RANKINGS as u64 {
        assert!(
            rankings
                .highest_two(salt, BUILD, || listed(&present), |_| true)
                .is_some()
        );
        assert!(rankings.by_salt.len() <= RANKINGS);
    }
}

#[test]
fn a_weight_gives_a_host_its_part_of_the_first_places() {
    let mut present = hosts(50);
    let heavy = *present.keys().next().expect("a host");
    present.insert(heavy, 5.0);
    let mut rankings = RendezvousRankings::default();
    let first = (0..3000).filter(|salt| {
        let found = rankings.highest_two(hash_mix(*salt), BUILD, || listed(&present), |_| true);
        found.is_some_and(|found| found[0].host == heavy)
    });
    // 5 of 54 parts are 278 of 3,000.
    assert!((220..340).contains(&first.count()));
}
