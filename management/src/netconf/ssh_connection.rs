//! The SSH connection of a NETCONF client: public-key authentication against the file of keys, and the subsystem
//! `netconf`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};

use kestreltide_datastore::{Credential, Key};
use russh::keys::PublicKey;
use russh::server::{
    Auth, ChannelOpenHandle, Handler, Msg, Session as SshSession, VerifiedPublicKey,
};
use russh::{Channel, ChannelId, ChannelOpenFailure};

use super::server::ServerContext;
use super::session_task::serve_session;

/// Maximum number of channels of one connection for which no subsystem has been requested.
const MAX_IDLE_CHANNELS: usize = 4;
/// The name of the SSH subsystem (RFC 6242, section 3).
const SUBSYSTEM: &str = "netconf";

/// The algorithm and the base64 text of a public key, as the file of keys lists them.
fn ssh_credential(key: &PublicKey) -> Option<Credential> {
    let text = key.to_openssh().ok()?;
    let mut words = text.split_whitespace();
    Some(Credential::Ssh(format!(
        "{} {}",
        words.next()?,
        words.next()?
    )))
}

/// The handler of one SSH connection.
pub(super) struct SshConnection {
    context: Arc<ServerContext>,
    /// Set once the client has authenticated.
    authenticated: Arc<AtomicBool>,
    /// The key that the client has authenticated with.
    key: Option<Key>,
    /// Open channels for which no subsystem has been requested.
    channels: BTreeMap<ChannelId, Channel<Msg>>,
}

impl SshConnection {
    /// Creates the handler of a new connection, which sets `authenticated` once the client has authenticated.
    pub(super) fn new(context: Arc<ServerContext>, authenticated: Arc<AtomicBool>) -> Self {
        SshConnection {
            context,
            authenticated,
            key: None,
            channels: BTreeMap::new(),
        }
    }
}

impl Handler for SshConnection {
    type Error = russh::Error;

    async fn auth_publickey(
        &mut self,
        user: &str,
        key: VerifiedPublicKey<'_>,
    ) -> Result<Auth, Self::Error> {
        let registered_key = ssh_credential(key.public_key).and_then(|credential| {
            self.context
                .commit_service
                .keys
                .load()
                .find(&credential)
                .cloned()
        });
        Ok(match registered_key.filter(|key| key.name == user) {
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
        _: &mut SshSession,
    ) -> Result<(), Self::Error> {
        // A client needs one channel. It may open a few more, and close them, without a subsystem.
        if self.channels.len() < MAX_IDLE_CHANNELS {
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
        session: &mut SshSession,
    ) -> Result<(), Self::Error> {
        let (Some(channel), Some(key)) = (self.channels.remove(&id), self.key.clone()) else {
            return session.channel_failure(id);
        };
        if name != SUBSYSTEM {
            return session.channel_failure(id);
        }
        session.channel_success(id)?;
        // The connection is closed when its session ends.
        let context = self.context.clone();
        let ssh = session.handle();
        tokio::spawn(async move {
            serve_session(context, key, channel).await;
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
