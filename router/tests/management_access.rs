//! Admission and rights of management clients over NETCONF and gNMI, gNMI master arbitration, and clients that send
//! malformed, unterminated or too much input.

mod managed_router;

use std::fs;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use kestreltide_testkit::proto::gnmi::*;
use kestreltide_testkit::proto::gnmi_ext::extension::Ext;
use kestreltide_testkit::proto::gnmi_ext::{self, Extension};
use kestreltide_testkit::*;
use tokio::time::timeout;
use tonic::Code;

use managed_router::*;

#[test]
fn only_known_keys_are_admitted_with_their_rights_and_until_removed() {
    let router = ManagedRouter::new();
    let unknown_credentials = TestCredentials::new(&[("ana", ALL_RIGHTS)]);
    run_async(async {
        assert!(
            NetconfSession::open(unknown_credentials.management_client("ana"), router.netconf)
                .await
                .is_err(),
            "a known name with another key is rejected"
        );
        assert!(
            unknown_credentials.gnmi("ana", router.gnmi).await.is_err(),
            "a certificate of another authority is rejected"
        );
        let mut eva = router.netconf("eva").await;
        let reply = eva
            .rpc(&edit_config("running", &host_weight("a", "2")))
            .await
            .expect("a reply");
        assert!(
            reply.contains("<error-tag>access-denied</error-tag>"),
            "{reply}"
        );
        let mut gil = router.gnmi("gil").await;
        assert_eq!(
            gnmi_get(&mut gil, "router", Encoding::JsonIetf)
                .await
                .expect_err("gil has no right to read")
                .code(),
            Code::PermissionDenied
        );
        let rollout_edit = SetRequest {
            update: vec![gnmi_update("router/ring/build", 7.into())],
            ..SetRequest::default()
        };
        assert_eq!(
            gil.set(rollout_edit)
                .await
                .expect_err("gil has no right to change the rollout")
                .code(),
            Code::PermissionDenied
        );
        // An invalid keys file changes nothing; one without eva and gil closes their sessions.
        fs::write(
            router.credentials.path("keys.ini"),
            "generation = 2\n[key ana]\n",
        )
        .expect("the file is written");
        router.program.wait_for_log("file of keys rejected");
        assert!(eva.rpc("<get/>").await.is_ok());
        router.credentials.write_keys("3", &["ana", "rui"]);
        router.program.wait_for_log("keys applied");
        assert!(eva.rpc("<get/>").await.is_err());
        assert_eq!(
            gil.set(SetRequest::default())
                .await
                .expect_err("gil's key is removed")
                .code(),
            Code::Unauthenticated
        );
        assert!(router.netconf("ana").await.rpc("<get/>").await.is_ok());
    });
}

#[test]
fn only_the_master_may_set() {
    let router = ManagedRouter::new();
    run_async(async {
        let mut gnmi = router.gnmi("ana").await;
        let set = |low: u64, weight: &str| {
            let election_id = Some(gnmi_ext::Uint128 { high: 0, low });
            let ext = Some(Ext::MasterArbitration(gnmi_ext::MasterArbitration {
                role: None,
                election_id,
            }));
            SetRequest {
                update: vec![gnmi_update("router/hosts/host=a/weight", weight.into())],
                extension: vec![Extension { ext }],
                ..SetRequest::default()
            }
        };
        gnmi.set(set(5, "1.1"))
            .await
            .expect("the first master is accepted");
        gnmi.set(set(7, "1.2"))
            .await
            .expect("a later master is accepted");
        let status = gnmi
            .set(set(6, "1.3"))
            .await
            .expect_err("a later master has been elected");
        assert!(
            status.code() == Code::PermissionDenied
                && status
                    .message()
                    .contains("another client is master (given: 0.6; taken: 0.7)"),
            "{status:?}"
        );
    });
}

#[test]
fn misbehaving_clients_do_not_affect_other_clients() {
    let router = ManagedRouter::new();
    // Connections that send nothing, half a handshake or random bytes; all stay open during the test.
    let mut open_connections = vec![];
    for address in [router.netconf, router.gnmi] {
        for bytes in [
            &b""[..],
            b"SSH-2.0-",
            b"SSH-2.0-x\r\n\0\0\0\xff",
            b"\x16\x03\x01\x02\x00\x01",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
            &[7; 5000],
        ] {
            for _ in 0..8 {
                let mut stream = TcpStream::connect(address).expect("it listens");
                let _ = stream.write_all(bytes);
                open_connections.push(stream);
            }
        }
    }
    run_async(async {
        let mut well_behaved = router.netconf("ana").await;
        let mut gnmi = router.gnmi("ana").await;
        // An unterminated message, a chunk with a wrong length, and unclosed nested elements.
        let mut unterminated = router.netconf("rui").await;
        let _ = unterminated.write(b"\n#4000000\n").await;
        let mut sent_bytes = 0;
        // Once the router has ended the session it reads no more, so that writes stall.
        let write_timeout = Duration::from_secs(2);
        while sent_bytes < 12 << 20
            && timeout(write_timeout, unterminated.write(&[b'a'; 65_536]))
                .await
                .is_ok_and(|done| done.is_ok())
        {
            sent_bytes += 65_536;
        }
        assert!(
            sent_bytes < 12 << 20,
            "the router stops reading the message before 12 MiB"
        );
        let mut wrong_length = router.netconf("rui").await;
        let _ = wrong_length
            .write(b"\n#12\n<rpc/>\n##\n\n#99999999999\n")
            .await;
        assert!(wrong_length.rpc("<get/>").await.is_err());
        let mut deeply_nested = router.netconf("rui").await;
        let reply = deeply_nested
            .rpc(&"<a>".repeat(100_000))
            .await
            .expect("a reply");
        assert!(
            reply.contains("malformed-message"),
            "{}",
            &reply[..200.min(reply.len())]
        );
        // 200 concurrent gNMI calls on one connection: those beyond the stream limit are queued, all are answered.
        let mut calls = vec![];
        for _ in 0..200 {
            let mut client = gnmi.clone();
            calls.push(tokio::spawn(async move {
                client
                    .capabilities(CapabilityRequest::default())
                    .await
                    .is_ok()
            }));
        }
        assert!(is_ok_reply(
            &well_behaved
                .rpc(&edit_config("running", &host_weight("a", "2")))
                .await
        ));
        let mut served = 0;
        for call in calls {
            served += u32::from(call.await.expect("the call ends"));
        }
        assert_eq!(served, 200);
        let oversized_value = "9".repeat(5 << 20);
        let status = gnmi
            .set(SetRequest {
                update: vec![gnmi_update(
                    "router/hosts/host=a/weight",
                    oversized_value.into(),
                )],
                ..SetRequest::default()
            })
            .await;
        assert!(status.is_err());
        assert_eq!(
            gnmi_get(
                &mut router.gnmi("rui").await,
                "router/hosts/host=a/weight",
                Encoding::JsonIetf
            )
            .await
            .expect("the value is present"),
            "\"2.0\""
        );
    });
    assert_eq!(router.distinct_responses("after"), ["of a", "of b"]);
}
