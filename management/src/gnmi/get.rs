//! Get: the published data below the requested paths, in the requested encoding.

use std::collections::BTreeMap;

use kestreltide_yang::Content;
use kestreltide_yang::data::{DataNode, InstancePath};
use kestreltide_yang::path::Pattern;
use tonic::{Request, Response, Status};

use super::encoding::{collect_leaves, supported_encoding};
use super::paths::{leads_nowhere, path_of, path_text, pattern, select};
use super::{Service, nanos};
use crate::proto::gnmi::{
    Encoding, GetRequest, GetResponse, Notification, Path, Update, get_request,
};
use crate::state;

impl Service {
    pub(super) async fn answer_get(
        &self,
        request: Request<GetRequest>,
    ) -> Result<Response<GetResponse>, Status> {
        self.may_read(&request)?;
        let request = request.into_inner();
        let encoding = supported_encoding(request.encoding)?;
        let data = state::operational_data(
            self.schema,
            &self.binding,
            &self.commit_service.operational_state.load(),
            &self.commit_service.status.load(),
        );
        let data = self.retain_type(data, request.r#type);
        let timestamp = nanos();
        let mut notification = Vec::new();
        let everything = [Path::default()];
        for path in if request.path.is_empty() {
            &everything[..]
        } else {
            &request.path
        } {
            let pattern = pattern(request.prefix.as_ref(), path)?;
            if !pattern.matches_schema(self.schema) {
                return Err(leads_nowhere(path));
            }
            let update = self.updates_of(&pattern, &data, encoding);
            if update.is_empty()
                && pattern.single_instance(self.schema).is_ok()
                && !pattern.0.is_empty()
            {
                return Err(Status::not_found(format!(
                    "{}: is not there (given: {0}; taken: what is there)",
                    path_text(path)
                )));
            }
            notification.push(Notification {
                timestamp,
                prefix: None,
                update,
                delete: vec![],
                atomic: false,
            });
        }
        Ok(Response::new(GetResponse {
            notification,
            extension: vec![],
        }))
    }

    /// The part of the data that a type names: configuration, state or both.
    fn retain_type(&self, mut data: DataNode, data_type: i32) -> Vec<DataNode> {
        use get_request::DataType;
        if let Content::Inner(children) = &mut data.content {
            let config = |child: &DataNode| self.schema.node_of(child.node).config;
            match DataType::try_from(data_type) {
                Ok(DataType::Config) => children.retain(config),
                Ok(DataType::State | DataType::Operational) => {
                    children.retain(|child| !config(child))
                }
                _ => {}
            }
        }
        vec![data]
    }

    fn updates_of(&self, pattern: &Pattern, data: &[DataNode], encoding: Encoding) -> Vec<Update> {
        let found = select(self.schema, pattern, data);
        if encoding == Encoding::Proto {
            let mut leaves = BTreeMap::new();
            found.iter().for_each(|(at, data)| {
                collect_leaves(self.schema, encoding, at, data, &mut leaves)
            });
            return leaves
                .into_iter()
                .map(|(at, val)| Update {
                    path: Some(path_of(&at)),
                    val: Some(val),
                    duplicates: 0,
                })
                .collect();
        }
        let update = |(at, data): (InstancePath, &DataNode)| Update {
            path: Some(path_of(&at)),
            val: Some(self.json_value(data, encoding)),
            duplicates: 0,
        };
        found.into_iter().map(update).collect()
    }
}
