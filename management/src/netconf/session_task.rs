//! The task of one NETCONF session: exchanges its messages, and ends it.

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

use super::framing::{FrameDecoder, Framing, encode};
use super::server::ServerContext;
use super::session::{DatastoreOperation, Session, Step};
use crate::commit_service::Notification;
use crate::end_reason::EndReason;
use crate::state;

/// Bytes that are read from a channel at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Time between checks whether the key of a session is still valid.
const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Serves one session from its hello to its end.
pub(super) async fn serve_session(context: Arc<ServerContext>, key: Key, channel: Channel<Msg>) {
    let Some(id) = context.commit_service.open().await else {
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
    // Releases its locks, and rolls back the commit that only it could confirm.
    (context.commit_service.submit)(crate::CommitServiceRequest::CloseSession { session: id });
}

/// Exchanges messages over a channel until the session ends.
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
    let mut exchange = Exchange {
        context,
        id,
        key,
        session,
        decoder,
        writer,
        notifications: None,
        missed: 0,
    };
    match exchange.run(reader, kill_signal).await {
        Err(reason) => reason,
    }
}

/// The messages of one session over its channel.
struct Exchange<'a, W> {
    context: &'a ServerContext,
    id: SessionId,
    key: &'a Key,
    session: Session,
    decoder: FrameDecoder,
    writer: W,
    /// Notifications, once the client has subscribed to them.
    notifications: Option<broadcast::Receiver<Notification>>,
    /// Notifications that were lost since the last one that was sent.
    missed: u64,
}

impl<W: AsyncWrite + Unpin> Exchange<'_, W> {
    async fn run(
        &mut self,
        mut reader: impl AsyncRead + Unpin,
        kill_signal: &Notify,
    ) -> Result<Infallible, EndReason> {
        self.send(&encode(Framing::EndMark, &self.session.hello()))
            .await?;
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut key_check = interval(KEY_CHECK_INTERVAL);
        let begun = tokio::time::Instant::now();
        loop {
            tokio::select! {
                _ = kill_signal.notified() => return Err(EndReason::Killed),
                _ = key_check.tick() => self.check_key_and_hello(begun.elapsed())?,
                notification = next_notification(&mut self.notifications) => self.send_notification(notification).await?,
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

    /// Ends a session whose key was revoked, or whose hello is late.
    fn check_key_and_hello(&self, elapsed: Duration) -> Result<(), EndReason> {
        if self.context.rights(self.key).is_none() {
            return Err(EndReason::KeyRevoked);
        }
        let is_waiting_for_hello = !self.session.chunked()
            && self.decoder.framing() == Framing::EndMark
            && !self.session.hello_received();
        if is_waiting_for_hello && elapsed > self.context.limits.login_timeout {
            return Err(EndReason::HelloTimeout);
        }
        Ok(())
    }

    /// Sends a notification; those that were lost are counted and reported with the next one.
    async fn send_notification(
        &mut self,
        notification: Result<Notification, RecvError>,
    ) -> Result<(), EndReason> {
        let data = match notification {
            Ok(notification) => notification_data(
                self.context,
                &notification,
                std::mem::take(&mut self.missed),
            ),
            Err(RecvError::Lagged(count)) => {
                self.missed += count;
                return Ok(());
            }
            Err(RecvError::Closed) => return Err(EndReason::RouterStopping),
        };
        let Some((at, data)) = data else {
            return Ok(());
        };
        let text = encode(
            self.decoder.framing(),
            &self.session.notification(at, &data),
        );
        self.send(&text).await
    }

    /// Replies to all messages that are complete with these bytes.
    async fn handle_bytes(&mut self, bytes: &[u8]) -> Result<(), EndReason> {
        self.decoder.push(bytes);
        while let Some(message) = self
            .decoder
            .message()
            .map_err(|_| EndReason::InvalidFraming)?
        {
            self.handle_message(&message).await?;
        }
        Ok(())
    }

    async fn handle_message(&mut self, message: &[u8]) -> Result<(), EndReason> {
        let rights = self.context.rights(self.key).ok_or(EndReason::KeyRevoked)?;
        let step = self
            .session
            .message(message, rights, &self.context.commit_service);
        let (reply, end_reason) = match step {
            Step::Reply(reply) => (reply, None),
            Step::Close(reply) => (reply, Some(EndReason::Closed)),
            Step::Abort(reason) => return Err(EndReason::Aborted(reason)),
            Step::Subscribe(reply) => {
                self.notifications = Some(self.context.commit_service.notifications.subscribe());
                (reply, None)
            }
            Step::Kill(other, reply) => {
                let found = self
                    .context
                    .with_sessions(|sessions| sessions.get(&other).cloned());
                found.inspect(|kill_signal| kill_signal.notify_one());
                (reply, None)
            }
            Step::Perform(operation) => {
                let result = perform(self.context, self.id, &self.session, &operation).await;
                (self.session.complete(&operation, result), None)
            }
        };
        let text = if reply.is_empty() {
            vec![]
        } else {
            encode(self.decoder.framing(), &reply)
        };
        // After the hellos both sides use chunks if both support them (RFC 6242, section 4.1).
        if self.session.chunked() {
            self.decoder.use_chunks();
        }
        self.send(&text).await?;
        let Some(reason) = end_reason else {
            return Ok(());
        };
        let _ = self.writer.shutdown().await;
        Err(reason)
    }
}

/// The next notification; pending for ever without a subscription.
async fn next_notification(
    notifications: &mut Option<broadcast::Receiver<Notification>>,
) -> Result<Notification, RecvError> {
    match notifications {
        Some(notifications) => notifications.recv().await,
        None => std::future::pending().await,
    }
}

async fn perform(
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
            confirm,
            persist_id,
        } => commit_service
            .commit(Some(id), candidate, session.author(), confirm, persist_id)
            .await
            .map(|_| ()),
        DatastoreOperation::Confirm { persist_id } => {
            commit_service.confirm(Some(id), persist_id).await
        }
        DatastoreOperation::Cancel { persist_id } => {
            commit_service.cancel(Some(id), persist_id).await
        }
    }
}

/// A notification as data, with its time in Unix seconds; none if the model does not have it.
fn notification_data(
    context: &ServerContext,
    notification: &Notification,
    missed: u64,
) -> Option<(f64, kestreltide_yang::DataNode)> {
    let node = |name: &str| -> Option<NodeId> { context.schema.notifications.get(name).copied() };
    Some(match notification {
        Notification::Committed(record) => (
            record.at,
            state::revision_committed(context.schema, node("revision-committed")?, record, missed),
        ),
        Notification::Rejected(refusal) => (
            refusal.at,
            state::candidate_refused(context.schema, node("candidate-refused")?, refusal),
        ),
    })
}
