//! Router configurations and endpoint lists as JSON texts.

use std::net::SocketAddr;

/// Writes an endpoint list as discovery sends it.
///
/// `rev` is the list's version; `all` says whether it is complete or only the changes; each host is given by name,
/// address and state.
pub fn endpoint_list(rev: u32, all: bool, hosts: &[(&str, SocketAddr, &str)]) -> String {
    let target = |(uid, address, state): &(&str, SocketAddr, &str)| {
        format!(
            r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","#
        ) + r#""capacity_hint":1.0,"boot_ms":0,"build":7}"#
    };
    let targets: Vec<_> = hosts.iter().map(target).collect();
    format!(
        r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#,
        targets.join(",")
    )
}

const SETTINGS: &str = r#"{"accounts":[],"discovery":"push","group_size":1,"me":0,"my_zone":"a","tick":5000,
    "worth_by":"request","weight_kind":"off","telemetry":{"via":"off","fields":[]},
    "extra":{"gate_mode":"any","votes_to_go":1,"back_votes":1,"stoppers":0,"bake":3000000,"rings":[1.0],
    "ballot_ttl":10000000,"vote_wait":500000,"api_rate":0.0,"most_shares":[1.0],"counted_over":2000000,"spare_tries":3.0,
    "counts":"all","guarded_stages":0,"no_return":false,"replace_mode":"in_place","flag_share":0.0},
    "guarantees":{"ask_every":10000000,"drain_grace":500000,"cold_share":0.5,"cold":1000000,
    "fall_multiple":3.0,"fall":2000000},
    "permissions":{"may_probe":false,"peers":false,"cancel":true,"second_copies":false,"retry_after":false,
    "max_retry_after":0,"max_attempts":2,"connect_timeout":250000,"keepalive":30000000,"max_open":1000},
    "request_classes":[
    {"name":"read","effect":"repeatable","slo":5000000,"give_up":6000000,"credit":1.0,"late_worth":0.1,
    "stream":false},
    {"name":"switch","effect":"once","slo":5000000,"give_up":6000000,"credit":1.0,"late_worth":0.1,
    "stream":false}]}"#;

/// Writes a complete configuration of a router with this discovery server and this cached endpoint list.
///
/// Tests replace parts of the text where they need other settings.
pub fn router_config(discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{known},"settings":{SETTINGS}}}"#
    )
}
