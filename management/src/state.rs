//! The router's own state as data of the model.

use kestreltide::interface::{HostState, Phase};
use kestreltide_datastore::commit_coordinator::CoordinatorStatus;
use kestreltide_datastore::view::View;
use kestreltide_datastore::{Author, RevisionRecord, ValidationError, check};
use kestreltide_yang::bind::{Bind, decimal, time};
use kestreltide_yang::data::Under;
use kestreltide_yang::{Content, Data, NodeId, Schema};

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

fn author(under: &mut Under, author: &Author) {
    under
        .put("source", &author.source)
        .put("author", &author.name)
        .put("version", &author.version);
}

fn error(under: &mut Under, error: &ValidationError) {
    under
        .put("path", &error.path)
        .put("what", &error.problem)
        .put("given", &error.found);
    under
        .put("taken", &error.expected)
        .maybe("rule", error.rule);
}

fn changes(under: &mut Under, record: &RevisionRecord) {
    for change in record.changes.iter().take(CHANGES) {
        under.put("change", change);
    }
}

/// What the router knows and did.
pub fn state(schema: &Schema, view: &View, published: &CoordinatorStatus) -> Option<Data> {
    let mut state = Under::new(schema, schema.at(&["router", "state"])?);
    state
        .put("revision", published.in_force.revision.0)
        .put("revisions-taken", view.revisions_applied);
    state
        .put("longest-pause", decimal(view.longest_apply_time))
        .put("open-invocations", view.requests_in_flight);
    state
        .put("clients", view.clients)
        .put("links", view.upstream_connections);
    state.with("counts", |counts| {
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
        state.with("trial", |trial| {
            trial
                .put("build", news.build.0)
                .put("stage", news.stage)
                .put("phase", phase(news.phase));
            trial.put("cap", decimal(news.cap));
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
        state.with("host", |under| {
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
        state.with("revision-record", |under| {
            under
                .put("number", record.number)
                .put("based-on", record.based_on)
                .put("at", time(record.at));
            author(under, &record.author);
            changes(under, record);
        });
    }
    if let Some(refusal) = &published.last_rejection {
        state.with("last-refusal", |under| {
            under
                .put("at", time(refusal.at))
                .put("stays", refusal.revision);
            author(under, &refusal.author);
            for (number, one) in refusal.errors.first.iter().enumerate() {
                under.with("fault", |under| {
                    under.put("number", number);
                    error(under, one);
                });
            }
        });
    }
    debug_assert!(
        state.missing.is_empty(),
        "the model has all that is shown: {:?}",
        state.missing
    );
    Some(state.data())
}

/// Everything: what operators set, and the router's own state.
pub fn all(schema: &Schema, bind: &Bind, view: &View, published: &CoordinatorStatus) -> Data {
    let mut router = bind.data(schema, &published.in_force.tree);
    if let (Content::Inner(children), Some(state)) =
        (&mut router.content, state(schema, view, published))
    {
        children.push(state);
    }
    router
}

/// A notification that a revision was committed; `missed` before it were not sent.
pub fn committed(schema: &Schema, node: NodeId, record: &RevisionRecord, missed: u64) -> Data {
    let mut under = Under::new(schema, node);
    under
        .put("revision", record.number)
        .put("based-on", record.based_on);
    author(&mut under, &record.author);
    changes(&mut under, record);
    under.maybe("missed", (missed > 0).then_some(missed));
    under.data()
}

/// A notification that a candidate was refused.
pub fn refused(
    schema: &Schema,
    node: NodeId,
    refusal: &kestreltide_datastore::store::RejectedCommit,
) -> Data {
    let mut under = Under::new(schema, node);
    author(&mut under, &refusal.author);
    under.put("stays", refusal.revision);
    for error in &refusal.errors.first {
        under.put("reason", error);
    }
    under.data()
}
