//! gNMI subscriptions in the modes once, poll, on-change and sample, NETCONF notifications, and subscribers that do
//! not read.

mod managed_router;

use std::time::{Duration, Instant};

use kestreltide_testkit::proto::gnmi::subscribe_request::Request as SubscriptionRequest;
use kestreltide_testkit::proto::gnmi::subscribe_response::Response as SubscriptionResponse;
use kestreltide_testkit::proto::gnmi::*;
use tokio::time::timeout;
use tokio_stream::StreamExt;
use tonic::Code;

use managed_router::*;

#[test]
fn subscriptions_deliver_revisions_in_order_and_count_the_skipped_ones() {
    let router = ManagedRouter::new();
    run_async(async {
        let mut gnmi = router.gnmi("ana").await;
        let subscription = |subscribed_path: &str, mode: SubscriptionMode| Subscription {
            path: Some(gnmi_path(subscribed_path)),
            mode: mode.into(),
            ..Subscription::default()
        };
        let request = |mode: subscription_list::Mode, subscription| SubscribeRequest {
            request: Some(SubscriptionRequest::Subscribe(SubscriptionList {
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
        let once = tokio_stream::iter([request(subscription_list::Mode::Once, revision())]);
        let mut once = gnmi
            .subscribe(once)
            .await
            .expect("a response stream")
            .into_inner();
        assert!(matches!(
            once.next().await,
            Some(Ok(SubscribeResponse {
                response: Some(SubscriptionResponse::Update(_)),
                ..
            }))
        ));
        assert!(matches!(
            once.next().await,
            Some(Ok(SubscribeResponse {
                response: Some(SubscriptionResponse::SyncResponse(true)),
                ..
            }))
        ));
        assert!(once.next().await.is_none());
        let (poll_sender, requests) = tokio::sync::mpsc::channel(4);
        poll_sender
            .send(request(subscription_list::Mode::Poll, revision()))
            .await
            .expect("the message is queued");
        let mut polled = gnmi
            .subscribe(tokio_stream::wrappers::ReceiverStream::new(requests))
            .await
            .expect("a response stream")
            .into_inner();
        for _ in 0..2 {
            assert!(matches!(
                polled.next().await,
                Some(Ok(SubscribeResponse {
                    response: Some(SubscriptionResponse::Update(_)),
                    ..
                }))
            ));
            assert!(matches!(
                polled.next().await,
                Some(Ok(SubscribeResponse {
                    response: Some(SubscriptionResponse::SyncResponse(true)),
                    ..
                }))
            ));
            poll_sender
                .send(SubscribeRequest {
                    request: Some(SubscriptionRequest::Poll(Poll {})),
                    extension: vec![],
                })
                .await
                .expect("the message is queued");
        }
        let (_request_sender, requests) = tokio::sync::mpsc::channel(4);
        _request_sender
            .send(request(subscription_list::Mode::Stream, revision()))
            .await
            .expect("the message is queued");
        let mut stream = gnmi
            .subscribe(tokio_stream::wrappers::ReceiverStream::new(requests))
            .await
            .expect("a response stream")
            .into_inner();
        let mut netconf = router.netconf("rui").await;
        let subscribe =
            "<create-subscription xmlns=\"urn:ietf:params:xml:ns:netconf:notification:1.0\"/>";
        assert!(is_ok_reply(&netconf.rpc(subscribe).await));
        let mut management_client = router.netconf("ana").await;
        for number in 0..20 {
            assert!(is_ok_reply(
                &management_client
                    .rpc(&edit_config(
                        "running",
                        &host_weight("a", &format!("1.{:02}", number + 1))
                    ))
                    .await
            ));
        }
        let rejection = management_client
            .rpc(&edit_config("running", &host_weight("x", "1")))
            .await
            .expect("a reply");
        assert!(rejection.contains("rpc-error"));
        let (mut last, mut updates) = (0, 0);
        while last < 21 {
            let Some(Ok(SubscribeResponse {
                response: Some(response),
                ..
            })) = stream.next().await
            else {
                panic!("the stream ended")
            };
            let SubscriptionResponse::Update(mut notification) = response else {
                continue;
            };
            let update = notification.update.remove(0);
            let duplicates = u64::from(update.duplicates);
            let current: u64 = value_text(update.val).parse().expect("a number");
            assert!(
                current > last && (last == 0 || current - last <= duplicates + 1),
                "{last} to {current} with {duplicates} duplicates"
            );
            (last, updates) = (current, updates + 1);
        }
        assert!(updates > 1);
        for expected in 2..=21 {
            let notification = netconf.message().await.expect("a notification");
            assert!(
                notification.contains(&format!("<revision>{expected}</revision>")),
                "{notification}"
            );
        }
        let notification = netconf.message().await.expect("a notification");
        assert!(
            notification.contains("<candidate-refused")
                && notification.contains("<reason>hosts/x: no such host is listed"),
            "{notification}"
        );
    });
}

#[test]
fn samples_come_at_the_requested_interval_and_redundant_ones_only_on_request() {
    let router = ManagedRouter::new();
    run_async(async {
        let mut gnmi = router.gnmi("ana").await;
        let count = async |client: &mut g_nmi_client::GNmiClient<tonic::transport::Channel>,
                           suppress,
                           heartbeat| {
            let subscription = Subscription {
                path: Some(gnmi_path("router/guards/largest-removal")),
                mode: SubscriptionMode::Sample.into(),
                sample_interval: 50_000_000,
                suppress_redundant: suppress,
                heartbeat_interval: heartbeat,
            };
            let list = SubscriptionList {
                subscription: vec![subscription],
                encoding: Encoding::JsonIetf.into(),
                updates_only: true,
                ..SubscriptionList::default()
            };
            let (_request_sender, requests) = tokio::sync::mpsc::channel(1);
            _request_sender
                .send(SubscribeRequest {
                    request: Some(SubscriptionRequest::Subscribe(list)),
                    extension: vec![],
                })
                .await
                .expect("the message is queued");
            let mut stream = client
                .subscribe(tokio_stream::wrappers::ReceiverStream::new(requests))
                .await
                .expect("a response stream")
                .into_inner();
            let deadline = Instant::now() + Duration::from_millis(600);
            let mut updates = 0;
            while let Ok(Some(Ok(response))) = timeout(
                deadline.saturating_duration_since(Instant::now()),
                stream.next(),
            )
            .await
            {
                updates += u32::from(matches!(
                    response.response,
                    Some(SubscriptionResponse::Update(_))
                ));
            }
            updates
        };
        let all = count(&mut gnmi, false, 0).await;
        assert!((4..=12).contains(&all), "{all}");
        assert_eq!(count(&mut gnmi, true, 0).await, 0);
        let heartbeats = count(&mut gnmi, true, 200_000_000).await;
        assert!((1..=3).contains(&heartbeats), "{heartbeats}");
        let too_short_interval = Subscription {
            path: Some(gnmi_path("router")),
            mode: SubscriptionMode::Sample.into(),
            sample_interval: 1,
            ..Subscription::default()
        };
        let list = SubscriptionList {
            subscription: vec![too_short_interval],
            encoding: Encoding::JsonIetf.into(),
            ..SubscriptionList::default()
        };
        let request = tokio_stream::iter([SubscribeRequest {
            request: Some(SubscriptionRequest::Subscribe(list)),
            extension: vec![],
        }]);
        assert_eq!(
            gnmi.subscribe(request)
                .await
                .expect_err("the interval is too short")
                .code(),
            Code::InvalidArgument
        );
    });
}

#[test]
fn subscribers_that_do_not_read_delay_no_commit() {
    let router = ManagedRouter::new();
    run_async(async {
        let list = || SubscriptionList {
            subscription: vec![Subscription {
                path: Some(gnmi_path("router")),
                mode: SubscriptionMode::OnChange.into(),
                ..Subscription::default()
            }],
            encoding: Encoding::JsonIetf.into(),
            ..SubscriptionList::default()
        };
        let (mut unread_streams, mut open_requests) = (vec![], vec![]);
        for number in 0..40 {
            let mut gnmi = router.gnmi("ana").await;
            let (sender, requests) = tokio::sync::mpsc::channel(1);
            sender
                .send(SubscribeRequest {
                    request: Some(SubscriptionRequest::Subscribe(list())),
                    extension: vec![],
                })
                .await
                .expect("the message is queued");
            let stream = gnmi
                .subscribe(tokio_stream::wrappers::ReceiverStream::new(requests))
                .await
                .expect("a response stream")
                .into_inner();
            open_requests.push((sender, gnmi));
            // Every second subscriber never reads its stream.
            if number % 2 == 0 {
                unread_streams.push(stream);
            } else {
                tokio::spawn(async move {
                    let mut stream = stream;
                    while stream.next().await.is_some() {}
                });
            }
        }
        let mut management_client = router.netconf("rui").await;
        let started = Instant::now();
        for number in 0..60 {
            assert!(is_ok_reply(
                &management_client
                    .rpc(&edit_config(
                        "running",
                        &host_weight("a", &format!("1.{:02}", number + 1))
                    ))
                    .await
            ));
        }
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "{:?}",
            started.elapsed()
        );
    });
    assert_eq!(router.distinct_responses("after"), ["of a", "of b"]);
}
