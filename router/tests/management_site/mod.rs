//! A router with management interfaces, and builders of their messages, for several test files.

// Each test file is a crate of its own and uses a part of this module.
#![allow(dead_code)]

use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kestreltide_testkit::proto::gnmi::typed_value::Value;
use kestreltide_testkit::proto::gnmi::*;
use kestreltide_testkit::*;
use tokio::time::{sleep, timeout};
use tonic::Status;

/// The router's program.
pub const BINARY: &str = env!("CARGO_BIN_EXE_kestreltide");
/// Every right that an operator can have.
pub const ALL: &str = "read, weights, routes, ring";

/// A router with two tagged hosts by files, and clients of its management interfaces.
pub struct Site {
    pub credentials: TestCredentials,
    pub program: RouterProcess,
    pub netconf: SocketAddr,
    pub gnmi: SocketAddr,
    pub hosts: [SocketAddr; 2],
}

pub fn named(name: &'static str) -> SocketAddr {
    fake_host(move |_| {
        std::thread::sleep(Duration::from_millis(20));
        value_reply(name)
    })
}

impl Site {
    pub fn new() -> Self {
        Self::with(&[
            ("ana", ALL),
            ("rui", ALL),
            ("eva", "read"),
            ("gil", "weights"),
        ])
    }

    pub fn with(engineers: &[(&str, &str)]) -> Self {
        let credentials = TestCredentials::new(engineers);
        let hosts = [named("of a"), named("of b")];
        let watch = "[datastore]\nstate-directory = .\n[watch]\nhosts = hosts.ini\ndiscovery = off\nsettle = 0.005\npoll = 0.02\n";
        fs::write(
            credentials.path("operator.ini"),
            format!("{watch}{}", credentials.operator_section()),
        )
        .expect("written");
        write_hosts(&credentials, "1", &hosts, "");
        let program = start(&credentials);
        let (netconf, gnmi) = addresses(&program);
        Site {
            credentials,
            program,
            netconf,
            gnmi,
            hosts,
        }
    }

    pub fn restart(&mut self) {
        self.program = start(&self.credentials);
        (self.netconf, self.gnmi) = addresses(&self.program);
    }

    pub async fn netconf(&self, name: &str) -> NetconfSession {
        NetconfSession::open(self.credentials.management_client(name), self.netconf)
            .await
            .expect("let in")
    }

    pub async fn gnmi(&self, name: &str) -> g_nmi_client::GNmiClient<tonic::transport::Channel> {
        self.credentials
            .gnmi(name, self.gnmi)
            .await
            .expect("let in")
    }

    /// Waits until the file that outlives the router holds this: how long a busy disk takes is not known.
    pub async fn remembers(&self, what: &str) {
        let file = self.credentials.path("revisions.json");
        let until = Instant::now() + TEST_TIMEOUT;
        while !fs::read_to_string(&file).is_ok_and(|text| text.contains(what)) {
            assert!(Instant::now() < until, "{what} is not remembered");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Which hosts answer when several ask at once.
    pub fn served(&self, turn: &str) -> Vec<String> {
        let mut clients: Vec<_> = (0..8).map(|_| self.program.client()).collect();
        for (id, client) in clients.iter_mut().enumerate() {
            client.send(&["Q.ASK", "k", &format!("{turn}-{id}"), "c=read,d=5000"]);
        }
        let mut seen: Vec<_> = clients.iter_mut().map(Client::reply).collect();
        seen.sort();
        seen.dedup();
        seen
    }
}

pub fn addresses(program: &RouterProcess) -> (SocketAddr, SocketAddr) {
    let at = |what| {
        program
            .address_in_startup_log(what)
            .expect("the line tells the address")
    };
    (at("NETCONF interface opened"), at("gNMI interface opened"))
}

pub fn start(credentials: &TestCredentials) -> RouterProcess {
    let operator = credentials.path("operator.ini").display().to_string();
    let text = router_config(unused_address(), &endpoint_list(1, true, &[]))
        .replace("\"sockets\":256", "\"sockets\":1024");
    RouterProcess::start_with_env(BINARY, &text, &[("KESTRELTIDE_OPERATOR", operator)])
}

pub fn write_hosts(
    credentials: &TestCredentials,
    generation: &str,
    hosts: &[SocketAddr],
    more: &str,
) {
    let loose = "[guards]\nlargest-removal = 1\nleast-hosts-zone = 0\nleast-hosts-build = 0\n";
    let entry = |(number, at): (usize, &SocketAddr)| {
        let name = ["a", "b"][number];
        let more = if name == "a" { more } else { "" };
        format!(
            "[host {name}]\nendpoint = {at}\nzone = z\nkind = m\nbuild = 7\nstarted = 1000\n{more}"
        )
    };
    let entries: String = hosts.iter().enumerate().map(entry).collect();
    let text = format!(
        "generation = {generation}\n{loose}{entries}[end]\nhosts = {}\ngeneration = {generation}\n",
        hosts.len()
    );
    fs::write(credentials.path("new"), text)
        .and_then(|()| fs::rename(credentials.path("new"), credentials.path("hosts.ini")))
        .expect("replaced");
}

pub fn run<T>(story: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        timeout(Duration::from_secs(40), story)
            .await
            .expect("it ends in time")
    })
}

pub fn edit(target: &str, inner: &str) -> String {
    format!(
        "<edit-config><target><{target}/></target><config><router xmlns=\"urn:kestreltide:yang:router\">{inner}</router></config></edit-config>"
    )
}

pub fn state(host: &str, state: &str) -> String {
    format!("<hosts><host><name>{host}</name><state>{state}</state></host></hosts>")
}

pub fn weight(host: &str, weight: &str) -> String {
    format!("<hosts><host><name>{host}</name><weight>{weight}</weight></host></hosts>")
}

/// A path by its steps; `host=a` is a list's entry.
pub fn path(text: &str) -> Path {
    let elem = |step: &str| match step.split_once('=') {
        Some((name, key)) => PathElem {
            name: name.into(),
            key: [("name".to_owned(), key.to_owned())].into(),
        },
        None => PathElem {
            name: step.into(),
            key: Default::default(),
        },
    };
    Path {
        elem: text
            .split('/')
            .filter(|step| !step.is_empty())
            .map(elem)
            .collect(),
        ..Path::default()
    }
}

pub fn json(value: serde_json::Value) -> Option<TypedValue> {
    Some(TypedValue {
        value: Some(Value::JsonIetfVal(value.to_string().into_bytes())),
    })
}

pub fn update(at: &str, value: serde_json::Value) -> Update {
    Update {
        path: Some(path(at)),
        val: json(value),
        duplicates: 0,
    }
}

pub fn text(value: Option<TypedValue>) -> String {
    match value.and_then(|value| value.value) {
        Some(Value::JsonIetfVal(bytes) | Value::JsonVal(bytes)) => {
            String::from_utf8_lossy(&bytes).into()
        }
        Some(Value::DoubleVal(number)) => number.to_string(),
        Some(Value::StringVal(text)) => text,
        Some(Value::UintVal(number)) => number.to_string(),
        other => format!("{other:?}"),
    }
}

pub async fn get(
    client: &mut g_nmi_client::GNmiClient<tonic::transport::Channel>,
    at: &str,
    encoding: Encoding,
) -> Result<String, Status> {
    let request = GetRequest {
        path: vec![path(at)],
        encoding: encoding.into(),
        ..GetRequest::default()
    };
    let mut response = client.get(request).await?.into_inner();
    let mut updates = response.notification.remove(0).update;
    Ok(if updates.is_empty() {
        String::new()
    } else {
        text(updates.remove(0).val)
    })
}

pub fn ok(reply: &Result<String, NetconfError>) -> bool {
    reply.as_ref().is_ok_and(|reply| reply.contains("<ok/>"))
}
