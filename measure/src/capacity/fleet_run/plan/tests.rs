use kestreltide_settings::{Fields, NameTable, decode};

use super::*;

#[test]
fn every_router_can_read_its_settings() {
    for plan in [Plan::full(), Plan::small(), Plan::held_against(true)] {
        let settings = plan.settings(plan.layout.routers - 1);
        let terms = decode(
            &Fields::from_json("settings", &settings),
            &mut NameTable::Hashed,
        )
        .unwrap()
        .service;
        assert_eq!(terms.routers, plan.layout.routers);
        assert_eq!(terms.promote_votes * 2, plan.layout.routers);
        assert_eq!(terms.slow_start_duration, COLD_TIME);
    }
}
