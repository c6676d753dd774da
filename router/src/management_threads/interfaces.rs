//! The thread that serves the management interfaces, NETCONF over SSH and gNMI over TLS.
//!
//! The listening sockets are opened once, before the thread starts, and a thread that is restarted after a panic
//! continues with the same sockets.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use kestreltide_datastore::Keys;
use kestreltide_management::keys::{PrivateKey, decode_secret_key};
use kestreltide_management::netconf::server::{ServerContext, serve as serve_netconf};
use kestreltide_management::{CommitServiceHandle, Limits, gnmi};
use slog::{Logger, error, info};

use super::error::StartError;
use super::keys_file::KeysFile;
use super::settings::{GnmiSettings, ManagementSettings, NetconfSettings};
use super::supervise::supervise;
use crate::routing::Heartbeat;
use crate::transport::Clock;

/// Interval between two heartbeats of the thread.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The opened interfaces. They are opened before the router serves, so that errors end the start.
pub(super) struct ManagementInterfaces {
    keys_file: KeysFile,
    listeners: Listeners,
}

/// The listening sockets that the thread serves.
struct Listeners {
    netconf: Option<NetconfListener>,
    gnmi: Option<GnmiListener>,
}

struct NetconfListener {
    listener: TcpListener,
    host_key: PrivateKey,
}

struct GnmiListener {
    listener: TcpListener,
    /// In PEM format, like `key` and `client_ca`.
    certificate: Vec<u8>,
    key: Vec<u8>,
    client_ca: Vec<u8>,
}

impl ManagementInterfaces {
    /// Reads the files that the interfaces need, and listens on their addresses.
    ///
    /// # Errors
    ///
    /// If a file cannot be read or is invalid, or an address cannot be listened on.
    pub(super) fn open(log: &Logger, settings: &ManagementSettings) -> Result<Self, StartError> {
        let keys_file = KeysFile::load(&settings.keys)?;
        let netconf = settings.netconf.as_ref().map(NetconfListener::open);
        let netconf = netconf.transpose()?;
        if let Some(netconf) = &netconf {
            info!(log, "NETCONF interface opened"; "at" => local_address(&netconf.listener));
        }
        let gnmi = settings.gnmi.as_ref().map(GnmiListener::open).transpose()?;
        if let Some(gnmi) = &gnmi {
            info!(log, "gNMI interface opened"; "at" => local_address(&gnmi.listener));
        }
        keys_file.log_loaded(log);
        Ok(ManagementInterfaces {
            keys_file,
            listeners: Listeners { netconf, gnmi },
        })
    }

    /// The keys in force, replaced when the file of keys changes.
    pub(super) fn keys(&self) -> Arc<ArcSwap<Keys>> {
        self.keys_file.keys()
    }

    /// Starts the thread that serves the interfaces and the thread that watches the file of keys.
    ///
    /// # Errors
    ///
    /// If a thread cannot be created.
    pub(super) fn start(
        self,
        log: &Logger,
        clock: Clock,
        commit_service: CommitServiceHandle,
        heartbeat: Heartbeat,
    ) -> io::Result<()> {
        self.keys_file.watch(log)?;
        let listeners = self.listeners;
        let thread_log = log.clone();
        supervise(log.clone(), "management", move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            match runtime {
                Ok(runtime) => {
                    runtime.block_on(serve(
                        &thread_log,
                        clock,
                        &commit_service,
                        &heartbeat,
                        &listeners,
                    ));
                }
                Err(error) => {
                    error!(thread_log, "management interfaces cannot be started"; "error" => %error);
                }
            }
        })?;
        Ok(())
    }
}

impl NetconfListener {
    fn open(settings: &NetconfSettings) -> Result<Self, StartError> {
        let path = &settings.host_key;
        let text = read_file(path, "ssh-host-key")?;
        let host_key =
            decode_secret_key(&String::from_utf8_lossy(&text), None).map_err(|source| {
                StartError::HostKey {
                    path: path.clone(),
                    source,
                }
            })?;
        Ok(NetconfListener {
            listener: listen(settings.listen, "netconf")?,
            host_key,
        })
    }

    fn spawn(&self, log: &Logger, commit_service: &CommitServiceHandle, limits: &Limits) {
        let listener = match async_listener(&self.listener) {
            Ok(listener) => listener,
            Err(error) => return error!(log, "NETCONF server failed"; "error" => %error),
        };
        match ServerContext::new(log.clone(), commit_service.clone(), limits.clone()) {
            Ok(context) => {
                tokio::spawn(serve_netconf(
                    Arc::new(context),
                    listener,
                    self.host_key.clone(),
                ));
            }
            Err(error) => error!(log, "NETCONF server failed"; "error" => %error),
        }
    }
}

impl GnmiListener {
    fn open(settings: &GnmiSettings) -> Result<Self, StartError> {
        let certificate = read_file(&settings.certificate, "certificate")?;
        let key = read_file(&settings.key, "key")?;
        let client_ca = read_file(&settings.client_ca, "client-ca")?;
        Ok(GnmiListener {
            listener: listen(settings.listen, "gnmi")?,
            certificate,
            key,
            client_ca,
        })
    }

    fn spawn(&self, log: &Logger, commit_service: &CommitServiceHandle, limits: Limits) {
        let listener = match async_listener(&self.listener) {
            Ok(listener) => listener,
            Err(error) => return error!(log, "gNMI server failed"; "error" => %error),
        };
        let tls = gnmi::TlsCredentials {
            certificate: self.certificate.clone(),
            key: self.key.clone(),
            client_ca: self.client_ca.clone(),
        };
        let log = log.clone();
        let commit_service = commit_service.clone();
        tokio::spawn(async move {
            let served = gnmi::serve(log.clone(), commit_service, limits, listener, tls).await;
            if let Err(error) = served {
                error!(log, "gNMI server failed"; "error" => %error);
            }
        });
    }
}

/// Serves both interfaces and records heartbeats. Does not return: the thread ends with the process.
async fn serve(
    log: &Logger,
    clock: Clock,
    commit_service: &CommitServiceHandle,
    heartbeat: &Heartbeat,
    listeners: &Listeners,
) {
    let limits = Limits::default();
    if let Some(netconf) = &listeners.netconf {
        netconf.spawn(log, commit_service, &limits);
    }
    if let Some(gnmi) = &listeners.gnmi {
        gnmi.spawn(log, commit_service, limits);
    }
    loop {
        heartbeat.record(clock.now());
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

fn listen(address: SocketAddr, option: &'static str) -> Result<TcpListener, StartError> {
    let listen_nonblocking = || {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    listen_nonblocking().map_err(|source| StartError::Listen {
        option,
        address,
        source,
    })
}

fn read_file(path: &Path, option: &'static str) -> Result<Vec<u8>, StartError> {
    fs::read(path).map_err(|source| StartError::ReadFile {
        option,
        path: path.to_owned(),
        source,
    })
}

fn local_address(listener: &TcpListener) -> String {
    listener
        .local_addr()
        .map_or(String::new(), |address| address.to_string())
}

/// A duplicate of the listener, registered with the thread's tokio runtime.
fn async_listener(listener: &TcpListener) -> io::Result<tokio::net::TcpListener> {
    listener
        .try_clone()
        .and_then(tokio::net::TcpListener::from_std)
}
