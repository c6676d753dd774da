//! Serves NETCONF over SSH: accepts connections, and holds what the sessions share. Whatever one client sends can only
//! cost that client its own session.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use kestreltide_datastore::commit_coordinator::SessionId;
use kestreltide_datastore::{Key, Rights};
use kestreltide_yang::Schema;
use kestreltide_yang::binding::Binding;
use russh::keys::PrivateKey;
use russh::{MethodKind, MethodSet};
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::time::{sleep, timeout};

use super::ssh_connection::SshConnection;
use crate::commit_service::CommitServiceHandle;
use crate::{Limits, ServeError};

/// Failed attempts to authenticate on one connection, at most.
const MAX_AUTH_ATTEMPTS: usize = 4;
/// Delay of the reply to a failed attempt to authenticate.
const AUTH_REJECTION_DELAY: Duration = Duration::from_millis(300);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What all sessions share.
pub struct ServerContext {
    /// The log.
    pub log: Logger,
    /// The commit service.
    pub commit_service: CommitServiceHandle,
    /// The limits of connections and sessions.
    pub limits: Limits,
    /// The published model.
    pub schema: &'static Schema,
    /// The binding of the model to the datastore.
    pub binding: Arc<Binding>,
    /// The sessions that are served, with the signal that ends each.
    sessions: Mutex<BTreeMap<SessionId, Arc<Notify>>>,
}

impl ServerContext {
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
        let schema = kestreltide_yang::published_schema()?;
        let binding = Arc::new(Binding::new(schema)?);
        Ok(ServerContext {
            log,
            commit_service,
            limits,
            schema,
            binding,
            sessions: Mutex::default(),
        })
    }

    /// Gives access to the sessions that are served.
    pub(super) fn with_sessions<T>(
        &self,
        access: impl FnOnce(&mut BTreeMap<SessionId, Arc<Notify>>) -> T,
    ) -> T {
        access(&mut self.sessions.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The current rights of a key; none if the file of keys does not have it any more.
    pub fn rights(&self, key: &Key) -> Option<Rights> {
        self.commit_service
            .keys
            .load()
            .rights(&key.name, &key.credential)
    }
}

fn ssh_config(host_key: PrivateKey, limits: &Limits) -> russh::server::Config {
    russh::server::Config {
        methods: MethodSet::from(&[MethodKind::PublicKey][..]),
        auth_rejection_time: AUTH_REJECTION_DELAY,
        auth_rejection_time_initial: Some(Duration::ZERO),
        max_auth_attempts: MAX_AUTH_ATTEMPTS,
        keys: vec![host_key],
        keepalive_interval: Some(limits.keepalive_interval),
        keepalive_max: limits.max_missed_keepalives,
        inactivity_timeout: None,
        nodelay: true,
        ..Default::default()
    }
}

/// Serves until the listener fails for good.
pub async fn serve(context: Arc<ServerContext>, listener: TcpListener, host_key: PrivateKey) {
    let config = Arc::new(ssh_config(host_key, &context.limits));
    let permits = Arc::new(Semaphore::new(context.limits.max_connections));
    loop {
        let (stream, client) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                // Most likely out of file descriptors: sessions go on, and accepting is retried.
                warn!(context.log, "NETCONF connection not accepted"; "error" => %e);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            drop(stream);
            continue;
        };
        let context = context.clone();
        let config = config.clone();
        tokio::spawn(async move {
            serve_connection(context.clone(), config, stream).await;
            drop(permit);
            debug!(context.log, "NETCONF connection closed"; "client" => %client);
        });
    }
}

/// Serves one connection to its end. The start of SSH has the login timeout, and the authentication after it has it again.
async fn serve_connection(
    context: Arc<ServerContext>,
    config: Arc<russh::server::Config>,
    stream: TcpStream,
) {
    let authenticated = Arc::new(AtomicBool::new(false));
    let login_timeout = context.limits.login_timeout;
    let handler = SshConnection::new(context, authenticated.clone());
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
