//! Converts errors of the datastore, of edits and of the protocol to `rpc-error` elements (RFC 6241, section 4.3).

use std::fmt::Write;

use kestreltide_datastore::commit_coordinator::CommitError;
use kestreltide_datastore::{Path, Rights, ValidationError};
use kestreltide_yang::data::InstancePath;
use kestreltide_yang::edit::{EditError, ErrorTag};
use kestreltide_yang::xml::escaped;

/// An `rpc-error` element.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RpcError {
    pub(super) error_type: &'static str,
    pub(super) error_tag: String,
    pub(super) path: Option<String>,
    pub(super) message: String,
    /// Names and contents of the elements in `error-info`.
    pub(super) info: Vec<(&'static str, String)>,
}

impl RpcError {
    pub(super) fn new(
        error_type: &'static str,
        error_tag: &str,
        message: impl Into<String>,
    ) -> Self {
        RpcError {
            error_type,
            error_tag: error_tag.into(),
            path: None,
            message: message.into(),
            info: vec![],
        }
    }

    pub(super) fn missing_element(element: &str) -> Self {
        let message = format!("{element}: is missing (given: nothing; taken: {element})");
        Self::bad_element("missing-element", element, message)
    }

    pub(super) fn unknown_element(element: &str) -> Self {
        let message =
            format!("{element}: is not known here (given: {element}; taken: what RFC 6241 has)");
        Self::bad_element("unknown-element", element, message)
    }

    fn bad_element(tag: &str, element: &str, message: String) -> Self {
        let info = vec![("bad-element", element.into())];
        RpcError {
            info,
            ..Self::new("protocol", tag, message)
        }
    }

    /// Sets the `error-info` that names an attribute and its element.
    pub(super) fn with_bad_attribute(self, attribute: &str, element: &str) -> Self {
        let info = vec![
            ("bad-attribute", attribute.into()),
            ("bad-element", element.into()),
        ];
        RpcError { info, ..self }
    }

    pub(super) fn invalid_value(path: &str, problem: &str, found: &str, expected: &str) -> Self {
        let found = kestreltide_datastore::tree_builder::printable(found);
        Self::new(
            "protocol",
            "invalid-value",
            ValidationError::new(path, problem, found, expected).to_string(),
        )
    }

    pub(super) fn write(&self, out: &mut String) {
        let _ = write!(
            out,
            "<rpc-error><error-type>{}</error-type><error-tag>{}</error-tag>",
            self.error_type, self.error_tag
        );
        out.push_str("<error-severity>error</error-severity>");
        if let Some(path) = &self.path {
            let _ = write!(
                out,
                "<error-path xmlns:kr=\"urn:kestreltide:yang:router\">{}</error-path>",
                escaped(path)
            );
        }
        let _ = write!(
            out,
            "<error-message xml:lang=\"en\">{}</error-message>",
            escaped(&self.message)
        );
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

/// Converts the path of a datastore leaf to an XPath of the model.
pub(super) fn leaf_xpath(path: &Path) -> String {
    let leaf = path.leaf().name();
    match path {
        Path::Host(name, _) => format!("/kr:router/kr:hosts/kr:host[kr:name='{name}']/kr:{leaf}"),
        Path::Route(name, _) => {
            format!("/kr:router/kr:routes/kr:route[kr:name='{name}']/kr:{leaf}")
        }
        Path::Guards(_) => format!("/kr:router/kr:guards/kr:{leaf}"),
        Path::Rollout(_) => format!("/kr:router/kr:ring/kr:{leaf}"),
    }
}

/// Converts an instance path to an XPath of the model.
fn instance_xpath(path: &InstancePath) -> String {
    let mut out = String::new();
    for step in &path.0 {
        let _ = write!(out, "/kr:{}", step.name);
        for (key, value) in &step.keys {
            let _ = write!(out, "[kr:{key}='{value}']");
        }
    }
    out
}

pub(super) fn validation_error(error: &ValidationError) -> RpcError {
    let tag = if error.problem.contains("is missing") {
        "data-missing"
    } else {
        "operation-failed"
    };
    let path = error.path.parse().ok().map(|path| leaf_xpath(&path));
    RpcError {
        path,
        ..RpcError::new("application", tag, error.to_string())
    }
}

pub(super) fn edit_error(error: &EditError) -> RpcError {
    let info = match error.tag {
        ErrorTag::UnknownElement | ErrorTag::MissingElement => {
            vec![("bad-element", error.subject.clone())]
        }
        ErrorTag::UnknownNamespace => {
            vec![
                ("bad-element", error.subject.clone()),
                ("bad-namespace", error.validation.found.clone()),
            ]
        }
        ErrorTag::UnknownAttribute | ErrorTag::BadAttribute => {
            vec![
                ("bad-attribute", error.subject.clone()),
                ("bad-element", error.subject.clone()),
            ]
        }
        _ => vec![],
    };
    let path = Some(instance_xpath(&error.path)).filter(|path| !path.is_empty());
    RpcError {
        path,
        info,
        ..RpcError::new(
            "application",
            &error.tag.to_string(),
            error.validation.to_string(),
        )
    }
}

pub(super) fn commit_errors(commit_error: &CommitError) -> Vec<RpcError> {
    match commit_error {
        CommitError::Invalid(invalid) => {
            let mut errors: Vec<_> = invalid.first.iter().map(validation_error).collect();
            if invalid.more > 0 {
                errors.push(RpcError::new(
                    "application",
                    "operation-failed",
                    format!("and {} more", invalid.more),
                ));
            }
            errors
        }
        CommitError::Locked(holder) => {
            let error = RpcError::new("protocol", "lock-denied", commit_error.to_string());
            vec![RpcError {
                info: vec![("session-id", holder.to_string())],
                ..error
            }]
        }
        CommitError::CommitPending(pending) => {
            let error = RpcError::new("protocol", "in-use", commit_error.to_string());
            vec![RpcError {
                info: vec![(
                    "session-id",
                    pending.session.map_or(0, |session| session.0).to_string(),
                )],
                ..error
            }]
        }
        CommitError::NoPendingCommit => vec![RpcError::new(
            "protocol",
            "invalid-value",
            commit_error.to_string(),
        )],
        CommitError::LockNotHeld => vec![RpcError::new(
            "protocol",
            "operation-failed",
            commit_error.to_string(),
        )],
    }
}

/// The error for an action that needs the right `read`, which the key does not have.
pub(super) fn access_denied(action: &str, rights: Rights) -> RpcError {
    RpcError::new(
        "protocol",
        "access-denied",
        format!(
            "{action}: is beyond the rights of this key (given: {rights}; taken: the right read)"
        ),
    )
}

/// The error for an operation or parameter that is not supported; `expected` is what the client can use instead.
pub(super) fn operation_not_supported(operation: &str, expected: &str) -> RpcError {
    RpcError::new(
        "protocol",
        "operation-not-supported",
        format!("{operation}: is not served here (given: {operation}; taken: {expected})"),
    )
}
