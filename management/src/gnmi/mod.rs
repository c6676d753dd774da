//! gNMI (specification 0.10.0) over TLS: Capabilities, Get, Set as one transaction, and Subscribe in all its modes. A
//! client is identified by the certificate of its TLS connection.

mod access;
mod arbitration;
mod confirmed_commit;
mod connections;
mod edits;
mod encoding;
mod errors;
mod get;
mod path_subscription;
mod paths;
mod serve;
mod set;
mod snapshot;
mod stream;
mod subscribe;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicUsize};
use std::sync::{Arc, Mutex};

use kestreltide_datastore::commit_coordinator::SessionId;
use kestreltide_yang::Schema;
use kestreltide_yang::binding::Binding;
use slog::Logger;
use tokio::sync::watch;
use tonic::{Request, Response, Status, Streaming};

use self::arbitration::ElectionId;
pub use self::serve::{TlsCredentials, serve};
use self::snapshot::Snapshot;
use self::subscribe::Responses;
use crate::Limits;
use crate::commit_service::CommitServiceHandle;
use crate::proto::gnmi::g_nmi_server::GNmi;
use crate::proto::gnmi::{
    CapabilityRequest, CapabilityResponse, Encoding, GetRequest, GetResponse, ModelData,
    SetRequest, SetResponse, SubscribeRequest,
};

/// The version of the gNMI specification.
const VERSION: &str = "0.10.0";

/// The gNMI service, shared by all connections.
pub struct Service {
    log: Logger,
    commit_service: CommitServiceHandle,
    limits: Limits,
    schema: &'static Schema,
    binding: Arc<Binding>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The highest election id of each role; the client that has it is the master.
    masters: Mutex<BTreeMap<String, ElectionId>>,
    /// Sessions at the commit service that own pending commits, by the names of the keys.
    sessions: Mutex<BTreeMap<String, SessionId>>,
    /// Open Subscribe streams.
    streams: Arc<AtomicUsize>,
    /// The number of the next Set request.
    next_set: AtomicU32,
}

/// The time in Unix nanoseconds, as gNMI has it.
fn nanos() -> i64 {
    (crate::clock::unix_seconds() * 1e9) as i64
}

impl Service {
    fn models(&self) -> Vec<ModelData> {
        let model = |module: &kestreltide_yang::schema::Module| ModelData {
            name: module.name.clone(),
            organization: module.organization.clone(),
            version: module.revision.clone(),
        };
        self.schema.modules.iter().map(model).collect()
    }
}

#[tonic::async_trait]
impl GNmi for Service {
    type SubscribeStream = Responses;

    async fn capabilities(
        &self,
        request: Request<CapabilityRequest>,
    ) -> Result<Response<CapabilityResponse>, Status> {
        self.key(&request)?;
        Ok(Response::new(CapabilityResponse {
            supported_models: self.models(),
            supported_encodings: vec![
                Encoding::JsonIetf.into(),
                Encoding::Json.into(),
                Encoding::Proto.into(),
            ],
            g_nmi_version: VERSION.into(),
            extension: vec![],
        }))
    }

    async fn get(&self, request: Request<GetRequest>) -> Result<Response<GetResponse>, Status> {
        self.answer_get(request).await
    }

    async fn set(&self, request: Request<SetRequest>) -> Result<Response<SetResponse>, Status> {
        self.apply_set(request).await
    }

    async fn subscribe(
        &self,
        request: Request<Streaming<SubscribeRequest>>,
    ) -> Result<Response<Responses>, Status> {
        self.start_subscription(request).await
    }
}
