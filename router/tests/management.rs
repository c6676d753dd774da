//! Stories of engineers at a running router, over NETCONF and gNMI, and of those who only harm themselves.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use kestreltide_testkit::proto::gnmi::subscribe_request::Request as Ask;
use kestreltide_testkit::proto::gnmi::subscribe_response::Response as Told;
use kestreltide_testkit::proto::gnmi::typed_value::Value;
use kestreltide_testkit::proto::gnmi::*;
use kestreltide_testkit::proto::gnmi_ext::commit::Action;
use kestreltide_testkit::proto::gnmi_ext::extension::Ext;
use kestreltide_testkit::proto::gnmi_ext::{self, Extension};
use kestreltide_testkit::*;
use tokio::time::{sleep, timeout};
use tokio_stream::StreamExt;
use tonic::{Code, Status};

const BINARY: &str = env!("CARGO_BIN_EXE_kestreltide");
const ALL: &str = "read, weights, routes, ring";

/// A router with two tagged hosts by files, and engineers who reach it.
struct Site {
    credentials: TestCredentials,
    program: Program,
    netconf: SocketAddr,
    gnmi: SocketAddr,
    hosts: [SocketAddr; 2],
}

fn named(name: &'static str) -> SocketAddr {
    fake_host(move |_| {
        std::thread::sleep(Duration::from_millis(20));
        value_reply(name)
    })
}

impl Site {
    fn new() -> Self {
        Self::with(&[
            ("ana", ALL),
            ("rui", ALL),
            ("eva", "read"),
            ("gil", "weights"),
        ])
    }

    fn with(engineers: &[(&str, &str)]) -> Self {
        let credentials = TestCredentials::new(engineers);
        let hosts = [named("of a"), named("of b")];
        let watch = "[datastore]\nstate-directory = .\n[watch]\nhosts = hosts.ini\ndiscovery = off\nsettle = 0.005\npoll = 0.02\n";
        fs::write(
            credentials.path("operator.ini"),
            format!("{watch}{}", credentials.operator_section()),
        )
        .expect("written");
        write_hosts(&credentials, "1", &hosts, "");
        let program = start(&credentials);
        let (netconf, gnmi) = addresses(&program);
        Site {
            credentials,
            program,
            netconf,
            gnmi,
            hosts,
        }
    }

    fn restart(&mut self) {
        self.program = start(&self.credentials);
        (self.netconf, self.gnmi) = addresses(&self.program);
    }

    async fn netconf(&self, name: &str) -> Netconf {
        Netconf::open(self.credentials.management_client(name), self.netconf)
            .await
            .expect("let in")
    }

    async fn gnmi(&self, name: &str) -> g_nmi_client::GNmiClient<tonic::transport::Channel> {
        self.credentials
            .gnmi(name, self.gnmi)
            .await
            .expect("let in")
    }

    /// Waits until the file that outlives the router holds this: how long a busy disk takes is not known.
    async fn remembers(&self, what: &str) {
        let file = self.credentials.path("revisions.json");
        let until = Instant::now() + TEST_TIMEOUT;
        while !fs::read_to_string(&file).is_ok_and(|text| text.contains(what)) {
            assert!(Instant::now() < until, "{what} is not remembered");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Which hosts answer when several ask at once.
    fn served(&self, turn: &str) -> Vec<String> {
        let mut clients: Vec<_> = (0..8).map(|_| self.program.client()).collect();
        for (id, client) in clients.iter_mut().enumerate() {
            client.send(&["Q.ASK", "k", &format!("{turn}-{id}"), "c=read,d=5000"]);
        }
        let mut seen: Vec<_> = clients.iter_mut().map(Client::reply).collect();
        seen.sort();
        seen.dedup();
        seen
    }
}

fn addresses(program: &Program) -> (SocketAddr, SocketAddr) {
    let at = |what| {
        program
            .address_in_startup_log(what)
            .expect("the line tells the address")
    };
    (at("NETCONF interface opened"), at("gNMI interface opened"))
}

fn start(credentials: &TestCredentials) -> Program {
    let operator = credentials.path("operator.ini").display().to_string();
    let text = router_config(unused_address(), &endpoint_list(1, true, &[]))
        .replace("\"sockets\":256", "\"sockets\":1024");
    Program::start_with(BINARY, &text, &[("KESTRELTIDE_OPERATOR", operator)])
}

fn write_hosts(credentials: &TestCredentials, generation: &str, hosts: &[SocketAddr], more: &str) {
    let loose = "[guards]\nlargest-removal = 1\nleast-hosts-zone = 0\nleast-hosts-build = 0\n";
    let entry = |(number, at): (usize, &SocketAddr)| {
        let name = ["a", "b"][number];
        let more = if name == "a" { more } else { "" };
        format!(
            "[host {name}]\nendpoint = {at}\nzone = z\nkind = m\nbuild = 7\nstarted = 1000\n{more}"
        )
    };
    let entries: String = hosts.iter().enumerate().map(entry).collect();
    let text = format!(
        "generation = {generation}\n{loose}{entries}[end]\nhosts = {}\ngeneration = {generation}\n",
        hosts.len()
    );
    fs::write(credentials.path("new"), text)
        .and_then(|()| fs::rename(credentials.path("new"), credentials.path("hosts.ini")))
        .expect("replaced");
}

fn run<T>(story: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        timeout(Duration::from_secs(40), story)
            .await
            .expect("it ends in time")
    })
}

fn edit(target: &str, inner: &str) -> String {
    format!(
        "<edit-config><target><{target}/></target><config><router xmlns=\"urn:kestreltide:yang:router\">{inner}</router></config></edit-config>"
    )
}

fn state(host: &str, state: &str) -> String {
    format!("<hosts><host><name>{host}</name><state>{state}</state></host></hosts>")
}

fn weight(host: &str, weight: &str) -> String {
    format!("<hosts><host><name>{host}</name><weight>{weight}</weight></host></hosts>")
}

/// A path by its steps; `host=a` is a list's entry.
fn path(text: &str) -> Path {
    let elem = |step: &str| match step.split_once('=') {
        Some((name, key)) => PathElem {
            name: name.into(),
            key: [("name".to_owned(), key.to_owned())].into(),
        },
        None => PathElem {
            name: step.into(),
            key: Default::default(),
        },
    };
    Path {
        elem: text
            .split('/')
            .filter(|step| !step.is_empty())
            .map(elem)
            .collect(),
        ..Path::default()
    }
}

fn json(value: serde_json::Value) -> Option<TypedValue> {
    Some(TypedValue {
        value: Some(Value::JsonIetfVal(value.to_string().into_bytes())),
    })
}

fn update(at: &str, value: serde_json::Value) -> Update {
    Update {
        path: Some(path(at)),
        val: json(value),
        duplicates: 0,
    }
}

fn text(value: Option<TypedValue>) -> String {
    match value.and_then(|value| value.value) {
        Some(Value::JsonIetfVal(bytes) | Value::JsonVal(bytes)) => {
            String::from_utf8_lossy(&bytes).into()
        }
        Some(Value::DoubleVal(number)) => number.to_string(),
        Some(Value::StringVal(text)) => text,
        Some(Value::UintVal(number)) => number.to_string(),
        other => format!("{other:?}"),
    }
}

async fn get(
    client: &mut g_nmi_client::GNmiClient<tonic::transport::Channel>,
    at: &str,
    encoding: Encoding,
) -> Result<String, Status> {
    let request = GetRequest {
        path: vec![path(at)],
        encoding: encoding.into(),
        ..GetRequest::default()
    };
    let mut response = client.get(request).await?.into_inner();
    let mut updates = response.notification.remove(0).update;
    Ok(if updates.is_empty() {
        String::new()
    } else {
        text(updates.remove(0).val)
    })
}

fn ok(reply: &Result<String, NetconfError>) -> bool {
    reply.as_ref().is_ok_and(|reply| reply.contains("<ok/>"))
}

#[test]
fn engineers_change_what_the_router_does_over_both_protocols() {
    let site = Site::new();
    run(async {
        let mut netconf = site.netconf("ana").await;
        assert!(netconf.hello.contains(
            "urn:kestreltide:yang:router?module=kestreltide-router&amp;revision=2026-12-01"
        ));
        assert!(ok(&netconf
            .rpc(&edit("candidate", &state("a", "out")))
            .await));
        assert_eq!(site.served("before"), ["of a", "of b"]);
        assert!(ok(&netconf.rpc("<commit/>").await));
        // Whoever is told that it is committed finds it done.
        assert_eq!(site.served("out"), ["of b"]);
        let mut gnmi = site.gnmi("rui").await;
        let request = SetRequest {
            update: vec![
                update("router/hosts/host=a/state", "in-service".into()),
                update(
                    "router/hosts/host=b",
                    serde_json::json!({"weight": "0.5", "state": "out"}),
                ),
            ],
            ..SetRequest::default()
        };
        gnmi.set(request).await.expect("well");
        assert_eq!(site.served("in"), ["of a"]);
        assert_eq!(
            get(&mut gnmi, "router/hosts/host=b/weight", Encoding::JsonIetf)
                .await
                .expect("there"),
            "\"0.5\""
        );
        assert_eq!(
            get(&mut gnmi, "router/hosts/host=b/weight", Encoding::Proto)
                .await
                .expect("there"),
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
        assert!(ok(&netconf.rpc("<close-session/>").await) && netconf.rpc("<get/>").await.is_err());
    });
}

#[test]
fn of_two_protocols_one_wins_and_nothing_of_the_other_stays() {
    let site = Site::new();
    run(async {
        let (mut netconf, mut gnmi) = (site.netconf("ana").await, site.gnmi("rui").await);
        assert!(ok(&netconf
            .rpc(&edit("candidate", &weight("a", "2")))
            .await));
        assert!(ok(&netconf
            .rpc(&edit("candidate", &weight("b", "2")))
            .await));
        gnmi.set(SetRequest {
            update: vec![update("router/hosts/host=a/weight", "3.0".into())],
            ..SetRequest::default()
        })
        .await
        .expect("the first");
        let reply = netconf.rpc("<commit/>").await.expect("a reply");
        assert!(
            reply.contains(
                "was changed since revision 1 by revision 2 (management by rui, version gnmi set 1"
            ),
            "{reply}"
        );
        assert_eq!(
            get(&mut gnmi, "router/hosts/host=b/weight", Encoding::JsonIetf)
                .await
                .expect_err("nothing stays")
                .code(),
            Code::NotFound
        );
        // A file that says another thing of the same leaf waits for nobody, and is refused with the leaf.
        write_hosts(&site.credentials, "2", &site.hosts, "weight = 5\n");
        let line = site.program.wait_for_log("watched files rejected");
        assert!(
            line.contains(
                "hosts/a/weight: was changed since revision 1 by revision 2 (management by rui"
            ),
            "{line}"
        );
    });
}

#[test]
fn a_set_is_one_transaction_in_its_order_and_refused_whole() {
    let site = Site::new();
    run(async {
        let mut gnmi = site.gnmi("ana").await;
        // Deleted first, replaced then, updated last, wherever they stand in the request.
        let request = SetRequest {
            prefix: Some(path("router")),
            update: vec![update("hosts/host=a/size", "3.0".into())],
            replace: vec![update("hosts/host=b/weight", "0.5".into())],
            delete: vec![path("guards")],
            ..SetRequest::default()
        };
        let response = gnmi.set(request).await.expect("well").into_inner();
        let ops: Vec<_> = response.response.iter().map(|result| result.op).collect();
        assert_eq!(ops, [1, 2, 3]);
        for (request, code, part) in [
            (
                SetRequest {
                    update: vec![
                        update("router/hosts/host=a/weight", "2.0".into()),
                        update("router/hosts/host=b/weight", 2.into()),
                    ],
                    ..SetRequest::default()
                },
                Code::InvalidArgument,
                "is of another form",
            ),
            (
                SetRequest {
                    update: vec![
                        update("router/hosts/host=a/weight", "2.0".into()),
                        update("router/hosts/host=x/weight", "2.0".into()),
                    ],
                    ..SetRequest::default()
                },
                Code::FailedPrecondition,
                "hosts/x: no such host is listed",
            ),
            (
                SetRequest {
                    update: vec![update("router/hosts/host=a/weight", "1e3".into())],
                    ..SetRequest::default()
                },
                Code::InvalidArgument,
                "is no decimal number",
            ),
            (
                SetRequest {
                    update: vec![update("router/state/clients", 2.into())],
                    ..SetRequest::default()
                },
                Code::InvalidArgument,
                "is the router's own",
            ),
            (
                SetRequest {
                    update: vec![update("router/hots", 2.into())],
                    ..SetRequest::default()
                },
                Code::InvalidArgument,
                "has no hots",
            ),
            (
                SetRequest {
                    delete: vec![path("router/hosts")],
                    ..SetRequest::default()
                },
                Code::FailedPrecondition,
                "too many are taken out of service",
            ),
        ] {
            let status = gnmi.set(request).await.expect_err("refused");
            assert!(
                status.code() == code && status.message().contains(part),
                "{status:?}"
            );
        }
        assert!(
            get(&mut gnmi, "router/hosts/host=a/weight", Encoding::JsonIetf)
                .await
                .is_err(),
            "nothing of them stays"
        );
        assert_eq!(
            get(&mut gnmi, "router/state/revision", Encoding::Proto)
                .await
                .expect("there"),
            "2"
        );
    });
}

#[test]
fn a_confirmed_commit_dies_with_its_session_its_time_or_its_router() {
    let mut site = Site::new();
    let confirmed = |time: u32| {
        format!("<commit><confirmed/><confirm-timeout>{time}</confirm-timeout></commit>")
    };
    run(async {
        let mut netconf = site.netconf("ana").await;
        assert!(
            ok(&netconf.rpc(&edit("candidate", &state("a", "out"))).await)
                && ok(&netconf.rpc(&confirmed(60)).await)
        );
        assert_eq!(site.served("out"), ["of b"]);
        netconf.abandon().await;
        site.program.wait_for_log("unconfirmed commit rolled back");
        site.program.wait_for_log("a revision is in force");
        assert_eq!(site.served("back"), ["of a", "of b"]);
        let mut netconf = site.netconf("ana").await;
        assert!(
            ok(&netconf.rpc(&edit("candidate", &state("a", "out"))).await)
                && ok(&netconf.rpc(&confirmed(1)).await)
        );
        site.program.wait_for_log("unconfirmed commit rolled back");
        let mut gnmi = site.gnmi("rui").await;
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
            update: vec![update("router/hosts/host=b/state", "out".into())],
            extension: ext(commit),
            ..SetRequest::default()
        };
        gnmi.set(set.clone()).await.expect("well");
        assert_eq!(site.served("gnmi"), ["of a"]);
        let status = gnmi
            .set(SetRequest {
                update: vec![update("router/hosts/host=a/weight", "2.0".into())],
                ..SetRequest::default()
            })
            .await;
        assert_eq!(status.expect_err("one waits").code(), Code::Unavailable);
        gnmi.set(SetRequest {
            extension: ext(Action::Confirm(gnmi_ext::CommitConfirm {})),
            ..SetRequest::default()
        })
        .await
        .expect("confirmed");
        gnmi.set(SetRequest {
            update: vec![update("router/hosts/host=b/state", "in-service".into())],
            ..SetRequest::default()
        })
        .await
        .expect("well");
        gnmi.set(set).await.expect("it waits again");
        site.remembers("\"pending\":{").await;
    });
    // The router dies while it waits: what comes back is what stood before.
    site.program.signal("KILL");
    site.restart();
    site.program
        .wait_for_log_since_start("unconfirmed commit rolled back");
    site.program
        .wait_for_log_since_start("a revision is in force");
    assert_eq!(site.served("restarted"), ["of a", "of b"]);
}

#[test]
fn a_lock_of_a_dead_session_is_let_go() {
    let site = Site::new();
    run(async {
        let mut one = site.netconf("ana").await;
        assert!(ok(&one
            .rpc("<lock><target><running/></target></lock>")
            .await));
        let (mut two, mut gnmi) = (site.netconf("rui").await, site.gnmi("rui").await);
        let refused = two
            .rpc(&edit("running", &weight("a", "2")))
            .await
            .expect("a reply");
        assert!(
            refused.contains("<error-tag>lock-denied</error-tag>"),
            "{refused}"
        );
        let set = SetRequest {
            update: vec![update("router/hosts/host=a/weight", "2.0".into())],
            ..SetRequest::default()
        };
        assert_eq!(
            gnmi.set(set.clone()).await.expect_err("locked").code(),
            Code::Unavailable
        );
        // The file that changes meanwhile waits for the lock.
        write_hosts(&site.credentials, "2", &site.hosts, "size = 2\n");
        assert!(
            site.program
                .wait_for_log("watched files pending")
                .contains("holds the lock")
        );
        one.abandon().await;
        site.program.wait_for_log("NETCONF session closed");
        site.program.wait_for_log("watched files applied");
        gnmi.set(set).await.expect("free");
    });
}

#[test]
fn only_known_keys_come_in_with_their_rights_and_go_with_them() {
    let site = Site::new();
    let strangers = TestCredentials::new(&[("ana", ALL)]);
    run(async {
        assert!(
            Netconf::open(strangers.management_client("ana"), site.netconf)
                .await
                .is_err(),
            "the name, not the key"
        );
        assert!(
            strangers.gnmi("ana", site.gnmi).await.is_err(),
            "of another authority"
        );
        let mut eva = site.netconf("eva").await;
        let reply = eva
            .rpc(&edit("running", &weight("a", "2")))
            .await
            .expect("a reply");
        assert!(
            reply.contains("<error-tag>access-denied</error-tag>"),
            "{reply}"
        );
        let mut gil = site.gnmi("gil").await;
        assert_eq!(
            get(&mut gil, "router", Encoding::JsonIetf)
                .await
                .expect_err("may not read")
                .code(),
            Code::PermissionDenied
        );
        let ring = SetRequest {
            update: vec![update("router/ring/build", 7.into())],
            ..SetRequest::default()
        };
        assert_eq!(
            gil.set(ring).await.expect_err("may not").code(),
            Code::PermissionDenied
        );
        // A file of keys that is not well changes nothing; one without eva and gil ends what they had.
        fs::write(
            site.credentials.path("keys.ini"),
            "generation = 2\n[key ana]\n",
        )
        .expect("written");
        site.program.wait_for_log("file of keys rejected");
        assert!(eva.rpc("<get/>").await.is_ok());
        site.credentials.write_keys("3", &["ana", "rui"]);
        site.program.wait_for_log("keys applied");
        assert!(eva.rpc("<get/>").await.is_err());
        assert_eq!(
            gil.set(SetRequest::default())
                .await
                .expect_err("gone")
                .code(),
            Code::Unauthenticated
        );
        assert!(site.netconf("ana").await.rpc("<get/>").await.is_ok());
    });
}

#[test]
fn subscribers_are_told_in_order_at_once_and_what_they_missed() {
    let site = Site::new();
    run(async {
        let mut gnmi = site.gnmi("ana").await;
        let subscription = |at: &str, mode: SubscriptionMode| Subscription {
            path: Some(path(at)),
            mode: mode.into(),
            ..Subscription::default()
        };
        let ask = |mode: subscription_list::Mode, subscription| SubscribeRequest {
            request: Some(Ask::Subscribe(SubscriptionList {
                mode: mode.into(),
                subscription,
                encoding: Encoding::Proto.into(),
                ..SubscriptionList::default()
            })),
            extension: vec![],
        };
        let revision = || {
            vec![subscription(
                "router/state/revision",
                SubscriptionMode::OnChange,
            )]
        };
        let once = tokio_stream::iter([ask(subscription_list::Mode::Once, revision())]);
        let mut once = gnmi.subscribe(once).await.expect("a stream").into_inner();
        assert!(matches!(
            once.next().await,
            Some(Ok(SubscribeResponse {
                response: Some(Told::Update(_)),
                ..
            }))
        ));
        assert!(matches!(
            once.next().await,
            Some(Ok(SubscribeResponse {
                response: Some(Told::SyncResponse(true)),
                ..
            }))
        ));
        assert!(once.next().await.is_none());
        let (polls, asked) = tokio::sync::mpsc::channel(4);
        polls
            .send(ask(subscription_list::Mode::Poll, revision()))
            .await
            .expect("it waits");
        let mut polled = gnmi
            .subscribe(tokio_stream::wrappers::ReceiverStream::new(asked))
            .await
            .expect("a stream")
            .into_inner();
        for _ in 0..2 {
            assert!(matches!(
                polled.next().await,
                Some(Ok(SubscribeResponse {
                    response: Some(Told::Update(_)),
                    ..
                }))
            ));
            assert!(matches!(
                polled.next().await,
                Some(Ok(SubscribeResponse {
                    response: Some(Told::SyncResponse(true)),
                    ..
                }))
            ));
            polls
                .send(SubscribeRequest {
                    request: Some(Ask::Poll(Poll {})),
                    extension: vec![],
                })
                .await
                .expect("it waits");
        }
        let (_hold, asked) = tokio::sync::mpsc::channel(4);
        _hold
            .send(ask(subscription_list::Mode::Stream, revision()))
            .await
            .expect("it waits");
        let mut stream = gnmi
            .subscribe(tokio_stream::wrappers::ReceiverStream::new(asked))
            .await
            .expect("a stream")
            .into_inner();
        let mut netconf = site.netconf("rui").await;
        let subscribe =
            "<create-subscription xmlns=\"urn:ietf:params:xml:ns:netconf:notification:1.0\"/>";
        assert!(ok(&netconf.rpc(subscribe).await));
        let mut management_client = site.netconf("ana").await;
        for number in 0..20 {
            assert!(ok(&management_client
                .rpc(&edit(
                    "running",
                    &weight("a", &format!("1.{:02}", number + 1))
                ))
                .await));
        }
        let refused = management_client
            .rpc(&edit("running", &weight("x", "1")))
            .await
            .expect("a reply");
        assert!(refused.contains("rpc-error"));
        let (mut last, mut updates) = (0, 0);
        while last < 21 {
            let Some(Ok(SubscribeResponse {
                response: Some(told),
                ..
            })) = stream.next().await
            else {
                panic!("the stream goes on")
            };
            let Told::Update(mut told) = told else {
                continue;
            };
            let update = told.update.remove(0);
            let duplicates = u64::from(update.duplicates);
            let now: u64 = text(update.val).parse().expect("a number");
            assert!(
                now > last && (last == 0 || now - last <= duplicates + 1),
                "{last} to {now} with {duplicates} told"
            );
            (last, updates) = (now, updates + 1);
        }
        assert!(updates > 1);
        for expected in 2..=21 {
            let notice = netconf.message().await.expect("a notification");
            assert!(
                notice.contains(&format!("<revision>{expected}</revision>")),
                "{notice}"
            );
        }
        let notice = netconf.message().await.expect("a notification");
        assert!(
            notice.contains("<candidate-refused")
                && notice.contains("<reason>hosts/x: no such host is listed"),
            "{notice}"
        );
    });
}

#[test]
fn samples_come_as_often_as_asked_and_redundant_ones_only_where_wanted() {
    let site = Site::new();
    run(async {
        let mut gnmi = site.gnmi("ana").await;
        let count = async |client: &mut g_nmi_client::GNmiClient<tonic::transport::Channel>,
                           suppress,
                           heartbeat| {
            let of = Subscription {
                path: Some(path("router/guards/largest-removal")),
                mode: SubscriptionMode::Sample.into(),
                sample_interval: 50_000_000,
                suppress_redundant: suppress,
                heartbeat_interval: heartbeat,
            };
            let list = SubscriptionList {
                subscription: vec![of],
                encoding: Encoding::JsonIetf.into(),
                updates_only: true,
                ..SubscriptionList::default()
            };
            let (_hold, asked) = tokio::sync::mpsc::channel(1);
            _hold
                .send(SubscribeRequest {
                    request: Some(Ask::Subscribe(list)),
                    extension: vec![],
                })
                .await
                .expect("it waits");
            let mut stream = client
                .subscribe(tokio_stream::wrappers::ReceiverStream::new(asked))
                .await
                .expect("a stream")
                .into_inner();
            let until = Instant::now() + Duration::from_millis(600);
            let mut updates = 0;
            while let Ok(Some(Ok(told))) = timeout(
                until.saturating_duration_since(Instant::now()),
                stream.next(),
            )
            .await
            {
                updates += u32::from(matches!(told.response, Some(Told::Update(_))));
            }
            updates
        };
        let all = count(&mut gnmi, false, 0).await;
        assert!((4..=12).contains(&all), "{all}");
        assert_eq!(count(&mut gnmi, true, 0).await, 0);
        let beats = count(&mut gnmi, true, 200_000_000).await;
        assert!((1..=3).contains(&beats), "{beats}");
        let short = Subscription {
            path: Some(path("router")),
            mode: SubscriptionMode::Sample.into(),
            sample_interval: 1,
            ..Subscription::default()
        };
        let list = SubscriptionList {
            subscription: vec![short],
            encoding: Encoding::JsonIetf.into(),
            ..SubscriptionList::default()
        };
        let ask = tokio_stream::iter([SubscribeRequest {
            request: Some(Ask::Subscribe(list)),
            extension: vec![],
        }]);
        assert_eq!(
            gnmi.subscribe(ask).await.expect_err("too often").code(),
            Code::InvalidArgument
        );
    });
}

#[test]
fn only_the_master_sets() {
    let site = Site::new();
    run(async {
        let mut gnmi = site.gnmi("ana").await;
        let set = |low: u64, weight: &str| {
            let election_id = Some(gnmi_ext::Uint128 { high: 0, low });
            let ext = Some(Ext::MasterArbitration(gnmi_ext::MasterArbitration {
                role: None,
                election_id,
            }));
            SetRequest {
                update: vec![update("router/hosts/host=a/weight", weight.into())],
                extension: vec![Extension { ext }],
                ..SetRequest::default()
            }
        };
        gnmi.set(set(5, "1.1")).await.expect("the first");
        gnmi.set(set(7, "1.2")).await.expect("a later master");
        let status = gnmi
            .set(set(6, "1.3"))
            .await
            .expect_err("no master any more");
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
fn bad_parties_cost_only_themselves() {
    let site = Site::new();
    // Never finishing, half a handshake, noise, and a flood of connections: all stay open meanwhile.
    let mut open = vec![];
    for at in [site.netconf, site.gnmi] {
        for bytes in [
            &b""[..],
            b"SSH-2.0-",
            b"SSH-2.0-x\r\n\0\0\0\xff",
            b"\x16\x03\x01\x02\x00\x01",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
            &[7; 5000],
        ] {
            for _ in 0..8 {
                let mut stream = TcpStream::connect(at).expect("it listens");
                let _ = stream.write_all(bytes);
                open.push(stream);
            }
        }
    }
    run(async {
        let mut good = site.netconf("ana").await;
        let mut gnmi = site.gnmi("ana").await;
        // A message without end, a chunk that lies, and elements without end.
        let mut endless = site.netconf("rui").await;
        let _ = endless.write(b"\n#4000000\n").await;
        let mut sent = 0;
        // Once the session is over nobody makes room for more.
        let patience = Duration::from_secs(2);
        while sent < 12 << 20
            && timeout(patience, endless.write(&[b'a'; 65_536]))
                .await
                .is_ok_and(|done| done.is_ok())
        {
            sent += 65_536;
        }
        assert!(sent < 12 << 20, "it is not read to its end");
        let mut lying = site.netconf("rui").await;
        let _ = lying.write(b"\n#12\n<rpc/>\n##\n\n#99999999999\n").await;
        assert!(lying.rpc("<get/>").await.is_err());
        let mut deep = site.netconf("rui").await;
        let reply = deep.rpc(&"<a>".repeat(100_000)).await.expect("a reply");
        assert!(
            reply.contains("malformed-message"),
            "{}",
            &reply[..200.min(reply.len())]
        );
        // Many streams at once on one connection: beyond the limit they wait, others are served.
        let mut flood = vec![];
        for _ in 0..200 {
            let mut client = gnmi.clone();
            flood.push(tokio::spawn(async move {
                client
                    .capabilities(CapabilityRequest::default())
                    .await
                    .is_ok()
            }));
        }
        assert!(ok(&good.rpc(&edit("running", &weight("a", "2"))).await));
        let mut served = 0;
        for one in flood {
            served += u32::from(one.await.expect("it ends"));
        }
        assert_eq!(served, 200);
        let long = "9".repeat(5 << 20);
        let status = gnmi
            .set(SetRequest {
                update: vec![update("router/hosts/host=a/weight", long.into())],
                ..SetRequest::default()
            })
            .await;
        assert!(status.is_err());
        assert_eq!(
            get(
                &mut site.gnmi("rui").await,
                "router/hosts/host=a/weight",
                Encoding::JsonIetf
            )
            .await
            .expect("there"),
            "\"2.0\""
        );
    });
    assert_eq!(site.served("after"), ["of a", "of b"]);
}

#[test]
fn subscribers_that_do_not_read_hold_nobody_up() {
    let site = Site::new();
    run(async {
        let list = || SubscriptionList {
            subscription: vec![Subscription {
                path: Some(path("router")),
                mode: SubscriptionMode::OnChange.into(),
                ..Subscription::default()
            }],
            encoding: Encoding::JsonIetf.into(),
            ..SubscriptionList::default()
        };
        let (mut deaf, mut hold) = (vec![], vec![]);
        for number in 0..40 {
            let mut gnmi = site.gnmi("ana").await;
            let (sender, asked) = tokio::sync::mpsc::channel(1);
            sender
                .send(SubscribeRequest {
                    request: Some(Ask::Subscribe(list())),
                    extension: vec![],
                })
                .await
                .expect("it waits");
            let stream = gnmi
                .subscribe(tokio_stream::wrappers::ReceiverStream::new(asked))
                .await
                .expect("a stream")
                .into_inner();
            hold.push((sender, gnmi));
            // Half of them read on.
            if number % 2 == 0 {
                deaf.push(stream);
            } else {
                tokio::spawn(async move {
                    let mut stream = stream;
                    while stream.next().await.is_some() {}
                });
            }
        }
        let mut management_client = site.netconf("rui").await;
        let begun = Instant::now();
        for number in 0..60 {
            assert!(ok(&management_client
                .rpc(&edit(
                    "running",
                    &weight("a", &format!("1.{:02}", number + 1))
                ))
                .await));
        }
        assert!(
            begun.elapsed() < Duration::from_secs(10),
            "{:?}",
            begun.elapsed()
        );
    });
    assert_eq!(site.served("after"), ["of a", "of b"]);
}

#[test]
fn an_edit_in_the_middle_of_a_planned_stop_is_whole_or_not_there() {
    let mut site = Site::new();
    run(async {
        let mut netconf = site.netconf("ana").await;
        let both = "<hosts><host><name>a</name><weight>2</weight></host><host><name>b</name><weight>2</weight></host></hosts>";
        site.program.signal("TERM");
        let done = ok(&netconf.rpc(&edit("running", both)).await);
        assert!(site.program.child.wait().expect("an end").success());
        site.restart();
        let mut gnmi = site.gnmi("rui").await;
        let there = [
            get(&mut gnmi, "router/hosts/host=a/weight", Encoding::JsonIetf)
                .await
                .is_ok(),
            get(&mut gnmi, "router/hosts/host=b/weight", Encoding::JsonIetf)
                .await
                .is_ok(),
        ];
        assert!(
            there[0] == there[1] && (!done || there[0]),
            "{done} {there:?}"
        );
    });
}
