use rand::SeedableRng;

use super::*;

const HERE: Place = Place { region: 0, zone: 1 };
const NEXT_ZONE: Place = Place { region: 0, zone: 2 };
const FAR: Place = Place { region: 1, zone: 6 };

#[test]
fn a_partition_holds_back_what_crosses_it_and_nothing_else() {
    let (mut network, mut random) = (Network::default(), ChaCha8Rng::seed_from_u64(1));
    let arrive = |network: &Network, to, random: &mut _| {
        (0..10_000)
            .filter(|_| network.datagram(HERE, to, random).is_some())
            .count()
    };
    let complete = arrive(&network, FAR, &mut random);
    assert!((9_960..10_000).contains(&complete), "{complete}");
    network.partition(true);
    assert_eq!(arrive(&network, FAR, &mut random), 0);
    assert!(arrive(&network, NEXT_ZONE, &mut random) > 9_960);
    network.partition(false);
    assert!(arrive(&network, FAR, &mut random) > 9_960);
}

#[test]
fn latency_grows_with_distance() {
    let (network, mut random) = (Network::default(), ChaCha8Rng::seed_from_u64(1));
    let mut latency = |to| network.latency(HERE, to, &mut random);
    assert!((0.000_3..0.001).contains(&latency(HERE)));
    assert!((0.001..0.01).contains(&latency(NEXT_ZONE)));
    assert!((0.03..0.2).contains(&latency(FAR)));
}
