//! One NETCONF session: what each message leads to. Free of I/O: a message gives a step, some of which ask the desk
//! and come back with its answer.
//!
//! Each session has a candidate of its own, made from the revision that was in force when it began; who commits
//! second is told which leaf both changed (draft-ietf-netconf-privcand has the same idea). Edits are all or
//! nothing whatever the error-option says.

use std::fmt::Write;

use kestreltide_datastore::desk::{Confirm, Refused, SessionId, Target};
use kestreltide_datastore::{Author, Candidate, Fault, Path, Rights, Source, Tree};
use kestreltide_model::bind::Bind;
use kestreltide_model::data::Instance;
use kestreltide_model::edit::{EditFault, Op, Tag, apply, of_xml};
use kestreltide_model::path::{Filter, Pattern};
use kestreltide_model::xml::{self, Element, XmlLimits, escaped};
use kestreltide_model::{Data, Schema};

use crate::desk::Handle;
use crate::state;

pub const BASE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";
const NOTIFICATIONS: &str = "urn:ietf:params:xml:ns:netconf:notification:1.0";
const MONITORING: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring";
const CAPABILITIES: [&str; 11] = [
    "urn:ietf:params:netconf:base:1.0",
    "urn:ietf:params:netconf:base:1.1",
    "urn:ietf:params:netconf:capability:writable-running:1.0",
    "urn:ietf:params:netconf:capability:candidate:1.0",
    "urn:ietf:params:netconf:capability:confirmed-commit:1.1",
    "urn:ietf:params:netconf:capability:rollback-on-error:1.0",
    "urn:ietf:params:netconf:capability:validate:1.1",
    "urn:ietf:params:netconf:capability:xpath:1.0",
    "urn:ietf:params:netconf:capability:notification:1.0",
    "urn:ietf:params:netconf:capability:interleave:1.0",
    "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring?module=ietf-netconf-monitoring&revision=2010-10-04",
];
/// Seconds: how long a commit waits to be confirmed where nothing is said (RFC 6241, section 8.4.5.1), and at most.
const CONFIRM: [f64; 2] = [600.0, 86_400.0];

/// An rpc-error.
#[derive(Clone, Debug, PartialEq)]
struct RpcError {
    kind: &'static str,
    tag: String,
    path: Option<String>,
    message: String,
    /// Name and content of what stands in error-info.
    info: Vec<(&'static str, String)>,
}

impl RpcError {
    fn new(kind: &'static str, tag: &str, message: impl Into<String>) -> Self {
        RpcError { kind, tag: tag.into(), path: None, message: message.into(), info: vec![] }
    }

    fn missing(element: &str) -> Self {
        let error = Self::new(
            "protocol",
            "missing-element",
            format!("{element}: is missing (given: nothing; taken: {element})"),
        );
        RpcError { info: vec![("bad-element", element.into())], ..error }
    }

    fn unknown(element: &str) -> Self {
        let error = Self::new(
            "protocol",
            "unknown-element",
            format!("{element}: is not known here (given: {element}; taken: what RFC 6241 has)"),
        );
        RpcError { info: vec![("bad-element", element.into())], ..error }
    }

    fn invalid(path: &str, what: &str, given: &str, taken: &str) -> Self {
        let given = kestreltide_datastore::draft::shown(given);
        Self::new("protocol", "invalid-value", Fault::new(path, what, given, taken).to_string())
    }

    fn write(&self, out: &mut String) {
        let _ = write!(
            out,
            "<rpc-error><error-type>{}</error-type><error-tag>{}</error-tag>",
            self.kind, self.tag
        );
        out.push_str("<error-severity>error</error-severity>");
        if let Some(path) = &self.path {
            let _ = write!(
                out,
                "<error-path xmlns:kr=\"urn:kestreltide:yang:router\">{}</error-path>",
                escaped(path)
            );
        }
        let _ = write!(out, "<error-message xml:lang=\"en\">{}</error-message>", escaped(&self.message));
        if !self.info.is_empty() {
            out.push_str("<error-info>");
            for (name, content) in &self.info {
                let _ = write!(out, "<{name}>{}</{name}>", escaped(content));
            }
            out.push_str("</error-info>");
        }
        out.push_str("</rpc-error>");
    }
}

/// Where a leaf of the datastore stands in the model, as an XPath.
fn xpath(path: &Path) -> String {
    let leaf = path.leaf().name();
    match path {
        Path::Host(name, _) => format!("/kr:router/kr:hosts/kr:host[kr:name='{name}']/kr:{leaf}"),
        Path::Route(name, _) => format!("/kr:router/kr:routes/kr:route[kr:name='{name}']/kr:{leaf}"),
        Path::Guards(_) => format!("/kr:router/kr:guards/kr:{leaf}"),
        Path::Ring(_) => format!("/kr:router/kr:ring/kr:{leaf}"),
    }
}

fn instance(at: &Instance) -> String {
    let mut out = String::new();
    for step in &at.0 {
        let _ = write!(out, "/kr:{}", step.name);
        for (key, value) in &step.keys {
            let _ = write!(out, "[kr:{key}='{value}']");
        }
    }
    out
}

fn of_fault(fault: &Fault) -> RpcError {
    let tag = if fault.what.contains("is missing") { "data-missing" } else { "operation-failed" };
    let path = fault.path.parse().ok().map(|path| xpath(&path));
    RpcError { path, ..RpcError::new("application", tag, fault.to_string()) }
}

fn of_edit(fault: &EditFault) -> RpcError {
    let info = match fault.tag {
        Tag::UnknownElement | Tag::MissingElement => vec![("bad-element", fault.about.clone())],
        Tag::UnknownNamespace => {
            vec![("bad-element", fault.about.clone()), ("bad-namespace", fault.fault.given.clone())]
        }
        Tag::UnknownAttribute | Tag::BadAttribute => {
            vec![("bad-attribute", fault.about.clone()), ("bad-element", fault.about.clone())]
        }
        _ => vec![],
    };
    let path = Some(instance(&fault.at)).filter(|path| !path.is_empty());
    RpcError { path, info, ..RpcError::new("application", &fault.tag.to_string(), fault.fault.to_string()) }
}

fn of_refused(refused: &Refused) -> Vec<RpcError> {
    match refused {
        Refused::Faults(faults) => {
            let mut errors: Vec<_> = faults.first.iter().map(of_fault).collect();
            if faults.more > 0 {
                errors.push(RpcError::new(
                    "application",
                    "operation-failed",
                    format!("and {} more", faults.more),
                ));
            }
            errors
        }
        Refused::Locked(holder) => {
            let error = RpcError::new("protocol", "lock-denied", refused.to_string());
            vec![RpcError { info: vec![("session-id", holder.to_string())], ..error }]
        }
        Refused::Waiting(pending) => {
            let error = RpcError::new("protocol", "in-use", refused.to_string());
            vec![RpcError {
                info: vec![("session-id", pending.session.map_or(0, |session| session.0).to_string())],
                ..error
            }]
        }
        Refused::NothingWaits => vec![RpcError::new("protocol", "invalid-value", refused.to_string())],
        Refused::NotHeld => vec![RpcError::new("protocol", "operation-failed", refused.to_string())],
    }
}

/// What the desk is asked for a message.
#[derive(Clone, Debug)]
pub enum Asked {
    Lock(Target),
    Unlock(Target),
    Validate(Candidate),
    /// Of the session's own candidate, or of one edit of what runs.
    Commit {
        candidate: Candidate,
        confirm: Option<Confirm>,
        persist_id: Option<String>,
    },
    Confirm {
        persist_id: Option<String>,
    },
    Cancel {
        persist_id: Option<String>,
    },
}

/// What to do after a message.
#[derive(Debug)]
pub enum Step {
    Reply(String),
    /// Ask, and give the answer to [`Session::answered`].
    Ask(Asked),
    /// The reply, then the session is over.
    Close(String),
    /// Another session is to be ended; the reply.
    Kill(SessionId, String),
    /// The reply; from then on what happens is told.
    Subscribe(String),
    /// It is over without a reply: no messages can be read any more.
    Over(&'static str),
}

pub struct Session {
    pub id: SessionId,
    name: String,
    schema: &'static Schema,
    bind: std::sync::Arc<Bind>,
    greeted: bool,
    chunks: bool,
    candidate: Option<Candidate>,
    subscribed: bool,
    /// Attributes of the rpc that is being answered.
    attributes: String,
}

impl Session {
    pub fn new(id: SessionId, name: &str, schema: &'static Schema, bind: std::sync::Arc<Bind>) -> Self {
        let (greeted, chunks, subscribed, attributes) = (false, false, false, String::new());
        Session {
            id,
            name: name.into(),
            schema,
            bind,
            greeted,
            chunks,
            candidate: None,
            subscribed,
            attributes,
        }
    }

    /// The first message of the server.
    pub fn hello(&self) -> String {
        let mut out =
            format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?><hello xmlns=\"{BASE}\"><capabilities>");
        for capability in CAPABILITIES {
            let _ = write!(out, "<capability>{}</capability>", escaped(capability));
        }
        for module in &self.schema.modules {
            let capability =
                format!("{}?module={}&revision={}", module.namespace, module.name, module.revision);
            let _ = write!(out, "<capability>{}</capability>", escaped(&capability));
        }
        let _ = write!(out, "</capabilities><session-id>{}</session-id></hello>", self.id);
        out
    }

    pub fn greeted(&self) -> bool {
        self.greeted
    }

    /// Whether messages are chunked from now on: both have said base:1.1.
    pub fn chunked(&self) -> bool {
        self.greeted && self.chunks
    }

    fn author(&self) -> Author {
        Author {
            source: Source::Management,
            name: self.name.clone(),
            version: format!("netconf session {}", self.id),
        }
    }

    /// What a message leads to.
    pub fn message(&mut self, bytes: &[u8], rights: Rights, desk: &Handle) -> Step {
        let Ok(text) = std::str::from_utf8(bytes) else { return self.malformed("is not UTF-8") };
        let element = match xml::read(text, &XmlLimits::default()) {
            Ok(element) => element,
            Err(why) => return self.malformed(&why),
        };
        if !self.greeted {
            let capabilities = element
                .child("capabilities")
                .filter(|_| element.name == "hello" && element.namespace == BASE);
            let Some(capabilities) = capabilities else { return Step::Over("the first message is no hello") };
            let says = |base: &str| capabilities.children.iter().any(|child| child.text.trim() == base);
            if !says(CAPABILITIES[0]) && !says(CAPABILITIES[1]) {
                return Step::Over("no base version in common");
            }
            (self.greeted, self.chunks) = (true, says(CAPABILITIES[1]));
            return Step::Reply(String::new());
        }
        if element.name != "rpc" || element.namespace != BASE {
            return self.malformed("is no rpc");
        }
        self.attributes.clear();
        for (_, name, value) in element.attributes.iter().filter(|(namespace, ..)| namespace.is_empty()) {
            let _ = write!(self.attributes, " {name}=\"{}\"", escaped(value));
        }
        if element.attribute("", "message-id").is_none() {
            let error = RpcError::new(
                "rpc",
                "missing-attribute",
                "rpc: has no message-id (given: nothing; taken: message-id)",
            );
            let info = vec![("bad-attribute", "message-id".into()), ("bad-element", "rpc".into())];
            return Step::Reply(self.errors(&[RpcError { info, ..error }]));
        }
        let [operation] = element.children.as_slice() else {
            return Step::Reply(self.errors(&[RpcError::missing("operation")]));
        };
        self.operation(operation, rights, desk).unwrap_or_else(|errors| Step::Reply(self.errors(&errors)))
    }

    fn malformed(&self, why: &str) -> Step {
        // There is no message-id to answer with (RFC 6241, section 4.1); the session goes on.
        if !self.greeted {
            return Step::Over("the first message is no hello");
        }
        let error = RpcError::new(
            "rpc",
            "malformed-message",
            format!("message: {why} (given: bytes; taken: an rpc)"),
        );
        let mut out = format!("<rpc-reply xmlns=\"{BASE}\">");
        error.write(&mut out);
        Step::Reply(out + "</rpc-reply>")
    }

    fn ok(&self) -> String {
        format!("<rpc-reply xmlns=\"{BASE}\"{}><ok/></rpc-reply>", self.attributes)
    }

    fn errors(&self, errors: &[RpcError]) -> String {
        let mut out = format!("<rpc-reply xmlns=\"{BASE}\"{}>", self.attributes);
        errors.iter().for_each(|error| error.write(&mut out));
        out + "</rpc-reply>"
    }

    fn data(&self, data: &[Data]) -> String {
        let mut out = format!("<rpc-reply xmlns=\"{BASE}\"{}><data>", self.attributes);
        xml::write(self.schema, data, &mut out);
        out + "</data></rpc-reply>"
    }

    /// The desk's answer to what was asked.
    pub fn answered(&mut self, asked: &Asked, answer: Result<(), Refused>) -> String {
        match answer {
            Ok(()) => {
                if matches!(asked, Asked::Commit { .. } | Asked::Cancel { .. }) {
                    self.candidate = None;
                }
                self.ok()
            }
            Err(refused) => self.errors(&of_refused(&refused)),
        }
    }

    /// Who asks, for the desk's records.
    pub fn asked_by(&self) -> Author {
        self.author()
    }

    fn operation(&mut self, of: &Element, rights: Rights, desk: &Handle) -> Result<Step, Vec<RpcError>> {
        let own = self.schema.modules.iter().find(|module| module.namespace == of.namespace);
        if let Some(module) = own {
            let name = format!("{}:{}", module.name, of.name);
            return self.trial(of, &name, rights, desk);
        }
        match (of.namespace.as_str(), of.name.as_str()) {
            (BASE, "get" | "get-config") => {
                if !rights.read {
                    return Err(vec![denied("reading", rights)]);
                }
                let filter = self.filter(of.child("filter"))?;
                let data = if of.name == "get" {
                    state::all(self.schema, &self.bind, &desk.view.load(), &desk.published.load())
                } else {
                    let tree = match target(of, "source")? {
                        Target::Running => desk.published.load().in_force.tree.clone(),
                        Target::Candidate => std::sync::Arc::new(self.candidate(desk).tree.clone()),
                    };
                    self.bind.data(self.schema, &tree)
                };
                Ok(Step::Reply(self.data(&filter.prune(self.schema, &[data]))))
            }
            (BASE, "edit-config") => self.edit_config(of, rights, desk),
            (BASE, "copy-config") => Err(vec![unsupported("copy-config", "edit-config with replace")]),
            (BASE, "delete-config") => Err(vec![unsupported("delete-config", "edit-config with delete")]),
            (BASE, "lock") => Ok(Step::Ask(Asked::Lock(target(of, "target")?))),
            (BASE, "unlock") => Ok(Step::Ask(Asked::Unlock(target(of, "target")?))),
            (BASE, "validate") => {
                let source = of.child("source").ok_or_else(|| vec![RpcError::missing("source")])?;
                let candidate = match source.child("config") {
                    Some(config) => {
                        let mut candidate = Candidate::of(&desk.published.load().in_force);
                        candidate.tree = Tree::default();
                        self.edited(&mut candidate.tree, config, Op::Merge)?;
                        candidate
                    }
                    None => match target(of, "source")? {
                        Target::Running => Candidate::of(&desk.published.load().in_force),
                        Target::Candidate => self.candidate(desk).clone(),
                    },
                };
                Ok(Step::Ask(Asked::Validate(candidate)))
            }
            (BASE, "commit") => self.commit(of, rights, desk),
            (BASE, "cancel-commit") => Ok(Step::Ask(Asked::Cancel { persist_id: text(of, "persist-id") })),
            (BASE, "discard-changes") => {
                self.candidate = None;
                Ok(Step::Reply(self.ok()))
            }
            (BASE, "close-session") => Ok(Step::Close(self.ok())),
            (BASE, "kill-session") => {
                let said = text(of, "session-id").ok_or_else(|| vec![RpcError::missing("session-id")])?;
                let session = said.parse().ok().filter(|number| *number != self.id.0 && *number > 0);
                let wrong = || {
                    vec![RpcError::invalid(
                        "session-id",
                        "is no other session",
                        &said,
                        "another session's id",
                    )]
                };
                Ok(Step::Kill(SessionId(session.ok_or_else(wrong)?), self.ok()))
            }
            (NOTIFICATIONS, "create-subscription") => {
                if !rights.read {
                    return Err(vec![denied("reading", rights)]);
                }
                if self.subscribed {
                    return Err(vec![RpcError::new(
                        "protocol",
                        "in-use",
                        "this session is subscribed already",
                    )]);
                }
                let stream = text(of, "stream").unwrap_or_else(|| "NETCONF".into());
                if stream != "NETCONF" {
                    return Err(vec![RpcError::invalid("stream", "no such stream", &stream, "NETCONF")]);
                }
                if let Some(other) =
                    ["startTime", "stopTime", "filter"].into_iter().find(|name| of.child(name).is_some())
                {
                    return Err(vec![unsupported(other, "a subscription from now on, to everything")]);
                }
                self.subscribed = true;
                Ok(Step::Subscribe(self.ok()))
            }
            (MONITORING, "get-schema") => {
                let name = text(of, "identifier").ok_or_else(|| vec![RpcError::missing("identifier")])?;
                let module = self.schema.modules.iter().find(|module| module.name == name);
                let known: Vec<_> = self.schema.modules.iter().map(|module| module.name.as_str()).collect();
                let module = module.ok_or_else(|| {
                    vec![RpcError::invalid("identifier", "no such module", &name, &known.join(", "))]
                })?;
                let out =
                    format!("<rpc-reply xmlns=\"{BASE}\"{}><data xmlns=\"{MONITORING}\">", self.attributes);
                Ok(Step::Reply(format!("{out}{}</data></rpc-reply>", escaped(&module.text))))
            }
            (_, other) => {
                let error = RpcError::unknown(other);
                Err(vec![RpcError { tag: "operation-not-supported".into(), ..error }])
            }
        }
    }

    fn filter(&self, filter: Option<&Element>) -> Result<Filter, Vec<RpcError>> {
        let Some(filter) = filter else { return Ok(Filter::All) };
        let of = |name: &str| filter.attribute("", name).or_else(|| filter.attribute(BASE, name));
        match of("type").unwrap_or("subtree") {
            "subtree" => Ok(Filter::Subtree(filter.children.clone())),
            "xpath" => {
                let missing = || {
                    let error = RpcError::new(
                        "protocol",
                        "missing-attribute",
                        "filter: has no select (given: nothing; taken: an XPath)",
                    );
                    vec![RpcError {
                        info: vec![("bad-attribute", "select".into()), ("bad-element", "filter".into())],
                        ..error
                    }]
                };
                let select = of("select").ok_or_else(missing)?;
                let wrong = |why: String| {
                    vec![RpcError::invalid(
                        "filter/select",
                        &why,
                        select,
                        "absolute paths of names, *, // and keys",
                    )]
                };
                let patterns = Pattern::xpath(select).map_err(wrong)?;
                match patterns.iter().all(|pattern| pattern.known(self.schema)) {
                    true => Ok(Filter::Paths(patterns)),
                    false => Err(wrong("leads nowhere in the model".into())),
                }
            }
            other => {
                let error = RpcError::invalid("filter/type", "no such type", other, "subtree or xpath");
                Err(vec![RpcError {
                    tag: "bad-attribute".into(),
                    info: vec![("bad-attribute", "type".into()), ("bad-element", "filter".into())],
                    ..error
                }])
            }
        }
    }

    fn candidate(&mut self, desk: &Handle) -> &mut Candidate {
        self.candidate.get_or_insert_with(|| Candidate::of(&desk.published.load().in_force))
    }

    /// Edits a tree by a `config` element, whole or not at all.
    fn edited(&self, tree: &mut Tree, config: &Element, default: Op) -> Result<(), Vec<RpcError>> {
        let mut faults = vec![];
        let edits = of_xml(self.schema, None, &Instance::default(), &config.children, &mut faults);
        if faults.is_empty() {
            faults = apply(self.schema, &self.bind, tree, &edits, default).err().unwrap_or_default();
        }
        if faults.is_empty() { Ok(()) } else { Err(faults.iter().map(of_edit).collect()) }
    }

    fn edit_config(&mut self, of: &Element, rights: Rights, desk: &Handle) -> Result<Step, Vec<RpcError>> {
        let target = target(of, "target")?;
        let default = text(of, "default-operation").unwrap_or_else(|| "merge".into());
        let wrong = || {
            vec![RpcError::invalid(
                "default-operation",
                "no such operation",
                &default,
                "merge, replace or none",
            )]
        };
        let default = Op::by_default(&default).ok_or_else(wrong)?;
        let option = text(of, "error-option").unwrap_or_else(|| "stop-on-error".into());
        // Whichever it is, an edit that cannot be done whole is not done at all.
        if !["stop-on-error", "continue-on-error", "rollback-on-error"].contains(&option.as_str()) {
            let taken = "stop-on-error, continue-on-error or rollback-on-error";
            return Err(vec![RpcError::invalid("error-option", "no such option", &option, taken)]);
        }
        let test = text(of, "test-option").unwrap_or_else(|| "test-then-set".into());
        if !["test-then-set", "set", "test-only"].contains(&test.as_str()) {
            return Err(vec![RpcError::invalid(
                "test-option",
                "no such option",
                &test,
                "test-then-set, set or test-only",
            )]);
        }
        let config = of.child("config").ok_or_else(|| vec![RpcError::missing("config")])?;
        let mut candidate = match target {
            Target::Running => Candidate::of(&desk.published.load().in_force),
            Target::Candidate => self.candidate(desk).clone(),
        };
        let before = candidate.tree.clone();
        let by_default = if default == Op::Replace {
            candidate.tree = Tree::default();
            Op::Merge
        } else {
            default
        };
        self.edited(&mut candidate.tree, config, by_default)?;
        self.allowed(&before, &candidate.tree, rights, desk)?;
        if test == "test-only" {
            return Ok(Step::Ask(Asked::Validate(candidate)));
        }
        match target {
            Target::Running => Ok(Step::Ask(Asked::Commit { candidate, confirm: None, persist_id: None })),
            Target::Candidate => {
                self.candidate = Some(candidate);
                Ok(Step::Reply(self.ok()))
            }
        }
    }

    /// Whether the rights cover the changes; who tries without is told and remembered.
    fn allowed(
        &self, before: &Tree, after: &Tree, rights: Rights, desk: &Handle,
    ) -> Result<(), Vec<RpcError>> {
        rights.check(&before.differences(after)).map_err(|fault| {
            let path = fault.path.parse().ok().map(|path| xpath(&path));
            (desk.ask)(crate::Ask::Denied { author: self.author(), fault: fault.clone() });
            vec![RpcError { path, ..RpcError::new("application", "access-denied", fault.to_string()) }]
        })
    }

    fn commit(&mut self, of: &Element, rights: Rights, desk: &Handle) -> Result<Step, Vec<RpcError>> {
        let persist_id = text(of, "persist-id");
        let confirm = match of.child("confirmed") {
            None => None,
            Some(_) => {
                let said = text(of, "confirm-timeout");
                let within = match &said {
                    None => Some(CONFIRM[0]),
                    Some(said) => said
                        .parse::<u32>()
                        .ok()
                        .map(f64::from)
                        .filter(|time| (1.0..=CONFIRM[1]).contains(time)),
                };
                let wrong = || {
                    let taken = format!("1 to {} seconds", CONFIRM[1]);
                    vec![RpcError::invalid(
                        "confirm-timeout",
                        "is out of range",
                        said.as_deref().unwrap_or_default(),
                        &taken,
                    )]
                };
                Some(Confirm { within: within.ok_or_else(wrong)?, persist: text(of, "persist") })
            }
        };
        let published = desk.published.load();
        let changed = self.candidate.as_ref().is_some_and(|candidate| !candidate.is_unchanged());
        // Without anything to commit it confirms, where something waits for that.
        if !changed && confirm.is_none() && (published.pending.is_some() || persist_id.is_some()) {
            return Ok(Step::Ask(Asked::Confirm { persist_id }));
        }
        let candidate = self.candidate(desk).clone();
        self.allowed(candidate.base_tree(), &candidate.tree, rights, desk)?;
        Ok(Step::Ask(Asked::Commit { candidate, confirm, persist_id }))
    }

    /// The model's own operations: what is asked of the build on trial.
    fn trial(
        &mut self, of: &Element, name: &str, rights: Rights, desk: &Handle,
    ) -> Result<Step, Vec<RpcError>> {
        let Some(input) = self.schema.rpcs.get(&of.name).copied() else {
            let known: Vec<_> = self.schema.rpcs.keys().map(String::as_str).collect();
            let error = RpcError::invalid(name, "no such operation", &of.name, &known.join(", "));
            return Err(vec![RpcError { tag: "operation-not-supported".into(), ..error }]);
        };
        let mut faults = vec![];
        let edits = of_xml(self.schema, Some(input), &Instance::default(), &of.children, &mut faults);
        if !faults.is_empty() {
            return Err(faults.iter().map(of_edit).collect());
        }
        let build = edits.iter().find(|edit| edit.step.name == "build").and_then(|edit| edit.value.clone());
        let mut candidate = Candidate::of(&desk.published.load().in_force);
        let before = candidate.tree.clone();
        if of.name == "let-trial-go" {
            candidate.tree.ring = Default::default();
        } else {
            let build = build.ok_or_else(|| vec![RpcError::missing("build")])?;
            let ask = if of.name == "hold-trial" { "ring/hold" } else { "ring/back" };
            for (at, text) in [("ring/build", build.as_str()), (ask, "true")] {
                let path: Path = at.parse().map_err(|fault| vec![of_fault(&fault)])?;
                self.bind.set(&mut candidate.tree, &path, text).map_err(|fault| vec![of_fault(&fault)])?;
            }
        }
        self.allowed(&before, &candidate.tree, rights, desk)?;
        Ok(Step::Ask(Asked::Commit { candidate, confirm: None, persist_id: None }))
    }

    /// A notification as it goes out (RFC 5277, section 4).
    pub fn notification(&self, at: f64, data: &Data) -> String {
        let at = kestreltide_model::bind::time(at);
        let mut out = format!("<notification xmlns=\"{NOTIFICATIONS}\"><eventTime>{at}</eventTime>");
        xml::write(self.schema, std::slice::from_ref(data), &mut out);
        out + "</notification>"
    }
}

fn text(of: &Element, name: &str) -> Option<String> {
    of.child(name).map(|child| child.text.trim().to_owned())
}

/// Which datastore an operation names.
fn target(of: &Element, name: &str) -> Result<Target, Vec<RpcError>> {
    let named = of.child(name).ok_or_else(|| vec![RpcError::missing(name)])?;
    match named.children.first().map(|child| child.name.as_str()) {
        Some("running") => Ok(Target::Running),
        Some("candidate") => Ok(Target::Candidate),
        Some(other) => Err(vec![RpcError::invalid(name, "no such datastore", other, "running or candidate")]),
        None => Err(vec![RpcError::missing(name)]),
    }
}

fn denied(what: &str, rights: Rights) -> RpcError {
    RpcError::new(
        "protocol",
        "access-denied",
        format!("{what}: is beyond the rights of this key (given: {rights}; taken: the right read)"),
    )
}

fn unsupported(what: &str, taken: &str) -> RpcError {
    RpcError::new(
        "protocol",
        "operation-not-supported",
        format!("{what}: is not served here (given: {what}; taken: {taken})"),
    )
}
