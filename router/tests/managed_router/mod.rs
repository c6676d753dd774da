//! A router with NETCONF and gNMI interfaces, and builders of their messages, for several test files.

// Each test file is a crate of its own and uses only some of these items.
#![allow(dead_code)]

use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kestreltide_testkit::proto::gnmi::typed_value::Value;
use kestreltide_testkit::proto::gnmi::*;
use kestreltide_testkit::*;
use tokio::time::{sleep, timeout};
use tonic::Status;

/// Path of the router's executable.
pub const BINARY: &str = env!("CARGO_BIN_EXE_kestreltide");
/// Every right that an engineer can be given.
pub const ALL_RIGHTS: &str = "read, weights, routes, ring";

/// A router whose two hosts come from a watched file, with the credentials of its management clients.
pub struct ManagedRouter {
    /// Keys and certificates, in the folder that also holds the operator file and the watched file.
    pub credentials: TestCredentials,
    pub program: RouterProcess,
    /// Address of the NETCONF interface.
    pub netconf: SocketAddr,
    /// Address of the gNMI interface.
    pub gnmi: SocketAddr,
    /// Addresses of the hosts `a` and `b`, which answer `of a` and `of b`.
    pub hosts: [SocketAddr; 2],
}

/// A host that answers every request with `name` after 20 ms.
pub fn slow_named_host(name: &'static str) -> SocketAddr {
    fake_host(move |_| {
        std::thread::sleep(Duration::from_millis(20));
        value_reply(name)
    })
}

impl ManagedRouter {
    /// Starts a router with four engineers: `ana` and `rui` with all rights, `eva` with only the right
    /// `read`, and `gil` with only the right `weights`.
    pub fn new() -> Self {
        Self::with_engineers(&[
            ("ana", ALL_RIGHTS),
            ("rui", ALL_RIGHTS),
            ("eva", "read"),
            ("gil", "weights"),
        ])
    }

    /// Starts a router that admits these engineers, each with their rights.
    pub fn with_engineers(engineers: &[(&str, &str)]) -> Self {
        let credentials = TestCredentials::new(engineers);
        let hosts = [slow_named_host("of a"), slow_named_host("of b")];
        let datastore_and_watch = "[datastore]\nstate-directory = .\n[watch]\nhosts = hosts.ini\ndiscovery = off\nsettle = 0.005\npoll = 0.02\n";
        fs::write(
            credentials.path("operator.ini"),
            format!("{datastore_and_watch}{}", credentials.operator_section()),
        )
        .expect("the file is written");
        write_hosts(&credentials, "1", &hosts, "");
        let program = start_router(&credentials);
        let (netconf, gnmi) = management_addresses(&program);
        ManagedRouter {
            credentials,
            program,
            netconf,
            gnmi,
            hosts,
        }
    }

    /// Starts the router again with the same folder.
    pub fn restart(&mut self) {
        self.program = start_router(&self.credentials);
        (self.netconf, self.gnmi) = management_addresses(&self.program);
    }

    /// Opens a NETCONF session as this engineer.
    pub async fn netconf(&self, name: &str) -> NetconfSession {
        NetconfSession::open(self.credentials.management_client(name), self.netconf)
            .await
            .expect("the client is admitted")
    }

    /// Opens a gNMI connection as this engineer.
    pub async fn gnmi(&self, name: &str) -> g_nmi_client::GNmiClient<tonic::transport::Channel> {
        self.credentials
            .gnmi(name, self.gnmi)
            .await
            .expect("the client is admitted")
    }

    /// Waits until `revisions.json` contains this text. A busy disk may delay the write.
    pub async fn wait_for_stored_text(&self, text: &str) {
        let file = self.credentials.path("revisions.json");
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !fs::read_to_string(&file).is_ok_and(|stored| stored.contains(text)) {
            assert!(Instant::now() < deadline, "{text} is not stored");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// The distinct responses to eight concurrent requests, sorted. `id_prefix` makes the request ids unique in the
    /// test.
    pub fn distinct_responses(&self, id_prefix: &str) -> Vec<String> {
        let mut clients: Vec<_> = (0..8).map(|_| self.program.client()).collect();
        for (id, client) in clients.iter_mut().enumerate() {
            client.send(&["Q.ASK", "k", &format!("{id_prefix}-{id}"), "c=read,d=5000"]);
        }
        let mut responses: Vec<_> = clients.iter_mut().map(Client::reply).collect();
        responses.sort();
        responses.dedup();
        responses
    }
}

/// The addresses of the NETCONF and the gNMI interface, from the startup log.
pub fn management_addresses(program: &RouterProcess) -> (SocketAddr, SocketAddr) {
    let address = |message| {
        program
            .address_in_startup_log(message)
            .expect("the log line has the address")
    };
    (
        address("NETCONF interface opened"),
        address("gNMI interface opened"),
    )
}

/// Starts a router with the operator file in the credentials' folder.
pub fn start_router(credentials: &TestCredentials) -> RouterProcess {
    let operator = credentials.path("operator.ini").display().to_string();
    let text = router_config(unused_address(), &endpoint_list(1, true, &[]))
        .replace("\"sockets\":256", "\"sockets\":1024");
    RouterProcess::start_with_env(BINARY, &text, &[("KESTRELTIDE_OPERATOR", operator)])
}

/// Replaces `hosts.ini` atomically. `extra_lines` are added to the entry of host `a`.
pub fn write_hosts(
    credentials: &TestCredentials,
    generation: &str,
    hosts: &[SocketAddr],
    extra_lines: &str,
) {
    let permissive_guards =
        "[guards]\nlargest-removal = 1\nleast-hosts-zone = 0\nleast-hosts-build = 0\n";
    let entry = |(number, address): (usize, &SocketAddr)| {
        let name = ["a", "b"][number];
        let extra_lines = if name == "a" { extra_lines } else { "" };
        format!(
            "[host {name}]\nendpoint = {address}\nzone = z\nkind = m\nbuild = 7\nstarted = 1000\n{extra_lines}"
        )
    };
    let entries: String = hosts.iter().enumerate().map(entry).collect();
    let text = format!(
        "generation = {generation}\n{permissive_guards}{entries}[end]\nhosts = {}\ngeneration = {generation}\n",
        hosts.len()
    );
    fs::write(credentials.path("new"), text)
        .and_then(|()| fs::rename(credentials.path("new"), credentials.path("hosts.ini")))
        .expect("the file is replaced");
}

/// Runs a test's future and fails if it takes more than 40 s.
pub fn run_async<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        timeout(Duration::from_secs(40), test)
            .await
            .expect("the test ends within its timeout")
    })
}

/// An `edit-config` request for this datastore.
pub fn edit_config(target: &str, inner: &str) -> String {
    format!(
        "<edit-config><target><{target}/></target><config><router xmlns=\"urn:kestreltide:yang:router\">{inner}</router></config></edit-config>"
    )
}

/// The configuration that sets a host's administrative state.
pub fn host_state(host: &str, state: &str) -> String {
    format!("<hosts><host><name>{host}</name><state>{state}</state></host></hosts>")
}

/// The configuration that sets a host's weight.
pub fn host_weight(host: &str, weight: &str) -> String {
    format!("<hosts><host><name>{host}</name><weight>{weight}</weight></host></hosts>")
}

/// Parses a gNMI path such as `router/hosts/host=a/weight`; `host=a` selects the list entry whose `name` is `a`.
pub fn gnmi_path(text: &str) -> Path {
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

/// A JSON value in the encoding `JSON_IETF`.
pub fn json_value(value: serde_json::Value) -> Option<TypedValue> {
    Some(TypedValue {
        value: Some(Value::JsonIetfVal(value.to_string().into_bytes())),
    })
}

/// A gNMI update of the value at this path.
pub fn gnmi_update(path: &str, value: serde_json::Value) -> Update {
    Update {
        path: Some(gnmi_path(path)),
        val: json_value(value),
        duplicates: 0,
    }
}

/// The text form of a gNMI value.
pub fn value_text(value: Option<TypedValue>) -> String {
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

/// Reads a path over gNMI; empty if the reply has no update.
pub async fn gnmi_get(
    client: &mut g_nmi_client::GNmiClient<tonic::transport::Channel>,
    path: &str,
    encoding: Encoding,
) -> Result<String, Status> {
    let request = GetRequest {
        path: vec![gnmi_path(path)],
        encoding: encoding.into(),
        ..GetRequest::default()
    };
    let mut response = client.get(request).await?.into_inner();
    let mut updates = response.notification.remove(0).update;
    Ok(if updates.is_empty() {
        String::new()
    } else {
        value_text(updates.remove(0).val)
    })
}

/// Whether a NETCONF reply is `<ok/>`.
pub fn is_ok_reply(reply: &Result<String, NetconfError>) -> bool {
    reply.as_ref().is_ok_and(|reply| reply.contains("<ok/>"))
}
