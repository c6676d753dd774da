//! Snapshots of the published data, one for each change. The leaves of a path and the differences between snapshots are
//! computed once for all streams that need them.

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

/// The published data at one time, computed when the first stream needs it.
pub(super) struct Snapshot {
    /// The number of changes so far, each revision counted.
    pub(super) change_number: u64,
    build_data: Box<dyn Fn() -> Vec<DataNode> + Send + Sync>,
    data: OnceLock<Vec<DataNode>>,
    leaves_by_selection: Mutex<BTreeMap<Selection, Arc<Leaves>>>,
    differences: Mutex<BTreeMap<CachedDifferenceKey, CachedDifference>>,
}

/// What a subscription selects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Selection {
    /// The path of the subscription.
    pub(super) pattern: Pattern,
    /// The encoding of the values.
    pub(super) encoding: Encoding,
}

/// The values of leaves by their paths.
pub(super) type Leaves = BTreeMap<InstancePath, TypedValue>;

/// Identifies a difference: the selection, and the address of the leaves that were sent.
type CachedDifferenceKey = (Selection, usize);

/// The difference from leaves that were sent.
struct CachedDifference {
    /// Kept so that no other leaves can have their address.
    _sent: Arc<Leaves>,
    changes: Arc<Changes>,
}

/// What differs between two snapshots.
#[derive(Default)]
pub(super) struct Changes {
    /// Leaves that are new or have another value.
    pub(super) updates: Vec<(InstancePath, TypedValue)>,
    /// Paths of leaves that are gone.
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

    /// The selected leaves.
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
        instances.iter().for_each(|(at, data)| {
            collect_leaf_values(schema, selection.encoding, at, data, &mut leaves)
        });
        let leaves = Arc::new(leaves);
        // Bounded by the number of streams; the next change begins with an empty cache.
        leaves_by_selection.insert(selection.clone(), leaves.clone());
        leaves
    }

    /// The selected leaves, and their difference from those that a stream has sent.
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
        let differs = |(at, value): &(&InstancePath, &TypedValue)| sent.get(*at) != Some(*value);
        let updates = current_leaves
            .iter()
            .filter(differs)
            .map(|(at, value)| (at.clone(), value.clone()))
            .collect();
        let deleted = sent
            .keys()
            .filter(|at| !current_leaves.contains_key(*at))
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

/// Time between checks for changes of the published data.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Follows the published data in a task of its own; gives a snapshot after each change.
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
            // Comparing two pointers is cheaper than a notification of each change.
            sleep(POLL_INTERVAL).await;
            let new_operational_state = commit_service.operational_state.load_full();
            let new_status = commit_service.status.load_full();
            if Arc::ptr_eq(&new_operational_state, &operational_state)
                && Arc::ptr_eq(&new_status, &status)
            {
                continue;
            }
            // Revisions between two checks count one by one, so that streams can report how many they coalesce.
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
