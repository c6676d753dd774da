//! Discovery's lists in HTTP/1.1 answers.

use std::borrow::Cow;
use std::net::SocketAddr;

use kestreltide::interface::{BuildId, HostState};
use kestreltide_datastore::Listed;
use serde::Deserialize;

use super::{Malformed, Read};

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

    pub fn listed(&self) -> Listed {
        Listed {
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

pub fn list(body: &[u8]) -> Result<List<'_>, Malformed> {
    serde_json::from_slice(body).map_err(|e| Malformed::new(e.to_string()))
}

#[derive(Debug, PartialEq, Eq)]
pub struct Response<'a> {
    pub status: u16,
    pub body: Cow<'a, [u8]>,
    pub stays_open: bool,
}

/// An answer of at most this size with at most so many headers. An answer that says neither its length nor
/// comes in chunks cannot be told from a cut one and is malformed.
pub fn response(bytes: &[u8], most: usize, headers: usize) -> Read<Response<'_>> {
    let mut room = vec![httparse::EMPTY_HEADER; headers];
    let mut head = httparse::Response::new(&mut room);
    let start = match head.parse(bytes).map_err(|e| Malformed::new(e.to_string()))? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial if bytes.len() >= most => {
            return Err(Malformed::new("the head is too long"));
        }
        httparse::Status::Partial => return Ok(None),
    };
    let value = |name: &str| {
        let header = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        header.map(|header| std::str::from_utf8(header.value).unwrap_or_default().trim())
    };
    let stays_open = !value("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let status = head.code.unwrap_or_default();
    let found = if value("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        chunks(&bytes[start..], most)?.map(|(body, used)| (Cow::Owned(body), used))
    } else {
        let length = value("content-length").and_then(|value| value.parse::<usize>().ok());
        let length = length.ok_or_else(|| Malformed::new("no length"))?;
        if length > most {
            return Err(Malformed::new("the answer is too long"));
        }
        bytes.get(start..start + length).map(|body| (Cow::Borrowed(body), length))
    };
    Ok(found.map(|(body, used)| (Response { status, body, stays_open }, start + used)))
}

fn chunks(bytes: &[u8], most: usize) -> Read<Vec<u8>> {
    let (mut body, mut used) = (Vec::new(), 0);
    loop {
        let size = httparse::parse_chunk_size(&bytes[used..]);
        let (head, size) = match size.map_err(|_| Malformed::new("a chunk's size is no number"))? {
            httparse::Status::Complete((head, size)) => (head, size as usize),
            httparse::Status::Partial => return Ok(None),
        };
        if size.saturating_add(body.len()) > most {
            return Err(Malformed::new("the answer is too long"));
        }
        used += head;
        let Some(chunk) = bytes.get(used..used + size + 2) else { return Ok(None) };
        if !chunk.ends_with(b"\r\n") {
            return Err(Malformed::new("a chunk does not end where it says"));
        }
        body.extend_from_slice(&chunk[..size]);
        used += size + 2;
        if size == 0 {
            return Ok(Some((body, used)));
        }
    }
}

pub fn write_get(out: &mut Vec<u8>, host: SocketAddr, watch: Option<(u64, u64)>) {
    let query = watch.map_or(String::new(), |(from, hold)| format!("?from={from}&hold_ms={hold}"));
    let get = format!(
        "GET /registry/instances{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    );
    out.extend_from_slice(get.as_bytes());
}
