//! The state of the router as data of the model.

use kestreltide::interface::{HostState, Phase};
use kestreltide_datastore::commit_coordinator::CoordinatorStatus;
use kestreltide_datastore::operational_state::OperationalState;
use kestreltide_datastore::{Author, RejectedCommit, RevisionRecord, ValidationError, merge};
use kestreltide_yang::binding::{Binding, format_decimal, format_time};
use kestreltide_yang::data::DataBuilder;
use kestreltide_yang::{Content, DataNode, NodeId, Schema};

/// Changes of one revision that are shown, at most.
const MAX_CHANGES: usize = 100;

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

fn put_validation_error(builder: &mut DataBuilder, error: &ValidationError) {
    builder
        .put("path", &error.path)
        .put("what", &error.problem)
        .put("given", &error.found)
        .put("taken", &error.expected)
        .put_optional("rule", error.rule);
}

fn put_changes(builder: &mut DataBuilder, record: &RevisionRecord) {
    for change in record.changes.iter().take(MAX_CHANGES) {
        builder.put("change", change);
    }
}

/// The state of the router, as the container `state` of the model; none if the model has no such container.
pub fn router_state(
    schema: &Schema,
    view: &OperationalState,
    published: &CoordinatorStatus,
) -> Option<DataNode> {
    let mut state = DataBuilder::new(schema, schema.find_node(&["router", "state"])?);
    put_load(&mut state, view, published);
    put_rollout(&mut state, view);
    put_hosts(&mut state, view, published);
    put_history(&mut state, published);
    put_last_rejection(&mut state, published);
    debug_assert!(
        state.unknown_names.is_empty(),
        "the model has all that is shown: {:?}",
        state.unknown_names
    );
    Some(state.build())
}

fn put_load(state: &mut DataBuilder, view: &OperationalState, published: &CoordinatorStatus) {
    state
        .put("revision", published.in_force.revision.0)
        .put("revisions-taken", view.revisions_applied)
        .put("longest-pause", format_decimal(view.longest_apply_time))
        .put("open-invocations", view.requests_in_flight)
        .put("clients", view.clients)
        .put("links", view.upstream_connections);
    state.put_inner("counts", |counts| {
        counts
            .put("taken", view.counts.admitted)
            .put("succeeded", view.counts.succeeded)
            .put("throttled", view.counts.shed)
            .put("terminated", view.counts.failed)
            .put("dispatches", view.counts.attempts);
    });
}

fn put_rollout(state: &mut DataBuilder, view: &OperationalState) {
    let Some(rollout) = view.rollout else {
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

/// The hosts of the configuration and of discovery, together.
fn put_hosts(state: &mut DataBuilder, view: &OperationalState, published: &CoordinatorStatus) {
    let in_force = &published.in_force;
    let hosts = merge::merge_hosts(
        &in_force.tree,
        in_force.first_listed(),
        view.discovery.as_deref(),
    );
    let discovered = view.discovery.as_deref().unwrap_or_default();
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

fn put_history(state: &mut DataBuilder, published: &CoordinatorStatus) {
    for record in published.history.iter() {
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

fn put_last_rejection(state: &mut DataBuilder, published: &CoordinatorStatus) {
    let Some(rejection) = &published.last_rejection else {
        return;
    };
    state.put_inner("last-refusal", |refusal| {
        refusal
            .put("at", format_time(rejection.at))
            .put("stays", rejection.revision);
        put_author(refusal, &rejection.author);
        for (number, error) in rejection.errors.first.iter().enumerate() {
            refusal.put_inner("fault", |fault| {
                fault.put("number", number);
                put_validation_error(fault, error);
            });
        }
    });
}

/// The configuration with the state of the router.
pub fn operational_data(
    schema: &Schema,
    binding: &Binding,
    view: &OperationalState,
    published: &CoordinatorStatus,
) -> DataNode {
    let mut router = binding.configuration_data(schema, &published.in_force.tree);
    if let (Content::Inner(children), Some(state)) =
        (&mut router.content, router_state(schema, view, published))
    {
        children.push(state);
    }
    router
}

/// The notification that a revision was committed; `missed` notifications before it were not sent.
pub fn revision_committed(
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

/// The notification that a candidate was rejected.
pub fn candidate_refused(schema: &Schema, node: NodeId, rejection: &RejectedCommit) -> DataNode {
    let mut notification = DataBuilder::new(schema, node);
    put_author(&mut notification, &rejection.author);
    notification.put("stays", rejection.revision);
    for error in &rejection.errors.first {
        notification.put("reason", error);
    }
    notification.build()
}
