//! The router's own state as data of the model.

use kestreltide::interface::{HostState, Phase};
use kestreltide_datastore::commit_coordinator::CoordinatorStatus;
use kestreltide_datastore::view::View;
use kestreltide_datastore::{Author, RevisionRecord, ValidationError, check};
use kestreltide_yang::binding::{Binding, format_decimal, format_time};
use kestreltide_yang::data::DataBuilder;
use kestreltide_yang::{Content, DataNode, NodeId, Schema};

/// Changes of one revision that are shown.
const CHANGES: usize = 100;

fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Canary => "on-trial",
        Phase::RollingBack => "going-back",
        Phase::Released => "released",
        Phase::RolledBack => "withdrawn",
    }
}

fn author(under: &mut DataBuilder, author: &Author) {
    under
        .put("source", &author.source)
        .put("author", &author.name)
        .put("version", &author.version);
}

fn error(under: &mut DataBuilder, error: &ValidationError) {
    under
        .put("path", &error.path)
        .put("what", &error.problem)
        .put("given", &error.found);
    under
        .put("taken", &error.expected)
        .put_optional("rule", error.rule);
}

fn changes(under: &mut DataBuilder, record: &RevisionRecord) {
    for change in record.changes.iter().take(CHANGES) {
        under.put("change", change);
    }
}

/// What the router knows and did.
pub fn state(schema: &Schema, view: &View, published: &CoordinatorStatus) -> Option<DataNode> {
    let mut state = DataBuilder::new(schema, schema.find(&["router", "state"])?);
    state
        .put("revision", published.in_force.revision.0)
        .put("revisions-taken", view.revisions_applied);
    state
        .put("longest-pause", format_decimal(view.longest_apply_time))
        .put("open-invocations", view.requests_in_flight);
    state
        .put("clients", view.clients)
        .put("links", view.upstream_connections);
    state.put_inner("counts", |counts| {
        let of = &view.counts;
        counts
            .put("taken", of.admitted)
            .put("succeeded", of.succeeded)
            .put("throttled", of.shed);
        counts
            .put("terminated", of.failed)
            .put("dispatches", of.attempts);
    });
    if let Some(news) = view.rollout {
        state.put_inner("trial", |trial| {
            trial
                .put("build", news.build.0)
                .put("stage", news.stage)
                .put("phase", phase(news.phase));
            trial.put("cap", format_decimal(news.cap));
        });
    }
    let tree = &published.in_force.tree;
    let all = check::merged(
        tree,
        published.in_force.first_listed(),
        &view.facts(view.at),
    );
    let listed = view.discovery.as_deref().unwrap_or_default();
    for host in all.values() {
        state.put_inner("host", |under| {
            under
                .put("name", &host.name)
                .put("endpoint", host.endpoint)
                .put("zone", &host.zone);
            under.put("kind", &host.kind).put("build", host.build.0);
            under.put("running", host.state == HostState::Running);
            under.put(
                "from-discovery",
                listed.iter().any(|told| told.name == host.name),
            );
        });
    }
    for record in published.history.iter() {
        state.put_inner("revision-record", |under| {
            under
                .put("number", record.number)
                .put("based-on", record.based_on)
                .put("at", format_time(record.at));
            author(under, &record.author);
            changes(under, record);
        });
    }
    if let Some(refusal) = &published.last_rejection {
        state.put_inner("last-refusal", |under| {
            under
                .put("at", format_time(refusal.at))
                .put("stays", refusal.revision);
            author(under, &refusal.author);
            for (number, one) in refusal.errors.first.iter().enumerate() {
                under.put_inner("fault", |under| {
                    under.put("number", number);
                    error(under, one);
                });
            }
        });
    }
    debug_assert!(
        state.unknown_names.is_empty(),
        "the model has all that is shown: {:?}",
        state.unknown_names
    );
    Some(state.build())
}

/// Everything: what operators set, and the router's own state.
pub fn all(
    schema: &Schema,
    binding: &Binding,
    view: &View,
    published: &CoordinatorStatus,
) -> DataNode {
    let mut router = binding.tree_data(schema, &published.in_force.tree);
    if let (Content::Inner(children), Some(state)) =
        (&mut router.content, state(schema, view, published))
    {
        children.push(state);
    }
    router
}

/// A notification that a revision was committed; `missed` before it were not sent.
pub fn committed(schema: &Schema, node: NodeId, record: &RevisionRecord, missed: u64) -> DataNode {
    let mut under = DataBuilder::new(schema, node);
    under
        .put("revision", record.number)
        .put("based-on", record.based_on);
    author(&mut under, &record.author);
    changes(&mut under, record);
    under.put_optional("missed", (missed > 0).then_some(missed));
    under.build()
}

/// A notification that a candidate was refused.
pub fn refused(
    schema: &Schema,
    node: NodeId,
    refusal: &kestreltide_datastore::store::RejectedCommit,
) -> DataNode {
    let mut under = DataBuilder::new(schema, node);
    author(&mut under, &refusal.author);
    under.put("stays", refusal.revision);
    for error in &refusal.errors.first {
        under.put("reason", error);
    }
    under.build()
}
