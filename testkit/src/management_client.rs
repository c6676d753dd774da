//! Engineers: a folder with what management needs (host key, certificates, a file of keys), and clients of NETCONF
//! and gNMI that know nothing of the server's code.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use russh::client::{Handle, Handler, connect};
use russh::keys::{Algorithm, PrivateKey, PrivateKeyWithHashAlg, PublicKeyOrCertificate};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Identity};

use crate::TEST_TIMEOUT;

/// The gNMI service as its clients see it.
pub mod proto {
    #![allow(missing_docs, clippy::all)]
    pub mod gnmi {
        tonic::include_proto!("gnmi");
    }
    pub mod gnmi_ext {
        tonic::include_proto!("gnmi_ext");
    }
}

use proto::gnmi::g_nmi_client::GNmiClient;

/// Somebody with a key and a certificate of their own.
pub struct ManagementClient {
    pub name: String,
    ssh: PrivateKey,
    certificate: String,
    key: String,
    hash: String,
    rights: String,
}

/// What a router and its clients need to know each other.
pub struct TestCredentials {
    pub folder: TempDir,
    ca: String,
    pub clients: Vec<ManagementClient>,
}

fn key() -> PrivateKey {
    PrivateKey::random(&mut russh::keys::key::safe_rng(), Algorithm::Ed25519).expect("a key")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl TestCredentials {
    /// Engineers by name, each with rights.
    pub fn new(clients: &[(&str, &str)]) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let ca_key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(vec![]).expect("well");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let ca = params.self_signed(&ca_key).expect("signed");
        let issuer = Issuer::new(params, ca_key);
        let signed = |name: &str| {
            let key = KeyPair::generate().expect("a key");
            let params = CertificateParams::new(vec![name.to_owned()]).expect("well");
            let certificate = params.signed_by(&key, &issuer).expect("signed");
            (certificate, key.serialize_pem())
        };
        let (server, server_key) = signed("localhost");
        let write =
            |name: &str, text: &str| fs::write(folder.path().join(name), text).expect("written");
        write("ca.pem", &ca.pem());
        write("router.pem", &server.pem());
        write("router.key", &server_key);
        write(
            "host_key",
            &key()
                .to_openssh(russh::keys::ssh_key::LineEnding::LF)
                .expect("a form"),
        );
        let clients = clients.iter().map(|(name, rights)| {
            let (certificate, private) = signed(name);
            let hash = hex(ring::digest::digest(&ring::digest::SHA256, certificate.der()).as_ref());
            let certificate = certificate.pem();
            ManagementClient {
                name: (*name).into(),
                ssh: key(),
                certificate,
                key: private,
                hash,
                rights: (*rights).into(),
            }
        });
        let credentials = TestCredentials {
            clients: clients.collect(),
            ca: ca.pem(),
            folder,
        };
        credentials.write_keys(
            "1",
            &credentials
                .clients
                .iter()
                .map(|management_client| management_client.name.as_str())
                .collect::<Vec<_>>(),
        );
        credentials
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// The file of keys, with only these of the clients.
    pub fn write_keys(&self, generation: &str, names: &[&str]) {
        let mut text = format!("generation = {generation}\n");
        for management_client in self
            .clients
            .iter()
            .filter(|management_client| names.contains(&management_client.name.as_str()))
        {
            let ssh = management_client
                .ssh
                .public_key()
                .to_openssh()
                .expect("a form");
            let ManagementClient {
                name, hash, rights, ..
            } = management_client;
            text +=
                &format!("[key {name}]\nssh = {ssh}\ncertificate = {hash}\nrights = {rights}\n");
        }
        text += &format!("[end]\nkeys = {}\ngeneration = {generation}\n", names.len());
        replace(&self.path("keys.ini"), &text);
    }

    /// The section of an operator file.
    pub fn operator_section(&self) -> &'static str {
        "[management]\nnetconf = 127.0.0.1:0\nssh-host-key = host_key\ngnmi = 127.0.0.1:0\ncertificate = router.pem\n\
         key = router.key\nclient-ca = ca.pem\nkeys = keys.ini\n"
    }

    pub fn management_client(&self, name: &str) -> &ManagementClient {
        self.clients
            .iter()
            .find(|management_client| management_client.name == name)
            .expect("an engineer of this name")
    }

    /// A gNMI client of this engineer.
    pub async fn gnmi(
        &self,
        name: &str,
        at: SocketAddr,
    ) -> Result<GNmiClient<Channel>, tonic::transport::Error> {
        let management_client = self.management_client(name);
        let identity = Identity::from_pem(&management_client.certificate, &management_client.key);
        let tls = ClientTlsConfig::new()
            .ca_certificate(Certificate::from_pem(&self.ca))
            .identity(identity)
            .domain_name("localhost");
        let channel = Channel::from_shared(format!("https://{at}"))
            .expect("an address")
            .tls_config(tls)?
            .connect()
            .await?;
        Ok(GNmiClient::new(channel))
    }
}

fn replace(path: &Path, text: &str) {
    let new = path.with_extension("new");
    fs::write(&new, text)
        .and_then(|()| fs::rename(&new, path))
        .expect("replaced");
}

struct AcceptAnyServerKey;

impl Handler for AcceptAnyServerKey {
    type Error = russh::Error;

    async fn check_server_key(&mut self, _: &PublicKeyOrCertificate) -> Result<bool, Self::Error> {
        Ok(true)
    }
}

/// A NETCONF session over SSH.
pub struct Netconf {
    _ssh: Handle<AcceptAnyServerKey>,
    stream: russh::ChannelStream<russh::client::Msg>,
    read: Vec<u8>,
    chunked: bool,
    number: u32,
    pub hello: String,
    /// Notifications that came while a reply was waited for.
    pub notifications: Vec<String>,
}

const END: &[u8] = b"]]>]]>";
const BASE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";

impl Netconf {
    /// An error where the server does not let this engineer in.
    pub async fn open(
        management_client: &ManagementClient,
        at: SocketAddr,
    ) -> Result<Self, String> {
        let mut ssh = connect(Arc::default(), at, AcceptAnyServerKey)
            .await
            .map_err(|e| e.to_string())?;
        let key = PrivateKeyWithHashAlg::new(Arc::new(management_client.ssh.clone()), None);
        let entered = ssh
            .authenticate_publickey(&management_client.name, key)
            .await
            .map_err(|e| e.to_string())?;
        if !entered.success() {
            return Err("not let in".into());
        }
        let channel = ssh
            .channel_open_session()
            .await
            .map_err(|e| e.to_string())?;
        channel
            .request_subsystem(true, "netconf")
            .await
            .map_err(|e| e.to_string())?;
        let stream = channel.into_stream();
        let (read, notifications) = (vec![], vec![]);
        let mut session = Netconf {
            _ssh: ssh,
            stream,
            read,
            chunked: false,
            number: 0,
            hello: String::new(),
            notifications,
        };
        session.hello = session.message().await?;
        let hello = format!(
            "<hello xmlns=\"{BASE}\"><capabilities><capability>urn:ietf:params:netconf:base:1.1</capability></capabilities></hello>"
        );
        session.write(&[hello.as_bytes(), END].concat()).await?;
        session.chunked = true;
        Ok(session)
    }

    /// Goes away without a word; the runtime gets time to close the connection.
    pub async fn abandon(self) {
        drop(self);
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }

    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.stream
            .write_all(bytes)
            .await
            .map_err(|e| e.to_string())?;
        self.stream.flush().await.map_err(|e| e.to_string())
    }

    /// The next message, whatever it is; an error at the session's end.
    pub async fn message(&mut self) -> Result<String, String> {
        loop {
            if let Some((message, used)) = self.take_complete_message() {
                self.read.drain(..used);
                return Ok(message);
            }
            let mut buffer = [0; 8192];
            let read = timeout(TEST_TIMEOUT, self.stream.read(&mut buffer))
                .await
                .map_err(|_| "no message came".to_owned())?;
            match read.map_err(|e| e.to_string())? {
                0 => return Err("the session is over".into()),
                count => self.read.extend_from_slice(&buffer[..count]),
            }
        }
    }

    fn take_complete_message(&self) -> Option<(String, usize)> {
        let find = |of: &[u8], from: usize| {
            let rest = self.read.get(from..)?;
            rest.windows(of.len())
                .position(|window| window == of)
                .map(|at| from + at)
        };
        if !self.chunked {
            let end = find(END, 0)?;
            return Some((
                String::from_utf8_lossy(&self.read[..end]).into(),
                end + END.len(),
            ));
        }
        let (mut at, mut message) = (0, vec![]);
        loop {
            let head = find(b"\n", at + 2)?;
            let text = String::from_utf8_lossy(self.read.get(at + 2..head)?).into_owned();
            if text == "#" {
                return Some((String::from_utf8_lossy(&message).into(), head + 1));
            }
            let length: usize = text.parse().ok()?;
            message.extend_from_slice(self.read.get(head + 1..head + 1 + length)?);
            at = head + 1 + length;
        }
    }

    /// The reply to an operation; notifications that come before it are kept.
    pub async fn rpc(&mut self, operation: &str) -> Result<String, String> {
        self.number += 1;
        let id = format!("message-id=\"{}\"", self.number);
        let message = format!("<rpc xmlns=\"{BASE}\" {id}>{operation}</rpc>");
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
