//! Get: what is published, below the paths asked for, in the encoding asked for.

use std::collections::BTreeMap;

use kestreltide_yang::Content;
use kestreltide_yang::data::{DataNode, InstancePath};
use kestreltide_yang::path::Pattern;
use tonic::{Request, Response, Status};

use super::encoding::{collect, encoding};
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
        let asked = request.into_inner();
        let encoding = encoding(asked.encoding)?;
        let data = state::operational_data(
            self.schema,
            &self.binding,
            &self.commit_service.view.load(),
            &self.commit_service.published.load(),
        );
        let data = self.filter_by_type(data, asked.r#type);
        let timestamp = nanos();
        let mut notification = Vec::new();
        let everything = [Path::default()];
        for path in if asked.path.is_empty() {
            &everything[..]
        } else {
            &asked.path
        } {
            let wanted = pattern(asked.prefix.as_ref(), path)?;
            if !wanted.matches_schema(self.schema) {
                return Err(leads_nowhere(path));
            }
            let update = self.updates(&wanted, &data, encoding);
            if update.is_empty() && wanted.instance(self.schema).is_ok() && !wanted.0.is_empty() {
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

    /// What of everything is asked for: what operators set, or the router's own.
    fn filter_by_type(&self, mut data: DataNode, of: i32) -> Vec<DataNode> {
        use get_request::DataType;
        if let Content::Inner(children) = &mut data.content {
            let config = |child: &DataNode| self.schema.node_of(child.node).config;
            match DataType::try_from(of) {
                Ok(DataType::Config) => children.retain(config),
                Ok(DataType::State | DataType::Operational) => {
                    children.retain(|child| !config(child))
                }
                _ => {}
            }
        }
        vec![data]
    }

    fn updates(&self, wanted: &Pattern, data: &[DataNode], of: Encoding) -> Vec<Update> {
        let found = select(self.schema, wanted, data);
        if of == Encoding::Proto {
            let mut leaves = BTreeMap::new();
            found
                .iter()
                .for_each(|(at, data)| collect(self.schema, of, at, data, &mut leaves));
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
            val: Some(self.json_value(data, of)),
            duplicates: 0,
        };
        found.into_iter().map(update).collect()
    }
}
