//! gNMI subscriptions: changes, samples, and slow subscribers.

mod management_site;

use std::time::{Duration, Instant};

use kestreltide_testkit::proto::gnmi::subscribe_request::Request as Ask;
use kestreltide_testkit::proto::gnmi::subscribe_response::Response as Told;
use kestreltide_testkit::proto::gnmi::*;
use tokio::time::timeout;
use tokio_stream::StreamExt;
use tonic::Code;

use management_site::*;

#[test]
fn subscribers_get_changes_in_order_at_once_and_those_they_missed() {
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
fn samples_come_at_the_requested_interval_and_redundant_ones_only_on_request() {
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
fn slow_subscribers_delay_nobody() {
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
