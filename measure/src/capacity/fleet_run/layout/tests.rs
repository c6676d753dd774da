use super::*;

const FULL: Layout = Layout {
    routers: 760,
    real: 24,
    hosts: 7_400,
    zones: 10,
    racks: 40,
};

#[test]
fn real_and_hollow_routers_are_all_routers() {
    let real: Vec<_> = FULL.real_routers().collect();
    assert_eq!(real.len(), 24);
    assert!(real.iter().all(|router| FULL.is_real(*router)));
    assert_eq!(FULL.hollow_routers().count() + real.len(), 760);
    let none = Layout { real: 0, ..FULL };
    assert_eq!(none.hollow_routers().count(), 760);
}

#[test]
fn racks_and_zones_have_their_part_of_all_machines() {
    let rack = (0..FULL.hosts)
        .filter(|host| FULL.host_place(*host).rack == 7)
        .count();
    let zone = (0..FULL.hosts)
        .filter(|host| FULL.host_place(*host).zone == 7)
        .count();
    assert_eq!((rack, zone), (185, 740));
    let region = (0..FULL.hosts)
        .filter(|host| FULL.host_place(*host).region == 1)
        .count();
    assert_eq!(region, 3_700);
    let mut zones: Vec<_> = FULL
        .real_routers()
        .map(|router| FULL.router_place(router).zone)
        .collect();
    zones.sort();
    zones.dedup();
    assert_eq!(zones.len(), 10);
}

#[test]
fn an_address_tells_whose_it_is() {
    for number in [0, 1, 255, 256, 7_399] {
        assert_eq!(
            Party::Host.number(Party::Host.address(number)),
            Some(number)
        );
        assert_eq!(Party::Peer.number(Party::Host.address(number)), None);
    }
}
