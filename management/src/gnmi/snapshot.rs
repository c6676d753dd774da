//! Snapshots of the published data, one for each detected change. The leaves of a selection and their differences from
//! earlier snapshots are computed once and cached for all streams.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use kestreltide_datastore::commit_coordinator::CoordinatorStatus;
use kestreltide_datastore::operational_state::OperationalState;
use kestreltide_yang::Schema;
use kestreltide_yang::binding::Binding;
use kestreltide_yang::data::{DataNode, InstancePath};
use kestreltide_yang::path::Pattern;
use tokio::sync::watch;
use tokio::time::sleep;

use super::encoding::collect_leaf_values;
use super::paths::{select_instances, to_gnmi_path};
use crate::commit_service::CommitServiceHandle;
use crate::proto::gnmi::{Encoding, Path, TypedValue};
use crate::state;

/// The published data at one point in time; its data tree is built when the first stream needs it.
pub(super) struct Snapshot {
    /// The number of changes since the server started; each revision counts, also if no stream saw it.
    pub(super) change_number: u64,
    build_data: Box<dyn Fn() -> Vec<DataNode> + Send + Sync>,
    data: OnceLock<Vec<DataNode>>,
    leaves_by_selection: Mutex<BTreeMap<Selection, Arc<Leaves>>>,
    differences: Mutex<BTreeMap<CachedDifferenceKey, CachedDifference>>,
}

/// The data that a subscription selects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Selection {
    /// The path of the subscription.
    pub(super) pattern: Pattern,
    /// The encoding of the values.
    pub(super) encoding: Encoding,
}

/// The values of leaves by their paths.
pub(super) type Leaves = BTreeMap<InstancePath, TypedValue>;

/// The key of a cached difference: the selection, and the address of the leaves that were sent before.
type CachedDifferenceKey = (Selection, usize);

/// The cached difference from leaves that were sent before.
struct CachedDifference {
    /// Keeps the sent leaves alive, so that no other leaves can get their address, which is part of the key.
    _sent: Arc<Leaves>,
    changes: Arc<Changes>,
}

/// The difference between the leaves of two snapshots.
#[derive(Default)]
pub(super) struct Changes {
    /// Leaves that are new or have a new value.
    pub(super) updates: Vec<(InstancePath, TypedValue)>,
    /// Paths of leaves that no longer exist.
    pub(super) deleted: Vec<Path>,
}

impl Snapshot {
    fn new(change_number: u64, build_data: Box<dyn Fn() -> Vec<DataNode> + Send + Sync>) -> Self {
        Snapshot {
            change_number,
            build_data,
            data: OnceLock::new(),
            leaves_by_selection: Mutex::default(),
            differences: Mutex::default(),
        }
    }

    fn data(&self) -> &[DataNode] {
        self.data.get_or_init(&self.build_data)
    }

    /// The leaves that a selection selects, from the cache if it has them.
    pub(super) fn leaves(&self, schema: &Schema, selection: &Selection) -> Arc<Leaves> {
        let mut leaves_by_selection = self
            .leaves_by_selection
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(leaves) = leaves_by_selection.get(selection) {
            return leaves.clone();
        }
        let instances = select_instances(schema, &selection.pattern, self.data());
        let mut leaves = Leaves::new();
        instances.iter().for_each(|(path, data)| {
            collect_leaf_values(schema, selection.encoding, path, data, &mut leaves)
        });
        let leaves = Arc::new(leaves);
        // The subscriptions of the open streams bound the cache, and each change starts a snapshot with an empty one.
        leaves_by_selection.insert(selection.clone(), leaves.clone());
        leaves
    }

    /// The selected leaves, and their difference from the leaves that a stream has sent before.
    pub(super) fn changes_since(
        &self,
        schema: &Schema,
        selection: &Selection,
        sent: &Arc<Leaves>,
    ) -> (Arc<Leaves>, Arc<Changes>) {
        let current_leaves = self.leaves(schema, selection);
        if Arc::ptr_eq(&current_leaves, sent) {
            return (current_leaves, Arc::default());
        }
        let key = (selection.clone(), Arc::as_ptr(sent) as usize);
        let mut differences = self
            .differences
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(difference) = differences.get(&key) {
            return (current_leaves, difference.changes.clone());
        }
        let differs =
            |(path, value): &(&InstancePath, &TypedValue)| sent.get(*path) != Some(*value);
        let updates = current_leaves
            .iter()
            .filter(differs)
            .map(|(path, value)| (path.clone(), value.clone()))
            .collect();
        let deleted = sent
            .keys()
            .filter(|path| !current_leaves.contains_key(*path))
            .map(to_gnmi_path)
            .collect();
        let changes = Arc::new(Changes { updates, deleted });
        let difference = CachedDifference {
            _sent: sent.clone(),
            changes: changes.clone(),
        };
        differences.insert(key, difference);
        (current_leaves, changes)
    }
}

/// Time between checks whether the published data has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Spawns a task that checks the published data for changes; the receiver gets a snapshot after each change.
pub(super) fn watch_snapshots(
    schema: &'static Schema,
    binding: Arc<Binding>,
    commit_service: CommitServiceHandle,
) -> watch::Receiver<Arc<Snapshot>> {
    let new_snapshot = move |change_number,
                             operational_state: &Arc<OperationalState>,
                             status: &Arc<CoordinatorStatus>| {
        let binding = binding.clone();
        let operational_state = operational_state.clone();
        let status = status.clone();
        Arc::new(Snapshot::new(
            change_number,
            Box::new(move || {
                vec![state::operational_data(
                    schema,
                    &binding,
                    &operational_state,
                    &status,
                )]
            }),
        ))
    };
    let mut operational_state = commit_service.operational_state.load_full();
    let mut status = commit_service.status.load_full();
    let (sender, receiver) = watch::channel(new_snapshot(0, &operational_state, &status));
    tokio::spawn(async move {
        let mut change_number = 0;
        while !sender.is_closed() {
            // Polling compares two pointers, which costs less than a notification for each change.
            sleep(POLL_INTERVAL).await;
            let new_operational_state = commit_service.operational_state.load_full();
            let new_status = commit_service.status.load_full();
            if Arc::ptr_eq(&new_operational_state, &operational_state)
                && Arc::ptr_eq(&new_status, &status)
            {
                continue;
            }
            // Each revision between two checks counts, so that streams can report the number of coalesced changes.
            let revisions = new_status
                .in_force
                .revision
                .0
                .saturating_sub(status.in_force.revision.0);
            operational_state = new_operational_state;
            status = new_status;
            change_number += revisions.max(1);
            let _ = sender.send(new_snapshot(change_number, &operational_state, &status));
        }
    });
    receiver
}
