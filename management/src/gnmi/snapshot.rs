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

use super::encoding::collect_leaves;
use super::paths::{path_of, select};
use crate::commit_service::CommitServiceHandle;
use crate::proto::gnmi::{Encoding, Path, TypedValue};
use crate::state;

/// The published data at one time, computed when the first stream needs it.
pub(super) struct Snapshot {
    /// The number of changes so far, each revision counted.
    pub(super) number: u64,
    make_data: Box<dyn Fn() -> Vec<DataNode> + Send + Sync>,
    data: OnceLock<Vec<DataNode>>,
    leaves_by_selection: Mutex<BTreeMap<Selection, Arc<Leaves>>>,
    differences: Mutex<BTreeMap<DifferenceKey, Difference>>,
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
type DifferenceKey = (Selection, usize);

/// The difference from leaves that were sent.
struct Difference {
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
    fn new(number: u64, make_data: Box<dyn Fn() -> Vec<DataNode> + Send + Sync>) -> Self {
        Snapshot {
            number,
            make_data,
            data: OnceLock::new(),
            leaves_by_selection: Mutex::default(),
            differences: Mutex::default(),
        }
    }

    fn data(&self) -> &[DataNode] {
        self.data.get_or_init(&self.make_data)
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
        let instances = select(schema, &selection.pattern, self.data());
        let mut leaves = Leaves::new();
        instances.iter().for_each(|(at, data)| {
            collect_leaves(schema, selection.encoding, at, data, &mut leaves)
        });
        let leaves = Arc::new(leaves);
        // Bounded by the number of streams; the next change begins with an empty cache.
        leaves_by_selection.insert(selection.clone(), leaves.clone());
        leaves
    }

    /// The selected leaves, and their difference from those that a stream has sent.
    pub(super) fn changes(
        &self,
        schema: &Schema,
        selection: &Selection,
        sent: &Arc<Leaves>,
    ) -> (Arc<Leaves>, Arc<Changes>) {
        let now = self.leaves(schema, selection);
        if Arc::ptr_eq(&now, sent) {
            return (now, Arc::default());
        }
        let key = (selection.clone(), Arc::as_ptr(sent) as usize);
        let mut differences = self
            .differences
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(difference) = differences.get(&key) {
            return (now, difference.changes.clone());
        }
        let differs = |(at, value): &(&InstancePath, &TypedValue)| sent.get(*at) != Some(*value);
        let updates = now
            .iter()
            .filter(differs)
            .map(|(at, value)| (at.clone(), value.clone()))
            .collect();
        let deleted = sent
            .keys()
            .filter(|at| !now.contains_key(*at))
            .map(path_of)
            .collect();
        let changes = Arc::new(Changes { updates, deleted });
        let difference = Difference {
            _sent: sent.clone(),
            changes: changes.clone(),
        };
        differences.insert(key, difference);
        (now, changes)
    }
}

/// Time between checks for changes of the published data.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Follows the published data in a task of its own; gives a snapshot after each change.
pub(super) fn follow_published(
    schema: &'static Schema,
    binding: Arc<Binding>,
    commit_service: CommitServiceHandle,
) -> watch::Receiver<Arc<Snapshot>> {
    let snapshot = move |number,
                         view: &Arc<OperationalState>,
                         published: &Arc<CoordinatorStatus>| {
        let binding = binding.clone();
        let view = view.clone();
        let published = published.clone();
        Arc::new(Snapshot::new(
            number,
            Box::new(move || vec![state::operational_data(schema, &binding, &view, &published)]),
        ))
    };
    let mut view = commit_service.operational_state.load_full();
    let mut published = commit_service.status.load_full();
    let (sender, receiver) = watch::channel(snapshot(0, &view, &published));
    tokio::spawn(async move {
        let mut number = 0;
        while !sender.is_closed() {
            // Comparing two pointers is cheaper than a notification of each change.
            sleep(POLL_INTERVAL).await;
            let new_view = commit_service.operational_state.load_full();
            let new_published = commit_service.status.load_full();
            if Arc::ptr_eq(&new_view, &view) && Arc::ptr_eq(&new_published, &published) {
                continue;
            }
            // Revisions between two checks count one by one, so that streams can report how many they coalesce.
            let revisions = new_published
                .in_force
                .revision
                .0
                .saturating_sub(published.in_force.revision.0);
            view = new_view;
            published = new_published;
            number += revisions.max(1);
            let _ = sender.send(snapshot(number, &view, &published));
        }
    });
    receiver
}
