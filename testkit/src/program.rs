//! A router that runs as a separate process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{self, Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;
use std::{env, fs, thread};

use crate::{Client, TEST_TIMEOUT};

/// Returns the resident memory of a process in KiB, or 0 where it cannot be read.
pub fn resident_memory_kib(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Returns the resident memory of a process in KiB without the pages of its executable and libraries, which differ
/// between builds; 0 if it does not run.
pub fn private_memory_kib(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    status
        .lines()
        .filter(|line| line.starts_with("RssAnon:") || line.starts_with("RssShmem:"))
        .filter_map(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok())
        .sum()
}

/// A running router with a configuration file of its own; killed when dropped.
pub struct RouterProcess {
    /// The process.
    pub child: Child,
    /// The address at which the router listens for clients.
    pub at: SocketAddr,
    /// The lines of its log before the line `listening`.
    pub startup_log: Vec<String>,
    /// The configuration file.
    config: PathBuf,
    /// The further lines of its log.
    log: Receiver<String>,
}

impl RouterProcess {
    /// Prepares a command that runs a sub-command of the program with a new configuration file and with piped output.
    pub fn command(binary: &str, subcommand: &str, config: &str) -> Command {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let name = format!(
            "kestreltide-{}-{}.json",
            process::id(),
            NUMBER.fetch_add(1, Relaxed)
        );
        let path = env::temp_dir().join(name);
        fs::write(&path, config).expect("the configuration file is written");
        let mut command = Command::new(binary);
        command
            .arg(subcommand)
            .arg("--config")
            .arg(path)
            .stderr(Stdio::piped())
            .stdout(Stdio::piped());
        for name in ["PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY"] {
            command.env_remove(name);
        }
        command
    }

    /// Starts a router and waits until it listens.
    pub fn start(binary: &str, config: &str) -> Self {
        Self::start_with_env(binary, config, &[])
    }

    /// As [`RouterProcess::start`], with these environment variables.
    pub fn start_with_env(binary: &str, config: &str, environment: &[(&str, String)]) -> Self {
        let mut command = Self::command(binary, "serve", config);
        command.envs(environment.iter().cloned());
        let path = command
            .get_args()
            .last()
            .expect("the configuration's path")
            .into();
        let mut child = command.spawn().expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("standard error")).lines();
        let (sender, log) = channel();
        thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .try_for_each(|line| sender.send(line))
        });
        let (at, startup_log) = (([127, 0, 0, 1], 0).into(), vec![]);
        let mut program = RouterProcess {
            child,
            at,
            startup_log,
            config: path,
            log,
        };
        let line = loop {
            let line = program.wait_for_log("");
            if line.contains("listening") {
                break line;
            }
            program.startup_log.push(line);
        };
        let at = line
            .split("at: ")
            .nth(1)
            .and_then(|rest| rest.split(',').next());
        program.at = at
            .and_then(|at| at.parse().ok())
            .expect("the line contains the address");
        program
    }

    /// Returns the address in the first line of the startup log that contains this text.
    pub fn address_in_startup_log(&self, text: &str) -> Option<SocketAddr> {
        let line = self.startup_log.iter().find(|line| line.contains(text))?;
        line.split("at: ")
            .nth(1)?
            .split([',', ' '])
            .next()?
            .parse()
            .ok()
    }

    /// Waits for a line of the log that contains this text.
    pub fn wait_for_log(&self, text: &str) -> String {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            // Lines that do not match must not extend the wait.
            let time_left = deadline.saturating_duration_since(Instant::now());
            let line = self
                .log
                .recv_timeout(time_left)
                .unwrap_or_else(|_| panic!("no log line contains {text:?}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// As [`RouterProcess::wait_for_log`], for a line that may have been written before the router listened.
    pub fn wait_for_log_since_start(&self, text: &str) -> String {
        self.startup_log
            .iter()
            .find(|line| line.contains(text))
            .cloned()
            .unwrap_or_else(|| self.wait_for_log(text))
    }

    /// Returns the lines of the log before the next one that contains this text.
    pub fn log_lines_until(&self, text: &str) -> Vec<String> {
        let next = || {
            self.log
                .recv_timeout(TEST_TIMEOUT)
                .ok()
                .filter(|line| !line.contains(text))
        };
        std::iter::from_fn(next).collect()
    }

    /// Replaces the configuration file and sends SIGHUP, at which the router reads it again.
    pub fn reload(&self, config: &str) {
        fs::write(&self.config, config).expect("the configuration file is written");
        self.signal("HUP");
    }

    /// Sends a signal by name, without `SIG`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(sent.expect("kill can be run").success());
    }

    /// Stops the process with SIGSTOP, and waits until the kernel reports it as stopped: it may still run for a moment
    /// after the signal has been sent.
    pub fn freeze(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !fs::read_to_string(&stat)
            .expect("the process exists")
            .contains(") T ")
        {
            thread::yield_now();
        }
    }

    /// Connects a new client.
    pub fn client(&self) -> Client {
        Client::connect(self.at)
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.config);
    }
}
