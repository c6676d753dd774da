//! Serves gNMI on a listener, with TLS, client certificates and limits.

use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex};

use kestreltide_yang::binding::Binding;
use slog::{Logger, warn};
use tokio::net::TcpListener;
use tonic::transport::{Certificate, Identity, Server, ServerTlsConfig};

use super::Service;
use super::connections::accept_connections;
use super::snapshot::follow_published;
use crate::commit_service::CommitServiceHandle;
use crate::proto::gnmi::g_nmi_server::GNmiServer;
use crate::{Limits, ServeError};

/// The certificates and the key of TLS, in PEM.
pub struct TlsCredentials {
    /// The certificate chain of the server.
    pub certificate: Vec<u8>,
    /// The private key of the server.
    pub key: Vec<u8>,
    /// The certificate that signs the certificates of clients.
    pub client_ca: Vec<u8>,
}

/// Serves until the listener fails for good.
///
/// # Errors
///
/// When the certificate cannot be used, and when the listener fails.
pub async fn serve(
    log: Logger,
    commit_service: CommitServiceHandle,
    limits: Limits,
    listener: TcpListener,
    tls: TlsCredentials,
) -> Result<(), ServeError> {
    let schema = kestreltide_yang::published_schema()?;
    let binding = Arc::new(Binding::new(schema)?);
    let snapshot = follow_published(schema, binding.clone(), commit_service.clone());
    let service = Service {
        log: log.clone(),
        commit_service,
        limits: limits.clone(),
        schema,
        binding,
        snapshot,
        masters: Mutex::default(),
        sessions: Mutex::default(),
        streams: Arc::default(),
        next_set: AtomicU32::new(1),
    };
    let service = GNmiServer::new(service).max_decoding_message_size(limits.max_message_bytes);
    let config = tls_config(tls, &limits);
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

/// TLS that requires client certificates and limits the time of a handshake.
fn tls_config(tls: TlsCredentials, limits: &Limits) -> ServerTlsConfig {
    let clients = Certificate::from_pem(tls.client_ca);
    let identity = Identity::from_pem(tls.certificate, tls.key);
    ServerTlsConfig::new()
        .identity(identity)
        .client_ca_root(clients)
        .timeout(limits.login_timeout)
}
