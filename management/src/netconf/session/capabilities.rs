//! XML namespaces, and the server's hello message with its capabilities (RFC 6241, section 8).

use std::fmt::Write;

use kestreltide_yang::xml::escaped;

use super::Session;

/// The XML namespace of NETCONF messages.
pub const BASE_NAMESPACE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";
/// The capability of version 1.0 of the base protocol.
pub(super) const BASE_1_0_CAPABILITY: &str = "urn:ietf:params:netconf:base:1.0";
/// The capability of version 1.1 of the base protocol, which includes chunked framing.
pub(super) const BASE_1_1_CAPABILITY: &str = "urn:ietf:params:netconf:base:1.1";
/// The XML namespace of notifications (RFC 5277).
pub(super) const NOTIFICATION_NAMESPACE: &str = "urn:ietf:params:xml:ns:netconf:notification:1.0";
/// The XML namespace of `get-schema` (RFC 6022).
pub(super) const MONITORING_NAMESPACE: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring";
/// The capabilities of the server other than its YANG modules.
const CAPABILITIES: [&str; 11] = [
    BASE_1_0_CAPABILITY,
    BASE_1_1_CAPABILITY,
    "urn:ietf:params:netconf:capability:writable-running:1.0",
    "urn:ietf:params:netconf:capability:candidate:1.0",
    "urn:ietf:params:netconf:capability:confirmed-commit:1.1",
    "urn:ietf:params:netconf:capability:rollback-on-error:1.0",
    "urn:ietf:params:netconf:capability:validate:1.1",
    "urn:ietf:params:netconf:capability:xpath:1.0",
    "urn:ietf:params:netconf:capability:notification:1.0",
    "urn:ietf:params:netconf:capability:interleave:1.0",
    "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring?module=ietf-netconf-monitoring&revision=2010-10-04",
];

impl Session {
    /// The hello message of the server.
    pub fn hello(&self) -> String {
        let mut out = format!(
            "<?xml version=\"1.0\" encoding=\"UTF-8\"?><hello xmlns=\"{BASE_NAMESPACE}\"><capabilities>"
        );
        for capability in CAPABILITIES {
            let _ = write!(out, "<capability>{}</capability>", escaped(capability));
        }
        for module in &self.schema.modules {
            let capability = format!(
                "{}?module={}&revision={}",
                module.namespace, module.name, module.revision
            );
            let _ = write!(out, "<capability>{}</capability>", escaped(&capability));
        }
        let _ = write!(
            out,
            "</capabilities><session-id>{}</session-id></hello>",
            self.id
        );
        out
    }
}
