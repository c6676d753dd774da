//! A client of NETCONF over SSH (RFC 6241, RFC 6242), independent of the server's code.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use russh::client::{Handle, Handler, connect};
use russh::keys::{PrivateKeyWithHashAlg, PublicKeyOrCertificate};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use crate::{ManagementClient, TEST_TIMEOUT};

/// The delimiter of messages in end-of-message framing (RFC 6242, section 4.3), used until both hellos are exchanged.
const END_OF_MESSAGE: &[u8] = b"]]>]]>";
const BASE_NAMESPACE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";
/// How long [`NetconfSession::abandon`] waits for the runtime to close the connection.
const CLOSE_DELAY: Duration = Duration::from_millis(100);

/// Why a NETCONF session failed.
#[derive(Debug, Error)]
pub enum NetconfError {
    /// SSH failed.
    #[error("{0}")]
    Ssh(#[from] russh::Error),
    /// The server does not accept the client's key.
    #[error("not authenticated")]
    NotAuthenticated,
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Nothing was received within [`TEST_TIMEOUT`].
    #[error("no message was received in time")]
    Timeout,
    /// The server has closed the session.
    #[error("the session is closed")]
    Closed,
}

struct AcceptAnyServerKey;

impl Handler for AcceptAnyServerKey {
    type Error = russh::Error;

    async fn check_server_key(&mut self, _: &PublicKeyOrCertificate) -> Result<bool, Self::Error> {
        Ok(true)
    }
}

/// A NETCONF session over SSH.
pub struct NetconfSession {
    _ssh: Handle<AcceptAnyServerKey>,
    stream: russh::ChannelStream<russh::client::Msg>,
    /// Bytes that were received and not yet returned as a message.
    received: Vec<u8>,
    /// Whether messages are in chunked framing (RFC 6242, section 4.2).
    chunked: bool,
    /// The id of the last request.
    message_id: u32,
    /// The server's first message.
    pub hello: String,
    /// Notifications that were received before an awaited reply.
    pub notifications: Vec<String>,
}

/// A message and the bytes that it takes up with its framing.
struct Framed {
    message: String,
    length: usize,
}

impl NetconfSession {
    /// Opens a session and exchanges the first messages.
    ///
    /// # Errors
    ///
    /// The connection fails, or the server does not accept this client.
    pub async fn open(client: &ManagementClient, at: SocketAddr) -> Result<Self, NetconfError> {
        let mut ssh = connect(Arc::default(), at, AcceptAnyServerKey).await?;
        let key = PrivateKeyWithHashAlg::new(Arc::new(client.ssh_key.clone()), None);
        let authenticated = ssh.authenticate_publickey(&client.name, key).await?;
        if !authenticated.success() {
            return Err(NetconfError::NotAuthenticated);
        }
        let channel = ssh.channel_open_session().await?;
        channel.request_subsystem(true, "netconf").await?;
        let mut session = NetconfSession {
            _ssh: ssh,
            stream: channel.into_stream(),
            received: vec![],
            chunked: false,
            message_id: 0,
            hello: String::new(),
            notifications: vec![],
        };
        session.exchange_hello().await?;
        Ok(session)
    }

    async fn exchange_hello(&mut self) -> Result<(), NetconfError> {
        self.hello = self.message().await?;
        let hello = format!(
            "<hello xmlns=\"{BASE_NAMESPACE}\"><capabilities><capability>urn:ietf:params:netconf:base:1.1</capability></capabilities></hello>"
        );
        self.write(&[hello.as_bytes(), END_OF_MESSAGE].concat())
            .await?;
        self.chunked = true;
        Ok(())
    }

    /// Drops the session without a `close-session` request, and gives the runtime time to close the connection.
    pub async fn abandon(self) {
        drop(self);
        tokio::time::sleep(CLOSE_DELAY).await;
    }

    /// Writes bytes as they are, framing included.
    ///
    /// # Errors
    ///
    /// The connection is closed.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), NetconfError> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await?;
        Ok(())
    }

    /// Returns the next message of any kind.
    ///
    /// # Errors
    ///
    /// The session ends, or nothing is received in time.
    pub async fn message(&mut self) -> Result<String, NetconfError> {
        loop {
            if let Some(Framed { message, length }) = self.framed_message() {
                self.received.drain(..length);
                return Ok(message);
            }
            let mut buffer = [0; 8192];
            let read = timeout(TEST_TIMEOUT, self.stream.read(&mut buffer)).await;
            match read.map_err(|_| NetconfError::Timeout)?? {
                0 => return Err(NetconfError::Closed),
                count => self.received.extend_from_slice(&buffer[..count]),
            }
        }
    }

    /// The first message of the received bytes, if it is complete.
    fn framed_message(&self) -> Option<Framed> {
        if self.chunked {
            self.chunked_message()
        } else {
            self.unchunked_message()
        }
    }

    /// The first message in end-of-message framing.
    fn unchunked_message(&self) -> Option<Framed> {
        let end = self.find(END_OF_MESSAGE, 0)?;
        Some(Framed {
            message: String::from_utf8_lossy(&self.received[..end]).into(),
            length: end + END_OF_MESSAGE.len(),
        })
    }

    /// The first message in chunked framing: each chunk is `\n#LENGTH\n` and its bytes, and `\n##\n` ends the message.
    fn chunked_message(&self) -> Option<Framed> {
        let mut chunk_start = 0;
        let mut message = vec![];
        loop {
            let length_start = chunk_start + b"\n#".len();
            let length_end = self.find(b"\n", length_start)?;
            let data_start = length_end + 1;
            let length = String::from_utf8_lossy(self.received.get(length_start..length_end)?);
            if length == "#" {
                return Some(Framed {
                    message: String::from_utf8_lossy(&message).into(),
                    length: data_start,
                });
            }
            let length: usize = length.parse().ok()?;
            message.extend_from_slice(self.received.get(data_start..data_start + length)?);
            chunk_start = data_start + length;
        }
    }

    /// The position of a byte sequence among the received bytes, searched from position `from`.
    fn find(&self, sequence: &[u8], from: usize) -> Option<usize> {
        self.received
            .get(from..)?
            .windows(sequence.len())
            .position(|window| window == sequence)
            .map(|position| from + position)
    }

    /// Sends a request and returns its reply; notifications received before it are kept in
    /// [`NetconfSession::notifications`].
    ///
    /// # Errors
    ///
    /// The session ends, or nothing is received in time.
    pub async fn rpc(&mut self, operation: &str) -> Result<String, NetconfError> {
        self.message_id += 1;
        let id = format!("message-id=\"{}\"", self.message_id);
        let message = format!("<rpc xmlns=\"{BASE_NAMESPACE}\" {id}>{operation}</rpc>");
        self.write(format!("\n#{}\n{message}\n##\n", message.len()).as_bytes())
            .await?;
        loop {
            let message = self.message().await?;
            if message.starts_with("<notification") {
                self.notifications.push(message);
            } else {
                return Ok(message);
            }
        }
    }
}
