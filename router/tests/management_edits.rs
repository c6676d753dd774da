//! Configuration changes over NETCONF and gNMI: transactions, conflicts, confirmed commits, locks, and shutdown.

mod managed_router;

use kestreltide_testkit::proto::gnmi::*;
use kestreltide_testkit::proto::gnmi_ext::commit::Action;
use kestreltide_testkit::proto::gnmi_ext::extension::Ext;
use kestreltide_testkit::proto::gnmi_ext::{self, Extension};
use tonic::Code;

use managed_router::*;

#[test]
fn edits_over_netconf_and_gnmi_change_routing() {
    let router = ManagedRouter::new();
    run_async(async {
        let mut netconf = router.netconf("ana").await;
        assert!(netconf.hello.contains(
            "urn:kestreltide:yang:router?module=kestreltide-router&amp;revision=2026-12-01"
        ));
        assert!(is_ok_reply(
            &netconf
                .rpc(&edit_config("candidate", &host_state("a", "out")))
                .await
        ));
        assert_eq!(router.distinct_responses("before"), ["of a", "of b"]);
        assert!(is_ok_reply(&netconf.rpc("<commit/>").await));
        // The change is in effect once the commit is acknowledged.
        assert_eq!(router.distinct_responses("out"), ["of b"]);
        let mut gnmi = router.gnmi("rui").await;
        let request = SetRequest {
            update: vec![
                gnmi_update("router/hosts/host=a/state", "in-service".into()),
                gnmi_update(
                    "router/hosts/host=b",
                    serde_json::json!({"weight": "0.5", "state": "out"}),
                ),
            ],
            ..SetRequest::default()
        };
        gnmi.set(request).await.expect("the set is accepted");
        assert_eq!(router.distinct_responses("in"), ["of a"]);
        assert_eq!(
            gnmi_get(&mut gnmi, "router/hosts/host=b/weight", Encoding::JsonIetf)
                .await
                .expect("the value is present"),
            "\"0.5\""
        );
        assert_eq!(
            gnmi_get(&mut gnmi, "router/hosts/host=b/weight", Encoding::Proto)
                .await
                .expect("the value is present"),
            "0.5"
        );
        let reply = netconf
            .rpc("<get><filter type='xpath' select='/router/state/revision-record/author'/></get>")
            .await
            .expect("a reply");
        assert!(
            reply.contains("<author>ana</author>")
                && reply.contains("<author>rui</author>")
                && reply.contains("<author>operators</author>"),
            "{reply}"
        );
        assert!(
            is_ok_reply(&netconf.rpc("<close-session/>").await)
                && netconf.rpc("<get/>").await.is_err()
        );
    });
}

#[test]
fn of_conflicting_edits_over_two_protocols_only_the_first_is_committed() {
    let router = ManagedRouter::new();
    run_async(async {
        let (mut netconf, mut gnmi) = (router.netconf("ana").await, router.gnmi("rui").await);
        assert!(is_ok_reply(
            &netconf
                .rpc(&edit_config("candidate", &host_weight("a", "2")))
                .await
        ));
        assert!(is_ok_reply(
            &netconf
                .rpc(&edit_config("candidate", &host_weight("b", "2")))
                .await
        ));
        gnmi.set(SetRequest {
            update: vec![gnmi_update("router/hosts/host=a/weight", "3.0".into())],
            ..SetRequest::default()
        })
        .await
        .expect("the first edit is accepted");
        let reply = netconf.rpc("<commit/>").await.expect("a reply");
        assert!(
            reply.contains(
                "was changed since revision 1 by revision 2 (management by rui, version gnmi set 1"
            ),
            "{reply}"
        );
        assert_eq!(
            gnmi_get(&mut gnmi, "router/hosts/host=b/weight", Encoding::JsonIetf)
                .await
                .expect_err("the rejected commit left no weight")
                .code(),
            Code::NotFound
        );
        // A file that sets the same leaf to another value is rejected at once, with the leaf's path.
        write_hosts(&router.credentials, "2", &router.hosts, "weight = 5\n");
        let line = router.program.wait_for_log("watched files rejected");
        assert!(
            line.contains(
                "hosts/a/weight: was changed since revision 1 by revision 2 (management by rui"
            ),
            "{line}"
        );
    });
}

#[test]
fn a_set_is_one_ordered_transaction_and_rejected_completely() {
    let router = ManagedRouter::new();
    run_async(async {
        let mut gnmi = router.gnmi("ana").await;
        // Deletes apply first, then replaces, then updates, whatever their order in the request.
        let request = SetRequest {
            prefix: Some(gnmi_path("router")),
            update: vec![gnmi_update("hosts/host=a/size", "3.0".into())],
            replace: vec![gnmi_update("hosts/host=b/weight", "0.5".into())],
            delete: vec![gnmi_path("guards")],
            ..SetRequest::default()
        };
        let response = gnmi
            .set(request)
            .await
            .expect("the set is accepted")
            .into_inner();
        let ops: Vec<_> = response.response.iter().map(|result| result.op).collect();
        assert_eq!(ops, [1, 2, 3]);
        for (request, code, part) in [
            (
                SetRequest {
                    update: vec![
                        gnmi_update("router/hosts/host=a/weight", "2.0".into()),
                        gnmi_update("router/hosts/host=b/weight", 2.into()),
                    ],
                    ..SetRequest::default()
                },
                Code::InvalidArgument,
                "is of another form",
            ),
            (
                SetRequest {
                    update: vec![
                        gnmi_update("router/hosts/host=a/weight", "2.0".into()),
                        gnmi_update("router/hosts/host=x/weight", "2.0".into()),
                    ],
                    ..SetRequest::default()
                },
                Code::FailedPrecondition,
                "hosts/x: no such host is listed",
            ),
            (
                SetRequest {
                    update: vec![gnmi_update("router/hosts/host=a/weight", "1e3".into())],
                    ..SetRequest::default()
                },
                Code::InvalidArgument,
                "is no decimal number",
            ),
            (
                SetRequest {
                    update: vec![gnmi_update("router/state/clients", 2.into())],
                    ..SetRequest::default()
                },
                Code::InvalidArgument,
                "is the router's own",
            ),
            (
                SetRequest {
                    update: vec![gnmi_update("router/hots", 2.into())],
                    ..SetRequest::default()
                },
                Code::InvalidArgument,
                "has no hots",
            ),
            (
                SetRequest {
                    delete: vec![gnmi_path("router/hosts")],
                    ..SetRequest::default()
                },
                Code::FailedPrecondition,
                "too many are taken out of service",
            ),
        ] {
            let status = gnmi.set(request).await.expect_err("rejected");
            assert!(
                status.code() == code && status.message().contains(part),
                "{status:?}"
            );
        }
        assert!(
            gnmi_get(&mut gnmi, "router/hosts/host=a/weight", Encoding::JsonIetf)
                .await
                .is_err(),
            "the rejected sets left no value"
        );
        assert_eq!(
            gnmi_get(&mut gnmi, "router/state/revision", Encoding::Proto)
                .await
                .expect("the value is present"),
            "2"
        );
    });
}

#[test]
fn an_unconfirmed_commit_is_rolled_back_on_session_close_timeout_or_restart() {
    let mut router = ManagedRouter::new();
    let confirmed_commit = |timeout_s: u32| {
        format!("<commit><confirmed/><confirm-timeout>{timeout_s}</confirm-timeout></commit>")
    };
    run_async(async {
        let mut netconf = router.netconf("ana").await;
        assert!(
            is_ok_reply(
                &netconf
                    .rpc(&edit_config("candidate", &host_state("a", "out")))
                    .await
            ) && is_ok_reply(&netconf.rpc(&confirmed_commit(60)).await)
        );
        assert_eq!(router.distinct_responses("out"), ["of b"]);
        netconf.abandon().await;
        router
            .program
            .wait_for_log("unconfirmed commit rolled back");
        router.program.wait_for_log("revision applied");
        assert_eq!(router.distinct_responses("back"), ["of a", "of b"]);
        let mut netconf = router.netconf("ana").await;
        assert!(
            is_ok_reply(
                &netconf
                    .rpc(&edit_config("candidate", &host_state("a", "out")))
                    .await
            ) && is_ok_reply(&netconf.rpc(&confirmed_commit(1)).await)
        );
        router
            .program
            .wait_for_log("unconfirmed commit rolled back");
        let mut gnmi = router.gnmi("rui").await;
        let ext = |action| {
            vec![Extension {
                ext: Some(Ext::Commit(gnmi_ext::Commit {
                    id: "night".into(),
                    action: Some(action),
                })),
            }]
        };
        let commit = Action::Commit(gnmi_ext::CommitRequest {
            rollback_duration: None,
        });
        let set = SetRequest {
            update: vec![gnmi_update("router/hosts/host=b/state", "out".into())],
            extension: ext(commit),
            ..SetRequest::default()
        };
        gnmi.set(set.clone()).await.expect("the set is accepted");
        assert_eq!(router.distinct_responses("gnmi"), ["of a"]);
        let status = gnmi
            .set(SetRequest {
                update: vec![gnmi_update("router/hosts/host=a/weight", "2.0".into())],
                ..SetRequest::default()
            })
            .await;
        assert_eq!(
            status.expect_err("a commit is unconfirmed").code(),
            Code::Unavailable
        );
        gnmi.set(SetRequest {
            extension: ext(Action::Confirm(gnmi_ext::CommitConfirm {})),
            ..SetRequest::default()
        })
        .await
        .expect("the commit is confirmed");
        gnmi.set(SetRequest {
            update: vec![gnmi_update(
                "router/hosts/host=b/state",
                "in-service".into(),
            )],
            ..SetRequest::default()
        })
        .await
        .expect("the set is accepted");
        gnmi.set(set)
            .await
            .expect("the commit is accepted unconfirmed");
        router.wait_for_stored_text("\"pending\":{").await;
    });
    // The router is killed while the commit is unconfirmed: after the restart the earlier configuration applies.
    router.program.signal("KILL");
    router.restart();
    router
        .program
        .wait_for_log_since_start("unconfirmed commit rolled back");
    router.program.wait_for_log_since_start("revision applied");
    assert_eq!(router.distinct_responses("restarted"), ["of a", "of b"]);
}

#[test]
fn the_lock_of_a_closed_session_is_released() {
    let router = ManagedRouter::new();
    run_async(async {
        let mut lock_holder = router.netconf("ana").await;
        assert!(is_ok_reply(
            &lock_holder
                .rpc("<lock><target><running/></target></lock>")
                .await
        ));
        let (mut other, mut gnmi) = (router.netconf("rui").await, router.gnmi("rui").await);
        let rejection = other
            .rpc(&edit_config("running", &host_weight("a", "2")))
            .await
            .expect("a reply");
        assert!(
            rejection.contains("<error-tag>lock-denied</error-tag>"),
            "{rejection}"
        );
        let set = SetRequest {
            update: vec![gnmi_update("router/hosts/host=a/weight", "2.0".into())],
            ..SetRequest::default()
        };
        assert_eq!(
            gnmi.set(set.clone())
                .await
                .expect_err("the datastore is locked")
                .code(),
            Code::Unavailable
        );
        // A watched file that changes meanwhile is applied once the lock is released.
        write_hosts(&router.credentials, "2", &router.hosts, "size = 2\n");
        assert!(
            router
                .program
                .wait_for_log("watched files pending")
                .contains("holds the lock")
        );
        lock_holder.abandon().await;
        router.program.wait_for_log("NETCONF session closed");
        router.program.wait_for_log("watched files applied");
        gnmi.set(set).await.expect("the lock is released");
    });
}

#[test]
fn an_edit_during_graceful_shutdown_is_applied_completely_or_not_at_all() {
    let mut router = ManagedRouter::new();
    run_async(async {
        let mut netconf = router.netconf("ana").await;
        let both_weights = "<hosts><host><name>a</name><weight>2</weight></host><host><name>b</name><weight>2</weight></host></hosts>";
        router.program.signal("TERM");
        let acknowledged = is_ok_reply(&netconf.rpc(&edit_config("running", both_weights)).await);
        assert!(
            router
                .program
                .child
                .wait()
                .expect("the process exits")
                .success()
        );
        router.restart();
        let mut gnmi = router.gnmi("rui").await;
        let present = [
            gnmi_get(&mut gnmi, "router/hosts/host=a/weight", Encoding::JsonIetf)
                .await
                .is_ok(),
            gnmi_get(&mut gnmi, "router/hosts/host=b/weight", Encoding::JsonIetf)
                .await
                .is_ok(),
        ];
        assert!(
            present[0] == present[1] && (!acknowledged || present[0]),
            "{acknowledged} {present:?}"
        );
    });
}
