//! The management fronts' thread: listeners that outlive a death of it, keys that are replaced while it serves.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;

use arc_swap::ArcSwap;
use kestreltide_datastore::Keys;
use kestreltide_file_watch::parse::{Parsed, parse_keys};
use kestreltide_file_watch::watch::{WatchEvent, WatchSettings, poll_files, wake_channel};
use kestreltide_management::netconf::server::{Shared, serve as serve_netconf};
use kestreltide_management::{CommitServiceHandle, Limits, gnmi, keys as russh_key};
use slog::{Logger, error, info, warn};

use super::settings::ManagementSettings;
use super::supervise;
use crate::routing::Heartbeat;
use crate::transport::Clock;

/// What was opened and read at start, so that a fault is told there.
pub struct OpenedListeners {
    netconf: Option<(TcpListener, russh_key::PrivateKey)>,
    gnmi: Option<(TcpListener, Files)>,
    pub keys: Arc<ArcSwap<Keys>>,
    watched: WatchSettings,
    digest: u64,
}

#[derive(Clone)]
struct Files {
    certificate: Vec<u8>,
    key: Vec<u8>,
    clients: Vec<u8>,
}

fn listen(at: SocketAddr, what: &str) -> Result<TcpListener, String> {
    let failed =
        |e: std::io::Error| format!("[management] {what}: {at} cannot be listened on: {e}");
    let listener = TcpListener::bind(at).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    Ok(listener)
}

fn read(path: &Path, what: &str) -> Result<Vec<u8>, String> {
    fs::read(path).map_err(|e| {
        format!(
            "[management] {what}: {} cannot be read: {e}",
            path.display()
        )
    })
}

fn place(watched: &WatchSettings) -> String {
    watched
        .files
        .first()
        .map_or(String::new(), |path| path.display().to_string())
}

impl OpenedListeners {
    pub fn open(log: &Logger, terms: &ManagementSettings) -> Result<Self, String> {
        let at = place(&terms.keys);
        let (parse_files, digest) = poll_files(&terms.keys, |contents| {
            contents
                .first()
                .map_or(Parsed::Incomplete(Default::default()), |content| {
                    parse_keys(&at, content)
                })
        });
        let found = match parse_files {
            Parsed::Complete(keys) => keys,
            Parsed::Mismatched(errors) | Parsed::Incomplete(errors) | Parsed::Invalid(errors) => {
                return Err(errors.to_string());
            }
        };
        let netconf = match &terms.netconf {
            None => None,
            Some(of) => {
                let key =
                    String::from_utf8_lossy(&read(&of.host_key, "ssh-host-key")?).into_owned();
                let key = russh_key::decode_secret_key(&key, None).map_err(|e| {
                    format!(
                        "[management] ssh-host-key: {} is no private key: {e}",
                        of.host_key.display()
                    )
                })?;
                let listener = listen(of.listen, "netconf")?;
                info!(log, "NETCONF is listened for"; "at" => listener.local_addr().map_or(String::new(), |at| at.to_string()));
                Some((listener, key))
            }
        };
        let gnmi = match &terms.gnmi {
            None => None,
            Some(of) => {
                let files = Files {
                    certificate: read(&of.certificate, "certificate")?,
                    key: read(&of.key, "key")?,
                    clients: read(&of.client_ca, "client-ca")?,
                };
                let listener = listen(of.listen, "gnmi")?;
                info!(log, "gNMI is listened for"; "at" => listener.local_addr().map_or(String::new(), |at| at.to_string()));
                Some((listener, files))
            }
        };
        info!(log, "keys are taken"; "generation" => &found.generation, "keys" => found.keys.len());
        let keys = Arc::new(ArcSwap::from_pointee(found));
        Ok(OpenedListeners {
            netconf,
            gnmi,
            keys,
            watched: terms.keys.clone(),
            digest,
        })
    }

    /// Starts the threads of the fronts and of their file of keys.
    pub fn start(
        self,
        log: &Logger,
        clock: Clock,
        desk: CommitServiceHandle,
        heartbeat: Heartbeat,
    ) -> std::io::Result<()> {
        let OpenedListeners {
            netconf,
            gnmi,
            keys: found,
            watched,
            digest,
        } = self;
        let wake = wake_channel();
        let (of_log, of_keys) = (log.clone(), log.clone());
        let mut known = Some(digest);
        supervise(log.clone(), "keys", move || {
            let at = place(&watched);
            let says = |contents: &[kestreltide_file_watch::Content]| match contents.first() {
                Some(content) => parse_keys(&at, content),
                None => Parsed::Incomplete(Default::default()),
            };
            let tell = |told: WatchEvent<Keys>| {
                match told {
                    WatchEvent::Version(keys) => {
                        // In this order: who reads the line finds them in force.
                        let (generation, count) = (keys.generation.clone(), keys.keys.len());
                        found.store(Arc::new(keys));
                        info!(of_keys, "keys are taken"; "generation" => generation, "keys" => count);
                    }
                    WatchEvent::Rejected(errors) | WatchEvent::Pending(errors) => {
                        let why = errors
                            .first
                            .first()
                            .map(ToString::to_string)
                            .unwrap_or_default();
                        warn!(of_keys, "the file of keys is refused, the keys stay as they are"; "why" => why);
                    }
                }
                true
            };
            kestreltide_file_watch::run(&watched, known.take(), &wake, || (), says, tell);
        })?;
        supervise(log.clone(), "management", move || {
            let runtime = match tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
            {
                Ok(runtime) => runtime,
                Err(e) => {
                    return error!(of_log, "the management fronts cannot be started"; "error" => %e);
                }
            };
            runtime.block_on(run(&of_log, clock, &desk, &heartbeat, &netconf, &gnmi));
        })?;
        Ok(())
    }
}

async fn run(
    log: &Logger,
    clock: Clock,
    desk: &CommitServiceHandle,
    heartbeat: &Heartbeat,
    netconf: &Option<(TcpListener, russh_key::PrivateKey)>,
    gnmi: &Option<(TcpListener, Files)>,
) {
    let limits = Limits::default();
    // The listeners are the program's: a thread that is started again goes on with the same.
    let again = |listener: &TcpListener| {
        listener
            .try_clone()
            .and_then(tokio::net::TcpListener::from_std)
    };
    if let Some((listener, key)) = netconf {
        match (
            again(listener),
            Shared::new(log.clone(), desk.clone(), limits.clone()),
        ) {
            (Ok(listener), Ok(shared)) => {
                tokio::spawn(serve_netconf(Arc::new(shared), listener, key.clone()));
            }
            (Err(e), _) => error!(log, "NETCONF cannot be served"; "error" => %e),
            (_, Err(why)) => error!(log, "NETCONF cannot be served"; "error" => %why),
        }
    }
    if let Some((listener, files)) = gnmi {
        match again(listener) {
            Ok(listener) => {
                let Files {
                    certificate,
                    key,
                    clients,
                } = files.clone();
                let tls = gnmi::Tls {
                    certificate,
                    key,
                    clients,
                };
                let (log, desk) = (log.clone(), desk.clone());
                tokio::spawn(async move {
                    if let Err(why) = gnmi::serve(log.clone(), desk, limits, listener, tls).await {
                        error!(log, "gNMI cannot be served"; "error" => %why);
                    }
                });
            }
            Err(e) => error!(log, "gNMI cannot be served"; "error" => %e),
        }
    }
    loop {
        heartbeat.record(clock.now());
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    }
}
