//! Keys and certificates for tests of the management interfaces.
//!
//! A folder holds the files that the router reads: SSH host key, certificates and the file of the clients' public keys.
//! The clients' private keys are in the [`ManagementClient`]s.

use std::fs;
use std::path::{Path, PathBuf};

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use russh::keys::ssh_key::LineEnding;
use russh::keys::{Algorithm, PrivateKey};
use tempfile::TempDir;

/// A client of the management interfaces, with a key and a certificate of its own.
pub struct ManagementClient {
    /// The name in the file of keys.
    pub name: String,
    /// Its private key for SSH.
    pub(crate) ssh_key: PrivateKey,
    /// Its certificate for TLS, in PEM.
    pub(crate) certificate: String,
    /// The private key of the certificate, in PEM.
    pub(crate) certificate_key: String,
    /// SHA-256 of the certificate in DER, in hexadecimal.
    certificate_hash: String,
    /// The value of `rights` in the file of keys.
    rights: String,
}

impl ManagementClient {
    /// Its section in the file of keys.
    fn key_section(&self) -> String {
        let public_key = self.ssh_key.public_key();
        let ssh = public_key.to_openssh().expect("a key in OpenSSH's form");
        let ManagementClient {
            name,
            certificate_hash: certificate,
            rights,
            ..
        } = self;
        format!("[key {name}]\nssh = {ssh}\ncertificate = {certificate}\nrights = {rights}\n")
    }
}

/// Credentials of one router and of its management clients.
pub struct TestCredentials {
    /// The folder that the router reads its credentials from.
    pub folder: TempDir,
    /// The certificate of the authority that has signed all others, in PEM.
    pub(crate) ca: String,
    /// The clients, in the order in which they were given.
    pub clients: Vec<ManagementClient>,
}

/// A certificate authority for one test.
struct CertificateAuthority {
    issuer: Issuer<'static, KeyPair>,
    /// Its own certificate, in PEM.
    certificate: String,
}

/// A certificate signed by a [`CertificateAuthority`].
struct SignedCertificate {
    certificate: rcgen::Certificate,
    /// The private key, in PEM.
    key: String,
}

impl CertificateAuthority {
    fn new() -> Self {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(vec![]).expect("valid parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).expect("a signed certificate");
        CertificateAuthority {
            issuer: Issuer::new(params, key),
            certificate: certificate.pem(),
        }
    }

    fn sign(&self, name: &str) -> SignedCertificate {
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(vec![name.to_owned()]).expect("valid parameters");
        let certificate = params
            .signed_by(&key, &self.issuer)
            .expect("a signed certificate");
        SignedCertificate {
            certificate,
            key: key.serialize_pem(),
        }
    }

    fn client(&self, name: &str, rights: &str) -> ManagementClient {
        let SignedCertificate { certificate, key } = self.sign(name);
        let hash = ring::digest::digest(&ring::digest::SHA256, certificate.der());
        ManagementClient {
            name: name.into(),
            ssh_key: ssh_key(),
            certificate: certificate.pem(),
            certificate_key: key,
            certificate_hash: hex(hash.as_ref()),
            rights: rights.into(),
        }
    }
}

fn ssh_key() -> PrivateKey {
    PrivateKey::random(&mut russh::keys::key::safe_rng(), Algorithm::Ed25519).expect("a key")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl TestCredentials {
    /// Makes credentials for clients given by name and rights, and writes the router's files.
    pub fn new(clients: &[(&str, &str)]) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let authority = CertificateAuthority::new();
        write_router_files(folder.path(), &authority);
        let clients = clients
            .iter()
            .map(|(name, rights)| authority.client(name, rights))
            .collect();
        let credentials = TestCredentials {
            folder,
            ca: authority.certificate,
            clients,
        };
        let names: Vec<_> = credentials
            .clients
            .iter()
            .map(|client| client.name.as_str())
            .collect();
        credentials.write_keys("1", &names);
        credentials
    }

    /// Returns the path of a file in the folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Replaces the file of keys by one of this generation that holds only the clients of these names.
    pub fn write_keys(&self, generation: &str, names: &[&str]) {
        let mut text = format!("generation = {generation}\n");
        for client in &self.clients {
            if names.contains(&client.name.as_str()) {
                text += &client.key_section();
            }
        }
        text += &format!("[end]\nkeys = {}\ngeneration = {generation}\n", names.len());
        replace(&self.path("keys.ini"), &text);
    }

    /// Returns the section of the operator file that refers to these credentials.
    pub fn operator_section(&self) -> &'static str {
        "[management]\nnetconf = 127.0.0.1:0\nssh-host-key = host_key\ngnmi = 127.0.0.1:0\ncertificate = router.pem\n\
         key = router.key\nclient-ca = ca.pem\nkeys = keys.ini\n"
    }

    /// Returns the client of this name.
    pub fn management_client(&self, name: &str) -> &ManagementClient {
        self.clients
            .iter()
            .find(|client| client.name == name)
            .expect("a client of this name")
    }
}

fn write_router_files(folder: &Path, authority: &CertificateAuthority) {
    let server = authority.sign("localhost");
    let host_key = ssh_key();
    let host_key = host_key
        .to_openssh(LineEnding::LF)
        .expect("a key in OpenSSH's form");
    let write = |name: &str, text: &str| fs::write(folder.join(name), text).expect("written");
    write("ca.pem", &authority.certificate);
    write("router.pem", &server.certificate.pem());
    write("router.key", &server.key);
    write("host_key", &host_key);
}

/// Replaces a file atomically: readers see either the old or the new text.
fn replace(path: &Path, text: &str) {
    let new = path.with_extension("new");
    fs::write(&new, text)
        .and_then(|()| fs::rename(&new, path))
        .expect("replaced");
}
