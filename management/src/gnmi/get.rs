//! The Get RPC: returns the published data at the requested paths in the requested encoding.

use std::collections::BTreeMap;

use kestreltide_yang::Content;
use kestreltide_yang::data::{DataNode, InstancePath};
use kestreltide_yang::path::Pattern;
use tonic::{Request, Response, Status};

use super::encoding::{collect_leaf_values, supported_encoding};
use super::paths::{
    format_path, parse_pattern, select_instances, to_gnmi_path, unknown_path_status,
};
use super::{GnmiService, unix_nanoseconds};
use crate::proto::gnmi::{
    Encoding, GetRequest, GetResponse, Notification, Path, Update, get_request,
};
use crate::state;

impl GnmiService {
    pub(super) async fn handle_get(
        &self,
        request: Request<GetRequest>,
    ) -> Result<Response<GetResponse>, Status> {
        self.authorize_read(&request)?;
        let request = request.into_inner();
        let encoding = supported_encoding(request.encoding)?;
        let data = state::operational_data(
            self.schema,
            &self.binding,
            &self.commit_service.operational_state.load(),
            &self.commit_service.status.load(),
        );
        let data = self.retain_data_type(data, request.r#type);
        let timestamp = unix_nanoseconds();
        let mut notifications = Vec::new();
        let root_path = [Path::default()];
        for path in if request.path.is_empty() {
            &root_path[..]
        } else {
            &request.path
        } {
            let pattern = parse_pattern(request.prefix.as_ref(), path)?;
            if !pattern.matches_schema(self.schema) {
                return Err(unknown_path_status(path));
            }
            let update = self.select_updates(&pattern, &data, encoding);
            if update.is_empty()
                && pattern.single_instance(self.schema).is_ok()
                && !pattern.0.is_empty()
            {
                return Err(Status::not_found(format!(
                    "{}: is not there (given: {0}; taken: what is there)",
                    format_path(path)
                )));
            }
            notifications.push(Notification {
                timestamp,
                prefix: None,
                update,
                delete: vec![],
                atomic: false,
            });
        }
        Ok(Response::new(GetResponse {
            notification: notifications,
            extension: vec![],
        }))
    }

    /// Keeps the part of the data that a data type names: configuration, state or both.
    fn retain_data_type(&self, mut data: DataNode, data_type: i32) -> Vec<DataNode> {
        use get_request::DataType;
        if let Content::Inner(children) = &mut data.content {
            let is_config = |child: &DataNode| self.schema.node_of(child.node).config;
            match DataType::try_from(data_type) {
                Ok(DataType::Config) => children.retain(is_config),
                Ok(DataType::State | DataType::Operational) => {
                    children.retain(|child| !is_config(child))
                }
                _ => {}
            }
        }
        vec![data]
    }

    /// The updates for the data that a pattern selects: one per leaf in PROTO, one per instance in JSON.
    fn select_updates(
        &self,
        pattern: &Pattern,
        data: &[DataNode],
        encoding: Encoding,
    ) -> Vec<Update> {
        let instances = select_instances(self.schema, pattern, data);
        if encoding == Encoding::Proto {
            let mut leaves = BTreeMap::new();
            instances.iter().for_each(|(path, data)| {
                collect_leaf_values(self.schema, encoding, path, data, &mut leaves)
            });
            return leaves
                .into_iter()
                .map(|(path, val)| Update {
                    path: Some(to_gnmi_path(&path)),
                    val: Some(val),
                    duplicates: 0,
                })
                .collect();
        }
        let update = |(path, data): (InstancePath, &DataNode)| Update {
            path: Some(to_gnmi_path(&path)),
            val: Some(self.encode_json(data, encoding)),
            duplicates: 0,
        };
        instances.into_iter().map(update).collect()
    }
}
