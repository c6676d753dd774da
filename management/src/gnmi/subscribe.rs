//! The Subscribe RPC: validates a list of subscriptions and starts the task that serves its stream.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Request, Response, Status, Streaming};

use super::GnmiService;
use super::encoding::supported_encoding;
use super::errors::invalid_argument;
use super::path_subscription::PathSubscription;
use super::paths::{parse_pattern, unknown_path_status};
use super::snapshot::Selection;
use super::stream::{StreamContext, SubscribeStream};
use crate::proto::gnmi::subscribe_request::Request as RequestKind;
use crate::proto::gnmi::subscription_list::Mode;
use crate::proto::gnmi::{Encoding, Path, SubscribeRequest, SubscribeResponse, SubscriptionList};

pub(super) type SubscribeResponses =
    Pin<Box<dyn Stream<Item = Result<SubscribeResponse, Status>> + Send>>;

/// Maximum number of subscriptions of one stream.
const MAX_SUBSCRIPTIONS: usize = 64;

impl GnmiService {
    pub(super) async fn handle_subscribe(
        &self,
        request: Request<Streaming<SubscribeRequest>>,
    ) -> Result<Response<SubscribeResponses>, Status> {
        let key = self.authorize_read(&request)?;
        let mut requests = request.into_inner();
        let Some(Ok(SubscribeRequest {
            request: Some(RequestKind::Subscribe(list)),
            ..
        })) = requests.next().await
        else {
            return Err(invalid_argument(
                "subscribe",
                "the first message is none",
                "another",
                "a list of subscriptions",
            ));
        };
        if self.open_streams.load(Relaxed) >= self.limits.max_sessions {
            return Err(Status::resource_exhausted(
                "subscribe: no room for one more stream",
            ));
        }
        let mode = Mode::try_from(list.mode).map_err(|_| {
            invalid_argument(
                "subscribe/mode",
                "no such mode",
                &list.mode.to_string(),
                "STREAM, ONCE or POLL",
            )
        })?;
        let encoding = supported_encoding(list.encoding)?;
        let subscriptions = self.path_subscriptions(&list, encoding)?;
        let (sender, receiver) = mpsc::channel(4);
        let stream = SubscribeStream {
            context: self.new_stream_context(),
            key,
            subscriptions,
            updates_only: list.updates_only,
            sender,
            prefix: list.prefix.as_ref().and_then(target_only),
        };
        self.open_streams.fetch_add(1, Relaxed);
        let open_streams = self.open_streams.clone();
        tokio::spawn(async move {
            stream.run(mode, requests).await;
            open_streams.fetch_sub(1, Relaxed);
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }

    /// Creates the subscriptions of a list; rejects paths that match no node of the model.
    fn path_subscriptions(
        &self,
        list: &SubscriptionList,
        encoding: Encoding,
    ) -> Result<Vec<PathSubscription>, Status> {
        let mut subscriptions = Vec::new();
        for subscription in &list.subscription {
            let path = subscription.path.clone().unwrap_or_default();
            let pattern = parse_pattern(list.prefix.as_ref(), &path)?;
            if !pattern.matches_schema(self.schema) {
                return Err(unknown_path_status(&path));
            }
            subscriptions.push(PathSubscription::new(
                Selection { pattern, encoding },
                subscription,
                &self.limits,
            )?);
        }
        if subscriptions.is_empty() || subscriptions.len() > MAX_SUBSCRIPTIONS {
            return Err(invalid_argument(
                "subscribe",
                "has no subscription, or too many",
                &subscriptions.len().to_string(),
                &format!("1 to {MAX_SUBSCRIPTIONS}"),
            ));
        }
        Ok(subscriptions)
    }

    fn new_stream_context(&self) -> Arc<StreamContext> {
        Arc::new(StreamContext {
            schema: self.schema,
            snapshot: self.snapshot.clone(),
            commit_service: self.commit_service.clone(),
            log: self.log.clone(),
        })
    }
}

/// The prefix of notifications: the target of the requested prefix, without its path; none without a target.
fn target_only(prefix: &Path) -> Option<Path> {
    let target = prefix.target.clone();
    (!target.is_empty()).then(|| Path {
        target,
        ..Path::default()
    })
}
