//! XML encoding of replies and notifications.

use kestreltide_yang::DataNode;
use kestreltide_yang::xml;

use super::Session;
use super::capabilities::{BASE_NAMESPACE, NOTIFICATION_NAMESPACE};
use super::rpc_error::RpcError;

impl Session {
    pub(super) fn ok_reply(&self) -> String {
        format!(
            "<rpc-reply xmlns=\"{BASE_NAMESPACE}\"{}><ok/></rpc-reply>",
            self.rpc_attributes
        )
    }

    pub(super) fn error_reply(&self, errors: &[RpcError]) -> String {
        let mut out = format!(
            "<rpc-reply xmlns=\"{BASE_NAMESPACE}\"{}>",
            self.rpc_attributes
        );
        errors.iter().for_each(|error| error.write(&mut out));
        out + "</rpc-reply>"
    }

    pub(super) fn data_reply(&self, data: &[DataNode]) -> String {
        let mut out = format!(
            "<rpc-reply xmlns=\"{BASE_NAMESPACE}\"{}><data>",
            self.rpc_attributes
        );
        xml::write(self.schema, data, &mut out);
        out + "</data></rpc-reply>"
    }

    /// Encodes a notification as XML (RFC 5277, section 4); `time` is its event time in Unix seconds.
    pub fn encode_notification(&self, time: f64, data: &DataNode) -> String {
        let event_time = kestreltide_yang::binding::format_time(time);
        let mut out = format!(
            "<notification xmlns=\"{NOTIFICATION_NAMESPACE}\"><eventTime>{event_time}</eventTime>"
        );
        xml::write(self.schema, std::slice::from_ref(data), &mut out);
        out + "</notification>"
    }
}
