//! Real routers: processes of this very program, each with its configuration and its log in one folder.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use kestreltide_testkit::resident_memory_kib;
use serde_json::json;

use super::layout::Party;
use super::net::shared::Shared;
use super::processes::{self, CoreTime};
use crate::router_process::RUN_AS_ROUTER_VARIABLE;

const MEMORY_MB: u32 = 256;
const SOCKETS: u32 = 512;

/// A generation of operators' files, as a router's log tells of it.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    Listening(SocketAddr),
    /// A generation of the files has become this revision.
    FilesApplied {
        generation: u64,
        revision: u64,
    },
    InForce {
        revision: u64,
    },
}

// The router's log lines that are read here, by their messages.
const LISTENING: &str = " listening";
const FILES_APPLIED: &str = " watched files applied";
const REVISION_IN_FORCE: &str = " revision applied";

/// What follows a name in a line, up to the next comma.
fn value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(", ")
        .find_map(|part| part.trim().strip_prefix(name)?.strip_prefix(": "))
}

/// Parses a line of a router's log; `None` for a line that is not read here.
pub fn parse_log_line(line: &str) -> Option<LogEvent> {
    let number = |name| value(line, name)?.trim().parse().ok();
    if line.contains(LISTENING) {
        return Some(LogEvent::Listening(value(line, "at")?.parse().ok()?));
    }
    if line.contains(FILES_APPLIED) {
        return Some(LogEvent::FilesApplied {
            generation: number("generation")?,
            revision: number("revision")?,
        });
    }
    line.contains(REVISION_IN_FORCE).then(|| {
        Some(LogEvent::InForce {
            revision: number("revision")?,
        })
    })?
}

/// The configuration of one router.
fn configuration(router: u32, shared: &Shared) -> String {
    let layout = &shared.plan.layout;
    let peers = (0..layout.routers).map(|peer| {
        let party = if layout.is_real(peer) {
            Party::Relay
        } else {
            Party::Peer
        };
        SocketAddr::from((party.address(peer), shared.ports.peers)).to_string()
    });
    let at = |party: Party, port| SocketAddr::from((party.address(router), port)).to_string();
    json!({
        "name": format!("r{router}"), "listen": "127.0.0.1:0",
        "discovery": at(Party::Discovery, shared.ports.discovery),
        "platform": {"address": at(Party::Platform, shared.ports.platform)},
        "seed": format!("{:x}", shared.plan.seed * 1_000_003 + u64::from(router)),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "peer_listen": at(Party::Peer, shared.ports.peers),
        "peers": peers.collect::<Vec<_>>(),
        "settings": shared.plan.settings(router),
    })
    .to_string()
}

pub struct RealRouter {
    pub child: Child,
    log: PathBuf,
    read: u64,
    rest: String,
}

impl RealRouter {
    /// Starts a process; its log goes on where an earlier one's ended.
    pub fn start(
        router: u32,
        folder: &Path,
        operator: Option<&Path>,
        shared: &Shared,
    ) -> io::Result<Self> {
        let config = folder.join(format!("r{router}.json"));
        fs::write(&config, configuration(router, shared))?;
        let log = folder.join(format!("r{router}.log"));
        let file = OpenOptions::new().create(true).append(true).open(&log)?;
        let read = file.metadata()?.len();
        let mut command = Command::new(std::env::current_exe()?);
        command
            .args(["serve", "--config"])
            .arg(&config)
            .env(RUN_AS_ROUTER_VARIABLE, "1");
        for name in [
            "PROXY_NAME",
            "PROXY_LISTEN",
            "PROXY_DISCOVERY",
            "KESTRELTIDE_OPERATOR",
        ] {
            command.env_remove(name);
        }
        command.envs(operator.map(|path| ("KESTRELTIDE_OPERATOR", path)));
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()?;
        Ok(RealRouter {
            child,
            log,
            read,
            rest: String::new(),
        })
    }

    /// What the log says that it had not said at the last look.
    pub fn read_log_events(&mut self) -> Vec<LogEvent> {
        let mut text = std::mem::take(&mut self.rest);
        if let Ok(mut file) = File::open(&self.log) {
            let _ = file.seek(SeekFrom::Start(self.read));
            let mut new = vec![];
            let _ = file.read_to_end(&mut new);
            self.read += new.len() as u64;
            text += &String::from_utf8_lossy(&new);
        }
        let complete = text.rfind('\n').map_or(0, |end| end + 1);
        self.rest = text.split_off(complete);
        text.lines().filter_map(parse_log_line).collect()
    }

    pub fn core_time(&self) -> CoreTime {
        processes::core_time(&self.child.id().to_string())
    }

    pub fn resident_kib(&self) -> u64 {
        resident_memory_kib(self.child.id())
    }

    pub fn terminate(&self) {
        let _ = Command::new("kill")
            .arg("-TERM")
            .arg(self.child.id().to_string())
            .status();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for RealRouter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[cfg(test)]
mod tests;
