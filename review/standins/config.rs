//! Configurations of a small deployment, with the figures of the operators' first two sites.

use std::net::SocketAddr;

/// The operations of the first site (calor-serrano). `schedule-read` may run again; hosts drop a repeat of
/// `setpoint-change` for 2.5 s.
const FIRST_SITE: &str = r#"[
 {"name":"schedule-read","effect":"repeatable","group":"all","window":5000000,"slo":800000,"give_up":2500000,
  "credit":1.0,"late_worth":0.2,"stream":false},
 {"name":"setpoint-change","effect":"by_key","group":"all","window":2500000,"slo":400000,"give_up":1200000,
  "credit":3.0,"late_worth":0.0,"stream":false}]"#;

/// The operations of the second site (placement-core). The first two may run again; hosts drop a repeat of
/// `place-reserve` for 400 ms.
const SECOND_SITE: &str = r#"[
 {"name":"vacancy-search","effect":"repeatable","group":"all","window":4000000,"slo":500000,"give_up":2000000,
  "credit":3.0,"late_worth":0.0,"stream":false},
 {"name":"status-check","effect":"repeatable","group":"all","window":2000000,"slo":300000,"give_up":1000000,
  "credit":1.0,"late_worth":0.0,"stream":false},
 {"name":"place-reserve","effect":"by_key","group":"all","window":400000,"slo":250000,"give_up":600000,
  "credit":5.0,"late_worth":0.0,"stream":false}]"#;

/// What differs between the sites.
pub struct Deployment {
    /// `push` or `ask`.
    discovery: &'static str,
    drain_grace_us: u32,
    second_copies: bool,
    /// The router's zone first.
    zones: &'static [&'static str],
    classes: &'static str,
}

/// The operators' first site: lists are pushed, and an invocation never has two dispatches in flight.
pub const CALOR_SERRANO: Deployment = Deployment {
    discovery: "push",
    drain_grace_us: 500_000,
    second_copies: false,
    zones: &["caxias", "porto-alegre", "novo-hamburgo"],
    classes: FIRST_SITE,
};

/// The operators' second site: lists come when asked for, and a second copy may be sent.
pub const PLACEMENT_CORE: Deployment = Deployment {
    discovery: "ask",
    drain_grace_us: 250_000,
    second_copies: true,
    zones: &["addis-1"],
    classes: SECOND_SITE,
};

impl Deployment {
    /// The configuration of one router. `@LISTEN@` stands for the address where clients connect.
    pub fn config(&self, discovery: SocketAddr, platform: SocketAddr, known: &str) -> String {
        let Deployment { discovery: mode, drain_grace_us, second_copies, zones, classes } = self;
        let my_zone = zones[0];
        let zones = zones.iter().map(|zone| format!("\"{zone}\"")).collect::<Vec<_>>().join(",");
        let news = crate::support::RELEASED;
        format!(
            r#"{{"name":"n0","listen":"@LISTEN@","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"platform":{{"address":"{platform}","news":{news}}},
"known":{known},
"settings":{{"accounts":[],"clients":{{"marks_retry":false}},"discovery":"{mode}","family":"rollout",
"group_size":1,"me":0,"my_zone":"{my_zone}","zones":[{zones}],
"kinds":["c2-std"],"layer":0,"tiers":["control-api"],"tick":5000,"worth_by":"request","weight_kind":"off",
"over_share_worth":0.1,"telemetry":{{"via":"off","fields":[]}},
"extra":{{"gate_mode":"share","votes_to_go":1,"back_votes":1,"stoppers":0,"bake":3000000,
"rings":[0.1,0.5,1.0],"ballot_ttl":10000000,"vote_wait":1200000,"api_rate":250.0,
"most_shares":[0.15,0.7,1.0],"counted_over":2000000,"spare_tries":3.0,"counts":"all","guarded_stages":0,
"no_return":false,"replace_mode":"in_place","flag_share":0.3,"auto_after":0,"counted_share":0.0,
"harm_fee":3.0,"metrics_period":0,"repeat_every":4000000,"stale_build_price":0.45,"warm_keys":false}},
"guarantees":{{"answer_slack":20000,"ask_every":10000000,"drain_grace":{drain_grace_us},"cold_share":0.35,
"cold":4900000,"fall_multiple":3.0,"fall":2000000}},
"permissions":{{"may_probe":false,"peers":false,"cancel":true,"second_copies":{second_copies},
"retry_after":false,"max_retry_after":1000000,"max_attempts":5,"connect_timeout":250000,
"keepalive":30000000,"max_open":20000,"max_streams":8,"cpu_us_per_request":0.0,"cpu_us_per_s":50000}},
"request_classes":{classes}}}}}"#
        )
    }
}
