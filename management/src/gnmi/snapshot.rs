//! What all streams read: one snapshot a change of what is published, with the leaves of each path and the differences
//! between snapshots worked out once for all streams that want them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use kestreltide_datastore::commit_coordinator::CoordinatorStatus;
use kestreltide_datastore::view::View;
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

/// What all streams read, made when the first of them wants it: what many want is worked out once.
pub(super) struct Snapshot {
    /// How often something changed so far, each revision counted.
    pub(super) number: u64,
    make_data: Box<dyn Fn() -> Vec<DataNode> + Send + Sync>,
    data: OnceLock<Vec<DataNode>>,
    leaves_by_selection: Mutex<BTreeMap<Selection, Arc<Leaves>>>,
    differences: Mutex<BTreeMap<(Selection, usize), Difference>>,
}

/// What a subscription selects: a path, and the encoding of what is sent for it.
pub(super) type Selection = (Pattern, i32);
/// Leaf by leaf, where it stands and its value.
pub(super) type Leaves = BTreeMap<InstancePath, TypedValue>;

/// From which leaves, and what differs.
type Difference = (Arc<Leaves>, Arc<Changes>);

/// What differs between two times, and what is gone.
#[derive(Default)]
pub(super) struct Changes {
    pub(super) updates: Vec<(InstancePath, TypedValue)>,
    pub(super) deleted: Vec<Path>,
}

impl Snapshot {
    fn new(number: u64, make_data: Box<dyn Fn() -> Vec<DataNode> + Send + Sync>) -> Self {
        let (data, leaves_by_selection, differences) =
            (OnceLock::new(), Mutex::default(), Mutex::default());
        Snapshot {
            number,
            make_data,
            data,
            leaves_by_selection,
            differences,
        }
    }

    fn data(&self) -> &[DataNode] {
        self.data.get_or_init(&self.make_data)
    }

    /// All leaves that a path wants, in an encoding.
    pub(super) fn leaves(&self, schema: &Schema, selection: &Selection) -> Arc<Leaves> {
        let mut leaves_by_selection = self
            .leaves_by_selection
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(leaves) = leaves_by_selection.get(selection) {
            return leaves.clone();
        }
        let (pattern, encoding) = (
            &selection.0,
            Encoding::try_from(selection.1).unwrap_or_default(),
        );
        let instances = select(schema, pattern, self.data());
        let mut leaves = Leaves::new();
        instances
            .iter()
            .for_each(|(at, data)| collect_leaves(schema, encoding, at, data, &mut leaves));
        let leaves = Arc::new(leaves);
        // Bounded by what streams there are; the next change begins anew.
        leaves_by_selection.insert(selection.clone(), leaves.clone());
        leaves
    }

    /// What differs from what a stream has sent.
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
        // Held with it, so that the place in memory stays that of these leaves.
        let key = (selection.clone(), Arc::as_ptr(sent) as usize);
        let mut differences = self
            .differences
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some((_, changes)) = differences.get(&key) {
            return (now, changes.clone());
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
        differences.insert(key, (sent.clone(), changes.clone()));
        (now, changes)
    }
}

/// Between looks at what is published.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Follows what is published, and says when something changed. Streams share what they make of it.
pub(super) fn follow_published(
    schema: &'static Schema,
    binding: Arc<Binding>,
    commit_service: CommitServiceHandle,
) -> watch::Receiver<Arc<Snapshot>> {
    let snapshot = move |number, view: &Arc<View>, published: &Arc<CoordinatorStatus>| {
        let (binding, view, published) = (binding.clone(), view.clone(), published.clone());
        Arc::new(Snapshot::new(
            number,
            Box::new(move || vec![state::operational_data(schema, &binding, &view, &published)]),
        ))
    };
    let (mut view, mut published) = (
        commit_service.view.load_full(),
        commit_service.published.load_full(),
    );
    let (sender, receiver) = watch::channel(snapshot(0, &view, &published));
    tokio::spawn(async move {
        let mut number = 0;
        while !sender.is_closed() {
            // Nobody has to tell: a look costs two pointers.
            sleep(POLL_INTERVAL).await;
            let (now, published_now) = (
                commit_service.view.load_full(),
                commit_service.published.load_full(),
            );
            if Arc::ptr_eq(&now, &view) && Arc::ptr_eq(&published_now, &published) {
                continue;
            }
            // Each revision counts, also those that came between two looks: who is told of the newest is told how
            // many it stands for.
            let revisions = published_now
                .in_force
                .revision
                .0
                .saturating_sub(published.in_force.revision.0);
            (view, published, number) = (now, published_now, number + revisions.max(1));
            let _ = sender.send(snapshot(number, &view, &published));
        }
    });
    receiver
}
