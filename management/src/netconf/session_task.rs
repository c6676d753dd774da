//! The task of one NETCONF session: reads and answers its messages, and closes the session at the commit service.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use kestreltide_datastore::Key;
use kestreltide_datastore::commit_coordinator::{CommitError, SessionId};
use kestreltide_yang::NodeId;
use russh::Channel;
use russh::server::Msg;
use slog::{info, warn};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{Notify, broadcast};
use tokio::time::interval;

use super::framing::{FrameDecoder, Framing, encode_message};
use super::server::ServerContext;
use super::session::{DatastoreOperation, Session, SessionAction};
use crate::commit_service::Notification;
use crate::end_reason::EndReason;
use crate::state;

/// Size of the buffer for one read from a channel, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Time between checks whether the key of a session is still valid.
const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Serves one session from its hello until it closes.
pub(super) async fn serve_session(context: Arc<ServerContext>, key: Key, channel: Channel<Msg>) {
    let Some(id) = context.commit_service.open_session().await else {
        return;
    };
    let kill_signal = Arc::new(Notify::new());
    let is_admitted = context.with_sessions(|sessions| {
        let is_admitted = sessions.len() < context.limits.max_sessions;
        if is_admitted {
            sessions.insert(id, kill_signal.clone());
        }
        is_admitted
    });
    if is_admitted {
        info!(context.log, "NETCONF session opened"; "session" => id.0, "key" => &key.name);
        let reason = exchange_messages(&context, id, &key, channel, &kill_signal).await;
        info!(context.log, "NETCONF session closed"; "session" => id.0, "key" => &key.name, "reason" => %reason);
    } else {
        warn!(context.log, "NETCONF session rejected"; "key" => &key.name, "reason" => "too many sessions");
    }
    context.with_sessions(|sessions| sessions.remove(&id));
    // The commit service releases the locks of the session and rolls back a commit that only this session could
    // confirm.
    (context.commit_service.submit)(crate::CommitServiceRequest::CloseSession { session: id });
}

/// Exchanges messages over a channel until the session ends, and returns the reason.
async fn exchange_messages(
    context: &ServerContext,
    id: SessionId,
    key: &Key,
    channel: Channel<Msg>,
    kill_signal: &Notify,
) -> EndReason {
    let (reader, writer) = tokio::io::split(channel.into_stream());
    let session = Session::new(id, &key.name, context.schema, context.binding.clone());
    let decoder = FrameDecoder::new(context.limits.max_message_bytes);
    let mut exchange = MessageExchange {
        context,
        id,
        key,
        session,
        decoder,
        writer,
        notifications: None,
        missed_notifications: 0,
    };
    match exchange.run(reader, kill_signal).await {
        Err(reason) => reason,
    }
}

/// The message exchange of one session over its channel.
struct MessageExchange<'a, W> {
    context: &'a ServerContext,
    id: SessionId,
    key: &'a Key,
    session: Session,
    decoder: FrameDecoder,
    writer: W,
    /// The receiver of notifications; none until the client creates a subscription.
    notifications: Option<broadcast::Receiver<Notification>>,
    /// Number of notifications that were lost since the last one that was sent, because the client reads slowly.
    missed_notifications: u64,
}

impl<W: AsyncWrite + Unpin> MessageExchange<'_, W> {
    async fn run(
        &mut self,
        mut reader: impl AsyncRead + Unpin,
        kill_signal: &Notify,
    ) -> Result<Infallible, EndReason> {
        self.send(&encode_message(
            Framing::EndOfMessage,
            &self.session.hello(),
        ))
        .await?;
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut key_check = interval(KEY_CHECK_INTERVAL);
        let started = tokio::time::Instant::now();
        loop {
            tokio::select! {
                _ = kill_signal.notified() => return Err(EndReason::Killed),
                _ = key_check.tick() => self.check_key_and_hello(started.elapsed())?,
                notification = receive_notification(&mut self.notifications) => self.send_notification(notification).await?,
                read = reader.read(&mut buffer) => match read {
                    Ok(0) | Err(_) => return Err(EndReason::Disconnected),
                    Ok(count) => self.handle_bytes(&buffer[..count]).await?,
                },
            }
        }
    }

    async fn send(&mut self, bytes: &[u8]) -> Result<(), EndReason> {
        self.writer
            .write_all(bytes)
            .await
            .map_err(|_| EndReason::Disconnected)?;
        self.writer
            .flush()
            .await
            .map_err(|_| EndReason::Disconnected)
    }

    /// Ends a session whose key was revoked or whose hello was not received within the login timeout.
    fn check_key_and_hello(&self, elapsed: Duration) -> Result<(), EndReason> {
        if self.context.rights(self.key).is_none() {
            return Err(EndReason::KeyRevoked);
        }
        let is_waiting_for_hello = !self.session.uses_chunked_framing()
            && self.decoder.framing() == Framing::EndOfMessage
            && !self.session.hello_received();
        if is_waiting_for_hello && elapsed > self.context.limits.login_timeout {
            return Err(EndReason::HelloTimeout);
        }
        Ok(())
    }

    /// Sends a notification. Lost notifications are counted, and the count is sent with the next notification.
    async fn send_notification(
        &mut self,
        notification: Result<Notification, RecvError>,
    ) -> Result<(), EndReason> {
        let timed_data = match notification {
            Ok(notification) => notification_data(
                self.context,
                &notification,
                std::mem::take(&mut self.missed_notifications),
            ),
            Err(RecvError::Lagged(count)) => {
                self.missed_notifications += count;
                return Ok(());
            }
            Err(RecvError::Closed) => return Err(EndReason::RouterStopping),
        };
        let Some((time, data)) = timed_data else {
            return Ok(());
        };
        let text = encode_message(
            self.decoder.framing(),
            &self.session.encode_notification(time, &data),
        );
        self.send(&text).await
    }

    /// Decodes received bytes and replies to each complete message.
    async fn handle_bytes(&mut self, bytes: &[u8]) -> Result<(), EndReason> {
        self.decoder.push(bytes);
        while let Some(message) = self
            .decoder
            .next_message()
            .map_err(|_| EndReason::InvalidFraming)?
        {
            self.handle_message(&message).await?;
        }
        Ok(())
    }

    async fn handle_message(&mut self, message: &[u8]) -> Result<(), EndReason> {
        let rights = self.context.rights(self.key).ok_or(EndReason::KeyRevoked)?;
        let action = self
            .session
            .handle_message(message, rights, &self.context.commit_service);
        let (reply, end_reason) = match action {
            SessionAction::Reply(reply) => (reply, None),
            SessionAction::Close(reply) => (reply, Some(EndReason::Closed)),
            SessionAction::Abort(reason) => return Err(EndReason::Aborted(reason)),
            SessionAction::Subscribe(reply) => {
                self.notifications = Some(self.context.commit_service.notifications.subscribe());
                (reply, None)
            }
            SessionAction::Kill(killed_session, reply) => {
                let kill_signal = self
                    .context
                    .with_sessions(|sessions| sessions.get(&killed_session).cloned());
                kill_signal.inspect(|kill_signal| kill_signal.notify_one());
                (reply, None)
            }
            SessionAction::Perform(operation) => {
                let result =
                    perform_operation(self.context, self.id, &self.session, &operation).await;
                (self.session.complete_operation(&operation, result), None)
            }
        };
        let text = if reply.is_empty() {
            vec![]
        } else {
            encode_message(self.decoder.framing(), &reply)
        };
        // After the hello messages both sides use chunked framing if both support it (RFC 6242, section 4.1).
        if self.session.uses_chunked_framing() {
            self.decoder.use_chunked_framing();
        }
        self.send(&text).await?;
        let Some(reason) = end_reason else {
            return Ok(());
        };
        let _ = self.writer.shutdown().await;
        Err(reason)
    }
}

/// Receives the next notification; never completes without a subscription.
async fn receive_notification(
    notifications: &mut Option<broadcast::Receiver<Notification>>,
) -> Result<Notification, RecvError> {
    match notifications {
        Some(notifications) => notifications.recv().await,
        None => std::future::pending().await,
    }
}

async fn perform_operation(
    context: &ServerContext,
    id: SessionId,
    session: &Session,
    operation: &DatastoreOperation,
) -> Result<(), CommitError> {
    let commit_service = &context.commit_service;
    match operation.clone() {
        DatastoreOperation::Lock(target) => commit_service.lock(id, target).await,
        DatastoreOperation::Unlock(target) => commit_service.unlock(id, target).await,
        DatastoreOperation::Validate(candidate) => commit_service.validate(candidate).await,
        DatastoreOperation::Commit {
            candidate,
            confirmed_commit,
            persist_id,
        } => commit_service
            .commit(
                Some(id),
                candidate,
                session.author(),
                confirmed_commit,
                persist_id,
            )
            .await
            .map(|_| ()),
        DatastoreOperation::ConfirmCommit { persist_id } => {
            commit_service.confirm_commit(Some(id), persist_id).await
        }
        DatastoreOperation::CancelCommit { persist_id } => {
            commit_service.cancel_commit(Some(id), persist_id).await
        }
    }
}

/// A notification as data of the model, with its event time in Unix seconds; none if the model does not define it.
fn notification_data(
    context: &ServerContext,
    notification: &Notification,
    missed_notifications: u64,
) -> Option<(f64, kestreltide_yang::DataNode)> {
    let notification_node =
        |name: &str| -> Option<NodeId> { context.schema.notifications.get(name).copied() };
    Some(match notification {
        Notification::Committed(record) => (
            record.at,
            state::revision_committed_notification(
                context.schema,
                notification_node("revision-committed")?,
                record,
                missed_notifications,
            ),
        ),
        Notification::Rejected(rejection) => (
            rejection.at,
            state::candidate_rejected_notification(
                context.schema,
                notification_node("candidate-refused")?,
                rejection,
            ),
        ),
    })
}
