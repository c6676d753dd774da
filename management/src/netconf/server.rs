//! Carries NETCONF sessions over SSH: who comes in by a key of the file of keys asks for the subsystem `netconf`,
//! and each session is served by a task of its own. What one party sends costs only that party its session.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use kestreltide_datastore::commit_coordinator::{CommitError, SessionId};
use kestreltide_datastore::{Key, Proof, Rights};
use kestreltide_yang::binding::Binding;
use kestreltide_yang::{NodeId, Schema};
use russh::keys::{PrivateKey, PublicKey};
use russh::server::{Auth, ChannelOpenHandle, Handler, Msg, Session as Ssh, VerifiedPublicKey};
use russh::{Channel, ChannelId, ChannelOpenFailure, MethodKind, MethodSet};
use slog::{Logger, info, warn};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{Notify, Semaphore, broadcast};
use tokio::time::{interval, sleep, timeout};

use super::framing::{Frames, Framing, write};
use super::session::{DatastoreOperation, Session, Step};
use crate::commit_service::{CommitServiceHandle, Notification};
use crate::{Limits, ServeError, state};

/// All that sessions share.
pub struct Shared {
    /// The log of the front.
    pub log: Logger,
    /// The way to the commit service.
    pub commit_service: CommitServiceHandle,
    /// What sessions may hold.
    pub limits: Limits,
    /// The published model.
    pub schema: &'static Schema,
    /// The binding of the model to the datastore.
    pub binding: Arc<Binding>,
    /// Sessions that are served, and how each is told to end.
    sessions: Mutex<BTreeMap<SessionId, Arc<Notify>>>,
}

impl Shared {
    /// What sessions share, with the published model.
    ///
    /// # Errors
    ///
    /// When the published model is wrong, which is a defect.
    pub fn new(
        log: Logger,
        commit_service: CommitServiceHandle,
        limits: Limits,
    ) -> Result<Self, ServeError> {
        let schema = kestreltide_yang::published()?;
        let binding = Arc::new(Binding::new(schema)?);
        Ok(Shared {
            log,
            commit_service,
            limits,
            schema,
            binding,
            sessions: Mutex::default(),
        })
    }

    fn with_sessions<T>(&self, with: impl FnOnce(&mut BTreeMap<SessionId, Arc<Notify>>) -> T) -> T {
        with(&mut self.sessions.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The rights of a key as the file of keys has them now; none where it is no longer there.
    pub fn rights(&self, key: &Key) -> Option<Rights> {
        self.commit_service
            .keys
            .load()
            .rights(&key.name, &key.proof)
    }
}

/// The key's kind and text as the file of keys has them.
fn proof(key: &PublicKey) -> Option<Proof> {
    let text = key.to_openssh().ok()?;
    let mut words = text.split_whitespace();
    Some(Proof::Ssh(format!("{} {}", words.next()?, words.next()?)))
}

fn ssh_config(host_key: PrivateKey, limits: &Limits) -> russh::server::Config {
    russh::server::Config {
        methods: MethodSet::from(&[MethodKind::PublicKey][..]),
        auth_rejection_time: Duration::from_millis(300),
        auth_rejection_time_initial: Some(Duration::ZERO),
        max_auth_attempts: 4,
        keys: vec![host_key],
        keepalive_interval: Some(Duration::from_secs_f64(limits.keepalive_interval)),
        keepalive_max: limits.max_missed_keepalives,
        inactivity_timeout: None,
        nodelay: true,
        ..Default::default()
    }
}

/// Serves until the listener fails for good.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener, host_key: PrivateKey) {
    let config = Arc::new(ssh_config(host_key, &shared.limits));
    let permits = Arc::new(Semaphore::new(shared.limits.max_connections));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                // Out of descriptors, most likely: others' sessions go on, and it is tried again.
                warn!(shared.log, "a NETCONF client cannot be accepted"; "error" => %e);
                sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            drop(stream);
            continue;
        };
        let (shared, config) = (shared.clone(), config.clone());
        tokio::spawn(async move {
            serve_connection(shared.clone(), config, stream).await;
            drop(permit);
            slog::debug!(shared.log, "a NETCONF connection ended"; "from" => %from);
        });
    }
}

/// One connection to its end. The exchange of versions and keys, then proving who one is: one time for all of it.
async fn serve_connection(
    shared: Arc<Shared>,
    config: Arc<russh::server::Config>,
    stream: TcpStream,
) {
    let authenticated = Arc::new(AtomicBool::new(false));
    let login_timeout = Duration::from_secs_f64(shared.limits.login_timeout);
    let handler = Connection {
        shared,
        authenticated: authenticated.clone(),
        key: None,
        channels: BTreeMap::new(),
    };
    let connection = timeout(
        login_timeout,
        russh::server::run_stream(config, stream, handler),
    )
    .await;
    let Ok(Ok(connection)) = connection else {
        return;
    };
    tokio::pin!(connection);
    tokio::select! {
        _ = &mut connection => return,
        _ = sleep(login_timeout) => {}
    }
    if authenticated.load(Relaxed) {
        let _ = connection.await;
    }
}

struct Connection {
    shared: Arc<Shared>,
    authenticated: Arc<AtomicBool>,
    key: Option<Key>,
    /// Opened, and not asked for anything yet.
    channels: BTreeMap<ChannelId, Channel<Msg>>,
}

impl Handler for Connection {
    type Error = russh::Error;

    async fn auth_publickey(
        &mut self,
        user: &str,
        key: VerifiedPublicKey<'_>,
    ) -> Result<Auth, Self::Error> {
        let known = proof(key.public_key)
            .and_then(|proof| self.shared.commit_service.keys.load().find(&proof).cloned());
        Ok(match known.filter(|key| key.name == user) {
            Some(key) => {
                self.authenticated.store(true, Relaxed);
                self.key = Some(key);
                Auth::Accept
            }
            None => Auth::reject(),
        })
    }

    async fn channel_open_session(
        &mut self,
        channel: Channel<Msg>,
        reply: ChannelOpenHandle,
        _: &mut Ssh,
    ) -> Result<(), Self::Error> {
        // One session a connection is what there is use for; a few may be opened and closed.
        if self.channels.len() < 4 {
            self.channels.insert(channel.id(), channel);
            reply.accept().await;
        } else {
            reply.reject(ChannelOpenFailure::ResourceShortage).await;
        }
        Ok(())
    }

    async fn subsystem_request(
        &mut self,
        id: ChannelId,
        name: &str,
        session: &mut Ssh,
    ) -> Result<(), Self::Error> {
        let (Some(channel), Some(key)) = (self.channels.remove(&id), self.key.clone()) else {
            return session.channel_failure(id);
        };
        if name != "netconf" {
            return session.channel_failure(id);
        }
        session.channel_success(id)?;
        // One session a connection: with the one the other ends.
        let (shared, ssh) = (self.shared.clone(), session.handle());
        tokio::spawn(async move {
            serve_session(shared, key, channel).await;
            let _ = ssh
                .disconnect(
                    russh::Disconnect::ByApplication,
                    "the session is over".into(),
                    "en".into(),
                )
                .await;
        });
        Ok(())
    }
}

/// One session from its hello to its end, whatever ends it.
async fn serve_session(shared: Arc<Shared>, key: Key, channel: Channel<Msg>) {
    let Some(id) = shared.commit_service.open().await else {
        return;
    };
    let kill_signal = Arc::new(Notify::new());
    let is_admitted = shared.with_sessions(|sessions| {
        let is_admitted = sessions.len() < shared.limits.max_sessions;
        if is_admitted {
            sessions.insert(id, kill_signal.clone());
        }
        is_admitted
    });
    if is_admitted {
        info!(shared.log, "a NETCONF session began"; "session" => id.0, "key" => &key.name);
        let why = exchange_messages(&shared, id, &key, channel, &kill_signal).await;
        info!(shared.log, "a NETCONF session ended"; "session" => id.0, "key" => &key.name, "why" => why);
    } else {
        warn!(shared.log, "no room for one more NETCONF session"; "key" => &key.name);
    }
    shared.with_sessions(|sessions| sessions.remove(&id));
    // Its locks are let go, and what only it could confirm is undone.
    (shared.commit_service.submit)(crate::CommitServiceRequest::Ended { session: id });
}

/// Exchanges messages over a channel until something ends the session; says what.
async fn exchange_messages(
    shared: &Shared,
    id: SessionId,
    key: &Key,
    channel: Channel<Msg>,
    kill_signal: &Notify,
) -> &'static str {
    let (reading, writing) = tokio::io::split(channel.into_stream());
    let session = Session::new(id, &key.name, shared.schema, shared.binding.clone());
    let frames = Frames::new(shared.limits.max_message_bytes);
    let mut exchange = Exchange {
        shared,
        id,
        key,
        session,
        frames,
        writing,
        notifications: None,
        missed: 0,
    };
    match exchange.run(reading, kill_signal).await {
        Err(why) => why,
    }
}

/// One session and its channel.
struct Exchange<'a, W> {
    shared: &'a Shared,
    id: SessionId,
    key: &'a Key,
    session: Session,
    frames: Frames,
    writing: W,
    /// Commits and refusals, once the client has subscribed to them.
    notifications: Option<broadcast::Receiver<Notification>>,
    /// Notifications that were lost since the last that was sent.
    missed: u64,
}

/// That a session is over, and why.
type EndReason = &'static str;

const WENT_AWAY: EndReason = "it went away";
const KEY_GONE: EndReason = "its key is no longer in the file of keys";

impl<W: AsyncWrite + Unpin> Exchange<'_, W> {
    async fn run(
        &mut self,
        mut reading: impl AsyncRead + Unpin,
        kill_signal: &Notify,
    ) -> Result<Infallible, EndReason> {
        self.send(&write(Framing::EndMark, &self.session.hello()))
            .await?;
        let mut buffer = vec![0; 16 * 1024];
        let mut key_check = interval(Duration::from_secs(1));
        let begun = tokio::time::Instant::now();
        loop {
            tokio::select! {
                _ = kill_signal.notified() => return Err("it was killed"),
                _ = key_check.tick() => self.check_key_and_hello(begun.elapsed())?,
                notification = next_notification(&mut self.notifications) => self.send_notification(notification).await?,
                read = reading.read(&mut buffer) => match read {
                    Ok(0) | Err(_) => return Err(WENT_AWAY),
                    Ok(count) => self.handle_bytes(&buffer[..count]).await?,
                },
            }
        }
    }

    async fn send(&mut self, bytes: &[u8]) -> Result<(), EndReason> {
        self.writing.write_all(bytes).await.map_err(|_| WENT_AWAY)?;
        self.writing.flush().await.map_err(|_| WENT_AWAY)
    }

    /// Keys may go at any time; a hello has to come in its time.
    fn check_key_and_hello(&self, elapsed: Duration) -> Result<(), EndReason> {
        if self.shared.rights(self.key).is_none() {
            return Err(KEY_GONE);
        }
        let is_waiting_for_hello = !self.session.chunked()
            && self.frames.framing() == Framing::EndMark
            && !self.session.hello_received();
        if is_waiting_for_hello && elapsed.as_secs_f64() > self.shared.limits.login_timeout {
            return Err("it did not say hello");
        }
        Ok(())
    }

    /// Sends a notification of what happened; what was lost before it is counted and told with the next.
    async fn send_notification(
        &mut self,
        notification: Result<Notification, RecvError>,
    ) -> Result<(), EndReason> {
        let data = match notification {
            Ok(notification) => {
                notification_data(self.shared, &notification, std::mem::take(&mut self.missed))
            }
            Err(RecvError::Lagged(count)) => {
                self.missed += count;
                return Ok(());
            }
            Err(RecvError::Closed) => return Err("the router stops"),
        };
        let Some((at, data)) = data else {
            return Ok(());
        };
        let text = write(self.frames.framing(), &self.session.notification(at, &data));
        self.send(&text).await
    }

    /// Answers all messages that are whole with these bytes.
    async fn handle_bytes(&mut self, bytes: &[u8]) -> Result<(), EndReason> {
        self.frames.push(bytes);
        while let Some(message) = self
            .frames
            .message()
            .map_err(|_| "its messages cannot be read")?
        {
            self.handle_message(&message).await?;
        }
        Ok(())
    }

    async fn handle_message(&mut self, message: &[u8]) -> Result<(), EndReason> {
        let rights = self.shared.rights(self.key).ok_or(KEY_GONE)?;
        let step = self
            .session
            .message(message, rights, &self.shared.commit_service);
        let (reply, end_reason) = match step {
            Step::Reply(reply) => (reply, None),
            Step::Close(reply) => (reply, Some("it closed")),
            Step::Abort(why) => return Err(why),
            Step::Subscribe(reply) => {
                self.notifications = Some(self.shared.commit_service.notifications.subscribe());
                (reply, None)
            }
            Step::Kill(other, reply) => {
                let found = self
                    .shared
                    .with_sessions(|sessions| sessions.get(&other).cloned());
                found.inspect(|kill_signal| kill_signal.notify_one());
                (reply, None)
            }
            Step::Perform(operation) => {
                let result = perform(self.shared, self.id, &self.session, &operation).await;
                (self.session.complete(&operation, result), None)
            }
        };
        let text = if reply.is_empty() {
            vec![]
        } else {
            write(self.frames.framing(), &reply)
        };
        // From the message after the hello both sides speak in chunks, if both can.
        if self.session.chunked() {
            self.frames.use_chunks();
        }
        self.send(&text).await?;
        let Some(why) = end_reason else { return Ok(()) };
        let _ = self.writing.shutdown().await;
        Err(why)
    }
}

/// The next of what happened; never comes where nobody has subscribed.
async fn next_notification(
    notifications: &mut Option<broadcast::Receiver<Notification>>,
) -> Result<Notification, RecvError> {
    match notifications {
        Some(notifications) => notifications.recv().await,
        None => std::future::pending().await,
    }
}

async fn perform(
    shared: &Shared,
    id: SessionId,
    session: &Session,
    operation: &DatastoreOperation,
) -> Result<(), CommitError> {
    let commit_service = &shared.commit_service;
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

/// What happened, as a notification and when; none where the model has no such.
fn notification_data(
    shared: &Shared,
    notification: &Notification,
    missed: u64,
) -> Option<(f64, kestreltide_yang::DataNode)> {
    let node = |name: &str| -> Option<NodeId> { shared.schema.notifications.get(name).copied() };
    Some(match notification {
        Notification::Committed(record) => (
            record.at,
            state::revision_committed(shared.schema, node("revision-committed")?, record, missed),
        ),
        Notification::Rejected(refusal) => (
            refusal.at,
            state::candidate_refused(shared.schema, node("candidate-refused")?, refusal),
        ),
    })
}

/// Unix seconds.
pub fn now() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64())
}
