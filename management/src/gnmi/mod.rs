//! The gNMI service (specification 0.10.0) over TLS: Capabilities, Get, Set as one transaction, and Subscribe in the
//! modes ONCE, POLL and STREAM. A client is identified by the certificate of its TLS connection.

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
use self::subscribe::SubscribeResponses;
use crate::Limits;
use crate::commit_service::CommitServiceHandle;
use crate::proto::gnmi::g_nmi_server::GNmi;
use crate::proto::gnmi::{
    CapabilityRequest, CapabilityResponse, Encoding, GetRequest, GetResponse, ModelData,
    SetRequest, SetResponse, SubscribeRequest,
};

/// The version of the gNMI specification.
const GNMI_VERSION: &str = "0.10.0";

/// The gNMI service, shared by all connections.
pub struct GnmiService {
    log: Logger,
    commit_service: CommitServiceHandle,
    limits: Limits,
    schema: &'static Schema,
    binding: Arc<Binding>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The highest election id of each role; the client that sent it is the master.
    highest_election_ids: Mutex<BTreeMap<String, ElectionId>>,
    /// The sessions at the commit service that own pending commits, by the name of the client's key.
    commit_sessions: Mutex<BTreeMap<String, SessionId>>,
    /// The number of open Subscribe streams.
    open_streams: Arc<AtomicUsize>,
    /// The number of the next Set request.
    next_set_number: AtomicU32,
}

/// The current time in nanoseconds since the Unix epoch, the unit of gNMI timestamps.
fn unix_nanoseconds() -> i64 {
    (crate::clock::unix_seconds() * 1e9) as i64
}

impl GnmiService {
    fn supported_models(&self) -> Vec<ModelData> {
        let model = |module: &kestreltide_yang::schema::Module| ModelData {
            name: module.name.clone(),
            organization: module.organization.clone(),
            version: module.revision.clone(),
        };
        self.schema.modules.iter().map(model).collect()
    }
}

#[tonic::async_trait]
impl GNmi for GnmiService {
    type SubscribeStream = SubscribeResponses;

    async fn capabilities(
        &self,
        request: Request<CapabilityRequest>,
    ) -> Result<Response<CapabilityResponse>, Status> {
        self.authenticate(&request)?;
        Ok(Response::new(CapabilityResponse {
            supported_models: self.supported_models(),
            supported_encodings: vec![
                Encoding::JsonIetf.into(),
                Encoding::Json.into(),
                Encoding::Proto.into(),
            ],
            g_nmi_version: GNMI_VERSION.into(),
            extension: vec![],
        }))
    }

    async fn get(&self, request: Request<GetRequest>) -> Result<Response<GetResponse>, Status> {
        self.handle_get(request).await
    }

    async fn set(&self, request: Request<SetRequest>) -> Result<Response<SetResponse>, Status> {
        self.handle_set(request).await
    }

    async fn subscribe(
        &self,
        request: Request<Streaming<SubscribeRequest>>,
    ) -> Result<Response<SubscribeResponses>, Status> {
        self.handle_subscribe(request).await
    }
}
