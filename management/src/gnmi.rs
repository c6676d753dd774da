//! gNMI (published specification 0.10) over TLS: Capabilities, Get, Set as one transaction, Subscribe once, polled and
//! streamed. Who comes in is known by the certificate that the TLS handshake proved.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::task::{Context, Poll as Ready};
use std::time::Duration;

use kestreltide_datastore::desk::{Confirm, Published, Refused, SessionId};
use kestreltide_datastore::store::Commit;
use kestreltide_datastore::view::View;
use kestreltide_datastore::{Author, Candidate, Key, Proof, Rights, Source};
use kestreltide_model::bind::Bind;
use kestreltide_model::data::{Data, Instance, Step};
use kestreltide_model::edit::{Edit, EditFault, Op, apply, at_path, of_json, one_of_json, values_of_json};
use kestreltide_model::path::Pattern;
use kestreltide_model::schema::NodeKind;
use kestreltide_model::{Content, NodeId, Schema, json};
use serde_json::Value as Json;
use slog::{Logger, info, warn};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::transport::server::{Connected, TcpConnectInfo};
use tonic::transport::{Certificate, Identity, Server, ServerTlsConfig};
use tonic::{Request, Response, Status, Streaming};

use crate::desk::Handle;
use crate::proto::gnmi::g_nmi_server::{GNmi, GNmiServer};
use crate::proto::gnmi::subscribe_request::Request as Asked;
use crate::proto::gnmi::subscribe_response::Response as Told;
use crate::proto::gnmi::subscription_list::Mode;
use crate::proto::gnmi::typed_value::Value;
use crate::proto::gnmi::*;
use crate::proto::gnmi_ext::commit::Action;
use crate::proto::gnmi_ext::extension::Ext;
use crate::proto::gnmi_ext::{Commit as CommitExt, Extension, MasterArbitration};
use crate::{Limits, state};

const VERSION: &str = "0.10.0";
/// Seconds that a commit waits to be confirmed where nothing is said.
const CONFIRM: f64 = 600.0;

/// What all streams read, made when the first of them wants it: what many want is worked out once.
struct Whole {
    /// How often something changed so far, each revision counted.
    number: u64,
    make: Box<dyn Fn() -> Vec<Data> + Send + Sync>,
    data: OnceLock<Vec<Data>>,
    found: Mutex<BTreeMap<Wish, Arc<Leaves>>>,
    differences: Mutex<BTreeMap<(Wish, usize), Difference>>,
}

/// A path and an encoding.
type Wish = (Pattern, i32);
/// Leaf by leaf, where it stands and its value.
type Leaves = BTreeMap<Instance, TypedValue>;

/// From which leaves, and what differs.
type Difference = (Arc<Leaves>, Arc<Changes>);

/// What differs between two times, and what is gone.
#[derive(Default)]
struct Changes {
    updates: Vec<(Instance, TypedValue)>,
    gone: Vec<Path>,
}

impl Whole {
    fn new(number: u64, make: Box<dyn Fn() -> Vec<Data> + Send + Sync>) -> Self {
        let (data, found, differences) = (OnceLock::new(), Mutex::default(), Mutex::default());
        Whole { number, make, data, found, differences }
    }

    fn data(&self) -> &[Data] {
        self.data.get_or_init(&self.make)
    }

    /// All leaves that a path wants, in an encoding.
    fn leaves(&self, schema: &Schema, wish: &Wish) -> Arc<Leaves> {
        let mut found = self.found.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(leaves) = found.get(wish) {
            return leaves.clone();
        }
        let (pattern, encoding) = (&wish.0, Encoding::try_from(wish.1).unwrap_or_default());
        let data = self.data();
        let instances: Vec<(Instance, &Data)> = if pattern.0.is_empty() {
            data.iter().map(|data| (Instance(vec![data.step(schema)]), data)).collect()
        } else {
            pattern.select(schema, data)
        };
        let mut leaves = Leaves::new();
        instances.iter().for_each(|(at, data)| collect(schema, encoding, at, data, &mut leaves));
        let leaves = Arc::new(leaves);
        // Bounded by what streams there are; the next change begins anew.
        found.insert(wish.clone(), leaves.clone());
        leaves
    }

    /// What differs from what a stream has sent.
    fn changes(&self, schema: &Schema, wish: &Wish, sent: &Arc<Leaves>) -> (Arc<Leaves>, Arc<Changes>) {
        let now = self.leaves(schema, wish);
        if Arc::ptr_eq(&now, sent) {
            return (now, Arc::default());
        }
        // Held with it, so that the place in memory stays that of these leaves.
        let key = (wish.clone(), Arc::as_ptr(sent) as usize);
        let mut differences = self.differences.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, changes)) = differences.get(&key) {
            return (now, changes.clone());
        }
        let differs = |(at, value): &(&Instance, &TypedValue)| sent.get(*at) != Some(*value);
        let updates = now.iter().filter(differs).map(|(at, value)| (at.clone(), value.clone())).collect();
        let gone = sent.keys().filter(|at| !now.contains_key(*at)).map(path_of).collect();
        let changes = Arc::new(Changes { updates, gone });
        differences.insert(key, (sent.clone(), changes.clone()));
        (now, changes)
    }
}

pub struct Service {
    log: Logger,
    desk: Handle,
    limits: Limits,
    schema: &'static Schema,
    bind: Arc<Bind>,
    whole: watch::Receiver<Arc<Whole>>,
    /// The highest election id of each role: who has it may set.
    masters: Mutex<BTreeMap<String, (u64, u64)>>,
    /// Sessions at the desk of those whose commits wait to be confirmed, by name.
    sessions: Mutex<BTreeMap<String, SessionId>>,
    streams: Arc<AtomicUsize>,
    number: AtomicU32,
}

fn nanos() -> i64 {
    (crate::netconf::server::now() * 1e9) as i64
}

fn wrong(path: &str, what: &str, given: &str, taken: &str) -> Status {
    let given = kestreltide_datastore::draft::shown(given);
    Status::invalid_argument(kestreltide_datastore::Fault::new(path, what, given, taken).to_string())
}

fn of_edits(faults: &[EditFault]) -> Status {
    let all: Vec<_> = faults.iter().map(|fault| fault.fault.to_string()).collect();
    Status::invalid_argument(all.join("\n"))
}

fn of_refused(refused: &Refused) -> Status {
    match refused {
        // Another's change of the same leaf, or a rule: the request is well, the time or the set is not.
        Refused::Faults(faults)
            if faults.first.iter().any(|fault| fault.what.starts_with("was changed since")) =>
        {
            Status::aborted(refused.to_string())
        }
        Refused::Faults(_) | Refused::NothingWaits | Refused::NotHeld => {
            Status::failed_precondition(refused.to_string())
        }
        Refused::Locked(_) | Refused::Waiting(_) => Status::unavailable(refused.to_string()),
    }
}

/// A path below a prefix; an origin other than the models' own is refused.
fn pattern(prefix: Option<&Path>, path: &Path) -> Result<Pattern, Status> {
    let shown = text(path);
    let mut all = Pattern::default();
    for path in prefix.into_iter().chain([path]) {
        if !["", "kestreltide", "openconfig", "rfc7951"].contains(&path.origin.as_str()) {
            return Err(wrong(&shown, "no such origin", &path.origin, "none, or kestreltide"));
        }
        let steps = path.elem.iter().map(|elem| {
            let keys = elem.key.iter().map(|(name, value)| (name.clone(), value.clone())).collect();
            (elem.name.as_str(), keys)
        });
        let steps =
            Pattern::steps(steps).map_err(|why| wrong(&shown, &why, &shown, "names with their keys"))?;
        all = steps.below(&all);
    }
    Ok(all)
}

fn text(path: &Path) -> String {
    let mut out = String::new();
    for elem in &path.elem {
        out += &format!("/{}", elem.name);
        let mut keys: Vec<_> = elem.key.iter().collect();
        keys.sort();
        keys.iter().for_each(|(name, value)| out += &format!("[{name}={value}]"));
    }
    if out.is_empty() { "/".into() } else { out }
}

fn path_of(at: &Instance) -> Path {
    let elem = |step: &Step| PathElem { name: step.name.clone(), key: step.keys.iter().cloned().collect() };
    Path { elem: at.0.iter().map(elem).collect(), ..Path::default() }
}

fn encoding(of: i32) -> Result<Encoding, Status> {
    match Encoding::try_from(of) {
        Ok(of @ (Encoding::Json | Encoding::JsonIetf | Encoding::Proto)) => Ok(of),
        _ => Err(Status::unimplemented(
            "encoding: is not served here (given: another; taken: JSON_IETF, JSON or PROTO)",
        )),
    }
}

impl Service {
    fn json_value(&self, data: &Data, of: Encoding) -> TypedValue {
        let bytes = json::value(self.schema, data).to_string().into_bytes();
        let value = if of == Encoding::Json { Value::JsonVal(bytes) } else { Value::JsonIetfVal(bytes) };
        TypedValue { value: Some(value) }
    }

    fn key<T>(&self, request: &Request<T>) -> Result<(Key, Rights), Status> {
        let denied = || {
            Status::unauthenticated(
                "certificate: is not in the file of keys (given: another; taken: one of it)",
            )
        };
        let certificates = request.peer_certs().ok_or_else(denied)?;
        let first = certificates.first().ok_or_else(denied)?;
        let mut hash = [0; 32];
        hash.copy_from_slice(ring::digest::digest(&ring::digest::SHA256, first).as_ref());
        let key = self.desk.keys.load().find(&Proof::Certificate(hash)).cloned().ok_or_else(denied)?;
        let rights = key.rights;
        Ok((key, rights))
    }

    fn may_read<T>(&self, request: &Request<T>) -> Result<Key, Status> {
        let (key, rights) = self.key(request)?;
        let denied =
            format!("reading: is beyond the rights of this key (given: {rights}; taken: the right read)");
        if rights.read { Ok(key) } else { Err(Status::permission_denied(denied)) }
    }

    fn models(&self) -> Vec<ModelData> {
        let model = |module: &kestreltide_model::schema::Module| ModelData {
            name: module.name.clone(),
            organization: module.organization.clone(),
            version: module.revision.clone(),
        };
        self.schema.modules.iter().map(model).collect()
    }

    /// Edits of one update, replacement or deletion.
    fn edit(
        &self, prefix: Option<&Path>, path: &Path, value: Option<&TypedValue>, op: Op,
    ) -> Result<Vec<Edit>, Status> {
        let shown = text(path);
        let pattern = pattern(prefix, path)?;
        let open = |why: String| wrong(&shown, &why, &shown, "one instance, with its keys");
        // A list or leaf-list is meant as a whole where its keys are left away.
        let whole_list =
            pattern.0.last().filter(|last| last.keys.is_empty() && !last.deep).and_then(|last| {
                let parent = Pattern(pattern.0[..pattern.0.len() - 1].to_vec()).instance(self.schema).ok()?;
                let below = self.schema.below(parent.1);
                let found = below
                    .iter()
                    .copied()
                    .find(|id| Some(&self.schema.node_of(*id).name) == last.name.as_ref())?;
                let list = matches!(
                    self.schema.node_of(found).kind,
                    NodeKind::List { .. } | NodeKind::LeafList { .. }
                );
                list.then_some((parent.0, found))
            });
        let (parent, node, step) = match whole_list {
            Some((parent, node)) => {
                let name = self.schema.node_of(node).name.clone();
                (parent, Some(node), Step { name, keys: vec![] })
            }
            None => {
                let (mut at, node) = pattern.instance(self.schema).map_err(open)?;
                match at.0.pop() {
                    Some(step) => (at, node, step),
                    None => (at, None, Step { name: String::new(), keys: vec![] }),
                }
            }
        };
        let mut faults = vec![];
        let here = if step.name.is_empty() { parent.clone() } else { parent.below(step.clone()) };
        let list = node.filter(|node| {
            step.keys.is_empty()
                && matches!(
                    self.schema.node_of(*node).kind,
                    NodeKind::List { .. } | NodeKind::LeafList { .. }
                )
        });
        let place =
            |edit: Edit| at_path(self.schema, &parent, edit).ok_or_else(|| open("leads nowhere".into()));
        let mut edits = vec![];
        if op == Op::Remove || op == Op::Replace {
            // What stands there goes first, all entries of a list as well.
            for (node, step) in self.there(node, &step, list) {
                let edit = Edit { node, op: Some(Op::Remove), value: None, step, children: vec![] };
                edits.push(place(edit)?);
            }
        }
        if op == Op::Remove {
            return Ok(edits);
        }
        let value = value
            .and_then(|value| value.value.as_ref())
            .ok_or_else(|| wrong(&shown, "has no value", "nothing", "a value"))?;
        let json = self.json_of(&shown, node, value)?;
        let read = match (node, list) {
            (Some(node), Some(_)) => values_of_json(self.schema, node, &parent, &json, &mut faults),
            (Some(node), None) => {
                let json = with_keys(json, &step);
                one_of_json(self.schema, node, &parent, &json, &mut faults).into_iter().collect()
            }
            (None, _) => of_json(self.schema, None, &here, &json, &mut faults),
        };
        if !faults.is_empty() {
            return Err(of_edits(&faults));
        }
        for edit in read {
            edits.push(if node.is_some() { place(Edit { op: Some(Op::Merge), ..edit })? } else { edit });
        }
        Ok(edits)
    }

    /// What a removal at this place has to take away.
    fn there(&self, node: Option<NodeId>, step: &Step, list: Option<NodeId>) -> Vec<(NodeId, Step)> {
        let tree = &self.desk.published.load().in_force.tree;
        match (node, list) {
            (Some(_), Some(list)) if matches!(self.schema.node_of(list).kind, NodeKind::List { .. }) => {
                let names: Vec<String> = match self.schema.node_of(list).name.as_str() {
                    "host" => tree.hosts.keys().map(ToString::to_string).collect(),
                    "route" => tree.routes.keys().map(ToString::to_string).collect(),
                    _ => vec![],
                };
                let step = |name: String| Step { name: step.name.clone(), keys: vec![("name".into(), name)] };
                names.into_iter().map(|name| (list, step(name))).collect()
            }
            (Some(node), _) => vec![(node, step.clone())],
            (None, _) => {
                let config = |id: &&NodeId| self.schema.node_of(**id).config;
                let step = |id: NodeId| Step { name: self.schema.node_of(id).name.clone(), keys: vec![] };
                self.schema.top.iter().filter(config).map(|id| (*id, step(*id))).collect()
            }
        }
    }

    /// A value in JSON's form, whatever it came in.
    fn json_of(&self, at: &str, node: Option<NodeId>, value: &Value) -> Result<Json, Status> {
        let typed = |text: String| {
            let of = node.map(|node| &self.schema.node_of(node).kind);
            match of {
                Some(NodeKind::Leaf { of, .. } | NodeKind::LeafList { of }) if !of.json_text() => {
                    serde_json::from_str(&text).unwrap_or(Json::String(text))
                }
                _ => Json::String(text),
            }
        };
        Ok(match value {
            Value::JsonIetfVal(bytes) | Value::JsonVal(bytes) => {
                let read = serde_json::from_slice(bytes);
                read.map_err(|e| {
                    wrong(at, &format!("is no JSON: {e}"), &String::from_utf8_lossy(bytes), "JSON (RFC 7951)")
                })?
            }
            Value::StringVal(text) | Value::AsciiVal(text) => typed(text.clone()),
            Value::IntVal(number) => typed(number.to_string()),
            Value::UintVal(number) => typed(number.to_string()),
            Value::DoubleVal(number) => typed(format!("{number:.6}")),
            Value::BoolVal(flag) => Json::Bool(*flag),
            Value::LeaflistVal(all) => {
                let items = all.element.iter().filter_map(|item| item.value.as_ref());
                Json::Array(items.map(|item| self.json_of(at, node, item)).collect::<Result<_, _>>()?)
            }
            Value::BytesVal(_) | Value::AnyVal(_) | Value::ProtoBytes(_) => {
                return Err(wrong(at, "is of a form that is not read", "bytes", "JSON_IETF, JSON or PROTO"));
            }
        })
    }

    /// Only who has the highest election id of a role may set.
    fn arbitrate(&self, said: &MasterArbitration) -> Result<(), Status> {
        let role = said.role.as_ref().map_or("", |role| role.id.as_str());
        let id = said.election_id.as_ref().map(|id| (id.high, id.low));
        let id =
            id.ok_or_else(|| wrong("master_arbitration", "has no election id", "nothing", "an election id"))?;
        let mut masters = self.masters.lock().unwrap_or_else(PoisonError::into_inner);
        // Roles that nobody has are not kept without end.
        if masters.len() >= 64 && !masters.contains_key(role) {
            return Err(Status::resource_exhausted(
                "master_arbitration/role: too many roles (given: one more; taken: 64)",
            ));
        }
        let highest = masters.entry(role.into()).or_insert(id);
        if id < *highest {
            let what = format!(
                "master_arbitration: another client is master (given: {}.{}; taken: {}.{})",
                id.0, id.1, highest.0, highest.1
            );
            return Err(Status::permission_denied(what));
        }
        *highest = id;
        Ok(())
    }

    /// The session at the desk of who has this key: commits that wait are its.
    async fn session(&self, key: &Key) -> Option<SessionId> {
        if let Some(session) = self.sessions.lock().unwrap_or_else(PoisonError::into_inner).get(&key.name) {
            return Some(*session);
        }
        let session = self.desk.open().await?;
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        Some(*sessions.entry(key.name.clone()).or_insert(session))
    }

    /// A commit-confirmed request that edits nothing: confirm or cancel what waits.
    async fn settle(&self, key: &Key, said: &CommitExt) -> Result<bool, Status> {
        let persist = Some(said.id.clone());
        match &said.action {
            Some(Action::Confirm(_)) => {
                let session = self.session(key).await;
                self.desk.confirm(session, persist).await.map_err(|refused| of_refused(&refused))?;
                Ok(true)
            }
            Some(Action::Cancel(_)) => {
                let session = self.session(key).await;
                self.desk.cancel(session, persist).await.map_err(|refused| of_refused(&refused))?;
                Ok(true)
            }
            Some(Action::SetRollbackDuration(_)) => {
                Err(Status::unimplemented("commit/set_rollback_duration: is not served here"))
            }
            Some(Action::Commit(_)) => Ok(false),
            None => Err(wrong("commit", "says neither what to do", "nothing", "commit, confirm or cancel")),
        }
    }
}

/// The keys that a path has already said need not stand in the value again.
fn with_keys(json: Json, step: &Step) -> Json {
    match json {
        Json::Object(mut members) => {
            for (key, value) in &step.keys {
                members.entry(key.clone()).or_insert_with(|| Json::String(value.clone()));
            }
            Json::Object(members)
        }
        other => other,
    }
}

fn extension<'a, T>(all: &'a [Extension], of: impl Fn(&'a Ext) -> Option<T>) -> Option<T> {
    all.iter().filter_map(|extension| extension.ext.as_ref()).find_map(of)
}

type Responses = Pin<Box<dyn Stream<Item = Result<SubscribeResponse, Status>> + Send>>;

#[tonic::async_trait]
impl GNmi for Service {
    type SubscribeStream = Responses;

    async fn capabilities(
        &self, request: Request<CapabilityRequest>,
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
        self.may_read(&request)?;
        let asked = request.into_inner();
        let encoding = encoding(asked.encoding)?;
        let data = state::all(self.schema, &self.bind, &self.desk.view.load(), &self.desk.published.load());
        let data = self.of_type(data, asked.r#type);
        let timestamp = nanos();
        let mut notification = Vec::new();
        let everything = [Path::default()];
        for path in if asked.path.is_empty() { &everything[..] } else { &asked.path } {
            let wanted = pattern(asked.prefix.as_ref(), path)?;
            if !wanted.known(self.schema) {
                return Err(Status::not_found(format!(
                    "{}: leads nowhere in the model (given: {0}; taken: a path of it)",
                    text(path)
                )));
            }
            let update = self.updates(&wanted, &data, encoding);
            if update.is_empty() && wanted.instance(self.schema).is_ok() && !wanted.0.is_empty() {
                return Err(Status::not_found(format!(
                    "{}: is not there (given: {0}; taken: what is there)",
                    text(path)
                )));
            }
            notification.push(Notification {
                timestamp,
                prefix: None,
                update,
                delete: vec![],
                atomic: false,
            });
        }
        Ok(Response::new(GetResponse { notification, extension: vec![] }))
    }

    async fn set(&self, request: Request<SetRequest>) -> Result<Response<SetResponse>, Status> {
        let (key, rights) = self.key(&request)?;
        let asked = request.into_inner();
        if let Some(said) = extension(&asked.extension, |ext| {
            if let Ext::MasterArbitration(said) = ext { Some(said) } else { None }
        }) {
            self.arbitrate(said)?;
        }
        let commit =
            extension(
                &asked.extension,
                |ext| if let Ext::Commit(said) = ext { Some(said.clone()) } else { None },
            );
        let prefix = asked.prefix.as_ref();
        let empty = asked.delete.is_empty() && asked.replace.is_empty() && asked.update.is_empty();
        let mut confirm = None;
        if let Some(said) = &commit {
            if self.settle(&key, said).await? {
                if !empty {
                    return Err(wrong(
                        "commit",
                        "confirms or cancels, and edits too",
                        "edits",
                        "one of both",
                    ));
                }
                return Ok(Response::new(SetResponse {
                    prefix: asked.prefix.clone(),
                    timestamp: nanos(),
                    ..SetResponse::default()
                }));
            }
            let said_time = match &said.action {
                Some(Action::Commit(request)) => request.rollback_duration.as_ref(),
                _ => None,
            };
            let within = said_time.map_or(CONFIRM, |time| time.seconds as f64 + f64::from(time.nanos) / 1e9);
            if !(0.1..=86_400.0).contains(&within) || said.id.is_empty() {
                return Err(wrong(
                    "commit",
                    "has no id, or a time out of range",
                    &within.to_string(),
                    "an id, 0.1 to 86400 seconds",
                ));
            }
            confirm = Some(Confirm { within, persist: Some(said.id.clone()) });
        }
        // Deletions, then replacements, then updates, as one transaction (gNMI, section 3.4.3).
        let published = self.desk.published.load_full();
        let mut candidate = Candidate::of(&published.in_force);
        let mut response = Vec::new();
        let update = |update: &Update| (update.path.clone().unwrap_or_default(), update.val.clone());
        let deletes = asked
            .delete
            .iter()
            .map(|path| ((path.clone(), None), Op::Remove, update_result::Operation::Delete));
        let replaces =
            asked.replace.iter().map(|u| (update(u), Op::Replace, update_result::Operation::Replace));
        let updates = asked.update.iter().map(|u| (update(u), Op::Merge, update_result::Operation::Update));
        for ((path, value), op, told) in deletes.chain(replaces).chain(updates) {
            let edits = self.edit(prefix, &path, value.as_ref(), op)?;
            apply(self.schema, &self.bind, &mut candidate.tree, &edits, Op::Merge)
                .map_err(|faults| of_edits(&faults))?;
            response.push(UpdateResult { path: Some(path), op: told.into() });
        }
        let number = self.number.fetch_add(1, Relaxed);
        let author = Author {
            source: Source::Management,
            name: key.name.clone(),
            version: format!("gnmi set {number}"),
        };
        if let Err(fault) = rights.check(&published.in_force.tree.differences(&candidate.tree)) {
            (self.desk.ask)(crate::Ask::Denied { author, fault: fault.clone() });
            return Err(Status::permission_denied(fault.to_string()));
        }
        let session = if confirm.is_some() { self.session(&key).await } else { None };
        match self.desk.commit(session, candidate, author, confirm, None).await {
            Ok(Commit::Taken(_) | Commit::Nothing) => {
                let prefix = asked.prefix.clone();
                Ok(Response::new(SetResponse { prefix, response, timestamp: nanos(), extension: vec![] }))
            }
            Err(refused) => Err(of_refused(&refused)),
        }
    }

    async fn subscribe(
        &self, request: Request<Streaming<SubscribeRequest>>,
    ) -> Result<Response<Responses>, Status> {
        let key = self.may_read(&request)?;
        let mut asks = request.into_inner();
        let Some(Ok(SubscribeRequest { request: Some(Asked::Subscribe(list)), .. })) = asks.next().await
        else {
            return Err(wrong(
                "subscribe",
                "the first message is none",
                "another",
                "a list of subscriptions",
            ));
        };
        if self.streams.load(Relaxed) >= self.limits.sessions {
            return Err(Status::resource_exhausted("subscribe: no room for one more stream"));
        }
        let mode = Mode::try_from(list.mode).map_err(|_| {
            wrong("subscribe/mode", "no such mode", &list.mode.to_string(), "STREAM, ONCE or POLL")
        })?;
        let encoding = encoding(list.encoding)?;
        let mut wanted = Vec::new();
        for one in &list.subscription {
            let path = one.path.clone().unwrap_or_default();
            let pattern = pattern(list.prefix.as_ref(), &path)?;
            if !pattern.known(self.schema) {
                return Err(Status::not_found(format!(
                    "{}: leads nowhere in the model (given: {0}; taken: a path of it)",
                    text(&path)
                )));
            }
            wanted.push(Wanted::new((pattern, encoding.into()), one, &self.limits)?);
        }
        if wanted.is_empty() || wanted.len() > MOST {
            return Err(wrong(
                "subscribe",
                "has no subscription, or too many",
                &wanted.len().to_string(),
                &format!("1 to {MOST}"),
            ));
        }
        let (sender, receiver) = mpsc::channel(4);
        let stream = Subscription {
            service: self.clone_for_stream(),
            key,
            wanted,
            updates_only: list.updates_only,
            sender,
            prefix: list
                .prefix
                .as_ref()
                .filter(|prefix| !prefix.target.is_empty())
                .map(|prefix| Path { target: prefix.target.clone(), ..Path::default() }),
        };
        self.streams.fetch_add(1, Relaxed);
        let streams = self.streams.clone();
        tokio::spawn(async move {
            stream.run(mode, asks).await;
            streams.fetch_sub(1, Relaxed);
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }
}

/// Subscriptions of one stream.
const MOST: usize = 64;

impl Service {
    /// What of everything is asked for: what operators set, or the router's own.
    fn of_type(&self, mut data: Data, of: i32) -> Vec<Data> {
        use get_request::DataType;
        if let Content::Inner(children) = &mut data.content {
            let config = |child: &Data| self.schema.node_of(child.node).config;
            match DataType::try_from(of) {
                Ok(DataType::Config) => children.retain(config),
                Ok(DataType::State | DataType::Operational) => children.retain(|child| !config(child)),
                _ => {}
            }
        }
        vec![data]
    }

    fn updates(&self, wanted: &Pattern, data: &[Data], of: Encoding) -> Vec<Update> {
        let found: Vec<(Instance, &Data)> = if wanted.0.is_empty() {
            data.iter().map(|data| (Instance(vec![data.step(self.schema)]), data)).collect()
        } else {
            wanted.select(self.schema, data)
        };
        if of == Encoding::Proto {
            let mut leaves = BTreeMap::new();
            found.iter().for_each(|(at, data)| collect(self.schema, of, at, data, &mut leaves));
            return leaves
                .into_iter()
                .map(|(at, val)| Update { path: Some(path_of(&at)), val: Some(val), duplicates: 0 })
                .collect();
        }
        let update = |(at, data): (Instance, &Data)| Update {
            path: Some(path_of(&at)),
            val: Some(self.json_value(data, of)),
            duplicates: 0,
        };
        found.into_iter().map(update).collect()
    }

    fn clone_for_stream(&self) -> Arc<Reader> {
        Arc::new(Reader {
            schema: self.schema,
            whole: self.whole.clone(),
            desk: self.desk.clone(),
            log: self.log.clone(),
        })
    }
}

/// What a stream holds of the service.
struct Reader {
    schema: &'static Schema,
    whole: watch::Receiver<Arc<Whole>>,
    desk: Handle,
    log: Logger,
}

/// One subscription of a stream.
struct Wanted {
    wish: Wish,
    on_change: bool,
    /// Between samples, and between signs of life; none: never.
    sample: Option<Duration>,
    heartbeat: Option<Duration>,
    suppress: bool,
    due: Option<Instant>,
    beat: Option<Instant>,
    /// What was sent last.
    sent: Arc<Leaves>,
}

impl Wanted {
    fn new(wish: Wish, of: &crate::proto::gnmi::Subscription, limits: &Limits) -> Result<Self, Status> {
        let mode = SubscriptionMode::try_from(of.mode).map_err(|_| {
            wrong("subscription/mode", "no such mode", &of.mode.to_string(), "ON_CHANGE or SAMPLE")
        })?;
        let on_change = mode != SubscriptionMode::Sample;
        let least = Duration::from_secs_f64(limits.sample);
        let interval = Duration::from_nanos(of.sample_interval);
        if !on_change && of.sample_interval > 0 && interval < least {
            let taken = format!("0, or at least {} ns", least.as_nanos());
            return Err(wrong(
                "subscription/sample_interval",
                "is too short",
                &of.sample_interval.to_string(),
                &taken,
            ));
        }
        let sample = (!on_change).then(|| interval.max(least));
        let heartbeat =
            (of.heartbeat_interval > 0).then(|| Duration::from_nanos(of.heartbeat_interval).max(least));
        let (now, sent) = (Instant::now(), Arc::default());
        let (due, beat) = (sample.map(|every| now + every), heartbeat.map(|every| now + every));
        Ok(Wanted { wish, on_change, sample, heartbeat, suppress: of.suppress_redundant, due, beat, sent })
    }
}

struct Subscription {
    service: Arc<Reader>,
    key: Key,
    wanted: Vec<Wanted>,
    updates_only: bool,
    sender: mpsc::Sender<Result<SubscribeResponse, Status>>,
    prefix: Option<Path>,
}

impl Subscription {
    async fn run(mut self, mode: Mode, asks: Streaming<SubscribeRequest>) {
        info!(self.service.log, "a gNMI stream began"; "key" => &self.key.name, "mode" => ?mode);
        let why = match mode {
            Mode::Once => self.once().await,
            Mode::Poll => self.polled(asks).await,
            Mode::Stream => self.streamed(asks).await,
        };
        info!(self.service.log, "a gNMI stream ended"; "key" => &self.key.name, "why" => why);
    }

    async fn send(&self, response: Told) -> bool {
        self.sender.send(Ok(SubscribeResponse { response: Some(response), extension: vec![] })).await.is_ok()
    }

    /// Everything that is wanted, then that it was everything.
    async fn all(&mut self, silent: bool) -> bool {
        let whole = self.service.whole.borrow().clone();
        for place in 0..self.wanted.len() {
            let now = whole.leaves(self.service.schema, &self.wanted[place].wish);
            let update: Vec<_> = now.iter().map(|(at, value)| update(at, value, 0)).collect();
            self.wanted[place].sent = now;
            if !silent && !update.is_empty() && !self.tell(update, vec![]).await {
                return false;
            }
        }
        self.send(Told::SyncResponse(true)).await
    }

    async fn tell(&self, update: Vec<Update>, delete: Vec<Path>) -> bool {
        let prefix = self.prefix.clone();
        self.send(Told::Update(Notification { timestamp: nanos(), prefix, update, delete, atomic: false }))
            .await
    }

    async fn once(&mut self) -> &'static str {
        if self.all(self.updates_only).await { "all was sent" } else { "it went away" }
    }

    async fn polled(&mut self, mut asks: Streaming<SubscribeRequest>) -> &'static str {
        if !self.all(self.updates_only).await {
            return "it went away";
        }
        while let Some(Ok(ask)) = asks.next().await {
            match ask.request {
                Some(Asked::Poll(_)) if !self.known() => return "its key is no longer in the file of keys",
                Some(Asked::Poll(_)) => {
                    if !self.all(false).await {
                        return "it went away";
                    }
                }
                _ => {
                    let _ =
                        self.sender.send(Err(wrong("subscribe", "is no poll", "another", "a poll"))).await;
                    return "it sent something else than a poll";
                }
            }
        }
        "it asked no more"
    }

    fn known(&self) -> bool {
        self.service
            .desk
            .keys
            .load()
            .rights(&self.key.name, &self.key.proof)
            .is_some_and(|rights| rights.read)
    }

    async fn streamed(&mut self, mut asks: Streaming<SubscribeRequest>) -> &'static str {
        let mut changes = self.service.whole.clone();
        let mut seen = changes.borrow_and_update().number;
        if !self.all(self.updates_only).await {
            return "it went away";
        }
        loop {
            let next = self.wanted.iter().flat_map(|wanted| [wanted.due, wanted.beat]).flatten().min();
            // Keys may go at any time, also while nothing changes.
            let look = Instant::now() + Duration::from_secs(1);
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return "the router stops" },
                _ = sleep_until(next.map_or(look, |next| next.min(look))) => {}
                ask = asks.next() => match ask {
                    None => return "it asked no more",
                    Some(Err(_)) => return "it went away",
                    Some(Ok(_)) => {
                        let _ = self.sender.send(Err(wrong("subscribe", "a stream takes no more requests", "another", "none"))).await;
                        return "it sent something else";
                    }
                },
                _ = self.sender.closed() => return "it went away",
            }
            if !self.known() {
                let _ = self
                    .sender
                    .send(Err(Status::unauthenticated("certificate: is no longer in the file of keys")))
                    .await;
                return "its key is no longer in the file of keys";
            }
            let whole = changes.borrow_and_update().clone();
            let number = whole.number;
            // Who reads slowly gets the newest, and is told how many changes that stands for.
            let coalesced = number.saturating_sub(seen + 1) as u32;
            let changed = number != seen;
            seen = number;
            let now = Instant::now();
            for place in 0..self.wanted.len() {
                let wanted = &mut self.wanted[place];
                let sampled = wanted.due.is_some_and(|due| due <= now);
                let beat = wanted.beat.is_some_and(|beat| beat <= now);
                if sampled {
                    wanted.due = wanted.sample.map(|every| now + every);
                }
                if beat {
                    wanted.beat = wanted.heartbeat.map(|every| now + every);
                }
                if !(wanted.on_change && changed || sampled || beat) {
                    continue;
                }
                let all = beat || sampled && !wanted.suppress;
                let (now, changes) = whole.changes(self.service.schema, &wanted.wish, &wanted.sent);
                let mut updates: Vec<_> =
                    changes.updates.iter().map(|(at, value)| update(at, value, coalesced)).collect();
                if all {
                    let told = |at: &Instance| {
                        changes.updates.binary_search_by(|(changed, _)| changed.cmp(at)).is_ok()
                    };
                    updates.extend(
                        now.iter().filter(|(at, _)| !told(at)).map(|(at, value)| update(at, value, 0)),
                    );
                }
                let gone = changes.gone.clone();
                wanted.sent = now;
                if (!updates.is_empty() || !gone.is_empty()) && !self.tell(updates, gone).await {
                    return "it went away";
                }
            }
        }
    }
}

fn update(at: &Instance, value: &TypedValue, duplicates: u32) -> Update {
    Update { path: Some(path_of(at)), val: Some(value.clone()), duplicates }
}

fn collect(
    schema: &Schema, of: Encoding, at: &Instance, data: &Data, out: &mut BTreeMap<Instance, TypedValue>,
) {
    match &data.content {
        Content::Inner(children) => {
            children.iter().for_each(|child| collect(schema, of, &at.below(child.step(schema)), child, out));
        }
        Content::Leaf(text) => {
            let list = matches!(schema.node_of(data.node).kind, NodeKind::LeafList { .. });
            let value = json::value(schema, data);
            let value = match (of, value) {
                (Encoding::Proto, Json::Bool(flag)) => Value::BoolVal(flag),
                (Encoding::Proto, Json::Number(number)) => match number.as_u64() {
                    Some(number) => Value::UintVal(number),
                    None => Value::IntVal(number.as_i64().unwrap_or_default()),
                },
                (Encoding::Proto, _) => proto_text(schema, data.node, text),
                (Encoding::Json, value) => Value::JsonVal(value.to_string().into_bytes()),
                (_, value) => Value::JsonIetfVal(value.to_string().into_bytes()),
            };
            match (list, out.get_mut(at)) {
                (true, Some(TypedValue { value: Some(Value::LeaflistVal(all)) })) => {
                    all.element.push(TypedValue { value: Some(value) })
                }
                (true, _) => {
                    let all = ScalarArray { element: vec![TypedValue { value: Some(value) }] };
                    out.insert(at.clone(), TypedValue { value: Some(Value::LeaflistVal(all)) });
                }
                _ => drop(out.insert(at.clone(), TypedValue { value: Some(value) })),
            }
        }
    }
}

/// Numbers of 64 bits and decimals are text in JSON, and numbers in PROTO.
fn proto_text(schema: &Schema, node: NodeId, text: &str) -> Value {
    use kestreltide_model::types::Type;
    match &schema.node_of(node).kind {
        NodeKind::Leaf { of: Type::Whole { signed: true, .. }, .. } => {
            Value::IntVal(text.parse().unwrap_or_default())
        }
        NodeKind::Leaf { of: Type::Whole { .. }, .. } => Value::UintVal(text.parse().unwrap_or_default()),
        NodeKind::Leaf { of: Type::Decimal { .. }, .. } => Value::DoubleVal(text.parse().unwrap_or_default()),
        _ => Value::StringVal(text.into()),
    }
}

/// What TLS needs, in PEM.
pub struct Tls {
    pub certificate: Vec<u8>,
    pub key: Vec<u8>,
    /// Who signs clients' certificates.
    pub clients: Vec<u8>,
}

/// Serves until the listener fails for good.
pub async fn serve(
    log: Logger, desk: Handle, limits: Limits, listener: TcpListener, tls: Tls,
) -> Result<(), String> {
    let schema = kestreltide_model::published()?;
    let bind = Arc::new(Bind::new(schema)?);
    let whole = {
        let (desk, bind) = (desk.clone(), bind.clone());
        follow(schema, bind, desk)
    };
    let service = Service {
        log: log.clone(),
        desk,
        limits: limits.clone(),
        schema,
        bind,
        whole,
        masters: Mutex::default(),
        sessions: Mutex::default(),
        streams: Arc::default(),
        number: AtomicU32::new(1),
    };
    let service = GNmiServer::new(service).max_decoding_message_size(limits.message);
    let clients = Certificate::from_pem(tls.clients);
    let identity = Identity::from_pem(tls.certificate, tls.key);
    let config = ServerTlsConfig::new()
        .identity(identity)
        .client_ca_root(clients)
        .timeout(Duration::from_secs_f64(limits.enter));
    let server =
        Server::builder().tls_config(config).map_err(|e| format!("certificate: cannot be used: {e}"))?;
    let alive = Duration::from_secs_f64(limits.alive);
    let mut server = server
        .max_concurrent_streams(limits.streams)
        .concurrency_limit_per_connection(limits.streams as usize)
        .http2_keepalive_interval(Some(alive))
        .http2_keepalive_timeout(Some(alive * limits.missed as u32))
        .http2_max_pending_accept_reset_streams(Some(limits.streams as usize))
        .tcp_nodelay(true);
    server.add_service(service).serve_with_incoming(placed(listener, limits.connections)).await.map_err(|e| {
        warn!(log, "gNMI ended"; "error" => %e);
        e.to_string()
    })
}

/// Follows what is published, and says when something changed. Streams share what they make of it.
fn follow(schema: &'static Schema, bind: Arc<Bind>, desk: Handle) -> watch::Receiver<Arc<Whole>> {
    let whole = move |number, view: &Arc<View>, published: &Arc<Published>| {
        let (bind, view, published) = (bind.clone(), view.clone(), published.clone());
        Arc::new(Whole::new(number, Box::new(move || vec![state::all(schema, &bind, &view, &published)])))
    };
    let (mut view, mut published) = (desk.view.load_full(), desk.published.load_full());
    let (sender, receiver) = watch::channel(whole(0, &view, &published));
    tokio::spawn(async move {
        let mut number = 0;
        while !sender.is_closed() {
            // Nobody has to tell: a look costs two pointers.
            sleep(LOOK).await;
            let (now, of_desk) = (desk.view.load_full(), desk.published.load_full());
            if Arc::ptr_eq(&now, &view) && Arc::ptr_eq(&of_desk, &published) {
                continue;
            }
            // Each revision counts, also those that came between two looks: who is told of the newest is told how
            // many it stands for.
            let revisions = of_desk.in_force.revision.0.saturating_sub(published.in_force.revision.0);
            (view, published, number) = (now, of_desk, number + revisions.max(1));
            let _ = sender.send(whole(number, &view, &published));
        }
    });
    receiver
}

/// Between looks at what is published.
const LOOK: Duration = Duration::from_millis(5);

/// A connection that has its place among those that may be open.
struct Placed {
    stream: TcpStream,
    _place: OwnedSemaphorePermit,
}

impl Connected for Placed {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for Placed {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Ready<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Placed {
    fn poll_write(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8],
    ) -> Ready<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Ready<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Ready<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Connections that come, those beyond so many closed at once: half a handshake holds a place, not the service.
fn placed(listener: TcpListener, most: usize) -> ReceiverStream<std::io::Result<Placed>> {
    let (sender, receiver) = mpsc::channel(1);
    let room = Arc::new(Semaphore::new(most));
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(100)).await;
                continue;
            };
            let Ok(place) = room.clone().try_acquire_owned() else { continue };
            if sender.send(Ok(Placed { stream, _place: place })).await.is_err() {
                return;
            }
        }
    });
    ReceiverStream::new(receiver)
}
