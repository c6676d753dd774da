//! The operational state and the notifications of the router as data of the YANG model.

use kestreltide::interface::{HostState, Phase};
use kestreltide_datastore::commit_coordinator::CoordinatorStatus;
use kestreltide_datastore::operational_state::OperationalState;
use kestreltide_datastore::{Author, RejectedCommit, RevisionRecord, ValidationError, merge};
use kestreltide_yang::binding::{Binding, format_decimal, format_time};
use kestreltide_yang::data::DataBuilder;
use kestreltide_yang::{Content, DataNode, NodeId, Schema};

/// Maximum number of changes that are listed for one revision.
const MAX_LISTED_CHANGES: usize = 100;

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Canary => "on-trial",
        Phase::RollingBack => "going-back",
        Phase::Released => "released",
        Phase::RolledBack => "withdrawn",
    }
}

fn put_author(builder: &mut DataBuilder, author: &Author) {
    builder
        .put("source", &author.source)
        .put("author", &author.name)
        .put("version", &author.version);
}

/// Adds a validation error. In the model, `what` is the problem, `given` the value found and `taken` the values that
/// are valid.
fn put_validation_error(builder: &mut DataBuilder, error: &ValidationError) {
    builder
        .put("path", &error.path)
        .put("what", &error.problem)
        .put("given", &error.found)
        .put("taken", &error.expected)
        .put_optional("rule", error.rule);
}

fn put_changes(builder: &mut DataBuilder, record: &RevisionRecord) {
    for change in record.changes.iter().take(MAX_LISTED_CHANGES) {
        builder.put("change", change);
    }
}

/// The container `state` of the model with the state of the router; none if the model has no such container.
pub fn router_state(
    schema: &Schema,
    operational_state: &OperationalState,
    status: &CoordinatorStatus,
) -> Option<DataNode> {
    let mut state = DataBuilder::new(schema, schema.find_node(&["router", "state"])?);
    put_router_status(&mut state, operational_state, status);
    put_rollout(&mut state, operational_state);
    put_hosts(&mut state, operational_state, status);
    put_history(&mut state, status);
    put_last_rejection(&mut state, status);
    debug_assert!(
        state.unknown_names.is_empty(),
        "the model does not define: {:?}",
        state.unknown_names
    );
    Some(state.build())
}

/// Adds the leaves about the router itself. The model has names of its own: requests in flight are
/// `open-invocations`, upstream connections are `links`, and the longest time to apply a revision is `longest-pause`.
fn put_router_status(
    state: &mut DataBuilder,
    operational_state: &OperationalState,
    status: &CoordinatorStatus,
) {
    state
        .put("revision", status.in_force.revision.0)
        .put("revisions-taken", operational_state.revisions_applied)
        .put(
            "longest-pause",
            format_decimal(operational_state.longest_apply_time),
        )
        .put("open-invocations", operational_state.requests_in_flight)
        .put("clients", operational_state.clients)
        .put("links", operational_state.upstream_connections);
    state.put_inner("counts", |counts| {
        counts
            .put("taken", operational_state.counts.admitted)
            .put("succeeded", operational_state.counts.succeeded)
            .put("throttled", operational_state.counts.shed)
            .put("terminated", operational_state.counts.failed)
            .put("dispatches", operational_state.counts.attempts);
    });
}

fn put_rollout(state: &mut DataBuilder, operational_state: &OperationalState) {
    let Some(rollout) = operational_state.rollout else {
        return;
    };
    state.put_inner("trial", |trial| {
        trial
            .put("build", rollout.build.0)
            .put("stage", rollout.stage)
            .put("phase", phase_name(rollout.phase))
            .put("cap", format_decimal(rollout.cap));
    });
}

/// Adds the hosts of the configuration merged with those of discovery.
fn put_hosts(
    state: &mut DataBuilder,
    operational_state: &OperationalState,
    status: &CoordinatorStatus,
) {
    let in_force = &status.in_force;
    // `first_listed` returns when operators first listed each host.
    let hosts = merge::merge_hosts(
        &in_force.tree,
        in_force.first_listed(),
        operational_state.discovery.as_deref(),
    );
    let discovered = operational_state.discovery.as_deref().unwrap_or_default();
    for host in hosts.values() {
        let from_discovery = discovered.iter().any(|listed| listed.name == host.name);
        state.put_inner("host", |entry| {
            entry
                .put("name", &host.name)
                .put("endpoint", host.endpoint)
                .put("zone", &host.zone)
                .put("kind", &host.kind)
                .put("build", host.build.0)
                .put("running", host.state == HostState::Running)
                .put("from-discovery", from_discovery);
        });
    }
}

fn put_history(state: &mut DataBuilder, status: &CoordinatorStatus) {
    for record in status.history.iter() {
        state.put_inner("revision-record", |entry| {
            entry
                .put("number", record.number)
                .put("based-on", record.based_on)
                .put("at", format_time(record.at));
            put_author(entry, &record.author);
            put_changes(entry, record);
        });
    }
}

fn put_last_rejection(state: &mut DataBuilder, status: &CoordinatorStatus) {
    let Some(rejection) = &status.last_rejection else {
        return;
    };
    state.put_inner("last-refusal", |last_rejection| {
        last_rejection
            .put("at", format_time(rejection.at))
            .put("stays", rejection.revision);
        put_author(last_rejection, &rejection.author);
        // `first` has the errors that are kept; further errors are only counted.
        for (number, error) in rejection.errors.first.iter().enumerate() {
            last_rejection.put_inner("fault", |fault| {
                fault.put("number", number);
                put_validation_error(fault, error);
            });
        }
    });
}

/// The configuration in force together with the state of the router, as the reply to `get` has it.
pub fn operational_data(
    schema: &Schema,
    binding: &Binding,
    operational_state: &OperationalState,
    status: &CoordinatorStatus,
) -> DataNode {
    let mut router = binding.configuration_data(schema, &status.in_force.tree);
    if let (Content::Inner(children), Some(state)) = (
        &mut router.content,
        router_state(schema, operational_state, status),
    ) {
        children.push(state);
    }
    router
}

/// The notification `revision-committed`. `missed` is the number of notifications before it that the subscriber lost.
pub fn revision_committed_notification(
    schema: &Schema,
    node: NodeId,
    record: &RevisionRecord,
    missed: u64,
) -> DataNode {
    let mut notification = DataBuilder::new(schema, node);
    notification
        .put("revision", record.number)
        .put("based-on", record.based_on);
    put_author(&mut notification, &record.author);
    put_changes(&mut notification, record);
    notification.put_optional("missed", (missed > 0).then_some(missed));
    notification.build()
}

/// The notification `candidate-refused`: a candidate was rejected.
pub fn candidate_rejected_notification(
    schema: &Schema,
    node: NodeId,
    rejection: &RejectedCommit,
) -> DataNode {
    let mut notification = DataBuilder::new(schema, node);
    put_author(&mut notification, &rejection.author);
    notification.put("stays", rejection.revision);
    // `first` has the errors that are kept; further errors are only counted.
    for error in &rejection.errors.first {
        notification.put("reason", error);
    }
    notification.build()
}
