//! A gNMI client, generated from the protobuf files and independent of the server's code.

use std::net::SocketAddr;

use proto::gnmi::g_nmi_client::GNmiClient;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Identity};

use crate::TestCredentials;

/// The generated messages and the client of the gNMI service.
pub mod proto {
    #![allow(missing_docs, unreachable_pub, clippy::all, clippy::missing_errors_doc)]
    /// The package `gnmi`.
    pub mod gnmi {
        tonic::include_proto!("gnmi");
    }
    /// The package `gnmi_ext`.
    pub mod gnmi_ext {
        tonic::include_proto!("gnmi_ext");
    }
}

impl TestCredentials {
    /// Connects the gNMI client of this name.
    ///
    /// # Errors
    ///
    /// The connection fails, or the router does not accept the client's certificate.
    pub async fn gnmi(
        &self,
        name: &str,
        at: SocketAddr,
    ) -> Result<GNmiClient<Channel>, tonic::transport::Error> {
        let client = self.management_client(name);
        let identity = Identity::from_pem(&client.certificate, &client.certificate_key);
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
