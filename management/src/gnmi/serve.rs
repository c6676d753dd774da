//! The gNMI server: serves a listener with TLS, client certificates and limits.

use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex};

use kestreltide_yang::binding::Binding;
use slog::{Logger, warn};
use tokio::net::TcpListener;
use tonic::transport::{Certificate, Identity, Server, ServerTlsConfig};

use super::GnmiService;
use super::connections::accept_connections;
use super::snapshot::watch_snapshots;
use crate::commit_service::CommitServiceHandle;
use crate::proto::gnmi::g_nmi_server::GNmiServer;
use crate::{Limits, ServeError};

/// The certificates and the private key of the TLS server, in PEM.
pub struct TlsCredentials {
    /// The certificate chain of the server.
    pub certificate: Vec<u8>,
    /// The private key of the server.
    pub key: Vec<u8>,
    /// The CA certificate that signs the client certificates.
    pub client_ca: Vec<u8>,
}

/// Serves the listener until the server fails; a failed `accept` is retried.
///
/// # Errors
///
/// When the published YANG modules are invalid, when the certificate or the key cannot be used, and when the server
/// fails.
pub async fn serve(
    log: Logger,
    commit_service: CommitServiceHandle,
    limits: Limits,
    listener: TcpListener,
    credentials: TlsCredentials,
) -> Result<(), ServeError> {
    let schema = kestreltide_yang::published_schema()?;
    let binding = Arc::new(Binding::new(schema)?);
    let snapshot = watch_snapshots(schema, binding.clone(), commit_service.clone());
    let service = GnmiService {
        log: log.clone(),
        commit_service,
        limits: limits.clone(),
        schema,
        binding,
        snapshot,
        highest_election_ids: Mutex::default(),
        commit_sessions: Mutex::default(),
        open_streams: Arc::default(),
        next_set_number: AtomicU32::new(1),
    };
    let service = GNmiServer::new(service).max_decoding_message_size(limits.max_message_bytes);
    let config = server_tls_config(credentials, &limits);
    let server = Server::builder()
        .tls_config(config)
        .map_err(ServeError::Certificate)?;
    let keepalive_interval = limits.keepalive_interval;
    let mut server = server
        .max_concurrent_streams(limits.max_streams)
        .concurrency_limit_per_connection(limits.max_streams as usize)
        .http2_keepalive_interval(Some(keepalive_interval))
        .http2_keepalive_timeout(Some(
            keepalive_interval * limits.max_missed_keepalives as u32,
        ))
        .http2_max_pending_accept_reset_streams(Some(limits.max_streams as usize))
        .tcp_nodelay(true);
    server
        .add_service(service)
        .serve_with_incoming(accept_connections(listener, limits.max_connections))
        .await
        .map_err(|e| {
            warn!(log, "gNMI server stopped"; "error" => %e);
            ServeError::Transport(e)
        })
}

/// The TLS configuration, which requires client certificates and limits the time of a handshake.
fn server_tls_config(credentials: TlsCredentials, limits: &Limits) -> ServerTlsConfig {
    let clients = Certificate::from_pem(credentials.client_ca);
    let identity = Identity::from_pem(credentials.certificate, credentials.key);
    ServerTlsConfig::new()
        .identity(identity)
        .client_ca_root(clients)
        .timeout(limits.login_timeout)
}
