//! Why a management interface is not served.

use kestreltide_yang::SchemaError;
use kestreltide_yang::binding::BindingError;
use thiserror::Error;

/// Why a management interface is not served.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The published modules are wrong, which is a defect.
    #[error(transparent)]
    Schema(#[from] SchemaError),
    /// Model and datastore do not fit together, which is a defect.
    #[error(transparent)]
    Binding(#[from] BindingError),
    /// The certificate or the key of the server cannot be used.
    #[error("certificate: cannot be used: {0}")]
    Certificate(#[source] tonic::transport::Error),
    /// The listener failed for good.
    #[error(transparent)]
    Transport(tonic::transport::Error),
}
