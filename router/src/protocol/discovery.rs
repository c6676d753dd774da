//! Discovery's protocol: the endpoint lists in JSON, and the HTTP requests for them.

mod http;
mod wire;

use std::io::Write;
use std::net::SocketAddr;

use thiserror::Error;

pub use http::{ChunkedBody, Response, parse_response};
pub use wire::{List as EndpointList, Target as ListedEndpoint};

use super::Malformed;
use crate::limits::Limits;

/// Why bytes are not a valid endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}{reason}", path_prefix(.path))]
pub struct EndpointListError {
    /// The path of the invalid value; empty if the whole is not an endpoint list.
    pub path: String,
    /// What is wrong with the value.
    pub reason: String,
}

fn path_prefix(path: &str) -> String {
    if path.is_empty() {
        String::new()
    } else {
        format!("{path}: ")
    }
}

impl From<EndpointListError> for Malformed {
    fn from(error: EndpointListError) -> Self {
        Malformed::new(error.to_string())
    }
}

/// Parses an endpoint list.
///
/// # Errors
///
/// If the body is not an endpoint list in JSON, or a name in it is too long.
pub fn parse_list(body: &[u8]) -> Result<EndpointList<'_>, EndpointListError> {
    let list: EndpointList =
        serde_json::from_slice(body).map_err(|error| locate_error(body, &error))?;
    for (index, endpoint) in list.targets.iter().enumerate() {
        check_name_lengths(index, endpoint)?;
    }
    Ok(list)
}

/// Finds the path of an error by parsing the list a second time, since tracking paths would slow down the parsing of
/// every valid list.
fn locate_error(body: &[u8], error: &serde_json::Error) -> EndpointListError {
    let reader = &mut serde_json::Deserializer::from_slice(body);
    let result: Result<EndpointList, _> = serde_path_to_error::deserialize(reader);
    let path = result
        .err()
        .map(|error| error.path().to_string())
        .filter(|path| path != ".");
    EndpointListError {
        path: path.unwrap_or_default(),
        reason: error.to_string(),
    }
}

fn check_name_lengths(index: usize, endpoint: &ListedEndpoint) -> Result<(), EndpointListError> {
    let names = [
        ("uid", &endpoint.uid),
        ("az", &endpoint.az),
        ("model", &endpoint.model),
    ];
    let Some((field, name)) = names
        .iter()
        .find(|(_, name)| name.len() > Limits::NAME_BYTES)
    else {
        return Ok(());
    };
    Err(EndpointListError {
        path: format!("targets[{index}].{field}"),
        reason: format!(
            "is too long ({} bytes; {} at most)",
            name.len(),
            Limits::NAME_BYTES
        ),
    })
}

/// A request to watch the list for changes (long polling).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListWatch {
    /// The list revision that the router has; the response holds the changes since.
    pub known_revision: u64,
    /// How long discovery holds the request if nothing changes, in milliseconds.
    pub hold_millis: u64,
}

/// Writes a request for the list; without `watch`, for the full list at once.
pub fn write_list_request(out: &mut impl Write, host: SocketAddr, watch: Option<ListWatch>) {
    let query = watch.map_or_else(String::new, |watch| {
        format!(
            "?from={}&hold_ms={}",
            watch.known_revision, watch.hold_millis
        )
    });
    let request = format!(
        "GET /registry/instances{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    );
    let _ = out.write_all(request.as_bytes());
}
