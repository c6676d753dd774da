//! The errors that stop a management interface.

use kestreltide_yang::SchemaError;
use kestreltide_yang::binding::BindingError;
use thiserror::Error;

/// The reason why a management interface cannot start or stops.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The published YANG modules are invalid, which is a defect of the software.
    #[error(transparent)]
    Schema(#[from] SchemaError),
    /// The YANG model does not match the datastore, which is a defect of the software.
    #[error(transparent)]
    Binding(#[from] BindingError),
    /// The certificate or the private key of the server is invalid.
    #[error("certificate: cannot be used: {0}")]
    Certificate(#[source] tonic::transport::Error),
    /// The gRPC server failed.
    #[error(transparent)]
    Transport(tonic::transport::Error),
}
