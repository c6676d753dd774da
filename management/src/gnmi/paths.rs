//! Converts gNMI paths to patterns, and instance paths to gNMI paths.

use kestreltide_yang::Schema;
use kestreltide_yang::data::{DataNode, InstancePath, Step};
use kestreltide_yang::path::Pattern;
use tonic::Status;

use super::errors::invalid_argument;
use crate::proto::gnmi::{Path, PathElem};

/// Parses a path below a prefix as a pattern; rejects unknown origins.
pub(super) fn parse_pattern(prefix: Option<&Path>, path: &Path) -> Result<Pattern, Status> {
    let path_string = format_path(path);
    let mut full_pattern = Pattern::default();
    for path in prefix.into_iter().chain([path]) {
        if !["", "kestreltide", "openconfig", "rfc7951"].contains(&path.origin.as_str()) {
            return Err(invalid_argument(
                &path_string,
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
        let pattern = Pattern::from_steps(steps).map_err(|error| {
            invalid_argument(
                &path_string,
                &error.to_string(),
                &path_string,
                "names with their keys",
            )
        })?;
        full_pattern = pattern.with_prefix(&full_pattern);
    }
    Ok(full_pattern)
}

/// Formats a gNMI path for error messages, with its keys in order.
pub(super) fn format_path(path: &Path) -> String {
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

/// The status for a path that matches no node of the model.
pub(super) fn unknown_path_status(path: &Path) -> Status {
    Status::not_found(format!(
        "{}: leads nowhere in the model (given: {0}; taken: a path of it)",
        format_path(path)
    ))
}

/// The instances that a pattern selects from data; the empty pattern selects the top-level nodes.
pub(super) fn select_instances<'a>(
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

pub(super) fn to_gnmi_path(path: &InstancePath) -> Path {
    let elem = |step: &Step| PathElem {
        name: step.name.clone(),
        key: step.keys.iter().cloned().collect(),
    };
    Path {
        elem: path.0.iter().map(elem).collect(),
        ..Path::default()
    }
}
