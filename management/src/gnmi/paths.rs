//! Conversion of gNMI paths to patterns, and of instance paths to gNMI paths.

use kestreltide_yang::Schema;
use kestreltide_yang::data::{DataNode, InstancePath, Step};
use kestreltide_yang::path::Pattern;
use tonic::Status;

use super::errors::invalid_argument;
use crate::proto::gnmi::{Path, PathElem};

/// The pattern of a path below a prefix; rejects unknown origins.
pub(super) fn pattern(prefix: Option<&Path>, path: &Path) -> Result<Pattern, Status> {
    let shown = path_text(path);
    let mut all = Pattern::default();
    for path in prefix.into_iter().chain([path]) {
        if !["", "kestreltide", "openconfig", "rfc7951"].contains(&path.origin.as_str()) {
            return Err(invalid_argument(
                &shown,
                "no such origin",
                &path.origin,
                "none, or kestreltide",
            ));
        }
        let steps = path.elem.iter().map(|elem| {
            let keys = elem
                .key
                .iter()
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect();
            (elem.name.as_str(), keys)
        });
        let steps = Pattern::from_steps(steps).map_err(|why| {
            invalid_argument(&shown, &why.to_string(), &shown, "names with their keys")
        })?;
        all = steps.with_prefix(&all);
    }
    Ok(all)
}

pub(super) fn path_text(path: &Path) -> String {
    let mut out = String::new();
    for elem in &path.elem {
        out += &format!("/{}", elem.name);
        let mut keys: Vec<_> = elem.key.iter().collect();
        keys.sort();
        keys.iter()
            .for_each(|(name, value)| out += &format!("[{name}={value}]"));
    }
    if out.is_empty() { "/".into() } else { out }
}

/// The error for a path that matches no node of the model.
pub(super) fn leads_nowhere(path: &Path) -> Status {
    Status::not_found(format!(
        "{}: leads nowhere in the model (given: {0}; taken: a path of it)",
        path_text(path)
    ))
}

/// The instances that a pattern selects from data; those at the top for the empty pattern.
pub(super) fn select<'a>(
    schema: &Schema,
    pattern: &Pattern,
    data: &'a [DataNode],
) -> Vec<(InstancePath, &'a DataNode)> {
    if pattern.0.is_empty() {
        data.iter()
            .map(|data| (InstancePath(vec![data.step(schema)]), data))
            .collect()
    } else {
        pattern.select(schema, data)
    }
}

pub(super) fn path_of(at: &InstancePath) -> Path {
    let elem = |step: &Step| PathElem {
        name: step.name.clone(),
        key: step.keys.iter().cloned().collect(),
    };
    Path {
        elem: at.0.iter().map(elem).collect(),
        ..Path::default()
    }
}
