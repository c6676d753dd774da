//! The NETCONF server over SSH: accepts connections and holds the data that all sessions use. Invalid input of a client
//! ends at most the connection of that client.

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

/// Maximum number of failed authentication attempts on one connection.
const MAX_AUTH_ATTEMPTS: usize = 4;
/// Delay of the reply to a failed authentication attempt; the initial `none` request is rejected without delay.
const AUTH_REJECTION_DELAY: Duration = Duration::from_millis(300);
/// Delay before the next `accept` after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The data that all connections and sessions use.
pub struct ServerContext {
    /// The logger of the server.
    pub log: Logger,
    /// The access to the commit service.
    pub commit_service: CommitServiceHandle,
    /// The limits of connections and sessions.
    pub limits: Limits,
    /// The schema of the published YANG modules.
    pub schema: &'static Schema,
    /// The binding of the YANG model to the datastore.
    pub binding: Arc<Binding>,
    /// The open sessions, each with the signal that kills it.
    sessions: Mutex<BTreeMap<SessionId, Arc<Notify>>>,
}

impl ServerContext {
    /// Creates the context of a server with the published YANG modules.
    ///
    /// # Errors
    ///
    /// When the published YANG modules are invalid or do not match the datastore, which is a defect of the software.
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

    /// Runs `access` on the map of open sessions while it is locked.
    pub(super) fn with_sessions<T>(
        &self,
        access: impl FnOnce(&mut BTreeMap<SessionId, Arc<Notify>>) -> T,
    ) -> T {
        access(&mut self.sessions.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The current rights of a key; none if the key was removed from the file of keys.
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

/// Accepts and serves connections until the runtime stops; a failed `accept` is retried.
pub async fn serve(context: Arc<ServerContext>, listener: TcpListener, host_key: PrivateKey) {
    let config = Arc::new(ssh_config(host_key, &context.limits));
    let permits = Arc::new(Semaphore::new(context.limits.max_connections));
    loop {
        let (stream, client) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                // Most likely the process has no file descriptors left. Open sessions continue, and `accept` is
                // retried.
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

/// Serves one connection until it closes. The SSH version exchange may take the login timeout, and the key exchange and
/// authentication after it the same time again; a connection that misses either limit is closed.
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
