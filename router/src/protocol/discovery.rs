//! Discovery's lists in HTTP/1.1 answers.

use std::borrow::Cow;
use std::net::SocketAddr;

use kestreltide::interface::{BuildId, HostState};
use kestreltide_datastore::HostRecord;
use serde::Deserialize;

use super::{Malformed, Read};
use crate::limits::{Limits, ResponseLimits};

#[derive(Debug, Deserialize)]
pub struct List<'a> {
    pub rev: u64,
    /// The whole list, not only what changed.
    pub all: bool,
    #[serde(borrow)]
    pub targets: Vec<Target<'a>>,
}

#[derive(Debug, Deserialize)]
pub struct Target<'a> {
    #[serde(borrow)]
    pub uid: Cow<'a, str>,
    pub endpoint: SocketAddr,
    #[serde(borrow)]
    pub az: Cow<'a, str>,
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    pub pod_group: u32,
    state: State,
    pub capacity_hint: f64,
    boot_ms: u64,
    pub build: u16,
}

#[derive(Clone, Copy, Debug, Deserialize)]
enum State {
    Ready,
    Terminating,
    Gone,
}

impl Target<'_> {
    pub fn state(&self) -> HostState {
        match self.state {
            State::Ready => HostState::Running,
            State::Terminating => HostState::Stopping,
            State::Gone => HostState::Gone,
        }
    }

    pub fn listed(&self) -> HostRecord {
        HostRecord {
            name: self.uid.as_ref().into(),
            endpoint: self.endpoint,
            zone: self.az.as_ref().into(),
            cell: self.pod_group,
            kind: self.model.as_ref().into(),
            size: self.capacity_hint,
            build: BuildId(self.build),
            started: self.started(),
            state: self.state(),
        }
    }

    /// When it last started, in Unix time.
    pub fn started(&self) -> Option<f64> {
        (self.boot_ms > 0).then(|| self.boot_ms as f64 / 1e3)
    }
}

/// Why a list is none, and where in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListError {
    /// Empty where the whole is no list.
    pub path: String,
    pub why: String,
}

impl From<ListError> for Malformed {
    fn from(error: ListError) -> Self {
        Malformed(if error.path.is_empty() {
            error.why
        } else {
            format!("{}: {}", error.path, error.why)
        })
    }
}

pub fn list(body: &[u8]) -> Result<List<'_>, ListError> {
    let list: List = serde_json::from_slice(body).map_err(|error| located(body, &error))?;
    list.targets
        .iter()
        .enumerate()
        .try_for_each(|(place, target)| names_short(place, target))?;
    Ok(list)
}

/// Read once more, as keeping the path would cost each list that is well.
fn located(body: &[u8], error: &serde_json::Error) -> ListError {
    let reader = &mut serde_json::Deserializer::from_slice(body);
    let again: Result<List, _> = serde_path_to_error::deserialize(reader);
    let path = again
        .err()
        .map(|error| error.path().to_string())
        .filter(|path| path != ".");
    ListError {
        path: path.unwrap_or_default(),
        why: error.to_string(),
    }
}

fn names_short(place: usize, target: &Target) -> Result<(), ListError> {
    let names = [
        ("uid", &target.uid),
        ("az", &target.az),
        ("model", &target.model),
    ];
    let Some((field, name)) = names.iter().find(|(_, name)| name.len() > Limits::NAME) else {
        return Ok(());
    };
    Err(ListError {
        path: format!("targets[{place}].{field}"),
        why: format!(
            "is too long ({} bytes; {} at most)",
            name.len(),
            Limits::NAME
        ),
    })
}

/// An answer in chunks as far as it has come: each chunk is read once, however many pieces the answer comes in.
#[derive(Debug, Default)]
pub struct Chunks {
    /// Bytes behind the head that have been read.
    used: usize,
    body: Vec<u8>,
}

#[derive(Debug, PartialEq, Eq)]
pub struct Response<'a> {
    pub status: u16,
    pub body: Cow<'a, [u8]>,
    pub stays_open: bool,
}

/// An answer within these limits; `come` is what has been read of it before, a new one for each answer. An
/// answer that says neither its length nor comes in chunks cannot be told from a cut one and is malformed.
pub fn response<'a>(
    bytes: &'a [u8],
    limits: &ResponseLimits,
    come: &mut Chunks,
) -> Read<Response<'a>> {
    let mut room = vec![httparse::EMPTY_HEADER; limits.headers];
    let mut head = httparse::Response::new(&mut room);
    let status = head
        .parse(bytes)
        .map_err(|e| Malformed::new(e.to_string()))?;
    let length = if let httparse::Status::Complete(start) = status {
        start
    } else {
        bytes.len()
    };
    if length > limits.head {
        return Err(too_long("head", length, limits.head));
    }
    let httparse::Status::Complete(start) = status else {
        return Ok(None);
    };
    let value = |name: &str| {
        let header = head
            .headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name));
        header.map(|header| std::str::from_utf8(header.value).unwrap_or_default().trim())
    };
    let stays_open = !value("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let status = head.code.unwrap_or_default();
    let found =
        if value("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            come.read(&bytes[start..], limits)?
                .map(|(body, used)| (Cow::Owned(body), used))
        } else {
            let length = value("content-length").and_then(|value| value.parse::<usize>().ok());
            let length = length.ok_or_else(|| Malformed::new("no length"))?;
            if length > limits.body {
                return Err(too_long("content-length", length, limits.body));
            }
            bytes
                .get(start..start + length)
                .map(|body| (Cow::Borrowed(body), length))
        };
    Ok(found.map(|(body, used)| {
        (
            Response {
                status,
                body,
                stays_open,
            },
            start + used,
        )
    }))
}

fn too_long(what: &str, bytes: usize, most: usize) -> Malformed {
    Malformed::new(format!(
        "{what}: the answer is too long ({bytes} bytes; {most} at most)"
    ))
}

impl Chunks {
    /// The whole body and how many bytes it took, once its last chunk has come.
    fn read(&mut self, bytes: &[u8], limits: &ResponseLimits) -> Read<Vec<u8>> {
        loop {
            let left = bytes.get(self.used..).unwrap_or_default();
            let size = httparse::parse_chunk_size(left);
            let (head, size) =
                match size.map_err(|_| Malformed::new("a chunk's size is no number"))? {
                    httparse::Status::Complete((head, size)) => (head, size as usize),
                    httparse::Status::Partial if left.len() > limits.head => {
                        return Err(too_long("a chunk's size", left.len(), limits.head));
                    }
                    httparse::Status::Partial => return Ok(None),
                };
            let length = size.saturating_add(self.body.len());
            if length > limits.body {
                return Err(too_long("chunks", length, limits.body));
            }
            let Some(chunk) = left.get(head..head + size + 2) else {
                return Ok(None);
            };
            if !chunk.ends_with(b"\r\n") {
                return Err(Malformed::new("a chunk does not end where it says"));
            }
            self.body.extend_from_slice(&chunk[..size]);
            self.used += head + size + 2;
            if size == 0 {
                return Ok(Some((std::mem::take(&mut self.body), self.used)));
            }
            if self.used > limits.max_total() {
                return Err(too_long(
                    "chunks with their sizes",
                    self.used,
                    limits.max_total(),
                ));
            }
        }
    }
}

pub fn write_get(out: &mut Vec<u8>, host: SocketAddr, watch: Option<(u64, u64)>) {
    let query = watch.map_or(String::new(), |(from, hold)| {
        format!("?from={from}&hold_ms={hold}")
    });
    let get = format!(
        "GET /registry/instances{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    );
    out.extend_from_slice(get.as_bytes());
}
